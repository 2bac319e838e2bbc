#include "lovage/core/routing.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace lovage {

namespace {

target_state make_target(const node_id& node, std::uint32_t in_flight = 0) {
    target_state target;
    target.node = node;
    target.connected = true;
    target.report.engine_up = true;
    target.report.slots = 10;
    target.report.loaded = {{"history", "v1", ""}};
    target.in_flight = in_flight;
    return target;
}

const target_requirements k_need{"history", "v1", "", {}, false};

} // namespace

struct eligible_case {
    const char* name;
    void (*change)(target_state&);
    bool eligible;
};

// Guards against requests for a target that is shutting down, disconnected or without the version.
TEST_CASE("only live targets with the version are eligible") {
    const auto test = GENERATE(from_range(std::vector<eligible_case>{
        {"unchanged", [](target_state&) {}, true},
        {"not connected", [](target_state& t) { t.connected = false; }, false},
        {"leaving", [](target_state& t) { t.leaving = true; }, false},
        {"draining", [](target_state& t) { t.report.draining = true; }, false},
        {"engine down", [](target_state& t) { t.report.engine_up = false; }, false},
        {"other version",
         [](target_state& t) {
             t.report.loaded = {{"history", "v2", ""}};
         },
         false},
        {"other model",
         [](target_state& t) {
             t.report.loaded = {{"notes", "v1", ""}};
         },
         false},
        {"only with adapter",
         [](target_state& t) {
             t.report.loaded = {{"history", "v1", "law"}};
         },
         false},
        {"no report", [](target_state& t) { t.report = {}; }, false},
    }));
    CAPTURE(test.name);
    auto target = make_target("a");
    test.change(target);
    CHECK(is_eligible(target, k_need) == test.eligible);
}

// Guards against choosing a target that just failed, and against sending all requests to one target.
TEST_CASE("targets are chosen by attempts in flight among those not excluded") {
    std::mt19937_64 random(1);
    const std::vector<target_state> targets{make_target("a", 9), make_target("b", 1), make_target("c", 9)};
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 600; ++i) {
        ++chosen[*choose_target(targets, k_need, {}, random)];
    }
    // Two random choices among three targets both miss "b" with a probability of 4/9.
    CHECK(chosen[1] > 280);
    CHECK(chosen[0] > 60);
    CHECK(chosen[2] > 60);

    target_requirements need = k_need;
    need.excluded = {"a", "b"};
    CHECK(choose_target(targets, need, {}, random) == 2U);
    need.excluded = {"a", "b", "c"};
    CHECK_FALSE(choose_target(targets, need, {}, random));
}

} // namespace lovage
