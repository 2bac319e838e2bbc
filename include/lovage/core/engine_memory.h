#pragma once

#include <cstdint>

namespace lovage {

/// The KV memory of an engine in tokens, as far as the gateways know it.
///
/// Load pattern: a burst of long prompts while a zone is lost. If placement counts requests only, the
/// remaining engines get more runs and standby copies than their memory holds. They then preempt running
/// generations, whose prompts are read again, which keeps them full after the burst has ended.
struct engine_memory {
    /// Capacity; 0 if unknown or if the target is not an engine.
    std::uint64_t capacity = 0;
    /// Tokens that running generations and standby copies of all known processes will need.
    std::uint64_t reserved = 0;
};

/// Returns the memory that a generation needs until it ends: its prompt and its longest output.
constexpr std::uint64_t generation_tokens(std::uint64_t prompt_tokens, std::uint64_t max_output_tokens) {
    return prompt_tokens + max_output_tokens;
}

/// Returns whether an empty engine can run a generation of this size at all; true if the capacity is unknown.
bool can_ever_run(std::uint64_t capacity, std::uint64_t tokens);

/// Returns the cost of placing a run of this size, in units of one running request: 0 while the memory
/// suffices, and growing with the tokens that would have to be preempted.
double memory_cost(const engine_memory& memory, std::uint64_t tokens);

/// Part of an engine's memory above which usually no copy is added: a copy only helps if its run's engine is
/// lost, while a run that finds no memory delays the others at once.
inline constexpr double k_copy_fraction = 0.6;

/// Returns whether a standby copy of this size leaves enough memory for the engine's own runs. `max_fraction`
/// is the part of the memory up to which copies may fill it.
bool has_room_for_copy(const engine_memory& memory, std::uint64_t tokens,
                       double max_fraction = k_copy_fraction);

} // namespace lovage
