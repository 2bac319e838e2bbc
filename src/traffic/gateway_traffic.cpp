#include "lovage/traffic/gateway_traffic.h"

#include "lovage/traffic/proxied_request.h"

#include <algorithm>
#include <vector>

namespace lovage {

void take_view(gateway_traffic& traffic, gateway_view_ptr view) {
    const auto before = std::exchange(traffic.view, std::move(view));
    if (before->targets == traffic.view->targets || !before->targets) {
        return;
    }
    std::set<std::string> known;
    for (const auto& [service, list] : *traffic.view->targets) {
        for (const auto& target : list) {
            known.insert(target.id);
        }
    }
    for (const auto& [service, list] : *before->targets) {
        for (const auto& target : list) {
            const auto used = traffic.usage.find(target.id);
            if (known.count(target.id) == 0) {
                traffic.targets.forget(target.address);
                if (used != traffic.usage.end() && used->second.in_flight == 0 && used->second.copies == 0) {
                    traffic.usage.erase(used);
                }
            }
        }
    }
}

std::vector<target_candidate> candidates_of(gateway_traffic& traffic, const std::string& service) {
    std::vector<target_candidate> candidates;
    if (!traffic.view->targets) {
        return candidates;
    }
    const auto found = traffic.view->targets->find(service);
    if (found == traffic.view->targets->end()) {
        return candidates;
    }
    for (const auto& target : found->second) {
        if (target.phase == target_phase::ready) {
            candidates.push_back({&target, traffic.usage[target.id]});
        }
    }
    return candidates;
}

const target_record* find_ready_target(const gateway_traffic& traffic, const std::string& service,
                                       const std::string& id) {
    if (!traffic.view->targets) {
        return nullptr;
    }
    const auto found = traffic.view->targets->find(service);
    if (found == traffic.view->targets->end()) {
        return nullptr;
    }
    const auto target = std::find_if(found->second.begin(), found->second.end(),
                                     [&id](const target_record& record) { return record.id == id; });
    const bool is_ready = target != found->second.end() && target->phase == target_phase::ready;
    return is_ready ? &*target : nullptr;
}

bool can_trust_keys(const gateway_traffic& traffic) {
    return are_keys_trusted(traffic.view->table_confirmed, traffic.boot_clock(), traffic.options.key_trust);
}

void report_silent_target(gateway_traffic& traffic, const std::string& target_id) {
    // Handling the news changes the set of requests.
    std::vector<std::shared_ptr<proxied_request>> affected;
    for (auto* request : traffic.requests) {
        if (request->is_waiting_at(target_id)) {
            affected.push_back(request->shared_from_this());
        }
    }
    for (const auto& request : affected) {
        request->target_lost(target_id);
    }
}

} // namespace lovage
