#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/result.h"

#include <functional>
#include <string>

namespace lovage {

/// Exit codes of all binaries; a crash gives none of them.
inline constexpr int k_exit_ok = 0;
inline constexpr int k_exit_failure = 1;
inline constexpr int k_exit_usage = 64;
inline constexpr int k_exit_settings = 78;

/// What differs between the long-running binaries.
struct program {
    std::string name;
    std::string summary;
    /// Reads and checks all settings; it is called for `--check` too, so it has no side effects.
    std::function<result<void>(settings_reader&)> configure;
    /// Whether the program takes signals through its own event loop instead of `wait_for_stop`.
    bool handles_signals = false;
    /// Runs until `wait_for_stop` returns; returns the exit code.
    std::function<int()> run;
};

/// Parses the command line (--settings FILE, --set KEY=VALUE, --check, --log-level, --help, --version), reads
/// the settings and runs the program. SIGTERM and SIGINT are left to `wait_for_stop`.
int run_program(int argc, const char** argv, const program& program);

/// Blocks the calling thread until SIGTERM or SIGINT. `run_program` blocks both signals in all threads.
void wait_for_stop();

} // namespace lovage
