#pragma once

#include "lovage/core/fair_queue.h"
#include "lovage/core/result.h"
#include "lovage/core/routing.h"
#include "lovage/core/start_rate.h"
#include "lovage/core/time.h"
#include "lovage/traffic/target_table.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace lovage {

/// A session's request for a target.
struct dispatch_request {
    target_requirements need;
    queued_request place;
    /// Called without locks held, possibly on another thread, once `acquire` would return a target or an
    /// error.
    std::function<void()> wake;
};

/// Assigns free targets to sessions in the order of a fair queue. Each model version has its own queue, so
/// that a busy version does not block another. Thread-safe. Callers may hold their own lock; `wake` runs
/// through `post`, so it may take that lock.
class dispatch_scheduler {
public:
    /// `post` schedules a function on another thread. `max_queued` applies per model version.
    dispatch_scheduler(std::shared_ptr<target_table> targets, std::size_t max_queued,
                       std::function<void(std::function<void()>)> post);

    /// Returns a unique ticket, which identifies one request.
    queue_ticket next_ticket();

    /// Returns a target and counts the request in flight there, or `nullopt` if the request is queued. Fails
    /// with `overloaded` if the queue has no room for it, and with `deadline_unreachable` if it cannot start
    /// in time; in both cases it was not dispatched. If a request with the same ticket is queued already,
    /// that one takes over the need of `request`, and its state is returned.
    result<std::optional<node_id>> acquire(dispatch_request request, time_point now);

    /// Removes a request from the queue and releases a target that was granted to it but not acquired yet.
    void withdraw(queue_ticket ticket);

    /// Grants free targets to queued requests. Call it whenever a target may have become free.
    void on_capacity(time_point now);

    /// Number of queued requests.
    std::size_t waiting() const;

private:
    using version_key = std::pair<std::string, std::string>;
    struct waiting_request {
        version_key version;
        dispatch_request request;
        std::optional<node_id> granted;
        bool displaced = false;
    };
    struct version_queue {
        fair_queue queue;
        service_rate rate;
    };

    result<std::optional<node_id>> poll_waiting(queue_ticket ticket);
    result<std::optional<node_id>> enqueue_request(dispatch_request request, time_point now);
    void grant_waiting(version_queue& version, time_point now);
    void wake_up(const waiting_request& waiting);

    const std::shared_ptr<target_table> m_targets;
    const std::size_t m_max_queued;
    const std::function<void(std::function<void()>)> m_post;
    std::atomic<queue_ticket> m_next_ticket{1};
    mutable std::mutex m_mutex;
    std::map<version_key, version_queue> m_versions;
    std::unordered_map<queue_ticket, waiting_request> m_waiting;
};

} // namespace lovage
