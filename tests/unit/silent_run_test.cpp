#include "support/fake_gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace lovage {

namespace {

using testing::fake_attempt;
using testing::fake_gateway;

constexpr int k_events_before_silence = 10;

std::string events(int first, int last) {
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += fake_gateway::event(number);
    }
    return text;
}

// Starts a stream, and lets its engine fall silent after some events until it is given up.
std::shared_ptr<proxied_request> start_silent_stream(fake_gateway& gateway, int target_count) {
    gateway.publish(request_kind::streaming, 5, target_count);
    auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    first.events.on_head(fake_gateway::head(200));
    for (int number = 1; number <= k_events_before_silence; ++number) {
        first.events.on_body(fake_gateway::event(number));
        gateway.advance(milliseconds(30));
    }
    gateway.advance(milliseconds(370));
    return request;
}

void refuse(fake_attempt& attempt, int status, bool is_other_target) {
    auto head = fake_gateway::head(status);
    head.is_not_run = !is_other_target;
    head.is_other_target = is_other_target;
    attempt.events.on_head(head);
}

gateway_view_ptr view_with_targets(const fake_gateway& gateway, target_list targets) {
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    auto by_service = std::make_shared<std::map<std::string, target_list>>();
    if (!targets.empty()) {
        (*by_service)["service"] = std::move(targets);
    }
    view->targets = by_service;
    ++view->sequence;
    return view;
}

void remove_targets(fake_gateway& gateway) {
    apply_view(gateway.traffic, view_with_targets(gateway, {}));
}

void remove_target(fake_gateway& gateway, const std::string& id) {
    auto targets = gateway.traffic.view->targets->at("service");
    targets.erase(std::remove_if(targets.begin(), targets.end(),
                                 [&id](const target_record& target) { return target.id == id; }),
                  targets.end());
    apply_view(gateway.traffic, view_with_targets(gateway, std::move(targets)));
}

// Lets the engines keep no standby copies.
void remove_copies(fake_gateway& gateway) {
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    auto table = std::make_shared<route_table>(*view->table);
    table->services["service"].engine->sends_copies = false;
    index_routes(*table);
    view->table = table;
    ++view->sequence;
    apply_view(gateway.traffic, view);
}

// Sends the head and events of a stream to the caller.
void begin_stream(fake_attempt& attempt, int first, int last) {
    attempt.events.on_head(fake_gateway::head(200));
    attempt.events.on_body(events(first, last));
}

void advance_until_attempt(fake_gateway& gateway, std::size_t count) {
    for (int step = 0; step < 500 && gateway.attempts.size() < count; ++step) {
        gateway.advance(milliseconds(10));
    }
}

struct successor_case {
    const char* name;
    std::function<void(fake_gateway&, fake_attempt&)> fail;
};

