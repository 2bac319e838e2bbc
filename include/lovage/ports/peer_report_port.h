#pragma once

#include "lovage/core/peer_report.h"

#include <functional>
#include <string>

namespace lovage {

/// Sends a report to the process at `address` ("ip:port") without blocking; loss is not reported.
struct peer_report_port {
    std::function<void(const std::string& address, const peer_report&)> send;
};

} // namespace lovage
