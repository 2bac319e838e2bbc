#pragma once

#include "lovage/control/fleet_view.h"

#include <functional>
#include <string>

namespace lovage {

/// The home of `request`: the entry process of `region` that owns it, which is the one with the highest
/// rendezvous rank among entries that are alive or suspect. A suspect entry keeps its requests, so that a
/// short pause causes no change of ownership. Null if there is no such entry; points into `view`.
const member_info* home_entry(const fleet_view& view, const request_id& request, const std::string& region);

/// As `home_entry`, but only among entries for which `is_reachable` returns true. All processes that lost
/// their connection to a failed entry thereby agree on its successor before the membership protocol has
/// detected the failure.
const member_info* reachable_home(const fleet_view& view, const request_id& request,
                                  const std::string& region,
                                  const std::function<bool(const node_id&)>& is_reachable);

} // namespace lovage
