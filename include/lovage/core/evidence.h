#pragma once

#include "lovage/core/ids.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace lovage {

/// Interval at which an entry (front-end process) reports its evidence while a move is being evaluated.
/// Reports go out at this interval whether or not they contain defects: reports that only defects trigger
/// would arrive before those about good requests and make each version look worse than it is.
inline constexpr milliseconds k_evidence_report_interval{250};

/// Key by which evidence is counted. Evidence is the record of how requests fared on a model version, from
/// which a version that is being rolled out is evaluated.
struct evidence_key {
    std::string model;
    std::string version;
    std::string route;

    friend bool operator<(const evidence_key& a, const evidence_key& b) {
        return std::tie(a.model, a.version, a.route) < std::tie(b.model, b.version, b.route);
    }
};

/// Numbers of requests and of those that had each kind of defect.
struct evidence_counts {
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow_first_tokens = 0;
    std::uint64_t slow_gaps = 0;
};

evidence_counts operator+(const evidence_counts& a, const evidence_counts& b);
/// Differences saturate at 0.
evidence_counts operator-(const evidence_counts& a, const evidence_counts& b);

/// Sums of the evidence reported by all entries (front-end processes). Reports hold cumulative counts since
/// the start of the entry, so a lost report is made up for by the next one.
struct evidence_table {
    /// The most recent counts of each entry.
    std::map<node_id, std::map<evidence_key, evidence_counts>> last_counts;
    /// Sum of the counts that entries added after their first report.
    std::map<evidence_key, evidence_counts> totals;
    /// Sum of the counts in the first report of each entry, which tell how a version behaved earlier.
    std::map<evidence_key, evidence_counts> history;
};

/// Adds the report of entry `from`. Counts below the previous ones mean that the entry was restarted; they
/// are added in full.
void add_evidence(evidence_table& table, const node_id& from, const evidence_message& message);

} // namespace lovage
