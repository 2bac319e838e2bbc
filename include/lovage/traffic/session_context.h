#pragma once

#include "lovage/control/view_publisher.h"
#include "lovage/core/adoption_wait.h"
#include "lovage/core/ids.h"
#include "lovage/core/process_pause.h"
#include "lovage/core/resume.h"
#include "lovage/core/time.h"
#include "lovage/ports/peer_port.h"
#include "lovage/traffic/dispatch_scheduler.h"
#include "lovage/traffic/evidence_recorder.h"
#include "lovage/traffic/generation_quarantine.h"
#include "lovage/traffic/service_record.h"
#include "lovage/traffic/target_table.h"
#include "lovage/traffic/timer_queue.h"

#include <functional>
#include <memory>
#include <string>

namespace lovage {

struct session_options {
    node_id self;
    std::string region;
    /// How long an answer without callers continues before it is cancelled. Equals the time for which agents
    /// continue a generation without a home entry.
    milliseconds abandoned_after{30'000};
    /// How long a home entry that is asked for the rest of an answer waits for an agent's offer of the
    /// running generation (adoption) before it starts a new one.
    milliseconds adoption_wait{500};
    /// How long a relay waits for the connection to the home entry to come back before it attaches to the
    /// next one.
    milliseconds home_reconnect_wait{250};
};

/// Objects that all sessions of an entry share. All members are thread-safe and live as long as the sessions.
struct session_context {
    session_options options;
    /// `send` must queue the message and return; sessions call it with their mutex held.
    peer_port peers;
    std::shared_ptr<target_table> targets;
    std::shared_ptr<dispatch_scheduler> scheduler;
    std::shared_ptr<timer_queue> timers;
    std::shared_ptr<const view_publisher> views;
    std::shared_ptr<evidence_recorder> evidence;
    std::shared_ptr<service_record> record;
    std::shared_ptr<generation_quarantine> quarantine;
    std::function<answer_id()> new_answer_id;
    /// The pauses of this process up to now, in which other entries may have taken over its requests.
    std::function<process_pauses()> pauses;
    /// What this entry knows of generations of the request that agents may still offer; without
    /// `holds_answer`.
    std::function<adoption_prospects(const request_id&)> prospects;
    /// Adds to a counter.
    std::function<void(const std::string& name, double by)> count;
    /// Records, beyond the life of the session, that an attempt of the request may have run; input of
    /// `core/not_run`.
    std::function<void(const request_id&)> record_dispatched;
    std::function<bool(const request_id&)> was_dispatched;
    /// Called with the session's mutex held when a session needs no more resources: the answer is finished
    /// (`bytes` of text are retained) or the session failed or was abandoned (`bytes` is 0).
    std::function<void(const request_id&, bool finished, std::size_t bytes)> on_ended;
};

} // namespace lovage
