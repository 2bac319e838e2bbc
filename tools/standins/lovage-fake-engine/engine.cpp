#include "engine.h"

#include "lovage/adapters/log.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovage::standins {

namespace {

constexpr std::size_t k_max_cache_events = 10'000;
constexpr milliseconds k_weight_fetch_retry_delay{500};

bool is_same(const loaded_version& a, const loaded_version& b) {
    return a.model == b.model && a.version == b.version && a.adapter == b.adapter;
}

std::string token_event(token_index index, const token& text) {
    // The text is ASCII without characters that JSON must escape.
    return "event: token\ndata: {\"index\": " + std::to_string(index) + ", \"text\": \"" + text + "\"}\n\n";
}

std::string done_event(token_index total, finish_reason reason) {
    return "event: done\ndata: {\"total\": " + std::to_string(total) + ", \"reason\": \"" +
           std::string(name_of(k_finish_reason_names, reason)) + "\"}\n\n";
}

std::chrono::microseconds scaled(std::chrono::microseconds time, double factor) {
    return std::chrono::microseconds(std::llround(static_cast<double>(time.count()) * factor));
}

} // namespace

struct fake_engine::generation {
    engine_request request;
    std::shared_ptr<token_stream> output;
    fake_completion end;
    token_index next = 0;
    /// Prompt tokens that have not been prefilled.
    double prefill_remaining = 0.0;
    /// Prompt tokens that the current step prefills.
    double prefill_in_step = 0.0;
    stream_fault fault;
    /// Whether the random choice by `bad_version::share` selected this generation for the fault of its
    /// version.
    bool is_fault_selected = false;
    /// Fraction of the next token that a sequence slowed by `version_fault::slow` has generated.
    double token_progress = 0.0;
    bool stalled = false;
    bool ended = false;
};

fake_engine::fake_engine(engine_options options, engine_faults faults, weight_fetch fetch)
    : m_options(std::move(options)), m_fetch(std::move(fetch)), m_role(m_options.role),
      m_prefix_cache(m_options.cache_blocks), m_faults(std::move(faults)), m_random(m_options.random_seed) {
    const auto now = monotonic_now();
    for (const auto& version : m_options.loaded) {
        m_loaded.push_back({version, now});
    }
    m_paused_until = now + m_faults.pause;
    m_tokens_until_kill = m_faults.die_after_tokens;
    record_load();
    m_step_thread = std::thread([this] { run_step_loop(); });
    m_load_thread = std::thread([this] { run_version_loader(); });
}

fake_engine::~fake_engine() {
    stop();
}

void fake_engine::stop() {
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        end_sequences([](const generation&) { return true; });
    }
    m_work_available.notify_all();
    m_stop_or_pause_changed.notify_all();
    m_load_requested.notify_all();
    m_step_thread.join();
    m_load_thread.join();
}

result<std::shared_ptr<token_stream>> fake_engine::generate(engine_request request) {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return fail(error_kind::leaving, "the engine is stopping");
    }
    if (m_faults.refuse || m_queued.size() >= m_options.queue_limit) {
        ++m_counts.refused;
        return fail(error_kind::overloaded, "the queue is full");
    }
    const loaded_entry* loaded = find_loaded(request.version);
    if (loaded == nullptr) {
        ++m_counts.refused;
        return fail(error_kind::not_found, "version " + request.version.version + " is not loaded");
    }
    auto added = std::make_unique<generation>();
    added->request = std::move(request);
    const engine_request& spec = added->request;
    const auto bad = m_faults.bad_versions.find(spec.version.version);
    added->is_fault_selected = bad != m_faults.bad_versions.end() &&
                               std::uniform_real_distribution<>(0.0, 1.0)(m_random) < bad->second.share;
    if (is_faulty(*added, version_fault::error)) {
        ++m_counts.failed;
        return fail(error_kind::internal, "the fault 'error' of this version is active");
    }
    added->output = std::make_shared<token_stream>(m_options.ping_interval);
    added->end = fake_text_completion(spec.version.version, spec.prompt, spec.seed, spec.max_tokens);
    added->next = static_cast<token_index>(spec.accepted.size());
    for (token_index i = 0; i < added->next; ++i) {
        if (spec.accepted[i] != fake_token(spec.version.version, spec.prompt, spec.seed, i)) {
            ++m_counts.accepted_mismatches;
            break;
        }
    }
    if (m_faults.stream.kind != stream_fault_kind::none && m_faults.stream.streams != 0) {
        added->fault = m_faults.stream;
        m_faults.stream.streams -= m_faults.stream.streams > 0 ? 1 : 0;
    }
    ++m_counts.generations;
    m_counts.resumed += added->next > 0 ? 1 : 0;
    auto output = added->output;
    // Higher priorities come first; within a priority, arrival order is kept.
    const auto position =
        std::upper_bound(m_queued.begin(), m_queued.end(), added, [](const auto& a, const auto& b) {
            return a->request.priority < b->request.priority;
        });
    m_queued.insert(position, std::move(added));
    record_load();
    m_work_available.notify_one();
    return output;
}

