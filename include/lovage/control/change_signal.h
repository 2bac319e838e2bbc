#pragma once

#include "lovage/core/time.h"

#include <condition_variable>
#include <mutex>

namespace lovage {

/// Lets one thread wait until something that other threads count may have changed. Thread-safe.
class change_signal {
public:
    void notify() {
        {
            const std::lock_guard lock(m_mutex);
            m_is_notified = true;
        }
        m_changed.notify_one();
    }

    /// Blocks until `notify` has been called since the last call of this function, at most until `deadline`.
    void wait_until(time_point deadline) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, deadline, [this] { return m_is_notified; });
        m_is_notified = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_notified = false;
};

} // namespace lovage
