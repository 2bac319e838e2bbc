#pragma once

#include "lovage/adapters/gateway/one_shot_timer.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/pending_reads.h"
#include "lovage/ports/request_codec.h"
#include "lovage/traffic/gateway_traffic.h"
#include "lovage/traffic/proxied_request.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// State that all sessions of a server share.
struct session_host {
    const request_codec& codec;
    gateway_traffic& traffic;
    milliseconds max_write_silence{0};
    bool is_draining = false;
};

enum class session_phase : std::uint8_t { reading, serving, answered, lingering, closed };
inline constexpr std::size_t k_session_phase_count = 5;
inline constexpr enum_names<k_session_phase_count> k_session_phase_names{"reading", "serving", "answered",
                                                                         "lingering", "closed"};

/// HTTP/1.1 connection of one caller. It keeps itself alive while an operation is in progress.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(boost::asio::ip::tcp::socket socket, session_host& host,
                   std::function<void(caller_session*)> on_closed);

    /// Starts reading requests. `on_closed` is called once, when the connection is closed.
    void start();
    /// Closes the connection unless a request is being read or served, or has arrived.
    void close_if_idle();
    /// Refuses a request of which only a part has arrived, as not run.
    void refuse_half_read();
    /// Whether a request is being read or served, an answer is being sent, or the caller may still be sending
    /// a request that was refused before it had arrived whole.
    bool is_busy() const;

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void expect_request();
    void begin_request();
    void start_idle_time();
    void read();
    void handle_bytes(const boost::system::error_code& failure, std::size_t bytes);
    void parse();
    void reject(const boost::system::error_code& failure);
    void serve();
    caller_port make_port();
    void reply(const error_reply& answer);
    void reply_encoded(const encoded_answer& answer);
    void start_answer(const answer_head& head, std::optional<std::size_t> body_bytes);
    void write_body(std::string bytes);
    void finish_answer();
    void end_request();
    void queue(const std::string& bytes);
    void flush();
    void write();
    void handle_written(const boost::system::error_code& failure, std::size_t bytes);
    void linger();
    void close();
    void arm_timer(milliseconds delay);
    void start_timer(milliseconds delay);
    void on_timer();
    /// Time until the next part of the request's body must have arrived.
    milliseconds body_time_left() const;
    /// Whether bytes that arrive belong to a later request than the one that the parser holds.
    bool is_request_parsed() const;
    bool is_sending() const { return m_is_writing || !m_pending.empty(); }
    /// Limits of the newest configuration.
    const caller_limits& limits() const;

    boost::asio::ip::tcp::socket m_socket;
    session_host& m_host;
    std::function<void(caller_session*)> m_on_closed;
    one_shot_timer m_timer;
    one_shot_timer m_write_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser_type> m_parser;
    std::shared_ptr<proxied_request> m_request;
    session_phase m_phase = session_phase::reading;
    /// Reads since the timer was armed.
    pending_reads m_reads;
    time_point m_first_byte{};
    time_point m_idle_since{};
    /// Limits of the request that is being read.
    caller_limits m_request_limits;
    bool m_has_request_bytes = false;
    bool m_is_reading = false;
    /// Whether the read in progress was ended to close the connection.
    bool m_is_closing_idle = false;
    bool m_is_continue_sent = false;
    bool m_keeps_alive = true;
    bool m_is_head_request = false;
    bool m_is_chunked = false;
    bool m_is_answered = false;
    /// Whether the request was refused before it had arrived whole.
    bool m_is_refused_early = false;
    bool m_closes_after_write = false;
    bool m_is_writing = false;
    std::string m_pending;
    std::string m_in_flight;
    /// Bytes of `m_in_flight` that have been written.
    std::size_t m_written = 0;
};

} // namespace lovage
