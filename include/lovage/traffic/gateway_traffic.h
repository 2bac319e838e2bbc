#pragma once

#include "lovage/control/gateway_view.h"
#include "lovage/core/copy_plan.h"
#include "lovage/core/load_policy.h"
#include "lovage/core/log_level.h"
#include "lovage/core/prompt_location.h"
#include "lovage/core/prompt_quarantine.h"
#include "lovage/core/request_quarantine.h"
#include "lovage/core/retry_window.h"
#include "lovage/core/shutdown_plan.h"
#include "lovage/core/target_choice.h"
#include "lovage/core/target_notice.h"
#include "lovage/core/target_performance.h"
#include "lovage/ports/target_port.h"
#include "lovage/ports/timer_port.h"
#include "lovage/traffic/admission_queue.h"
#include "lovage/traffic/peer_exchange.h"
#include "lovage/traffic/version_evidence.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovage {

class proxied_request;

/// Settings of the traffic thread.
struct gateway_options {
    std::string zone;
    retry_window_limits retries;
    load_settings load;
    /// Grace period between the stop signal and the kill.
    milliseconds grace{8'000};
    /// Maximum age of the last confirmation of the configuration by the store at which API keys are still
    /// accepted.
    boot_time max_key_staleness{0};
};

/// Outputs for decisions: log lines, counters and durations.
struct decision_sink {
    std::function<void(log_level, std::string_view event, const std::vector<log_field>&)> log;
    std::function<void(const std::string& name, const std::string& reason)> count;
    std::function<void(const std::string& name, double seconds)> observe;
};

/// Recently failed targets of a service in one zone, with the time of the last failure by target id.
struct zone_failures {
    std::map<std::string, time_point> failed;
};

/// State that all requests share. Accessed only by the traffic thread.
struct gateway_traffic {
    gateway_options options;
    target_port targets;
    engine_codec engine;
    timer_port timers;
    decision_sink sink;
    std::mt19937_64 random;
    /// Clock that also advances while the machine is suspended.
    std::function<boot_time()> boot_clock;
    gateway_view_ptr view = std::make_shared<gateway_view>();
    /// Returns the view that the control thread has published last; null function for none.
    std::function<gateway_view_ptr()> newest_view;
    std::unordered_map<std::string, target_usage> usage;
    /// What targets have asked of this process, by target id. Kept while a target has no entry in the view,
    /// since entries may lapse and return.
    std::unordered_map<std::string, target_notice> notices;
    /// Learned performance of the targets, by service; see `is_learning`.
    std::map<std::string, target_performance> performance;
    std::unordered_map<std::string, retry_window> retries;
    /// Requests in progress, which are notified if their target is lost. Destroyed after `admission`, whose
    /// requests leave it then.
    std::set<proxied_request*> requests;
    /// Requests that wait for their start, by service.
    std::unordered_map<std::string, admission_queue> admission;
    /// Usual length of the generations, by service, and when this process last released a copy of one.
    std::unordered_map<std::string, stream_length> stream_lengths;
    std::unordered_map<std::string, time_point> copies_released;
    /// Prompts of streams that stopping peers interrupt.
    known_locations prompt_locations;
    /// Recent failures by service and zone.
    std::map<std::pair<std::string, std::string>, zone_failures> zones;
    peer_exchange peers;
    prompt_quarantine quarantine;
    request_quarantine lost_requests;
    /// Called with the parts or the request that a loss at this process has quarantined, to keep them beyond
    /// a restart of all processes; null function for none.
    std::function<void(quarantine_record)> on_quarantine;
    version_observer versions;
    /// When the process started, on `boot_clock`.
    boot_time started{0};
    /// When the stop signal arrived.
    std::optional<time_point> shutdown_requested_at;
    /// Running mean of the duration of a complete stream, with a conservative initial value.
    time_point::duration mean_stream_duration{std::chrono::seconds(5)};
};

/// Replaces the view by a newer one and drops the state of targets that are no longer in it. Ignores a view
/// that is older than the current one.
void apply_view(gateway_traffic& traffic, gateway_view_ptr view);

/// Applies the newest published view. A busy thread handles the announcement of a view only after the
/// requests that were queued before it.
void refresh_view(gateway_traffic& traffic);

/// Returns the ready targets of one side of a service (its usual version, or the one that is rolled out) that
/// accept requests, with the load that this process and its peers place on them. If that side has none,
/// returns the targets of the other side, provided that it may take the requests.
std::vector<target_candidate> candidates_of(gateway_traffic& traffic, const std::string& service,
                                            version_side side);

/// Returns the record of a target that accepts new work; null if there is none.
const target_record* find_ready_target(const gateway_traffic& traffic, const std::string& service,
                                       const std::string& id);

/// Returns the registered targets of a service.
const target_list& targets_of(const gateway_traffic& traffic, const std::string& service);

/// Whether a target has an entry in the view, also one that accepts no new work.
bool is_known_target(const gateway_traffic& traffic, const std::string& service, const std::string& id);

/// Whether a target may keep a standby copy that it has. A pause does not end the copy: the engine that made
/// it keeps it up to date.
bool may_keep_copy(const gateway_traffic& traffic, const std::string& service, const std::string& id);

/// Records what the target that started at `started_ms` asks of this process in an answer. Ignores an answer
/// from before the target's present start.
void record_notices(gateway_traffic& traffic, const std::string& target_id, std::uint64_t started_ms,
                    const answer_head& head);

/// Whether work may be sent to a target now. Every path that sends to targets asks it.
target_availability availability_of(const gateway_traffic& traffic, const target_record& target,
                                    work_kind work);

/// Logs that a target which paused gets requests again.
void log_end_of_pause(gateway_traffic& traffic, const target_record& target);

/// A target that gets no new work.
struct target_status {
    target_record target;
    acceptance state = acceptance::paused;
    /// Time until the end of its pause; 0 if it is leaving.
    milliseconds left{0};
};

/// Returns the registered targets that get no new work of this process now.
std::vector<target_status> withheld_targets(const gateway_traffic& traffic);

/// Closes the idle connections to a target that is leaving.
void close_connections_if_leaving(gateway_traffic& traffic, const target_record& target);

/// Returns when the first target that may serve this side of a service accepts requests again, if none does
/// now and at least one has asked this process to pause.
std::optional<time_point> end_of_pause(const gateway_traffic& traffic, const std::string& service,
                                       version_side side);

/// Records a failure of a target and of its zone, and reports it to the peers. A replaced target does not
/// count against its zone.
void record_and_report_failure(gateway_traffic& traffic, const std::string& service, const std::string& zone,
                               const std::string& target_id, target_failure_kind kind);

/// Applies a target failure that another process has reported.
void apply_peer_failure(gateway_traffic& traffic, const peer_target_failure& failure);

/// Applies a hint of another process that a target is leaving. Ignores a hint about another start than the
/// target's present one, and about targets without an entry, which bounds the memory.
void apply_peer_leaving(gateway_traffic& traffic, const peer_leaving_target& leaving,
                        const std::string& reported_by);

/// Returns this process's share of the retry budget, which all gateway processes share.
retry_window_limits retry_share(const gateway_traffic& traffic);

/// Returns the current phase of the graceful shutdown.
shutdown_phase current_shutdown_phase(const gateway_traffic& traffic);

/// Refuses the requests that wait for their start and could not end within the rest of the grace period.
/// Their callers then have more time left to be served elsewhere than if they were refused at their turn.
void refuse_late_starts(gateway_traffic& traffic);

/// Ends the requests in progress with a final answer, at the end of the graceful shutdown.
void end_requests(gateway_traffic& traffic);

/// Returns the retry delay for a caller that is refused because of the shutdown.
milliseconds shutdown_retry_after(const gateway_traffic& traffic);

/// Returns the zones in which several targets of the service have failed recently, so that the remaining
/// targets there are suspect.
std::vector<std::string> failing_zones(gateway_traffic& traffic, const std::string& service);

/// Whether the configuration is recent enough to accept API keys.
bool can_trust_keys(const gateway_traffic& traffic);

/// Whether the store holds an older configuration than the one that a peer has in force, because it came back
/// from a copy. What the copy allows may have been withdrawn since, so nothing is served by it.
bool is_configuration_behind(const gateway_traffic& traffic);

/// Fails over other requests that are stalled at a lost target before their own timeouts expire. `is_certain`
/// is false if the only sign of the loss is one stalled stream.
void report_lost_target(gateway_traffic& traffic, const std::string& target_id, bool is_certain);

} // namespace lovage
