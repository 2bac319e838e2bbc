#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/request_fingerprint.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

// Keeps single requests that crash every target which runs them ("query of death") from the targets.
//
// Load pattern: the same request comes again and again, at any process, and each target that runs it ends,
// together with the other requests there. Connections also end for other reasons: a power failure ends many
// targets at one moment, and answers get lost. A target ends once in each of its starts, so of all requests
// that were lost with it only one is to blame. Losses are therefore attributed to the requests that explain
// most of them, and withdrawn if the target answers afterwards.

/// The loss of a target's connection while it ran a request. At most one for each request and start of a
/// target.
struct request_loss {
    request_fingerprint request = 0;
    std::string target_id;
    /// `target_record::started_ms` of the target.
    std::uint64_t target_started_ms = 0;
    time_point at{};
    /// Whether the target has answered since, so that it had not ended.
    bool is_withdrawn = false;
};

/// The last time at which a target survived a request: it answered it, or generated more than the first
/// events.
struct request_success {
    request_fingerprint request = 0;
    time_point at{};
};

/// What this process and its peers know of requests that were lost. Losses only grow until they expire, so
/// that reports may arrive late, twice or in any order.
struct request_quarantine {
    /// In the order in which this process learned of them.
    std::vector<request_loss> losses;
    /// The last success of each request that had one, also from before the losses.
    std::unordered_map<request_fingerprint, time_point> successes;
    /// Number of successes at which those that no loss concerns are dropped.
    std::size_t max_successes = 0;
    /// When this process last sent a request that is suspected or quarantined.
    std::unordered_map<request_fingerprint, time_point> trials;
    /// Position in `losses` for the next call of `losses_to_report`.
    std::size_t next_reported = 0;
};

/// Targets lost under a request that quarantine it.
inline constexpr std::size_t k_losses_to_quarantine = 3;
/// The same for a request that has succeeded before.
inline constexpr std::size_t k_losses_to_quarantine_proven = 5;
/// Targets that end within this time of each other have a common cause, such as a power failure. Shorter than
/// the run of any request, so that the attempts of one request count separately.
inline constexpr milliseconds k_common_loss_time{20};
/// A target that answers within this time after a loss has not restarted since, so it had not ended.
inline constexpr milliseconds k_min_restart_time{1'000};
/// How long a suspected request waits for the targets that were lost under it to be back.
inline constexpr milliseconds k_suspect_delay{5'000};
/// How long after the last loss one process tries a quarantined request once more; four times as long after
/// each further loss.
inline constexpr milliseconds k_first_trial_delay{60'000};
/// How long the losses of a request are remembered after the last one.
inline constexpr milliseconds k_loss_retention{600'000};
/// How long losses are remembered that are withdrawn or followed by a success, so that late reports of them
/// do not count anew.
inline constexpr milliseconds k_cleared_loss_retention{5'000};
/// Bound on the losses that are remembered.
inline constexpr std::size_t k_max_losses = 256;
/// Bound on the requests whose success is remembered, besides those of the losses; about 0.5 MB.
inline constexpr std::size_t k_max_proven_requests = 8'192;

/// What the losses say about a request.
enum class request_verdict : std::uint8_t {
    /// It may run.
    clear,
    /// One more loss would quarantine it.
    suspected,
    quarantined,
};
inline constexpr std::size_t k_request_verdict_count = 3;
inline constexpr enum_names<k_request_verdict_count> k_request_verdict_names{"clear", "suspected",
                                                                             "quarantined"};
static_assert(static_cast<std::size_t>(request_verdict::quarantined) + 1 == k_request_verdict_count);

struct request_assessment {
    request_verdict verdict = request_verdict::clear;
    /// Losses that no other request explains better.
    std::size_t losses = 0;
    time_point last_loss{};
};

/// Records a loss; ignores one that is known. Removes what has expired at `now`. Returns whether it is new.
bool record_loss(request_quarantine& quarantine, request_loss loss, time_point now);

/// Records that a target has survived the request.
void record_request_success(request_quarantine& quarantine, request_fingerprint request, time_point at);

/// Withdraws the losses at a target that has answered a request which was sent to it at `sent`.
void withdraw_losses(request_quarantine& quarantine, const std::string& target_id, std::uint64_t started_ms,
                     time_point sent, time_point now);

request_assessment assess_request(const request_quarantine& quarantine, request_fingerprint request);

/// What the decision whether a request may run needs to know besides the losses.
struct run_circumstances {
    /// Registered targets of the service that were not lost lately.
    std::size_t live_targets = 0;
    /// Whether this process is the first of all to try a request again. The others wait twice as long.
    bool is_first_to_retry = true;
};

/// Returns from when on this process may send the request; the start of the clock if it always may. A
/// suspected request is withheld only while it could take the service's last target.
time_point earliest_run(const request_quarantine& quarantine, request_fingerprint request,
                        const request_assessment& assessment, const run_circumstances& circumstances);

/// Whether a target was lost within `k_suspect_delay` before `now`.
bool was_lost_lately(const request_quarantine& quarantine, const std::string& target_id,
                     std::uint64_t started_ms, time_point now);

/// Records that this process sends a request that is not clear.
void record_trial(request_quarantine& quarantine, request_fingerprint request, time_point now);

/// Quarantines a request that the store lists. All processes add the same losses, so that reports of them do
/// not count anew.
void restore_quarantined_request(request_quarantine& quarantine, request_fingerprint request, time_point now);

/// Returns at most `limit` losses for a report: the newest ones, then the others in turn.
std::vector<request_loss> losses_to_report(request_quarantine& quarantine, std::size_t limit);

/// Returns the last successes of the requests with losses, at most `limit`, newest first.
std::vector<request_success> request_successes_to_report(const request_quarantine& quarantine,
                                                         std::size_t limit);

} // namespace lovage
