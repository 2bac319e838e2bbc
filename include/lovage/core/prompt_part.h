#pragma once

#include <cstdint>
#include <string>

namespace lovage {

/// A part of a prompt that several requests may share and that engines hold in their prefix cache (KV cache).
/// The parts of a prompt are ordered from its start.
struct prompt_part {
    /// Identifies the text of the part.
    std::string id;
    /// Length of the part in tokens.
    std::uint64_t tokens = 0;
};

} // namespace lovage
