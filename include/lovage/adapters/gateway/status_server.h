#pragma once

#include "lovage/core/result.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lovage {

/// A request for a status page; `path` is without the query.
struct status_request {
    std::string method;
    std::string path;
    std::string body;
};

/// The response of a status page.
struct status_page {
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// HTTP server for readiness probes, metrics and operators' queries. `page` is called for each request and
/// must not block. A request of more than 16 kB is answered with 413, or its connection is closed. All
/// functions must be called on the io_context's thread.
class status_server {
public:
    using page_source = std::function<status_page(const status_request&)>;

    /// Listens on "ip:port". Fails with `invalid_settings` if the address cannot be used.
    static result<std::unique_ptr<status_server>> start(boost::asio::io_context& io,
                                                        const std::string& address, page_source page);
    ~status_server();
    status_server(const status_server&) = delete;
    status_server& operator=(const status_server&) = delete;

    /// Stops listening; open connections are not closed.
    void stop();

private:
    status_server();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
