#pragma once

#include "lovage/core/result.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lovage {

/// The response of a status page.
struct status_page {
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// HTTP server for readiness probes and metrics. `page` is called with the path of each request, without the
/// query, and must not block. All functions must be called on the io_context's thread.
class status_server {
public:
    using page_source = std::function<status_page(const std::string& path)>;

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
