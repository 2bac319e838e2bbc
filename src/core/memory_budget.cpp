#include "lovage/core/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace lovage {

namespace {

constexpr double k_bytes_per_mb = 1e6;
// The rest is for the process itself (about 14 MB), the allocator's fragments and the kernel's buffers of the
// connections.
constexpr double k_budget_fraction = 0.4;
// Connections that hold up to this many bytes may use the whole budget: a head of 16 kB and a small body.
constexpr std::size_t k_small_bytes = 131'072;

// Bytes times milliseconds. One is added to the age, so that the largest of the newest requests comes first.
// The age of a request that runs says nothing of its caller: a stream takes its time.
double cost_of(const memory_holder& holder) {
    if (holder.state == holder_state::running) {
        return static_cast<double>(holder.bytes);
    }
    const auto age = std::chrono::duration<double, std::milli>(holder.age).count();
    return static_cast<double>(holder.bytes) * (age + 1.0);
}

} // namespace

std::size_t memory_budget_of(double memory_mb) {
    return static_cast<std::size_t>(memory_mb * k_bytes_per_mb * k_budget_fraction);
}

std::size_t missing_bytes(const memory_account& account, std::size_t held, std::size_t extra) {
    const auto usable = held + extra <= k_small_bytes ? account.budget : account.budget - account.budget / 4;
    const auto wanted = account.held - std::min(account.releasing, account.held) + extra;
    return wanted > usable ? wanted - usable : 0;
}

bool may_hold(const memory_account& account, std::size_t held, std::size_t extra) {
    return missing_bytes(account, held, extra) == 0;
}

std::size_t grown_capacity(std::size_t capacity, std::size_t needed, std::size_t most) {
    return std::max(std::min(std::max(needed, capacity * 2), most), std::min(needed, most));
}

std::vector<std::size_t> plan_cuts(std::vector<memory_holder> holders, std::size_t missing,
                                   std::optional<std::size_t> waiting) {
    holders.erase(std::remove_if(holders.begin(), holders.end(),
                                 [&waiting](const auto& holder) {
                                     return holder.state == holder_state::idle ||
                                            (holder.state == holder_state::running && waiting);
                                 }),
                  holders.end());
    std::sort(holders.begin(), holders.end(), [](const auto& a, const auto& b) {
        return std::make_tuple(a.state == holder_state::running, -cost_of(a), a.index) <
               std::make_tuple(b.state == holder_state::running, -cost_of(b), b.index);
    });
    std::vector<std::size_t> cuts;
    std::size_t freed = 0;
    for (const auto& holder : holders) {
        if (freed >= missing) {
            break;
        }
        freed += holder.bytes;
        cuts.push_back(holder.index);
        if (holder.index == waiting) {
            break;
        }
    }
    return cuts;
}

} // namespace lovage
