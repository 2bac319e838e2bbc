#include "lovage/core/target_notice.h"

#include "support/fake_gateway.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

namespace {

using testing::fake_gateway;

constexpr time_point k_now{std::chrono::seconds(100)};

struct leaving_case {
    const char* name;
    bool is_recorded;
    std::uint64_t recorded_start_ms;
    std::uint64_t start_ms;
    bool accepts;
};

// Guards against work for a target that leaves, and against a restarted target that never gets work again.
TEST_CASE("a target that is leaving accepts no requests until it starts anew") {
    const auto test = GENERATE(from_range(std::vector<leaving_case>{
        {"no notice", false, 0, 7, true},
        {"same start", true, 7, 7, false},
        {"another start", true, 7, 8, true},
        {"start not known then", true, 0, 8, false},
        {"start not known now", true, 7, 0, false},
    }));
    CAPTURE(test.name);
    target_notice notice;
    if (test.is_recorded) {
        record_leaving(notice, test.recorded_start_ms, k_now);
    }
    target_record target;
    target.started_ms = test.start_ms;
    CHECK(accepts_requests(notice, target, k_now + std::chrono::hours(2)) == test.accepts);
}

struct pause_case {
    const char* name;
    std::vector<milliseconds> pauses;
    milliseconds end;
};

// Guards against requests during a target's pause, and against a pause without an end.
TEST_CASE("a target gets no requests until the latest end of its pauses") {
    const auto test = GENERATE(from_range(std::vector<pause_case>{
        {"one", {milliseconds(1'500)}, milliseconds(1'500)},
        {"a shorter one later", {milliseconds(1'500), milliseconds(100)}, milliseconds(1'500)},
        {"a longer one later", {milliseconds(100), milliseconds(1'500)}, milliseconds(1'500)},
        {"too long", {std::chrono::hours(900)}, std::chrono::minutes(10)},
    }));
    CAPTURE(test.name);
    target_notice notice;
    for (const auto pause : test.pauses) {
        record_pause(notice, pause, k_now);
    }
    CHECK_FALSE(accepts_requests(notice, {}, k_now + test.end - milliseconds(1)));
    CHECK(accepts_requests(notice, {}, k_now + test.end));
}

struct lifetime_case {
    const char* name;
    bool is_leaving;
    milliseconds age;
    bool is_obsolete;
};

// Guards against a notice that is lost while the target's entry has lapsed, and against ones that accumulate.
TEST_CASE("notices outlast the lapse of an entry") {
    const auto test = GENERATE(from_range(std::vector<lifetime_case>{
        {"leaving", true, std::chrono::minutes(30), false},
        {"leaving, long ago", true, std::chrono::minutes(61), true},
        {"paused", false, std::chrono::seconds(59), false},
        {"paused, long ago", false, std::chrono::minutes(61), true},
    }));
    CAPTURE(test.name);
    target_notice notice;
    if (test.is_leaving) {
        record_leaving(notice, 7, k_now);
    } else {
        record_pause(notice, std::chrono::minutes(1), k_now);
    }
    CHECK(is_obsolete(notice, k_now + test.age) == test.is_obsolete);
}

struct return_case {
    const char* name;
    std::vector<milliseconds> ends;
    /// Negative if a target accepts requests now.
    milliseconds retry_after;
};

// Guards against callers that return before a target accepts their requests, or long after.
TEST_CASE("callers return at the end of the first pause") {
    const auto test = GENERATE(from_range(std::vector<return_case>{
        {"no targets", {}, milliseconds(-1)},
        {"one accepts", {milliseconds(0), milliseconds(900)}, milliseconds(-1)},
        {"first of two", {milliseconds(2'000), milliseconds(900)}, milliseconds(900)},
        {"nearly over", {milliseconds(20)}, milliseconds(200)},
        {"long", {std::chrono::minutes(5)}, milliseconds(5'000)},
    }));
    CAPTURE(test.name);
    std::vector<time_point> ends;
    for (const auto end : test.ends) {
        ends.push_back(k_now + end);
    }
    const auto end = earliest_end(ends, k_now);
    CHECK(end.has_value() == (test.retry_after >= milliseconds(0)));
    if (end) {
        CHECK(return_after_pause(*end, k_now) == test.retry_after);
    }
}

void set_target(fake_gateway& gateway, bool is_present, std::uint64_t started_ms) {
    auto targets = std::make_shared<std::map<std::string, target_list>>();
    auto& list = (*targets)["service"];
    if (is_present) {
        target_record record;
        record.id = "t1";
        record.service = "service";
        record.address = "10.0.0.1:80";
        record.zone = "a";
        record.started_ms = started_ms;
        list.push_back(record);
    }
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    view->targets = targets;
    apply_view(gateway.traffic, view);
}

void answer(const testing::fake_attempt& attempt, const answer_head& head) {
    attempt.events.on_head(head);
    if (attempt.events.on_end) {
        attempt.events.on_end();
    }
}

struct leaving_target_case {
    const char* name;
    bool lapses;
    std::uint64_t started_ms;
    std::size_t attempts;
};

// Guards against requests to a target that is leaving while its entry is stale or comes back.
TEST_CASE("a target whose answer says that it leaves gets no further request") {
    const auto test = GENERATE(from_range(std::vector<leaving_target_case>{
        {"entry stays", false, 7, 1},
        {"entry lapses and returns", true, 7, 1},
        {"starts anew", false, 8, 2},
        {"starts anew after a lapse", true, 8, 2},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    set_target(gateway, true, 7);
    const auto first = gateway.request();
    auto head = fake_gateway::head(200);
    head.is_leaving = true;
    answer(*gateway.attempts.at(0), head);
    CHECK(gateway.caller.is_finished);
    if (test.lapses) {
        set_target(gateway, false, 0);
        gateway.advance(std::chrono::seconds(30));
    }
    set_target(gateway, true, test.started_ms);
    const auto second = gateway.request();
    CHECK(gateway.attempts.size() == test.attempts);
    CHECK(gateway.caller.replies.size() == 2 - test.attempts);
}

// Guards against a stream that is cut at a target that leaves, and against its standby copy at one.
TEST_CASE("a target that leaves keeps its streams and gets no standby copies or resumed streams") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    const auto holder = first->options.copy_to.target_id;
    REQUIRE_FALSE(holder.empty());
    auto head = fake_gateway::head(200);
    head.is_leaving = true;
    first->events.on_head(head);
    first->events.on_body(fake_gateway::event(1));
    gateway.advance(milliseconds(100));
    CHECK_FALSE(first->is_cancelled);
    record_leaving(gateway.traffic.notices[holder], 0, gateway.now);
    first->events.on_failure(attempt_end::broken, "scripted");
    const auto second = gateway.attempts.at(1);
    CHECK_FALSE(second->options.from_copy);
    CHECK(second->options.target_id != holder);
    CHECK(second->options.target_id != first->options.target_id);
    CHECK(second->options.copy_to.target_id.empty());
}

struct pausing_case {
    const char* name;
    int target_count;
    milliseconds later;
    /// Attempts after the second request, and the Retry-After of its refusal if it is refused.
    std::size_t attempts;
    milliseconds retry_after;
};

// Guards against requests to a target that has asked for a pause, and against callers that are held or sent
// back too early while all targets pause.
TEST_CASE("a target that has refused with a Retry-After gets no request until its end") {
    const auto test = GENERATE(from_range(std::vector<pausing_case>{
        {"at once", 1, milliseconds(0), 1, milliseconds(2'000)},
        {"during the pause", 1, milliseconds(1'200), 1, milliseconds(800)},
        {"after the pause", 1, milliseconds(2'000), 2, milliseconds(0)},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, test.target_count);
    auto refusal = fake_gateway::head(503);
    refusal.is_not_run = true;
    refusal.pause = milliseconds(2'000);
    const auto first = gateway.request();
    answer(*gateway.attempts.at(0), refusal);
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK(gateway.caller.replies[0].is_not_run);
    CHECK(gateway.caller.replies[0].retry_after.count() == 2'000);
    gateway.advance(test.later);
    const auto second = gateway.request();
    CHECK(gateway.attempts.size() == test.attempts);
    if (test.attempts == 1) {
        REQUIRE(gateway.caller.replies.size() == 2);
        CHECK(gateway.caller.replies[1].is_not_run);
        CHECK(gateway.caller.replies[1].retry_after.count() == test.retry_after.count());
    }
}

// Guards against a pause of one target that holds up requests which others can run.
TEST_CASE("requests go to the other targets while one pauses") {
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 2);
    const auto first = gateway.request();
    auto refusal = fake_gateway::head(503);
    refusal.is_not_run = true;
    refusal.pause = milliseconds(2'000);
    const auto paused = gateway.attempts.at(0)->options.target_id;
    gateway.attempts[0]->events.on_head(refusal);
    std::vector<std::shared_ptr<proxied_request>> others;
    for (int i = 0; i < 20; ++i) {
        others.push_back(gateway.request());
    }
    REQUIRE(gateway.attempts.size() == 22);
    for (std::size_t i = 1; i < gateway.attempts.size(); ++i) {
        CHECK(gateway.attempts[i]->options.target_id != paused);
    }
}

} // namespace

} // namespace lovage
