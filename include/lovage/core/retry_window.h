#pragma once

#include "lovage/core/time.h"

#include <cstdint>
#include <deque>

namespace lovage {

/// Limits of this process's part of the retry budget that all processes share: a fraction of its own requests
/// in a sliding window, plus a fixed number of retries.
struct retry_window_limits {
    /// Retries allowed per request in the window.
    double ratio = 0.1;
    /// Retries allowed per window regardless of requests.
    double fixed = 10.0;
    milliseconds window{10'000};
};

/// Who asks for a retry, for the part of the budget that is open to it.
struct retry_claim {
    /// Whether less urgent requests share the budget, so that a part of it is reserved.
    bool is_reserving = false;
    /// Whether it is of the most urgent rank.
    bool is_most_urgent = false;
    /// Part of the answer that its caller has received, 0 to 1.
    double delivered = 0.0;
};

/// Returns the part of the limits that the claim may spend.
///
/// Load pattern: waves of failures spend the budget within a second. First come, first served, an urgent
/// stream or one near its end then finds nothing left, although it loses the most.
retry_window_limits limits_for(const retry_window_limits& limits, const retry_claim& claim);

/// Counts of the requests and retries of one service, in slices of the sliding window, oldest first.
struct retry_window {
    struct slice {
        time_point start{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::deque<slice> slices;
};

/// Counts a request at its first send; retries of it are not counted here.
void record_first_send(retry_window& window, const retry_window_limits& limits, time_point now);

/// Returns whether the budget of the window allows another retry.
bool can_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now);

/// Counts one retry; returns false if the budget of the window is exhausted.
bool try_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now);

} // namespace lovage
