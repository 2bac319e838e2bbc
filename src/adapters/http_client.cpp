#include "lovage/adapters/http_client.h"

#include "lovage/adapters/settings.h"

#include <boost/asio.hpp>
#include <memory>
#include <mutex>
#include <ulfius.h>

namespace lovage {

namespace {

struct request_deleter {
    void operator()(struct _u_request* request) const { ulfius_clean_request_full(request); }
};
struct response_deleter {
    void operator()(struct _u_response* response) const { ulfius_clean_response_full(response); }
};
using request_ptr = std::unique_ptr<struct _u_request, request_deleter>;
using response_ptr = std::unique_ptr<struct _u_response, response_deleter>;

request_ptr make_request(const http_client_request& source) {
    static std::once_flag once;
    std::call_once(once, [] { ulfius_global_init(); });

    request_ptr request(static_cast<struct _u_request*>(o_malloc(sizeof(struct _u_request))));
    ulfius_init_request(request.get());
    // ulfius takes the timeout in whole seconds.
    const auto seconds = static_cast<unsigned long>((source.timeout.count() + 999) / 1'000);
    ulfius_set_request_properties(request.get(), U_OPT_HTTP_VERB, source.method.c_str(), U_OPT_HTTP_URL,
                                  source.url.c_str(), U_OPT_TIMEOUT, seconds, U_OPT_NONE);
    for (const auto& [name, value] : source.headers) {
        u_map_put(request->map_header, name.c_str(), value.c_str());
    }
    if (!source.body.empty()) {
        ulfius_set_request_properties(request.get(), U_OPT_BINARY_BODY, source.body.data(),
                                      source.body.size(), U_OPT_NONE);
    }
    // Without this header curl waits up to a second for "100 Continue" before it sends a large body.
    u_map_put(request->map_header, "Expect", "");
    return request;
}

response_ptr make_response() {
    response_ptr response(static_cast<struct _u_response*>(o_malloc(sizeof(struct _u_response))));
    ulfius_init_response(response.get());
    return response;
}

http_client_response read_response(const struct _u_response& source) {
    http_client_response response;
    response.status = static_cast<int>(source.status);
    for (int i = 0; i < source.map_header->nb_values; ++i) {
        response.headers[source.map_header->keys[i]] = source.map_header->values[i];
    }
    if (source.binary_body != nullptr) {
        response.body.assign(static_cast<const char*>(source.binary_body), source.binary_body_length);
    }
    return response;
}

std::string authority_of(const std::string& url) {
    const auto start = url.find("://");
    const auto begin = start == std::string::npos ? 0 : start + 3;
    return url.substr(begin, url.find('/', begin) - begin);
}

// ulfius does not distinguish a failed connect from a lost response, so a connection is opened first to test
// it.
bool can_connect(const std::string& url, milliseconds limit) {
    const auto address = parse_endpoint(authority_of(url));
    if (!address) {
        return false;
    }
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code outcome = boost::asio::error::would_block;
    const boost::asio::ip::tcp::endpoint remote(boost::asio::ip::make_address(address->ip), address->port);
    socket.async_connect(remote, [&outcome](const boost::system::error_code& code) { outcome = code; });
    context.run_for(limit);
    return !outcome;
}

struct stream_sink {
    const std::function<bool(std::string_view)>* on_data;
    bool stopped = false;
};

size_t write_stream(void* contents, size_t size, size_t count, void* user_data) {
    auto* sink = static_cast<stream_sink*>(user_data);
    if (!(*sink->on_data)(std::string_view(static_cast<const char*>(contents), size * count))) {
        sink->stopped = true;
        return 0;
    }
    return size * count;
}

} // namespace

result<http_client_response> http_send(const http_client_request& request) {
    if (!can_connect(request.url, request.connect_timeout)) {
        return fail(error_kind::peer_unreachable, "no connection to " + authority_of(request.url));
    }
    const request_ptr outgoing = make_request(request);
    const response_ptr incoming = make_response();
    if (ulfius_send_http_request(outgoing.get(), incoming.get()) != U_OK) {
        return fail(error_kind::outcome_unknown, "no answer from " + authority_of(request.url));
    }
    return read_response(*incoming);
}

result<http_client_response> http_send_streaming(const http_client_request& request,
                                                 const std::function<bool(std::string_view)>& on_data) {
    if (!can_connect(request.url, request.connect_timeout)) {
        return fail(error_kind::peer_unreachable, "no connection to " + authority_of(request.url));
    }
    const request_ptr outgoing = make_request(request);
    const response_ptr incoming = make_response();
    stream_sink sink{&on_data};
    const int sent = ulfius_send_http_streaming_request(outgoing.get(), incoming.get(), write_stream, &sink);
    if (sink.stopped) {
        return fail(error_kind::cancelled, "the stream was stopped");
    }
    if (sent != U_OK) {
        return fail(error_kind::outcome_unknown, "the stream from " + authority_of(request.url) + " broke");
    }
    return read_response(*incoming);
}

} // namespace lovage
