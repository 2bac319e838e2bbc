#include "lovage/core/start_rate.h"

#include <algorithm>
#include <cmath>

namespace lovage {

namespace {

constexpr std::chrono::seconds k_rate_window{1};
// Starts are recorded only while requests wait, so after a longer pause the old rate is outdated and is
// discarded.
constexpr std::chrono::seconds k_max_rate_age{5};
// Weight of the newest second in the average, which follows a change of capacity within about 5 s.
constexpr double k_newest_weight = 0.4;
constexpr double k_ms_per_second = 1'000.0;
constexpr double k_max_retry_after_ms = 30'000.0;

} // namespace

void record_start(service_rate& rate, time_point now) {
    if (rate.window_start == time_point{}) {
        rate.window_start = now;
    }
    if (now - rate.window_start >= k_max_rate_age) {
        rate = service_rate{};
        rate.window_start = now;
    }
    ++rate.started_in_window;
    const auto elapsed = now - rate.window_start;
    if (elapsed < k_rate_window) {
        return;
    }
    const double measured_per_second =
        static_cast<double>(rate.started_in_window) / std::chrono::duration<double>(elapsed).count();
    rate.per_second = rate.per_second == 0.0
                          ? measured_per_second
                          : (1.0 - k_newest_weight) * rate.per_second + k_newest_weight * measured_per_second;
    rate.window_start = now;
    rate.started_in_window = 0;
}

start_decision decide_start(const service_rate& rate, std::size_t queued_ahead, time_point latest_start,
                            time_point now) {
    if (latest_start <= now) {
        return {start_action::refuse, error_kind::deadline_exceeded, milliseconds{0}};
    }
    if (rate.per_second <= 0.0 || queued_ahead == 0) {
        return {};
    }
    const double wait_ms = k_ms_per_second * static_cast<double>(queued_ahead) / rate.per_second;
    const double time_left_ms = std::chrono::duration<double, std::milli>(latest_start - now).count();
    if (wait_ms <= time_left_ms) {
        return {};
    }
    const double retry_ms = std::min(std::ceil(wait_ms - time_left_ms), k_max_retry_after_ms);
    return {start_action::refuse, error_kind::deadline_unreachable,
            milliseconds(static_cast<std::int64_t>(retry_ms))};
}

} // namespace lovage
