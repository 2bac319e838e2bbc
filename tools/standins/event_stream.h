#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lovage::standins {

/// One server-sent event. Fields that were not sent are empty.
struct stream_event {
    std::string type;
    std::string data;
    std::string id;
};

/// Incremental parser that splits a `text/event-stream` body into events. Comment lines are skipped.
struct event_stream {
    std::string buffer;
    /// Number of bytes of `buffer` that have been parsed.
    std::size_t read = 0;
    /// The event whose lines are being parsed.
    stream_event event;
};

/// Adds received bytes, in pieces of any size.
inline void append(event_stream& stream, std::string_view bytes) {
    // Parsed bytes are erased only here, so that `next_event` does not move the remaining bytes.
    stream.buffer.erase(0, std::exchange(stream.read, 0));
    stream.buffer.append(bytes);
}

/// Returns the next complete event, or nothing if more bytes are needed.
inline std::optional<stream_event> next_event(event_stream& stream) {
    while (true) {
        const auto end = stream.buffer.find('\n', stream.read);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string_view line(stream.buffer.data() + stream.read, end - stream.read);
        stream.read = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            const bool has_event = !stream.event.type.empty() || !stream.event.data.empty();
            stream_event complete = std::exchange(stream.event, {});
            if (has_event) {
                return complete;
            }
            continue;
        }
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
        if (!value.empty() && value.front() == ' ') {
            value.remove_prefix(1);
        }
        if (name == "event") {
            stream.event.type = value;
        } else if (name == "id") {
            stream.event.id = value;
        } else if (name == "data") {
            // Several data lines form one text, joined by newlines.
            stream.event.data += (stream.event.data.empty() ? "" : "\n") + std::string(value);
        }
    }
}

} // namespace lovage::standins
