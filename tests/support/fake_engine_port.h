#pragma once

#include "lovage/ports/engine_port.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

/// Fake engine that emits tokens only as the test allows them. A generation ends at `max_tokens`.
class fake_engine {
public:
    /// Allows each generation to emit `count` more tokens.
    void allow(std::uint32_t count) {
        {
            const std::lock_guard lock(m_mutex);
            m_allowed += count;
        }
        m_changed.notify_all();
    }
    /// Makes running and later generations fail with this error.
    void fail_with(error reason) {
        {
            const std::lock_guard lock(m_mutex);
            m_failure = std::move(reason);
        }
        m_changed.notify_all();
    }

    engine_port port() {
        engine_port port;
        port.generate = [this](const attempt_ref&, const generation_spec& spec,
                               const std::vector<token>& accepted,
                               const engine_stream& stream) { return generate(spec, accepted, stream); };
        port.cancel = [](const attempt_ref&) -> result<void> { return {}; };
        port.load = [this]() -> result<engine_load> {
            engine_load load;
            load.slots = slots;
            load.loaded = {{"history", "v1", ""}};
            return load;
        };
        port.order = [this](const order_message&) -> result<void> {
            ++orders;
            return {};
        };
        return port;
    }

    std::atomic<std::uint32_t> slots{2};
    std::atomic<int> orders{0};
    std::atomic<int> started{0};
    std::atomic<int> max_running{0};

private:
    result<engine_finish> generate(const generation_spec& spec, const std::vector<token>& accepted,
                                   const engine_stream& stream) {
        ++started;
        const int running = ++m_running;
        max_running = std::max(max_running.load(), running);
        const auto outcome = emit(spec, accepted, stream);
        --m_running;
        return outcome;
    }

    result<engine_finish> emit(const generation_spec& spec, const std::vector<token>& accepted,
                               const engine_stream& stream) {
        auto next = static_cast<token_index>(accepted.size());
        std::uint32_t emitted = 0;
        while (next < spec.max_tokens) {
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait_for(lock, std::chrono::milliseconds(5),
                                   [&] { return m_failure || emitted < m_allowed; });
                if (m_failure) {
                    return tl::unexpected<error>(*m_failure);
                }
                if (emitted >= m_allowed) {
                    lock.unlock();
                    if (stream.is_cancelled()) {
                        return fail(error_kind::cancelled, "cancelled");
                    }
                    continue;
                }
            }
            if (!stream.on_token(next, " t" + std::to_string(next))) {
                return fail(error_kind::cancelled, "cancelled");
            }
            ++next;
            ++emitted;
        }
        return engine_finish{next, finish_reason::length};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint32_t m_allowed = 0;
    std::optional<error> m_failure;
    std::atomic<int> m_running{0};
};

} // namespace lovage
