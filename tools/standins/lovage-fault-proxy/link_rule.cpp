#include "link_rule.h"

#include "standins/json_http.h"
#include "standins/setting_names.h"

#include <algorithm>
#include <array>
#include <limits>

namespace lovage::standins {

namespace {

using nlohmann::json;

struct blocked_directions {
    bool to_target;
    bool to_client;
};

constexpr std::array<blocked_directions, k_link_state_count> k_blocked_directions{{
    {false, false}, // open
    {true, true},   // cut
    {true, true},   // half_open
    {true, false},  // lose_to_target
    {false, true},  // lose_to_client
}};

const field_setters<link_rule> k_rule_fields{
    {"from", [](link_rule& rule, const json& value) { rule.from = value.get<std::string>(); }},
    {"state", [](link_rule& rule,
                 const json& value) { rule.state = parse_enum<link_state>(k_link_state_names, value); }},
    {"delay_ms",
     [](link_rule& rule, const json& value) { rule.delay = milliseconds(value.get<std::uint32_t>()); }},
    {"jitter_ms",
     [](link_rule& rule, const json& value) { rule.jitter = milliseconds(value.get<std::uint32_t>()); }},
    {"bytes_per_s",
     [](link_rule& rule, const json& value) { rule.bytes_per_s = value.get<std::uint64_t>(); }},
    {"loss", [](link_rule& rule, const json& value) { rule.loss = value.get<double>(); }},
    {"answer_bytes",
     [](link_rule& rule, const json& value) { rule.answer_bytes = value.get<std::int64_t>(); }},
    {"answer_end",
     [](link_rule& rule, const json& value) {
         rule.answer_end = parse_enum<link_state>(k_link_state_names, value);
     }},
    {"answer_connections",
     [](link_rule& rule, const json& value) { rule.answer_connections = value.get<std::int64_t>(); }},
};

} // namespace

bool blocks_direction(link_state state, link_direction direction) {
    const blocked_directions& blocked = k_blocked_directions.at(static_cast<std::size_t>(state));
    return direction == link_direction::to_target ? blocked.to_target : blocked.to_client;
}

std::size_t find_rule(const std::vector<link_rule>& rules, const std::string& client_ip) {
    const auto found = std::find_if(rules.begin(), rules.end(), [&client_ip](const link_rule& rule) {
        return client_ip.compare(0, rule.from.size(), rule.from) == 0;
    });
    return static_cast<std::size_t>(found - rules.begin());
}

link_rule read_rule(settings_reader& reader, const std::string& prefix) {
    constexpr auto any = std::numeric_limits<std::int64_t>::max();
    constexpr milliseconds longest{600'000};
    constexpr milliseconds none{0};
    link_rule rule;
    rule.from = reader.text(prefix + ".from", "");
    rule.state = read_enum_setting<link_state>(reader, prefix + ".state", k_link_state_names);
    rule.delay = reader.duration_ms(prefix + ".delay_ms", none, none, longest);
    rule.jitter = reader.duration_ms(prefix + ".jitter_ms", none, none, longest);
    rule.bytes_per_s = static_cast<std::uint64_t>(reader.integer(prefix + ".bytes_per_s", 0, 0, any));
    rule.loss = reader.number(prefix + ".loss", 0.0, 0.0, 1.0);
    rule.answer_bytes = reader.integer(prefix + ".answer_bytes", -1, -1, any);
    if (rule.answer_bytes >= 0) {
        rule.answer_end = read_enum_setting<link_state>(reader, prefix + ".answer_end", k_link_state_names);
        rule.answer_end = rule.answer_end == link_state::open ? link_state::cut : rule.answer_end;
    }
    rule.answer_connections = reader.integer(prefix + ".answer_connections", -1, -1, any);
    return rule;
}

result<std::vector<link_rule>> rules_from_json(const json& list) {
    std::vector<link_rule> rules;
    try {
        for (const auto& item : list.get<std::vector<json>>()) {
            set_fields(rules.emplace_back(), item, k_rule_fields);
        }
    } catch (const std::exception& failure) {
        return fail(error_kind::invalid_request, failure.what());
    }
    return rules;
}

json to_json(const std::vector<link_rule>& rules) {
    json list = json::array();
    for (const auto& rule : rules) {
        list.push_back({{"from", rule.from},
                        {"state", name_of(k_link_state_names, rule.state)},
                        {"delay_ms", rule.delay.count()},
                        {"jitter_ms", rule.jitter.count()},
                        {"bytes_per_s", rule.bytes_per_s},
                        {"loss", rule.loss},
                        {"answer_bytes", rule.answer_bytes},
                        {"answer_end", name_of(k_link_state_names, rule.answer_end)},
                        {"answer_connections", rule.answer_connections}});
    }
    return list;
}

} // namespace lovage::standins
