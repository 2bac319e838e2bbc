#pragma once

#include "lovage/core/time.h"

namespace lovage {

/// The latest wall time that is accepted from other processes and from the store, in the year 9999.
/// Differences to later ones could overflow a `time_point`.
inline constexpr wall_time k_latest_wall_time{milliseconds(253'370'764'800'000)};

} // namespace lovage
