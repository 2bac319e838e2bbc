#pragma once

#include "lovage/core/time.h"
#include "lovage/ports/timer_port.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lovage {

/// Parses an event id; `nullopt` if it is not a number.
inline std::optional<std::uint64_t> event_number(std::string_view id) {
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    if (id.empty() || parsed.ec != std::errc{} || parsed.ptr != id.data() + id.size()) {
        return std::nullopt;
    }
    return number;
}

/// Formats a duration as whole milliseconds, for log lines.
inline std::string to_ms(time_point::duration duration) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

inline double to_seconds(time_point::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

/// Cancels a timer if it is set.
inline void cancel_timer(timer_cancel& timer) {
    if (timer) {
        std::exchange(timer, nullptr)();
    }
}

/// Returns a fraction of a duration, rounded down to milliseconds.
inline milliseconds fraction_of(milliseconds whole, double part) {
    return milliseconds(static_cast<std::int64_t>(part * static_cast<double>(whole.count())));
}

} // namespace lovage
