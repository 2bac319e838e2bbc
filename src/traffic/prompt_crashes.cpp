#include "lovage/traffic/prompt_crashes.h"

#include "lovage/traffic/gateway_traffic.h"

namespace lovage {

namespace {

// Limits on the items in a report, which must fit into one datagram.
constexpr std::size_t k_max_reported_crashes = 12;
constexpr std::size_t k_max_reported_successes = 24;

milliseconds age_of(const gateway_traffic& traffic, time_point at) {
    return std::chrono::duration_cast<milliseconds>(traffic.timers.now() - at);
}

std::string join(const std::vector<std::string>& parts) {
    std::string text;
    for (const auto& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

// Records a crash. Returns whether it is new; logs the crash that makes a prompt quarantined.
bool add_crash(gateway_traffic& traffic, prompt_crash crash, const std::string& reported_by) {
    auto& quarantine = traffic.quarantine;
    const auto service = crash.service;
    const auto target_id = crash.target_id;
    const auto parts = crash.parts;
    const bool was_quarantined = !quarantined_parts(quarantine, service, parts).empty();
    if (!record_crash(quarantine, std::move(crash), traffic.timers.now())) {
        return false;
    }
    const auto quarantined = quarantined_parts(quarantine, service, parts);
    if (!was_quarantined && !quarantined.empty()) {
        traffic.sink.count("gateway_prompts_quarantined", service);
        traffic.sink.log(log_level::warning, "prompt_quarantined",
                         {{"service", service},
                          {"parts", join(quarantined)},
                          {"target", target_id},
                          {"reported_by", reported_by},
                          {"crashes", std::to_string(quarantine.crashes.size())}});
        // The process at which it happened stores the parts, so that not all of them write.
        if (traffic.on_quarantine && reported_by == traffic.peers.node) {
            traffic.on_quarantine({service, quarantined});
        }
    }
    return true;
}

} // namespace

std::vector<std::string> shared_parts(const std::vector<prompt_part>& prompt) {
    std::vector<std::string> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        parts.push_back(prompt[i].id);
    }
    return parts;
}

void report_prompt_crash(gateway_traffic& traffic, const std::string& service, const std::string& target_id,
                         std::vector<std::string> parts) {
    const auto now = traffic.timers.now();
    if (add_crash(traffic, {traffic.random(), service, target_id, std::move(parts), now},
                  traffic.peers.node)) {
        schedule_report(traffic);
    }
}

void report_prompt_success(gateway_traffic& traffic, const std::vector<std::string>& parts) {
    record_successes(traffic.quarantine, parts, traffic.timers.now());
}

void add_prompt_crashes(gateway_traffic& traffic, peer_report& report) {
    for (auto& crash : crashes_to_report(traffic.quarantine, k_max_reported_crashes)) {
        report.crashes.push_back({crash.id, std::move(crash.service), std::move(crash.target_id),
                                  std::move(crash.parts), age_of(traffic, crash.at)});
    }
    for (auto& success : successes_to_report(traffic.quarantine, k_max_reported_successes)) {
        report.successes.push_back({std::move(success.part), age_of(traffic, success.at)});
    }
}

void apply_prompt_crashes(gateway_traffic& traffic, const peer_report& report) {
    const auto now = traffic.timers.now();
    for (const auto& crash : report.crashes) {
        add_crash(traffic, {crash.id, crash.service, crash.target_id, crash.parts, now - crash.age},
                  report.node);
    }
    for (const auto& success : report.successes) {
        record_successes(traffic.quarantine, {success.part}, now - success.age);
    }
}

} // namespace lovage
