#include "lovage/core/target_notice.h"

#include "support/fake_gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

namespace {

using testing::fake_gateway;

constexpr time_point k_now{std::chrono::seconds(100)};

target_record started_at(std::uint64_t started_ms) {
    target_record target;
    target.started_ms = started_ms;
    return target;
}

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
    const auto found = availability_of(notice, started_at(test.start_ms), work_kind::new_work,
                                       k_now + std::chrono::hours(2));
    CHECK(found.state == (test.accepts ? acceptance::accepting : acceptance::leaving));
}

struct availability_case {
    const char* name;
    target_phase phase;
    bool is_leaving;
    bool is_paused;
    work_kind work;
    acceptance state;
};

// Guards against calls during a pause, against new work for a target that leaves, and against generations at
// such a target that nobody looks after.
TEST_CASE("a target's registration and notice decide what is sent to it") {
    const auto ready = target_phase::ready;
    const auto draining = target_phase::draining;
    const auto test = GENERATE_COPY(from_range(std::vector<availability_case>{
        {"nothing known", ready, false, false, work_kind::new_work, acceptance::accepting},
        {"draining", draining, false, false, work_kind::new_work, acceptance::leaving},
        {"draining, its generations", draining, false, false, work_kind::running_work, acceptance::accepting},
        {"leaving", ready, true, false, work_kind::new_work, acceptance::leaving},
        {"leaving, its generations", ready, true, false, work_kind::running_work, acceptance::accepting},
        {"paused", ready, false, true, work_kind::new_work, acceptance::paused},
        {"paused, its generations", ready, false, true, work_kind::running_work, acceptance::paused},
        {"both", ready, true, true, work_kind::new_work, acceptance::leaving},
        {"both, its generations", ready, true, true, work_kind::running_work, acceptance::paused},
    }));
    CAPTURE(test.name);
    target_notice notice;
    if (test.is_leaving) {
        record_leaving(notice, 7, k_now);
    }
    if (test.is_paused) {
        record_pause(notice, 7, milliseconds(500), 0.0, k_now);
    }
    auto target = started_at(7);
    target.phase = test.phase;
    const auto found = availability_of(notice, target, test.work, k_now);
    CHECK(found.state == test.state);
    if (test.state == acceptance::paused) {
        CHECK(found.until == k_now + milliseconds(500));
    }
}

struct new_start_case {
    const char* name;
    std::uint64_t recorded_start_ms;
    std::uint64_t start_ms;
    bool accepts;
};

// Guards against a restarted target that inherits the pause of its predecessor.
TEST_CASE("a target that starts anew is free of its pause") {
    const auto test = GENERATE(from_range(std::vector<new_start_case>{
        {"same start", 7, 7, false},
        {"another start", 7, 8, true},
        {"start not known then", 0, 8, false},
        {"start not known now", 7, 0, false},
    }));
    CAPTURE(test.name);
    target_notice notice;
    record_pause(notice, test.recorded_start_ms, milliseconds(500), 0.0, k_now);
    const auto found = availability_of(notice, started_at(test.start_ms), work_kind::new_work, k_now);
    CHECK((found.state == acceptance::accepting) == test.accepts);
    if (test.accepts) {
        record_pause(notice, test.start_ms, milliseconds(100), 0.0, k_now);
        CHECK(availability_of(notice, started_at(test.start_ms), work_kind::new_work, k_now).until ==
              k_now + milliseconds(100));
    }
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
        record_pause(notice, 7, pause, 0.0, k_now);
    }
    const auto state_at = [&notice](time_point now) {
        return availability_of(notice, started_at(7), work_kind::new_work, now).state;
    };
    CHECK(state_at(k_now + test.end - milliseconds(1)) == acceptance::paused);
    CHECK(state_at(k_now + test.end) == acceptance::accepting);
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
        record_pause(notice, 7, std::chrono::minutes(1), 0.0, k_now);
    }
    CHECK(is_obsolete(notice, k_now + test.age) == test.is_obsolete);
}

struct return_case {
    const char* name;
    /// What each target has stated.
    std::vector<target_availability> targets;
    /// Negative if there is no pause to wait for.
    milliseconds retry_after;
};

