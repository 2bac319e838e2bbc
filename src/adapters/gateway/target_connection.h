#pragma once

#include "lovage/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace lovage {

/// A connection to a target. Operations that are in progress keep the socket alive through its exchange.
struct target_connection {
    explicit target_connection(boost::asio::io_context& io) : socket(io) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string address;
    time_point idle_since{};
};

/// Whether an idle connection is still open and has received nothing: bytes that arrive without a request
/// belong to none.
bool is_quiet(target_connection& connection);

} // namespace lovage
