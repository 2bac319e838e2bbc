#include "lovage/traffic/agent.h"
#include "lovage/traffic/order_runner.h"

#include "support/fake_engine_port.h"
#include "support/fake_peer_port.h"
#include "support/wait_until.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lovage {

namespace {

const node_id k_home = "entry-1";
const node_id k_other = "entry-2";

member_info entry_member(const node_id& node, member_state state) {
    member_info member;
    member.node = node;
    member.region = "ub";
    member.peer_address = "127.0.0.1:1";
    member.state = state;
    return member;
}

// Agent with a fake engine and fake connections. `k_home` is connected and is the home entry of all requests.
class agent_fixture {
public:
    explicit agent_fixture(agent_options options = {}) {
        options.node = "agent-1";
        options.target = "engine-1";
        options.incarnation = 7;
        set_view({entry_member(k_home, member_state::alive), entry_member(k_other, member_state::dead)});
        agent_ports ports;
        ports.engine = engine.port();
        ports.service = service;
        ports.peer = peers.port();
        ports.view = [this] { return std::atomic_load(&m_view); };
        ports.current_term = [] { return std::optional<fencing_number>(3); };
        ports.count = [](const std::string&, double) {};
        node = agent::create(options, std::move(ports));
        events = node->events();
        connect(k_home);
    }

    // The agent is destroyed first, because its threads use the other members.
    ~agent_fixture() { node.reset(); }
    agent_fixture(const agent_fixture&) = delete;
    agent_fixture& operator=(const agent_fixture&) = delete;

    void connect(const node_id& entry) {
        peers.set_connected(entry, true);
        hello_message hello;
        hello.node = entry;
        hello.region = "ub";
        events.on_connected(hello);
    }
    void disconnect(const node_id& entry) {
        peers.set_connected(entry, false);
        events.on_disconnected(entry);
    }
    void set_view(std::vector<member_info> members) {
        auto view = std::make_shared<fleet_view>();
        view->members = std::move(members);
        std::atomic_store(&m_view, fleet_view_ptr(std::move(view)));
    }
    void generate(const attempt_ref& ref, std::uint32_t max_tokens, std::vector<token> accepted = {}) {
        generate_message message;
        message.ref = ref;
        message.spec.max_tokens = max_tokens;
        message.accepted = std::move(accepted);
        events.on_message(k_home, message);
    }

    /// Returns all tokens of an attempt that `entry` received, in order. A gap or a repeated token fails the
    /// test.
    std::vector<token> tokens(const node_id& entry, const attempt_ref& ref, token_index first = 0) const {
        std::vector<token> all;
        for (const auto& message : peers.sent<tokens_message>(entry)) {
            if (message.ref == ref) {
                CHECK(message.first == first + all.size());
                all.insert(all.end(), message.tokens.begin(), message.tokens.end());
            }
        }
        return all;
    }

    fake_engine engine;
    fake_peers peers;
    service_port service;
    peer_events events;
    std::unique_ptr<agent> node;

private:
    fleet_view_ptr m_view;
};

attempt_ref ref_of(std::uint64_t id, attempt_number attempt = 1) {
    return {{0, id}, {id + 100}, attempt};
}

struct generation_case {
    const char* name;
    std::vector<token> accepted;
    std::uint32_t max_tokens;
    std::vector<token> expected;
};

// Guards against tokens that are lost, repeated or sent after the done event.
TEST_CASE("a generation reaches its home entry whole") {
    const auto test = GENERATE(from_range(std::vector<generation_case>{
        {"from the beginning", {}, 3, {" t0", " t1", " t2"}},
        {"a resume sends only new tokens", {" a", " b"}, 4, {" t2", " t3"}},
        {"nothing left to generate", {" a"}, 1, {}},
    }));
    CAPTURE(test.name);
    agent_fixture fixture;
    fixture.engine.allow(100);
    const auto ref = ref_of(1);
    fixture.generate(ref, test.max_tokens, test.accepted);
    REQUIRE(wait_until([&] { return !fixture.peers.sent<finished_message>(k_home).empty(); }));
    CHECK(fixture.tokens(k_home, ref, static_cast<token_index>(test.accepted.size())) == test.expected);
    const auto finished = fixture.peers.sent<finished_message>(k_home);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].ref == ref);
    CHECK(finished[0].total == test.max_tokens);
    CHECK(finished[0].reason == finish_reason::length);
}

