#include "lovage/adapters/report_http.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace lovage {

namespace {

using nlohmann::json;

constexpr int k_bar_height = 22;
constexpr int k_label_width = 330;
constexpr int k_bar_width = 400;
// Minimum range of the chart, which always shows the line at a burn rate of 1, where the error budget is
// spent exactly.
constexpr double k_min_scale = 2.0;

http_response json_response(const json& body) {
    http_response response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

std::string parameter(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

json describe_burn(const burn_line& line) {
    return {{"service", line.key.service},
            {"organisation_class", line.key.organisation_class},
            {"route", line.key.route},
            {"objective", line.objective},
            {"requests_5min", line.short_counts.total},
            {"missed_5min", line.short_counts.missed},
            {"burn_5min", line.short_burn},
            {"requests_1h", line.long_counts.total},
            {"missed_1h", line.long_counts.missed},
            {"burn_1h", line.long_burn},
            {"budget_left_1h", line.budget_left}};
}

json describe_moves(const fleet_view& view) {
    json moves = json::array();
    for (const auto& move : view.moves) {
        const auto& vetoed = view.vetoed_moves;
        moves.push_back({{"id", move.id},
                         {"model", move.model},
                         {"from", move.from},
                         {"to", move.to},
                         {"phase", name_of(k_move_phase_names, move.phase)},
                         {"share", move.share},
                         {"vetoed", std::find(vetoed.begin(), vetoed.end(), move.id) != vetoed.end()},
                         {"reason", move.reason}});
    }
    return moves;
}

json make_report(const report_sources& sources) {
    const auto view = sources.view();
    const service_level totals = sources.record->totals();
    json burn = json::array();
    for (const auto& line : sources.record->burn(*view)) {
        burn.push_back(describe_burn(line));
    }
    return {{"node", sources.node},
            {"requests",
             {{"ended", totals.requests},
              {"honoured", totals.honoured},
              {"resumed", totals.resumed},
              {"tokens", totals.tokens},
              {"extra_tokens", totals.extra_tokens}}},
            {"work",
             {{"attempts", sources.counters->value("attempts_total")},
              {"resumes", sources.counters->value("resumes_total")},
              {"restarts", sources.counters->value("restarts_total")},
              {"adoptions", sources.counters->value("adoptions_total")},
              {"extra_tokens", sources.counters->value("extra_tokens_total")}}},
            {"burn", std::move(burn)},
            {"store_calls", sources.counters->sums("store_calls_total", "call")},
            {"moves", describe_moves(*view)}};
}

std::string escape(const std::string& text) {
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string cell_text(const json& value) {
    if (value.is_string()) {
        return escape(value.get<std::string>());
    }
    if (value.is_number_float()) {
        std::ostringstream text;
        text << std::setprecision(4) << value.get<double>();
        return text.str();
    }
    return escape(value.dump());
}

std::string pairs_table(const char* title, const json& pairs) {
    std::string html = std::string("<h2>") + title + "</h2><table>";
    for (const auto& [name, value] : pairs.items()) {
        html += "<tr><th>" + escape(name) + "</th><td>" + cell_text(value) + "</td></tr>";
    }
    return html + "</table>";
}

std::string rows_table(const char* title, const json& rows) {
    std::string html = std::string("<h2>") + title + "</h2>";
    if (rows.empty()) {
        return html + "<p>none</p>";
    }
    html += "<table><tr>";
    for (const auto& [name, value] : rows.front().items()) {
        html += "<th>" + escape(name) + "</th>";
    }
    html += "</tr>";
    for (const auto& row : rows) {
        html += "<tr>";
        for (const auto& [name, value] : row.items()) {
            html += "<td>" + cell_text(value) + "</td>";
        }
        html += "</tr>";
    }
    return html + "</table>";
}

// Draws bars of the burn rates over one hour; a line marks the rate that spends the error budget exactly.
std::string burn_chart(const json& burn) {
    double scale = k_min_scale;
    for (const auto& line : burn) {
        scale = std::max(scale, line["burn_1h"].get<double>());
    }
    const auto x_of = [scale](double rate) {
        return k_label_width + static_cast<int>(rate / scale * k_bar_width);
    };
    const int height = static_cast<int>(burn.size()) * k_bar_height + k_bar_height;
    std::ostringstream svg;
    svg << "<svg role=\"img\" aria-label=\"Burn rate over one hour\" width=\""
        << k_label_width + k_bar_width + 80 << "\" height=\"" << height << "\">";
    int y = 0;
    for (const auto& line : burn) {
        const double rate = line["burn_1h"].get<double>();
        svg << "<text x=\"0\" y=\"" << y + 15 << "\">" << escape(line["service"].get<std::string>()) << " ("
            << escape(line["organisation_class"].get<std::string>()) << ")</text><rect x=\"" << k_label_width
            << "\" y=\"" << y + 3 << "\" width=\"" << std::max(1, x_of(rate) - k_label_width)
            << "\" height=\"16\" fill=\"" << (rate > 1.0 ? "#b3261e" : "#2e7d32") << "\"/><text x=\""
            << x_of(rate) + 6 << "\" y=\"" << y + 15 << "\">" << std::setprecision(3) << rate << "</text>";
        y += k_bar_height;
    }
    svg << "<line x1=\"" << x_of(1.0) << "\" x2=\"" << x_of(1.0) << "\" y1=\"0\" y2=\"" << y
        << "\" stroke=\"#333\" stroke-dasharray=\"4 3\"/><text x=\"" << x_of(1.0) - 4 << "\" y=\"" << y + 15
        << "\">1</text></svg>";
    return svg.str();
}

http_response html_report(const json& report) {
    http_response response;
    response.content_type = "text/html; charset=utf-8";
    response.body = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Report of " +
                    escape(report["node"].get<std::string>()) +
                    "</title><style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
                    "th,td{border:1px solid #ccc;padding:3px 8px;text-align:left}"
                    "svg{font:12px sans-serif}</style></head><body><h1>Report of " +
                    escape(report["node"].get<std::string>()) + "</h1><h2>Burn rate over one hour</h2>" +
                    burn_chart(report["burn"]) + rows_table("Service level", report["burn"]) +
                    pairs_table("Requests", report["requests"]) + pairs_table("Work", report["work"]) +
                    rows_table("Moves", report["moves"]) + pairs_table("Store calls", report["store_calls"]) +
                    "</body></html>\n";
    return response;
}

http_response report(const report_sources& sources, const http_request& request) {
    const json body = make_report(sources);
    return parameter(request, "format") == "html" ? html_report(body) : json_response(body);
}

http_response explain(const report_sources& sources, const http_request& request) {
    const std::string id = parameter(request, "request");
    const std::string move = parameter(request, "move");
    if (id.empty() == move.empty()) {
        return error_response({error_kind::invalid_request, "either request=ID or move=ID is needed", {}},
                              false);
    }
    const std::string& subject = id.empty() ? move : id;
    const auto decisions = sources.record->decisions(subject);
    if (decisions.empty()) {
        return error_response({error_kind::not_found, "nothing is recorded here about " + subject, {}},
                              false);
    }
    json events = json::array();
    for (const auto& entry : decisions) {
        events.push_back({{"time_ms", entry.at.time_since_epoch().count()},
                          {"event", entry.event},
                          {"detail", entry.detail}});
    }
    return json_response({{"subject", subject}, {"node", sources.node}, {"events", std::move(events)}});
}

http_response drain(const report_sources& sources, const http_request& request) {
    const std::string target = parameter(request, "target");
    if (target.empty()) {
        return error_response({error_kind::invalid_request, "target=NAME is needed", {}}, false);
    }
    const auto agent = sources.drain(target);
    if (!agent) {
        return error_response({error_kind::not_found, "no target " + target + " is known here", {}}, false);
    }
    return json_response({{"draining", true}, {"target", target}, {"agent", *agent}});
}

} // namespace

std::vector<http_route> report_routes(const report_sources& sources) {
    return {
        {"GET", "/admin/report", [sources](const http_request& request) { return report(sources, request); }},
        {"GET", "/admin/explain",
         [sources](const http_request& request) { return explain(sources, request); }},
        {"POST", "/admin/drain", [sources](const http_request& request) { return drain(sources, request); }},
    };
}

} // namespace lovage
