#include "lovage/core/call_ledger.h"

#include <algorithm>
#include <utility>

namespace lovage {

namespace {

call_result_message failed_result(const request_id& request, error_kind kind, const char* detail) {
    call_result_message result;
    result.request = request;
    result.kind = kind;
    result.detail = detail;
    return result;
}

std::size_t size_in_bytes(const call_result_message& result) {
    return result.body.size() + result.content_type.size() + result.detail.size();
}

} // namespace

call_ledger::decision call_ledger::arrive(const call_message& call, const node_id& from, time_point now) {
    expire(now);
    if (call.bound_incarnation != m_own_incarnation) {
        return {call_admission::other_incarnation,
                failed_result(call.request, error_kind::outcome_unknown,
                              "the call belongs to another incarnation of the target")};
    }
    if (const auto found = m_calls.find(call.request); found != m_calls.end()) {
        entry& known = found->second;
        if (!known.is_running) {
            return {call_admission::known, known.result};
        }
        const bool is_waiting =
            std::find(known.waiting.begin(), known.waiting.end(), from) != known.waiting.end();
        if (!is_waiting && known.waiting.size() < m_options.max_waiting_entries) {
            known.waiting.push_back(from);
        }
        return {call_admission::wait, {}};
    }
    if (m_calls.size() >= m_options.max_calls) {
        // Nothing is recorded, so a later arrival of this call may run; `not_run` therefore stays false.
        return {call_admission::full,
                failed_result(call.request, error_kind::overloaded, "the call ledger is full")};
    }
    entry& added = m_calls[call.request];
    added.arrived = now;
    added.waiting.push_back(from);
    m_by_arrival.push_back(call.request);
    return {call_admission::run, {}};
}

std::vector<node_id> call_ledger::finish(const call_result_message& result) {
    const auto found = m_calls.find(result.request);
    if (found == m_calls.end() || !found->second.is_running) {
        return {};
    }
    entry& finished = found->second;
    finished.is_running = false;
    finished.result = result;
    if (const std::size_t bytes = size_in_bytes(result); bytes > 0) {
        m_result_bytes += bytes;
        m_by_completion.push_back(result.request);
        evict_results();
    }
    return std::exchange(finished.waiting, {});
}

// Calls that are running never expire, since a later arrival would then run again.
void call_ledger::expire(time_point now) {
    while (!m_by_arrival.empty()) {
        const auto found = m_calls.find(m_by_arrival.front());
        if (found->second.is_running || now - found->second.arrived < m_options.retention) {
            return;
        }
        if (const auto recorded =
                std::find(m_by_completion.begin(), m_by_completion.end(), m_by_arrival.front());
            recorded != m_by_completion.end()) {
            m_by_completion.erase(recorded);
            m_result_bytes -= size_in_bytes(found->second.result);
        }
        m_calls.erase(found);
        m_by_arrival.pop_front();
    }
}

void call_ledger::evict_results() {
    while (m_result_bytes > m_options.max_result_bytes && !m_by_completion.empty()) {
        const request_id request = m_by_completion.front();
        m_by_completion.pop_front();
        call_result_message& result = m_calls.at(request).result;
        m_result_bytes -= size_in_bytes(result);
        if (!result.not_run) {
            result = failed_result(request, error_kind::outcome_unknown, "");
        }
        result.detail.clear();
    }
}

} // namespace lovage
