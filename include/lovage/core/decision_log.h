#pragma once

#include "lovage/core/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

/// One logged decision about a request or a move.
struct decision_entry {
    wall_time at{};
    std::string event;
    std::string detail;
};

/// Decisions by subject (a request id or a move id) in bounded memory. When there are too many subjects, the
/// one that was added first is evicted.
struct decision_log {
    std::size_t max_subjects = 4'096;
    std::size_t max_entries_per_subject = 64;
    std::unordered_map<std::string, std::deque<decision_entry>> subjects;
    /// Subjects in the order in which they were added.
    std::deque<std::string> order;
};

/// Adds a decision. The subject's oldest entry is dropped when it has more than `max_entries_per_subject`.
void record_decision(decision_log& log, const std::string& subject, decision_entry entry);

/// Returns the decisions about `subject`, oldest first; empty if the subject is not known.
std::vector<decision_entry> decisions_about(const decision_log& log, const std::string& subject);

} // namespace lovage
