#include "child_process.h"
#include "support/wait_until.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/peer_endpoint.h"
#include "lovage/adapters/settings.h"

#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace lovage {

namespace {

using testing::child_process;
using testing::free_address;

std::string token_text(token_index index) {
    return " w" + std::to_string(index);
}

// A simulated agent on the real peer transport that generates one word per `interval` for each attempt.
class simulated_agent {
public:
    simulated_agent(node_id node, std::string address, milliseconds interval)
        : m_node(std::move(node)), m_address(std::move(address)), m_interval(interval) {
        start();
    }
    ~simulated_agent() { kill(); }
    simulated_agent(const simulated_agent&) = delete;
    simulated_agent& operator=(const simulated_agent&) = delete;

    const node_id& node() const { return m_node; }
    const std::string& address() const { return m_address; }
    std::size_t running() {
        const std::lock_guard lock(m_mutex);
        return m_running.size();
    }
    std::size_t generated() { return m_generated.load(); }

    // Simulates a crash: stops generating and closes all connections.
    void kill() {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
            m_changed.notify_all();
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_endpoint->stop();
    }

private:
    struct running_attempt {
        node_id home;
        attempt_ref ref;
        token_index next = 0;
        token_index total = 0;
    };

    void start() {
        peer_endpoint_options options;
        options.address = m_address;
        options.self.node = m_node;
        options.self.incarnation = 1;
        options.self.role = node_role::agent;
        auto endpoint = peer_endpoint::create(options, m_metrics);
        REQUIRE(endpoint);
        m_endpoint = std::move(*endpoint);
        m_port = m_endpoint->port();
        peer_events events;
        events.on_connected = [this](const hello_message& hello) {
            const std::lock_guard lock(m_mutex);
            m_entries.insert(hello.node);
        };
        events.on_disconnected = [this](const node_id& node) {
            const std::lock_guard lock(m_mutex);
            m_entries.erase(node);
        };
        events.on_message = [this](const node_id& from, const peer_message& message) {
            const std::lock_guard lock(m_mutex);
            if (const auto* generate = std::get_if<generate_message>(&message)) {
                m_running.push_back({from, generate->ref, static_cast<token_index>(generate->accepted.size()),
                                     generate->spec.max_tokens});
            } else if (const auto* cancel = std::get_if<cancel_message>(&message)) {
                m_running.erase(
                    std::remove_if(m_running.begin(), m_running.end(),
                                   [&](const running_attempt& a) { return a.ref == cancel->ref; }),
                    m_running.end());
            }
        };
        m_endpoint->start(events);
        m_thread = std::thread([this] { run(); });
    }

    void run() {
        std::unique_lock lock(m_mutex);
        time_point next_report{};
        while (!m_stopping) {
            m_changed.wait_for(lock, m_interval);
            const time_point now = monotonic_now();
            if (now >= next_report) {
                next_report = now + milliseconds(200);
                report();
            }
            step();
        }
    }

    void report() {
        load_report_message message;
        message.target = m_node;
        message.loaded = {{"m", "v1", ""}};
        message.engine_up = true;
        message.slots = 64;
        for (const auto& entry : m_entries) {
            m_port.send(entry, message);
            progress_message progress;
            for (const auto& attempt : m_running) {
                if (attempt.home == entry) {
                    progress.items.push_back({attempt.ref, attempt.next});
                }
            }
            m_port.send(entry, progress);
        }
    }

    void step() {
        for (auto& attempt : m_running) {
            m_port.send(attempt.home, tokens_message{attempt.ref, attempt.next, {token_text(attempt.next)}});
            ++attempt.next;
            ++m_generated;
            if (attempt.next == attempt.total) {
                m_port.send(attempt.home,
                            finished_message{attempt.ref, attempt.total, finish_reason::length});
            }
        }
        m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                                       [](const running_attempt& a) { return a.next >= a.total; }),
                        m_running.end());
    }

    const node_id m_node;
    const std::string m_address;
    const milliseconds m_interval;
    metrics m_metrics;
    std::unique_ptr<peer_endpoint> m_endpoint;
    peer_port m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<node_id> m_entries;
    std::vector<running_attempt> m_running;
    std::atomic<std::size_t> m_generated{0};
    bool m_stopping = false;
    std::thread m_thread;
};

