#pragma once

#include "target_connection.h"

#include "lovage/adapters/gateway/one_shot_timer.h"
#include "lovage/core/enum_names.h"
#include "lovage/ports/request_codec.h"
#include "lovage/ports/target_port.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// The progress of a `target_exchange`. Only while it is `connecting` is it certain that the target has
/// received nothing.
enum class exchange_phase : std::uint8_t { connecting, reading_head, reading_body, finished };
inline constexpr std::size_t k_exchange_phase_count = 4;
inline constexpr enum_names<k_exchange_phase_count> k_exchange_phase_names{"connecting", "reading_head",
                                                                           "reading_body", "finished"};
static_assert(static_cast<std::size_t>(exchange_phase::finished) + 1 == k_exchange_phase_count);

/// Sends one request to a target and reads its response.
class target_exchange : public std::enable_shared_from_this<target_exchange> {
public:
    /// Takes back a connection after a complete response, if it can be reused.
    using release_connection = std::function<void(std::unique_ptr<target_connection>)>;

    target_exchange(boost::asio::io_context& io, const request_codec& codec,
                    std::shared_ptr<const forwarded_request> request, attempt_parameters options,
                    attempt_events events, release_connection release);

    /// Sends the request on `idle_connection`, or on a new connection if it is null.
    void start(std::unique_ptr<target_connection> idle_connection, milliseconds connect_timeout);
    /// Closes the connection; no event follows.
    void cancel();
    /// Stops or resumes reading the body, for backpressure.
    void pause(bool paused);

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    // Maximum size of the parts in which a body is passed on.
    static constexpr std::size_t k_max_body_part_bytes = 16'384;

    void connect(milliseconds timeout);
    void write();
    void read_head();
    void handle_head();
    /// Ends the exchange because of a status code that is not one of HTTP.
    void reject_status(int status);
    void read_body();
    void handle_body(const boost::system::error_code& failure);
    void handle_end();
    /// Ends the exchange; its phase decides whether the target counts as unreachable.
    void fail(const std::string& detail);
    bool is_finished() const { return m_phase == exchange_phase::finished; }

    boost::asio::io_context& m_io;
    const request_codec& m_codec;
    std::shared_ptr<const forwarded_request> m_request;
    attempt_parameters m_options;
    attempt_events m_events;
    release_connection m_release;
    one_shot_timer m_connect_timer;
    std::unique_ptr<target_connection> m_connection;
    std::string m_head_text;
    std::optional<parser_type> m_parser;
    std::array<char, k_max_body_part_bytes> m_body_part{};
    exchange_phase m_phase = exchange_phase::connecting;
    int m_informational_heads = 0;
    bool m_is_request_sent = false;
    bool m_is_reading = false;
    bool m_is_paused = false;
};

} // namespace lovage
