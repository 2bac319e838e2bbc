#pragma once

#include <cstdint>
#include <string>

namespace lovage {

/// A part of a prompt, which requests may share and engines keep in memory.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

} // namespace lovage
