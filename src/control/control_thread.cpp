#include "lovage/control/control_thread.h"

#include "lovage/control/event_queue.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace lovage {

namespace {

// Holds several seconds of events: 600 agents report load four times a second.
constexpr std::size_t k_event_capacity = 16'384;
constexpr std::size_t k_io_capacity = 256;
// Slots that stay free for results of blocking calls, which must not be lost. Each lane has at most a full
// queue and one call in progress, and as many calls may be rejected in the same step.
constexpr std::size_t k_reply_reserve = k_io_lane_count * 2 * (k_io_capacity + 1);
// Wait of an idle worker. The condition variable's clock counts nanoseconds and would overflow with the
// largest time point.
constexpr milliseconds k_idle_wait{3'600'000};

store_reply to_reply(const result<void>& outcome) {
    store_reply reply;
    if (!outcome) {
        reply.failure = outcome.error();
    }
    return reply;
}

store_reply to_reply(const result<std::uint64_t>& outcome) {
    store_reply reply;
    if (outcome) {
        reply.number = *outcome;
    } else {
        reply.failure = outcome.error();
    }
    return reply;
}

store_reply to_reply(result<std::optional<store_value>> outcome) {
    store_reply reply;
    if (outcome) {
        reply.value = std::move(*outcome);
    } else {
        reply.failure = outcome.error();
    }
    return reply;
}

// Store calls in the order of `store_operation`.
using store_function = store_reply (*)(const store_port&, const store_request&);
constexpr std::array<store_function, k_store_operation_count> k_store_functions{
    [](const store_port& store, const store_request& request) { return to_reply(store.get(request.key)); },
    [](const store_port& store, const store_request& request) {
        return to_reply(store.watch(request.key, request.revision, request.duration));
    },
    [](const store_port& store, const store_request& request) {
        return to_reply(store.compare_and_swap(request.key, request.value, request.revision, request.lease));
    },
    [](const store_port& store, const store_request& request) {
        return to_reply(store.grant_lease(request.duration));
    },
    [](const store_port& store, const store_request& request) {
        return to_reply(store.renew_lease(request.lease));
    },
    [](const store_port& store, const store_request& request) {
        return to_reply(store.revoke_lease(request.lease));
    },
};

// Whether gossip datagrams can carry the description of this process.
bool fits_datagram(const member_info& self) {
    const auto texts = {&self.node,         &self.zone,         &self.region,
                        &self.peer_address, &self.http_address, &self.gossip_address};
    return !self.node.empty() && std::all_of(texts.begin(), texts.end(), [](const std::string* text) {
        return text->size() <= k_max_gossip_text_bytes;
    });
}

} // namespace

io_event run_io(const io_request& request, const control_ports& ports) {
    io_event event;
    event.request = request;
    if (lane_of(request.purpose) != io_lane::fetch) {
        event.store = k_store_functions.at(static_cast<std::size_t>(request.store.operation))(ports.store,
                                                                                              request.store);
        event.store.era = ports.store.era ? ports.store.era() : 0;
        return event;
    }
    auto copy = ports.fetch_config(request.http_address);
    if (copy) {
        event.copy = std::move(*copy);
    } else {
        event.store.failure = copy.error();
    }
    return event;
}

struct control_thread::state {
    control_ports ports;
    view_publisher* publisher = nullptr;
    control_state control;
    event_queue<control_event> events{k_event_capacity};
    std::array<event_queue<io_request>, k_io_lane_count> io{event_queue<io_request>{k_io_capacity},
                                                            event_queue<io_request>{k_io_capacity},
                                                            event_queue<io_request>{k_io_capacity}};
    std::shared_ptr<const config_copy> copy;
    std::thread thread;
    std::array<std::thread, k_io_lane_count> workers;

    void run();
    void run_worker(std::size_t lane);
    void execute(control_output& output);
    void report_rejected_request(const io_request& request);
};

// Reports a failure for a call that was rejected because its lane's queue is full.
void control_thread::state::report_rejected_request(const io_request& request) {
    io_event event;
    event.request = request;
    event.store.failure = error{error_kind::overloaded, "the queue of blocking calls is full"};
    events.push(std::move(event));
}

void control_thread::state::execute(control_output& output) {
    for (const auto& datagram : output.datagrams) {
        ports.gossip.send(datagram.address, datagram.message);
    }
    for (const auto& request : output.io) {
        if (!io.at(static_cast<std::size_t>(lane_of(request.purpose))).push(request)) {
            report_rejected_request(request);
        }
    }
    for (const auto& [agent, order] : output.orders) {
        ports.send_order(agent, order);
    }
    for (const auto& [name, by] : output.counts) {
        ports.count(name, by);
    }
    for (auto& line : output.logs) {
        ports.log(line.event, std::move(line.detail));
    }
    if (output.view) {
        std::atomic_store(&copy, control.copy);
        publisher->publish(std::move(output.view));
        ports.count("views_published", 1.0);
    }
}

void control_thread::state::run() {
    while (!events.is_closed()) {
        auto event = events.pop_until(control_next(control, monotonic_now(), wall_now()));
        control_output output;
        if (event) {
            control_handle(control, std::move(*event), monotonic_now(), wall_now(), output);
        }
        control_tick(control, monotonic_now(), wall_now(), output);
        execute(output);
    }
    control_output output;
    control_announce_departure(control, monotonic_now(), output);
    execute(output);
}

void control_thread::state::run_worker(std::size_t lane) {
    auto& queue = io.at(lane);
    while (!queue.is_closed()) {
        if (const auto request = queue.pop_until(monotonic_now() + k_idle_wait)) {
            events.push(run_io(*request, ports));
        }
    }
}

control_thread::control_thread() : m_state(std::make_unique<state>()) {}

result<std::unique_ptr<control_thread>> control_thread::start(control_options options, control_ports ports,
                                                              view_publisher& publisher) {
    if (!fits_datagram(options.self)) {
        return fail(error_kind::invalid_settings, "node, zone, region and addresses may have at most " +
                                                      std::to_string(k_max_gossip_text_bytes) +
                                                      " bytes, and node must not be empty");
    }
    if (options.random_seed == 0) {
        options.random_seed = std::random_device{}();
    }
    std::unique_ptr<control_thread> control(new control_thread());
    state* state = control->m_state.get();
    state->publisher = &publisher;
    state->control = make_control_state(std::move(options), ports.codecs, monotonic_now());
    state->ports = std::move(ports);
    for (std::size_t lane = 0; lane < k_io_lane_count; ++lane) {
        state->workers.at(lane) = std::thread([state, lane] { state->run_worker(lane); });
    }
    state->thread = std::thread([state] { state->run(); });
    return control;
}

control_thread::~control_thread() {
    m_state->events.close();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
    for (auto& queue : m_state->io) {
        queue.close();
    }
    for (auto& worker : m_state->workers) {
        if (worker.joinable()) {
            worker.join();
        }
    }
}

bool control_thread::post(control_event event) {
    if (m_state->events.push(std::move(event), k_reply_reserve)) {
        return true;
    }
    m_state->ports.count("control_events_rejected", 1.0);
    return false;
}

void control_thread::leave() {
    post(leave_event{});
}

std::shared_ptr<const config_copy> control_thread::current_config() const {
    return std::atomic_load(&m_state->copy);
}

} // namespace lovage
