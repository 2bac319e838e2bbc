#pragma once

#include "lovage/core/time.h"
#include "lovage/ports/request_codec.h"
#include "lovage/ports/target_port.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lovage {

struct target_pool_options {
    /// Below one second, after which TCP retransmits a lost SYN: failing over to another target is faster.
    milliseconds connect_timeout{250};
    /// Idle connections are closed after this time.
    milliseconds idle_timeout{8'000};
    /// Non-idempotent requests use no connection that has been idle for longer than this, since targets close
    /// idle connections without notice.
    milliseconds max_idle_time_for_non_idempotent{700};
    std::size_t max_idle_per_target = 16;
};

/// Pool of persistent HTTP/1.1 connections to targets. All functions must be called on the io_context's
/// thread.
class target_pool : public std::enable_shared_from_this<target_pool> {
public:
    /// `count` is called for each attempt with "kept" for a reused connection or "new".
    static std::shared_ptr<target_pool> create(boost::asio::io_context& io, target_pool_options options,
                                               request_codec codec,
                                               std::function<void(const std::string&)> count);
    ~target_pool();
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    target_port port();
    /// Closes all idle connections.
    void close_idle();

private:
    target_pool();
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace lovage
