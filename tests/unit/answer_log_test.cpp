#include "lovage/core/answer_log.h"

#include <catch2/catch.hpp>
#include <vector>

namespace lovage {

namespace {

constexpr request_id k_request{1, 2};
constexpr answer_id k_answer{7};

answer_log make_log(std::vector<token> tokens, attempt_number attempt) {
    return {k_request, k_answer, attempt, std::move(tokens), false, {}};
}

struct tokens_case {
    const char* name;
    answer_id answer;
    attempt_number attempt;
    token_index first;
    std::vector<token> tokens;
    log_outcome outcome;
    std::vector<token> text;
};

// Guards against an answer with tokens that are missing, repeated or from another attempt.
TEST_CASE("an answer log accepts only the next tokens of its attempt") {
    const auto test = GENERATE(from_range(std::vector<tokens_case>{
        {"next tokens", k_answer, 2, 2, {"c", "d"}, log_outcome::accepted, {"a", "b", "c", "d"}},
        {"all known", k_answer, 2, 0, {"a", "b"}, log_outcome::repeated, {"a", "b"}},
        {"partly known", k_answer, 2, 1, {"b", "c"}, log_outcome::accepted, {"a", "b", "c"}},
        {"older than known", k_answer, 2, 0, {"a"}, log_outcome::repeated, {"a", "b"}},
        {"one skipped", k_answer, 2, 3, {"d"}, log_outcome::gap, {"a", "b"}},
        {"none", k_answer, 2, 2, {}, log_outcome::accepted, {"a", "b"}},
        {"skip without tokens", k_answer, 2, 3, {}, log_outcome::gap, {"a", "b"}},
        {"late attempt", k_answer, 1, 2, {"x"}, log_outcome::other_attempt, {"a", "b"}},
        {"future attempt", k_answer, 3, 2, {"x"}, log_outcome::other_attempt, {"a", "b"}},
        {"other answer", answer_id{8}, 2, 2, {"x"}, log_outcome::other_attempt, {"a", "b"}},
    }));
    CAPTURE(test.name);
    auto log = make_log({"a", "b"}, 2);
    CHECK(accept_tokens(log, {k_request, test.answer, test.attempt}, test.first, test.tokens) ==
          test.outcome);
    CHECK(log.tokens == test.text);
}

// Guards against tokens of one request that are added to the answer of another.
TEST_CASE("an answer log accepts no tokens of another request") {
    auto log = make_log({}, 1);
    CHECK(accept_tokens(log, {{1, 3}, k_answer, 1}, 0, {"a"}) == log_outcome::other_attempt);
    CHECK(log.tokens.empty());
}

struct final_case {
    const char* name;
    attempt_number attempt;
    token_index total;
    bool finished_before;
    log_outcome outcome;
    bool finished;
};

// Guards against an answer that counts as complete although tokens are missing.
TEST_CASE("the end-of-answer message must state the number of accepted tokens") {
    const auto test = GENERATE(from_range(std::vector<final_case>{
        {"matching total", 2, 2, false, log_outcome::finished, true},
        {"tokens missing", 2, 3, false, log_outcome::gap, false},
        {"tokens too many", 2, 1, false, log_outcome::gap, false},
        {"late attempt", 1, 2, false, log_outcome::other_attempt, false},
        {"repeated message", 2, 2, true, log_outcome::after_final, true},
    }));
    CAPTURE(test.name);
    auto log = make_log({"a", "b"}, 2);
    log.finished = test.finished_before;
    CHECK(accept_final(log, {k_request, k_answer, test.attempt}, test.total, finish_reason::length) ==
          test.outcome);
    CHECK(log.finished == test.finished);
}

// Guards against tokens that are added to a complete answer.
TEST_CASE("a finished answer accepts no tokens") {
    auto log = make_log({"a"}, 1);
    log.finished = true;
    CHECK(accept_tokens(log, {k_request, k_answer, 1}, 1, {"b"}) == log_outcome::after_final);
    CHECK(log.tokens.size() == 1);
}

struct continues_case {
    std::vector<token> tokens;
    bool expected;
};

// Guards against an answer that is resumed with the text of a different generation.
TEST_CASE("a text continues an answer log only if it begins with all its tokens") {
    const auto test = GENERATE(from_range(std::vector<continues_case>{
        {{"a", "b"}, true}, {{"a", "b", "c"}, true}, {{"a"}, false}, {{"a", "x", "c"}, false}, {{}, false}}));
    CHECK(continues(make_log({"a", "b"}, 1), test.tokens) == test.expected);
}

} // namespace

} // namespace lovage
