#include "lovage/adapters/gateway/http_channel.h"

#include "lovage/core/time.h"
#include "support/scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lovage {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using testing::scripted_connection;
using testing::scripted_server;

std::string answer_of(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct channel_case {
    const char* name;
    std::vector<scripted_connection> script;
};

// Guards against bytes after an answer of the store that are taken for the answer to the next call.
TEST_CASE("the store's channel gives each call its own answer") {
    const auto test = GENERATE(from_range(std::vector<channel_case>{
        {"kept connection", {{{answer_of("first"), answer_of("second")}, false}}},
        {"an answer twice",
         {{{answer_of("first") + answer_of("first")}, true}, {{answer_of("second")}, false}}},
        {"other bytes", {{{answer_of("first") + "more"}, true}, {{answer_of("second")}, false}}},
    }));
    CAPTURE(test.name);
    scripted_server server(test.script);
    http_channel channel(server.address());
    const channel_request request{"GET", "/x", "", milliseconds(1'000)};
    const auto first = channel.exchange(request);
    REQUIRE(first);
    CHECK(first->body == "first");
    const auto second = channel.exchange(request);
    REQUIRE(second);
    CHECK(second->body == "second");
}

// Guards against a call to a slow store that takes twice its timeout, once for the connect and once for the
// answer.
TEST_CASE("the timeout of a call includes its connect") {
    constexpr milliseconds k_timeout{1'500};
    asio::io_context io;
    tcp::acceptor acceptor(io);
    acceptor.open(tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
    // Fills the queue of connections, so that the next connect waits for its first repetition, after 1 s.
    tcp::socket first(io);
    first.connect(acceptor.local_endpoint());
    std::thread server([&acceptor, &io] {
        std::this_thread::sleep_for(milliseconds(500));
        tcp::socket accepted(io);
        acceptor.accept(accepted);
    });
    http_channel channel("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto start = monotonic_now();
    const auto answer = channel.exchange({"GET", "/", "", k_timeout});
    const auto took = monotonic_now() - start;
    server.join();
    CHECK_FALSE(answer);
    CHECK(took >= k_timeout);
    CHECK(took < k_timeout + milliseconds(600));
}

} // namespace

} // namespace lovage
