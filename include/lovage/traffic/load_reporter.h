#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_port.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace lovage {

struct load_reporter_options {
    milliseconds interval{250};
    /// Minimum time between reports: the larger of `min_interval` and `interval_per_entry` times the
    /// number of connected entries. Faster changes are combined into one report. The time per entry bounds
    /// the bandwidth regardless of the number of entries: a report of about 265 bytes on the wire every 50 ms
    /// is 5.3 KB/s.
    milliseconds min_interval{20};
    milliseconds interval_per_entry{75};
};

/// Sends the agent's load to all connected entries periodically and on change, on its own thread.
class load_reporter {
public:
    /// The reporter sends nothing before `start`.
    static std::unique_ptr<load_reporter> create(const load_reporter_options& options, peer_port peer,
                                                 std::function<load_report_message()> make_report);
    ~load_reporter();
    load_reporter(const load_reporter&) = delete;
    load_reporter& operator=(const load_reporter&) = delete;

    void start();
    /// Joins the thread; afterwards `make_report` is not called any more.
    void stop();
    void add_entry(const node_id& entry);
    void remove_entry(const node_id& entry);
    /// Requests a report because the load has changed.
    void notify();
    std::set<node_id> entries() const;

private:
    load_reporter(const load_reporter_options& options, peer_port peer,
                  std::function<load_report_message()> make_report);
    void run();

    const load_reporter_options m_options;
    const peer_port m_peer;
    const std::function<load_report_message()> m_make_report;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::set<node_id> m_entries;
    bool m_is_changed = false;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace lovage
