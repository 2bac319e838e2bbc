#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/ids.h"
#include "lovage/core/messages.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace lovage {

/// The decision on a non-idempotent call that arrives at an agent.
enum class call_admission : std::uint8_t {
    /// First arrival: run the call.
    run,
    /// The call is running: the sender gets the result when it ends.
    wait,
    /// The call has ended: its recorded result is sent again.
    known,
    /// The call is bound to another incarnation of this agent and is refused.
    other_incarnation,
    /// The ledger holds `max_calls` calls, so the call is refused.
    full
};
inline constexpr std::size_t k_call_admission_count = 5;
inline constexpr enum_names<k_call_admission_count> k_call_admission_names{"run", "wait", "known",
                                                                           "other_incarnation", "full"};

struct call_ledger_options {
    std::size_t max_calls = 200'000;
    /// Total size of the recorded results; above this the oldest are replaced by `outcome_unknown`.
    std::size_t max_result_bytes = 64U << 20U;
    /// Retention period of a call from its arrival; at least as long as the lease of its claim.
    milliseconds retention{24 * 3'600 * 1'000};
    /// Most entries that may wait for the result of one call.
    std::size_t max_waiting_entries = 16;
};

/// Records the non-idempotent calls of one agent incarnation by request id, so that each runs at most once. A
/// call that finished with `not_run` set is a tombstone: every later arrival gets the same refusal.
class call_ledger {
public:
    call_ledger(incarnation own, const call_ledger_options& options)
        : m_own_incarnation(own), m_options(options) {}

    struct decision {
        call_admission admission = call_admission::full;
        /// The result to send to the caller; set for every admission except `run` and `wait`.
        call_result_message result;
    };

    /// Decides on a call that arrived from node `from`. After `run` the caller must call `finish` for this
    /// request.
    decision arrive(const call_message& call, const node_id& from, time_point now);
    /// Records the result or the refusal of a running call and returns the nodes that wait for it.
    std::vector<node_id> finish(const call_result_message& result);

    std::size_t size() const { return m_calls.size(); }
    std::size_t result_bytes() const { return m_result_bytes; }

private:
    struct entry {
        time_point arrived{};
        bool is_running = true;
        call_result_message result;
        std::vector<node_id> waiting;
    };

    void expire(time_point now);
    /// Drops the oldest results until the rest fit into `max_result_bytes`.
    void evict_results();

    incarnation m_own_incarnation;
    call_ledger_options m_options;
    std::unordered_map<request_id, entry> m_calls;
    /// Requests in order of arrival.
    std::deque<request_id> m_by_arrival;
    /// Requests with a recorded result, in order of completion.
    std::deque<request_id> m_by_completion;
    std::size_t m_result_bytes = 0;
};

} // namespace lovage
