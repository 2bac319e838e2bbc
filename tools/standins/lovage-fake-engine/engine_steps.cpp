#include "generation.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <utility>

namespace lovage::standins {

namespace {

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

} // namespace lovage::standins
