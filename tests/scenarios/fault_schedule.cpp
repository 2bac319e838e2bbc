#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace lovage::scenarios {

namespace {

// Bounds of the random fields of one kind of event; bounds of 0 leave the field unset.
struct event_range {
    event_kind kind;
    int min_ms;
    int max_ms;
    double min_value;
    double max_value;
    // Whether the event may name entries and agents.
    bool allows_entries;
    bool allows_agents;
    bool needs_peer;
};

// What the random scenarios of one world consist of. A kind of event that is listed twice is twice as likely.
struct world_range {
    std::vector<scenario_actor> actors;
    std::vector<event_range> faults;
    std::vector<invariant> always;
    std::vector<end_check> end;
    int max_faults;
    milliseconds last_fault;
    milliseconds duration;
};

const std::vector<scenario_actor> k_fleet_actors{
    {"e1", node_role::entry, "ua-a", ""}, {"e2", node_role::entry, "ua-b", ""},
    {"e3", node_role::entry, "ua-c", ""}, {"a1", node_role::agent, "ua-a", ""},
    {"a2", node_role::agent, "ua-b", ""}, {"a3", node_role::agent, "ua-c", ""},
};

const std::array<world_range, k_world_kind_count> k_ranges{{
    {{{"e1", node_role::entry, "ua-a", ""},
      {"a1", node_role::agent, "ua-a", "v1"},
      {"a2", node_role::agent, "ua-b", "v1"},
      {"a3", node_role::agent, "ua-c", "v1"},
      {"a4", node_role::agent, "ua-c", "v2"}},
     {{event_kind::crash, 1'000, 5'000, 0, 0, false, true, false},
      {event_kind::pause, 50, 3'000, 0, 0, true, true, false},
      {event_kind::cut, 100, 3'000, 0, 0, true, true, true},
      {event_kind::late, 100, 2'000, 50, 900, false, true, false},
      {event_kind::duplicate, 100, 2'000, 0, 0, false, true, false},
      {event_kind::lose_message, 0, 0, 0, 0, false, true, false},
      {event_kind::stall, 100, 4'000, 0, 0, false, true, false},
      {event_kind::leave, 0, 0, 0, 0, false, true, false}},
     {invariant::no_token_missing, invariant::no_text_mixed},
     {{"open", comparison::equals, 0}},
     8,
     milliseconds{4'000},
     milliseconds{60'000}},
    {{{"e1", node_role::entry, "ua-a", ""},
      {"e2", node_role::entry, "ua-b", ""},
      {"a1", node_role::agent, "ua-a", ""},
      {"a2", node_role::agent, "ua-b", ""}},
     {{event_kind::crash, 1'000, 3'000, 0, 0, true, true, false},
      {event_kind::pause, 50, 3'000, 0, 0, true, true, false},
      {event_kind::cut, 100, 3'000, 0, 0, true, true, true},
      {event_kind::late, 100, 2'000, 50, 900, true, true, false},
      {event_kind::leave, 0, 0, 0, 0, false, true, false},
      {event_kind::store_down, 50, 2'000, 0, 0, false, false, false},
      {event_kind::lose_answers, 50, 2'000, 0, 0, false, false, false},
      {event_kind::call, 0, 0, 0, 0, true, false, false},
      {event_kind::call, 0, 0, 0, 0, true, false, false},
      {event_kind::call, 0, 0, 0, 0, true, false, false}},
     {},
     {{"open", comparison::equals, 0}},
     12,
     milliseconds{5'000},
     milliseconds{20'000}},
    {k_fleet_actors,
     {{event_kind::crash, 1'000, 8'000, 0, 0, true, true, false},
      {event_kind::pause, 100, 9'000, 0, 0, true, true, false},
      {event_kind::cut, 500, 8'000, 0, 0, true, true, true},
      {event_kind::leave, 0, 0, 0, 0, false, true, false},
      {event_kind::store_down, 200, 8'000, 0, 0, false, false, false},
      {event_kind::lose_answers, 200, 5'000, 0, 0, false, false, false},
      {event_kind::edit, 10, 500, 0, 0, false, false, false},
      {event_kind::edit, 10, 500, 0, 0, false, false, false},
      {event_kind::unload, 0, 0, 0, 0, false, true, false},
      {event_kind::unload, 0, 0, 0, 0, false, true, false},
      {event_kind::move, 15'000, 30'000, 0, 0, false, false, false},
      {event_kind::bad_version, 0, 0, 1, 1, false, false, false},
      {event_kind::delay_orders, 1'000, 5'000, 100, 9'000, true, false, false}},
     {invariant::config_never_reverts, invariant::one_leader},
     {{"nodes_behind", comparison::equals, 0}},
     8,
     milliseconds{10'000},
     milliseconds{34'000}},
}};

// Returns the name of a random actor, or "" if there is none. The store is only a peer in partitions.
std::string random_actor(const world_range& range, bool allows_entries, bool allows_agents,
                         std::mt19937_64& random) {
    std::vector<std::string> names;
    for (const auto& actor : range.actors) {
        if ((allows_entries && actor.role == node_role::entry) ||
            (allows_agents && actor.role == node_role::agent)) {
            names.push_back(actor.name);
        }
    }
    return names.empty() ? std::string()
                         : names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
}

int random_int(int low, int high, std::mt19937_64& random) {
    return std::uniform_int_distribution<int>(low, high)(random);
}

scenario_event generate_event(world_kind world, const world_range& range, std::mt19937_64& random) {
    const auto last = static_cast<int>(range.faults.size()) - 1;
    const event_range& kind = range.faults[static_cast<std::size_t>(random_int(0, last, random))];
    scenario_event event;
    event.at = milliseconds{random_int(0, static_cast<int>(range.last_fault.count()), random)};
    event.kind = kind.kind;
    event.actor = random_actor(range, kind.allows_entries, kind.allows_agents, random);
    event.duration = milliseconds{random_int(kind.min_ms, kind.max_ms, random)};
    event.value = random_int(static_cast<int>(kind.min_value), static_cast<int>(kind.max_value), random);
    if (kind.needs_peer) {
        const bool to_store = world != world_kind::answer && random_int(0, 3, random) == 0;
        event.peer = to_store ? "store" : random_actor(range, true, true, random);
    }
    if (event.kind == event_kind::edit) {
        event.text = std::to_string(random_int(0, 1'000'000, random));
    }
    return event;
}

} // namespace

scenario generate_scenario(world_kind world, std::uint64_t seed) {
    const world_range& range = k_ranges.at(static_cast<std::size_t>(world));
    std::mt19937_64 random(seed);
    scenario generated;
    generated.name = "generated";
    generated.world = world;
    generated.seed = seed;
    generated.duration = range.duration;
    generated.requests = 2;
    generated.actors = range.actors;
    generated.always = range.always;
    generated.end = range.end;
    const int count = random_int(2, range.max_faults, random);
    for (int i = 0; i < count; ++i) {
        generated.events.push_back(generate_event(world, range, random));
    }
    std::stable_sort(generated.events.begin(), generated.events.end(),
                     [](const scenario_event& a, const scenario_event& b) { return a.at < b.at; });
    return generated;
}

scenario shrink_scenario(scenario failing, const std::function<bool(const scenario&)>& fails) {
    bool has_shrunk = true;
    while (has_shrunk) {
        has_shrunk = false;
        for (std::size_t i = 0; i < failing.events.size(); ++i) {
            scenario candidate = failing;
            candidate.events.erase(candidate.events.begin() + static_cast<std::ptrdiff_t>(i));
            if (fails(candidate)) {
                failing = std::move(candidate);
                has_shrunk = true;
                break;
            }
        }
    }
    return failing;
}

} // namespace lovage::scenarios
