#include "lovage/adapters/gateway/caller_server.h"

#include "caller_session.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <vector>

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// New connections are delayed by seconds while the backlog is full.
constexpr int k_backlog = 4'096;
// Backoff after accepting has failed, for example because of too many open files.
constexpr milliseconds k_accept_backoff{20};
// Least interval between log lines about a shortage of memory.
constexpr milliseconds k_shortage_log_interval{1'000};

} // namespace

struct caller_server::state : std::enable_shared_from_this<caller_server::state> {
    state(asio::io_context& io, caller_server_options server_options, request_codec server_codec,
          gateway_traffic& traffic)
        : options(std::move(server_options)),
          codec(std::move(server_codec)), host{codec, traffic, options.max_write_silence, false, {}, nullptr},
          acceptor(io), accept_backoff(io) {
        host.memory.budget =
            options.memory_budget > 0 ? options.memory_budget : memory_budget_of(k_default_memory_mb);
        host.on_memory_short = [this] { post_reclaim(); };
    }

    caller_server_options options;
    request_codec codec;
    session_host host;
    tcp::acceptor acceptor;
    asio::steady_timer accept_backoff;
    std::set<caller_session*> sessions;
    bool is_accepting = false;
    bool is_reclaim_posted = false;
    /// When a shortage was logged last.
    time_point last_shortage{};

    void post_reclaim();
    void reclaim_memory();
    void cut(std::size_t missing, const caller_session* waiting);
    void accept();
    void accept_pending();
    void start_session(tcp::socket socket);
};

// Posted, since a session finds the shortage in the middle of its own work.
void caller_server::state::post_reclaim() {
    if (!std::exchange(is_reclaim_posted, true)) {
        asio::post(acceptor.get_executor(), [self = shared_from_this()] {
            self->is_reclaim_posted = false;
            self->reclaim_memory();
        });
    }
}

// Cuts sessions until what is held fits the budget and the sessions that wait for memory have got it, in the
// order of the sizes they asked for. A session that is itself the largest and slowest is cut like the others.
void caller_server::state::reclaim_memory() {
    const auto before = host.memory.held;
    if (const auto missing = missing_bytes(host.memory, 0, 0); missing > 0) {
        cut(missing, nullptr);
    }
    std::vector<std::shared_ptr<caller_session>> waiting;
    for (auto* session : sessions) {
        if (session->wanted_bytes() > 0) {
            waiting.push_back(session->shared_from_this());
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto& a, const auto& b) { return a->wanted_bytes() < b->wanted_bytes(); });
    for (const auto& session : waiting) {
        const auto held = session->charged_bytes();
        if (const auto missing = missing_bytes(host.memory, held, session->wanted_bytes()); missing > 0) {
            cut(missing, session.get());
        }
        session->end_memory_wait();
    }
    const auto now = monotonic_now();
    if (now - last_shortage > k_shortage_log_interval) {
        last_shortage = now;
        host.traffic.sink.log(log_level::warning, "memory_short",
                              {{"budget", std::to_string(host.memory.budget)},
                               {"held", std::to_string(before)},
                               {"held_now", std::to_string(host.memory.held)},
                               {"waiting", std::to_string(waiting.size())},
                               {"connections", std::to_string(sessions.size())}});
    }
}

// Cuts sessions for the one that waits for memory, or because more is held than the budget if it is null.
void caller_server::state::cut(std::size_t missing, const caller_session* waiting) {
    const auto now = monotonic_now();
    std::vector<std::shared_ptr<caller_session>> all;
    std::vector<memory_holder> holders;
    std::optional<std::size_t> waiting_index;
    for (auto* session : sessions) {
        if (session == waiting) {
            waiting_index = all.size();
        }
        holders.push_back(session->memory_use(all.size(), now));
        all.push_back(session->shared_from_this());
    }
    for (const auto index : plan_cuts(std::move(holders), missing, waiting_index)) {
        all[index]->cut_for_memory();
    }
}

