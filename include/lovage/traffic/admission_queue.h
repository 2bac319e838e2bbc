#pragma once

#include "lovage/core/admission_wait.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/fair_queue.h"
#include "lovage/core/prefill_admission.h"
#include "lovage/ports/timer_port.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace lovage {

struct gateway_traffic;

/// Whether a request that waits can start.
struct start_condition {
    bool has_room = true;
    /// When the first target accepts requests again, if all that may serve the request pause.
    std::optional<time_point> pause_end;
    /// When the backoff of the next target ends, if there is no room.
    std::optional<time_point> backoff_end;
    /// Whether it is of the most urgent rank, for which engines are reserved: it does not wait for a turn
    /// among the starts of this process.
    bool is_most_urgent = false;
};

/// Whether a request may use the engines that are reserved for the most urgent rank.
enum class engine_claim : std::uint8_t { by_rank, reserved };
inline constexpr std::size_t k_engine_claim_count = 2;
inline constexpr enum_names<k_engine_claim_count> k_engine_claim_names{"by_rank", "reserved"};
static_assert(static_cast<std::size_t>(engine_claim::reserved) + 1 == k_engine_claim_count);

/// New requests of one service that wait for an engine with memory, or for the end of a pause that all
/// targets have asked for. Accessed only by the traffic thread.
struct admission_queue {
    /// A request that waits, and how to start it.
    struct waiting_request {
        /// Whether it also waits for memory of an engine.
        bool needs_memory = false;
        /// Whether engines are reserved for it, so that it may start before others that have no room.
        bool is_most_urgent = false;
        std::function<start_condition(engine_claim)> condition;
        std::function<void()> start;
        /// Called in place of `start` if the queue is full and another request takes its place.
        std::function<void()> refuse;
    };
    fair_queue queue;
    std::unordered_map<queue_ticket, waiting_request> waiting;
    /// Those of them that are most urgent, in order of arrival.
    std::set<queue_ticket> most_urgent;
    /// Starts of most urgent requests since another one was started from the queue, while others wait.
    std::size_t most_urgent_starts = 0;
    queue_ticket last_ticket = 0;
    /// Ends of generations or, where prefills are limited, of prefills.
    release_rate releases;
    prefill_time prefills;
    /// When the first and the last request began to wait for the end of a pause that is not over.
    struct pause_arrivals {
        time_point first{};
        time_point last{};
    };
    std::optional<pause_arrivals> pausing;
    start_pace pace;
    /// When the next check is due, if one is scheduled.
    std::optional<time_point> dispatch_at;
    timer_cancel cancel_dispatch;
};

/// Adds a request; returns its ticket, or 0 if the queue has no room for it. `place` needs no ticket.
queue_ticket wait_to_start(gateway_traffic& traffic, const std::string& service, queued_request place,
                           admission_queue::waiting_request request);

/// Counts a start of a most urgent request.
void record_most_urgent_start(admission_queue& admission);

/// Removes a request that starts no more.
void stop_waiting(admission_queue& admission, queue_ticket ticket);

/// Schedules a check whether waiting requests can start, because memory may have come free or targets may
/// accept requests again. Does nothing if none waits or an earlier check is scheduled.
void schedule_dispatch(gateway_traffic& traffic, const std::string& service,
                       milliseconds delay = milliseconds(0));

} // namespace lovage
