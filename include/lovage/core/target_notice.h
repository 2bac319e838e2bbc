#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/target_record.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovage {

/// What one start of a target has asked of this process in its answers.
struct target_notice {
    /// `target_record::started_ms` of that start; 0 if unknown.
    std::uint64_t started_ms = 0;
    bool is_leaving = false;
    /// The target wants no requests until then.
    time_point paused_until{};
    /// Whether the pause, and a statement that could not be read, have been logged.
    bool is_pause_logged = false;
    bool is_invalid_logged = false;
    /// When the notice was last updated.
    time_point recorded{};
};

/// What this process would send to a target.
enum class work_kind : std::uint8_t {
    /// A caller's request, a standby copy, or a query that prepares one of them.
    new_work,
    /// A call about a generation that runs there: a probe, a further copy of it, the release of a copy.
    running_work,
};
inline constexpr std::size_t k_work_kind_count = 2;
inline constexpr enum_names<k_work_kind_count> k_work_kind_names{"new_work", "running_work"};
static_assert(static_cast<std::size_t>(work_kind::running_work) + 1 == k_work_kind_count);

/// Whether a target accepts work.
enum class acceptance : std::uint8_t {
    accepting,
    /// Not before the end of the pause that the target asked for.
    paused,
    /// Not until the target starts anew.
    leaving,
};
inline constexpr std::size_t k_acceptance_count = 3;
inline constexpr enum_names<k_acceptance_count> k_acceptance_names{"accepting", "paused", "leaving"};
static_assert(static_cast<std::size_t>(acceptance::leaving) + 1 == k_acceptance_count);

/// The result of `availability_of`.
struct target_availability {
    acceptance state = acceptance::accepting;
    /// When the target accepts work again; set only while it is paused.
    time_point until{};
};

/// Decides whether work may be sent to a target now, from its registration and its notice. The backoff after
/// a failure is a preference of `target_choice`: without another target, work goes there nevertheless.
target_availability availability_of(const target_notice& notice, const target_record& target, work_kind work,
                                    time_point now);

/// Records that the target that started at `started_ms` is leaving. Replaces the notice of another start.
void record_leaving(target_notice& notice, std::uint64_t started_ms, time_point now);
/// Records that the target that started at `started_ms` wants no requests for `pause`, which is limited to
/// 10 minutes. It never shortens an earlier pause of the same start: answers may arrive in any order, and
/// each one binds until its end. Replaces the notice of another start.
///
/// Load pattern: all targets of a zone refuse at one moment with the same Retry-After, so that all processes
/// would return to them at one moment. Each process adds a part of the pause, chosen by `position`, a random
/// number from 0 to 1.
void record_pause(target_notice& notice, std::uint64_t started_ms, milliseconds pause, double position,
                  time_point now);

/// Records a statement of the target that started at `started_ms` which could not be read.
void record_invalid(target_notice& notice, std::uint64_t started_ms, time_point now);

/// Whether the starts are known and differ.
bool has_started_anew(std::uint64_t noticed_ms, std::uint64_t started_ms);
/// Whether the notice of a target that has no entry can be dropped.
bool is_obsolete(const target_notice& notice, time_point now);

/// Returns when the first of the targets accepts new work again, if at least one pauses and none accepts it
/// now.
std::optional<time_point> earliest_end(const std::vector<target_availability>& targets);

/// Returns the Retry-After for a caller whose request no target accepts until `end`. `position`, a random
/// number from 0 to 1, spreads the callers over the time after the end.
milliseconds return_after_pause(time_point end, double position, time_point now);

} // namespace lovage
