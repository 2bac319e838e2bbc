#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/target_record.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lovage {

/// A target that announced its shutdown, or whose entry was removed.
struct withdrawn_target {
    std::uint64_t started_ms = 0;
    bool has_announced = false;
    /// Era of the store (store_revision.h) in which this was read.
    std::uint64_t era = 0;
    time_point withdrawn_at{};
};

/// The targets that were withdrawn lately, by id.
using withdrawn_targets = std::map<std::string, withdrawn_target>;

/// What an entry of the store says of its target.
enum class entry_standing : std::uint8_t {
    /// What it states holds.
    current,
    /// The store has come back from a copy that is older than the announcement of the target's shutdown.
    outdated,
    /// The store has come back from a copy that holds an entry which had been removed: the target has
    /// left, or had lost its lease. If it has left, the entry expires.
    unconfirmed,
};
inline constexpr std::size_t k_entry_standing_count = 3;
inline constexpr enum_names<k_entry_standing_count> k_entry_standing_names{"current", "outdated",
                                                                           "unconfirmed"};
static_assert(static_cast<std::size_t>(entry_standing::unconfirmed) + 1 == k_entry_standing_count);

/// Records that the target announced its shutdown, or that its entry was removed.
void record_withdrawal(withdrawn_targets& withdrawn, const target_record& target, std::uint64_t era,
                       time_point now);

/// Judges an entry that was read in `era`. Within one era the store's newest statement always holds; a later
/// one may repeat statements from before the restoration, also for a target that is known to have left.
entry_standing judge_entry(const withdrawn_targets& withdrawn, const target_record& entry, std::uint64_t era);

} // namespace lovage
