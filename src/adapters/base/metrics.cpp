#include "lovage/adapters/metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace lovage {

namespace {

const prometheus::Histogram::BucketBoundaries& seconds_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.055, 0.1, 0.2, 0.5, 0.94, 2.0, 5.0, 10.0, 30.0, 60.0};
    return bounds;
}

} // namespace

struct metrics::families {
    mutable std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>()), m_families(std::make_unique<families>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, double increment, const labels& label_values) {
    const std::lock_guard lock(m_families->mutex);
    auto& family = m_families->counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name("lovage_" + name).Help(name).Register(*m_registry);
    }
    family->Add(label_values).Increment(increment);
}

void metrics::set(const std::string& name, double value, const labels& label_values) {
    const std::lock_guard lock(m_families->mutex);
    auto& family = m_families->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name("lovage_" + name).Help(name).Register(*m_registry);
    }
    family->Add(label_values).Set(value);
}

void metrics::observe(const std::string& name, double seconds, const labels& label_values) {
    const std::lock_guard lock(m_families->mutex);
    auto& family = m_families->histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name("lovage_" + name).Help(name).Register(*m_registry);
    }
    family->Add(label_values, seconds_buckets()).Observe(seconds);
}

double metrics::value(const std::string& name, const labels& label_values) const {
    const std::lock_guard lock(m_families->mutex);
    if (const auto counter = m_families->counters.find(name); counter != m_families->counters.end()) {
        return counter->second->Add(label_values).Value();
    }
    if (const auto gauge = m_families->gauges.find(name); gauge != m_families->gauges.end()) {
        return gauge->second->Add(label_values).Value();
    }
    return 0.0;
}

std::map<std::string, double> metrics::sums(const std::string& name, const std::string& label) const {
    const std::lock_guard lock(m_families->mutex);
    std::map<std::string, double> sums;
    const auto found = m_families->counters.find(name);
    if (found == m_families->counters.end()) {
        return sums;
    }
    for (const auto& family : found->second->Collect()) {
        for (const auto& metric : family.metric) {
            for (const auto& entry : metric.label) {
                if (entry.name == label) {
                    sums[entry.value] += metric.counter.value;
                }
            }
        }
    }
    return sums;
}

std::string metrics::to_text() const {
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_registry->Collect());
    return text.str();
}

} // namespace lovage
