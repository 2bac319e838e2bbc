#pragma once

#include "lovage/core/enum_names.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovage::standins {

/// Whether a block was added to the prefix cache or removed from it.
enum class cache_change : std::uint8_t { added, removed };
inline constexpr std::size_t k_cache_change_count = 2;
inline constexpr enum_names<k_cache_change_count> k_cache_change_names{"added", "removed"};

/// A bounded prefix cache of fixed-size blocks with LRU eviction. A block can be reused only together with
/// all blocks before it, so its key is the hash of the whole prompt prefix that ends with it. Not
/// thread-safe.
class prefix_cache {
public:
    /// Bytes of a prompt that count as one token.
    static constexpr std::size_t k_bytes_per_token = 4;
    static constexpr std::size_t k_tokens_per_block = 16;

    explicit prefix_cache(std::size_t capacity_blocks) : m_capacity(capacity_blocks) {}

    /// A block and what happened to it; blocks are named by the hash of their prefix.
    using change = std::pair<cache_change, std::uint64_t>;

    /// Returns the number of leading prompt tokens that were cached, then adds all full blocks of the prompt
    /// to the cache, as far as the capacity allows. Appends the added and evicted blocks to `changes`.
    std::size_t look_up_and_insert(std::string_view version, std::string_view prompt,
                                   std::vector<change>& changes);

private:
    std::size_t m_capacity;
    /// Keys of the blocks, the most recently used first.
    std::list<std::uint64_t> m_lru_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace lovage::standins
