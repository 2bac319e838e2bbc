#include "lovage/adapters/gateway/status_server.h"

#include "lovage/adapters/settings.h"
#include "lovage/core/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace lovage {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Timeout for reading a request, including the idle time before it, and writing the response.
constexpr milliseconds k_exchange_timeout{15'000};
// Maximum bytes of a request that are kept until they can be parsed.
constexpr std::size_t k_max_request_bytes = 16'384;

class status_session : public std::enable_shared_from_this<status_session> {
public:
    status_session(tcp::socket socket, std::shared_ptr<const status_server::page_source> page)
        : m_stream(std::move(socket)), m_page(std::move(page)) {}

    void read() {
        m_parser.emplace();
        m_parser->body_limit(k_max_request_bytes);
        m_stream.expires_after(k_exchange_timeout);
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code& failure, std::size_t /*bytes*/) {
                if (!failure) {
                    self->answer();
                } else if (failure == http::error::body_limit) {
                    self->write({413, "text/plain", "the request is larger than 16 kB\n"}, false);
                }
            });
    }

private:
    void answer() {
        auto& request = m_parser->get();
        const std::string target(request.target());
        const bool is_kept_alive = request.keep_alive();
        write((*m_page)({std::string(request.method_string()), target.substr(0, target.find('?')),
                         std::move(request.body())}),
              is_kept_alive);
    }

    void write(const status_page& page, bool is_kept_alive) {
        m_answer = {};
        m_answer.result(static_cast<unsigned>(page.status));
        m_answer.set(http::field::content_type, page.content_type);
        m_answer.keep_alive(is_kept_alive);
        m_answer.body() = page.body;
        m_answer.prepare_payload();
        http::async_write(m_stream, m_answer,
                          [self = shared_from_this()](const error_code& failure, std::size_t /*bytes*/) {
                              if (!failure && self->m_answer.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<const status_server::page_source> m_page;
    boost::beast::flat_buffer m_buffer{k_max_request_bytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_answer;
};

} // namespace

struct status_server::state : std::enable_shared_from_this<status_server::state> {
    state(asio::io_context& io, page_source source)
        : acceptor(io), page(std::make_shared<const page_source>(std::move(source))) {}

    tcp::acceptor acceptor;
    std::shared_ptr<const page_source> page;

    void accept() {
        acceptor.async_accept([self = shared_from_this()](const error_code& failure, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!failure) {
                std::make_shared<status_session>(std::move(socket), self->page)->read();
            }
            self->accept();
        });
    }
};

status_server::status_server() = default;
status_server::~status_server() = default;

result<std::unique_ptr<status_server>> status_server::start(asio::io_context& io, const std::string& address,
                                                            page_source page) {
    const auto parsed = parse_endpoint(address);
    if (!parsed) {
        return tl::unexpected<error>(parsed.error());
    }
    std::unique_ptr<status_server> server(new status_server);
    server->m_state = std::make_shared<state>(io, std::move(page));
    auto& acceptor = server->m_state->acceptor;
    const tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
    error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(endpoint, failure);
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return fail(error_kind::invalid_settings, "cannot listen on " + address + ": " + failure.message());
    }
    server->m_state->accept();
    return server;
}

void status_server::stop() {
    error_code ignored;
    m_state->acceptor.close(ignored);
}

} // namespace lovage
