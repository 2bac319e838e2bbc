#pragma once

#include "lovage/adapters/settings.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lovage::standins {

/// Fault that a stream shows at the token index `stream_fault::at`.
enum class stream_fault_kind : std::uint8_t {
    none,
    /// Ends without a `done` event.
    end,
    /// Sends the token before `at` a second time.
    repeat,
    /// Skips the token.
    skip,
    /// Sends nothing more and stays open.
    stall,
};
inline constexpr std::size_t k_stream_fault_kind_count = 5;
inline constexpr enum_names<k_stream_fault_kind_count> k_stream_fault_kind_names{"none", "end", "repeat",
                                                                                 "skip", "stall"};

/// A fault of the next `streams` generations that start, or of all of them if `streams` is -1.
struct stream_fault {
    stream_fault_kind kind = stream_fault_kind::none;
    token_index at = 0;
    std::int64_t streams = -1;
};

/// Fault of a model version.
enum class version_fault : std::uint8_t {
    none,
    /// Answers 500.
    error,
    /// Multiplies the time to the first token and between tokens by `slow_factor`.
    slow,
    /// Ends too early, after `truncate_after` tokens, with a `done` event of reason "length".
    truncation,
    /// Ends after `truncate_after` tokens without a `done` event.
    cut,
};
inline constexpr std::size_t k_version_fault_count = 5;
inline constexpr enum_names<k_version_fault_count> k_version_fault_names{"none", "error", "slow",
                                                                         "truncation", "cut"};

/// A model version with a fault. The fault is active only while all of its conditions hold.
struct bad_version {
    version_fault fault = version_fault::none;
    /// Time after the loading of the version at which the fault becomes active.
    milliseconds after{0};
    /// Lowest number of running sequences at which the fault is active.
    std::uint32_t min_running = 0;
    /// Route whose generations show the fault; empty for all.
    std::string route;
    /// Fraction of the generations that show the fault, between 0 and 1.
    double share = 1.0;
    double slow_factor = 5.0;
    token_index truncate_after = 5;
};

/// Faults that can be set at start and changed while the engine runs.
struct engine_faults {
    /// Kills the process with SIGKILL after this many more tokens; 0 for never.
    std::uint64_t die_after_tokens = 0;
    /// Stops the step loop and all responses except those of /faults and /stats for this long.
    milliseconds pause{0};
    /// Multiplies the duration of every step.
    double slow_factor = 1.0;
    /// Refuses every generation with status 429.
    bool refuse = false;
    /// Delay of responses of /engine/load.
    milliseconds load_delay{0};
    stream_fault stream;
    /// Faults by the name of the model version.
    std::map<std::string, bad_version> bad_versions;
};

/// Returns whether the fault of a version is active for a generation on `route`. `since_load` is the time
/// since the version was loaded, `running` the number of running sequences.
bool is_fault_active(const bad_version& bad, milliseconds since_load, std::uint32_t running,
                     const std::string& route);

/// Reads the settings `[faults]`, `bad_versions` and `[bad_version.VERSION]`.
engine_faults read_faults(settings_reader& reader);

/// Returns `faults` with the fields that the JSON object `change` contains replaced. Fails with
/// `invalid_request` if a name is unknown or a type is wrong.
result<engine_faults> apply_faults(engine_faults faults, const nlohmann::json& change);

nlohmann::json to_json(const engine_faults& faults);

} // namespace lovage::standins
