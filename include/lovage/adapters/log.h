#pragma once

#include "lovage/core/log_level.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// Starts logging to standard output, one JSON object per line, each with the name `process`. A dedicated
/// thread writes the lines, so that a slow reader of standard output blocks no other thread.
void start_log(const std::string& process, log_level min_level);

/// Writes the queued lines and ends the thread; later lines are dropped.
void stop_log();

/// Queues a line; never blocks. If the queue is full, the line is dropped and counted. Thread-safe.
void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields = {});

/// Number of lines that were dropped because the queue was full.
std::uint64_t dropped_log_lines();

} // namespace lovage
