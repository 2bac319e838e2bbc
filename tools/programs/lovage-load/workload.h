#pragma once

#include "options.h"

#include <cstdint>
#include <string>

namespace lovage::load {

/// One request of the workload.
struct request_plan {
    std::uint64_t number = 0;
    std::string key;
    std::string organisation;
    std::string prompt;
    /// Seed of the generated text.
    std::uint64_t seed = 0;
    std::uint32_t max_tokens = 0;
    /// Index in `load_options::entries` of the first attempt's address; each retry uses the next one.
    std::size_t first_entry = 0;
};

/// Returns request `number` of the workload. It depends only on the arguments, so that runs can be repeated.
request_plan plan_request(const load_options& options, std::uint64_t number);

} // namespace lovage::load
