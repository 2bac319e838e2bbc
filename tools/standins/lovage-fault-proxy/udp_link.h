#pragma once

#include "listener.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <string>

namespace lovage::standins {

/// Forwards the datagrams of one listener. Each client has its own socket to the target, so that replies can
/// be sent back to the right client. It runs on the I/O thread; pending operations keep the object alive.
class udp_link : public std::enable_shared_from_this<udp_link> {
public:
    /// Starts to forward datagrams. Throws boost::system::system_error if the address cannot be used.
    static std::shared_ptr<udp_link> start(boost::asio::io_context& context,
                                           std::shared_ptr<listener_state> listener);

private:
    using socket = boost::asio::ip::udp::socket;
    using address = boost::asio::ip::udp::endpoint;
    /// The datagrams between one client and the target.
    struct client_flow {
        explicit client_flow(boost::asio::io_context& context)
            : to_target(context, boost::asio::ip::udp::v4()) {}
        address client;
        socket to_target;
        address sender;
        std::array<char, 65'536> block{};
        time_point last_used{};
    };

    udp_link(boost::asio::io_context& context, std::shared_ptr<listener_state> listener);

    void read_clients();
    void read_target(const std::shared_ptr<client_flow>& flow);
    std::shared_ptr<client_flow> find_or_add_flow(const address& client);
    void forward(const std::shared_ptr<client_flow>& flow, link_direction direction, std::string bytes);
    void send(client_flow& flow, link_direction direction, const std::string& bytes);

    boost::asio::io_context& m_context;
    const std::shared_ptr<listener_state> m_listener;
    socket m_socket;
    address m_target;
    address m_sender;
    std::array<char, 65'536> m_block{};
    std::map<address, std::shared_ptr<client_flow>> m_flows;
    std::size_t m_delayed_datagrams = 0;
};

} // namespace lovage::standins
