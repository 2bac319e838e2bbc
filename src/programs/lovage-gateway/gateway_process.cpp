#include "gateway_process.h"

#include "documents.h"
#include "request_codec.h"
#include "store_kv.h"

#include "lovage/adapters/gateway/caller_server.h"
#include "lovage/adapters/gateway/explanation_document.h"
#include "lovage/adapters/gateway/listener_opener.h"
#include "lovage/adapters/gateway/one_shot_timer.h"
#include "lovage/adapters/gateway/peer_report_udp.h"
#include "lovage/adapters/gateway/request_text.h"
#include "lovage/adapters/gateway/status_server.h"
#include "lovage/adapters/gateway/target_pool.h"
#include "lovage/adapters/gateway/target_status_document.h"
#include "lovage/adapters/log.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/program.h"
#include "lovage/control/gateway_control.h"
#include "lovage/control/view_publisher.h"
#include "lovage/traffic/proxied_request.h"
#include "lovage/traffic/target_learning.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <malloc.h>
#include <random>
#include <set>
#include <sstream>

namespace lovage {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// For this long after start-up, connections wait in the backlog until the configuration has been read from
// the store. After that they are accepted, and requests without a configuration are refused with Retry-After.
constexpr milliseconds k_accept_delay{400};
// Even a slow store responds within a few hundred milliseconds.
constexpr milliseconds k_store_timeout{1'000};
// Interval at which a listener whose port is in use is opened again.
constexpr milliseconds k_listen_retry_interval{200};
// Interval at which a draining process checks whether its requests have finished.
constexpr milliseconds k_shutdown_poll_interval{50};
// Interval at which the control thread gets evidence about versions while a new version is being evaluated.
constexpr milliseconds k_evidence_interval{250};
// The readiness probe fails when the store has not responded for this fraction of the time for which API keys
// stay trusted without it, so that traffic moves away before requests are refused.
constexpr double k_ready_staleness_fraction = 0.6;

// Buffers of this size and more are returned to the system when they are freed. By default glibc raises the
// size to that of the largest buffer that was freed, after which the memory of large bodies stays in the
// heap.
constexpr int k_mmap_threshold = 131'072;

caller_server_options make_caller_options(const gateway_settings& settings) {
    const auto endpoint = parse_endpoint(settings.callers_address);
    caller_server_options options;
    options.ip = endpoint->ip;
    options.port = endpoint->port;
    options.max_connections = settings.max_connections;
    options.memory_budget = memory_budget_of(settings.memory_mb);
    return options;
}

/// The state of the traffic thread, which is the main thread.
class gateway_process {
public:
    explicit gateway_process(const gateway_settings& settings);
    void start();
    void run() { m_io.run(); }

private:
    listener_opener::events make_listener_events();
    void open_listeners();
    result<void> open_status_server(std::unique_ptr<status_server>& server, const std::string& address);
    result<void> start_peers();
    void log_start();
    gateway_control_ports make_control_ports();
    decision_sink make_sink();
    status_page page(const status_request& request);
    status_page explain(const status_request& request);
    bool is_ready() const;
    void post_evidence();
    void wait_for_stop();
    void wait_for_reload();
    void start_shutdown();
    void poll_shutdown();

    const gateway_settings& m_settings;
    asio::io_context m_io{1};
    asio::signal_set m_stop_signals{m_io, SIGTERM, SIGINT};
    asio::signal_set m_reload_signals{m_io, SIGHUP};
    asio::steady_timer m_shutdown_timer{m_io};
    asio::steady_timer m_accept_timer{m_io};
    asio::steady_timer m_evidence_timer{m_io};
    metrics m_metrics;
    listener_opener m_listeners{m_io, k_listen_retry_interval, make_listener_events()};
    /// Listeners that are not open.
    std::set<std::string> m_closed_listeners;
    request_codec m_codec = platform::make_request_codec();
    gateway_view_publisher m_views;
    gateway_traffic m_traffic;
    std::shared_ptr<target_pool> m_pool;
    std::unique_ptr<caller_server> m_callers;
    std::unique_ptr<status_server> m_readiness;
    std::unique_ptr<status_server> m_metrics_page;
    std::unique_ptr<peer_report_udp> m_peers;
    std::unique_ptr<gateway_control> m_control;
    bool m_was_ready = false;
    /// Whether evidence about versions is being posted to the control thread periodically.
    bool m_is_posting_evidence = false;
};

gateway_process::gateway_process(const gateway_settings& settings) : m_settings(settings) {
    m_pool = target_pool::create(m_io, {}, m_codec, [this](const std::string& kind) {
        m_metrics.count("gateway_target_connections", 1.0, {{"kind", kind}});
    });
    m_traffic.options.zone = settings.zone;
    m_traffic.options.retries = settings.retries;
    m_traffic.options.load = settings.load;
    m_traffic.options.grace = settings.grace;
    m_traffic.options.max_key_staleness = settings.max_key_staleness;
    m_traffic.targets = m_pool->port();
    m_traffic.engine = m_codec.engine;
    m_traffic.timers = make_timer_port(m_io);
    m_traffic.sink = make_sink();
    m_traffic.boot_clock = boot_now;
    m_traffic.started = boot_now();
    m_traffic.newest_view = [this] { return m_views.current(); };
    m_traffic.random.seed(std::random_device{}());
}

decision_sink gateway_process::make_sink() {
    decision_sink sink;
    sink.log = log_event;
    sink.count = [this](const std::string& name, const std::string& reason) {
        m_metrics.count(name, 1.0, {{"reason", reason}});
    };
    sink.observe = [this](const std::string& name, double seconds) { m_metrics.observe(name, seconds); };
    return sink;
}

gateway_control_ports gateway_process::make_control_ports() {
    const auto on_call = [this](std::string_view call, std::string_view outcome) {
        m_metrics.count("gateway_store_calls", 1.0,
                        {{"call", std::string(call)}, {"outcome", std::string(outcome)}});
    };
    gateway_control_ports ports;
    ports.documents = platform::make_documents();
    ports.moves = m_settings.moves;
    ports.freshness = m_settings.freshness;
    ports.random_seed = std::random_device{}();
    // Both ports share what they learn of restorations of the store.
    platform::store_kv_options options;
    options.address = m_settings.store_address;
    options.timeout = k_store_timeout;
    ports.store = platform::make_store_kv(options, on_call);
    ports.writes = platform::make_store_kv(options, on_call);
    ports.publish = [this](gateway_view_ptr view) {
        m_views.publish(std::move(view));
        asio::post(m_io, [this] {
            refresh_view(m_traffic);
            if (m_traffic.view->table && m_traffic.view->targets) {
                m_callers->accept();
            }
            if (!m_is_posting_evidence) {
                post_evidence();
            }
        });
    };
    ports.log = [](const gateway_log& line) { log_event(line.level, line.event, line.fields); };
    return ports;
}

bool gateway_process::is_ready() const {
    const auto& view = *m_traffic.view;
    const auto max_staleness =
        std::chrono::duration_cast<boot_time>(m_settings.max_key_staleness * k_ready_staleness_fraction);
    return !m_traffic.shutdown_requested_at && m_callers->is_listening() && view.table && view.targets &&
           !is_configuration_behind(m_traffic) &&
           are_api_keys_trusted(view.table_confirmed, boot_now(), max_staleness);
}

// The request to explain is the body, as a caller would send it.
status_page gateway_process::explain(const status_request& request) {
    if (request.method != "POST") {
        return {405, "text/plain", "POST the request to explain\n"};
    }
    auto received = parse_request_text(request.body);
    if (!received) {
        return {400, "text/plain", received.error().detail + "\n"};
    }
    auto asked = m_codec.decode_request(std::move(*received));
    asked.received = monotonic_now();
    m_metrics.count("gateway_explanations", 1.0);
    return {200, "application/json",
            encode_explanation(m_settings.node, explain_route(m_traffic, std::move(asked)))};
}

status_page gateway_process::page(const status_request& request) {
    const auto& path = request.path;
    if (path == "/metrics") {
        const auto& view = *m_traffic.view;
        m_metrics.set("gateway_config_version", view.table ? static_cast<double>(view.table->version) : 0.0);
        m_metrics.set("gateway_config_age_seconds",
                      std::chrono::duration<double>(boot_now() - view.table_confirmed).count());
        m_metrics.set("gateway_requests_in_progress", static_cast<double>(m_traffic.requests.size()));
        m_metrics.set("gateway_caller_connections", static_cast<double>(m_callers->connections()));
        m_metrics.set("gateway_held_bytes", static_cast<double>(m_callers->memory_held()));
        const auto withheld = withheld_targets(m_traffic);
        for (const auto state : {acceptance::paused, acceptance::leaving}) {
            const auto count = std::count_if(withheld.begin(), withheld.end(),
                                             [state](const auto& target) { return target.state == state; });
            m_metrics.set("gateway_targets_withheld", static_cast<double>(count),
                          {{"reason", std::string(name_of(k_acceptance_names, state))}});
        }
        const auto performance = summarize_performance(m_traffic);
        m_metrics.set("gateway_targets_slow", static_cast<double>(performance.slow));
        m_metrics.set("gateway_targets_limited", static_cast<double>(performance.limited));
        m_metrics.set("log_lines_dropped", static_cast<double>(dropped_log_lines()));
        return {200, "text/plain; version=0.0.4", m_metrics.to_text()};
    }
    if (path == "/where") {
        return explain(request);
    }
    if (path == "/status") {
        return {200, "application/json", encode_target_status(m_settings.node, withheld_targets(m_traffic))};
    }
    const bool ready = is_ready();
    if (ready != std::exchange(m_was_ready, ready)) {
        log_event(log_level::info, ready ? "ready" : "not_ready",
                  {{"view", std::to_string(m_traffic.view->sequence)},
                   {"has_config", m_traffic.view->table ? "true" : "false"},
                   {"leaving", m_traffic.shutdown_requested_at ? "true" : "false"}});
    }
    return {ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"};
}

listener_opener::events gateway_process::make_listener_events() {
    listener_opener::events events;
    events.on_failure = [this](const std::string& name, const error& reason) {
        m_metrics.count("gateway_listen_failures", 1.0, {{"listener", name}});
        if (m_closed_listeners.insert(name).second) {
            log_event(log_level::warning, "listen_failed", {{"listener", name}, {"detail", reason.detail}});
        }
    };
    events.on_late_success = [this](const std::string& name) {
        m_closed_listeners.erase(name);
        log_event(log_level::info, "listening", {{"listener", name}});
    };
    return events;
}

result<void> gateway_process::open_status_server(std::unique_ptr<status_server>& server,
                                                 const std::string& address) {
    auto started =
        status_server::start(m_io, address, [this](const status_request& request) { return page(request); });
    if (!started) {
        return tl::unexpected<error>(started.error());
    }
    server = std::move(*started);
    return {};
}

void gateway_process::open_listeners() {
    m_listeners.open("callers", [this] { return m_callers->listen(); });
    m_listeners.open("readiness",
                     [this] { return open_status_server(m_readiness, m_settings.readiness_address); });
    if (!m_settings.metrics_address.empty()) {
        m_listeners.open("metrics",
                         [this] { return open_status_server(m_metrics_page, m_settings.metrics_address); });
    }
    if (!m_settings.peers_address.empty()) {
        m_listeners.open("peers", [this] { return start_peers(); });
    }
}

void gateway_process::start() {
    m_callers = caller_server::create(m_io, make_caller_options(m_settings), m_codec, m_traffic);
    open_listeners();
    m_accept_timer.expires_after(k_accept_delay);
    m_accept_timer.async_wait([this](const error_code& cancelled) {
        if (!cancelled) {
            m_callers->accept();
        }
    });
    m_control = gateway_control::start(make_control_ports());
    m_traffic.on_quarantine = [this](quarantine_record record) {
        if (m_control && !m_control->post(std::move(record))) {
            log_event(log_level::warning, "quarantine_dropped", {{"detail", "the queue of writes is full"}});
        }
    };
    wait_for_stop();
    wait_for_reload();
    log_start();
}

void gateway_process::log_start() {
    for (const auto& warning : m_settings.replaced) {
        m_metrics.count("gateway_settings_replaced", 1.0, {{"key", warning.key}});
    }
    const auto number = [](double value) {
        std::ostringstream text;
        text << value;
        return text.str();
    };
    log_event(log_level::info, "started",
              {{"node", m_settings.node},
               {"version", LOVAGE_VERSION},
               {"zone", m_settings.zone},
               {"callers", m_settings.callers_address},
               {"store", m_settings.store_address},
               {"grace_ms", std::to_string(m_settings.grace.count())},
               {"key_trust_ms", std::to_string(m_settings.max_key_staleness.count())},
               {"drain_ms", std::to_string(m_settings.freshness.drain.count())},
               {"config_ms", std::to_string(m_settings.freshness.config.count())},
               {"heartbeat_ms", std::to_string(m_settings.freshness.target_heartbeat.count())},
               {"retry_ratio", number(m_settings.retries.ratio)},
               {"retry_fixed", number(m_settings.retries.fixed)},
               {"retry_window_ms", std::to_string(m_settings.retries.window.count())},
               {"max_connections", std::to_string(m_settings.max_connections)},
               {"memory_budget", std::to_string(memory_budget_of(m_settings.memory_mb))}});
}

result<void> gateway_process::start_peers() {
    auto endpoint = peer_report_udp::start(
        m_io, m_settings.peers_address,
        [this](peer_report report) { apply_peer_report(m_traffic, std::move(report)); },
        [this](const std::string& outcome) {
            m_metrics.count("gateway_peer_reports", 1.0, {{"outcome", outcome}});
        });
    if (!endpoint) {
        return tl::unexpected<error>(endpoint.error());
    }
    m_peers = std::move(*endpoint);
    auto& exchange = m_traffic.peers;
    exchange.port = m_peers->port();
    exchange.node = m_settings.node;
    exchange.address = m_settings.peers_address;
    exchange.started_ms = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    exchange.seeds = m_settings.seeds;
    exchange.on_live_peers = [this](std::size_t count) {
        if (m_control) {
            m_control->set_live_peers(count);
        }
    };
    exchange.on_newer_change = [this](std::uint64_t revision) {
        if (m_control) {
            m_control->announce_revision(revision);
        }
    };
    start_peer_exchange(m_traffic);
    return {};
}

void gateway_process::post_evidence() {
    m_is_posting_evidence = is_evaluating_version(m_traffic);
    if (!m_is_posting_evidence) {
        return;
    }
    if (!m_control->post(collect_evidence(m_traffic))) {
        log_event(log_level::warning, "evidence_dropped",
                  {{"detail", "the control thread is busy (its event queue is full)"}});
    }
    m_evidence_timer.expires_after(k_evidence_interval);
    m_evidence_timer.async_wait([this](const error_code& cancelled) {
        if (!cancelled) {
            post_evidence();
        }
    });
}

// Waits for one signal only: a second one must not start the grace period anew.
void gateway_process::wait_for_stop() {
    m_stop_signals.async_wait([this](const error_code& cancelled, int signal) {
        if (!cancelled) {
            log_event(log_level::info, "stop_requested", {{"signal", std::to_string(signal)}});
            start_shutdown();
        }
    });
}

void gateway_process::wait_for_reload() {
    m_reload_signals.async_wait([this](const error_code& cancelled, int /*signal*/) {
        if (!cancelled) {
            m_metrics.count(
                "gateway_settings_checks", 1.0,
                {{"verdict", std::string(name_of(k_settings_verdict_names, check_changed_settings()))}});
            wait_for_reload();
        }
    });
}

void gateway_process::start_shutdown() {
    m_traffic.shutdown_requested_at = monotonic_now();
    m_listeners.stop();
    m_callers->start_draining();
    schedule_report(m_traffic);
    poll_shutdown();
}

void gateway_process::poll_shutdown() {
    shutdown_progress progress;
    progress.since_stop_request = monotonic_now() - *m_traffic.shutdown_requested_at;
    progress.grace = m_settings.grace;
    progress.requests = std::max(m_traffic.requests.size(), m_callers->busy_connections());
    progress.connections = m_callers->connections();
    progress.is_listening = m_callers->is_listening();
    const auto phase = plan_shutdown(progress);
    refuse_late_starts(m_traffic);
    if (phase != shutdown_phase::leaving) {
        m_callers->close_idle();
    }
    if (phase == shutdown_phase::ending) {
        log_event(log_level::info, "requests_ended_by_stop",
                  {{"requests", std::to_string(m_traffic.requests.size())}});
        end_requests(m_traffic);
        m_callers->refuse_half_read();
    }
    if (phase == shutdown_phase::stopped) {
        log_event(log_level::info, "stopped", {{"requests_cut", std::to_string(m_traffic.requests.size())}});
        m_control.reset();
        m_io.stop();
        return;
    }
    m_shutdown_timer.expires_after(k_shutdown_poll_interval);
    m_shutdown_timer.async_wait([this](const error_code& cancelled) {
        if (!cancelled) {
            poll_shutdown();
        }
    });
}

} // namespace

int run_gateway(const gateway_settings& settings) {
    ::mallopt(M_MMAP_THRESHOLD, k_mmap_threshold);
    gateway_process process(settings);
    process.start();
    process.run();
    return k_exit_ok;
}

} // namespace lovage
