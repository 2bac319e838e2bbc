#pragma once

#include "lovage/core/attempt_plan.h"
#include "lovage/core/event_splitter.h"
#include "lovage/core/route_table.h"
#include "lovage/core/silence_plan.h"
#include "lovage/core/stream_silence.h"
#include "lovage/ports/caller_port.h"
#include "lovage/ports/target_port.h"
#include "lovage/ports/timer_port.h"
#include "lovage/traffic/gateway_traffic.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// What the adapter knows of a caller's request once it is read.
struct caller_request {
    std::shared_ptr<const forwarded_request> forwarded;
    std::string host;
    std::string key;
    /// How long the caller waits, from `received`; 0 if it does not say.
    milliseconds deadline{0};
    /// Last event of an earlier answer that the caller has.
    std::string last_event_id;
    /// Tokens of the prompt, and its parts in order; 0 and empty if the request has none.
    std::uint64_t prompt_tokens = 0;
    std::vector<prompt_part> prompt;
    time_point received{};
};

/// One caller's request from its receipt to the end of its answer: attempts at targets, resumption of a
/// stream on another target, deadlines. It keeps itself alive while an attempt or a timer refers to it.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
public:
    /// Starts the request; the caller gets its answer through `caller`. `on_done` is called once, after the
    /// end of the answer.
    static std::shared_ptr<proxied_request> start(gateway_traffic& traffic, caller_request request,
                                                  caller_port caller, std::function<void()> on_done);
    ~proxied_request();
    proxied_request(const proxied_request&) = delete;
    proxied_request& operator=(const proxied_request&) = delete;

    /// The caller has left: the work at the target is stopped.
    void caller_left();
    /// The caller has taken bytes; reading goes on if it was paused.
    void caller_drained();

    /// Whether the request waits at this target and has received nothing for a while; a shorter while if it
    /// is certain that the target is lost.
    bool is_stuck_at(const std::string& target_id, bool is_certain) const;
    void target_lost(const std::string& target_id, bool is_certain);

private:
    proxied_request(gateway_traffic& traffic, caller_request request, caller_port caller,
                    std::function<void()> on_done);

    // One attempt at a target.
    struct attempt {
        std::uint32_t number = 0;
        /// Events that it has made.
        std::uint32_t event_count = 0;
        std::string target_id;
        std::string zone;
        std::string address;
        std::string version;
        memory_copy copy;
        bool from_copy = false;
        time_point started{};
        attempt_handle handle;
        bool has_head = false;
        bool has_event = false;
        /// It has been counted as slow.
        bool is_overdue = false;
        time_point first_event{};
        /// The target is being asked about the request, and what it has said during this silence.
        bool is_asking = false;
        std::optional<run_status> status;
        /// When the copy was last looked after, and whether it is being made.
        time_point copy_checked{};
        bool is_copying = false;
        answer_head head;
        std::string body;
        event_splitter events;
        stream_pace pace;
    };

    // The search for an engine that still keeps the prompt of an earlier answer.
    struct prompt_search {
        std::size_t open_questions = 0;
        std::string target_id;
        std::uint64_t tokens = 0;
    };

    void admit();
    bool may_start() const;
    bool has_earlier_answer() const;
    void look_for_prompt();
    void take_kept(const std::string& target_id, const std::vector<prompt_part>& kept);
    placement placement_among(const std::vector<target_candidate>& candidates);
    const target_record* choose_target_among(const std::vector<target_candidate>& candidates,
                                             const placement& want);
    void send(bool from_copy);
    attempt_events events_of(std::uint32_t number);
    silence_facts silence_of(const attempt& current) const;
    void watch_silence();
    void ask_target();
    void keep_copy();
    void renew_copy(bool is_new_holder);
    void take_copy(memory_copy copy);
    bool is_copy_lost(const memory_copy& copy) const;
    void take_head(const answer_head& head);
    void take_body(std::string_view bytes);
    void take_event(const stream_event& event, std::string& out);
    void take_end();
    void watch_begin();
    void observe_event();
    observed_answer observed(const attempt& current) const;
    void end_attempt(attempt_end end, const std::string& detail);
    attempt take_attempt();
    void release_target(const attempt& ended);
    void record_health(const attempt& ended, attempt_end end);
    bool can_go_on_elsewhere();
    void cancel_attempt();
    void follow_plan(attempt_end end, const std::string& detail);
    attempt_facts facts_of(attempt_end end);
    void deliver_answer(const attempt& done);
    void start_stream();
    void refuse(error_kind kind, const std::string& detail);
    void time_out();
    void finish(std::string_view outcome, const std::string& detail = "");
    bool is_stream() const { return m_route->kind == request_kind::streaming; }
    milliseconds time_left() const;
    void choose_copy_target(attempt& next, const std::vector<target_candidate>& candidates, placement want);
    void log_step(log_level level, std::string_view event, const std::string& outcome,
                  const std::string& detail);

    gateway_traffic& m_traffic;
    caller_request m_request;
    caller_port m_caller;
    std::function<void()> m_on_done;
    route_table_ptr m_table;
    const route* m_route = nullptr;
    const service_definition* m_service = nullptr;
    std::string m_service_name;
    std::string m_organisation;
    std::int64_t m_rank = 0;
    version_side m_side = version_side::usual;
    time_point m_ends{};
    std::optional<attempt> m_attempt;
    timer_cancel m_deadline_timer;
    timer_cancel m_silence_timer;
    timer_cancel m_begin_timer;
    std::vector<std::string> m_excluded;
    memory_copy m_copy;
    prompt_search m_search;
    std::optional<attempt> m_failed;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_runs = 0;
    std::uint32_t m_resumes = 0;
    bool m_is_started = false;
    bool m_is_passing = false;
    bool m_is_paused = false;
    bool m_is_done = false;
    std::string m_last_event_id;
    time_point m_last_delivery{};
    /// Time to the first event, and the longest time between two events.
    time_point::duration m_first_event{};
    time_point::duration m_longest_gap{};
};

} // namespace lovage
