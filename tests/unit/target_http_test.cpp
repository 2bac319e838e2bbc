#include "lovage/adapters/engine_http.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/service_http.h"
#include "lovage/adapters/settings.h"

#include "support/free_port.h"
#include "support/wait_until.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

constexpr std::chrono::milliseconds k_poll_interval{20};
constexpr std::chrono::milliseconds k_ping_interval{100};
// Maximum time that a ping takes to reach the generation.
constexpr std::chrono::milliseconds k_ping_delivery{50};
constexpr const char* k_ping = "event: ping\ndata: {}\n\n";

// A fake engine over HTTP: it responds to a generation with the scripted status and pieces of the stream,
// then ends the stream or stalls with the connection open.
class scripted_engine {
public:
    scripted_engine() {
        const auto endpoint = parse_endpoint(address);
        REQUIRE(endpoint);
        http_server_options options;
        options.address = endpoint->ip;
        options.port = endpoint->port;
        auto started = http_server::start(
            options, {{"POST", "/engine/generate", [this](const http_request& r) { return generate(r); }},
                      {"POST", "/engine/cancel", [this](const http_request&) { return cancel(); }},
                      {"POST", "/engine/orders", [this](const http_request&) { return plain(order_status); }},
                      {"GET", "/engine/load", [this](const http_request&) { return load(); }}});
        REQUIRE(started);
        m_server = std::move(*started);
    }
    ~scripted_engine() {
        is_stopped = true;
        m_server.reset();
    }
    scripted_engine(const scripted_engine&) = delete;
    scripted_engine& operator=(const scripted_engine&) = delete;

    std::string last_body() const {
        const std::lock_guard lock(m_mutex);
        return m_last_body;
    }
    /// When each ping was sent.
    std::vector<time_point> pings() const {
        const std::lock_guard lock(m_mutex);
        return m_pings;
    }

    const std::string address = free_address();
    int status = 200;
    int order_status = 200;
    std::vector<std::string> pieces;
    /// Called before each piece is sent; the stream ends where it returns false.
    std::function<bool(std::size_t)> before_piece;
    bool stays_silent = false;
    bool keeps_pinging = false;
    std::atomic<bool> answers_load{true};
    std::atomic<int> cancels{0};
    std::atomic<bool> is_stopped{false};

private:
    static http_response plain(int code) {
        http_response response;
        response.status = code;
        response.body = "{}";
        return response;
    }
    http_response cancel() {
        ++cancels;
        return plain(200);
    }
    http_response load() const {
        http_response response = plain(answers_load ? 200 : 500);
        response.body = R"({"slots": 4, "running": 1, "queued": 0, "age_ms": 50, "role": "",)"
                        R"("loaded": [{"model": "history", "version": "v1", "adapter": ""}]})";
        return response;
    }
    http_response generate(const http_request& request) {
        {
            const std::lock_guard lock(m_mutex);
            m_last_body = request.body;
        }
        if (status != 200) {
            return plain(status);
        }
        http_response response;
        response.content_type = "text/event-stream";
        response.stream = http_stream{};
        response.stream->next = [this, at = std::size_t{0}]() mutable -> std::optional<std::string> {
            if (at < pieces.size()) {
                if (before_piece && !before_piece(at)) {
                    return std::nullopt;
                }
                return pieces[at++];
            }
            if (keeps_pinging && !is_stopped) {
                std::this_thread::sleep_for(k_ping_interval);
                const std::lock_guard lock(m_mutex);
                m_pings.push_back(monotonic_now());
                return k_ping;
            }
            while (stays_silent && !is_stopped) {
                std::this_thread::sleep_for(k_poll_interval);
            }
            return std::nullopt;
        };
        return response;
    }

    mutable std::mutex m_mutex;
    std::string m_last_body;
    std::vector<time_point> m_pings;
    std::unique_ptr<http_server> m_server;
};

