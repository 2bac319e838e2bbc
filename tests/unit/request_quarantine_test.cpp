#include "lovage/core/request_quarantine.h"

#include <catch2/catch.hpp>
#include <set>

namespace lovage {

namespace {

constexpr time_point k_start{std::chrono::seconds(1'000)};
constexpr request_fingerprint k_first = 1;
constexpr request_fingerprint k_second = 2;
constexpr request_fingerprint k_third = 3;

enum class step_kind : std::uint8_t { loss, success, answer };

// What becomes known `at_ms` after the start: the loss of `target` under `request`, a success of `request`,
// or an answer of `target` to a request that was sent 10 ms earlier.
struct step {
    int at_ms;
    step_kind kind;
    request_fingerprint request;
    std::string target;
};

step loss(int at_ms, request_fingerprint request, std::string target) {
    return {at_ms, step_kind::loss, request, std::move(target)};
}

step success(int at_ms, request_fingerprint request) {
    return {at_ms, step_kind::success, request, ""};
}

step answer(int at_ms, std::string target) {
    return {at_ms, step_kind::answer, 0, std::move(target)};
}

void apply(request_quarantine& quarantine, const step& each) {
    const auto at = k_start + milliseconds(each.at_ms);
    switch (each.kind) {
    case step_kind::loss:
        record_loss(quarantine, {each.request, each.target, 7, at, false}, at);
        break;
    case step_kind::success:
        record_request_success(quarantine, each.request, at);
        break;
    case step_kind::answer:
        withdraw_losses(quarantine, each.target, 7, at - milliseconds(10), at);
        break;
    }
}

struct verdict_case {
    const char* name;
    std::vector<step> steps;
    /// Verdict on the first request.
    request_verdict verdict;
    std::size_t losses;
};

// Guards against a request that crashes one target after the other, and against refusing sound requests that
// were lost beside it, with a whole zone, or with their answers only.
TEST_CASE("a request that crashes its targets is quarantined") {
    using verdict = request_verdict;
    const auto test = GENERATE(from_range(std::vector<verdict_case>{
        {"one target", {loss(0, k_first, "a")}, verdict::clear, 0},
        {"two targets", {loss(0, k_first, "a"), loss(70, k_first, "b")}, verdict::suspected, 2},
        {"three targets",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c")},
         verdict::quarantined,
         3},
        {"the same target twice",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), loss(71, k_first, "b")},
         verdict::suspected,
         2},
        {"targets that end together",
         {loss(0, k_first, "a"), loss(2, k_first, "b"), loss(3, k_first, "c"), loss(5, k_first, "d")},
         verdict::clear,
         1},
        {"a success in between",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), success(100, k_first), loss(140, k_first, "c")},
         verdict::clear,
         0},
        {"a success lifts it",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c"), success(200, k_first)},
         verdict::clear,
         0},
        {"succeeded before",
         {success(-50, k_first), loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c")},
         verdict::clear,
         0},
        {"succeeded before, five targets",
         {success(-50, k_first), loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c"),
          loss(210, k_first, "d"), loss(280, k_first, "e")},
         verdict::quarantined,
         5},
        {"a target that answers afterwards",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), answer(100, "b"), loss(140, k_first, "c")},
         verdict::suspected,
         2},
        {"an answer that was on its way",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), answer(75, "b"), loss(140, k_first, "c")},
         verdict::quarantined,
         3},
        {"a target that is back under its id",
         {loss(0, k_first, "a"), loss(70, k_first, "b"), answer(3'000, "b"), loss(3'140, k_first, "c")},
         verdict::quarantined,
         3},
        {"lost beside another request",
         {loss(0, k_second, "a"), loss(70, k_second, "b"), loss(140, k_second, "c"), loss(210, k_second, "d"),
          loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c")},
         verdict::clear,
         0},
        {"lost beside two others",
         {loss(0, k_second, "a"), loss(70, k_second, "b"), loss(140, k_second, "c"), loss(210, k_second, "d"),
          loss(280, k_third, "e"), loss(350, k_third, "f"), loss(420, k_third, "g"), loss(140, k_first, "c"),
          loss(210, k_first, "d"), loss(420, k_first, "g")},
         verdict::clear,
         0},
        {"beside another one that has succeeded before",
         {success(-50, k_second), loss(0, k_second, "a"), loss(70, k_second, "b"), loss(140, k_second, "c"),
          loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c")},
         verdict::quarantined,
         3},
    }));
    CAPTURE(test.name);
    request_quarantine quarantine;
    for (const auto& each : test.steps) {
        apply(quarantine, each);
    }
    const auto found = assess_request(quarantine, k_first);
    CHECK(found.verdict == test.verdict);
    CHECK(found.losses == test.losses);
}

struct permission_case {
    const char* name;
    /// Targets that were lost under the request, 100 ms apart.
    int losses;
    run_circumstances circumstances;
    /// When this process last sent it, after the last loss; negative for never.
    int trial_ms;
    /// When it may be sent, after the last loss; nothing if it always may.
    std::optional<int> earliest_ms;
};

