#include "udp_link.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace lovage::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t k_max_flows = 1'024;
constexpr std::size_t k_max_delayed_datagrams = 10'000;

udp::endpoint to_udp(const endpoint& address) {
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

std::shared_ptr<udp_link> udp_link::start(asio::io_context& context,
                                          std::shared_ptr<listener_state> listener) {
    std::shared_ptr<udp_link> link(new udp_link(context, std::move(listener)));
    link->read_clients();
    return link;
}

udp_link::udp_link(asio::io_context& context, std::shared_ptr<listener_state> listener)
    : m_context(context), m_listener(std::move(listener)),
      m_socket(context, to_udp(m_listener->options.listen)), m_target(to_udp(m_listener->options.target)) {}

void udp_link::read_clients() {
    m_socket.async_receive_from(
        asio::buffer(m_block), m_sender,
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t bytes) {
            if (code == asio::error::operation_aborted) {
                return;
            }
            // Other errors report that an earlier datagram could not be delivered to a client.
            if (!code) {
                self->forward(self->find_or_add_flow(self->m_sender), link_direction::to_target,
                              std::string(self->m_block.data(), bytes));
            }
            self->read_clients();
        });
}

void udp_link::read_target(const std::shared_ptr<client_flow>& flow) {
    flow->to_target.async_receive_from(
        asio::buffer(flow->block), flow->sender,
        [self = shared_from_this(), flow](const boost::system::error_code& code, std::size_t bytes) {
            if (code == asio::error::operation_aborted || !flow->to_target.is_open()) {
                return;
            }
            if (!code) {
                self->forward(flow, link_direction::to_client, std::string(flow->block.data(), bytes));
            }
            self->read_target(flow);
        });
}

std::shared_ptr<udp_link::client_flow> udp_link::find_or_add_flow(const address& client) {
    auto found = m_flows.find(client);
    if (found == m_flows.end()) {
        if (m_flows.size() >= k_max_flows) {
            const auto oldest =
                std::min_element(m_flows.begin(), m_flows.end(), [](const auto& a, const auto& b) {
                    return a.second->last_used < b.second->last_used;
                });
            oldest->second->to_target.close();
            m_flows.erase(oldest);
        }
        auto flow = std::make_shared<client_flow>(m_context);
        flow->client = client;
        // A socket must be bound before it can receive.
        flow->to_target.bind({udp::v4(), 0});
        ++m_listener->counts.connections;
        found = m_flows.emplace(client, flow).first;
        read_target(flow);
        m_listener->counts.open = m_flows.size();
    }
    found->second->last_used = monotonic_now();
    return found->second;
}

void udp_link::forward(const std::shared_ptr<client_flow>& flow, link_direction direction,
                       std::string bytes) {
    const link_rule rule = rule_for(*m_listener, flow->client.address().to_string());
    const bool is_dropped = blocks_direction(rule.state, direction) ||
                            m_delayed_datagrams >= k_max_delayed_datagrams ||
                            std::uniform_real_distribution<>(0.0, 1.0)(m_listener->random) < rule.loss;
    if (is_dropped) {
        ++m_listener->counts.datagrams_lost;
        return;
    }
    const auto delay = draw_delay(*m_listener, rule);
    if (delay.count() == 0) {
        send(*flow, direction, bytes);
        return;
    }
    ++m_delayed_datagrams;
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([self = shared_from_this(), flow, direction, timer,
                       bytes = std::move(bytes)](const boost::system::error_code&) {
        --self->m_delayed_datagrams;
        self->send(*flow, direction, bytes);
    });
}

void udp_link::send(client_flow& flow, link_direction direction, const std::string& bytes) {
    // Send errors are ignored: UDP may lose datagrams.
    boost::system::error_code ignored;
    if (direction == link_direction::to_target) {
        flow.to_target.send_to(asio::buffer(bytes), m_target, 0, ignored);
        m_listener->counts.bytes_to_target += bytes.size();
    } else {
        m_socket.send_to(asio::buffer(bytes), flow.client, 0, ignored);
        m_listener->counts.bytes_to_client += bytes.size();
    }
}

} // namespace lovage::standins
