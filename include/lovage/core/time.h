#pragma once

#include <chrono>

namespace lovage {

using milliseconds = std::chrono::milliseconds;

/// A point on the monotonic clock, in microseconds. Decision functions get the time as an argument and never
/// read a clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// A point on the wall clock, in milliseconds, used for deadlines that processes and operators exchange.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Reads the monotonic clock of the process. Tests use simulated clocks instead.
inline time_point monotonic_now() {
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::steady_clock::now());
}
/// Reads the wall clock of the process.
inline wall_time wall_now() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace lovage
