#include "lovage/adapters/config_document.h"
#include "lovage/adapters/config_store.h"
#include "lovage/core/apply_decision.h"
#include "lovage/core/text_diff.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

namespace lovage {

namespace {

using links = std::vector<config_change>;

struct decision_case {
    const char* name;
    config_revision expected;
    swap_outcome answer;
    bool has_lost_reply;
    bool is_readable;
    links read_back;
    apply_outcome outcome;
    config_revision revision;
};

// Guards against a change that is reported as not accepted although it took effect, or as accepted although
// it did not.
TEST_CASE("the outcome of an apply follows from the store's answer and the history read back") {
    const auto test = GENERATE(from_range(std::vector<decision_case>{
        {"written", 5, swap_outcome::written, false, false, {}, apply_outcome::accepted, 9},
        {"written after a lost attempt",
         5,
         swap_outcome::written,
         true,
         false,
         {},
         apply_outcome::accepted,
         9},
        {"conflict at the first attempt",
         5,
         swap_outcome::conflict,
         false,
         false,
         {},
         apply_outcome::conflict,
         0},
        {"conflict with the own lost attempt", 5, swap_outcome::conflict, true, true, links{{9, "own", 5}},
         apply_outcome::accepted, 9},
        {"conflict with another change after a lost attempt", 5, swap_outcome::conflict, true, true,
         links{{9, "other", 5}}, apply_outcome::conflict, 0},
        {"conflict after a lost attempt, store down",
         5,
         swap_outcome::conflict,
         true,
         false,
         {},
         apply_outcome::unknown,
         0},
        {"lost, took effect", 5, swap_outcome::lost, true, true, links{{9, "own", 5}},
         apply_outcome::accepted, 9},
        {"lost, nothing changed", 5, swap_outcome::lost, true, true, links{{5, "old", 3}},
         apply_outcome::not_accepted, 0},
        {"lost, still no configuration", 0, swap_outcome::lost, true, true, links{},
         apply_outcome::not_accepted, 0},
        {"lost, first configuration took effect", 0, swap_outcome::lost, true, true, links{{1, "own", 0}},
         apply_outcome::accepted, 1},
        {"lost, another change took effect", 5, swap_outcome::lost, true, true, links{{8, "other", 5}},
         apply_outcome::conflict, 0},
        {"lost, took effect and was replaced", 5, swap_outcome::lost, true, true,
         links{{12, "other", 9}, {9, "own", 5}}, apply_outcome::accepted, 9},
        {"lost, replaced twice by others", 5, swap_outcome::lost, true, true,
         links{{12, "b", 8}, {8, "a", 5}}, apply_outcome::conflict, 0},
        {"lost, history has a gap", 5, swap_outcome::lost, true, true, links{{12, "b", 8}},
         apply_outcome::unknown, 0},
        {"lost, store down", 5, swap_outcome::lost, true, false, {}, apply_outcome::unknown, 0},
        {"lost, configuration was removed", 5, swap_outcome::lost, true, true, links{},
         apply_outcome::conflict, 0},
    }));
    CAPTURE(test.name);
    apply_observations evidence;
    evidence.answer = test.answer;
    evidence.written = test.answer == swap_outcome::written ? 9 : 0;
    evidence.has_lost_reply = test.has_lost_reply;
    if (test.is_readable) {
        evidence.read_back = test.read_back;
    }
    const auto decision = decide_apply(test.expected, "own", evidence);
    CHECK(decision.outcome == test.outcome);
    CHECK(decision.revision == test.revision);
}

/// What the fake store does with one compare-and-swap call on `config/current`: the reply is lost after or
/// before the write takes effect, or another operator's change is applied after or before it.
enum class swap_fault { none, lost_after_effect, lost_before_effect, replaced_after_effect, other_first };

// An in-memory store whose replies to writes of the configuration follow a script.
struct scripted_store {
    std::map<std::string, store_value> entries;
    std::uint64_t last_revision = 0;
    std::vector<swap_fault> faults;
    std::size_t next_fault = 0;
    bool reads_fail = false;
    bool history_fails = false;

