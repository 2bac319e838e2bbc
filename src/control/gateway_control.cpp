#include "lovage/control/gateway_control.h"

#include "lovage/control/event_queue.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <variant>

namespace lovage {

namespace {

// Few events arrive: the watcher thread waits for the store between two of them.
constexpr std::size_t k_queue_capacity = 256;

// Limits of a watch's timeout. A watch that times out without changes confirms the configuration, so its
// timeout limits the age of the last confirmation. After changes, whose time is not known exactly, the next
// watch is shorter.
constexpr milliseconds k_max_watch_timeout{1'500};
constexpr milliseconds k_min_watch_timeout{300};

// Backoff after failed store calls. The first pause is short, since single answers may be lost.
constexpr milliseconds k_min_backoff{100};
constexpr milliseconds k_max_backoff{500};

// Interval at which the writer thread offers a result again while the queue of events is full.
constexpr milliseconds k_result_retry_interval{100};

// Longest wait of the writer thread before it checks again whether it must stop.
constexpr milliseconds k_idle_wait{60'000};

} // namespace

using gateway_event = std::variant<store_update, move_evidence, move_write_result>;

struct gateway_control::state {
    gateway_control_ports ports;
    gateway_state gateway;
    event_queue<gateway_event> events{k_queue_capacity};
    event_queue<move_write> writes{k_queue_capacity};
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
    void write_moves();
    void watch_store();
    store_update watch(std::uint64_t revision, boot_time confirmed) const;
    store_update read_all() const;
    // Waits for `time`; returns false at once if the process stops.
    bool pause(milliseconds time);
    void announce(std::uint64_t revision);
    // Waits until the next read of changes is due; returns false at once if the process stops.
    bool wait_for_next_read(std::uint64_t revision);
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

bool gateway_control::state::wait_for_next_read(std::uint64_t revision) {
    const auto last_read = monotonic_now();
    std::unique_lock lock(mutex);
    while (!is_stopping) {
        const auto left = plan_read_pause(
            {monotonic_now() - last_read, revision, announced_revision, live_peers}, ports.freshness);
        if (left <= milliseconds(0)) {
            // The read that follows covers every change announced so far.
            announced_revision = 0;
            return true;
        }
        wakeup.wait_for(lock, left);
    }
    return false;
}

store_update gateway_control::state::read_all() const {
    store_update update;
    update.is_full_read = true;
    update.confirmed = boot_now();
    std::string after;
    bool has_more = true;
    while (has_more) {
        auto page = ports.store.read_page(ports.documents.prefix, after);
        if (!page) {
            update.failure = page.error();
            return update;
        }
        // A watch from the first page's revision delivers the changes made while later pages were read.
        update.revision = update.revision == 0 ? page->revision : update.revision;
        has_more = page->has_more && !page->items.empty();
        for (auto& [key, value] : page->items) {
            after = key;
            update.changes.push_back({std::move(key), std::move(value)});
        }
    }
    return update;
}

store_update gateway_control::state::watch(std::uint64_t revision, boot_time confirmed) const {
    store_update update;
    const auto sent_at = boot_now();
    const auto age = std::chrono::duration_cast<milliseconds>(sent_at - confirmed);
    const auto wait = std::clamp(k_max_watch_timeout - age, k_min_watch_timeout, k_max_watch_timeout);
    update.confirmed = sent_at;
    auto changes = ports.store.watch_prefix(ports.documents.prefix, revision, wait);
    if (!changes) {
        update.failure = changes.error();
        return update;
    }
    if (changes->changes.empty() && boot_now() - sent_at >= wait) {
        // The watch timed out in the store, so there were no changes until then.
        update.confirmed = sent_at + wait;
    }
    update.revision = changes->revision;
    update.changes = std::move(changes->changes);
    return update;
}

void gateway_control::state::watch_store() {
    std::uint64_t revision = 0;
    boot_time confirmed{0};
    milliseconds backoff = k_min_backoff;
    bool is_running = true;
    while (is_running) {
        auto update = revision == 0 ? read_all() : watch(revision, confirmed);
        milliseconds pause_time{0};
        bool has_changes = false;
        if (update.failure) {
            const bool is_history_lost = update.failure->kind == error_kind::history_lost;
            revision = is_history_lost ? 0 : revision;
            pause_time = is_history_lost ? milliseconds(0) : backoff;
            backoff = std::min(backoff * 2, k_max_backoff);
        } else {
            revision = update.revision;
            confirmed = update.confirmed;
            backoff = k_min_backoff;
            has_changes = !update.changes.empty() && !update.is_full_read;
        }
        if (!events.push(std::move(update))) {
            // A lost update would leave the state incomplete, so everything is read again.
            revision = 0;
            has_changes = false;
            pause_time = backoff;
        }
        is_running = has_changes ? wait_for_next_read(revision) : pause(pause_time);
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

void gateway_control::state::write_moves() {
    while (!writes.is_closed()) {
        auto write = writes.pop_until(monotonic_now() + k_idle_wait);
        if (!write) {
            continue;
        }
        auto revision = ports.writes.write_together(ports.documents.move_key(write->service), write->expected,
                                                    ports.documents.encode_move(write->record));
        ports.log({log_level::info,
                   "move_written",
                   {{"move", write->record.id},
                    {"phase", std::string(name_of(k_move_phase_names, write->record.phase))},
                    {"expected", std::to_string(write->expected)},
                    {"outcome", revision ? "ok" : std::string(to_string(revision.error().kind))}}});
        // The next write of the service waits for this result, so it must not be lost while the queue is
        // full.
        const move_write_result written{write->service, std::move(revision)};
        while (!events.push(written) && pause(k_result_retry_interval)) {
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
    own.control = std::thread([&own] { own.run(); });
    own.watcher = std::thread([&own] { own.watch_store(); });
    own.writer = std::thread([&own] { own.write_moves(); });
    return control;
}

bool gateway_control::post(move_evidence evidence) {
    return m_state->events.push(std::move(evidence), k_queue_capacity / 2);
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
