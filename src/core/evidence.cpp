#include "lovage/core/evidence.h"

#include <algorithm>

namespace lovage {

namespace {

// Bounds for what other processes can make this one store; well above 340 entries and 20 models with a few
// versions on a few routes each.
constexpr std::size_t k_max_entries = 2'000;
constexpr std::size_t k_max_items = 1'000;
constexpr std::size_t k_max_keys = 10'000;

std::uint64_t difference(std::uint64_t a, std::uint64_t b) {
    return a > b ? a - b : 0;
}

bool has_lower_count(const evidence_counts& a, const evidence_counts& b) {
    return a.requests < b.requests || a.failures < b.failures || a.slow_first_tokens < b.slow_first_tokens ||
           a.slow_gaps < b.slow_gaps;
}

} // namespace

evidence_counts operator+(const evidence_counts& a, const evidence_counts& b) {
    return {a.requests + b.requests, a.failures + b.failures, a.slow_first_tokens + b.slow_first_tokens,
            a.slow_gaps + b.slow_gaps};
}

evidence_counts operator-(const evidence_counts& a, const evidence_counts& b) {
    return {difference(a.requests, b.requests), difference(a.failures, b.failures),
            difference(a.slow_first_tokens, b.slow_first_tokens), difference(a.slow_gaps, b.slow_gaps)};
}

void add_evidence(evidence_table& table, const node_id& from, const evidence_message& message) {
    const bool is_first = table.last_counts.count(from) == 0;
    if ((is_first && table.last_counts.size() >= k_max_entries) || message.items.size() > k_max_items) {
        return;
    }
    auto& last_counts = table.last_counts[from];
    for (const auto& item : message.items) {
        const evidence_key key{item.model, item.version, item.route};
        const evidence_counts counts{item.requests, item.failures, item.slow_first_tokens, item.slow_gaps};
        auto& target = is_first ? table.history : table.totals;
        if (target.count(key) == 0 && target.size() >= k_max_keys) {
            continue;
        }
        evidence_counts& before = last_counts[key];
        target[key] = target[key] + (has_lower_count(counts, before) ? counts : counts - before);
        before = counts;
    }
}

} // namespace lovage
