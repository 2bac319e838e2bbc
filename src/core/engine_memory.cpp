#include "lovage/core/engine_memory.h"

namespace lovage {

namespace {

// Part of the memory that runs may fill. The rest covers what other processes have started since their last
// report, and cached parts of prompts.
constexpr double k_usable_fraction = 0.9;
// Cost of a full engine, in running requests: more than any difference between zones or in cached prompts.
constexpr double k_full_cost = 8.0;

double fill_after(const engine_memory& memory, std::uint64_t tokens) {
    return static_cast<double>(memory.reserved + tokens) / static_cast<double>(memory.capacity);
}

} // namespace

bool can_ever_run(std::uint64_t capacity, std::uint64_t tokens) {
    return capacity == 0 || tokens <= capacity;
}

double memory_cost(const engine_memory& memory, std::uint64_t tokens) {
    if (memory.capacity == 0 || tokens == 0) {
        return 0.0;
    }
    const double fill = fill_after(memory, tokens);
    return fill <= k_usable_fraction ? 0.0 : k_full_cost * (1.0 + fill - k_usable_fraction);
}

bool has_room_for_copy(const engine_memory& memory, std::uint64_t tokens, double max_fraction) {
    return memory.capacity == 0 || tokens == 0 || fill_after(memory, tokens) <= max_fraction;
}

} // namespace lovage
