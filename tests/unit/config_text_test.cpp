#include "lovage/adapters/config_text.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace lovage {

namespace {

// The example in docs/design.md, section 10.6.
const std::string k_example = R"([[zone]]
name = "ub-a"
region = "ub"
[[organisation]]
name = "dealer-1"
share = 4.0
class = "large"
[[model]]
name = "history"
version = "v1"
replicas = 3
[[service]]
name = "history-summaries"
kind = "generation"
model = "history"
depends_on = ["listings"]
[service.objective]
first_token_ms = 940
token_gap_ms = 55
honoured = 0.999
[[service]]
name = "listings"
kind = "plain"
non_repeatable = ["POST /listings"]
[[target]]
name = "engine-1"
checks_orders = true
[[move]]
id = "history-v2"
model = "history"
from = "v1"
to = "v2"
strategy = "canary"
deadline = 2026-12-04T10:00:00Z
[limits]
max_prompt_bytes = 262144
max_tokens = 8192
max_queued_per_entry = 2000
retry_budget = 0.1
)";

const std::string k_model = "[[model]]\nname = \"m\"\nversion = \"v1\"\nreplicas = 1\n";

std::string service(const std::string& name, const std::string& rest) {
    return "[[service]]\nname = \"" + name + "\"\nkind = \"plain\"\n" + rest + "\n";
}

std::string move(const std::string& id, const std::string& model, const std::string& from,
                 const std::string& to) {
    return "[[move]]\nid = \"" + id + "\"\nmodel = \"" + model + "\"\nfrom = \"" + from + "\"\nto = \"" + to +
           "\"\ndeadline = 2026-12-04T10:00:00Z\n";
}

std::string problems_of(const result<fleet_config>& parsed) {
    return parsed ? "" : parsed.error().detail;
}

