#include "lovage/adapters/peer_endpoint.h"

#include "lovage/adapters/log.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/peer_codec.h"
#include "lovage/adapters/settings.h"
#include "lovage/core/link_choice.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace lovage {

namespace {

namespace asio = boost::asio;

// One configuration for both sides, so that connections of both have one type.
struct websocket_config : public websocketpp::config::asio {
    using type = websocket_config;
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

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using connection_type = websocketpp::connection<websocket_config>;
static_assert(std::is_same_v<websocket_server::connection_type, websocket_client::connection_type>);

// Heartbeats that may be missed before a peer counts as unresponsive; 3 intervals of 200 ms fit in the
// shortest timeout.
constexpr int k_missed_heartbeats = 3;
constexpr milliseconds k_max_heartbeat_interval{10'000};
constexpr milliseconds k_hello_timeout{1'000};
constexpr milliseconds k_stop_timeout{500};
constexpr unsigned k_max_backoff_doublings = 16;
// A close frame carries at most 123 bytes of reason.
constexpr std::size_t k_max_close_reason = 123;

// One websocket connection. Its fields belong to the I/O thread except for the atomics.
struct peer_link {
    connection_type::ptr connection;
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
using link_ptr = std::shared_ptr<peer_link>;

// Reads the interval of the peer's heartbeats, which each of them announces as decimal milliseconds.
std::optional<milliseconds> read_interval(const std::string& payload) {
    std::uint32_t value = 0;
    const char* end = payload.data() + payload.size();
    const auto parsed = std::from_chars(payload.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds(value) > k_max_heartbeat_interval) {
        return std::nullopt;
    }
    return milliseconds(value);
}

// A node that this side keeps a connection to.
struct dial_target {
    std::string address;
    unsigned failures = 0;
    /// The connection that was dialed last, until its end; null if there is none.
    link_ptr link;
    std::shared_ptr<asio::steady_timer> timer;
};

} // namespace

struct peer_endpoint::state {
    explicit state(const peer_endpoint_options& chosen, metrics& target)
        : options(chosen), counters(target), ticker(io), stop_timer(io), random(std::random_device{}()) {}

    // The context is destroyed last: connections and timers refer to it.
    asio::io_context io;
    const peer_endpoint_options options;
    metrics& counters;
    peer_events events;
    websocket_server server;
    websocket_client client;
    std::thread thread;

    // Used on the I/O thread only.
    std::set<link_ptr> links;
    std::map<node_id, dial_target> dials;
    asio::steady_timer ticker;
    asio::steady_timer stop_timer;
    std::mt19937_64 random;
    time_point last_tick{};
    bool is_stopping = false;

    // The connection in use for each node; written on the I/O thread, read by senders.
    std::mutex mutex;
    std::map<node_id, link_ptr> active;

    result<void> listen();
    void run();
    void begin_stop();

    bool send(const node_id& node, const peer_message& message);
    bool is_connected(const node_id& node);
    link_ptr active_link(const node_id& node);

    void connect(const node_id& node, const std::string& address);
    void disconnect(const node_id& node);
    void dial(const node_id& node);
    void schedule_dial(const node_id& node);
    bool end_dial(const link_ptr& link);
    void cancel_dial(const link_ptr& link);

    link_ptr adopt_connection(const connection_type::ptr& connection, bool is_outgoing,
                              const node_id& dialed);
    void on_open(const link_ptr& link);
    void on_message(const link_ptr& link, const std::string& payload);
    void on_hello(const link_ptr& link, const hello_message& hello);
    void on_closed(const link_ptr& link);
    void write(const link_ptr& link, const std::string& bytes);
    void refuse(const link_ptr& link, const char* counter, const std::string& reason);
    void release(const link_ptr& link, const char* reason);
    void terminate(const link_ptr& link);

    void schedule_tick();
    void tick();
};

result<void> peer_endpoint::state::listen() {
    const auto address = parse_endpoint(options.address);
    if (!address) {
        return tl::unexpected<error>(address.error());
    }
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    client.clear_access_channels(websocketpp::log::alevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    // Connections copy the handlers that are set when accepting starts.
    server.set_open_handler([this](const websocketpp::connection_hdl& handle) {
        websocketpp::lib::error_code missing;
        const auto connection = server.get_con_from_hdl(handle, missing);
        if (!missing) {
            on_open(adopt_connection(connection, false, {}));
        }
    });
    websocketpp::lib::error_code code;
    server.init_asio(&io, code);
    if (!code) {
        client.init_asio(&io, code);
    }
    if (!code) {
        server.set_reuse_addr(true);
        server.listen(asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port), code);
    }
    if (!code) {
        server.start_accept(code);
    }
    if (code) {
        return fail(error_kind::invalid_settings,
                    "cannot listen at " + options.address + ": " + code.message());
    }
    return {};
}

void peer_endpoint::state::run() {
    last_tick = monotonic_now();
    schedule_tick();
    io.run();
}

void peer_endpoint::state::begin_stop() {
    is_stopping = true;
    websocketpp::lib::error_code ignored;
    server.stop_listening(ignored);
    ticker.cancel();
    for (auto& [node, target] : dials) {
        target.timer->cancel();
    }
    dials.clear();
    // The close frame goes out after the messages that are buffered.
    const auto open = links;
    for (const auto& link : open) {
        link->connection->close(websocketpp::close::status::going_away, "", ignored);
        if (ignored) {
            terminate(link);
        }
    }
    if (links.empty()) {
        io.stop();
        return;
    }
    stop_timer.expires_after(k_stop_timeout);
    stop_timer.async_wait([this](const boost::system::error_code& /*code*/) { io.stop(); });
}

link_ptr peer_endpoint::state::active_link(const node_id& node) {
    const std::lock_guard lock(mutex);
    const auto found = active.find(node);
    return found == active.end() ? nullptr : found->second;
}

bool peer_endpoint::state::is_connected(const node_id& node) {
    return active_link(node) != nullptr;
}

bool peer_endpoint::state::send(const node_id& node, const peer_message& message) {
    const link_ptr link = active_link(node);
    if (link == nullptr) {
        return false;
    }
    auto bytes = encode_peer_message(message);
    if (!bytes) {
        counters.count("peer_send_refused_total", 1.0, {{"reason", "too_large"}});
        return false;
    }
    const std::size_t size = bytes->size();
    if (link->posted.load() + link->buffered.load() + size > options.max_buffered_bytes) {
        counters.count("peer_send_refused_total", 1.0, {{"reason", "buffer_full"}});
        if (!link->is_refresh_posted.exchange(true)) {
            asio::post(io, [link] {
                link->is_refresh_posted = false;
                link->buffered = link->connection->get_buffered_amount();
            });
        }
        return false;
    }
    link->posted += size;
    asio::post(io, [this, link, bytes = std::move(*bytes)] {
        link->posted -= bytes.size();
        write(link, bytes);
    });
    counters.count("peer_messages_sent_total", 1.0,
                   {{"message", std::string(k_peer_message_names.at(message.index()))}});
    return true;
}

void peer_endpoint::state::write(const link_ptr& link, const std::string& bytes) {
    if (link->is_closed) {
        return;
    }
    const auto code = link->connection->send(bytes, websocketpp::frame::opcode::binary);
    link->buffered = link->connection->get_buffered_amount();
    if (code) {
        release(link, "send failed");
        terminate(link);
        return;
    }
    link->last_sent = monotonic_now();
}

void peer_endpoint::state::connect(const node_id& node, const std::string& address) {
    if (is_stopping || node == options.self.node) {
        return;
    }
    auto& target = dials[node];
    if (target.address == address) {
        return;
    }
    target.address = address;
    target.failures = 0;
    if (target.timer == nullptr) {
        target.timer = std::make_shared<asio::steady_timer>(io);
    }
    target.timer->cancel();
    dial(node);
}

void peer_endpoint::state::disconnect(const node_id& node) {
    if (const auto found = dials.find(node); found != dials.end()) {
        found->second.timer->cancel();
        const link_ptr dialed = std::move(found->second.link);
        dials.erase(found);
        if (dialed != nullptr && !dialed->hello) {
            cancel_dial(dialed);
        }
    }
    if (const link_ptr link = active_link(node)) {
        release(link, "disconnect requested");
        websocketpp::lib::error_code code;
        link->connection->close(websocketpp::close::status::normal, "", code);
    }
}

void peer_endpoint::state::dial(const node_id& node) {
    const auto found = dials.find(node);
    if (is_stopping || found == dials.end() || found->second.link != nullptr || is_connected(node)) {
        return;
    }
    websocketpp::lib::error_code code;
    const auto connection = client.get_connection("ws://" + found->second.address + "/", code);
    if (code) {
        log_event(log_level::error, "peer_address_unusable",
                  {{"node", node}, {"address", found->second.address}});
        return;
    }
    const link_ptr link = adopt_connection(connection, true, node);
    found->second.link = link;
    connection->set_open_handler(
        [this, weak = std::weak_ptr<peer_link>(link)](const websocketpp::connection_hdl& /*handle*/) {
            if (const link_ptr opened = weak.lock()) {
                on_open(opened);
            }
        });
    client.connect(connection);
}

void peer_endpoint::state::schedule_dial(const node_id& node) {
    const auto found = dials.find(node);
    if (is_stopping || found == dials.end()) {
        return;
    }
    auto& target = found->second;
    const auto doubled =
        options.min_reconnect_delay * (1U << std::min(target.failures, k_max_backoff_doublings));
    const auto delay = std::min<milliseconds>(doubled, options.max_reconnect_delay);
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    ++target.failures;
    target.timer->expires_after(
        std::chrono::duration_cast<std::chrono::microseconds>(delay * factor(random)));
    target.timer->async_wait([this, node](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            dial(node);
        }
    });
}

// Returns whether the link was the last one that was dialed for its node, so that the node may be dialed
// again.
bool peer_endpoint::state::end_dial(const link_ptr& link) {
    const auto found = dials.find(link->dialed);
    if (!link->is_outgoing || found == dials.end() || found->second.link != link) {
        return false;
    }
    found->second.link.reset();
    return true;
}

// Ends a connection that is not in use yet. One that is still being opened ends in `on_open`.
void peer_endpoint::state::cancel_dial(const link_ptr& link) {
    link->is_closed = true;
    if (link->connection->get_state() == websocketpp::session::state::open) {
        terminate(link);
    }
}

link_ptr peer_endpoint::state::adopt_connection(const connection_type::ptr& connection, bool is_outgoing,
                                                const node_id& dialed) {
    auto link = std::make_shared<peer_link>();
    link->connection = connection;
    link->is_outgoing = is_outgoing;
    link->dialed = dialed;
    link->opened = monotonic_now();
    link->last_received = link->opened;
    links.insert(link);
    // The link holds the connection, so the connection's handlers hold the link weakly.
    const std::weak_ptr<peer_link> weak = link;
    const auto on_end = [this, weak](const websocketpp::connection_hdl& /*handle*/) {
        if (const link_ptr ended = weak.lock()) {
            on_closed(ended);
        }
    };
    connection->set_fail_handler(on_end);
    connection->set_close_handler(on_end);
    connection->set_message_handler([this, weak](const websocketpp::connection_hdl& /*handle*/,
                                                 const connection_type::message_ptr& message) {
        if (const link_ptr receiver = weak.lock()) {
            on_message(receiver, message->get_payload());
        }
    });
    connection->set_pong_handler(
        [weak](const websocketpp::connection_hdl& /*handle*/, const std::string& payload) {
            if (const link_ptr receiver = weak.lock()) {
                receiver->last_received = monotonic_now();
                receiver->peer_interval = read_interval(payload).value_or(receiver->peer_interval);
            }
        });
    return link;
}

void peer_endpoint::state::on_open(const link_ptr& link) {
    if (link->is_closed) {
        terminate(link);
        return;
    }
    boost::system::error_code ignored;
    link->connection->get_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    link->opened = monotonic_now();
    link->last_received = link->opened;
    if (is_stopping || links.size() > options.max_connections) {
        refuse(link, "peer_connections_refused_total", "too many connections");
        return;
    }
    const auto bytes = encode_peer_message(options.self);
    if (bytes) {
        write(link, *bytes);
    }
}

void peer_endpoint::state::on_message(const link_ptr& link, const std::string& payload) {
    if (link->is_closed) {
        return;
    }
    link->last_received = monotonic_now();
    auto message = decode_peer_message(payload);
    if (!message) {
        refuse(link, "peer_malformed_messages_total", message.error().detail);
        return;
    }
    const auto* hello = std::get_if<hello_message>(&*message);
    if ((hello != nullptr) == link->hello.has_value()) {
        refuse(link, "peer_malformed_messages_total", "hello is the first message, and only the first");
        return;
    }
    if (hello != nullptr) {
        on_hello(link, *hello);
        return;
    }
    counters.count("peer_messages_received_total", 1.0,
                   {{"message", std::string(k_peer_message_names.at(message->index()))}});
    if (events.on_message) {
        events.on_message(link->hello->node, std::move(*message));
    }
}

void peer_endpoint::state::on_hello(const link_ptr& link, const hello_message& hello) {
    if (hello.protocol != options.self.protocol) {
        refuse(link, "peer_connections_refused_total", "another protocol version");
        return;
    }
    if (hello.node == options.self.node || hello.node.empty() ||
        (!link->dialed.empty() && hello.node != link->dialed)) {
        refuse(link, "peer_connections_refused_total", "not the expected node");
        return;
    }
    link->established = monotonic_now();
    if (const link_ptr existing = active_link(hello.node)) {
        const auto initiator = [this, &hello](const link_ptr& of) {
            return of->dialed.empty() ? hello.node : options.self.node;
        };
        const auto choice =
            choose_link({existing->hello->incarnation, initiator(existing), existing->established},
                        {hello.incarnation, initiator(link), link->established});
        counters.count("peer_replaced_total", 1.0,
                       {{"choice", std::string(name_of(k_link_choice_names, choice))}});
        if (choice == link_choice::keep_existing) {
            link->is_closed = true;
            terminate(link);
            return;
        }
        release(existing, "replaced");
        terminate(existing);
    }
    link->hello = hello;
    {
        const std::lock_guard lock(mutex);
        active[hello.node] = link;
        counters.set("peer_connections", static_cast<double>(active.size()));
    }
    if (const auto found = dials.find(hello.node); found != dials.end()) {
        found->second.failures = 0;
    }
    log_event(log_level::info, "peer_connected",
              {{"node", hello.node}, {"incarnation", std::to_string(hello.incarnation)}});
    if (events.on_connected) {
        events.on_connected(hello);
    }
}

// The connection has ended or could not be opened.
void peer_endpoint::state::on_closed(const link_ptr& link) {
    release(link, "connection closed");
    links.erase(link);
    if (end_dial(link)) {
        schedule_dial(link->dialed);
    } else if (!link->is_outgoing && link->hello) {
        // This side may have closed its own connection in favour of the peer's.
        schedule_dial(link->hello->node);
    }
    if (is_stopping && links.empty()) {
        io.stop();
    }
}

void peer_endpoint::state::refuse(const link_ptr& link, const char* counter, const std::string& reason) {
    counters.count(counter);
    release(link, "refused");
    websocketpp::lib::error_code code;
    link->connection->close(websocketpp::close::status::protocol_error, reason.substr(0, k_max_close_reason),
                            code);
    if (code) {
        terminate(link);
    }
}

// Stops using a link and reports the disconnection. The caller closes the websocket if it is still open.
void peer_endpoint::state::release(const link_ptr& link, const char* reason) {
    link->is_closed = true;
    if (!link->hello) {
        return;
    }
    {
        const std::lock_guard lock(mutex);
        const auto found = active.find(link->hello->node);
        if (found == active.end() || found->second != link) {
            return;
        }
        active.erase(found);
        counters.set("peer_connections", static_cast<double>(active.size()));
    }
    log_event(log_level::info, "peer_disconnected", {{"node", link->hello->node}, {"reason", reason}});
    if (events.on_disconnected) {
        events.on_disconnected(link->hello->node);
    }
}

void peer_endpoint::state::terminate(const link_ptr& link) {
    // Posted, since websocketpp may be in the middle of reading from this connection.
    asio::post(io, [link] {
        link->connection->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
    });
}

void peer_endpoint::state::schedule_tick() {
    ticker.expires_after(options.heartbeat_interval);
    ticker.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled && !is_stopping) {
            tick();
            schedule_tick();
        }
    });
}

