#include "lovage/adapters/poller.h"

#include <utility>

namespace lovage {

poller::poller(milliseconds interval, std::function<void()> poll)
    : m_poll(std::move(poll)), m_thread([this, interval] { run(interval); }) {}

poller::~poller() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
}

void poller::run(milliseconds interval) {
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping) {
        lock.unlock();
        m_poll();
        lock.lock();
        m_stop.wait_for(lock, interval, [this] { return m_is_stopping; });
    }
}

} // namespace lovage
