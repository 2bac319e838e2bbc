#pragma once

#include "lovage/core/config_copy.h"
#include "lovage/core/member_info.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovage {

/// Processes in each zone that watch the store for configuration changes. With two, one may fail without
/// delaying a change, and 9 zones cost the store 18 pending watch calls.
inline constexpr std::size_t k_watchers_per_zone = 2;
/// Number of peers that a starting process asks for the configuration while the store is down.
inline constexpr std::size_t k_bootstrap_peers = 3;
/// Number of members to which a node announces new information at once. With a fan-out of 4, about 98% of 940
/// nodes learn of it within log4(940) = 5 rounds; the membership probes, about 8 datagrams per second and
/// node, reach the rest.
inline constexpr std::size_t k_announce_fan_out = 4;
/// Interval between attempts of a starting process to obtain a configuration.
inline constexpr milliseconds k_bootstrap_retry_interval{1'000};
/// Time for which a starting process looks for peers with a newer configuration than a restored store has.
/// Membership is known within a second.
inline constexpr milliseconds k_copy_wait{3'000};
/// Interval between attempts to pull a higher revision that this node has heard of.
inline constexpr milliseconds k_pull_retry_interval{500};

enum class bootstrap_phase : std::uint8_t { ask_store, ask_peers, ready };
inline constexpr std::size_t k_bootstrap_phase_count = 3;
inline constexpr enum_names<k_bootstrap_phase_count> k_bootstrap_phase_names{"ask_store", "ask_peers",
                                                                             "ready"};

/// A member that has a given configuration revision and can be asked for it.
struct config_source {
    node_id node;
    std::string http_address;
    config_revision revision = 0;
};

/// State of obtaining the configuration at start and of pulling newer revisions from other members.
struct config_propagation_state {
    /// The active revision; 0 if there is none.
    config_revision revision = 0;
    /// The highest revision rejected as invalid; it is not pulled again.
    config_revision refused = 0;
    bootstrap_phase phase = bootstrap_phase::ask_store;
    /// A store read of the start is in progress.
    bool store_asked = false;
    std::size_t peers_asked = 0;
    std::size_t peers_answered = 0;
    time_point next_bootstrap{};
    /// The copy with the highest revision received so far from the peers that are asked at start.
    std::optional<config_copy> best;
    /// A configuration that a restored store still has. It may have been replaced since its copy was made, so
    /// peers are asked as well, until `copy_usable_at` if there are none.
    std::optional<config_copy> from_copy;
    time_point copy_usable_at{};
    /// The member to pull a higher revision from, and the earliest time of the next pull.
    std::optional<config_source> source;
    bool is_pulling = false;
    time_point next_pull{};
};

/// Returns whether this process watches the store, that is, whether it is among the k_watchers_per_zone
/// entries of its zone that rank highest by rendezvous hashing.
bool is_config_watcher(const std::vector<member_info>& members, const member_info& self);

/// Returns whether a configuration of `revision` may replace the active one. A lower or equal revision
/// never does.
bool may_adopt(const config_propagation_state& state, config_revision revision);

/// Returns up to k_bootstrap_peers serving members with HTTP addresses, spread over several zones where
/// possible.
std::vector<config_source> choose_bootstrap_peers(const std::vector<member_info>& members,
                                                  const member_info& self, std::mt19937_64& random);

/// Records that `source` has a higher revision than the active one.
void record_config_source(config_propagation_state& state, const config_source& source, time_point now);

/// Marks a pull as in progress and returns the member to pull from; `nullopt` if there is none, a pull is
/// already in progress or the retry interval has not passed.
std::optional<config_source> next_pull(config_propagation_state& state, time_point now);

/// Records that a pull has ended, successfully or not.
void record_pull_end(config_propagation_state& state, time_point now);

/// Records the reply to the store read at start; `is_up` is true also if the store holds no configuration.
void record_store_reply(config_propagation_state& state, bool is_up, time_point now);

/// Records the reply of a peer asked at start; `copy` is empty if the call failed or the peer has no
/// configuration.
void record_peer_reply(config_propagation_state& state, const std::optional<config_copy>& copy,
                       time_point now);

/// Returns whether all peers asked at start have replied, so that the copy with the highest revision may be
/// adopted.
bool is_bootstrap_complete(const config_propagation_state& state);

} // namespace lovage
