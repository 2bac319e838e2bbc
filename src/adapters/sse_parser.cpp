#include "lovage/adapters/sse_parser.h"

#include <utility>

namespace lovage {

result<std::vector<sse_event>> sse_parser::feed(std::string_view bytes) {
    std::vector<sse_event> events;
    for (const char c : bytes) {
        const bool is_lf_of_crlf = m_is_after_carriage_return && c == '\n';
        m_is_after_carriage_return = c == '\r';
        if (is_lf_of_crlf) {
            continue;
        }
        if (c == '\n' || c == '\r') {
            end_line(events);
            continue;
        }
        if (m_line.size() + m_event.data.size() >= m_max_event_bytes) {
            return fail(error_kind::protocol_error, "a server-sent event is larger than the limit");
        }
        m_line.push_back(c);
    }
    return events;
}

void sse_parser::end_line(std::vector<sse_event>& events) {
    const std::string line = std::exchange(m_line, {});
    if (line.empty()) {
        if (m_has_data) {
            events.push_back(std::exchange(m_event, {}));
        }
        m_event = {};
        m_has_data = false;
        return;
    }
    const auto colon = line.find(':');
    const std::string_view name = std::string_view(line).substr(0, colon);
    std::string_view value = colon == std::string::npos ? "" : std::string_view(line).substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "event") {
        m_event.event = value;
    } else if (name == "data") {
        if (m_has_data) {
            m_event.data += '\n';
        }
        m_event.data += value;
        m_has_data = true;
    }
}

} // namespace lovage
