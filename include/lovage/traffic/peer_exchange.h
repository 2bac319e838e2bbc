#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_report_port.h"
#include "lovage/ports/timer_port.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lovage {

struct gateway_traffic;

/// A process that reports.
struct known_peer {
    peer_report report;
    time_point received{};
    /// Number of its last trouble that was taken.
    std::uint64_t last_trouble = 0;
};

/// Load and troubles of targets as the other processes report them, on the traffic thread.
struct peer_exchange {
    peer_report_port port;
    std::string node;
    std::string address;
    std::uint64_t started_ms = 0;
    std::vector<std::string> seeds;
    std::uint64_t sequence = 0;
    std::uint64_t troubles_seen = 0;
    bool is_due = false;
    std::map<std::string, known_peer> peers;
    std::deque<std::pair<time_point, peer_trouble>> troubles;
};

/// Starts the periodic reports.
void start_peer_exchange(gateway_traffic& traffic);

/// Sends a report soon; several changes share one.
void report_change(gateway_traffic& traffic);

/// Adds a trouble to the next reports.
void report_trouble(gateway_traffic& traffic, peer_trouble trouble);

/// Takes a report of another process.
void take_report(gateway_traffic& traffic, peer_report report);

/// Usage of a target by the processes that are heard.
peer_usage foreign_usage(const gateway_traffic& traffic, const std::string& target_id);

/// The last reports of the processes that are heard.
std::vector<const peer_report*> live_reports(const gateway_traffic& traffic);

/// Processes that are heard, this one not counted; the second leaves out those that stop.
std::size_t live_peers(const gateway_traffic& traffic);
std::size_t serving_peers(const gateway_traffic& traffic);

} // namespace lovage
