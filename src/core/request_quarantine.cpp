#include "lovage/core/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace lovage {

namespace {

// The end of one start of a target.
using target_end = std::pair<std::string, std::uint64_t>;

target_end end_of(const request_loss& loss) {
    return {loss.target_id, loss.target_started_ms};
}

bool is_same(const request_loss& a, const request_loss& b) {
    return a.request == b.request && end_of(a) == end_of(b);
}

bool has_succeeded_since(const request_quarantine& quarantine, const request_loss& loss) {
    const auto success = quarantine.successes.find(loss.request);
    return success != quarantine.successes.end() && success->second >= loss.at;
}

bool is_cleared(const request_quarantine& quarantine, const request_loss& loss) {
    return loss.is_withdrawn || has_succeeded_since(quarantine, loss);
}

// Whether the request has succeeded at any time. Requests that crash their targets never do.
bool is_proven(const request_quarantine& quarantine, request_fingerprint request) {
    return quarantine.successes.count(request) > 0;
}

std::size_t losses_needed(bool proven) {
    return proven ? k_losses_to_quarantine_proven : k_losses_to_quarantine;
}

using loss_list = std::vector<const request_loss*>;

// Number of losses that have no common cause with an earlier one.
std::size_t count_separate(const loss_list& losses) {
    std::vector<time_point> times;
    std::transform(losses.begin(), losses.end(), std::back_inserter(times),
                   [](const request_loss* loss) { return loss->at; });
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    time_point last{};
    for (const auto at : times) {
        if (count == 0 || at - last >= k_common_loss_time) {
            ++count;
            last = at;
        }
    }
    return count;
}

// Losses by request, of requests that are proven or of the others. Ordered, so that all processes come to the
// same result.
std::map<request_fingerprint, loss_list> by_request(const request_quarantine& quarantine,
                                                    const loss_list& losses, bool proven) {
    std::map<request_fingerprint, loss_list> grouped;
    for (const auto* loss : losses) {
        if (is_proven(quarantine, loss->request) == proven) {
            grouped[loss->request].push_back(loss);
        }
    }
    return grouped;
}

// The losses of the request that explains most of them; empty if none explains enough.
loss_list losses_of_main_suspect(const request_quarantine& quarantine, const loss_list& losses, bool proven) {
    loss_list most;
    std::size_t best = 0;
    for (auto& [request, found] : by_request(quarantine, losses, proven)) {
        const auto count = count_separate(found);
        if (count >= losses_needed(proven) && count > best) {
            best = count;
            most = std::move(found);
        }
    }
    return most;
}

void remove_explained(loss_list& losses, const loss_list& explanation) {
    std::set<target_end> explained;
    std::transform(explanation.begin(), explanation.end(), std::inserter(explained, explained.end()),
                   [](const request_loss* loss) { return end_of(*loss); });
    losses.erase(
        std::remove_if(losses.begin(), losses.end(),
                       [&explained](const request_loss* loss) { return explained.count(end_of(*loss)) > 0; }),
        losses.end());
}

time_point last_of(const loss_list& losses) {
    time_point last{};
    for (const auto* loss : losses) {
        last = std::max(last, loss->at);
    }
    return last;
}

std::unordered_map<request_fingerprint, time_point> last_losses(const request_quarantine& quarantine) {
    std::unordered_map<request_fingerprint, time_point> last;
    for (const auto& loss : quarantine.losses) {
        auto& at = last[loss.request];
        at = std::max(at, loss.at);
    }
    return last;
}

template <class Predicate>
void erase_losses(request_quarantine& quarantine, Predicate is_obsolete) {
    auto& losses = quarantine.losses;
    losses.erase(std::remove_if(losses.begin(), losses.end(), is_obsolete), losses.end());
}

// Makes room for one more loss: first those that are cleared, then the oldest single one, which says least.
void make_room(request_quarantine& quarantine) {
    auto& losses = quarantine.losses;
    erase_losses(quarantine, [&](const request_loss& loss) { return is_cleared(quarantine, loss); });
    if (losses.size() < k_max_losses) {
        return;
    }
    std::unordered_map<request_fingerprint, std::size_t> counts;
    for (const auto& loss : losses) {
        ++counts[loss.request];
    }
    const auto single = std::find_if(losses.begin(), losses.end(), [&counts](const request_loss& loss) {
        return counts[loss.request] == 1;
    });
    losses.erase(single != losses.end() ? single : losses.begin());
}

void remove_obsolete(request_quarantine& quarantine, time_point now) {
    const auto last = last_losses(quarantine);
    erase_losses(quarantine, [&](const request_loss& loss) {
        return now - last.at(loss.request) > k_loss_retention ||
               (now - loss.at > k_cleared_loss_retention && is_cleared(quarantine, loss));
    });
    if (quarantine.losses.size() >= k_max_losses) {
        make_room(quarantine);
    }
    auto& trials = quarantine.trials;
    for (auto trial = trials.begin(); trial != trials.end();) {
        trial = last.count(trial->first) == 0 ? trials.erase(trial) : std::next(trial);
    }
}

// Drops successes before `oldest` of requests without a loss.
void erase_successes(request_quarantine& quarantine, time_point oldest) {
    const auto concerned = last_losses(quarantine);
    for (auto success = quarantine.successes.begin(); success != quarantine.successes.end();) {
        const bool is_kept = success->second >= oldest || concerned.count(success->first) > 0;
        success = is_kept ? std::next(success) : quarantine.successes.erase(success);
    }
}

} // namespace

