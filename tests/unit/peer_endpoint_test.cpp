#include "lovage/adapters/metrics.h"
#include "lovage/adapters/peer_codec.h"
#include "lovage/adapters/peer_endpoint.h"
#include "lovage/adapters/settings.h"
#include "lovage/core/link_choice.h"

#include "support/free_port.h"
#include "support/wait_until.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace lovage {

namespace {

namespace asio = boost::asio;

// A node with an endpoint that records its events: "+node/incarnation" for a connection, "-node" for its end
// and "node:text" for a message.
class test_node {
public:
    test_node(const std::string& name, const std::string& address, incarnation node_incarnation = 1,
              std::size_t max_buffered_bytes = peer_endpoint_options{}.max_buffered_bytes) {
        peer_endpoint_options options;
        options.address = address;
        options.self.node = name;
        options.self.incarnation = node_incarnation;
        options.max_buffered_bytes = max_buffered_bytes;
        auto created = peer_endpoint::create(options, counters);
        REQUIRE(created);
        m_endpoint = std::move(*created);
        port = m_endpoint->port();
        peer_events events;
        events.on_connected = [this](const hello_message& hello) {
            add("+" + hello.node + "/" + std::to_string(hello.incarnation));
        };
        events.on_disconnected = [this](const node_id& node) { add("-" + node); };
        events.on_message = [this](const node_id& from, const peer_message& message) {
            if (const auto* goodbye = std::get_if<goodbye_message>(&message)) {
                add(from + ":" + goodbye->node);
            }
        };
        m_endpoint->start(std::move(events));
    }

    // While the endpoint stops, it still reports disconnections to the members below.
    ~test_node() { m_endpoint->stop(); }
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;

    std::vector<std::string> log() const {
        const std::lock_guard lock(m_mutex);
        return m_log;
    }
    std::size_t count(const std::string& line) const {
        const auto lines = log();
        return static_cast<std::size_t>(std::count(lines.begin(), lines.end(), line));
    }

    metrics counters;
    peer_port port;

private:
    void add(std::string line) {
        const std::lock_guard lock(m_mutex);
        m_log.push_back(std::move(line));
    }