std::string token_piece(int index) {
    return "event: token\ndata: {\"index\": " + std::to_string(index) + ", \"text\": \" t" +
           std::to_string(index) + "\"}\n\n";
}

std::string done_piece(int total) {
    return "event: done\ndata: {\"total\": " + std::to_string(total) + ", \"reason\": \"stop\"}\n\n";
}

std::string describe(const result<engine_finish>& finished) {
    return finished ? "finished" : finished.error().detail;
}

std::int64_t to_ms(std::chrono::steady_clock::duration time) {
    return std::chrono::duration_cast<milliseconds>(time).count();
}

// Timeouts that are short enough for tests, in the same proportions as the defaults.
engine_http_options options_for(const std::string& address) {
    engine_http_options options;
    options.address = address;
    options.silence = {milliseconds(800), milliseconds(300), milliseconds(400), milliseconds(600)};
    options.load_interval = milliseconds(50);
    return options;
}

struct stream_case {
    const char* name;
    int status;
    std::vector<std::string> pieces;
    bool stays_silent;
    bool answers_load;
    /// The expected error; nullopt if the generation succeeds.
    std::optional<error_kind> expected;
    std::size_t tokens;
    int at_least_ms;
    int at_most_ms;
};

// Guards against a broken, malformed or stalled stream of an engine that counts as a complete answer or
// blocks the attempt.
TEST_CASE("engine streams end with a done event or an error") {
    const auto test = GENERATE(from_range(std::vector<stream_case>{
        {"whole", 200, {token_piece(2), token_piece(3), done_piece(4)}, false, true, {}, 2, 0, 600},
        {"whole in one piece", 200, {token_piece(2) + done_piece(3)}, false, true, {}, 1, 0, 600},
        {"done event, connection open", 200, {token_piece(2), done_piece(3)}, true, true, {}, 1, 0, 600},
        {"pings while computing",
         200,
         {"event: ping\ndata: {}\n\n", token_piece(2), done_piece(3)},
         false,
         true,
         {},
         1,
         0,
         600},
        {"no done event", 200, {token_piece(2)}, false, true, error_kind::target_failed, 1, 0, 600},
        {"gap",
         200,
         {token_piece(2), token_piece(4), done_piece(5)},
         false,
         true,
         error_kind::target_failed,
         1,
         0,
         600},
        {"wrong total",
         200,
         {token_piece(2), done_piece(9)},
         false,
         true,
         error_kind::target_failed,
         1,
         0,
         600},
        {"no JSON", 200, {"event: token\ndata: {\n\n"}, false, true, error_kind::target_failed, 0, 0, 600},
        {"unknown reason",
         200,
         {"event: done\ndata: {\"total\": 2, \"reason\": \"x\"}\n\n"},
         false,
         true,
         error_kind::target_failed,
         0,
         0,
         600},
        {"queue full", 429, {}, false, true, error_kind::target_busy, 0, 0, 600},
        {"version not loaded", 404, {}, false, true, error_kind::no_target, 0, 0, 600},
        {"server error", 500, {}, false, true, error_kind::target_failed, 0, 0, 600},
        {"silent, load answers", 200, {token_piece(2)}, true, true, error_kind::target_failed, 1, 800, 1'400},
        {"silent, no load", 200, {token_piece(2)}, true, false, error_kind::target_silent, 1, 300, 750},
    }));
    CAPTURE(test.name);
    scripted_engine server;
    server.status = test.status;
    server.pieces = test.pieces;
    server.stays_silent = test.stays_silent;
    server.answers_load = test.answers_load;
    metrics counters;
    const auto engine = engine_http::create(options_for(server.address), counters);
    REQUIRE(engine);
    const engine_port port = (*engine)->port();
    if (test.answers_load) {
        REQUIRE(wait_until([&] { return port.load().has_value(); }));
    }

    std::vector<token> tokens;
    engine_stream stream;
    stream.on_token = [&tokens](token_index index, const token& text) {
        CHECK(index == tokens.size() + 2);
        tokens.push_back(text);
        return true;
    };
    stream.is_cancelled = [] { return false; };
    generation_spec spec;
    spec.prompt = "p";
    const auto begin = std::chrono::steady_clock::now();
    const auto finished = port.generate({{0, 1}, {2}, 3}, spec, {" a", " b"}, stream);
    const auto took = std::chrono::steady_clock::now() - begin;
    CAPTURE(describe(finished), to_ms(took));
    CHECK(finished.has_value() == !test.expected.has_value());
    if (!finished && test.expected) {
        CHECK(finished.error().kind == *test.expected);
    }
    CHECK(tokens.size() == test.tokens);
    CHECK(took >= std::chrono::milliseconds(test.at_least_ms));
    CHECK(took <= std::chrono::milliseconds(test.at_most_ms));
    CHECK(server.last_body().find("\"accepted\":[\" a\",\" b\"]") != std::string::npos);
    server.is_stopped = true;
    // All reader threads end once the server has closed its connections.
    CHECK(wait_until([&] { return (*engine)->abandoned() == 0; }));
}

struct ping_case {
    const char* name;
    std::vector<std::string> pieces;
    std::size_t tokens;
    /// Whether pings sent within the prompt time show progress.
    bool pings_count;
    int at_most_ms;
};

// Returns the last ping that was sent early enough to arrive within `max_prompt_time`; `begin` if there is
// none. The fake engine may be delayed, so that a later ping exceeds that time.
time_point last_progress(const std::vector<time_point>& pings, time_point begin,
                         milliseconds max_prompt_time) {
    const auto end = std::upper_bound(pings.begin(), pings.end(), begin + max_prompt_time - k_ping_delivery);
    return end == pings.begin() ? begin : *std::prev(end);
}

// Guards against a stalled generation that never ends because its engine sends pings now and then, and
// against a long prompt that is given up although its engine shows that it computes it.
TEST_CASE("pings show progress only while a prompt is computed") {
    const auto test = GENERATE(from_range(std::vector<ping_case>{
        {"after a token", {token_piece(0)}, 1, false, 1'300},
        {"longer than a prompt takes", {}, 0, true, 2'000},
    }));
    CAPTURE(test.name);
    scripted_engine server;
    server.pieces = test.pieces;
    server.keeps_pinging = true;
    metrics counters;
    const auto options = options_for(server.address);
    const auto engine = engine_http::create(options, counters);
    REQUIRE(engine);
    REQUIRE(wait_until([&] { return (*engine)->port().load().has_value(); }));
    std::size_t tokens = 0;
    engine_stream stream;
    stream.on_token = [&tokens](token_index, const token&) {
        ++tokens;
        return true;
    };
    const auto begin = monotonic_now();
    // Bounds the test where the stream never ends.
    stream.is_cancelled = [&begin] { return monotonic_now() - begin > std::chrono::seconds(4); };
    const auto finished = (*engine)->port().generate({{0, 1}, {2}, 1}, {}, {}, stream);
    const auto took = monotonic_now() - begin;
    CAPTURE(describe(finished), to_ms(took));
    REQUIRE_FALSE(finished);
    CHECK(finished.error().kind == error_kind::target_failed);
    CHECK(tokens == test.tokens);
    const auto progress =
        test.pings_count ? last_progress(server.pings(), begin, options.silence.max_prompt_time) : begin;
    CHECK(took >= progress - begin + options.silence.responsive_timeout);
    CHECK(took <= std::chrono::milliseconds(test.at_most_ms));
    server.is_stopped = true;
}

struct held_up_case {
    const char* name;
    /// Where the generation's thread is held up.
    bool in_on_token;
    bool answers_load;
    int held_up_ms;
};

// Guards against a sound engine that is taken for silent because the agent was held up while its events
// arrived.
TEST_CASE("the time that a generation is held up is not its engine's silence") {
    const auto test = GENERATE(from_range(std::vector<held_up_case>{
        {"while a token is delivered", true, true, 1'000},
        {"while a token is delivered, no load", true, false, 500},
        {"after it has waited for events", false, true, 1'000},
        {"after it has waited for events, no load", false, false, 500},
    }));
    CAPTURE(test.name);
    std::atomic<bool> is_held_up{false};
    scripted_engine server;
    server.pieces = {token_piece(0), token_piece(1), done_piece(2)};
    server.before_piece = [&is_held_up](std::size_t piece) {
        return piece == 0 || wait_until([&is_held_up] { return is_held_up.load(); });
    };
    server.answers_load = test.answers_load;
    metrics counters;
    const auto engine = engine_http::create(options_for(server.address), counters);
    REQUIRE(engine);
    const engine_port port = (*engine)->port();
    if (test.answers_load) {
        REQUIRE(wait_until([&] { return port.load().has_value(); }));
    }
    std::size_t tokens = 0;
    const auto hold_up = [&] {
        if (tokens == 1 && !is_held_up.exchange(true)) {
            std::this_thread::sleep_for(milliseconds(test.held_up_ms));
        }
    };
    engine_stream stream;
    stream.on_token = [&](token_index, const token&) {
        ++tokens;
        if (test.in_on_token) {
            hold_up();
        }
        return true;
    };
    stream.is_cancelled = [&] {
        hold_up();
        return false;
    };
    const auto finished = port.generate({{0, 1}, {2}, 1}, {}, {}, stream);
    CAPTURE(describe(finished));
    CHECK(finished);
    CHECK(tokens == 2);
    server.is_stopped = true;
}

// Guards against a cancelled generation that continues in the engine.
TEST_CASE("a cancelled engine stream is left at once and cancelled in the engine") {
    scripted_engine server;
    server.pieces = {token_piece(0)};
    server.stays_silent = true;
    metrics counters;
    const auto engine = engine_http::create(options_for(server.address), counters);
    REQUIRE(engine);
    engine_stream stream;
    std::atomic<bool> is_cancelled{false};
    stream.on_token = [&is_cancelled](token_index, const token&) {
        is_cancelled = true;
        return true;
    };
    stream.is_cancelled = [&is_cancelled] { return is_cancelled.load(); };
    const auto finished = (*engine)->port().generate({{0, 1}, {2}, 1}, {}, {}, stream);
    REQUIRE_FALSE(finished);
    CHECK(finished.error().kind == error_kind::cancelled);
    CHECK(wait_until([&] { return server.cancels == 1; }));
    server.is_stopped = true;
}

// Guards against an unbounded number of reader threads for an engine that never closes its streams.
TEST_CASE("abandoned engine streams are bounded") {
    scripted_engine server;
    server.stays_silent = true;
    server.answers_load = false;
    metrics counters;
    auto options = options_for(server.address);
    options.max_abandoned = 2;
    const auto engine = engine_http::create(options, counters);
    REQUIRE(engine);
    engine_stream stream;
    stream.on_token = [](token_index, const token&) { return true; };
    stream.is_cancelled = [] { return false; };
    const auto run = [&] { return (*engine)->port().generate({{0, 1}, {2}, 1}, {}, {}, stream); };
    CHECK(run().error().kind == error_kind::target_silent);
    CHECK(run().error().kind == error_kind::target_silent);
    CHECK(counters.value("engine_abandoned_streams") == 2.0);
    CHECK(run().error().kind == error_kind::target_busy);
    server.is_stopped = true;
    CHECK(wait_until([&] { return (*engine)->abandoned() == 0; }));
}

struct order_status_case {
    int status;
    std::optional<error_kind> expected;
};

// Guards against a refused order that is reported as successful.
TEST_CASE("orders report what the engine answers") {
    const auto test = GENERATE(from_range(std::vector<order_status_case>{
        {200, {}}, {409, error_kind::stale_fencing}, {500, error_kind::target_failed}}));
    scripted_engine server;
    server.order_status = test.status;
    metrics counters;
    const auto engine = engine_http::create(options_for(server.address), counters);
    REQUIRE(engine);
    const auto done = (*engine)->port().order({});
    CHECK(done.has_value() == !test.expected.has_value());
    if (!done && test.expected) {
        CHECK(done.error().kind == *test.expected);
    }
}

// Guards against routing to an engine that no longer responds.
TEST_CASE("the engine's load is reported until its answers are old") {
    scripted_engine server;
    metrics counters;
    const auto engine = engine_http::create(options_for(server.address), counters);
    REQUIRE(engine);
    const engine_port port = (*engine)->port();
    REQUIRE(wait_until([&] { return port.load().has_value(); }));
    const auto load = port.load();
    CHECK(load->slots == 4);
    CHECK(load->age_ms >= 50);
    REQUIRE(load->loaded.size() == 1);
    CHECK(load->loaded[0].version == "v1");
    server.answers_load = false;
    CHECK(wait_until([&] { return !port.load().has_value(); }, std::chrono::milliseconds(2'500)));
}

struct call_case {
    const char* name;
    std::string path;
    wall_time deadline;
    bool is_up;
    int status;
    std::optional<error_kind> expected;
};

// Guards against a call that is sent after its deadline or with a path that changes the request.
TEST_CASE("calls of the plain service are passed on") {
    const auto test = GENERATE(from_range(std::vector<call_case>{
        {"answered", "/listings?x=1", {}, true, 201, {}},
        {"error of the service", "/listings", {}, true, 500, {}},
        {"service down", "/listings", {}, false, 0, error_kind::peer_unreachable},
        {"late", "/listings", wall_time(milliseconds(1)), true, 0, error_kind::deadline_exceeded},
        {"no path", "listings", {}, true, 0, error_kind::invalid_request},
        {"path with a line end", "/l\r\nX: y", {}, true, 0, error_kind::invalid_request},
    }));
    CAPTURE(test.name);
    const std::string address = free_address();
    const auto endpoint = parse_endpoint(address);
    REQUIRE(endpoint);
    std::unique_ptr<http_server> server;
    std::atomic<int> calls{0};
    if (test.is_up) {
        http_server_options options;
        options.address = endpoint->ip;
        options.port = endpoint->port;
        auto started = http_server::start(
            options, {{"GET", "/healthz", [](const http_request&) { return http_response{}; }},
                      {"POST", "/listings", [&](const http_request& request) {
                           ++calls;
                           CHECK(request.headers.at("idempotency-key") == request_id{1, 2}.to_string());
                           http_response response;
                           response.status = test.status;
                           response.content_type = "text/plain";
                           response.body = request.body + "!";
                           return response;
                       }}});
        REQUIRE(started);
        server = std::move(*started);
    }
    metrics counters;
    service_http_options options;
    options.address = address;
    const auto service = service_http::create(options, counters);
    REQUIRE(service);
    const service_port port = (*service)->port();
    call_message call;
    call.request = {1, 2};
    call.method = "POST";
    call.path = test.path;
    call.content_type = "text/plain";
    call.body = std::string("a\0b", 3);
    call.deadline = test.deadline;
    const auto reply = port.call(call);
    CHECK(reply.has_value() == !test.expected.has_value());
    if (reply) {
        CHECK(reply->status == test.status);
        CHECK(reply->content_type == "text/plain");
        CHECK(reply->body == call.body + "!");
    } else if (test.expected) {
        CHECK(reply.error().kind == *test.expected);
    }
    CHECK(calls == (test.expected ? 0 : 1));
    CHECK(wait_until([&] { return port.is_up(); }, std::chrono::milliseconds(300)) == test.is_up);
}

} // namespace

} // namespace lovage
