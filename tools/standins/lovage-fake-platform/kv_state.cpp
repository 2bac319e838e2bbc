#include "kv_state.h"

namespace lovage::fake_platform {

namespace {

void remove_lease_keys(kv_state& state, lease_id lease) {
    for (auto entry = state.entries.begin(); entry != state.entries.end();) {
        entry = entry->second.lease == lease ? state.entries.erase(entry) : std::next(entry);
    }
}

} // namespace

std::uint64_t revision_of(const kv_state& state, const std::string& key) {
    const auto found = state.entries.find(key);
    return found == state.entries.end() ? 0 : found->second.revision;
}

std::vector<std::pair<std::string, store_value>> list(const kv_state& state, const std::string& prefix,
                                                      std::size_t limit) {
    std::vector<std::pair<std::string, store_value>> items;
    for (auto entry = state.entries.lower_bound(prefix);
         entry != state.entries.end() && entry->first.compare(0, prefix.size(), prefix) == 0 &&
         items.size() < limit;
         ++entry) {
        items.emplace_back(entry->first, store_value{entry->second.value, entry->second.revision});
    }
    return items;
}

result<std::uint64_t> put(kv_state& state, const std::string& key, std::string value, std::uint64_t expected,
                          lease_id lease) {
    if (lease != 0 && state.leases.count(lease) == 0) {
        return fail(error_kind::not_found, "no lease " + std::to_string(lease));
    }
    if (revision_of(state, key) != expected) {
        return fail(error_kind::revision_conflict, "the key has another revision");
    }
    ++state.last_revision;
    state.entries[key] = kv_entry{std::move(value), state.last_revision, lease};
    return state.last_revision;
}

result<void> remove(kv_state& state, const std::string& key, std::uint64_t expected) {
    if (revision_of(state, key) != expected) {
        return fail(error_kind::revision_conflict, "the key has another revision");
    }
    state.entries.erase(key);
    return {};
}

lease_id grant(kv_state& state, milliseconds ttl, time_point now) {
    ++state.last_lease;
    state.leases[state.last_lease] = kv_lease{ttl, now + ttl};
    return state.last_lease;
}

result<void> renew(kv_state& state, lease_id lease, time_point now) {
    const auto found = state.leases.find(lease);
    if (found == state.leases.end()) {
        return fail(error_kind::not_found, "no lease " + std::to_string(lease));
    }
    found->second.expiry = now + found->second.ttl;
    return {};
}

result<void> revoke(kv_state& state, lease_id lease) {
    if (state.leases.erase(lease) == 0) {
        return fail(error_kind::not_found, "no lease " + std::to_string(lease));
    }
    remove_lease_keys(state, lease);
    return {};
}

bool expire_leases(kv_state& state, time_point now) {
    bool has_expired = false;
    for (auto lease = state.leases.begin(); lease != state.leases.end();) {
        if (lease->second.expiry > now) {
            ++lease;
            continue;
        }
        remove_lease_keys(state, lease->first);
        lease = state.leases.erase(lease);
        has_expired = true;
    }
    return has_expired;
}

void restore(kv_state& state, const kv_state& copy, time_point copied_at, time_point now) {
    const auto era = state.era + 1;
    state = copy;
    state.era = era;
    for (auto& [id, lease] : state.leases) {
        lease.expiry += now - copied_at;
    }
}

std::optional<time_point> next_lease_expiry(const kv_state& state) {
    std::optional<time_point> next;
    for (const auto& [id, lease] : state.leases) {
        if (!next || lease.expiry < *next) {
            next = lease.expiry;
        }
    }
    return next;
}

} // namespace lovage::fake_platform
