#include "lovage/adapters/peer_endpoint.h"

#include "peer_endpoint_state.h"

#include "lovage/adapters/settings.h"

#include <mutex>
#include <utility>

namespace lovage {

namespace {

namespace asio = boost::asio;

constexpr milliseconds k_stop_timeout{500};

} // namespace

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
