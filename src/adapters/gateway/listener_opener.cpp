#include "lovage/adapters/gateway/listener_opener.h"

#include <boost/asio/steady_timer.hpp>

namespace lovage {

namespace {

namespace asio = boost::asio;

// A listener that is not open.
struct pending_listener {
    std::string name;
    std::function<result<void>()> open;
    asio::steady_timer timer;
};

} // namespace

struct listener_opener::state : std::enable_shared_from_this<listener_opener::state> {
    state(asio::io_context& context, milliseconds interval, events callbacks)
        : io(context), retry_interval(interval), on_event(std::move(callbacks)) {}

    asio::io_context& io;
    milliseconds retry_interval;
    events on_event;
    bool is_stopped = false;

    void retry_later(const std::shared_ptr<pending_listener>& listener);
};

void listener_opener::state::retry_later(const std::shared_ptr<pending_listener>& listener) {
    listener->timer.expires_after(retry_interval);
    listener->timer.async_wait(
        [weak = weak_from_this(), listener](const boost::system::error_code& cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || self->is_stopped) {
                return;
            }
            const auto opened = listener->open();
            if (opened) {
                self->on_event.on_late_success(listener->name);
            } else {
                self->on_event.on_failure(listener->name, opened.error());
                self->retry_later(listener);
            }
        });
}

listener_opener::listener_opener(asio::io_context& io, milliseconds retry_interval, events on_event)
    : m_state(std::make_shared<state>(io, retry_interval, std::move(on_event))) {}

listener_opener::~listener_opener() = default;

void listener_opener::open(std::string name, std::function<result<void>()> open) {
    const auto opened = open();
    if (opened) {
        return;
    }
    m_state->on_event.on_failure(name, opened.error());
    m_state->retry_later(std::make_shared<pending_listener>(
        pending_listener{std::move(name), std::move(open), asio::steady_timer(m_state->io)}));
}

void listener_opener::stop() {
    m_state->is_stopped = true;
}

} // namespace lovage
