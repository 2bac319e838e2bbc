#pragma once

#include "lovage/core/time.h"

#include <functional>

namespace lovage {

/// Cancels a timer; harmless after it has run.
using timer_cancel = std::function<void()>;

/// Time on the traffic thread; tests replace it by a scripted one.
struct timer_port {
    std::function<time_point()> now;
    std::function<timer_cancel(milliseconds delay, std::function<void()> callback)> after;
};

} // namespace lovage
