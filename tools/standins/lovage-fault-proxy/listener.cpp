#include "listener.h"

namespace lovage::standins {

link_rule rule_for(const listener_state& listener, const std::string& client_ip) {
    const std::size_t index = find_rule(listener.rules, client_ip);
    return index < listener.rules.size() ? listener.rules[index] : link_rule{};
}

time_point::duration draw_delay(listener_state& listener, const link_rule& rule) {
    time_point::duration delay = rule.delay;
    if (rule.jitter.count() > 0) {
        const auto max_jitter = std::chrono::duration_cast<time_point::duration>(rule.jitter).count();
        delay +=
            time_point::duration(std::uniform_int_distribution<std::int64_t>(0, max_jitter)(listener.random));
    }
    return delay;
}

} // namespace lovage::standins
