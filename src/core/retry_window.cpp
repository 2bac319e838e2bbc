#include "lovage/core/retry_window.h"

namespace lovage {

namespace {

// Slices of the window; more of them follow its end more closely.
constexpr int k_slices = 10;

retry_window::slice& current_slice(retry_window& window, const retry_window_limits& limits, time_point now) {
    while (!window.slices.empty() && now - window.slices.front().start > limits.window) {
        window.slices.pop_front();
    }
    if (window.slices.empty() || now - window.slices.back().start > limits.window / k_slices) {
        window.slices.push_back({now, 0, 0});
    }
    return window.slices.back();
}

} // namespace

void record_first_send(retry_window& window, const retry_window_limits& limits, time_point now) {
    ++current_slice(window, limits, now).requests;
}

bool try_spend_retry(retry_window& window, const retry_window_limits& limits, time_point now) {
    auto& slice = current_slice(window, limits, now);
    double requests = 0.0;
    double retries = 0.0;
    for (const auto& each : window.slices) {
        requests += each.requests;
        retries += each.retries;
    }
    if (retries + 1.0 > limits.ratio * requests + limits.fixed) {
        return false;
    }
    ++slice.retries;
    return true;
}

} // namespace lovage
