#include "lovage/traffic/service_caller.h"

#include "lovage/core/call_check.h"

#include <utility>
#include <variant>

namespace lovage {

namespace {

constexpr std::uint16_t k_first_server_error = 500;

} // namespace

service_caller::service_caller(service_caller_ports ports)
    : m_ports(std::move(ports)), m_random(std::random_device{}()) {}

peer_events service_caller::wrap_peer_events(peer_events next) {
    peer_events events;
    events.on_connected = [this, on_connected = std::move(next.on_connected)](const hello_message& hello) {
        on_connected(hello);
        if (hello.role == node_role::agent) {
            m_waiters.on_connected(hello.node, hello.incarnation);
        }
    };
    events.on_disconnected = [this, on_disconnected = std::move(next.on_disconnected)](const node_id& node) {
        on_disconnected(node);
        m_waiters.on_disconnected(node);
    };
    events.on_message = [this, on_message = std::move(next.on_message)](const node_id& from,
                                                                        peer_message message) {
        if (const auto* result = std::get_if<call_result_message>(&message)) {
            m_waiters.on_result(from, *result);
        } else {
            on_message(from, std::move(message));
        }
    };
    return events;
}

std::uint64_t service_caller::random() {
    const std::lock_guard lock(m_mutex);
    return m_random();
}

bool service_caller::try_spend() {
    const std::lock_guard lock(m_mutex);
    if (!try_spend_retry(m_budget, monotonic_now())) {
        return false;
    }
    m_ports.count("service_call_retries_total", 1.0);
    return true;
}

service_call_result service_caller::run(service_call_request request) {
    const bool is_fresh = request.idempotency_key.empty();
    call_message& call = request.call;
    call.request = is_fresh ? request_id{random(), random()}
                            : request_id::from_key(call.organisation, request.idempotency_key);
    m_ports.count("service_calls_total", 1.0);
    // Only a newly generated id certainly has no earlier call.
    const auto refuse = [&](const error& failure) {
        m_ports.count("service_calls_failed_total", 1.0);
        return service_call_result{call.request, {tl::unexpected<error>(failure), is_fresh}};
    };
    if (m_ports.is_leaving()) {
        return refuse({error_kind::leaving, "this entry is leaving", {}});
    }
    const auto view = m_ports.view();
    if (!view->config) {
        return refuse({error_kind::not_ready, "this entry has no configuration yet", {}});
    }
    if (const auto checked = check_call(*view->config, request.decoded_path, call); !checked) {
        return refuse(checked.error());
    }
    {
        const std::lock_guard lock(m_mutex);
        m_budget.ratio = view->config->limits.retry_budget;
        record_request(m_budget);
    }
    return run_checked(call, is_fresh);
}

service_call_result service_caller::run_checked(const call_message& call, bool is_fresh) {
    plain_call_ports ports;
    ports.choose = m_ports.choose;
    ports.send = m_ports.send;
    ports.create_claim = [this, is_fresh](const request_id& request, const claim_record& record) {
        return m_ports.create_claim(request, record, is_fresh);
    };
    ports.read_claim = m_ports.read_claim;
    ports.try_spend_retry = [this] { return try_spend(); };
    ports.random = [this] { return random(); };
    ports.now = [] { return monotonic_now(); };
    if (!call.repeatable) {
        m_ports.count("service_calls_claimed_total", 1.0);
    }
    const time_point deadline = monotonic_now() + (call.deadline - wall_now());
    const auto run = call.repeatable ? run_repeatable_call : run_claimed_call;
    plain_call_outcome outcome = run(call, ports, m_waiters, deadline);
    // Idempotent calls leave no record, so an earlier call with the same key may have run.
    outcome.not_run = outcome.not_run && (is_fresh || !call.repeatable);
    if (!outcome.reply) {
        m_ports.count("service_calls_failed_total", 1.0);
    }
    m_ports.on_ended(call, outcome.reply && outcome.reply->status < k_first_server_error);
    return {call.request, std::move(outcome)};
}

} // namespace lovage
