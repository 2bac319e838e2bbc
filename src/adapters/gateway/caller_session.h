#pragma once

#include "budgeted_body.h"

#include "lovage/adapters/gateway/one_shot_timer.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/memory_budget.h"
#include "lovage/core/pending_reads.h"
#include "lovage/ports/request_codec.h"
#include "lovage/traffic/gateway_traffic.h"
#include "lovage/traffic/proxied_request.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
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
    memory_account memory;
    /// Called when the budget is short: sessions must be cut, or a session waits for memory. The sessions
    /// are cut later, not within the call.
    std::function<void()> on_memory_short;
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

    /// What a cut of the session would free, for the decision who is cut.
    memory_holder memory_use(std::size_t index, time_point now) const;
    /// Bytes that it has charged to the budget.
    std::size_t charged_bytes() const { return m_charged_bytes; }
    /// Bytes that it must get before it reads on; 0 if it does not wait for memory.
    std::size_t wanted_bytes() const { return m_wanted_bytes; }
    /// Reads on after a shortage, or refuses the request if there is still no memory for it.
    void end_memory_wait();
    /// Refuses the request as not run if it has not arrived whole, otherwise ends it with what can be stated
    /// of it, to free its memory.
    void cut_for_memory();

private:
    using parser_type = boost::beast::http::request_parser<budgeted_body>;

    void expect_request();
    void begin_request();
    void start_idle_time();
    void read();
    void handle_bytes(const boost::system::error_code& failure, std::size_t bytes);
    void parse();
    /// Marks the first unparsed bytes as parsed.
    void consume(std::size_t bytes);
    std::size_t unparsed_bytes() const { return m_buffer.size() - m_parsed_bytes; }
    /// Bytes of the head among the unparsed bytes, which may hold more behind it.
    std::size_t unparsed_head_bytes() const;
    /// Makes room for what the parser is about to add to the head or the body; false if there is no memory.
    bool make_room();
    bool make_room_for_fields();
    bool make_room_for_body();
    void wait_for_memory(std::size_t bytes);
    /// Counts the part of a head that the parser has taken.
    void count_head(boost::asio::const_buffer parsed);
    /// Adjusts what the session has charged to the budget.
    void charge();
    std::size_t held_bytes() const;
    std::size_t freeable_bytes(holder_state state) const;
    /// Capacity of the read buffer beyond that of an idle connection.
    std::size_t excess_buffer_bytes() const;
    /// Whether the read in progress can be cancelled, which would also end a write.
    bool can_cancel_read() const { return m_is_reading && !m_is_writing; }
    /// Cancels the read in progress, so that its buffer is freed.
    void release_read_buffer();
    /// Stops counting the read buffer as released; returns false if it was not.
    bool end_buffer_release();
    holder_state state_of_holder(time_point now) const;
    void stop_memory_wait();
    /// Whether nothing more is read until the current request is answered.
    bool is_read_ahead_full() const;
    void reject(const boost::system::error_code& failure);
    void serve();
    caller_port make_port();
    void reply(const error_reply& answer);
    void reply_encoded(const encoded_answer& answer);
    void start_answer(const answer_head& head, std::optional<std::size_t> body_bytes);
    void write_body(std::string bytes);
    void finish_answer();
    void end_request();
    /// Goes on to the next request on the connection, unless too much of the last answer is unread.
    void expect_next_request();
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
    /// Bytes at the front of `m_buffer` that were parsed while a read into it was in progress. They are
    /// removed when it ends.
    std::size_t m_parsed_bytes = 0;
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
    /// Bytes of `m_in_flight` that have been written, and when the first write of it began.
    std::size_t m_written = 0;
    time_point m_write_began{};
    /// Whether the kernel's send buffer was full at the last write, since the caller does not read.
    bool m_is_unread = false;
    /// Bytes charged to the budget.
    std::size_t m_charged_bytes = 0;
    std::size_t m_wanted_bytes = 0;
    /// Bytes of the read buffer that are freed when the cancelled read has ended.
    std::size_t m_releasing_bytes = 0;
    /// Keeps the session alive while it waits for memory, since no operation is in progress then.
    std::shared_ptr<caller_session> m_waiting_self;
    /// Estimated size of the parsed header fields, and the bytes of the head that they were parsed from.
    std::size_t m_fields_bytes = 0;
    std::size_t m_head_bytes = 0;
    /// Size of the body of the request that is being served, and of the part of its answer that is buffered
    /// until it is complete.
    std::size_t m_request_bytes = 0;
    std::size_t m_buffered_answer_bytes = 0;
};

} // namespace lovage
