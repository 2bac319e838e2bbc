#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace lovage {

/// Splits a stream of server-sent events into complete events. An incomplete event is buffered until its end
/// arrives, so that an event truncated by the loss of its target is never forwarded.
struct event_splitter {
    /// The incomplete event at the end of the bytes received so far.
    std::string partial;
    /// The first bytes of `partial` that are known to hold no end of an event.
    std::size_t searched = 0;
};

/// Largest event that is accepted, in bytes. Events of generations hold a few tokens each; a target that
/// sends more without an end of event is faulty.
inline constexpr std::size_t k_max_event_bytes = 262'144;

/// One complete event with its terminating blank line. The views are valid only during the callback of
/// `split_events`.
struct stream_event {
    std::string_view text;
    /// The value of its `id` field; empty if it has none.
    std::string_view id;
    /// Whether it has only comment lines, which targets send to keep a connection alive.
    bool is_comment = false;
};

/// Appends `bytes` and calls `on_event` for each event that is now complete, in order. Returns false if the
/// incomplete event exceeds `k_max_event_bytes`; the stream must then be abandoned.
bool split_events(event_splitter& splitter, std::string_view bytes,
                  const std::function<void(const stream_event&)>& on_event);

} // namespace lovage