    std::uint64_t revision_of(const std::string& key) const {
        const auto found = entries.find(key);
        return found == entries.end() ? 0 : found->second.revision;
    }

    result<std::uint64_t> write(const std::string& key, const std::string& value, std::uint64_t expected) {
        if (revision_of(key) != expected) {
            return fail(error_kind::revision_conflict, "conflict");
        }
        entries[key] = {value, ++last_revision};
        return last_revision;
    }

    // Applies another operator's change, with the history entries that this writes.
    void apply_other(const std::string& operation) {
        config_document other{operation, "other", "reason", "text of " + operation, 0, {}};
        other.previous = revision_of(k_config_key);
        if (other.previous > 0) {
            (void)write(config_history_key(other.previous), entries[k_config_key].value, 0);
        }
        const std::string json = *encode_config_document(other);
        REQUIRE(write(k_config_key, json, other.previous));
    }

    result<std::uint64_t> swap(const std::string& key, const std::string& value, std::uint64_t expected) {
        if (key != k_config_key) {
            return history_fails ? fail(error_kind::store_unavailable, "down") : write(key, value, expected);
        }
        const auto fault = next_fault < faults.size() ? faults[next_fault++] : swap_fault::none;
        if (fault == swap_fault::lost_before_effect) {
            return fail(error_kind::store_unavailable, "lost");
        }
        if (fault == swap_fault::other_first) {
            apply_other("other");
        }
        const auto written = write(key, value, expected);
        if (fault == swap_fault::replaced_after_effect) {
            apply_other("later");
        }
        const bool is_lost =
            fault == swap_fault::lost_after_effect || fault == swap_fault::replaced_after_effect;
        return is_lost ? fail(error_kind::store_unavailable, "lost") : written;
    }

