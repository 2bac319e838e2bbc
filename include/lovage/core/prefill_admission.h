#pragma once

#include "lovage/core/target_choice.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <vector>

namespace lovage {

/// Limits the prefills that are in progress at the engines of a service.
///
/// Load pattern: more prompts arrive than the engines can prefill without delaying the streams that they run:
/// bursts, the loss of a zone of engines, and callers that return. While an engine prefills a prompt, its
/// other generations get a token per chunk of the prompt in place of one per step, which is several times
/// slower. Streams then last longer, meet more failures, outlast the grace period of a planned stop, and are
/// prefilled once more, so that the overload sustains itself after the burst. What exceeds the limit waits in
/// the gateway, where it delays nobody.

/// Prefills at the engines that may be sent a prompt, of this process and of its peers.
struct prefill_load {
    /// Engines that are neither excluded nor in their backoff.
    std::size_t engines = 0;
    /// Prefills in progress at them.
    std::size_t in_progress = 0;
    /// Engines among them without a prefill that have memory for the request.
    std::size_t free_engines = 0;
    /// Prefills of this process, and the number of processes that share the engines.
    std::size_t own_in_progress = 0;
    std::size_t processes = 1;
};

/// Returns the prefills at the candidates of a request.
prefill_load prefill_load_of(const std::vector<target_candidate>& candidates, const placement& placement);

/// What a prefill may claim.
struct prefill_claim {
    /// A prefill of this process has ended since its last start: all processes see the same room, and each
    /// one takes the place that it left itself, or one of its own share, before one that it only knows from
    /// reports.
    bool replaces_own = false;
    /// The request is of the most urgent of several ranks. A part of the engines is reserved for it, so
    /// that it need not wait for a place that less urgent ones have taken.
    bool is_most_urgent = false;
};

/// Returns whether a prefill may start.
bool has_room_for_prefill(const prefill_load& load, const prefill_claim& claim);

/// Moving average of the time from the start of an attempt to its first event, for attempts that prefill the
/// whole prompt.
struct prefill_time {
    /// In ms; 0 before the first sample.
    double mean_ms = 0.0;
};

/// Records the time of one prefill.
void record_prefill(prefill_time& time, time_point::duration taken);

/// Returns the expected time to the first event of a new generation, including an allowance for slow ones.
milliseconds expected_prefill(const prefill_time& time);

/// Returns the time between two starts of this process if all processes start equally often and the engines
/// prefill up to the limit. An interval that was measured while few requests came is longer, and says nothing
/// of what the engines take.
milliseconds longest_start_interval(const prefill_time& time, std::size_t engines, std::size_t processes);

/// Returns how long a generation may wait for its start and still meet its objective for the first event; 0
/// if it would miss it even if it started now.
milliseconds longest_prefill_wait(const prefill_time& time, milliseconds objective_left);

} // namespace lovage
