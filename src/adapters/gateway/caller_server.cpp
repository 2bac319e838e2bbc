#include "lovage/adapters/gateway/caller_server.h"

#include "caller_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A full queue of new connections delays callers by seconds.
constexpr int k_backlog = 4'096;
// Pause after a failure to accept, such as too many open files.
constexpr milliseconds k_accept_pause{20};

} // namespace

struct caller_server::state : std::enable_shared_from_this<caller_server::state> {
    state(asio::io_context& io, caller_server_options server_options, request_codec names,
          gateway_traffic& traffic)
        : options(std::move(server_options)), codec(std::move(names)), host{codec, traffic, false},
          acceptor(io), pause(io) {}

    caller_server_options options;
    request_codec codec;
    session_host host;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::set<caller_session*> sessions;
    bool is_accepting = false;

    void accept();
    void take(tcp::socket socket);
};

void caller_server::state::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) {
            return;
        }
        if (!failure) {
            self->take(std::move(socket));
            self->accept();
            return;
        }
        self->host.traffic.sink.log(log_level::warning, "accept_failed", {{"detail", failure.message()}});
        self->pause.expires_after(k_accept_pause);
        self->pause.async_wait([self](const error_code& cancelled) {
            if (!cancelled) {
                self->accept();
            }
        });
    });
}

void caller_server::state::take(tcp::socket socket) {
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

result<std::unique_ptr<caller_server>> caller_server::start(asio::io_context& io,
                                                            caller_server_options options,
                                                            request_codec codec, gateway_traffic& traffic) {
    std::unique_ptr<caller_server> server(new caller_server);
    server->m_state = std::make_shared<state>(io, std::move(options), std::move(codec), traffic);
    auto& own = *server->m_state;
    error_code failure;
    const tcp::endpoint endpoint(asio::ip::make_address_v4(own.options.ip, failure), own.options.port);
    if (!failure) {
        own.acceptor.open(endpoint.protocol(), failure);
    }
    if (!failure) {
        own.acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        own.acceptor.bind(endpoint, failure);
    }
    if (!failure) {
        own.acceptor.listen(k_backlog, failure);
    }
    if (failure) {
        return fail(error_kind::invalid_settings, "cannot listen on " + own.options.ip + ":" +
                                                      std::to_string(own.options.port) + ": " +
                                                      failure.message());
    }
    return server;
}

void caller_server::accept() {
    if (!std::exchange(m_state->is_accepting, true)) {
        m_state->accept();
    }
}

void caller_server::leave() {
    m_state->host.is_leaving = true;
}

void caller_server::close_idle() {
    error_code ignored;
    m_state->acceptor.close(ignored);
    const auto sessions = m_state->sessions;
    for (auto* session : sessions) {
        session->close_if_idle();
    }
}

std::size_t caller_server::connections() const {
    return m_state->sessions.size();
}

} // namespace lovage
