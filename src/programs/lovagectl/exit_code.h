#pragma once

#include <cstdint>

namespace lovage::ctl {

/// Exit codes of the operators' command.
enum class exit_code : std::uint8_t {
    ok = 0,
    /// Any other failure.
    failure = 1,
    /// The expected revision is no longer the current one; nothing was changed.
    conflict = 2,
    /// The change has not taken effect.
    not_accepted = 3,
    /// The change may or may not have taken effect.
    unknown = 4,
    /// The configuration text is invalid; nothing was changed.
    invalid_configuration = 5,
    /// The change was accepted but is not active everywhere yet.
    behind = 6,
    /// The store, or none of the given entries, can be reached; nothing was changed.
    unavailable = 7,
    /// Wrong command line.
    usage = 64,
};

} // namespace lovage::ctl
