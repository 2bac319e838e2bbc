#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>

namespace lovage {

/// Phase of a move. `loading`: targets load the new version; `canary`: it serves a small share; `growing`:
/// its share is increased in steps (ramp-up); `landed`: completed; `reverted`: rolled back.
enum class move_phase : std::uint8_t { loading, canary, growing, landed, reverted };
inline constexpr std::size_t k_move_phase_count = 5;
inline constexpr enum_names<k_move_phase_count> k_move_phase_names{"loading", "canary", "growing", "landed",
                                                                   "reverted"};

/// The state of a move as recorded in the store.
struct move_record {
    std::string id;
    std::string model;
    std::string from;
    std::string to;
    move_phase phase = move_phase::loading;
    /// Share of new requests that the new version gets, between 0 and 1.
    double share = 0.0;
    /// The record with the higher (fencing, sequence) replaces the other: the term of the leader that wrote
    /// it and the number of the record within the move.
    fencing_number fencing = 0;
    std::uint64_t sequence = 0;
    wall_time deadline{};
    /// Why the move entered this phase, for operators.
    std::string reason;
};

} // namespace lovage
