#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/request_quarantine.h"
#include "lovage/core/target_record.h"

#include <string>

namespace lovage {

struct gateway_traffic;

/// Whether a request may be sent to a target of a service now.
struct run_permission {
    request_verdict verdict = request_verdict::clear;
    /// When it may be sent; in the past if it may now.
    time_point earliest{};
};

run_permission permission_to_run(const gateway_traffic& traffic, const std::string& service,
                                 request_fingerprint request);

/// Records that the connection to a target was lost while it ran a request, and reports it to the peers.
void report_request_loss(gateway_traffic& traffic, const std::string& service, const target_record& target,
                         request_fingerprint request);

/// Adds the known losses and successes to a report.
void add_request_losses(gateway_traffic& traffic, peer_report& report);

/// Applies the losses and successes that a peer has reported.
void apply_request_losses(gateway_traffic& traffic, const peer_report& report);

} // namespace lovage
