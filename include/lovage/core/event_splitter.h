#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lovage {

/// Cuts a stream of server-sent events into whole events. A part of an event is held back until its end
/// arrives, so that an event which is torn by the loss of its target is never passed on.
struct event_splitter {
    std::string partial;
};

/// One whole event with its closing blank line.
struct stream_event {
    std::string_view text;
    /// The value of its `id` field; empty if it has none.
    std::string_view id;
};

/// Adds bytes and calls `take` for each event that is complete, in order.
void split_events(event_splitter& splitter, std::string_view bytes,
                  const std::function<void(const stream_event&)>& take);

} // namespace lovage
