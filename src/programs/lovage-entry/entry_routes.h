#pragma once

#include "entry_settings.h"

#include "lovage/adapters/claim_store.h"
#include "lovage/adapters/http_server.h"
#include "lovage/adapters/metrics.h"
#include "lovage/adapters/node_control.h"
#include "lovage/traffic/entry_service.h"
#include "lovage/traffic/service_caller.h"

#include <memory>
#include <vector>

namespace lovage {

/// Connects the code that calls plain services (targets that are no model engines) to the entry. `claims` is
/// null for an entry without a store. The references must outlive the service caller.
service_caller_ports caller_ports(entry_service& service, const peer_port& peers,
                                  const std::shared_ptr<view_publisher>& views, metrics& counters,
                                  const std::shared_ptr<claim_store>& claims);

/// All HTTP routes of an entry. `control` is null if the settings give the fleet instead of a store. The
/// references must outlive the server.
std::vector<http_route> entry_routes(const entry_settings& settings, entry_service& service,
                                     service_caller& caller, const std::shared_ptr<view_publisher>& views,
                                     metrics& counters, node_control* control);

} // namespace lovage
