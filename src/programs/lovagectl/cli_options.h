#pragma once

#include "lovage/core/result.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovage::ctl {

/// The options of all subcommands. `option::entry` may be given more than once.
enum class option : std::uint8_t {
    store,
    entry,
    file,
    author,
    reason,
    expect,
    wait,
    revision,
    limit,
    target,
    request,
    move,
    json,
    gateway,
};
inline constexpr std::size_t k_option_count = 14;

struct option_info {
    option id;
    const char* name;
    /// Name of the argument in the help; null for a flag.
    const char* argument;
    const char* help;
};

inline constexpr std::array<option_info, k_option_count> k_options{{
    {option::store, "store", "IP:PORT", "the platform's store (default 127.0.0.1:8000)"},
    {option::entry, "entry", "IP:PORT", "an entry's HTTP address; may be repeated"},
    {option::file, "file", "FILE", "the configuration text"},
    {option::author, "author", "NAME", "who makes the change"},
    {option::reason, "reason", "TEXT", "why the change is made"},
    {option::expect, "expect", "REVISION", "the revision that the change replaces; 0 if there is none"},
    {option::wait, "wait", "SECONDS", "wait until the change is in force everywhere"},
    {option::revision, "revision", "REVISION", "an earlier revision instead of the present one"},
    {option::limit, "limit", "COUNT", "how many revisions to list (default 20)"},
    {option::target, "target", "NAME", "the target to drain"},
    {option::request, "request", "ID|FILE",
     "the id of the request to explain (32 hexadecimal digits); for where, a file with it"},
    {option::move, "move", "ID", "the move to explain"},
    {option::json, "json", nullptr, "print the answer as JSON"},
    {option::gateway, "gateway", "IP:PORT", "a gateway's status address"},
}};

const option_info& info_of(option id);

struct cli_options {
    std::string command;
    std::map<option, std::vector<std::string>> values;
    bool help = false;
    bool version = false;

    bool has(option id) const { return values.count(id) > 0; }
    /// The last value given, or the fallback.
    std::string text(option id, const std::string& fallback = "") const;
    /// All values given, in order.
    std::vector<std::string> texts(option id) const;
};

/// Parses the command line. Fails with `invalid_request`.
result<cli_options> read_options(int argc, const char** argv);

/// The value of `id` as an integer in 0..`high`, or `fallback` if the option is not given. Fails with
/// `invalid_request`, with the option's name in the detail.
result<std::uint64_t> number_of(const cli_options& options, option id, std::uint64_t fallback,
                                std::uint64_t high);

} // namespace lovage::ctl
