#include "lovage/core/engine_memory.h"
#include "lovage/core/prompt_affinity.h"
#include "lovage/traffic/engine_calls.h"
#include "lovage/traffic/proxied_request.h"
#include "proxied_helpers.h"

#include <algorithm>

namespace lovage {

namespace {

// Minimum cached fraction of the prompt for which a request is sent to a busier engine; a smaller one saves
// too little prefill.
constexpr double k_min_cached_fraction = 0.5;
// Part of the objective that a request may spend waiting before its start; the rest suffices to serve it, for
// a generation to read its prompt.
constexpr double k_wait_fraction = 0.5;
// Longest wait of a stream that must be prefilled again.
constexpr milliseconds k_max_resume_wait{2'000};
constexpr auto k_least_urgent = static_cast<priority>(k_priority_count - 1);
// One start in eight is of the least urgent rank that waits, while more urgent ones wait too.
constexpr std::size_t k_floor_interval = 8;

} // namespace

placement proxied_request::placement_among(const std::vector<target_candidate>& candidates) {
    placement want;
    want.zone = m_traffic.options.zone;
    want.excluded = tried_targets();
    want.reads_prompt = m_request.prompt_tokens > 0;
    want.limits_prefills = limits_prefills();
    want.memory_tokens = memory_tokens();
    want.memory_capacity = memory_capacity();
    want.preferred = preferred_targets(candidates, m_request.prompt);
    want.failing_zones = failing_zones(m_traffic, m_service_name);
    want.now = m_traffic.timers.now();
    return want;
}

const target_record* proxied_request::choose_target_among(const std::vector<target_candidate>& candidates,
                                                          placement want) {
    const auto beyond = targets_beyond_limit(candidates);
    want.excluded.insert(want.excluded.end(), beyond.begin(), beyond.end());
    const auto keeper = std::find_if(candidates.begin(), candidates.end(), [this](const auto& candidate) {
        return candidate.record->id == m_prompt_search.target_id;
    });
    const bool is_usable = keeper != candidates.end() && keeper->usage.avoid_until <= want.now &&
                           std::find(want.excluded.begin(), want.excluded.end(), m_prompt_search.target_id) ==
                               want.excluded.end();
    if (is_usable) {
        return keeper->record;
    }
    auto chosen = choose_target_for_run(candidates, want, m_traffic.random);
    if (!chosen) {
        // Targets that were tried before are used again if no other is left.
        want.excluded = excluded_targets();
        want.excluded.insert(want.excluded.end(), beyond.begin(), beyond.end());
        chosen = choose_target_for_run(candidates, want, m_traffic.random);
    }
    return chosen ? candidates[*chosen].record : nullptr;
}

void proxied_request::choose_copy_holder(attempt& next, const std::vector<target_candidate>& candidates,
                                         placement want) {
    if (!can_have_copy() || !may_add_copy(candidates, want)) {
        return;
    }
    want.excluded.push_back(next.target.id);
    want.avoided_zone = next.target.zone;
    want.copy_fraction = max_copy_fraction(want.limits_prefills, m_queue_rank);
    if (const auto chosen = choose_target_for_copy(candidates, want, m_traffic.random)) {
        const auto& record = *candidates[*chosen].record;
        next.copy = {record.id, record.address, "", ""};
        add_copy(record.id);
    }
}

bool proxied_request::limits_prefills() const {
    return needs_engine_memory() && lovage::limits_prefills(m_traffic.options.load, *m_table, m_service_name);
}

bool proxied_request::has_engine_memory(engine_claim claim) {
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    if (candidates.empty()) {
        return true;
    }
    const auto want = placement_among(candidates);
    if (!want.limits_prefills) {
        return has_target_with_memory(candidates, want);
    }
    auto& admission = m_traffic.admission[m_service_name];
    const auto load = shared_prefill_load(candidates, want);
    admission.releases.longest_interval =
        longest_start_interval(admission.prefills, load.engines, load.processes);
    return has_room_for_prefill(
        load, {admission.releases.has_unused_release, claim == engine_claim::reserved || is_most_urgent()});
}

// By the route's rank, not by the organisation's, which takes precedence in the queue: the reserved engines
// are for the kind of request that can wait the least, whoever sends it.
bool proxied_request::is_most_urgent() const {
    return m_service != nullptr && m_service->has_streams_of_several_ranks &&
           m_route->rank <= m_service->most_urgent_rank;
}

prefill_load proxied_request::shared_prefill_load(const std::vector<target_candidate>& candidates,
                                                  const placement& want) {
    auto load = prefill_load_of(candidates, want);
    const auto known = count_known_peers(m_traffic);
    load.processes = known + 1;
    for (const auto& candidate : candidates) {
        load.own_in_progress += m_traffic.usage[candidate.record->id].awaiting_first_event_count;
    }
    if (known > 0 && count_live_peers(m_traffic) == 0) {
        // Without reports, the engines are taken to be shared equally.
        load.engines = std::max<std::size_t>(load.engines / load.processes, 1);
        load.processes = 1;
    }
    return load;
}

time_point::duration proxied_request::longest_wait() const {
    const auto elapsed = std::chrono::ceil<milliseconds>(m_traffic.timers.now() - m_request.received);
    const auto wait = limits_prefills() ? longest_prefill_wait(m_traffic.admission[m_service_name].prefills,
                                                               m_route->objective - elapsed)
                                        : fraction_of(m_route->objective, k_wait_fraction);
    return std::min(wait, time_left());
}

void proxied_request::record_prefill_end() {
    if (!limits_prefills()) {
        return;
    }
    // A most urgent prefill took no turn of this process, so its end leaves none to the others.
    if (!is_most_urgent()) {
        record_release(m_traffic.admission[m_service_name].releases, m_traffic.timers.now());
    }
    schedule_dispatch(m_traffic, m_service_name);
}

bool proxied_request::needs_engine_memory() const {
    return is_stream() && memory_capacity() > 0 && memory_tokens() > 0;
}

std::optional<time_point> proxied_request::next_backoff_end() const {
    const auto now = m_traffic.timers.now();
    std::optional<time_point> next;
    for (const auto& target : targets_of(m_traffic, m_service_name)) {
        const auto usage = m_traffic.usage.find(target.id);
        if (usage != m_traffic.usage.end() && usage->second.avoid_until > now) {
            next = std::min(next.value_or(usage->second.avoid_until), usage->second.avoid_until);
        }
    }
    return next;
}

start_condition proxied_request::condition_to_start(engine_claim claim) {
    start_condition condition;
    condition.has_room = !needs_engine_memory() || has_engine_memory(claim);
    if (!condition.has_room) {
        condition.backoff_end = next_backoff_end();
    }
    condition.pause_end = end_of_pause(m_traffic, m_service_name, m_side);
    condition.is_most_urgent = limits_prefills() && is_most_urgent();
    return condition;
}

admission_request proxied_request::admission_facts(const start_condition& condition) {
    const auto& admission = m_traffic.admission[m_service_name];
    const auto now = m_traffic.timers.now();
    admission_request facts;
    facts.has_room = condition.has_room;
    facts.waiting_before =
        limits_prefills() ? expected_position(admission.queue, place_in_queue()) : admission.queue.size;
    facts.patience = longest_wait();
    if (condition.pause_end) {
        facts.pause_left = *condition.pause_end - now;
        facts.waited_for_pause =
            admission.pausing ? now - admission.pausing->first : time_point::duration::zero();
    }
    facts.start_interval = admission.pace.interval;
    if (condition.is_most_urgent) {
        facts.waiting_before = admission.most_urgent.size();
        const auto engines = targets_of(m_traffic, m_service_name).size();
        facts.release_interval = longest_start_interval(admission.prefills, engines, 1);
    }
    return facts;
}

void proxied_request::start_or_wait() {
    const auto condition = condition_to_start(engine_claim::by_rank);
    const auto facts = admission_facts(condition);
    auto& admission = m_traffic.admission[m_service_name];
    switch (decide_admission(admission.releases, facts)) {
    case admission_step::start:
        if (condition.is_most_urgent) {
            record_most_urgent_start(admission);
        } else if (limits_prefills()) {
            record_start(admission.releases, m_traffic.timers.now());
        }
        send(false);
        break;
    case admission_step::wait:
        wait_for_turn(std::chrono::ceil<milliseconds>(facts.patience));
        break;
    case admission_step::refuse:
        refuse_waiting();
        break;
    }
}

queued_request proxied_request::place_in_queue() const {
    queued_request place;
    place.organisation = m_organisation;
    place.priority = static_cast<priority>(std::clamp<std::int64_t>(m_queue_rank, 0, k_priority_count - 1));
    return place;
}

std::string proxied_request::describe_prefill_load() {
    if (!limits_prefills()) {
        return "";
    }
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto load = shared_prefill_load(candidates, placement_among(candidates));
    return ", " + std::to_string(load.in_progress) + " prefills at " + std::to_string(load.engines) +
           " engines, " + std::to_string(load.free_engines) + " free, a prefill takes " +
           std::to_string(expected_prefill(m_traffic.admission[m_service_name].prefills).count()) + " ms";
}

void proxied_request::wait_for_turn(milliseconds patience) {
    auto& admission = m_traffic.admission[m_service_name];
    const auto now = m_traffic.timers.now();
    auto place = place_in_queue();
    place.arrival = now;
    place.latest_start = now + patience;
    const bool has_floor = lovage::limits_prefills(m_traffic.options.load, *m_table, m_service_name);
    admission.queue.floor_interval = has_floor ? k_floor_interval : 0;
    m_ticket =
        wait_to_start(m_traffic, m_service_name, std::move(place),
                      {needs_engine_memory(), limits_prefills() && is_most_urgent(),
                       [this](engine_claim claim) { return condition_to_start(claim); },
                       [self = shared_from_this()] {
                           self->m_ticket = 0;
                           cancel_timer(self->m_wait_timer);
                           self->m_traffic.sink.observe(
                               "gateway_admission_wait_seconds",
                               to_seconds(self->m_traffic.timers.now() - self->m_request.received));
                           if (!self->may_start()) {
                               self->refuse(error_kind::leaving, "the process stops before it could end");
                               return;
                           }
                           self->send(false);
                       },
                       [self = shared_from_this()] { self->refuse_waiting(); }});
    if (m_ticket == 0) {
        refuse_waiting();
        return;
    }
    log_step(log_level::info, "waiting",
             admission.pausing ? "all targets pause" : "others wait, or no engine has room",
             std::to_string(admission.queue.size) + " requests wait" + describe_prefill_load());
    m_wait_timer = m_traffic.timers.after(patience, [self = shared_from_this()] {
        self->m_wait_timer = nullptr;
        self->refuse_waiting();
    });
}

void proxied_request::refuse_waiting() {
    if (!needs_engine_memory() || end_of_pause(m_traffic, m_service_name, m_side)) {
        refuse(error_kind::target_busy, "no target of " + m_service_name + " accepts the request in time");
    } else {
        refuse(error_kind::overloaded,
               "no engine of " + m_service_name +
                   (limits_prefills() ? " can prefill in time" : " has memory in time"));
    }
}

// Load pattern: a zone of engines is lost every few seconds, and hundreds of streams need a whole prefill
// again beside the new ones. A stream that has begun misses the objective for its gaps by that in any case,
// so new streams that can still meet theirs go first.
void proxied_request::send_again() {
    // While a superseded attempt may still go on, it must soon be known whether a successor can.
    if (!limits_prefills() || m_superseded || condition_to_start(engine_claim::by_rank).has_room) {
        send(false);
        return;
    }
    const bool has_begun = m_delivered != delivery_phase::nothing;
    const auto patience =
        has_begun ? k_max_resume_wait : std::min<time_point::duration>(k_max_resume_wait, longest_wait());
    wait_to_send_again(
        std::chrono::ceil<milliseconds>(std::min<time_point::duration>(patience, time_left())));
}

void proxied_request::wait_to_send_again(milliseconds patience) {
    const auto now = m_traffic.timers.now();
    const auto start = [self = shared_from_this()] {
        self->m_ticket = 0;
        cancel_timer(self->m_wait_timer);
        self->send(false);
    };
    auto place = place_in_queue();
    place.priority = k_least_urgent;
    place.arrival = now;
    place.latest_start = now + patience;
    m_ticket =
        patience > milliseconds(0)
            ? wait_to_start(m_traffic, m_service_name, std::move(place),
                            {true, false, [this](engine_claim claim) { return condition_to_start(claim); },
                             start, start})
            : 0;
    if (m_ticket == 0) {
        send(false);
        return;
    }
    log_step(log_level::info, "waiting", "no engine has room for another prefill", describe_prefill_load());
    m_wait_timer = m_traffic.timers.after(patience, [self = shared_from_this(), start] {
        self->m_wait_timer = nullptr;
        stop_waiting(self->m_traffic.admission[self->m_service_name], self->m_ticket);
        start();
    });
}

std::uint64_t proxied_request::memory_tokens() const {
    return generation_tokens(m_request.prompt_tokens, m_request.max_output_tokens);
}

std::uint64_t proxied_request::memory_capacity() const {
    return m_service != nullptr && m_service->engine ? m_service->engine->memory_tokens : 0;
}

void proxied_request::add_copy(const std::string& holder) {
    auto& usage = m_traffic.usage[holder];
    ++usage.copies;
    usage.memory_tokens += memory_tokens();
}

void proxied_request::remove_copy(const std::string& holder) {
    auto& usage = m_traffic.usage[holder];
    usage.copies -= usage.copies > 0 ? 1 : 0;
    usage.memory_tokens -= std::min(usage.memory_tokens, memory_tokens());
}

bool proxied_request::has_previous_answer() const {
    return is_stream() && !m_request.last_event_id.empty() && !m_request.prompt.empty() &&
           m_traffic.engine.prefix_cache_request != nullptr;
}

bool proxied_request::use_located_prompt() {
    const auto now = m_traffic.timers.now();
    const auto* location = find_location(m_traffic.prompt_locations, m_request.prompt, now);
    if (location == nullptr) {
        return false;
    }
    const auto* record = find_ready_target(m_traffic, m_service_name, location->target_id);
    const auto usage = m_traffic.usage.find(location->target_id);
    const bool is_avoided = usage != m_traffic.usage.end() && usage->second.avoid_until > now;
    // An engine that has started anew has lost its cache.
    const bool is_usable =
        record != nullptr && record->started_ms == location->target_started_ms && !is_avoided;
    m_traffic.sink.count("gateway_prompt_locations", is_usable ? "used" : "unusable");
    if (!is_usable) {
        return false;
    }
    log_step(log_level::info, "prompt_located", location->target_id, "by a peer that stops");
    m_prompt_search = {1, location->target_id, m_request.prompt_tokens};
    handle_cached_parts("", {});
    return true;
}

void proxied_request::find_cached_prompt() {
    if (use_located_prompt()) {
        return;
    }
    const auto candidates = candidates_of(m_traffic, m_service_name, m_side);
    const auto preferred = preferred_targets(candidates, m_request.prompt);
    // The additional query, completed after the loop, keeps the count above 0 while replies arrive during the
    // loop.
    m_prompt_search.pending_queries = preferred.size() + 1;
    for (const auto& id : preferred) {
        const auto* record = find_ready_target(m_traffic, m_service_name, id);
        if (record == nullptr) {
            handle_cached_parts(id, {});
            continue;
        }
        query_prefix_cache(m_traffic, *record,
                           [self = shared_from_this(), id](const std::vector<prompt_part>& cached) {
                               self->handle_cached_parts(id, cached);
                           });
    }
    handle_cached_parts("", {});
}

void proxied_request::handle_cached_parts(const std::string& target_id,
                                          const std::vector<prompt_part>& cached) {
    --m_prompt_search.pending_queries;
    const auto tokens = count_cached_tokens(m_request.prompt, cached);
    if (tokens > m_prompt_search.tokens) {
        m_prompt_search.target_id = target_id;
        m_prompt_search.tokens = tokens;
    }
    if (m_prompt_search.pending_queries > 0 || m_is_done) {
        return;
    }
    const bool is_found = static_cast<double>(m_prompt_search.tokens) >=
                          k_min_cached_fraction * static_cast<double>(m_request.prompt_tokens);
    if (!is_found) {
        m_prompt_search.target_id.clear();
    }
    log_step(log_level::info, "prompt_looked_for", is_found ? m_prompt_search.target_id : "not_found",
             std::to_string(m_prompt_search.tokens) + " tokens kept of " +
                 std::to_string(m_request.prompt_tokens));
    // Without the cached prompt it needs a whole prefill, like a new generation.
    const bool needs_prefill = !is_found && limits_prefills();
    if (needs_prefill || end_of_pause(m_traffic, m_service_name, m_side)) {
        start_or_wait();
    } else {
        send(false);
    }
}

} // namespace lovage
