#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovage {

/// One budget in bytes for all that a gateway holds for callers and targets.
///
/// Load pattern: clients that respect no limits. They send bodies that stop before their end, more than they
/// announced or than is allowed, and requests whose answers they do not read. Each of them stays within the
/// limits of one request for a while; together they hold more than the machine has.

/// What a connection holds its memory for.
enum class holder_state : std::uint8_t {
    /// No request; nothing would be gained by closing it.
    idle,
    /// A request that has not arrived whole.
    reading,
    /// A request that waits for a target or runs at one.
    running,
    /// An answer that the caller does not read.
    unread
};
inline constexpr std::size_t k_holder_state_count = 4;
inline constexpr enum_names<k_holder_state_count> k_holder_state_names{"idle", "reading", "running",
                                                                       "unread"};
static_assert(static_cast<std::size_t>(holder_state::unread) + 1 == k_holder_state_count);

/// The budget and what is charged to it, in bytes.
struct memory_account {
    std::size_t budget = 0;
    std::size_t held = 0;
    /// Part of `held` in buffers of cancelled reads, which are freed as soon as the reads have ended.
    std::size_t releasing = 0;
};

/// One connection's part of what is held.
struct memory_holder {
    /// Position of the connection in the caller's list.
    std::size_t index = 0;
    holder_state state = holder_state::idle;
    std::size_t bytes = 0;
    /// Time since the first byte of its request.
    time_point::duration age{};
};

/// Memory of a process in MB if the settings state none.
inline constexpr double k_default_memory_mb = 160.0;

/// Returns the budget in bytes of a process that may use `memory_mb` MB.
std::size_t memory_budget_of(double memory_mb);

/// Whether a connection that holds `held` bytes may hold `extra` more. The last quarter of the budget is only
/// for connections that hold little, so that bodies do not keep ordinary requests from being read.
bool may_hold(const memory_account& account, std::size_t held, std::size_t extra);

/// Returns by how many bytes the budget is too small for that; 0 if it suffices.
std::size_t missing_bytes(const memory_account& account, std::size_t held, std::size_t extra);

/// Returns the capacity of a buffer that must hold `needed` bytes and will never hold more than `most`. It
/// doubles, so that a body is copied once on average, and does not pass what the body can need.
std::size_t grown_capacity(std::size_t capacity, std::size_t needed, std::size_t most);

/// Returns the connections to cut, in order, so that `missing` bytes become free, the largest and slowest
/// first: by the product of the bytes held and the time for which the request has held them. A request that
/// arrives at an ordinary rate is therefore the last of its size. `waiting` is the connection that waits for
/// the bytes, which may be the last one cut; no request that runs is cut for it. Without one, more is held
/// than the budget, and requests that run are cut after all others, the largest first.
std::vector<std::size_t> plan_cuts(std::vector<memory_holder> holders, std::size_t missing,
                                   std::optional<std::size_t> waiting);

} // namespace lovage
