#include "lovage/adapters/config_text.h"

#include "base/toml_parser.h"

#include "lovage/core/config_check.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <limits>
#include <set>
#include <string_view>

namespace lovage {

namespace {

// toml++ bounds the nesting of values but not that of dotted keys, and both its parser and its destructors
// recurse into them. A dotted key cannot span lines, so this bounds the depth to 100 times the nesting of
// values.
constexpr std::size_t k_max_dots_in_line = 100;

struct text_problem {
    std::uint32_t line = 0;
    std::string key;
    std::string expected;
};

struct parse_state {
    std::vector<text_problem> problems;
    // Tables by kind and position, to find the lines of problems in the finished configuration.
    std::array<std::vector<const toml::table*>, k_config_item_count> tables;
};

std::uint32_t line_of(const toml::node& node) {
    return node.source().begin.line;
}

// Reads the keys of one table. `finish` reports every key that was not read.
struct table_reader {
    parse_state& state;
    const toml::table& table;
    std::string prefix;
    std::set<std::string, std::less<>> known;

    table_reader(parse_state& target, const toml::table& source, std::string name)
        : state(target), table(source), prefix(std::move(name)) {}

    void problem(std::uint32_t line, std::string_view key, std::string expected) {
        std::string full = prefix;
        if (!full.empty() && !key.empty()) {
            full += ".";
        }
        state.problems.push_back({line, full.append(key), std::move(expected)});
    }

    const toml::node* find(std::string_view key) {
        known.emplace(key);
        return table.get(key);
    }

    // A node of the right type; a missing required key and a wrong type are problems.
    template <class T>
    const toml::value<T>* find_value(std::string_view key, bool required, const char* expected) {
        const toml::node* node = find(key);
        if (node == nullptr) {
            if (required) {
                problem(line_of(table), key, std::string(expected) + "; the key is missing");
            }
            return nullptr;
        }
        const auto* value = node->as<T>();
        if (value == nullptr) {
            problem(line_of(*node), key, expected);
        }
        return value;
    }

    std::string text(std::string_view key, bool required, const std::string& fallback = "") {
        const auto* value = find_value<std::string>(key, required, "a text");
        return value != nullptr ? value->get() : fallback;
    }

    bool flag(std::string_view key, bool fallback) {
        const auto* value = find_value<bool>(key, false, "true or false");
        return value != nullptr ? value->get() : fallback;
    }

    // Checks only that the value fits the type; core/config_check checks the range of each key.
    std::uint32_t integer(std::string_view key, bool required, std::uint32_t fallback) {
        const auto* value = find_value<std::int64_t>(key, required, "an integer");
        if (value == nullptr) {
            return fallback;
        }
        if (value->get() < 0 || value->get() > std::numeric_limits<std::uint32_t>::max()) {
            problem(line_of(*value), key, "an integer that is not negative and below 2^32");
            return fallback;
        }
        return static_cast<std::uint32_t>(value->get());
    }

    double number(std::string_view key, double fallback) {
        const toml::node* node = find(key);
        if (node == nullptr) {
            return fallback;
        }
        if (!node->is_number()) {
            problem(line_of(*node), key, "a number");
            return fallback;
        }
        return node->value<double>().value_or(fallback);
    }

    std::vector<std::string> texts(std::string_view key) {
        std::vector<std::string> values;
        const toml::node* node = find(key);
        if (node == nullptr) {
            return values;
        }
        const auto* array = node->as_array();
        if (array == nullptr) {
            problem(line_of(*node), key, "a list of texts");
            return values;
        }
        for (const auto& item : *array) {
            if (const auto* value = item.as_string()) {
                values.push_back(value->get());
            } else {
                problem(line_of(item), key, "a list of texts only");
            }
        }
        return values;
    }

    template <class Enum, std::size_t Count>
    Enum choice(std::string_view key, bool required, const enum_names<Count>& names, Enum fallback) {
        const std::string expected = "one of " + joined(names);
        const auto* value = find_value<std::string>(key, required, expected.c_str());
        if (value == nullptr) {
            return fallback;
        }
        const auto chosen = value_of<Enum>(names, value->get());
        if (!chosen) {
            problem(line_of(*value), key, expected);
        }
        return chosen.value_or(fallback);
    }

