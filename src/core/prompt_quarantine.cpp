#include "lovage/core/prompt_quarantine.h"

#include "lovage/core/ids.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <unordered_set>

namespace lovage {

namespace {

bool contains(const std::vector<std::string>& parts, const std::string& part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

// The time of the last success of a part; the start of the clock if there is none.
time_point last_success(const prompt_quarantine& quarantine, const std::string& part) {
    const auto found = quarantine.successes.find(part);
    return found != quarantine.successes.end() ? found->second : time_point{};
}

// Whether a part was generated from since the crash, which shows that it was not the cause.
bool is_cleared(const prompt_quarantine& quarantine, const prompt_crash& crash, const std::string& part) {
    return last_success(quarantine, part) >= crash.at;
}

bool is_explained(const prompt_quarantine& quarantine, const prompt_crash& crash) {
    return std::all_of(crash.parts.begin(), crash.parts.end(),
                       [&](const std::string& part) { return is_cleared(quarantine, crash, part); });
}

std::unordered_set<std::string> suspected_parts(const prompt_quarantine& quarantine) {
    std::unordered_set<std::string> parts;
    for (const auto& crash : quarantine.crashes) {
        parts.insert(crash.parts.begin(), crash.parts.end());
    }
    return parts;
}

// Drops successes of parts that are in no crash: those before `oldest`.
void erase_successes(prompt_quarantine& quarantine, time_point oldest) {
    const auto suspected = suspected_parts(quarantine);
    for (auto success = quarantine.successes.begin(); success != quarantine.successes.end();) {
        const bool is_kept = success->second >= oldest || suspected.count(success->first) > 0;
        success = is_kept ? std::next(success) : quarantine.successes.erase(success);
    }
}

template <class Predicate>
void erase_crashes(prompt_quarantine& quarantine, Predicate is_obsolete) {
    auto& crashes = quarantine.crashes;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(), is_obsolete), crashes.end());
}

void remove_obsolete(prompt_quarantine& quarantine, time_point now) {
    erase_crashes(quarantine, [&](const prompt_crash& crash) {
        return now - crash.at > k_crash_retention ||
               (now - crash.at > k_cleared_crash_retention && is_explained(quarantine, crash));
    });
    if (quarantine.crashes.size() >= k_max_crashes) {
        erase_crashes(quarantine, [&](const prompt_crash& crash) { return is_explained(quarantine, crash); });
    }
    if (quarantine.crashes.size() >= k_max_crashes) {
        quarantine.crashes.erase(quarantine.crashes.begin());
    }
}

// Number of crashes that are at least `k_crash_moment` apart.
std::size_t count_moments(std::vector<time_point> times) {
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    time_point last{};
    for (const auto at : times) {
        if (moments == 0 || at - last >= k_crash_moment) {
            ++moments;
            last = at;
        }
    }
    return moments;
}

using crash_list = std::vector<const prompt_crash*>;

std::size_t count_moments(const crash_list& crashes) {
    std::vector<time_point> times;
    std::transform(crashes.begin(), crashes.end(), std::back_inserter(times),
                   [](const prompt_crash* crash) { return crash->at; });
    return count_moments(std::move(times));
}

// Whether two prompts were lost with the same engine. Crashes of a stored record name no engine.
bool is_same_loss(const prompt_crash& a, const prompt_crash& b) {
    const auto apart = a.at > b.at ? a.at - b.at : b.at - a.at;
    return a.id == b.id || (!a.target_id.empty() && a.target_id == b.target_id && apart < k_crash_moment);
}

std::size_t count_losses(const crash_list& crashes) {
    std::size_t losses = 0;
    for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
        losses += std::none_of(crashes.begin(), crash, [crash](const prompt_crash* earlier) {
            return is_same_loss(**crash, *earlier);
        });
    }
    return losses;
}

// Whether a part has succeeded at any time. Prompts that crash their engines never do.
bool is_proven(const prompt_quarantine& quarantine, const std::string& part) {
    return quarantine.successes.count(part) > 0;
}

std::size_t crashes_needed(const prompt_quarantine& quarantine, const crash_list& crashes, bool proven) {
    const bool has_unproven_part = std::any_of(crashes.begin(), crashes.end(), [&](const auto* crash) {
        return std::any_of(crash->parts.begin(), crash->parts.end(),
                           [&](const std::string& part) { return !is_proven(quarantine, part); });
    });
    return proven && has_unproven_part ? k_crashes_to_quarantine_proven : k_crashes_to_quarantine;
}

// How well a part explains crashes: by their moments, then by the engines lost. Of parts that were in all the
// same losses, the one in fewer prompts explains them better: the others are also in prompts that were lost
// beside it.
using explanation = std::tuple<std::size_t, std::size_t, std::ptrdiff_t>;

// The crashes with the part that explains most, among the parts that have succeeded at some time or among the
// others; empty if no part is in enough of them.
crash_list crashes_of_main_suspect(const prompt_quarantine& quarantine, const crash_list& crashes,
                                   bool proven) {
    std::map<std::string, crash_list> crashes_by_part;
    for (const auto* crash : crashes) {
        for (const auto& part : crash->parts) {
            if (is_proven(quarantine, part) == proven && !is_cleared(quarantine, *crash, part)) {
                crashes_by_part[part].push_back(crash);
            }
        }
    }
    crash_list most;
    explanation best{};
    for (auto& [part, found] : crashes_by_part) {
        const auto moments = count_moments(found);
        if (moments < std::max(crashes_needed(quarantine, found, proven), std::get<0>(best))) {
            continue;
        }
        const explanation current{moments, count_losses(found), -static_cast<std::ptrdiff_t>(found.size())};
        if (current > best) {
            best = current;
            most = std::move(found);
        }
    }
    return most;
}

