#pragma once

#include "lovage/core/fleet_config.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// Latency of the first token and of the gaps between tokens, for an answer or for one attempt.
struct token_latency {
    time_point started{};
    time_point last{};
    bool has_received_first_token = false;
    bool is_first_token_slow = false;
    std::uint64_t gaps = 0;
    /// Gaps longer than the objective. Tokens that arrive together share the gap before them evenly.
    std::uint64_t slow_gaps = 0;
};

/// Starts measuring at `now`. An answer that is resumed (`is_resume`) has received its first token already.
token_latency begin_token_latency(time_point now, bool is_resume);

/// Records that `count` tokens arrived together at `now`.
void add_tokens(token_latency& latency, std::size_t count, const objective& latency_objective,
                time_point now);

/// Returns whether the first token has not arrived by `now` although the objective's time for it has passed.
bool is_first_token_overdue(const token_latency& latency, const objective& latency_objective, time_point now);

/// Returns whether a finished answer missed the gap objective, which 95 of 100 gaps must meet. A single slow
/// gap is tolerated.
bool has_slow_gaps(const token_latency& latency);

/// Returns whether more than half of the gaps of an answer in progress are slow, so that it counts as slow
/// without waiting for its end.
bool is_persistently_slow(const token_latency& latency);

} // namespace lovage
