#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lovage {

struct http_client_request {
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds connect_timeout{500};
    /// Timeout of the whole exchange; for streams, 0 means none.
    milliseconds timeout{2'000};
    /// Maximum size of a body that is not passed on as it arrives.
    std::size_t max_body_bytes = 16U << 20U;
};

struct http_client_response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends a request and reads the complete response. Fails with `peer_unreachable` if no connection was made
/// and with `outcome_unknown` if the response was lost, cut short or too large after the request may have
/// been sent. A response without a length or chunks ends with its connection.
result<http_client_response> http_send(const http_client_request& request);

/// Sends a request and passes the body on as it arrives, on the calling thread; `on_data` returns false to
/// stop, which fails with `cancelled`. The body of the response is empty.
result<http_client_response> http_send_streaming(const http_client_request& request,
                                                 const std::function<bool(std::string_view)>& on_data);

} // namespace lovage
