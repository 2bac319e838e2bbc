#include "lovage/adapters/gateway/target_pool.h"

#include "target_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

namespace lovage {

namespace {

using boost::system::error_code;

// How often idle connections are looked through.
constexpr milliseconds k_sweep_interval{1'000};

} // namespace

struct target_pool::state {
    state(boost::asio::io_context& context, target_pool_options pool_options, request_codec request_names)
        : io(context), options(pool_options), codec(std::move(request_names)), sweep_timer(context) {}

    boost::asio::io_context& io;
    target_pool_options options;
    request_codec codec;
    std::function<void(const std::string&)> count;
    boost::asio::steady_timer sweep_timer;
    /// By address, the one used last at the back.
    std::unordered_map<std::string, std::deque<std::unique_ptr<target_connection>>> idle;

    std::unique_ptr<target_connection> take_idle(const std::string& address, bool may_reuse_old);
    void keep(std::unique_ptr<target_connection> connection);
    void sweep();
};

std::unique_ptr<target_connection> target_pool::state::take_idle(const std::string& address,
                                                                 bool may_reuse_old) {
    const auto found = idle.find(address);
    if (found == idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = monotonic_now();
    while (!connections.empty()) {
        if (!may_reuse_old && now - connections.back()->idle_since > options.reuse_time) {
            return nullptr;
        }
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection->idle_since <= options.idle_time && is_quiet(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void target_pool::state::keep(std::unique_ptr<target_connection> connection) {
    auto& connections = idle[connection->address];
    connection->idle_since = monotonic_now();
    connections.push_back(std::move(connection));
    if (connections.size() > options.max_idle_per_target) {
        connections.pop_front();
    }
}

void target_pool::state::sweep() {
    const auto now = monotonic_now();
    for (auto entry = idle.begin(); entry != idle.end();) {
        auto& connections = entry->second;
        while (!connections.empty() && now - connections.front()->idle_since > options.idle_time) {
            connections.pop_front();
        }
        entry = connections.empty() ? idle.erase(entry) : std::next(entry);
    }
    sweep_timer.expires_after(k_sweep_interval);
    sweep_timer.async_wait([this](const error_code& cancelled) {
        if (!cancelled) {
            sweep();
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
    pool->m_state->sweep();
    return pool;
}

target_port target_pool::port() {
    target_port port;
    port.open = [pool = shared_from_this()](std::shared_ptr<const forwarded_request> request,
                                            attempt_order order, attempt_events events) {
        auto& own = *pool->m_state;
        auto kept = own.take_idle(order.address, order.may_reuse_connection);
        own.count(kept ? "kept" : "new");
        const auto timeout = std::min(own.options.connect_timeout, order.time_left);
        const auto exchange = std::make_shared<target_exchange>(
            own.io, own.codec, std::move(request), std::move(order), std::move(events),
            [weak = std::weak_ptr<target_pool>(pool)](std::unique_ptr<target_connection> connection) {
                if (const auto alive = weak.lock()) {
                    alive->m_state->keep(std::move(connection));
                }
            });
        exchange->start(std::move(kept), timeout);
        return attempt_handle{[exchange] { exchange->cancel(); },
                              [exchange](bool paused) { exchange->pause(paused); }};
    };
    port.forget = [pool = shared_from_this()](const std::string& address) {
        pool->m_state->idle.erase(address);
    };
    return port;
}

void target_pool::close_idle() {
    m_state->idle.clear();
    m_state->sweep_timer.cancel();
}

} // namespace lovage
