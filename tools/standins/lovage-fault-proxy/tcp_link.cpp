#include "tcp_link.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace lovage::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Limit of the delayed bytes of one direction. At the limit the link stops reading, which gives backpressure.
constexpr std::size_t k_max_queued_bytes = 4U << 20U;

} // namespace

std::shared_ptr<tcp_link> tcp_link::start(asio::io_context& context,
                                          const std::shared_ptr<listener_state>& listener,
                                          tcp::socket client) {
    std::shared_ptr<tcp_link> link(new tcp_link(context, listener, std::move(client)));
    ++listener->counts.connections;
    ++listener->counts.open;
    const std::size_t index = find_rule(listener->rules, link->m_client_ip);
    if (index < listener->rules.size() && listener->rules[index].answer_connections != 0) {
        link_rule& rule = listener->rules[index];
        link->m_answer_bytes = rule.answer_bytes;
        rule.answer_connections -= rule.answer_connections > 0 && rule.answer_bytes >= 0 ? 1 : 0;
    }
    link->apply_rules();
    return link;
}

tcp_link::tcp_link(asio::io_context& context, std::shared_ptr<listener_state> listener, tcp::socket client)
    : m_listener(std::move(listener)), m_client(std::move(client)), m_target(context),
      m_to_target(context, link_direction::to_target), m_to_client(context, link_direction::to_client) {
    boost::system::error_code ignored;
    m_client_ip = m_client.remote_endpoint(ignored).address().to_string();
    m_client.set_option(tcp::no_delay(true), ignored);
}

tcp_link::~tcp_link() {
    close();
}

void tcp_link::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    --m_listener->counts.open;
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
    m_to_target.timer.cancel();
    m_to_client.timer.cancel();
}

void tcp_link::apply_rules() {
    if (m_closed) {
        return;
    }
    m_rule = rule_for(*m_listener, m_client_ip);
    if (m_rule.state == link_state::cut) {
        ++m_listener->counts.refused;
        close();
        return;
    }
    if (!m_connected) {
        connect();
        return;
    }
    for (byte_flow* flow : {&m_to_target, &m_to_client}) {
        write(*flow);
        read(*flow);
    }
}

bool tcp_link::is_blocked(const byte_flow& flow) const {
    const bool is_blocked_after_limit =
        m_answer_limit_reached && blocks_direction(m_rule.answer_end, flow.direction);
    return is_blocked_after_limit || blocks_direction(m_rule.state, flow.direction);
}

tcp::socket& tcp_link::source(const byte_flow& flow) {
    return flow.direction == link_direction::to_target ? m_client : m_target;
}

tcp::socket& tcp_link::sink(const byte_flow& flow) {
    return flow.direction == link_direction::to_target ? m_target : m_client;
}

// Connecting is traffic to the target, so it waits while a rule blocks that direction.
void tcp_link::connect() {
    if (m_connecting || is_blocked(m_to_target)) {
        return;
    }
    m_connecting = true;
    const endpoint& target = m_listener->options.target;
    m_target.async_connect({asio::ip::make_address(target.ip), target.port},
                           [self = shared_from_this()](const boost::system::error_code& code) {
                               if (self->m_closed) {
                                   return;
                               }
                               if (code) {
                                   self->close();
                                   return;
                               }
                               boost::system::error_code ignored;
                               self->m_target.set_option(tcp::no_delay(true), ignored);
                               self->m_connected = true;
                               self->apply_rules();
                           });
}

void tcp_link::read(byte_flow& flow) {
    if (m_closed || flow.is_reading || flow.read_eof || is_blocked(flow) ||
        flow.queued_bytes >= k_max_queued_bytes) {
        return;
    }
    flow.is_reading = true;
    source(flow).async_read_some(
        asio::buffer(flow.block),
        [self = shared_from_this(), &flow](const boost::system::error_code& code, std::size_t bytes) {
            flow.is_reading = false;
            if (self->m_closed) {
                return;
            }
            if (code) {
                flow.read_eof = true;
            } else {
                time_point due = monotonic_now() + draw_delay(*self->m_listener, self->m_rule);
                due = flow.chunks.empty() ? due : std::max(due, flow.chunks.back().due);
                flow.chunks.push_back({due, std::string(flow.block.data(), bytes)});
                flow.queued_bytes += bytes;
            }
            self->write(flow);
            self->read(flow);
        });
}

void tcp_link::write(byte_flow& flow) {
    if (m_closed || flow.is_writing || is_blocked(flow)) {
        return;
    }
    if (flow.chunks.empty()) {
        // The end of each direction is forwarded on its own, so that the other direction can still finish.
        if (flow.read_eof && !std::exchange(flow.eof_forwarded, true)) {
            boost::system::error_code ignored;
            sink(flow).shutdown(tcp::socket::shutdown_send, ignored);
            if (m_to_target.eof_forwarded && m_to_client.eof_forwarded) {
                close();
            }
        }
        return;
    }
    const time_point ready = std::max(flow.chunks.front().due, flow.next_send_at);
    if (ready > monotonic_now()) {
        schedule_write(flow, ready);
        return;
    }
    if (reaches_answer_limit(flow)) {
        const auto remaining = static_cast<std::size_t>(m_answer_bytes) - flow.forwarded_bytes;
        flow.queued_bytes -= flow.chunks.front().bytes.size() - remaining;
        flow.chunks.front().bytes.resize(remaining);
        if (remaining == 0) {
            on_answer_limit();
            return;
        }
    }
    flow.is_writing = true;
    asio::async_write(
        sink(flow), asio::buffer(flow.chunks.front().bytes),
        [self = shared_from_this(), &flow](const boost::system::error_code& code, std::size_t bytes) {
            flow.is_writing = false;
            if (self->m_closed) {
                return;
            }
            if (code) {
                self->close();
                return;
            }
            self->on_written(flow, bytes);
        });
}

void tcp_link::schedule_write(byte_flow& flow, time_point until) {
    if (std::exchange(flow.is_write_scheduled, true)) {
        return;
    }
    flow.timer.expires_at(until);
    flow.timer.async_wait([self = shared_from_this(), &flow](const boost::system::error_code&) {
        flow.is_write_scheduled = false;
        self->write(flow);
    });
}

void tcp_link::on_written(byte_flow& flow, std::size_t bytes) {
    flow.chunks.pop_front();
    flow.queued_bytes -= bytes;
    flow.forwarded_bytes += bytes;
    const auto now = monotonic_now();
    if (m_rule.bytes_per_s > 0) {
        const auto cost = std::chrono::microseconds(1'000'000 * bytes / m_rule.bytes_per_s);
        flow.next_send_at = std::max(flow.next_send_at, now) + cost;
    }
    if (flow.direction == link_direction::to_target) {
        m_listener->counts.bytes_to_target += bytes;
    } else {
        m_listener->counts.bytes_to_client += bytes;
        if (m_answer_bytes >= 0 && flow.forwarded_bytes >= static_cast<std::uint64_t>(m_answer_bytes)) {
            on_answer_limit();
        }
    }
    write(flow);
    read(flow);
}

bool tcp_link::reaches_answer_limit(const byte_flow& flow) const {
    return flow.direction == link_direction::to_client && m_answer_bytes >= 0 &&
           flow.forwarded_bytes + flow.chunks.front().bytes.size() >
               static_cast<std::uint64_t>(m_answer_bytes);
}

void tcp_link::on_answer_limit() {
    m_answer_limit_reached = true;
    if (m_rule.answer_end == link_state::cut) {
        close();
    }
}

} // namespace lovage::standins
