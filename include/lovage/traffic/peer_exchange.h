#pragma once

#include "lovage/core/boot_time.h"
#include "lovage/core/peer_report.h"
#include "lovage/core/prompt_location.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_report_port.h"
#include "lovage/ports/timer_port.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

struct gateway_traffic;

/// A peer process of which reports have arrived, or whose address another peer has sent.
struct known_peer {
    /// The last report; its node is empty until one has arrived.
    peer_report report;
    /// When the last report arrived, or the first mention of the address.
    time_point received{};
    /// Whether a report was sent to it since its address became known.
    bool has_been_sent_report = false;
    /// Number of its last target failure that was applied.
    std::uint64_t last_applied_failure_number = 0;
};

/// The newest version of the configuration that a peer has in force, and when it was first heard of.
struct heard_config {
    std::uint64_t version = 0;
    boot_time heard{0};
};

/// State of the report exchange between gateway processes, which share the load and the failures of their
/// targets. Accessed only by the traffic thread.
struct peer_exchange {
    peer_report_port port;
    /// Called with a revision of the store that a peer has read and this process has not; may be empty.
    std::function<void(std::uint64_t)> on_newer_change;
    /// Called with each heartbeat, with the number of live peers; may be empty.
    std::function<void(std::size_t)> on_live_peers;
    std::string node;
    std::string address;
    std::uint64_t started_ms = 0;
    std::vector<std::string> seeds;
    std::uint64_t sequence = 0;
    std::uint64_t last_assigned_failure_number = 0;
    bool is_report_scheduled = false;
    /// Peers by address.
    std::map<std::string, known_peer> peers;
    heard_config newest_config;
    /// The peer that the next report goes to first, as a position in the order of addresses.
    std::size_t next_receiver = 0;
    /// The first of the targets in the next report, if one report cannot hold all.
    std::size_t next_usage = 0;
    location_turn next_locations;
    /// The load that live peers place on each target, and when it was summed up; see `sum_peer_usage`.
    std::unordered_map<std::string, peer_usage> load;
    time_point load_summed{};
    bool is_load_outdated = true;
    std::deque<std::pair<time_point, peer_target_failure>> target_failures;
    std::deque<std::pair<time_point, peer_leaving_target>> leaving_targets;
};

/// Sends a report now and then periodically as a heartbeat.
void start_peer_exchange(gateway_traffic& traffic);

/// Schedules a report after a short delay, so that several changes share one report.
void schedule_report(gateway_traffic& traffic);

/// Adds a target failure to the next reports and schedules one.
void add_failure_to_reports(gateway_traffic& traffic, peer_target_failure failure);

/// Adds a target that is leaving to the next reports and schedules one.
void add_leaving_to_reports(gateway_traffic& traffic, peer_leaving_target leaving);

/// Applies a report of another process. Ignores its own and outdated ones.
void apply_peer_report(gateway_traffic& traffic, peer_report report);

/// Returns the sum of the load that all live peers place on a target.
peer_usage sum_peer_usage(gateway_traffic& traffic, const std::string& target_id);

/// Returns the last report of each live peer. The pointers are valid until the next report arrives or is
/// sent.
std::vector<const peer_report*> live_reports(const gateway_traffic& traffic);

/// Return the number of live peers, without this process; `count_serving_peers` leaves out peers that are
/// shutting down. `count_known_peers` returns the number of peers that were heard within the last minute and
/// were not shutting down then.
std::size_t count_live_peers(const gateway_traffic& traffic);
std::size_t count_known_peers(const gateway_traffic& traffic);
std::size_t count_serving_peers(const gateway_traffic& traffic);

} // namespace lovage
