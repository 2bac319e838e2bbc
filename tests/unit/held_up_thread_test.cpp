#include "request_codec.h"
#include "support/fake_gateway.h"
#include "support/scripted_server.h"
#include "support/wait_until.h"

#include "lovage/adapters/gateway/one_shot_timer.h"
#include "lovage/adapters/gateway/target_pool.h"
#include "lovage/traffic/target_call.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

using testing::fake_gateway;
using testing::scripted_server;

constexpr milliseconds k_timeout{150};

/// A traffic thread with real connections and timers, and one target that answers once.
class held_up_thread {
public:
    held_up_thread(request_kind kind, std::size_t body_bytes)
        : m_server({{{"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Seal: s\r\nContent-Length: " +
                      std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x')},
                     true}}) {
        m_gateway.publish(kind, 1, 1);
        auto view = std::make_shared<gateway_view>(*m_gateway.traffic.view);
        auto table = std::make_shared<route_table>(*view->table);
        table->routes.at(0).timeout = k_timeout;
        index_routes(*table);
        view->table = table;
        auto targets = std::make_shared<std::map<std::string, target_list>>(*view->targets);
        targets->at("service").at(0).address = m_server.address();
        view->targets = targets;
        apply_view(m_gateway.traffic, view);
        m_pool = target_pool::create(m_io, {}, platform::make_request_codec(), [](const auto&) {});
        m_gateway.traffic.targets = m_pool->port();
        m_gateway.traffic.timers = make_timer_port(m_io);
        m_gateway.now = monotonic_now();
    }
    ~held_up_thread() {
        m_pool->close_idle();
        m_io.restart();
        m_io.run_for(milliseconds(20));
    }
    held_up_thread(const held_up_thread&) = delete;
    held_up_thread& operator=(const held_up_thread&) = delete;

    fake_gateway& gateway() { return m_gateway; }
    std::string address() const { return m_server.address(); }
    /// Holds the thread up for longer than the timeout once the request has arrived at the target, so that
    /// the answer and the expiry of the timeout are found together.
    void run() {
        m_io.restart();
        // Once the request has arrived, the thread reads nothing more before it is held up.
        REQUIRE(wait_until([this] {
            if (m_server.requests().empty()) {
                m_io.poll();
                return false;
            }
            return true;
        }));
        std::this_thread::sleep_for(k_timeout * 2);
        m_io.restart();
        m_io.run_for(milliseconds(100));
    }

private:
    boost::asio::io_context m_io;
    scripted_server m_server;
    fake_gateway m_gateway;
    std::shared_ptr<target_pool> m_pool;
};

struct answer_case {
    const char* name;
    request_kind kind;
    std::size_t body_bytes;
};

// Guards against an answer that is thrown away although it arrived in time, because the thread was held up
// when the request's deadline passed.
TEST_CASE("an answer that arrived while the thread was held up is delivered") {
    const auto test = GENERATE(from_range(std::vector<answer_case>{
        {"non-idempotent", request_kind::non_idempotent, 2},
        {"idempotent", request_kind::idempotent, 2},
        {"in several parts", request_kind::non_idempotent, 100'000},
    }));
    CAPTURE(test.name);
    held_up_thread thread(test.kind, test.body_bytes);
    const auto request = thread.gateway().request();
    thread.run();
    CHECK(thread.gateway().caller.is_finished);
    CHECK(thread.gateway().caller.body.size() == test.body_bytes);
    CHECK(thread.gateway().caller.replies.empty());
}

// Guards against a sound engine that counts as not responding, so that its streams are cut, because the
// thread was held up while its status arrived.
TEST_CASE("a status that arrived while the thread was held up is used") {
    const auto body_bytes = GENERATE(as<std::size_t>(), 2, 100'000);
    held_up_thread thread(request_kind::streaming, body_bytes);
    auto request = std::make_shared<forwarded_request>();
    request->method = "GET";
    request->target = "/status";
    request->id = "id";
    target_record target;
    target.id = "t1";
    target.address = thread.address();
    std::vector<std::optional<target_reply>> replies;
    send_target_request(thread.gateway().traffic, target, work_kind::running_work, request, k_timeout,
                        [&replies](auto reply) { replies.push_back(std::move(reply)); });
    thread.run();
    REQUIRE(replies.size() == 1);
    REQUIRE(replies[0]);
    CHECK(replies[0]->body.size() == body_bytes);
}

struct expiry_case {
    const char* name;
    /// Parts read before each expiry.
    std::vector<std::uint64_t> read_before;
    std::vector<bool> must_read;
};

// Guards against a timer that never ends a request because parts of its answer arrive now and then.
TEST_CASE("a timeout ends once nothing was read between two expiries") {
    const auto test = GENERATE(from_range(std::vector<expiry_case>{
        {"nothing", {0, 0}, {true, false}},
        {"parts before the expiry", {3, 0}, {true, false}},
        {"parts after the first expiry", {0, 2, 0}, {true, true, false}},
    }));
    CAPTURE(test.name);
    pending_reads reads;
    for (std::size_t i = 0; i < test.read_before.size(); ++i) {
        reads.handled += test.read_before[i];
        CHECK(must_read_first(reads) == test.must_read[i]);
    }
}

} // namespace

} // namespace lovage
