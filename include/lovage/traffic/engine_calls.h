#pragma once

#include "lovage/core/stall_plan.h"
#include "lovage/ports/target_port.h"
#include "lovage/traffic/gateway_traffic.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

// The calls below are not sent to an engine that does not accept them (`availability_of`); `done` is called
// at once then.

/// Liveness probe for one request at an engine. Calls `done` once, on the traffic thread; with `no_answer` if
/// the engine does not answer in time, with `not_told` if it may not be asked.
void probe_run(gateway_traffic& traffic, const target_record& engine, const std::string& request_id,
               std::function<void(run_status)> done);

/// Makes `engine` copy the generation state of a running request to the engine `holder` as a
/// standby copy. A repeated call transfers only what has been added since. `done` gets the name of the copy,
/// or `nullopt` if none was made.
void make_standby_copy(gateway_traffic& traffic, const target_record& engine, const std::string& request_id,
                       const standby_copy& holder, std::function<void(std::optional<std::string>)> done);

/// Asks an engine which prompt parts its prefix cache holds. Calls `done` once; with an empty list if the
/// engine does not answer.
void query_prefix_cache(gateway_traffic& traffic, const target_record& engine,
                        std::function<void(std::vector<prompt_part>)> done);

/// Releases a standby copy that `make_standby_copy` made. Failures are ignored, since copies expire.
void release_standby_copy(gateway_traffic& traffic, const target_record& engine, const std::string& name);

} // namespace lovage
