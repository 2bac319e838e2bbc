#include "proxy.h"

#include "tcp_link.h"
#include "udp_link.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace lovage::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr milliseconds k_accept_retry_delay{50};

/// A listener with the connections that it accepted.
struct listener : std::enable_shared_from_this<listener> {
    explicit listener(asio::io_context& io_context)
        : context(io_context), acceptor(context), accept_retry_timer(context) {}

    asio::io_context& context;
    std::shared_ptr<listener_state> state = std::make_shared<listener_state>();
    tcp::acceptor acceptor;
    asio::steady_timer accept_retry_timer;
    // Keeps connections alive while a rule blocks both directions: such a connection has no pending operation
    // that would own it.
    std::vector<std::shared_ptr<tcp_link>> links;

    void open() {
        if (state->options.protocol == link_protocol::udp) {
            udp_link::start(context, state);
            return;
        }
        const tcp::endpoint address(asio::ip::make_address(state->options.listen.ip),
                                    state->options.listen.port);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        accept();
    }

    void accept() {
        acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code& code, tcp::socket client) {
                if (code == asio::error::operation_aborted) {
                    return;
                }
                if (code) {
                    // The usual error is too many open files. Without a delay the loop would spin until some
                    // are closed.
                    self->accept_retry_timer.expires_after(k_accept_retry_delay);
                    self->accept_retry_timer.async_wait(
                        [self](const boost::system::error_code&) { self->accept(); });
                    return;
                }
                self->remove_closed_links();
                self->links.push_back(tcp_link::start(self->context, self->state, std::move(client)));
                self->accept();
            });
    }

    void remove_closed_links() {
        links.erase(
            std::remove_if(links.begin(), links.end(), [](const auto& link) { return link->is_closed(); }),
            links.end());
    }

    void set_rules(const std::vector<link_rule>& rules) {
        state->rules = rules;
        for (const auto& link : links) {
            link->apply_rules();
        }
        remove_closed_links();
    }
};

} // namespace

struct fault_proxy::state {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::map<std::string, std::shared_ptr<listener>> listeners;
    std::thread thread;

    /// Runs a function on the I/O thread and blocks until it returns.
    template <class Function>
    auto call(Function function) {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto answer = task.get_future();
        asio::post(context, [&task] { task(); });
        return answer.get();
    }
};

fault_proxy::fault_proxy() : m_state(std::make_unique<state>()) {}

result<std::unique_ptr<fault_proxy>> fault_proxy::start(const std::vector<listener_setup>& listeners,
                                                        std::uint64_t random_seed) {
    std::unique_ptr<fault_proxy> proxy(new fault_proxy());
    for (const auto& setup : listeners) {
        auto added = std::make_shared<listener>(proxy->m_state->context);
        added->state->options = setup.options;
        added->state->rules = setup.rules;
        added->state->random.seed(random_seed++);
        try {
            added->open();
        } catch (const boost::system::system_error& failure) {
            return fail(error_kind::invalid_settings, setup.options.name + ": " + failure.what());
        }
        proxy->m_state->listeners[setup.options.name] = added;
    }
    state& running = *proxy->m_state;
    running.thread = std::thread([&running] { running.context.run(); });
    return proxy;
}

fault_proxy::~fault_proxy() {
    m_state->context.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

result<void> fault_proxy::set_rules(const std::map<std::string, std::vector<link_rule>>& rules) {
    return m_state->call([this, &rules]() -> result<void> {
        auto& listeners = m_state->listeners;
        for (const auto& [name, unused] : rules) {
            if (name != "*" && listeners.count(name) == 0) {
                return fail(error_kind::not_found, "no listener " + name);
            }
        }
        for (const auto& [name, list] : rules) {
            for (const auto& [listener_name, listener] : listeners) {
                if (name == "*" || name == listener_name) {
                    listener->set_rules(list);
                }
            }
        }
        return {};
    });
}

std::map<std::string, listener_report> fault_proxy::report() {
    return m_state->call([this] {
        std::map<std::string, listener_report> reports;
        for (const auto& [name, listener] : m_state->listeners) {
            reports[name] = {listener->state->rules, listener->state->counts};
        }
        return reports;
    });
}

} // namespace lovage::standins
