#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovage {

/// Unique name of a process, as given in its settings.
using node_id = std::string;

/// Start time of a process in milliseconds since the Unix epoch; distinguishes a restarted node from its
/// predecessor of the same name.
using incarnation = std::uint64_t;

/// Fencing token: the number of the leader's term. Orders with a number below the highest seen are rejected.
using fencing_number = std::uint64_t;

/// Store revision of the configuration; 0 means none.
using config_revision = std::uint64_t;

/// Identifies a caller's request across entries (front-end processes) and retries.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// The id of the request that `organisation` sent with `idempotency_key` (128 bits of XXH3).
    static request_id from_key(std::string_view organisation, std::string_view idempotency_key);
    /// Parses 32 lower-case hexadecimal digits; returns `nullopt` for any other text.
    static std::optional<request_id> parse(std::string_view text);

    std::string to_string() const;

    friend bool operator==(const request_id& a, const request_id& b) {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(const request_id& a, const request_id& b) { return !(a == b); }
    friend bool operator<(const request_id& a, const request_id& b) {
        return a.high != b.high ? a.high < b.high : a.low < b.low;
    }
};

/// Identifies one generated response (answer) to a request. Attempts that resume the same response share the
/// id.
struct answer_id {
    std::uint64_t value = 0;

    /// Parses 16 lower-case hexadecimal digits; returns `nullopt` for any other text.
    static std::optional<answer_id> parse(std::string_view text);

    std::string to_string() const;

    friend bool operator==(answer_id a, answer_id b) { return a.value == b.value; }
    friend bool operator!=(answer_id a, answer_id b) { return a.value != b.value; }
};

/// Number of an attempt under one answer id, from 1.
using attempt_number = std::uint32_t;

/// Position of a token in its answer, from 0.
using token_index = std::uint32_t;

/// Identifies one attempt: a dispatch of a request to a target.
struct attempt_ref {
    request_id request;
    answer_id answer;
    attempt_number attempt = 0;

    friend bool operator==(const attempt_ref& a, const attempt_ref& b) {
        return a.request == b.request && a.answer == b.answer && a.attempt == b.attempt;
    }
    friend bool operator!=(const attempt_ref& a, const attempt_ref& b) { return !(a == b); }
};

/// 64 bits of XXH3 of `bytes`.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace lovage

template <>
struct std::hash<lovage::request_id> {
    std::size_t operator()(const lovage::request_id& id) const noexcept { return id.high ^ id.low; }
};
