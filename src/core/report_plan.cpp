#include "lovage/core/report_plan.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lovage {

namespace {

// Heartbeats that reach a peer before it counts as dead, and an allowance for the delay of the last one.
constexpr int k_heartbeats_before_timeout = 3;
constexpr milliseconds k_delivery_allowance{100};
// Repeating an event for this long survives the loss of single reports to a small fleet.
constexpr milliseconds k_min_event_repeat_period{300};
// Processes that share the retry budget as long as no peer has been heard.
constexpr std::size_t k_assumed_processes = 10;

} // namespace

std::size_t report_turns(std::size_t peers) {
    return std::max<std::size_t>((peers + k_max_receivers - 1) / k_max_receivers, 1);
}

milliseconds peer_timeout(std::size_t peers) {
    const auto turns = static_cast<std::int64_t>(report_turns(peers));
    return k_heartbeat_interval * k_heartbeats_before_timeout * turns + k_delivery_allowance;
}

milliseconds event_repeat_period(std::size_t peers) {
    const auto turns = static_cast<std::int64_t>(report_turns(peers));
    return turns == 1 ? k_min_event_repeat_period : k_heartbeat_interval * turns + k_delivery_allowance;
}

std::vector<std::string> choose_receivers(std::vector<std::string> new_peers,
                                          const std::vector<std::string>& others, std::size_t& position) {
    auto receivers = std::move(new_peers);
    receivers.resize(std::min(receivers.size(), k_max_receivers));
    const auto count = std::min(k_max_receivers - receivers.size(), others.size());
    for (std::size_t i = 0; i < count; ++i) {
        receivers.push_back(others[(position + i) % others.size()]);
    }
    position = others.empty() ? 0 : (position + count) % others.size();
    return receivers;
}

std::size_t retry_budget_sharers(std::size_t known) {
    return known == 0 ? k_assumed_processes : known + 1;
}

} // namespace lovage
