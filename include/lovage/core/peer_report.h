#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/target_choice.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// What a process has at one target.
struct peer_usage {
    std::string target_id;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting_first = 0;
    std::uint32_t copies = 0;
};

/// A target that a process found in trouble.
struct peer_trouble {
    std::string service;
    std::string zone;
    std::string target_id;
    target_trouble trouble = target_trouble::request_failed;
    /// Counts the sender's troubles, so that each is taken once.
    std::uint64_t number = 0;
};

/// What one process tells the others. It is a hint: nothing depends on its arrival.
struct peer_report {
    std::string node;
    /// Start of the process in ms since the Unix epoch, and a count of its reports.
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    /// "ip:port" of the sender.
    std::string address;
    /// The sender was asked to stop.
    bool is_leaving = false;
    std::vector<peer_usage> usage;
    std::vector<peer_trouble> troubles;
    /// What the sender has seen of versions since its start, and the moves that it knows to be vetoed.
    std::vector<route_evidence> evidence;
    std::vector<std::string> vetoes;
    /// Addresses of other processes that the sender hears.
    std::vector<std::string> peers;
};

} // namespace lovage