// Guards against sending one message per token of a burst, and against a last batch that is never sent.
TEST_CASE("tokens of a burst are sent together") {
    agent_fixture fixture;
    fixture.engine.allow(500);
    fixture.generate(ref_of(1), 1'000);
    REQUIRE(wait_until([&] { return fixture.tokens(k_home, ref_of(1)).size() == 500; }));
    CHECK(fixture.peers.sent<tokens_message>(k_home).size() < 250);
}

// Guards against missing heartbeats, which make the home entry consider a healthy attempt lost.
TEST_CASE("progress is reported for running and queued attempts") {
    agent_fixture fixture;
    fixture.engine.slots = 1;
    fixture.generate(ref_of(1), 10);
    fixture.generate(ref_of(2), 10, {" a"});
    REQUIRE(wait_until([&] { return fixture.peers.sent<progress_message>(k_home).size() >= 4; }));
    const auto progress = fixture.peers.sent<progress_message>(k_home).back();
    REQUIRE(progress.items.size() == 2);
    CHECK(progress.items[0].next == 0);
    CHECK(progress.items[1].next == 1);
}

// Guards against an unbounded queue in front of the engine, and against a slot that is not released.
TEST_CASE("attempts above slots and queue are refused as not run") {
    agent_options options;
    options.generations.max_queued = 1;
    agent_fixture fixture(options);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        fixture.generate(ref_of(id), 1);
    }
    const auto failed = fixture.peers.sent<failed_message>(k_home);
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].ref == ref_of(4));
    CHECK(failed[0].kind == error_kind::target_busy);
    CHECK(failed[0].not_run);
    fixture.engine.allow(1);
    REQUIRE(wait_until([&] { return fixture.peers.sent<finished_message>(k_home).size() == 3; }));
    CHECK(fixture.engine.max_running <= 2);
}

// Guards against a resume that is queued behind new work.
TEST_CASE("resumes leave the queue before new work") {
    agent_fixture fixture;
    fixture.engine.slots = 1;
    fixture.generate(ref_of(1), 1);
    fixture.generate(ref_of(2), 1);
    fixture.generate(ref_of(3, 2), 2, {" a"});
    fixture.engine.allow(1);
    REQUIRE(wait_until([&] { return fixture.peers.sent<finished_message>(k_home).size() == 3; }));
    const auto finished = fixture.peers.sent<finished_message>(k_home);
    CHECK(finished[0].ref == ref_of(1));
    CHECK(finished[1].ref == ref_of(3, 2));
}

// Guards against a late message that restarts a replaced attempt, and against two attempts of one answer that
// run concurrently.
TEST_CASE("older attempts are refused and a newer one replaces them") {
    agent_fixture fixture;
    fixture.engine.slots = 4;
    fixture.generate(ref_of(1, 2), 10);
    REQUIRE(wait_until([&] { return fixture.engine.started == 1; }));
    fixture.generate(ref_of(1, 1), 10);
    fixture.generate(ref_of(1, 2), 10);
    const auto failed = fixture.peers.sent<failed_message>(k_home);
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].ref == ref_of(1, 1));
    CHECK(fixture.engine.started == 1);

    fixture.generate(ref_of(1, 3), 3);
    fixture.engine.allow(100);
    REQUIRE(wait_until([&] { return fixture.peers.sent<finished_message>(k_home).size() == 1; }));
    CHECK(fixture.peers.sent<finished_message>(k_home)[0].ref == ref_of(1, 3));
    CHECK(fixture.tokens(k_home, ref_of(1, 2)).empty());
}

