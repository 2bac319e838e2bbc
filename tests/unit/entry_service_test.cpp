#include "lovage/traffic/entry_service.h"

#include "lovage/control/home_entry.h"
#include "lovage/core/adoption_wait.h"

#include "support/test_network.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace lovage {

namespace {

using test::test_agent;
using test::test_network;

// Counters of one entry.
struct counters {
    std::mutex mutex;
    std::map<std::string, double> values;

    double value(const std::string& name) {
        const std::lock_guard lock(mutex);
        return values[name];
    }
};

fleet_config test_config() {
    fleet_config config;
    config.models = {{"m", "v1", 1}};
    service_config service;
    service.name = "s";
    service.model = "m";
    config.services = {service};
    return config;
}

fleet_view view_of(const std::vector<node_id>& entries, const std::vector<node_id>& agents) {
    fleet_view view;
    view.sequence = 1;
    view.config = std::make_shared<fleet_config>(test_config());
    for (const auto& node : entries) {
        member_info member;
        member.node = node;
        member.region = "ub";
        view.members.push_back(member);
    }
    for (const auto& node : agents) {
        member_info member;
        member.node = node;
        member.role = node_role::agent;
        member.region = "ub";
        view.members.push_back(member);
    }
    return view;
}

struct test_entry {
    std::shared_ptr<view_publisher> views = std::make_shared<view_publisher>();
    std::shared_ptr<counters> counts = std::make_shared<counters>();
    std::unique_ptr<entry_service> service;

    void publish(fleet_view view) { views->publish(std::make_shared<fleet_view>(std::move(view))); }
};

entry_options options_of(const node_id& node) {
    entry_options options;
    options.session.self = node;
    options.session.region = "ub";
    return options;
}

// Test network of entries and agents, with one fleet view that lists all of them.
struct test_fleet {
    test_network network;
    std::map<node_id, test_entry> entries;
    std::list<test_agent> agents;

