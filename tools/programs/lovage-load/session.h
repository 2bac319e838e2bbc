#pragma once

#include "options.h"
#include "record.h"
#include "workload.h"

#include "lovage/core/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace lovage::load {

/// One request with all its retries. It runs on the I/O threads, on a strand of its own, and keeps itself
/// alive until it is done.
class request_session : public std::enable_shared_from_this<request_session> {
public:
    using done_handler = std::function<void(request_record)>;

    /// Starts the request. `started` is when it was due, so that a late start counts towards its latency.
    /// `on_done` is called once, on an I/O thread. `options` must outlive the session.
    static std::shared_ptr<request_session> start(boost::asio::io_context& context,
                                                  const load_options& options, request_plan plan,
                                                  time_point run_start, time_point started,
                                                  done_handler on_done);
    ~request_session();
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    /// Ends the request with outcome `stopped`. May be called on any thread.
    void stop();

private:
    struct state;
    explicit request_session(std::unique_ptr<state> initial);

    void begin_attempt();
    void send_request();
    void read_header();
    void read_body();
    void on_body(std::string_view bytes);
    void on_end_of_body();
    void on_error_answer();
    void on_events();
    void on_json_answer();
    void on_call_answer();
    void retry(retry_cause cause);
    void finish(outcome end);
    void set_read_timeout();
    template <class Handler>
    auto guard_handler(Handler handler, retry_cause lost);

    std::unique_ptr<state> m_state;
};

} // namespace lovage::load
