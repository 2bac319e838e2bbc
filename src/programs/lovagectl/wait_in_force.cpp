#include "wait_in_force.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/status_document.h"

#include <algorithm>
#include <future>
#include <map>
#include <thread>

namespace lovage::ctl {

namespace {

constexpr milliseconds k_poll_interval{200};
// Number of processes polled in parallel, so that a few that do not answer do not delay the others.
constexpr std::size_t k_max_parallel_polls = 16;

http_client_request get_request(const std::string& address, const char* path) {
    http_client_request request;
    request.url = "http://" + address + path;
    request.timeout = milliseconds(1'000);
    return request;
}

result<status_document> read_status(const std::string& address) {
    const auto answer = http_send(get_request(address, "/admin/status"));
    if (!answer || answer->status != 200) {
        return fail(error_kind::peer_unreachable, "no status from " + address);
    }
    return decode_status(answer->body);
}

lagging_process poll_process(lagging_process process, config_revision wanted) {
    process_status answer;
    if (const auto status = read_status(process.http_address)) {
        answer.revision = status->revision;
        const auto ready = http_send(get_request(process.http_address, "/readyz"));
        answer.is_ready = ready && ready->status == 200;
    }
    process.progress = progress_of(wanted, answer);
    process.revision = answer.revision.value_or(0);
    return process;
}

// The entries themselves and all members that they list, once for each HTTP address.
result<std::vector<lagging_process>> list_processes(const std::vector<std::string>& entries) {
    std::map<std::string, node_id> nodes;
    bool has_answer = false;
    for (const auto& address : entries) {
        nodes.emplace(address, "");
        const auto status = read_status(address);
        has_answer = has_answer || status.has_value();
        for (const auto& member : status ? status->members : std::vector<status_member>()) {
            if (needs_config(member.state) && !member.http_address.empty()) {
                nodes[member.http_address] = member.node;
            }
        }
    }
    if (!has_answer) {
        return fail(error_kind::peer_unreachable, "no entry gave its list of members");
    }
    std::vector<lagging_process> processes;
    processes.reserve(nodes.size());
    for (const auto& [address, node] : nodes) {
        processes.push_back({node.empty() ? "entry" : node, address});
    }
    return processes;
}

std::vector<lagging_process> poll_all(const std::vector<lagging_process>& processes, config_revision wanted) {
    std::vector<lagging_process> answers;
    answers.reserve(processes.size());
    for (std::size_t first = 0; first < processes.size(); first += k_max_parallel_polls) {
        std::vector<std::future<lagging_process>> pending;
        const std::size_t last = std::min(processes.size(), first + k_max_parallel_polls);
        pending.reserve(last - first);
        for (std::size_t i = first; i < last; ++i) {
            pending.push_back(std::async(std::launch::async, poll_process, processes[i], wanted));
        }
        for (auto& answer : pending) {
            answers.push_back(answer.get());
        }
    }
    return answers;
}

} // namespace

result<wait_report> wait_in_force(const std::vector<std::string>& entries, config_revision revision,
                                  milliseconds limit) {
    const auto deadline = monotonic_now() + limit;
    auto listed = list_processes(entries);
    if (!listed) {
        return tl::unexpected<error>(listed.error());
    }
    wait_report report;
    report.lagging = std::move(*listed);
    while (true) {
        auto answers = poll_all(report.lagging, revision);
        const auto split = std::partition(answers.begin(), answers.end(), [](const lagging_process& process) {
            return process.progress == config_progress::in_force;
        });
        report.in_force += static_cast<std::size_t>(split - answers.begin());
        report.lagging.assign(split, answers.end());
        if (report.lagging.empty() || monotonic_now() + k_poll_interval >= deadline) {
            return report;
        }
        // The processes state their progress only when asked, so this thread has no event to wait for.
        std::this_thread::sleep_for(k_poll_interval);
    }
}

} // namespace lovage::ctl
