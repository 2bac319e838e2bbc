#pragma once

#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/engine_port.h"
#include "lovage/ports/peer_port.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

enum class session_phase : std::uint8_t { queued, running, ended, released };
inline constexpr std::size_t k_session_phase_count = 4;
inline constexpr enum_names<k_session_phase_count> k_session_phase_names{"queued", "running", "ended",
                                                                         "released"};

/// Interfaces that a generation uses.
struct session_ports {
    engine_port engine;
    peer_port peer;
    /// Schedules a call of `flush` after the batching delay.
    std::function<void(const std::shared_ptr<class generation_session>&)> request_flush;
    /// Called on the generation's thread when the engine has returned.
    std::function<void(const std::shared_ptr<class generation_session>&)> on_ended;
    std::function<void(const std::string& name, double by)> count;
    /// Number of tokens of all generations, shared by them.
    std::shared_ptr<std::atomic<std::uint64_t>> tokens;
};

/// One attempt that this agent runs: its token log, its home entry (the entry that owns the request) and what
/// has been sent there. Thread-safe. Its thread keeps a running session alive.
class generation_session : public std::enable_shared_from_this<generation_session> {
public:
    /// `region` is the region of the home entry; a new home is chosen from the same region.
    static std::shared_ptr<generation_session> create(node_id home, std::string region,
                                                      generate_message message, session_ports ports);

    const attempt_ref& ref() const { return m_ref; }
    const generation_spec& spec() const { return m_spec; }
    const std::string& region() const { return m_region; }
    /// Whether the attempt resumes an earlier one; resumes take priority over new work.
    bool is_resume() const { return m_accepted > 0 || m_ref.attempt > 1; }

    /// Starts the thread that runs the generation. Returns false if the session is not queued or no thread
    /// could be created.
    bool start();
    /// Stops the generation; nothing is sent from now on.
    void cancel();
    /// Ends a queued session with an error, which tells the home entry that the attempt was not run.
    void refuse(error reason);
    /// Sends unsent tokens and the unsent end of the generation to the home entry. What the connection
    /// refuses is kept for the next call.
    void flush();

    session_phase phase() const;
    /// Returns the home entry, or `nullopt` while its connection is lost.
    std::optional<node_id> home() const;
    token_index next() const;
    /// Returns when the connection to the home entry was lost, or `nullopt` while it is up.
    std::optional<time_point> home_lost_at() const;
    /// Whether nothing remains to be sent: the end was sent, or never will be.
    bool is_settled() const;
    std::optional<time_point> ended_at() const;

    /// Handles the loss of the connection to `node`. Returns whether it was the home entry.
    bool mark_home_lost(const node_id& node, time_point now);
    /// Offers the generation to a new home entry, unless the last offer to it is more recent than
    /// `retry_after`.
    void offer(const node_id& node, time_point now, milliseconds retry_after);
    /// Makes `node` the home entry after it has accepted the offer. Returns false if no offer to it is open.
    bool accept_home(const node_id& node);

private:
    generation_session(node_id home, std::string region, generate_message message, session_ports ports);
    void run();
    bool add_token(const token& text);
    void end(result<engine_finish> outcome);
    void flush_locked();

    struct adoption_offer {
        node_id node;
        time_point at{};
        /// Number of tokens in the first offer to this entry.
        std::size_t tokens = 0;
    };

    const attempt_ref m_ref;
    const generation_spec m_spec;
    const std::string m_region;
    const std::size_t m_accepted;
    const session_ports m_ports;

    std::atomic<bool> m_is_cancelled{false};
    mutable std::mutex m_mutex;
    session_phase m_phase = session_phase::queued;
    node_id m_home;
    std::optional<time_point> m_home_lost_at;
    std::vector<token> m_tokens;
    std::size_t m_sent = 0;
    time_point m_last_flush{};
    bool m_is_flush_requested = false;
    std::optional<result<engine_finish>> m_outcome;
    bool m_is_not_run = false;
    bool m_is_end_sent = false;
    std::optional<time_point> m_ended_at;
    std::optional<adoption_offer> m_offer;
};

} // namespace lovage
