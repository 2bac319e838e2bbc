#pragma once

#include "lovage/core/boot_time.h"
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

/// What the control thread knows, for the traffic thread.
struct gateway_view {
    std::uint64_t sequence = 0;
    /// Null until a configuration is known.
    route_table_ptr table;
    /// Targets that may be used, by service; null until the first list.
    std::shared_ptr<const std::map<std::string, target_list>> targets;
    /// How requests are divided between versions, for services that are moved.
    std::map<std::string, version_split> splits;
    /// Up to this time the store is known to have held no newer configuration.
    boot_time table_confirmed{0};
};
using gateway_view_ptr = std::shared_ptr<const gateway_view>;

/// Whether keys may still be accepted: a newer configuration may have taken one away unseen.
constexpr bool are_keys_trusted(boot_time confirmed, boot_time now, boot_time longest_age) {
    return now - confirmed <= longest_age;
}

} // namespace lovage
