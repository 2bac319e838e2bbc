#include "lovage/control/gateway_control.h"

#include "lovage/control/event_queue.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <variant>

namespace lovage {

namespace {

// Events are few: each follower waits for the store between two of them.
constexpr std::size_t k_queue_capacity = 256;

// An empty answer to a watch confirms the configuration, so its wait bounds the age of what is believed.
// After changes, whose time is not known exactly, the next watch is shorter.
constexpr milliseconds k_longest_wait{1'500};
constexpr milliseconds k_shortest_wait{300};
// Pause after changes, in which further ones gather. A draining target gets no new work within two seconds.
constexpr milliseconds k_gather{300};

// Pauses after failures; the first is short, as single answers get lost.
constexpr milliseconds k_first_pause{100};
constexpr milliseconds k_longest_pause{500};

// Longest wait of the writing thread between two looks at whether the process stops.
constexpr milliseconds k_idle_wait{60'000};

} // namespace

using control_input = std::variant<followed_event, move_evidence, move_written>;

struct gateway_control::state {
    gateway_control_ports ports;
    gateway_state beliefs;
    event_queue<control_input> events{k_queue_capacity};
    event_queue<move_write> writes{k_queue_capacity};
    std::mutex mutex;
    std::condition_variable stopping;
    bool is_stopping = false;
    std::thread control;
    std::thread follower;
    std::thread writer;

    void run();
    void take(control_input input, time_point now);
    void write_moves();
    void follow_store();
    followed_event watch(std::uint64_t revision, boot_time confirmed) const;
    followed_event read_whole() const;
    // Waits; false if the process stops.
    bool pause(milliseconds time);
};

bool gateway_control::state::pause(milliseconds time) {
    std::unique_lock lock(mutex);
    return !stopping.wait_for(lock, time, [this] { return is_stopping; });
}

followed_event gateway_control::state::read_whole() const {
    followed_event event;
    event.is_whole = true;
    event.confirmed = boot_now();
    std::string after;
    bool has_more = true;
    while (has_more) {
        auto page = ports.store.read_page(ports.documents.prefix, after);
        if (!page) {
            event.failure = page.error();
            return event;
        }
        // A watch from the first page's revision shows what changed while later pages were read.
        event.revision = event.revision == 0 ? page->revision : event.revision;
        has_more = page->has_more && !page->items.empty();
        for (auto& [key, value] : page->items) {
            after = key;
            event.changes.push_back({std::move(key), std::move(value)});
        }
    }
    return event;
}

followed_event gateway_control::state::watch(std::uint64_t revision, boot_time confirmed) const {
    followed_event event;
    const auto asked = boot_now();
    const auto age = std::chrono::duration_cast<milliseconds>(asked - confirmed);
    const auto wait = std::clamp(k_longest_wait - age, k_shortest_wait, k_longest_wait);
    event.confirmed = asked;
    auto changes = ports.store.watch_prefix(ports.documents.prefix, revision, wait);
    if (!changes) {
        event.failure = changes.error();
        return event;
    }
    if (changes->changes.empty() && boot_now() - asked >= wait) {
        // The store has waited for changes until the end and has seen none.
        event.confirmed = asked + wait;
    }
    event.revision = changes->revision;
    event.changes = std::move(changes->changes);
    return event;
}

void gateway_control::state::follow_store() {
    std::uint64_t revision = 0;
    boot_time confirmed{0};
    milliseconds failure_pause = k_first_pause;
    bool goes_on = true;
    while (goes_on) {
        auto event = revision == 0 ? read_whole() : watch(revision, confirmed);
        milliseconds rest{0};
        if (event.failure) {
            const bool is_history_lost = event.failure->kind == error_kind::history_lost;
            revision = is_history_lost ? 0 : revision;
            rest = is_history_lost ? milliseconds(0) : failure_pause;
            failure_pause = std::min(failure_pause * 2, k_longest_pause);
        } else {
            revision = event.revision;
            confirmed = event.confirmed;
            failure_pause = k_first_pause;
            rest = event.changes.empty() || event.is_whole ? milliseconds(0) : k_gather;
        }
        if (!events.push(std::move(event))) {
            // A lost event would leave a gap, so everything is read again.
            revision = 0;
            rest = failure_pause;
        }
        goes_on = pause(rest);
    }
}

void gateway_control::state::take(control_input input, time_point now) {
    if (auto* followed = std::get_if<followed_event>(&input)) {
        follow(beliefs, std::move(*followed), now);
    } else if (const auto* evidence = std::get_if<move_evidence>(&input)) {
        take_evidence(beliefs.moves, *evidence);
    } else if (const auto* written = std::get_if<move_written>(&input)) {
        take_written(beliefs.moves, *written, now);
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
        // A full queue only delays the next write.
        events.push(move_written{write->service, std::move(revision)});
    }
}

void gateway_control::state::run() {
    time_point next = monotonic_now();
    std::vector<move_write> due;
    while (!events.is_closed()) {
        auto input = events.pop_until(next);
        const auto now = monotonic_now();
        const auto wall = wall_now();
        if (input) {
            take(std::move(*input), now);
        }
        next = expire_targets(beliefs, now);
        next = std::min(next, plan_moves(beliefs, now, wall, due));
        for (auto& write : due) {
            writes.push(std::move(write));
        }
        due.clear();
        const auto before = beliefs.view;
        auto view = make_gateway_view(beliefs, now, wall);
        for (const auto& line : beliefs.logs) {
            ports.log(line);
        }
        beliefs.logs.clear();
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
    own.beliefs.documents = own.ports.documents;
    own.beliefs.moves.limits = own.ports.moves;
    own.control = std::thread([&own] { own.run(); });
    own.follower = std::thread([&own] { own.follow_store(); });
    own.writer = std::thread([&own] { own.write_moves(); });
    return control;
}

bool gateway_control::post(move_evidence evidence) {
    return m_state->events.push(std::move(evidence), k_queue_capacity / 2);
}

gateway_control::~gateway_control() {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->is_stopping = true;
    }
    m_state->stopping.notify_all();
    m_state->ports.store.stop();
    m_state->ports.writes.stop();
    m_state->follower.join();
    m_state->writes.close();
    m_state->writer.join();
    m_state->events.close();
    m_state->control.join();
}

} // namespace lovage
