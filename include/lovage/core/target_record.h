#pragma once

#include "lovage/core/enum_names.h"

#include <cstdint>
#include <string>

namespace lovage {

/// Whether a target accepts new requests.
enum class target_phase : std::uint8_t { ready, draining };
inline constexpr std::size_t k_target_phase_count = 2;
inline constexpr enum_names<k_target_phase_count> k_target_phase_names{"ready", "draining"};

/// The registration of a target.
struct target_record {
    std::string id;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string zone;
    /// Version of the software that the target runs.
    std::string version;
    /// Maximum number of requests that the target runs at once.
    std::uint32_t slots = 0;
    target_phase phase = target_phase::ready;
    /// Unix time of the target's start in ms. A different value under the same id means that the target has
    /// restarted. 0 if unknown.
    std::uint64_t started_ms = 0;

    friend bool operator==(const target_record& a, const target_record& b) {
        return a.id == b.id && a.service == b.service && a.address == b.address && a.zone == b.zone &&
               a.version == b.version && a.slots == b.slots && a.phase == b.phase &&
               a.started_ms == b.started_ms;
    }
    friend bool operator!=(const target_record& a, const target_record& b) { return !(a == b); }
};

} // namespace lovage
