#include "lovage/traffic/target_call.h"

#include "lovage/core/pending_reads.h"

#include <utility>

namespace lovage {

namespace {

// Replies about a target's own state are a few kilobytes, or some tens with a long list of cached prompts.
constexpr std::size_t k_max_reply_bytes = 1'048'576;

// A call in progress.
struct call_state {
    target_reply reply;
    attempt_handle handle;
    timer_cancel timer;
    pending_reads reads;
    std::function<void(std::optional<target_reply>)> done;

    void end(std::optional<target_reply> outcome) {
        const auto report = std::exchange(done, nullptr);
        if (timer) {
            std::exchange(timer, nullptr)();
        }
        if (report) {
            report(std::move(outcome));
        }
    }
};

void start_limit(gateway_traffic& traffic, const std::shared_ptr<call_state>& call, milliseconds delay) {
    call->timer = traffic.timers.after(delay, [&traffic, call] {
        if (!call->done) {
            return;
        }
        if (must_read_first(call->reads)) {
            start_limit(traffic, call, milliseconds(0));
            return;
        }
        call->handle.cancel();
        call->end(std::nullopt);
    });
}

} // namespace

void send_target_request(gateway_traffic& traffic, const target_record& target, work_kind work,
                         std::shared_ptr<const forwarded_request> request, milliseconds limit,
                         std::function<void(std::optional<target_reply>)> done) {
    const auto availability = availability_of(traffic, target, work);
    if (availability.state != acceptance::accepting) {
        traffic.sink.count("gateway_engine_calls_withheld",
                           std::string(name_of(k_acceptance_names, availability.state)));
        done(std::nullopt);
        return;
    }
    const auto call = std::make_shared<call_state>();
    call->done = std::move(done);
    attempt_events events;
    events.on_head = [call, &traffic, target](const answer_head& head) {
        ++call->reads.handled;
        call->reply.status = head.status;
        // An answer with a request's id is a late one to that request.
        if (head.has_matching_request_id) {
            record_notices(traffic, target.id, target.started_ms, head);
        }
    };
    events.on_body = [call](std::string_view bytes) {
        ++call->reads.handled;
        call->reply.body.append(bytes);
        if (call->reply.body.size() > k_max_reply_bytes && call->done) {
            call->handle.cancel();
            call->end(std::nullopt);
        }
    };
    events.on_end = [call, &traffic, target] {
        close_connections_if_leaving(traffic, target);
        call->end(std::move(call->reply));
    };
    events.on_failure = [call](attempt_end /*end*/, const std::string& /*detail*/) {
        call->end(std::nullopt);
    };
    attempt_parameters options;
    options.address = target.address;
    options.time_left = limit;
    start_limit(traffic, call, limit);
    call->handle = traffic.targets.open(std::move(request), std::move(options), std::move(events));
}

} // namespace lovage
