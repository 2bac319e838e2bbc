#include "lovage/traffic/service_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovage {

namespace {

std::string class_of(const fleet_view& view, const std::string& organisation) {
    if (view.config) {
        for (const auto& entry : view.config->organisations) {
            if (entry.name == organisation) {
                return entry.organisation_class;
            }
        }
    }
    return organisation_config{}.organisation_class;
}

// Formats a share as a whole percentage; configured shares are round numbers.
std::string percent(double share) {
    return std::to_string(std::lround(share * 100.0)) + "%";
}

std::string describe(const fleet_view& view, const move_record& move) {
    const auto& vetoed = view.vetoed_moves;
    std::string text = std::string(name_of(k_move_phase_names, move.phase)) + ", " + move.model + " " +
                       move.from + " -> " + move.to + ", share " + percent(move.share);
    if (std::find(vetoed.begin(), vetoed.end(), move.id) != vetoed.end()) {
        text += ", vetoed";
    }
    if (!move.reason.empty()) {
        text += ": " + move.reason;
    }
    return text;
}

} // namespace

void service_record::add_ended_request(const fleet_view& view, const ended_request& ending) {
    request_outcome outcome;
    outcome.service = ending.service;
    outcome.organisation_class = class_of(view, ending.organisation);
    outcome.route = ending.service;
    outcome.honoured = ending.honoured;
    outcome.resumed = ending.resumed;
    outcome.tokens = ending.tokens;
    outcome.extra_tokens = ending.extra_tokens;
    const time_point now = monotonic_now();
    const std::lock_guard lock(m_mutex);
    record_request(m_level, outcome, now);
}

void service_record::add_decision(const std::string& request, session_event event, std::string detail) {
    decision_entry entry{wall_now(), std::string(name_of(k_session_event_names, event)), std::move(detail)};
    const std::lock_guard lock(m_mutex);
    record_decision(m_decisions, request, std::move(entry));
}

void service_record::record_moves(const fleet_view& view) {
    const wall_time now = wall_now();
    const std::lock_guard lock(m_mutex);
    for (const auto& move : view.moves) {
        std::string text = describe(view, move);
        std::string& last = m_moves[move.id];
        if (text != last) {
            last = text;
            record_decision(m_decisions, move.id, {now, "move", std::move(text)});
        }
    }
}

std::vector<decision_entry> service_record::decisions(const std::string& subject) const {
    const std::lock_guard lock(m_mutex);
    return decisions_about(m_decisions, subject);
}

std::vector<burn_line> service_record::burn(const fleet_view& view) const {
    std::map<std::string, double> objectives;
    if (view.config) {
        for (const auto& service : view.config->services) {
            objectives[service.name] = service.objective.honoured;
        }
    }
    const std::lock_guard lock(m_mutex);
    return burn_report(m_level, objectives, monotonic_now());
}

service_level service_record::totals() const {
    const std::lock_guard lock(m_mutex);
    service_level totals;
    totals.requests = m_level.requests;
    totals.honoured = m_level.honoured;
    totals.resumed = m_level.resumed;
    totals.tokens = m_level.tokens;
    totals.extra_tokens = m_level.extra_tokens;
    return totals;
}

} // namespace lovage
