#include "caller_session.h"
#include "caller_session_helpers.h"

#include "lovage/adapters/gateway/connection_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string_view>

namespace lovage {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t k_read_block = 16'384;
// Maximum bytes of pipelined requests that are buffered while one is served.
constexpr std::size_t k_max_read_ahead = 65'536;
// A request body must arrive at this rate in bytes per second on average, beyond the timeouts of the limits;
// callers' links carry far more. Otherwise a caller could hold a connection by single bytes.
constexpr std::uint64_t k_min_body_rate = 1'000;

// Response to a request that could not be parsed.
struct parse_failure {
    http::error code;
    int status;
    const char* reason;
};
constexpr std::array<parse_failure, 2> k_parse_failures{{
    {http::error::header_limit, 431, "Request Header Fields Too Large"},
    {http::error::body_limit, 413, "Content Too Large"},
}};

encoded_answer answer_to(const error_code& failure) {
    for (const auto& known : k_parse_failures) {
        if (failure == known.code) {
            return {known.status, known.reason, {}, ""};
        }
    }
    return {400, "Bad Request", {}, ""};
}

// Whether the body is framed by either chunked encoding or a length. A target could read any other framing
// differently, which allows request smuggling.
bool has_unambiguous_framing(const http::fields& fields) {
    const auto encoding = fields[http::field::transfer_encoding];
    return encoding.empty() ||
           (boost::beast::iequals(encoding, "chunked") && fields.count(http::field::content_length) == 0);
}

} // namespace

void caller_session::expect_request() {
    m_phase = session_phase::reading;
    m_parser.emplace();
    m_parser->eager(true);
    m_has_request_bytes = false;
    m_is_continue_sent = false;
    m_is_answered = false;
    m_is_chunked = false;
    m_is_head_request = false;
    m_fields_bytes = 0;
    m_head_bytes = 0;
    start_idle_time();
    if (unparsed_bytes() > 0) {
        parse();
    }
    charge();
}

void caller_session::start_idle_time() {
    m_idle_since = monotonic_now();
    arm_timer(limits().idle_timeout);
}

// A request is read by the limits that are in force when it begins, whatever the operators publish meanwhile.
void caller_session::begin_request() {
    m_first_byte = monotonic_now();
    m_request_limits = limits();
    m_parser->header_limit(static_cast<std::uint32_t>(m_request_limits.header_bytes));
    m_parser->body_limit(m_request_limits.body_bytes);
    arm_timer(m_request_limits.header_timeout);
}

void caller_session::arm_timer(milliseconds delay) {
    m_reads = {};
    start_timer(delay);
}

void caller_session::start_timer(milliseconds delay) {
    m_timer.start(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_timer();
        }
    });
}

void caller_session::on_timer() {
    if (is_request_parsed() || m_phase == session_phase::closed) {
        return;
    }
    if (m_phase == session_phase::reading && must_read_first(m_reads)) {
        start_timer(milliseconds(0));
        return;
    }
    if (m_phase == session_phase::reading && m_has_request_bytes) {
        m_keeps_alive = false;
        reply_encoded({408, "Request Timeout", {}, ""});
        return;
    }
    if (is_sending()) {
        // The caller is still reading its last answer; the idle time begins after it.
        return;
    }
    if (m_phase == session_phase::reading) {
        // The limit may have been raised since the connection became idle.
        const auto left =
            std::chrono::ceil<milliseconds>(m_idle_since + limits().idle_timeout - monotonic_now());
        if (left > milliseconds(0)) {
            arm_timer(left);
            return;
        }
    }
    close();
}

