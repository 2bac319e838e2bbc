#include "target_exchange.h"

#include "lovage/adapters/gateway/connection_fields.h"
#include "lovage/adapters/settings.h"
#include "lovage/core/http_status.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <netinet/tcp.h>

namespace lovage {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A connection on which sent data is not acknowledged for this long is closed. Requests on reused connections
// depend on it, since no connect shows first whether the target is reachable. TCP recovers from two
// consecutive lost packets within this time.
constexpr milliseconds k_tcp_user_timeout{500};
// Largest request that fits into the receive window of a target that does not read yet. With a larger one the
// window may close, and the kernel counts the time until the target reads on towards the timeout above.
constexpr std::size_t k_max_unread_request_bytes = 65'536;
// Seconds before the first keepalive probe and between probes, and the number of probes; the minimum of each.
constexpr int k_keepalive = 1;

bool has_body(const forwarded_request& request) {
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
           request.method == "PATCH";
}

std::string head_text(const forwarded_request& request, const std::vector<header_field>& fields) {
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
        append_field(text, name, value);
    }
    if (has_body(request)) {
        append_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text + "\r\n";
}

void set_user_timeout(tcp::socket& socket, milliseconds timeout) {
    const auto timeout_ms = static_cast<unsigned>(std::max<std::int64_t>(timeout.count(), 1));
    // If this fails, an unreachable target is detected later, by the timeouts of the request.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

void set_options(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    set_user_timeout(socket, k_tcp_user_timeout);
    // Keepalive probes detect a target that is lost during prefill, when nothing else is sent to it.
    const int on = 1;
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    for (const int option : {TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT}) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &k_keepalive, sizeof(k_keepalive));
    }
}

} // namespace

target_exchange::target_exchange(asio::io_context& io, const request_codec& codec,
                                 std::shared_ptr<const forwarded_request> request, attempt_parameters options,
                                 attempt_events events, release_connection release)
    : m_io(io), m_codec(codec), m_request(std::move(request)), m_options(std::move(options)),
      m_events(std::move(events)), m_release(std::move(release)), m_connect_timer(io.get_executor()) {}

void target_exchange::start(std::unique_ptr<target_connection> idle_connection,
                            milliseconds connect_timeout) {
    if (idle_connection) {
        m_connection = std::move(idle_connection);
        write();
        return;
    }
    connect(connect_timeout);
}

void target_exchange::connect(milliseconds timeout) {
    m_connection = std::make_unique<target_connection>(m_io);
    m_connection->address = m_options.address;
    const auto parsed = parse_endpoint(m_options.address);
    if (!parsed) {
        asio::post(m_io, [self = shared_from_this()] {
            self->fail("invalid target address: " + self->m_options.address);
        });
        return;
    }
    const tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
    m_connect_timer.start(timeout, [self = shared_from_this()] { self->fail("connect timed out"); });
    m_connection->socket.async_connect(endpoint, [self = shared_from_this()](const error_code& failure) {
        if (self->is_finished()) {
            return;
        }
        self->m_connect_timer.cancel();
        if (failure) {
            self->fail(failure.message());
            return;
        }
        set_options(self->m_connection->socket);
        self->write();
    });
}

void target_exchange::write() {
    m_phase = exchange_phase::reading_head;
    if (m_request->body.size() > k_max_unread_request_bytes) {
        set_user_timeout(m_connection->socket, m_options.time_left);
    }
    m_connection->has_carried_call_without_id |= m_request->id.empty();
    m_head_text = head_text(*m_request, m_codec.encode_attempt(*m_request, m_options));
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head_text), asio::buffer(m_request->body)};
    asio::async_write(m_connection->socket, buffers,
                      [self = shared_from_this()](const error_code& failure, std::size_t /*bytes*/) {
                          // A failed write needs no handling: reading fails too, unless a response arrived
                          // first.
                          self->m_is_request_sent = !failure;
                      });
    read_head();
}

void target_exchange::read_head() {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(k_max_unparsed_bytes));
    // Boost 1.74 rejects every body that has a length if no limit is set.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_request->method == "HEAD");
    http::async_read_header(m_connection->socket, m_connection->buffer, *m_parser,
                            [self = shared_from_this()](const error_code& failure, std::size_t /*bytes*/) {
                                if (self->is_finished()) {
                                    return;
                                }
                                if (failure == http::error::bad_status) {
                                    self->reject_status(0);
                                    return;
                                }
                                if (failure) {
                                    self->fail(describe_read_failure(failure));
                                    return;
                                }
                                self->handle_head();
                            });
}

