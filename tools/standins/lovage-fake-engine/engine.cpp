#include "engine.h"

#include "generation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovage::standins {

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

} // namespace lovage::standins