// Guards against a stream that is broken off while its engine is only silent, because no other target
// continues it.
TEST_CASE("a silent stream goes on at its engine if its successor does not begin") {
    const auto test = GENERATE(from_range(std::vector<successor_case>{
        {"the copy is gone", [](fake_gateway&, fake_attempt& next) { refuse(next, 503, false); }},
        {"another target has the address",
         [](fake_gateway&, fake_attempt& next) { refuse(next, 421, true); }},
        {"unreachable",
         [](fake_gateway&, fake_attempt& next) {
             next.events.on_failure(attempt_end::unreachable, "scripted");
         }},
        {"connects time out",
         [](fake_gateway& gateway, fake_attempt& next) {
             // The first successor was sent 50 ms before.
             gateway.advance(milliseconds(200));
             next.events.on_failure(attempt_end::unreachable, "scripted");
         }},
        {"unreachable, and the others were removed",
         [](fake_gateway& gateway, fake_attempt& next) {
             remove_targets(gateway);
             next.events.on_failure(attempt_end::unreachable, "scripted");
         }},
        {"refused, and the retry budget shrank",
         [](fake_gateway& gateway, fake_attempt& next) {
             gateway.traffic.options.retries = {0.0, 0.0, milliseconds(10'000)};
             refuse(next, 503, false);
         }},
    }));
    const int target_count = GENERATE(2, 3);
    CAPTURE(test.name, target_count);
    fake_gateway gateway;
    const auto request = start_silent_stream(gateway, target_count);
    const auto first = gateway.attempts.at(0);
    REQUIRE(gateway.attempts.size() == 2);
    CHECK_FALSE(first->is_cancelled);
    for (std::size_t next = 1; next < gateway.attempts.size(); ++next) {
        const auto attempt = gateway.attempts[next];
        test.fail(gateway, *attempt);
    }
    CHECK_FALSE(first->is_cancelled);
    CHECK_FALSE(gateway.caller.is_aborted);
    gateway.advance(milliseconds(50));
    first->events.on_body(events(k_events_before_silence + 1, 20));
    first->events.on_end();
    CHECK(gateway.caller.body == events(1, 20));
    CHECK(gateway.caller.is_finished);
    for (const auto& [id, usage] : gateway.traffic.usage) {
        CAPTURE(id);
        CHECK(usage.in_flight == 0);
        CHECK(usage.copies == 0);
        CHECK(usage.memory_tokens == 0);
    }
}

struct handover_case {
    const char* name;
    milliseconds successor_begins;
    milliseconds cancelled_by;
};

// Guards against two engines that work on one generation for longer than the platform allows.
TEST_CASE("a silent engine is told to stop when its successor begins or soon after it was asked") {
    const auto test = GENERATE(from_range(std::vector<handover_case>{
        {"at once", milliseconds(20), milliseconds(20)},
        {"before the limit", milliseconds(200), milliseconds(200)},
        {"after the limit", milliseconds(700), milliseconds(340)},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    const auto request = start_silent_stream(gateway, 3);
    REQUIRE(gateway.attempts.size() == 2);
    const auto first = gateway.attempts[0];
    const auto second = gateway.attempts[1];
    // Prevents a failover of the second attempt before its first event.
    gateway.traffic.options.retries = {0.0, 0.0, milliseconds(10'000)};
    gateway.advance(std::min(test.successor_begins, test.cancelled_by));
    if (test.successor_begins <= test.cancelled_by) {
        CHECK_FALSE(first->is_cancelled);
        second->events.on_head(fake_gateway::head(200));
        second->events.on_body(fake_gateway::event(k_events_before_silence + 1));
    }
    CHECK(first->is_cancelled);
    CHECK_FALSE(second->is_cancelled);
}

struct late_event_case {
    const char* name;
    bool does_successor_begin;
};

// Guards against events that are lost or sent twice when a silent engine goes on while its successor is
// asked.
TEST_CASE("what a silent engine sends during the handover reaches the caller once") {
    const auto test = GENERATE(from_range(std::vector<late_event_case>{
        {"the successor begins", true},
        {"the successor refuses", false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    const auto request = start_silent_stream(gateway, 2);
    REQUIRE(gateway.attempts.size() == 2);
    const auto first = gateway.attempts[0];
    const auto second = gateway.attempts[1];
    CHECK(first->pauses == std::vector<bool>{true});
    first->events.on_body(events(k_events_before_silence + 1, 15));
    CHECK(gateway.caller.body == events(1, k_events_before_silence));
    if (test.does_successor_begin) {
        second->events.on_head(fake_gateway::head(200));
        second->events.on_body(events(k_events_before_silence + 1, 20));
        second->events.on_end();
    } else {
        refuse(*second, 503, false);
        CHECK(gateway.caller.body == events(1, 15));
        CHECK(first->pauses == std::vector<bool>{true, false});
        first->events.on_body(events(16, 20));
        first->events.on_end();
    }
    CHECK(gateway.caller.body == events(1, 20));
    CHECK(gateway.caller.is_finished);
}

// Guards against a stream that stays at an engine that never goes on, because its first successor refused.
TEST_CASE("a stream that was reinstated at a lost engine is tried elsewhere again") {
    fake_gateway gateway;
    const auto request = start_silent_stream(gateway, 2);
    REQUIRE(gateway.attempts.size() == 2);
    refuse(*gateway.attempts[1], 503, false);
    gateway.advance(milliseconds(2'000));
    REQUIRE(gateway.attempts.size() >= 3);
    const auto last = gateway.attempts.back();
    CHECK(last->options.target_id == gateway.attempts[1]->options.target_id);
    last->events.on_head(fake_gateway::head(200));
    last->events.on_body(events(k_events_before_silence + 1, 20));
    last->events.on_end();
    CHECK(gateway.attempts[0]->is_cancelled);
    CHECK(gateway.caller.body == events(1, 20));
    CHECK(gateway.caller.is_finished);
}

struct silent_read_case {
    const char* name;
    /// Which attempt answers first; the other one is refused or left.
    std::size_t answering;
    bool is_refused;
};

// Guards against a read that fails while its target is only silent, because the other targets refuse it.
TEST_CASE("a silent read is served by the target that answers first") {
    const auto test = GENERATE(from_range(std::vector<silent_read_case>{
        {"the successor", 1, false},
        {"the silent one", 0, false},
        {"the silent one, after a refusal", 0, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 2);
    const auto request = gateway.request();
    gateway.advance(milliseconds(8'000));
    REQUIRE(gateway.attempts.size() == 2);
    if (test.is_refused) {
        refuse(*gateway.attempts[1], 503, false);
    }
    const auto answering = gateway.attempts[test.answering];
    answering->events.on_head(fake_gateway::head(200));
    answering->events.on_body("answer");
    answering->events.on_end();
    CHECK(gateway.caller.replies.empty());
    CHECK(gateway.caller.status == 200);
    CHECK(gateway.caller.body == "answer");
    CHECK(gateway.caller.is_finished);
    CHECK(gateway.attempts[1 - test.answering]->is_cancelled);
    // A call of `pause` would start a second read of the connection within the callback of the first one.
    CHECK(gateway.attempts[0]->pauses.empty());
}

struct wait_case {
    const char* name;
    bool has_events;
    /// Time after which a target accepts requests again.
    milliseconds target_returns;
    bool is_served;
};

// Guards against a stream that is broken off with most of its time left because no target accepts it at the
// moment, and against requests that wait though their callers could be told at once.
TEST_CASE("a stream that has begun waits for a target until its deadline") {
    const auto test = GENERATE(from_range(std::vector<wait_case>{
        {"a target returns", true, milliseconds(3'000), true},
        {"no target returns", true, milliseconds(60'000), false},
        {"no event yet", false, milliseconds(3'000), false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 2);
    const auto targets = gateway.traffic.view->targets;
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    if (test.has_events) {
        first->events.on_head(fake_gateway::head(200));
        first->events.on_body(events(1, 3));
    }
    remove_targets(gateway);
    first->events.on_failure(attempt_end::broken, "scripted");
    CHECK(gateway.caller.replies.size() == (test.has_events ? 0 : 1));
    CHECK_FALSE(gateway.caller.is_aborted);
    gateway.advance(std::min(test.target_returns, milliseconds(21'000)));
    CHECK(gateway.expired_timers < 100);
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    view->targets = targets;
    ++view->sequence;
    apply_view(gateway.traffic, view);
    for (int step = 0; step < 100 && gateway.attempts.size() < 2; ++step) {
        gateway.advance(milliseconds(10));
    }
    REQUIRE(gateway.attempts.size() == (test.is_served ? 2 : 1));
    if (test.is_served) {
        const auto second = gateway.attempts[1];
        CHECK(second->options.last_event_id == "3");
        second->events.on_head(fake_gateway::head(200));
        second->events.on_body(events(4, 6));
        second->events.on_end();
        CHECK(gateway.caller.body == events(1, 6));
    }
    CHECK(gateway.caller.is_finished == test.is_served);
    CHECK(gateway.caller.is_aborted == (test.has_events && !test.is_served));
}

// Guards against a stream that is broken off because a view without targets is published after its next
// step was chosen.
TEST_CASE("a stream outlasts targets that go between the choice of its next step and the send") {
    const auto end = GENERATE(attempt_end::broken, attempt_end::unreachable, attempt_end::not_run);
    CAPTURE(name_of(k_attempt_end_names, end));
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 3);
    const auto targets = gateway.traffic.view->targets->at("service");
    const auto request = gateway.request();
    begin_stream(*gateway.attempts.at(0), 1, 3);
    auto newest = view_with_targets(gateway, {});
    gateway.traffic.newest_view = [&newest] { return newest; };
    gateway.attempts[0]->events.on_failure(end, "scripted");
    CHECK_FALSE(gateway.caller.is_aborted);
    gateway.advance(milliseconds(2'000));
    REQUIRE(gateway.attempts.size() == 1);
    newest = view_with_targets(gateway, targets);
    apply_view(gateway.traffic, newest);
    advance_until_attempt(gateway, 2);
    REQUIRE(gateway.attempts.size() == 2);
    begin_stream(*gateway.attempts[1], 4, 6);
    gateway.attempts[1]->events.on_end();
    CHECK(gateway.caller.body == events(1, 6));
    CHECK(gateway.caller.is_finished);
}

enum class last_loss : std::uint8_t { broken, silent };

struct used_up_case {
    const char* name;
    last_loss loss;
    /// Whether the entry of the first target is removed, which no longer counts then.
    bool is_first_removed;
    /// Whether the stream goes on, and whether at a target that has not run it.
    bool is_continued;
    bool is_new_target;
    /// Whether any target is left.
    bool has_other_targets;
};

// Guards against a stream that is broken off with time left because its runs have used up the attempts, and
// against runs at more targets than the route allows.
TEST_CASE("a stream whose attempts are used up goes on at targets that have run it") {
    const auto test = GENERATE(from_range(std::vector<used_up_case>{
        {"broken", last_loss::broken, false, true, false, true},
        {"silent", last_loss::silent, false, true, false, true},
        {"a target is gone", last_loss::broken, true, true, true, true},
        {"all targets are gone", last_loss::broken, true, false, false, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 2, 3);
    remove_copies(gateway);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    begin_stream(*first, 1, 3);
    first->events.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 2);
    const auto second = gateway.attempts[1];
    begin_stream(*second, 4, 6);
    const std::vector<std::string> run{first->options.target_id, second->options.target_id};
    if (!test.has_other_targets) {
        remove_targets(gateway);
    } else if (test.is_first_removed) {
        remove_target(gateway, run[0]);
    }
    if (test.loss == last_loss::broken) {
        second->events.on_failure(attempt_end::broken, "scripted");
    }
    CHECK_FALSE(gateway.caller.is_aborted);
    advance_until_attempt(gateway, 3);
    REQUIRE(gateway.attempts.size() == (test.is_continued ? 3 : 2));
    if (test.is_continued) {
        const auto third = gateway.attempts[2];
        CHECK((std::find(run.begin(), run.end(), third->options.target_id) == run.end()) ==
              test.is_new_target);
        CHECK(third->options.last_event_id == "6");
        begin_stream(*third, 7, 9);
        third->events.on_end();
        CHECK(gateway.caller.body == events(1, 9));
    }
    CHECK(gateway.caller.is_finished == test.is_continued);
    gateway.advance(milliseconds(21'000));
    CHECK(gateway.caller.is_aborted == !test.is_continued);
}

struct broken_successor_case {
    const char* name;
    /// Whether the silent target answers before its successor's answer ends.
    bool answers_before;
    /// Whether the successor falls silent; it breaks off otherwise.
    bool is_silent;
};

// Guards against a read that fails although its silent target is sound, because the answer of its successor
// is not completed.
TEST_CASE("a silent read outlasts an answer of its successor that is not completed") {
    const auto test =
        GENERATE(from_range(std::vector<broken_successor_case>{{"before the break", true, false},
                                                               {"after the break", false, false},
                                                               {"before the silence", true, true}}));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 2);
    const auto request = gateway.request();
    gateway.advance(milliseconds(8'000));
    REQUIRE(gateway.attempts.size() == 2);
    const auto silent = gateway.attempts[0];
    const auto successor = gateway.attempts[1];
    const auto answer = [&silent] {
        silent->events.on_head(fake_gateway::head(200));
        silent->events.on_body("answer");
        silent->events.on_end();
    };
    successor->events.on_head(fake_gateway::head(200));
    successor->events.on_body("ans");
    CHECK_FALSE(silent->is_cancelled);
    if (test.answers_before) {
        answer();
    }
    if (test.is_silent) {
        gateway.advance(milliseconds(10'000));
    } else {
        successor->events.on_failure(attempt_end::broken, "scripted");
    }
    if (!test.answers_before) {
        answer();
    }
    CHECK(gateway.caller.replies.empty());
    CHECK(gateway.caller.status == 200);
    CHECK(gateway.caller.body == "answer");
    CHECK(gateway.caller.is_finished);
}

struct failed_successor_case {
    const char* name;
    /// Whether the caller has received events before the silence.
    bool has_events;
    std::function<void(fake_attempt&)> fail;
};

// Guards against a stream that loses its sound engine because the successor fails after it may have begun and
// no attempt is left.
TEST_CASE("a silent stream outlasts a successor that fails without an event") {
    const std::function<void(fake_attempt&)> answer_failure = [](fake_attempt& next) {
        next.events.on_head(fake_gateway::head(500));
        next.events.on_end();
    };
    const std::function<void(fake_attempt&)> break_off = [](fake_attempt& next) {
        next.events.on_failure(attempt_end::broken, "scripted");
    };
    const auto test = GENERATE_COPY(from_range(std::vector<failed_successor_case>{
        {"answers with a failure, some events", true, answer_failure},
        {"answers with a failure, no event", false, answer_failure},
        {"breaks off, some events", true, break_off},
        {"breaks off, no event", false, break_off},
    }));
    const bool has_copies = GENERATE(true, false);
    CAPTURE(test.name, has_copies);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 2, 3);
    if (!has_copies) {
        remove_copies(gateway);
    }
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    const int delivered = test.has_events ? 3 : 0;
    if (test.has_events) {
        begin_stream(*first, 1, delivered);
    }
    advance_until_attempt(gateway, 2);
    REQUIRE(gateway.attempts.size() == 2);
    test.fail(*gateway.attempts[1]);
    CHECK_FALSE(first->is_cancelled);
    CHECK_FALSE(gateway.caller.is_aborted);
    CHECK(gateway.caller.replies.empty());
    CHECK(gateway.caller.status == (test.has_events ? 200 : 0));
    gateway.advance(milliseconds(50));
    if (!test.has_events) {
        first->events.on_head(fake_gateway::head(200));
    }
    first->events.on_body(events(delivered + 1, 20));
    first->events.on_end();
    CHECK(gateway.caller.status == 200);
    CHECK(gateway.caller.body == events(1, 20));
    CHECK(gateway.caller.is_finished);
    CHECK(gateway.attempts.size() == 2);
    for (const auto& [id, usage] : gateway.traffic.usage) {
        CAPTURE(id);
        CHECK(usage.in_flight == 0);
        CHECK(usage.copies == 0);
        CHECK(usage.memory_tokens == 0);
    }
}

// Guards against more than two engines that work on one generation.
TEST_CASE("a silent engine is told to stop when a second successor is asked after one that may have begun") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 3, 3);
    remove_copies(gateway);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    begin_stream(*first, 1, 3);
    advance_until_attempt(gateway, 2);
    REQUIRE(gateway.attempts.size() == 2);
    gateway.attempts[1]->events.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 3);
    CHECK(first->is_cancelled);
    CHECK_FALSE(gateway.attempts[2]->is_cancelled);
    begin_stream(*gateway.attempts[2], 4, 6);
    gateway.attempts[2]->events.on_end();
    CHECK(gateway.caller.body == events(1, 6));
    CHECK(gateway.caller.is_finished);
}

} // namespace

} // namespace lovage
