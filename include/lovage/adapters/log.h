#pragma once

#include "lovage/core/log_level.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovage {

/// Starts logging to standard output, one JSON object a line; `process` is written in each. A thread of its
/// own writes the lines, so that a slow reader delays no other thread.
void start_log(const std::string& process, log_level lowest);

/// Writes what is queued and ends the thread; later lines are dropped.
void stop_log();

/// Adds a line; never blocks. Above the bound of the queue the line is dropped and counted.
void log_event(log_level level, std::string_view event, const std::vector<log_field>& fields = {});

/// Lines that were dropped because the queue was full.
std::uint64_t dropped_log_lines();

} // namespace lovage
