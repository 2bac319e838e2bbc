#include "lovage/traffic/call_runner.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

// The kinds with which the service port refuses a call before it opens a connection. With any other kind the
// service may have run the call.
bool is_refused_before_sending(error_kind kind) {
    return kind == error_kind::invalid_request || kind == error_kind::deadline_exceeded;
}

call_result_message failed_result(const request_id& request, const error& failure, bool not_run) {
    call_result_message result;
    result.request = request;
    result.kind = failure.kind;
    result.detail = failure.detail;
    result.not_run = not_run;
    return result;
}

} // namespace

call_runner::call_runner(const call_runner_options& options, call_runner_ports ports)
    : m_options(options), m_ports(std::move(ports)), m_jobs(options.max_queued + options.slots),
      m_ledger(options.own, options.ledger) {}

std::unique_ptr<call_runner> call_runner::create(const call_runner_options& options,
                                                 call_runner_ports ports) {
    std::unique_ptr<call_runner> runner(new call_runner(options, std::move(ports)));
    for (std::uint32_t i = 0; i < options.slots; ++i) {
        runner->m_workers.emplace_back([raw = runner.get()] { raw->run_worker(); });
    }
    return runner;
}

call_runner::~call_runner() {
    m_jobs.close();
    for (auto& worker : m_workers) {
        worker.join();
    }
}

// Returns why a call must be refused, or `nullopt` if it may run. Requires the mutex.
std::optional<error> call_runner::refusal_reason(const call_message& call) const {
    const auto& services = m_options.services;
    if (std::find(services.begin(), services.end(), call.service) == services.end()) {
        return error{error_kind::unknown_service, "the target does not serve " + call.service};
    }
    if (m_is_draining) {
        return error{error_kind::leaving, "the target is leaving"};
    }
    if (call.deadline != wall_time{} && call.deadline <= wall_now()) {
        return error{error_kind::deadline_exceeded, "the deadline passed before the call ran"};
    }
    if (m_running + m_queued >= m_options.slots + m_options.max_queued) {
        return error{error_kind::target_busy, "all slots and queue positions are taken"};
    }
    return std::nullopt;
}

void call_runner::on_call(const node_id& from, call_message call) {
    const auto arrived = std::make_shared<job>(job{from, std::move(call)});
    std::optional<error> reason;
    {
        std::unique_lock lock(m_mutex);
        if (!arrived->call.repeatable) {
            const auto decision = m_ledger.arrive(arrived->call, from, monotonic_now());
            if (decision.admission != call_admission::run) {
                lock.unlock();
                m_ports.count("calls_" + std::string(name_of(k_call_admission_names, decision.admission)) +
                                  "_total",
                              1.0);
                if (decision.admission != call_admission::wait) {
                    m_ports.peer.send(from, decision.result);
                }
                return;
            }
        }
        reason = refusal_reason(arrived->call);
        if (!reason) {
            ++m_queued;
            m_unanswered.insert(arrived);
        }
    }
    if (reason) {
        refuse(*arrived, *reason);
        return;
    }
    if (!m_jobs.push(arrived)) {
        {
            const std::lock_guard lock(m_mutex);
            --m_queued;
            m_unanswered.erase(arrived);
        }
        refuse(*arrived, {error_kind::leaving, "the target is leaving"});
        return;
    }
    m_ports.on_change();
}

void call_runner::refuse(const job& refused, const error& reason) {
    m_ports.count("calls_refused_total", 1.0);
    deliver(refused, failed_result(refused.call.request, reason, true));
}

void call_runner::deliver(const job& done, const call_result_message& result) {
    std::vector<node_id> receivers{done.from};
    if (!done.call.repeatable) {
        const std::lock_guard lock(m_mutex);
        receivers = m_ledger.finish(result);
    }
    for (const auto& receiver : receivers) {
        m_ports.peer.send(receiver, result);
    }
}

// Returns false if the job's caller was told that it has not run.
bool call_runner::start_job(const job_ptr& next) {
    const std::lock_guard lock(m_mutex);
    --m_queued;
    if (m_unanswered.count(next) == 0) {
        m_idle.notify_all();
        return false;
    }
    next->is_running = true;
    ++m_running;
    return true;
}

void call_runner::finish_job(const job_ptr& done, const call_result_message& result) {
    {
        const std::lock_guard lock(m_mutex);
        if (m_unanswered.erase(done) == 0) {
            return;
        }
    }
    deliver(*done, result);
}

void call_runner::end_calls() {
    std::set<job_ptr> left;
    {
        const std::lock_guard lock(m_mutex);
        m_is_draining = true;
        left.swap(m_unanswered);
    }
    // A job that is not in `m_unanswered` cannot start any more, so `is_running` no longer changes.
    for (const auto& unanswered : left) {
        const error reason = unanswered->is_running
                                 ? error{error_kind::outcome_unknown, "the target's agent ended first", {}}
                                 : error{error_kind::leaving, "the target is leaving", {}};
        m_ports.count("calls_ended_by_stop_total", 1.0);
        deliver(*unanswered, failed_result(unanswered->call.request, reason, !unanswered->is_running));
    }
}

void call_runner::run_worker() {
    constexpr milliseconds idle_wait{60'000};
    while (true) {
        const auto next = m_jobs.pop_until(monotonic_now() + idle_wait);
        if (!next) {
            if (m_jobs.is_closed()) {
                return;
            }
            continue;
        }
        const job_ptr& accepted = *next;
        if (!start_job(accepted)) {
            continue;
        }
        if (accepted->call.deadline != wall_time{} && accepted->call.deadline <= wall_now()) {
            m_ports.count("calls_refused_total", 1.0);
            finish_job(accepted,
                       failed_result(accepted->call.request,
                                     {error_kind::deadline_exceeded, "the deadline passed in the queue"},
                                     true));
        } else {
            m_ports.count("calls_run_total", 1.0);
            finish_job(accepted, run_call(accepted->call));
        }
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
            m_idle.notify_all();
        }
        m_ports.on_change();
    }
}

call_result_message call_runner::run_call(const call_message& call) const {
    auto reply = m_ports.service.call(call);
    if (!reply) {
        const error& failure = reply.error();
        if (failure.kind == error_kind::peer_unreachable) {
            return failed_result(call.request, {error_kind::no_target, "the service is down"}, true);
        }
        return failed_result(call.request, failure, is_refused_before_sending(failure.kind));
    }
    if (reply->body.size() > k_max_service_reply_bytes) {
        return failed_result(call.request, {error_kind::target_failed, "the service's answer is too large"},
                             false);
    }
    call_result_message result;
    result.request = call.request;
    result.ok = true;
    result.status = reply->status;
    result.content_type = std::move(reply->content_type);
    result.body = std::move(reply->body);
    return result;
}

void call_runner::drain() {
    const std::lock_guard lock(m_mutex);
    m_is_draining = true;
}

bool call_runner::wait_idle(milliseconds limit) {
    std::unique_lock lock(m_mutex);
    return m_idle.wait_for(lock, limit, [this] { return m_running == 0 && m_queued == 0; });
}

call_load call_runner::load() const {
    const std::lock_guard lock(m_mutex);
    return {m_options.slots, m_running, m_queued};
}

} // namespace lovage
