#include "lovage/core/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace lovage {

namespace {

// Keeps the finish tags of an organisation with a share of 0 finite.
constexpr double k_min_share = 1e-6;

priority_queue_state& state_for_priority(fair_queue& queue, const queued_request& request) {
    return queue.by_priority.at(static_cast<std::size_t>(request.priority));
}

void update_head(priority_queue_state& state, const std::string& organisation, double old_head_tag) {
    state.heads.erase({old_head_tag, organisation});
    const auto& waiting = state.organisations.at(organisation).waiting;
    if (!waiting.empty()) {
        state.heads.insert({waiting.front().first, organisation});
    }
}

void append(priority_queue_state& state, queued_request request) {
    auto& organisation = state.organisations[request.organisation];
    organisation.share = std::max(request.share, k_min_share);
    const double start = std::max(state.virtual_time, organisation.last_finish);
    organisation.last_finish = start + std::max(request.cost, 1.0) / organisation.share;
    const std::string name = request.organisation;
    organisation.waiting.emplace_back(start, std::move(request));
    if (organisation.waiting.size() == 1) {
        state.heads.insert({start, name});
    }
}

// Erases the state of an organisation whose past work no longer delays its requests.
void erase_if_idle(priority_queue_state& state, const std::string& organisation) {
    const auto found = state.organisations.find(organisation);
    if (found != state.organisations.end() && found->second.waiting.empty() &&
        found->second.last_finish <= state.virtual_time) {
        state.organisations.erase(found);
    }
}

void erase_idle(priority_queue_state& state) {
    for (auto it = state.organisations.begin(); it != state.organisations.end();) {
        const bool is_idle = it->second.waiting.empty() && it->second.last_finish <= state.virtual_time;
        it = is_idle ? state.organisations.erase(it) : std::next(it);
    }
}

// Idle organisations are erased when they outnumber the organisations with queued requests by this margin, so
// that the amortised cost is constant per request.
constexpr std::size_t k_erase_idle_margin = 64;

bool is_waiting(const priority_queue_state& state) {
    return !state.heads.empty();
}

// Returns the index of the most urgent priority that waits; the count of priorities if none does.
std::size_t most_urgent_waiting(const fair_queue& queue) {
    const auto& states = queue.by_priority;
    return static_cast<std::size_t>(std::find_if(states.begin(), states.end(), is_waiting) - states.begin());
}

// Returns the index of the priority that is served next; the count of priorities if none waits.
std::size_t next_priority(const fair_queue& queue) {
    const auto first = most_urgent_waiting(queue);
    if (queue.floor_interval > 0) {
        for (std::size_t i = queue.by_priority.size(); i-- > first + 1;) {
            if (is_waiting(queue.by_priority.at(i)) && queue.passed_over.at(i) + 1 >= queue.floor_interval) {
                return i;
            }
        }
    }
    return first;
}

void record_served_priority(fair_queue& queue, std::size_t served) {
    const auto first = most_urgent_waiting(queue);
    for (std::size_t i = 0; i < queue.by_priority.size(); ++i) {
        auto& count = queue.passed_over.at(i);
        if (i <= first || !is_waiting(queue.by_priority.at(i))) {
            count = 0;
        } else if (i != served) {
            ++count;
        } else {
            // The excess, if a lower priority was due at the same time, counts towards the next interval.
            count -= std::min(count, queue.floor_interval - 1);
        }
    }
}

// The organisation with the most queued requests relative to its share.
struct largest_backlog {
    priority_queue_state* state = nullptr;
    std::string organisation;
    double backlog = 0.0;
};

largest_backlog find_largest_backlog(fair_queue& queue) {
    largest_backlog found;
    for (auto& state : queue.by_priority) {
        for (const auto& [start, name] : state.heads) {
            const auto& organisation = state.organisations.at(name);
            const double backlog = static_cast<double>(organisation.waiting.size()) / organisation.share;
            if (backlog > found.backlog) {
                found = {&state, name, backlog};
            }
        }
    }
    return found;
}

queued_request remove_newest(fair_queue& queue, const largest_backlog& from) {
    auto& organisation = from.state->organisations.at(from.organisation);
    const double old_head_tag = organisation.waiting.front().first;
    queued_request removed = std::move(organisation.waiting.back().second);
    organisation.waiting.pop_back();
    organisation.last_finish -= std::max(removed.cost, 1.0) / organisation.share;
    --queue.size;
    update_head(*from.state, from.organisation, old_head_tag);
    return removed;
}

} // namespace

