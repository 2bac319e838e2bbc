#pragma once

#include "lovage/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <string>

namespace lovage {

/// Maximum number of informational responses (1xx) before an answer. Servers send none or a single one; a
/// faulty one could send them without end.
inline constexpr int k_max_informational_heads = 8;

/// Maximum bytes of a response that are kept until they can be parsed. A head, a line before a chunk or a
/// trailer that is larger is taken as having no end.
inline constexpr std::size_t k_max_unparsed_bytes = 65'536;

/// A connection to a target. Asynchronous operations keep it alive through the `target_exchange` that owns
/// it.
struct target_connection {
    /// Opens the socket with bounded buffers of the kernel. If there is no descriptor left, connecting fails.
    explicit target_connection(boost::asio::io_context& io);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{k_max_unparsed_bytes};
    std::string address;
    time_point idle_since{};
    /// Whether it has carried a request without an id. A late answer to that one would be taken for the
    /// answer to the next request without an id.
    bool has_carried_call_without_id = false;
};

/// Describes why a response could not be read.
std::string describe_read_failure(const boost::system::error_code& failure);

/// Whether an idle connection is still open and has received nothing. Unsolicited bytes would be taken for
/// the response to the next request.
bool can_reuse_connection(boost::asio::ip::tcp::socket& socket);

} // namespace lovage
