#include "standins/answer_check.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace lovage::standins {

namespace {

constexpr const char* k_prompt = "hello";
constexpr std::uint64_t k_seed = 7;
constexpr std::uint32_t k_tokens = 3;

void receive(answer_check& check, token_index index, const char* version = "v1", const std::string& id = "") {
    on_token(check, index, fake_token(version, k_prompt, k_seed, index), id);
}

void finish(answer_check& check, token_index total = k_tokens, std::string_view reason = "length") {
    on_done(check, total, reason);
}

using step = std::function<void(answer_check&)>;

step answer(const char* id, const char* version, token_index from) {
    return [=](answer_check& check) { on_answer(check, id, version, from); };
}
step restart(const char* id) {
    return [=](answer_check& check) { on_restart(check, id); };
}
step tokens(token_index first, token_index end, const char* version = "v1") {
    return [=](answer_check& check) {
        for (token_index i = first; i < end; ++i) {
            receive(check, i, version);
        }
    };
}
step token_with_id(token_index index, const char* id) {
    return [=](answer_check& check) { receive(check, index, "v1", id); };
}
step done(token_index total = k_tokens, const char* reason = "length") {
    return [=](answer_check& check) { finish(check, total, reason); };
}

struct check_case {
    const char* name;
    std::vector<step> steps;
    std::vector<violation> violations;
};

} // namespace

// Guards against a checker that accepts an answer with missing, repeated or mixed tokens, and against one
// that reports violations of a correct answer.
TEST_CASE("the checker finds what is wrong with an answer") {
    const auto test = GENERATE(from_range(std::vector<check_case>{
        {"whole answer", {answer("a", "v1", 0), tokens(0, 3), done()}, {}},
        {"resumed after a reconnection",
         {answer("a", "v1", 0), tokens(0, 2), answer("a", "v1", 2), tokens(2, 3), done()},
         {}},
        {"restarted, restart first",
         {answer("a", "v1", 0), tokens(0, 2), restart("b"), answer("b", "v2", 0), tokens(0, 3, "v2"), done()},
         {}},
        {"restarted, answer first",
         {answer("a", "v1", 0), tokens(0, 2), answer("b", "v2", 0), restart("b"), answer("b", "v2", 0),
          tokens(0, 3, "v2"), done()},
         {}},
        {"other answer before any token",
         {answer("a", "v1", 0), answer("b", "v2", 0), tokens(0, 3, "v2"), done()},
         {}},
        {"token left out", {answer("a", "v1", 0), tokens(0, 1), tokens(2, 3), done()}, {violation::missing}},
        {"token repeated", {answer("a", "v1", 0), tokens(0, 2), tokens(1, 3), done()}, {violation::repeated}},
        {"resumed too early",
         {answer("a", "v1", 0), tokens(0, 2), answer("a", "v1", 1), tokens(1, 3), done()},
         {violation::repeated, violation::repeated}},
        {"resumed too late",
         {answer("a", "v1", 0), tokens(0, 1), answer("a", "v1", 2), tokens(2, 3), done()},
         {violation::missing, violation::missing}},
        {"other answer without a restart",
         {answer("a", "v1", 0), tokens(0, 2), answer("b", "v2", 2), tokens(2, 3, "v2"), done()},
         {violation::mixed}},
        {"version changed under one answer",
         {answer("a", "v1", 0), tokens(0, 2), answer("a", "v2", 2), tokens(2, 3, "v2"), done()},
         {violation::mixed}},
        {"text of another version",
         {answer("a", "v1", 0), tokens(0, 2), tokens(2, 3, "v2"), done()},
         {violation::wrong_text}},
        {"ended too early", {answer("a", "v1", 0), tokens(0, 2), done(2)}, {violation::wrong_end}},
        {"wrong reason", {answer("a", "v1", 0), tokens(0, 3), done(3, "stop")}, {violation::wrong_end}},
        {"right event id", {answer("a", "v1", 0), token_with_id(0, "a:1"), tokens(1, 3), done()}, {}},
        {"wrong event id",
         {answer("a", "v1", 0), token_with_id(0, "a:0"), tokens(1, 3), done()},
         {violation::wrong_id}},
    }));
    CAPTURE(test.name);
    answer_check check;
    check.prompt = k_prompt;
    check.seed = k_seed;
    check.max_tokens = k_tokens;
    for (const auto& step : test.steps) {
        step(check);
    }
    std::array<std::uint32_t, k_violation_count> expected{};
    for (const auto kind : test.violations) {
        ++expected.at(static_cast<std::size_t>(kind));
    }
    CHECK(check.violations == expected);
    CHECK(has_violations(check) == !test.violations.empty());
    CHECK(check.is_done);
}

} // namespace lovage::standins
