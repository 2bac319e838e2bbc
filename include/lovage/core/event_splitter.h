#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lovage {

/// Splits a stream of server-sent events into complete events. An incomplete event is buffered until its end
/// arrives, so that an event truncated by the loss of its target is never forwarded.
struct event_splitter {
    /// The incomplete event at the end of the bytes received so far.
    std::string partial;
};

/// One complete event with its terminating blank line. The views are valid only during the callback of
/// `split_events`.
struct stream_event {
    std::string_view text;
    /// The value of its `id` field; empty if it has none.
    std::string_view id;
};

/// Appends `bytes` and calls `on_event` for each event that is now complete, in order.
void split_events(event_splitter& splitter, std::string_view bytes,
                  const std::function<void(const stream_event&)>& on_event);

} // namespace lovage
