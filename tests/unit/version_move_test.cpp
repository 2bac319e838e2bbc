#include "lovage/control/gateway_moves.h"
#include "lovage/core/version_move.h"
#include "support/fake_gateway.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace lovage {

namespace {

using testing::fake_gateway;

time_point at_ms(std::int64_t ms) {
    return time_point(milliseconds(ms));
}

wall_time wall_ms(std::int64_t ms) {
    return wall_time(milliseconds(1'000'000 + ms));
}

const rollout_order k_order{"s", "v2", 10.0, 7};

move_record record_in(move_phase phase, double share) {
    move_record record;
    record.id = move_id(k_order);
    record.model = "s";
    record.to = "v2";
    record.phase = phase;
    record.share = share;
    record.deadline = wall_ms(10'000);
    return record;
}

struct plan_case {
    const char* name;
    std::optional<move_record> record;
    std::int64_t elapsed_ms;
    std::uint32_t targets;
    std::uint64_t evaluated;
    double defect_score;
    bool is_vetoed;
    /// Expected next phase; `nullopt` if the record stays.
    std::optional<move_phase> next;
    bool has_excess_defects = false;
};

// Guards against a bad version that lands, a good one that does not, and a record that changes after its
// final phase.
TEST_CASE("a move goes from phase to phase by evidence and time") {
    const auto test = GENERATE(from_range(std::vector<plan_case>{
        {"accepted", std::nullopt, 0, 0, 0, 0.0, false, move_phase::loading},
        {"cannot land within the request limits", record_in(move_phase::canary, 0.1), 2'000, 3, 90, 0.0,
         false, move_phase::reverted},
        {"no target yet", record_in(move_phase::loading, 0.0), 1'000, 0, 0, 0.0, false, std::nullopt},
        {"request rate not known", record_in(move_phase::loading, 0.0), 1'000, 3, 0, 0.0, false,
         std::nullopt},
        {"targets ready", record_in(move_phase::loading, 0.0), 1'500, 3, 0, 0.0, false, move_phase::canary},
        {"evaluated too briefly", record_in(move_phase::canary, 0.1), 7'000, 3, 20, 0.0, false, std::nullopt},
        {"too few requests", record_in(move_phase::canary, 0.1), 7'200, 3, 19, 0.0, false, std::nullopt},
        {"excess defects", record_in(move_phase::canary, 0.1), 7'200, 3, 20, 0.0, false, std::nullopt, true},
        {"high defect score", record_in(move_phase::canary, 0.1), 7'200, 3, 20, 0.6, false, std::nullopt},
        {"would get too many requests", record_in(move_phase::canary, 0.1), 7'200, 3, 45, 0.2, false,
         std::nullopt},
        {"load step", record_in(move_phase::canary, 0.1), 7'200, 3, 20, 0.2, false, move_phase::canary},
        {"loaded too briefly", record_in(move_phase::canary, 0.5), 8'500, 3, 40, 0.2, false, std::nullopt},
        {"bad under load", record_in(move_phase::canary, 0.5), 8'700, 3, 40, 0.2, false, std::nullopt, true},
        {"good", record_in(move_phase::canary, 0.5), 8'700, 3, 36, 0.2, false, move_phase::growing},
        {"vetoed", record_in(move_phase::canary, 0.1), 1'000, 3, 20, 0.2, true, move_phase::reverted},
        {"vetoed while requests at other targets end", record_in(move_phase::growing, 1.0), 9'100, 3, 30, 0.0,
         true, move_phase::reverted},
        {"requests at other targets end", record_in(move_phase::growing, 1.0), 8'900, 3, 30, 0.0, false,
         std::nullopt},
        {"landed", record_in(move_phase::growing, 1.0), 9'000, 3, 30, 0.0, false, move_phase::landed},
        {"late landing", record_in(move_phase::growing, 1.0), 9'900, 3, 30, 0.0, false, move_phase::landed},
        {"after the deadline", record_in(move_phase::growing, 1.0), 10'001, 3, 30, 0.0, false,
         move_phase::reverted},
        {"canary near the end", record_in(move_phase::canary, 0.1), 9'400, 3, 500, 0.6, false,
         move_phase::reverted},
        {"order seen too late", std::nullopt, 9'500, 3, 0, 0.0, false, move_phase::reverted},
        {"over, reverted", record_in(move_phase::reverted, 0.0), 5'000, 3, 90, 0.0, false, std::nullopt},
        {"over, landed, vetoed later", record_in(move_phase::landed, 1.0), 5'000, 3, 90, 0.0, true,
         std::nullopt},
    }));
    CAPTURE(test.name);
    version_move_input input;
    input.order = &k_order;
    input.record = test.record;
    input.elapsed = milliseconds(test.elapsed_ms);
    input.time_left = milliseconds(10'000 - test.elapsed_ms);
    input.targets = test.targets;
    input.evaluated_requests = test.evaluated;
    input.defect_score = test.defect_score;
    input.is_vetoed = test.is_vetoed;
    input.has_excess_defects = test.has_excess_defects;
    input.requests_per_s = 12.0;
    const auto next = plan_version_move(input);
    CHECK(next.has_value() == test.next.has_value());
    if (next && test.next) {
        CHECK(next->phase == *test.next);
        CHECK(next->id == "s@7");
        CHECK((next->phase == move_phase::growing || next->phase == move_phase::landed || next->share < 0.6));
    }
}

struct exposure_case {
    const char* name;
    double requests_per_s;
    std::int64_t request_ms;
    double duration_s;
    /// Whether the version gets requests; otherwise the move is reverted before any request goes to it.
    bool gets_requests;
};

// Guards against a bad version that gets more requests than allowed if its defect is never detected, and
// against a canary share that yields too few requests to evaluate.
TEST_CASE("the canary share stays within what a bad version may get") {
    const auto test = GENERATE(from_range(std::vector<exposure_case>{
        {"few long requests", 6.0, 6'000, 16.0, false},
        {"few long requests, more time", 6.0, 6'000, 90.0, true},
        {"long requests", 21.0, 6'000, 16.0, false},
        {"short move", 21.0, 60, 8.0, true},
        {"plain", 277.0, 60, 8.0, false},
        {"plain, more time", 277.0, 60, 60.0, true},
        {"many", 2'000.0, 60, 90.0, true},
    }));
    CAPTURE(test.name);
    rollout_order order = k_order;
    order.duration_s = test.duration_s;
    auto record = record_in(move_phase::loading, 0.0);
    version_move_input input;
    input.order = &order;
    input.record = record;
    input.elapsed = milliseconds(1'500);
    input.time_left = milliseconds(static_cast<std::int64_t>(test.duration_s * 1'000.0)) - input.elapsed;
    input.targets = 10;
    input.requests_per_s = test.requests_per_s;
    input.request_time = milliseconds(test.request_ms);
    const auto next = plan_version_move(input);
    REQUIRE(next);
    CHECK((next->phase == move_phase::canary) == test.gets_requests);
    if (!test.gets_requests) {
        CHECK(next->phase == move_phase::reverted);
        return;
    }
    const double left = std::chrono::duration<double>(input.time_left).count();
    CHECK(next->share * test.requests_per_s * left <= 0.1 * test.requests_per_s * test.duration_s + 50.0);
    CHECK(next->share * test.requests_per_s * left >= 20.0);
}

struct excess_case {
    const char* name;
    evidence_counts counts;
    bool has_excess_defects;
};

// Guards against a version that lands with defects that are too few for a veto by the sequential test.
TEST_CASE("a version with more defects than the usual one has excess defects") {
    const auto test = GENERATE(from_range(std::vector<excess_case>{
        {"no requests", {0, 0, 0, 0}, false},
        {"one failure", {10, 1, 0, 0}, false},
        {"a quarter fails", {40, 10, 0, 0}, true},
        {"half of few are slow", {6, 0, 4, 0}, true},
        {"as slow as the usual version", {40, 0, 8, 0}, false},
        {"slow gaps", {40, 0, 0, 9}, true},
    }));
    CAPTURE(test.name);
    evidence_table evidence;
    evidence.totals[{"s", "", "r"}] = {400, 4, 80, 4};
    evidence.totals[{"s", "v2", "r"}] = test.counts;
    evidence.totals[{"s", "v2", "other"}] = {30, 0, 0, 0};
    evidence.totals[{"s", "v3", "r"}] = {30, 30, 0, 0};
    CHECK(has_excess_defects(evidence, "s", "v2") == test.has_excess_defects);
}

struct share_case {
    const char* name;
    std::optional<move_record> record;
    bool is_vetoed;
    std::int64_t left_ms;
    double share;
};

// Guards against a version that gets requests after its veto or its deadline because the store is
// unavailable.
TEST_CASE("a process gives a vetoed or late version no share, on its own") {
    const auto test = GENERATE(from_range(std::vector<share_case>{
        {"no record", std::nullopt, false, 5'000, 0.0},
        {"canary", record_in(move_phase::canary, 0.1), false, 5'000, 0.1},
        {"vetoed", record_in(move_phase::canary, 0.1), true, 5'000, 0.0},
        {"deadline", record_in(move_phase::growing, 1.0), false, 0, 0.0},
        {"landed", record_in(move_phase::landed, 1.0), false, -5'000, 1.0},
        {"reverted", record_in(move_phase::reverted, 0.0), false, 5'000, 0.0},
    }));
    CAPTURE(test.name);
    CHECK(effective_share(test.record, test.is_vetoed, milliseconds(test.left_ms)) == test.share);
}

// Guards against a defect that appears only under load and is missed because the canary requests are spread
// over all targets of the version.
TEST_CASE("the canary share goes to few enough targets to load them") {
    CHECK(count_canaries(0.15, 80) == 8);
    CHECK(count_canaries(0.02, 10) == 1);
    CHECK(count_canaries(0.5, 3) == 1);
    CHECK(count_canaries(0.5, 1) == 1);
}

// The moves of one process and the store writes that it requests.
struct scripted_moves {
    gateway_moves moves;
    std::vector<move_write> writes;

    void run(std::int64_t ms) {
        moves_output output;
        run_moves(moves, at_ms(ms), wall_ms(ms), output);
        for (auto& write : output.writes) {
            writes.push_back(std::move(write));
        }
    }

    void receive_report(std::uint64_t requests, std::uint64_t failures,
                        std::vector<std::string> vetoes = {}) {
        move_evidence evidence;
        evidence_message report;
        report.items.push_back({"s", "v2", "r", requests, failures, 0, 0});
        report.items.push_back({"s", "", "r", requests * 10, 0, 0, 0});
        evidence.reports.emplace_back("n1", report);
        evidence.vetoes = std::move(vetoes);
        merge_evidence(moves, evidence);
    }

    // The store accepts the last write and the watch delivers it.
    void accept_last_write(std::int64_t ms, std::uint64_t revision) {
        const auto write = writes.back();
        apply_write_result(moves, {write.service, revision}, at_ms(ms));
        apply_move_record(moves, write.record, revision);
    }
};

// Guards against a good version that does not land. Runs the whole move step by step, as a process does.
TEST_CASE("a good version lands before its deadline") {
    scripted_moves process;
    process.moves.limits.bad_fixed = 500.0;
    process.receive_report(0, 0);
    apply_rollout_order(process.moves, k_order, at_ms(0));
    process.run(0);
    REQUIRE(process.writes.size() == 1);
    CHECK(process.writes[0].expected == 0);
    process.accept_last_write(10, 100);
    set_ready_targets(process.moves, "s", {"t1", "t2", "t3"});
    process.run(1'600);
    REQUIRE(process.writes.size() == 2);
    CHECK(process.writes[1].record.phase == move_phase::canary);
    CHECK(process.writes[1].expected == 100);
    process.accept_last_write(1'610, 101);
    const auto splits = make_splits(process.moves, at_ms(1'700), wall_ms(1'700));
    CHECK(splits.at("s").canaries.size() == 1);
    for (std::int64_t ms = 1'700; ms <= 9'950; ms += 250) {
        process.receive_report(static_cast<std::uint64_t>(ms / 250), 0);
        process.run(ms);
        if (process.writes.back().expected == process.moves.open.at("s").revision) {
            process.accept_last_write(ms, process.moves.open.at("s").revision + 1);
        }
    }
    CHECK(process.moves.open.at("s").record->phase == move_phase::landed);
    CHECK(make_splits(process.moves, at_ms(9'990), wall_ms(9'990)).at("s").share == 1.0);
}

// Guards against a bad version that keeps its share while the store cannot be reached.
TEST_CASE("a bad version loses its share before the store is updated") {
    const bool is_vetoed_by_other_process = GENERATE(true, false);
    scripted_moves process;
    process.receive_report(0, 0);
    apply_rollout_order(process.moves, k_order, at_ms(0));
    apply_move_record(process.moves, record_in(move_phase::canary, 0.1), 50);
    set_ready_targets(process.moves, "s", {"t1", "t2"});
    std::int64_t ms = 0;
    for (; ms <= 3'500; ms += 250) {
        const auto requests = static_cast<std::uint64_t>(ms / 50);
        process.receive_report(requests, is_vetoed_by_other_process ? 0 : requests / 2,
                               is_vetoed_by_other_process && ms >= 3'000 ? std::vector<std::string>{"s@7"}
                                                                         : std::vector<std::string>{});
        process.run(ms);
    }
    const auto split = make_splits(process.moves, at_ms(ms), wall_ms(ms)).at("s");
    CHECK(split.is_vetoed);
    CHECK(split.share == 0.0);
    REQUIRE_FALSE(process.writes.empty());
    CHECK(process.writes.back().record.phase == move_phase::reverted);
    CHECK(process.writes.back().expected == 50);
}

// Guards against a lost write that blocks the move, and against two concurrent writes.
TEST_CASE("a write without an answer is repeated with the same expected revision") {
    scripted_moves process;
    process.receive_report(0, 0);
    apply_rollout_order(process.moves, k_order, at_ms(0));
    process.run(0);
    process.run(250);
    REQUIRE(process.writes.size() == 1);
    apply_write_result(process.moves, {"s", fail(error_kind::store_unavailable, "scripted")}, at_ms(1'000));
    process.run(1'250);
    CHECK(process.writes.size() == 1);
    process.run(1'500);
    REQUIRE(process.writes.size() == 2);
    CHECK(process.writes[1].expected == process.writes[0].expected);
}

// Guards against concurrent writes of all processes, and against a write that no process makes because the
// one with the lowest write rank has failed.
TEST_CASE("a process writes when those before it in rank have not") {
    scripted_moves process;
    move_evidence evidence;
    evidence.write_rank = 2;
    merge_evidence(process.moves, evidence);
    apply_rollout_order(process.moves, k_order, at_ms(0));
    process.run(0);
    process.run(750);
    CHECK(process.writes.empty());
    process.run(800);
    CHECK(process.writes.size() == 1);
}

// Guards against a restarted process that treats a move in progress as a new one, or extends its deadline.
TEST_CASE("a restarted process continues from the stored record") {
    scripted_moves process;
    auto record = record_in(move_phase::canary, 0.1);
    record.deadline = wall_ms(500);
    apply_move_record(process.moves, record, 50);
    apply_rollout_order(process.moves, k_order, at_ms(0));
    CHECK(make_splits(process.moves, at_ms(0), wall_ms(0)).at("s").share == 0.1);
    CHECK(make_splits(process.moves, at_ms(600), wall_ms(600)).at("s").share == 0.0);
    rollout_order later = k_order;
    later.revision = 70;
    apply_rollout_order(process.moves, later, at_ms(700));
    CHECK_FALSE(process.moves.open.at("s").record.has_value());
    CHECK(process.moves.open.at("s").revision == 50);
}

// Guards against targets that get no requests because they replaced the targets of an earlier move without a
// new order.
TEST_CASE("a landed move ends some time after its landing, a reverted one with its order") {
    const auto phase = GENERATE(move_phase::landed, move_phase::reverted);
    scripted_moves process;
    apply_rollout_order(process.moves, k_order, at_ms(0));
    apply_move_record(process.moves, record_in(phase, phase == move_phase::landed ? 1.0 : 0.0), 50);
    process.run(100);
    CHECK(make_splits(process.moves, at_ms(9'000), wall_ms(9'000)).count("s") == 1);
    const auto later = make_splits(process.moves, at_ms(10'100), wall_ms(10'100));
    CHECK(later.count("s") == (phase == move_phase::landed ? 0 : 1));
    remove_rollout_order(process.moves, "s");
    CHECK(make_splits(process.moves, at_ms(9'000), wall_ms(9'000)).empty());
}

// Publishes six targets, "t1" and "t2" of version "v2", and a move to it with `share`.
void publish_move(fake_gateway& gateway, double share, std::set<std::string> canaries) {
    gateway.publish(request_kind::idempotent, 2, 6);
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    auto targets = std::make_shared<std::map<std::string, target_list>>(*view->targets);
    for (auto& record : targets->at("service")) {
        record.version = record.id == "t1" || record.id == "t2" ? "v2" : "v1";
    }
    view->targets = targets;
    version_split split;
    split.move = "service@7";
    split.version = "v2";
    split.share = share;
    split.canaries = std::move(canaries);
    split.is_evaluated = true;
    view->splits["service"] = split;
    apply_view(gateway.traffic, view);
}

// Lets the usual version answer, or fail, often enough for its answers to be a baseline.
void add_baseline(fake_gateway& gateway, int answers, int failures) {
    for (int i = 0; i < answers; ++i) {
        observe_first_event(gateway.traffic, {"service", "route", "v1"}, milliseconds(100));
    }
    for (int i = 0; i < failures; ++i) {
        observe_failure(gateway.traffic, {"service", "route", "v1"});
    }
}

struct side_case {
    const char* name;
    double share;
    bool is_moved;
};

// Guards against requests to a version at a share of 0, and checks where the retry of a failed request goes.
TEST_CASE("a request and its retry go to the usual or the moved side as the share determines") {
    const auto test = GENERATE(from_range(std::vector<side_case>{
        {"held back", 0.0, false},
        {"all", 1.0, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    publish_move(gateway, test.share, {});
    gateway.request();
    const auto first = gateway.attempts.at(0)->options.target_id;
    CHECK((first == "t1" || first == "t2") == test.is_moved);
    gateway.attempts.at(0)->events.on_head(fake_gateway::head(500));
    gateway.attempts.at(0)->events.on_end();
    REQUIRE(gateway.attempts.size() == 2);
    const auto second = gateway.attempts[1]->options.target_id;
    CHECK((second == "t1" || second == "t2") == test.is_moved);
    const auto report = gateway.traffic.versions.evidence.report();
    REQUIRE(report.items.size() == 1);
    CHECK(report.items[0].version == (test.is_moved ? "v2" : ""));
    CHECK(report.items[0].failures == 1);
}

// Guards against a canary that fails the same request twice, and against requests that are held because all
// canary targets are gone.
TEST_CASE("a canary gets at most one attempt of a request") {
    const bool has_canary = GENERATE(true, false);
    fake_gateway gateway;
    add_baseline(gateway, 20, 0);
    publish_move(gateway, 0.999'999, {has_canary ? "t1" : "t9"});
    gateway.request();
    const auto first = gateway.attempts.at(0)->options.target_id;
    CHECK((first == "t1") == has_canary);
    CHECK(first != "t2");
    gateway.attempts.at(0)->events.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 2);
    const auto second = gateway.attempts[1]->options.target_id;
    CHECK((second != "t1" && second != "t2"));
}

struct comparable_case {
    const char* name;
    double share;
    int answers;
    int failures;
    bool is_moved;
};

// Guards against a slow version that lands because its answers count as good where nothing is known to
// compare them with, as in a process that has just started.
TEST_CASE("a canary gets requests only where its answers can be compared") {
    const auto test = GENERATE(from_range(std::vector<comparable_case>{
        {"no answers", 0.999'999, 0, 0, false},
        {"too few answers", 0.999'999, 9, 0, false},
        {"enough answers", 0.999'999, 10, 0, true},
        {"the usual version fails", 0.999'999, 0, 10, true},
        {"the version gets everything", 1.0, 0, 0, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    add_baseline(gateway, test.answers, test.failures);
    publish_move(gateway, test.share, {"t1"});
    gateway.request();
    const auto target = gateway.attempts.at(0)->options.target_id;
    CHECK((target == "t1" || target == "t2") == test.is_moved);
}

struct slow_answer_case {
    const char* name;
    bool is_stream;
    milliseconds waited;
    bool is_slow;
};

// Guards against responses that count as slow while the latency of the baseline is unknown, or that exceed it
// only by a small margin, and against a slow version of a plain service whose answers do not count.
TEST_CASE("a first event counts as slow at several times the latency of the usual version") {
    const auto test = GENERATE(from_range(std::vector<slow_answer_case>{
        {"stream, two prompts at once", true, milliseconds(250), false},
        {"stream, nearly three times", true, milliseconds(280), false},
        {"stream", true, milliseconds(800), true},
        {"answer, twice", false, milliseconds(200), false},
        {"answer, nearly three times", false, milliseconds(280), true},
        {"answer", false, milliseconds(800), true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    auto view = std::make_shared<gateway_view>();
    version_split split;
    split.version = "v2";
    split.is_evaluated = true;
    view->splits["s"] = split;
    apply_view(gateway.traffic, view);
    const observed_answer moved{"s", "r", "v2", test.is_stream};
    observe_first_event(gateway.traffic, moved, milliseconds(900));
    for (int i = 0; i < 20; ++i) {
        observe_first_event(gateway.traffic, {"s", "r", "v1", test.is_stream}, milliseconds(100));
    }
    observe_first_event(gateway.traffic, moved, test.waited);
    const auto limit = slow_threshold(gateway.traffic, moved);
    REQUIRE(limit);
    CHECK((test.waited > *limit) == test.is_slow);
    for (const auto& item : gateway.traffic.versions.evidence.report().items) {
        CHECK(item.requests == (item.version == "v2" ? 2 : 20));
        CHECK(item.slow_first_tokens == (item.version == "v2" && test.is_slow ? 1 : 0));
    }
}

struct gap_case {
    const char* name;
    int usual_answers;
    milliseconds gap;
    std::uint64_t slow;
};

// Guards against a good version that counts as slow because the mean gap of the usual version starts at zero.
TEST_CASE("the mean gap is that of the usual version from its first answer on") {
    const auto test = GENERATE(from_range(std::vector<gap_case>{
        {"few answers, twice the gap", 10, milliseconds(100), 0},
        {"few answers, four times the gap", 10, milliseconds(200), 1},
        {"many answers, twice the gap", 200, milliseconds(100), 0},
        {"many answers, four times the gap", 200, milliseconds(200), 1},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    publish_move(gateway, 0.5, {"t1"});
    for (int i = 0; i < test.usual_answers; ++i) {
        observe_first_event(gateway.traffic, {"service", "route", "v1"}, milliseconds(500));
        observe_gap(gateway.traffic, {"service", "route", "v1"}, milliseconds(50));
    }
    observe_gap(gateway.traffic, {"service", "route", "v2"}, test.gap);
    std::uint64_t slow = 0;
    for (const auto& item : gateway.traffic.versions.evidence.report().items) {
        slow += item.version == "v2" ? item.slow_gaps : 0;
    }
    CHECK(slow == test.slow);
}

struct baseline_case {
    const char* name;
    int answers_before;
    int bad_answers_after_revert;
    int answers_during;
    std::uint64_t slow;
};

// Guards against a slow version that lands because each process has too few answers of the usual version
// since the order to compare with, and against a baseline that contains answers of a reverted version.
TEST_CASE("a slow version is compared with answers from before its order") {
    const auto test = GENERATE(from_range(std::vector<baseline_case>{
        {"answers before the order", 20, 0, 0, 1},
        {"few answers before and during", 6, 0, 6, 1},
        {"an earlier version was reverted", 20, 20, 0, 1},
        {"no answers", 0, 0, 0, 0},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    const auto publish = [&gateway](const std::string& version, double share, bool is_evaluated) {
        auto view = std::make_shared<gateway_view>();
        version_split split;
        split.version = version;
        split.share = share;
        split.is_evaluated = is_evaluated;
        view->splits["s"] = split;
        apply_view(gateway.traffic, view);
    };
    const auto answer = [&gateway](const std::string& version, int count, milliseconds time) {
        for (int i = 0; i < count; ++i) {
            observe_first_event(gateway.traffic, {"s", "r", version}, time);
        }
    };
    answer("v1", test.answers_before, milliseconds(100));
    CHECK(gateway.traffic.versions.evidence.report().items.empty());
    publish("v2", 0.0, false);
    answer("v2", test.bad_answers_after_revert, milliseconds(900));
    publish("v3", 0.5, true);
    answer("v1", test.answers_during, milliseconds(100));
    answer("v3", 1, milliseconds(400));
    for (const auto& item : gateway.traffic.versions.evidence.report().items) {
        CHECK(item.slow_first_tokens == (item.version == "v3" ? test.slow : 0));
    }
}

} // namespace

} // namespace lovage
