#pragma once

#include "lovage/core/time.h"

namespace lovage {

/// The times between the events of one stream.
struct stream_timing {
    /// Arrival of the last event. Until the first event, the owner of an attempt may store its start here;
    /// zero if nothing was recorded.
    time_point last{};
    /// Moving average of the time between events in ms; 0 before the second event.
    double mean_gap_ms = 0.0;
};

/// Records that an event arrived at `now`.
void record_event(stream_timing& timing, time_point now);

/// Returns the stall timeout of the stream: the time without an event after which its target counts as lost.
/// `max_gap` is the objective for the gap between events (0 for none); a part of it is reserved for the
/// resume at another target.
milliseconds stream_stall_timeout(const stream_timing& timing, milliseconds max_gap);

} // namespace lovage
