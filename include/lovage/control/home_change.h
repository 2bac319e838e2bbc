#pragma once

#include "lovage/control/fleet_view.h"

#include <map>
#include <optional>
#include <string>

namespace lovage {

/// When the home of `request`, which is the entry (front-end process) that owns it, last changed according to
/// the view. Measured on this process's clock; nothing if no change is known. Members whose state has never
/// changed have the epoch of the clock as `state_since`.
std::optional<time_point> home_changed_at(const fleet_view& view, const request_id& request,
                                          const std::string& region);

/// How long a former home may still be running an answer after ownership of the request has passed to another
/// entry; generations take minutes.
inline constexpr milliseconds k_former_home_retention{600'000};

/// The entry that may still be running the answer to `request` although `self` is its home now: a leaving
/// entry with a higher rendezvous rank than `self`, or the next in rank if `self` joined less than
/// `k_former_home_retention` ago, or if a pause of this process, in which that entry may have taken its
/// place, ended (`paused_until`) less than that ago. Null if there is none; points into `view`.
const member_info* former_home(const fleet_view& view, const request_id& request, const std::string& region,
                               const node_id& self, std::optional<time_point> paused_until, time_point now);

/// When this process last lost the connection to an entry that outranks `self` for the request; nothing if
/// there is none. `lost` has the time for each entry whose connection is lost.
std::optional<time_point> home_lost_at(const fleet_view& view, const request_id& request,
                                       const std::string& region, const node_id& self,
                                       const std::map<node_id, time_point>& lost);

/// When any entry last became suspect or dead, recovered from that, or restarted without a graceful leave;
/// nothing if no such failure is known. The start of this process counts too, since its previous incarnation
/// may have dispatched requests.
std::optional<time_point> entry_failed_at(const fleet_view& view);

} // namespace lovage
