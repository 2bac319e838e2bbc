#include "lovage/core/routing.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace lovage {

namespace {

const time_point k_now(std::chrono::seconds(100));

target_state make_target(const std::string& node, const std::string& zone, std::uint32_t in_flight,
                         std::uint32_t reported = 0) {
    target_state target;
    target.node = node;
    target.zone = zone;
    target.connected = true;
    target.report.engine_up = true;
    target.report.slots = 10;
    target.report.running = reported;
    target.report.loaded = {{"m", "v1", ""}};
    target.reported_at = k_now;
    target.in_flight = in_flight;
    return target;
}

target_requirements make_need(std::uint64_t prefix = 0) {
    target_requirements need;
    need.model = "m";
    need.version = "v1";
    need.prefix = prefix;
    return need;
}

// Returns how often each node is chosen in 1,000 choices.
std::map<std::string, int> count_choices(const std::vector<target_state>& targets,
                                         const target_requirements& need, const std::string& zone = "a") {
    std::mt19937_64 random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i) {
        const auto chosen =
            choose_target(targets, need, {routing_policy::two_choices, zone, k_now, 0}, random);
        ++counts[chosen ? targets[*chosen].node : "none"];
    }
    return counts;
}

struct exclusion_case {
    const char* name;
    void (*change)(target_state&);
    bool is_resume;
    bool chosen;
};

// Guards against requests for a target that is shutting down, failed, full, ejected or without the version.
TEST_CASE("only usable targets are chosen") {
    const auto test = GENERATE(from_range(std::vector<exclusion_case>{
        {"usable", [](target_state&) {}, false, true},
        {"not connected", [](target_state& t) { t.connected = false; }, false, false},
        {"leaving", [](target_state& t) { t.leaving = true; }, false, false},
        {"draining", [](target_state& t) { t.report.draining = true; }, false, false},
        {"engine down", [](target_state& t) { t.report.engine_up = false; }, false, false},
        {"other version",
         [](target_state& t) {
             t.report.loaded = {{"m", "v2", ""}};
         },
         false, false},
        {"other adapter",
         [](target_state& t) {
             t.report.loaded = {{"m", "v1", "x"}};
         },
         false, false},
        {"full", [](target_state& t) { t.in_flight = 10; }, false, false},
        {"full, resume", [](target_state& t) { t.in_flight = 10; }, true, true},
        {"ejected, alone", [](target_state& t) { t.ejection.ejected_until = k_now + milliseconds(1); }, false,
         true},
    }));
    CAPTURE(test.name);
    std::vector<target_state> targets{make_target("t", "a", 0)};
    test.change(targets.front());
    auto need = make_need();
    need.is_resume = test.is_resume;
    std::mt19937_64 random(1);
    CHECK(choose_target(targets, need, {routing_policy::two_choices, "a", k_now, 0}, random).has_value() ==
          test.chosen);
}

// Guards against an ejected target that keeps getting requests while others are available.
TEST_CASE("ejected targets are not chosen while others are available") {
    std::vector<target_state> targets{make_target("good", "a", 0), make_target("bad", "a", 0)};
    targets[1].ejection.ejected_until = k_now + milliseconds(1);
    CHECK(count_choices(targets, make_need())["bad"] == 0);
}

// Guards against a zone preference that overloads the zone, and against traffic between zones without need.
TEST_CASE("targets in the entry's zone are preferred until they are more loaded") {
    CHECK(count_choices({make_target("near", "a", 1), make_target("far", "b", 1)}, make_need())["far"] == 0);
    CHECK(count_choices({make_target("near", "a", 8), make_target("far", "b", 1)}, make_need())["far"] > 600);
}

// Guards against many entries that have the same load reports and all choose the same target.
TEST_CASE("choices from the same reports are spread over the targets") {
    std::vector<target_state> targets;
    for (int i = 0; i < 10; ++i) {
        targets.push_back(make_target("t" + std::to_string(i), "a", 0, i == 0 ? 0U : 1U));
    }
    const auto counts = count_choices(targets, make_need());
    for (const auto& [node, count] : counts) {
        CAPTURE(node);
        CHECK(count < 250);
    }
}

// Guards against a prefix that is cached at every target, and against one that overloads its target.
TEST_CASE("a cached prefix attracts work within the load bound") {
    std::vector<target_state> targets;
    for (int i = 0; i < 5; ++i) {
        targets.push_back(make_target("t" + std::to_string(i), "a", 2));
    }
    const auto need = make_need(42);
    const auto prefix_choices = count_choices(targets, need);
    REQUIRE(prefix_choices.size() == 1);
    for (auto& target : targets) {
        target.in_flight = target.node == prefix_choices.begin()->first ? 8 : 2;
    }
    CHECK(count_choices(targets, need)[prefix_choices.begin()->first] < 100);
}

struct load_case {
    const char* name;
    std::uint32_t in_flight;
    std::uint32_t at_report;
    std::uint32_t reported;
    int age_s;
    double min_load;
    double max_load;
};

// Guards against an old load report that outweighs the entry's own count of attempts in flight.
TEST_CASE("load is the entry's own count plus the attempts of others in a recent report") {
    const auto test = GENERATE(from_range(std::vector<load_case>{
        {"own only", 3, 3, 3, 0, 0.3, 0.3},
        {"others", 1, 1, 6, 0, 0.6, 0.6},
        {"others, old report", 1, 1, 6, 5, 0.1, 0.13},
        {"own since the report", 4, 0, 0, 0, 0.4, 0.4},
        {"own ended since the report", 0, 4, 4, 0, 0.0, 0.0},
    }));
    CAPTURE(test.name);
    auto target = make_target("t", "a", test.in_flight, test.reported);
    target.in_flight_at_report = test.at_report;
    const double load = target_load(target, k_now + std::chrono::seconds(test.age_s));
    CHECK(load >= Approx(test.min_load));
    CHECK(load <= Approx(test.max_load));
}

} // namespace

} // namespace lovage
