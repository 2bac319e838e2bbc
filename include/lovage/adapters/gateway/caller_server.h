#pragma once

#include "lovage/core/result.h"
#include "lovage/core/route_table.h"
#include "lovage/core/time.h"
#include "lovage/ports/request_codec.h"
#include "lovage/traffic/gateway_traffic.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lovage {

struct caller_server_options {
    std::string ip;
    std::uint16_t port = 0;
    std::size_t max_connections = 1'000;
    /// A caller that takes no byte of its answer for this long has been lost. It is longer than the outages
    /// of a network that connections survive.
    milliseconds max_write_silence{30'000};
    /// Most bytes that connections with their requests and answers may hold; 0 for `memory_budget_of` the
    /// default of the settings.
    std::size_t memory_budget = 0;
};

/// HTTP/1.1 server for callers. All functions must be called on the io_context's thread.
class caller_server {
public:
    /// Creates a server that does not listen yet. `traffic` must outlive the server.
    static std::unique_ptr<caller_server> create(boost::asio::io_context& io, caller_server_options options,
                                                 request_codec codec, gateway_traffic& traffic);
    /// Creates a server that listens. Fails like `listen`.
    static result<std::unique_ptr<caller_server>> start(boost::asio::io_context& io,
                                                        caller_server_options options, request_codec codec,
                                                        gateway_traffic& traffic);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Binds and listens; connections wait in the backlog until `accept` is called. Fails with
    /// `invalid_settings` if the address cannot be used now; it can then be called again.
    result<void> listen();
    /// Starts accepting connections, as soon as the server listens; has no effect if it already did.
    void accept();
    /// Starts draining: requests are still served, but each connection is closed after its next response.
    void start_draining();
    /// Stops listening and closes the connections that have no request in progress. Connections that the
    /// kernel has accepted, and requests that have arrived on them, are read first. Closing takes until the
    /// io_context has run.
    void close_idle();
    /// Refuses requests of which only a part has arrived, as not run.
    void refuse_half_read();
    /// Whether new connections are accepted, or wait in the backlog.
    bool is_listening() const;
    std::size_t connections() const;
    /// Bytes that connections hold with their requests and answers, by the budget's estimate.
    std::size_t memory_held() const;
    /// Number of connections on which a request is being read or served, or an answer is being sent.
    std::size_t busy_connections() const;

private:
    caller_server();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
