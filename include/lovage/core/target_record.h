#pragma once

#include "lovage/core/enum_names.h"

#include <cstdint>
#include <string>

namespace lovage {

enum class target_phase : std::uint8_t { ready, draining };
inline constexpr std::size_t k_target_phase_count = 2;
inline constexpr enum_names<k_target_phase_count> k_target_phase_names{"ready", "draining"};

/// A target as it registered itself.
struct target_record {
    std::string id;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string zone;
    /// Version of its software.
    std::string version;
    std::uint32_t slots = 0;
    target_phase phase = target_phase::ready;
    /// Unix time of its start in ms; another value under the same id is another life. 0 if unknown.
    std::uint64_t started_ms = 0;

    friend bool operator==(const target_record& a, const target_record& b) {
        return a.id == b.id && a.service == b.service && a.address == b.address && a.zone == b.zone &&
               a.version == b.version && a.slots == b.slots && a.phase == b.phase &&
               a.started_ms == b.started_ms;
    }
    friend bool operator!=(const target_record& a, const target_record& b) { return !(a == b); }
};

} // namespace lovage
