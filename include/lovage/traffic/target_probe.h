#pragma once

#include "lovage/core/silence_plan.h"
#include "lovage/traffic/gateway_traffic.h"

#include <functional>
#include <string>

namespace lovage {

/// Asks a target about one request; `done` is called once, on the traffic thread, with `no_answer` if the target
/// does not answer in time.
void probe_run(gateway_traffic& traffic, const std::string& address, const std::string& request_id,
               std::function<void(run_status)> done);

} // namespace lovage
