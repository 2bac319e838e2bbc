#include "lovage/adapters/metrics.h"
#include "lovage/adapters/peer_endpoint.h"
#include "lovage/traffic/agent.h"

#include "support/fake_engine_port.h"
#include "support/free_port.h"
#include "support/wait_until.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovage {

namespace {

// Test entry that collects the tokens it receives, counts gaps and repeated tokens, and accepts every
// adoption offer.
class test_entry {
public:
    test_entry(const std::string& name, const std::string& address) {
        peer_endpoint_options options;
        options.address = address;
        options.self.node = name;
        options.self.region = "ub";
        options.self.incarnation = 1;
        auto created = peer_endpoint::create(options, m_counters);
        REQUIRE(created);
        m_endpoint = std::move(*created);
        port = m_endpoint->port();
        peer_events events;
        events.on_connected = [](const hello_message&) {};
        events.on_disconnected = [](const node_id&) {};
        events.on_message = [this](const node_id& from, const peer_message& message) {
            on_message(from, message);
        };
        m_endpoint->start(std::move(events));
    }
    ~test_entry() { m_endpoint->stop(); }
    test_entry(const test_entry&) = delete;
    test_entry& operator=(const test_entry&) = delete;

    std::size_t finished() const {
        const std::lock_guard lock(m_mutex);
        return m_finished;
    }
    std::size_t adopted() const {
        const std::lock_guard lock(m_mutex);
        return m_adopted;
    }
    std::size_t gaps() const {
        const std::lock_guard lock(m_mutex);
        return m_gaps;
    }
    std::vector<token> tokens(std::uint64_t request) const {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tokens.find(request);
        return found == m_tokens.end() ? std::vector<token>{} : found->second;
    }

    peer_port port;

private:
    void on_message(const node_id& from, const peer_message& message) {
        std::optional<attempt_ref> adopted;
        {
            const std::lock_guard lock(m_mutex);
            if (const auto* batch = std::get_if<tokens_message>(&message)) {
                auto& all = m_tokens[batch->ref.request.low];
                m_gaps += batch->first == all.size() ? 0 : 1;
                all.insert(all.end(), batch->tokens.begin(), batch->tokens.end());
            } else if (const auto* end = std::get_if<finished_message>(&message)) {
                m_gaps += end->total == m_tokens[end->ref.request.low].size() ? 0 : 1;
                ++m_finished;
            } else if (const auto* offer = std::get_if<adopt_message>(&message)) {
                m_tokens[offer->ref.request.low] = offer->tokens;
                ++m_adopted;
                adopted = offer->ref;
            }
        }
        if (adopted) {
            port.send(from, adopt_reply_message{*adopted, true});
        }
    }

    metrics m_counters;
    std::unique_ptr<peer_endpoint> m_endpoint;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, std::vector<token>> m_tokens;
    std::size_t m_finished = 0;
    std::size_t m_adopted = 0;
    std::size_t m_gaps = 0;
};

member_info entry_member(const node_id& node, const std::string& address) {
    member_info member;
    member.node = node;
    member.region = "ub";
    member.peer_address = address;
    return member;
}

// Agent with a real peer endpoint and a fake engine.
class test_agent {
public:
    explicit test_agent(const std::vector<member_info>& entries) {
        engine.slots = 64;
        set_view(entries);
        peer_endpoint_options options;
        options.address = address;
        options.self.node = "agent-1";
        options.self.role = node_role::agent;
        options.self.incarnation = 1;
        auto created = peer_endpoint::create(options, m_counters);
        REQUIRE(created);
        m_endpoint = std::move(*created);
        agent_ports ports;
        ports.engine = engine.port();
        ports.peer = m_endpoint->port();
        ports.view = [this] { return std::atomic_load(&m_view); };
        ports.current_term = [] { return std::optional<fencing_number>(0); };
        ports.count = [this](const std::string& name, double by) { m_counters.count(name, by); };
        node = agent::create({}, std::move(ports));
        m_endpoint->start(node->events());
    }
    ~test_agent() {
        m_endpoint->stop();
        node.reset();
    }
    test_agent(const test_agent&) = delete;
    test_agent& operator=(const test_agent&) = delete;

    void set_view(const std::vector<member_info>& entries) {
        auto view = std::make_shared<fleet_view>();
        view->members = entries;
        std::atomic_store(&m_view, fleet_view_ptr(std::move(view)));
    }

    const std::string address = free_address();
    fake_engine engine;
    std::unique_ptr<agent> node;

private:
    metrics m_counters;
    fleet_view_ptr m_view;
    std::unique_ptr<peer_endpoint> m_endpoint;
};

bool generate(const test_entry& entry, std::uint64_t request, std::uint32_t max_tokens) {
    generate_message message;
    message.ref = {{0, request}, {request + 100}, 1};
    message.spec.max_tokens = max_tokens;
    return entry.port.send("agent-1", message);
}

std::vector<token> expected_tokens(std::uint32_t count) {
    std::vector<token> all;
    for (std::uint32_t i = 0; i < count; ++i) {
        all.push_back(" t" + std::to_string(i));
    }
    return all;
}

// Guards against tokens that are lost, or attributed to the wrong request, between the engine and the home
// entry.
TEST_CASE("generations reach their entry over a real connection") {
    const std::string address = free_address();
    test_entry entry("entry-1", address);
    test_agent target({entry_member("entry-1", address)});
    entry.port.connect("agent-1", target.address);
    REQUIRE(wait_until([&] { return entry.port.is_connected("agent-1"); }));
    constexpr std::uint64_t k_requests = 40;
    constexpr std::uint32_t k_tokens = 200;
    target.engine.allow(k_tokens);
    for (std::uint64_t id = 0; id < k_requests; ++id) {
        REQUIRE(generate(entry, id, k_tokens));
    }
    REQUIRE(wait_until([&] { return entry.finished() == k_requests; }));
    CHECK(entry.gaps() == 0);
    for (std::uint64_t id = 0; id < k_requests; ++id) {
        CHECK(entry.tokens(id) == expected_tokens(k_tokens));
    }
}

// Guards against generations that are lost when their home entry fails.
TEST_CASE("generations move to another entry when their entry is lost") {
    const std::string first_address = free_address();
    auto first = std::make_unique<test_entry>("entry-1", first_address);
    const std::string second_address = free_address();
    test_entry second("entry-2", second_address);
    test_agent target({entry_member("entry-1", first_address)});
    first->port.connect("agent-1", target.address);
    REQUIRE(wait_until([&] { return first->port.is_connected("agent-1"); }));
    constexpr std::uint64_t k_requests = 10;
    constexpr std::uint32_t k_tokens = 100;
    target.engine.allow(30);
    for (std::uint64_t id = 0; id < k_requests; ++id) {
        REQUIRE(generate(*first, id, k_tokens));
    }
    REQUIRE(wait_until([&] { return first->tokens(k_requests - 1).size() == 30; }));
    first.reset();
    target.engine.allow(30);
    target.set_view({entry_member("entry-2", second_address)});
    REQUIRE(wait_until([&] { return second.adopted() >= k_requests; }));
    target.engine.allow(40);
    REQUIRE(wait_until([&] { return second.finished() == k_requests; }));
    CHECK(second.gaps() == 0);
    for (std::uint64_t id = 0; id < k_requests; ++id) {
        CHECK(second.tokens(id) == expected_tokens(k_tokens));
    }
}

} // namespace

} // namespace lovage
