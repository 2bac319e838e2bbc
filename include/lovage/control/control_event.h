#pragma once

#include "lovage/core/config_copy.h"
#include "lovage/core/enum_names.h"
#include "lovage/core/gossip_message.h"
#include "lovage/core/messages.h"
#include "lovage/core/result.h"
#include "lovage/core/store_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

/// The worker thread that executes a blocking call. Each lane has its own thread, so that a pending watch or
/// a slow peer does not delay the renewal of a lease.
enum class io_lane : std::uint8_t { store, watch, fetch };
inline constexpr std::size_t k_io_lane_count = 3;
inline constexpr enum_names<k_io_lane_count> k_io_lane_names{"store", "watch", "fetch"};

/// What a blocking call is for; selects the lane that executes it and the handler of its result.
///
/// `config_start`: read the configuration from the store at start. `config_watch`: wait for a newer one in
/// the store. `start_peer`: fetch it from a peer at start, while the store does not answer. `config_pull`:
/// fetch a newer revision from a peer that announced it. `leadership`: acquire, renew or release the leader's
/// lease. `move_read`, `move_write`: read or write the record of a move. `config_restore`: write the active
/// configuration again, which a restored store has lost.
enum class io_purpose : std::uint8_t {
    config_start,
    config_watch,
    start_peer,
    config_pull,
    leadership,
    move_read,
    move_write,
    config_restore
};
inline constexpr std::size_t k_io_purpose_count = 8;
inline constexpr enum_names<k_io_purpose_count> k_io_purpose_names{
    "config_start", "config_watch", "start_peer", "config_pull",
    "leadership",   "move_read",    "move_write", "config_restore"};

/// A blocking call for a worker thread: a store call, or for `start_peer` and `config_pull` an HTTP fetch of
/// the configuration from `http_address`.
struct io_request {
    io_purpose purpose = io_purpose::config_start;
    store_request store;
    std::string http_address;
    /// For `move_read` and `move_write`: the id of the move.
    std::string move;
};

/// A gossip datagram arrived from `from` ("ip:port").
struct datagram_event {
    gossip_message message;
    std::string from;
};

/// A worker thread finished a blocking call.
struct io_event {
    io_request request;
    store_reply store;
    /// For `start_peer` and `config_pull`: the fetched configuration, unless `store.failure` is set.
    std::optional<config_copy> copy;
};

/// A peer message from another process or from this process's own traffic threads. `from` is the sender's
/// node id.
struct load_report_event {
    node_id from;
    load_report_message message;
};
struct evidence_event {
    node_id from;
    evidence_message message;
};
struct order_result_event {
    node_id from;
    order_result_message message;
};

enum class vm_state : std::uint8_t { live, leaving };
inline constexpr std::size_t k_vm_state_count = 2;
inline constexpr enum_names<k_vm_state_count> k_vm_state_names{"live", "leaving"};

/// An entry of the platform's list of VMs.
struct vm_info {
    std::string name;
    std::string address;
    std::string zone;
    node_role role = node_role::agent;
    vm_state state = vm_state::live;
};

/// The platform's list of VMs was read. The list lags behind the actual state.
struct vm_list_event {
    std::vector<vm_info> vms;
};

/// This process starts its graceful shutdown.
struct leave_event {};

using control_event = std::variant<datagram_event, io_event, load_report_event, evidence_event,
                                   order_result_event, vm_list_event, leave_event>;

} // namespace lovage
