#include "lovage/core/decision_log.h"
#include "lovage/core/service_level.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

struct burn_case {
    const char* name;
    int total;
    int missed;
    double objective;
    double burn;
    double budget_left;
};

// Guards against a burn rate that hides an exhausted error budget.
TEST_CASE("the burn rate compares misses with the objective") {
    const auto test = GENERATE(from_range(std::vector<burn_case>{
        {"no request", 0, 0, 0.999, 0.0, 1.0},
        {"no miss", 1'000, 0, 0.999, 0.0, 1.0},
        {"budget just used up", 1'000, 1, 0.999, 1.0, 0.0},
        {"half the budget", 1'000, 5, 0.99, 0.5, 0.5},
        {"ten times the budget", 100, 10, 0.99, 10.0, 0.0},
    }));
    CAPTURE(test.name);
    service_level level;
    const time_point now(std::chrono::hours(5));
    level.series[{"s", "c", "r"}] = {};
    for (int i = 0; i < test.total; ++i) {
        record_request(level, {"s", "c", "r", i >= test.missed, false, 1, 0}, now);
    }
    const auto lines = burn_report(level, {{"s", test.objective}}, now);
    REQUIRE(lines.size() == 1);
    CHECK(lines.front().short_burn == Approx(test.burn));
    CHECK(lines.front().budget_left == Approx(test.budget_left).margin(1e-9));
}

// Guards against misses that are still counted after their window has passed.
TEST_CASE("burn windows exclude older misses") {
    burn_series series;
    const time_point start(std::chrono::hours(5));
    add_to_series(series, false, start);
    CHECK(counts_over(series, k_short_burn_window, start + std::chrono::minutes(4)).missed == 1);
    CHECK(counts_over(series, k_short_burn_window, start + std::chrono::minutes(6)).missed == 0);
    CHECK(counts_over(series, k_long_burn_window, start + std::chrono::minutes(59)).missed == 1);
    CHECK(counts_over(series, k_long_burn_window, start + std::chrono::minutes(61)).missed == 0);
}

// Guards against a decision log whose memory grows with the number of requests.
TEST_CASE("the decision log is bounded and keeps the newest entries") {
    decision_log log;
    log.max_subjects = 10;
    log.max_entries_per_subject = 3;
    for (int i = 0; i < 1'000; ++i) {
        record_decision(log, "request-" + std::to_string(i / 10), {wall_time{}, "event", std::to_string(i)});
    }
    CHECK(log.subjects.size() == 10);
    CHECK(log.order.size() == 10);
    CHECK(decisions_about(log, "request-0").empty());
    const auto last = decisions_about(log, "request-99");
    REQUIRE(last.size() == 3);
    CHECK(last.back().detail == "999");
}

} // namespace

} // namespace lovage
