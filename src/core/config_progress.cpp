#include "lovage/core/config_progress.h"

namespace lovage {

config_progress progress_of(config_revision wanted, const process_status& answer) {
    if (!answer.revision) {
        return config_progress::unreachable;
    }
    if (*answer.revision < wanted) {
        return config_progress::behind;
    }
    return answer.is_ready ? config_progress::in_force : config_progress::not_ready;
}

bool needs_config(const std::string& state) {
    return state != "dead" && state != "leaving" && state != "left";
}

} // namespace lovage
