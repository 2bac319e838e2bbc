#include "lovage/adapters/gateway/peer_report_udp.h"
#include "lovage/core/rendezvous.h"
#include "lovage/traffic/request_losses.h"
#include "support/fake_gateway.h"

#include <catch2/catch.hpp>

namespace lovage {

namespace {

using testing::fake_gateway;

constexpr milliseconds k_run_time{70};

// Starts a request and loses each target that it is sent to. Returns the number of targets.
std::size_t lose_all_attempts(fake_gateway& gateway, const std::string& path = "/r/x") {
    const auto first = gateway.attempts.size();
    const auto request = gateway.request("key", path);
    for (std::size_t i = first; i < gateway.attempts.size(); ++i) {
        gateway.advance(k_run_time);
        gateway.attempts[i]->events.on_failure(attempt_end::broken, "scripted");
    }
    return gateway.attempts.size() - first;
}

// Starts a request whose target answers with `status`. Returns whether it was sent.
bool answer(fake_gateway& gateway, int status = 200, const std::string& path = "/r/x") {
    const auto first = gateway.attempts.size();
    const auto request = gateway.request("key", path);
    if (gateway.attempts.size() == first) {
        return false;
    }
    for (std::size_t i = first; i < gateway.attempts.size(); ++i) {
        gateway.advance(k_run_time);
        const auto events = gateway.attempts[i]->events;
        events.on_head(fake_gateway::head(status));
        events.on_end();
    }
    return true;
}

struct crash_case {
    const char* name;
    request_kind kind;
    std::uint32_t max_attempts;
    int targets;
    /// Targets that each attempt of the caller takes, one after the other.
    std::vector<std::size_t> lost;
    error_kind refusal;
};

// Guards against a request that ends every target of its service, in each attempt of its caller.
TEST_CASE("a request that crashes its targets is not sent to more of them") {
    const auto test = GENERATE(from_range(std::vector<crash_case>{
        {"read, last target left", request_kind::idempotent, 2, 3, {2, 0}, error_kind::request_suspected},
        {"read, many targets", request_kind::idempotent, 2, 20, {2, 1, 0}, error_kind::request_quarantined},
        {"read, attempts left", request_kind::idempotent, 5, 20, {3, 0}, error_kind::request_quarantined},
        {"publication", request_kind::non_idempotent, 1, 20, {1, 1, 1, 0}, error_kind::request_quarantined},
        {"stream without shared parts",
         request_kind::streaming,
         5,
         20,
         {3, 0},
         error_kind::request_quarantined},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(test.kind, test.max_attempts, test.targets);
    gateway.prompt = {{"own", 8'000}};
    for (const auto expected : test.lost) {
        CHECK(lose_all_attempts(gateway) == expected);
        gateway.advance(milliseconds(100));
    }
    REQUIRE(gateway.caller.replies.size() == test.lost.size());
    const auto& before = gateway.caller.replies[test.lost.size() - 2];
    CHECK_FALSE(before.is_not_run);
    const auto& refusal = gateway.caller.replies.back();
    CHECK(refusal.kind == test.refusal);
    CHECK(refusal.is_not_run);
    // A request that no target can survive is not invited back.
    CHECK((refusal.retry_after > milliseconds(0)) == (test.refusal == error_kind::request_suspected));
    CHECK(answer(gateway, 200, "/r/other"));
}

// Guards against refusing sound requests whose answers are lost, or whose targets end for other reasons.
TEST_CASE("a request that targets survive is sent again") {
    struct survival_case {
        const char* name;
        int status;
        bool is_answered_in_between;
        bool is_other_answered;
    };
    const auto test = GENERATE(from_range(std::vector<survival_case>{
        {"answered in between", 200, true, false},
        {"failed by the target in between", 500, true, false},
        {"the targets answer others afterwards", 200, false, true},
    }));
    CAPTURE(test.name);
    fake_gateway gateway;
    gateway.publish(request_kind::idempotent, 1, 1);
    gateway.prompt = {};
    for (int i = 0; i < 6; ++i) {
        CHECK(lose_all_attempts(gateway) == 1);
        // The backoff of the only target.
        gateway.advance(milliseconds(300));
        if (test.is_answered_in_between) {
            CHECK(answer(gateway, test.status));
        }
        if (test.is_other_answered) {
            CHECK(answer(gateway, 200, "/r/other"));
        }
    }
}

// Guards against a verdict on a sound request that never ends, and against trials by all requests at once.
TEST_CASE("a quarantined request is tried once more") {
    const bool is_sound = GENERATE(true, false);
    CAPTURE(is_sound);
    fake_gateway gateway;
    gateway.publish(request_kind::non_idempotent, 1, 20);
    for (std::size_t i = 0; i < k_losses_to_quarantine; ++i) {
        CHECK(lose_all_attempts(gateway) == 1);
    }
    gateway.advance(k_first_trial_delay - milliseconds(1'000));
    CHECK(lose_all_attempts(gateway) == 0);
    gateway.advance(milliseconds(2'000));
    const auto first = gateway.attempts.size();
    const auto trial = gateway.request();
    const auto other = gateway.request();
    REQUIRE(gateway.attempts.size() == first + 1);
    gateway.advance(k_run_time);
    const auto events = gateway.attempts.back()->events;
    if (is_sound) {
        events.on_head(fake_gateway::head(200));
        events.on_end();
    } else {
        events.on_failure(attempt_end::broken, "scripted");
    }
    gateway.advance(milliseconds(2'000));
    CHECK(answer(gateway) == is_sound);
}

// The report that `from` sends next, as `to` receives it after the codec.
void pass_report(fake_gateway& from, fake_gateway& to) {
    peer_report report;
    report.node = from.traffic.peers.node;
    report.address = from.traffic.peers.address;
    report.sequence = ++from.traffic.peers.sequence;
    add_request_losses(from.traffic, report);
    const auto decoded = decode_report(encode_report(report));
    REQUIRE(decoded);
    apply_peer_report(to.traffic, *decoded);
}

// Guards against each process losing three targets before it knows, against a process that lifts a verdict
// alone, and against one write to the store by each of them.
TEST_CASE("processes share the losses and successes of requests") {
    const bool is_cleared = GENERATE(false, true);
    CAPTURE(is_cleared);
    fake_gateway first;
    fake_gateway second;
    std::vector<quarantine_record> stored;
    for (auto* gateway : {&first, &second}) {
        gateway->publish(request_kind::non_idempotent, 1, 20);
        gateway->traffic.peers.node = gateway == &first ? "first" : "second";
        gateway->traffic.peers.address = gateway == &first ? "10.0.1.1:7000" : "10.0.1.2:7000";
        gateway->traffic.on_quarantine = [&stored](quarantine_record record) {
            stored.push_back(std::move(record));
        };
    }
    CHECK(lose_all_attempts(first) == 1);
    CHECK(lose_all_attempts(first) == 1);
    second.advance(milliseconds(1'200));
    pass_report(first, second);
    // Another start of a target than those that `first` has lost.
    auto view = std::make_shared<gateway_view>(*second.traffic.view);
    ++view->sequence;
    auto targets = *view->targets;
    for (auto& target : targets["service"]) {
        target.started_ms = 1;
    }
    view->targets = std::make_shared<std::map<std::string, target_list>>(std::move(targets));
    apply_view(second.traffic, view);
    CHECK(lose_all_attempts(second) == 1);
    CHECK(stored.size() == 1);
    if (is_cleared) {
        second.advance(milliseconds(100));
        record_request_success(second.traffic.lost_requests, stored.at(0).request, second.now);
    }
    first.now = second.now + milliseconds(30);
    pass_report(second, first);
    CHECK(answer(first) == is_cleared);
    // One that learns of it from a report writes only if it is the first in rank.
    const auto request = stored.at(0).request;
    const bool is_first_writer = rendezvous_rank("first", request) > rendezvous_rank("second", request);
    CHECK(stored.size() == (is_first_writer && !is_cleared ? 2 : 1));
}

// Guards against a quarantine that ends with a restart of all processes.
TEST_CASE("a process that starts reads the quarantined requests from the store") {
    const bool is_stored = GENERATE(true, false);
    CAPTURE(is_stored);
    fake_gateway before;
    quarantine_record record;
    before.traffic.on_quarantine = [&record](quarantine_record written) { record = std::move(written); };
    before.publish(request_kind::non_idempotent, 1, 20);
    for (std::size_t i = 0; i < k_losses_to_quarantine; ++i) {
        CHECK(lose_all_attempts(before) == 1);
    }
    CHECK(record.request != 0);

    fake_gateway restarted;
    restarted.publish(request_kind::non_idempotent, 1, 20);
    auto view = std::make_shared<gateway_view>(*restarted.traffic.view);
    ++view->sequence;
    if (is_stored) {
        view->quarantines["key"] = record;
    }
    apply_view(restarted.traffic, view);
    CHECK(answer(restarted) == !is_stored);
    CHECK(answer(restarted, 200, "/r/other"));
}

} // namespace

} // namespace lovage
