// Measures how long feed and request frames wait behind saturated bulk transfers on one simulated link, with
// ClassScheduler and with a FIFO.
#include "wasabicroft/Schedule.h"

#include <algorithm>
#include <cstdio>
#include <docopt/docopt.h>
#include <map>

namespace wasabicroft {
namespace {

    constexpr char usage[] = R"(Measures the wait of feed and request frames behind saturated bulk transfers.

Usage:
  schedule [--flows=N] [--rate=MBPS] [--seconds=N] [--chunk=BYTES]

Options:
  --flows=N      Number of bulk flows that always have bytes to send [default: 16].
  --rate=MBPS    Rate of the link in Mbit/s [default: 100].
  --seconds=N    Simulated time in seconds [default: 20].
  --chunk=BYTES  Payload size of a bulk frame [default: 4096].
)";

    constexpr Milliseconds feedInterval { 10 };
    constexpr Milliseconds requestInterval { 4 };
    constexpr size_t feedBytes = 200;
    constexpr size_t requestBytes = 1000;

    struct Options {
        unsigned flows = 16;
        double bytesPerSecond = 0;
        Duration length { 0 };
        size_t chunk = 4096;
    };

    // One FIFO queue for all classes. The bytes buffered per bulk flow are limited as in ClassScheduler, so that both
    // hold the same amount of bulk data.
    class FifoScheduler {
    public:
        bool push(FlowId flow, TrafficClass trafficClass, std::string bytes)
        {
            constexpr size_t flowLimit = 64 * 1024;
            if (trafficClass == TrafficClass::Bulk && this->flowBytes[flow] + bytes.size() > flowLimit)
                return false;
            this->flowBytes[flow] += bytes.size();
            this->frames.push_back({ flow, trafficClass, std::move(bytes) });
            return true;
        }
        std::optional<ScheduledFrame> next()
        {
            if (this->frames.empty())
                return std::nullopt;
            ScheduledFrame frame = std::move(this->frames.front());
            this->frames.pop_front();
            this->flowBytes[frame.flow] -= frame.bytes.size();
            return frame;
        }

    private:
        std::deque<ScheduledFrame> frames;
        std::map<FlowId, size_t> flowBytes;
    };

    struct ClassAdapter {
        ClassScheduler scheduler;
        bool push(FlowId flow, TrafficClass trafficClass, std::string bytes)
        {
            return this->scheduler.push(flow, trafficClass, std::move(bytes)) != PushResult::Rejected;
        }
        std::optional<ScheduledFrame> next() { return this->scheduler.next(); }
    };

    void print(const char* name, const char* className, std::vector<double>& waits, double bulkMbps)
    {
        std::sort(waits.begin(), waits.end());
        const auto quantile = [&](double share) {
            return waits[std::min(waits.size() - 1, static_cast<size_t>(share * static_cast<double>(waits.size())))];
        };
        std::printf("%-6s %-8s %8zu %9.3f %9.3f %9.3f %9.1f\n", name, className, waits.size(), quantile(0.5),
            quantile(0.99), waits.back(), bulkMbps);
    }

    template <typename Scheduler>
    void measure(const char* name, Scheduler& scheduler, ManualClock& clock, const Options& options)
    {
        const TimePoint start = clock.now();
        TimePoint nextFeed = start;
        TimePoint nextRequest = start;
        std::map<TrafficClass, std::deque<TimePoint>> pushed;
        std::map<TrafficClass, std::vector<double>> waits;
        double bulkBytes = 0;
        const FlowId feed { 1, 1 };
        const FlowId request { 1, 2 };
        while (clock.now() < start + options.length) {
            for (; nextFeed <= clock.now(); nextFeed += feedInterval) {
                if (scheduler.push(feed, TrafficClass::Feed, std::string(feedBytes, 'f')))
                    pushed[TrafficClass::Feed].push_back(nextFeed);
            }
            for (; nextRequest <= clock.now(); nextRequest += requestInterval) {
                if (scheduler.push(request, TrafficClass::Request, std::string(requestBytes, 'r')))
                    pushed[TrafficClass::Request].push_back(nextRequest);
            }
            for (unsigned i = 0; i < options.flows; ++i) {
                while (scheduler.push({ 2, i }, TrafficClass::Bulk, std::string(options.chunk, 'b'))) { }
            }
            const std::optional<ScheduledFrame> frame = scheduler.next();
            if (!frame) {
                clock.advance(Milliseconds(1));
                continue;
            }
            if (frame->trafficClass == TrafficClass::Bulk)
                bulkBytes += static_cast<double>(frame->bytes.size());
            else {
                const Duration wait = clock.now() - pushed[frame->trafficClass].front();
                pushed[frame->trafficClass].pop_front();
                waits[frame->trafficClass].push_back(std::chrono::duration<double, std::milli>(wait).count());
            }
            const std::chrono::duration<double> time(static_cast<double>(frame->bytes.size()) / options.bytesPerSecond);
            clock.advance(std::chrono::duration_cast<Duration>(time));
        }
        const double mbps = bulkBytes * 8 / 1e6 / std::chrono::duration<double>(clock.now() - start).count();
        print(name, "feed", waits[TrafficClass::Feed], mbps);
        print(name, "request", waits[TrafficClass::Request], mbps);
    }

    int run(const std::map<std::string, docopt::value>& arguments)
    {
        Options options;
        options.flows = static_cast<unsigned>(arguments.at("--flows").asLong());
        options.bytesPerSecond = static_cast<double>(arguments.at("--rate").asLong()) * 1e6 / 8;
        options.length = std::chrono::seconds(arguments.at("--seconds").asLong());
        options.chunk = static_cast<size_t>(arguments.at("--chunk").asLong());
        std::puts("queue  class      frames    p50 ms    p99 ms    max ms bulk Mb/s");
        ManualClock clock;
        FifoScheduler fifo;
        measure("fifo", fifo, clock, options);
        ClassAdapter classes { ClassScheduler(ScheduleOptions(), clock) };
        measure("class", classes, clock, options);
        return 0;
    }

} // namespace
} // namespace wasabicroft

int main(int argc, char** argv)
{
    return wasabicroft::run(docopt::docopt(wasabicroft::usage, { argv + 1, argv + argc }, true));
}
