#pragma once

#include "lovage/core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// One server-sent event (WHATWG HTML, "Server-sent events").
struct sse_event {
    std::string event;
    std::string data;
};

/// Parses a stream of server-sent events that arrives in pieces of any size. Comments, `id` and `retry` are
/// skipped.
class sse_parser {
public:
    /// `max_event_bytes` bounds one line and the data of one event.
    explicit sse_parser(std::size_t max_event_bytes = 1U << 20U) : m_max_event_bytes(max_event_bytes) {}

    /// Returns the events that end within `bytes`. Fails with `protocol_error` if an event is too large; the
    /// parser is not usable after that.
    result<std::vector<sse_event>> feed(std::string_view bytes);

private:
    void end_line(std::vector<sse_event>& events);

    std::size_t m_max_event_bytes;
    std::string m_line;
    sse_event m_event;
    bool m_has_data = false;
    bool m_is_after_carriage_return = false;
};

} // namespace lovage
