#pragma once

#include "lovage/core/generation.h"
#include "lovage/core/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovage {

/// Identifies a queued request within one entry.
using queue_ticket = std::uint64_t;

/// A request that waits for a free target.
struct queued_request {
    queue_ticket ticket = 0;
    std::string organisation;
    /// Weight of the organisation in fair queueing; an organisation is served in proportion to it.
    double share = 1.0;
    lovage::priority priority = lovage::priority::standard;
    /// The request resumes a generation that has started; resumes are served before all new requests.
    bool is_resume = false;
    /// Expected work, for example the number of tokens to generate; at least 1.
    double cost = 1.0;
    time_point arrival{};
    /// The request expires if it has not started by this time.
    time_point latest_start{};
};

/// Start-time fair queueing (SFQ) among the organisations of one priority. State exists only for
/// organisations with queued requests or with a finish tag ahead of the virtual time, so memory grows with
/// the queued work and not with the number of organisations.
struct priority_queue_state {
    struct organisation_state {
        /// Queued requests with their start tags, in order of arrival.
        std::deque<std::pair<double, queued_request>> waiting;
        /// Finish tag of the newest request.
        double last_finish = 0.0;
        double share = 1.0;
    };
    double virtual_time = 0.0;
    std::unordered_map<std::string, organisation_state> organisations;
    /// (start tag of the oldest queued request, organisation) of each organisation with queued requests.
    std::set<std::pair<double, std::string>> heads;
};

/// The request queue of an entry process.
struct fair_queue {
    /// Limit of queued requests; resumes do not count against it.
    std::size_t max_queued = 2'000;
    /// Number of queued requests, resumes included.
    std::size_t size = 0;
    /// One of so many requests served is of each lower priority that waits, so that none starves; 0 if the
    /// higher priorities always go first.
    std::size_t floor_interval = 0;
    /// For each priority, the requests of others that were served since it was served last, while it and a
    /// higher one waited.
    std::array<std::size_t, k_priority_count> passed_over{};
    std::deque<queued_request> resumes;
    std::array<priority_queue_state, k_priority_count> by_priority;
};

/// The result of `enqueue`.
struct enqueue_outcome {
    bool accepted = false;
    /// A request that was removed because the queue was full: the newest one of the organisation with the
    /// most queued requests relative to its share.
    std::optional<queued_request> displaced;
};

/// Adds a request. If the queue is full, the newest request of the organisation with the most queued requests
/// relative to its share is removed, which may be `request` itself. Resumes are never refused or displaced.
enqueue_outcome enqueue(fair_queue& queue, queued_request request);

/// Removes and returns the next request: resumes first, then by priority, then by the smallest start tag.
/// Returns nothing if the queue is empty.
std::optional<queued_request> dequeue(fair_queue& queue);

/// Returns the request that `dequeue` would remove; null if the queue is empty. The pointer is valid until
/// the queue changes.
const queued_request* front(const fair_queue& queue);

/// Returns the first request in the order of service that satisfies `matches`; null if none does.
const queued_request* front_if(const fair_queue& queue,
                               const std::function<bool(const queued_request&)>& matches);

/// Removes and returns a request that is served out of turn, which counts against its organisation like any
/// other; nothing if it is not queued.
std::optional<queued_request> dequeue_ticket(fair_queue& queue, queue_ticket ticket);

/// Estimates from the shares how many queued requests would be served before `request` if it were added now.
std::size_t expected_position(const fair_queue& queue, const queued_request& request);

/// Removes and returns all requests whose `latest_start` has passed.
std::vector<queued_request> remove_expired(fair_queue& queue, time_point now);

/// Removes one request; returns false if it is not queued.
bool remove_ticket(fair_queue& queue, queue_ticket ticket);

/// Returns the number of organisations that the queue holds state for, counted once per priority.
std::size_t tracked_organisations(const fair_queue& queue);

} // namespace lovage
