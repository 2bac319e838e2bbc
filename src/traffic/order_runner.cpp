#include "lovage/traffic/order_runner.h"

#include <utility>

namespace lovage {

namespace {

constexpr std::size_t k_max_queued_orders = 64;

} // namespace

order_runner::order_runner(order_runner_ports ports)
    : m_ports(std::move(ports)), m_jobs(k_max_queued_orders) {}

std::unique_ptr<order_runner> order_runner::create(order_runner_ports ports) {
    std::unique_ptr<order_runner> runner(new order_runner(std::move(ports)));
    runner->m_thread = std::thread([raw = runner.get()] { raw->run(); });
    return runner;
}

order_runner::~order_runner() {
    m_jobs.close();
    m_thread.join();
}

void order_runner::on_order(const node_id& from, order_message order) {
    const job arrived{from, std::move(order)};
    if (!m_jobs.push(arrived)) {
        send_result(arrived, fail(error_kind::overloaded, "too many orders wait"));
    }
}

void order_runner::run() {
    constexpr milliseconds idle_wait{60'000};
    while (true) {
        const auto next = m_jobs.pop_until(monotonic_now() + idle_wait);
        const bool is_stopping = m_jobs.is_closed();
        if (next) {
            send_result(*next, is_stopping ? fail(error_kind::leaving, "the target stops; nothing was done")
                                           : execute(next->order));
        } else if (is_stopping) {
            return;
        }
    }
}

result<void> order_runner::execute(const order_message& order) {
    bool is_term_known = false;
    {
        const std::lock_guard lock(m_mutex);
        is_term_known = m_guard.highest.has_value();
    }
    const auto term = is_term_known ? std::nullopt : m_ports.current_term();
    {
        const std::lock_guard lock(m_mutex);
        if (term) {
            record_term(m_guard, *term);
        }
        if (auto admitted = admit_order(m_guard, order); !admitted) {
            return admitted;
        }
    }
    return m_ports.engine.order(order);
}

void order_runner::send_result(const job& done, const result<void>& outcome) {
    order_result_message message;
    message.order_id = done.order.order_id;
    message.ok = outcome.has_value();
    if (!outcome) {
        message.kind = outcome.error().kind;
        message.detail = outcome.error().detail;
    }
    m_ports.count(outcome ? "orders_done_total" : "orders_refused_total", 1.0);
    m_ports.peer.send(done.from, message);
}

fencing_number order_runner::highest_fencing() const {
    const std::lock_guard lock(m_mutex);
    return m_guard.highest.value_or(0);
}

} // namespace lovage
