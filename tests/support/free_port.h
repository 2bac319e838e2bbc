#pragma once

#include <boost/asio.hpp>
#include <string>

namespace lovage {

/// Returns "127.0.0.1:" and a TCP port that was free at the time of the call; another process may take it at
/// any time.
inline std::string free_address() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    const boost::asio::ip::tcp::acceptor acceptor(context, any);
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace lovage
