#include "lovage/adapters/gateway/request_text.h"

#include "lovage/adapters/gateway/connection_fields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lovage {

result<received_request> parse_request_text(std::string_view text) {
    namespace http = boost::beast::http;
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failure;
    const auto used = parser.put(boost::asio::buffer(text.data(), text.size()), failure);
    if (failure && failure != http::error::need_more) {
        return fail(error_kind::invalid_request, "the request is malformed: " + failure.message());
    }
    if (!parser.is_done()) {
        return fail(error_kind::invalid_request, parser.is_header_done()
                                                     ? "the request's body is not complete"
                                                     : "the request's head is not complete");
    }
    if (used < text.size()) {
        return fail(error_kind::invalid_request, "bytes follow the request that no field frames as its body");
    }
    auto message = parser.release();
    received_request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    received.fields = end_to_end_fields(message);
    received.body = std::move(message.body());
    return received;
}

} // namespace lovage
