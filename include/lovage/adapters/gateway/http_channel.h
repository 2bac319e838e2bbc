#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <memory>
#include <string>

namespace lovage {

struct channel_request {
    std::string method;
    /// Path and query.
    std::string target;
    /// JSON text; empty for none.
    std::string body;
    /// Limit for the whole exchange, connecting included.
    milliseconds timeout{1'000};
};

struct channel_answer {
    int status = 0;
    std::string body;
};

/// A kept connection to one HTTP server for calls that block. Used by one thread at a time.
class http_channel {
public:
    /// `address` is "ip:port".
    explicit http_channel(std::string address);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Sends a request and waits for its answer. Errors: `peer_unreachable` (nothing was sent),
    /// `store_unavailable` (no answer; the call may have taken effect).
    result<channel_answer> exchange(const channel_request& request);
    /// Ends an exchange that another thread waits for, and all later ones.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
