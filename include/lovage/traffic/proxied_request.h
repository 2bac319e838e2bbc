#pragma once

#include "lovage/core/answer_plan.h"
#include "lovage/core/attempt_plan.h"
#include "lovage/core/event_splitter.h"
#include "lovage/core/pending_reads.h"
#include "lovage/core/request_quarantine.h"
#include "lovage/core/route_table.h"
#include "lovage/core/stall_plan.h"
#include "lovage/core/stream_stall.h"
#include "lovage/ports/caller_port.h"
#include "lovage/ports/target_port.h"
#include "lovage/ports/timer_port.h"
#include "lovage/traffic/gateway_traffic.h"
#include "lovage/traffic/route_explanation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// A caller's request as the adapter has parsed it.
struct caller_request {
    std::shared_ptr<const forwarded_request> forwarded;
    std::string host;
    std::string key;
    /// Timeout that the caller set, counted from `received`; 0 for none.
    milliseconds deadline{0};
    /// Id of the last event that the caller received of a previous, interrupted answer; empty for none.
    std::string last_event_id;
    /// Number of tokens of the prompt, and its parts in order; 0 and empty if the request has no prompt.
    std::uint64_t prompt_tokens = 0;
    /// Most tokens that the answer may have; 0 if unknown.
    std::uint64_t max_output_tokens = 0;
    std::vector<prompt_part> prompt;
    time_point received{};
};

/// One caller's request from its arrival to the end of its answer: attempts at targets, resumption of a
/// stream at another target, deadlines. Used only on the traffic thread. Attempts and timers hold shared
/// references to it.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
public:
    /// Starts the request; its answer is written to `caller`. `on_done` is called once, after the end of the
    /// answer.
    static std::shared_ptr<proxied_request> start(gateway_traffic& traffic, caller_request request,
                                                  caller_port caller, std::function<void()> on_done);
    ~proxied_request();
    proxied_request(const proxied_request&) = delete;
    proxied_request& operator=(const proxied_request&) = delete;

    /// Explains what would happen to the request if it arrived now; see `explain_route`.
    static route_explanation explain(gateway_traffic& traffic, caller_request request);

    /// Handles the caller's disconnection: cancels the attempt at the target.
    void on_caller_disconnected();
    /// Handles the end of the process: the caller gets its final answer, or the answer that has begun is
    /// broken off.
    void on_process_end();
    /// Refuses the request if it waits for its start and could not end before the end of the process.
    void on_stop_progress();
    /// Handles a shortage of memory that refusing further requests does not end: like `on_process_end`.
    void on_memory_short();
    /// Handles progress of writes to the caller; resumes reading from the target if backpressure had paused
    /// it.
    void on_caller_writable();

    /// Whether the request is stalled at this target. The limit is shorter if it is certain that the target
    /// is lost.
    bool is_stalled_at(const std::string& target_id, bool is_certain) const;
    /// Fails over if the request is stalled at this target and another one can run it.
    void on_target_lost(const std::string& target_id, bool is_certain);

    /// Returns the engine that has prefilled the prompt of the stream, if it runs there now.
    std::optional<prompt_location> located_prompt() const;
    /// Returns what the generation's copy is worth, if it runs at an engine of `service` and has a copy that
    /// can be released.
    std::optional<copy_value> releasable_copy(const std::string& service) const;
    /// Releases that copy.
    void release_copy();

