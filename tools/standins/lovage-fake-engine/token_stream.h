#pragma once

#include "lovage/core/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace lovage::standins {

/// Output of one generation as server-sent events. Thread-safe: the step loop writes it and a connection's
/// thread reads it.
class token_stream {
public:
    explicit token_stream(milliseconds ping_interval) : m_ping_interval(ping_interval) {}

    /// Appends an encoded event. After the first one no ping events are sent.
    void push(const std::string& event);
    /// Ends the stream once the events added so far have been read.
    void close();
    /// Stops ping events while the stream stays open, so that the reader receives nothing until `close`.
    void stall();

    /// Blocks until there are events and returns them. Before the first event it returns a ping event after
    /// each ping interval; at the end of the stream it returns nothing.
    std::optional<std::string> next();

private:
    const milliseconds m_ping_interval;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_pending;
    bool m_has_output = false;
    bool m_stalled = false;
    bool m_closed = false;
};

} // namespace lovage::standins
