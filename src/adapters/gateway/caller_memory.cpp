#include "caller_session.h"
#include "caller_session_helpers.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace lovage {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Estimated sizes: a session with its parser and socket; a header field in the parser and in the request
// beside its text; an exchange with a target, mostly its read buffers.
constexpr std::size_t k_session_bytes = 6'144;
constexpr std::size_t k_field_bytes = 160;
constexpr std::size_t k_exchange_bytes = 32'768;
// Retry delay of callers that are refused for memory: abusive clients are disconnected within milliseconds,
// and the memory of requests in progress comes free within about a second.
constexpr milliseconds k_memory_retry_after{500};
// Time within which a caller that reads receives what was written to it: 262 kB, the most that is buffered
// for a caller before its target is paused, take 210 ms at 10 Mbit/s.
constexpr milliseconds k_max_write_time{250};

std::size_t size_of_fields(const http::fields& fields) {
    std::size_t size = 0;
    for (const auto& field : fields) {
        size += k_field_bytes + 2 * (field.name_string().size() + field.value().size());
    }
    return size;
}

// Estimates the size of the fields at the front of `bytes` before they are parsed, which allocates each of
// them. What follows the head is a body or another request.
std::size_t size_of_unparsed_fields(asio::const_buffer bytes) {
    const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
    const auto head = text.substr(0, text.find("\r\n\r\n"));
    const auto lines = std::count(head.begin(), head.end(), '\n');
    return static_cast<std::size_t>(lines) * k_field_bytes + 2 * head.size();
}

// The field is parsed again, since GCC warns of an uninitialized value in Beast's content_length() when the
// sanitizers are on. The parser has checked it.
template <class Parser>
std::optional<std::uint64_t> announced_length(const Parser& parser) {
    const auto text = parser.get()[http::field::content_length];
    std::uint64_t length = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool is_length = failure == std::errc() && end == text.data() + text.size() && !parser.chunked();
    return is_length ? std::optional<std::uint64_t>(length) : std::nullopt;
}

} // namespace

bool caller_session::make_room() {
    return m_parser->is_header_done() ? make_room_for_body() : make_room_for_fields();
}

bool caller_session::make_room_for_fields() {
    charge();
    const auto needed = size_of_unparsed_fields(m_buffer.cdata() + m_parsed_bytes);
    if (!may_hold(m_host.memory, m_charged_bytes, needed)) {
        wait_for_memory(needed);
        return false;
    }
    return true;
}

void caller_session::wait_for_memory(std::size_t bytes) {
    m_wanted_bytes = bytes;
    m_waiting_self = shared_from_this();
    m_host.on_memory_short();
}

bool caller_session::make_room_for_body() {
    auto& body = m_parser->get().body();
    const auto most = std::min<std::uint64_t>(
        announced_length(*m_parser).value_or(m_request_limits.body_bytes), m_request_limits.body_bytes);
    const auto needed = std::min<std::size_t>(body.size() + unparsed_bytes(), most);
    if (needed <= body.capacity()) {
        return true;
    }
    const auto capacity = grown_capacity(body.capacity(), needed, most);
    charge();
    // The old buffer is held until its bytes have been copied to the new one.
    if (!may_hold(m_host.memory, m_charged_bytes, capacity)) {
        wait_for_memory(capacity);
        return false;
    }
    body.reserve(capacity);
    charge();
    return true;
}

void caller_session::count_head(asio::const_buffer parsed) {
    m_head_bytes += parsed.size();
    m_fields_bytes = m_parser->is_header_done() ? size_of_fields(m_parser->get())
                                                : m_fields_bytes + size_of_unparsed_fields(parsed);
}

std::size_t caller_session::held_bytes() const {
    if (m_phase == session_phase::closed) {
        return 0;
    }
    std::size_t bytes = k_session_bytes + m_buffer.capacity() + m_pending.capacity() + m_in_flight.capacity();
    bytes += m_fields_bytes + m_request_bytes + m_buffered_answer_bytes;
    bytes += m_phase == session_phase::reading && m_parser ? m_parser->get().body().capacity() : 0;
    bytes += m_request ? k_exchange_bytes : 0;
    bytes += m_is_unread ? static_cast<std::size_t>(k_socket_buffer) : 0;
    bytes += is_read_ahead_full() ? static_cast<std::size_t>(k_socket_buffer) : 0;
    return bytes;
}

