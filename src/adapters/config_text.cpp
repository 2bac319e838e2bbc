#include "lovage/adapters/config_text.h"

#include "config_tables.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace lovage {

namespace {

// toml++ bounds the nesting of values but not that of dotted keys, and both its parser and its destructors
// recurse into them. A dotted key cannot span lines, so this bounds the depth to 100 times the nesting of
// values.
constexpr std::size_t k_max_dots_in_line = 100;

bool is_reported(const std::vector<config_text_problem>& problems, std::uint32_t line,
                 const std::string& key) {
    return std::any_of(problems.begin(), problems.end(), [line, &key](const config_text_problem& problem) {
        return problem.line == line && problem.key == key;
    });
}

// Adds problems of the finished configuration at the line of their key, or of their table if the key is
// absent. A missing or mistyped key was reported when it was read and is not reported again for its fallback
// value.
void add_semantic_problems(config_parse_state& state, const std::vector<config_problem>& found) {
    const std::vector<config_text_problem> read_problems = state.problems;
    for (const auto& problem : found) {
        const std::string item(name_of(k_config_item_names, problem.item));
        const auto& tables = state.tables.at(static_cast<std::size_t>(problem.item));
        std::uint32_t line = 0;
        if (problem.index < tables.size()) {
            const auto node = tables[problem.index]->at_path(problem.key);
            line = toml_line(node ? *node.node() : *tables[problem.index]);
        }
        const std::string key = problem.key.empty() ? item : item + "." + problem.key;
        if (is_reported(read_problems, line, key)) {
            continue;
        }
        const bool names_itself = problem.name.empty() || problem.item == config_item::limits;
        state.problems.push_back(
            {line, key, problem.expected + (names_itself ? "" : " (" + item + " \"" + problem.name + "\")")});
    }
}

tl::unexpected<error> report(std::vector<config_text_problem> problems, const std::string& name) {
    std::stable_sort(
        problems.begin(), problems.end(),
        [](const config_text_problem& a, const config_text_problem& b) { return a.line < b.line; });
    std::string detail;
    for (const auto& problem : problems) {
        detail += (detail.empty() ? "" : "\n") + name + ":" + std::to_string(problem.line) + ": " +
                  problem.key + ": expected " + problem.expected;
    }
    return fail(error_kind::invalid_configuration, detail);
}

std::vector<config_text_problem> check_lines(std::string_view text) {
    std::vector<config_text_problem> problems;
    std::uint32_t number = 1;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        if (static_cast<std::size_t>(std::count(line.begin(), line.end(), '.')) > k_max_dots_in_line) {
            problems.push_back({number, "line", "at most " + std::to_string(k_max_dots_in_line) + " dots"});
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        ++number;
    }
    return problems;
}

using checker = std::vector<config_problem> (*)(const fleet_config&, const fleet_config*, wall_time);

std::vector<config_problem> check_no_update(const fleet_config& /*next*/, const fleet_config* /*current*/,
                                            wall_time /*now*/) {
    return {};
}

result<fleet_config> parse(const std::string& text, const std::string& name, checker check,
                           const fleet_config* current, wall_time now) {
    if (text.size() > k_max_config_text_bytes) {
        return fail(error_kind::invalid_configuration,
                    name + ": expected at most " + std::to_string(k_max_config_text_bytes) + " bytes");
    }
    if (auto problems = check_lines(text); !problems.empty()) {
        return report(std::move(problems), name);
    }
    try {
        const toml::table root = toml::parse(text, name);
        config_parse_state state;
        const fleet_config config = read_config_tables(state, root);
        add_semantic_problems(state, check_config(config));
        add_semantic_problems(state, check(config, current, now));
        if (!state.problems.empty()) {
            return report(std::move(state.problems), name);
        }
        return config;
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::invalid_configuration, name + ":" +
                                                           std::to_string(failure.source().begin.line) +
                                                           ": " + std::string(failure.description()));
    }
}

} // namespace

result<fleet_config> parse_config_text(const std::string& text, const std::string& name) {
    return parse(text, name, check_no_update, nullptr, {});
}

result<fleet_config> parse_config_update(const std::string& text, const std::string& name,
                                         const fleet_config* current, wall_time now) {
    return parse(text, name, check_edit, current, now);
}

} // namespace lovage
