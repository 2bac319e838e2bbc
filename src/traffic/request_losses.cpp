#include "lovage/traffic/request_losses.h"

#include "lovage/core/rendezvous.h"
#include "lovage/traffic/gateway_traffic.h"

#include <algorithm>

namespace lovage {

namespace {

// Limits on the items in a report, which must fit into one datagram.
constexpr std::size_t k_max_reported_losses = 12;
constexpr std::size_t k_max_reported_successes = 12;

milliseconds age_of(const gateway_traffic& traffic, time_point at) {
    return std::chrono::duration_cast<milliseconds>(traffic.timers.now() - at);
}

std::size_t count_live_targets(const gateway_traffic& traffic, const std::string& service) {
    const auto& targets = targets_of(traffic, service);
    const auto now = traffic.timers.now();
    return static_cast<std::size_t>(
        std::count_if(targets.begin(), targets.end(), [&](const target_record& target) {
            return !was_lost_lately(traffic.lost_requests, target.id, target.started_ms, now);
        }));
}

// Whether this process has the highest rank for the request among those that serve.
bool is_first_to_retry(const gateway_traffic& traffic, request_fingerprint request) {
    const auto own = rendezvous_rank(traffic.peers.node, request);
    const auto reports = live_reports(traffic);
    return std::none_of(reports.begin(), reports.end(), [&](const peer_report* report) {
        return !report->is_leaving && rendezvous_rank(report->node, request) > own;
    });
}

// Records a loss. Returns whether it is new; logs the loss that changes what may be done with the request.
bool add_loss(gateway_traffic& traffic, const std::string& service, request_loss loss,
              const std::string& reported_by) {
    const auto request = loss.request;
    const auto target_id = loss.target_id;
    const auto before = assess_request(traffic.lost_requests, request).verdict;
    if (!record_loss(traffic.lost_requests, std::move(loss), traffic.timers.now())) {
        return false;
    }
    const auto assessment = assess_request(traffic.lost_requests, request);
    if (assessment.verdict <= before) {
        return true;
    }
    const auto verdict = std::string(name_of(k_request_verdict_names, assessment.verdict));
    traffic.sink.count("gateway_request_verdicts", verdict);
    traffic.sink.log(log_level::warning, "request_" + verdict,
                     {{"fingerprint", format_fingerprint(request)},
                      {"service", service},
                      {"target", target_id},
                      {"losses", std::to_string(assessment.losses)},
                      {"reported_by", reported_by}});
    const bool is_quarantined = assessment.verdict == request_verdict::quarantined;
    // The process at which it happened stores the request, so that not all of them write. If each of the
    // losses happened at another one, all of them learn of it from a report; then the first in rank writes.
    const bool is_writer = reported_by == traffic.peers.node || is_first_to_retry(traffic, request);
    if (is_quarantined && is_writer && traffic.on_quarantine) {
        traffic.on_quarantine({service, {}, request});
    }
    return true;
}

} // namespace

run_permission permission_to_run(const gateway_traffic& traffic, const std::string& service,
                                 request_fingerprint request) {
    const auto assessment = assess_request(traffic.lost_requests, request);
    if (assessment.verdict == request_verdict::clear) {
        return {};
    }
    run_circumstances circumstances;
    circumstances.live_targets = count_live_targets(traffic, service);
    circumstances.is_first_to_retry = is_first_to_retry(traffic, request);
    return {assessment.verdict, earliest_run(traffic.lost_requests, request, assessment, circumstances)};
}

void report_request_loss(gateway_traffic& traffic, const std::string& service, const target_record& target,
                         request_fingerprint request) {
    const request_loss loss{request, target.id, target.started_ms, traffic.timers.now(), false};
    if (add_loss(traffic, service, loss, traffic.peers.node)) {
        schedule_report(traffic);
    }
}

void add_request_losses(gateway_traffic& traffic, peer_report& report) {
    for (auto& loss : losses_to_report(traffic.lost_requests, k_max_reported_losses)) {
        report.request_losses.push_back({loss.request, std::move(loss.target_id), loss.target_started_ms,
                                         loss.is_withdrawn, age_of(traffic, loss.at)});
    }
    for (const auto& success : request_successes_to_report(traffic.lost_requests, k_max_reported_successes)) {
        report.request_successes.push_back({success.request, age_of(traffic, success.at)});
    }
}

void apply_request_losses(gateway_traffic& traffic, const peer_report& report) {
    const auto now = traffic.timers.now();
    // First, so that losses which a success has cleared change no verdict.
    for (const auto& success : report.request_successes) {
        record_request_success(traffic.lost_requests, success.request, now - success.age);
    }
    for (const auto& loss : report.request_losses) {
        add_loss(traffic, "",
                 {loss.request, loss.target_id, loss.target_started_ms, now - loss.age, loss.is_withdrawn},
                 report.node);
    }
}

} // namespace lovage
