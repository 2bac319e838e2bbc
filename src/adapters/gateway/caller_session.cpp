#include "caller_session.h"
#include "caller_session_helpers.h"

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Time that the caller has to read the last response before the connection is closed.
constexpr milliseconds k_linger_timeout{1'000};

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, session_host& host,
                               std::function<void(caller_session*)> on_closed)
    : m_socket(std::move(socket)), m_host(host), m_on_closed(std::move(on_closed)),
      m_timer(m_socket.get_executor()), m_write_timer(m_socket.get_executor()) {}

const caller_limits& caller_session::limits() const {
    static const caller_limits k_default_limits;
    const auto& table = m_host.traffic.view->table;
    return table ? table->limits : k_default_limits;
}

void caller_session::start() {
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::receive_buffer_size(k_socket_buffer), ignored);
    m_socket.set_option(asio::socket_base::send_buffer_size(k_socket_buffer), ignored);
    expect_request();
    read();
}

void caller_session::linger() {
    // Closing a socket that has unread bytes resets the connection, which can discard the response.
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    consume(unparsed_bytes());
    arm_timer(k_linger_timeout);
    read();
}

void caller_session::close() {
    if (std::exchange(m_phase, session_phase::closed) == session_phase::closed) {
        return;
    }
    m_timer.cancel();
    m_write_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    if (m_parser) {
        free_storage(m_parser->get().body());
    }
    free_storage(m_pending);
    stop_memory_wait();
    end_buffer_release();
    charge();
    m_on_closed(this);
}

bool caller_session::is_request_parsed() const {
    return m_phase == session_phase::serving || m_phase == session_phase::answered;
}

bool caller_session::is_busy() const {
    return is_request_parsed() || is_sending() ||
           (m_phase == session_phase::reading && m_has_request_bytes) ||
           (m_phase == session_phase::lingering && m_is_refused_early);
}

void caller_session::refuse_half_read() {
    if (m_phase == session_phase::reading && m_has_request_bytes) {
        error_reply refusal;
        refusal.kind = error_kind::leaving;
        refusal.is_not_run = true;
        m_keeps_alive = false;
        reply(refusal);
    }
}

void caller_session::close_if_idle() {
    if (m_phase != session_phase::reading || is_busy()) {
        return;
    }
    // A read that has already completed brings its bytes, which cancelling leaves alone.
    m_is_closing_idle = true;
    error_code ignored;
    m_socket.cancel(ignored);
}

} // namespace lovage
