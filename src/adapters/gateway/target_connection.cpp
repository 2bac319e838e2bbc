#include "target_connection.h"

#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace lovage {

namespace {

// Sizes of the kernel's buffers, which otherwise grow to several MB while a target or a caller does not read.
// They carry 1 Gbit/s over a path of 1 ms. The kernel doubles them for its own bookkeeping.
constexpr int k_socket_buffer = 131'072;

} // namespace

target_connection::target_connection(boost::asio::io_context& io) : socket(io) {
    boost::system::error_code failure;
    socket.open(boost::asio::ip::tcp::v4(), failure);
    if (!failure) {
        socket.set_option(boost::asio::socket_base::receive_buffer_size(k_socket_buffer), failure);
        socket.set_option(boost::asio::socket_base::send_buffer_size(k_socket_buffer), failure);
    }
}

std::string describe_read_failure(const boost::system::error_code& failure) {
    if (failure == boost::beast::http::error::buffer_overflow ||
        failure == boost::beast::http::error::header_limit) {
        return "a head, a line before a chunk or a trailer without an end (" + failure.message() + ")";
    }
    return failure.message();
}

bool can_reuse_connection(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace lovage
