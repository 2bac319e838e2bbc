#include "lovage/traffic/agent.h"

#include "overloaded.h"

#include <utility>

namespace lovage {

namespace {

// Port for a target that is not an engine; every call fails.
engine_port unsupported_engine() {
    engine_port port;
    port.generate = [](const attempt_ref&, const generation_spec&, const std::vector<token>&,
                       const engine_stream&) -> result<engine_finish> {
        return fail(error_kind::no_target, "the target is not an engine");
    };
    port.cancel = [](const attempt_ref&) -> result<void> { return {}; };
    port.load = []() -> result<engine_load> {
        return fail(error_kind::no_target, "the target is not an engine");
    };
    port.order = [](const order_message&) -> result<void> {
        return fail(error_kind::no_target, "the target is not an engine");
    };
    return port;
}

} // namespace

agent::agent(const agent_options& options, agent_ports ports)
    : m_options(options), m_ports(std::move(ports)) {}

std::unique_ptr<agent> agent::create(const agent_options& options, agent_ports ports) {
    if (options.kind != target_kind::engine) {
        ports.engine = unsupported_engine();
    }
    std::unique_ptr<agent> made(new agent(options, std::move(ports)));
    made->create_components();
    return made;
}

void agent::create_components() {
    m_reporter = load_reporter::create(m_options.reports, m_ports.peer, [this] { return report(); });
    const auto on_change = [this] { m_reporter->notify(); };
    m_generations = generation_host::create(
        m_options.generations, {m_ports.engine, m_ports.peer, m_ports.view, m_ports.count, on_change});
    m_orders = order_runner::create({m_ports.engine, m_ports.peer, m_ports.current_term, m_ports.count});
    if (m_options.kind == target_kind::service) {
        call_runner_options calls = m_options.calls;
        calls.own = m_options.incarnation;
        calls.services = m_options.services;
        m_calls = call_runner::create(calls, {m_ports.service, m_ports.peer, m_ports.count, on_change});
    }
    m_reporter->start();
}

// The reporter's thread reads the other components, so it is stopped before they are destroyed.
agent::~agent() {
    m_reporter->stop();
}

peer_events agent::events() {
    peer_events events;
    events.on_connected = [this](const hello_message& hello) { on_connected(hello); };
    events.on_disconnected = [this](const node_id& node) { on_disconnected(node); };
    events.on_message = [this](const node_id& from, peer_message message) {
        on_message(from, std::move(message));
    };
    return events;
}

void agent::on_connected(const hello_message& hello) {
    if (hello.role != node_role::entry) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_entries[hello.node] = hello;
    }
    m_reporter->add_entry(hello.node);
    if (m_is_draining) {
        m_ports.peer.send(hello.node, goodbye_message{m_options.node});
    }
    m_generations->on_connected(hello.node);
}

void agent::on_disconnected(const node_id& node) {
    {
        const std::lock_guard lock(m_mutex);
        if (m_entries.erase(node) == 0) {
            return;
        }
    }
    m_reporter->remove_entry(node);
    m_generations->on_disconnected(node);
}

std::optional<hello_message> agent::find_entry(const node_id& node) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? std::nullopt : std::optional<hello_message>(found->second);
}

void agent::on_message(const node_id& from, peer_message message) {
    const auto entry = find_entry(from);
    if (!entry) {
        m_ports.count("unexpected_messages_total", 1.0);
        return;
    }
    std::visit(overloaded{
                   [&](generate_message& generate) {
                       m_generations->on_generate(from, entry->region, std::move(generate));
                   },
                   [&](const cancel_message& cancel) { m_generations->on_cancel(cancel); },
                   [&](const adopt_reply_message& reply) { m_generations->on_adopt_reply(from, reply); },
                   [&](call_message& call) { on_call(from, std::move(call)); },
                   [&](order_message& order) { m_orders->on_order(from, std::move(order)); },
                   // A draining entry keeps its running generations until it closes the connection.
                   [&](const goodbye_message& /*goodbye*/) {},
                   [&](const auto& /*other*/) { m_ports.count("unexpected_messages_total", 1.0); },
               },
               message);
}

void agent::on_call(const node_id& from, call_message call) {
    if (m_calls != nullptr) {
        m_calls->on_call(from, std::move(call));
        return;
    }
    call_result_message refused;
    refused.request = call.request;
    refused.kind = error_kind::unknown_service;
    refused.detail = "the target is not a plain service";
    // An earlier incarnation may have fronted the service.
    refused.not_run = call.repeatable || call.bound_incarnation == m_options.incarnation;
    m_ports.peer.send(from, refused);
}

void agent::drain() {
    m_is_draining = true;
    m_generations->drain();
    if (m_calls != nullptr) {
        m_calls->drain();
    }
    for (const auto& entry : connected_entries()) {
        m_ports.peer.send(entry, goodbye_message{m_options.node});
    }
    m_reporter->notify();
}

bool agent::wait_idle(milliseconds limit) {
    const time_point end = monotonic_now() + limit;
    if (m_calls != nullptr && !m_calls->wait_idle(limit)) {
        return false;
    }
    return m_generations->wait_idle(std::chrono::duration_cast<milliseconds>(end - monotonic_now()));
}

void agent::end_work() {
    if (m_calls != nullptr) {
        m_calls->end_calls();
    }
    m_generations->refuse_queued();
}

load_report_message agent::report() const {
    load_report_message report;
    report.target = m_options.target;
    report.services = m_options.services;
    report.draining = m_is_draining;
    report.highest_fencing = m_orders->highest_fencing();
    if (m_calls != nullptr) {
        const call_load load = m_calls->load();
        report.engine_up = m_ports.service.is_up();
        report.slots = load.slots;
        report.running = load.running;
        report.queued = load.queued;
    } else {
        const auto engine = m_ports.engine.load();
        const host_load load = m_generations->load();
        report.engine_up = engine.has_value();
        report.slots = load.slots;
        report.running = load.running;
        report.queued = load.queued;
        report.tokens_total = load.tokens_total;
        if (engine) {
            report.loaded = engine->loaded;
            report.age_ms = engine->age_ms;
        }
    }
    return report;
}

std::vector<node_id> agent::connected_entries() const {
    const auto entries = m_reporter->entries();
    return {entries.begin(), entries.end()};
}

} // namespace lovage
