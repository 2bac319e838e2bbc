#pragma once

#include "lovage/core/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace lovage {

/// Calls a function on a thread of its own at an interval, until it is destroyed. The destructor waits for a
/// call in progress.
class poller {
public:
    poller(milliseconds interval, std::function<void()> poll);
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

private:
    void run(milliseconds interval);

    std::function<void()> m_poll;
    std::mutex m_mutex;
    std::condition_variable m_stop;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace lovage
