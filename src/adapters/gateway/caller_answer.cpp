#include "caller_session.h"
#include "caller_session_helpers.h"

#include "lovage/adapters/gateway/connection_fields.h"

#include <array>
#include <boost/asio/post.hpp>
#include <cstdio>

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// The next request on a connection is served once no more than this much of the answers before it is unread.
constexpr std::size_t k_max_unread_before_next = 65'536;

std::string chunk_of(std::string_view bytes) {
    std::array<char, 20> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(digits));
    return chunk.append(bytes).append("\r\n");
}

} // namespace

caller_port caller_session::make_port() {
    const auto self = shared_from_this();
    caller_port port;
    port.reply = [self](const error_reply& answer) { self->reply(answer); };
    port.start = [self](const answer_head& head, std::optional<std::size_t> body_bytes) {
        self->start_answer(head, body_bytes);
    };
    port.write = [self](std::string bytes) { self->write_body(std::move(bytes)); };
    port.finish = [self] { self->finish_answer(); };
    port.break_off = [self] {
        self->m_is_answered = true;
        self->m_closes_after_write = true;
        self->m_phase = session_phase::lingering;
        self->flush();
    };
    port.backlog = [self] { return self->m_pending.size() + self->m_in_flight.size(); };
    port.hold = [self](std::size_t bytes) {
        self->m_buffered_answer_bytes = bytes;
        self->charge();
    };
    return port;
}

void caller_session::reply(const error_reply& answer) {
    if (answer.kind == error_kind::not_ready || answer.kind == error_kind::store_unavailable) {
        // A new connection may lead to another gateway that can serve the caller's next request.
        m_keeps_alive = false;
    }
    reply_encoded(m_host.codec.encode_answer(answer));
}

void caller_session::reply_encoded(const encoded_answer& answer) {
    m_is_refused_early = m_phase == session_phase::reading;
    m_keeps_alive = m_keeps_alive && !m_host.is_draining;
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " + answer.reason + "\r\n";
    for (const auto& [name, value] : answer.fields) {
        append_field(text, name, value);
    }
    append_field(text, "Content-Length", std::to_string(answer.body.size()));
    if (!m_keeps_alive) {
        append_field(text, "Connection", "close");
    }
    text += "\r\n";
    if (!m_is_head_request) {
        text += answer.body;
    }
    queue(text);
    end_request();
}

void caller_session::start_answer(const answer_head& head, std::optional<std::size_t> body_bytes) {
    const bool has_no_body = m_is_head_request || head.status == 204 || head.status == 304;
    m_is_chunked = !body_bytes && !has_no_body;
    m_keeps_alive = m_keeps_alive && !m_host.is_draining;
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    for (const auto& [name, value] : head.fields) {
        append_field(text, name, value);
    }
    if (m_is_chunked) {
        append_field(text, "Transfer-Encoding", "chunked");
    } else if (!has_no_body) {
        append_field(text, "Content-Length", std::to_string(*body_bytes));
    }
    if (!m_keeps_alive) {
        append_field(text, "Connection", "close");
    }
    m_pending += text + "\r\n";
    charge();
}

void caller_session::write_body(std::string bytes) {
    if (bytes.empty()) {
        return;
    }
    queue(m_is_chunked ? chunk_of(bytes) : std::move(bytes));
}

void caller_session::finish_answer() {
    queue(m_is_chunked ? "0\r\n\r\n" : "");
    end_request();
}

void caller_session::end_request() {
    m_is_answered = true;
    m_request.reset();
    m_request_bytes = 0;
    m_buffered_answer_bytes = 0;
    m_fields_bytes = 0;
    if (m_phase == session_phase::closed) {
        return;
    }
    if (m_phase == session_phase::reading) {
        // What has arrived of a refused request is not needed while its caller reads the refusal.
        m_parser.emplace();
        stop_memory_wait();
    }
    if (!m_keeps_alive) {
        m_closes_after_write = true;
        m_phase = session_phase::lingering;
        flush();
        charge();
        return;
    }
    m_phase = session_phase::answered;
    expect_next_request();
    charge();
}

void caller_session::expect_next_request() {
    if (m_phase != session_phase::answered ||
        m_pending.size() + m_in_flight.size() - m_written > k_max_unread_before_next) {
        return;
    }
    // Posted, since this function may run within another function of this session.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == session_phase::answered) {
            self->expect_request();
            self->read();
        }
    });
}

void caller_session::queue(const std::string& bytes) {
    m_pending += bytes;
    flush();
    charge();
}

void caller_session::flush() {
    if (m_is_writing || m_phase == session_phase::closed) {
        return;
    }
    if (m_pending.empty()) {
        if (m_closes_after_write) {
            linger();
        } else if (m_phase == session_phase::reading && !m_has_request_bytes) {
            start_idle_time();
        }
        return;
    }
    m_is_writing = true;
    m_in_flight = std::exchange(m_pending, {});
    m_written = 0;
    m_write_began = monotonic_now();
    write();
    charge();
}

void caller_session::write() {
    m_write_timer.start(m_host.max_write_silence, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handle_bytes(asio::error::timed_out, 0);
        }
    });
    m_socket.async_write_some(asio::buffer(m_in_flight) + m_written,
                              [self = shared_from_this()](const error_code& failure, std::size_t bytes) {
                                  self->handle_written(failure, bytes);
                              });
}

void caller_session::handle_written(const error_code& failure, std::size_t bytes) {
    m_written += bytes;
    if (!failure && m_phase != session_phase::closed && m_written < m_in_flight.size()) {
        m_is_unread = true;
        write();
        expect_next_request();
        charge();
        return;
    }
    m_write_timer.cancel();
    m_is_writing = false;
    m_is_unread = false;
    free_storage(m_in_flight);
    m_written = 0;
    if (failure) {
        handle_bytes(failure, 0);
        return;
    }
    if (m_request) {
        m_request->on_caller_writable();
    }
    flush();
    expect_next_request();
    charge();
}

} // namespace lovage
