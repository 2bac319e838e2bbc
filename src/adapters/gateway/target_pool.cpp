#include "lovage/adapters/gateway/target_pool.h"

#include "target_exchange.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <iterator>
#include <unordered_map>

namespace lovage {

namespace {

using boost::system::error_code;

// Interval at which connections that were idle for too long are closed.
constexpr milliseconds k_expiry_interval{1'000};

} // namespace

struct target_pool::state {
    state(boost::asio::io_context& context, target_pool_options pool_options, request_codec pool_codec)
        : io(context), options(pool_options), codec(std::move(pool_codec)), expiry_timer(context) {}

    boost::asio::io_context& io;
    target_pool_options options;
    request_codec codec;
    std::function<void(const std::string&)> count;
    boost::asio::steady_timer expiry_timer;
    /// Idle connections by address, the most recently used one at the back.
    std::unordered_map<std::string, std::deque<std::unique_ptr<target_connection>>> idle;

    std::unique_ptr<target_connection> take_idle(const forwarded_request& request,
                                                 const attempt_parameters& parameters);
    void add_idle(std::unique_ptr<target_connection> connection);
    void close_expired();
};

std::unique_ptr<target_connection> target_pool::state::take_idle(const forwarded_request& request,
                                                                 const attempt_parameters& parameters) {
    const auto found = idle.find(parameters.address);
    if (found == idle.end() || parameters.was_sent_before) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = monotonic_now();
    while (true) {
        const auto newest =
            std::find_if(connections.rbegin(), connections.rend(), [&request](const auto& connection) {
                return !request.id.empty() || !connection->has_carried_call_without_id;
            });
        const bool is_usable = newest != connections.rend() &&
                               (parameters.may_reuse_connection ||
                                now - (*newest)->idle_since <= options.max_idle_time_for_non_idempotent);
        if (!is_usable) {
            return nullptr;
        }
        auto connection = std::move(*newest);
        connections.erase(std::next(newest).base());
        if (now - connection->idle_since <= options.idle_timeout &&
            can_reuse_connection(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

void target_pool::state::add_idle(std::unique_ptr<target_connection> connection) {
    auto& connections = idle[connection->address];
    connection->idle_since = monotonic_now();
    connections.push_back(std::move(connection));
    if (connections.size() > options.max_idle_per_target) {
        connections.pop_front();
    }
}

void target_pool::state::close_expired() {
    const auto now = monotonic_now();
    for (auto entry = idle.begin(); entry != idle.end();) {
        auto& connections = entry->second;
        while (!connections.empty() && now - connections.front()->idle_since > options.idle_timeout) {
            connections.pop_front();
        }
        entry = connections.empty() ? idle.erase(entry) : std::next(entry);
    }
    expiry_timer.expires_after(k_expiry_interval);
    expiry_timer.async_wait([this](const error_code& cancelled) {
        if (!cancelled) {
            close_expired();
        }
    });
}

target_pool::target_pool() = default;
target_pool::~target_pool() = default;

std::shared_ptr<target_pool> target_pool::create(boost::asio::io_context& io, target_pool_options options,
                                                 request_codec codec,
                                                 std::function<void(const std::string&)> count) {
    std::shared_ptr<target_pool> pool(new target_pool);
    pool->m_state = std::make_unique<state>(io, options, std::move(codec));
    pool->m_state->count = std::move(count);
    pool->m_state->close_expired();
    return pool;
}

target_port target_pool::port() {
    target_port port;
    port.open = [pool = shared_from_this()](std::shared_ptr<const forwarded_request> request,
                                            attempt_parameters options, attempt_events events) {
        auto& pool_state = *pool->m_state;
        auto reused = pool_state.take_idle(*request, options);
        pool_state.count(reused ? "kept" : "new");
        const auto timeout = std::min(pool_state.options.connect_timeout, options.time_left);
        const auto exchange = std::make_shared<target_exchange>(
            pool_state.io, pool_state.codec, std::move(request), std::move(options), std::move(events),
            [weak = std::weak_ptr<target_pool>(pool)](std::unique_ptr<target_connection> connection) {
                if (const auto alive = weak.lock()) {
                    alive->m_state->add_idle(std::move(connection));
                }
            });
        exchange->start(std::move(reused), timeout);
        return attempt_handle{[exchange] { exchange->cancel(); },
                              [exchange](bool paused) { exchange->pause(paused); }};
    };
    port.close_idle_connections = [pool = shared_from_this()](const std::string& address) {
        pool->m_state->idle.erase(address);
    };
    return port;
}

void target_pool::close_idle() {
    m_state->idle.clear();
    m_state->expiry_timer.cancel();
}

} // namespace lovage
