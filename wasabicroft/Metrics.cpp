#include "wasabicroft/Metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace wasabicroft {

namespace {

    namespace histogram = boost::histogram;

    // Buckets from 100 microseconds to 100 seconds, five per decade.
    constexpr int bucketCount = 30;
    constexpr double lowestBucket = 1e-4; // seconds
    constexpr double highestBucket = 1e2; // seconds

    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Histogram = decltype(histogram::make_histogram(std::declval<Axis>()));
    using Key = std::pair<std::string, std::string>; // name, labels

    struct LatencyHistogram {
        Histogram buckets = histogram::make_histogram(Axis(bucketCount, lowestBucket, highestBucket));
        double sum = 0; // seconds
        uint64_t count = 0;
    };

    std::string labelSet(const std::string& labels) { return labels.empty() ? "" : '{' + labels + '}'; }

    void writeHistogram(std::ostream& out, const Key& key, const LatencyHistogram& latency)
    {
        const std::string separator = key.second.empty() ? "" : ",";
        double cumulative = latency.buckets.at(-1);
        for (int i = 0; i < bucketCount; ++i) {
            cumulative += latency.buckets.at(i);
            out << key.first << "_bucket{" << key.second << separator << "le=\""
                << latency.buckets.axis().bin(i).upper() << "\"} " << cumulative << '\n';
        }
        out << key.first << "_bucket{" << key.second << separator << "le=\"+Inf\"} " << latency.count << '\n';
        out << key.first << "_sum" << labelSet(key.second) << ' ' << latency.sum << '\n';
        out << key.first << "_count" << labelSet(key.second) << ' ' << latency.count << '\n';
    }

} // namespace

struct Metrics::Tables {
    std::map<Key, uint64_t> counters;
    std::map<Key, double> gauges;
    std::map<Key, LatencyHistogram> latencies;
};

Metrics::Metrics()
    : tables(std::make_unique<Tables>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(const std::string& counter, const std::string& labels, uint64_t amount)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tables->counters[{ counter, labels }] += amount;
}

void Metrics::set(const std::string& gauge, const std::string& labels, double value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tables->gauges[{ gauge, labels }] = value;
}

void Metrics::setCount(const std::string& gauge, const std::string& labels, uint64_t value)
{
    this->set(gauge, labels, static_cast<double>(value));
}

void Metrics::observe(const std::string& name, const std::string& labels, Duration value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    LatencyHistogram& latency = this->tables->latencies[{ name, labels }];
    const double seconds = std::chrono::duration<double>(value).count();
    latency.buckets(seconds);
    latency.sum += seconds;
    ++latency.count;
}

uint64_t Metrics::counter(const std::string& name, const std::string& labels) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->tables->counters.find({ name, labels });
    return found == this->tables->counters.end() ? 0 : found->second;
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::ostringstream out;
    std::set<std::string> typesWritten;
    const auto writeType = [&](const std::string& name, const char* type) {
        if (typesWritten.insert(name).second)
            out << "# TYPE " << name << ' ' << type << '\n';
    };
    for (const auto& [key, value] : this->tables->counters) {
        writeType(key.first, "counter");
        out << key.first << labelSet(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : this->tables->gauges) {
        writeType(key.first, "gauge");
        out << key.first << labelSet(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, latency] : this->tables->latencies) {
        writeType(key.first, "histogram");
        writeHistogram(out, key, latency);
    }
    return out.str();
}

} // namespace wasabicroft