    wall_time time(std::string_view key) {
        static constexpr auto k_expected = "a date and time with offset, such as 2026-12-04T10:00:00Z";
        const auto* value = find_value<toml::date_time>(key, true, k_expected);
        if (value == nullptr) {
            return {};
        }
        const toml::date_time& given = value->get();
        if (!given.offset || given.date.year < 1970) {
            problem(line_of(*value), key, k_expected);
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

    const toml::table* inner(std::string_view key) {
        const toml::node* node = find(key);
        if (node != nullptr && !node->is_table()) {
            problem(line_of(*node), key, "a table");
        }
        return node != nullptr ? node->as_table() : nullptr;
    }

    // The tables of an array of tables.
    std::vector<const toml::table*> inner_tables(std::string_view key) {
        std::vector<const toml::table*> tables;
        const toml::node* node = find(key);
        const auto* array = node != nullptr ? node->as_array() : nullptr;
        if (node != nullptr && array == nullptr) {
            problem(line_of(*node), key, "a list of tables, written as [[...]]");
        }
        for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
            if (const auto* item = (*array)[i].as_table()) {
                tables.push_back(item);
            } else {
                problem(line_of((*array)[i]), key, "a list of tables only");
            }
        }
        return tables;
    }

    void finish() {
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

    template <std::size_t Count>
    static std::string joined(const enum_names<Count>& names) {
        std::string text;
        for (const auto& name : names) {
            text.append(text.empty() ? "" : ", ").append("\"").append(name).append("\"");
        }
        return text;
    }
};

void read_zone(table_reader& reader, fleet_config& config) {
    zone_config zone;
    zone.name = reader.text("name", true);
    zone.region = reader.text("region", true);
    config.zones.push_back(std::move(zone));
}

void read_organisation(table_reader& reader, fleet_config& config) {
    organisation_config organisation;
    organisation.share = reader.number("share", organisation.share);
    organisation.organisation_class = reader.text("class", false, organisation.organisation_class);
    // One table can list many organisations, since 24,000 tables exceed the store's size limit.
    auto names = reader.texts("names");
    const bool is_list = reader.table.contains("names");
    if (is_list && reader.table.contains("name")) {
        reader.problem(line_of(reader.table), "names", "either \"name\" or \"names\"");
    }
    const std::string name = reader.text("name", !is_list);
    if (!is_list) {
        names.push_back(name);
    }
    auto& tables = reader.state.tables.at(static_cast<std::size_t>(config_item::organisation));
    tables.pop_back();
    for (auto& each : names) {
        organisation.name = std::move(each);
        config.organisations.push_back(organisation);
        tables.push_back(&reader.table);
    }
}

void read_model(table_reader& reader, fleet_config& config) {
    model_config model;
    model.name = reader.text("name", true);
    model.version = reader.text("version", true);
    model.replicas = reader.integer("replicas", true, 1);
    config.models.push_back(std::move(model));
}

void read_objective(parse_state& state, const toml::table& table, objective& target) {
    table_reader reader(state, table, "service.objective");
    target.first_token_ms = reader.integer("first_token_ms", false, target.first_token_ms);
    target.token_gap_ms = reader.integer("token_gap_ms", false, target.token_gap_ms);
    target.honoured = reader.number("honoured", target.honoured);
    reader.finish();
}

version_requirement read_requirement(parse_state& state, const toml::table& table) {
    table_reader reader(state, table, "service.requires");
    version_requirement required;
    required.model = reader.text("model", true);
    required.versions = reader.texts("versions");
    reader.finish();
    return required;
}

non_repeatable_call split_call(const std::string& text) {
    const auto space = text.find(' ');
    return space == std::string::npos ? non_repeatable_call{text, ""}
                                      : non_repeatable_call{text.substr(0, space), text.substr(space + 1)};
}

void read_service(table_reader& reader, fleet_config& config) {
    service_config service;
    service.name = reader.text("name", true);
    service.kind = reader.choice("kind", true, k_service_kind_names, service.kind);
    service.model = reader.text("model", false);
    service.depends_on = reader.texts("depends_on");
    for (const auto& call : reader.texts("non_repeatable")) {
        service.non_repeatable.push_back(split_call(call));
    }
    for (const auto* table : reader.inner_tables("requires")) {
        service.required_versions.push_back(read_requirement(reader.state, *table));
    }
    if (const auto* table = reader.inner("objective")) {
        read_objective(reader.state, *table, service.objective);
    }
    config.services.push_back(std::move(service));
}

void read_target(table_reader& reader, fleet_config& config) {
    target_config target;
    target.name = reader.text("name", true);
    target.checks_orders = reader.flag("checks_orders", target.checks_orders);
    config.targets.push_back(std::move(target));
}

void read_move(table_reader& reader, fleet_config& config) {
    move_config move;
    move.id = reader.text("id", true);
    move.model = reader.text("model", true);
    move.from = reader.text("from", true);
    move.to = reader.text("to", true);
    move.strategy = reader.choice("strategy", false, k_move_strategy_names, move.strategy);
    move.deadline = reader.time("deadline");
    config.moves.push_back(std::move(move));
}

void read_limits(table_reader& reader, fleet_config& config) {
    auto& limits = config.limits;
    limits.max_prompt_bytes = reader.integer("max_prompt_bytes", false, limits.max_prompt_bytes);
    limits.max_tokens = reader.integer("max_tokens", false, limits.max_tokens);
    limits.max_queued_per_entry = reader.integer("max_queued_per_entry", false, limits.max_queued_per_entry);
    limits.retry_budget = reader.number("retry_budget", limits.retry_budget);
}

struct item_reader {
    config_item item;
    bool is_list;
    void (*read)(table_reader&, fleet_config&);
};

constexpr std::array<item_reader, k_config_item_count> k_item_readers{{
    {config_item::zone, true, read_zone},
    {config_item::organisation, true, read_organisation},
    {config_item::model, true, read_model},
    {config_item::service, true, read_service},
    {config_item::target, true, read_target},
    {config_item::move, true, read_move},
    {config_item::limits, false, read_limits},
}};

fleet_config read_config(parse_state& state, const toml::table& root) {
    fleet_config config;
    table_reader reader(state, root, "");
    for (const auto& entry : k_item_readers) {
        const std::string name(name_of(k_config_item_names, entry.item));
        std::vector<const toml::table*> tables;
        if (entry.is_list) {
            tables = reader.inner_tables(name);
        } else if (const auto* table = reader.inner(name)) {
            tables.push_back(table);
        }
        for (const auto* table : tables) {
            state.tables.at(static_cast<std::size_t>(entry.item)).push_back(table);
            table_reader item(state, *table, name);
            entry.read(item, config);
            item.finish();
        }
    }
    reader.finish();
    return config;
}

bool is_reported(const std::vector<text_problem>& problems, std::uint32_t line, const std::string& key) {
    return std::any_of(problems.begin(), problems.end(), [line, &key](const text_problem& problem) {
        return problem.line == line && problem.key == key;
    });
}

// Adds problems of the finished configuration at the line of their key, or of their table if the key is
// absent. A missing or mistyped key was reported when it was read and is not reported again for its fallback
// value.
void add_semantic_problems(parse_state& state, const std::vector<config_problem>& found) {
    const std::vector<text_problem> read_problems = state.problems;
    for (const auto& problem : found) {
        const std::string item(name_of(k_config_item_names, problem.item));
        const auto& tables = state.tables.at(static_cast<std::size_t>(problem.item));
        std::uint32_t line = 0;
        if (problem.index < tables.size()) {
            const auto node = tables[problem.index]->at_path(problem.key);
            line = line_of(node ? *node.node() : *tables[problem.index]);
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

tl::unexpected<error> report(std::vector<text_problem> problems, const std::string& name) {
    std::stable_sort(problems.begin(), problems.end(),
                     [](const text_problem& a, const text_problem& b) { return a.line < b.line; });
    std::string detail;
    for (const auto& problem : problems) {
        detail += (detail.empty() ? "" : "\n") + name + ":" + std::to_string(problem.line) + ": " +
                  problem.key + ": expected " + problem.expected;
    }
    return fail(error_kind::invalid_configuration, detail);
}

std::vector<text_problem> check_lines(std::string_view text) {
    std::vector<text_problem> problems;
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
        parse_state state;
        const fleet_config config = read_config(state, root);
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
