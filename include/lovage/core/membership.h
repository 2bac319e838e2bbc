#pragma once

#include "lovage/core/gossip_message.h"
#include "lovage/core/member_info.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovage {

/// Timing of the membership protocol, which is SWIM with anti-entropy. With 940 members a node sends and
/// receives about four datagrams a second each, so at 1,200 bytes and 28 bytes of IP and UDP headers per
/// datagram the probes cost at most 9.9 KB/s.
struct membership_options {
    /// One member is probed in each interval; a probe without an ack by its end makes the member suspect.
    milliseconds probe_interval{500};
    /// Without an ack for this long, `indirect_probes` other members are asked to probe.
    milliseconds indirect_probe_delay{150};
    std::size_t indirect_probes = 3;
    /// How long a member stays suspect before it is declared dead, unless it refutes.
    milliseconds suspicion_timeout{2'000};
    /// Intervals at which one dead member is probed and a seed that is not a member is pinged, so that the
    /// sides of a healed partition rejoin.
    milliseconds dead_probe_interval{2'000};
    milliseconds seed_interval{5'000};
    /// Interval of anti-entropy: one page of the member list is requested from a random member.
    milliseconds sync_interval{5'000};
    /// A page that does not arrive within this time is requested from another member.
    milliseconds sync_timeout{500};
    /// Shortest interval between full reads of the member list after dead members have returned. A list of
    /// 940 members takes about 150 KB, so this adds 5 KB/s while a partition heals.
    milliseconds heal_sync_interval{30'000};
    /// Regions can lose contact for an hour; dead members are kept for longer than that, so that they are
    /// still probed.
    milliseconds dead_retention{2 * 3'600'000};
    /// How long a member that has left is kept; longer than a datagram that still says it is alive can be
    /// delayed.
    milliseconds left_retention{600'000};
    /// A longer gap between two steps means that this process itself was suspended, so missing acks during
    /// the gap are no evidence against other members.
    milliseconds pause_threshold{1'000};
};

/// A member other than this process.
struct member_entry {
    member_info info;
    /// When the member is declared dead, while the state is `suspect`.
    time_point suspect_until{};
};

/// A probe that has not been acknowledged yet.
struct probe_in_progress {
    node_id target;
    std::uint32_t sequence = 0;
    /// When indirect probes are sent if no ack has arrived.
    time_point indirect_at{};
    bool indirect_sent = false;
};

/// An indirect probe made on behalf of another member.
struct relayed_probe {
    std::uint32_t origin_sequence = 0;
    std::string origin_address;
    time_point expires{};
};

/// A read of another member's whole list, page by page, in progress.
struct full_sync {
    node_id peer;
    /// The last node id received; the next page starts after it.
    std::string cursor;
    time_point expires{};
};

/// Membership as seen by this process.
struct membership_state {
    membership_options options;
    member_info self;
    std::vector<std::string> seeds;
    std::map<node_id, member_entry> members;
    gossip_facts facts;

    /// Members in random order, which the probes go through round-robin.
    std::vector<node_id> probe_order;
    std::size_t probe_index = 0;
    std::optional<probe_in_progress> probe;
    /// Probes on behalf of others, by the sequence number of this process's ping.
    std::map<std::uint32_t, relayed_probe> relays;
    std::optional<full_sync> sync;
    /// Whether the whole list of a member has been read since the start.
    bool joined = false;
    /// Remaining transmissions of each member update, by node (including this process).
    std::map<node_id, unsigned> pending;
    std::uint32_t next_sequence = 1;
    /// Rotates through vetoes and move records that do not all fit into one datagram.
    std::size_t fact_cursor = 0;
    /// The last node id of the page received most recently by anti-entropy.
    std::string sync_cursor;
    time_point last_step{};
    time_point next_probe{};
    time_point next_dead_probe{};
    time_point next_seed{};
    time_point next_sync{};
    time_point next_heal_sync{};
    /// The earliest time at which a suspected member is declared dead.
    time_point next_expiry = time_point::max();
};

struct outgoing_datagram {
    std::string address;
    gossip_message message;
};

/// A member that has a configuration revision above this node's.
struct newer_config {
    node_id node;
    std::string http_address;
    lovage::config_revision revision = 0;
};

/// Effects of a step, for the caller to carry out.
struct membership_output {
    std::vector<outgoing_datagram> send;
    /// Whether the member list that other modules see has changed.
    bool members_changed = false;
    /// Whether the leader, the vetoes or the move records have changed.
    bool facts_changed = false;
    /// A member to pull a newer configuration from, if one was heard of.
    std::optional<newer_config> config;
    /// The members whose visible state has changed.
    std::vector<member_info> changed;
};

/// Returns the initial state, in which this process knows only itself and the addresses of the seeds.
membership_state make_membership(member_info self, std::vector<std::string> seeds, time_point now,
                                 const membership_options& options = {});

/// Runs the timers that are due at `now`: probes, expiry of suspected members, contact with seeds and
/// anti-entropy.
void membership_tick(membership_state& state, time_point now, std::mt19937_64& random,
                     membership_output& output);

/// Processes a datagram that arrived from `from` ("ip:port").
void membership_receive(membership_state& state, const gossip_message& message, const std::string& from,
                        time_point now, std::mt19937_64& random, membership_output& output);

/// Returns when `membership_tick` is due next.
time_point membership_next(const membership_state& state);

/// Changes the state of this process to `leaving` or `left` and announces it to `fan_out` random members at
/// once.
void membership_set_self(membership_state& state, member_state own, std::size_t fan_out, time_point now,
                         std::mt19937_64& random, membership_output& output);

/// Announces the facts of this node to `fan_out` random members at once.
void membership_announce(const membership_state& state, std::size_t fan_out, std::mt19937_64& random,
                         membership_output& output);

/// Merge facts into those of this node and return true if something is new. The leader with the higher term
/// and the move record with the higher (fencing, sequence) win.
bool merge_leader(gossip_facts& facts, const leader_claim& claim);
bool merge_veto(gossip_facts& facts, const std::string& move);
bool merge_move(gossip_facts& facts, const move_record& record);

/// Returns this process and all members, sorted by node id.
std::vector<member_info> member_list(const membership_state& state);

} // namespace lovage