bool record_loss(request_quarantine& quarantine, request_loss loss, time_point now) {
    auto& losses = quarantine.losses;
    const auto known = std::find_if(losses.begin(), losses.end(),
                                    [&loss](const request_loss& each) { return is_same(each, loss); });
    if (known != losses.end()) {
        known->is_withdrawn |= loss.is_withdrawn;
        return false;
    }
    if (now - loss.at > k_loss_retention) {
        return false;
    }
    remove_obsolete(quarantine, now);
    losses.push_back(std::move(loss));
    return true;
}

void record_request_success(request_quarantine& quarantine, request_fingerprint request, time_point at) {
    auto& last = quarantine.successes[request];
    last = std::max(last, at);
    if (quarantine.successes.size() > std::max(quarantine.max_successes, k_max_proven_requests)) {
        erase_successes(quarantine, at - k_loss_retention);
        if (quarantine.successes.size() > k_max_proven_requests) {
            erase_successes(quarantine, time_point::max());
        }
        quarantine.max_successes = quarantine.successes.size() + k_max_proven_requests;
    }
}

void withdraw_losses(request_quarantine& quarantine, const std::string& target_id, std::uint64_t started_ms,
                     time_point sent, time_point now) {
    for (auto& loss : quarantine.losses) {
        const bool is_same_start = loss.target_started_ms == started_ms && loss.target_id == target_id;
        // An answer to a request from before the loss may have been on its way when the target ended.
        if (is_same_start && sent > loss.at && now - loss.at <= k_min_restart_time) {
            loss.is_withdrawn = true;
        }
    }
}

request_assessment assess_request(const request_quarantine& quarantine, request_fingerprint request) {
    request_assessment assessment;
    const auto own =
        std::count_if(quarantine.losses.begin(), quarantine.losses.end(), [&](const request_loss& loss) {
            return loss.request == request && !is_cleared(quarantine, loss);
        });
    const bool proven = is_proven(quarantine, request);
    if (static_cast<std::size_t>(own) + 1 < losses_needed(proven)) {
        return assessment;
    }
    loss_list unexplained;
    for (const auto& loss : quarantine.losses) {
        if (!is_cleared(quarantine, loss)) {
            unexplained.push_back(&loss);
        }
    }
    const auto assess = [&](const loss_list& losses) {
        assessment.losses = count_separate(losses);
        assessment.last_loss = last_of(losses);
        if (assessment.losses >= losses_needed(proven)) {
            assessment.verdict = request_verdict::quarantined;
        } else if (assessment.losses + 1 >= losses_needed(proven)) {
            assessment.verdict = request_verdict::suspected;
        }
    };
    for (const bool pass : {false, true}) {
        for (auto found = losses_of_main_suspect(quarantine, unexplained, pass); !found.empty();
             found = losses_of_main_suspect(quarantine, unexplained, pass)) {
            if (found.front()->request == request) {
                assess(found);
                return assessment;
            }
            remove_explained(unexplained, found);
        }
    }
    unexplained.erase(std::remove_if(unexplained.begin(), unexplained.end(),
                                     [&](const request_loss* loss) { return loss->request != request; }),
                      unexplained.end());
    assess(unexplained);
    return assessment;
}

