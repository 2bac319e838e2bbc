#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// Returns the rank of `node` for `key` in rendezvous (highest random weight) hashing with XXH3. Adding or
/// removing a node reassigns only the keys that the node gains or loses.
std::uint64_t rendezvous_rank(std::string_view node, std::uint64_t key);

/// Returns the indexes of the `count` nodes with the highest rank for `key`, highest first; fewer if there
/// are fewer nodes.
std::vector<std::size_t> rendezvous_top(const std::vector<std::string>& nodes, std::uint64_t key,
                                        std::size_t count);

} // namespace lovage
