#pragma once

#include "lovage/core/generation.h"
#include "lovage/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovage::standins {

/// Answers to prompts with this prefix may end before `max_tokens`; see `fake_text_completion`.
inline constexpr std::string_view k_early_stop_prefix = "[stop]";

/// Returns the hash from which token `index` of an answer is derived. The same arguments give the same hash
/// in every process, so a checker can verify the output of an engine.
inline std::uint64_t fake_token_hash(std::string_view version, std::string_view prompt, std::uint64_t seed,
                                     token_index index) {
    std::string input;
    input.reserve(version.size() + prompt.size() + 40);
    input.append(version).push_back('\n');
    input.append(prompt).push_back('\n');
    input.append(std::to_string(seed)).push_back('\n');
    input.append(std::to_string(index));
    return hash_bytes(input);
}

/// Returns token `index` of the answer of model version `version` to `prompt`: a space and eight lower-case
/// hexadecimal digits.
inline token fake_token(std::string_view version, std::string_view prompt, std::uint64_t seed,
                        token_index index) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = fake_token_hash(version, prompt, seed, index);
    token text(9, ' ');
    for (std::size_t position = 8; position > 0; --position) {
        text[position] = digits[hash & 0xFU];
        hash >>= 4U;
    }
    return text;
}

/// Number of tokens and finish reason of a complete answer.
struct fake_completion {
    token_index total = 0;
    finish_reason reason = finish_reason::length;
};

/// Returns the length and finish reason of the answer of `version` to `prompt`. Answers have `max_tokens`
/// tokens; those to prompts that start with `[stop]` have 1 to `max_tokens`, chosen by the high 32 bits of
/// the hash of token 0.
inline fake_completion fake_text_completion(std::string_view version, std::string_view prompt,
                                            std::uint64_t seed, std::uint32_t max_tokens) {
    if (max_tokens == 0 || prompt.substr(0, k_early_stop_prefix.size()) != k_early_stop_prefix) {
        return {max_tokens, finish_reason::length};
    }
    const auto high = static_cast<std::uint32_t>(fake_token_hash(version, prompt, seed, 0) >> 32U);
    const token_index total = 1 + high % max_tokens;
    return {total, total < max_tokens ? finish_reason::stop : finish_reason::length};
}

} // namespace lovage::standins
