#include "peer_endpoint_state.h"

#include "lovage/adapters/log.h"

#include <utility>

namespace lovage {

namespace {

namespace asio = boost::asio;

// A close frame carries at most 123 bytes of reason.
constexpr std::size_t k_max_close_reason = 123;

} // namespace

peer_link_ptr peer_endpoint::state::active_link(const node_id& node) {
    const std::lock_guard lock(mutex);
    const auto found = active.find(node);
    return found == active.end() ? nullptr : found->second;
}

bool peer_endpoint::state::is_connected(const node_id& node) {
    return active_link(node) != nullptr;
}

peer_link_ptr peer_endpoint::state::adopt_connection(const peer_connection::ptr& connection, bool is_outgoing,
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
        if (const peer_link_ptr ended = weak.lock()) {
            on_closed(ended);
        }
    };
    connection->set_fail_handler(on_end);
    connection->set_close_handler(on_end);
    connection->set_message_handler([this, weak](const websocketpp::connection_hdl& /*handle*/,
                                                 const peer_connection::message_ptr& message) {
        if (const peer_link_ptr receiver = weak.lock()) {
            on_message(receiver, message->get_payload());
        }
    });
    connection->set_pong_handler(
        [weak](const websocketpp::connection_hdl& /*handle*/, const std::string& payload) {
            if (const peer_link_ptr receiver = weak.lock()) {
                on_heartbeat(*receiver, payload);
            }
        });
    return link;
}

void peer_endpoint::state::on_open(const peer_link_ptr& link) {
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

// The connection has ended or could not be opened.
void peer_endpoint::state::on_closed(const peer_link_ptr& link) {
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

void peer_endpoint::state::refuse(const peer_link_ptr& link, const char* counter, const std::string& reason) {
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
void peer_endpoint::state::release(const peer_link_ptr& link, const char* reason) {
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

void peer_endpoint::state::terminate(const peer_link_ptr& link) {
    // Posted, since websocketpp may be in the middle of reading from this connection.
    asio::post(io, [link] {
        link->connection->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
    });
}

} // namespace lovage
