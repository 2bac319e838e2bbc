#pragma once

#include "lovage/core/target_record.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lovage {

/// What a target has asked of this process in its answers.
struct target_notice {
    bool is_leaving = false;
    /// `target_record::started_ms` of the target that is leaving; 0 if unknown.
    std::uint64_t started_ms = 0;
    /// The target wants no requests until then.
    time_point paused_until{};
    /// When the notice was last updated.
    time_point recorded{};
};

/// Records that the target that started at `started_ms` is leaving.
void record_leaving(target_notice& notice, std::uint64_t started_ms, time_point now);
/// Records that the target wants no requests for `pause`, which is limited to 10 minutes. It never shortens
/// an earlier pause.
void record_pause(target_notice& notice, milliseconds pause, time_point now);

/// Whether the notice is that of a target that is leaving and has not started anew since.
bool is_leaving(const target_notice& notice, const target_record& target);
/// Whether the target may get new work.
bool accepts_requests(const target_notice& notice, const target_record& target, time_point now);
/// Whether the notice of a target that has no entry can be dropped.
bool is_obsolete(const target_notice& notice, time_point now);

/// Returns when the first of the targets accepts requests again, from the end of each one's pause. Returns
/// nothing if there are no targets or one accepts requests now.
std::optional<time_point> earliest_end(const std::vector<time_point>& pauses, time_point now);

/// Returns the Retry-After for a caller whose request no target accepts until `end`.
milliseconds return_after_pause(time_point end, time_point now);

} // namespace lovage
