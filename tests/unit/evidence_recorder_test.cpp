#include "lovage/core/token_latency.h"
#include "lovage/traffic/evidence_recorder.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovage {

namespace {

struct pace_step {
    int at_ms;
    std::size_t tokens;
};

struct pace_case {
    const char* name;
    bool continues;
    std::vector<pace_step> steps;
    bool first_slow;
    bool slow_gaps;
    bool clearly_slow;
};

std::vector<pace_step> every(int interval_ms, int count, int first_ms = 100) {
    std::vector<pace_step> steps;
    for (int i = 0; i < count; ++i) {
        steps.push_back({first_ms + i * interval_ms, 1});
    }
    return steps;
}

// Guards against slow answers that are not detected or only at the end of a long answer, and against batches
// of tokens that count as slow.
TEST_CASE("the token latency of an answer is compared with the objective") {
    const auto test = GENERATE(from_range(std::vector<pace_case>{
        {"fast", false, every(20, 50), false, false, false},
        {"first token late", false, {{941, 1}}, true, false, false},
        {"first token in time", false, {{940, 1}}, false, false, false},
        {"continued answer has no first token", true, {{50, 1}}, false, false, false},
        {"slow throughout", false, every(100, 20), false, true, true},
        {"slow, too short to evaluate early", false, every(100, 5), false, true, false},
        {"one slow gap", false, {{100, 1}, {300, 1}, {320, 1}}, false, false, false},
        {"batches in time", false, {{100, 4}, {300, 4}, {500, 4}}, false, false, false},
        {"batches too slow", false, {{100, 4}, {400, 4}, {700, 4}}, false, true, true},
    }));
    CAPTURE(test.name);
    const objective wanted;
    const time_point start(std::chrono::hours(1));
    token_latency latency = begin_token_latency(start, test.continues);
    for (const auto& step : test.steps) {
        add_tokens(latency, step.tokens, wanted, start + milliseconds(step.at_ms));
    }
    CHECK(latency.is_first_token_slow == test.first_slow);
    CHECK(has_slow_gaps(latency) == test.slow_gaps);
    CHECK(is_persistently_slow(latency) == test.clearly_slow);
}

// Guards against a report with more defects than requests, which the evaluation would truncate.
TEST_CASE("evidence is counted by version and route") {
    evidence_recorder recorder;
    recorder.record({"m", "v1", "s"}, evidence_event_kind::first_token);
    recorder.record({"m", "v2", "s"}, evidence_event_kind::slow_first_token);
    recorder.record({"m", "v2", "s"}, evidence_event_kind::failure);
    recorder.record({"m", "v2", "s"}, evidence_event_kind::slow_gap);
    const auto report = recorder.report();
    REQUIRE(report.items.size() == 2);
    CHECK(report.items[0].requests == 1);
    CHECK(report.items[0].failures == 0);
    CHECK(report.items[1].requests == 3);
    CHECK(report.items[1].failures == 1);
    CHECK(report.items[1].slow_first_tokens == 1);
    CHECK(report.items[1].slow_gaps == 1);
}

struct wanted_case {
    const char* name;
    bool has_move;
    bool vetoed;
    std::optional<move_phase> phase;
    bool wanted;
};

// Guards against a move (rollout) that is evaluated without evidence, and against reports while no move is in
// progress.
TEST_CASE("evidence is reported while a move is in progress") {
    const auto test = GENERATE(from_range(std::vector<wanted_case>{
        {"no move", false, false, std::nullopt, false},
        {"not recorded yet", true, false, std::nullopt, true},
        {"canary", true, false, move_phase::canary, true},
        {"landed", true, false, move_phase::landed, true},
        {"vetoed", true, true, move_phase::canary, false},
        {"reverted", true, false, move_phase::reverted, false},
    }));
    CAPTURE(test.name);
    fleet_config config;
    if (test.has_move) {
        config.moves.push_back({"move-1", "m", "v1", "v2", move_strategy::canary, {}});
    }
    fleet_view view;
    view.config = std::make_shared<const fleet_config>(config);
    if (test.vetoed) {
        view.vetoed_moves.emplace_back("move-1");
    }
    if (test.phase) {
        move_record record;
        record.id = "move-1";
        record.phase = *test.phase;
        view.moves.push_back(record);
    }
    CHECK(is_evidence_wanted(view) == test.wanted);
}

} // namespace

} // namespace lovage