bool was_lost_lately(const request_quarantine& quarantine, const std::string& target_id,
                     std::uint64_t started_ms, time_point now) {
    return std::any_of(quarantine.losses.begin(), quarantine.losses.end(), [&](const request_loss& loss) {
        return !loss.is_withdrawn && loss.target_started_ms == started_ms && loss.target_id == target_id &&
               now - loss.at <= k_suspect_delay;
    });
}

time_point earliest_run(const request_quarantine& quarantine, request_fingerprint request,
                        const request_assessment& assessment, const run_circumstances& circumstances) {
    if (assessment.verdict == request_verdict::clear) {
        return {};
    }
    milliseconds delay{0};
    if (assessment.verdict == request_verdict::quarantined) {
        delay = k_first_trial_delay;
        for (auto extra = assessment.losses; extra > k_losses_to_quarantine && delay < k_loss_retention;
             --extra) {
            delay *= 4;
        }
    } else if (circumstances.live_targets <= 1) {
        delay = k_suspect_delay;
    }
    auto earliest = assessment.last_loss + delay * (circumstances.is_first_to_retry ? 1 : 2);
    const auto trial = quarantine.trials.find(request);
    if (trial != quarantine.trials.end()) {
        // The outcome of a trial is known within the time that a request takes.
        const auto after = assessment.verdict == request_verdict::quarantined ? delay : k_min_restart_time;
        earliest = std::max(earliest, trial->second + after);
    }
    return earliest;
}

void record_trial(request_quarantine& quarantine, request_fingerprint request, time_point now) {
    quarantine.trials[request] = now;
}

void restore_quarantined_request(request_quarantine& quarantine, request_fingerprint request,
                                 time_point now) {
    if (assess_request(quarantine, request).verdict == request_verdict::quarantined) {
        return;
    }
    // Named for the request, since losses at the same start of a target count for one request only.
    const auto target = "stored " + std::to_string(request);
    for (std::size_t i = 0; i < k_losses_to_quarantine; ++i) {
        const auto at = now - k_common_loss_time * static_cast<std::int64_t>(i);
        record_loss(quarantine, {request, target, i, at, false}, now);
    }
}

std::vector<request_loss> losses_to_report(request_quarantine& quarantine, std::size_t limit) {
    const auto& losses = quarantine.losses;
    const auto newest = std::min(losses.size(), (limit + 1) / 2);
    std::vector<request_loss> chosen(losses.end() - static_cast<std::ptrdiff_t>(newest), losses.end());
    const auto older = losses.size() - newest;
    const auto others = std::min(older, limit - newest);
    for (std::size_t i = 0; i < others; ++i) {
        chosen.push_back(losses[(quarantine.next_reported + i) % older]);
    }
    quarantine.next_reported = older == 0 ? 0 : (quarantine.next_reported + others) % older;
    return chosen;
}

std::vector<request_success> request_successes_to_report(const request_quarantine& quarantine,
                                                         std::size_t limit) {
    std::vector<request_success> chosen;
    for (const auto& [request, at] : last_losses(quarantine)) {
        const auto success = quarantine.successes.find(request);
        if (success != quarantine.successes.end()) {
            chosen.push_back({request, success->second});
        }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const request_success& a, const request_success& b) { return a.at > b.at; });
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

} // namespace lovage
