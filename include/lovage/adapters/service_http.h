#pragma once

#include "lovage/core/result.h"
#include "lovage/core/time.h"
#include "lovage/ports/service_port.h"

#include <memory>
#include <string>

namespace lovage {

class metrics;

struct service_http_options {
    /// "ip:port" of the service.
    std::string address;
    milliseconds health_interval{200};
    /// Maximum duration of a call, with or without a deadline.
    milliseconds max_call_duration{60'000};
};

/// Implements `service_port` over the service's HTTP interface (docs/design.md, 10.2). A thread polls
/// `GET /healthz`; the service is up while the last successful response is less than a second old.
class service_http {
public:
    /// `counters` must outlive the service.
    static result<std::unique_ptr<service_http>> create(const service_http_options& options,
                                                        metrics& counters);
    ~service_http();
    service_http(const service_http&) = delete;
    service_http& operator=(const service_http&) = delete;

    service_port port() const;

private:
    service_http();
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace lovage
