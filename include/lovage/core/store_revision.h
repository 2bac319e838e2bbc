#pragma once

#include <cstdint>

namespace lovage {

/// Revisions of the store are ordered over its restorations from a copy. A restored store gives the numbers
/// that were lost with the end of its history to other changes, so a revision consists of the number of
/// restorations, the era, in its upper bits, and the store's own number. Both parts are 0 if unknown.
inline constexpr int k_revision_number_bits = 40;

constexpr std::uint64_t make_revision(std::uint64_t era, std::uint64_t number) {
    return (era << k_revision_number_bits) | number;
}

constexpr std::uint64_t era_of(std::uint64_t revision) {
    return revision >> k_revision_number_bits;
}

constexpr std::uint64_t number_of(std::uint64_t revision) {
    return revision & ((std::uint64_t{1} << k_revision_number_bits) - 1);
}

/// Whether what follows `later` also follows `earlier`: the revision belongs to the same history and does not
/// come before it.
constexpr bool continues_history(std::uint64_t earlier, std::uint64_t later) {
    return era_of(earlier) == era_of(later) && earlier <= later;
}

} // namespace lovage
