#include "lovage/traffic/route_explanation.h"

#include "lovage/traffic/proxied_request.h"

#include <algorithm>
#include <limits>

namespace lovage {

namespace {

milliseconds time_until(time_point then, time_point now) {
    return std::max(std::chrono::ceil<milliseconds>(then - now), milliseconds(0));
}

explained_target explain_candidate(const target_candidate& candidate, const placement& want) {
    explained_target target;
    target.record = *candidate.record;
    target.candidate = candidate;
    target.cost = placement_cost(candidate, want);
    if (candidate.usage.avoid_until > want.now) {
        target.obstacle = target_obstacle::backoff;
        target.left = time_until(candidate.usage.avoid_until, want.now);
    }
    return target;
}

explained_target explain_other(const gateway_traffic& traffic, const target_record& record, time_point now) {
    explained_target target;
    target.record = record;
    const auto availability = availability_of(traffic, record, work_kind::new_work);
    switch (availability.state) {
    case acceptance::accepting:
        target.obstacle = target_obstacle::other_version;
        break;
    case acceptance::paused:
        target.obstacle = target_obstacle::paused;
        target.left = time_until(availability.until, now);
        break;
    case acceptance::leaving:
        target.obstacle = target_obstacle::leaving;
        break;
    }
    return target;
}

} // namespace

void proxied_request::explain_targets(route_explanation& explanation) {
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto want = placement_among(candidates);
    for (const auto& candidate : candidates) {
        explanation.targets.push_back(explain_candidate(candidate, want));
    }
    for (const auto& record : targets_of(m_traffic, m_service_name)) {
        const bool is_candidate =
            std::any_of(candidates.begin(), candidates.end(),
                        [&record](const auto& candidate) { return candidate.record->id == record.id; });
        if (!is_candidate) {
            explanation.targets.push_back(explain_other(m_traffic, record, want.now));
        }
    }
    std::stable_sort(explanation.targets.begin(), explanation.targets.end(),
                     [](const auto& a, const auto& b) {
                         constexpr double k_none = std::numeric_limits<double>::infinity();
                         return a.cost.value_or(k_none) < b.cost.value_or(k_none);
                     });
}

route_explanation proxied_request::explain(gateway_traffic& traffic, caller_request request) {
    refresh_view(traffic);
    const auto random = traffic.random;
    route_explanation explanation;
    {
        proxied_request asked(traffic, std::move(request), {}, nullptr);
        if (const auto found = asked.find_refusal()) {
            explanation.refusal = found->kind;
            explanation.detail = found->detail;
        }
        explanation.route = asked.m_route != nullptr ? asked.m_route->name : "";
        explanation.service = asked.m_service_name;
        explanation.organisation = asked.m_organisation;
        explanation.rank = asked.m_queue_rank;
        explanation.side = asked.m_side;
        if (!explanation.refusal) {
            explanation.awaits_targets = asked.awaits_target_list();
            explanation.is_prompt_searched = asked.has_previous_answer();
            const auto condition = asked.condition_to_start(engine_claim::by_rank);
            explanation.admission = asked.admission_facts(condition);
            explanation.step =
                decide_admission(traffic.admission[asked.m_service_name].releases, explanation.admission);
            explanation.prefill_load = asked.describe_prefill_load();
            asked.explain_targets(explanation);
        }
    }
    traffic.random = random;
    return explanation;
}

route_explanation explain_route(gateway_traffic& traffic, caller_request request) {
    return proxied_request::explain(traffic, std::move(request));
}

} // namespace lovage
