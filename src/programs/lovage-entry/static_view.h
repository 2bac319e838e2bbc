#pragma once

#include "entry_settings.h"

#include "lovage/control/fleet_view.h"
#include "lovage/core/result.h"

namespace lovage {

/// Builds a fleet view from the `static_*` settings, in which this entry joined at `now`. An entry without a
/// store uses it instead of the control thread's view. Fails with `invalid_settings` or, if the configuration
/// file is invalid, with `invalid_configuration`.
result<fleet_view> make_static_view(const entry_settings& settings, time_point now);

} // namespace lovage
