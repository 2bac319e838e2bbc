#include "support/fake_gateway.h"

#include "lovage/traffic/target_call.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace lovage {

namespace {

using testing::fake_gateway;

struct outcome_case {
    const char* name;
    request_kind kind;
    std::uint32_t max_attempts;
    attempt_end end;
    std::size_t attempts;
    /// The error that the gateway itself returns; `nullopt` if there is none.
    std::optional<error_kind> reply;
    bool is_not_run;
};

// Guards against a non-idempotent request that runs twice, and against "not run" for a request that may have
// run.
TEST_CASE("a failed attempt is repeated only where that is allowed") {
    const auto test = GENERATE(from_range(std::vector<outcome_case>{
        {"publish lost", request_kind::non_idempotent, 1, attempt_end::broken, 1, error_kind::target_failed,
         false},
        {"publish unreachable", request_kind::non_idempotent, 1, attempt_end::unreachable, 2, std::nullopt,
         true},
        {"read lost", request_kind::idempotent, 2, attempt_end::broken, 2, std::nullopt, false},
        {"read lost, one attempt", request_kind::idempotent, 1, attempt_end::broken, 1,
         error_kind::target_failed, false},
        {"stream lost", request_kind::streaming, 5, attempt_end::broken, 2, std::nullopt, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, test.max_attempts, 3);
    const auto request = gateway.request();
    REQUIRE(gateway.attempts.size() == 1);
    gateway.attempts[0]->events.on_failure(test.end, "scripted");
    CHECK(gateway.attempts.size() == test.attempts);
    CHECK(gateway.caller.replies.empty() == !test.reply.has_value());
    if (test.reply) {
        CHECK(gateway.caller.replies.at(0).kind == *test.reply);
        CHECK(gateway.caller.replies.at(0).is_not_run == test.is_not_run);
    }
    if (gateway.attempts.size() > 1) {
        CHECK(gateway.attempts[1]->options.target_id != gateway.attempts[0]->options.target_id);
    }
}

struct access_case {
    const char* name;
    bool has_config;
    const char* key;
    const char* target;
    std::chrono::seconds age;
    error_kind reply;
};

// Guards against rejecting keys or routes without a configuration, and against accepting keys that may have
// been revoked.
TEST_CASE("requests that may not start get an error answer at once") {
    const auto test = GENERATE(from_range(std::vector<access_case>{
        {"no configuration", false, "key", "/r/x", std::chrono::seconds(0), error_kind::not_ready},
        {"unknown key", true, "other", "/r/x", std::chrono::seconds(1), error_kind::unauthenticated},
        {"unknown route", true, "key", "/q/x", std::chrono::seconds(1), error_kind::unknown_service},
        {"old configuration", true, "key", "/r/x", std::chrono::seconds(6), error_kind::store_unavailable},
        {"old configuration, unknown key", true, "other", "/r/x", std::chrono::seconds(6),
         error_kind::store_unavailable},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    if (test.has_config) {
        gateway.publish(request_kind::idempotent, 2, 3);
    }
    gateway.boot = test.age;
    gateway.request(test.key, test.target);
    CHECK(gateway.attempts.empty());
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK(gateway.caller.replies[0].kind == test.reply);
    CHECK(gateway.caller.replies[0].is_not_run);
}

struct published_view_case {
    const char* name;
    std::uint64_t sequence;
    bool has_key;
    bool has_targets;
    /// Nothing if the request is sent to a target.
    std::optional<error_kind> reply;
};

// Guards against requests that a busy thread handles by an older configuration, or sends to targets that have
// left, because the announcement of the newer view waits behind them.
TEST_CASE("a request is handled by the newest published view") {
    const auto test = GENERATE(from_range(std::vector<published_view_case>{
        {"nothing new", 1, true, true, std::nullopt},
        {"a withdrawn key", 2, false, true, error_kind::unauthenticated},
        {"no targets any more", 2, true, false, error_kind::no_target},
        {"an older view", 0, false, false, std::nullopt},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    auto applied = std::make_shared<gateway_view>(*gateway.traffic.view);
    applied->sequence = 1;
    apply_view(gateway.traffic, applied);
    auto published = std::make_shared<gateway_view>(*applied);
    published->sequence = test.sequence;
    auto table = std::make_shared<route_table>(*applied->table);
    if (!test.has_key) {
        table->organisation_by_key.clear();
    }
    published->table = table;
    if (!test.has_targets) {
        published->targets = std::make_shared<std::map<std::string, target_list>>();
    }
    gateway.traffic.newest_view = [published] { return published; };
    gateway.request();
    CHECK(gateway.attempts.size() == (test.reply ? 0 : 1));
    REQUIRE(gateway.caller.replies.size() == (test.reply ? 1 : 0));
    if (test.reply) {
        CHECK(gateway.caller.replies[0].kind == *test.reply);
    }
}

struct older_config_case {
    const char* name;
    std::uint64_t heard_version;
    /// Times on the boot clock, in ms; the process started at 0.
    std::int64_t heard_ms;
    std::int64_t confirmed_ms;
    std::int64_t now_ms;
    bool is_served;
};

// Guards against a withdrawn key or route that a process serves again because the store came back from a copy
// before it read it, and against refusals while a newer configuration is on its way.
TEST_CASE("nothing is served by an older configuration than a peer's that the store has lost") {
    const auto test = GENERATE(from_range(std::vector<older_config_case>{
        {"the same version", 1, 9'000, 10'000, 10'100, true},
        {"newer, not read since", 2, 10'000, 9'900, 10'100, true},
        {"newer, and the store does not have it", 2, 10'000, 10'050, 10'100, false},
        {"newer, just after the start", 2, 100, 50, 150, false},
        {"the same, just after the start", 1, 100, 50, 150, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    gateway.traffic.started = boot_time(0);
    gateway.boot = boot_time(std::chrono::milliseconds(test.heard_ms));
    peer_report report;
    report.node = "peer";
    report.address = "10.0.9.1:7";
    report.started_ms = 1;
    report.sequence = 1;
    report.config_version = test.heard_version;
    apply_peer_report(gateway.traffic, report);
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    view->table_confirmed = boot_time(std::chrono::milliseconds(test.confirmed_ms));
    ++view->sequence;
    apply_view(gateway.traffic, view);
    gateway.boot = boot_time(std::chrono::milliseconds(test.now_ms));
    const auto request = gateway.request();
    CHECK(gateway.attempts.size() == (test.is_served ? 1 : 0));
    REQUIRE(gateway.caller.replies.size() == (test.is_served ? 0 : 1));
    if (!test.is_served) {
        CHECK(gateway.caller.replies[0].is_not_run);
    }
}

// Guards against events that are lost, repeated or truncated when a stream is resumed at another target.
TEST_CASE("a broken stream resumes from its standby copy at the holder, after the last whole event") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    REQUIRE_FALSE(first.options.copy_to.target_id.empty());
    first.events.on_head(fake_gateway::head(200));
    first.events.on_body(fake_gateway::event(1) + fake_gateway::event(2) + "id: 3\nda");
    gateway.advance(milliseconds(400));
    first.events.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 2);
    auto& second = *gateway.attempts[1];
    CHECK(second.options.from_copy);
    CHECK(second.options.target_id == first.options.copy_to.target_id);
    CHECK(second.options.last_event_id == "2");
    CHECK_FALSE(second.options.copy_to.target_id.empty());
    second.events.on_head(fake_gateway::head(200));
    // The engine may start with an event that the caller already has.
    second.events.on_body(fake_gateway::event(2) + fake_gateway::event(3));
    second.events.on_end();
    CHECK(gateway.caller.body == fake_gateway::event(1) + fake_gateway::event(2) + fake_gateway::event(3));
    CHECK(gateway.caller.is_finished);
}

// Guards against dropping a standby copy because an attempt was not run, and against resuming from a copy
// that is gone.
TEST_CASE("a standby copy that is gone leads to a new reading of the prompt") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    first.events.on_head(fake_gateway::head(200));
    first.events.on_body(fake_gateway::event(1));
    first.events.on_failure(attempt_end::broken, "scripted");
    auto refusal = fake_gateway::head(503);
    refusal.is_not_run = true;
    gateway.attempts.at(1)->events.on_head(refusal);
    REQUIRE(gateway.attempts.size() == 3);
    CHECK_FALSE(gateway.attempts[2]->options.from_copy);
    CHECK(gateway.attempts[2]->options.last_event_id == "1");
}

struct drip_case {
    const char* name;
    bool has_event;
    std::string block;
    milliseconds interval;
    std::size_t blocks;
    std::size_t attempts;
};

// Guards against a stalled stream that never ends because bytes arrive now and then, and against a slow but
// sound one that is cut.
TEST_CASE("only whole events show that a stream proceeds") {
    const auto test = GENERATE(from_range(std::vector<drip_case>{
        {"comments after an event", true, ": alive\n\n", milliseconds(100), 10, 2},
        {"comments before the first event", false, ": alive\n\n", milliseconds(100), 30, 2},
        {"bytes of an event", true, "d", milliseconds(100), 10, 2},
        {"slow events", true, "", milliseconds(300), 10, 1},
        {"bytes without an end", true, std::string(16'384, 'x'), milliseconds(1), 17, 2},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    first.events.on_head(fake_gateway::head(200));
    int number = 1;
    if (test.has_event) {
        first.events.on_body(fake_gateway::event(number));
    }
    for (std::size_t i = 0; i < test.blocks && gateway.attempts.size() == 1; ++i) {
        gateway.advance(test.interval);
        first.events.on_body(test.block.empty() ? fake_gateway::event(++number) : test.block);
    }
    CHECK(gateway.attempts.size() == test.attempts);
}

struct plain_answer_case {
    const char* name;
    std::size_t block_bytes;
    milliseconds interval;
    std::size_t attempts;
};

// Guards against a slow but sound answer that is cut and requested anew because its whole transfer takes
// longer than the stall timeout, and against a stalled one that sends bytes now and then.
TEST_CASE("a plain answer is read as long as it arrives steadily") {
    const auto test = GENERATE(from_range(std::vector<plain_answer_case>{
        {"slow", 12'000, milliseconds(100), 1},
        {"bytes now and then", 10, milliseconds(100), 2},
        {"stalled", 0, milliseconds(100), 2},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    gateway.advance(milliseconds(6'000));
    first->events.on_head(fake_gateway::head(200));
    for (auto sent = milliseconds(0); sent < milliseconds(8'000); sent += test.interval) {
        gateway.advance(test.interval);
        first->events.on_body(std::string(test.block_bytes, 'x'));
    }
    CHECK(gateway.attempts.size() == test.attempts);
}

// Guards against an answer that is cut while it arrives because another request found its target lost.
TEST_CASE("a plain answer that arrives from a lost target is read on") {
    const bool arrives = GENERATE(true, false);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    gateway.advance(milliseconds(1'000));
    if (arrives) {
        first->events.on_body("x");
    }
    report_lost_target(gateway.traffic, first->options.target_id, true);
    gateway.advance(milliseconds(1));
    CHECK(gateway.attempts.size() == (arrives ? 1 : 2));
}

struct silence_case {
    const char* name;
    request_kind kind;
    std::uint32_t max_attempts;
    milliseconds silence;
    std::size_t attempts;
};

// Guards against a stall timeout that ends an attempt although the request may not run at another target.
TEST_CASE("silence ends an attempt only if failover is possible") {
    const auto test = GENERATE(from_range(std::vector<silence_case>{
        {"publish", request_kind::non_idempotent, 1, milliseconds(19'000), 1},
        {"read, one attempt", request_kind::idempotent, 1, milliseconds(19'000), 1},
        {"read", request_kind::idempotent, 2, milliseconds(8'000), 2},
        {"read, not yet", request_kind::idempotent, 2, milliseconds(5'000), 1},
        {"stream, not yet", request_kind::streaming, 5, milliseconds(2'000), 1},
        {"stream", request_kind::streaming, 5, milliseconds(2'600), 2},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, test.max_attempts, 3);
    const auto request = gateway.request();
    gateway.advance(test.silence);
    CHECK(gateway.attempts.size() == test.attempts);
    CHECK_FALSE(gateway.attempts[0]->is_cancelled);
    if (test.attempts > 1) {
        gateway.attempts[1]->events.on_head(fake_gateway::head(200));
        gateway.attempts[1]->events.on_body(fake_gateway::event(1));
    }
    if (test.attempts > 1 && test.kind == request_kind::idempotent) {
        // A plain answer may still break off.
        CHECK_FALSE(gateway.attempts[0]->is_cancelled);
        gateway.attempts[1]->events.on_end();
    }
    CHECK(gateway.attempts[0]->is_cancelled == (test.attempts > 1));
}

// Guards against a running stream that is held to the longer stall timeout of its first event.
TEST_CASE("a silent stream resumes on another target within its longest gap") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    gateway.advance(milliseconds(1'000));
    first.events.on_head(fake_gateway::head(200));
    for (int i = 1; i <= 30; ++i) {
        first.events.on_body(fake_gateway::event(i));
        gateway.advance(milliseconds(30));
    }
    CHECK(gateway.attempts.size() == 1);
    gateway.advance(milliseconds(370));
    REQUIRE(gateway.attempts.size() == 2);
    CHECK(gateway.attempts[1]->options.from_copy);
    gateway.attempts[1]->events.on_head(fake_gateway::head(200));
    gateway.attempts[1]->events.on_body(fake_gateway::event(31));
    CHECK(first.is_cancelled);
}

// Guards against work that continues after the caller has disconnected, and against an answer after the
// route's timeout.
TEST_CASE("the caller's leaving and the deadline stop the work") {
    const bool leaves = GENERATE(true, false);
    fake_gateway gateway;
    gateway.publish(request_kind::non_idempotent, 1, 3);
    const auto request = gateway.request();
    if (leaves) {
        request->on_caller_disconnected();
        CHECK(gateway.caller.replies.empty());
    } else {
        gateway.advance(milliseconds(20'001));
        REQUIRE(gateway.caller.replies.size() == 1);
        CHECK(gateway.caller.replies[0].kind == error_kind::outcome_late);
        CHECK_FALSE(gateway.caller.replies[0].is_not_run);
    }
    CHECK(gateway.attempts.at(0)->is_cancelled);
    CHECK(gateway.traffic.requests.empty());
}

// Guards against "not run" for a generation that runs, when the end of its wait for an engine comes late.
TEST_CASE("an error answer while an attempt is in progress ends it and does not state that it was not run") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 1);
    auto& usage = gateway.traffic.usage["t1"];
    usage.memory_tokens = fake_gateway::k_engine_tokens;
    gateway.ignores_cancellation = true;
    const auto request = gateway.request();
    REQUIRE(gateway.attempts.empty());
    usage.memory_tokens = 0;
    schedule_dispatch(gateway.traffic, "service");
    gateway.advance(milliseconds(600));
    REQUIRE(gateway.attempts.size() == 1);
    gateway.advance(milliseconds(2'500));
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK_FALSE(gateway.caller.replies[0].is_not_run);
    CHECK(gateway.attempts[0]->is_cancelled);
    CHECK(usage.in_flight == 0);
}

struct stale_refusal_case {
    const char* name;
    int status;
    bool is_not_run;
    bool is_other_target;
    bool has_matching_request_id;
    /// Whether the caller may be told that its request was not run.
    bool is_believed;
};

// Guards against "not run", or a second run, for a request that a target runs: the target wrote its refusal
// of another request once more.
TEST_CASE("a refusal is believed only if it answers this request") {
    const auto test = GENERATE(from_range(std::vector<stale_refusal_case>{
        {"its own refusal", 503, true, false, true, true},
        {"another request's refusal", 503, true, false, false, false},
        {"its own misdirection", 421, true, true, true, true},
        {"another request's misdirection", 421, true, true, false, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::non_idempotent, 1, 2);
    const auto request = gateway.request();
    auto head = fake_gateway::head(test.status);
    head.is_not_run = test.is_not_run;
    head.is_other_target = test.is_other_target;
    head.has_matching_request_id = test.has_matching_request_id;
    head.load = reported_load{7, 0, 8};
    const auto first = gateway.attempts.at(0);
    first->events.on_head(head);
    CHECK(gateway.attempts.size() == (test.is_believed ? 2 : 1));
    CHECK(gateway.caller.replies.size() == (test.is_believed ? 0 : 1));
    const bool is_load_known = gateway.traffic.usage[first->options.target_id].peer_requests > 0;
    CHECK(is_load_known == test.has_matching_request_id);
    if (!test.is_believed) {
        CHECK_FALSE(gateway.caller.replies.at(0).is_not_run);
    }
}

// Guards against the refusal of an earlier attempt that is taken for the answer to a later one at the same
// target.
TEST_CASE("a request that returns to a target uses a new connection") {
    fake_gateway gateway;
    gateway.traffic.engine.make_standby_copy_request = [](const std::string&, const std::string& holder) {
        auto request = std::make_shared<forwarded_request>();
        request->target = holder;
        return request;
    };
    gateway.traffic.engine.decode_standby_copy = [](const std::string& body) { return std::optional(body); };
    gateway.publish(request_kind::streaming, 5, 3);
    const auto request = gateway.request();
    const auto refusing = gateway.attempts.at(0)->options.target_id;
    auto refusal = fake_gateway::head(503);
    refusal.is_not_run = true;
    gateway.attempts[0]->events.on_head(refusal);
    const auto running = gateway.attempts.at(1);
    CHECK_FALSE(running->options.was_sent_before);
    running->events.on_head(fake_gateway::head(200));
    running->events.on_body(fake_gateway::event(1));
    record_and_report_failure(gateway.traffic, "service", "b", running->options.copy_to.target_id,
                              target_failure_kind::unreachable);
    gateway.advance(milliseconds(250));
    running->events.on_body(fake_gateway::event(2));
    const auto copying = gateway.attempts.at(2);
    copying->events.on_head(fake_gateway::head(200));
    copying->events.on_body("copy-1");
    copying->events.on_end();
    running->events.on_failure(attempt_end::broken, "scripted");
    const auto& resumed = gateway.attempts.at(3)->options;
    REQUIRE(resumed.target_id == refusing);
    CHECK(resumed.was_sent_before);
}

struct bad_answer_case {
    const char* name;
    int status;
    bool has_matching_request_id;
    bool has_target_marker;
};

// Guards against passing on an answer to another request, or a success that does not carry the mark of a
// target.
TEST_CASE("an answer that is not the target's own to this request is not passed on") {
    const auto test = GENERATE(from_range(std::vector<bad_answer_case>{
        {"another request's", 200, false, true},
        {"without a mark", 200, true, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    const auto request = gateway.request();
    auto head = fake_gateway::head(test.status);
    head.has_matching_request_id = test.has_matching_request_id;
    head.has_target_marker = test.has_target_marker;
    gateway.attempts.at(0)->events.on_head(head);
    CHECK(gateway.caller.status == 0);
    CHECK(gateway.attempts.size() == 2);
}

// Guards against a long stream that has no standby copy after the holder of its copy is lost.
TEST_CASE("a standby copy whose holder is lost is replaced at another target") {
    fake_gateway gateway;
    gateway.traffic.engine.make_standby_copy_request = [](const std::string&, const std::string& holder) {
        auto request = std::make_shared<forwarded_request>();
        request->target = holder;
        return request;
    };
    gateway.traffic.engine.decode_standby_copy = [](const std::string& body) { return std::optional(body); };
    gateway.traffic.engine.make_release_request = [](const std::string&) {
        return std::make_shared<forwarded_request>();
    };
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    auto& first = *gateway.attempts.at(0);
    const auto holder = first.options.copy_to.target_id;
    first.events.on_head(fake_gateway::head(200));
    first.events.on_body(fake_gateway::event(1));
    record_and_report_failure(gateway.traffic, "service", "b", holder, target_failure_kind::unreachable);
    gateway.advance(milliseconds(250));
    first.events.on_body(fake_gateway::event(2));
    REQUIRE(gateway.attempts.size() == 2);
    auto& copying = *gateway.attempts[1];
    CHECK(copying.options.address == first.options.address);
    copying.events.on_head(fake_gateway::head(200));
    copying.events.on_body("copy-1");
    copying.events.on_end();
    first.events.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 3);
    CHECK(gateway.attempts[2]->options.from_copy);
    CHECK(gateway.attempts[2]->options.copy_from.name == "copy-1");
    CHECK(gateway.attempts[2]->options.target_id != holder);
}

struct later_answer_case {
    const char* name;
    int status;
    std::string body;
};

// Guards against the text or the head of an error answer in the middle of a caller's stream, and against a
// broken stream that ends as if it were complete.
TEST_CASE("a stream that has begun is continued by events or broken off") {
    const auto test = GENERATE(from_range(std::vector<later_answer_case>{
        {"no content", 204, ""},
        {"other success", 201, "created"},
        {"redirect", 302, "moved"},
        {"bad request", 400, "bad"},
        {"not found", 404, "not found"},
        {"conflict", 409, ""},
        {"failure", 500, "failed"},
        {"large error", 404, std::string(300'000, 'x')},
        {"large failure", 502, std::string(300'000, 'x')},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 2, 6);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1) + "id: 2\nda");
    first->events.on_failure(attempt_end::broken, "scripted");
    const auto second = gateway.attempts.at(1);
    second->events.on_head(fake_gateway::head(test.status));
    second->events.on_body(test.body);
    second->events.on_end();
    CHECK(gateway.attempts.size() == 2);
    CHECK(gateway.caller.status == 200);
    CHECK((gateway.caller.body == fake_gateway::event(1)));
    CHECK(gateway.caller.is_aborted);
    CHECK_FALSE(gateway.caller.is_finished);
    CHECK(gateway.traffic.requests.empty());
}

struct stream_end_case {
    const char* name;
    std::string tail;
    bool is_complete;
};

// Guards against a stream that ends inside an event and is passed on as complete.
TEST_CASE("a stream is complete only if it ends after a whole event") {
    const auto test = GENERATE(from_range(std::vector<stream_end_case>{
        {"after an event", "", true},
        {"after a comment", ": alive\n\n", true},
        {"inside a line", "id: 2\nda", false},
        {"before the empty line", "id: 2\ndata: x\n", false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 1, 1);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1) + test.tail);
    first->events.on_end();
    CHECK(gateway.caller.is_finished == test.is_complete);
    // Its target may go on with it until its deadline.
    gateway.advance(milliseconds(20'000));
    CHECK(gateway.caller.is_finished == test.is_complete);
    CHECK(gateway.caller.is_aborted == !test.is_complete);
    CHECK(gateway.caller.body == fake_gateway::event(1) + (test.is_complete ? test.tail : ""));
}

struct empty_stream_case {
    const char* name;
    bool ends_with_connection;
    std::string last_event_id;
    bool is_complete;
};

// Guards against a stream of an engine that crashed before its first event, passed on as complete, and
// against a prompt that crashes engines and counts as sound for it.
TEST_CASE("a stream that ends with its connection has an event") {
    const auto test = GENERATE(from_range(std::vector<empty_stream_case>{
        {"ends with its connection", true, "", false},
        {"has another end", false, "", true},
        {"continued after the last event", true, "5", true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 1, 1);
    const auto request = gateway.request("key", "/r/x", test.last_event_id);
    const auto first = gateway.attempts.at(0);
    auto head = fake_gateway::head(200);
    head.ends_with_connection = test.ends_with_connection;
    first->events.on_head(head);
    first->events.on_end();
    CHECK(gateway.caller.is_finished == test.is_complete);
    CHECK(gateway.caller.replies.empty() == test.is_complete);
    CHECK(gateway.traffic.quarantine.crashes.empty() == test.is_complete);
}

struct large_answer_case {
    const char* name;
    request_kind kind;
    int status;
};

// Guards against a whole answer that is broken off at its end because it is an error.
TEST_CASE("an answer that is too large to be held is passed on whole") {
    const auto test = GENERATE(from_range(std::vector<large_answer_case>{
        {"success", request_kind::idempotent, 200},
        {"error", request_kind::idempotent, 404},
        {"failure", request_kind::idempotent, 500},
        {"failure on a route of streams", request_kind::streaming, 503},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, 2, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(test.status));
    first->events.on_body(std::string(300'000, 'x'));
    first->events.on_body("end");
    first->events.on_end();
    CHECK(gateway.attempts.size() == 1);
    CHECK(gateway.caller.status == test.status);
    CHECK((gateway.caller.body == std::string(300'000, 'x') + "end"));
    CHECK(gateway.caller.is_finished);
    CHECK_FALSE(gateway.caller.is_aborted);
}

struct search_case {
    const char* name;
    /// Tokens of the request's own prompt part in each engine's prefix cache; negative if no engine replies.
    int kept_tokens;
    bool is_found;
};

// Guards against reading a cached prompt again at another engine for a caller that reconnects with its last
// event id after the loss of its gateway.
TEST_CASE("a caller that reconnects is sent to the engine that has its prompt in cache") {
    const auto test = GENERATE(from_range(std::vector<search_case>{
        {"kept", 7'800, true},
        {"only the shared part", 0, false},
        {"no answer", -1, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.traffic.engine.prefix_cache_request = std::make_shared<forwarded_request>();
    gateway.traffic.engine.decode_prefix_cache = [](const std::string& body) {
        std::vector<prompt_part> cached{{"shared", 200}};
        if (body != "0") {
            cached.push_back({"own", std::stoull(body)});
        }
        return cached;
    };
    gateway.publish(request_kind::streaming, 5, 30);
    const auto request = gateway.request("key", "/r/x", "7");
    const auto questions = gateway.attempts;
    REQUIRE(questions.size() == 6);
    for (std::size_t i = 0; i < questions.size() && test.kept_tokens >= 0; ++i) {
        questions[i]->events.on_head(fake_gateway::head(200));
        questions[i]->events.on_body(i == 4 ? std::to_string(test.kept_tokens) : "0");
        questions[i]->events.on_end();
    }
    gateway.advance(milliseconds(100));
    REQUIRE(gateway.attempts.size() == 7);
    const auto& sent = *gateway.attempts.back();
    CHECK(sent.options.last_event_id == "7");
    if (test.is_found) {
        CHECK(sent.options.address == questions[4]->options.address);
    }
}

// Guards against a prompt search that continues after the caller has disconnected or the deadline has passed.
TEST_CASE("a search for a prompt ends with its request") {
    fake_gateway gateway;
    gateway.traffic.engine.prefix_cache_request = std::make_shared<forwarded_request>();
    gateway.traffic.engine.decode_prefix_cache = [](const std::string&) {
        return std::vector<prompt_part>();
    };
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request("key", "/r/x", "7");
    const auto questions = gateway.attempts.size();
    request->on_caller_disconnected();
    gateway.advance(milliseconds(500));
    CHECK(gateway.attempts.size() == questions);
}

struct leave_case {
    const char* name;
    request_kind kind;
    milliseconds since;
    bool is_served;
};

// Guards against requests that a process accepts during its shutdown and cannot complete.
TEST_CASE("a stopping process accepts only requests that end in time") {
    const auto test = GENERATE(from_range(std::vector<leave_case>{
        {"stream at once", request_kind::streaming, milliseconds(100), true},
        {"stream late", request_kind::streaming, milliseconds(3'000), false},
        {"plain late", request_kind::idempotent, milliseconds(3'000), true},
        {"plain at the end", request_kind::idempotent, milliseconds(7'000), false},
        {"plain after callers were sent elsewhere", request_kind::idempotent, milliseconds(3'001), false},
        {"non-idempotent after it", request_kind::non_idempotent, milliseconds(5'000), false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, 2, 3);
    gateway.traffic.shutdown_requested_at = gateway.now - test.since;
    const auto request = gateway.request();
    CHECK(gateway.attempts.size() == (test.is_served ? 1 : 0));
    CHECK(gateway.caller.replies.size() == (test.is_served ? 0 : 1));
}

struct end_case {
    const char* name;
    request_kind kind;
    /// Whether the target has sent the head of its answer and an event, and whether it was sent the request.
    bool has_event;
    bool is_sent;
    bool is_aborted;
    bool is_not_run;
};

// Guards against requests that the end of a planned stop cuts without an answer.
TEST_CASE("a process that ends gives the requests that are left their final answer") {
    const auto test = GENERATE(from_range(std::vector<end_case>{
        {"a plain call in progress", request_kind::non_idempotent, false, true, false, false},
        {"a stream without an event", request_kind::streaming, false, true, false, false},
        {"a stream with events", request_kind::streaming, true, true, true, false},
        {"a request that waits", request_kind::idempotent, false, false, false, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, 2, 3);
    if (!test.is_sent) {
        for (const auto* id : {"t1", "t2", "t3"}) {
            record_pause(gateway.traffic.notices[id], 0, milliseconds(1'000), 0.0, gateway.now);
        }
    }
    const auto request = gateway.request();
    REQUIRE(gateway.attempts.size() == (test.is_sent ? 1 : 0));
    if (test.has_event) {
        gateway.attempts[0]->events.on_head(fake_gateway::head(200));
        gateway.attempts[0]->events.on_body(fake_gateway::event(1));
    }
    end_requests(gateway.traffic);
    CHECK(gateway.caller.is_aborted == test.is_aborted);
    REQUIRE(gateway.caller.replies.size() == (test.is_aborted ? 0 : 1));
    if (!test.is_aborted) {
        CHECK(gateway.caller.replies[0].is_not_run == test.is_not_run);
    }
    CHECK(gateway.traffic.requests.empty());
    CHECK((!test.is_sent || gateway.attempts[0]->is_cancelled));
    gateway.advance(milliseconds(2'000));
    CHECK(gateway.attempts.size() == (test.is_sent ? 1 : 0));
}

// Guards against the drained backlog of an earlier attempt that resumes reading at the next one.
TEST_CASE("the caller's backlog pauses and resumes only the attempt that filled it") {
    const bool is_lost = GENERATE(false, true);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 6);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    first->events.on_head(fake_gateway::head(200));
    gateway.caller.backlog = 300'000;
    first->events.on_body(fake_gateway::event(1));
    CHECK(first->pauses == std::vector<bool>{true});
    if (is_lost) {
        first->events.on_failure(attempt_end::broken, "scripted");
        REQUIRE(gateway.attempts.size() == 2);
    }
    gateway.caller.backlog = 0;
    request->on_caller_writable();
    CHECK(first->pauses.size() == (is_lost ? 1 : 2));
    CHECK(gateway.attempts.back()->pauses.empty() == is_lost);
}

struct late_event_case {
    const char* name;
    std::function<void(const attempt_events&)> late;
};

// Guards against an answer or a failure of a lost attempt that is taken for one of the attempt after it.
TEST_CASE("late events of a lost attempt are ignored") {
    const auto test = GENERATE(from_range(std::vector<late_event_case>{
        {"head", [](const attempt_events& events) { events.on_head(fake_gateway::head(500)); }},
        {"refusal",
         [](const attempt_events& events) {
             auto head = fake_gateway::head(503);
             head.is_not_run = true;
             events.on_head(head);
         }},
        {"body", [](const attempt_events& events) { events.on_body("late"); }},
        {"end", [](const attempt_events& events) { events.on_end(); }},
        {"failure",
         [](const attempt_events& events) { events.on_failure(attempt_end::unreachable, "scripted"); }},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 2, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0)->events;
    first.on_failure(attempt_end::broken, "scripted");
    REQUIRE(gateway.attempts.size() == 2);
    const auto second = gateway.attempts[1]->events;
    second.on_head(fake_gateway::head(200));
    second.on_body("answer");
    test.late(first);
    CHECK(gateway.attempts.size() == 2);
    CHECK_FALSE(gateway.attempts[1]->is_cancelled);
    second.on_end();
    CHECK(gateway.caller.status == 200);
    CHECK(gateway.caller.body == "answer");
    CHECK(gateway.caller.replies.empty());
}

// Guards against a management call whose result is reported twice.
TEST_CASE("a call to a target ends once although its limit expires after the reply") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 1);
    gateway.ignores_cancellation = true;
    std::vector<std::optional<target_reply>> replies;
    target_record target;
    target.id = "t1";
    target.address = "10.0.0.1:80";
    send_target_request(gateway.traffic, target, work_kind::running_work,
                        std::make_shared<forwarded_request>(), milliseconds(100),
                        [&replies](auto reply) { replies.push_back(std::move(reply)); });
    const auto events = gateway.attempts.at(0)->events;
    events.on_head(fake_gateway::head(200));
    events.on_end();
    gateway.advance(milliseconds(200));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0]);
}

// Guards against a generation that starts although its caller left while it waited for an engine.
TEST_CASE("a request that ended while it waited for an engine is not started") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 1);
    auto& usage = gateway.traffic.usage["t1"];
    usage.memory_tokens = fake_gateway::k_engine_tokens;
    const auto request = gateway.request();
    REQUIRE(gateway.traffic.admission["service"].queue.size == 1);
    schedule_dispatch(gateway.traffic, "service", milliseconds(50));
    request->on_caller_disconnected();
    usage.memory_tokens = 0;
    gateway.advance(milliseconds(3'000));
    CHECK(gateway.attempts.empty());
    CHECK(gateway.traffic.admission["service"].queue.size == 0);
}

struct lapsed_case {
    const char* name;
    request_kind kind;
    std::uint32_t max_attempts;
};

// Guards against work that is given up or started again elsewhere because the entry of its target has lapsed:
// the target may have been slow to renew it.
TEST_CASE("requests at a target whose entry has lapsed go on") {
    const auto test = GENERATE(from_range(std::vector<lapsed_case>{
        {"publish", request_kind::non_idempotent, 1},
        {"read", request_kind::idempotent, 2},
        {"stream", request_kind::streaming, 5},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, test.max_attempts, 3);
    const auto request = gateway.request();
    const auto first = gateway.attempts.at(0);
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    auto targets = std::make_shared<std::map<std::string, target_list>>(*view->targets);
    auto& list = targets->at("service");
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const auto& target) { return target.id == first->options.target_id; }),
               list.end());
    view->targets = targets;
    apply_view(gateway.traffic, view);
    gateway.advance(milliseconds(300));
    first->events.on_head(fake_gateway::head(200));
    first->events.on_body(fake_gateway::event(1));
    gateway.advance(milliseconds(300));
    first->events.on_body(fake_gateway::event(2));
    first->events.on_end();
    CHECK(gateway.attempts.size() == 1);
    CHECK_FALSE(first->is_cancelled);
    CHECK(gateway.caller.is_finished);
    CHECK(gateway.caller.body == fake_gateway::event(1) + fake_gateway::event(2));
}

struct shrunk_wait_case {
    const char* name;
    std::function<void(gateway_view&, route_table&)> shrink;
};

// Guards against a request that waits for memory of an engine and ends without an answer because a new
// configuration or the targets' entries no longer provide for it.
TEST_CASE("a request that waits is answered whatever a new view takes away") {
    const auto test = GENERATE(from_range(std::vector<shrunk_wait_case>{
        {"nothing", [](gateway_view&, route_table&) {}},
        {"targets",
         [](gateway_view& view, route_table&) {
             view.targets = std::make_shared<std::map<std::string, target_list>>();
         }},
        {"routes", [](gateway_view&, route_table& table) { table.routes.clear(); }},
        {"services", [](gateway_view&, route_table& table) { table.services.clear(); }},
        {"keys", [](gateway_view&, route_table& table) { table.organisation_by_key.clear(); }},
        {"memory",
         [](gateway_view&, route_table& table) { table.services["service"].engine->memory_tokens = 1; }},
        {"time-out", [](gateway_view&, route_table& table) { table.routes[0].timeout = milliseconds(1); }},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 2, 1);
    gateway.traffic.usage["t1"].memory_tokens = fake_gateway::k_engine_tokens;
    const auto request = gateway.request();
    REQUIRE(gateway.attempts.empty());
    REQUIRE(gateway.caller.replies.empty());
    auto view = std::make_shared<gateway_view>(*gateway.traffic.view);
    auto table = std::make_shared<route_table>(*view->table);
    test.shrink(*view, *table);
    index_routes(*table);
    view->table = table;
    ++view->sequence;
    apply_view(gateway.traffic, view);
    gateway.advance(milliseconds(4'500));
    CHECK(gateway.attempts.empty());
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK(gateway.caller.replies[0].is_not_run);
    CHECK(gateway.traffic.requests.empty());
}

} // namespace

} // namespace lovage
