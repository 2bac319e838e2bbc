#include "lovage/control/gateway_control.h"

#include "lovage/control/event_queue.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lovage {

namespace {

// Events are few: each follower waits for the store between two of them.
constexpr std::size_t k_queue_capacity = 256;

// How a follower paces its calls.
struct follower_pace {
    followed_prefix prefix;
    /// Wait of one watch. An answer to the operators' watch confirms the configuration, so its wait bounds the
    /// age of what is believed.
    milliseconds wait;
    /// Pause after changes, in which further ones gather.
    milliseconds gather;
};
constexpr follower_pace k_operators_pace{followed_prefix::operators, milliseconds(1'500), milliseconds(50)};
constexpr follower_pace k_targets_pace{followed_prefix::targets, milliseconds(2'500), milliseconds(200)};

// Pauses after failures; the first is short, as single answers get lost.
constexpr milliseconds k_first_pause{100};
constexpr milliseconds k_longest_pause{500};

} // namespace

struct gateway_control::state {
    gateway_control_ports ports;
    gateway_state beliefs;
    event_queue<followed_event> events{k_queue_capacity};
    std::mutex mutex;
    std::condition_variable stopping;
    bool is_stopping = false;
    std::thread control;
    std::thread operators;
    std::thread targets;

    void run();
    void follow_prefix(const store_port& store, const std::string& prefix, follower_pace pace);
    // Waits; false if the process stops.
    bool pause(milliseconds time);
    static followed_event read_whole(const store_port& store, const std::string& prefix);
};

bool gateway_control::state::pause(milliseconds time) {
    std::unique_lock lock(mutex);
    return !stopping.wait_for(lock, time, [this] { return is_stopping; });
}

followed_event gateway_control::state::read_whole(const store_port& store, const std::string& prefix) {
    followed_event event;
    event.is_whole = true;
    event.confirmed = boot_now();
    std::string after;
    bool has_more = true;
    while (has_more) {
        auto page = store.read_page(prefix, after);
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

void gateway_control::state::follow_prefix(const store_port& store, const std::string& prefix,
                                           follower_pace pace) {
    std::uint64_t revision = 0;
    milliseconds failure_pause = k_first_pause;
    bool goes_on = true;
    while (goes_on) {
        followed_event event;
        if (revision == 0) {
            event = read_whole(store, prefix);
        } else {
            const auto asked = boot_now();
            auto changes = store.watch_prefix(prefix, revision, pace.wait);
            event.confirmed = asked;
            if (changes) {
                if (changes->changes.empty() && boot_now() - asked >= pace.wait) {
                    // The store has waited for changes until the end and has seen none.
                    event.confirmed = asked + pace.wait;
                }
                event.revision = changes->revision;
                event.changes = std::move(changes->changes);
            } else {
                event.failure = changes.error();
            }
        }
        event.prefix = pace.prefix;
        milliseconds rest{0};
        if (event.failure) {
            const bool is_history_lost = event.failure->kind == error_kind::history_lost;
            revision = is_history_lost ? 0 : revision;
            rest = is_history_lost ? milliseconds(0) : failure_pause;
            failure_pause = std::min(failure_pause * 2, k_longest_pause);
        } else {
            revision = event.revision;
            failure_pause = k_first_pause;
            rest = event.changes.empty() || event.is_whole ? milliseconds(0) : pace.gather;
        }
        if (!events.push(std::move(event))) {
            // A lost event would leave a gap, so everything is read again.
            revision = 0;
            rest = failure_pause;
        }
        goes_on = pause(rest);
    }
}

void gateway_control::state::run() {
    time_point next = monotonic_now();
    while (!events.is_closed()) {
        auto event = events.pop_until(next);
        const auto now = monotonic_now();
        if (event) {
            follow(beliefs, std::move(*event), now);
        }
        next = expire_targets(beliefs, now);
        const auto before = beliefs.view;
        auto view = make_gateway_view(beliefs);
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
    own.control = std::thread([&own] { own.run(); });
    own.operators = std::thread([&own] {
        own.follow_prefix(own.ports.operators_store, own.ports.documents.operator_prefix, k_operators_pace);
    });
    own.targets = std::thread([&own] {
        own.follow_prefix(own.ports.targets_store, own.ports.documents.target_prefix, k_targets_pace);
    });
    return control;
}

gateway_control::~gateway_control() {
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->is_stopping = true;
    }
    m_state->stopping.notify_all();
    m_state->ports.operators_store.stop();
    m_state->ports.targets_store.stop();
    m_state->operators.join();
    m_state->targets.join();
    m_state->events.close();
    m_state->control.join();
}

} // namespace lovage