milliseconds caller_session::body_time_left() const {
    const auto received = m_parser->get().body().size();
    const auto allowed = m_request_limits.header_timeout + m_request_limits.idle_timeout +
                         milliseconds(static_cast<std::int64_t>(received * 1'000 / k_min_body_rate));
    const auto left = std::chrono::ceil<milliseconds>(m_first_byte + allowed - monotonic_now());
    return std::clamp(left, milliseconds(0), m_request_limits.idle_timeout);
}

void caller_session::read() {
    if (m_is_reading || m_phase == session_phase::closed || m_wanted_bytes > 0 || is_read_ahead_full()) {
        return;
    }
    m_is_reading = true;
    const bool is_amid_data = m_phase == session_phase::reading && m_has_request_bytes;
    if (!is_amid_data && m_buffer.size() == 0 && m_buffer.capacity() > k_first_read_block) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
    const auto buffer = m_buffer.prepare(is_amid_data ? k_read_block : k_first_read_block);
    charge();
    m_socket.async_read_some(
        buffer, [self = shared_from_this()](const error_code& failure, std::size_t bytes) {
            self->m_is_reading = false;
            const bool is_cancelled = self->end_buffer_release() && failure == asio::error::operation_aborted;
            self->handle_bytes(is_cancelled ? error_code() : failure, bytes);
        });
}

void caller_session::handle_bytes(const error_code& failure, std::size_t bytes) {
    if (m_phase == session_phase::closed) {
        return;
    }
    if (std::exchange(m_is_closing_idle, false) && failure == asio::error::operation_aborted) {
        error_code ignored;
        if (m_socket.available(ignored) > 0) {
            read();
            return;
        }
    }
    if (failure) {
        const auto request = std::exchange(m_request, nullptr);
        close();
        if (request) {
            request->on_caller_disconnected();
        }
        return;
    }
    m_buffer.commit(bytes);
    m_buffer.consume(std::exchange(m_parsed_bytes, 0));
    ++m_reads.handled;
    if (m_phase == session_phase::lingering) {
        consume(unparsed_bytes());
    } else if (m_phase == session_phase::reading && m_wanted_bytes == 0) {
        parse();
    }
    read();
    charge();
}

// Flat_buffer resets its write position when the last byte is consumed, so bytes are consumed only while no
// read into the buffer is in progress: those of the read would end up outside what the buffer exposes.
void caller_session::consume(std::size_t bytes) {
    if (m_is_reading) {
        m_parsed_bytes += bytes;
    } else {
        m_buffer.consume(bytes);
    }
}

bool caller_session::is_read_ahead_full() const {
    return is_request_parsed() && unparsed_bytes() >= k_max_read_ahead;
}

std::size_t caller_session::unparsed_head_bytes() const {
    const auto bytes = m_buffer.cdata() + m_parsed_bytes;
    const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
    // The parser has taken whole lines, so an empty line at the front ends the head.
    if (m_head_bytes > 0 && text.substr(0, 2) == "\r\n") {
        return 2;
    }
    const auto end = text.find("\r\n\r\n");
    return end == std::string_view::npos ? text.size() : end + 4;
}

void caller_session::parse() {
    if (!std::exchange(m_has_request_bytes, true)) {
        begin_request();
    }
    error_code failure;
    while (unparsed_bytes() > 0 && !m_parser->is_done()) {
        // The parser compares the limit only with the part of the head that it has not taken yet.
        if (!m_parser->is_header_done() &&
            m_head_bytes + unparsed_head_bytes() > m_request_limits.header_bytes) {
            reject(http::error::header_limit);
            return;
        }
        if (!make_room()) {
            return;
        }
        const bool was_in_head = !m_parser->is_header_done();
        const auto unparsed = m_buffer.cdata() + m_parsed_bytes;
        const std::size_t used = m_parser->put(unparsed, failure);
        if (was_in_head) {
            count_head(boost::asio::buffer(unparsed, used));
        }
        consume(used);
        if (failure == http::error::need_more) {
            break;
        }
        if (failure) {
            reject(failure);
            return;
        }
    }
    if (m_parser->is_done()) {
        serve();
        return;
    }
    if (m_parser->is_header_done()) {
        // What the parser has left is a part of the line before a chunk, or of the trailer.
        if (unparsed_bytes() > m_request_limits.header_bytes) {
            reject(http::error::header_limit);
            return;
        }
        arm_timer(body_time_left());
        const bool wants_continue =
            boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue");
        if (wants_continue && !std::exchange(m_is_continue_sent, true)) {
            queue("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void caller_session::reject(const error_code& failure) {
    m_keeps_alive = false;
    m_host.traffic.sink.count("gateway_requests_unread", failure.message());
    reply_encoded(answer_to(failure));
}

void caller_session::serve() {
    m_timer.cancel();
    m_phase = session_phase::serving;
    auto message = m_parser->release();
    m_keeps_alive = message.keep_alive() && !m_host.is_draining;
    m_is_head_request = message.method() == http::verb::head;
    if (!has_unambiguous_framing(message)) {
        m_keeps_alive = false;
        reply_encoded({400, "Bad Request", {}, ""});
        return;
    }
    received_request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    received.fields = end_to_end_fields(message);
    received.body = std::move(message.body());
    m_request_bytes = received.body.capacity();
    auto request = m_host.codec.decode_request(std::move(received));
    request.received = m_first_byte;
    auto started =
        proxied_request::start(m_host.traffic, std::move(request), make_port(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_request.reset();
                self->m_request_bytes = 0;
                self->m_buffered_answer_bytes = 0;
                self->m_fields_bytes = 0;
                self->charge();
            }
        });
    // The request may already have been answered.
    if (!m_is_answered) {
        m_request = std::move(started);
    }
    charge();
}

} // namespace lovage
