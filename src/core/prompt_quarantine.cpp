#include "lovage/core/prompt_quarantine.h"

#include "lovage/core/ids.h"

#include <algorithm>
#include <iterator>

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

bool is_suspected(const prompt_quarantine& quarantine, const std::string& part) {
    return std::any_of(quarantine.crashes.begin(), quarantine.crashes.end(),
                       [&part](const prompt_crash& crash) { return contains(crash.parts, part); });
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
    for (auto success = quarantine.successes.begin(); success != quarantine.successes.end();) {
        success = is_suspected(quarantine, success->first) ? std::next(success)
                                                           : quarantine.successes.erase(success);
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

// The crashes of `service` with `part` in the prompt that its last success does not explain.
std::vector<const prompt_crash*> crashes_of(const prompt_quarantine& quarantine, const std::string& service,
                                            const std::string& part) {
    std::vector<const prompt_crash*> found;
    for (const auto& crash : quarantine.crashes) {
        if (crash.service == service && contains(crash.parts, part) && !is_cleared(quarantine, crash, part)) {
            found.push_back(&crash);
        }
    }
    return found;
}

// The parts that all of these crashes share and that have not succeeded since the first of them.
std::vector<std::string> common_parts(const prompt_quarantine& quarantine,
                                      const std::vector<const prompt_crash*>& crashes) {
    const auto first =
        *std::min_element(crashes.begin(), crashes.end(),
                          [](const prompt_crash* a, const prompt_crash* b) { return a->at < b->at; });
    std::vector<std::string> common;
    for (const auto& part : first->parts) {
        const bool is_in_all =
            std::all_of(crashes.begin(), crashes.end(),
                        [&part](const prompt_crash* crash) { return contains(crash->parts, part); });
        if (is_in_all && !is_cleared(quarantine, *first, part)) {
            common.push_back(part);
        }
    }
    return common;
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
        if (is_suspected(quarantine, part)) {
            auto& last = quarantine.successes[part];
            last = std::max(last, at);
        }
    }
}

std::vector<std::string> quarantined_parts(const prompt_quarantine& quarantine, const std::string& service,
                                           const std::vector<std::string>& parts) {
    for (const auto& part : parts) {
        const auto crashes = crashes_of(quarantine, service, part);
        std::vector<time_point> times;
        std::transform(crashes.begin(), crashes.end(), std::back_inserter(times),
                       [](const prompt_crash* crash) { return crash->at; });
        if (count_moments(std::move(times)) < k_crashes_to_quarantine) {
            continue;
        }
        auto common = common_parts(quarantine, crashes);
        const bool is_contained =
            std::all_of(common.begin(), common.end(),
                        [&parts](const std::string& each) { return contains(parts, each); });
        if (!common.empty() && is_contained) {
            return common;
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
    for (const auto& [part, at] : quarantine.successes) {
        chosen.push_back({part, at});
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const part_success& a, const part_success& b) { return a.at > b.at; });
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

} // namespace lovage
