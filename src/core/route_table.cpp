#include "lovage/core/route_table.h"

#include <algorithm>
#include <cctype>

namespace lovage {

namespace {

std::string normalize_host(std::string_view host) {
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalized;
}

void compare_stream_ranks(route_table& table) {
    std::unordered_map<std::string, std::int64_t> rank_by_service;
    for (const auto& route : table.routes) {
        if (route.kind != request_kind::streaming) {
            continue;
        }
        for (const auto& share : route.services) {
            const auto [first, is_first] = rank_by_service.emplace(share.service, route.rank);
            const auto service = table.services.find(share.service);
            if (service == table.services.end()) {
                continue;
            }
            auto& most_urgent = service->second.most_urgent_rank;
            most_urgent = is_first ? route.rank : std::min(most_urgent, route.rank);
            service->second.has_streams_of_several_ranks |= first->second != route.rank;
        }
    }
}

} // namespace

void index_routes(route_table& table) {
    table.by_host.clear();
    compare_stream_ranks(table);
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        table.by_host[normalize_host(table.routes[i].host)][table.routes[i].prefix] = i;
    }
}

const route* find_route(const route_table& table, std::string_view host, std::string_view target) {
    const auto found_host = table.by_host.find(normalize_host(host));
    if (found_host == table.by_host.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = found_host->second.find(std::string(path.substr(0, slash + 1)));
        if (found != found_host->second.end()) {
            return &table.routes[found->second];
        }
    }
    return nullptr;
}

access_decision decide_access(const route_table& table, std::string_view host, std::string_view target,
                              std::string_view key) {
    access_decision decision;
    decision.route = find_route(table, host, target);
    if (decision.route == nullptr) {
        return decision;
    }
    if (table.has_organisations) {
        const auto found = table.organisation_by_key.find(std::string(key));
        if (found != table.organisation_by_key.end()) {
            decision.organisation = found->second;
        } else if (!decision.route->is_public) {
            decision.verdict = access::unknown_key;
            return decision;
        }
    }
    decision.rank = decision.route->rank;
    const auto own_rank = table.rank_by_organisation.find(decision.organisation);
    if (own_rank != table.rank_by_organisation.end()) {
        decision.rank = own_rank->second;
    }
    decision.verdict = access::allowed;
    return decision;
}

const std::string& choose_service(const route& route, double random_fraction) {
    double total = 0.0;
    for (const auto& share : route.services) {
        total += share.weight;
    }
    double remaining = random_fraction * total;
    for (const auto& share : route.services) {
        remaining -= share.weight;
        if (remaining < 0.0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace lovage
