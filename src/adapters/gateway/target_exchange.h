#pragma once

#include "target_connection.h"

#include "lovage/ports/request_codec.h"
#include "lovage/ports/target_port.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// One request and its answer on a connection to a target.
class target_exchange : public std::enable_shared_from_this<target_exchange> {
public:
    /// What happens to the connection after a whole answer: it may be used again.
    using keep_connection = std::function<void(std::unique_ptr<target_connection>)>;

    target_exchange(boost::asio::io_context& io, const request_codec& codec,
                    std::shared_ptr<const forwarded_request> request, attempt_order order,
                    attempt_events events, keep_connection keep);

    /// Sends the request on `kept`, or on a new connection if it is null.
    void start(std::unique_ptr<target_connection> kept, milliseconds connect_timeout);
    void cancel();
    void pause(bool paused);

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    // Bytes of a body that are handed on at once.
    static constexpr std::size_t k_body_block = 16'384;

    void connect(milliseconds timeout);
    void write();
    void read_head();
    void take_head();
    void read_body();
    void take_body(const boost::system::error_code& failure);
    void take_end();
    void fail(attempt_end end, const std::string& detail);

    boost::asio::io_context& m_io;
    const request_codec& m_codec;
    std::shared_ptr<const forwarded_request> m_request;
    attempt_order m_order;
    attempt_events m_events;
    keep_connection m_keep;
    boost::asio::steady_timer m_connect_timer;
    std::unique_ptr<target_connection> m_connection;
    std::string m_head_text;
    std::optional<parser_type> m_parser;
    std::array<char, k_body_block> m_block{};
    bool m_is_written = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
    bool m_is_over = false;
};

} // namespace lovage
