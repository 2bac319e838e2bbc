#include "lovage/core/process_pause.h"

#include <algorithm>

namespace lovage {

void observe_running(process_pauses& pauses, milliseconds interval, time_point now) {
    const bool is_first = pauses.last_observed == time_point{};
    if (!is_first && now - pauses.last_observed > interval + k_process_pause_threshold) {
        ++pauses.count;
        pauses.last_end = now;
    }
    pauses.last_observed = std::max(pauses.last_observed, now);
}

bool is_reconnecting(const process_pauses& pauses, time_point now) {
    return pauses.last_end && now - *pauses.last_end < k_reconnect_after_pause;
}

} // namespace lovage