std::size_t fake_engine::cancel(const std::string& request, const std::string& answer,
                                attempt_number attempt) {
    const std::lock_guard lock(m_mutex);
    const std::size_t ended = end_sequences([&](const generation& sequence) {
        return sequence.request.request == request && sequence.request.answer == answer &&
               sequence.request.attempt == attempt;
    });
    m_counts.cancelled += ended;
    return ended;
}

void fake_engine::cancel_stream(const std::shared_ptr<token_stream>& stream) {
    const std::lock_guard lock(m_mutex);
    m_counts.cancelled +=
        end_sequences([&stream](const generation& sequence) { return sequence.output == stream; });
}

// Only marks the sequences as ended. The step loop removes them, so that no sequence is freed during a step.
std::size_t fake_engine::end_sequences(const std::function<bool(const generation&)>& matches) {
    std::size_t ended = 0;
    for (const auto* list : {&m_running, &m_queued}) {
        for (const auto& sequence : *list) {
            if (!sequence->ended && matches(*sequence)) {
                sequence->ended = true;
                sequence->output->close();
                ++ended;
            }
        }
    }
    if (ended > 0) {
        m_has_ended = true;
        m_work_available.notify_one();
    }
    return ended;
}

load_snapshot fake_engine::load() {
    const std::lock_guard lock(m_mutex);
    const auto at = monotonic_now() - m_options.load_lag;
    load_snapshot found = m_load_history.front();
    for (const auto& snapshot : m_load_history) {
        if (snapshot.at > at) {
            break;
        }
        found = snapshot;
    }
    return found;
}

std::pair<std::vector<cache_event>, std::uint64_t> fake_engine::cache_events(std::uint64_t since) {
    const std::lock_guard lock(m_mutex);
    const auto at = monotonic_now() - m_options.cache_event_lag;
    std::vector<cache_event> events;
    std::uint64_t next = since;
    for (const auto& event : m_cache_events) {
        if (event.at > at) {
            break;
        }
        if (event.sequence >= since) {
            events.push_back(event);
            next = event.sequence + 1;
        }
    }
    return {events, next};
}

result<bool> fake_engine::order(const order_message& order) {
    const std::lock_guard lock(m_mutex);
    ++m_counts.orders;
    if (m_options.checks_fencing && order.fencing < m_highest_fencing) {
        ++m_counts.stale_orders;
        return fail(error_kind::stale_fencing,
                    "the highest fencing number is " + std::to_string(m_highest_fencing));
    }
    m_highest_fencing = std::max(m_highest_fencing, order.fencing);
    const auto matches = [&order](const loaded_version& version) { return is_same(version, order.version); };
    bool is_complete = true;
    switch (order.kind) {
    case order_kind::load_version:
        is_complete = find_loaded(order.version) != nullptr;
        if (!is_complete && std::none_of(m_pending_loads.begin(), m_pending_loads.end(), matches)) {
            m_pending_loads.push_back(order.version);
            m_load_requested.notify_one();
        }
        break;
    case order_kind::unload_version:
        m_pending_loads.erase(std::remove_if(m_pending_loads.begin(), m_pending_loads.end(), matches),
                              m_pending_loads.end());
        m_loaded.erase(std::remove_if(m_loaded.begin(), m_loaded.end(),
                                      [&](const loaded_entry& entry) { return matches(entry.version); }),
                       m_loaded.end());
        break;
    case order_kind::set_role:
        m_role = order.role;
        break;
    }
    record_load();
    return is_complete;
}

engine_faults fake_engine::faults() {
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

result<engine_faults> fake_engine::change_faults(const nlohmann::json& change) {
    const std::lock_guard lock(m_mutex);
    auto changed = apply_faults(m_faults, change);
    if (!changed) {
        return changed;
    }
    m_faults = *changed;
    // `pause` and `die_after_tokens` count from the change that sets them; a change of other faults does not
    // restart them.
    if (change.contains("die_after_tokens")) {
        m_tokens_until_kill = m_faults.die_after_tokens;
    }
    if (change.contains("pause_ms")) {
        m_paused_until = monotonic_now() + m_faults.pause;
        m_stop_or_pause_changed.notify_all();
    }
    return changed;
}

void fake_engine::wait_while_paused() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping && monotonic_now() < m_paused_until) {
        m_stop_or_pause_changed.wait_until(lock, m_paused_until);
    }
}

