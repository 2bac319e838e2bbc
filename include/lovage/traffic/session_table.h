#pragma once

#include "lovage/core/result.h"
#include "lovage/traffic/answer_session.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lovage {

struct session_table_options {
    /// How long a finished answer remains available.
    milliseconds retention{120'000};
    /// Maximum text of finished answers in bytes; the oldest are dropped first. Live answers do not count.
    std::size_t max_finished_bytes = 64U << 20U;
    /// How long the ids of dispatched requests are kept after their sessions have ended; 16 bytes each plus
    /// overhead.
    milliseconds dispatched_id_retention{600'000};
};

/// The sessions of an entry by request id. Thread-safe.
class session_table {
public:
    explicit session_table(session_table_options options);

    using session_factory = std::function<std::shared_ptr<answer_session>()>;
    struct found_session {
        std::shared_ptr<answer_session> session;
        bool created = false;
    };

    /// Returns the session of a request, and creates it with `make` if there is none. Fails with
    /// `idempotency_conflict` if there is one with a different digest; digest 0 matches any.
    result<found_session> find_or_create(const request_id& request, std::uint64_t digest,
                                         const session_factory& make);
    std::shared_ptr<answer_session> find(const request_id& request) const;

    /// Retains a finished answer, or drops a failed session. Called by sessions.
    void on_ended(const request_id& request, bool finished, std::size_t bytes, time_point now);
    /// Records for at least `dispatched_id_retention` that an attempt of the request may have run.
    void record_dispatched(const request_id& request, time_point now);
    bool was_dispatched(const request_id& request) const;
    /// Drops finished answers that exceed the retention time or the memory limit.
    void expire(time_point now);

    /// Number of sessions that are neither finished nor failed.
    std::size_t live() const { return m_live.load(); }
    std::size_t finished_bytes() const;
    std::vector<std::shared_ptr<answer_session>> all() const;
    /// Drops all sessions. Must be called at shutdown: sessions refer to the table through their context, so
    /// the cycle would never be freed.
    void clear();

private:
    static constexpr std::size_t k_shards = 16;
    struct table_shard {
        mutable std::mutex mutex;
        std::unordered_map<request_id, std::shared_ptr<answer_session>> sessions;
    };
    struct finished_answer {
        request_id request;
        std::size_t bytes = 0;
        time_point at{};
    };

    table_shard& shard_of(const request_id& request) const;
    void forget(const request_id& request);
    std::vector<request_id> take_expired(time_point now);

    const session_table_options m_options;
    mutable std::array<table_shard, k_shards> m_shards;
    std::atomic<std::size_t> m_live{0};
    mutable std::mutex m_finished_mutex;
    std::deque<finished_answer> m_finished;
    std::size_t m_finished_bytes = 0;
    // Two generations of ids; the older one is dropped when the newer one is old enough.
    mutable std::mutex m_dispatched_mutex;
    std::unordered_set<request_id> m_dispatched;
    std::unordered_set<request_id> m_dispatched_previous;
    time_point m_dispatched_since{};
};

} // namespace lovage
