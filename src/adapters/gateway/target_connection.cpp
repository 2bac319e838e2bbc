#include "target_connection.h"

#include <cerrno>
#include <sys/socket.h>

namespace lovage {

bool can_reuse_connection(target_connection& connection) {
    char byte = 0;
    const auto received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace lovage
