#pragma once

#include "lovage/core/time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace lovage {

/// A bounded, thread-safe queue with any number of producers and one consumer, which blocks while it waits.
template <class Event>
class event_queue {
public:
    explicit event_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// Adds an event without blocking. Returns false if the queue is closed, or if fewer than `reserve` + 1
    /// slots are free; the latter counts as rejected. Producers of events that must not be lost pass 0; all
    /// others keep some slots free for them.
    bool push(Event event, std::size_t reserve = 0) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed) {
                return false;
            }
            if (m_events.size() + reserve >= m_capacity) {
                ++m_rejected;
                return false;
            }
            m_events.push_back(std::move(event));
        }
        m_available.notify_one();
        return true;
    }

    /// Waits until `deadline` for an event. Returns nothing if the deadline passed, or if the queue is closed
    /// and empty.
    std::optional<Event> pop_until(time_point deadline) {
        std::unique_lock lock(m_mutex);
        m_available.wait_until(lock, deadline, [this] { return !m_events.empty() || m_closed; });
        if (m_events.empty()) {
            return std::nullopt;
        }
        std::optional<Event> event(std::move(m_events.front()));
        m_events.pop_front();
        return event;
    }

    /// Rejects further events and wakes the consumer.
    void close() {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_available.notify_all();
    }

    bool is_closed() const {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    /// Number of events rejected because too few slots were free.
    std::uint64_t rejected() const {
        const std::lock_guard lock(m_mutex);
        return m_rejected;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_available;
    std::deque<Event> m_events;
    std::size_t m_capacity;
    std::uint64_t m_rejected = 0;
    bool m_closed = false;
};

} // namespace lovage