struct entry_process {
    node_id node;
    std::string http_address;
    std::string peer_address;
    std::unique_ptr<child_process> process;

    std::string url(const std::string& path) const { return "http://" + http_address + path; }
};

// Entries as processes and simulated agents in this process, with a static membership list.
struct process_fleet {
    std::vector<std::unique_ptr<simulated_agent>> agents;
    std::vector<entry_process> entries;

    process_fleet(std::size_t entry_count, std::size_t agent_count, milliseconds interval,
                  milliseconds grace = milliseconds(25'000)) {
        std::string members;
        for (std::size_t i = 0; i < agent_count; ++i) {
            const node_id node = "a" + std::to_string(i + 1);
            agents.push_back(std::make_unique<simulated_agent>(node, free_address(), interval));
            members +=
                "\"" + node + " agent z1 ub " + agents.back()->address() + " " + free_address() + "\",";
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            entries.push_back({"e" + std::to_string(i + 1), free_address(), free_address(), nullptr});
            members += "\"" + entries.back().node + " entry z1 ub " + entries.back().peer_address + " " +
                       entries.back().http_address + "\",";
        }
        for (auto& entry : entries) {
            auto started =
                child_process::start("lovage-entry",
                                     {"--set", "node=\"" + entry.node + "\"", "--set", "zone=\"z1\"", "--set",
                                      "region=\"ub\"", "--set", "http.address=\"" + entry.http_address + "\"",
                                      "--set", "peer.address=\"" + entry.peer_address + "\"", "--set",
                                      "static_services=[\"s m v1\"]", "--set", "answers.adoption_wait_ms=100",
                                      "--set", "drain.grace_ms=" + std::to_string(grace.count()), "--set",
                                      "static_members=[" + members + "]"},
                                     "entry-" + entry.node);
            REQUIRE(started);
            entry.process = std::move(*started);
        }
        for (auto& entry : entries) {
            REQUIRE(testing::wait_until_ok(entry.url("/readyz")));
        }
    }

    simulated_agent* find_running_agent() {
        for (auto& agent : agents) {
            if (agent->running() > 0) {
                return agent.get();
            }
        }
        return nullptr;
    }
};

// A caller that reads a streamed answer and checks that the events are consecutive.
struct stream_caller {
    std::string answer;
    std::string last_event_id;
    token_index next = 0;
    int restarts = 0;
    bool is_wrong = false;
    nlohmann::json done;
    nlohmann::json failure;
    std::string pending;

    void on_event(const std::string& event, const std::string& id, const nlohmann::json& data) {
        if (event == "answer") {
            answer = data.at("answer");
            is_wrong = is_wrong || data.at("from") != next;
        } else if (event == "restart") {
            ++restarts;
            next = 0;
        } else if (event == "token") {
            is_wrong = is_wrong || data.at("index") != next || data.at("text") != token_text(next);
            ++next;
            is_wrong = is_wrong || id != answer + ":" + std::to_string(next);
            last_event_id = id;
        } else if (event == "done") {
            done = data;
        } else if (event == "error") {
            failure = data;
        }
    }

    void on_bytes(std::string_view bytes) {
        pending.append(bytes);
        for (auto end = pending.find("\n\n"); end != std::string::npos; end = pending.find("\n\n")) {
            std::istringstream lines(pending.substr(0, end));
            pending.erase(0, end + 2);
            std::string event;
            std::string id;
            std::string data;
            for (std::string line; std::getline(lines, line);) {
                if (line.rfind("event: ", 0) == 0) {
                    event = line.substr(7);
                } else if (line.rfind("id: ", 0) == 0) {
                    id = line.substr(4);
                } else if (line.rfind("data: ", 0) == 0) {
                    data = line.substr(6);
                }
            }
            if (!event.empty()) {
                on_event(event, id, nlohmann::json::parse(data));
            }
        }
    }