    std::unique_ptr<peer_endpoint> m_endpoint;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_log;
};

// Guards against a connection that carries messages in one direction only.
TEST_CASE("both sides of a peer connection send and receive in order") {
    const std::string address = free_address();
    test_node a("a", address);
    test_node b("b", free_address());
    b.port.connect("a", address);
    REQUIRE(wait_until([&] { return a.port.is_connected("b") && b.port.is_connected("a"); }));

    constexpr int k_messages = 200;
    for (int i = 0; i < k_messages; ++i) {
        CHECK(a.port.send("b", goodbye_message{std::to_string(i)}));
        CHECK(b.port.send("a", goodbye_message{std::to_string(i)}));
    }
    REQUIRE(wait_until([&] { return a.log().size() == k_messages + 1 && b.log().size() == k_messages + 1; }));
    for (int i = 0; i < k_messages; ++i) {
        CHECK(a.log()[static_cast<std::size_t>(i) + 1] == "b:" + std::to_string(i));
        CHECK(b.log()[static_cast<std::size_t>(i) + 1] == "a:" + std::to_string(i));
    }
    CHECK_FALSE(a.port.send("c", goodbye_message{"c"}));
}

// Guards against idle connections that are closed because no heartbeats are sent on them.
TEST_CASE("an idle peer connection stays open") {
    const std::string address = free_address();
    test_node a("a", address);
    test_node b("b", free_address());
    b.port.connect("a", address);
    REQUIRE(wait_until([&] { return a.port.is_connected("b") && b.port.is_connected("a"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    CHECK(a.log().size() == 1);
    CHECK(b.log().size() == 1);
}

// Guards against a node that does not reconnect after its peer has restarted, and against messages of an old
// incarnation that are attributed to the new one.
TEST_CASE("a restarted peer is connected to again") {
    const std::string address = free_address();
    auto a = std::make_unique<test_node>("a", address, 1);
    test_node b("b", free_address());
    b.port.connect("a", address);
    REQUIRE(wait_until([&] { return b.count("+a/1") == 1; }));
    a.reset();
    REQUIRE(wait_until([&] { return b.count("-a") == 1; }));
    a = std::make_unique<test_node>("a", address, 2);
    REQUIRE(wait_until([&] { return b.count("+a/2") == 1; }));
    CHECK(b.port.send("a", goodbye_message{"x"}));
    CHECK(wait_until([&] { return a->count("b:x") == 1; }));
}

// Guards against two connections between the same nodes that deliver messages twice or replace each other
// endlessly.
TEST_CASE("two nodes that connect to each other use one connection") {
    const std::string address_a = free_address();
    const std::string address_b = free_address();
    test_node a("a", address_a);
    test_node b("b", address_b);
    a.port.connect("b", address_b);
    b.port.connect("a", address_a);
    REQUIRE(wait_until([&] { return a.port.is_connected("b") && b.port.is_connected("a"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const auto settled = a.log().size();
    REQUIRE(a.port.send("b", goodbye_message{"x"}));
    REQUIRE(b.port.send("a", goodbye_message{"y"}));
    REQUIRE(wait_until([&] { return b.count("a:x") == 1 && a.count("b:y") == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(a.count("b:y") == 1);
    CHECK(b.count("a:x") == 1);
    CHECK(a.log().size() == settled + 1);
}

// Guards against pairs that stay without a connection, or with two, when all nodes connect to each other at
// the same time, and against a restart among them.
TEST_CASE("a mesh of nodes settles on one connection for each pair") {
    constexpr std::size_t k_nodes = 8;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<test_node>> nodes;
    const auto name = [](std::size_t i) { return "n" + std::to_string(i); };
    for (std::size_t i = 0; i < k_nodes; ++i) {
        addresses.push_back(free_address());
        nodes.push_back(std::make_unique<test_node>(name(i), addresses.back()));
    }
    const auto connect_all = [&](std::size_t i) {
        for (std::size_t j = 0; j < k_nodes; ++j) {
            nodes[i]->port.connect(name(j), addresses[j]);
        }
    };
    for (std::size_t i = 0; i < k_nodes; ++i) {
        connect_all(i);
    }
    const auto is_settled = [&] {
        for (const auto& node : nodes) {
            if (node->counters.value("peer_connections") != static_cast<double>(k_nodes - 1)) {
                return false;
            }
        }
        return true;
    };
    const auto check_delivery = [&](const std::string& text) {
        REQUIRE(wait_until(is_settled));
        // Duplicate connections are closed within this time.
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        for (std::size_t i = 0; i < k_nodes; ++i) {
            for (std::size_t j = 0; j < k_nodes; ++j) {
                if (i != j) {
                    REQUIRE(nodes[i]->port.send(name(j), goodbye_message{text}));
                }
            }
        }
        for (std::size_t i = 0; i < k_nodes; ++i) {
            for (std::size_t j = 0; j < k_nodes; ++j) {
                if (i != j) {
                    CHECK(wait_until([&] { return nodes[j]->count(name(i) + ":" + text) == 1; }));
                }
            }
        }
    };
    check_delivery("first");
    nodes[3].reset();
    nodes[3] = std::make_unique<test_node>(name(3), addresses[3], 2);
    connect_all(3);
    check_delivery("second");
    CHECK(nodes[0]->count("+n3/2") >= 1);
}

// Guards against an unresponsive peer that is detected only by the TCP timeout of the kernel, after minutes.
TEST_CASE("a silent peer is closed within a second") {
    const std::string address = free_address();
    test_node a("a", address);
    // A client that opens a connection, sends its hello and then nothing more.
    boost::asio::io_context context;
    const auto endpoint = parse_endpoint(address);
    REQUIRE(endpoint);
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(endpoint->ip), endpoint->port});
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                                "Sec-WebSocket-Version: 13\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(upgrade));
    const auto hello = encode_peer_message(hello_message{1, "b", 1, node_role::agent, "", ""});
    REQUIRE(hello);
    // A masked binary frame with a mask of zeros.
    std::string frame = "\x82";
    frame.push_back(static_cast<char>(0x80U | hello->size()));
    frame.append(4, '\0').append(*hello);
    REQUIRE(hello->size() < 126);
    boost::asio::write(socket, boost::asio::buffer(frame));
    REQUIRE(wait_until([&] { return a.port.is_connected("b"); }));
    const auto connected = std::chrono::steady_clock::now();
    REQUIRE(wait_until([&] { return !a.port.is_connected("b"); }));
    const auto silence = std::chrono::steady_clock::now() - connected;
    CHECK(silence > std::chrono::milliseconds(600));
    CHECK(silence < std::chrono::milliseconds(1'100));
    CHECK(a.counters.value("peer_silent_total") == 1.0);
}

struct frame_case {
    const char* name;
    std::string payload;
};

// Guards against malformed input that is accepted or closes other connections.
TEST_CASE("a malformed message closes only its connection") {
    const auto test = GENERATE(from_range(std::vector<frame_case>{
        {"no CBOR", "\xFF"},
        {"no hello first", *encode_peer_message(goodbye_message{"b"})},
        {"an own hello", *encode_peer_message(hello_message{1, "a", 1, node_role::agent, "", ""})},
        {"another protocol", *encode_peer_message(hello_message{9, "b", 1, node_role::agent, "", ""})},
    }));
    CAPTURE(test.name);
    const std::string address = free_address();
    test_node a("a", address);
    test_node c("c", free_address());
    c.port.connect("a", address);
    REQUIRE(wait_until([&] { return a.port.is_connected("c"); }));

    boost::asio::io_context context;
    const auto endpoint = parse_endpoint(address);
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(endpoint->ip), endpoint->port});
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                                "Sec-WebSocket-Version: 13\r\n\r\n";
    std::string frame = "\x82";
    frame.push_back(static_cast<char>(0x80U | test.payload.size()));
    frame.append(4, '\0').append(test.payload);
    boost::asio::write(socket, boost::asio::buffer(upgrade + frame));
    // The server answers with a close frame and ends the connection.
    std::string received;
    boost::system::error_code code;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), code);
    CHECK(code == boost::asio::error::eof);
    CHECK(a.counters.value("peer_malformed_messages_total") +
              a.counters.value("peer_connections_refused_total") ==
          1.0);
    CHECK(a.port.is_connected("c"));
    CHECK_FALSE(a.port.is_connected("b"));
}

enum class held_part : std::uint8_t { handshake, hello };

// Stands between a client and a node and holds back the node's part of the handshake, or what follows it,
// until `release`. Serves one connection.
class holding_relay {
public:
    holding_relay(const std::string& node_address, held_part part)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, node_address, part] { run(node_address, part); }) {}
    ~holding_relay() {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        release();
        m_thread.join();
    }
    holding_relay(const holding_relay&) = delete;
    holding_relay& operator=(const holding_relay&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    void release() {
        if (!m_is_released.exchange(true)) {
            m_release.set_value();
        }
    }

    std::atomic<bool> is_holding{false};

private:
    void run(const std::string& node_address, held_part part) {
        const auto endpoint = parse_endpoint(node_address);
        asio::ip::tcp::socket client(m_context);
        asio::ip::tcp::socket node(m_context);
        boost::system::error_code code;
        m_acceptor.accept(client, code);
        if (code) {
            return;
        }
        node.connect({asio::ip::make_address(endpoint->ip), endpoint->port}, code);
        std::string request;
        asio::read_until(client, asio::dynamic_buffer(request), "\r\n\r\n", code);
        asio::write(node, asio::buffer(request), code);
        std::string held;
        const std::size_t head = asio::read_until(node, asio::dynamic_buffer(held), "\r\n\r\n", code);
        if (part == held_part::hello) {
            asio::write(client, asio::buffer(held.substr(0, head)), code);
            held.erase(0, head);
        }
        is_holding = true;
        m_release.get_future().wait();
        while (!code) {
            asio::write(client, asio::buffer(held), code);
            std::array<char, 4'096> chunk{};
            const std::size_t size = code ? 0 : node.read_some(asio::buffer(chunk), code);
            held.assign(chunk.data(), size);
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::promise<void> m_release;
    std::atomic<bool> m_is_released{false};
    std::thread m_thread;
};

struct late_dial_case {
    const char* name;
    held_part part;
    bool added_again;
};

// Guards against a connection to a removed node, opened by a dial that was in progress at its removal, and
// against a removal that ends the connection of a node that was added again.
TEST_CASE("a dial that completes after the node's removal opens no connection") {
    const auto test = GENERATE(from_range(std::vector<late_dial_case>{
        {"during the handshake", held_part::handshake, false},
        {"before the hello", held_part::hello, false},
        {"during the handshake, added again", held_part::handshake, true},
        {"before the hello, added again", held_part::hello, true},
    }));
    CAPTURE(test.name);
    const std::string address = free_address();
    test_node a("a", address);
    holding_relay relay(address, test.part);
    test_node b("b", free_address());
    b.port.connect("a", relay.address());
    REQUIRE(wait_until([&] { return relay.is_holding.load(); }));
    b.port.disconnect("a");
    if (test.added_again) {
        b.port.connect("a", address);
        REQUIRE(wait_until([&] { return b.count("+a/1") == 1; }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    relay.release();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const std::vector<std::string> expected =
        test.added_again ? std::vector<std::string>{"+a/1"} : std::vector<std::string>{};
    CHECK(b.log() == expected);
    CHECK(b.port.is_connected("a") == test.added_again);
}

// Guards against a message that `send` accepted for a connection that was closing: nothing was sent, and
// without the report of a disconnection its sender would wait for a reply for ever.
TEST_CASE("an accepted message is delivered or followed by a disconnection") {
    const std::string address = free_address();
    test_node a("a", address);
    test_node b("b", free_address());
    int lost = 0;
    for (int round = 0; round < 20; ++round) {
        b.port.connect("a", address);
        REQUIRE(wait_until([&] { return b.port.is_connected("a") && a.port.is_connected("b"); }));
        const std::size_t ends = b.count("-a");
        std::vector<std::string> accepted;
        for (int i = 0; b.count("-a") == ends && i < 100'000; ++i) {
            const std::string text = std::to_string(round) + "." + std::to_string(i);
            if (b.port.send("a", goodbye_message{text})) {
                accepted.push_back("b:" + text);
            }
            if (i == 20) {
                b.port.disconnect("a");
            }
        }
        REQUIRE(b.count("-a") == ends + 1);
        CHECK_FALSE(b.port.send("a", goodbye_message{"after the end"}));
        REQUIRE(wait_until([&] { return a.count("-b") == ends + 1; }));
        const auto received = a.log();
        lost +=
            static_cast<int>(std::count_if(accepted.begin(), accepted.end(), [&](const std::string& line) {
                return std::find(received.begin(), received.end(), line) == received.end();
            }));
    }
    INFO("messages accepted and not delivered: " << lost);
    CHECK(b.count("-a") == 20);
}

// Guards against an unbounded send buffer for a peer that does not read.
TEST_CASE("messages to a peer that does not read are refused") {
    const std::string address = free_address();
    constexpr std::size_t k_limit = 256U << 10U;
    test_node a("a", address, 1, k_limit);
    test_node b("b", free_address());
    b.port.connect("a", address);
    REQUIRE(wait_until([&] { return a.port.is_connected("b") && b.port.is_connected("a"); }));
    const goodbye_message large{std::string(64U << 10U, 'x')};
    bool refused = false;
    for (int i = 0; i < 100 && !refused; ++i) {
        refused = !a.port.send("b", large);
    }
    CHECK(refused);
    // Messages are accepted again once the buffer has drained.
    CHECK(wait_until([&] { return a.port.send("b", large); }));
}

struct link_case {
    const char* name;
    link_attributes existing;
    link_attributes fresh;
    link_choice expected;
};

// Guards against two nodes that each keep a different one of their connections.
TEST_CASE("the connection that stays is chosen by incarnation, age and initiator") {
    const time_point early{};
    const time_point soon = early + milliseconds(10);
    const time_point late = early + milliseconds(5'000);
    const auto test = GENERATE_COPY(from_range(std::vector<link_case>{
        {"newer incarnation", {1, "a", early}, {2, "b", soon}, link_choice::take_new},
        {"older incarnation", {2, "b", early}, {1, "a", late}, link_choice::keep_existing},
        {"opened again by the same node", {1, "b", early}, {1, "b", soon}, link_choice::take_new},
        {"opened by both, existing lower", {1, "a", early}, {1, "b", soon}, link_choice::keep_existing},
        {"opened by both, new lower", {1, "b", early}, {1, "a", soon}, link_choice::take_new},
        {"opened much later by the other", {1, "a", early}, {1, "b", late}, link_choice::take_new},
    }));
    CAPTURE(test.name);
    CHECK(choose_link(test.existing, test.fresh) == test.expected);
}

} // namespace

} // namespace lovage
