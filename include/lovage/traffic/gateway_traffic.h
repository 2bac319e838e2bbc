#pragma once

#include "lovage/control/gateway_view.h"
#include "lovage/core/leave_plan.h"
#include "lovage/core/log_level.h"
#include "lovage/core/retry_window.h"
#include "lovage/core/target_choice.h"
#include "lovage/ports/target_port.h"
#include "lovage/ports/timer_port.h"
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
    /// Time between the signal to stop and the kill.
    milliseconds grace{8'000};
    /// Keys are accepted this long after the store last confirmed the configuration.
    boot_time key_trust{0};
};

/// Where decisions are written: a log line, a counter, a duration.
struct decision_sink {
    std::function<void(log_level, std::string_view event, const std::vector<log_field>&)> log;
    std::function<void(const std::string& name, const std::string& reason)> count;
    std::function<void(const std::string& name, double seconds)> observe;
};

/// Targets of a service in one zone that failed lately.
struct zone_trouble {
    std::map<std::string, time_point> failed;
};

/// State of the traffic thread that all requests share. Only that thread touches it.
struct gateway_traffic {
    gateway_options options;
    target_port targets;
    engine_dialect engine;
    timer_port timers;
    decision_sink sink;
    std::mt19937_64 random;
    /// Time that goes on while the machine is suspended.
    std::function<boot_time()> boot_clock;
    gateway_view_ptr view = std::make_shared<gateway_view>();
    std::unordered_map<std::string, target_usage> usage;
    std::unordered_map<std::string, retry_window> retries;
    /// Recent failures by service and zone.
    std::map<std::pair<std::string, std::string>, zone_trouble> zones;
    peer_exchange peers;
    version_observer versions;
    /// When the process was asked to stop.
    std::optional<time_point> leaving_since;
    /// Running mean of the time that a whole stream takes; starts with a cautious guess.
    time_point::duration stream_time{std::chrono::seconds(5)};
    /// Requests in progress, for the news that their target is lost.
    std::set<proxied_request*> requests;
};

/// Takes a new view and forgets targets that are gone.
void take_view(gateway_traffic& traffic, gateway_view_ptr view);

/// The ready targets of one side of a service with what this process and its peers have there; those of the
/// other side if its own are gone and the other may take requests.
std::vector<target_candidate> candidates_of(gateway_traffic& traffic, const std::string& service,
                                            version_side side);

/// The record of a target that may still be used; null if it is gone or draining.
const target_record* find_ready_target(const gateway_traffic& traffic, const std::string& service,
                                       const std::string& id);

/// Records a target's failure with its request, and with its zone if the target seems lost.
void record_trouble(gateway_traffic& traffic, const std::string& service, const std::string& zone,
                    const std::string& target_id, target_trouble trouble);

/// Takes the news of another process that a target is in trouble.
void take_peer_trouble(gateway_traffic& traffic, const peer_trouble& trouble);

/// The share of the common retry budget that this process may spend now.
retry_window_limits retry_share(const gateway_traffic& traffic);

/// The phase of the planned stop.
leave_phase leave_phase_of(const gateway_traffic& traffic);

/// When a caller that is refused because of the stop may come back.
milliseconds leave_retry_after(const gateway_traffic& traffic);

/// Zones in which several targets of the service have been lost just now: the rest of the zone is suspect.
std::vector<std::string> troubled_zones(gateway_traffic& traffic, const std::string& service);

/// Whether requests with a key may be served now.
bool can_trust_keys(const gateway_traffic& traffic);

/// A target is lost, or a stream there fell silent (not certain): other requests there that have received
/// nothing for a while do not wait for their own limit.
void report_lost_target(gateway_traffic& traffic, const std::string& target_id, bool is_certain);

} // namespace lovage
