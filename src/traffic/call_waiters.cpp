#include "lovage/traffic/call_waiters.h"

#include <utility>

namespace lovage {

call_waiters::ticket::ticket(call_waiters& owner, const request_id& request, node_id agent)
    : m_owner(owner), m_request(request), m_agent(std::move(agent)) {
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_tickets.emplace(m_request, this);
}

call_waiters::ticket::~ticket() {
    const std::lock_guard lock(m_owner.m_mutex);
    const auto [begin, end] = m_owner.m_tickets.equal_range(m_request);
    for (auto it = begin; it != end; ++it) {
        if (it->second == this) {
            m_owner.m_tickets.erase(it);
            return;
        }
    }
}

result<call_result_message> call_waiters::ticket::wait_until(time_point deadline) {
    std::unique_lock lock(m_owner.m_mutex);
    m_owner.m_changed.wait_until(
        lock, deadline, [this] { return m_result.has_value() || m_disconnected || m_owner.m_is_stopped; });
    if (m_result) {
        return *m_result;
    }
    if (m_owner.m_is_stopped) {
        return fail(error_kind::leaving, "this entry has left");
    }
    if (m_disconnected) {
        return fail(error_kind::peer_unreachable, "the connection to " + m_agent + " was lost");
    }
    return fail(error_kind::deadline_exceeded, "no result from " + m_agent + " before the deadline");
}

void call_waiters::on_result(const node_id& agent, const call_result_message& message) {
    {
        const std::lock_guard lock(m_mutex);
        const auto [begin, end] = m_tickets.equal_range(message.request);
        for (auto it = begin; it != end; ++it) {
            if (it->second->m_agent == agent) {
                it->second->m_result = message;
            }
        }
    }
    m_changed.notify_all();
}

void call_waiters::on_connected(const node_id& agent, incarnation agent_incarnation) {
    {
        const std::lock_guard lock(m_mutex);
        m_connected[agent] = agent_incarnation;
    }
    m_changed.notify_all();
}

void call_waiters::on_disconnected(const node_id& agent) {
    {
        const std::lock_guard lock(m_mutex);
        m_connected.erase(agent);
        for (auto& [request, waiting] : m_tickets) {
            waiting->m_disconnected = waiting->m_disconnected || waiting->m_agent == agent;
        }
    }
    m_changed.notify_all();
}

std::optional<incarnation> call_waiters::wait_connected(const node_id& agent, time_point deadline) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, deadline, [&] { return m_connected.count(agent) > 0 || m_is_stopped; });
    const auto found = m_connected.find(agent);
    return m_is_stopped || found == m_connected.end() ? std::nullopt
                                                      : std::optional<incarnation>(found->second);
}

void call_waiters::wait_change(time_point deadline) {
    std::unique_lock lock(m_mutex);
    if (!m_is_stopped) {
        m_changed.wait_until(lock, deadline);
    }
}

void call_waiters::stop() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopped = true;
    }
    m_changed.notify_all();
}

bool call_waiters::is_stopped() const {
    const std::lock_guard lock(m_mutex);
    return m_is_stopped;
}

} // namespace lovage
