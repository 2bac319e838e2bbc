#include "lovage/adapters/claim_store.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace lovage {

namespace {

using nlohmann::json;

// A lease that expired, for example while this process was paused, is replaced once.
constexpr int k_max_lease_attempts = 2;
// Keys that hold when an era of the store was first seen, in milliseconds since the Unix epoch.
constexpr std::string_view k_era_prefix = "claims-era/";

std::string claim_key(const request_id& request) {
    return "claims/" + request.to_string();
}

} // namespace

std::string encode_claim(const claim_record& record) {
    const json value = {
        {"agent", record.agent}, {"incarnation", record.incarnation}, {"nonce", record.nonce}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_record> decode_claim(const std::string& value) {
    const json source = json::parse(value, nullptr, false);
    const auto is_number = [&source](const char* name) {
        return source.contains(name) && source[name].is_number_unsigned();
    };
    if (!source.is_object() || !source.contains("agent") || !source["agent"].is_string() ||
        !is_number("incarnation") || !is_number("nonce")) {
        return fail(error_kind::protocol_error, "the value is not a claim");
    }
    return claim_record{source["agent"].get<std::string>(), source["incarnation"].get<incarnation>(),
                        source["nonce"].get<std::uint64_t>()};
}

claim_store::claim_store(claim_store_ports ports) : m_ports(std::move(ports)) {}

result<lease_id> claim_store::lease() {
    const time_point asked_at = m_ports.now();
    const std::lock_guard lock(m_mutex);
    if (m_lease != 0 && m_ports.now() - m_granted_at < k_claim_lease_reuse_period) {
        return m_lease;
    }
    if (m_refused_at && *m_refused_at > asked_at) {
        // The grant failed while this caller waited for the mutex. Trying again would make each such caller
        // wait for another timeout.
        return fail(error_kind::store_unavailable, "the store granted no lease");
    }
    const time_point sent_at = m_ports.now();
    auto granted = m_ports.store.grant_lease(k_claim_validity + k_claim_lease_reuse_period);
    if (!granted) {
        m_refused_at = m_ports.now();
        return fail(error_kind::store_unavailable, granted.error().detail);
    }
    m_lease = *granted;
    m_granted_at = sent_at;
    return m_lease;
}

void claim_store::forget_lease(lease_id lease) {
    const std::lock_guard lock(m_mutex);
    if (m_lease == lease) {
        m_lease = 0;
    }
}

// Records the store's era. Returns whether it was restored since the last call.
bool claim_store::observe_era() {
    const auto era = m_ports.store.era ? m_ports.store.era() : 0;
    const std::lock_guard lock(m_memory_mutex);
    if (era <= m_era) {
        return false;
    }
    m_era = era;
    m_restored_at = m_ports.now();
    m_must_write_again = true;
    m_is_era_dated = false;
    return true;
}

// Notes in the store when this era was first seen. A process that starts later learns from it that the
// restoration is long over.
void claim_store::date_era() {
    std::uint64_t era = 0;
    {
        const std::lock_guard lock(m_memory_mutex);
        if (m_era == 0 || m_is_era_dated) {
            return;
        }
        era = m_era;
    }
    const std::string key = std::string(k_era_prefix) + std::to_string(era);
    const auto wall_ms = m_ports.wall().time_since_epoch().count();
    const auto found = m_ports.store.get(key);
    if (!found) {
        return;
    }
    if (!*found) {
        static_cast<void>(m_ports.store.compare_and_swap(key, std::to_string(wall_ms), 0, 0));
        return;
    }
    std::int64_t seen_ms = wall_ms;
    const std::string& text = (*found)->value;
    const bool is_number = std::from_chars(text.data(), text.data() + text.size(), seen_ms).ec == std::errc();
    const std::lock_guard lock(m_memory_mutex);
    m_is_era_dated = m_era == era;
    if (m_is_era_dated && is_number && wall_ms - seen_ms >= k_claim_memory.count()) {
        m_restored_at.reset();
    }
}

bool claim_store::may_create() {
    observe_era();
    claim_conditions conditions;
    {
        const std::lock_guard lock(m_memory_mutex);
        conditions.restored_at = m_restored_at;
    }
    if (conditions.restored_at && m_ports.entry_failed_at) {
        conditions.entry_failed_at = m_ports.entry_failed_at();
    }
    return may_create_claim(conditions, m_ports.now());
}

void claim_store::remember(const request_id& request, const claim_record& record) {
    const std::lock_guard lock(m_memory_mutex);
    const time_point now = m_ports.now();
    while (!m_remembered.empty() && (m_remembered.size() >= k_max_remembered_claims ||
                                     now - m_remembered.front().at >= k_claim_memory)) {
        m_by_request.erase(m_remembered.front().request);
        m_remembered.pop_front();
    }
    if (m_by_request.emplace(request, record).second) {
        m_remembered.push_back({request, record, now});
    }
}

std::optional<claim_record> claim_store::remembered(const request_id& request) {
    const std::lock_guard lock(m_memory_mutex);
    const auto found = m_by_request.find(request);
    return found == m_by_request.end() ? std::nullopt : std::optional(found->second);
}

result<void> claim_store::write(const request_id& request, const claim_record& record,
                                const std::function<bool()>& may_write) {
    for (int i = 0; i < k_max_lease_attempts; ++i) {
        const auto held = lease();
        if (!held) {
            return tl::unexpected<error>(held.error());
        }
        if (!may_write()) {
            return fail(error_kind::outcome_unknown, "the store was restored and may have lost the claim");
        }
        const auto written =
            m_ports.store.compare_and_swap(claim_key(request), encode_claim(record), 0, *held);
        if (written) {
            return {};
        }
        if (written.error().kind == error_kind::revision_conflict) {
            return tl::unexpected<error>(written.error());
        }
        if (written.error().kind != error_kind::not_found) {
            return fail(error_kind::store_unavailable, written.error().detail);
        }
        forget_lease(*held);
    }
    return fail(error_kind::store_unavailable, "the store does not know its own lease");
}

result<void> claim_store::create(const request_id& request, const claim_record& record, bool is_fresh_id) {
    if (const auto known = remembered(request); known && !(*known == record)) {
        // The call is bound already, whether or not the store still knows. The caller reads the claim.
        const auto written = write(request, *known, [] { return true; });
        const bool is_bound = written || written.error().kind == error_kind::revision_conflict;
        return is_bound ? fail(error_kind::revision_conflict, "the call has a claim") : written;
    }
    const bool is_known = remembered(request).has_value();
    auto written = write(request, record, [&] { return is_fresh_id || is_known || may_create(); });
    if (written) {
        remember(request, record);
    }
    return written;
}

void claim_store::check_era() {
    // The answer to any call tells the era; a failed one is repeated at the next check.
    static_cast<void>(m_ports.store.get("claims/"));
    observe_era();
    date_era();
    write_again();
}

void claim_store::write_again() {
    std::deque<remembered_claim> claims;
    {
        const std::lock_guard lock(m_memory_mutex);
        if (!m_must_write_again) {
            return;
        }
        claims = m_remembered;
        m_must_write_again = false;
    }
    for (const auto& claim : claims) {
        const auto written = write(claim.request, claim.record, [] { return true; });
        if (!written && written.error().kind != error_kind::revision_conflict) {
            const std::lock_guard lock(m_memory_mutex);
            m_must_write_again = true;
            return;
        }
    }
}

result<std::optional<claim_record>> claim_store::read(const request_id& request) {
    const auto found = m_ports.store.get(claim_key(request));
    if (!found) {
        return fail(error_kind::store_unavailable, found.error().detail);
    }
    if (!found->has_value()) {
        return std::optional<claim_record>();
    }
    auto record = decode_claim((*found)->value);
    if (!record) {
        return tl::unexpected<error>(record.error());
    }
    remember(request, *record);
    return std::optional<claim_record>(std::move(*record));
}

} // namespace lovage
