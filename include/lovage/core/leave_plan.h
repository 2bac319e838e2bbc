#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// Phases of a graceful shutdown.
enum class leave_phase : std::uint8_t {
    /// No shutdown was requested.
    serving,
    /// The readiness probe fails, but the platform may still route callers here; requests that can finish
    /// before the kill are served.
    leaving,
    /// New connections and requests are refused; requests in progress continue.
    closing,
    /// No requests are left, or the grace period has ended.
    stopped,
};
inline constexpr std::size_t k_leave_phase_count = 4;
inline constexpr enum_names<k_leave_phase_count> k_leave_phase_names{"serving", "leaving", "closing",
                                                                     "stopped"};
static_assert(static_cast<std::size_t>(leave_phase::stopped) + 1 == k_leave_phase_count);

/// The progress of a process that was asked to shut down.
struct leave_facts {
    /// Time since the stop signal.
    time_point::duration since_asked{};
    /// Grace period: the time from the stop signal to the kill.
    milliseconds grace{0};
    /// Requests in progress.
    std::size_t requests = 0;
};

/// Returns the phase of a process that was asked to shut down, so never `serving`.
leave_phase plan_leave(const leave_facts& facts);

/// Returns whether a request that usually takes `usual_time` can end before the process is killed.
bool can_end_in_time(time_point::duration since_asked, milliseconds grace, time_point::duration usual_time);

} // namespace lovage
