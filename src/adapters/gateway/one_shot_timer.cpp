#include "lovage/adapters/gateway/one_shot_timer.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace lovage {

struct one_shot_timer::state {
    explicit state(const boost::asio::any_io_executor& executor) : timer(executor) {}

    boost::asio::steady_timer timer;
    /// Identifies the current start; a completion of an earlier one is ignored.
    std::uint64_t start_number = 0;
};

one_shot_timer::one_shot_timer(const boost::asio::any_io_executor& executor)
    : m_state(std::make_shared<state>(executor)) {}

one_shot_timer::~one_shot_timer() {
    cancel();
}

void one_shot_timer::start(milliseconds delay, std::function<void()> on_expiry) {
    const auto number = ++m_state->start_number;
    m_state->timer.expires_after(delay);
    m_state->timer.async_wait([state = m_state, number,
                               on_expiry = std::move(on_expiry)](const boost::system::error_code& cancelled) {
        if (!cancelled && state->start_number == number) {
            on_expiry();
        }
    });
}

void one_shot_timer::cancel() {
    ++m_state->start_number;
    m_state->timer.cancel();
}

timer_port make_timer_port(boost::asio::io_context& io) {
    timer_port timers;
    timers.now = monotonic_now;
    timers.after = [&io](milliseconds delay, std::function<void()> callback) {
        const auto timer = std::make_shared<one_shot_timer>(io.get_executor());
        // The pending wait keeps the timer alive.
        timer->start(delay, [timer, callback = std::move(callback)] { callback(); });
        return timer_cancel([weak = std::weak_ptr<one_shot_timer>(timer)] {
            if (const auto alive = weak.lock()) {
                alive->cancel();
            }
        });
    };
    return timers;
}

} // namespace lovage
