#pragma once

#include "lovage/core/enum_names.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <tuple>

namespace lovage::standins {

/// What happens to a call that is selected for the fault.
enum class call_fault : std::uint8_t {
    none,
    /// The call runs and its connection closes without a response.
    lose_answer,
    /// The response is 500 and the call does not run.
    error_before,
    /// The response is 500 after the call ran.
    error_after,
    /// The process kills itself with SIGKILL before the call runs.
    die_before,
    /// The process kills itself with SIGKILL after the call ran and before its response.
    die_after,
    /// The call runs and its response is delayed by `stall` while the connection stays open.
    stall,
};
inline constexpr std::size_t k_call_fault_count = 7;
inline constexpr enum_names<k_call_fault_count> k_call_fault_names{
    "none", "lose_answer", "error_before", "error_after", "die_before", "die_after", "stall"};

/// The fault of the service and the calls that it applies to. Tests change it through /faults.
struct service_faults {
    call_fault kind = call_fault::none;
    /// Number of further calls that get the fault; -1 for no limit.
    std::int64_t calls = -1;
    /// Fraction of the matching calls that get it, between 0 and 1.
    double share = 1.0;
    /// Prefix of "METHOD /path" of the matching calls; empty for all.
    std::string match;
    /// Delay of the response with `call_fault::stall`.
    milliseconds stall{60'000};
};

/// Settings of the service; they do not change while it runs.
struct service_options {
    /// Delays of the responses to GET /lookup, POST /listings and POST /lodgements.
    milliseconds lookup_delay{2};
    milliseconds listing_delay{20};
    milliseconds lodgement_delay{50};
    /// File that preserves the ledger when the process is killed; empty for none.
    std::string ledger_path;
    std::uint64_t random_seed = 1;
};

/// Key of the ledger: calls that differ in one of these are counted separately.
struct ledger_call {
    /// Idempotency key; empty if the call had none.
    std::string key;
    std::string method;
    std::string path;

    friend bool operator<(const ledger_call& a, const ledger_call& b) {
        return std::tie(a.key, a.method, a.path) < std::tie(b.key, b.method, b.path);
    }
};

/// Number of times that each call ran. Tests read it to detect lost and repeated calls.
using call_ledger = std::map<ledger_call, std::uint64_t>;

/// Records the calls that the service ran and selects calls for faults. Thread-safe.
class fake_service {
public:
    /// Creates a service and reads the ledger file, if there is one. Fails with `invalid_settings` if the
    /// file cannot be used.
    static result<std::unique_ptr<fake_service>> create(service_options options, service_faults faults);

    /// Returns the fault of a call, and counts down `service_faults::calls` unless it is `none`.
    call_fault draw_fault(const std::string& method, const std::string& path);
    /// Adds a call to the ledger, and to its file before it returns.
    void record(const ledger_call& call);
    call_ledger ledger();

    service_faults faults();
    /// Changes the fields that the JSON object names and returns all of them. Fails with `invalid_request`.
    result<service_faults> change_faults(const nlohmann::json& change);

    /// Blocks for `delay` or until `stop` is called.
    void wait(milliseconds delay);
    /// Ends all waits.
    void stop();

    const service_options& options() const { return m_options; }

private:
    fake_service(service_options options, service_faults faults);

    const service_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_stop_requested;
    bool m_stopping = false;
    service_faults m_faults;
    call_ledger m_ledger;
    std::ofstream m_ledger_file;
    std::mt19937_64 m_random;
};

nlohmann::json to_json(const service_faults& faults);

} // namespace lovage::standins
