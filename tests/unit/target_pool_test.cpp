#include "lovage/adapters/gateway/target_pool.h"

#include "request_codec.h"
#include "support/free_port.h"
#include "support/scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

using testing::scripted_connection;
using testing::scripted_server;

constexpr const char* k_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok";
constexpr milliseconds k_connect_timeout{40};

std::shared_ptr<forwarded_request> get_request() {
    auto request = std::make_shared<forwarded_request>();
    request->method = "GET";
    request->target = "/r/x";
    request->id = "id";
    request->fields = {{"Host", "host"}, {"Request-Id", "id"}};
    return request;
}

/// Sends requests through a `target_pool` and records how each attempt ends.
class pool_client {
public:
    struct outcome {
        bool is_complete = false;
        std::string body;
        std::optional<attempt_end> failure;
        std::string detail;
    };

    pool_client() {
        target_pool_options options;
        options.connect_timeout = k_connect_timeout;
        m_pool = target_pool::create(m_io, options, platform::make_request_codec(), [](const auto&) {});
    }
    ~pool_client() {
        m_pool->close_idle();
        m_io.poll();
    }
    pool_client(const pool_client&) = delete;
    pool_client& operator=(const pool_client&) = delete;

    /// Starts an attempt, holds the thread up for `stall` and then runs the attempt to its end.
    outcome send(const std::string& address, milliseconds stall = milliseconds(0)) {
        outcome result;
        bool is_done = false;
        attempt_events events;
        events.on_head = [](const answer_head&) {};
        events.on_body = [&result](std::string_view bytes) { result.body += bytes; };
        events.on_end = [&] {
            result.is_complete = true;
            is_done = true;
        };
        events.on_failure = [&](attempt_end end, const std::string& detail) {
            result.failure = end;
            result.detail = detail;
            is_done = true;
        };
        attempt_parameters parameters;
        parameters.target_id = "t1";
        parameters.address = address;
        parameters.time_left = milliseconds(2'000);
        const auto handle = m_pool->port().open(get_request(), parameters, std::move(events));
        std::this_thread::sleep_for(stall);
        const auto deadline = monotonic_now() + std::chrono::seconds(5);
        while (!is_done && monotonic_now() < deadline) {
            m_io.run_one_for(milliseconds(100));
        }
        REQUIRE(is_done);
        return result;
    }

private:
    boost::asio::io_context m_io;
    std::shared_ptr<target_pool> m_pool;
};

struct stall_case {
    const char* name;
    milliseconds stall;
    bool is_listening;
};

// Guards against a request that runs twice because an attempt whose request was sent is reported as
// unreachable: the expiry of the connect timer is queued behind the completion of the connect while the
// thread is held up.
TEST_CASE("an attempt whose request was sent is not reported as unreachable") {
    const auto test = GENERATE(from_range(std::vector<stall_case>{
        {"no stall", milliseconds(0), true},
        {"stall longer than the connect timeout", k_connect_timeout * 3, true},
        {"nothing listens", milliseconds(0), false},
        {"nothing listens, stall", k_connect_timeout * 3, false},
    }));
    CAPTURE(test.name);
    scripted_server server({{{k_answer}, false}});
    pool_client client;
    const auto outcome = client.send(test.is_listening ? server.address() : free_address(), test.stall);
    CAPTURE(outcome.detail);
    CHECK(outcome.is_complete == test.is_listening);
    CHECK((outcome.failure == attempt_end::unreachable) == !test.is_listening);
    CHECK(server.requests().size() == (test.is_listening ? 1 : 0));
}

} // namespace

} // namespace lovage
