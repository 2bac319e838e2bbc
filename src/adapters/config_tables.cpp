#include "config_tables.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

namespace {

void read_zone(config_table_reader& reader, fleet_config& config) {
    zone_config zone;
    zone.name = reader.text("name", true);
    zone.region = reader.text("region", true);
    config.zones.push_back(std::move(zone));
}

void read_organisation(config_table_reader& reader, fleet_config& config) {
    organisation_config organisation;
    organisation.share = reader.number("share", organisation.share);
    organisation.organisation_class = reader.text("class", false, organisation.organisation_class);
    // One table can list many organisations, since 24,000 tables exceed the store's size limit.
    auto names = reader.texts("names");
    const bool is_list = reader.table.contains("names");
    if (is_list && reader.table.contains("name")) {
        reader.problem(toml_line(reader.table), "names", "either \"name\" or \"names\"");
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

void read_model(config_table_reader& reader, fleet_config& config) {
    model_config model;
    model.name = reader.text("name", true);
    model.version = reader.text("version", true);
    model.replicas = reader.integer("replicas", true, 1);
    config.models.push_back(std::move(model));
}

void read_objective(config_parse_state& state, const toml::table& table, objective& target) {
    config_table_reader reader(state, table, "service.objective");
    target.first_token_ms = reader.integer("first_token_ms", false, target.first_token_ms);
    target.token_gap_ms = reader.integer("token_gap_ms", false, target.token_gap_ms);
    target.honoured = reader.number("honoured", target.honoured);
    reader.finish();
}

version_requirement read_requirement(config_parse_state& state, const toml::table& table) {
    config_table_reader reader(state, table, "service.requires");
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

void read_service(config_table_reader& reader, fleet_config& config) {
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

void read_target(config_table_reader& reader, fleet_config& config) {
    target_config target;
    target.name = reader.text("name", true);
    target.checks_orders = reader.flag("checks_orders", target.checks_orders);
    config.targets.push_back(std::move(target));
}

void read_move(config_table_reader& reader, fleet_config& config) {
    move_config move;
    move.id = reader.text("id", true);
    move.model = reader.text("model", true);
    move.from = reader.text("from", true);
    move.to = reader.text("to", true);
    move.strategy = reader.choice("strategy", false, k_move_strategy_names, move.strategy);
    move.deadline = reader.time("deadline");
    config.moves.push_back(std::move(move));
}

void read_limits(config_table_reader& reader, fleet_config& config) {
    auto& limits = config.limits;
    limits.max_prompt_bytes = reader.integer("max_prompt_bytes", false, limits.max_prompt_bytes);
    limits.max_tokens = reader.integer("max_tokens", false, limits.max_tokens);
    limits.max_queued_per_entry = reader.integer("max_queued_per_entry", false, limits.max_queued_per_entry);
    limits.retry_budget = reader.number("retry_budget", limits.retry_budget);
}

struct item_reader {
    config_item item;
    bool is_list;
    void (*read)(config_table_reader&, fleet_config&);
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

} // namespace

fleet_config read_config_tables(config_parse_state& state, const toml::table& root) {
    fleet_config config;
    config_table_reader reader(state, root, "");
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
            config_table_reader item(state, *table, name);
            entry.read(item, config);
            item.finish();
        }
    }
    reader.finish();
    return config;
}

} // namespace lovage
