#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace lovage {

/// Prometheus metrics of a process. Thread-safe. Names get the prefix "lovage_".
class metrics {
public:
    using labels = std::map<std::string, std::string>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter.
    void count(const std::string& name, double increment = 1.0, const labels& label_values = {});
    /// Sets a gauge.
    void set(const std::string& name, double value, const labels& label_values = {});
    /// Adds a duration in seconds to a histogram with buckets from 1 ms to 60 s.
    void observe(const std::string& name, double seconds, const labels& label_values = {});
    /// Value of a counter or gauge; 0 if it was never set.
    double value(const std::string& name, const labels& label_values = {}) const;
    /// Returns the sum of a counter's values for each value of the label `label`.
    std::map<std::string, double> sums(const std::string& name, const std::string& label) const;
    /// All metrics in the Prometheus text format.
    std::string to_text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<families> m_families;
};

} // namespace lovage
