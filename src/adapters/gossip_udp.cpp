#include "lovage/adapters/gossip_udp.h"

#include "lovage/adapters/gossip_codec.h"
#include "lovage/adapters/settings.h"

#include <array>
#include <boost/asio.hpp>
#include <mutex>
#include <thread>

namespace lovage {

namespace {

using boost::asio::ip::udp;

// One byte more than the limit, to detect datagrams that are too large.
constexpr std::size_t k_receive_bytes = k_max_datagram_bytes + 1;
// Large enough for the burst of about 100 pages that a node receives when it joins.
constexpr int k_socket_buffer_bytes = 1 << 20;

} // namespace

struct gossip_udp::state {
    boost::asio::io_context context;
    udp::socket socket{context};
    std::mutex send_mutex;
    std::function<void(const std::string&, double)> count;
    gossip_receiver receiver;
    std::array<char, k_receive_bytes> buffer{};
    udp::endpoint from;
    std::thread thread;

    void receive_next();
    void handle(std::size_t size);
    void send(const std::string& address, const gossip_message& message);
};

void gossip_udp::state::receive_next() {
    socket.async_receive_from(boost::asio::buffer(buffer), from,
                              [this](const boost::system::error_code& code, std::size_t size) {
                                  if (code == boost::asio::error::operation_aborted) {
                                      return;
                                  }
                                  // Other errors concern an earlier datagram that could not be delivered.
                                  if (!code) {
                                      handle(size);
                                  }
                                  receive_next();
                              });
}

void gossip_udp::state::handle(std::size_t size) {
    count("gossip_received", 1.0);
    count("gossip_received_bytes", static_cast<double>(size));
    auto message = decode_gossip({buffer.data(), size});
    if (!message) {
        count("gossip_malformed", 1.0);
        return;
    }
    receiver(std::move(*message), from.address().to_string() + ":" + std::to_string(from.port()));
}

void gossip_udp::state::send(const std::string& address, const gossip_message& message) {
    const auto remote = parse_endpoint(address);
    if (!remote) {
        count("gossip_send_failed", 1.0);
        return;
    }
    const auto bytes = encode_gossip(message);
    boost::system::error_code code;
    {
        const std::lock_guard lock(send_mutex);
        socket.send_to(boost::asio::buffer(bytes),
                       udp::endpoint(boost::asio::ip::make_address(remote->ip), remote->port), 0, code);
    }
    if (code) {
        count("gossip_send_failed", 1.0);
        return;
    }
    count("gossip_sent", 1.0);
    count("gossip_sent_bytes", static_cast<double>(bytes.size()));
}

gossip_udp::gossip_udp() : m_state(std::make_unique<state>()) {}

result<std::unique_ptr<gossip_udp>>
gossip_udp::open(const std::string& address, std::function<void(const std::string& name, double by)> count) {
    const auto local = parse_endpoint(address);
    if (!local) {
        return tl::unexpected<error>(local.error());
    }
    std::unique_ptr<gossip_udp> gossip(new gossip_udp());
    state& state = *gossip->m_state;
    state.count = std::move(count);
    const udp::endpoint endpoint(boost::asio::ip::make_address(local->ip), local->port);
    boost::system::error_code code;
    state.socket.open(endpoint.protocol(), code);
    if (!code) {
        boost::system::error_code ignored;
        state.socket.set_option(boost::asio::socket_base::receive_buffer_size(k_socket_buffer_bytes),
                                ignored);
        state.socket.bind(endpoint, code);
    }
    if (!code) {
        state.socket.non_blocking(true, code);
    }
    if (code) {
        return fail(error_kind::invalid_settings,
                    "cannot use UDP address " + address + ": " + code.message());
    }
    return gossip;
}

void gossip_udp::receive(gossip_receiver receiver) {
    m_state->receiver = std::move(receiver);
    m_state->receive_next();
    m_state->thread = std::thread([this] { m_state->context.run(); });
}

void gossip_udp::stop() {
    m_state->context.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

gossip_udp::~gossip_udp() {
    stop();
}

gossip_port gossip_udp::port() {
    return {[state = m_state.get()](const std::string& address, const gossip_message& message) {
        state->send(address, message);
    }};
}

} // namespace lovage
