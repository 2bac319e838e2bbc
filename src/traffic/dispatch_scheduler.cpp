#include "lovage/traffic/dispatch_scheduler.h"

namespace lovage {

dispatch_scheduler::dispatch_scheduler(std::shared_ptr<target_table> targets, std::size_t max_queued,
                                       std::function<void(std::function<void()>)> post)
    : m_targets(std::move(targets)), m_max_queued(max_queued), m_post(std::move(post)) {}

queue_ticket dispatch_scheduler::next_ticket() {
    return m_next_ticket++;
}

result<std::optional<node_id>> dispatch_scheduler::acquire(dispatch_request request, time_point now) {
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_waiting.find(request.place.ticket);
    if (waiting != m_waiting.end()) {
        // Exclusions of targets end with time. The first request of the queue would block it for ever with
        // old ones.
        waiting->second.request.need = std::move(request.need);
        grant_waiting(m_versions[waiting->second.version], now);
        return poll_waiting(request.place.ticket);
    }
    const auto version = m_versions.find({request.need.model, request.need.version});
    const bool is_queue_empty = version == m_versions.end() || version->second.queue.size == 0;
    if (is_queue_empty || request.place.is_resume) {
        if (auto target = m_targets->acquire(request.need, now)) {
            return target;
        }
    }
    return enqueue_request(std::move(request), now);
}

result<std::optional<node_id>> dispatch_scheduler::poll_waiting(queue_ticket ticket) {
    const auto found = m_waiting.find(ticket);
    if (found->second.displaced) {
        m_waiting.erase(found);
        return fail(error_kind::overloaded, "the queue is full and other organisations hold less of it");
    }
    if (!found->second.granted) {
        return std::optional<node_id>{};
    }
    std::optional<node_id> target = std::move(found->second.granted);
    m_waiting.erase(found);
    return target;
}

result<std::optional<node_id>> dispatch_scheduler::enqueue_request(dispatch_request request, time_point now) {
    const version_key key{request.need.model, request.need.version};
    auto& version = m_versions[key];
    version.queue.max_queued = m_max_queued;
    if (!request.place.is_resume) {
        const auto decision = decide_start(version.rate, expected_position(version.queue, request.place),
                                           request.place.latest_start, now);
        if (decision.action == start_action::refuse) {
            return tl::unexpected<error>(
                error{decision.kind, "the request cannot start before its deadline", decision.retry_after});
        }
    }
    const queue_ticket ticket = request.place.ticket;
    auto outcome = enqueue(version.queue, request.place);
    if (outcome.displaced) {
        const auto displaced_request = m_waiting.find(outcome.displaced->ticket);
        if (displaced_request != m_waiting.end()) {
            displaced_request->second.displaced = true;
            wake_up(displaced_request->second);
        }
    }
    if (!outcome.accepted) {
        return fail(error_kind::overloaded, "the queue is full and other organisations hold less of it");
    }
    m_waiting.emplace(ticket, waiting_request{key, std::move(request), std::nullopt, false});
    return std::optional<node_id>{};
}

void dispatch_scheduler::withdraw(queue_ticket ticket) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    if (found->second.granted) {
        m_targets->release(*found->second.granted);
    } else if (!found->second.displaced) {
        remove_ticket(m_versions[found->second.version].queue, ticket);
    }
    m_waiting.erase(found);
}

void dispatch_scheduler::on_capacity(time_point now) {
    const std::lock_guard lock(m_mutex);
    for (auto& [key, version] : m_versions) {
        grant_waiting(version, now);
    }
}

void dispatch_scheduler::grant_waiting(version_queue& version, time_point now) {
    while (const queued_request* next = front(version.queue)) {
        auto& waiting = m_waiting.at(next->ticket);
        auto target = m_targets->acquire(waiting.request.need, now);
        if (!target) {
            return;
        }
        dequeue(version.queue);
        record_start(version.rate, now);
        waiting.granted = std::move(target);
        wake_up(waiting);
    }
}

void dispatch_scheduler::wake_up(const waiting_request& waiting) {
    m_post(waiting.request.wake);
}

std::size_t dispatch_scheduler::waiting() const {
    const std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

} // namespace lovage
