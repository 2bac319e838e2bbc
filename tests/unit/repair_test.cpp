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

struct move_replica_case {
    const char* name;
    std::uint32_t replicas;
    move_phase phase;
    void (*change)(repair_target& last_target);
    std::size_t expected_loads;
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

// Guards against moves that never land because the old version is loaded on more targets than configured, for
// example after a repair, and the new version on too few to replace it.
TEST_CASE("a move loads the new version on as many targets as have the old one") {
    const auto unchanged = [](repair_target&) {};
    const auto test = GENERATE_COPY(from_range(std::vector<move_replica_case>{
        {"as configured", 3, move_phase::loading, unchanged, 3},
        {"surplus of the old version", 1, move_phase::loading, unchanged, 3},
        {"surplus in the canary", 1, move_phase::canary, unchanged, 3},
        {"surplus on a target that drains", 1, move_phase::loading,
         [](repair_target& t) { t.report.draining = true; }, 2},
        {"surplus on a target whose engine is down", 1, move_phase::loading,
         [](repair_target& t) { t.report.engine_up = false; }, 2},
        {"reverted", 1, move_phase::reverted, unchanged, 0},
        {"landed", 1, move_phase::landed, unchanged, 1},
    }));
    CAPTURE(test.name);
    fleet_config config;
    config.models = {{"history", "v1", test.replicas}};
    move_record record;
    record.model = "history";
    record.from = "v1";
    record.to = "v2";
    record.phase = test.phase;
    std::vector<repair_target> targets;
    for (const char* agent : {"a", "b", "c"}) {
        targets.push_back(engine_of(agent, {{"history", "v1", ""}}));
    }
    test.change(targets.back());
    repair_state state;
    const auto orders = plan_orders(state, config, {record}, targets, 7, k_now);
    CHECK(orders.size() == test.expected_loads);
    for (const auto& [agent, order] : orders) {
        CHECK(order.kind == order_kind::load_version);
        CHECK(order.version.version == "v2");
    }
}

} // namespace lovage
