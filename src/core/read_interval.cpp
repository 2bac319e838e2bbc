#include "lovage/core/read_interval.h"

#include <algorithm>

namespace lovage {

namespace {

// Shortest interval, which combines changes that follow each other quickly into one read.
constexpr milliseconds k_min_interval{300};
// Time between two reads of the fleet as a whole, so about the time until a change is first seen.
constexpr milliseconds k_fleet_interval{200};
// A read that times out takes 1 s, and its repetition follows after a short pause. This much of each limit is
// left for them.
constexpr milliseconds k_failed_read{1'250};
// Two reads that fail one after the other leave the keys trusted.
constexpr double k_staleness_fraction = 0.5;
// After a failure, readiness, which ends at 0.6 of the staleness limit, survives one more, and so does a
// change that must be in force.
constexpr double k_unreliable_staleness_fraction = 0.25;
constexpr double k_unreliable_change_fraction = 0.375;

milliseconds scale(milliseconds whole, double fraction) {
    return milliseconds(static_cast<std::int64_t>(fraction * static_cast<double>(whole.count())));
}

milliseconds longest_interval(const freshness_limits& limits, bool is_reliable) {
    const auto change = std::min(limits.drain, limits.config);
    if (!is_reliable) {
        return std::min(scale(change, k_unreliable_change_fraction),
                        scale(limits.key_staleness, k_unreliable_staleness_fraction));
    }
    return std::min(change - k_failed_read, scale(limits.key_staleness, k_staleness_fraction));
}

} // namespace

milliseconds read_interval(std::size_t live_peers, const freshness_limits& limits, bool is_reliable) {
    const auto shared = k_fleet_interval * (live_peers + 1);
    return std::max(std::min<milliseconds>(shared, longest_interval(limits, is_reliable)), k_min_interval);
}

milliseconds plan_read_pause(const read_progress& progress, const freshness_limits& limits) {
    const bool is_behind = progress.announced_revision > progress.revision;
    const auto interval =
        is_behind ? k_min_interval : read_interval(progress.live_peers, limits, progress.is_reliable);
    const auto left = std::chrono::ceil<milliseconds>(interval - progress.since_last_read);
    return std::max(left, milliseconds(0));
}

} // namespace lovage
