#include "lovage/traffic/prompt_locations.h"

#include "lovage/core/report_plan.h"
#include "lovage/core/shutdown_plan.h"
#include "lovage/traffic/gateway_traffic.h"
#include "lovage/traffic/proxied_request.h"

#include <algorithm>

namespace lovage {

namespace {

// Reports that each peer of a small fleet gets in the last second, so that two may be lost.
constexpr std::int64_t k_handover_reports = 3;
constexpr milliseconds k_handover_time{1'000};
// Bounds the load of a small link: ten reports in the last second, each to 32 peers, reach 300 of them.
constexpr milliseconds k_min_handover_interval{100};

// Returns the time until the handover begins; 0 or less while it lasts.
std::optional<time_point::duration> time_to_handover(const gateway_traffic& traffic) {
    if (!traffic.shutdown_requested_at) {
        return std::nullopt;
    }
    return *traffic.shutdown_requested_at + handover_start(traffic.options.grace) - traffic.timers.now();
}

bool is_known_start(const gateway_traffic& traffic, const prompt_location& location) {
    if (!traffic.view->targets) {
        return false;
    }
    const auto& services = *traffic.view->targets;
    return std::any_of(services.begin(), services.end(), [&location](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [&location](const auto& target) {
            return target.id == location.target_id && target.started_ms == location.target_started_ms;
        });
    });
}

} // namespace

void add_prompt_locations(gateway_traffic& traffic, peer_report& report) {
    const auto left = time_to_handover(traffic);
    if (!left || *left > time_point::duration::zero()) {
        return;
    }
    std::vector<prompt_location> all;
    for (const auto* request : traffic.requests) {
        if (auto location = request->located_prompt()) {
            all.push_back(std::move(*location));
        }
    }
    auto& peers = traffic.peers;
    report.prompt_locations =
        next_locations(std::move(all), report_turns(peers.peers.size()), peers.next_locations);
}

void apply_prompt_locations(gateway_traffic& traffic, const peer_report& report) {
    for (std::size_t i = 0; i < std::min(report.invalid_locations, k_max_reported_locations); ++i) {
        traffic.sink.count("gateway_prompt_locations", "invalid");
    }
    for (const auto& location : report.prompt_locations) {
        if (!is_known_start(traffic, location)) {
            traffic.sink.count("gateway_prompt_locations", "unknown_target");
        } else if (record_location(traffic.prompt_locations, location, traffic.timers.now())) {
            traffic.sink.count("gateway_prompt_locations", "heard");
        }
    }
}

milliseconds next_report_delay(const gateway_traffic& traffic) {
    const auto left = time_to_handover(traffic);
    if (!left) {
        return k_heartbeat_interval;
    }
    const auto turns = static_cast<std::int64_t>(report_turns(traffic.peers.peers.size()));
    const auto interval = std::max(k_handover_time / (k_handover_reports * turns), k_min_handover_interval);
    return std::clamp(std::chrono::ceil<milliseconds>(*left), interval, k_heartbeat_interval);
}

} // namespace lovage
