#pragma once

#include "lovage/core/error_kind.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// A moving average of how many requests of a service start at targets per second.
struct service_rate {
    double per_second = 0.0;
    time_point window_start{};
    std::uint64_t started_in_window = 0;
};

/// Counts a start and updates the average after each full second.
void record_start(service_rate& rate, time_point now);

/// Whether a request is queued or refused (load shedding).
enum class start_action : std::uint8_t { queue, refuse };
inline constexpr std::size_t k_start_action_count = 2;

struct start_decision {
    start_action action = start_action::queue;
    /// The error to report; only for `refuse`.
    error_kind kind = error_kind::overloaded;
    /// Time after which a retry may succeed; only for `refuse`, 0 for the default of the kind.
    milliseconds retry_after{0};
};

/// Refuses a request that cannot start in time, because `latest_start` has passed or because `queued_ahead`
/// requests would take until after it at the measured rate. Without a measured rate the request is queued.
start_decision decide_start(const service_rate& rate, std::size_t queued_ahead, time_point latest_start,
                            time_point now);

} // namespace lovage
