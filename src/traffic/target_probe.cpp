#include "lovage/traffic/target_probe.h"

#include <memory>
#include <utility>

namespace lovage {

namespace {

// A target that works answers within a few milliseconds, wherever it is.
constexpr milliseconds k_answer_time{100};

// A question in progress.
struct probe {
    std::string body;
    bool is_success = false;
    attempt_handle handle;
    timer_cancel timer;
    std::function<void(run_status)> done;

    void end(run_status status) {
        const auto report = std::exchange(done, nullptr);
        if (timer) {
            std::exchange(timer, nullptr)();
        }
        if (report) {
            report(status);
        }
    }
};

} // namespace

void probe_run(gateway_traffic& traffic, const std::string& address, const std::string& request_id,
               std::function<void(run_status)> done) {
    const auto asked = std::make_shared<probe>();
    asked->done = std::move(done);
    const auto question = traffic.status_question;
    attempt_events events;
    events.on_head = [asked](const answer_head& head) { asked->is_success = head.status == 200; };
    events.on_body = [asked](std::string_view bytes) { asked->body.append(bytes); };
    events.on_end = [asked, question, request_id] {
        asked->end(asked->is_success ? question.decode(asked->body, request_id)
                                     : run_status{run_state::not_told, 0});
    };
    events.on_failure = [asked](attempt_end /*end*/, const std::string& /*detail*/) { asked->end({}); };
    attempt_order order;
    order.address = address;
    order.time_left = k_answer_time;
    traffic.sink.count("gateway_target_probes", "silence");
    asked->timer = traffic.timers.after(k_answer_time, [asked] {
        if (asked->done) {
            asked->handle.cancel();
            asked->end({});
        }
    });
    asked->handle = traffic.targets.open(question.request, std::move(order), std::move(events));
}

} // namespace lovage
