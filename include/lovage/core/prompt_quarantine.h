#pragma once

#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

// Keeps requests whose prompt crashes every engine that runs it ("query of death") from the engines.
//
// Load pattern: prompts that share a part crash one engine after the other, together with all other
// generations there, while sound prompts share their other parts, and engines also crash for other reasons.
// What crashes an engine is therefore inferred from several crashes: a set of parts is quarantined if each of
// them was in the prompt at every one of these crashes and none of them was generated from since. The set
// that explains most crashes comes first; what was lost at the same engines at the same moments then counts
// against no other part. Parts that engines have generated from before are suspected last.

/// The end of an attempt at an engine that was lost before it had generated more than the first events.
struct prompt_crash {
    /// Random; identifies the crash in the reports of all processes.
    std::uint64_t id = 0;
    std::string service;
    std::string target_id;
    /// Ids of the prompt's parts, without the last one, which no other request shares.
    std::vector<std::string> parts;
    time_point at{};
};

/// A generation from a prompt with the part `part` has succeeded.
struct part_success {
    std::string part;
    time_point at{};
};

/// Prompt parts that are quarantined together for one service, or a quarantined request, as the store keeps
/// them beyond the processes.
struct quarantine_record {
    std::string service;
    /// Empty for a request.
    std::vector<std::string> parts;
    /// Fingerprint of the request; 0 for parts.
    std::uint64_t request = 0;

    friend bool operator==(const quarantine_record& a, const quarantine_record& b) {
        return a.service == b.service && a.parts == b.parts && a.request == b.request;
    }
};

/// Bound on the parts whose last success is remembered, besides those of the crashes; about 1 MB.
inline constexpr std::size_t k_max_proven_parts = 8'192;

/// Crashes and successes that this process knows of, its own and those of its peers. Sets that only
/// grow until they expire, so that reports may arrive late, twice or in any order.
struct prompt_quarantine {
    /// In the order in which this process learned of them.
    std::vector<prompt_crash> crashes;
    /// The last success of each part that has had one, also from before the crashes.
    std::unordered_map<std::string, time_point> successes;
    /// Number of successes at which those that no crash concerns are dropped.
    std::size_t max_successes = k_max_proven_parts;
    /// Position in `crashes` for the next call of `crashes_to_report`.
    std::size_t next_reported = 0;
};

/// Crashes at different moments that quarantine a prompt. A power failure in a zone ends many engines, but
/// all at one moment.
inline constexpr std::size_t k_crashes_to_quarantine = 3;
/// The same for a part that has succeeded before, if a part that never has was beside it in a prompt.
inline constexpr std::size_t k_crashes_to_quarantine_proven = 5;
/// Crashes within this time of each other count as one.
inline constexpr milliseconds k_crash_moment{500};
/// Number of events after which an engine counts as having survived a prompt.
inline constexpr std::uint32_t k_events_to_clear = 4;
/// How long a crash is remembered, and with it a quarantine.
inline constexpr milliseconds k_crash_retention{600'000};
/// How long a crash is remembered all parts of which have succeeded since, so that late reports of it do not
/// count anew.
inline constexpr milliseconds k_cleared_crash_retention{5'000};
/// Bound on the crashes that are remembered.
inline constexpr std::size_t k_max_crashes = 256;

/// Records a crash; ignores one that is known and one of a prompt without parts. Removes what has expired at
/// `now`. Returns whether the crash is new.
bool record_crash(prompt_quarantine& quarantine, prompt_crash crash, time_point now);

/// Records that generations from these parts have succeeded.
void record_successes(prompt_quarantine& quarantine, const std::vector<std::string>& parts, time_point at);

/// Returns the quarantined parts that a prompt with `parts` contains; empty if it may run. Sound prompts that
/// contain only some of the parts of a quarantined set are not affected.
std::vector<std::string> quarantined_parts(const prompt_quarantine& quarantine, const std::string& service,
                                           const std::vector<std::string>& parts);

/// Quarantines the parts of a record. All processes add crashes with the same ids, so that reports of them do
/// not count anew. A later success of a part clears it, as after any crash.
void restore_quarantine(prompt_quarantine& quarantine, const quarantine_record& record, time_point now);

/// Returns at most `limit` crashes for a report: the newest ones, then the others in turn.
std::vector<prompt_crash> crashes_to_report(prompt_quarantine& quarantine, std::size_t limit);

/// Returns the last successes of the parts of the recorded crashes, at most `limit`, newest first.
std::vector<part_success> successes_to_report(const prompt_quarantine& quarantine, std::size_t limit);

} // namespace lovage
