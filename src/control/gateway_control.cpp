#include "lovage/control/gateway_control.h"

#include "lovage/control/event_queue.h"
#include "lovage/core/store_revision.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <variant>

namespace lovage {

namespace {

// Few events arrive: the watcher thread waits for the store between two of them.
constexpr std::size_t k_queue_capacity = 256;

// Limits of a watch's timeout. A watch that times out without changes confirms the configuration, so its
// timeout limits the age of the last confirmation, up to a fraction of the time for which keys are accepted
// without one. After changes, whose time is not known exactly, the next watch is shorter.
constexpr milliseconds k_max_watch_timeout{1'500};
constexpr milliseconds k_min_watch_timeout{300};
constexpr double k_watch_staleness_fraction = 0.3;

// Timeout of a watch that returns the changes that there are: while pages are left to be read, and after a
// failure, which the first answer of the store ends.
constexpr milliseconds k_no_watch_timeout{1};

// Interval at which the writer thread offers a result again while the queue of events is full.
constexpr milliseconds k_result_retry_interval{100};

// Interval at which the writer thread repeats a write of quarantined prompts while the store is away.
constexpr milliseconds k_quarantine_retry_interval{1'000};

// Heartbeats after which the removed entry of a silent target has been read: the store waits for three.
constexpr int k_heartbeats_to_expiry = 4;

// Longest wait of the writer thread before it checks again whether it must stop.
constexpr milliseconds k_idle_wait{60'000};

milliseconds longest_watch(const freshness_limits& limits) {
    const auto share = milliseconds(static_cast<std::int64_t>(
        k_watch_staleness_fraction * static_cast<double>(limits.key_staleness.count())));
    return std::clamp(share, k_min_watch_timeout, k_max_watch_timeout);
}

} // namespace

using gateway_event = std::variant<store_update, move_evidence, move_write_result>;
using store_write = std::variant<move_write, quarantine_record>;

struct gateway_control::state {
    gateway_control_ports ports;
    gateway_state gateway;
    event_queue<gateway_event> events{k_queue_capacity};
    event_queue<store_write> writes{k_queue_capacity};
    std::mutex mutex;
    std::condition_variable wakeup;
    bool is_stopping = false;
    /// Newest revision that a peer has announced since the last read; 0 for none.
    std::uint64_t announced_revision = 0;
    std::size_t live_peers = 0;
    std::thread control;
    std::thread watcher;
    std::thread writer;

    void run();
    void apply_event(gateway_event input, time_point now);
    void write_records();
    void write_move(const move_write& write);
    // Returns false if the write must be repeated.
    bool write_quarantine(const quarantine_record& record);
    void watch_store();
    store_update read_changes(store_position& position, boot_time confirmed) const;
    store_update read_page(store_position& position, boot_time confirmed) const;
    // Waits for `time`; returns false at once if the process stops.
    bool pause(milliseconds time);
    void announce(std::uint64_t revision);
    // Waits until a call is due; returns `wait` if the process stops.
    store_step wait_for_step(const store_position& position);
};

bool gateway_control::state::pause(milliseconds time) {
    std::unique_lock lock(mutex);
    return !wakeup.wait_for(lock, time, [this] { return is_stopping; });
}

void gateway_control::state::announce(std::uint64_t revision) {
    {
        const std::lock_guard lock(mutex);
        announced_revision = std::max(announced_revision, revision);
    }
    wakeup.notify_all();
}

store_step gateway_control::state::wait_for_step(const store_position& position) {
    std::unique_lock lock(mutex);
    while (!is_stopping) {
        const auto plan =
            plan_store_step(position, {announced_revision, live_peers}, ports.freshness, monotonic_now());
        if (plan.step == store_step::read_changes) {
            // The read that follows covers every change announced so far.
            announced_revision = 0;
        }
        if (plan.step != store_step::wait) {
            return plan.step;
        }
        wakeup.wait_for(lock, plan.wait);
    }
    return store_step::wait;
}

store_update gateway_control::state::read_page(store_position& position, boot_time confirmed) const {
    store_update update;
    update.kind = position.revision == 0 ? store_update_kind::first_page : store_update_kind::next_page;
    // Only the first page holds the configuration.
    update.confirmed = position.revision == 0 ? boot_now() : confirmed;
    const auto sent_at = monotonic_now();
    auto page = ports.store.read_page(ports.documents.prefix, position.last_key);
    if (!page) {
        update.failure = page.error();
        return update;
    }
    if (position.revision != 0 && !continues_history(position.revision, page->revision)) {
        update.failure =
            error{error_kind::history_lost, "the store was restored from a copy", milliseconds(0)};
        return update;
    }
    page_read read;
    read.revision = page->revision;
    read.has_more_pages = page->has_more && !page->items.empty();
    read.sent_at = sent_at;
    for (auto& [key, value] : page->items) {
        read.has_targets = read.has_targets || !ports.documents.target_id(key).empty();
        read.last_key = key;
        update.changes.push_back({std::move(key), std::move(value)});
    }
    update.completes_read = !read.has_more_pages;
    record_page(position, std::move(read), monotonic_now());
    update.revision = position.revision;
    return update;
}

store_update gateway_control::state::read_changes(store_position& position, boot_time confirmed) const {
    store_update update;
    const auto sent_at = boot_now();
    const auto age = std::chrono::duration_cast<milliseconds>(sent_at - confirmed);
    const auto longest = longest_watch(ports.freshness);
    const auto wait = position.has_more_pages || position.has_failed
                          ? k_no_watch_timeout
                          : std::clamp(longest - age, k_min_watch_timeout, longest);
    update.confirmed = sent_at;
    auto changes = ports.store.watch_prefix(ports.documents.prefix, position.revision, wait);
    if (!changes) {
        update.failure = changes.error();
        return update;
    }
    if (changes->changes.empty() && boot_now() - sent_at >= wait) {
        // The watch timed out in the store, so there were no changes until then.
        update.confirmed = sent_at + wait;
    }
    record_changes(position, changes->revision, !changes->changes.empty(), monotonic_now());
    update.revision = changes->revision;
    update.changes = std::move(changes->changes);
    return update;
}

void gateway_control::state::watch_store() {
    store_position position;
    boot_time confirmed{0};
    std::mt19937_64 random(ports.random_seed);
    std::uniform_real_distribution<double> fraction(0.0, 1.0);
    auto step = wait_for_step(position);
    while (step != store_step::wait) {
        auto update = step == store_step::read_page ? read_page(position, confirmed)
                                                    : read_changes(position, confirmed);
        if (!update.failure) {
            confirmed = update.confirmed;
        } else if (update.failure->kind == error_kind::history_lost) {
            restart_full_read(position, false, monotonic_now());
        } else if (update.failure->kind == error_kind::protocol_error && step == store_step::read_changes) {
            // The same read would bring the same answer: changes that are too many to read, or that cannot be
            // decoded. The pages of the present state are small.
            restart_full_read(position, true, monotonic_now());
        } else if (update.failure->kind == error_kind::overloaded) {
            record_rate_limit(position, fraction(random), monotonic_now());
        } else {
            record_failure(position, monotonic_now());
        }
        if (!events.push(std::move(update))) {
            // A lost update would leave the state incomplete, so everything is read again.
            restart_full_read(position, true, monotonic_now());
        }
        step = wait_for_step(position);
    }
}

void gateway_control::state::apply_event(gateway_event input, time_point now) {
    if (auto* followed = std::get_if<store_update>(&input)) {
        apply_store_update(gateway, std::move(*followed), now);
    } else if (const auto* evidence = std::get_if<move_evidence>(&input)) {
        merge_evidence(gateway.moves, *evidence);
    } else if (const auto* written = std::get_if<move_write_result>(&input)) {
        apply_move_write(gateway, *written, now);
        // This process, too, learns of the record only by reading it.
        announce(written->revision.value_or(0));
    }
}

void gateway_control::state::write_move(const move_write& write) {
    auto revision = ports.writes.write_together(ports.documents.move_key(write.service), write.expected,
                                                ports.documents.encode_move(write.record));
    ports.log({log_level::info,
               "move_written",
               {{"move", write.record.id},
                {"phase", std::string(name_of(k_move_phase_names, write.record.phase))},
                {"expected", std::to_string(write.expected)},
                {"outcome", revision ? "ok" : std::string(to_string(revision.error().kind))}}});
    // The next write of the service waits for this result, so it must not be lost while the queue is full.
    const move_write_result written{write.service, std::move(revision)};
    while (!events.push(written) && pause(k_result_retry_interval)) {
    }
}

bool gateway_control::state::write_quarantine(const quarantine_record& record) {
    const auto put = ports.documents.encode_quarantine(record);
    const auto written = ports.writes.grant_lease(k_crash_retention).and_then([&](lease_id lease) {
        return ports.writes.compare_and_swap(put.key, put.value, 0, lease);
    });
    // Another process has written the same parts.
    const bool is_known = !written && written.error().kind == error_kind::revision_conflict;
    ports.log({log_level::info,
               "quarantine_written",
               {{"key", put.key},
                {"service", record.service},
                {"outcome", written ? "ok" : std::string(to_string(written.error().kind))}}});
    return written || is_known;
}

void gateway_control::state::write_records() {
    std::deque<quarantine_record> quarantines;
    time_point next_quarantine{};
    while (!writes.is_closed()) {
        const auto now = monotonic_now();
        if (!quarantines.empty() && now >= next_quarantine) {
            if (write_quarantine(quarantines.front())) {
                quarantines.pop_front();
            } else {
                next_quarantine = now + k_quarantine_retry_interval;
            }
        }
        auto write = writes.pop_until(quarantines.empty() ? now + k_idle_wait : next_quarantine);
        if (write && std::holds_alternative<move_write>(*write)) {
            write_move(std::get<move_write>(*write));
        } else if (write) {
            quarantines.push_back(std::move(std::get<quarantine_record>(*write)));
        }
    }
}

void gateway_control::state::run() {
    time_point next = monotonic_now();
    std::vector<move_write> due_writes;
    while (!events.is_closed()) {
        auto input = events.pop_until(next);
        const auto now = monotonic_now();
        const auto wall = wall_now();
        if (input) {
            apply_event(std::move(*input), now);
        }
        next = expire_targets(gateway, now);
        next = std::min(next, plan_moves(gateway, now, wall, due_writes));
        for (auto& write : due_writes) {
            const auto service = write.service;
            if (!writes.push(std::move(write))) {
                apply_move_write(gateway,
                                 {service, fail(error_kind::overloaded, "the queue of writes is full")}, now);
            }
        }
        due_writes.clear();
        std::vector<quarantine_record> lost;
        next = std::min(next, take_lost_quarantines(gateway, now, lost));
        for (auto& record : lost) {
            if (!writes.push(std::move(record))) {
                ports.log(
                    {log_level::warning, "quarantine_dropped", {{"detail", "the queue of writes is full"}}});
            }
        }
        const auto before = gateway.view;
        auto view = make_gateway_view(gateway, now, wall);
        for (const auto& line : gateway.logs) {
            ports.log(line);
        }
        gateway.logs.clear();
        if (view != before) {
            ports.publish(std::move(view));
        }
    }
}

gateway_control::gateway_control() : m_state(std::make_unique<state>()) {}

std::unique_ptr<gateway_control> gateway_control::start(gateway_control_ports ports) {
    std::unique_ptr<gateway_control> control(new gateway_control);
    auto& own = *control->m_state;
    own.ports = std::move(ports);
    own.gateway.documents = own.ports.documents;
    own.gateway.moves.limits = own.ports.moves;
    own.gateway.entry_expiry = own.ports.freshness.target_heartbeat * k_heartbeats_to_expiry;
    own.gateway.shortest_outage = shortest_expiry_outage(own.ports.freshness.target_heartbeat);
    own.control = std::thread([&own] { own.run(); });
    own.watcher = std::thread([&own] { own.watch_store(); });
    own.writer = std::thread([&own] { own.write_records(); });
    return control;
}

bool gateway_control::post(move_evidence evidence) {
    return m_state->events.push(std::move(evidence), k_queue_capacity / 2);
}

bool gateway_control::post(quarantine_record record) {
    return m_state->writes.push(std::move(record));
}

void gateway_control::announce_revision(std::uint64_t revision) {
    m_state->announce(revision);
}

void gateway_control::set_live_peers(std::size_t count) {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->live_peers = count;
    }
    m_state->wakeup.notify_all();
}

gateway_control::~gateway_control() {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->is_stopping = true;
    }
    m_state->wakeup.notify_all();
    m_state->ports.store.stop();
    m_state->ports.writes.stop();
    m_state->watcher.join();
    m_state->writes.close();
    m_state->writer.join();
    m_state->events.close();
    m_state->control.join();
}

} // namespace lovage
