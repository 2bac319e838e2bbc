#include "lovage/adapters/gateway/explanation_document.h"

#include <nlohmann/json.hpp>

namespace lovage {

namespace {

using nlohmann::ordered_json;

std::int64_t to_ms(time_point::duration time) {
    return std::chrono::ceil<milliseconds>(time).count();
}

ordered_json encode_target(const explained_target& target) {
    const auto& usage = target.candidate.usage;
    ordered_json row{{"target", target.record.id},
                     {"zone", target.record.zone},
                     {"obstacle", name_of(k_target_obstacle_names, target.obstacle)},
                     {"left_ms", target.left.count()}};
    if (!target.cost) {
        return row;
    }
    row["cost"] = *target.cost;
    row["own_requests"] = usage.in_flight;
    row["peer_requests"] = usage.peer_requests;
    row["prefills"] = usage.awaiting_first_event_count;
    row["copies"] = usage.copies;
    row["memory_tokens"] = usage.memory_tokens;
    if (target.candidate.times) {
        const auto& times = *target.candidate.times;
        row["relative_times"] = {
            {"prefill", times.prefill}, {"generation", times.generation}, {"plain", times.plain}};
    }
    if (target.candidate.concurrency_limit) {
        row["concurrency_limit"] = *target.candidate.concurrency_limit;
    }
    return row;
}

ordered_json encode_admission(const route_explanation& explanation) {
    const auto& facts = explanation.admission;
    ordered_json admission{{"has_room", facts.has_room},
                           {"waiting_before", facts.waiting_before},
                           {"longest_wait_ms", to_ms(facts.patience)},
                           {"prefill_load", explanation.prefill_load}};
    if (facts.pause_left) {
        admission["pause_left_ms"] = to_ms(*facts.pause_left);
    }
    return admission;
}

} // namespace

std::string encode_explanation(const std::string& node, const route_explanation& explanation) {
    const auto outcome = explanation.refusal
                             ? admission_step::refuse
                             : (explanation.awaits_targets ? admission_step::wait : explanation.step);
    ordered_json document{{"node", node},
                          {"outcome", name_of(k_admission_step_names, outcome)},
                          {"error", explanation.refusal ? to_string(*explanation.refusal) : ""},
                          {"detail", explanation.detail},
                          {"route", explanation.route},
                          {"service", explanation.service},
                          {"organisation", explanation.organisation},
                          {"rank", explanation.rank},
                          {"side", name_of(k_version_side_names, explanation.side)},
                          {"searches_prompt", explanation.is_prompt_searched},
                          {"awaits_targets", explanation.awaits_targets},
                          {"target", ""}};
    if (!explanation.refusal) {
        document["admission"] = encode_admission(explanation);
    }
    auto targets = ordered_json::array();
    for (const auto& target : explanation.targets) {
        targets.push_back(encode_target(target));
    }
    if (!explanation.targets.empty() && explanation.targets.front().cost) {
        document["target"] = explanation.targets.front().record.id;
    }
    document["targets"] = std::move(targets);
    return document.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace lovage
