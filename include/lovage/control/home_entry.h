#pragma once

#include "lovage/control/fleet_view.h"

#include <functional>
#include <string>

namespace lovage {

/// Returns the entry (front-end process) that owns `request`: the one in `region` with the highest rendezvous
/// rank among alive and suspect entries. A suspect entry keeps its requests, so that a short pause causes no
/// change of ownership. Null if there is no such entry; points into `view`.
const member_info* home_entry(const fleet_view& view, const request_id& request, const std::string& region);

/// As `home_entry`, but only among entries for which `is_reachable` returns true. All processes that lost
/// their connection to a failed entry thereby agree on its successor before the membership protocol has
/// detected the failure.
const member_info* reachable_home_entry(const fleet_view& view, const request_id& request,
                                        const std::string& region,
                                        const std::function<bool(const node_id&)>& is_reachable);

} // namespace lovage
