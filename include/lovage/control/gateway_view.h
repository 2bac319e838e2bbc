#pragma once

#include "lovage/core/boot_time.h"
#include "lovage/core/prompt_quarantine.h"
#include "lovage/core/route_table.h"
#include "lovage/core/target_record.h"
#include "lovage/core/version_split.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

using target_list = std::vector<target_record>;

/// An immutable snapshot of the control thread's state for the traffic thread.
struct gateway_view {
    /// Increases with each published view.
    std::uint64_t sequence = 0;
    /// Null until a configuration is known.
    route_table_ptr table;
    /// Usable targets by service; null until they have been read for the first time.
    std::shared_ptr<const std::map<std::string, target_list>> targets;
    /// Whether all pages with targets have been read once. Until then, a service without targets may have
    /// some.
    bool has_all_targets = false;
    /// How new requests are split between versions, for services with a move (rollout of another version).
    std::map<std::string, version_split> splits;
    /// Prompt parts that the store lists as quarantined, by its keys.
    std::map<std::string, quarantine_record> quarantines;
    /// When `table` was last confirmed to be the newest configuration in the store.
    boot_time table_confirmed{0};
    /// Newest revision of the store with a change that this view contains.
    std::uint64_t newest_change = 0;
};
using gateway_view_ptr = std::shared_ptr<const gateway_view>;

/// Returns whether callers' API keys may be accepted by the configuration that was last confirmed at
/// `confirmed`. A newer configuration that this process has not seen may have revoked a key, so keys are
/// trusted only for `max_staleness` after the confirmation.
constexpr bool are_api_keys_trusted(boot_time confirmed, boot_time now, boot_time max_staleness) {
    return now - confirmed <= max_staleness;
}

} // namespace lovage
