#include "lovage/core/claim.h"
#include "lovage/core/ejection.h"
#include "lovage/core/retry_budget.h"
#include "lovage/core/start_rate.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(milliseconds(ms));
}

struct admission_case {
    const char* name;
    double per_second;
    std::size_t queued_ahead;
    std::int64_t latest_start_ms;
    start_action action;
    error_kind kind;
};

// Guards against requests that are queued although they cannot start before their deadline.
TEST_CASE("admission refuses requests that cannot start in time") {
    const auto test = GENERATE(from_range(std::vector<admission_case>{
        {"empty queue", 10.0, 0, 1'000, start_action::queue, error_kind::overloaded},
        {"no measured rate", 0.0, 100, 1'000, start_action::queue, error_kind::overloaded},
        {"wait fits", 10.0, 10, 1'000, start_action::queue, error_kind::overloaded},
        {"wait too long", 10.0, 11, 1'000, start_action::refuse, error_kind::deadline_unreachable},
        {"deadline passed", 10.0, 0, 0, start_action::refuse, error_kind::deadline_exceeded},
    }));
    CAPTURE(test.name);
    service_rate rate;
    rate.per_second = test.per_second;
    const auto decision = decide_start(rate, test.queued_ahead, at_ms(test.latest_start_ms), at_ms(0));
    CHECK(decision.action == test.action);
    if (test.action == start_action::refuse) {
        CHECK(decision.kind == test.kind);
    }
}

// Guards against retries that multiply the load when every request fails.
TEST_CASE("retries stay within their share of the requests") {
    retry_budget budget;
    budget.per_second = 0.0;
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        record_request(budget);
        retries += try_spend_retry(budget, at_ms(i)) ? 1 : 0;
    }
    CHECK(retries <= 1'000 * budget.ratio + 10);
    CHECK(retries >= 100);
}

// A response of the store. To a create: ok, conflict or lost (no response); to a read: own, other, absent or
// lost.
enum class store_response : std::uint8_t { ok, conflict, lost, own, other, absent };

struct claim_case {
    const char* name;
    std::vector<store_response> responses;
    claim_action final_action;
    const char* bound_agent;
};

// Guards against a second agent that runs a request after the store's response to the write of the claim was
// lost.
TEST_CASE("a claim binds one agent whatever the store answers") {
    using responses = std::vector<store_response>;
    const auto test = GENERATE(from_range(std::vector<claim_case>{
        {"created", responses{store_response::ok}, claim_action::dispatch, "mine"},
        {"another claim exists", responses{store_response::conflict, store_response::other},
         claim_action::dispatch, "theirs"},
        {"answer lost, write took effect", responses{store_response::lost, store_response::own},
         claim_action::dispatch, "mine"},
        {"answer lost, another claim exists", responses{store_response::lost, store_response::other},
         claim_action::dispatch, "theirs"},
        {"answer lost, claim absent, created",
         responses{store_response::lost, store_response::absent, store_response::ok}, claim_action::dispatch,
         "mine"},
        {"delayed write arrives",
         responses{store_response::lost, store_response::absent, store_response::conflict,
                   store_response::own},
         claim_action::dispatch, "mine"},
        {"store down", responses{store_response::lost, store_response::lost, store_response::lost},
         claim_action::give_up, ""},
    }));
    CAPTURE(test.name);
    claim_progress progress;
    progress.wanted = {"mine", 1, 7};
    claim_action action = claim_action::create;
    for (const auto response : test.responses) {
        if (action == claim_action::create) {
            result<void> outcome;
            if (response != store_response::ok) {
                outcome = fail(response == store_response::conflict ? error_kind::revision_conflict
                                                                    : error_kind::store_unavailable,
                               "");
            }
            action = after_claim_create(progress, outcome);
        } else {
            REQUIRE(action == claim_action::read);
            result<std::optional<claim_record>> outcome = std::optional<claim_record>{};
            if (response == store_response::lost) {
                outcome = fail(error_kind::store_unavailable, "");
            } else if (response != store_response::absent) {
                outcome = response == store_response::own ? progress.wanted : claim_record{"theirs", 2, 8};
            }
            action = after_claim_read(progress, outcome);
        }
    }
    CHECK(action == test.final_action);
    CHECK((progress.bound ? progress.bound->agent : "") == test.bound_agent);
    CHECK(progress.write_sent);
}

struct ejection_case {
    const char* name;
    std::uint32_t failures;
    std::uint32_t ejected_now;
    std::uint32_t total;
    bool ejected;
};

// Guards against ejection after single failures, and against ejecting all targets of a version when their
// failures have a common cause.
TEST_CASE("ejection needs a series of failures and is limited to a share of the targets") {
    const auto test = GENERATE(from_range(std::vector<ejection_case>{
        {"two failures", 2, 0, 10, false},
        {"three failures", 3, 0, 10, true},
        {"share used up", 3, 3, 10, false},
        {"a single target is not ejected", 3, 0, 1, false},
    }));
    CAPTURE(test.name);
    ejection_state state;
    bool ejected = false;
    for (std::uint32_t i = 0; i < test.failures; ++i) {
        ejected = record_failure(state, ejection_limits{}, test.ejected_now, test.total, at_ms(i));
    }
    CHECK(ejected == test.ejected);
    CHECK(is_ejected(state, at_ms(500)) == test.ejected);
    CHECK_FALSE(is_ejected(state, at_ms(5'000)));
}

// Guards against a target that fails after every ejection and is still retried at the initial interval.
TEST_CASE("repeated ejections last longer up to the maximum") {
    ejection_state state;
    const ejection_limits limits;
    milliseconds previous{0};
    time_point now = at_ms(1);
    for (int i = 0; i < 20; ++i) {
        while (!record_failure(state, limits, 0, 10, now)) {
        }
        const auto duration = std::chrono::duration_cast<milliseconds>(state.ejected_until - now);
        CHECK(duration >= previous);
        CHECK(duration <= limits.max_duration);
        previous = duration;
        now = state.ejected_until;
    }
    CHECK(previous == limits.max_duration);
}

} // namespace

} // namespace lovage
