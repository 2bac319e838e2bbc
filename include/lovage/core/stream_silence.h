#pragma once

#include "lovage/core/time.h"

namespace lovage {

/// The pace of one stream's events.
struct stream_pace {
    time_point last{};
    /// Running mean of the time between events in ms.
    double mean_gap_ms = 0.0;
};

void record_event(stream_pace& pace, time_point now);

/// How long the stream may be silent before its target is taken as lost. `longest_gap` is the pause within
/// which the stream is still on time (0: none is set); part of it is kept for the continuation elsewhere.
milliseconds silence_limit(const stream_pace& pace, milliseconds longest_gap);

} // namespace lovage
