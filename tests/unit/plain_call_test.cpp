#include "lovage/traffic/plain_call.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

// How a fake agent responds to a call.
enum class agent_behaviour : std::uint8_t {
    answers,
    busy,
    loses_connection,
    // The first message is accepted for a connection that closes; the next one reaches the agent.
    reconnects,
    tombstoned,
    not_connected,
    silent
};

struct fake_agent {
    agent_behaviour behaviour = agent_behaviour::answers;
    incarnation running = 1;
};

// How the fake store responds to the creation and the read of a claim.
enum class store_mode : std::uint8_t { works, down, held_by_b, lost_then_own };

struct fake_fleet {
    std::map<node_id, fake_agent> agents;
    store_mode store = store_mode::works;
    int retries_left = 10;
    call_waiters waiters;
    std::vector<node_id> asked;
    std::optional<claim_record> written;

    bool deliver(const node_id& agent, const call_message& call);
    plain_call_ports ports();
};

bool fake_fleet::deliver(const node_id& agent, const call_message& call) {
    asked.push_back(agent);
    call_result_message result;
    result.request = call.request;
    switch (agents.at(agent).behaviour) {
    case agent_behaviour::answers:
        result.ok = true;
        result.status = 200;
        break;
    case agent_behaviour::busy:
        result.kind = error_kind::target_busy;
        break;
    case agent_behaviour::tombstoned:
        result.kind = error_kind::deadline_exceeded;
        result.not_run = true;
        break;
    case agent_behaviour::loses_connection:
        waiters.on_disconnected(agent);
        return true;
    case agent_behaviour::reconnects:
        waiters.on_disconnected(agent);
        waiters.on_connected(agent, agents.at(agent).running);
        agents.at(agent).behaviour = agent_behaviour::answers;
        return true;
    case agent_behaviour::not_connected:
        return false;
    case agent_behaviour::silent:
        return true;
    }
    waiters.on_result(agent, result);
    return true;
}

plain_call_ports fake_fleet::ports() {
    plain_call_ports ports;
    ports.choose = [this](const std::string&,
                          const std::set<node_id>& excluded) -> std::optional<call_target> {
        for (const auto& [name, agent] : agents) {
            if (excluded.count(name) == 0) {
                return call_target{name, agent.running};
            }
        }
        return std::nullopt;
    };
    ports.send = [this](const node_id& agent, const call_message& call) { return deliver(agent, call); };
    ports.create_claim = [this](const request_id&, const claim_record& wanted) -> result<void> {
        if (store == store_mode::down || store == store_mode::lost_then_own) {
            written = wanted;
            return fail(error_kind::store_unavailable, "");
        }
        if (store == store_mode::held_by_b) {
            return fail(error_kind::revision_conflict, "");
        }
        return {};
    };
    ports.read_claim = [this](const request_id&) -> result<std::optional<claim_record>> {
        if (store == store_mode::down) {
            return fail(error_kind::store_unavailable, "");
        }
        return store == store_mode::held_by_b ? std::optional<claim_record>(claim_record{"b", 1, 9})
                                              : written;
    };
    ports.try_spend_retry = [this] { return retries_left-- > 0; };
    ports.random = [] { return std::uint64_t{7}; };
    ports.now = [] { return monotonic_now(); };
    return ports;
}

struct call_case {
    const char* name;
    bool repeatable;
    std::map<node_id, fake_agent> agents;
    store_mode store;
    int retries;
    bool ok;
    error_kind kind;
    bool not_run;
    std::vector<node_id> asked;
};