engine_counts fake_engine::counts() {
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void fake_engine::run_step_loop() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        remove_ended();
        admit();
        const bool is_busy = std::any_of(m_running.begin(), m_running.end(),
                                         [](const auto& sequence) { return !sequence->stalled; });
        if (is_busy) {
            run_step(lock);
        } else {
            m_work_available.wait(lock, [this] {
                return m_stopping || m_has_ended || (!m_queued.empty() && m_running.size() < m_options.slots);
            });
        }
    }
}

void fake_engine::admit() {
    bool changed = false;
    while (!m_queued.empty() && m_running.size() < m_options.slots) {
        generation& first = *m_queued.front();
        std::vector<prefix_cache::change> changes;
        const std::string& prompt = first.request.prompt;
        const std::size_t cached =
            m_prefix_cache.look_up_and_insert(first.request.version.version, prompt, changes);
        const std::size_t tokens = prompt.size() / prefix_cache::k_bytes_per_token + first.next;
        first.prefill_remaining = static_cast<double>(tokens - cached);
        m_counts.cached_tokens += cached;
        m_counts.prefill_tokens += tokens - cached;
        record_cache_changes(changes);
        m_running.push_back(std::move(m_queued.front()));
        m_queued.erase(m_queued.begin());
        changed = true;
    }
    if (changed) {
        record_load();
    }
}

// Chunked prefill: a step prefills parts of prompts, higher priorities first, and generates tokens of the
// other running sequences.
void fake_engine::run_step(std::unique_lock<std::mutex>& lock) {
    std::vector<generation*> active;
    for (const auto& sequence : m_running) {
        if (!sequence->stalled) {
            active.push_back(sequence.get());
        }
    }
    std::stable_sort(active.begin(), active.end(), [](const generation* a, const generation* b) {
        return a->request.priority < b->request.priority;
    });
    double budget = m_options.prefill_tokens_per_step;
    for (generation* sequence : active) {
        sequence->prefill_in_step = std::min(sequence->prefill_remaining, budget);
        budget -= sequence->prefill_in_step;
    }
    const auto prefilled = m_options.prefill_tokens_per_step - budget;
    const auto sequences = static_cast<double>(active.size());
    const auto duration = scaled(m_options.step_base + scaled(m_options.step_per_sequence, sequences) +
                                     scaled(m_options.prefill_per_token, prefilled),
                                 m_faults.slow_factor);
    // A step is timed from the end of the step before it, so that a late wake-up does not lower the token
    // rate.
    const auto now = monotonic_now();
    m_step_end = std::max(m_step_end, now - duration) + duration;
    while (!m_stopping && monotonic_now() < std::max(m_step_end, m_paused_until)) {
        m_stop_or_pause_changed.wait_until(lock, std::max(m_step_end, m_paused_until));
    }
    for (generation* sequence : active) {
        if (!sequence->ended) {
            advance_sequence(*sequence);
        }
    }
}

void fake_engine::advance_sequence(generation& sequence) {
    const bool is_slow = is_faulty(sequence, version_fault::slow);
    const double factor =
        is_slow ? m_faults.bad_versions.at(sequence.request.version.version).slow_factor : 1.0;
    if (sequence.prefill_remaining > 0.0) {
        sequence.prefill_remaining =
            std::max(0.0, sequence.prefill_remaining - sequence.prefill_in_step / factor);
        // A fraction of a token left by the slow factor would cost another whole step.
        sequence.prefill_remaining = sequence.prefill_remaining < 1.0 ? 0.0 : sequence.prefill_remaining;
        return;
    }
    sequence.token_progress += 1.0 / factor;
    if (sequence.token_progress + 1e-9 < 1.0) {
        return;
    }
    sequence.token_progress = 0.0;
    emit_token(sequence);
}

void fake_engine::emit_token(generation& sequence) {
    const engine_request& spec = sequence.request;
    const auto fault_now =
        sequence.fault.at == sequence.next ? std::exchange(sequence.fault.kind, {}) : stream_fault_kind::none;
    if (fault_now == stream_fault_kind::end) {
        ++m_counts.failed;
        sequence.output->close();
        sequence.ended = true;
        return;
    }
    if (fault_now == stream_fault_kind::stall) {
        sequence.output->stall();
        sequence.stalled = true;
        return;
    }
    if (sequence.next >= sequence.end.total) {
        finish(sequence);
        return;
    }
    const auto text_of = [&spec](token_index index) {
        return fake_token(spec.version.version, spec.prompt, spec.seed, index);
    };
    if (fault_now == stream_fault_kind::repeat && sequence.next > 0) {
        sequence.output->push(token_event(sequence.next - 1, text_of(sequence.next - 1)));
    }
    if (fault_now != stream_fault_kind::skip) {
        sequence.output->push(token_event(sequence.next, text_of(sequence.next)));
    }
    ++sequence.next;
    count_token_and_kill();
    const bool is_truncated = is_faulty(sequence, version_fault::truncation);
    const bool is_cut = is_faulty(sequence, version_fault::cut);
    if ((is_truncated || is_cut) &&
        sequence.next >= m_faults.bad_versions.at(spec.version.version).truncate_after) {
        ++m_counts.failed;
        if (is_truncated) {
            sequence.output->push(done_event(sequence.next, finish_reason::length));
        }
        sequence.output->close();
        sequence.ended = true;
        return;
    }
    if (sequence.next >= sequence.end.total && sequence.fault.at != sequence.next) {
        finish(sequence);
    }
}

