#pragma once

#include "lovage/traffic/answer_read_result.h"
#include "lovage/traffic/answer_session.h"

#include <memory>

namespace lovage {

/// One caller's read access to an answer. Counts as a caller of the session until it is destroyed. Not
/// thread-safe.
class subscription {
public:
    /// `deadline` is the caller's deadline; the epoch of the clock means none.
    subscription(std::shared_ptr<answer_session> session, answer_cursor cursor, wall_time deadline);
    ~subscription();
    subscription(subscription&& other) noexcept = default;
    subscription& operator=(subscription&& other) = delete;
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;

    /// Blocks until there is something to read, at most for `wait`.
    answer_read_result read(milliseconds wait);
    const request_id& request() const { return m_session->request(); }
    /// Digest of the request that the session answers.
    std::uint64_t digest() const { return m_session->digest(); }

private:
    std::shared_ptr<answer_session> m_session;
    answer_cursor m_cursor;
};

} // namespace lovage
