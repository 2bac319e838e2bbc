#include "lovage/core/repair.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

const time_point k_now(std::chrono::seconds(100));

repair_target engine_of(const node_id& agent, std::vector<loaded_version> loaded) {
    repair_target target;
    target.agent = agent;
    target.report.engine_up = true;
    target.report.slots = 8;
    target.report.loaded = std::move(loaded);
    return target;
}

struct order_case {
    const char* name;
    void (*change)(repair_target& free_target);
    /// The agent that is ordered to load the lost replica; empty for none.
    const char* expected_agent;
};

} // namespace

// Guards against load orders to targets that cannot load a model. Such an order to the agent of a plain
// service blocked a move until its deadline.
TEST_CASE("a lost replica is loaded by a live engine") {
    const auto test = GENERATE(from_range(std::vector<order_case>{
        {"free engine", [](repair_target&) {}, "free"},
        {"plain service", [](repair_target& t) { t.report.services = {"listings"}; }, ""},
        {"engine down", [](repair_target& t) { t.report.engine_up = false; }, ""},
        {"draining", [](repair_target& t) { t.report.draining = true; }, ""},
        {"no slots", [](repair_target& t) { t.report.slots = 0; }, ""},
    }));
    CAPTURE(test.name);
    fleet_config config;
    config.models = {{"history", "v1", 2}};
    std::vector<repair_target> targets{engine_of("busy", {{"history", "v1", ""}}), engine_of("free", {})};
    test.change(targets[1]);
    repair_state state;
    const auto orders = plan_orders(state, config, {}, targets, 7, k_now);
    REQUIRE(orders.size() == (std::string(test.expected_agent).empty() ? 0U : 1U));
    if (!orders.empty()) {
        CHECK(orders.front().first == test.expected_agent);
        CHECK(orders.front().second.fencing == 7);
        CHECK(orders.front().second.version.version == "v1");
        CHECK(plan_orders(state, config, {}, targets, 7, k_now).empty());
    }
}

} // namespace lovage
