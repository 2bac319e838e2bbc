#pragma once

#include "lovage/core/time.h"

#include <optional>

namespace lovage {

/// Agents notice the loss of an entry up to a heartbeat interval (200 ms) later than the entries do, wait
/// 150 ms for it to come back, and offer its generations at their next tick (200 ms).
inline constexpr milliseconds k_offers_after_loss{600};
/// An agent offers the generations of an entry at once when that entry connects again.
inline constexpr milliseconds k_offers_after_connect{100};

/// What a home entry knows of generations of a request that agents may still offer (adoption).
struct adoption_prospects {
    /// The caller, a relay or this entry has a part of an answer, so a generation has run.
    bool holds_answer = false;
    /// When this entry lost the connection to an entry that outranks it for the request and is still lost.
    std::optional<time_point> home_lost_at;
    /// When an agent connected to this process for the first time; it may run generations of the process that
    /// had this entry's name before.
    std::optional<time_point> agent_joined_at;
};

/// Returns until when an entry without a generation of the request waits for an agent's offer before it
/// starts one; nothing if it does not wait. `wait` is for requests that hold a part of an answer whose loss
/// this entry has not seen.
std::optional<time_point> adoption_wait_end(const adoption_prospects& prospects, milliseconds wait,
                                            time_point now);

} // namespace lovage
