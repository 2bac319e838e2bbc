#include "lovage/core/stream_stall.h"

#include <algorithm>

namespace lovage {

namespace {

// Weight of the newest gap in the moving average.
constexpr double k_newest_weight = 0.2;
// The stall timeout is this multiple of the mean gap, within the bounds below.
constexpr double k_timeout_per_mean_gap = 6.0;
// Shortest stall timeout: the prefill of another request on the same engine stretches gaps to about 200 ms.
constexpr double k_min_timeout_ms = 350.0;
// Longest stall timeout as a fraction of the route's objective for the longest gap between events; connecting
// to another target and its first event need the rest.
constexpr double k_max_timeout_fraction = 0.55;
// Longest stall timeout for routes without such an objective.
constexpr double k_default_max_timeout_ms = 1'000.0;

} // namespace

void record_event(stream_timing& timing, time_point now) {
    if (timing.last != time_point{}) {
        const double gap = std::chrono::duration<double, std::milli>(now - timing.last).count();
        timing.mean_gap_ms = timing.mean_gap_ms == 0.0
                                 ? gap
                                 : timing.mean_gap_ms + k_newest_weight * (gap - timing.mean_gap_ms);
    }
    timing.last = now;
}

milliseconds stream_stall_timeout(const stream_timing& timing, milliseconds max_gap) {
    const double max_timeout_ms = max_gap > milliseconds(0)
                                      ? k_max_timeout_fraction * static_cast<double>(max_gap.count())
                                      : k_default_max_timeout_ms;
    const double timeout_ms = std::max(k_min_timeout_ms, k_timeout_per_mean_gap * timing.mean_gap_ms);
    return milliseconds(
        static_cast<std::int64_t>(std::min(timeout_ms, std::max(max_timeout_ms, k_min_timeout_ms))));
}

} // namespace lovage
