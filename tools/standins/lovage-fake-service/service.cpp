#include "service.h"

#include "standins/json_http.h"

#include <utility>

namespace lovage::standins {

namespace {

using nlohmann::json;

const field_setters<service_faults> k_fault_fields{
    {"kind", [](service_faults& faults,
                const json& value) { faults.kind = parse_enum<call_fault>(k_call_fault_names, value); }},
    {"calls", [](service_faults& faults, const json& value) { faults.calls = value.get<std::int64_t>(); }},
    {"share", [](service_faults& faults, const json& value) { faults.share = value.get<double>(); }},
    {"match", [](service_faults& faults, const json& value) { faults.match = value.get<std::string>(); }},
    {"stall_ms", [](service_faults& faults,
                    const json& value) { faults.stall = milliseconds(value.get<std::uint32_t>()); }},
};

} // namespace

fake_service::fake_service(service_options options, service_faults faults)
    : m_options(std::move(options)), m_faults(std::move(faults)), m_random(m_options.random_seed) {}

result<std::unique_ptr<fake_service>> fake_service::create(service_options options, service_faults faults) {
    std::unique_ptr<fake_service> service(new fake_service(std::move(options), std::move(faults)));
    const std::string& path = service->m_options.ledger_path;
    if (path.empty()) {
        return service;
    }
    std::ifstream existing(path);
    for (std::string line; std::getline(existing, line);) {
        const json call = json::parse(line, nullptr, false);
        if (!call.is_object()) {
            return fail(error_kind::invalid_settings,
                        path + ": a line is not a JSON object of a call ledger");
        }
        ++service->m_ledger[{call.value("key", ""), call.value("method", ""), call.value("path", "")}];
    }
    service->m_ledger_file.open(path, std::ios::app);
    if (!service->m_ledger_file) {
        return fail(error_kind::invalid_settings, path + ": the ledger file cannot be written");
    }
    return service;
}

call_fault fake_service::draw_fault(const std::string& method, const std::string& path) {
    const std::lock_guard lock(m_mutex);
    const std::string call = method + " " + path;
    const bool is_candidate = m_faults.kind != call_fault::none && m_faults.calls != 0 &&
                              call.compare(0, m_faults.match.size(), m_faults.match) == 0;
    if (!is_candidate || std::uniform_real_distribution<>(0.0, 1.0)(m_random) >= m_faults.share) {
        return call_fault::none;
    }
    m_faults.calls -= m_faults.calls > 0 ? 1 : 0;
    return m_faults.kind;
}

void fake_service::record(const ledger_call& call) {
    const std::lock_guard lock(m_mutex);
    ++m_ledger[call];
    if (m_ledger_file.is_open()) {
        const json line = {{"key", call.key}, {"method", call.method}, {"path", call.path}};
        m_ledger_file << line.dump() << std::endl;
    }
}

call_ledger fake_service::ledger() {
    const std::lock_guard lock(m_mutex);
    return m_ledger;
}

service_faults fake_service::faults() {
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

result<service_faults> fake_service::change_faults(const json& change) {
    const std::lock_guard lock(m_mutex);
    service_faults changed = m_faults;
    try {
        set_fields(changed, change, k_fault_fields);
    } catch (const std::exception& failure) {
        return fail(error_kind::invalid_request, failure.what());
    }
    m_faults = changed;
    return changed;
}

void fake_service::wait(milliseconds delay) {
    std::unique_lock lock(m_mutex);
    m_stop_requested.wait_for(lock, delay, [this] { return m_stopping; });
}

void fake_service::stop() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stop_requested.notify_all();
}

json to_json(const service_faults& faults) {
    return {{"kind", name_of(k_call_fault_names, faults.kind)},
            {"calls", faults.calls},
            {"share", faults.share},
            {"match", faults.match},
            {"stall_ms", faults.stall.count()}};
}

} // namespace lovage::standins
