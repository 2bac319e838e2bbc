#include "lovage/traffic/answer_session.h"

#include "lovage/control/home_entry.h"

#include "support/fake_peer_port.h"
#include "support/wait_until.h"

#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace lovage {

namespace {

constexpr request_id k_request{1, 2};

// Context of the sessions of entry "e1". The home of each request is "e2".
std::shared_ptr<session_context> context_with(fake_peers& peers) {
    auto view = std::make_shared<fleet_view>();
    member_info home;
    home.node = "e2";
    home.region = "ub";
    view->members = {home};
    const auto views = std::make_shared<view_publisher>();
    views->publish(view);
    auto context = std::make_shared<session_context>();
    context->options.self = "e1";
    context->options.region = "ub";
    context->peers = peers.port();
    context->timers = std::make_shared<timer_queue>();
    context->targets = std::make_shared<target_table>(routing_policy{}, "a", 1);
    context->scheduler =
        std::make_shared<dispatch_scheduler>(context->targets, 10, [](const std::function<void()>&) {});
    context->views = views;
    context->evidence = std::make_shared<evidence_recorder>();
    context->record = std::make_shared<service_record>();
    context->quarantine = std::make_shared<generation_quarantine>();
    context->new_answer_id = [] { return answer_id{7}; };
    context->pauses = [] { return process_pauses{}; };
    context->prospects = [](const request_id&) { return adoption_prospects{}; };
    context->count = [](const std::string&, double) {};
    context->record_dispatched = [](const request_id&) {};
    context->was_dispatched = [](const request_id&) { return false; };
    context->on_ended = [](const request_id&, bool, std::size_t) {};
    return context;
}

// Guards against callers that retry at once because their entry attached just after the failure.
TEST_CASE("an entry that attaches after a failure gets its retry delay") {
    fake_peers peers;
    for (const char* node : {"e2", "e3"}) {
        peers.set_connected(node, true);
    }
    const auto session = answer_session::create(context_with(peers), {k_request, {}, 1, false});
    session->start_as_relay({});
    REQUIRE(peers.sent<attach_message>("e2").size() == 1);
    attach_message attach;
    attach.request = k_request;
    attach.digest = 1;
    session->on_failed("e2", {{k_request, {}, 0}, error_kind::overloaded, "scripted", true, 250});
    session->on_attach("e3", attach);
    const auto failures = peers.sent<failed_message>("e3");
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].kind == error_kind::overloaded);
    CHECK(failures[0].not_run);
    CHECK(failures[0].retry_after_ms == 250);
}

struct held_up_case {
    const char* name;
    milliseconds hold_up;
    bool is_left;
};

