#include "lovage/traffic/call_runner.h"

#include "support/fake_peer_port.h"
#include "support/wait_until.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovage {

namespace {

constexpr incarnation k_own_incarnation = 7;

// Call runner with a fake service, whose calls block until `open`.
class runner_fixture {
public:
    explicit runner_fixture(std::uint32_t slots = 1, std::uint32_t max_queued = 1) {
        peers.set_connected("a", true);
        peers.set_connected("b", true);
        call_runner_options options;
        options.own = k_own_incarnation;
        options.services = {"listings"};
        options.slots = slots;
        options.max_queued = max_queued;
        call_runner_ports ports;
        ports.peer = peers.port();
        ports.service.call = [this](const call_message&) { return call(); };
        ports.count = [](const std::string&, double) {};
        ports.on_change = [] {};
        runner = call_runner::create(options, std::move(ports));
    }
    ~runner_fixture() {
        open();
        runner.reset();
    }
    runner_fixture(const runner_fixture&) = delete;
    runner_fixture& operator=(const runner_fixture&) = delete;

    void open() {
        {
            const std::lock_guard lock(m_mutex);
            m_is_open = true;
        }
        m_changed.notify_all();
    }
    void call(const node_id& from, std::uint64_t id, bool repeatable, wall_time deadline = {}) {
        call_message call;
        call.request = {0, id};
        call.service = "listings";
        call.repeatable = repeatable;
        call.bound_incarnation = repeatable ? 0 : k_own_incarnation;
        call.deadline = deadline;
        runner->on_call(from, call);
    }

    std::atomic<int> calls{0};
    result<service_reply> reply = service_reply{201, "text/plain", "done"};
    fake_peers peers;
    std::unique_ptr<call_runner> runner;

private:
    result<service_reply> call() {
        ++calls;
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_is_open; });
        return reply;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_open = false;
};

// Guards against a retry that runs a non-idempotent call a second time.
TEST_CASE("a repeated non-idempotent call runs once and is answered to all") {
    runner_fixture fixture;
    fixture.call("a", 1, false);
    REQUIRE(wait_until([&] { return fixture.calls == 1; }));
    fixture.call("b", 1, false);
    fixture.open();
    REQUIRE(wait_until([&] { return fixture.peers.sent<call_result_message>("b").size() == 1; }));
    CHECK(fixture.peers.sent<call_result_message>("a").size() == 1);
    fixture.call("a", 1, false);
    REQUIRE(fixture.peers.sent<call_result_message>("a").size() == 2);
    const auto again = fixture.peers.sent<call_result_message>("a")[1];
    CHECK(again.ok);
    CHECK(again.status == 201);
    CHECK(again.body == "done");
    CHECK(fixture.calls == 1);
}

struct refusal_case {
    const char* name;
    bool is_full;
    bool is_draining;
    bool is_late;
    error_kind expected;
};

// Guards against a retry that runs a call after the caller was told that the call was not run.
TEST_CASE("a refused call stays refused") {
    const auto test = GENERATE(from_range(std::vector<refusal_case>{
        {"busy", true, false, false, error_kind::target_busy},
        {"leaving", false, true, false, error_kind::leaving},
        {"deadline", false, false, true, error_kind::deadline_exceeded},
    }));
    CAPTURE(test.name);
    runner_fixture fixture;
    if (test.is_full) {
        fixture.call("a", 10, true);
        fixture.call("a", 11, true);
    }
    if (test.is_draining) {
        fixture.runner->drain();
    }
    fixture.call("b", 1, false, test.is_late ? wall_time(milliseconds(1)) : wall_time{});
    fixture.open();
    REQUIRE(fixture.runner->wait_idle(milliseconds(2'000)));
    const int calls = fixture.calls;
    fixture.call("b", 1, false);
    const auto results = fixture.peers.sent<call_result_message>("b");
    REQUIRE(results.size() == 2);
    for (const auto& result : results) {
        CHECK_FALSE(result.ok);
        CHECK(result.not_run);
        CHECK(result.kind == test.expected);
    }
    CHECK(fixture.calls == calls);
}

// Guards against calls that the end of a planned stop cuts, so that their callers wait for the deadline.
TEST_CASE("the end of the process gives each call that is left its final result") {
    const bool repeatable = GENERATE(false, true);
    CAPTURE(repeatable);
    runner_fixture fixture;
    fixture.call("a", 1, repeatable);
    REQUIRE(wait_until([&] { return fixture.calls == 1; }));
    fixture.call("b", 2, repeatable);
    fixture.runner->drain();
    CHECK_FALSE(fixture.runner->wait_idle(milliseconds(10)));
    fixture.runner->end_calls();
    const auto running = fixture.peers.sent<call_result_message>("a");
    REQUIRE(running.size() == 1);
    CHECK(running[0].kind == error_kind::outcome_unknown);
    CHECK_FALSE(running[0].not_run);
    const auto queued = fixture.peers.sent<call_result_message>("b");
    REQUIRE(queued.size() == 1);
    CHECK(queued[0].kind == error_kind::leaving);
    CHECK(queued[0].not_run);

    // What was reported stays true.
    fixture.open();
    CHECK(fixture.runner->wait_idle(milliseconds(2'000)));
    CHECK(fixture.calls == 1);
    CHECK(fixture.peers.sent<call_result_message>("a").size() == 1);
    CHECK(fixture.peers.sent<call_result_message>("b").size() == 1);
}

struct service_failure_case {
    error_kind from_service;
    error_kind expected;
    bool not_run;
};

// Guards against `not_run` for a call that was sent and whose response was lost.
TEST_CASE("only a call that was not sent is reported as not run") {
    const auto test = GENERATE(from_range(std::vector<service_failure_case>{
        {error_kind::peer_unreachable, error_kind::no_target, true},
        {error_kind::deadline_exceeded, error_kind::deadline_exceeded, true},
        {error_kind::invalid_request, error_kind::invalid_request, true},
        {error_kind::outcome_unknown, error_kind::outcome_unknown, false},
        {error_kind::target_failed, error_kind::target_failed, false},
        {error_kind::protocol_error, error_kind::protocol_error, false},
    }));
    runner_fixture fixture;
    fixture.reply = fail(test.from_service, "x");
    fixture.open();
    fixture.call("a", 1, false);
    REQUIRE(wait_until([&] { return fixture.peers.sent<call_result_message>("a").size() == 1; }));
    const auto result = fixture.peers.sent<call_result_message>("a")[0];
    CHECK_FALSE(result.ok);
    CHECK(result.kind == test.expected);
    CHECK(result.not_run == test.not_run);
}

} // namespace

} // namespace lovage
