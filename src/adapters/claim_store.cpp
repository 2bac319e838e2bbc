#include "lovage/adapters/claim_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lovage {

namespace {

using nlohmann::json;

// A lease that expired, for example while this process was paused, is replaced once.
constexpr int k_max_lease_attempts = 2;

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

claim_store::claim_store(store_port store, std::function<time_point()> now)
    : m_store(std::move(store)), m_now(std::move(now)) {}

result<lease_id> claim_store::lease() {
    const time_point asked_at = m_now();
    const std::lock_guard lock(m_mutex);
    if (m_lease != 0 && m_now() - m_granted_at < k_claim_lease_reuse_period) {
        return m_lease;
    }
    if (m_refused_at && *m_refused_at > asked_at) {
        // The grant failed while this caller waited for the mutex. Trying again would make each such caller
        // wait for another timeout.
        return fail(error_kind::store_unavailable, "the store granted no lease");
    }
    const time_point sent_at = m_now();
    auto granted = m_store.grant_lease(k_claim_validity + k_claim_lease_reuse_period);
    if (!granted) {
        m_refused_at = m_now();
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

result<void> claim_store::create(const request_id& request, const claim_record& record) {
    for (int i = 0; i < k_max_lease_attempts; ++i) {
        const auto held = lease();
        if (!held) {
            return tl::unexpected<error>(held.error());
        }
        const auto written = m_store.compare_and_swap(claim_key(request), encode_claim(record), 0, *held);
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

result<std::optional<claim_record>> claim_store::read(const request_id& request) const {
    const auto found = m_store.get(claim_key(request));
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
    return std::optional<claim_record>(std::move(*record));
}

} // namespace lovage