void caller_session::charge() {
    const auto bytes = held_bytes();
    auto& memory = m_host.memory;
    memory.held = memory.held - m_charged_bytes + bytes;
    const bool has_grown = bytes > std::exchange(m_charged_bytes, bytes);
    if (has_grown && missing_bytes(memory, 0, 0) > 0) {
        m_host.on_memory_short();
    }
}

holder_state caller_session::state_of_holder(time_point now) const {
    if (m_is_writing && now - m_write_began > k_max_write_time) {
        return holder_state::unread;
    }
    if (m_request) {
        return holder_state::running;
    }
    const bool is_reading = m_phase == session_phase::reading && m_has_request_bytes;
    return is_reading ? holder_state::reading : holder_state::idle;
}

// A cut frees the memory of the request at once, but that of the connection only after the caller has read
// the answer.
std::size_t caller_session::freeable_bytes(holder_state state) const {
    switch (state) {
    case holder_state::unread:
        return m_charged_bytes;
    case holder_state::running:
        return m_fields_bytes + m_request_bytes + m_buffered_answer_bytes + k_exchange_bytes;
    case holder_state::reading:
        return m_fields_bytes + m_parser->get().body().capacity() +
               (can_cancel_read() || !m_is_reading ? excess_buffer_bytes() : 0);
    case holder_state::idle:
        break;
    }
    return 0;
}

std::size_t caller_session::excess_buffer_bytes() const {
    return m_buffer.capacity() - std::min(m_buffer.capacity(), k_first_read_block);
}

void caller_session::release_read_buffer() {
    if (!can_cancel_read() || m_releasing_bytes > 0) {
        return;
    }
    m_releasing_bytes = excess_buffer_bytes();
    m_host.memory.releasing += m_releasing_bytes;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

bool caller_session::end_buffer_release() {
    const auto bytes = std::exchange(m_releasing_bytes, 0);
    m_host.memory.releasing -= bytes;
    return bytes > 0;
}

memory_holder caller_session::memory_use(std::size_t index, time_point now) const {
    memory_holder holder;
    holder.index = index;
    holder.state = state_of_holder(now);
    holder.bytes = freeable_bytes(holder.state);
    holder.age = m_first_byte == time_point{} ? time_point::duration::zero() : now - m_first_byte;
    return holder;
}

void caller_session::end_memory_wait() {
    if (m_phase != session_phase::reading || m_wanted_bytes == 0) {
        return;
    }
    const auto self = shared_from_this();
    stop_memory_wait();
    parse();
    if (m_wanted_bytes > 0) {
        cut_for_memory();
    }
    read();
    charge();
}

void caller_session::stop_memory_wait() {
    m_wanted_bytes = 0;
    m_waiting_self.reset();
}

void caller_session::cut_for_memory() {
    const auto self = shared_from_this();
    const auto use = memory_use(0, monotonic_now());
    m_host.traffic.sink.count("gateway_cut_for_memory",
                              std::string(name_of(k_holder_state_names, use.state)));
    stop_memory_wait();
    switch (use.state) {
    case holder_state::idle:
        break;
    case holder_state::reading: {
        error_reply refusal;
        refusal.kind = error_kind::overloaded;
        refusal.is_not_run = true;
        refusal.retry_after = k_memory_retry_after;
        m_keeps_alive = false;
        release_read_buffer();
        reply(refusal);
        consume(unparsed_bytes());
        read();
        break;
    }
    case holder_state::running: {
        const auto request = m_request;
        request->on_memory_short();
        break;
    }
    case holder_state::unread:
        handle_bytes(asio::error::no_buffer_space, 0);
        break;
    }
    charge();
}

} // namespace lovage
