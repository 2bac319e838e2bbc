#pragma once

#include "lovage/core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovage {

// How reports reach all processes of a fleet of any size at a constant cost for each of them.
//
// Load pattern: with hundreds of processes, reports to all of them would cost each process more with every
// other one, and reports to a fixed subset leave the rest without news. Each report therefore goes to the
// next part of the fleet in turn, and the limits of time below grow with the number of turns.

/// Interval of the heartbeat reports, which are sent even without a change.
inline constexpr milliseconds k_heartbeat_interval{500};
/// Maximum number of processes that one report is sent to.
inline constexpr std::size_t k_max_receivers = 32;

/// Returns the number of reports after which each of `peers` processes has been sent one; at least 1.
std::size_t report_turns(std::size_t peers);

/// Returns the time without a report after which a peer no longer counts as live: a little more than three
/// heartbeats that reach it, so that two may be lost.
milliseconds peer_timeout(std::size_t peers);

/// Returns how long an event that each peer must learn of is repeated in reports.
milliseconds event_repeat_period(std::size_t peers);

/// Returns the receivers of the next report: as many of `new_peers`, which have never been sent one, as one
/// report may have, then the next ones of `others` in their order, starting at `position`, which advances.
std::vector<std::string> choose_receivers(std::vector<std::string> new_peers,
                                          const std::vector<std::string>& others, std::size_t& position);

/// Returns the number of processes that share the retry budget. `known` is the number of peers that were
/// heard within a minute, also if they are silent now: they may be partitioned from this process and spend
/// their part. A process that has heard nobody may be one of many.
std::size_t retry_budget_sharers(std::size_t known);

} // namespace lovage
