#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovage {

/// What to do with a new request while engines may be short of memory or all targets pause.
///
/// Load pattern: more long prompts arrive than the engines' memory holds. Sent on at once, each of them makes
/// an engine preempt a running generation, so that all become late. Waiting here costs no engine anything; a
/// generation that cannot start in time is refused at once, so that its caller can come back when there is
/// room.
enum class admission_step : std::uint8_t { start, wait, refuse };
inline constexpr std::size_t k_admission_step_count = 3;
inline constexpr enum_names<k_admission_step_count> k_admission_step_names{"start", "wait", "refuse"};
static_assert(static_cast<std::size_t>(admission_step::refuse) + 1 == k_admission_step_count);

/// Estimates when engines have room again, from the generations of this process that end.
struct release_rate {
    time_point last_release{};
    /// Moving average of the time between two releases in ms; 0 before the second one.
    double mean_interval_ms = 0.0;
    /// Bound on the interval that is expected; 0 for none. The measured one includes times without requests.
    milliseconds longest_interval{0};
    /// When the caller that was refused last was told to come back.
    time_point last_return{};
    /// Whether a generation of this process has ended since one that waited was started, and when that was.
    bool has_unused_release = false;
    time_point last_start{};
};

struct admission_request {
    /// Whether an engine has memory for the generation now.
    bool has_room = true;
    /// Generations that wait already and are served before it.
    std::size_t waiting_before = 0;
    /// Time for which it may wait and still meet its objective.
    time_point::duration patience{};
    /// Time until the first target accepts requests again, if all targets have asked for a pause, and the
    /// time since the first request that waits for that.
    std::optional<time_point::duration> pause_left{};
    time_point::duration waited_for_pause{};
    /// Interval at which requests that waited for the end of a pause are being started; 0 if none are.
    time_point::duration start_interval{};
    /// For a request that goes before those of all processes that are less urgent: the time between two
    /// releases at any engine. 0 for others, which wait for the releases of their own process.
    time_point::duration release_interval{};
};

/// The starts of requests that have waited for the end of a pause.
///
/// Load pattern: all targets of a service pause, and requests collect in every process. Started at one
/// moment, they would be a burst of the whole pause's requests. They are started at twice the rate at which
/// they arrived.
struct start_pace {
    /// Time between two starts; 0 if no requests have waited for a pause.
    time_point::duration interval{};
    time_point next{};
    /// Starts that are left.
    std::size_t left = 0;
};

/// Plans the starts of `waiting` requests that have arrived within `span` during a pause that ends now.
start_pace plan_starts(std::size_t waiting, time_point::duration span, time_point now);

/// Records a start at `start_pace::next`. `is_last` ends the pace.
void record_paced_start(start_pace& pace, bool is_last);

/// Records that a generation of this process has ended.
void record_release(release_rate& rate, time_point now);

/// Returns the expected time until a generation with `waiting_before` others before it can start.
milliseconds expected_wait(const release_rate& rate, std::size_t waiting_before);

/// Decides whether a new request starts, waits or is refused.
admission_step decide_admission(const release_rate& rate, const admission_request& request);

/// Returns when the next waiting generation may start if there is room. All processes see the room that one
/// of them reports; each starts as many generations as it has ended itself, or one per interval, so that
/// together they do not fill the same room many times over.
time_point next_start(const release_rate& rate, time_point now);

/// Records that a generation that waited has started.
void record_start(release_rate& rate, time_point now);

/// Returns the Retry-After of a refused caller. Callers get successive times, one release apart, after those
/// that wait here, so that they return one by one and those refused first return first.
milliseconds plan_return(release_rate& rate, std::size_t waiting, time_point now);

} // namespace lovage