void fake_engine::finish(generation& sequence) {
    ++m_counts.finished;
    sequence.output->push(done_event(sequence.end.total, sequence.end.reason));
    sequence.output->close();
    sequence.ended = true;
}

void fake_engine::count_token_and_kill() {
    ++m_counts.tokens;
    if (m_tokens_until_kill > 0 && --m_tokens_until_kill == 0) {
        std::raise(SIGKILL);
    }
}

bool fake_engine::is_faulty(const generation& sequence, version_fault fault) const {
    const engine_request& spec = sequence.request;
    const auto bad = m_faults.bad_versions.find(spec.version.version);
    if (!sequence.is_fault_selected || bad == m_faults.bad_versions.end() || bad->second.fault != fault) {
        return false;
    }
    const loaded_entry* loaded = find_loaded(spec.version);
    const auto since_load = loaded != nullptr
                                ? std::chrono::duration_cast<milliseconds>(monotonic_now() - loaded->since)
                                : milliseconds::max();
    return is_fault_active(bad->second, since_load, static_cast<std::uint32_t>(m_running.size()), spec.route);
}

void fake_engine::remove_ended() {
    const auto is_ended = [](const auto& sequence) { return sequence->ended; };
    m_has_ended = false;
    const auto before = m_running.size() + m_queued.size();
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), is_ended), m_running.end());
    m_queued.erase(std::remove_if(m_queued.begin(), m_queued.end(), is_ended), m_queued.end());
    if (before != m_running.size() + m_queued.size()) {
        record_load();
    }
}

const fake_engine::loaded_entry* fake_engine::find_loaded(const loaded_version& version) const {
    const auto found = std::find_if(m_loaded.begin(), m_loaded.end(), [&version](const loaded_entry& entry) {
        return is_same(entry.version, version);
    });
    return found == m_loaded.end() ? nullptr : &*found;
}

void fake_engine::record_load() {
    load_snapshot snapshot;
    snapshot.at = monotonic_now();
    snapshot.running = static_cast<std::uint32_t>(m_running.size());
    snapshot.queued = static_cast<std::uint32_t>(m_queued.size());
    snapshot.role = m_role;
    for (const auto& entry : m_loaded) {
        snapshot.loaded.push_back(entry.version);
    }
    // `load` needs the newest snapshot that is older than the lag, but none before it.
    const auto oldest = snapshot.at - m_options.load_lag;
    while (m_load_history.size() > 1 && m_load_history[1].at <= oldest) {
        m_load_history.pop_front();
    }
    m_load_history.push_back(std::move(snapshot));
}

void fake_engine::record_cache_changes(const std::vector<prefix_cache::change>& changes) {
    const auto now = monotonic_now();
    for (const auto& [change, prefix] : changes) {
        const std::uint64_t sequence = m_next_cache_event++;
        if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) >= m_options.cache_event_gap) {
            m_cache_events.push_back({now, sequence, prefix, change});
        }
    }
    while (m_cache_events.size() > k_max_cache_events) {
        m_cache_events.pop_front();
    }
}

void fake_engine::run_version_loader() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_load_requested.wait(lock, [this] { return m_stopping || !m_pending_loads.empty(); });
        if (m_stopping) {
            return;
        }
        const loaded_version version = m_pending_loads.front();
        lock.unlock();
        const bool has_weights = m_fetch(version);
        lock.lock();
        const auto delay = has_weights ? m_options.load_time : k_weight_fetch_retry_delay;
        m_load_requested.wait_for(lock, delay, [this] { return m_stopping; });
        // An unload order may have removed the pending load in the meantime.
        if (!has_weights || m_pending_loads.empty() || !is_same(m_pending_loads.front(), version)) {
            continue;
        }
        m_pending_loads.pop_front();
        m_loaded.push_back({version, monotonic_now()});
        record_load();
        log_event(log_level::info, "version loaded",
                  {{"model", version.model}, {"version", version.version}});
    }
}

} // namespace lovage::standins
