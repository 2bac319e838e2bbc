#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/result.h"

#include <functional>
#include <string>

namespace lovage {

/// Exit codes of all binaries. A crash ends with none of these.
inline constexpr int k_exit_ok = 0;
inline constexpr int k_exit_failure = 1;
inline constexpr int k_exit_usage = 64;
inline constexpr int k_exit_settings = 78;

/// The parts of a long-running binary that `run_program` calls.
struct program {
    std::string name;
    std::string summary;
    /// Reads and checks all settings. Also called for `--check`, so it must have no side effects.
    std::function<result<void>(settings_reader&)> configure;
    /// Whether the program handles SIGTERM, SIGINT and SIGHUP in its own event loop instead of
    /// `wait_for_stop`.
    bool handles_signals = false;
    /// Runs until `wait_for_stop` returns; returns the exit code.
    std::function<int()> run;
};

/// Parses the command line (--settings FILE, --set KEY=VALUE, --check, --log-level, --help, --version), reads
/// the settings and runs the program. Returns the exit code. SIGTERM, SIGINT and SIGHUP are blocked in all
/// threads, for `wait_for_stop`, unless the program handles them itself.
int run_program(int argc, const char** argv, const program& program);

/// Blocks the calling thread until SIGTERM or SIGINT. SIGHUP is only logged. `run_program` has blocked these
/// signals in all threads.
void wait_for_stop();

} // namespace lovage
