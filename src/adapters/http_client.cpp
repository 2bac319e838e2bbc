#include "lovage/adapters/http_client.h"

#include "lovage/adapters/settings.h"
#include "lovage/core/http_status.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <curl/curl.h>
#include <memory>
#include <mutex>
#include <strings.h>

namespace lovage {

namespace {

struct handle_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using handle_ptr = std::unique_ptr<CURL, handle_deleter>;
using list_ptr = std::unique_ptr<curl_slist, list_deleter>;

// Maximum size of all heads of a response and its trailer together.
constexpr std::size_t k_max_head_bytes = 65'536;

// The state of one exchange; the callbacks of curl write it.
struct exchange_state {
    http_client_response response;
    const std::function<bool(std::string_view)>* on_data = nullptr;
    /// A connection was made, so the request may have been sent.
    bool is_connected = false;
    /// The blank line that ends the head has been read. curl reports an answer that ends before it as
    /// success, without a body.
    bool has_whole_head = false;
    /// The head states a length or chunks.
    bool has_framing = false;
    bool is_stopped = false;
    std::size_t head_bytes = 0;
    std::size_t max_body_bytes = 0;
    bool is_too_large = false;
    bool has_invalid_status = false;
};

std::string_view trimmed(std::string_view text) {
    const auto is_space = [](unsigned char c) { return std::isspace(c) != 0; };
    while (!text.empty() && is_space(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_space(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

// Checks the status code in "HTTP/1.1 200 OK". curl accepts codes out of range.
bool has_valid_status(std::string_view status_line) {
    constexpr std::size_t k_digits = 3;
    const auto space = status_line.find(' ');
    if (space == std::string_view::npos) {
        return false;
    }
    const auto rest = status_line.substr(space + 1);
    const auto code = rest.substr(0, rest.find(' '));
    unsigned status = 0;
    const auto parsed = std::from_chars(code.data(), code.data() + code.size(), status);
    return code.size() == k_digits && parsed.ec == std::errc{} && parsed.ptr == code.data() + code.size() &&
           is_http_status(status);
}

int on_connected(void* user_data, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                 int /*local_port*/) {
    static_cast<exchange_state*>(user_data)->is_connected = true;
    return CURL_PREREQFUNC_OK;
}

// Called with each whole line of a head, and of a trailer.
size_t read_head_line(const char* data, size_t size, size_t count, void* user_data) {
    auto* state = static_cast<exchange_state*>(user_data);
    const std::string_view line(data, size * count);
    state->head_bytes += line.size();
    if (state->head_bytes > k_max_head_bytes) {
        state->is_too_large = true;
        return 0;
    }
    const auto text = trimmed(line);
    const auto colon = text.find(':');
    if (line.substr(0, 5) == "HTTP/") {
        // An informational head may come before the head of the answer.
        state->response.headers.clear();
        state->has_whole_head = false;
        state->has_framing = false;
        if (!has_valid_status(text)) {
            state->has_invalid_status = true;
            return 0;
        }
    } else if (text.empty()) {
        state->has_whole_head = true;
    } else if (colon != std::string_view::npos) {
        const std::string name(trimmed(text.substr(0, colon)));
        state->has_framing |= strcasecmp(name.c_str(), "Content-Length") == 0 ||
                              strcasecmp(name.c_str(), "Transfer-Encoding") == 0;
        state->response.headers[name] = trimmed(text.substr(colon + 1));
    }
    return line.size();
}

size_t read_body(const char* data, size_t size, size_t count, void* user_data) {
    auto* state = static_cast<exchange_state*>(user_data);
    const std::string_view bytes(data, size * count);
    if (state->on_data == nullptr) {
        if (bytes.size() > state->max_body_bytes - state->response.body.size()) {
            state->is_too_large = true;
            return 0;
        }
        state->response.body.append(bytes);
        return bytes.size();
    }
    state->is_stopped = !(*state->on_data)(bytes);
    return state->is_stopped ? 0 : bytes.size();
}

std::string authority_of(const std::string& url) {
    const auto start = url.find("://");
    const auto begin = start == std::string::npos ? 0 : start + 3;
    return url.substr(begin, url.find('/', begin) - begin);
}

list_ptr make_fields(const http_client_request& request) {
    // Without the empty field curl waits up to a second for "100 Continue" before it sends a large body.
    list_ptr fields(curl_slist_append(nullptr, "Expect:"));
    for (const auto& [name, value] : request.headers) {
        // A semicolon in place of the colon sends a field without a value.
        std::string field = name;
        field.append(value.empty() ? ";" : ": ").append(value);
        curl_slist_append(fields.get(), field.c_str());
    }
    return fields;
}

handle_ptr make_handle(const http_client_request& request, const list_ptr& fields, exchange_state& state) {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });

    handle_ptr handle(curl_easy_init());
    auto* raw = handle.get();
    curl_easy_setopt(raw, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(raw, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(raw, CURLOPT_PROXY, "");
    curl_easy_setopt(raw, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // Timeouts without signals, which would reach other threads.
    curl_easy_setopt(raw, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(raw, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connect_timeout.count()));
    curl_easy_setopt(raw, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(raw, CURLOPT_HTTPHEADER, fields.get());
    if (!request.body.empty()) {
        curl_easy_setopt(raw, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(raw, CURLOPT_POSTFIELDS, request.body.data());
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(raw, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(raw, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(raw, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(raw, CURLOPT_PREREQDATA, &state);
    curl_easy_setopt(raw, CURLOPT_HEADERFUNCTION, read_head_line);
    curl_easy_setopt(raw, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(raw, CURLOPT_WRITEFUNCTION, read_body);
    curl_easy_setopt(raw, CURLOPT_WRITEDATA, &state);
    return handle;
}

// Returns whether the end of the connection is the end of the answer and came before the whole request was
// sent. curl stops sending when the server closes, and reports success.
bool ends_in_upload(CURL* handle, const http_client_request& request, const exchange_state& state) {
    constexpr int k_no_content = 204;
    constexpr int k_not_modified = 304;
    const int status = state.response.status;
    const bool has_no_body = status == k_no_content || status == k_not_modified;
    curl_off_t sent = 0;
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &sent);
    return !state.has_framing && !has_no_body && static_cast<std::size_t>(sent) < request.body.size();
}

result<http_client_response> exchange(const http_client_request& request,
                                      const std::function<bool(std::string_view)>* on_data) {
    const auto authority = authority_of(request.url);
    // Only addresses: the resolver would take its time on a name.
    if (const auto address = parse_endpoint(authority); !address) {
        return fail(error_kind::peer_unreachable, address.error().detail);
    }
    exchange_state state;
    state.on_data = on_data;
    state.max_body_bytes = request.max_body_bytes;
    const list_ptr fields = make_fields(request);
    const handle_ptr handle = make_handle(request, fields, state);
    const auto outcome = curl_easy_perform(handle.get());
    if (state.is_stopped) {
        return fail(error_kind::cancelled, "the stream was stopped");
    }
    if (!state.is_connected) {
        return fail(error_kind::peer_unreachable,
                    "no connection to " + authority + ": " + curl_easy_strerror(outcome));
    }
    if (outcome != CURLE_OK || !state.has_whole_head) {
        const char* reason = state.is_too_large         ? "it is larger than the limit"
                             : state.has_invalid_status ? "its status is invalid"
                             : outcome != CURLE_OK      ? curl_easy_strerror(outcome)
                                                        : "its head was cut short";
        return fail(error_kind::outcome_unknown, "no whole answer from " + authority + ": " + reason);
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    state.response.status = static_cast<int>(status);
    if (ends_in_upload(handle.get(), request, state)) {
        return fail(error_kind::outcome_unknown, "no whole answer from " + authority +
                                                     ": the connection ended before the request was sent");
    }
    return std::move(state.response);
}

} // namespace

result<http_client_response> http_send(const http_client_request& request) {
    return exchange(request, nullptr);
}

result<http_client_response> http_send_streaming(const http_client_request& request,
                                                 const std::function<bool(std::string_view)>& on_data) {
    return exchange(request, &on_data);
}

} // namespace lovage
