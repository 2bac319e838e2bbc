#pragma once

#include "lovage/core/claim.h"
#include "lovage/core/ids.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/store_port.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
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

/// Interval at which an entry looks for a restoration of the store. 340 entries then make 68 reads a second.
inline constexpr milliseconds k_era_check_interval{5'000};

struct claim_store_ports {
    store_port store;
    std::function<time_point()> now;
    std::function<wall_time()> wall;
    /// When an entry last failed without announcing a shutdown; may be empty.
    std::function<std::optional<time_point>()> entry_failed_at;
};

/// Keeps claims on non-idempotent calls in the store, under the keys `claims/<request id>`. A store that was
/// restored from a copy may have lost claims: those that this process knows are written again, and meanwhile
/// only calls that are certainly new get one. Thread-safe; the functions block like those of `store_port`.
class claim_store {
public:
    explicit claim_store(claim_store_ports ports);

    /// Writes the claim if there is none. `is_fresh_id`: no earlier call can have the id. Fails with
    /// `revision_conflict` if there is a claim, with `outcome_unknown` if one may have been lost, otherwise
    /// with `store_unavailable`; the claim may then have been written.
    result<void> create(const request_id& request, const claim_record& record, bool is_fresh_id = false);
    /// Looks for a restoration of the store and writes lost claims again. Blocks for one call, or as long as
    /// the writes take.
    void check_era();
    /// Reads the claim; nullopt if there is none. Fails with `store_unavailable`, or with `protocol_error` if
    /// the value is malformed.
    result<std::optional<claim_record>> read(const request_id& request);

private:
    struct remembered_claim {
        request_id request;
        claim_record record;
        time_point at{};
    };

    result<lease_id> lease();
    void forget_lease(lease_id lease);
    result<void> write(const request_id& request, const claim_record& record,
                       const std::function<bool()>& may_write);
    void remember(const request_id& request, const claim_record& record);
    std::optional<claim_record> remembered(const request_id& request);
    bool observe_era();
    bool may_create();
    void write_again();
    void date_era();

    const claim_store_ports m_ports;
    /// Guards the claims that are remembered and the era.
    std::mutex m_memory_mutex;
    std::deque<remembered_claim> m_remembered;
    std::map<request_id, claim_record> m_by_request;
    std::uint64_t m_era = 0;
    std::optional<time_point> m_restored_at;
    bool m_must_write_again = false;
    /// Whether the store says when the present era began.
    bool m_is_era_dated = false;
    std::mutex m_mutex;
    lease_id m_lease = 0;
    time_point m_granted_at{};
    std::optional<time_point> m_refused_at;
};

} // namespace lovage
