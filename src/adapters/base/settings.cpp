#include "lovage/adapters/settings.h"

#include "toml_parser.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace lovage {

struct settings_reader::state {
    std::string name;
    toml::table file;
    toml::table overrides;
    /// Keys that have been read.
    std::set<std::string> known;
    std::vector<std::string> problems;
    std::vector<settings_warning> warnings;
    bool allows_unknown_keys = false;

    toml::node_view<toml::node> find(const std::string& key);
    std::string location_of(const std::string& key);
    void add_problem(const std::string& key, const std::string& expected);
    void add_warning(const std::string& key, const std::string& expected, const std::string& used);
    void check_unknown(const toml::table& table, const std::string& prefix);
};

toml::node_view<toml::node> settings_reader::state::find(const std::string& key) {
    known.insert(key);
    auto node = overrides.at_path(key);
    return node ? node : file.at_path(key);
}

std::string settings_reader::state::location_of(const std::string& key) {
    if (overrides.at_path(key)) {
        return "command line";
    }
    const auto node = file.at_path(key);
    return node ? name + ":" + std::to_string(node.node()->source().begin.line) : name;
}

void settings_reader::state::add_problem(const std::string& key, const std::string& expected) {
    problems.push_back(location_of(key) + ": " + key + ": expected " + expected);
}

void settings_reader::state::add_warning(const std::string& key, const std::string& expected,
                                         const std::string& used) {
    warnings.push_back({key, location_of(key), expected, used});
}

void settings_reader::state::check_unknown(const toml::table& table, const std::string& prefix) {
    for (const auto& [name_part, node] : table) {
        const std::string key = prefix + std::string(name_part.str());
        if (const auto* inner = node.as_table()) {
            check_unknown(*inner, key + ".");
        } else if (known.count(key) == 0 && allows_unknown_keys) {
            add_warning(key, "no such key (unknown setting)", "nothing");
        } else if (known.count(key) == 0) {
            add_problem(key, "no such key (unknown setting)");
        }
    }
}

namespace {

std::string describe_range(double low, double high) {
    std::ostringstream text;
    text << "a number in " << low << ".." << high;
    return text.str();
}

std::string describe_number(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

// Adds the texts of a list and of the lists in it; returns false if it holds anything else.
bool collect_texts(const toml::array& list, std::vector<std::string>& texts) {
    bool is_whole = true;
    for (const auto& item : list) {
        if (const auto* inner = item.as_array()) {
            is_whole = collect_texts(*inner, texts) && is_whole;
        } else if (const auto text = item.value<std::string>()) {
            texts.push_back(*text);
        } else {
            is_whole = false;
        }
    }
    return is_whole;
}

} // namespace

settings_reader::settings_reader() : m_state(std::make_unique<state>()) {}
settings_reader::settings_reader(settings_reader&&) noexcept = default;
settings_reader& settings_reader::operator=(settings_reader&&) noexcept = default;
settings_reader::~settings_reader() = default;

result<settings_reader> settings_reader::open(const std::string& path,
                                              const std::map<std::string, std::string>& overrides) {
    std::ifstream file(path);
    if (!file) {
        return fail(error_kind::invalid_settings, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path, overrides);
}

result<settings_reader> settings_reader::parse(const std::string& text, const std::string& name,
                                               const std::map<std::string, std::string>& overrides) {
    settings_reader reader;
    reader.m_state->name = name;
    try {
        reader.m_state->file = toml::parse(text, name);
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::invalid_settings, name + ":" + std::to_string(failure.source().begin.line) +
                                                      ": " + std::string(failure.description()));
    }
    std::string joined;
    for (const auto& [key, value] : overrides) {
        joined.append(key).append(" = ").append(value).append("\n");
    }
    try {
        reader.m_state->overrides = toml::parse(joined, std::string_view("command line"));
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::invalid_settings, "command line: " + std::string(failure.description()));
    }
    return reader;
}

std::string settings_reader::required_text(const std::string& key) {
    const auto value = m_state->find(key).value<std::string>();
    if (!value || value->empty()) {
        m_state->add_problem(key, "a text that is not empty");
    }
    return value.value_or("");
}

std::string settings_reader::text(const std::string& key, const std::string& fallback) {
    return m_state->find(key) ? required_text(key) : fallback;
}

std::vector<std::string> settings_reader::texts(const std::string& key) {
    std::vector<std::string> values;
    const auto node = m_state->find(key);
    if (!node) {
        return values;
    }
    const auto* array = node.as_array();
    if (array == nullptr) {
        m_state->add_problem(key, "a list of texts");
        return values;
    }
    for (const auto& item : *array) {
        const auto value = item.value<std::string>();
        if (!value) {
            m_state->add_problem(key, "a list of texts");
            return values;
        }
        values.push_back(*value);
    }
    return values;
}

std::int64_t settings_reader::required_integer(const std::string& key, std::int64_t low, std::int64_t high) {
    const auto node = m_state->find(key);
    const auto value = node.is_integer() ? node.value<std::int64_t>() : std::nullopt;
    if (!value || *value < low || *value > high) {
        m_state->add_problem(key, "an integer in " + std::to_string(low) + ".." + std::to_string(high));
        return low;
    }
    return *value;
}

std::int64_t settings_reader::integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                                      std::int64_t high) {
    return m_state->find(key) ? required_integer(key, low, high) : fallback;
}

double settings_reader::number(const std::string& key, double fallback, double low, double high) {
    const auto node = m_state->find(key);
    if (!node) {
        return fallback;
    }
    const auto value = node.value<double>();
    if (!value || *value < low || *value > high) {
        m_state->add_problem(key, describe_range(low, high));
        return fallback;
    }
    return *value;
}

