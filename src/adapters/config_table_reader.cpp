#include "config_table_reader.h"

#include <ctime>
#include <limits>

namespace lovage {

void config_table_reader::problem(std::uint32_t line, std::string_view key, std::string expected) {
    std::string full = prefix;
    if (!full.empty() && !key.empty()) {
        full += ".";
    }
    state.problems.push_back({line, full.append(key), std::move(expected)});
}

const toml::node* config_table_reader::find(std::string_view key) {
    known.emplace(key);
    return table.get(key);
}

std::string config_table_reader::text(std::string_view key, bool required, const std::string& fallback) {
    const auto* value = find_value<std::string>(key, required, "a text");
    return value != nullptr ? value->get() : fallback;
}

bool config_table_reader::flag(std::string_view key, bool fallback) {
    const auto* value = find_value<bool>(key, false, "true or false");
    return value != nullptr ? value->get() : fallback;
}

std::uint32_t config_table_reader::integer(std::string_view key, bool required, std::uint32_t fallback) {
    const auto* value = find_value<std::int64_t>(key, required, "an integer");
    if (value == nullptr) {
        return fallback;
    }
    if (value->get() < 0 || value->get() > std::numeric_limits<std::uint32_t>::max()) {
        problem(toml_line(*value), key, "an integer that is not negative and below 2^32");
        return fallback;
    }
    return static_cast<std::uint32_t>(value->get());
}

double config_table_reader::number(std::string_view key, double fallback) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_number()) {
        problem(toml_line(*node), key, "a number");
        return fallback;
    }
    return node->value<double>().value_or(fallback);
}

std::vector<std::string> config_table_reader::texts(std::string_view key) {
    std::vector<std::string> values;
    const toml::node* node = find(key);
    if (node == nullptr) {
        return values;
    }
    const auto* array = node->as_array();
    if (array == nullptr) {
        problem(toml_line(*node), key, "a list of texts");
        return values;
    }
    for (const auto& item : *array) {
        if (const auto* value = item.as_string()) {
            values.push_back(value->get());
        } else {
            problem(toml_line(item), key, "a list of texts only");
        }
    }
    return values;
}

wall_time config_table_reader::time(std::string_view key) {
    static constexpr auto k_expected = "a date and time with offset, such as 2026-12-04T10:00:00Z";
    const auto* value = find_value<toml::date_time>(key, true, k_expected);
    if (value == nullptr) {
        return {};
    }
    const toml::date_time& given = value->get();
    if (!given.offset || given.date.year < 1970) {
        problem(toml_line(*value), key, k_expected);
        return {};
    }
    std::tm parts{};
    parts.tm_year = given.date.year - 1900;
    parts.tm_mon = given.date.month - 1;
    parts.tm_mday = given.date.day;
    parts.tm_hour = given.time.hour;
    parts.tm_min = given.time.minute;
    parts.tm_sec = given.time.second;
    const std::chrono::seconds seconds(::timegm(&parts));
    return wall_time(seconds - std::chrono::minutes(given.offset->minutes) +
                     milliseconds(given.time.nanosecond / 1'000'000));
}

const toml::table* config_table_reader::inner(std::string_view key) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) {
        problem(toml_line(*node), key, "a table");
    }
    return node != nullptr ? node->as_table() : nullptr;
}

std::vector<const toml::table*> config_table_reader::inner_tables(std::string_view key) {
    std::vector<const toml::table*> tables;
    const toml::node* node = find(key);
    const auto* array = node != nullptr ? node->as_array() : nullptr;
    if (node != nullptr && array == nullptr) {
        problem(toml_line(*node), key, "a list of tables, written as [[...]]");
    }
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
        if (const auto* item = (*array)[i].as_table()) {
            tables.push_back(item);
        } else {
            problem(toml_line((*array)[i]), key, "a list of tables only");
        }
    }
    return tables;
}

void config_table_reader::finish() {
    for (const auto& [key, node] : table) {
        if (known.count(key.str()) == 0) {
            std::string expected = "one of the known keys:";
            for (const auto& name : known) {
                expected += " " + name;
            }
            problem(key.source().begin.line, key.str(), expected);
        }
    }
}

} // namespace lovage