void peer_endpoint::state::tick() {
    const time_point now = monotonic_now();
    // After this process was paused, messages that peers sent meanwhile are still unread, so the time by
    // which the tick is late does not count towards the timeout.
    const auto late = std::max(now - last_tick - options.heartbeat_interval, time_point::duration::zero());
    last_tick = now;
    const auto open = links;
    const milliseconds interval =
        std::clamp(options.heartbeat_interval_per_connection * static_cast<int>(open.size()),
                   options.heartbeat_interval, k_max_heartbeat_interval);
    for (const auto& link : open) {
        link->buffered = link->connection->get_buffered_amount();
        if (link->connection->get_state() != websocketpp::session::state::open) {
            continue;
        }
        link->last_received = std::min(link->last_received + late, now);
        const milliseconds limit =
            std::max(options.heartbeat_timeout, k_missed_heartbeats * link->peer_interval);
        const bool is_silent = now - link->last_received > limit;
        const bool has_no_hello = !link->hello && now - link->opened > k_hello_timeout;
        if (is_silent || has_no_hello) {
            counters.count("peer_silent_total");
            release(link, "silent");
            terminate(link);
            continue;
        }
        // Half an interval of slack, so that a message sent just after the last tick does not double the
        // interval.
        if (now - link->last_sent >= link->announced - options.heartbeat_interval / 2) {
            websocketpp::lib::error_code code;
            link->connection->pong(std::to_string(interval.count()), code);
            link->last_sent = now;
            link->announced = interval;
        }
    }
}

