#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/target_port.h"

#include <memory>
#include <string>
#include <vector>

namespace lovage {

struct channel_request {
    std::string method;
    /// Path and query.
    std::string target;
    /// JSON text; empty for none.
    std::string body;
    /// Timeout for connecting, if there is no open connection, sending the request and receiving the head of
    /// the response. A body may take longer while it arrives at a minimum rate without long pauses.
    milliseconds timeout{1'000};
};

struct channel_answer {
    int status = 0;
    std::string body;
    std::vector<header_field> fields;
};

/// Blocking HTTP client with one persistent connection to one server. Only one thread at a time may use it,
/// except for `stop`.
class http_channel {
public:
    /// `address` is "ip:port".
    explicit http_channel(std::string address);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Sends a request and waits for the response. Fails with `peer_unreachable` (nothing was sent),
    /// `store_unavailable` (no response; the request may have taken effect) or `protocol_error` (a response
    /// that is too large to read; the request has been answered).
    result<channel_answer> exchange(const channel_request& request);
    /// Aborts an exchange that another thread is waiting for, and makes all later ones fail. Thread-safe.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
