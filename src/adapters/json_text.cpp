#include "lovage/adapters/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace lovage {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t k_max_depth = 16;
// Deeper values could exhaust the stack, since the serializer recurses into them. Answers have up to four
// levels.
constexpr int k_max_parsed_depth = 64;

std::string dump(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string scalar(const ordered_json& value) {
    return value.is_string() ? value.get<std::string>() : dump(value);
}

bool is_table(const ordered_json& value) {
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(), [](const ordered_json& item) { return item.is_object(); });
}

void add_table(std::string& out, const ordered_json& rows, const std::string& indent) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    std::vector<std::vector<std::string>> cells{columns};
    for (const auto& row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const auto& column : columns) {
            line.push_back(row.contains(column) ? scalar(row[column]) : "-");
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : cells) {
        out += indent;
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool is_last = i + 1 == line.size();
            out += line[i] + (is_last ? "\n" : std::string(widths[i] - line[i].size() + 2, ' '));
        }
    }
}

void add_value(std::string& out, const ordered_json& value, std::size_t depth);

void add_member(std::string& out, const std::string& key, const ordered_json& value, std::size_t depth) {
    const std::string indent(2 * depth, ' ');
    const bool is_nested = (value.is_object() && !value.empty()) || is_table(value);
    if (!is_nested || depth >= k_max_depth) {
        out.append(indent).append(key).append(": ").append(scalar(value)).append("\n");
        return;
    }
    out.append(indent).append(key).append(":\n");
    add_value(out, value, depth + 1);
}

void add_value(std::string& out, const ordered_json& value, std::size_t depth) {
    if (is_table(value)) {
        add_table(out, value, std::string(2 * depth, ' '));
    } else if (value.is_object()) {
        for (const auto& [key, member] : value.items()) {
            add_member(out, key, member, depth);
        }
    } else {
        out += std::string(2 * depth, ' ') + scalar(value) + "\n";
    }
}

} // namespace

result<std::string> json_to_text(const std::string& json) {
    bool is_too_deep = false;
    const auto check_depth = [&is_too_deep](int depth, ordered_json::parse_event_t /*event*/,
                                            ordered_json& /*parsed*/) {
        is_too_deep |= depth > k_max_parsed_depth;
        return !is_too_deep;
    };
    const auto value = ordered_json::parse(json, check_depth, false);
    if (value.is_discarded() || is_too_deep) {
        return fail(error_kind::protocol_error,
                    is_too_deep ? "the answer is nested too deeply" : "the answer is no JSON");
    }
    std::string text;
    add_value(text, value, 0);
    return text;
}

} // namespace lovage
