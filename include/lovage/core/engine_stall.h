#pragma once

#include "lovage/core/time.h"

namespace lovage {

/// Stall timeouts of a generation: how long its engine may send nothing before the generation is abandoned.
struct engine_stall_timeouts {
    /// Timeout while the engine's load endpoint responds.
    milliseconds responsive_timeout{2'000};
    /// Timeout while the load endpoint does not respond.
    milliseconds unresponsive_timeout{500};
    /// The load endpoint counts as responding for this long after a response: two polls of 200 ms and the
    /// time of a slow response.
    milliseconds max_load_age{600};
};

/// Returns whether a stream that has received nothing for `silence` has stalled. `load_age` is the time since
/// the load endpoint last responded.
constexpr bool is_stream_stalled(time_point::duration silence, time_point::duration load_age,
                                 const engine_stall_timeouts& limits) {
    return silence >
           (load_age <= limits.max_load_age ? limits.responsive_timeout : limits.unresponsive_timeout);
}

} // namespace lovage