    test_fleet(const std::vector<node_id>& entry_names, const std::vector<node_id>& agent_names,
               const std::function<void(entry_options&)>& change = {}) {
        for (const auto& name : agent_names) {
            agents.emplace_back(network, name, std::vector<loaded_version>{{"m", "v1", ""}});
        }
        for (const auto& name : entry_names) {
            test_entry& entry = entries[name];
            entry.publish(view_of(entry_names, agent_names));
            entry_options options = options_of(name);
            if (change) {
                change(options);
            }
            entry.service =
                entry_service::create(options, network.port_of(name), entry.views,
                                      [counts = entry.counts](const std::string& counter, double by) {
                                          const std::lock_guard lock(counts->mutex);
                                          counts->values[counter] += by;
                                      });
            network.add(name, node_role::entry, entry.service->events());
        }
        network.wait_delivered();
    }
    ~test_fleet() {
        for (auto& [name, entry] : entries) {
            entry.service->stop();
            network.freeze(name);
        }
        network.wait_delivered();
    }
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    test_agent& agent(const node_id& name) {
        for (auto& agent : agents) {
            if (agent.node() == name) {
                return agent;
            }
        }
        throw std::logic_error("no agent " + name);
    }
    // Returns the agent that receives the next attempt, and the message; a null agent after a timeout.
    std::pair<test_agent*, generate_message> next_attempt(node_id* from = nullptr) {
        const time_point end = monotonic_now() + std::chrono::seconds(6);
        while (monotonic_now() < end) {
            for (auto& agent : agents) {
                if (auto taken = agent.take<generate_message>(milliseconds(5))) {
                    if (from != nullptr) {
                        *from = taken->from;
                    }
                    return {&agent, taken->message};
                }
            }
        }
        return {nullptr, {}};
    }
};

generation_request request_of(const std::string& key, token_index max_tokens = 100) {
    generation_request request;
    request.idempotency_key = key;
    request.spec.organisation = "o";
    request.spec.service = "s";
    request.spec.prompt = "p";
    request.spec.max_tokens = max_tokens;
    return request;
}

std::vector<token> texts(token_index first, token_index end) {
    std::vector<token> tokens;
    for (token_index i = first; i < end; ++i) {
        tokens.push_back("t" + std::to_string(i));
    }
    return tokens;
}

// What a caller received until the answer ended or nothing new arrived within `wait`.
struct caller_result {
    std::vector<token> tokens;
    answer_id answer;
    int restarts = 0;
    bool gap = false;
    std::optional<answer_read_result> last;
};

void read_until_end(subscription& reader, caller_result& result, milliseconds wait = milliseconds(3'000)) {
    for (;;) {
        const auto read_result = reader.read(wait);
        switch (read_result.kind) {
        case read_result_kind::idle:
            return;
        case read_result_kind::restarted:
            ++result.restarts;
            result.tokens.clear();
            result.answer = read_result.answer;
            break;
        case read_result_kind::started:
            result.answer = read_result.answer;
            break;
        case read_result_kind::tokens:
            result.gap = result.gap || read_result.first != result.tokens.size();
            result.tokens.insert(result.tokens.end(), read_result.tokens.begin(), read_result.tokens.end());
            break;
        case read_result_kind::finished:
        case read_result_kind::failed:
            result.last = read_result;
            return;
        }
    }
}

caller_result read_all(subscription& reader) {
    caller_result result;
    read_until_end(reader, result);
    return result;
}

// Reads until the caller has `count` tokens.
void read_tokens(subscription& reader, caller_result& result, std::size_t count) {
    const time_point end = monotonic_now() + std::chrono::seconds(5);
    while (result.tokens.size() < count && monotonic_now() < end) {
        read_until_end(reader, result, milliseconds(10));
    }
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(3'000)) {
    const time_point end = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

// Returns an idempotency key of a request whose home entry is `home`.
std::string key_with_home(const test_fleet& fleet, const node_id& home) {
    const auto view = fleet.entries.begin()->second.views->current();
    for (int i = 0;; ++i) {
        const std::string key = "k" + std::to_string(i);
        if (home_entry(*view, request_id::from_key("o", key), "ub")->node == home) {
            return key;
        }
    }
}

enum class loss : std::uint8_t { failed, connection, silence, gap, short_final, busy };

struct attempt_loss_case {
    const char* name;
    std::vector<loss> losses;
    // Number of tokens that each attempt sends before it is lost.
    token_index step;
};

// Guards against tokens that are missing, repeated or taken from a lost attempt after one or more losses.
TEST_CASE("an answer survives the loss of its attempts") {
    const auto test = GENERATE(from_range(std::vector<attempt_loss_case>{
        {"no loss", {}, 3},
        {"agent reports a failure", {loss::failed}, 3},
        {"agent is killed", {loss::connection}, 3},
        {"agent is frozen", {loss::silence}, 3},
        {"a token index is skipped", {loss::gap}, 3},
        {"the done event comes too early", {loss::short_final}, 3},
        {"refused once", {loss::busy}, 0},
        {"two losses in a row", {loss::failed, loss::connection}, 3},
        {"loss during the resume", {loss::connection, loss::connection}, 0},
        {"refused after a loss", {loss::failed, loss::busy, loss::gap}, 2},
        {"refused after a silence", {loss::silence, loss::busy, loss::busy}, 2},
        {"two silences, then refused", {loss::silence, loss::silence, loss::busy}, 2},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1", "a2", "a3", "a4"});
    auto reader = fleet.entries["e1"].service->generate(request_of("k"));
    REQUIRE(reader);
    token_index done = 0;
    attempt_number attempt = 0;
    std::vector<std::pair<test_agent*, attempt_ref>> lost;
    for (const loss how : test.losses) {
        auto [agent, generate] = fleet.next_attempt();
        REQUIRE(agent != nullptr);
        CHECK(generate.accepted == texts(0, done));
        CHECK(generate.ref.attempt > attempt);
        attempt = generate.ref.attempt;
        const token_index next = how == loss::busy ? done : done + test.step;
        if (next > done) {
            agent->send("e1", tokens_message{generate.ref, done, texts(done, next)});
        }
        done = next;
        switch (how) {
        case loss::failed:
            agent->send("e1", failed_message{generate.ref, error_kind::target_failed, "crash", false, 0});
            break;
        case loss::connection:
            fleet.network.wait_delivered();
            fleet.network.kill(agent->node());
            break;
        case loss::silence:
            fleet.network.wait_delivered();
            fleet.network.freeze(agent->node());
            break;
        case loss::gap:
            agent->send("e1", tokens_message{generate.ref, done + 1, {"wrong"}});
            break;
        case loss::short_final:
            agent->send("e1", finished_message{generate.ref, done + 2, finish_reason::stop});
            break;
        case loss::busy:
            agent->send("e1", failed_message{generate.ref, error_kind::target_busy, "full", true, 0});
            break;
        }
        lost.emplace_back(agent, generate.ref);
    }
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    CHECK(generate.accepted == texts(0, done));
    for (const auto& [loser, ref] : lost) {
        loser->send("e1", tokens_message{ref, done, {"late"}});
        loser->send("e1", finished_message{ref, done, finish_reason::stop});
    }
    // The target sends the last accepted token again.
    const token_index first = done > 0 ? done - 1 : 0;
    agent->send("e1", tokens_message{generate.ref, first, texts(first, done + 4)});
    agent->send("e1", finished_message{generate.ref, done + 4, finish_reason::length});
    const auto result = read_all(*reader);
    REQUIRE(result.last);
    CHECK(result.last->kind == read_result_kind::finished);
    CHECK(result.last->first == done + 4);
    CHECK(result.tokens == texts(0, done + 4));
    CHECK(result.restarts == 0);
    CHECK_FALSE(result.gap);
}

struct evidence_case {
    const char* name;
    loss how;
    std::uint64_t failures;
};

// Guards against counting the loss of targets as evidence against a version, and against not counting
// failures of its engines.
TEST_CASE("only failures of the engine are evidence against a version") {
    const auto test = GENERATE(from_range(std::vector<evidence_case>{
        {"agent reports a failure", loss::failed, 1},
        {"agent reports a silent engine", loss::silence, 0},
        {"agent is killed", loss::connection, 0},
        {"refused", loss::busy, 0},
        {"a token index is skipped on the way", loss::gap, 0},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1", "a2"});
    const auto& service = fleet.entries["e1"].service;
    auto reader = service->generate(request_of("k"));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    switch (test.how) {
    case loss::failed:
        agent->send("e1", failed_message{generate.ref, error_kind::target_failed, "crash", false, 0});
        break;
    case loss::connection:
        fleet.network.kill(agent->node());
        break;
    case loss::busy:
        agent->send("e1", failed_message{generate.ref, error_kind::target_busy, "full", true, 0});
        break;
    case loss::gap:
        agent->send("e1", tokens_message{generate.ref, 1, {"wrong"}});
        break;
    case loss::silence:
        agent->send("e1", failed_message{generate.ref, error_kind::target_silent, "silent", false, 0});
        break;
    case loss::short_final:
        break;
    }
    auto [next, resumed] = fleet.next_attempt();
    REQUIRE(next != nullptr);
    next->send("e1", tokens_message{resumed.ref, 0, texts(0, 2)});
    next->send("e1", finished_message{resumed.ref, 2, finish_reason::length});
    REQUIRE(read_all(*reader).last);
    const auto evidence = service->evidence();
    REQUIRE(evidence.items.size() == 1);
    CHECK(evidence.items[0].version == "v1");
    CHECK(evidence.items[0].route == "s");
    CHECK(evidence.items[0].requests == 1 + test.failures);
    CHECK(evidence.items[0].failures == test.failures);
}

struct crashing_case {
    const char* name;
    /// What the agent reports.
    error_kind kind;
    /// Tokens that the engine generates before it fails.
    std::size_t tokens;
    /// Whether a further request with the same prompt is refused.
    bool is_refused;
};

// Guards against a prompt that crashes engine after engine because its callers come back with new requests,
// and against a sound prompt that is refused because its engines were silent.
TEST_CASE("a prompt on which engines fail again and again is kept from further engines") {
    const auto test = GENERATE(from_range(std::vector<crashing_case>{
        {"fails at once", error_kind::target_failed, 0, true},
        {"fails later", error_kind::target_failed, k_events_to_clear, false},
        {"is silent", error_kind::target_silent, 0, false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1"});
    auto& entry = fleet.entries["e1"];
    std::vector<subscription> readers;
    for (const char* key : {"k1", "k2", "k3"}) {
        auto reader = entry.service->generate(request_of(key));
        REQUIRE(reader);
        readers.push_back(std::move(*reader));
        auto [agent, generate] = fleet.next_attempt();
        REQUIRE(agent != nullptr);
        if (test.tokens > 0) {
            const auto first = static_cast<token_index>(generate.accepted.size());
            agent->send("e1", tokens_message{generate.ref, first,
                                             texts(first, first + static_cast<token_index>(test.tokens))});
        }
        agent->send("e1", failed_message{generate.ref, test.kind, "scripted", false, 0});
        fleet.network.wait_delivered();
        std::this_thread::sleep_for(k_crash_moment + milliseconds(20));
    }
    auto reader = entry.service->generate(request_of("k4"));
    REQUIRE(reader);
    const auto answer = reader->read(milliseconds(200));
    CHECK((answer.kind == read_result_kind::failed) == test.is_refused);
    CHECK((answer.failure.kind == error_kind::prompt_quarantined) == test.is_refused);
    CHECK((entry.counts->value("generations_quarantined_total") > 0) == test.is_refused);
}

// Guards against decisions that are missing in the log, and against a request that is counted twice or not at
// all.
TEST_CASE("decisions and the end of a request are recorded") {
    test_fleet fleet({"e1"}, {"a1", "a2"});
    const auto& service = fleet.entries["e1"].service;
    auto reader = service->generate(request_of("k"));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    agent->send("e1", failed_message{generate.ref, error_kind::target_failed, "crash", false, 0});
    auto [next, resumed] = fleet.next_attempt();
    REQUIRE(next != nullptr);
    next->send("e1", tokens_message{resumed.ref, 3, texts(3, 5)});
    next->send("e1", finished_message{resumed.ref, 5, finish_reason::length});
    REQUIRE(read_all(*reader).last);
    const auto totals = service->record().totals();
    CHECK(totals.requests == 1);
    CHECK(totals.honoured == 1);
    CHECK(totals.resumed == 1);
    CHECK(totals.tokens == 5);
    std::vector<std::string> events;
    for (const auto& entry : service->record().decisions(reader->request().to_string())) {
        events.push_back(entry.event);
    }
    CHECK(events == std::vector<std::string>{"routed", "resumed", "finished"});
}

struct drain_case {
    const char* name;
    std::string target;
    bool known;
};

// Guards against a drained target to which the other entries still dispatch work.
TEST_CASE("a drain reaches all connected entries") {
    const auto test = GENERATE(from_range(std::vector<drain_case>{
        {"agent's node", "a1", true},
        {"unknown", "a9", false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2"}, {"a1", "a2"});
    const auto leaving = [&fleet](const node_id& entry) {
        std::vector<node_id> nodes;
        for (const auto& target : fleet.entries[entry].service->targets()) {
            if (target.leaving) {
                nodes.push_back(target.node);
            }
        }
        return nodes;
    };
    CHECK(fleet.entries["e1"].service->drain(test.target).has_value() == test.known);
    fleet.network.wait_delivered();
    const std::vector<node_id> expected =
        test.known ? std::vector<node_id>{test.target} : std::vector<node_id>{};
    CHECK(leaving("e1") == expected);
    CHECK(leaving("e2") == expected);
}

enum class drain_event : std::uint8_t {
    agent_reconnects,
    agent_restarts,
    entry_reconnects,
    entry_reconnects_before_agent
};

struct lasting_drain_case {
    const char* name;
    drain_event event;
    bool is_leaving;
};

// Guards against a drained target that is in use again after a short loss of its connection, or at an entry
// that was restarted or cut off.
TEST_CASE("a drain lasts until its target restarts") {
    const auto test = GENERATE(from_range(std::vector<lasting_drain_case>{
        {"agent reconnects", drain_event::agent_reconnects, true},
        {"agent restarts", drain_event::agent_restarts, false},
        {"entry reconnects", drain_event::entry_reconnects, true},
        {"entry restarts and connects to the agent last", drain_event::entry_reconnects_before_agent, true},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const auto target_at = [&fleet](const node_id& entry) {
        return fleet.entries[entry].service->targets().at(0);
    };
    hello_message agent;
    agent.node = "a1";
    agent.role = node_role::agent;
    agent.incarnation = target_at("e2").incarnation + (test.event == drain_event::agent_restarts ? 1 : 0);
    hello_message entry;
    entry.node = "e2";
    const auto first = fleet.entries["e1"].service->events();
    const auto second = fleet.entries["e2"].service->events();
    const bool loses_entry = test.event == drain_event::entry_reconnects ||
                             test.event == drain_event::entry_reconnects_before_agent;
    if (loses_entry) {
        first.on_disconnected("e2");
    }
    fleet.entries["e1"].service->drain("a1");
    fleet.network.wait_delivered();
    if (test.event != drain_event::entry_reconnects) {
        second.on_disconnected("a1");
    }
    if (loses_entry) {
        CHECK_FALSE(target_at("e2").leaving);
        first.on_connected(entry);
        fleet.network.wait_delivered();
    }
    if (test.event != drain_event::entry_reconnects) {
        second.on_connected(agent);
    }
    CHECK(target_at("e2").leaving == test.is_leaving);
}

// Guards against a target that continues an attempt after failover to another one.
TEST_CASE("late messages of a lost attempt are answered with a cancel") {
    test_fleet fleet({"e1"}, {"a1", "a2"});
    auto reader = fleet.entries["e1"].service->generate(request_of("k"));
    REQUIRE(reader);
    auto [first, generate] = fleet.next_attempt();
    REQUIRE(first != nullptr);
    first->send("e1", failed_message{generate.ref, error_kind::target_failed, "crash", false, 0});
    REQUIRE(fleet.next_attempt().first != nullptr);
    first->send("e1", tokens_message{generate.ref, 0, {"late"}});
    const auto cancel = first->take<cancel_message>();
    REQUIRE(cancel);
    CHECK(cancel->message.ref == generate.ref);
}

struct ending_case {
    const char* name;
    bool streamed;
    bool tokens_sent;
    bool new_version_loaded;
    std::optional<error_kind> kind;
    int restarts;
};

// Guards against an answer that is continued by another version, and against failing an answer that could be
// restarted.
TEST_CASE("an answer whose version is gone restarts only if no token was shown") {
    const auto test = GENERATE(from_range(std::vector<ending_case>{
        {"shown", true, true, true, error_kind::version_gone, 0},
        {"not shown", true, false, true, {}, 0},
        {"collected for the caller, not shown", false, true, true, {}, 1},
        {"not shown, nothing serves", true, false, false, error_kind::no_target, 0},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1"});
    auto request = request_of("k");
    request.streamed = test.streamed;
    auto reader = fleet.entries["e1"].service->generate(request);
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    caller_result result;
    if (test.tokens_sent) {
        agent->send("e1", tokens_message{generate.ref, 0, texts(0, 2)});
        read_tokens(*reader, result, 2);
    }
    // The configuration changes to v2, then the only target with v1 is lost.
    fleet_view view = view_of({"e1"}, {"a1", "a2"});
    fleet_config config = test_config();
    config.models[0].version = "v2";
    view.config = std::make_shared<fleet_config>(config);
    view.sequence = 2;
    if (test.new_version_loaded) {
        fleet.agents.emplace_back(fleet.network, "a2", std::vector<loaded_version>{{"m", "v2", ""}});
    }
    fleet.entries["e1"].publish(view);
    fleet.network.kill("a1");
    if (!test.kind) {
        auto [second, restarted] = fleet.next_attempt();
        REQUIRE(second != nullptr);
        CHECK(restarted.ref.answer != generate.ref.answer);
        CHECK(restarted.spec.model_version == "v2");
        CHECK(restarted.accepted.empty());
        second->send("e1", tokens_message{restarted.ref, 0, {"n0"}});
        second->send("e1", finished_message{restarted.ref, 1, finish_reason::stop});
    }
    read_until_end(*reader, result, milliseconds(6'000));
    REQUIRE(result.last);
    CHECK(result.restarts == test.restarts);
    if (test.kind) {
        CHECK(result.last->kind == read_result_kind::failed);
        CHECK(result.last->failure.kind == *test.kind);
        CHECK_FALSE(result.last->not_run);
    } else {
        CHECK(result.last->kind == read_result_kind::finished);
        CHECK(result.tokens == std::vector<token>{"n0"});
    }
}

// Guards against a retry that starts a second generation, or that misses or repeats tokens.
TEST_CASE("a retry attaches to the running answer from its offset") {
    test_fleet fleet({"e1"}, {"a1", "a2"});
    auto& service = *fleet.entries["e1"].service;
    auto first = service.generate(request_of("k"));
    REQUIRE(first);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result partial;
    read_tokens(*first, partial, 3);
    CHECK(partial.tokens == texts(0, 3));

    auto retry = request_of("k");
    retry.held_answer = partial.answer;
    retry.held_tokens = 2;
    auto second = service.generate(retry);
    REQUIRE(second);
    const auto started = second->read(milliseconds(1'000));
    CHECK(started.kind == read_result_kind::started);
    CHECK(started.first == 2);
    agent->send("e1", tokens_message{generate.ref, 3, texts(3, 4)});
    agent->send("e1", finished_message{generate.ref, 4, finish_reason::length});
    std::vector<token> tokens;
    answer_read_result read_result;
    while ((read_result = second->read(milliseconds(1'000))).kind == read_result_kind::tokens) {
        tokens.insert(tokens.end(), read_result.tokens.begin(), read_result.tokens.end());
    }
    CHECK(read_result.kind == read_result_kind::finished);
    CHECK(tokens == texts(2, 4));
    CHECK(fleet.entries["e1"].counts->value("attempts_total") == 1);

    // A finished answer remains available.
    auto third = service.generate(request_of("k"));
    REQUIRE(third);
    CHECK(read_all(*third).tokens == texts(0, 4));
    CHECK(fleet.entries["e1"].counts->value("attempts_total") == 1);
}

// Guards against a caller that appends a new answer to its part of an unknown one.
TEST_CASE("a caller with another answer is told to discard it") {
    test_fleet fleet({"e1"}, {"a1"});
    auto request = request_of("k");
    request.held_answer = answer_id{99};
    request.held_tokens = 5;
    auto reader = fleet.entries["e1"].service->generate(request);
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 1)});
    agent->send("e1", finished_message{generate.ref, 1, finish_reason::length});
    const auto result = read_all(*reader);
    CHECK(result.restarts == 1);
    CHECK(result.tokens == texts(0, 1));
}

struct refused_case {
    const char* name;
    const char* key;
    void (*change)(generation_request&);
    error_kind kind;
    bool not_run;
};

// Guards against refusals that state "not run" for a request that may have run.
TEST_CASE("refused requests state what is known of their run") {
    const auto test = GENERATE(from_range(std::vector<refused_case>{
        {"conflict", "used", [](generation_request& r) { r.spec.prompt = "q"; },
         error_kind::idempotency_conflict, false},
        {"unknown service", "new", [](generation_request& r) { r.spec.service = "x"; },
         error_kind::unknown_service, true},
        {"unknown service after a run", "used", [](generation_request& r) { r.spec.service = "x"; },
         error_kind::unknown_service, false},
        {"no key", "", [](generation_request& r) { r.spec.max_tokens = 1'000'000; },
         error_kind::invalid_request, true},
        {"limit of answers", "new", [](generation_request&) {}, error_kind::overloaded, true},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1"}, [](entry_options& options) { options.max_live_answers = 1; });
    auto& service = *fleet.entries["e1"].service;
    auto first = service.generate(request_of("used"));
    REQUIRE(first);
    auto request = request_of(test.key);
    test.change(request);
    const auto refused = service.generate(request);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().failure.kind == test.kind);
    CHECK(refused.error().not_run == test.not_run);
}

// Guards against "not run" for a retry after the session of the first run has been dropped.
TEST_CASE("a request that was dispatched is never reported as not run") {
    test_fleet fleet({"e1"}, {"a1"});
    auto& service = *fleet.entries["e1"].service;
    {
        auto reader = service.generate(request_of("k"));
        REQUIRE(reader);
        auto [agent, generate] = fleet.next_attempt();
        REQUIRE(agent != nullptr);
        agent->send("e1", failed_message{generate.ref, error_kind::invalid_request, "no", false, 0});
        const auto result = read_all(*reader);
        REQUIRE(result.last);
        CHECK(result.last->failure.kind == error_kind::invalid_request);
    }
    CHECK(service.live_answers() == 0);
    CHECK_FALSE(service.is_certainly_not_run(request_id::from_key("o", "k")));
    CHECK(service.is_certainly_not_run(request_id::from_key("o", "other")));
}

// Guards against generations that continue without callers beyond the limit, and against ones that are
// cancelled before it.
TEST_CASE("an answer without callers is cancelled after the limit") {
    test_fleet fleet({"e1"}, {"a1"},
                     [](entry_options& options) { options.session.abandoned_after = milliseconds(300); });
    auto& service = *fleet.entries["e1"].service;
    test_agent* agent = nullptr;
    {
        auto reader = service.generate(request_of("k"));
        REQUIRE(reader);
        agent = fleet.next_attempt().first;
        REQUIRE(agent != nullptr);
    }
    CHECK_FALSE(agent->take<cancel_message>(milliseconds(100)));
    CHECK(agent->take<cancel_message>(milliseconds(1'000)));
    CHECK(wait_until([&] { return service.live_answers() == 0; }));
}

// Guards against answers that continue beyond the caller's deadline.
TEST_CASE("an answer ends at the caller's deadline") {
    test_fleet fleet({"e1"}, {"a1"});
    auto request = request_of("k");
    request.spec.deadline = wall_now() + milliseconds(200);
    auto reader = fleet.entries["e1"].service->generate(request);
    REQUIRE(reader);
    const auto result = read_all(*reader);
    REQUIRE(result.last);
    CHECK(result.last->failure.kind == error_kind::deadline_exceeded);
    CHECK_FALSE(result.last->not_run);
}

// ---- retention ----

struct retention_case {
    const char* name;
    std::size_t bytes;
    int retention_ms;
    bool first_kept;
    bool last_kept;
};

// Guards against unbounded memory use of finished answers, and against dropping a newer one before an older
// one.
TEST_CASE("finished answers are kept within time and bytes") {
    const auto test = GENERATE(from_range(std::vector<retention_case>{
        {"room for all", 1'000, 60'000, true, true},
        {"room for one", 8, 60'000, false, true},
        {"too old", 1'000, 0, false, false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1"}, [&test](entry_options& options) {
        options.table.max_finished_bytes = test.bytes;
        options.table.retention = milliseconds(test.retention_ms);
    });
    auto& service = *fleet.entries["e1"].service;
    auto live = service.generate(request_of("live"));
    REQUIRE(fleet.next_attempt().first != nullptr);
    for (const auto* key : {"k1", "k2"}) {
        auto reader = service.generate(request_of(key));
        REQUIRE(reader);
        auto [agent, generate] = fleet.next_attempt();
        REQUIRE(agent != nullptr);
        agent->send("e1", tokens_message{generate.ref, 0, {"1234", "5678"}});
        agent->send("e1", finished_message{generate.ref, 2, finish_reason::length});
        REQUIRE(read_all(*reader).last);
    }
    CHECK(service.finished_bytes() <= test.bytes);
    CHECK(service.live_answers() == 1);
    const auto is_kept = [&](const char* key) {
        auto reader = service.follow(request_id::from_key("o", key), {}, 0, true);
        const auto read_result = reader.read(milliseconds(1'000));
        return read_result.kind == read_result_kind::started;
    };
    CHECK(is_kept("k1") == test.first_kept);
    CHECK(is_kept("k2") == test.last_kept);
}

// ---- relay and adoption ----

// Guards against a second generation when a retry reaches an entry other than the home entry.
TEST_CASE("an entry relays the answer of the home entry") {
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const std::string key = key_with_home(fleet, "e1");
    auto reader = fleet.entries["e2"].service->generate(request_of(key));
    REQUIRE(reader);
    node_id from;
    auto [agent, generate] = fleet.next_attempt(&from);
    REQUIRE(agent != nullptr);
    CHECK(from == "e1");
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result result;
    read_tokens(*reader, result, 3);
    auto at_home = fleet.entries["e1"].service->generate(request_of(key));
    REQUIRE(at_home);
    agent->send("e1", tokens_message{generate.ref, 3, texts(3, 5)});
    agent->send("e1", finished_message{generate.ref, 5, finish_reason::stop});
    read_until_end(*reader, result);
    REQUIRE(result.last);
    CHECK(result.last->kind == read_result_kind::finished);
    CHECK(result.tokens == texts(0, 5));
    CHECK(read_all(*at_home).tokens == texts(0, 5));
    CHECK(wait_until([&] { return fleet.entries["e2"].service->live_answers() == 0; }));
}

// Guards against a relay that announces an empty or a wrong version, because the home entry sent it the
// version before the first dispatch had determined it.
TEST_CASE("a relay announces the version of the first dispatch") {
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const std::string key = key_with_home(fleet, "e1");
    fleet_view complete = *fleet.entries["e1"].views->current();
    fleet_view without_config = complete;
    without_config.config = nullptr;
    fleet.entries["e1"].publish(without_config);
    auto reader = fleet.entries["e2"].service->generate(request_of(key));
    REQUIRE(reader);
    REQUIRE(wait_until([&] { return fleet.entries["e1"].service->live_answers() == 1; }));
    fleet.network.wait_delivered();
    fleet.entries["e1"].publish(complete);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    CHECK(generate.spec.model_version == "v1");
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    const auto read_result = reader->read(milliseconds(3'000));
    REQUIRE(read_result.kind == read_result_kind::started);
    CHECK(read_result.model_version == "v1");
}

// Guards against an answer without a key that cannot be read through another entry.
TEST_CASE("a request without a key belongs to the entry that received it") {
    test_fleet fleet({"e1", "e2", "e3"}, {"a1"});
    auto reader = fleet.entries["e2"].service->generate(request_of(""));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e2", tokens_message{generate.ref, 0, texts(0, 2)});
    agent->send("e2", finished_message{generate.ref, 2, finish_reason::length});
    CHECK(read_all(*reader).tokens == texts(0, 2));
    auto fetched = fleet.entries["e1"].service->follow(reader->request(), {}, 0, true);
    CHECK(read_all(fetched).tokens == texts(0, 2));
}

// Guards against a relay that hides a conflict which only the home entry can detect.
TEST_CASE("a relay passes on the home's refusal") {
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const std::string key = key_with_home(fleet, "e1");
    auto first = fleet.entries["e1"].service->generate(request_of(key));
    REQUIRE(first);
    auto other = request_of(key);
    other.spec.prompt = "another";
    auto reader = fleet.entries["e2"].service->generate(other);
    REQUIRE(reader);
    const auto result = read_all(*reader);
    REQUIRE(result.last);
    CHECK(result.last->failure.kind == error_kind::idempotency_conflict);
    CHECK_FALSE(result.last->not_run);
}

// Guards against "not run" for a running request, when the home's refusal of an earlier attach arrives after
// the relay has attached again.
TEST_CASE("a relay states not run only if it has attached once") {
    const auto attaches = GENERATE(1, 2);
    CAPTURE(attaches);
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const std::string key = key_with_home(fleet, "e1");
    auto reader = fleet.entries["e2"].service->generate(request_of(key));
    REQUIRE(reader);
    REQUIRE(fleet.next_attempt().first != nullptr);
    auto relay = fleet.entries["e2"].service->events();
    if (attaches == 2) {
        relay.on_disconnected("e1");
    }
    const attempt_ref ref{request_id::from_key("o", key), {}, 0};
    relay.on_message("e1", failed_message{ref, error_kind::overloaded, "scripted", true, 0});
    const auto result = read_all(*reader);
    REQUIRE(result.last);
    CHECK(result.last->failure.kind == error_kind::overloaded);
    CHECK(result.last->not_run == (attaches == 1));
}

enum class home_loss : std::uint8_t { killed, frozen, cut };

struct home_loss_case {
    const char* name;
    home_loss how;
    bool agent_lost_too;
    bool agent_offers;
};

// Guards against tokens that are lost or repeated when the home entry, or it and the target, fail while a
// relay reads from it.
TEST_CASE("a relay continues the answer after the loss of the home") {
    const auto test = GENERATE(from_range(std::vector<home_loss_case>{
        {"home killed, agent offers", home_loss::killed, false, true},
        {"home killed, no offer", home_loss::killed, false, false},
        {"home frozen", home_loss::frozen, false, true},
        {"home cut off", home_loss::cut, false, false},
        {"home and target killed", home_loss::killed, true, false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2"}, {"a1", "a2"});
    const std::string key = key_with_home(fleet, "e1");
    auto reader = fleet.entries["e2"].service->generate(request_of(key));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result result;
    read_tokens(*reader, result, 3);
    REQUIRE(result.tokens.size() == 3);
    switch (test.how) {
    case home_loss::killed:
        fleet.network.kill("e1");
        break;
    case home_loss::frozen:
        fleet.network.freeze("e1");
        break;
    case home_loss::cut:
        fleet.network.cut("e1", "e2");
        break;
    }
    attempt_ref ref = generate.ref;
    test_agent* server = agent;
    token_index first = 3;
    if (test.agent_lost_too) {
        fleet.network.kill(agent->node());
    }
    if (test.agent_offers) {
        // The agent has more tokens than the relay.
        agent->send("e2", adopt_message{generate.ref, generate.spec, texts(0, 4), false, {}});
        const auto reply = agent->take<adopt_reply_message>();
        REQUIRE(reply);
        CHECK(reply->message.accepted);
        first = 4;
    } else {
        // A home entry that is only partitioned resumes too, since its agent sends no progress.
        node_id home;
        auto [next, resumed] = fleet.next_attempt(&home);
        while (next != nullptr && home == "e1") {
            std::tie(next, resumed) = fleet.next_attempt(&home);
        }
        REQUIRE(next != nullptr);
        CHECK(resumed.ref.answer == generate.ref.answer);
        CHECK(resumed.ref.attempt > generate.ref.attempt);
        CHECK(resumed.accepted == texts(0, 3));
        ref = resumed.ref;
        server = next;
    }
    server->send("e2", tokens_message{ref, first, texts(first, 6)});
    server->send("e2", finished_message{ref, 6, finish_reason::length});
    read_until_end(*reader, result);
    REQUIRE(result.last);
    CHECK(result.last->kind == read_result_kind::finished);
    CHECK(result.tokens == texts(0, 6));
    CHECK(result.restarts == 0);
    CHECK_FALSE(result.gap);
}

struct relayed_text_case {
    const char* name;
    bool agent_lost_too;
};

// Guards against a third entry that starts a new answer although a relay has a part of the old one, and that
// continues this part before the agent can offer the rest.
TEST_CASE("a relay sends its tokens to the new home") {
    const auto test = GENERATE(from_range(std::vector<relayed_text_case>{
        {"home and target killed", true},
        {"home killed, agent offers", false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2", "e3"}, {"a1", "a2"});
    // The home is e1, and e3 ranks second, so that e2 must attach to e3.
    std::string key;
    for (int i = 0; key.empty(); ++i) {
        const std::string candidate = "k" + std::to_string(i);
        const auto id = request_id::from_key("o", candidate);
        const bool first_is_e1 = home_entry(view_of({"e1", "e2", "e3"}, {}), id, "ub")->node == "e1";
        const bool second_is_e3 = home_entry(view_of({"e2", "e3"}, {}), id, "ub")->node == "e3";
        key = first_is_e1 && second_is_e3 ? candidate : "";
    }
    auto reader = fleet.entries["e2"].service->generate(request_of(key));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result result;
    read_tokens(*reader, result, 3);
    fleet.network.kill("e1");
    test_agent* server = agent;
    attempt_ref ref = generate.ref;
    token_index first = 3;
    if (test.agent_lost_too) {
        fleet.network.kill(agent->node());
        node_id from;
        auto [next, resumed] = fleet.next_attempt(&from);
        REQUIRE(next != nullptr);
        CHECK(from == "e3");
        CHECK(resumed.accepted == texts(0, 3));
        CHECK(resumed.ref.answer == generate.ref.answer);
        CHECK(resumed.ref.attempt > generate.ref.attempt);
        server = next;
        ref = resumed.ref;
    } else {
        // The relay attaches 250 ms after the loss, the agent offers up to 350 ms after it.
        std::this_thread::sleep_for(milliseconds(350));
        agent->send("e3", adopt_message{generate.ref, generate.spec, texts(0, 4), false, {}});
        const auto reply = agent->take<adopt_reply_message>();
        REQUIRE(reply);
        CHECK(reply->message.accepted);
        first = 4;
    }
    server->send("e3", tokens_message{ref, first, texts(first, 5)});
    server->send("e3", finished_message{ref, 5, finish_reason::length});
    read_until_end(*reader, result);
    REQUIRE(result.last);
    CHECK(result.tokens == texts(0, 5));
    CHECK(result.restarts == 0);
    CHECK(fleet.entries["e3"].counts->value("attempts_total") == (test.agent_lost_too ? 1 : 0));
}

struct adoption_case {
    const char* name;
    // Number of tokens of the entry's own answer when the offer arrives; `nullopt` if it has no session.
    std::optional<token_index> own;
    bool own_shown;
    token_index offered;
    bool accepted;
};

// Guards against two different answers to one request, and against dropping the longer one.
TEST_CASE("the longest log of an answer is adopted unless another was shown") {
    const auto test = GENERATE(from_range(std::vector<adoption_case>{
        {"no session", {}, false, 3, true},
        {"no session, no tokens", {}, false, 0, true},
        {"own answer is shorter", 0U, false, 3, true},
        {"own answer is shorter but shown", 1U, true, 3, false},
        {"own answer is as long", 3U, false, 3, false},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1"}, {"a1", "a2"});
    auto& service = *fleet.entries["e1"].service;
    auto request = request_of("k");
    request.spec.model = "m";
    request.spec.model_version = "v1";
    std::optional<subscription> reader;
    test_agent* own = nullptr;
    attempt_ref own_ref;
    caller_result result;
    if (test.own) {
        auto generated = service.generate(request_of("k"));
        REQUIRE(generated);
        reader.emplace(std::move(*generated));
        auto [agent, generate] = fleet.next_attempt();
        REQUIRE(agent != nullptr);
        own = agent;
        own_ref = generate.ref;
        agent->send("e1", tokens_message{own_ref, 0, texts(0, *test.own)});
        fleet.network.wait_delivered();
        if (test.own_shown) {
            read_tokens(*reader, result, *test.own);
        }
    }
    test_agent& offering = own == &fleet.agent("a1") ? fleet.agent("a2") : fleet.agent("a1");
    const attempt_ref ref{request_id::from_key("o", "k"), {55}, 2};
    offering.send("e1", adopt_message{ref, request.spec, texts(0, test.offered), false, {}});
    const auto reply = offering.take<adopt_reply_message>();
    REQUIRE(reply);
    CHECK(reply->message.accepted == test.accepted);
    CHECK(reply->message.ref == ref);
    if (!reader) {
        auto generated = service.generate(request_of("k"));
        REQUIRE(generated);
        reader.emplace(std::move(*generated));
    }
    if (test.accepted) {
        if (own != nullptr) {
            const auto cancel = own->take<cancel_message>();
            REQUIRE(cancel);
            CHECK(cancel->message.ref == own_ref);
        }
        offering.send("e1", tokens_message{ref, test.offered, texts(test.offered, 5)});
        offering.send("e1", finished_message{ref, 5, finish_reason::stop});
    } else {
        CHECK(fleet.entries["e1"].counts->value("extra_tokens_total") == test.offered);
        own->send("e1", tokens_message{own_ref, *test.own, texts(*test.own, 5)});
        own->send("e1", finished_message{own_ref, 5, finish_reason::stop});
    }
    read_until_end(*reader, result);
    REQUIRE(result.last);
    CHECK(result.last->kind == read_result_kind::finished);
    CHECK(result.tokens == texts(0, 5));
    CHECK(result.answer == (test.accepted ? ref.answer : own_ref.answer));
}

// Guards against a new generation for a retry that arrives just before the agent's offer.
TEST_CASE("a retry with part of an answer waits for its adoption") {
    test_fleet fleet({"e1"}, {"a1"});
    auto request = request_of("k");
    request.held_answer = answer_id{55};
    request.held_tokens = 2;
    auto reader = fleet.entries["e1"].service->generate(request);
    REQUIRE(reader);
    CHECK_FALSE(fleet.agent("a1").take<generate_message>(milliseconds(200)));
    request.spec.model = "m";
    request.spec.model_version = "v1";
    const attempt_ref ref{request_id::from_key("o", "k"), {55}, 3};
    fleet.agent("a1").send("e1", adopt_message{ref, request.spec, texts(0, 3), true, finish_reason::stop});
    const auto started = reader->read(milliseconds(1'000));
    CHECK(started.kind == read_result_kind::started);
    CHECK(started.first == 2);
    CHECK(reader->read(milliseconds(1'000)).tokens == texts(2, 3));
    CHECK(reader->read(milliseconds(1'000)).kind == read_result_kind::finished);
    CHECK(fleet.entries["e1"].counts->value("attempts_total") == 0);
}

struct first_attempt_case {
    const char* name;
    // Entry that receives the request, whose home is e1.
    const char* entry;
    bool has_joined;
    bool home_killed;
    bool presents_answer;
    int least_ms;
    int most_ms;
};

// Guards against new requests that wait for the offers of agents although no agent has lost their home (the
// first tokens of the first 10 s after a start came 500 ms late), and against a second generation that starts
// before the agents' offers.
TEST_CASE("only requests that may have a generation wait for an adoption") {
    const auto test = GENERATE(from_range(std::vector<first_attempt_case>{
        {"new request", "e1", false, false, false, 0, 200},
        {"new request, the home has just joined", "e1", true, false, false, 0, 200},
        {"new request elsewhere, the home has just joined", "e2", true, false, false, 0, 200},
        {"part of an answer, the home has just joined", "e1", true, false, true, 450, 900},
        {"the home was just killed", "e2", false, true, false, 500, 900},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2"}, {"a1"});
    // Longer than an agent needs to offer after its first connection.
    std::this_thread::sleep_for(k_offers_after_connect);
    const std::string key = key_with_home(fleet, "e1");
    if (test.has_joined) {
        fleet_view view = view_of({"e1", "e2"}, {"a1"});
        view.sequence = 2;
        view.members[0].state_since = monotonic_now();
        view.members[0].failed_at = monotonic_now();
        for (auto& [name, entry] : fleet.entries) {
            entry.publish(view);
        }
    }
    if (test.home_killed) {
        fleet.network.kill("e1");
        fleet.network.wait_delivered();
    }
    auto request = request_of(key);
    if (test.presents_answer) {
        request.held_answer = answer_id{55};
        request.held_tokens = 2;
    }
    const time_point begin = monotonic_now();
    auto reader = fleet.entries[test.entry].service->generate(request);
    REQUIRE(reader);
    REQUIRE(fleet.next_attempt().first != nullptr);
    const auto waited = std::chrono::duration_cast<milliseconds>(monotonic_now() - begin).count();
    CHECK(waited >= test.least_ms);
    CHECK(waited <= test.most_ms);
}

enum class move_of_home : std::uint8_t { joined, leaving };

struct moved_home_case {
    const char* name;
    move_of_home how;
    // Entry that receives the retry: the new home entry or a third one.
    const char* retry_at;
    // Whether the former home entry stops before the answer is complete.
    bool former_ends;
};

// Guards against a second generation when an entry that joins or leaves changes the home of a request whose
// answer is running.
TEST_CASE("a new home follows the answer of the former home") {
    const auto test = GENERATE(from_range(std::vector<moved_home_case>{
        {"joined, retry at the new home", move_of_home::joined, "e2", false},
        {"leaving, retry at the new home", move_of_home::leaving, "e2", false},
        {"joined, retry elsewhere", move_of_home::joined, "e3", false},
        {"leaving, retry elsewhere", move_of_home::leaving, "e3", false},
        {"leaving, gone before the end", move_of_home::leaving, "e2", true},
    }));
    CAPTURE(test.name);
    test_fleet fleet({"e1", "e2", "e3"}, {"a1", "a2"});
    const bool has_joined = test.how == move_of_home::joined;
    // e1 runs the answer. If e2 joins, it must outrank e1; if e1 leaves, e2 must rank next.
    std::string key;
    for (int i = 0; key.empty(); ++i) {
        const std::string candidate = "k" + std::to_string(i);
        const auto id = request_id::from_key("o", candidate);
        const auto home = [&](const std::vector<node_id>& entries) {
            return home_entry(view_of(entries, {}), id, "ub")->node;
        };
        const bool fits = has_joined ? home({"e1", "e2", "e3"}) == "e2" && home({"e1", "e3"}) == "e1"
                                     : home({"e1", "e2", "e3"}) == "e1" && home({"e2", "e3"}) == "e2";
        key = fits ? candidate : "";
    }
    const auto publish = [&](member_state e1, member_state e2, std::uint64_t sequence) {
        fleet_view view = view_of({"e1", "e2", "e3"}, {"a1", "a2"});
        view.sequence = sequence;
        view.members[0].state = e1;
        view.members[1].state = e2;
        if (sequence > 2) {
            view.members[has_joined ? 1 : 0].state_since = monotonic_now();
        }
        for (auto& [name, entry] : fleet.entries) {
            entry.publish(view);
        }
    };
    publish(member_state::alive, has_joined ? member_state::left : member_state::alive, 2);
    auto reader = fleet.entries["e1"].service->generate(request_of(key));
    REQUIRE(reader);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result result;
    read_tokens(*reader, result, 3);
    publish(has_joined ? member_state::alive : member_state::leaving, member_state::alive, 3);

    auto retry = request_of(key);
    retry.held_answer = result.answer;
    retry.held_tokens = 1;
    auto second = fleet.entries[test.retry_at].service->generate(retry);
    REQUIRE(second);
    const auto started = second->read(milliseconds(1'000));
    CHECK(started.kind == read_result_kind::started);
    CHECK(started.answer == generate.ref.answer);
    CHECK(started.first == 1);
    caller_result rest;
    rest.tokens = texts(0, 1);
    attempt_ref ref = generate.ref;
    node_id home = "e1";
    if (test.former_ends) {
        read_tokens(*second, rest, 3);
        fleet.network.kill("e1");
        agent->send("e2", adopt_message{generate.ref, generate.spec, texts(0, 3), false, {}});
        home = "e2";
    }
    agent->send(home, tokens_message{ref, 3, texts(3, 5)});
    agent->send(home, finished_message{ref, 5, finish_reason::length});
    read_until_end(*second, rest);
    REQUIRE(rest.last);
    CHECK(rest.last->kind == read_result_kind::finished);
    CHECK(rest.tokens == texts(0, 5));
    CHECK(rest.restarts == 0);
    CHECK(rest.answer == answer_id{});
    double attempts = 0;
    for (auto& [name, entry] : fleet.entries) {
        attempts += entry.counts->value("attempts_total");
    }
    CHECK(attempts == 1);
}

// Guards against a new answer at an entry that took the place of the home entry, if the home entry is
// connected again before the answer starts.
TEST_CASE("an entry returns to a home that was disconnected for a moment") {
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const std::string key = key_with_home(fleet, "e1");
    auto first = fleet.entries["e1"].service->generate(request_of(key));
    REQUIRE(first);
    auto [agent, generate] = fleet.next_attempt();
    REQUIRE(agent != nullptr);
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 3)});
    caller_result result;
    read_tokens(*first, result, 3);
    fleet.network.cut("e1", "e2");
    auto retry = request_of(key);
    retry.held_answer = result.answer;
    retry.held_tokens = 3;
    auto second = fleet.entries["e2"].service->generate(retry);
    REQUIRE(second);
    // The entry has taken the place of the home entry and waits for an adoption offer.
    std::this_thread::sleep_for(milliseconds(400));
    fleet.network.restore("e1");
    for (token_index i = 3; i < 20; ++i) {
        agent->send("e1", tokens_message{generate.ref, i, texts(i, i + 1)});
        std::this_thread::sleep_for(milliseconds(50));
    }
    agent->send("e1", finished_message{generate.ref, 20, finish_reason::length});
    caller_result rest;
    rest.tokens = texts(0, 3);
    read_until_end(*second, rest);
    REQUIRE(rest.last);
    CHECK(rest.restarts == 0);
    CHECK(rest.tokens == texts(0, 20));
    CHECK(fleet.entries["e2"].counts->value("attempts_total") == 0);
}

// Guards against failing a new request because the former home entry does not know it.
TEST_CASE("a new home owns requests that the former home does not know") {
    test_fleet fleet({"e1", "e2"}, {"a1"});
    fleet_view view = view_of({"e1", "e2"}, {"a1"});
    view.sequence = 2;
    view.members[0].state_since = monotonic_now() - std::chrono::seconds(60);
    for (auto& [name, entry] : fleet.entries) {
        entry.publish(view);
    }
    const std::string key = key_with_home(fleet, "e1");
    const std::string entry = GENERATE("e1", "e2");
    auto reader = fleet.entries[entry].service->generate(request_of(key));
    REQUIRE(reader);
    node_id from;
    auto [agent, generate] = fleet.next_attempt(&from);
    REQUIRE(agent != nullptr);
    CHECK(from == "e1");
    agent->send("e1", tokens_message{generate.ref, 0, texts(0, 1)});
    agent->send("e1", finished_message{generate.ref, 1, finish_reason::length});
    CHECK(read_all(*reader).tokens == texts(0, 1));
}

struct former_failure_case {
    error_kind kind;
    bool not_run;
};

// Guards against "not run" for a request that the former home ran: each failure that it sent counted as the
// statement that it does not know the request.
TEST_CASE("a failed run at the former home still counts as a run") {
    const auto test = GENERATE(from_range(std::vector<former_failure_case>{
        {error_kind::not_found, true},
        {error_kind::deadline_exceeded, false},
    }));
    CAPTURE(to_string(test.kind));
    test_fleet fleet({"e1", "e2"}, {});
    const std::string key = key_with_home(fleet, "e1");
    fleet_view view = view_of({"e1", "e2"}, {});
    view.sequence = 2;
    view.members[0].state = member_state::leaving;
    // Longer ago than the time in which "not run" is not stated after a change of the home.
    view.members[0].state_since = monotonic_now() - std::chrono::seconds(60);
    fleet.entries["e2"].publish(view);
    fleet.network.freeze("e1");
    auto request = request_of(key);
    request.spec.deadline = wall_now() + milliseconds(300);
    auto reader = fleet.entries["e2"].service->generate(request);
    REQUIRE(reader);
    const attempt_ref ref{request_id::from_key("o", key), {}, 0};
    fleet.entries["e2"].service->events().on_message("e1",
                                                     failed_message{ref, test.kind, "scripted", false, 0});
    const auto result = read_all(*reader);
    REQUIRE(result.last);
    CHECK(result.last->kind == read_result_kind::failed);
    CHECK(result.last->not_run == test.not_run);
}

// Guards against callers that wait for ever for an answer that does not exist.
TEST_CASE("following an unknown request ends with not_found") {
    const auto home = GENERATE(from_range(std::vector<std::string>{"e1", "e2"}));
    test_fleet fleet({"e1", "e2"}, {"a1"});
    const auto id = request_id::from_key("o", key_with_home(fleet, home));
    auto reader = fleet.entries["e1"].service->follow(id, {}, 0, true);
    const auto result = read_all(reader);
    REQUIRE(result.last);
    CHECK(result.last->failure.kind == error_kind::not_found);
}

enum class request_phase : std::uint8_t { no_target, queued, before_retry, dispatched, delivered };
constexpr std::array<const char*, 5> k_request_phases{"no target", "queued", "before a retry", "dispatched",
                                                      "delivered"};
enum class view_change : std::uint8_t { model, version, service, organisation, limits, target, home };
constexpr std::array<const char*, 7> k_view_changes{"model leaves",        "other version", "service leaves",
                                                    "organisation leaves", "new limits",    "target leaves",
                                                    "home leaves"};

void apply_change(view_change change, fleet_view& view) {
    fleet_config config = *view.config;
    const auto remove_member = [&view](const node_id& node) {
        view.members.erase(std::remove_if(view.members.begin(), view.members.end(),
                                          [&node](const member_info& member) { return member.node == node; }),
                           view.members.end());
    };
    switch (change) {
    case view_change::model:
        config.models.clear();
        break;
    case view_change::version:
        config.models[0].version = "v2";
        break;
    case view_change::service:
        config.services.clear();
        break;
    case view_change::organisation:
        config.organisations.clear();
        break;
    case view_change::limits:
        config.limits = {0, 1, 0, 0.0};
        break;
    case view_change::target:
        remove_member("a1");
        break;
    case view_change::home:
        remove_member("e1");
        break;
    }
    view.config = std::make_shared<fleet_config>(config);
    ++view.sequence;
}

// A request that is brought to a phase, and its end after a change of the view.
struct request_in_change {
    request_phase phase;
    view_change change;
    bool is_relayed;
    std::unique_ptr<test_fleet> fleet;
    std::optional<subscription> reader;
    std::optional<generate_message> attempt;
    node_id home;
    caller_result result;

    request_in_change(request_phase in, view_change of, bool relayed)
        : phase(in), change(of), is_relayed(relayed) {}

    void report(std::uint32_t running) {
        load_report_message report;
        report.target = "a1";
        report.loaded = {{"m", "v1", ""}};
        report.engine_up = true;
        report.slots = 1;
        report.running = running;
        for (auto& agent : fleet->agents) {
            agent.send("e1", report);
            agent.send("e2", report);
        }
        fleet->network.wait_delivered();
    }
    void start() {
        fleet = std::make_unique<test_fleet>(std::vector<node_id>{"e1", "e2"},
                                             phase == request_phase::no_target ? std::vector<node_id>{}
                                                                               : std::vector<node_id>{"a1"});
        report(phase == request_phase::queued ? 1 : 0);
        auto started = fleet->entries[is_relayed ? "e2" : "e1"].service->generate(
            request_of(key_with_home(*fleet, "e1")));
        if (!started) {
            return;
        }
        reader.emplace(std::move(*started));
        if (phase != request_phase::no_target && phase != request_phase::queued) {
            take_attempt(milliseconds(3'000));
        }
        if (phase == request_phase::before_retry && attempt) {
            fleet->agents.front().send(home,
                                       failed_message{attempt->ref, error_kind::target_failed, "", false, 0});
            attempt.reset();
        }
        if (phase == request_phase::delivered && attempt) {
            fleet->agents.front().send(home, tokens_message{attempt->ref, 0, texts(0, 1)});
            read_tokens(*reader, result, 1);
        }
        fleet->network.wait_delivered();
    }
    void change_view() {
        fleet_view view = *fleet->entries["e1"].views->current();
        apply_change(change, view);
        for (auto& [node, entry] : fleet->entries) {
            entry.publish(view);
        }
    }
    bool take_attempt(milliseconds wait) {
        if (fleet->agents.empty()) {
            return false;
        }
        if (auto taken = fleet->agents.front().take<generate_message>(wait)) {
            attempt = taken->message;
            home = taken->from;
            return true;
        }
        return false;
    }
    // Lets the target work on what it has and gets.
    void serve() {
        if (phase == request_phase::queued) {
            report(0);
        }
        do {
            if (attempt) {
                const auto first = static_cast<token_index>(attempt->accepted.size());
                const auto begin =
                    phase == request_phase::delivered ? std::max<token_index>(first, 1) : first;
                fleet->agents.front().send(home, tokens_message{attempt->ref, begin, texts(begin, 3)});
                fleet->agents.front().send(home, finished_message{attempt->ref, 3, finish_reason::stop});
                attempt.reset();
            }
        } while (take_attempt(milliseconds(1)));
    }
    void play() {
        start();
        if (!reader) {
            return;
        }
        change_view();
        std::this_thread::sleep_for(milliseconds(250));
        const time_point end = monotonic_now() + std::chrono::seconds(12);
        while (!result.last && monotonic_now() < end) {
            serve();
            read_until_end(*reader, result, milliseconds(20));
        }
    }
    // Whether the request can still be served.
    bool is_servable() const {
        return phase != request_phase::no_target &&
               (change == view_change::service || change == view_change::organisation ||
                change == view_change::limits);
    }
};

// Guards against a request that gets neither an answer nor a refusal when its service, model, version,
// organisation, target or home leaves the view, or new limits come, while it waits or runs.
TEST_CASE("a request ends with an answer or a refusal whatever changes beside it") {
    std::list<request_in_change> requests;
    for (std::size_t phase = 0; phase < k_request_phases.size(); ++phase) {
        for (std::size_t change = 0; change < k_view_changes.size(); ++change) {
            for (const bool is_relayed : {false, true}) {
                requests.emplace_back(static_cast<request_phase>(phase), static_cast<view_change>(change),
                                      is_relayed);
            }
        }
    }
    // Most of them wait for a timeout, so they run side by side.
    std::vector<std::thread> threads;
    for (auto& request : requests) {
        threads.emplace_back([&request] { request.play(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto& request : requests) {
        CAPTURE(k_request_phases.at(static_cast<std::size_t>(request.phase)),
                k_view_changes.at(static_cast<std::size_t>(request.change)), request.is_relayed);
        CHECK(request.reader);
        CHECK(request.result.last);
        CHECK_FALSE(request.result.gap);
        if (request.result.last) {
            const bool is_finished = request.result.last->kind == read_result_kind::finished;
            CAPTURE(to_string(request.result.last->failure.kind));
            CHECK((is_finished || !request.is_servable()));
            CHECK((!is_finished || request.result.tokens == texts(0, 3)));
        }
    }
}

} // namespace

} // namespace lovage
