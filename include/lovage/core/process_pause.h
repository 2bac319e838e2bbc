#pragma once

#include "lovage/core/time.h"

#include <cstdint>
#include <optional>

namespace lovage {

/// Lateness of a timer that shows that this process was paused (stopped, or without processor time).
inline constexpr milliseconds k_process_pause_threshold{250};

/// How long after a pause this process waits for its connections to be opened again before it concludes that
/// other entries are lost: the work that has piled up meanwhile is done at the same time.
inline constexpr milliseconds k_reconnect_after_pause{1'000};

/// The pauses of this process as far as it knows.
struct process_pauses {
    time_point last_observed{};
    /// Number of pauses since the start.
    std::uint32_t count = 0;
    /// When the last pause ended, at the latest.
    std::optional<time_point> last_end;
};

/// Records that the process runs at `now`. A timer calls it every `interval`; other threads call it before
/// they use the result, since after a pause they may run before that timer.
void observe_running(process_pauses& pauses, milliseconds interval, time_point now);

/// Whether the connections that peers closed during a pause may still be missing.
bool is_reconnecting(const process_pauses& pauses, time_point now);

} // namespace lovage