// Guards against an engine that keeps generating after the attempt was cancelled.
TEST_CASE("a cancelled attempt frees its slot and sends nothing more") {
    agent_fixture fixture;
    fixture.engine.slots = 1;
    fixture.generate(ref_of(1), 10);
    fixture.generate(ref_of(2), 1);
    REQUIRE(wait_until([&] { return fixture.engine.started == 1; }));
    fixture.events.on_message(k_home, cancel_message{ref_of(1)});
    REQUIRE(wait_until([&] { return fixture.engine.started == 2; }));
    fixture.engine.allow(1);
    REQUIRE(wait_until([&] { return fixture.peers.sent<finished_message>(k_home).size() == 1; }));
    CHECK(fixture.tokens(k_home, ref_of(1)).empty());
    CHECK(fixture.peers.sent<failed_message>(k_home).empty());
    // A late duplicate of the message does not restart the attempt.
    fixture.generate(ref_of(1), 10);
    CHECK(fixture.engine.started == 2);
}

// Guards against a failure that the home entry detects only by its heartbeat timeout.
TEST_CASE("a failed generation is reported after its tokens") {
    agent_fixture fixture;
    fixture.engine.allow(2);
    fixture.generate(ref_of(1), 10);
    REQUIRE(wait_until([&] { return fixture.tokens(k_home, ref_of(1)).size() == 2; }));
    fixture.engine.fail_with({error_kind::target_failed, "broken"});
    REQUIRE(wait_until([&] { return fixture.peers.sent<failed_message>(k_home).size() == 1; }));
    const auto failed = fixture.peers.sent<failed_message>(k_home)[0];
    CHECK(failed.kind == error_kind::target_failed);
    CHECK_FALSE(failed.not_run);
}

