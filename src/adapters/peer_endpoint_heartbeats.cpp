#include "peer_endpoint_state.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lovage {

namespace {

// Heartbeats that may be missed before a peer counts as unresponsive; 3 intervals of 200 ms fit in the
// shortest timeout.
constexpr int k_missed_heartbeats = 3;
constexpr milliseconds k_max_heartbeat_interval{10'000};
constexpr milliseconds k_hello_timeout{1'000};

// Reads the interval of the peer's heartbeats, which each of them announces as decimal milliseconds.
std::optional<milliseconds> read_interval(const std::string& payload) {
    std::uint32_t value = 0;
    const char* end = payload.data() + payload.size();
    const auto parsed = std::from_chars(payload.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds(value) > k_max_heartbeat_interval) {
        return std::nullopt;
    }
    return milliseconds(value);
}

} // namespace

void peer_endpoint::state::on_heartbeat(peer_link& link, const std::string& payload) {
    link.last_received = monotonic_now();
    link.peer_interval = read_interval(payload).value_or(link.peer_interval);
}

void peer_endpoint::state::schedule_tick() {
    ticker.expires_after(options.heartbeat_interval);
    ticker.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled && !is_stopping) {
            tick();
            schedule_tick();
        }
    });
}

void peer_endpoint::state::tick() {
    const time_point now = monotonic_now();
    // After this process was paused, messages that peers sent meanwhile are still unread, so the time by
    // which the tick is late does not count towards the timeout.
    const auto late = std::max(now - last_tick - options.heartbeat_interval, time_point::duration::zero());
    last_tick = now;
    const auto open = links;
    const milliseconds interval =
        std::clamp(options.heartbeat_interval_per_connection * static_cast<int>(open.size()),
                   options.heartbeat_interval, k_max_heartbeat_interval);
    for (const auto& link : open) {
        link->buffered = link->connection->get_buffered_amount();
        if (link->connection->get_state() != websocketpp::session::state::open) {
            continue;
        }
        link->last_received = std::min(link->last_received + late, now);
        const milliseconds limit =
            std::max(options.heartbeat_timeout, k_missed_heartbeats * link->peer_interval);
        const bool is_silent = now - link->last_received > limit;
        const bool has_no_hello = !link->hello && now - link->opened > k_hello_timeout;
        if (is_silent || has_no_hello) {
            counters.count("peer_silent_total");
            release(link, "silent");
            terminate(link);
            continue;
        }
        // Half an interval of slack, so that a message sent just after the last tick does not double the
        // interval.
        if (now - link->last_sent >= link->announced - options.heartbeat_interval / 2) {
            websocketpp::lib::error_code code;
            link->connection->pong(std::to_string(interval.count()), code);
            link->last_sent = now;
            link->announced = interval;
        }
    }
}

} // namespace lovage
