#pragma once

#include <chrono>
#include <ctime>

namespace lovage {

/// A point on the clock that also advances while the machine is suspended, which the monotonic clock does
/// not. Ages of information about other processes are measured by it, so that a machine that resumes from
/// suspension treats that information as stale.
using boot_time = std::chrono::duration<std::int64_t, std::micro>;

/// Reads CLOCK_BOOTTIME, in microseconds.
inline boot_time boot_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<boot_time>(std::chrono::seconds(now.tv_sec) +
                                                 std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace lovage
