#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovage {

/// Priority of a request, most urgent first.
enum class priority : std::uint8_t { interactive, standard, batch };
inline constexpr std::size_t k_priority_count = 3;
inline constexpr enum_names<k_priority_count> k_priority_names{"interactive", "standard", "batch"};

/// Sampling parameters, which determine the generated text; they never change within one answer.
struct sampling {
    std::uint64_t seed = 0;
    double temperature = 0.0;
};

/// A caller's generation request. `model_version` and `adapter` are filled in when the request is routed.
struct generation_spec {
    std::string organisation;
    std::string service;
    std::string model;
    std::string model_version;
    std::string adapter;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    lovage::sampling sampling;
    lovage::priority priority = lovage::priority::standard;
    wall_time deadline{};
};

/// The text of one token as the engine emits it.
using token = std::string;

/// Why an answer ended: the model stopped, or `max_tokens` was reached.
enum class finish_reason : std::uint8_t { stop, length };
inline constexpr std::size_t k_finish_reason_count = 2;
inline constexpr enum_names<k_finish_reason_count> k_finish_reason_names{"stop", "length"};

/// Returns a digest of the fields that a retry with the same idempotency key must repeat: service, prompt,
/// adapter, `max_tokens` and sampling.
std::uint64_t spec_digest(const generation_spec& spec);

} // namespace lovage
