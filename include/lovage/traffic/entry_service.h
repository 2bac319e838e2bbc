#pragma once

#include "lovage/control/view_publisher.h"
#include "lovage/core/result.h"
#include "lovage/ports/peer_port.h"
#include "lovage/traffic/session_context.h"
#include "lovage/traffic/session_table.h"
#include "lovage/traffic/subscription.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace lovage {

struct entry_options {
    session_options session;
    session_table_options table;
    std::size_t max_live_answers = 4'000;
    /// Maximum number of queued requests per model version.
    std::size_t max_queued = 2'000;
    routing_policy routing = routing_policy::two_choices;
    /// The entry's availability zone.
    std::string zone;
    /// Called when an answer has ended, in any way.
    std::function<void()> on_answer_ended = [] {};
};

/// A caller's request for a generation.
struct generation_request {
    /// Empty if the caller sent none; the request then gets a random id.
    std::string idempotency_key;
    generation_spec spec;
    /// The answer of which the caller already has a part, and the number of tokens that it has.
    answer_id held_answer;
    token_index held_tokens = 0;
    bool streamed = true;
};

/// Why a request was not accepted, and whether it certainly has not run.
struct rejection {
    error failure;
    bool not_run = false;
};

/// Whether an entry accepts new work, and if not, why.
enum class entry_readiness : std::uint8_t { ready, no_configuration, leaving };
inline constexpr std::size_t k_entry_readiness_count = 3;
inline constexpr enum_names<k_entry_readiness_count> k_entry_readiness_names{"ready", "no_configuration",
                                                                             "leaving"};

/// Request path of an entry: creates sessions for callers and peers and connects them to targets.
/// Thread-safe.
class entry_service {
public:
    /// `count` adds to a counter. It and the functions of `peers` must remain valid until `stop` returns.
    static std::unique_ptr<entry_service> create(entry_options options, peer_port peers,
                                                 std::shared_ptr<const view_publisher> views,
                                                 std::function<void(const std::string&, double)> count);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    /// Callbacks for the peer connections; valid until the service is destroyed.
    peer_events events();

    /// Starts an answer, or attaches to the running or finished answer of the same request.
    tl::expected<subscription, rejection> generate(generation_request request);
    /// Attaches to an existing answer, here or at its home entry; never starts one.
    subscription follow(const request_id& request, answer_id held_answer, token_index held_tokens,
                        bool streamed);

    /// Whether the request certainly has not run. For requests that are refused before they are parsed.
    bool is_certainly_not_run(const request_id& request) const;

    entry_readiness readiness() const;
    /// Starts draining: refuses new work from callers and tells the peers.
    void leave();
    /// Stops the timers and releases answers in progress, so that other entries continue them. Call it after
    /// the peer connections are closed.
    void stop();

    std::size_t live_answers() const { return m_table->live(); }
    std::size_t waiting_for_target() const { return m_scheduler->waiting(); }
    std::size_t finished_bytes() const { return m_table->finished_bytes(); }
    /// Returns a connected agent of the plain service that is not in `excluded`, or `nullopt` if there is
    /// none.
    std::optional<call_target> choose_service(const std::string& service, const std::set<node_id>& excluded) {
        return m_targets->choose_service(service, excluded);
    }
    /// Counts of successes and defects per model version that this entry has observed since it started.
    evidence_message evidence() const { return m_evidence->report(); }
    service_record& record() { return *m_record; }
    /// Drains a target, given by its name or its agent's node, here and at the connected entries until its
    /// agent reconnects. Returns the agent's node, or `nullopt` if the target is not known.
    std::optional<node_id> drain(const std::string& target);
    std::vector<target_state> targets() const { return m_targets->snapshot(); }

private:
    entry_service(entry_options options, peer_port peers, std::shared_ptr<const view_publisher> views,
                  std::function<void(const std::string&, double)> count);

    void watch_view();
    void forget_removed_members(const fleet_view& view);
    void on_connected(const hello_message& hello);
    void on_disconnected(const node_id& node);
    void on_message(const node_id& from, peer_message message);
    template <class Message>
    void forward_to_session(const node_id& from, const Message& message,
                            void (answer_session::*handler)(const node_id&, const Message&));
    void reject_unknown_request(const node_id& from, const attempt_ref& ref);
    void handle(const node_id& from, const adopt_message& message);
    void handle(const node_id& from, const attach_message& message);
    void handle(const node_id& from, const detach_message& message);
    void handle(const node_id& from, const progress_message& message);
    void handle(const node_id& from, const load_report_message& message);
    void handle(const node_id& from, const goodbye_message& message);
    bool is_agent(const node_id& node) const;
    request_id new_request_id(const fleet_view& view);
    void start(const std::shared_ptr<answer_session>& session, answer_id held_answer);
    adoption_prospects prospects(const request_id& request) const;
    process_pauses pauses() const;

    const entry_options m_options;
    peer_port m_peers;
    std::shared_ptr<const view_publisher> m_views;
    std::shared_ptr<target_table> m_targets;
    std::shared_ptr<dispatch_scheduler> m_scheduler;
    std::shared_ptr<timer_queue> m_timers;
    std::shared_ptr<session_table> m_table;
    std::shared_ptr<evidence_recorder> m_evidence;
    std::shared_ptr<service_record> m_record;
    std::shared_ptr<const session_context> m_context;

    mutable std::mutex m_pauses_mutex;
    mutable process_pauses m_pauses;

    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<node_id, node_role> m_roles;
    // Entries whose connection is lost, with the time of the loss.
    std::map<node_id, time_point> m_lost_entries;
    // Agents that have been connected since the start, and the time of the last first connection.
    std::set<node_id> m_known_agents;
    std::optional<time_point> m_agent_joined_at;
    std::map<node_id, std::string> m_connections;
    std::optional<std::uint64_t> m_last_view_sequence;
    time_point m_next_expiry{};
    std::atomic<bool> m_leaving{false};
};

} // namespace lovage