target_availability paused_for(milliseconds time) {
    return {acceptance::paused, k_now + time};
}

// Guards against callers that return before a target accepts their requests, or long after.
TEST_CASE("callers return at the end of the first pause") {
    const auto test = GENERATE(from_range(std::vector<return_case>{
        {"no targets", {}, milliseconds(-1)},
        {"one accepts", {{}, paused_for(milliseconds(900))}, milliseconds(-1)},
        {"first of two", {paused_for(milliseconds(2'000)), paused_for(milliseconds(900))}, milliseconds(900)},
        {"all leave", {{acceptance::leaving, {}}}, milliseconds(-1)},
        {"one leaves", {{acceptance::leaving, {}}, paused_for(milliseconds(900))}, milliseconds(900)},
        {"nearly over", {paused_for(milliseconds(20))}, milliseconds(200)},
        {"long", {paused_for(std::chrono::minutes(5))}, milliseconds(5'000)},
    }));
    CAPTURE(test.name);
    const auto end = earliest_end(test.targets);
    CHECK(end.has_value() == (test.retry_after >= milliseconds(0)));
    if (end) {
        CHECK(return_after_pause(*end, 0.0, k_now) == test.retry_after);
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

// What a target states in an answer.
answer_head statement(bool is_leaving, milliseconds pause) {
    auto head = fake_gateway::head(pause > milliseconds(0) ? 503 : 200);
    head.is_leaving = is_leaving;
    if (pause > milliseconds(0)) {
        head.pause = pause;
        head.is_not_run = true;
    }
    return head;
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
    record_notices(gateway.traffic, holder, 0, statement(true, milliseconds(0)));
    first->events.on_failure(attempt_end::broken, "scripted");
    const auto second = gateway.attempts.at(1);
    CHECK_FALSE(second->options.from_copy);
    CHECK(second->options.target_id != holder);
    CHECK(second->options.target_id != first->options.target_id);
    CHECK(second->options.copy_to.target_id.empty());
}

struct pausing_case {
    const char* name;
    milliseconds later;
    /// Attempts after the second request.
    std::size_t attempts;
    /// Bounds of the Retry-After of its refusal; 0 if it is served.
    milliseconds earliest;
    milliseconds latest;
};

// Guards against requests to a target that has asked for a pause, and against callers that are sent back too
// early or long after its end. Processes and callers return at random moments after the end, up to a quarter
// and half of the pause later.
TEST_CASE("a target that has refused with a Retry-After gets no request until its end") {
    const auto test = GENERATE(from_range(std::vector<pausing_case>{
        {"at once", milliseconds(0), 1, milliseconds(3'000), milliseconds(5'000)},
        {"during the pause", milliseconds(700), 1, milliseconds(2'300), milliseconds(4'600)},
        {"after the pause", milliseconds(3'750), 2, milliseconds(0), milliseconds(0)},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    const auto first = gateway.request();
    answer(*gateway.attempts.at(0), statement(false, milliseconds(3'000)));
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK(gateway.caller.replies[0].is_not_run);
    CHECK(gateway.caller.replies[0].retry_after >= milliseconds(3'000));
    CHECK(gateway.caller.replies[0].retry_after <= milliseconds(5'000));
    gateway.advance(test.later);
    const auto second = gateway.request();
    CHECK(gateway.attempts.size() == test.attempts);
    if (test.attempts == 1) {
        REQUIRE(gateway.caller.replies.size() == 2);
        CHECK(gateway.caller.replies[1].is_not_run);
        CHECK(gateway.caller.replies[1].retry_after >= test.earliest);
        CHECK(gateway.caller.replies[1].retry_after <= test.latest);
    }
}

struct waiting_case {
    const char* name;
    request_kind kind;
    milliseconds pause;
    bool waits;
};

// Guards against refusals of requests that can be served after a short pause, against requests that are held
// for a pause that lasts too long for them, and against timers that run meanwhile.
TEST_CASE("requests wait for the end of a pause of all targets within their objective") {
    const auto test = GENERATE(from_range(std::vector<waiting_case>{
        {"idempotent", request_kind::idempotent, milliseconds(1'000), true},
        {"not idempotent", request_kind::non_idempotent, milliseconds(1'000), true},
        {"generation", request_kind::streaming, milliseconds(1'000), true},
        {"too long", request_kind::idempotent, milliseconds(3'000), false},
        {"too long for a generation", request_kind::streaming, milliseconds(3'000), false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, 2, 2);
    record_notices(gateway.traffic, "t1", 0, statement(false, std::chrono::minutes(1)));
    record_notices(gateway.traffic, "t2", 0, statement(false, test.pause));
    std::vector<std::shared_ptr<proxied_request>> requests;
    for (int i = 0; i < 5; ++i) {
        requests.push_back(gateway.request("key", "/r/" + std::to_string(i)));
        gateway.advance(milliseconds(10));
    }
    CHECK(gateway.attempts.empty());
    CHECK(gateway.caller.replies.size() == (test.waits ? 0 : 5));
    gateway.advance(test.pause - milliseconds(51));
    CHECK(gateway.attempts.empty());
    CHECK(gateway.expired_timers == 0);
    // The end of the pause and the starts after it are spread.
    gateway.advance(test.pause / 4 + milliseconds(1'000));
    REQUIRE(gateway.attempts.size() == (test.waits ? 5 : 0));
    for (std::size_t i = 0; i < gateway.attempts.size(); ++i) {
        CHECK(gateway.attempts[i]->options.target_id == "t2");
        CHECK(gateway.attempts[i]->request->target == "/r/" + std::to_string(i));
    }
    CHECK(gateway.traffic.admission["service"].queue.size == 0);
}

// Guards against requests of one moment that wait for a pause and are refused afterwards, because their
// starts are spread over more time than they have.
TEST_CASE("requests that arrive together before the end of a pause start together") {
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    record_notices(gateway.traffic, "t1", 0, statement(false, milliseconds(1'700)));
    std::vector<std::shared_ptr<proxied_request>> requests;
    for (int i = 0; i < 20; ++i) {
        requests.push_back(gateway.request());
    }
    const auto refused = gateway.caller.replies.size();
    CHECK(refused == 0);
    gateway.advance(milliseconds(2'250));
    CHECK(gateway.attempts.size() == 20);
    CHECK(gateway.caller.replies.size() == refused);
}

struct change_case {
    const char* name;
    std::function<void(fake_gateway&)> change;
    bool is_served;
};

// Guards against requests that wait for the end of a pause although a target has registered or has started
// anew meanwhile, and against ones that wait for a target that has left.
TEST_CASE("requests that wait for a pause follow the registrations") {
    const auto test = GENERATE(from_range(std::vector<change_case>{
        {"the target starts anew", [](fake_gateway& gateway) { set_target(gateway, true, 8); }, true},
        {"the target is gone", [](fake_gateway& gateway) { set_target(gateway, false, 0); }, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    set_target(gateway, true, 7);
    record_notices(gateway.traffic, "t1", 7, statement(false, milliseconds(1'500)));
    const auto request = gateway.request();
    gateway.advance(milliseconds(100));
    REQUIRE(gateway.attempts.empty());
    test.change(gateway);
    gateway.advance(milliseconds(1));
    CHECK(gateway.attempts.size() == (test.is_served ? 1 : 0));
    CHECK(gateway.caller.replies.size() == (test.is_served ? 0 : 1));
}

// Guards against a caller that leaves during a pause and is served all the same.
TEST_CASE("a caller that leaves during a pause gives up its place") {
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    record_notices(gateway.traffic, "t1", 0, statement(false, milliseconds(500)));
    const auto request = gateway.request();
    REQUIRE(gateway.traffic.admission["service"].queue.size == 1);
    request->on_caller_disconnected();
    gateway.advance(milliseconds(2'000));
    CHECK(gateway.attempts.empty());
    CHECK(gateway.traffic.admission["service"].waiting.empty());
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

std::shared_ptr<forwarded_request> call_to(const std::string& path) {
    auto request = std::make_shared<forwarded_request>();
    request->target = path;
    return request;
}

std::size_t count_calls(const fake_gateway& gateway, const std::string& address, const std::string& path) {
    return static_cast<std::size_t>(std::count_if(
        gateway.attempts.begin(), gateway.attempts.end(), [&address, &path](const auto& attempt) {
            return attempt->options.target_id.empty() && attempt->options.address == address &&
                   attempt->request->target == path;
        }));
}

void enable_engine_calls(fake_gateway& gateway) {
    auto& engine = gateway.traffic.engine;
    engine.status_request = call_to("status");
    engine.decode_status = [](const std::string&, const std::string&) {
        return run_status{run_state::present, 1};
    };
    engine.make_standby_copy_request = [](const std::string&, const std::string&) { return call_to("copy"); };
    engine.decode_standby_copy = [](const std::string&) { return std::optional<std::string>("copy-1"); };
    engine.make_release_request = [](const std::string&) { return call_to("release"); };
}

// Advances until the engine at `address` is probed; at most for the longest gap of the route.
void wait_for_probe(fake_gateway& gateway, const std::string& address) {
    for (int i = 0; i < 70 && count_calls(gateway, address, "status") == 0; ++i) {
        gateway.advance(milliseconds(10));
    }
}

struct call_case {
    const char* name;
    const char* path;
    bool is_leaving;
    milliseconds pause;
    bool is_called;
};

// Guards against calls about running generations to a target that wants no requests, and against generations
// at a target that leaves which are no longer looked after.
TEST_CASE("a target that pauses gets no calls about its generations") {
    const milliseconds none(0);
    const milliseconds pause(5'000);
    const auto test = GENERATE_COPY(from_range(std::vector<call_case>{
        {"probe", "status", false, none, true},
        {"probe, leaving", "status", true, none, true},
        {"probe, paused", "status", false, pause, false},
        {"copy", "copy", false, none, true},
        {"copy, leaving", "copy", true, none, true},
        {"copy, paused", "copy", false, pause, false},
        {"release", "release", false, none, true},
        {"release, leaving", "release", true, none, true},
        {"release, paused", "release", false, pause, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    enable_engine_calls(gateway);
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1));
    const std::string path = test.path;
    const std::string address = first->options.address;
    const auto lose_holder = [&gateway, &first] {
        record_and_report_failure(gateway.traffic, "service", "b", first->options.copy_to.target_id,
                                  target_failure_kind::unreachable);
        gateway.advance(milliseconds(200));
        first->events.on_body(fake_gateway::event(2));
    };
    if (path == "release") {
        lose_holder();
        REQUIRE(count_calls(gateway, address, "copy") == 1);
        answer(*gateway.attempts.back(), fake_gateway::head(200));
    }
    record_notices(gateway.traffic, first->options.target_id, 0, statement(test.is_leaving, test.pause));
    if (path == "status") {
        wait_for_probe(gateway, address);
    } else if (path == "copy") {
        lose_holder();
    } else {
        first->events.on_end();
        CHECK(gateway.caller.is_finished);
    }
    CHECK(count_calls(gateway, address, path) == (test.is_called ? 1 : 0));
}

struct holder_case {
    const char* name;
    bool is_leaving;
    milliseconds pause;
    bool is_moved;
};

// Guards against the copies of many streams that all move because their holder pauses for a moment, and
// against a copy that ends with its holder.
TEST_CASE("a standby copy moves if its holder leaves, not if it pauses") {
    const auto test = GENERATE(from_range(std::vector<holder_case>{
        {"neither", false, milliseconds(0), false},
        {"paused", false, milliseconds(5'000), false},
        {"leaving", true, milliseconds(0), true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    enable_engine_calls(gateway);
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1));
    const auto holder = first->options.copy_to.target_id;
    REQUIRE_FALSE(holder.empty());
    record_notices(gateway.traffic, holder, 0, statement(test.is_leaving, test.pause));
    gateway.advance(milliseconds(200));
    first->events.on_body(fake_gateway::event(2));
    CHECK((count_calls(gateway, first->options.address, "copy") == 1) == test.is_moved);
    first->events.on_failure(attempt_end::broken, "scripted");
    const bool is_resumed_there = gateway.attempts.back()->options.target_id == holder;
    CHECK(is_resumed_there == (!test.is_leaving && test.pause == milliseconds(0)));
}

struct call_answer_case {
    const char* name;
    bool is_leaving;
    milliseconds pause;
    bool has_matching_request_id;
    bool accepts;
};

// Guards against notices that are heard only in answers to callers' requests, and against late answers to
// other requests that are taken for the answer to a call.
TEST_CASE("a target's notice counts in the answer to a call about it") {
    const auto test = GENERATE(from_range(std::vector<call_answer_case>{
        {"none", false, milliseconds(0), true, true},
        {"leaving", true, milliseconds(0), true, false},
        {"paused", false, milliseconds(3'000), true, false},
        {"of another request", true, milliseconds(0), false, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    enable_engine_calls(gateway);
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1));
    wait_for_probe(gateway, first->options.address);
    REQUIRE(count_calls(gateway, first->options.address, "status") == 1);
    auto head = statement(test.is_leaving, test.pause);
    head.has_matching_request_id = test.has_matching_request_id;
    answer(*gateway.attempts.back(), head);
    const auto* found = find_ready_target(gateway.traffic, "service", first->options.target_id);
    CHECK((found != nullptr) == test.accepts);
}

struct late_statement_case {
    const char* name;
    std::uint64_t answer_start_ms;
    std::uint64_t start_ms;
    bool accepts;
};

// Guards against an answer from before a restart that ends or starts a pause of the restarted target.
TEST_CASE("what a target stated before its restart does not concern its present start") {
    const auto test = GENERATE(from_range(std::vector<late_statement_case>{
        {"present start", 8, 8, false},
        {"earlier start", 7, 8, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    set_target(gateway, true, test.start_ms);
    record_notices(gateway.traffic, "t1", test.answer_start_ms, statement(false, milliseconds(3'000)));
    CHECK((find_ready_target(gateway.traffic, "service", "t1") != nullptr) == test.accepts);
    record_notices(gateway.traffic, "t1", test.start_ms, statement(true, milliseconds(0)));
    record_notices(gateway.traffic, "t1", 7, statement(false, milliseconds(3'000)));
    CHECK(find_ready_target(gateway.traffic, "service", "t1") == nullptr);
}

// Guards against idle connections to a target that leaves, which keep it from ending.
TEST_CASE("idle connections to a target that leaves are closed") {
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 1);
    const auto first = gateway.request();
    const auto second = gateway.request();
    gateway.attempts.at(0)->events.on_head(statement(true, milliseconds(0)));
    const std::string address = gateway.attempts[0]->options.address;
    CHECK(gateway.closed_addresses == std::vector<std::string>{address});
    gateway.attempts[0]->events.on_end();
    CHECK(gateway.closed_addresses.size() == 2);
    answer(*gateway.attempts.at(1), fake_gateway::head(200));
    CHECK(gateway.closed_addresses == std::vector<std::string>{address, address, address});
}

struct log_case {
    const char* name;
    std::vector<answer_head> heads;
    std::vector<std::string> events;
};

answer_head invalid_statement() {
    auto head = fake_gateway::head(503);
    head.is_not_run = true;
    head.has_invalid_pause = true;
    return head;
}

// Guards against a target that takes itself out unnoticed, and against a log line for each of its answers.
TEST_CASE("changes of what a target accepts are logged once") {
    const auto leaving = statement(true, milliseconds(0));
    const auto paused = statement(false, milliseconds(500));
    const auto test = GENERATE_COPY(from_range(std::vector<log_case>{
        {"leaving", {leaving, leaving}, {"target_leaving"}},
        {"paused", {paused, paused}, {"target_paused", "target_resumed"}},
        {"invalid", {invalid_statement(), invalid_statement()}, {"target_notice_invalid"}},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    std::vector<std::string> events;
    gateway.traffic.sink.log = [&events](log_level, std::string_view event, const std::vector<log_field>&) {
        if (event.substr(0, 7) == "target_") {
            events.emplace_back(event);
        }
    };
    gateway.publish(request_kind::idempotent, 2, 1);
    for (const auto& head : test.heads) {
        record_notices(gateway.traffic, "t1", 0, head);
    }
    const auto withheld = withheld_targets(gateway.traffic);
    CHECK(withheld.size() == (test.heads.front().has_invalid_pause ? 0 : 1));
    gateway.advance(milliseconds(1'000));
    const auto first = gateway.request();
    const auto second = gateway.request();
    CHECK(events == test.events);
}

} // namespace

} // namespace lovage
