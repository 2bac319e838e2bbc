#pragma once

#include "lovage/core/claim.h"
#include "lovage/core/ids.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/store_port.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace lovage {

/// Minimum time for which a claim is kept: the validity of an idempotency key.
inline constexpr milliseconds k_claim_validity{24 * 3'600'000};
/// Time for which new claims use the same lease. After it, a new lease is granted instead of renewing the old
/// one, since renewal would keep all claims of an entry as long as the entry runs.
inline constexpr milliseconds k_claim_lease_reuse_period{3'600'000};

/// Encodes a claim as JSON `{agent, incarnation, nonce}`.
std::string encode_claim(const claim_record& record);
/// Decodes what `encode_claim` wrote. Fails with `protocol_error`.
result<claim_record> decode_claim(const std::string& value);

/// Keeps claims on non-idempotent calls in the store, under the keys `claims/<request id>`. Thread-safe; the
/// functions block like those of `store_port`.
class claim_store {
public:
    claim_store(store_port store, std::function<time_point()> now);

    /// Writes the claim if there is none. Fails with `revision_conflict` if there is one, otherwise with
    /// `store_unavailable`; the claim may then have been written.
    result<void> create(const request_id& request, const claim_record& record);
    /// Reads the claim; nullopt if there is none. Fails with `store_unavailable`, or with `protocol_error` if
    /// the value is malformed.
    result<std::optional<claim_record>> read(const request_id& request) const;

private:
    result<lease_id> lease();
    void forget_lease(lease_id lease);

    const store_port m_store;
    const std::function<time_point()> m_now;
    std::mutex m_mutex;
    lease_id m_lease = 0;
    time_point m_granted_at{};
    std::optional<time_point> m_refused_at;
};

} // namespace lovage
