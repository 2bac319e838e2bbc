#pragma once

#include "lovage/core/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lovage {

/// Runs callbacks at given times on its own thread, which blocks on a condition variable in between.
/// Thread-safe.
class timer_queue {
public:
    timer_queue();
    /// Stops the thread; pending callbacks are dropped.
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// Schedules a callback. It must not block; it may call `at`.
    void at(time_point due, std::function<void()> callback);
    /// Stops the thread before destruction, so that no callback runs while the objects it uses are destroyed.
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<time_point, std::function<void()>> m_callbacks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace lovage
