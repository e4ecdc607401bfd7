// Counters, gauges and latency histograms of a process, exported in the Prometheus text format.
#pragma once

#include "wasabicroft/Types.h"

#include <memory>
#include <mutex>
#include <string>

namespace wasabicroft {

// Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // labels is a Prometheus label set without braces, such as: service="label-print",reason="draining"
    void add(const std::string& counter, const std::string& labels = "", uint64_t amount = 1);
    void set(const std::string& gauge, const std::string& labels, double value);
    void setCount(const std::string& gauge, const std::string& labels, uint64_t value);
    void observe(const std::string& histogram, const std::string& labels, Duration value); // Exported in seconds.

    uint64_t counter(const std::string& name, const std::string& labels = "") const;
    std::string prometheusText() const;

private:
    struct Tables;
    mutable std::mutex mutex;
    std::unique_ptr<Tables> tables;
};

} // namespace wasabicroft