    // Sends the request, with the last event id if there is one, and reads until the stream ends or `stop`
    // returns true.
    result<http_client_response> run(const entry_process& entry, const std::string& key, int max_tokens,
                                     const std::function<bool()>& stop = {}) {
        pending.clear();
        http_client_request request;
        request.method = "POST";
        request.url = entry.url("/v1/generations");
        request.headers = {{"X-Organisation", "o"}, {"Idempotency-Key", key}};
        if (!last_event_id.empty()) {
            request.headers["Last-Event-ID"] = last_event_id;
        }
        request.body =
            nlohmann::json{{"service", "s"}, {"prompt", "p"}, {"max_tokens", max_tokens}, {"stream", true}}
                .dump();
        request.timeout = milliseconds(0);
        return http_send_streaming(request, [&](std::string_view bytes) {
            on_bytes(bytes);
            return !stop || !stop();
        });
    }
};

std::string text_of(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += token_text(static_cast<token_index>(i));
    }
    return text;
}

// Guards against wrong answers over the real HTTP and peer interfaces.
TEST_CASE("lovage-entry serves a streamed and a whole answer") {
    process_fleet fleet(1, 2, milliseconds(5));
    stream_caller caller;
    REQUIRE(caller.run(fleet.entries[0], "k", 20));
    CHECK_FALSE(caller.is_wrong);
    CHECK(caller.next == 20);
    CHECK(caller.done == nlohmann::json{{"total", 20}, {"reason", "length"}});

    http_client_request request;
    request.method = "POST";
    request.url = fleet.entries[0].url("/v1/generations");
    request.headers = {{"X-Organisation", "o"}, {"Idempotency-Key", "k"}};
    request.body = R"({"service":"s","prompt":"p","max_tokens":20})";
    const auto full_response = http_send(request);
    REQUIRE(full_response);
    CHECK(full_response->status == 200);
    const auto body = nlohmann::json::parse(full_response->body);
    CHECK(body.at("text") == text_of(20));
    CHECK(body.at("answer") == caller.answer);
    CHECK(body.at("version") == "v1");

    http_client_request get;
    get.url = fleet.entries[0].url("/v1/generations/" + body.at("request").get<std::string>());
    const auto fetched = http_send(get);
    REQUIRE(fetched);
    CHECK(fetched->body == full_response->body);
}

struct bad_request_case {
    const char* name;
    std::map<std::string, std::string> headers;
    const char* body;
    int status;
    const char* kind;
    bool not_run;
};

// Guards against invalid requests that are accepted, and against error responses without the error kind.
TEST_CASE("lovage-entry refuses wrong requests with a kind") {
    process_fleet fleet(1, 1, milliseconds(5));
    const char* good = R"({"service":"s","prompt":"p","max_tokens":5})";
    const std::vector<bad_request_case> tests{
        {"no organisation", {}, good, 400, "invalid_request", true},
        {"not JSON", {{"X-Organisation", "o"}}, "{", 400, "invalid_request", true},
        {"no prompt",
         {{"X-Organisation", "o"}},
         R"({"service":"s","max_tokens":5})",
         400,
         "invalid_request",
         true},
        {"negative length",
         {{"X-Organisation", "o"}},
         R"({"service":"s","prompt":"p","max_tokens":-5})",
         400,
         "invalid_request",
         true},
        {"unknown service",
         {{"X-Organisation", "o"}},
         R"({"service":"x","prompt":"p","max_tokens":5})",
         404,
         "unknown_service",
         true},
        {"priority", {{"X-Organisation", "o"}, {"X-Priority", "urgent"}}, good, 400, "invalid_request", true},
        {"deadline", {{"X-Organisation", "o"}, {"X-Deadline-Ms", "0"}}, good, 400, "invalid_request", true},
        {"last event id",
         {{"X-Organisation", "o"}, {"Last-Event-ID", "x"}},
         good,
         400,
         "invalid_request",
         true},
        // The entry has just started, so an earlier incarnation of it may have run the request with this key.
        {"home entry that has just started",
         {{"X-Organisation", "o"}, {"Idempotency-Key", "k"}},
         R"({"service":"x","prompt":"p","max_tokens":5})",
         404,
         "unknown_service",
         false},
    };
    for (const auto& test : tests) {
        CAPTURE(test.name);
        http_client_request request;
        request.method = "POST";
        request.url = fleet.entries[0].url("/v1/generations");
        request.headers = test.headers;
        request.body = test.body;
        const auto response = http_send(request);
        REQUIRE(response);
        CHECK(response->status == test.status);
        const auto body = nlohmann::json::parse(response->body).at("error");
        CHECK(body.at("kind") == test.kind);
        CHECK(body.at("not_run") == test.not_run);
    }
}