enqueue_outcome enqueue(fair_queue& queue, queued_request request) {
    enqueue_outcome outcome;
    outcome.accepted = true;
    if (request.is_resume) {
        queue.resumes.push_back(std::move(request));
        ++queue.size;
        return outcome;
    }
    const queue_ticket ticket = request.ticket;
    priority_queue_state& state = state_for_priority(queue, request);
    append(state, std::move(request));
    ++queue.size;
    if (queue.size - queue.resumes.size() <= queue.max_queued) {
        return outcome;
    }
    queued_request removed = remove_newest(queue, find_largest_backlog(queue));
    if (removed.ticket == ticket) {
        outcome.accepted = false;
    } else {
        outcome.displaced = std::move(removed);
    }
    return outcome;
}

const queued_request* front(const fair_queue& queue) {
    if (!queue.resumes.empty()) {
        return &queue.resumes.front();
    }
    const auto next = next_priority(queue);
    if (next == queue.by_priority.size()) {
        return nullptr;
    }
    const auto& state = queue.by_priority.at(next);
    return &state.organisations.at(state.heads.begin()->second).waiting.front().second;
}

const queued_request* front_if(const fair_queue& queue,
                               const std::function<bool(const queued_request&)>& matches) {
    const auto resume = std::find_if(queue.resumes.begin(), queue.resumes.end(), matches);
    if (resume != queue.resumes.end()) {
        return &*resume;
    }
    for (const auto& state : queue.by_priority) {
        const std::pair<double, queued_request>* first = nullptr;
        for (const auto& [start, name] : state.heads) {
            if (first != nullptr && first->first <= start) {
                break;
            }
            const auto& waiting = state.organisations.at(name).waiting;
            const auto found = std::find_if(waiting.begin(), waiting.end(),
                                            [&matches](const auto& item) { return matches(item.second); });
            if (found != waiting.end() && (first == nullptr || found->first < first->first)) {
                first = &*found;
            }
        }
        if (first != nullptr) {
            return &first->second;
        }
    }
    return nullptr;
}

std::optional<queued_request> dequeue_ticket(fair_queue& queue, queue_ticket ticket) {
    const auto has_ticket = [ticket](const auto& item) { return item.second.ticket == ticket; };
    for (auto& state : queue.by_priority) {
        for (const auto& [start, name] : state.heads) {
            auto& waiting = state.organisations.at(name).waiting;
            const auto found = std::find_if(waiting.begin(), waiting.end(), has_ticket);
            if (found == waiting.end()) {
                continue;
            }
            std::optional<queued_request> served(std::move(found->second));
            waiting.erase(found);
            --queue.size;
            // The head that is replaced holds the name that the loop refers to.
            const auto [old_start, organisation] = std::pair(start, name);
            update_head(state, organisation, old_start);
            erase_if_idle(state, organisation);
            return served;
        }
    }
    return std::nullopt;
}

std::size_t expected_position(const fair_queue& queue, const queued_request& request) {
    double position = static_cast<double>(queue.resumes.size());
    for (std::size_t i = 0; i <= static_cast<std::size_t>(request.priority); ++i) {
        const auto& state = queue.by_priority.at(i);
        const bool is_same_priority = i == static_cast<std::size_t>(request.priority);
        const auto own = state.organisations.find(request.organisation);
        const double own_queued =
            own == state.organisations.end() ? 0.0 : static_cast<double>(own->second.waiting.size());
        const double service_rounds = (own_queued + 1.0) / std::max(request.share, k_min_share);
        for (const auto& [start, name] : state.heads) {
            const auto& organisation = state.organisations.at(name);
            const auto waiting = static_cast<double>(organisation.waiting.size());
            // While the requests of this organisation are served, each other organisation is served in
            // proportion to its share.
            const bool is_other = name != request.organisation;
            position += is_same_priority && is_other ? std::min(waiting, service_rounds * organisation.share)
                                                     : waiting;
        }
    }
    return static_cast<std::size_t>(position);
}

