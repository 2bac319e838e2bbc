#include "entry_commands.h"

#include "lovage/adapters/http_client.h"
#include "lovage/adapters/json_text.h"
#include "lovage/adapters/url_codec.h"

#include <cstdio>

namespace lovage::ctl {

namespace {

// Sends the request to the entries in turn until one can be reached.
result<http_client_response> send_to_entries(const cli_options& options, const std::string& method,
                                             const std::string& path) {
    error last{error_kind::invalid_request, "no --entry given", milliseconds(0)};
    for (const auto& address : options.texts(option::entry)) {
        http_client_request request;
        request.method = method;
        request.url.append("http://").append(address).append(path);
        request.timeout = milliseconds(5'000);
        auto answer = http_send(request);
        if (answer) {
            return answer;
        }
        last = answer.error();
        // A read has no effect, so its outcome is never unknown.
        last.kind = method == "GET" ? error_kind::peer_unreachable : last.kind;
    }
    return tl::unexpected<error>(last);
}

exit_code print_answer(const cli_options& options, const std::string& method, const std::string& path) {
    const auto answer = send_to_entries(options, method, path);
    if (!answer) {
        return report_error(answer.error());
    }
    if (answer->status != 200) {
        std::fprintf(stderr, "the entry answered with status %d: %s\n", answer->status, answer->body.c_str());
        return answer->status == 503 ? exit_code::unavailable : exit_code::failure;
    }
    if (options.has(option::json)) {
        std::printf("%s\n", answer->body.c_str());
        return exit_code::ok;
    }
    const auto text = json_to_text(answer->body);
    if (!text) {
        return report_error(text.error());
    }
    std::printf("%s", text->c_str());
    return exit_code::ok;
}

} // namespace

exit_code run_status(const cli_options& options) {
    return print_answer(options, "GET", "/admin/status");
}

exit_code run_report(const cli_options& options) {
    return print_answer(options, "GET", "/admin/report");
}

exit_code run_drain(const cli_options& options) {
    return print_answer(options, "POST", "/admin/drain?target=" + url_encode(options.text(option::target)));
}

exit_code run_explain(const cli_options& options) {
    if (options.has(option::request) == options.has(option::move)) {
        return report_error(
            {error_kind::invalid_request, "explain needs --request or --move", milliseconds(0)});
    }
    const option id = options.has(option::request) ? option::request : option::move;
    return print_answer(options, "GET",
                        std::string("/admin/explain?") + info_of(id).name + "=" +
                            url_encode(options.text(id)));
}

} // namespace lovage::ctl
