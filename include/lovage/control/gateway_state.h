#pragma once

#include "lovage/control/gateway_documents.h"
#include "lovage/control/gateway_moves.h"
#include "lovage/control/gateway_view.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/log_level.h"
#include "lovage/core/read_interval.h"
#include "lovage/core/store_health.h"
#include "lovage/core/time.h"
#include "lovage/core/withdrawn_targets.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// What a read of the store has returned.
enum class store_update_kind : std::uint8_t {
    /// Changes since the last read.
    changes,
    /// The first page of a full read, with the documents of operators.
    first_page,
    /// A later page of it. Changes may have been read since the first one.
    next_page,
};
inline constexpr std::size_t k_store_update_kind_count = 3;
inline constexpr enum_names<k_store_update_kind_count> k_store_update_kind_names{"changes", "first_page",
                                                                                 "next_page"};
static_assert(static_cast<std::size_t>(store_update_kind::next_page) + 1 == k_store_update_kind_count);

/// What the watcher thread read from the store: a failure, or items.
struct store_update {
    std::optional<error> failure;
    store_update_kind kind = store_update_kind::changes;
    /// Whether this was the last page of a full read.
    bool completes_read = false;
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
    /// What is known of the configuration includes every change made before this time.
    boot_time confirmed{0};
};

/// The keys that were seen since the first page of a full read.
struct store_keys_seen {
    std::set<std::string> targets;
    /// Services with an order of the operators.
    std::set<std::string> ordered_services;
    /// Keys of quarantined prompt parts.
    std::set<std::string> quarantines;
};

/// Quarantined prompt parts that a restored store lacks, and when this process writes them again.
struct lost_quarantine {
    quarantine_record record;
    time_point due{};
};

/// A target and what is known of its registration in the store.
struct known_target {
    target_record record;
    /// The store's revision at which the target's current incarnation was first seen.
    std::uint64_t created = 0;
    /// Set if the registration disappeared in an outage of the store: the target stays in use until this
    /// time, and is removed by the store's next answer after it unless it has registered again.
    std::optional<time_point> removal_deadline;
    /// Set if the entry is unconfirmed (withdrawn_targets.h): the target gets no new work until this time,
    /// when the entry of a target that has left would have expired.
    std::optional<time_point> withheld_until;
};

/// A log line of the gateway's control threads.
struct gateway_log {
    log_level level = log_level::info;
    std::string_view event;
    std::vector<log_field> fields;
};

/// All state of the gateway's control thread; no other thread reads or changes it.
struct gateway_state {
    gateway_documents documents;
    /// The active configuration; null until one is known.
    route_table_ptr table;
    /// Era of the store that the last full read belongs to, and when this process first read it; nothing
    /// before the first full read.
    std::optional<std::uint64_t> era;
    time_point era_seen{};
    /// Time after which the store removes the entry of a target that is silent.
    milliseconds entry_expiry{4'800};
    /// Shortest outage of the store in which entries of live targets expire.
    milliseconds shortest_outage = shortest_expiry_outage(freshness_limits().target_heartbeat);
    /// Targets by id.
    std::map<std::string, known_target> targets;
    withdrawn_targets withdrawn;
    gateway_moves moves;
    /// Quarantined prompt parts, by the store's keys.
    std::map<std::string, quarantine_record> quarantines;
    std::map<std::string, lost_quarantine> lost_quarantines;
    store_health health;
    /// Whether targets have been read since the start, or a full read has found none.
    bool has_targets = false;
    /// Whether a full read has been completed since the start.
    bool has_all_targets = false;
    /// Set while a full read is in progress.
    std::optional<store_keys_seen> keys_seen;
    /// Whether the targets differ from those of the last view.
    bool is_targets_changed = false;
    /// `table` is known to have been the newest configuration until this time.
    boot_time table_confirmed{0};
    /// Newest revision of the store that changed the configuration, an order, a move or a target; renewed
    /// registrations do not count.
    std::uint64_t newest_change = 0;
    /// Sequence number of the last view.
    std::uint64_t sequence = 0;
    gateway_view_ptr view = std::make_shared<gateway_view>();
    /// Log lines that have not been written yet.
    std::vector<gateway_log> logs;
};

/// Applies an update from the store.
void apply_store_update(gateway_state& state, store_update update, time_point now);

/// Removes targets that did not register again in time and ends the withholding of those whose entries have
/// outlived their expiry; returns when to call it next.
time_point expire_targets(gateway_state& state, time_point now);

/// Plans the moves of services and adds the writes that are due to `writes`; returns when to call it next.
time_point plan_moves(gateway_state& state, time_point now, wall_time wall, std::vector<move_write>& writes);

/// Adds the quarantined prompt parts that are due to be written again to `writes`; returns when to call it
/// next. Each process waits for a time that grows with its rank among the writers, so that usually one
/// writes.
time_point take_lost_quarantines(gateway_state& state, time_point now,
                                 std::vector<quarantine_record>& writes);

/// Applies the result of a write of a move's record. A successful one counts as a change of the store, so
/// that the peers read it at once.
void apply_move_write(gateway_state& state, const move_write_result& written, time_point now);

/// Builds the view of the current state; returns the previous view if nothing changed.
gateway_view_ptr make_gateway_view(gateway_state& state, time_point now, wall_time wall);

} // namespace lovage
