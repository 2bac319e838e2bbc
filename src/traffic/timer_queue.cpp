#include "lovage/traffic/timer_queue.h"

#include <utility>

namespace lovage {

timer_queue::timer_queue() : m_thread([this] { run(); }) {}

timer_queue::~timer_queue() {
    stop();
}

void timer_queue::at(time_point due, std::function<void()> callback) {
    bool is_earliest = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        is_earliest = m_callbacks.empty() || due < m_callbacks.begin()->first;
        m_callbacks.emplace(due, std::move(callback));
    }
    if (is_earliest) {
        m_changed.notify_one();
    }
}

void timer_queue::stop() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    // Callbacks own the objects they use, and the destructors of those may call `at`, so they are destroyed
    // without the lock.
    std::multimap<time_point, std::function<void()>> dropped;
    {
        const std::lock_guard lock(m_mutex);
        dropped.swap(m_callbacks);
    }
}

void timer_queue::run() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_callbacks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const time_point due = m_callbacks.begin()->first;
        if (monotonic_now() < due) {
            m_changed.wait_until(lock, due);
            continue;
        }
        auto callback = std::move(m_callbacks.begin()->second);
        m_callbacks.erase(m_callbacks.begin());
        lock.unlock();
        callback();
        callback = nullptr;
        lock.lock();
    }
}

} // namespace lovage