// Guards against a non-idempotent call that reaches a second agent or incarnation, an idempotent (repeatable)
// call that fails while another target could serve it, and a "not run" without a tombstone at the agent or
// after a call that may have run elsewhere.
TEST_CASE("plain calls go to the targets that may run them") {
    using behaviour = agent_behaviour;
    const fake_agent up{behaviour::answers, 1};
    const fake_agent busy{behaviour::busy, 1};
    const fake_agent lost{behaviour::loses_connection, 1};
    const fake_agent reconnects{behaviour::reconnects, 1};
    const fake_agent restarted{behaviour::answers, 2};
    const fake_agent refused{behaviour::tombstoned, 1};
    const fake_agent gone{behaviour::not_connected, 1};
    const auto test = GENERATE_COPY(from_range(std::vector<call_case>{
        {"repeatable, first busy",
         true,
         {{"a", busy}, {"b", up}},
         store_mode::works,
         10,
         true,
         error_kind::internal,
         false,
         {"a", "b"}},
        {"repeatable, connection lost",
         true,
         {{"a", lost}, {"b", up}},
         store_mode::works,
         10,
         true,
         error_kind::internal,
         false,
         {"a", "b"}},
        {"repeatable, budget spent",
         true,
         {{"a", lost}, {"b", up}},
         store_mode::works,
         0,
         false,
         error_kind::target_failed,
         false,
         {"a"}},
        {"repeatable, all failed",
         true,
         {{"a", lost}, {"b", gone}},
         store_mode::works,
         10,
         false,
         error_kind::no_target,
         false,
         {"a", "b"}},
        {"repeatable, refused after another may have run it",
         true,
         {{"a", lost}, {"b", refused}},
         store_mode::works,
         10,
         false,
         error_kind::deadline_exceeded,
         false,
         {"a", "b"}},
        {"repeatable, refused at once",
         true,
         {{"a", refused}},
         store_mode::works,
         10,
         false,
         error_kind::deadline_exceeded,
         true,
         {"a"}},
        {"claimed",
         false,
         {{"a", up}, {"b", up}},
         store_mode::works,
         10,
         true,
         error_kind::internal,
         false,
         {"a"}},
        {"claim held by another",
         false,
         {{"a", up}, {"b", up}},
         store_mode::held_by_b,
         10,
         true,
         error_kind::internal,
         false,
         {"b"}},
        {"claim held by a former incarnation",
         false,
         {{"a", up}, {"b", restarted}},
         store_mode::held_by_b,
         10,
         false,
         error_kind::outcome_unknown,
         false,
         {}},
        {"store answer lost after the effect",
         false,
         {{"a", up}},
         store_mode::lost_then_own,
         10,
         true,
         error_kind::internal,
         false,
         {"a"}},
        {"store down",
         false,
         {{"a", up}},
         store_mode::down,
         10,
         false,
         error_kind::store_unavailable,
         false,
         {}},
        {"claimed agent lost",
         false,
         {{"a", lost}, {"b", up}},
         store_mode::works,
         10,
         false,
         error_kind::outcome_unknown,
         false,
         {"a"}},
        {"claimed, sent on a connection that was closing",
         false,
         {{"a", reconnects}, {"b", up}},
         store_mode::works,
         10,
         true,
         error_kind::internal,
         false,
         {"a", "a"}},
        {"tombstone",
         false,
         {{"a", refused}},
         store_mode::works,
         10,
         false,
         error_kind::deadline_exceeded,
         true,
         {"a"}},
    }));
    CAPTURE(test.name);
    fake_fleet fleet;
    fleet.agents = test.agents;
    fleet.store = test.store;
    fleet.retries_left = test.retries;
    for (const auto& [name, agent] : fleet.agents) {
        fleet.waiters.on_connected(name, agent.running);
    }
    call_message call;
    call.request = request_id{1, 2};
    call.service = "listings";
    const auto run = test.repeatable ? run_repeatable_call : run_claimed_call;
    const auto outcome = run(call, fleet.ports(), fleet.waiters, monotonic_now() + milliseconds(200));
    CHECK(outcome.reply.has_value() == test.ok);
    if (!outcome.reply) {
        CHECK(to_string(outcome.reply.error().kind) == to_string(test.kind));
    }
    CHECK(outcome.not_run == test.not_run);
    CHECK(fleet.asked == test.asked);
}

struct stop_case {
    const char* name;
    bool repeatable;
    bool is_connected;
    store_mode store;
    error_kind kind;
};

// Guards against calls that wait for their deadline while the process that runs them ends.
TEST_CASE("the end of the process ends calls in progress") {
    const auto test = GENERATE(from_range(std::vector<stop_case>{
        {"idempotent", true, true, store_mode::works, error_kind::leaving},
        {"claimed and sent", false, true, store_mode::works, error_kind::outcome_unknown},
        {"claimed, agent away", false, false, store_mode::works, error_kind::outcome_unknown},
        {"not claimed", false, true, store_mode::down, error_kind::store_unavailable},
    }));
    CAPTURE(test.name);
    fake_fleet fleet;
    fleet.agents = {{"a", {agent_behaviour::silent, 1}}};
    fleet.store = test.store;
    if (test.is_connected) {
        fleet.waiters.on_connected("a", 1);
    }
    call_message call;
    call.request = {0, 1};
    call.repeatable = test.repeatable;
    std::thread stopper([&] {
        std::this_thread::sleep_for(milliseconds(50));
        fleet.waiters.stop();
    });
    const auto run = test.repeatable ? run_repeatable_call : run_claimed_call;
    const time_point started = monotonic_now();
    const auto outcome = run(call, fleet.ports(), fleet.waiters, started + milliseconds(5'000));
    stopper.join();
    CHECK(monotonic_now() - started < milliseconds(2'000));
    REQUIRE_FALSE(outcome.reply);
    CHECK(outcome.reply.error().kind == test.kind);
    CHECK_FALSE(outcome.not_run);
}

} // namespace

} // namespace lovage
