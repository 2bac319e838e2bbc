#include "lovage/core/retry_window.h"

namespace lovage {

namespace {

// Number of slices in a window. Counts expire a slice at a time, so more slices make the window more exact.
constexpr int k_slices_per_window = 10;

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
