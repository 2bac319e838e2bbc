#include "ledger.h"

#include "lovage/adapters/http_client.h"
#include "lovage/core/ids.h"

#include <nlohmann/json.hpp>

namespace lovage::load {

result<std::map<std::string, std::uint64_t>> read_ledgers(const std::vector<std::string>& addresses) {
    std::map<std::string, std::uint64_t> runs;
    for (const auto& address : addresses) {
        http_client_request request;
        request.url = "http://" + address + "/ledger";
        request.timeout = milliseconds{30'000};
        const auto answer = http_send(request);
        if (!answer) {
            return tl::unexpected<error>(answer.error());
        }
        const auto body = nlohmann::json::parse(answer->body, nullptr, false);
        if (answer->status != 200 || !body.is_object()) {
            return fail(error_kind::protocol_error, address + " did not answer with a ledger");
        }
        for (const auto& call : body.value("calls", nlohmann::json::array())) {
            // Lookups are idempotent, so they may run more than once.
            if (call.value("method", "") != "GET") {
                runs[call.value("key", "")] += call.value("count", std::uint64_t{0});
            }
        }
    }
    return runs;
}

void compare_with_ledger(ledger_findings& findings, const request_record& record,
                         const std::map<std::string, std::uint64_t>& runs) {
    const auto id = request_id::from_key(record.organisation, record.key).to_string();
    const auto found = runs.find(id);
    const std::uint64_t count = found == runs.end() ? 0 : found->second;
    findings.calls += count;
    findings.ran_twice += count > 1 ? 1 : 0;
    findings.not_run_but_ran += record.outcome == outcome::refused_not_run && count > 0 ? 1 : 0;
    findings.complete_but_not_run += record.outcome == outcome::complete && count == 0 ? 1 : 0;
}

} // namespace lovage::load
