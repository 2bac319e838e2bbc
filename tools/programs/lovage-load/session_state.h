#pragma once

#include "session.h"

#include "standins/answer_check.h"
#include "standins/event_stream.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovage::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using strand = asio::strand<asio::io_context::executor_type>;
using tcp_stream = beast::basic_stream<asio::ip::tcp, strand>;

inline constexpr std::size_t k_read_buffer_bytes = 16'384;

/// Microseconds between two times; 0 if `to` is the earlier one.
inline std::uint32_t elapsed_us(time_point from, time_point to) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, (to - from).count()));
}

/// State of a request with all its attempts. Internal to `request_session`.
struct request_session::state {
    state(asio::io_context& context, const load_options& run_options, request_plan request_to_send)
        : options(run_options), plan(std::move(request_to_send)), executor(asio::make_strand(context)),
          retry_timer(executor) {}

    const load_options& options;
    request_plan plan;
    strand executor;
    asio::steady_timer retry_timer;
    time_point run_start{};
    time_point started{};
    done_handler on_done;
    request_record record;
    standins::answer_check check;
    // Tokens received so far. A retry to an engine sends them, so that it resumes the generation.
    std::vector<token> accepted;
    std::string last_event_id;

    std::optional<tcp_stream> stream;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::buffer_body>> parser;
    beast::flat_buffer buffer;
    std::array<char, k_read_buffer_bytes> block{};
    standins::event_stream events;
    std::string body;
    time_point last_token{};
    // When the last token arrived, or the attempt started.
    time_point token_timer_start{};
    bool is_attempt_over = false;
    // Connections that failed in a row before the header of a response.
    std::uint32_t consecutive_connection_failures = 0;
    bool is_stopped = false;
    bool is_finished = false;
};

} // namespace lovage::load