std::size_t line_count(const std::string& text) {
    return text.empty() ? 0 : 1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Guards against a key of the configuration that is read into the wrong field or not at all.
TEST_CASE("the whole example of the design page is read") {
    const auto parsed = parse_config_text(k_example, "ops.toml");
    CAPTURE(problems_of(parsed));
    REQUIRE(parsed);
    CHECK(parsed->zones.at(0).name == "ub-a");
    CHECK(parsed->zones.at(0).region == "ub");
    CHECK(parsed->organisations.at(0).name == "dealer-1");
    CHECK(parsed->organisations.at(0).share == 4.0);
    CHECK(parsed->organisations.at(0).organisation_class == "large");
    CHECK(parsed->models.at(0).version == "v1");
    CHECK(parsed->models.at(0).replicas == 3);
    CHECK(parsed->services.at(0).kind == service_kind::generation);
    CHECK(parsed->services.at(0).model == "history");
    CHECK(parsed->services.at(0).depends_on == std::vector<std::string>{"listings"});
    CHECK(parsed->services.at(0).objective.first_token_ms == 940);
    CHECK(parsed->services.at(0).objective.honoured == 0.999);
    CHECK(parsed->services.at(1).kind == service_kind::plain);
    CHECK(parsed->services.at(1).non_repeatable.at(0).method == "POST");
    CHECK(parsed->services.at(1).non_repeatable.at(0).path_prefix == "/listings");
    CHECK(parsed->targets.at(0).checks_orders);
    CHECK(parsed->moves.at(0).strategy == move_strategy::canary);
    CHECK(parsed->moves.at(0).deadline == wall_time(std::chrono::seconds(1'796'378'400)));
    CHECK(parsed->limits.max_tokens == 8'192);
}

struct time_case {
    const char* text;
    std::int64_t expected_ms;
};

// Guards against a time zone offset that is applied in the wrong direction.
TEST_CASE("deadlines keep their offset and milliseconds") {
    const auto test = GENERATE(from_range(std::vector<time_case>{
        {"2026-12-04T10:00:00Z", 1'796'378'400'000},
        {"2026-12-04T12:00:00+02:00", 1'796'378'400'000},
        {"2026-12-04T04:30:00-05:30", 1'796'378'400'000},
        {"2026-12-04T10:00:00.250Z", 1'796'378'400'250},
        {"2024-02-29T00:00:00Z", 1'709'164'800'000},
    }));
    const auto parsed = parse_config_text(
        k_model + "[[move]]\nid = \"a\"\nmodel = \"m\"\nfrom = \"v1\"\nto = \"v2\"\ndeadline = " + test.text,
        "t");
    CAPTURE(test.text, problems_of(parsed));
    REQUIRE(parsed);
    CHECK(parsed->moves.at(0).deadline.time_since_epoch().count() == test.expected_ms);
}

struct text_case {
    const char* name;
    std::string text;
    /// Start of each line of the error detail; empty for a valid text.
    std::vector<std::string> problems;
};

// Guards against an invalid configuration that is accepted, or a problem that is reported without its file,
// line and key.
TEST_CASE("problems of the configuration text name file, line and key") {
    const auto test = GENERATE(from_range(std::vector<text_case>{
        {"empty text", "", {}},
        {"syntax", "[[zone]]\nname = \n", {"t.toml:2: "}},
        {"unknown table", "[[zoo]]\nname = \"a\"\n", {"t.toml:1: zoo: expected one of the known keys"}},
        {"unknown key", "[[zone]]\nname = \"a\"\nregion = \"r\"\ncolour = 1\n", {"t.toml:4: zone.colour: "}},
        {"unknown nested key",
         service("s", "[service.objective]\nfirst = 1"),
         {"t.toml:5: service.objective.first: "}},
        {"missing key",
         "[[zone]]\nname = \"a\"\n",
         {"t.toml:1: zone.region: expected a text; the key is missing"}},
        {"wrong type", "[[zone]]\nname = 1\nregion = \"r\"\n", {"t.toml:2: zone.name: expected a text"}},
        {"table instead of list",
         "[zone]\nname = \"a\"\nregion = \"r\"\n",
         {"t.toml:1: zone: expected a list"}},
        {"list instead of table", "[[limits]]\nmax_tokens = 1\n", {"t.toml:1: limits: expected a table"}},
        {"list of texts",
         service("s", "depends_on = [1]"),
         {"t.toml:4: service.depends_on: expected a list of"}},
        {"bad name", "[[zone]]\nname = \"a b\"\nregion = \"r\"\n", {"t.toml:2: zone.name: expected 1 to 64"}},
        {"duplicate",
         "[[target]]\nname = \"a\"\n[[target]]\nname = \"a\"\n",
         {"t.toml:4: target.name: expected a name"}},
        {"duplicate key", "[[target]]\nname = \"a\"\nname = \"b\"\n", {"t.toml:3: "}},
        {"replicas 0",
         "[[model]]\nname = \"m\"\nversion = \"v\"\nreplicas = 0\n",
         {"t.toml:4: model.replicas: expected an integer in 1..2400"}},
        {"replicas negative",
         "[[model]]\nname = \"m\"\nversion = \"v\"\nreplicas = -1\n",
         {"t.toml:4: model.replicas"}},
        {"replicas above 32 bits",
         "[[model]]\nname = \"m\"\nversion = \"v\"\nreplicas = 4294967297\n",
         {"t.toml:4: model.replicas"}},
        {"replicas as a fraction",
         "[[model]]\nname = \"m\"\nversion = \"v\"\nreplicas = 1.5\n",
         {"t.toml:4: model.replicas: expected an integer"}},
        {"share 0",
         "[[organisation]]\nname = \"o\"\nshare = 0\n",
         {"t.toml:3: organisation.share: expected a number"}},
        {"share nan", "[[organisation]]\nname = \"o\"\nshare = nan\n", {"t.toml:3: organisation.share"}},
        {"share infinite", "[[organisation]]\nname = \"o\"\nshare = inf\n", {"t.toml:3: organisation.share"}},
        {"share as text",
         "[[organisation]]\nname = \"o\"\nshare = \"1\"\n",
         {"t.toml:3: organisation.share"}},
        {"list of organisations", "[[organisation]]\nnames = [\"a\", \"b\"]\nshare = 2\n", {}},
        {"name and names",
         "[[organisation]]\nname = \"a\"\nnames = [\"b\"]\n",
         {"t.toml:1: organisation.names"}},
        {"duplicate in names",
         "[[organisation]]\nnames = [\"a\", \"a\"]\n",
         {"t.toml:1: organisation.name: "}},
        {"unknown kind",
         k_model + "[[service]]\nname = \"s\"\nkind = \"odd\"\nmodel = \"m\"\n",
         {"t.toml:7: service.kind: expected one of \"generation\", \"plain\""}},
        {"no model key",
         "[[service]]\nname = \"s\"\nkind = \"generation\"\n",
         {"t.toml:1: service.model: expected the name of a model; the key is missing"}},
        {"model missing",
         "[[service]]\nname = \"s\"\nkind = \"generation\"\nmodel = \"m\"\n",
         {"t.toml:4: service.model: expected the name of a model"}},
        {"model of a plain service",
         k_model + service("s", "model = \"m\""),
         {"t.toml:8: service.model: expected no"}},
        {"unknown dependency",
         service("s", "depends_on = [\"x\"]"),
         {"t.toml:4: service.depends_on: expected names"}},
        {"dependency on itself",
         service("s", "depends_on = [\"s\"]"),
         {"t.toml:4: service.depends_on: expected no cycle; found s -> s"}},
        {"cycle of two",
         service("a", "depends_on = [\"b\"]") + service("b", "depends_on = [\"a\"]"),
         {"t.toml:4: service.depends_on: expected no cycle; found a -> b -> a"}},
        {"cycle behind a service",
         service("x", "depends_on = [\"a\"]") + service("a", "depends_on = [\"b\"]") +
             service("b", "depends_on = [\"c\"]") + service("c", "depends_on = [\"a\"]"),
         {"t.toml:8: service.depends_on: expected no cycle; found a -> b -> c -> a"}},
        {"two cycles",
         service("a", "depends_on = [\"b\"]") + service("b", "depends_on = [\"a\"]") +
             service("c", "depends_on = [\"c\"]"),
         {"t.toml:4: service.depends_on", "t.toml:12: service.depends_on"}},
        {"diamond is no cycle",
         service("a", "depends_on = [\"b\", \"c\"]") + service("b", "depends_on = [\"d\"]") +
             service("c", "depends_on = [\"d\"]") + service("d", ""),
         {}},
        {"dependency twice",
         service("a", "depends_on = [\"b\", \"b\"]") + service("b", ""),
         {"t.toml:4: service.depends_on: expected each service once"}},
        {"call without path",
         service("s", "non_repeatable = [\"POST\"]"),
         {"t.toml:4: service.non_repeatable"}},
        {"call with GET",
         service("s", "non_repeatable = [\"GET /a\"]"),
         {"t.toml:4: service.non_repeatable"}},
        {"objective above 1",
         service("s", "[service.objective]\nhonoured = 1.5"),
         {"t.toml:5: service.objective.honoured: expected a number in 0..1"}},
        {"valid move", k_model + move("a", "m", "v1", "v2"), {}},
        {"landed move", k_model + move("a", "m", "v0", "v1"), {}},
        {"move of no model",
         k_model + move("a", "x", "v1", "v2"),
         {"t.toml:7: move.model: expected the name"}},
        {"move to the same version",
         k_model + move("a", "m", "v1", "v1"),
         {"t.toml:9: move.to: expected another"}},
        {"move from another version",
         k_model + move("a", "m", "v5", "v6"),
         {"t.toml:8: move.from: expected the serving"}},
        {"two moves of one model",
         k_model + move("a", "m", "v1", "v2") + move("b", "m", "v1", "v3"),
         {"t.toml:13: move.model: expected one move of a model at a time; move \"a\""}},
        {"move id twice",
         k_model + move("a", "m", "v1", "v2") + move("a", "m", "v1", "v3"),
         {"t.toml:12: move.id", "t.toml:13: move.model"}},
        {"move breaks a dependant",
         k_model + service("s", "[[service.requires]]\nmodel = \"m\"\nversions = [\"v1\"]") +
             move("a", "m", "v1", "v2"),
         {"t.toml:15: move.to: expected a version that service \"s\" works with"}},
        {"move within what a dependant takes",
         k_model + service("s", "[[service.requires]]\nmodel = \"m\"\nversions = [\"v1\", \"v2\"]") +
             move("a", "m", "v1", "v2"),
         {}},
        {"requires a version that does not serve",
         k_model + service("s", "[[service.requires]]\nmodel = \"m\"\nversions = [\"v9\"]"),
         {"t.toml:10: service.requires[0].versions"}},
        {"requires no such model",
         service("s", "[[service.requires]]\nmodel = \"x\"\nversions = [\"v9\"]"),
         {"t.toml:5: service.requires[0].model"}},
        {"deadline without offset",
         k_model + "[[move]]\nid = \"a\"\nmodel = \"m\"\nfrom = \"v1\"\nto = \"v2\"\ndeadline = "
                   "2026-12-04T10:00:00\n",
         {"t.toml:10: move.deadline: expected a date and time with offset"}},
        {"deadline as text",
         k_model + "[[move]]\nid = \"a\"\nmodel = \"m\"\nfrom = \"v1\"\nto = \"v2\"\ndeadline = \"soon\"\n",
         {"t.toml:10: move.deadline"}},
        {"limits out of range",
         "[limits]\nmax_tokens = 0\nretry_budget = -0.1\n",
         {"t.toml:2: limits.max_tokens", "t.toml:3: limits.retry_budget"}},
        {"all problems at once",
         "[[zone]]\nname = \"a\"\nextra = 1\n[[model]]\nname = \"m\"\nversion = 1\nreplicas = 0\n"
         "[limits]\nmax_tokens = \"many\"\n",
         {"t.toml:1: zone.region", "t.toml:3: zone.extra", "t.toml:6: model.version",
          "t.toml:7: model.replicas", "t.toml:9: limits.max_tokens"}},
    }));
    const auto parsed = parse_config_text(test.text, "t.toml");
    const std::string detail = problems_of(parsed);
    CAPTURE(test.name, test.text, detail);
    REQUIRE(line_count(detail) == test.problems.size());
    std::istringstream lines(detail);
    std::string line;
    for (const auto& problem : test.problems) {
        std::getline(lines, line);
        CHECK(line.substr(0, problem.size()) == problem);
    }
}

struct edit_case {
    const char* name;
    std::string current;
    std::string next;
    std::string problem;
};

// Guards against a new move whose deadline has passed, and against a text that is refused because the
// deadline of a move that is already in force has passed.
TEST_CASE("a new or changed move needs a deadline in the future") {
    const std::string late = k_model + move("a", "m", "v1", "v2");
    const auto test = GENERATE_COPY(from_range(std::vector<edit_case>{
        {"new move", "", late, "t.toml:10: move.deadline: expected a time in the future"},
        {"known move", late, late + "[[target]]\nname = \"x\"\n", ""},
        {"changed move", late, k_model + move("a", "m", "v1", "v3"), "t.toml:10: move.deadline"},
        {"no move", "", k_model, ""},
    }));
    CAPTURE(test.name);
    const auto current = parse_config_text(test.current, "c.toml");
    REQUIRE(current);
    const wall_time after(std::chrono::seconds(1'796'378'400));
    const auto edited = parse_config_update(test.next, "t.toml", &*current, after);
    CAPTURE(problems_of(edited));
    CHECK(problems_of(edited).substr(0, test.problem.size()) == test.problem);
    CHECK(edited.has_value() == test.problem.empty());
    CHECK(parse_config_update(test.next, "t.toml", &*current, after - milliseconds(1)).has_value());
}

// Guards against a new move whose target version is already the serving one.
TEST_CASE("a new move starts at the serving version") {
    const auto edited =
        parse_config_update(k_model + move("a", "m", "v0", "v1"), "t.toml", nullptr, wall_time{});
    CHECK(problems_of(edited).substr(0, 34) == "t.toml:8: move.from: expected the ");
}

// Guards against a text of the design size that exceeds the size limit or takes long to parse.
TEST_CASE("24,000 organisations fit in the text") {
    std::string text = "[[organisation]]\nshare = 1.0\nnames = [\n";
    for (int i = 0; i < 24'000; ++i) {
        text += "\"organisation-" + std::to_string(100'000 + i) + "\",\n";
    }
    text += "]\n";
    CHECK(text.size() < k_max_config_text_bytes);
    const auto parsed = parse_config_text(text, "t.toml");
    REQUIRE(parsed);
    CHECK(parsed->organisations.size() == 24'000);
    CHECK_FALSE(parse_config_text(std::string(k_max_config_text_bytes + 1, '#'), "t.toml"));
}

// Changes, removes, inserts, copies or swaps random pieces of the text.
std::string mutate(std::string text, std::mt19937_64& random) {
    static const std::vector<std::string> pieces{"[[",
                                                 "]]",
                                                 "=",
                                                 "\"",
                                                 "\n",
                                                 "[service.",
                                                 "nan",
                                                 "-1",
                                                 "1e99",
                                                 "{}",
                                                 "[]",
                                                 "\\u0000",
                                                 "'''",
                                                 "0x",
                                                 "true",
                                                 "2026-02-30",
                                                 "[[[[",
                                                 "\xff",
                                                 "name",
                                                 "move",
                                                 ".",
                                                 "#",
                                                 "99999999999999999999"};
    const auto pick = [&random](std::size_t count) { return static_cast<std::size_t>(random() % count); };
    const auto edits = 1 + pick(4);
    for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
        const std::size_t at = pick(text.size());
        switch (pick(5)) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + pick(20));
            break;
        case 2:
            text.insert(at, pieces[pick(pieces.size())]);
            break;
        case 3:
            text.insert(at, text.substr(pick(text.size()), 1 + pick(80)));
            break;
        default:
            std::swap(text[at], text[pick(text.size())]);
            break;
        }
    }
    return text;
}

// Guards against a corrupted text that crashes the parser or is refused without a location.
TEST_CASE("random mutations of the text never crash the parser") {
    const auto seed = GENERATE(from_range(std::vector<std::uint64_t>{1, 2, 3, 4}));
    std::mt19937_64 random(seed);
    int accepted = 0;
    for (int round = 0; round < 1'500; ++round) {
        const std::string text = mutate(k_example, random);
        const auto parsed = parse_config_text(text, "t.toml");
        accepted += parsed ? 1 : 0;
        if (!parsed && (parsed.error().kind != error_kind::invalid_configuration ||
                        parsed.error().detail.rfind("t.toml:", 0) != 0)) {
            CAPTURE(seed, round, text, parsed.error().detail);
            FAIL("a problem without its place");
        }
    }
    CHECK(accepted < 1'500);
}

struct nesting_case {
    const char* name;
    std::string text;
    std::string problem;
};

// Guards against deep nesting that exhausts the stack, in the parser or when its result is destroyed.
TEST_CASE("deeply nested text is refused") {
    std::string dotted = "a";
    for (int i = 0; i < 100'000; ++i) {
        dotted += ".a";
    }
    std::string key = "a";
    for (int i = 0; i < 100; ++i) {
        key += ".a";
    }
    // As deep as the limits of dots and of nested values allow.
    std::string mixed = "x = [\n";
    for (int i = 0; i < 127; ++i) {
        mixed += "{" + key + " = [\n";
    }
    for (int i = 0; i < 127; ++i) {
        mixed += "]}\n";
    }
    const auto test = GENERATE_COPY(from_range(std::vector<nesting_case>{
        {"values", "a = " + std::string(100'000, '['), "t.toml:1: "},
        {"dotted key", "\n" + dotted + " = 1\n", "t.toml:2: line: expected at most 100 dots"},
        {"dotted header", "[" + dotted + "]\n", "t.toml:1: line: expected at most 100 dots"},
        {"dotted keys in values", mixed + "]\n", "t.toml:1: x: expected one of the known keys"},
        {"comment", "# " + std::string(101, '.') + "\n", "t.toml:1: line: expected at most 100 dots"},
        {"as many dots as allowed", "# " + std::string(100, '.') + "\n", ""},
        {"header that starts with no key character", "[#a]\n", "t.toml:1: "},
    }));
    const std::string detail = problems_of(parse_config_text(test.text, "t.toml"));
    CAPTURE(test.name, detail);
    CHECK(detail.substr(0, test.problem.size()) == test.problem);
    CHECK(detail.empty() == test.problem.empty());
}

} // namespace

} // namespace lovage