bool settings_reader::flag(const std::string& key, bool fallback) {
    const auto node = m_state->find(key);
    if (!node) {
        return fallback;
    }
    if (!node.is_boolean()) {
        m_state->add_problem(key, "true or false");
        return fallback;
    }
    return *node.value<bool>();
}

milliseconds settings_reader::duration_ms(const std::string& key, milliseconds fallback, milliseconds low,
                                          milliseconds high) {
    return milliseconds(integer(key, fallback.count(), low.count(), high.count()));
}

std::string settings_reader::required_address(const std::string& key) {
    std::string value = required_text(key);
    if (!value.empty() && !parse_endpoint(value)) {
        m_state->add_problem(key, "\"IP:PORT\" with a numeric IP address");
    }
    return value;
}

std::string settings_reader::address(const std::string& key, const std::string& fallback) {
    return m_state->find(key) ? required_address(key) : fallback;
}

std::vector<std::string> settings_reader::addresses(const std::string& key) {
    std::vector<std::string> values = texts(key);
    for (const auto& value : values) {
        if (!parse_endpoint(value)) {
            m_state->add_problem(key, "a list of \"IP:PORT\" with numeric IP addresses");
        }
    }
    return values;
}

std::string settings_reader::usable_text(const std::string& key, const std::string& fallback) {
    const auto node = m_state->find(key);
    const auto value = node.value<std::string>();
    if (value && !value->empty()) {
        return *value;
    }
    if (node) {
        m_state->add_warning(key, "a text that is not empty", "\"" + fallback + "\"");
    }
    return fallback;
}

std::size_t settings_reader::usable_choice(const std::string& key, const std::vector<std::string_view>& names,
                                           std::size_t fallback) {
    const auto node = m_state->find(key);
    if (!node) {
        return fallback;
    }
    const auto value = node.value<std::string>();
    const auto found = value ? std::find(names.begin(), names.end(), *value) : names.end();
    if (found != names.end()) {
        return static_cast<std::size_t>(found - names.begin());
    }
    std::string expected;
    for (const auto name : names) {
        expected += (expected.empty() ? "\"" : " or \"") + std::string(name) + "\"";
    }
    m_state->add_warning(key, expected, "\"" + std::string(names.at(fallback)) + "\"");
    return fallback;
}

double settings_reader::usable_number(const std::string& key, double fallback, double low, double high) {
    const auto node = m_state->find(key);
    if (!node) {
        return fallback;
    }
    const auto value = node.is_number() ? node.value<double>() : std::nullopt;
    const double used = value && std::isfinite(*value) ? std::clamp(*value, low, high) : fallback;
    if (!value || used != *value) {
        m_state->add_warning(key, describe_range(low, high), describe_number(used));
    }
    return used;
}

milliseconds settings_reader::usable_duration(const std::string& key, milliseconds unit,
                                              milliseconds fallback, milliseconds low, milliseconds high) {
    const auto in_units = [unit](milliseconds time) {
        return static_cast<double>(time.count()) / static_cast<double>(unit.count());
    };
    const double value = usable_number(key, in_units(fallback), in_units(low), in_units(high));
    return milliseconds(static_cast<std::int64_t>(std::floor(value * static_cast<double>(unit.count()))));
}

std::string settings_reader::usable_address(const std::string& key) {
    const auto node = m_state->find(key);
    auto value = node.value<std::string>().value_or("");
    if (node && !parse_endpoint(value)) {
        m_state->add_warning(key, "\"IP:PORT\" with a numeric IP address", "nothing");
        return "";
    }
    return value;
}

std::vector<std::string> settings_reader::usable_addresses(const std::string& key) {
    std::vector<std::string> values;
    const auto node = m_state->find(key);
    if (!node) {
        return values;
    }
    const auto* list = node.as_array();
    const bool is_whole = list != nullptr && collect_texts(*list, values);
    const auto unusable = std::remove_if(values.begin(), values.end(),
                                         [](const auto& value) { return !parse_endpoint(value); });
    const bool has_unusable = unusable != values.end();
    values.erase(unusable, values.end());
    if (!is_whole || has_unusable) {
        m_state->add_warning(key, "a list of \"IP:PORT\" with numeric IP addresses",
                             std::to_string(values.size()) + " addresses");
    }
    return values;
}

void settings_reader::allow_unknown_keys() {
    m_state->allows_unknown_keys = true;
}

const std::vector<settings_warning>& settings_reader::warnings() const {
    return m_state->warnings;
}

void settings_reader::problem(const std::string& key, const std::string& expected) {
    m_state->add_problem(key, expected);
}

result<void> settings_reader::finish() {
    m_state->check_unknown(m_state->file, "");
    m_state->check_unknown(m_state->overrides, "");
    if (m_state->problems.empty()) {
        return {};
    }
    std::string detail;
    for (const auto& problem : m_state->problems) {
        detail += (detail.empty() ? "" : "\n") + problem;
    }
    return fail(error_kind::invalid_settings, detail);
}

result<endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return fail(error_kind::invalid_settings, "no port in \"" + address + "\"");
    }
    endpoint parsed;
    parsed.ip = address.substr(0, colon);
    in_addr ignored{};
    const char* end = address.data() + address.size();
    const auto number = std::from_chars(address.data() + colon + 1, end, parsed.port);
    const bool port_valid = number.ec == std::errc{} && number.ptr == end && parsed.port != 0;
    if (!port_valid || inet_pton(AF_INET, parsed.ip.c_str(), &ignored) != 1) {
        return fail(error_kind::invalid_settings, "not an address: \"" + address + "\"");
    }
    return parsed;
}

} // namespace lovage
