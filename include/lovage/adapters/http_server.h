#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// A request as read by the HTTP server. Header names are in lower case.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
    /// The query as sent, without the question mark.
    std::string query_text;
    std::string body;
};

/// Produces the body of a streamed response, on the connection's thread. `next` blocks until there is data;
/// after about a second without any, it returns an SSE comment line (`: ...`) as keep-alive.
struct http_stream {
    /// Returns the next bytes, or nullopt at the end of the stream.
    std::function<std::optional<std::string>()> next;
    /// Called once when the connection ends, for any reason.
    std::function<void()> on_close;
};

struct http_response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
    std::optional<http_stream> stream;
    /// Closes the connection without a response; stand-ins use it to simulate lost responses.
    bool close_without_response = false;
};

/// Called on the thread of the connection, so several calls may run at once: it must be thread-safe.
using http_handler = std::function<http_response(const http_request&)>;

/// `path` may contain ":name" segments as in ulfius, and a trailing "*".
struct http_route {
    std::string method;
    std::string path;
    http_handler handler;
};

struct http_server_options {
    /// IPv4 address and port to listen at; port 0 is not allowed.
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Requests on connections above this number are refused with kind `overloaded`.
    std::uint32_t max_connections = 2'000;
    /// Larger bodies are refused with kind `request_too_large`.
    std::size_t max_body_bytes = 1U << 20U;
    /// Connections that are idle for longer are closed.
    std::uint32_t idle_timeout_s = 60;
    /// Called when a request has ended: its response was sent, or its connection was lost.
    std::function<void()> on_request_ended = [] {};
};

/// An HTTP server (ulfius) with one thread per connection; streams wait on condition variables.
class http_server {
public:
    /// Starts listening. Fails with `invalid_settings` if the address cannot be used.
    static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                      std::vector<http_route> routes);
    /// Closes all connections, also those of open streams, and joins their threads. Waits for calls of
    /// handlers and of `http_stream::next` that are in progress.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Number of requests whose first line has been read and whose responses have not been sent.
    std::uint32_t open_requests() const;

private:
    http_server();
    struct state;
    std::unique_ptr<state> m_state;
};

/// Returns the HTTP status for an error kind.
int http_status(error_kind kind);

/// Returns an error response of the callers' API. Its JSON body has kind, detail, not_run, retryable and
/// retry_after_ms. `not_run` promises that no target has run the request; the body repeats this only for
/// kinds that can guarantee it.
http_response error_response(const error& failure, bool not_run);

} // namespace lovage
