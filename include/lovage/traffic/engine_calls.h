#pragma once

#include "lovage/core/silence_plan.h"
#include "lovage/ports/target_port.h"
#include "lovage/traffic/gateway_traffic.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// Asks an engine about one request; `done` is called once, on the traffic thread, with `no_answer` if the
/// engine does not answer in time.
void probe_run(gateway_traffic& traffic, const std::string& address, const std::string& request_id,
               std::function<void(run_status)> done);

/// Has the engine at `address` copy the memory of a running request to `holder`; only what is new if it has
/// done so before. `done` gets the name of the copy, or nothing if there is none.
void copy_run(gateway_traffic& traffic, const std::string& address, const std::string& request_id,
              const memory_copy& holder, std::function<void(std::optional<std::string>)> done);

/// Asks an engine which parts of prompts it keeps; `done` is called once, with nothing if it does not answer.
void ask_kept(gateway_traffic& traffic, const std::string& address,
              std::function<void(std::vector<prompt_part>)> done);

/// Frees a copy that `copy_run` made.
void free_copy(gateway_traffic& traffic, const std::string& address, const std::string& name);

} // namespace lovage