std::optional<queued_request> dequeue(fair_queue& queue) {
    if (!queue.resumes.empty()) {
        std::optional<queued_request> next(std::move(queue.resumes.front()));
        queue.resumes.pop_front();
        --queue.size;
        return next;
    }
    const auto served = next_priority(queue);
    if (served == queue.by_priority.size()) {
        return std::nullopt;
    }
    record_served_priority(queue, served);
    auto& state = queue.by_priority.at(served);
    const auto [start, name] = *state.heads.begin();
    auto& organisation = state.organisations.at(name);
    std::optional<queued_request> next(std::move(organisation.waiting.front().second));
    organisation.waiting.pop_front();
    state.virtual_time = std::max(state.virtual_time, start);
    update_head(state, name, start);
    erase_if_idle(state, name);
    if (state.heads.empty()) {
        // The busy period has ended, so start-time fair queueing drops all finish tags.
        state.organisations.clear();
    } else if (state.organisations.size() > 2 * state.heads.size() + k_erase_idle_margin) {
        erase_idle(state);
    }
    --queue.size;
    return next;
}

namespace {

// Removes the requests of an organisation that satisfy `matches` and appends them to `removed`. Requests that
// were not served from this queue do not count against the organisation, so those behind them move forward.
template <class Predicate>
void extract_if(priority_queue_state::organisation_state& organisation, const Predicate& matches,
                std::vector<queued_request>& removed) {
    double removed_work = 0.0;
    decltype(organisation.waiting) kept;
    for (auto& [start, request] : organisation.waiting) {
        if (matches(request)) {
            removed_work += std::max(request.cost, 1.0) / organisation.share;
            removed.push_back(std::move(request));
        } else {
            kept.emplace_back(start - removed_work, std::move(request));
        }
    }
    organisation.waiting = std::move(kept);
    organisation.last_finish -= removed_work;
}

// Removes the queued requests that satisfy `matches` and appends them to `removed`.
template <class Predicate>
void extract_if(fair_queue& queue, const Predicate& matches, std::vector<queued_request>& removed) {
    const auto first_removed =
        std::stable_partition(queue.resumes.begin(), queue.resumes.end(),
                              [&matches](const auto& request) { return !matches(request); });
    std::move(first_removed, queue.resumes.end(), std::back_inserter(removed));
    queue.resumes.erase(first_removed, queue.resumes.end());
    for (auto& state : queue.by_priority) {
        const auto heads = state.heads;
        for (const auto& [start, name] : heads) {
            extract_if(state.organisations.at(name), matches, removed);
            update_head(state, name, start);
            erase_if_idle(state, name);
        }
        if (state.heads.empty()) {
            state.organisations.clear();
        }
    }
    queue.size -= removed.size();
}

} // namespace

std::vector<queued_request> remove_expired(fair_queue& queue, time_point now) {
    std::vector<queued_request> expired;
    extract_if(
        queue, [now](const queued_request& request) { return request.latest_start <= now; }, expired);
    return expired;
}

bool remove_ticket(fair_queue& queue, queue_ticket ticket) {
    std::vector<queued_request> removed;
    extract_if(
        queue, [ticket](const queued_request& request) { return request.ticket == ticket; }, removed);
    return !removed.empty();
}

std::size_t tracked_organisations(const fair_queue& queue) {
    std::size_t count = 0;
    for (const auto& state : queue.by_priority) {
        count += state.organisations.size();
    }
    return count;
}

} // namespace lovage
