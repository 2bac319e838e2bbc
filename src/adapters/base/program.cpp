#include "lovage/adapters/program.h"

#include "lovage/adapters/log.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <pthread.h>
#include <string>
#include <utility>

namespace lovage {

namespace {

enum option_value : int { k_option_version = 1, k_option_set, k_option_check };

struct command_line {
    std::string settings_path;
    std::string level = "info";
    std::map<std::string, std::string> overrides;
    bool check = false;
    bool version = false;
};

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

// popt allocates the values of options with malloc; the caller frees them.
struct text_deleter {
    void operator()(char* text) const { std::free(text); }
};
using text_ptr = std::unique_ptr<char, text_deleter>;

// Adds a "KEY=VALUE" override. Returns false if `text` has another form.
bool add_override(const std::string& text, std::map<std::string, std::string>& overrides) {
    const auto equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
        return false;
    }
    overrides[text.substr(0, equals)] = text.substr(equals + 1);
    return true;
}

result<command_line> read_command_line(int argc, const char** argv, const program& program) {
    command_line line;
    char* path = nullptr;
    char* level = nullptr;
    char* assignment = nullptr;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "TOML settings file", "FILE"},
        {"set", 0, POPT_ARG_STRING, &assignment, k_option_set, "override one setting (a TOML value)",
         "KEY=VALUE"},
        {"check", 0, POPT_ARG_NONE, nullptr, k_option_check, "check the settings and exit", nullptr},
        {"log-level", 0, POPT_ARG_STRING, &level, 0, "debug, info, warning or error", "LEVEL"},
        {"version", 0, POPT_ARG_NONE, nullptr, k_option_version, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const context_ptr context(poptGetContext(program.name.c_str(), argc, argv, options, 0));
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        if (code == k_option_set) {
            const text_ptr text(std::exchange(assignment, nullptr));
            if (!add_override(text.get(), line.overrides)) {
                return fail(error_kind::invalid_settings,
                            std::string("--set needs KEY=VALUE, not ") + text.get());
            }
        }
        line.check = line.check || code == k_option_check;
        line.version = line.version || code == k_option_version;
    }
    const text_ptr path_text(path);
    const text_ptr level_text(level);
    if (code < -1) {
        return fail(error_kind::invalid_settings,
                    std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return fail(error_kind::invalid_settings,
                    std::string("unexpected argument ") + poptPeekArg(context.get()));
    }
    line.settings_path = path != nullptr ? path : "";
    line.level = level != nullptr ? level : line.level;
    return line;
}

// The signals that `wait_for_stop` receives. SIGHUP is among them because its default action ends the
// process.
sigset_t handled_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

using settings_warnings = std::vector<settings_warning>;

result<settings_warnings> read_settings(const command_line& line, const program& program) {
    auto reader = line.settings_path.empty() ? settings_reader::parse("", "command line", line.overrides)
                                             : settings_reader::open(line.settings_path, line.overrides);
    if (!reader) {
        return tl::unexpected<error>(reader.error());
    }
    auto configured = program.configure(*reader);
    if (configured) {
        configured = reader->finish();
    }
    if (!configured) {
        return tl::unexpected<error>(configured.error());
    }
    return reader->warnings();
}

// Reads the settings of the program that runs.
std::function<result<settings_warnings>()>& running_program_settings() {
    static std::function<result<settings_warnings>()> read;
    return read;
}

void log_warnings(const settings_warnings& warnings, const char* applies) {
    for (const auto& warning : warnings) {
        log_event(log_level::warning, "setting_replaced",
                  {{"key", warning.key},
                   {"location", warning.location},
                   {"expected", warning.expected},
                   {"used", warning.used},
                   {"applies", applies}});
    }
}

void print_warnings(const settings_warnings& warnings) {
    for (const auto& warning : warnings) {
        std::fprintf(stderr, "%s: %s: expected %s, using %s\n", warning.location.c_str(), warning.key.c_str(),
                     warning.expected.c_str(), warning.used.c_str());
    }
}

} // namespace

int run_program(int argc, const char** argv, const program& program) {
    const auto line = read_command_line(argc, argv, program);
    if (!line) {
        std::fprintf(stderr, "%s: %s\n", program.name.c_str(), line.error().detail.c_str());
        return k_exit_usage;
    }
    if (line->version) {
        std::printf("%s %s\n", program.name.c_str(), LOVAGE_VERSION);
        return k_exit_ok;
    }
    const auto level = value_of<log_level>(k_log_level_names, line->level);
    if (!level) {
        std::fprintf(stderr, "%s: unknown log level %s\n", program.name.c_str(), line->level.c_str());
        return k_exit_usage;
    }
    const auto warnings = read_settings(*line, program);
    if (!warnings) {
        std::fprintf(stderr, "%s\n", warnings.error().detail.c_str());
        return k_exit_settings;
    }
    if (line->check) {
        print_warnings(*warnings);
        return k_exit_ok;
    }
    if (!program.handles_signals) {
        const sigset_t signals = handled_signals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
    start_log(program.name, *level);
    log_warnings(*warnings, "now");
    running_program_settings() = [&line, &program] { return read_settings(*line, program); };
    const int code = program.run();
    running_program_settings() = nullptr;
    stop_log();
    return code;
}

settings_verdict check_changed_settings() {
    const auto warnings = running_program_settings()();
    auto verdict = settings_verdict::usable;
    if (!warnings) {
        verdict = settings_verdict::refused;
        log_event(log_level::error, "settings_refused", {{"detail", warnings.error().detail}});
    } else if (!warnings->empty()) {
        verdict = settings_verdict::replaced;
        log_warnings(*warnings, "at the next start");
    }
    log_event(log_level::info, "reload_requested",
              {{"outcome", "settings apply at the next start"},
               {"settings", std::string(name_of(k_settings_verdict_names, verdict))}});
    return verdict;
}

void wait_for_stop() {
    const sigset_t signals = handled_signals();
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP) {
        check_changed_settings();
    }
}

} // namespace lovage
