#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// Phases of a planned stop.
enum class leave_phase : std::uint8_t {
    /// No stop was asked for.
    serving,
    /// Not ready any more, but callers may still be sent here: requests are served that end in time.
    leaving,
    /// New connections and requests are refused; what is in progress goes on.
    closing,
    /// All is done, or the time is over.
    stopped,
};
inline constexpr std::size_t k_leave_phase_count = 4;
inline constexpr enum_names<k_leave_phase_count> k_leave_phase_names{"serving", "leaving", "closing",
                                                                     "stopped"};
static_assert(static_cast<std::size_t>(leave_phase::stopped) + 1 == k_leave_phase_count);

/// A process that was asked to stop.
struct leave_facts {
    time_point::duration since_asked{};
    /// Time from the signal to the kill.
    milliseconds grace{0};
    std::size_t requests = 0;
};

leave_phase plan_leave(const leave_facts& facts);

/// Whether a request that usually takes `usual_time` ends before the process is killed.
bool can_end_in_time(time_point::duration since_asked, milliseconds grace, time_point::duration usual_time);

} // namespace lovage