private:
    proxied_request(gateway_traffic& traffic, caller_request request, caller_port caller,
                    std::function<void()> on_done);

    // One attempt at a target.
    struct attempt {
        std::uint32_t number = 0;
        /// Number of events received.
        std::uint32_t event_count = 0;
        target_record target;
        standby_copy copy;
        bool from_copy = false;
        /// Whether it counts as a prefill until its first event.
        bool is_prefill = true;
        time_point started{};
        attempt_handle handle;
        bool has_head = false;
        bool has_event = false;
        /// Whether reading is paused because of the caller's backlog.
        bool is_reading_paused = false;
        /// Whether the connection to the target ended without a complete response.
        bool is_connection_lost = false;
        /// Whether it has been counted as slow.
        bool is_overdue = false;
        /// Whether its target counts as lost because of its silence until it sends something.
        bool is_suspect = false;
        /// Whether another request has found that its target was lost.
        bool is_target_lost = false;
        /// Whether the holder of the standby copy has refused to resume from it.
        bool is_copy_refused = false;
        time_point first_event{};
        /// When the events began whose mean gap is measured next.
        time_point gap_sample_began{};
        /// Whether a probe of the target is in progress, and the result of the last one during the current
        /// stall.
        bool is_probing = false;
        std::optional<run_status> status;
        /// When the standby copy was last checked, and whether one is being made.
        time_point copy_checked{};
        /// When it was last considered whether it gets or keeps a copy.
        time_point copy_reviewed{};
        bool is_copying = false;
        answer_head head;
        answer_use use = answer_use::hold;
        std::string body;
        event_splitter events;
        stream_timing timing;
        /// Progress of an answer that is no stream.
        transfer_progress transfer;
    };

    // A silent attempt whose successor has not begun yet. Its target may still be sound, so it is kept to be
    // reinstated if the successor fails first.
    struct superseded_attempt {
        attempt run;
        /// What has arrived of it meanwhile, in order.
        std::vector<std::function<void(proxied_request&)>> deferred_events;
    };

    // A target that the request was sent to, and until when it is not sent there again.
    struct tried_target {
        std::string id;
        time_point excluded_until{};
        bool may_have_run = false;
    };

    // Why the request may not be sent to any target.
    struct refusal {
        error_kind kind = error_kind::internal;
        std::string detail;
    };

    struct step_choice {
        next_step step = next_step::break_off;
        /// False if the retry budget was too small for a send.
        bool has_budget = true;
    };

    // Search for an engine that has the prompt of a previous answer in its prefix cache; `tokens` is the best
    // match so far.
    struct prompt_search {
        std::size_t pending_queries = 0;
        std::string target_id;
        std::uint64_t tokens = 0;
    };

    void admit();
    /// Finds the route of the request; returns why it must be refused, or nothing.
    std::optional<refusal> find_route();
    /// Prepares the request for its admission; returns why it must be refused now, or nothing.
    std::optional<refusal> find_refusal();
    admission_request admission_facts(const start_condition& condition);
    void explain_targets(route_explanation& explanation);
    void start_or_wait();
    bool has_engine_memory(engine_claim claim);
    bool needs_engine_memory() const;
    bool limits_prefills() const;
    time_point::duration longest_wait() const;
    void record_prefill_end();
    /// Whether the request is of the most urgent of several ranks of the service's streams.
    bool is_most_urgent() const;
    /// Whether the service may have targets that this process has not read yet.
    bool awaits_target_list() const;
    /// Starts the request, or waits until `latest` if its service has no targets yet.
    void begin_after_target_list(time_point latest);
    start_condition condition_to_start(engine_claim claim);
    /// Returns when the first backoff of a target of the service ends; nothing if none is in its backoff.
    std::optional<time_point> next_backoff_end() const;
    queued_request place_in_queue() const;
    void wait_for_turn(milliseconds patience);
    prefill_load shared_prefill_load(const std::vector<target_candidate>& candidates, const placement& want);
    std::string describe_prefill_load();
    void refuse_waiting();
    /// Sends the request to another target, or lets it wait for room if that needs a prefill.
    void send_again();
    void wait_to_send_again(milliseconds patience);
    bool may_start() const;
    std::optional<refusal> find_quarantine() const;
    bool has_previous_answer() const;
    bool use_located_prompt();
    void find_cached_prompt();
    void handle_cached_parts(const std::string& target_id, const std::vector<prompt_part>& cached);
    placement placement_among(const std::vector<target_candidate>& candidates);
    const target_record* choose_target_among(const std::vector<target_candidate>& candidates, placement want);
    void send(bool from_copy);
    void begin_trial();
    attempt_events events_of(std::uint32_t number);
    bool is_current(std::uint32_t number) const;
    bool is_superseded(std::uint32_t number) const;
    void handle_superseded_event(std::function<void(proxied_request&)> event);
    first_event_limits limits_to_first_event() const;
    stall_state stall_state_of(const attempt& current) const;
    milliseconds answer_timeout() const;
    void check_for_stall();
    void probe_target();
    void maintain_copy();
    bool can_have_copy() const;
    copy_value value_of_copy() const;
    bool may_add_copy(const std::vector<target_candidate>& candidates, const placement& want) const;
    void review_copies();
    void renew_copy(bool is_new_holder);
    void replace_copy(standby_copy copy);
    bool is_copy_lost(const standby_copy& copy) const;
    void handle_head(const answer_head& head);
    void handle_body(std::string_view bytes);
    void handle_event(const stream_event& event, std::string& out);
    void handle_end();
    void watch_first_event();
    void observe_event();
    void record_survival();
    observed_answer observed(const attempt& current) const;
    void end_attempt(attempt_end end, const std::string& detail);
    void supersede_attempt(const std::string& detail);
    void reinstate_attempt(const std::string& reason);
    void release_superseded();
    void start_handover_timer();
    void recheck_stall_after(milliseconds delay);
    void wait_for_target(attempt_end end, const std::string& detail);
    milliseconds next_retry_delay();
    void use_usual_version_for_retries();
    void record_try(const std::string& id, attempt_end end);
    bool is_excluded(const std::string& id) const;
    std::vector<std::string> run_targets() const;
    std::vector<std::string> targets_beyond_limit(const std::vector<target_candidate>& candidates) const;
    std::vector<std::string> excluded_targets() const;
    std::vector<std::string> tried_targets() const;
    attempt take_attempt();
    void release_target(const attempt& ended);
    bool record_late_call(const attempt& ended);
    void record_health(const attempt& ended, attempt_end end);
    void record_crash_of(const attempt& ended);
    bool can_fail_over();
    retry_window_limits retry_limits() const;
    void cancel_attempt();
    step_choice choose_next_step(attempt_end end);
    void perform_step(next_step step, attempt_end end, const std::string& detail);
    void execute_next_step(attempt_end end, const std::string& detail);
    void handle_missing_target();
    void give_up(error_kind kind, const std::string& detail);
    attempt_outcome facts_of(attempt_end end);
    void deliver_answer(const attempt& done);
    void start_stream();
    void refuse(error_kind kind, const std::string& detail);
    milliseconds retry_after_of(error_kind kind);
    void start_deadline_timer(milliseconds delay);
    void on_deadline();
    void finish(std::string_view outcome, const std::string& detail = "");
    bool is_stream() const { return m_route->kind == request_kind::streaming; }
    milliseconds time_left() const;
    std::uint64_t memory_tokens() const;
    std::uint64_t memory_capacity() const;
    void add_copy(const std::string& holder);
    void remove_copy(const std::string& holder);
    void choose_copy_holder(attempt& next, const std::vector<target_candidate>& candidates, placement want);
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
    std::int64_t m_queue_rank = 0;
    request_fingerprint m_fingerprint = 0;
    /// Whether it was sent although it is suspected or quarantined, to try it once more.
    bool m_is_trial = false;
    version_side m_side = version_side::usual;
    time_point m_deadline{};
    std::optional<attempt> m_attempt;
    std::optional<superseded_attempt> m_superseded;
    pending_reads m_reads;
    timer_cancel m_deadline_timer;
    timer_cancel m_stall_timer;
    timer_cancel m_first_event_timer;
    timer_cancel m_wait_timer;
    timer_cancel m_handover_timer;
    timer_cancel m_retry_timer;
    /// Delay before the next try to continue a stream; it grows until an event arrives.
    milliseconds m_retry_delay{0};
    /// Place in the admission queue of its service; 0 if it does not wait there.
    queue_ticket m_ticket = 0;
    std::vector<tried_target> m_tried;
    standby_copy m_copy;
    prompt_search m_prompt_search;
    std::optional<attempt> m_failed;
    std::uint32_t m_attempts = 0;
    /// Attempts since the request last waited for a target.
    std::uint32_t m_sends = 0;
    std::uint32_t m_runs = 0;
    std::uint32_t m_resumes = 0;
    delivery_phase m_delivered = delivery_phase::nothing;
    bool m_is_done = false;
    std::string m_last_event_id;
    time_point m_last_delivery{};
    /// Time to the first event, and the longest time between two events.
    time_point::duration m_first_event{};
    time_point::duration m_longest_gap{};
};

} // namespace lovage
