#include "lovage/traffic/admission_queue.h"

#include "lovage/traffic/gateway_traffic.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

void schedule_dispatch_at(gateway_traffic& traffic, const std::string& service, time_point at) {
    const auto delay = std::chrono::ceil<milliseconds>(at - traffic.timers.now());
    schedule_dispatch(traffic, service, std::max(delay, milliseconds(0)));
}

// Returns when the request at the front may start, as far as the starts before it decide that.
time_point next_turn(admission_queue& admission, time_point now) {
    if (const auto arrivals = std::exchange(admission.pausing, std::nullopt)) {
        admission.pace = plan_starts(admission.queue.size, arrivals->last - arrivals->first, now);
    }
    return admission.pace.left > 0 ? admission.pace.next : next_start(admission.releases, now);
}

void record_turn(admission_queue& admission, bool needs_memory, time_point now) {
    record_start(admission.releases, now);
    // Memory is short for a reason of its own: beyond those that waited for the pause, its rules apply.
    const bool is_last = admission.queue.size == 0 || (admission.pace.left <= 1 && needs_memory);
    record_paced_start(admission.pace, is_last);
    if (!is_last && admission.pace.left == 0 && admission.pace.interval > time_point::duration::zero()) {
        admission.pace.left = admission.queue.size;
    }
}

admission_queue::waiting_request take_waiting(admission_queue& admission, queue_ticket ticket) {
    const auto found = admission.waiting.find(ticket);
    auto request = std::move(found->second);
    admission.waiting.erase(found);
    admission.most_urgent.erase(ticket);
    return request;
}

// Without waiting requests, the times of a pause must not be taken for those of the next one.
void forget_pause_if_empty(admission_queue& admission) {
    if (admission.queue.size == 0) {
        admission.pausing.reset();
        admission.pace = {};
    }
}

// Schedules the next check of a request that cannot start now, if the time is known.
bool postpone(gateway_traffic& traffic, const std::string& service, const start_condition& condition) {
    if (condition.pause_end) {
        schedule_dispatch_at(traffic, service, *condition.pause_end);
    } else if (!condition.has_room && condition.backoff_end) {
        schedule_dispatch_at(traffic, service, *condition.backoff_end);
    }
    return condition.pause_end || !condition.has_room;
}

bool is_other_due(const admission_queue& admission) {
    return admission.waiting.size() > admission.most_urgent.size() &&
           admission.most_urgent_starts + 1 >= std::max<std::size_t>(admission.queue.floor_interval, 1);
}

// Starts a request out of turn, which takes none of the turns of this process.
void start_out_of_turn(admission_queue& admission, queue_ticket ticket) {
    dequeue_ticket(admission.queue, ticket);
    const auto request = take_waiting(admission, ticket);
    admission.pace.left = std::min(admission.pace.left, admission.queue.size);
    forget_pause_if_empty(admission);
    request.start();
}

// Load pattern: more requests of the most urgent rank arrive than the engines take, and fill the reserved
// engines as well. Without a floor of their own here, the others would never see a free place.
bool start_due_request(admission_queue& admission) {
    if (!is_other_due(admission)) {
        return false;
    }
    const auto* next = front_if(admission.queue, [&admission](const queued_request& request) {
        return admission.most_urgent.count(request.ticket) == 0;
    });
    if (next == nullptr) {
        return false;
    }
    const auto condition = admission.waiting.at(next->ticket).condition(engine_claim::reserved);
    if (condition.pause_end || !condition.has_room) {
        return false;
    }
    admission.most_urgent_starts = 0;
    start_out_of_turn(admission, next->ticket);
    return true;
}

// The requests before them in the queue may have to wait for places that these need not wait for. They take
// no turn of this process, so the turns of the others are not put off.
void dispatch_most_urgent(gateway_traffic& traffic, const std::string& service, admission_queue& admission) {
    while (!admission.most_urgent.empty()) {
        if (start_due_request(admission)) {
            continue;
        }
        const auto ticket = *admission.most_urgent.begin();
        if (postpone(traffic, service, admission.waiting.at(ticket).condition(engine_claim::by_rank))) {
            return;
        }
        record_most_urgent_start(admission);
        start_out_of_turn(admission, ticket);
    }
}

void dispatch(gateway_traffic& traffic, const std::string& service) {
    auto& admission = traffic.admission[service];
    admission.dispatch_at.reset();
    admission.cancel_dispatch = nullptr;
    dispatch_most_urgent(traffic, service, admission);
    while (const auto* next = front(admission.queue)) {
        const auto found = admission.waiting.find(next->ticket);
        if (found == admission.waiting.end()) {
            dequeue(admission.queue);
            continue;
        }
        const auto now = traffic.timers.now();
        const auto condition = found->second.condition(engine_claim::by_rank);
        if (condition.pause_end) {
            postpone(traffic, service, condition);
            return;
        }
        const auto start_at = next_turn(admission, now);
        if (postpone(traffic, service, condition)) {
            // The starts that are left depend on releases, not on the pause.
            admission.pace = {};
            return;
        }
        if (start_at > now) {
            schedule_dispatch_at(traffic, service, start_at);
            return;
        }
        const auto request = take_waiting(admission, dequeue(admission.queue)->ticket);
        if (!request.is_most_urgent) {
            admission.most_urgent_starts = 0;
        }
        record_turn(admission, request.needs_memory, now);
        request.start();
    }
}

} // namespace

queue_ticket wait_to_start(gateway_traffic& traffic, const std::string& service, queued_request place,
                           admission_queue::waiting_request request) {
    auto& admission = traffic.admission[service];
    const auto ticket = ++admission.last_ticket;
    place.ticket = ticket;
    auto outcome = enqueue(admission.queue, std::move(place));
    if (!outcome.accepted) {
        return 0;
    }
    const auto condition = request.condition(engine_claim::by_rank);
    if (condition.pause_end) {
        const auto now = traffic.timers.now();
        admission.pausing = {admission.pausing ? admission.pausing->first : now, now};
    }
    if (!postpone(traffic, service, condition) && admission.pace.left > 0) {
        schedule_dispatch_at(traffic, service, admission.pace.next);
    }
    if (request.is_most_urgent) {
        admission.most_urgent.insert(ticket);
    }
    admission.waiting[ticket] = std::move(request);
    if (outcome.displaced) {
        take_waiting(admission, outcome.displaced->ticket).refuse();
    }
    return ticket;
}

void record_most_urgent_start(admission_queue& admission) {
    const bool do_others_wait = admission.waiting.size() > admission.most_urgent.size();
    admission.most_urgent_starts = do_others_wait ? admission.most_urgent_starts + 1 : 0;
}

void stop_waiting(admission_queue& admission, queue_ticket ticket) {
    remove_ticket(admission.queue, ticket);
    admission.waiting.erase(ticket);
    admission.most_urgent.erase(ticket);
    forget_pause_if_empty(admission);
}

void schedule_dispatch(gateway_traffic& traffic, const std::string& service, milliseconds delay) {
    const auto found = traffic.admission.find(service);
    if (found == traffic.admission.end() || found->second.queue.size == 0) {
        return;
    }
    auto& admission = found->second;
    const auto at = traffic.timers.now() + delay;
    if (admission.dispatch_at && *admission.dispatch_at <= at) {
        return;
    }
    if (admission.cancel_dispatch) {
        std::exchange(admission.cancel_dispatch, nullptr)();
    }
    admission.dispatch_at = at;
    admission.cancel_dispatch =
        traffic.timers.after(delay, [&traffic, service] { dispatch(traffic, service); });
}

} // namespace lovage
