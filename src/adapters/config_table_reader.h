#pragma once

#include "base/toml_parser.h"

#include "lovage/core/config_check.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovage {

/// What is wrong at a line of a configuration file.
struct config_text_problem {
    std::uint32_t line = 0;
    std::string key;
    std::string expected;
};

/// What reading the tables of a configuration file yields beside the configuration.
struct config_parse_state {
    std::vector<config_text_problem> problems;
    /// Tables by kind and position, to find the lines of problems in the finished configuration.
    std::array<std::vector<const toml::table*>, k_config_item_count> tables;
};

/// Returns the line of a file at which a value begins.
inline std::uint32_t toml_line(const toml::node& node) {
    return node.source().begin.line;
}

/// Reads the keys of one table of a configuration file.
struct config_table_reader {
    config_parse_state& state;
    const toml::table& table;
    std::string prefix;
    std::set<std::string, std::less<>> known;

    config_table_reader(config_parse_state& target, const toml::table& source, std::string name)
        : state(target), table(source), prefix(std::move(name)) {}

    /// Adds a problem of a key; an empty `key` stands for the table itself.
    void problem(std::uint32_t line, std::string_view key, std::string expected);
    /// Returns a node of any type, or null; the key counts as read.
    const toml::node* find(std::string_view key);

    /// A node of the right type; a missing required key and a wrong type are problems.
    template <class T>
    const toml::value<T>* find_value(std::string_view key, bool required, const char* expected) {
        const toml::node* node = find(key);
        if (node == nullptr) {
            if (required) {
                problem(toml_line(table), key, std::string(expected) + "; the key is missing");
            }
            return nullptr;
        }
        const auto* value = node->as<T>();
        if (value == nullptr) {
            problem(toml_line(*node), key, expected);
        }
        return value;
    }

    // Each of the following returns the value of a key, and the fallback, or an empty value, if the key is
    // missing or its value is a problem.

    std::string text(std::string_view key, bool required, const std::string& fallback = "");
    bool flag(std::string_view key, bool fallback);
    /// Checks only that the value fits the type; core/config_check checks the range of each key.
    std::uint32_t integer(std::string_view key, bool required, std::uint32_t fallback);
    double number(std::string_view key, double fallback);
    std::vector<std::string> texts(std::string_view key);

    template <class Enum, std::size_t Count>
    Enum choice(std::string_view key, bool required, const enum_names<Count>& names, Enum fallback) {
        const std::string expected = "one of " + joined(names);
        const auto* value = find_value<std::string>(key, required, expected.c_str());
        if (value == nullptr) {
            return fallback;
        }
        const auto chosen = value_of<Enum>(names, value->get());
        if (!chosen) {
            problem(toml_line(*value), key, expected);
        }
        return chosen.value_or(fallback);
    }

    wall_time time(std::string_view key);
    const toml::table* inner(std::string_view key);
    /// The tables of an array of tables.
    std::vector<const toml::table*> inner_tables(std::string_view key);

    /// Reports the keys that were not read.
    void finish();

    template <std::size_t Count>
    static std::string joined(const enum_names<Count>& names) {
        std::string text;
        for (const auto& name : names) {
            text.append(text.empty() ? "" : ", ").append("\"").append(name).append("\"");
        }
        return text;
    }
};

} // namespace lovage
