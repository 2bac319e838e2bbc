#include "lovage/adapters/gateway/http_channel.h"

#include "target_connection.h"

#include "lovage/adapters/gateway/connection_fields.h"
#include "lovage/adapters/settings.h"
#include "lovage/core/http_status.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace lovage {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

using response_parser = http::response_parser<http::string_body>;

// A page of the store holds about 1 MB of values; base64 and JSON make it larger.
constexpr std::uint64_t k_max_response_bytes = 16'777'216;
// A connection is made within milliseconds. If its first packet is lost, TCP repeats it only after 1 s, which
// a new attempt does not wait for: after an outage of the network, that delays everything read from the
// store.
constexpr milliseconds k_connect_timeout{400};
// A response body must arrive at this rate in bytes per second on average, beyond the timeout of the call.
// The largest configuration takes about 2 s on a link of 10 Mbit/s; a timeout for the whole response would
// make each attempt to read it fail.
constexpr std::uint64_t k_min_body_rate = 100'000;
// A response body that does not arrive any further for this long has been lost.
constexpr milliseconds k_max_body_silence{1'000};

// Returns when a response that has arrived up to `received_bytes` of its body times out.
time_point body_deadline(time_point call_deadline, std::uint64_t received_bytes, time_point now) {
    const auto allowed = milliseconds(static_cast<std::int64_t>(received_bytes * 1'000 / k_min_body_rate));
    return std::min<time_point>(call_deadline + allowed, now + k_max_body_silence);
}

} // namespace

struct http_channel::state {
    std::string address;
    asio::io_context io;
    std::optional<boost::beast::tcp_stream> stream;
    boost::beast::flat_buffer buffer{k_max_unparsed_bytes};
    std::atomic<bool> is_stopped{false};

    // Runs the operation that was just started to completion.
    void run() {
        io.restart();
        io.run();
    }
    void close() {
        stream.reset();
        buffer.clear();
    }
    error_code connect(const tcp::endpoint& endpoint, time_point deadline);
    error_code send(const channel_request& request, time_point deadline);
    error_code receive(std::optional<response_parser>& parser, time_point deadline);
    result<channel_answer> call(const channel_request& request, time_point deadline);
};

error_code http_channel::state::connect(const tcp::endpoint& endpoint, time_point deadline) {
    error_code failure;
    stream.emplace(io);
    stream->expires_at(deadline);
    stream->async_connect(endpoint, [&failure](const error_code& outcome) { failure = outcome; });
    run();
    if (!failure) {
        stream->socket().set_option(tcp::no_delay(true), failure);
    }
    return failure;
}

error_code http_channel::state::send(const channel_request& request, time_point deadline) {
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, address);
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
        message.body() = request.body;
    }
    message.prepare_payload();
    error_code failure;
    stream->expires_at(deadline);
    http::async_write(*stream, message,
                      [&failure](const error_code& outcome, std::size_t /*bytes*/) { failure = outcome; });
    run();
    return failure;
}

error_code http_channel::state::receive(std::optional<response_parser>& parser, time_point deadline) {
    error_code failure;
    const auto store_outcome = [&failure](const error_code& outcome, std::size_t /*bytes*/) {
        failure = outcome;
    };
    stream->expires_at(deadline);
    int informational_heads = -1;
    do {
        if (++informational_heads > k_max_informational_heads) {
            return http::error::header_limit;
        }
        parser.emplace();
        parser->body_limit(k_max_response_bytes);
        http::async_read_header(*stream, buffer, *parser, store_outcome);
        run();
        if (!failure && !is_http_status(parser->get().result_int())) {
            return http::error::bad_status;
        }
    } while (!failure && parser->get().result_int() < 200);
    while (!failure && !parser->is_done()) {
        stream->expires_at(body_deadline(deadline, parser->get().body().size(), monotonic_now()));
        http::async_read_some(*stream, buffer, *parser, store_outcome);
        run();
    }
    return failure;
}

result<channel_answer> http_channel::state::call(const channel_request& request, time_point deadline) {
    std::optional<response_parser> parser;
    auto failure = send(request, deadline);
    if (!failure) {
        failure = receive(parser, deadline);
    }
    if (failure == http::error::body_limit) {
        close();
        return fail(error_kind::protocol_error, "the response is larger than the limit");
    }
    if (failure || is_stopped) {
        close();
        return fail(error_kind::store_unavailable, failure ? describe_read_failure(failure) : "stopped");
    }
    channel_answer answer{static_cast<int>(parser->get().result_int()), std::move(parser->get().body()),
                          end_to_end_fields(parser->get())};
    // Bytes beyond the answer would be taken for the answer to the next request.
    if (!parser->get().keep_alive() || buffer.size() > 0) {
        close();
    }
    return answer;
}

http_channel::http_channel(std::string address) : m_state(std::make_unique<state>()) {
    m_state->address = std::move(address);
}

http_channel::~http_channel() = default;

result<channel_answer> http_channel::exchange(const channel_request& request) {
    if (m_state->is_stopped) {
        return fail(error_kind::peer_unreachable, "stopped");
    }
    const auto parsed = parse_endpoint(m_state->address);
    if (!parsed) {
        return fail(error_kind::peer_unreachable, parsed.error().detail);
    }
    const auto deadline = monotonic_now() + request.timeout;
    if (m_state->stream && !can_reuse_connection(m_state->stream->socket())) {
        m_state->close();
    }
    if (!m_state->stream) {
        const tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
        const auto failure =
            m_state->connect(endpoint, std::min<time_point>(deadline, monotonic_now() + k_connect_timeout));
        if (failure) {
            m_state->close();
            return fail(error_kind::peer_unreachable, failure.message());
        }
    }
    return m_state->call(request, deadline);
}

void http_channel::stop() {
    m_state->is_stopped = true;
    asio::post(m_state->io, [this] {
        if (m_state->stream) {
            m_state->stream->close();
        }
    });
}

} // namespace lovage
