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
    /// The grace period is nearly over: requests that are left get their final answer.
    ending,
    /// No requests and connections are left, or the grace period has ended.
    stopped,
};
inline constexpr std::size_t k_shutdown_phase_count = 5;
inline constexpr enum_names<k_shutdown_phase_count> k_shutdown_phase_names{"serving", "leaving", "closing",
                                                                           "ending", "stopped"};
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
    /// Whether new connections are accepted; some may wait in the backlog.
    bool is_listening = false;
};

/// Returns the phase of a process that was asked to shut down, so never `serving`.
shutdown_phase plan_shutdown(const shutdown_progress& facts);

/// Returns the time since the stop signal at which the phase changes at the latest if the counts stay as they
/// are.
time_point::duration next_shutdown_check(const shutdown_progress& facts);

/// Returns the time since the stop signal from which on the process tells its peers what the callers whose
/// requests it cuts at the end need there: one second before the end.
time_point::duration handover_start(milliseconds grace);

/// What is known of a request that arrives at a process which was asked to shut down.
struct late_request {
    time_point::duration since_stop_request{};
    milliseconds grace{0};
    /// How long such a request usually takes; 0 for one that takes a small part of the grace period.
    time_point::duration usual_time{};
    /// Time after which it gets its final answer in any case, by its timeout or its caller's deadline.
    milliseconds longest_time{0};
};

/// Returns whether the request may be started.
///
/// Load pattern: a planned stop of one process. As long as callers may not know of it, requests that usually
/// end in time are taken. Later ones would only arrive because their callers keep a connection, or have
/// nowhere else to go; they are taken only if they get their final answer before the end in any case, since
/// one that is cut may have run.
bool may_start_late(const late_request& request);

} // namespace lovage
