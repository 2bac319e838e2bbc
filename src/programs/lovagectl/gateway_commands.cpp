#include "gateway_commands.h"

#include "command.h"
#include "file_text.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/json_text.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace lovage::ctl {

namespace {

// Editors end lines with LF, HTTP with CRLF; the body is left as it is.
std::string with_http_line_ends(const std::string& text) {
    std::string request;
    bool is_head = true;
    for (std::size_t at = 0; at < text.size();) {
        const auto end = is_head ? text.find('\n', at) : std::string::npos;
        if (end == std::string::npos) {
            request.append(text, at);
            return is_head ? request + "\r\n\r\n" : request;
        }
        const auto length = end - at - (end > at && text[end - 1] == '\r' ? 1 : 0);
        request.append(text, at, length).append("\r\n");
        is_head = length > 0;
        at = end + 1;
    }
    return is_head ? request + "\r\n" : request;
}

bool is_refused(const std::string& answer) {
    const auto document = nlohmann::json::parse(answer, nullptr, false);
    return document.is_object() && document.value("outcome", "") == "refuse";
}

} // namespace

exit_code run_where(const cli_options& options) {
    const auto text = read_file(options.text(option::request));
    if (!text) {
        return report_error(text.error());
    }
    http_client_request request;
    request.method = "POST";
    request.url = "http://" + options.text(option::gateway) + "/where";
    request.body = with_http_line_ends(*text);
    auto answer = http_send(request);
    if (!answer) {
        // Nothing is changed by the query, so its outcome is never unknown.
        auto failure = answer.error();
        failure.kind = error_kind::peer_unreachable;
        return report_error(failure);
    }
    if (answer->status != 200) {
        std::fprintf(stderr, "the gateway answered with status %d: %s", answer->status, answer->body.c_str());
        return answer->status == 400 || answer->status == 413 ? exit_code::usage : exit_code::failure;
    }
    if (options.has(option::json)) {
        std::printf("%s", answer->body.c_str());
    } else if (const auto printed = json_to_text(answer->body)) {
        std::printf("%s", printed->c_str());
    } else {
        return report_error(printed.error());
    }
    return is_refused(answer->body) ? exit_code::not_accepted : exit_code::ok;
}

} // namespace lovage::ctl
