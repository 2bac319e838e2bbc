#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/prompt_part.h"

#include <string>
#include <vector>

namespace lovage {

struct gateway_traffic;

/// Returns the ids of the parts of a prompt that other requests may share: all but the last one.
std::vector<std::string> shared_parts(const std::vector<prompt_part>& prompt);

/// Records that a target was lost while it began to generate from a prompt with these parts, and reports it
/// to the peers.
void report_prompt_crash(gateway_traffic& traffic, const std::string& service, const std::string& target_id,
                         std::vector<std::string> parts);

/// Records that a generation from these parts has succeeded.
void report_prompt_success(gateway_traffic& traffic, const std::vector<std::string>& parts);

/// Adds the known crashes and successes to a report.
void add_prompt_crashes(gateway_traffic& traffic, peer_report& report);

/// Applies the crashes and successes that a peer has reported.
void apply_prompt_crashes(gateway_traffic& traffic, const peer_report& report);

} // namespace lovage
