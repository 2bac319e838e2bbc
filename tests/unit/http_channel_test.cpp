#include "lovage/adapters/gateway/http_channel.h"

#include "lovage/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace lovage {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

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
