#pragma once

#include "lovage/core/time.h"
#include "lovage/ports/timer_port.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace lovage {

/// A timer on an executor that keeps to its cancellation. Boost.Asio's `cancel` has no effect on a wait
/// whose completion is already queued, which happens whenever the thread is held up; here, `cancel` and a new
/// `start` also suppress that completion. Must be used on
/// the executor's thread.
class one_shot_timer {
public:
    explicit one_shot_timer(const boost::asio::any_io_executor& executor);
    /// Cancels the timer.
    ~one_shot_timer();
    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    /// Calls `on_expiry` once after `delay`, in place of an earlier start that has not expired.
    void start(milliseconds delay, std::function<void()> on_expiry);
    /// Afterwards `on_expiry` is not called any more.
    void cancel();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Returns the clock and the timers of the traffic thread, which runs `io`.
timer_port make_timer_port(boost::asio::io_context& io);

} // namespace lovage
