#pragma once

// Connections and state of a peer endpoint, which its sources share.

#include "lovage/adapters/metrics.h"
#include "lovage/adapters/peer_codec.h"
#include "lovage/adapters/peer_endpoint.h"

#include <atomic>
#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <type_traits>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace lovage {

/// One configuration for both sides, so that connections of both have one type.
struct peer_websocket_config : public websocketpp::config::asio {
    using type = peer_websocket_config;
    using base = websocketpp::config::asio;
    // Clients mask their frames with random numbers.
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, base::concurrency_type>;

    struct transport_config : public base::transport_config {
        static const long timeout_connect = 1'000;
        static const long timeout_socket_shutdown = 500;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const long timeout_open_handshake = 1'000;
    static const long timeout_close_handshake = 300;
    static const std::size_t max_message_size = peer_codec_limits{}.max_bytes;
};

using peer_websocket_server = websocketpp::server<peer_websocket_config>;
using peer_websocket_client = websocketpp::client<peer_websocket_config>;
using peer_connection = websocketpp::connection<peer_websocket_config>;
static_assert(std::is_same_v<peer_websocket_server::connection_type, peer_websocket_client::connection_type>);

/// One websocket connection. Its fields belong to the I/O thread except for the atomics.
struct peer_link {
    peer_connection::ptr connection;
    bool is_outgoing = false;
    /// The node that an outgoing connection was opened for.
    node_id dialed;
    /// Set when the other side's hello is accepted.
    std::optional<hello_message> hello;
    time_point opened{};
    time_point established{};
    time_point last_received{};
    time_point last_sent{};
    /// Heartbeat intervals as last announced to the other side and by it.
    milliseconds announced{0};
    milliseconds peer_interval{0};
    /// No message of a closed link is delivered.
    bool is_closed = false;
    /// Bytes that wait for the I/O thread, and bytes that websocketpp had buffered at the last check.
    std::atomic<std::size_t> posted{0};
    std::atomic<std::size_t> buffered{0};
    std::atomic<bool> is_refresh_posted{false};
};
using peer_link_ptr = std::shared_ptr<peer_link>;

/// A node that this side keeps a connection to.
struct peer_dial {
    std::string address;
    unsigned failures = 0;
    /// The connection that was dialed last, until its end; null if there is none.
    peer_link_ptr link;
    std::shared_ptr<boost::asio::steady_timer> timer;
};

struct peer_endpoint::state {
    explicit state(const peer_endpoint_options& chosen, metrics& target)
        : options(chosen), counters(target), ticker(io), stop_timer(io), random(std::random_device{}()) {}

    // The context is destroyed last: connections and timers refer to it.
    boost::asio::io_context io;
    const peer_endpoint_options options;
    metrics& counters;
    peer_events events;
    peer_websocket_server server;
    peer_websocket_client client;
    std::thread thread;

    // Used on the I/O thread only.
    std::set<peer_link_ptr> links;
    std::map<node_id, peer_dial> dials;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer stop_timer;
    std::mt19937_64 random;
    time_point last_tick{};
    bool is_stopping = false;

    // The connection in use for each node; written on the I/O thread, read by senders.
    std::mutex mutex;
    std::map<node_id, peer_link_ptr> active;

    // Start and stop: peer_endpoint.cpp.
    result<void> listen();
    void run();
    void begin_stop();

    // Connections that this side opens: peer_endpoint_dials.cpp.
    void connect(const node_id& node, const std::string& address);
    void disconnect(const node_id& node);
    void dial(const node_id& node);
    void schedule_dial(const node_id& node);
    bool end_dial(const peer_link_ptr& link);
    void cancel_dial(const peer_link_ptr& link);

    // Beginning and end of connections: peer_endpoint_links.cpp.
    bool is_connected(const node_id& node);
    peer_link_ptr active_link(const node_id& node);
    peer_link_ptr adopt_connection(const peer_connection::ptr& connection, bool is_outgoing,
                                   const node_id& dialed);
    void on_open(const peer_link_ptr& link);
    void on_closed(const peer_link_ptr& link);
    void refuse(const peer_link_ptr& link, const char* counter, const std::string& reason);
    void release(const peer_link_ptr& link, const char* reason);
    void terminate(const peer_link_ptr& link);

    // Messages: peer_endpoint_messages.cpp.
    bool send(const node_id& node, const peer_message& message);
    void write(const peer_link_ptr& link, const std::string& bytes);
    void on_message(const peer_link_ptr& link, const std::string& payload);
    void on_hello(const peer_link_ptr& link, const hello_message& hello);

    // Heartbeats: peer_endpoint_heartbeats.cpp.
    static void on_heartbeat(peer_link& link, const std::string& payload);
    void schedule_tick();
    void tick();
};

} // namespace lovage
