#pragma once

#include "listener.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

namespace lovage::standins {

/// One TCP connection through the proxy. All functions must be called on the I/O thread. Pending operations
/// keep the object alive.
class tcp_link : public std::enable_shared_from_this<tcp_link> {
public:
    /// Starts to forward `client` to the listener's target.
    static std::shared_ptr<tcp_link> start(boost::asio::io_context& context,
                                           const std::shared_ptr<listener_state>& listener,
                                           boost::asio::ip::tcp::socket client);
    ~tcp_link();
    tcp_link(const tcp_link&) = delete;
    tcp_link& operator=(const tcp_link&) = delete;

    /// Applies the current rules of the listener; call it after they have changed.
    void apply_rules();
    void close();
    bool is_closed() const { return m_closed; }

private:
    struct chunk {
        time_point due{};
        std::string bytes;
    };
    /// State of one direction. Bytes that were read wait in `chunks` until they are due.
    struct byte_flow {
        byte_flow(boost::asio::io_context& context, link_direction flow_direction)
            : direction(flow_direction), timer(context) {}
        link_direction direction;
        boost::asio::steady_timer timer;
        std::deque<chunk> chunks;
        std::size_t queued_bytes = 0;
        std::uint64_t forwarded_bytes = 0;
        /// When the bandwidth limit allows the next write.
        time_point next_send_at{};
        std::array<char, 16'384> block{};
        bool is_reading = false;
        bool is_writing = false;
        bool is_write_scheduled = false;
        bool read_eof = false;
        bool eof_forwarded = false;
    };

    tcp_link(boost::asio::io_context& context, std::shared_ptr<listener_state> listener,
             boost::asio::ip::tcp::socket client);

    void connect();
    bool is_blocked(const byte_flow& flow) const;
    boost::asio::ip::tcp::socket& source(const byte_flow& flow);
    boost::asio::ip::tcp::socket& sink(const byte_flow& flow);
    void read(byte_flow& flow);
    void write(byte_flow& flow);
    void schedule_write(byte_flow& flow, time_point until);
    void on_written(byte_flow& flow, std::size_t bytes);
    bool reaches_answer_limit(const byte_flow& flow) const;
    void on_answer_limit();

    const std::shared_ptr<listener_state> m_listener;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    std::string m_client_ip;
    link_rule m_rule;
    byte_flow m_to_target;
    byte_flow m_to_client;
    std::int64_t m_answer_bytes = -1;
    bool m_answer_limit_reached = false;
    bool m_connecting = false;
    bool m_connected = false;
    bool m_closed = false;
};

} // namespace lovage::standins
