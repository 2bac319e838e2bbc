#include "lovage/core/attempt_guard.h"
#include "lovage/core/call_ledger.h"
#include "lovage/core/engine_stall.h"
#include "lovage/core/order_guard.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

namespace {

constexpr incarnation k_own_incarnation = 7;

call_message make_call(std::uint64_t id, incarnation bound = k_own_incarnation) {
    call_message call;
    call.request = {0, id};
    call.repeatable = false;
    call.bound_incarnation = bound;
    return call;
}

call_result_message make_result(std::uint64_t id, bool not_run, std::string body = {}) {
    call_result_message result;
    result.request = {0, id};
    result.ok = !not_run;
    result.not_run = not_run;
    result.kind = not_run ? error_kind::target_busy : error_kind::internal;
    result.body = std::move(body);
    return result;
}

enum class ledger_event { arrive, finish, refuse };

struct ledger_step {
    ledger_event event;
    std::uint64_t id;
    int at_ms;
    incarnation bound;
    /// The expected decision; only for `arrive`.
    call_admission admission;
    /// The expected result that is returned with the decision; only for `arrive`.
    bool not_run;
    error_kind kind;
};

struct ledger_case {
    const char* name;
    std::vector<ledger_step> steps;
};

// Guards against a non-idempotent call that runs twice, and against `not_run` for a call that may have run.
TEST_CASE("the call ledger admits each call to run at most once") {
    constexpr auto arrive = ledger_event::arrive;
    constexpr auto finish = ledger_event::finish;
    constexpr auto refuse = ledger_event::refuse;
    constexpr auto run = call_admission::run;
    constexpr auto none = error_kind::internal;
    const auto test = GENERATE_COPY(from_range(std::vector<ledger_case>{
        {"a repeated call waits, then gets the result",
         {{arrive, 1, 0, k_own_incarnation, run, false, none},
          {arrive, 1, 1, k_own_incarnation, call_admission::wait, false, none},
          {finish, 1, 2, k_own_incarnation, run, false, none},
          {arrive, 1, 3, k_own_incarnation, call_admission::known, false, none}}},
        {"a refused call is refused again",
         {{arrive, 1, 0, k_own_incarnation, run, false, none},
          {refuse, 1, 0, k_own_incarnation, run, false, none},
          {arrive, 1, 50, k_own_incarnation, call_admission::known, true, error_kind::target_busy}}},
        {"a call of another incarnation never runs and is not reported as not run",
         {{arrive, 1, 0, k_own_incarnation - 1, call_admission::other_incarnation, false,
           error_kind::outcome_unknown},
          {arrive, 1, 0, 0, call_admission::other_incarnation, false, error_kind::outcome_unknown}}},
        {"a full ledger refuses without stating not run",
         {{arrive, 1, 0, k_own_incarnation, run, false, none},
          {arrive, 2, 0, k_own_incarnation, run, false, none},
          {arrive, 3, 0, k_own_incarnation, call_admission::full, false, error_kind::overloaded}}},
        {"finished calls expire after the retention period, which covers the claim's lease",
         {{arrive, 1, 0, k_own_incarnation, run, false, none},
          {finish, 1, 0, k_own_incarnation, run, false, none},
          {arrive, 1, 999, k_own_incarnation, call_admission::known, false, none},
          {arrive, 1, 1'000, k_own_incarnation, run, false, none}}},
        {"running calls do not expire",
         {{arrive, 1, 0, k_own_incarnation, run, false, none},
          {arrive, 1, 5'000, k_own_incarnation, call_admission::wait, false, none}}},
    }));
    CAPTURE(test.name);
    call_ledger_options options;
    options.max_calls = 2;
    options.retention = milliseconds(1'000);
    call_ledger ledger(k_own_incarnation, options);
    for (const auto& step : test.steps) {
        CAPTURE(step.at_ms);
        if (step.event != ledger_event::arrive) {
            ledger.finish(make_result(step.id, step.event == ledger_event::refuse));
            continue;
        }
        const auto decision =
            ledger.arrive(make_call(step.id, step.bound), "e", time_point(milliseconds(step.at_ms)));
        CHECK(decision.admission == step.admission);
        CHECK(decision.result.not_run == step.not_run);
        CHECK(decision.result.kind == step.kind);
    }
}

// Guards against entries that never get the result, and against an unbounded list of waiting entries.
TEST_CASE("the call ledger returns each waiting entry once") {
    call_ledger_options options;
    options.max_waiting_entries = 3;
    call_ledger ledger(k_own_incarnation, options);
    for (const char* entry : {"a", "b", "a", "b", "c", "d"}) {
        ledger.arrive(make_call(1), entry, time_point{});
    }
    CHECK(ledger.finish(make_result(1, false)) == std::vector<node_id>{"a", "b", "c"});
    CHECK(ledger.finish(make_result(1, false)).empty());
}

// Guards against memory that grows with the results, and against a call that runs again because its result
// was evicted.
TEST_CASE("the call ledger bounds the bytes of kept results") {
    call_ledger_options options;
    options.max_result_bytes = 100;
    call_ledger ledger(k_own_incarnation, options);
    for (std::uint64_t id = 0; id < 10; ++id) {
        ledger.arrive(make_call(id), "a", time_point{});
        ledger.finish(make_result(id, false, std::string(40, 'x')));
        CHECK(ledger.result_bytes() <= 100);
    }
    const auto oldest = ledger.arrive(make_call(0), "a", time_point{});
    CHECK(oldest.admission == call_admission::known);
    CHECK_FALSE(oldest.result.ok);
    CHECK(oldest.result.kind == error_kind::outcome_unknown);
    CHECK_FALSE(oldest.result.not_run);
    CHECK(ledger.arrive(make_call(9), "a", time_point{}).result.ok);
    CHECK(ledger.size() == 10);
}

struct order_case {
    const char* name;
    std::optional<fencing_number> learned;
    std::vector<std::pair<fencing_number, std::optional<error_kind>>> orders;
};

// Guards against orders of a leader that has lost its lease.
TEST_CASE("orders with an old fencing number are refused") {
    using orders = std::vector<std::pair<fencing_number, std::optional<error_kind>>>;
    const auto test = GENERATE_COPY(from_range(std::vector<order_case>{
        {"unknown term", std::nullopt, orders{{9, error_kind::not_ready}, {10, error_kind::not_ready}}},
        {"current term", 3, orders{{3, std::nullopt}, {3, std::nullopt}}},
        {"older than the known term", 3, orders{{2, error_kind::stale_fencing}}},
        {"a newer term fences off the old one", 3, orders{{5, std::nullopt}, {4, error_kind::stale_fencing}}},
    }));
    CAPTURE(test.name);
    order_guard guard;
    if (test.learned) {
        record_term(guard, *test.learned);
    }
    for (const auto& [fencing, expected] : test.orders) {
        order_message order;
        order.fencing = fencing;
        const auto admitted = admit_order(guard, order);
        CHECK(admitted.has_value() == !expected.has_value());
        if (!admitted && expected) {
            CHECK(admitted.error().kind == *expected);
        }
    }
}

// Guards against a term that decreases when a delayed response of the store arrives.
TEST_CASE("recording an older term does not lower the highest fencing number") {
    order_guard guard;
    record_term(guard, 5);
    record_term(guard, 3);
    CHECK(guard.highest == fencing_number{5});
}

struct attempt_step {
    bool is_close;
    std::uint64_t answer;
    attempt_number attempt;
    bool admitted;
};

// Guards against a delayed message that starts an attempt which was already replaced or cancelled.
TEST_CASE("only newer attempts of an answer are admitted") {
    const auto steps = GENERATE(from_range(std::vector<std::vector<attempt_step>>{
        {{false, 1, 1, true}, {false, 1, 1, false}, {false, 1, 2, true}, {false, 1, 1, false}},
        {{true, 1, 3, false}, {false, 1, 3, false}, {false, 1, 4, true}},
        {{false, 1, 2, true}, {false, 2, 1, true}, {true, 1, 1, false}, {false, 1, 3, true}},
    }));
    attempt_guard guard;
    for (const auto& step : steps) {
        const attempt_ref ref{{0, 1}, {step.answer}, step.attempt};
        if (step.is_close) {
            close_attempt(guard, ref);
        } else {
            CHECK(admit_attempt(guard, ref) == step.admitted);
        }
    }
}

// Guards against memory that grows with every answer.
TEST_CASE("the attempt guard is bounded") {
    attempt_guard guard;
    guard.capacity = 4;
    for (std::uint64_t i = 0; i < 100; ++i) {
        admit_attempt(guard, {{0, i}, {1}, 1});
    }
    CHECK(guard.highest.size() == 4);
    CHECK_FALSE(admit_attempt(guard, {{0, 99}, {1}, 1}));
}

struct engine_stall_case {
    int silence_ms;
    int load_age_ms;
    bool stalled;
};

// Guards against a slow prefill that is abandoned while the engine is alive, and against waiting for a failed
// engine.
TEST_CASE("a silent engine counts as stalled sooner when its load endpoint is silent too") {
    const auto test = GENERATE(from_range(std::vector<engine_stall_case>{
        {400, 5'000, false},
        {501, 5'000, true},
        {501, 100, false},
        {2'000, 600, false},
        {2'001, 600, true},
        {501, 601, true},
    }));
    CAPTURE(test.silence_ms, test.load_age_ms);
    CHECK(is_stream_stalled(milliseconds(test.silence_ms), milliseconds(test.load_age_ms), {}) ==
          test.stalled);
}

struct engine_ping_case {
    const char* name;
    bool has_token;
    int ping_ms;
    bool is_progress;
};

// Guards against a stalled generation that never ends because its engine sends pings, and against a long
// prompt that is given up while its engine computes it.
TEST_CASE("a ping is progress before the first token and within the prompt time") {
    const auto test = GENERATE(from_range(std::vector<engine_ping_case>{
        {"at the start", false, 1, true},
        {"at the end of the prompt time", false, 120'000, true},
        {"after the prompt time", false, 120'001, false},
        {"after a token", true, 2, false},
    }));
    CAPTURE(test.name);
    const time_point started{std::chrono::seconds(1'000)};
    engine_progress progress{started, started, false};
    if (test.has_token) {
        record_token(progress, started);
    }
    const time_point now = started + milliseconds(test.ping_ms);
    record_ping(progress, now, {});
    CHECK(progress.last == (test.is_progress ? now : started));
}

struct engine_check_case {
    const char* name;
    /// Times of the checks after the start.
    std::vector<int> checks_ms;
    int last_ms;
};

// Guards against a sound engine that counts as silent because its agent was held up, and against silence that
// starts anew without such a delay.
TEST_CASE("silence starts anew after a late check") {
    const auto test = GENERATE(from_range(std::vector<engine_check_case>{
        {"in time", {100, 200, 300}, 0},
        {"late within the threshold", {100, 450, 800}, 0},
        {"late", {100, 451}, 451},
        {"first check late", {351}, 351},
        {"in time after a late one", {500, 600, 700}, 500},
    }));
    CAPTURE(test.name);
    const time_point started{std::chrono::seconds(1'000)};
    engine_progress progress{started, started, false, started};
    for (const int at : test.checks_ms) {
        record_check(progress, milliseconds(100), started + milliseconds(at));
    }
    CHECK(progress.last == started + milliseconds(test.last_ms));
}

} // namespace

} // namespace lovage
