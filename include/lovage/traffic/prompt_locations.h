#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/time.h"

namespace lovage {

struct gateway_traffic;

/// Adds the prompts of the streams that still run to a report, if this process is about to end.
void add_prompt_locations(gateway_traffic& traffic, peer_report& report);

/// Records the locations of a peer's report. Ignores and counts those of targets that have no entry here or
/// have started anew, which bounds what a faulty peer can cause.
void apply_prompt_locations(gateway_traffic& traffic, const peer_report& report);

/// Returns the time until the next heartbeat report. Shorter while this process is about to end, so that the
/// locations reach all peers of a large fleet in time.
milliseconds next_report_delay(const gateway_traffic& traffic);

} // namespace lovage