// Guards against a request that takes the last target of its service, against all processes trying it again
// at the same moment, and against a verdict that never ends.
TEST_CASE("a suspected request waits for the targets, a quarantined one for its trial") {
    const auto test = GENERATE(from_range(std::vector<permission_case>{
        {"clear", 1, {0, true}, -1, std::nullopt},
        {"suspected, other targets left", 2, {2, true}, -1, 0},
        {"suspected, others left, tried", 2, {2, true}, 300, 1'300},
        {"suspected, last target", 2, {1, true}, -1, 5'000},
        {"suspected, no target", 2, {0, true}, -1, 5'000},
        {"suspected, last target, another process first", 2, {1, false}, -1, 10'000},
        {"suspected, last target, tried", 2, {1, true}, 5'200, 6'200},
        {"quarantined", 3, {20, true}, -1, 60'000},
        {"quarantined, another process first", 3, {20, false}, -1, 120'000},
        {"quarantined, tried", 3, {20, true}, 61'000, 121'000},
        {"quarantined, lost again", 4, {20, true}, -1, 240'000},
        {"quarantined, lost twice more", 5, {20, true}, -1, 960'000},
    }));
    CAPTURE(test.name);
    request_quarantine quarantine;
    time_point last{};
    for (int i = 0; i < test.losses; ++i) {
        last = k_start + milliseconds(100 * i);
        record_loss(quarantine, {k_first, "t" + std::to_string(i), 7, last, false}, last);
    }
    if (test.trial_ms >= 0) {
        record_trial(quarantine, k_first, last + milliseconds(test.trial_ms));
    }
    const auto earliest =
        earliest_run(quarantine, k_first, assess_request(quarantine, k_first), test.circumstances);
    CHECK(earliest == (test.earliest_ms ? last + milliseconds(*test.earliest_ms) : time_point{}));
}

// Guards against a stored verdict that counts twice, or that a success cannot lift.
TEST_CASE("a stored request is quarantined until it succeeds") {
    request_quarantine quarantine;
    for (int i = 0; i < 2; ++i) {
        restore_quarantined_request(quarantine, k_first, k_start + milliseconds(700 * i));
        restore_quarantined_request(quarantine, k_second, k_start + milliseconds(700 * i));
    }
    CHECK(quarantine.losses.size() == 2 * k_losses_to_quarantine);
    CHECK(assess_request(quarantine, k_first).verdict == request_verdict::quarantined);
    CHECK(assess_request(quarantine, k_second).verdict == request_verdict::quarantined);
    record_request_success(quarantine, k_first, k_start + milliseconds(800));
    CHECK(assess_request(quarantine, k_first).verdict == request_verdict::clear);
    CHECK(assess_request(quarantine, k_second).verdict == request_verdict::quarantined);
}

// Guards against memory that grows with the requests that are lost or served, and against evidence on a
// request that the flood of others pushes out.
TEST_CASE("the memory of lost requests is bounded") {
    request_quarantine quarantine;
    for (const auto& each : {loss(0, k_first, "a"), loss(70, k_first, "b"), loss(140, k_first, "c")}) {
        apply(quarantine, each);
    }
    for (std::uint64_t i = 0; i < 10 * k_max_losses; ++i) {
        const auto at = k_start + milliseconds(200 + i);
        record_loss(quarantine, {1'000 + i, "t" + std::to_string(i), 7, at, false}, at);
    }
    CHECK(quarantine.losses.size() <= k_max_losses);
    CHECK(assess_request(quarantine, k_first).verdict == request_verdict::quarantined);
    for (std::uint64_t i = 0; i < 3 * k_max_proven_requests; ++i) {
        record_request_success(quarantine, 100'000 + i, k_start + milliseconds(i));
    }
    CHECK(quarantine.successes.size() <= 2 * k_max_proven_requests + 1);
    const auto late = k_start + k_loss_retention + milliseconds(10'000);
    record_loss(quarantine, {k_second, "z", 7, late, false}, late);
    CHECK(quarantine.losses.size() == 1);
}

// Guards against losses that are never reported because the newest ones fill the reports.
TEST_CASE("reports take turns with the losses") {
    request_quarantine quarantine;
    for (std::uint64_t i = 0; i < 30; ++i) {
        const auto at = k_start + milliseconds(100 * i);
        record_loss(quarantine, {i, "t" + std::to_string(i), 7, at, false}, at);
    }
    std::set<request_fingerprint> reported;
    for (int i = 0; i < 8; ++i) {
        const auto losses = losses_to_report(quarantine, 8);
        CHECK(losses.size() == 8);
        CHECK(losses[3].request == 29);
        for (const auto& each : losses) {
            reported.insert(each.request);
        }
    }
    CHECK(reported.size() == 30);
}

} // namespace

} // namespace lovage
