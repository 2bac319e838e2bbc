#include "lovage/core/generation.h"

#include <cstring>

namespace lovage {

std::uint64_t spec_digest(const generation_spec& spec) {
    std::uint64_t temperature_bits = 0;
    static_assert(sizeof(temperature_bits) == sizeof(spec.sampling.temperature));
    std::memcpy(&temperature_bits, &spec.sampling.temperature, sizeof(temperature_bits));

    std::uint64_t digest = hash_bytes(spec.service);
    digest = hash_bytes(spec.prompt, digest);
    digest = hash_bytes(spec.adapter, digest);
    digest = hash_bytes(std::to_string(spec.max_tokens), digest);
    digest = hash_bytes(std::to_string(spec.sampling.seed), digest);
    return hash_bytes(std::to_string(temperature_bits), digest);
}

} // namespace lovage
