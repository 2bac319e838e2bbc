#pragma once

#include "lovage/core/ids.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"

#include <optional>

namespace lovage {

/// Fences off orders of former leaders, on behalf of targets that do not check fencing numbers themselves.
struct order_guard {
    /// The highest fencing number seen; empty after a restart until the current term is known.
    std::optional<fencing_number> highest;
};

/// Records the current term as read from the store or from a peer. An older term has no effect.
void record_term(order_guard& guard, fencing_number term);

/// Checks whether the order may be carried out and records its fencing number. Fails with `not_ready` while
/// the current term is not known and with `stale_fencing` if a higher fencing number was seen.
result<void> admit_order(order_guard& guard, const order_message& order);

} // namespace lovage
