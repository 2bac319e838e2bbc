#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/prompt_location.h"
#include "lovage/core/target_choice.h"
#include "lovage/core/target_performance.h"
#include "lovage/core/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

/// Load that one process causes at one target.
struct peer_usage {
    std::string target_id;
    /// Requests in flight, and those of them that have not produced their first event yet.
    std::uint32_t in_flight = 0;
    std::uint32_t awaiting_first_event_count = 0;
    /// Standby copies of generations that the process placed at the target.
    std::uint32_t copies = 0;
    /// KV memory that these requests and copies need, in tokens.
    std::uint64_t memory_tokens = 0;
};

/// A failure of a target that a process observed.
struct peer_target_failure {
    std::string service;
    std::string zone;
    std::string target_id;
    target_failure_kind failure_kind = target_failure_kind::request_failed;
    /// Sequence number of the failure among those of the sender, so that receivers apply each one once.
    std::uint64_t number = 0;
};

/// A target that told the sender that it is leaving. A hint: it concerns only the start that it names.
struct peer_leaving_target {
    std::string target_id;
    /// `target_record::started_ms` of the target.
    std::uint64_t started_ms = 0;
};

/// A `prompt_crash` that the sender knows of; `age` is the time since then.
struct peer_prompt_crash {
    std::uint64_t id = 0;
    std::string service;
    std::string target_id;
    std::vector<std::string> parts;
    milliseconds age{0};
};

/// A `part_success` that the sender knows of; `age` is the time since then.
struct peer_part_success {
    std::string part;
    milliseconds age{0};
};

/// A `request_loss` that the sender knows of; `age` is the time since then.
struct peer_request_loss {
    std::uint64_t request = 0;
    std::string target_id;
    std::uint64_t target_started_ms = 0;
    bool is_withdrawn = false;
    milliseconds age{0};
};

/// A `request_success` that the sender knows of; `age` is the time since then.
struct peer_request_success {
    std::uint64_t request = 0;
    milliseconds age{0};
};

/// What the sender has measured at a target of a service lately.
struct peer_performance {
    std::string service;
    performance_statement statement;
};

/// Report that each process sends to the others. Delivery is best effort; correctness doesn't depend on it.
struct peer_report {
    std::string node;
    /// Start of the process in ms since the Unix epoch, and the sequence number of the report since then.
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    /// "ip:port" of the sender.
    std::string address;
    /// The sender has been asked to stop and is shutting down.
    bool is_leaving = false;
    /// Newest revision of the store with a change that the sender has read; 0 for none.
    std::uint64_t newest_change = 0;
    /// Version of the configuration in force; 0 for none.
    std::uint64_t config_version = 0;
    std::vector<peer_usage> usage;
    std::vector<peer_target_failure> target_failures;
    std::vector<peer_leaving_target> leaving_targets;
    /// Cumulative evidence on versions since the sender's start, and the ids of vetoed moves that it knows.
    std::vector<route_evidence> evidence;
    std::vector<std::string> vetoes;
    std::vector<peer_prompt_crash> crashes;
    std::vector<peer_part_success> successes;
    std::vector<peer_request_loss> request_losses;
    std::vector<peer_request_success> request_successes;
    /// Of a process that is about to end: where the prompts of the streams that it still runs were prefilled.
    std::vector<prompt_location> prompt_locations;
    /// Number of locations that could not be read; not sent.
    std::size_t invalid_locations = 0;
    std::vector<peer_performance> performance;
    /// Addresses of other processes from which the sender receives reports.
    std::vector<std::string> peers;
};

} // namespace lovage
