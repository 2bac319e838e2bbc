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

} // namespace

} // namespace lovage
