#pragma once

#include "lovage/core/peer_report.h"
#include "lovage/core/result.h"
#include "lovage/ports/peer_report_port.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovage {

/// Encodes a report as a CBOR document. Leaves out measurements of targets and prompt locations if the report
/// would not fit into a datagram of 8,192 bytes with them.
std::string encode_report(const peer_report& report);
/// Decodes a report. Returns nullopt if the bytes are malformed or a list has too many entries.
std::optional<peer_report> decode_report(const std::string& bytes);

/// Sends and receives peer reports as UDP datagrams. All functions must be called on the io_context's thread.
class peer_report_udp {
public:
    /// Listens on "ip:port". `on_report` gets each valid report, `count_outcome` the outcome of each datagram
    /// sent or received, such as "malformed". Fails with `invalid_settings` if the address cannot be used.
    static result<std::unique_ptr<peer_report_udp>>
    start(boost::asio::io_context& io, const std::string& address, std::function<void(peer_report)> on_report,
          std::function<void(const std::string&)> count_outcome);
    ~peer_report_udp();
    peer_report_udp(const peer_report_udp&) = delete;
    peer_report_udp& operator=(const peer_report_udp&) = delete;

    peer_report_port port();

private:
    peer_report_udp();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
