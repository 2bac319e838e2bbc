#pragma once

#include "lovage/core/time.h"

#include <cstdint>
#include <deque>

namespace lovage {

/// The part of a budget that all processes share which this process may spend: a ratio of its own requests in
/// a sliding window, plus a fixed number.
struct retry_window_limits {
    double ratio = 0.1;
    double fixed = 10.0;
    milliseconds window{10'000};
};

/// Requests and retries of one service in slices of the window.
struct retry_window {
    struct slice {
        time_point start{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::deque<slice> slices;
};

void record_first_send(retry_window& window, const retry_window_limits& limits, time_point now);

/// Whether a retry is left in the window's share.
bool can_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now);

/// Takes one retry; false if the window's share is spent.
bool try_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now);

} // namespace lovage
