#pragma once

#include "lovage/core/result.h"
#include "lovage/core/route_table.h"
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
};

/// The callers' HTTP/1.1 door. All calls on the io_context's thread.
class caller_server {
public:
    /// Listens, but takes no connection before `accept`. Fails with `invalid_settings` if the address cannot
    /// be used.
    static result<std::unique_ptr<caller_server>> start(boost::asio::io_context& io,
                                                        caller_server_options options, request_codec codec,
                                                        gateway_traffic& traffic);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Starts to take connections; harmless when it has started.
    void accept();
    /// Requests go on to be served, but each answer is the last of its connection.
    void leave();
    /// Stops to listen and closes connections without a request.
    void close_idle();
    std::size_t connections() const;

private:
    caller_server();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
