#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/result.h"

#include <cstddef>
#include <cstdint>
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
    /// Reads and checks all settings. Also called for `--check`, and at SIGHUP while the program runs, so it
    /// must have no side effects, and `run` must work with a copy of what it has read.
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

/// Blocks the calling thread until SIGTERM or SIGINT; SIGHUP calls `check_changed_settings`. `run_program`
/// has blocked these signals in all threads.
void wait_for_stop();

/// What the next start would make of the settings file.
enum class settings_verdict : std::uint8_t {
    usable,
    /// Some values would be replaced by others.
    replaced,
    /// The program would not start.
    refused,
};
inline constexpr std::size_t k_settings_verdict_count = 3;
inline constexpr enum_names<k_settings_verdict_count> k_settings_verdict_names{"usable", "replaced",
                                                                               "refused"};
static_assert(static_cast<std::size_t>(settings_verdict::refused) + 1 == k_settings_verdict_count);

/// Reads the settings file again and logs what the next start would make of it, so that unusable settings are
/// noticed before it. Settings apply at the next start. Called on one thread, while `program::run` runs.
settings_verdict check_changed_settings();

} // namespace lovage
