#pragma once

#include "lovage/core/answer_log.h"
#include "lovage/core/messages.h"
#include "lovage/core/resume.h"
#include "lovage/core/token_latency.h"
#include "lovage/traffic/answer_read_result.h"
#include "lovage/traffic/session_context.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lovage {

/// Role of this entry in a request.
enum class session_role : std::uint8_t {
    /// The home entry of the request: owns it and dispatches its attempts to targets.
    home,
    /// Relays the answer from the home entry to callers that are connected here.
    relay,
};
inline constexpr std::size_t k_session_role_count = 2;
inline constexpr enum_names<k_session_role_count> k_session_role_names{"home", "relay"};
static_assert(static_cast<std::size_t>(session_role::relay) + 1 == k_session_role_count);

/// Parameters of a new session.
struct session_start {
    request_id request;
    generation_spec spec;
    /// `spec_digest` of the spec; 0 for a session that only follows an existing answer and never starts one.
    std::uint64_t digest = 0;
    /// This entry generated the id, so that no other process can have used it.
    bool is_fresh_id = false;
};

/// State of one request on this entry: the tokens of its answer, their source (attempts at targets, or the
/// home entry), the callers that read them and the entries that relay them. Thread-safe. Timers hold only
/// weak references; the session table keeps the session alive.
class answer_session : public std::enable_shared_from_this<answer_session> {
public:
    static std::shared_ptr<answer_session> create(std::shared_ptr<const session_context> context,
                                                  session_start start);
    ~answer_session();
    answer_session(const answer_session&) = delete;
    answer_session& operator=(const answer_session&) = delete;

    /// Starts an answer as the home entry, after waiting for an agent to offer a generation of this request
    /// that is still running (adoption) if one is to be expected. `presented` is the answer of which the
    /// caller already has a part; 0 for none.
    void start_as_home(answer_id presented);
    /// Attaches to the home entry.
    void start_as_relay(answer_id presented);

    /// Asks the former home entry of the request for its answer. If it has none, this entry becomes the home.
    void start_at_former_home(answer_id presented);
    /// Whether this entry relays the answer from another entry.
    bool is_relay() const;

    /// Registers or removes a caller. The deadline of the session is the latest deadline of its callers.
    void add_caller(wall_time deadline);
    void remove_caller();
    /// Blocks until there is something to read at `cursor`, at most for `wait`, and advances the cursor.
    answer_read_result read(answer_cursor& cursor, milliseconds wait);

    void on_tokens(const node_id& from, const tokens_message& message);
    void on_finished(const node_id& from, const finished_message& message);
    void on_failed(const node_id& from, const failed_message& message);
    void on_progress(const node_id& from, const attempt_ref& ref);
    void on_adopt(const node_id& from, const adopt_message& message);
    void on_attach(const node_id& from, const attach_message& message);
    void on_attach_reply(const node_id& from, const attach_reply_message& message);
    void on_detach(const node_id& from);
    void on_disconnected(const node_id& node);

    const request_id& request() const { return m_start.request; }
    std::uint64_t digest() const { return m_start.digest; }
    /// Ends the session without cancelling its attempt, so that agents and relays can continue with another
    /// home entry. Callers get the error `leaving`.
    void hand_over();

    bool is_fresh() const { return m_start.is_fresh_id; }
    bool is_ended() const;

private:
    struct relay_state {
        /// Epoch that was announced to the relay; 0 before the first `attach_reply_message`.
        std::uint32_t epoch = 0;
        token_index next = 0;
        bool finished_sent = false;
    };
    struct excluded_node {
        node_id node;
        time_point until;
    };

    answer_session(std::shared_ptr<const session_context> context, session_start start);

    // Locks `m_mutex`, and calls `take_first_step` unless the answer has begun or the session has ended.
    template <class Step>
    void start(answer_id presented, const Step& take_first_step);