peer_endpoint::peer_endpoint() = default;

result<std::unique_ptr<peer_endpoint>> peer_endpoint::create(const peer_endpoint_options& options,
                                                             metrics& counters) {
    // websocketpp detects the byte order in the first call, without synchronisation, so that call is made
    // here, before any I/O thread runs.
    static std::once_flag byte_order_known;
    std::call_once(byte_order_known, [] { websocketpp::lib::net::_htonll(0); });
    std::unique_ptr<peer_endpoint> endpoint(new peer_endpoint());
    endpoint->m_state = std::make_shared<state>(options, counters);
    if (auto listening = endpoint->m_state->listen(); !listening) {
        return tl::unexpected<error>(std::move(listening.error()));
    }
    return endpoint;
}

peer_endpoint::~peer_endpoint() {
    stop();
}

peer_port peer_endpoint::port() const {
    peer_port port;
    port.send = [self = m_state](const node_id& node, const peer_message& message) {
        return self->send(node, message);
    };
    port.connect = [self = m_state](const node_id& node, const std::string& address) {
        asio::post(self->io, [raw = self.get(), node, address] { raw->connect(node, address); });
    };
    port.disconnect = [self = m_state](const node_id& node) {
        asio::post(self->io, [raw = self.get(), node] { raw->disconnect(node); });
    };
    port.is_connected = [self = m_state](const node_id& node) { return self->is_connected(node); };
    return port;
}

void peer_endpoint::start(peer_events events) {
    m_state->events = std::move(events);
    m_state->thread = std::thread([raw = m_state.get()] { raw->run(); });
}

void peer_endpoint::stop() {
    if (!m_state->thread.joinable()) {
        return;
    }
    asio::post(m_state->io, [raw = m_state.get()] { raw->begin_stop(); });
    m_state->thread.join();
    const std::lock_guard lock(m_state->mutex);
    m_state->active.clear();
}

} // namespace lovage
