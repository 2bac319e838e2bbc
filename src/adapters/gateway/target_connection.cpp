#include "target_connection.h"

#include <cerrno>
#include <sys/socket.h>

namespace lovage {

bool can_reuse_connection(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace lovage
