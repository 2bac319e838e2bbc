#include "lovage/core/read_interval.h"

#include <algorithm>

namespace lovage {

namespace {

// Shortest interval, which combines changes that follow each other quickly into one read.
constexpr milliseconds k_min_interval{300};
// Time between two reads of the fleet as a whole, so about the time until a change is first seen.
constexpr milliseconds k_fleet_interval{200};
// The rest of the shortest limit covers a read that fails and its repetition.
constexpr double k_change_fraction = 0.375;
// Readiness ends at 0.6 of the staleness limit. A read that times out takes about 1.4 s, so the interval
// before it may take a quarter of the limit.
constexpr double k_staleness_fraction = 0.25;

milliseconds scale(milliseconds whole, double fraction) {
    return milliseconds(static_cast<std::int64_t>(fraction * static_cast<double>(whole.count())));
}

} // namespace

milliseconds read_interval(std::size_t live_peers, const freshness_limits& limits) {
    const auto longest = std::min(scale(std::min(limits.drain, limits.config), k_change_fraction),
                                  scale(limits.key_staleness, k_staleness_fraction));
    const auto shared = k_fleet_interval * (live_peers + 1);
    return std::max(std::min<milliseconds>(shared, longest), k_min_interval);
}

milliseconds plan_read_pause(const read_progress& progress, const freshness_limits& limits) {
    const bool is_behind = progress.announced_revision > progress.revision;
    const auto interval = is_behind ? k_min_interval : read_interval(progress.live_peers, limits);
    const auto left = std::chrono::ceil<milliseconds>(interval - progress.since_last_read);
    return std::max(left, milliseconds(0));
}

} // namespace lovage
