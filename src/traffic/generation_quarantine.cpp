#include "lovage/traffic/generation_quarantine.h"

#include <string>
#include <vector>

namespace lovage {

namespace {

std::string version_of(const generation_spec& spec) {
    return spec.model + "/" + spec.model_version;
}

std::vector<std::string> parts_of(const generation_spec& spec) {
    return {std::to_string(hash_bytes(spec.prompt))};
}

} // namespace

void generation_quarantine::record_crash(const generation_spec& spec, const node_id& target, time_point now) {
    const std::lock_guard lock(m_mutex);
    lovage::record_crash(m_quarantine, {++m_last_id, version_of(spec), target, parts_of(spec), now}, now);
}

void generation_quarantine::record_success(const generation_spec& spec, time_point now) {
    const std::lock_guard lock(m_mutex);
    record_successes(m_quarantine, parts_of(spec), now);
}

bool generation_quarantine::is_quarantined(const generation_spec& spec) const {
    const std::lock_guard lock(m_mutex);
    return !quarantined_parts(m_quarantine, version_of(spec), parts_of(spec)).empty();
}

} // namespace lovage