// Guards against lost or repeated tokens when two agents crash one after the other during a stream.
TEST_CASE("lovage-entry resumes after the loss of targets") {
    process_fleet fleet(1, 3, milliseconds(5));
    stream_caller caller;
    int kills = 0;
    const auto response = caller.run(fleet.entries[0], "k", 120, [&] {
        if (kills < 2 && caller.next >= static_cast<token_index>(30 * (kills + 1))) {
            if (auto* agent = fleet.find_running_agent()) {
                agent->kill();
                ++kills;
            }
        }
        return false;
    });
    REQUIRE(response);
    CHECK(kills == 2);
    CHECK_FALSE(caller.is_wrong);
    CHECK(caller.next == 120);
    CHECK(caller.restarts == 0);
    CHECK(caller.done.at("total") == 120);
}

// Guards against a second generation when a retry reaches another entry.
TEST_CASE("a retry through another entry continues the same answer") {
    process_fleet fleet(2, 2, milliseconds(5));
    stream_caller caller;
    caller.run(fleet.entries[0], "k", 100, [&] { return caller.next >= 30; });
    CHECK(caller.next >= 30);
    const std::string answer = caller.answer;
    REQUIRE(caller.run(fleet.entries[1], "k", 100));
    CHECK_FALSE(caller.is_wrong);
    CHECK(caller.restarts == 0);
    CHECK(caller.answer == answer);
    CHECK(caller.next == 100);
    CHECK(fleet.agents[0]->generated() + fleet.agents[1]->generated() == 100);
}

struct entry_loss_case {
    const char* name;
    int signal;
};

// Guards against an answer that is lost or mixed with another attempt when one of two entries fails.
TEST_CASE("a stream continues through the other entry after the loss of one") {
    const auto test =
        GENERATE(from_range(std::vector<entry_loss_case>{{"killed", SIGKILL}, {"paused", SIGSTOP}}));
    const std::size_t lost = GENERATE(0, 1);
    CAPTURE(test.name, lost);
    process_fleet fleet(2, 2, milliseconds(5));
    const std::size_t other = 1 - lost;
    stream_caller caller;
    bool is_lost = false;
    auto response = caller.run(fleet.entries[other], "k", 300, [&] {
        if (!is_lost && caller.next >= 50) {
            is_lost = true;
            fleet.entries[lost].process->send_signal(test.signal);
        }
        return false;
    });
    REQUIRE(response);
    CHECK_FALSE(caller.is_wrong);
    CHECK(caller.restarts == 0);
    CHECK(caller.next == 300);
    CHECK(caller.done.at("total") == 300);
}

struct signal_case {
    const char* name;
    std::vector<int> signals;
};

