#include "token_stream.h"

#include <utility>

namespace lovage::standins {

void token_stream::push(const std::string& event) {
    {
        const std::lock_guard lock(m_mutex);
        m_pending += event;
        m_has_output = true;
    }
    m_changed.notify_one();
}

void token_stream::close() {
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    m_changed.notify_one();
}

void token_stream::stall() {
    const std::lock_guard lock(m_mutex);
    m_stalled = true;
}

std::optional<std::string> token_stream::next() {
    std::unique_lock lock(m_mutex);
    const auto is_ready = [this] { return m_closed || !m_pending.empty(); };
    while (!m_changed.wait_for(lock, m_ping_interval, is_ready)) {
        if (!m_has_output && !m_stalled) {
            return "event: ping\ndata: {}\n\n";
        }
    }
    if (m_pending.empty()) {
        return std::nullopt;
    }
    return std::exchange(m_pending, {});
}

} // namespace lovage::standins
