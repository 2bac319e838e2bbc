#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// Phases of a graceful shutdown.
enum class shutdown_phase : std::uint8_t {
    /// No shutdown was requested.
    serving,
    /// The readiness probe fails, but the platform may still route callers here; requests that can finish
    /// before the kill are served.
    leaving,
    /// New connections and requests are refused and idle connections are closed; requests in progress
    /// continue.
    closing,
    /// No requests and connections are left, or the grace period has ended.
    stopped,
};
inline constexpr std::size_t k_shutdown_phase_count = 4;
inline constexpr enum_names<k_shutdown_phase_count> k_shutdown_phase_names{"serving", "leaving", "closing",
                                                                           "stopped"};
static_assert(static_cast<std::size_t>(shutdown_phase::stopped) + 1 == k_shutdown_phase_count);

/// The progress of a process that was asked to shut down.
struct shutdown_progress {
    /// Time since the stop signal.
    time_point::duration since_stop_request{};
    /// Grace period: the time from the stop signal to the kill.
    milliseconds grace{0};
    /// Requests that are being read or served, or whose answers have not been sent yet.
    std::size_t requests = 0;
    /// Open connections of callers. One without a request may have unread bytes of its next one.
    std::size_t connections = 0;
};

/// Returns the phase of a process that was asked to shut down, so never `serving`.
shutdown_phase plan_shutdown(const shutdown_progress& facts);

/// Returns whether a request that usually takes `usual_time` can end before the process is killed.
bool can_finish_before_kill(time_point::duration since_stop_request, milliseconds grace,
                            time_point::duration usual_time);

} // namespace lovage