// Guards against requests that a graceful shutdown interrupts, and against a process that SIGHUP or a second
// stop signal ends.
TEST_CASE("SIGTERM lets answers in progress complete") {
    const auto test = GENERATE(from_range(std::vector<signal_case>{
        {"SIGTERM", {SIGTERM}},
        {"SIGHUP first", {SIGHUP, SIGTERM}},
        {"SIGHUP during the stop", {SIGTERM, SIGHUP}},
        {"twice", {SIGTERM, SIGTERM}},
        {"SIGINT during the stop", {SIGTERM, SIGINT}},
    }));
    CAPTURE(test.name);
    process_fleet fleet(1, 1, milliseconds(5));
    stream_caller caller;
    bool sent = false;
    REQUIRE(caller.run(fleet.entries[0], "k", 200, [&] {
        if (!sent && caller.next >= 20) {
            sent = true;
            for (const int number : test.signals) {
                fleet.entries[0].process->send_signal(number);
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        return false;
    }));
    CHECK_FALSE(caller.is_wrong);
    CHECK(caller.next == 200);
    CHECK(fleet.entries[0].process->wait_for_exit(milliseconds(5'000)) == 0);
}

// Guards against answers that the end of the grace period cuts without a final answer to the caller.
TEST_CASE("answers that outlast the grace period of a planned stop get a final answer") {
    const bool streamed = GENERATE(true, false);
    CAPTURE(streamed);
    process_fleet fleet(1, 1, milliseconds(5), milliseconds(1'000));
    auto& entry = fleet.entries[0];
    constexpr int callers = 8;
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, key = "k" + std::to_string(i)] {
            http_client_request request;
            request.method = "POST";
            request.url = entry.url("/v1/generations");
            request.headers = {{"X-Organisation", "o"}, {"Idempotency-Key", key}};
            request.body =
                nlohmann::json{{"service", "s"}, {"prompt", "p"}, {"max_tokens", 2'000}, {"stream", streamed}}
                    .dump();
            request.timeout = milliseconds(5'000);
            std::string received;
            const auto response = http_send_streaming(request, [&](std::string_view bytes) {
                received.append(bytes);
                return true;
            });
            const bool is_answered = response && received.find("\"kind\":\"leaving\"") != std::string::npos;
            answered += is_answered ? 1 : 0;
        });
    }
    REQUIRE(wait_until([&] { return fleet.agents[0]->running() == callers; }));
    entry.process->send_signal(SIGTERM);
    CHECK(entry.process->wait_for_exit(milliseconds(3'000)) == 0);
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(answered == callers);
}

struct late_request_case {
    const char* name;
    /// What the caller sends before the signal and after it.
    std::string before;
    std::string after;
};

// Guards against requests that a planned stop resets because they were on their way or half read, so that
// their callers cannot know whether they ran.
TEST_CASE("SIGTERM lets requests that are on their way get an answer") {
    const std::string body = R"({"service": "s", "prompt": "p", "max_tokens": 5, "stream": false})";
    const std::string head =
        "POST /v1/generations HTTP/1.1\r\nHost: e\r\nX-Organisation: o\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n";
    const auto test = GENERATE_COPY(from_range(std::vector<late_request_case>{
        {"on an open connection", "", head + body},
        {"half of the head", head.substr(0, 30), head.substr(30) + body},
        {"without its body", head, body},
    }));
    CAPTURE(test.name);
    process_fleet fleet(1, 1, milliseconds(5));
    const auto address = parse_endpoint(fleet.entries[0].http_address);
    REQUIRE(address);
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({boost::asio::ip::make_address(address->ip), address->port});
    boost::asio::write(caller, boost::asio::buffer(test.before));
    std::this_thread::sleep_for(milliseconds(100));
    fleet.entries[0].process->send_signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
    boost::system::error_code failure;
    boost::asio::write(caller, boost::asio::buffer(test.after), failure);
    std::string answer;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer), "\r\n", failure);
    CHECK(answer.find("HTTP/1.1 ") == 0);
    caller.close();
    CHECK(fleet.entries[0].process->wait_for_exit(milliseconds(5'000)) == 0);
}

} // namespace

} // namespace lovage
