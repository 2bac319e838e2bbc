#include "config_commands.h"
#include "entry_commands.h"
#include "gateway_commands.h"

#include "lovage/adapters/settings.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace lovage::ctl {

namespace {

const std::vector<command>& commands() {
    static const std::vector<command> table{
        {"apply",
         "check the text in --file and make it the configuration",
         {option::file, option::author, option::reason},
         {option::store, option::expect, option::wait, option::entry},
         run_apply},
        {"show", "print the configuration, or --revision", {}, {option::store, option::revision}, run_show},
        {"diff",
         "print what --file changes, or what changed since --revision",
         {},
         {option::store, option::file, option::revision},
         run_diff},
        {"validate",
         "check the text in --file; with --store, as a change of the present one",
         {option::file},
         {option::store},
         run_validate},
        {"status", "print what an entry knows of the fleet", {option::entry}, {option::json}, run_status},
        {"report",
         "print moves, repairs, objectives and counts",
         {option::entry},
         {option::json},
         run_report},
        {"drain",
         "stop sending new work to --target",
         {option::target, option::entry},
         {option::json},
         run_drain},
        {"history", "list the latest revisions", {}, {option::store, option::limit}, run_history},
        {"rollback",
         "make the text of --revision the configuration again",
         {option::revision, option::author, option::reason},
         {option::store, option::expect, option::wait, option::entry},
         run_rollback},
        {"explain",
         "print what happened to --request or --move",
         {option::entry},
         {option::request, option::move, option::json},
         run_explain},
        {"where",
         "print where the HTTP request in --request would go now, and why, without sending it",
         {option::gateway, option::request},
         {option::json},
         run_where},
    };
    return table;
}

bool contains(const std::vector<option>& list, option id) {
    return std::find(list.begin(), list.end(), id) != list.end();
}

void print_option(option id, const char* mark) {
    const auto& info = info_of(id);
    const std::string usage =
        std::string("--") + info.name + (info.argument != nullptr ? std::string(" ") + info.argument : "");
    std::printf("    %-20s %s%s\n", usage.c_str(), info.help, mark);
}

void print_command(const command& command) {
    std::printf("  %-10s %s\n", command.name, command.help);
    for (const option id : command.required) {
        print_option(id, " (required)");
    }
    for (const option id : command.allowed) {
        print_option(id, "");
    }
}

void print_help(const command* selected) {
    std::printf("Usage: lovagectl COMMAND [OPTION...]\n\n");
    for (const auto& command : commands()) {
        if (selected == nullptr || selected == &command) {
            print_command(command);
        }
    }
    std::printf(
        "\nExit codes: 0 done, 1 failure, 2 conflict, 3 not accepted, 4 unknown whether accepted,\n"
        "5 invalid configuration, 6 accepted but not in force everywhere, 7 no answer, 64 wrong usage.\n");
}

exit_code usage_error(const std::string& detail) {
    std::fprintf(stderr, "lovagectl: %s; see lovagectl --help\n", detail.c_str());
    return exit_code::usage;
}

// Describes the first fault of the command line; empty if there is none.
std::string find_problem(const command& command, const cli_options& options) {
    for (const option id : command.required) {
        if (!options.has(id)) {
            return std::string(command.name) + " needs --" + info_of(id).name;
        }
    }
    for (const auto& [id, values] : options.values) {
        if (!contains(command.required, id) && !contains(command.allowed, id)) {
            return std::string(command.name) + " has no option --" + info_of(id).name;
        }
        const bool is_address = id == option::store || id == option::entry || id == option::gateway;
        for (const auto& value : values) {
            if (is_address && !parse_endpoint(value)) {
                return std::string("--") + info_of(id).name + " needs IP:PORT, not \"" + value + "\"";
            }
        }
    }
    return "";
}

exit_code run(int argc, const char** argv) {
    const auto options = read_options(argc, argv);
    if (!options) {
        return usage_error(options.error().detail);
    }
    const auto& table = commands();
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const command& row) { return options->command == row.name; });
    if (options->version) {
        std::printf("lovagectl %s\n", LOVAGE_VERSION);
        return exit_code::ok;
    }
    if (options->help) {
        print_help(found == table.end() ? nullptr : &*found);
        return exit_code::ok;
    }
    if (found == table.end()) {
        return usage_error(options->command.empty() ? "no command given" : "no command " + options->command);
    }
    const std::string problem = find_problem(*found, *options);
    return problem.empty() ? found->run(*options) : usage_error(problem);
}

} // namespace

exit_code report_error(const error& failure) {
    std::fprintf(stderr, "%s\n", failure.detail.c_str());
    switch (failure.kind) {
    case error_kind::invalid_request:
        return exit_code::usage;
    case error_kind::invalid_configuration:
    case error_kind::request_too_large:
        return exit_code::invalid_configuration;
    case error_kind::store_unavailable:
    case error_kind::peer_unreachable:
        return exit_code::unavailable;
    case error_kind::outcome_unknown:
        return exit_code::unknown;
    default:
        return exit_code::failure;
    }
}

} // namespace lovage::ctl

int main(int argc, const char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    return static_cast<int>(lovage::ctl::run(argc, argv));
}
