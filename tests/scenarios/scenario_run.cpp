#include "scenario_run.h"

#include "answer_world.h"
#include "call_world.h"
#include "fleet_world.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace lovage::scenarios {

namespace {

using run_function = run_outcome (*)(const scenario&);

// A world's run function and the events that it implements.
struct world {
    run_function run;
    std::vector<event_kind> events;
};

const std::array<world, k_world_kind_count> k_worlds{{
    {run_answer_world,
     {event_kind::crash, event_kind::pause, event_kind::cut, event_kind::late, event_kind::duplicate,
      event_kind::lose_message, event_kind::stall, event_kind::leave}},
    {run_call_world,
     {event_kind::crash, event_kind::pause, event_kind::cut, event_kind::late, event_kind::leave,
      event_kind::store_down, event_kind::lose_answers, event_kind::call}},
    {run_fleet_world,
     {event_kind::crash, event_kind::pause, event_kind::cut, event_kind::leave, event_kind::store_down,
      event_kind::lose_answers, event_kind::request, event_kind::refused_request, event_kind::edit,
      event_kind::move, event_kind::bad_version, event_kind::unload, event_kind::delay_orders}},
}};

bool compare(comparison relation, double seen, double wanted) {
    switch (relation) {
    case comparison::equals:
        return seen == wanted;
    case comparison::at_most:
        return seen <= wanted;
    case comparison::at_least:
        return seen >= wanted;
    }
    return false;
}

} // namespace

bool has_event(world_kind world, event_kind kind) {
    const auto& events = k_worlds.at(static_cast<std::size_t>(world)).events;
    return std::find(events.begin(), events.end(), kind) != events.end();
}

run_outcome run_scenario(const scenario& scenario_spec) {
    return k_worlds.at(static_cast<std::size_t>(scenario_spec.world)).run(scenario_spec);
}

std::vector<std::string> failures_of(const scenario& scenario_spec, const run_outcome& outcome) {
    std::vector<std::string> failures;
    for (const auto& found : outcome.violations) {
        failures.push_back(std::string(name_of(k_invariant_names, found.what)) + " at " +
                           std::to_string(found.at.count()) + " ms: " + found.detail);
    }
    for (const auto what : scenario_spec.always) {
        if (outcome.evaluated.count(what) == 0) {
            failures.push_back(std::string(name_of(k_invariant_names, what)) + " was never evaluated");
        }
    }
    for (const auto& check : scenario_spec.end) {
        const auto found = outcome.facts.find(check.fact);
        const double seen = found == outcome.facts.end() ? 0.0 : found->second;
        if (!compare(check.relation, seen, check.value)) {
            std::ostringstream text;
            text << check.fact << " is " << seen << ", expected "
                 << name_of(k_comparison_names, check.relation) << ' ' << check.value;
            failures.push_back(text.str());
        }
    }
    return failures;
}

} // namespace lovage::scenarios
