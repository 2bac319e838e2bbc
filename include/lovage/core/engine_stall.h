#pragma once

#include "lovage/core/process_pause.h"
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
    /// Time that an engine may spend on computing a prompt: a prompt of 10^6 tokens at 10^4 tokens a second,
    /// with some reserve.
    milliseconds max_prompt_time{120'000};
};

/// The progress of a stream of an engine.
struct engine_progress {
    time_point started{};
    /// The last event that shows progress; `started` before the first. Silence is counted from here.
    time_point last{};
    bool has_token = false;
    /// When the generation was last checked for a stall; `started` before the first check.
    time_point last_check{};
};

/// Records the arrival of a token.
constexpr void record_token(engine_progress& progress, time_point now) {
    progress.has_token = true;
    progress.last = now;
}

/// Records a ping, by which an engine shows that it computes the prompt. After the first token it shows only
/// that the connection works.
constexpr void record_ping(engine_progress& progress, time_point now, const engine_stall_timeouts& limits) {
    if (!progress.has_token && now - progress.started <= limits.max_prompt_time) {
        progress.last = now;
    }
}

/// Records that the generation is checked for a stall, which is done at least every `interval`. Silence
/// starts anew if the check is late: the process was held up, and events of the engine and responses of its
/// load endpoint may have arrived unread.
constexpr void record_check(engine_progress& progress, milliseconds interval, time_point now) {
    if (now - progress.last_check > interval + k_process_pause_threshold) {
        progress.last = now;
    }
    progress.last_check = now;
}

/// Returns whether a stream that has received nothing for `silence` has stalled. `load_age` is the time since
/// the load endpoint last responded.
constexpr bool is_stream_stalled(time_point::duration silence, time_point::duration load_age,
                                 const engine_stall_timeouts& limits) {
    return silence >
           (load_age <= limits.max_load_age ? limits.responsive_timeout : limits.unresponsive_timeout);
}

} // namespace lovage
