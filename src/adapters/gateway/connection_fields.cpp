#include "lovage/adapters/gateway/connection_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace lovage {

namespace {

namespace http = boost::beast::http;

constexpr std::array<http::field, 10> k_hop_by_hop_fields{
    http::field::connection,       http::field::keep_alive,
    http::field::proxy_connection, http::field::te,
    http::field::trailer,          http::field::transfer_encoding,
    http::field::upgrade,          http::field::content_length,
    http::field::expect,           http::field::proxy_authorization,
};

bool is_hop_by_hop_field(const http::fields::value_type& field,
                         const std::vector<std::string>& connection_options) {
    if (std::find(k_hop_by_hop_fields.begin(), k_hop_by_hop_fields.end(), field.name()) !=
        k_hop_by_hop_fields.end()) {
        return true;
    }
    return std::any_of(
        connection_options.begin(), connection_options.end(),
        [&field](const std::string& name) { return boost::beast::iequals(name, field.name_string()); });
}

} // namespace

std::vector<header_field> end_to_end_fields(const http::fields& fields) {
    std::vector<std::string> connection_options;
    for (const auto& token : http::token_list(fields[http::field::connection])) {
        connection_options.emplace_back(token);
    }
    std::vector<header_field> kept;
    for (const auto& field : fields) {
        if (!is_hop_by_hop_field(field, connection_options)) {
            kept.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
    }
    return kept;
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace lovage
