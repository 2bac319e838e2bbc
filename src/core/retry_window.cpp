#include "lovage/core/retry_window.h"

namespace lovage {

namespace {

// Number of slices in a window. Counts expire a slice at a time, so more slices make the window more exact.
constexpr int k_slices_per_window = 10;

// Part of the budget that is kept for the most urgent rank and for streams that are nearly complete.
constexpr double k_reserved_part = 0.2;
// A stream that has delivered this part has more to lose than a new one.
constexpr double k_mostly_delivered = 0.6;

retry_window::slice& current_slice(retry_window& window, const retry_window_limits& limits, time_point now) {
    while (!window.slices.empty() && now - window.slices.front().start > limits.window) {
        window.slices.pop_front();
    }
    if (window.slices.empty() || now - window.slices.back().start > limits.window / k_slices_per_window) {
        window.slices.push_back({now, 0, 0});
    }
    return window.slices.back();
}

} // namespace

retry_window_limits limits_for(const retry_window_limits& limits, const retry_claim& claim) {
    auto open = limits;
    if (claim.is_reserving && !claim.is_most_urgent && claim.delivered < k_mostly_delivered) {
        open.ratio *= 1.0 - k_reserved_part;
        open.fixed *= 1.0 - k_reserved_part;
    }
    return open;
}

void record_first_send(retry_window& window, const retry_window_limits& limits, time_point now) {
    ++current_slice(window, limits, now).requests;
}

bool can_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now) {
    current_slice(window, limits, now);
    double requests = 0.0;
    double retries = 0.0;
    for (const auto& slice : window.slices) {
        requests += slice.requests;
        retries += slice.retries;
    }
    return retries + 1.0 <= limits.ratio * requests + limits.fixed;
}

bool try_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now) {
    if (!can_spend_retry(window, limits, now)) {
        return false;
    }
    ++window.slices.back().retries;
    return true;
}

} // namespace lovage
