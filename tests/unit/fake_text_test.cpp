#include "standins/fake_text.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

namespace lovage::standins {

struct text_case {
    const char* version;
    const char* prompt;
    std::uint64_t seed;
    token_index index;
    const char* text;
};

// Guards against a change of the text function. Engines and checkers of different builds would disagree, and
// an argument that no longer changes the text would hide a mix of the text of two versions.
TEST_CASE("tokens have fixed texts") {
    const auto test = GENERATE(from_range(std::vector<text_case>{
        {"v1", "hello", 1, 0, " f62899e4"},
        {"v1", "hello", 1, 1, " d1b7eff0"},
        {"v2", "hello", 1, 0, " 9f289df2"},
        {"v1", "hello", 2, 0, " f3e0b977"},
        {"v1", "", 0, std::numeric_limits<token_index>::max(), " af1feb62"},
        {"v1", "two\nlines", std::numeric_limits<std::uint64_t>::max(), 7, " 70ff8b51"},
    }));
    CHECK(fake_token(test.version, test.prompt, test.seed, test.index) == test.text);
}

// Guards against a hash that deviates from its specification in docs/design.md.
TEST_CASE("a token is the low half of the hash of version, prompt, seed and index") {
    const auto hash = static_cast<std::uint32_t>(hash_bytes("v1\nhello\n1\n0"));
    CHECK(std::stoul(fake_token("v1", "hello", 1, 0), nullptr, 16) == hash);
}

struct end_case {
    const char* prompt;
    std::uint32_t max_tokens;
    token_index total;
    finish_reason reason;
};

// Guards against a wrong expected length, with which a checker would accept an answer that ended too early.
TEST_CASE("answers end at max_tokens, or earlier if the prompt starts with [stop]") {
    const auto test = GENERATE(from_range(std::vector<end_case>{
        {"hello", 100, 100, finish_reason::length},
        {"hello", 0, 0, finish_reason::length},
        {" [stop]", 100, 100, finish_reason::length},
        {"[stop] a", 100, 39, finish_reason::stop},
        {"[stop] b", 100, 74, finish_reason::stop},
        {"[stop] a", 1, 1, finish_reason::length},
        {"[stop] a", 0, 0, finish_reason::length},
    }));
    const fake_completion end = fake_text_completion("v1", test.prompt, 1, test.max_tokens);
    CHECK(end.total == test.total);
    CHECK(end.reason == test.reason);
}

} // namespace lovage::standins
