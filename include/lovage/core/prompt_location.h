#pragma once

#include "lovage/core/prompt_part.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

/// Engines that have prefilled the prompts of streams which another process is about to interrupt.
///
/// Load pattern: a planned stop of gateways in turn, with streams that outlast the grace period. Their
/// callers return to other gateways with new request ids, so that neither the runs nor their copies may be
/// used, but the prompt is in the prefix cache of its engine, which need not be a preferred one. Only prompts
/// are located.

/// An engine that has prefilled the prompt that ends with a part.
struct prompt_location {
    /// `prompt_key` of the prompt.
    std::uint64_t prompt = 0;
    std::string target_id;
    /// `target_record::started_ms` of the engine; a restarted one has lost its cache.
    std::uint64_t target_started_ms = 0;
};

/// Most locations in one report, which must fit into a datagram with the rest.
inline constexpr std::size_t k_max_reported_locations = 48;

/// Returns the hash of the prompt's last part, which belongs to one request or session; 0 for no prompt. The
/// same in all processes. Different prompts with one hash cost a prefill, no more.
std::uint64_t prompt_key(const std::vector<prompt_part>& prompt);

/// What this process has heard from others.
struct known_locations {
    struct entry {
        prompt_location location;
        time_point heard{};
    };
    std::unordered_map<std::uint64_t, entry> by_prompt;
};

/// Records a location; the latest one of a prompt counts. Returns whether it is new or has changed; false
/// also if it is ignored because too many are known.
bool record_location(known_locations& known, prompt_location location, time_point now);

/// Returns the location of a prompt; null if there is none or it has expired (10 s after it was last heard).
const prompt_location* find_location(const known_locations& known, const std::vector<prompt_part>& prompt,
                                     time_point now);

/// Drops the expired locations.
void forget_locations(known_locations& known, time_point now);

/// The locations that reports hold next, if one report cannot hold all.
struct location_turn {
    /// The first one.
    std::size_t position = 0;
    /// Reports that have held them already.
    std::size_t reports = 0;
};

/// Returns the locations of the next report: at most `k_max_reported_locations` of `all`. Each of them is in
/// `reports_per_turn` reports in a row, which is the number that reaches every peer once: if the locations
/// and the receivers changed together, a peer would get the same locations each time.
std::vector<prompt_location> next_locations(std::vector<prompt_location> all, std::size_t reports_per_turn,
                                            location_turn& turn);

} // namespace lovage
