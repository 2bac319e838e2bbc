#pragma once

#include "lovage/core/time.h"

#include <optional>

namespace lovage {

/// If the home entry of a request id (the front-end process that owns the id) changed more recently than
/// this, the previous home may have dispatched the request without this entry knowing it.
inline constexpr milliseconds k_home_settling_time{10'000};
/// How long an entry that is considered failed may still be running requests on the other side of a network
/// partition; the longest generations run for minutes.
inline constexpr milliseconds k_failure_settling_time{600'000};

/// What an entry knows about dispatches of a request id.
struct not_run_conditions {
    /// This entry is the home of the id, the one entry that dispatches its requests. Only the home can know
    /// that nothing was dispatched.
    bool is_home = false;
    /// This entry generated the id for this request, so no other process can have used it.
    bool is_fresh_id = false;
    /// A dispatch was sent that no agent refused.
    bool dispatched = false;
    /// A claim that binds the request to an agent was sent to the store.
    bool claim_sent = false;
    /// The agent bound by the claim recorded that it permanently refuses the request.
    bool has_tombstone = false;
    /// When the home of the id last changed, if it is known to have changed.
    std::optional<time_point> home_changed_at;
    /// When an entry last failed without announcing a shutdown.
    std::optional<time_point> entry_failed_at;
};

/// Returns whether it is certain that the request was not and will not be run by any dispatch so far.
bool is_not_run(const not_run_conditions& facts, time_point now);

} // namespace lovage