    store_port port() {
        store_port port;
        port.get = [this](const std::string& key) -> result<std::optional<store_value>> {
            if (reads_fail && next_fault > 0) {
                return fail(error_kind::store_unavailable, "down");
            }
            const auto found = entries.find(key);
            return found == entries.end() ? std::nullopt : std::optional(found->second);
        };
        port.compare_and_swap = [this](const std::string& key, const std::string& value,
                                       std::uint64_t expected,
                                       lease_id /*lease*/) { return swap(key, value, expected); };
        return port;
    }
};

apply_options quick_options() {
    apply_options options;
    options.max_attempts = 3;
    options.sleep = [](milliseconds /*pause*/) {};
    return options;
}

struct race_case {
    const char* name;
    std::vector<swap_fault> faults;
    bool reads_fail;
    apply_outcome outcome;
    /// Operations that took effect, the current one first.
    std::vector<std::string> history;
};

// Guards against a lost reply that makes an operator repeat a change that took effect, or rely on one that
// did not, while other operators apply theirs.
TEST_CASE("the outcome of an apply is known despite lost answers and other operators") {
    using f = swap_fault;
    const auto test = GENERATE(from_range(std::vector<race_case>{
        {"no fault", {}, false, apply_outcome::accepted, {"own", "base"}},
        {"lost after the effect", {f::lost_after_effect}, false, apply_outcome::accepted, {"own", "base"}},
        {"lost before the effect", {f::lost_before_effect}, false, apply_outcome::accepted, {"own", "base"}},
        {"lost before, then after the effect",
         {f::lost_before_effect, f::lost_after_effect},
         false,
         apply_outcome::accepted,
         {"own", "base"}},
        {"never arrives",
         {f::lost_before_effect, f::lost_before_effect, f::lost_before_effect},
         false,
         apply_outcome::not_accepted,
         {"base"}},
        {"another change takes effect first",
         {f::other_first},
         false,
         apply_outcome::conflict,
         {"other", "base"}},
        {"lost, then another change takes effect first",
         {f::lost_before_effect, f::other_first},
         false,
         apply_outcome::conflict,
         {"other", "base"}},
        {"lost and replaced",
         {f::replaced_after_effect},
         false,
         apply_outcome::accepted,
         {"later", "own", "base"}},
        {"store down after the loss",
         {f::lost_after_effect, f::lost_before_effect, f::lost_before_effect},
         true,
         apply_outcome::unknown,
         {"own", "base"}},
    }));
    CAPTURE(test.name);
    scripted_store store;
    store.apply_other("base");
    store.faults = test.faults;
    store.reads_fail = test.reads_fail;
    const auto port = store.port();
    const config_document document{"own", "anna", "reason", "text", store.revision_of(k_config_key), {}};
    const auto report = apply_config(port, document, quick_options());
    REQUIRE(report);
    CHECK(report->outcome == test.outcome);
    CHECK((report->outcome == apply_outcome::conflict) == report->current.has_value());
    store.reads_fail = false;
    const auto history = read_config_history(port, 10);
    REQUIRE(history);
    std::vector<std::string> operations;
    for (const auto& entry : *history) {
        operations.push_back(entry.document.operation_id);
    }
    CHECK(operations == test.history);
    if (report->outcome == apply_outcome::accepted) {
        const auto own = read_config_revision(port, report->revision);
        REQUIRE(own);
        CHECK(own->document.operation_id == "own");
        CHECK(report->has_history);
    }
}

// Guards against a first configuration that replaces one that another operator has just created.
TEST_CASE("a first configuration conflicts with an existing one") {
    scripted_store store;
    const auto port = store.port();
    const config_document document{"own", "anna", "reason", "text", 0, {}};
    CHECK(apply_config(port, document, quick_options())->outcome == apply_outcome::accepted);
    const config_document second{"second", "ben", "reason", "text", 0, {}};
    const auto report = apply_config(port, second, quick_options());
    REQUIRE(report);
    CHECK(report->outcome == apply_outcome::conflict);
    CHECK(report->current->document.operation_id == "own");
}

// Guards against a replaced revision that is missing from the history because the process that wrote it
// stopped before it wrote the history entry.
TEST_CASE("the next apply completes the history") {
    scripted_store store;
    const auto port = store.port();
    store.history_fails = true;
    const config_document first{"first", "anna", "reason", "1", 0, {}};
    const auto report = apply_config(port, first, quick_options());
    REQUIRE(report);
    CHECK(report->outcome == apply_outcome::accepted);
    CHECK_FALSE(report->has_history);
    const config_document second{"second", "ben", "reason", "2", report->revision, {}};
    CHECK_FALSE(apply_config(port, second, quick_options()));
    store.history_fails = false;
    CHECK(apply_config(port, second, quick_options())->outcome == apply_outcome::accepted);
    CHECK(read_config_revision(port, report->revision)->document.operation_id == "first");
}

struct document_case {
    const char* name;
    std::string json;
    bool valid;
};

// Guards against a damaged or oversized document that is accepted as a configuration.
TEST_CASE("invalid and oversized configuration documents are rejected") {
    const std::string rest = R"(,"author":"a","reason":"r","text":"t")";
    const auto test = GENERATE_COPY(from_range(std::vector<document_case>{
        {"four fields", R"({"operation":"o")" + rest + "}", true},
        {"unknown field", R"({"operation":"o","later":[1])" + rest + "}", true},
        {"empty text", R"({"operation":"o","author":"a","reason":"r","text":""})", true},
        {"no operation", R"({"author":"a","reason":"r","text":"t"})", false},
        {"empty operation", R"({"operation":"")" + rest + "}", false},
        {"operation too long", R"({"operation":")" + std::string(65, 'x') + "\"" + rest + "}", false},
        {"text of another type", R"({"operation":"o","author":"a","reason":"r","text":1})", false},
        {"previous negative", R"({"operation":"o","previous":-1)" + rest + "}", false},
        {"time of another type", R"({"operation":"o","applied_ms":"now")" + rest + "}", false},
        {"list", "[]", false},
        {"cut short", R"({"operation":"o")", false},
        {"deep nesting", std::string(200'000, '['), false},
        {"too long",
         R"({"operation":"o","author":"a","reason":"r","text":")" + std::string(1'000'000, 'x') + "\"}",
         false},
    }));
    CAPTURE(test.name);
    CHECK(decode_config_document(test.json).has_value() == test.valid);
}

// Guards against fields that are lost or changed by encoding and decoding.
TEST_CASE("configuration documents survive a round trip of encoding") {
    const config_document document{"op-1",
                                   "anna",
                                   "more \"capacity\"\n",
                                   "name = \"\xc3\xa9\"\n\t",
                                   17,
                                   wall_time(milliseconds(1'796'378'400'123))};
    const auto decoded = decode_config_document(*encode_config_document(document));
    REQUIRE(decoded);
    CHECK(decoded->operation_id == document.operation_id);
    CHECK(decoded->author == document.author);
    CHECK(decoded->reason == document.reason);
    CHECK(decoded->text == document.text);
    CHECK(decoded->previous == document.previous);
    CHECK(decoded->applied == document.applied);
    CHECK(encode_config_document({"o", "a", "r", "\xff", 0, {}}).error().kind == error_kind::invalid_request);
    CHECK(encode_config_document({"o", "", "r", "t", 0, {}}).error().kind == error_kind::invalid_request);
    CHECK(encode_config_document({"o", "a", "r", std::string(999'990, 'x'), 0, {}}).error().kind ==
          error_kind::request_too_large);
}

struct diff_case {
    const char* name;
    const char* before;
    const char* after;
    const char* expected;
};

// Guards against a diff that hides or misplaces a change of another operator.
TEST_CASE("text diffs show removed and added lines in place") {
    const auto test = GENERATE(from_range(std::vector<diff_case>{
        {"equal", "a\nb\n", "a\nb\n", ""},
        {"changed", "a\nb\nc\n", "a\nx\nc\n", "@@ line 1 @@\n a\n-b\n+x\n c\n"},
        {"added at the end", "a\n", "a\nb\n", "@@ line 1 @@\n a\n+b\n"},
        {"removed at the start", "a\nb\n", "b\n", "@@ line 1 @@\n-a\n b\n"},
        {"from empty", "", "a\n", "@@ line 1 @@\n+a\n"},
        {"to empty", "a\n", "", "@@ line 1 @@\n-a\n"},
        {"two places", "1\n2\n3\n4\n5\n6\n7\n8\n", "x\n2\n3\n4\n5\n6\n7\ny\n",
         "@@ line 1 @@\n-1\n+x\n 2\n 3\n@@ line 6 @@\n 6\n 7\n-8\n+y\n"},
    }));
    CAPTURE(test.name);
    CHECK(text_diff(test.before, test.after) == test.expected);
}

// Guards against a diff that loses lines: applying it to the first text must give the second.
TEST_CASE("text diffs of random texts are complete") {
    std::mt19937_64 random(7);
    for (int round = 0; round < 300; ++round) {
        std::string before;
        std::string after;
        for (std::size_t i = random() % 30; i > 0; --i) {
            before += std::string(1, static_cast<char>('a' + random() % 4)) + "\n";
        }
        for (std::size_t i = random() % 30; i > 0; --i) {
            after += std::string(1, static_cast<char>('a' + random() % 4)) + "\n";
        }
        const std::string diff = text_diff(before, after, 1'000);
        std::string old_text;
        std::string new_text;
        for (std::size_t at = diff.find('\n') + 1; !diff.empty() && at < diff.size();) {
            const auto end = diff.find('\n', at);
            const std::string line = diff.substr(at + 1, end - at);
            old_text += diff[at] != '+' ? line : "";
            new_text += diff[at] != '-' ? line : "";
            at = end + 1;
        }
        if (before != after) {
            CAPTURE(round, before, after, diff);
            REQUIRE(old_text == before);
            REQUIRE(new_text == after);
        }
    }
}

} // namespace

} // namespace lovage