    // The other private functions require `m_mutex` to be held.
    void await_adoption_or_start(time_point now);
    void start_answer(time_point now);
    void begin_answer();
    void dispatch_next_attempt(attempt_event event, time_point now);
    bool dispatch(const node_id& node, time_point now);
    void handle_lost_attempt(attempt_event event, time_point now);
    void close_attempt();
    void restart_answer();
    void replace_answer(answer_log log, const generation_spec& spec, std::optional<node_id> target);
    void become_home(time_point now);
    void follow_home(time_point now);
    bool attach_to(const node_id& home, std::uint64_t digest, time_point now);
    bool return_to_home(time_point now);
    bool ask_former_home(time_point now);
    void follow_former_home(time_point now);
    bool is_ask_over(time_point now) const;
    void handle_lost_home(time_point now);
    void end_finished();
    void end_failed(error failure, bool not_run);
    void send_to_relays();
    void send_to_relay(const node_id& node, relay_state& relay);
    void publish();
    void apply(log_outcome outcome, const node_id& from, const attempt_ref& ref, time_point now);
    bool accept_from_home(const node_id& from, const attempt_ref& ref);
    bool accepts_adoption(const node_id& from, const adopt_message& message) const;
    void update_abandonment(time_point now);
    void extend_deadline(wall_time deadline, time_point now);
    void schedule_timer(time_point now);
    void on_timer(time_point due);
    void send_failure(const node_id& relay) const;
    bool ended() const;
    bool can_state_not_run(time_point now) const;
    attempt_ref current_ref() const;
    target_requirements need(time_point now);
    result<std::optional<node_id>> acquire_target(const fleet_view& view, time_point now);
    void release_target(const node_id& node);
    void on_scheduler_wake();
    void start_attempt_latency(time_point now);
    void record_token_latency(std::size_t added, time_point now);
    void log_decision(session_event event, std::string detail) const;
    void add_ended_request(bool is_complete);
    void add_extra_tokens(std::size_t tokens);
    void record_survival(std::size_t tokens, time_point now);
    void record_overdue_first_token(time_point now);
    void add_evidence(evidence_event_kind kind);
    void exclude_node(const node_id& node, milliseconds duration, time_point now);
    void count(const char* name, double by = 1.0) const;

    const std::shared_ptr<const session_context> m_context;
    const session_start m_start;
    const queue_ticket m_ticket;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;

    session_role m_role = session_role::home;
    generation_spec m_spec;
    answer_log m_log;
    // Number of the session's current text. It grows when an answer replaces another one; callers then
    // discard the text that they have.
    std::uint32_t m_epoch = 0;
    bool m_delivered = false;
    std::optional<error> m_failure;
    bool m_not_run = false;

    // As home: the attempt in progress.
    std::optional<node_id> m_target;
    token_index m_attempt_first = 0;
    // Attempt numbers to skip before the next dispatch.
    attempt_number m_attempt_skip = 0;
    time_point m_last_heard{};
    std::uint32_t m_losses_without_progress = 0;
    // Dispatches for which no refusal as not run has arrived; 0 means that the request certainly has not run.
    std::uint32_t m_possible_runs = 0;
    std::optional<time_point> m_waiting_since;
    objective m_objective;
    token_latency m_attempt_latency;
    // Over all attempts of the request.
    token_latency m_request_latency;
    std::uint32_t m_resumes = 0;
    std::uint64_t m_extra_tokens = 0;
    // Why the previous attempt was lost, for the decision log.
    std::string m_loss_description;
    // Evidence already reported for the current attempt.
    bool m_first_token_counted = false;
    /// Whether the attempt in progress has shown that its engine survives the prompt.
    bool m_has_survived_prompt = false;
    bool m_slow_gap_counted = false;
    std::optional<time_point> m_retry_at;
    std::optional<time_point> m_adoption_deadline;
    std::vector<excluded_node> m_excluded;
    std::map<node_id, relay_state> m_relays;
    time_point m_next_relay_progress{};

    // As relay: the entry that is followed, which is the home entry, or the former home if this entry is the
    // home now.
    std::optional<node_id> m_upstream;
    std::optional<time_point> m_upstream_lost;
    bool m_follows_former_home = false;
    // Since when this entry asks the former home, until that has sent a part of the answer.
    std::optional<time_point> m_asking_since;
    // Pauses of the process up to which this entry knows that it is the home.
    std::uint32_t m_confirmed_pauses = 0;
    answer_id m_presented_answer;

    std::uint32_t m_caller_count = 0;
    std::optional<time_point> m_abandoned_since;
    std::optional<time_point> m_deadline;
    bool m_has_caller_without_deadline = false;
    std::optional<time_point> m_timer_due;
};

} // namespace lovage
