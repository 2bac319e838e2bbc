#include "lovage/core/decision_log.h"

#include <utility>

namespace lovage {

void record_decision(decision_log& log, const std::string& subject, decision_entry entry) {
    auto [found, is_new] = log.subjects.try_emplace(subject);
    if (is_new) {
        log.order.push_back(subject);
    }
    auto& entries = found->second;
    entries.push_back(std::move(entry));
    if (entries.size() > log.max_entries_per_subject) {
        entries.pop_front();
    }
    if (log.subjects.size() > log.max_subjects) {
        log.subjects.erase(log.order.front());
        log.order.pop_front();
    }
}

std::vector<decision_entry> decisions_about(const decision_log& log, const std::string& subject) {
    const auto found = log.subjects.find(subject);
    if (found == log.subjects.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

} // namespace lovage