// The parts that all of these crashes share and that have not succeeded since the first of them.
std::vector<std::string> common_parts(const prompt_quarantine& quarantine, const crash_list& crashes,
                                      bool proven) {
    const auto first =
        *std::min_element(crashes.begin(), crashes.end(),
                          [](const prompt_crash* a, const prompt_crash* b) { return a->at < b->at; });
    std::vector<std::string> common;
    for (const auto& part : first->parts) {
        const bool is_in_all =
            std::all_of(crashes.begin(), crashes.end(),
                        [&part](const prompt_crash* crash) { return contains(crash->parts, part); });
        if (is_in_all && is_proven(quarantine, part) == proven && !is_cleared(quarantine, *first, part)) {
            common.push_back(part);
        }
    }
    return common;
}

void remove_losses(crash_list& crashes, const crash_list& explained) {
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                 [&explained](const prompt_crash* crash) {
                                     return std::any_of(explained.begin(), explained.end(),
                                                        [crash](const prompt_crash* other) {
                                                            return is_same_loss(*crash, *other);
                                                        });
                                 }),
                  crashes.end());
}

// The sets of parts that explain the crashes of a service.
std::vector<std::vector<std::string>> quarantined_sets(const prompt_quarantine& quarantine,
                                                       const std::string& service) {
    crash_list unexplained;
    for (const auto& crash : quarantine.crashes) {
        if (crash.service == service && !is_explained(quarantine, crash)) {
            unexplained.push_back(&crash);
        }
    }
    std::vector<std::vector<std::string>> sets;
    for (const bool proven : {false, true}) {
        for (auto found = crashes_of_main_suspect(quarantine, unexplained, proven); !found.empty();
             found = crashes_of_main_suspect(quarantine, unexplained, proven)) {
            sets.push_back(common_parts(quarantine, found, proven));
            remove_losses(unexplained, found);
        }
    }
    return sets;
}

} // namespace

bool record_crash(prompt_quarantine& quarantine, prompt_crash crash, time_point now) {
    auto& crashes = quarantine.crashes;
    const bool is_known = std::any_of(crashes.begin(), crashes.end(),
                                      [&crash](const prompt_crash& known) { return known.id == crash.id; });
    if (is_known || crash.parts.empty() || now - crash.at > k_crash_retention) {
        return false;
    }
    remove_obsolete(quarantine, now);
    crashes.push_back(std::move(crash));
    return true;
}

void record_successes(prompt_quarantine& quarantine, const std::vector<std::string>& parts, time_point at) {
    for (const auto& part : parts) {
        auto& last = quarantine.successes[part];
        last = std::max(last, at);
    }
    if (quarantine.successes.size() > quarantine.max_successes) {
        erase_successes(quarantine, at - k_crash_retention);
        if (quarantine.successes.size() > quarantine.max_successes) {
            erase_successes(quarantine, time_point::max());
        }
        quarantine.max_successes = quarantine.successes.size() + k_max_proven_parts;
    }
}

std::vector<std::string> quarantined_parts(const prompt_quarantine& quarantine, const std::string& service,
                                           const std::vector<std::string>& parts) {
    const bool is_suspected =
        std::any_of(quarantine.crashes.begin(), quarantine.crashes.end(), [&](const prompt_crash& crash) {
            return crash.service == service &&
                   std::any_of(parts.begin(), parts.end(), [&](const std::string& part) {
                       return contains(crash.parts, part) && !is_cleared(quarantine, crash, part);
                   });
        });
    if (!is_suspected) {
        return {};
    }
    for (auto& set : quarantined_sets(quarantine, service)) {
        const bool is_contained = std::all_of(
            set.begin(), set.end(), [&parts](const std::string& each) { return contains(parts, each); });
        if (is_contained) {
            return std::move(set);
        }
    }
    return {};
}

void restore_quarantine(prompt_quarantine& quarantine, const quarantine_record& record, time_point now) {
    std::uint64_t id = hash_bytes(record.service);
    for (const auto& part : record.parts) {
        id = hash_bytes(part, id);
    }
    for (std::size_t i = 0; i < k_crashes_to_quarantine; ++i) {
        const auto at = now - k_crash_moment * static_cast<std::int64_t>(i);
        record_crash(quarantine, {id + i, record.service, "", record.parts, at}, now);
    }
}

std::vector<prompt_crash> crashes_to_report(prompt_quarantine& quarantine, std::size_t limit) {
    const auto& crashes = quarantine.crashes;
    const auto newest = std::min(crashes.size(), (limit + 1) / 2);
    std::vector<prompt_crash> chosen(crashes.end() - static_cast<std::ptrdiff_t>(newest), crashes.end());
    const auto older = crashes.size() - newest;
    const auto others = std::min(older, limit - newest);
    for (std::size_t i = 0; i < others; ++i) {
        chosen.push_back(crashes[(quarantine.next_reported + i) % older]);
    }
    quarantine.next_reported = older == 0 ? 0 : (quarantine.next_reported + others) % older;
    return chosen;
}

std::vector<part_success> successes_to_report(const prompt_quarantine& quarantine, std::size_t limit) {
    std::vector<part_success> chosen;
    for (const auto& part : suspected_parts(quarantine)) {
        const auto success = quarantine.successes.find(part);
        if (success != quarantine.successes.end()) {
            chosen.push_back({part, success->second});
        }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const part_success& a, const part_success& b) { return a.at > b.at; });
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

} // namespace lovage