// Guards against gaps and wrong tokens when entries connect and disconnect and attempts are replaced and
// cancelled in any order.
TEST_CASE("random losses of entries leave no gap in what an entry gets") {
    const auto seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    constexpr int k_steps = 300;
    constexpr std::uint64_t k_requests = 6;
    agent_options options;
    options.generations.progress_interval = milliseconds(3);
    options.generations.offer_interval = milliseconds(6);
    options.generations.max_queued = 4;
    agent_fixture fixture(options);
    const std::vector<node_id> entries{k_home, k_other};
    std::vector<attempt_number> attempts(k_requests, 0);
    std::size_t replied = 0;
    for (int step = 0; step < k_steps; ++step) {
        const std::uint64_t id = random() % k_requests;
        const bool home_is_first = random() % 2 == 0;
        switch (random() % 8) {
        case 0:
        case 1:
            fixture.generate(ref_of(id, ++attempts[id]), 40);
            break;
        case 2:
            fixture.events.on_message(k_home, cancel_message{ref_of(id, attempts[id])});
            break;
        case 3:
            fixture.disconnect(entries[random() % 2]);
            break;
        case 4:
            fixture.connect(entries[random() % 2]);
            break;
        case 5:
            fixture.set_view(
                {entry_member(k_home, home_is_first ? member_state::alive : member_state::dead),
                 entry_member(k_other, home_is_first ? member_state::dead : member_state::alive)});
            break;
        default:
            fixture.engine.allow(2);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            break;
        }
        const auto sent = fixture.peers.all();
        for (; replied < sent.size(); ++replied) {
            if (const auto* offer = std::get_if<adopt_message>(&sent[replied].second)) {
                fixture.events.on_message(sent[replied].first, adopt_reply_message{offer->ref, true});
            }
        }
    }
    fixture.engine.allow(1'000);
    for (const auto& entry : entries) {
        fixture.connect(entry);
    }
    CHECK(wait_until([&] { return fixture.node->report().running == 0; }));

    // Number of tokens that each entry has of each attempt.
    std::map<std::pair<node_id, std::pair<std::uint64_t, attempt_number>>, std::size_t> reach;
    for (const auto& [entry, message] : fixture.peers.all()) {
        if (const auto* offer = std::get_if<adopt_message>(&message)) {
            auto& known = reach[{entry, {offer->ref.request.low, offer->ref.attempt}}];
            known = std::max(known, offer->tokens.size());
        } else if (const auto* batch = std::get_if<tokens_message>(&message)) {
            auto& known = reach[{entry, {batch->ref.request.low, batch->ref.attempt}}];
            CHECK(batch->first <= known);
            for (std::size_t i = 0; i < batch->tokens.size(); ++i) {
                CHECK(batch->tokens[i] == " t" + std::to_string(batch->first + i));
            }
            known = std::max(known, batch->first + batch->tokens.size());
        } else if (const auto* end = std::get_if<finished_message>(&message)) {
            CHECK(reach[{entry, {end->ref.request.low, end->ref.attempt}}] == end->total);
        }
    }
}

struct adoption_case {
    const char* name;
    /// Whether the new home entry is in the view from the start, or is added later.
    bool is_known_early;
    /// Whether the generation ends before its home entry is lost.
    bool is_finished;
    bool is_accepted;
};

// Guards against a generation that is lost or repeats tokens when its home entry fails.
TEST_CASE("a generation is offered to the new home entry") {
    const auto test = GENERATE(from_range(std::vector<adoption_case>{
        {"known at once", true, false, true},
        {"known after a change of the view", false, false, true},
        {"already finished", true, true, true},
        {"refused", true, false, false},
    }));
    CAPTURE(test.name);
    agent_fixture fixture;
    const auto ref = ref_of(1);
    const std::vector<member_info> after{entry_member(k_home, member_state::dead),
                                         entry_member(k_other, member_state::alive)};
    fixture.engine.allow(2);
    fixture.generate(ref, test.is_finished ? 2 : 4);
    REQUIRE(wait_until([&] { return fixture.tokens(k_home, ref).size() == 2; }));
    if (test.is_finished) {
        REQUIRE(wait_until([&] { return !fixture.peers.sent<finished_message>(k_home).empty(); }));
    }
    if (test.is_known_early) {
        fixture.set_view(after);
    }
    fixture.disconnect(k_home);
    fixture.set_view(after);
    REQUIRE(wait_until([&] { return fixture.peers.connects().count(k_other) == 1; }));
    fixture.connect(k_other);
    REQUIRE(wait_until([&] { return !fixture.peers.sent<adopt_message>(k_other).empty(); }));
    const auto offer = fixture.peers.sent<adopt_message>(k_other)[0];
    CHECK(offer.ref == ref);
    CHECK(offer.tokens == std::vector<token>{" t0", " t1"});
    CHECK(offer.finished == test.is_finished);

    // Tokens generated between the offer and its reply are not lost.
    fixture.engine.allow(1);
    fixture.events.on_message(k_other, adopt_reply_message{ref, test.is_accepted});
    if (!test.is_accepted) {
        REQUIRE(wait_until([&] { return fixture.node->report().running == 0; }));
        CHECK(fixture.tokens(k_other, ref).empty());
        return;
    }
    fixture.engine.allow(10);
    REQUIRE(wait_until([&] { return !fixture.peers.sent<finished_message>(k_other).empty(); }));
    const auto rest = test.is_finished ? std::vector<token>{} : std::vector<token>{" t2", " t3"};
    CHECK(fixture.tokens(k_other, ref, 2) == rest);
}

// Guards against a generation that continues for ever without a home entry.
TEST_CASE("a generation without a home entry ends") {
    agent_options options;
    options.generations.home_lost_timeout = milliseconds(300);
    agent_fixture fixture(options);
    fixture.generate(ref_of(1), 10);
    REQUIRE(wait_until([&] { return fixture.engine.started == 1; }));
    fixture.disconnect(k_home);
    CHECK(fixture.node->report().running == 1);
    CHECK(wait_until([&] { return fixture.node->report().running == 0; }));
}

// Guards against a drain that interrupts running work, and against a draining target that accepts new work.
TEST_CASE("a draining agent finishes its work and refuses new work") {
    agent_fixture fixture;
    fixture.generate(ref_of(1), 2);
    REQUIRE(wait_until([&] { return fixture.engine.started == 1; }));
    fixture.node->drain();
    CHECK(fixture.peers.sent<goodbye_message>(k_home).size() == 1);
    fixture.generate(ref_of(2), 2);
    const auto failed = fixture.peers.sent<failed_message>(k_home);
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].kind == error_kind::leaving);
    CHECK(failed[0].not_run);
    CHECK_FALSE(fixture.node->wait_idle(milliseconds(50)));
    fixture.engine.allow(2);
    CHECK(fixture.node->wait_idle(milliseconds(2'000)));
    CHECK(fixture.peers.sent<finished_message>(k_home).size() == 1);
    CHECK(wait_until([&] {
        const auto reports = fixture.peers.sent<load_report_message>(k_home);
        return !reports.empty() && reports.back().draining;
    }));
    // An entry that connects during the drain is told of it too.
    fixture.connect(k_other);
    CHECK(fixture.peers.sent<goodbye_message>(k_other).size() == 1);
}

// Guards against routing by outdated load.
TEST_CASE("load is reported at an interval and on change") {
    agent_fixture fixture;
    REQUIRE(wait_until([&] { return fixture.peers.sent<load_report_message>(k_home).size() >= 3; }));
    const auto before = fixture.peers.sent<load_report_message>(k_home).back();
    CHECK(before.target == "engine-1");
    CHECK(before.slots == 2);
    CHECK(before.running == 0);
    CHECK(before.engine_up);
    REQUIRE(before.loaded.size() == 1);
    fixture.generate(ref_of(1), 10);
    CHECK(wait_until([&] { return fixture.peers.sent<load_report_message>(k_home).back().running == 1; },
                     std::chrono::milliseconds(150)));
}

// Guards against orders that are executed with an outdated fencing number.
TEST_CASE("orders reach the engine only with a current fencing number") {
    agent_fixture fixture;
    order_message order;
    order.order_id = "new";
    order.fencing = 4;
    fixture.events.on_message(k_home, order);
    order.order_id = "old";
    order.fencing = 3;
    fixture.events.on_message(k_home, order);
    REQUIRE(wait_until([&] { return fixture.peers.sent<order_result_message>(k_home).size() == 2; }));
    const auto results = fixture.peers.sent<order_result_message>(k_home);
    CHECK(results[0].ok);
    CHECK_FALSE(results[1].ok);
    CHECK(results[1].kind == error_kind::stale_fencing);
    CHECK(fixture.engine.orders == 1);
    CHECK(fixture.node->report().highest_fencing == 4);
}

// Guards against a control process that waits for the result of an order that was in the queue of a target
// which stopped, and cannot tell whether it was executed.
TEST_CASE("orders that wait when the target stops are answered as not done") {
    fake_peers peers;
    peers.set_connected(k_home, true);
    std::atomic<int> started{0};
    std::promise<void> release;
    order_runner_ports ports;
    ports.peer = peers.port();
    ports.engine.order = [&, released = release.get_future().share()](const order_message&) -> result<void> {
        ++started;
        released.wait();
        return {};
    };
    ports.current_term = [] { return std::optional<fencing_number>(3); };
    ports.count = [](const std::string&, double) {};
    auto runner = order_runner::create(std::move(ports));
    order_message order;
    order.fencing = 3;
    for (const char* id : {"running", "waiting"}) {
        order.order_id = id;
        runner->on_order(k_home, order);
    }
    REQUIRE(wait_until([&] { return started == 1; }));
    std::thread stopper([&] { runner.reset(); });
    // Time for the destructor to close the queue.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release.set_value();
    stopper.join();
    const auto results = peers.sent<order_result_message>(k_home);
    CHECK(started == 1);
    REQUIRE(results.size() == 2);
    CHECK(results[0].ok);
    CHECK_FALSE(results[1].ok);
    CHECK(results[1].order_id == "waiting");
    CHECK(results[1].kind == error_kind::leaving);
}

} // namespace

} // namespace lovage
