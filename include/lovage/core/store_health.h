#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovage {

/// Whether the store can be reached, and when it was reached again after the last outage.
struct store_health {
    /// Whether the last call has failed.
    bool is_lost = false;
    std::optional<time_point> last_answer;
    /// End of the last outage in which entries of live targets may have expired.
    std::optional<time_point> recovered_at;
};

/// What an answer of the store ends.
enum class store_return : std::uint8_t {
    /// The call before it was answered too.
    none,
    /// A connection was reset, a watch was cut or a call was lost. No entry of a live target can have expired
    /// meanwhile, so the entries that are missing have been removed.
    interruption,
    /// The store was away for so long that entries of live targets may have expired.
    outage,
};
inline constexpr std::size_t k_store_return_count = 3;
inline constexpr enum_names<k_store_return_count> k_store_return_names{"none", "interruption", "outage"};
static_assert(static_cast<std::size_t>(store_return::outage) + 1 == k_store_return_count);

/// How long a target whose registration is missing stays in use after a store outage. A live target whose
/// lease expired during the outage registers again within 2 s of its end.
inline constexpr milliseconds k_reregistration_timeout{2'200};

/// Returns the shortest outage in which the entry of a live target can expire. The store removes entries
/// after three heartbeat intervals of silence; heartbeats may be a quarter of an interval late.
milliseconds shortest_expiry_outage(milliseconds target_heartbeat);

/// Records a call that was not answered. Returns false if the one before it was not answered either.
bool record_unanswered_call(store_health& health);

/// Records an answer that did not bring what was asked for: the rate limit refused the call, or it cannot be
/// read.
void record_refused_call(store_health& health, time_point now);

/// Records an answer; `shortest_outage` is that of `shortest_expiry_outage`.
store_return record_answered_call(store_health& health, milliseconds shortest_outage, time_point now);

/// Whether an entry that is missing has been removed; otherwise it may have expired in an outage, and its
/// target may register again until `k_reregistration_timeout` after `recovered_at`.
bool are_removals_final(const store_health& health, time_point now);

} // namespace lovage
