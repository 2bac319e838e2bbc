#pragma once

#include "lovage/core/target_choice.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovage {

/// Decides which generations have a standby copy.
///
/// Load pattern: engines that crash a zone at a time while most of the memory is in use. A generation that
/// loses its engine without a copy is prefilled once more, which takes longer than its longest gap and slows
/// other streams; a copy that takes the memory of a run keeps a caller waiting. Copies are therefore made
/// later for generations that found no memory at their start, and are released for runs, those of the least
/// urgent rank and with the fewest events left first.

/// The usual number of events of a service's generations, for an estimate of what is left of one.
struct stream_length {
    /// Moving average of the events of a complete stream per token of its longest output; 0 before the first.
    double events_per_token = 0.0;
};

/// Records a complete stream. Ignores one without events or whose longest output is unknown (0).
void record_stream_length(stream_length& length, std::uint64_t events, std::uint64_t max_output_tokens);

/// Returns the part of a generation's events that is left, from 0 to 1; 1 as long as nothing is known.
double part_left(const stream_length& length, std::uint64_t events, std::uint64_t max_output_tokens);

/// The engines that a generation may use, and how many of them have memory for a run of its size.
struct memory_room {
    std::size_t engines = 0;
    std::size_t engines_with_memory = 0;
};

/// Returns the memory at the candidates that are neither excluded nor in their backoff.
memory_room memory_room_of(const std::vector<target_candidate>& candidates, const placement& placement);

/// What a generation's copy is worth.
struct copy_value {
    /// 0 is the most urgent.
    std::int64_t rank = 0;
    /// Part of the generation's events that is left, from 0 to 1.
    double left = 1.0;
};

/// Returns the part of an engine's memory up to which a copy may be added there. Where prefills are limited,
/// admission bounds the runs, so that copies may take more.
double max_copy_fraction(bool limits_prefills, std::int64_t rank);

/// Returns whether a generation gets a copy now, at a service whose prefills are limited.
bool is_copy_worthwhile(const copy_value& value, const memory_room& room);

/// Returns the index of the copy to release for the memory of runs: that of the least urgent rank and, within
/// it, with the least left. Nothing while memory suffices, or if all of `copies` are of generations of rank 0
/// with much left.
std::optional<std::size_t> choose_copy_to_release(const std::vector<copy_value>& copies,
                                                  const memory_room& room);

} // namespace lovage