void target_exchange::handle_head() {
    const auto& message = m_parser->get();
    if (!is_http_status(message.result_int())) {
        reject_status(static_cast<int>(message.result_int()));
        return;
    }
    if (message.result_int() < 200) {
        if (++m_informational_heads > k_max_informational_heads) {
            fail("too many informational responses");
            return;
        }
        read_head();
        return;
    }
    auto head = m_codec.decode_answer(static_cast<int>(message.result_int()), std::string(message.reason()),
                                      end_to_end_fields(message), *m_request);
    head.ends_with_connection = m_parser->need_eof();
    m_events.on_head(head);
    if (!is_finished()) {
        m_phase = exchange_phase::reading_body;
        read_body();
    }
}

// The header fields of such an answer are ignored too. A code that is no number counts as 0.
void target_exchange::reject_status(int status) {
    answer_head invalid;
    invalid.status = status;
    invalid.has_invalid_status = true;
    m_events.on_head(invalid);
    fail("invalid status " + std::to_string(status));
}

void target_exchange::read_body() {
    if (m_parser->is_done()) {
        handle_end();
        return;
    }
    if (m_is_paused) {
        return;
    }
    m_is_reading = true;
    m_parser->get().body().data = m_body_part.data();
    m_parser->get().body().size = m_body_part.size();
    http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser,
                          [self = shared_from_this()](const error_code& failure, std::size_t /*bytes*/) {
                              if (!self->is_finished()) {
                                  self->handle_body(failure);
                              }
                          });
}

void target_exchange::handle_body(const error_code& failure) {
    const std::size_t size = m_body_part.size() - m_parser->get().body().size;
    if (size > 0) {
        m_events.on_body(std::string_view(m_body_part.data(), size));
        if (is_finished()) {
            return;
        }
    }
    if (failure && failure != http::error::need_buffer) {
        fail(describe_read_failure(failure));
        return;
    }
    if (m_parser->is_done() && m_parser->need_eof() && !m_is_request_sent) {
        // The kernel reports a reset once. If the write takes the error, reading sees an orderly end.
        fail("the connection ended before the request was sent and the answer states no length");
        return;
    }
    // Only now, since `on_body` may call `pause`, which would start a second read.
    m_is_reading = false;
    read_body();
}

void target_exchange::handle_end() {
    m_phase = exchange_phase::finished;
    const bool is_reusable = m_parser->keep_alive() && m_is_request_sent && m_connection->buffer.size() == 0;
    if (is_reusable) {
        if (m_request->body.size() > k_max_unread_request_bytes) {
            set_user_timeout(m_connection->socket, k_tcp_user_timeout);
        }
        m_release(std::move(m_connection));
    } else {
        // Operations in progress still refer to the connection, so it is destroyed with the exchange.
        error_code ignored;
        m_connection->socket.close(ignored);
    }
    std::exchange(m_events, {}).on_end();
}

void target_exchange::fail(const std::string& detail) {
    const auto phase = std::exchange(m_phase, exchange_phase::finished);
    if (phase == exchange_phase::finished) {
        return;
    }
    const auto end = phase == exchange_phase::connecting ? attempt_end::unreachable : attempt_end::broken;
    m_connect_timer.cancel();
    error_code ignored;
    m_connection->socket.close(ignored);
    std::exchange(m_events, {}).on_failure(end, detail);
}

void target_exchange::cancel() {
    if (std::exchange(m_phase, exchange_phase::finished) == exchange_phase::finished) {
        return;
    }
    m_connect_timer.cancel();
    error_code ignored;
    m_connection->socket.close(ignored);
    // `cancel` may be called from within one of the events, so they are destroyed later.
    asio::post(m_io, [events = std::move(m_events)] {});
    m_events = {};
}

void target_exchange::pause(bool paused) {
    m_is_paused = paused;
    if (!paused && !m_is_reading && m_phase == exchange_phase::reading_body) {
        read_body();
    }
}

} // namespace lovage
