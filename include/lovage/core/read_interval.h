#pragma once

#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>

namespace lovage {

/// Limits on how late this process may learn of changes in the store.
struct freshness_limits {
    /// Time after which a target that announced its shutdown must get no new requests.
    milliseconds drain{2'000};
    /// Time after which a new configuration must be in force.
    milliseconds config{2'000};
    /// Maximum age of the last confirmation of the configuration at which API keys are accepted.
    milliseconds key_staleness{5'000};
    /// Interval at which a target renews its entry. The store removes entries after three of them.
    milliseconds target_heartbeat{1'200};
};

/// What is known when the next read of the store's changes is planned.
struct read_progress {
    /// Time since the last read returned.
    time_point::duration since_last_read{};
    /// Newest revision that the last read covered.
    std::uint64_t revision = 0;
    /// Newest revision with a change of the configuration or of a target that a peer has reported since the
    /// last read; 0 for none.
    std::uint64_t announced_revision = 0;
    /// Number of live peers, which announce the changes that they read.
    std::size_t live_peers = 0;
};

/// Returns the interval between two reads of a process with this many live peers. It grows with the fleet, so
/// that the fleet as a whole reads at a constant rate, up to a part of the shortest limit: a process whose
/// read fails once, or whose peers are silent, still meets all of them.
milliseconds read_interval(std::size_t live_peers, const freshness_limits& limits);

/// Returns how long to wait before the next read of changes; 0 if it is due.
///
/// Load pattern: targets renew their registrations many times a second, so a watch on all keys returns at
/// once, with each process of the fleet reading mostly renewals. Reads are therefore spaced out, and a
/// process that finds a real change announces its revision to its peers, which then read early.
milliseconds plan_read_pause(const read_progress& progress, const freshness_limits& limits);

} // namespace lovage
