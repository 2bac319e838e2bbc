#include "lovage/traffic/answer_session.h"

#include "support/fake_peer_port.h"

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
    context->timers->stop();
}

} // namespace

} // namespace lovage
