#pragma once

#include "lovage/core/time.h"

#include <functional>

namespace lovage {

/// Cancels a timer: its callback is not called any more, even if the timer has expired meanwhile. Has no
/// effect after the callback was called.
using timer_cancel = std::function<void()>;

/// Clock and timers of the traffic thread; tests replace them by simulated time.
struct timer_port {
    std::function<time_point()> now;
    /// Calls `callback` once on the traffic thread after `delay`.
    std::function<timer_cancel(milliseconds delay, std::function<void()> callback)> after;
};

} // namespace lovage
