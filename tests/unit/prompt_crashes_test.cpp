#include "lovage/adapters/gateway/peer_report_udp.h"
#include "lovage/traffic/prompt_crashes.h"
#include "support/fake_gateway.h"

#include <catch2/catch.hpp>

namespace lovage {

namespace {

using testing::fake_gateway;

constexpr milliseconds k_time_to_first_event{700};

// Loses each target to which `gateway` sends the request while it begins to generate. Returns the attempts.
std::size_t crash_all_attempts(fake_gateway& gateway) {
    const auto first = gateway.attempts.size();
    const auto request = gateway.request();
    for (std::size_t i = first; i < gateway.attempts.size(); ++i) {
        gateway.advance(k_time_to_first_event);
        gateway.attempts[i]->events.on_head(fake_gateway::head(200));
        gateway.attempts[i]->events.on_failure(attempt_end::broken, "scripted");
    }
    return gateway.attempts.size() - first;
}

// Starts a request and lets it generate `events` events. Returns whether it was sent.
bool generate(fake_gateway& gateway, int events) {
    const auto first = gateway.attempts.size();
    const auto request = gateway.request();
    if (gateway.attempts.size() == first) {
        return false;
    }
    auto& attempt = *gateway.attempts.back();
    attempt.events.on_head(fake_gateway::head(200));
    for (int i = 1; i <= events; ++i) {
        attempt.events.on_body(fake_gateway::event(i));
    }
    request->on_caller_disconnected();
    return true;
}

// Guards against a request that crashes one engine after the other, with all other generations there, and
// against a second attempt of its caller that goes on.
TEST_CASE("a prompt that crashes its engines is not sent to more of them") {
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 5, 20);
    gateway.prompt = {{"shared", 200}, {"deadly", 800}, {"own", 7'000}};
    CHECK(crash_all_attempts(gateway) == k_crashes_to_quarantine);
    REQUIRE(gateway.caller.replies.size() == 1);
    CHECK(gateway.caller.replies[0].kind == error_kind::target_failed);
    CHECK_FALSE(gateway.caller.replies[0].is_not_run);

    gateway.prompt = {{"shared", 200}, {"deadly", 800}, {"another", 7'000}};
    CHECK(crash_all_attempts(gateway) == 0);
    REQUIRE(gateway.caller.replies.size() == 2);
    CHECK(gateway.caller.replies[1].kind == error_kind::prompt_quarantined);
    CHECK(gateway.caller.replies[1].is_not_run);
    CHECK(gateway.caller.replies[1].retry_after == milliseconds(0));

    gateway.prompt = {{"shared", 200}, {"sound", 800}, {"another", 7'000}};
    CHECK(generate(gateway, 10));
}

struct survival_case {
    const char* name;
    int events;
    attempt_end end;
    bool is_quarantined;
};

// Guards against blaming a prompt for a loss that says nothing about it.
TEST_CASE("only a loss at the beginning of a generation counts against its prompt") {
    const auto test = GENERATE(from_range(std::vector<survival_case>{
        {"no event", 0, attempt_end::broken, true},
        {"cut in the first event", -1, attempt_end::broken, true},
        {"in mid-stream", 10, attempt_end::broken, false},
        {"unreachable", 0, attempt_end::unreachable, false},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::streaming, 1, 20);
    for (int i = 0; i < 8; ++i) {
        const auto request = gateway.request();
        gateway.advance(k_time_to_first_event);
        if (gateway.attempts.empty() || !gateway.attempts.back()->events.on_failure) {
            break;
        }
        const auto events = gateway.attempts.back()->events;
        events.on_head(fake_gateway::head(200));
        if (test.events < 0) {
            events.on_body("id: 1\nda");
        }
        for (int number = 1; number <= test.events; ++number) {
            events.on_body(fake_gateway::event(number));
        }
        events.on_failure(test.end, "scripted");
    }
    CHECK(quarantined_parts(gateway.traffic.quarantine, "service", {"shared"}).empty() !=
          test.is_quarantined);
}

// The report that `from` sends next, as `to` receives it after the codec.
void pass_report(fake_gateway& from, fake_gateway& to) {
    peer_report report;
    report.node = "peer";
    report.address = "10.0.1.1:7000";
    report.sequence = 1;
    add_prompt_crashes(from.traffic, report);
    const auto decoded = decode_report(encode_report(report));
    REQUIRE(decoded);
    apply_peer_report(to.traffic, *decoded);
}

// Guards against each process finding out for itself, and against a process that lifts a quarantine alone.
TEST_CASE("processes share the crashes and successes of prompts") {
    const bool is_cleared = GENERATE(false, true);
    fake_gateway first;
    fake_gateway second;
    for (auto* gateway : {&first, &second}) {
        gateway->publish(request_kind::streaming, 5, 20);
        gateway->prompt = {{"deadly", 800}, {"own", 7'000}};
        gateway->traffic.peers.node = "self";
        gateway->traffic.peers.address = "10.0.1.9:7000";
    }
    CHECK(generate(first, 10));
    CHECK(crash_all_attempts(first) == k_crashes_to_quarantine);
    if (is_cleared) {
        first.advance(milliseconds(100));
        report_prompt_success(first.traffic, {"deadly"});
    }
    second.advance(milliseconds(20'000));
    pass_report(first, second);
    CHECK(generate(second, 10) == is_cleared);
}

// Guards against a quarantine that ends with a restart of all processes, and against one write of each
// process.
TEST_CASE("the process at which a prompt is quarantined keeps the parts for its successors") {
    fake_gateway first;
    fake_gateway second;
    std::vector<quarantine_record> stored;
    // The request of the three crashes is quarantined besides.
    std::vector<quarantine_record> stored_requests;
    for (auto* gateway : {&first, &second}) {
        gateway->publish(request_kind::streaming, 5, 20);
        gateway->prompt = {{"deadly", 800}, {"own", 7'000}};
        gateway->traffic.peers.node = gateway == &first ? "first" : "second";
        gateway->traffic.peers.address = gateway->traffic.peers.node + ":7000";
        gateway->traffic.on_quarantine = [&](quarantine_record record) {
            auto& list = record.request == 0 ? stored : stored_requests;
            list.push_back(std::move(record));
        };
    }
    CHECK(crash_all_attempts(first) == k_crashes_to_quarantine);
    second.advance(milliseconds(20'000));
    pass_report(first, second);
    REQUIRE(stored.size() == 1);
    CHECK(stored[0] == quarantine_record{"service", {"deadly"}});
    CHECK(stored_requests.size() == 1);

    const bool is_stored = GENERATE(true, false);
    fake_gateway restarted;
    restarted.publish(request_kind::streaming, 5, 20);
    restarted.prompt = {{"deadly", 800}, {"another", 7'000}};
    auto view = std::make_shared<gateway_view>(*restarted.traffic.view);
    ++view->sequence;
    if (is_stored) {
        view->quarantines["key"] = stored[0];
    }
    apply_view(restarted.traffic, view);
    CHECK(generate(restarted, 1) == !is_stored);
}

} // namespace

} // namespace lovage
