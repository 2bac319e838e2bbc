#include "lovage/core/rendezvous.h"

#include "lovage/core/ids.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lovage {

std::uint64_t rendezvous_rank(std::string_view node, std::uint64_t key) {
    return hash_bytes(node, key);
}

std::vector<std::size_t> rendezvous_top(const std::vector<std::string>& nodes, std::uint64_t key,
                                        std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        ranked.emplace_back(rendezvous_rank(nodes[i], key), i);
    }
    const std::size_t result_count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(result_count),
                      ranked.end(), std::greater<>());
    std::vector<std::size_t> top;
    top.reserve(result_count);
    for (std::size_t i = 0; i < result_count; ++i) {
        top.push_back(ranked[i].second);
    }
    return top;
}

} // namespace lovage
