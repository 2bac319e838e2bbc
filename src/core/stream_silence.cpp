#include "lovage/core/stream_silence.h"

#include <algorithm>

namespace lovage {

namespace {

// Weight of the newest gap in the running mean.
constexpr double k_newest_weight = 0.2;
// Gaps of this many times the mean are taken as a loss, within the limits below.
constexpr double k_mean_gaps = 6.0;
// A prompt read beside a stream stretches its gaps to about 200 ms.
constexpr double k_shortest_ms = 350.0;
// Part of the longest gap that the detection may use; connecting and the first new event need the rest.
constexpr double k_detection_part = 0.55;
// Limit for routes without a longest gap.
constexpr double k_default_longest_ms = 1'000.0;

} // namespace

void record_event(stream_pace& pace, time_point now) {
    if (pace.last != time_point{}) {
        const double gap = std::chrono::duration<double, std::milli>(now - pace.last).count();
        pace.mean_gap_ms =
            pace.mean_gap_ms == 0.0 ? gap : pace.mean_gap_ms + k_newest_weight * (gap - pace.mean_gap_ms);
    }
    pace.last = now;
}

milliseconds silence_limit(const stream_pace& pace, milliseconds longest_gap) {
    const double longest = longest_gap > milliseconds(0)
                               ? k_detection_part * static_cast<double>(longest_gap.count())
                               : k_default_longest_ms;
    const double wanted = std::max(k_shortest_ms, k_mean_gaps * pace.mean_gap_ms);
    return milliseconds(static_cast<std::int64_t>(std::min(wanted, std::max(longest, k_shortest_ms))));
}

} // namespace lovage
