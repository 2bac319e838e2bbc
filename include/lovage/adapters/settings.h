#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// A value of a settings file that a process cannot use, and what it uses instead.
struct settings_warning {
    std::string key;
    /// File and line, or the command line.
    std::string location;
    std::string expected;
    std::string used;
};

/// Reads and validates one TOML settings file. Each value is checked for type and range when it is read, and
/// `finish` reports every key that was never read as unknown. Problems are collected, so that one run shows
/// them all.
class settings_reader {
public:
    /// Parses the file. `overrides` maps dotted keys to TOML values from the command line, which take
    /// precedence over the file. Fails with `invalid_settings` if the file cannot be read or parsed.
    static result<settings_reader> open(const std::string& path,
                                        const std::map<std::string, std::string>& overrides = {});
    /// Like `open`, for text in memory; `name` stands for the path in messages.
    static result<settings_reader> parse(const std::string& text, const std::string& name,
                                         const std::map<std::string, std::string>& overrides = {});

    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;
    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// These return values by dotted key ("listen.port"). A missing required key, or a value of the wrong
    /// type or out of range, is recorded as a problem, and the result is only a placeholder.
    std::string required_text(const std::string& key);
    std::string text(const std::string& key, const std::string& fallback);
    std::vector<std::string> texts(const std::string& key);
    std::int64_t required_integer(const std::string& key, std::int64_t low, std::int64_t high);
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double number(const std::string& key, double fallback, double low, double high);
    bool flag(const std::string& key, bool fallback);
    milliseconds duration_ms(const std::string& key, milliseconds fallback, milliseconds low,
                             milliseconds high);
    /// "ip:port" with a numeric IP address.
    std::string required_address(const std::string& key);
    std::string address(const std::string& key, const std::string& fallback);
    std::vector<std::string> addresses(const std::string& key);

    /// These return a value with which the process can run, whatever the file holds, and record a warning for
    /// each value that is replaced: the fallback stands for one of the wrong type, and the nearest value of
    /// the range for one that is out of range. A missing key is no reason for a warning. They are for values
    /// that are filled in without an operator who could check them before the start.
    std::string usable_text(const std::string& key, const std::string& fallback);
    /// Index of the value in `names`; `fallback` if it is none of them.
    std::size_t usable_choice(const std::string& key, const std::vector<std::string_view>& names,
                              std::size_t fallback);
    /// Whole or with a fraction.
    double usable_number(const std::string& key, double fallback, double low, double high);
    /// A number of `unit`, whole or with a fraction.
    milliseconds usable_duration(const std::string& key, milliseconds unit, milliseconds fallback,
                                 milliseconds low, milliseconds high);
    /// Empty in place of an address that cannot be parsed.
    std::string usable_address(const std::string& key);
    /// Without the addresses that cannot be parsed. A list may hold lists.
    std::vector<std::string> usable_addresses(const std::string& key);
    /// Makes unknown keys warnings in place of problems.
    void allow_unknown_keys();
    /// The values replaced so far; complete after `finish`.
    const std::vector<settings_warning>& warnings() const;

    /// Records a problem at `key` that the caller has found, such as two values that contradict each other.
    void problem(const std::string& key, const std::string& expected);

    /// Fails with `invalid_settings` and one line for each problem ("file:line: key: what was expected").
    result<void> finish();

private:
    settings_reader();
    struct state;
    std::unique_ptr<state> m_state;
};

/// An IPv4 address and a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses "ip:port". Fails with `invalid_settings` if the IPv4 address is not numeric or the port is not in
/// 1..65535.
result<endpoint> parse_endpoint(const std::string& address);

} // namespace lovage