void caller_server::state::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) {
            return;
        }
        if (!failure) {
            self->start_session(std::move(socket));
            self->accept();
            return;
        }
        self->host.traffic.sink.log(log_level::warning, "accept_failed", {{"detail", failure.message()}});
        self->accept_backoff.expires_after(k_accept_backoff);
        self->accept_backoff.async_wait([self](const error_code& cancelled) {
            if (!cancelled) {
                self->accept();
            }
        });
    });
}

// Accepts the connections that wait in the backlog; closing the acceptor would reset them.
void caller_server::state::accept_pending() {
    error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, failure);
        if (!failure) {
            start_session(std::move(socket));
        }
    }
}

void caller_server::state::start_session(tcp::socket socket) {
    if (sessions.size() >= options.max_connections) {
        host.traffic.sink.count("gateway_connections_refused", "limit");
        return;
    }
    const auto session = std::make_shared<caller_session>(std::move(socket), host,
                                                          [weak = weak_from_this()](caller_session* closed) {
                                                              if (const auto self = weak.lock()) {
                                                                  self->sessions.erase(closed);
                                                              }
                                                          });
    sessions.insert(session.get());
    session->start();
}

caller_server::caller_server() = default;
caller_server::~caller_server() = default;

std::unique_ptr<caller_server> caller_server::create(asio::io_context& io, caller_server_options options,
                                                     request_codec codec, gateway_traffic& traffic) {
    std::unique_ptr<caller_server> server(new caller_server);
    server->m_state = std::make_shared<state>(io, std::move(options), std::move(codec), traffic);
    return server;
}

result<std::unique_ptr<caller_server>> caller_server::start(asio::io_context& io,
                                                            caller_server_options options,
                                                            request_codec codec, gateway_traffic& traffic) {
    auto server = create(io, std::move(options), std::move(codec), traffic);
    if (const auto listening = server->listen(); !listening) {
        return tl::unexpected<error>(listening.error());
    }
    return server;
}

result<void> caller_server::listen() {
    auto& acceptor = m_state->acceptor;
    const auto& options = m_state->options;
    error_code failure;
    const tcp::endpoint endpoint(asio::ip::make_address_v4(options.ip, failure), options.port);
    if (!failure) {
        acceptor.open(endpoint.protocol(), failure);
    }
    if (!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        acceptor.bind(endpoint, failure);
    }
    if (!failure) {
        acceptor.listen(k_backlog, failure);
    }
    if (failure) {
        error_code ignored;
        acceptor.close(ignored);
        return fail(error_kind::invalid_settings, "cannot listen on " + options.ip + ":" +
                                                      std::to_string(options.port) + ": " +
                                                      failure.message());
    }
    if (m_state->is_accepting) {
        m_state->accept();
    }
    return {};
}

void caller_server::accept() {
    if (!std::exchange(m_state->is_accepting, true) && is_listening()) {
        m_state->accept();
    }
}

void caller_server::start_draining() {
    m_state->host.is_draining = true;
}

void caller_server::close_idle() {
    if (m_state->acceptor.is_open()) {
        m_state->accept_pending();
        error_code ignored;
        m_state->acceptor.close(ignored);
    }
    const auto sessions = m_state->sessions;
    for (auto* session : sessions) {
        session->close_if_idle();
    }
}

void caller_server::refuse_half_read() {
    const auto sessions = m_state->sessions;
    for (auto* session : sessions) {
        session->refuse_half_read();
    }
}

bool caller_server::is_listening() const {
    return m_state->acceptor.is_open();
}

std::size_t caller_server::memory_held() const {
    return m_state->host.memory.held;
}

std::size_t caller_server::connections() const {
    return m_state->sessions.size();
}

std::size_t caller_server::busy_connections() const {
    const auto& sessions = m_state->sessions;
    return static_cast<std::size_t>(std::count_if(sessions.begin(), sessions.end(),
                                                  [](const auto* session) { return session->is_busy(); }));
}

} // namespace lovage
