#include "prefix_cache.h"

#include "lovage/core/ids.h"

namespace lovage::standins {

std::size_t prefix_cache::look_up_and_insert(std::string_view version, std::string_view prompt,
                                             std::vector<change>& changes) {
    constexpr std::size_t block_bytes = k_bytes_per_token * k_tokens_per_block;
    std::size_t hits = 0;
    bool is_hit = true;
    std::uint64_t key = hash_bytes(version);
    for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
        key = hash_bytes(prompt.substr(at, block_bytes), key);
        const auto found = m_blocks.find(key);
        is_hit = is_hit && found != m_blocks.end();
        if (found != m_blocks.end()) {
            m_lru_order.splice(m_lru_order.begin(), m_lru_order, found->second);
        } else if (m_capacity > 0) {
            m_lru_order.push_front(key);
            m_blocks[key] = m_lru_order.begin();
            changes.emplace_back(cache_change::added, key);
        }
        hits += is_hit ? 1 : 0;
    }
    while (m_blocks.size() > m_capacity) {
        changes.emplace_back(cache_change::removed, m_lru_order.back());
        m_blocks.erase(m_lru_order.back());
        m_lru_order.pop_back();
    }
    return hits * k_tokens_per_block;
}

} // namespace lovage::standins
