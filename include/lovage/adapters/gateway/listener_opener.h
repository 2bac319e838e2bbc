#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lovage {

/// Opens listeners. One that fails is opened again until it succeeds: a process that ended because another
/// one has its port for a moment could serve nothing, on any of its ports. All functions must be called on
/// the io_context's thread.
class listener_opener {
public:
    /// Called after an attempt that failed, with the reason, and after one that succeeds later.
    struct events {
        std::function<void(const std::string& name, const error& reason)> on_failure;
        std::function<void(const std::string& name)> on_late_success;
    };

    listener_opener(boost::asio::io_context& io, milliseconds retry_interval, events on_event);
    ~listener_opener();
    listener_opener(const listener_opener&) = delete;
    listener_opener& operator=(const listener_opener&) = delete;

    /// Calls `open` until it succeeds; the first time, before this function returns.
    void open(std::string name, std::function<result<void>()> open);
    /// Gives up the listeners that are not open.
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