// Guards against an answer that is taken from its home because the process, not the home, was held up.
TEST_CASE("silence while the process was held up is not the home's") {
    const auto test = GENERATE(from_range(std::vector<held_up_case>{
        {"silent home", milliseconds(0), true},
        {"held up", milliseconds(1'100), false},
    }));
    CAPTURE(test.name);
    fake_peers peers;
    peers.set_connected("e2", true);
    const auto context = context_with(peers);
    const auto session = answer_session::create(context, {k_request, {}, 1, false});
    const auto started = monotonic_now();
    session->start_as_relay({});
    context->timers->at(started + milliseconds(50), [&test] { std::this_thread::sleep_for(test.hold_up); });
    std::this_thread::sleep_for(milliseconds(1'400));
    CHECK(peers.sent<detach_message>("e2").empty() == !test.is_left);
}

enum class successor_reply : std::uint8_t {
    has_answer,
    has_answer_then_cut,
    // As a relay of this entry attaches again, with more of the text than this entry has.
    has_answer_and_relay,
    // An attach of the successor from the time of the pause arrives before its answer.
    has_answer_after_attach,
    // The agent's failure message arrives on a connection that outlasted the pause.
    not_needed,
    unknown,
    unreachable
};

struct woken_home_case {
    const char* name;
    bool is_paused;
    successor_reply reply;
    // Whether the session dispatches the answer again by itself.
    bool dispatches;
};

// Guards against a home entry that was paused, lost its connections meanwhile and continues an answer that
// its successor has taken over.
TEST_CASE("a home that was paused asks its successor before it continues an answer") {
    const auto test = GENERATE(from_range(std::vector<woken_home_case>{
        {"not paused", false, successor_reply::unknown, true},
        {"paused, the agent reports a failure", true, successor_reply::not_needed, true},
        {"paused, the successor has taken the answer over", true, successor_reply::has_answer, false},
        {"paused, the successor's answer is cut off for a moment", true, successor_reply::has_answer_then_cut,
         false},
        {"paused, a relay attaches while the successor answers", true, successor_reply::has_answer_and_relay,
         false},
        {"paused, the successor attached before it took the answer over", true,
         successor_reply::has_answer_after_attach, false},
        {"paused, the successor does not know the answer", true, successor_reply::unknown, true},
        {"paused, the successor is unreachable", true, successor_reply::unreachable, true},
    }));
    CAPTURE(test.name);
    fake_peers peers;
    for (const char* node : {"a1", "a2", "e2"}) {
        peers.set_connected(node, true);
    }
    const auto context = context_with(peers);
    fleet_view view = *context->views->current();
    member_info own;
    own.node = "e1";
    own.region = "ub";
    view.members.push_back(own);
    fleet_config config;
    config.models = {{"m", "v1", 1}};
    view.config = std::make_shared<fleet_config>(config);
    const auto views = std::make_shared<view_publisher>();
    views->publish(std::make_shared<fleet_view>(view));
    context->views = views;
    request_id request = k_request;
    while (home_entry(view, request, "ub")->node != "e1") {
        ++request.low;
    }
    const auto pauses = std::make_shared<process_pauses>();
    context->pauses = [pauses] { return *pauses; };
    for (const char* node : {"a1", "a2"}) {
        load_report_message report;
        report.target = node;
        report.engine_up = true;
        report.slots = 8;
        report.loaded = {{"m", "v1", ""}};
        context->targets->set_connected(node, 1);
        context->targets->set_report(node, report, monotonic_now());
    }
    generation_spec spec;
    spec.model = "m";
    spec.model_version = "v1";
    spec.max_tokens = 10;
    const auto session = answer_session::create(context, {request, spec, 1, false});
    session->add_caller({});
    session->start_as_home({});
    const auto attempts = [&peers] {
        return peers.sent<generate_message>("a1").size() + peers.sent<generate_message>("a2").size();
    };
    REQUIRE(attempts() == 1);
    const node_id first = peers.sent<generate_message>("a1").empty() ? "a2" : "a1";
    const attempt_ref ref = peers.sent<generate_message>(first)[0].ref;
    session->on_tokens(first, tokens_message{ref, 0, {"t0", "t1"}});

    if (test.is_paused) {
        ++pauses->count;
        pauses->last_end = monotonic_now();
    }
    peers.set_connected("e2", test.reply != successor_reply::unreachable);
    if (test.reply == successor_reply::not_needed) {
        session->on_failed(first, failed_message{ref, error_kind::target_failed, "crash", false, 0});
    } else {
        peers.set_connected(first, false);
        context->targets->set_connected(first, 0);
        session->on_disconnected(first);
    }
    const bool asks = test.is_paused && test.reply != successor_reply::not_needed;
    CHECK(attempts() == (asks ? 1 : 2));
    if (asks && test.reply != successor_reply::unreachable) {
        const auto asked = peers.sent<attach_message>("e2");
        REQUIRE(asked.size() == 1);
        CHECK(asked[0].digest == 0);
        CHECK(asked[0].known.size() == 2);
    }
    const attempt_ref taken{request, ref.answer, ref.attempt};
    const bool is_taken =
        asks && test.reply != successor_reply::unknown && test.reply != successor_reply::unreachable;
    if (is_taken) {
        if (test.reply == successor_reply::has_answer_and_relay) {
            attach_message attach;
            attach.request = request;
            attach.answer = ref.answer;
            attach.attempt = ref.attempt;
            attach.known = {"t0", "t1", "t2"};
            session->on_attach("e3", attach);
        }
        if (test.reply == successor_reply::has_answer_after_attach) {
            attach_message attach;
            attach.request = request;
            attach.digest = 1;
            session->on_attach("e2", attach);
        }
        session->on_attach_reply("e2", attach_reply_message{taken, "v1", 2});
        session->on_tokens("e2", tokens_message{taken, 2, {"t2"}});
    }
    if (test.reply == successor_reply::has_answer_then_cut) {
        peers.set_connected("e2", false);
        session->on_disconnected("e2");
        peers.set_connected("e2", true);
        CHECK(wait_until([&] { return peers.sent<attach_message>("e2").size() == 2; }));
        session->on_attach_reply("e2", attach_reply_message{taken, "v1", 3});
    }
    if (is_taken) {
        session->on_finished("e2", finished_message{taken, 3, finish_reason::length});
    }
    if (test.is_paused && test.reply == successor_reply::unknown) {
        session->on_failed("e2", failed_message{taken, error_kind::not_found, "scripted", false, 0});
    }
    CHECK(wait_until([&] { return attempts() == 2; }, milliseconds(2'500)) == test.dispatches);
    answer_cursor cursor;
    std::vector<token> tokens;
    answer_read_result read_result;
    do {
        read_result = session->read(cursor, milliseconds(10));
        tokens.insert(tokens.end(), read_result.tokens.begin(), read_result.tokens.end());
    } while (read_result.kind == read_result_kind::started || read_result.kind == read_result_kind::tokens);
    CHECK(tokens.size() == (test.dispatches ? 2 : 3));
    CHECK(read_result.kind == (test.dispatches ? read_result_kind::idle : read_result_kind::finished));
    context->timers->stop();
}

} // namespace

} // namespace lovage
