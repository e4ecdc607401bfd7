// How evenly entries place flows over upstreams of different speed, with the load reports that they really have: old
// ones. Simple queues take the place of upstreams; there is no network.
#include "wasabicroft/Placement.h"

#include "SeededRandom.h"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>

namespace wasabicroft::tests {
namespace {

    constexpr ServiceId service { 1 };
    constexpr size_t poolSize = 45;
    constexpr size_t entryCount = 20;
    constexpr uint16_t slots = 3;
    constexpr double longWork = 0.047; // seconds
    constexpr double shortWork = 0.061;
    constexpr double longShare = 0.78; // of the requests
    constexpr double requestsPerLongFlow = 0.33; // per second
    constexpr double longFlowSeconds = 30; // mean time that such a flow is open
    constexpr double objectiveSeconds = 0.4;

    struct Rule {
        bool weighsSpeed = true;
        bool measuresConnectionCost = true;
        double nonPreferredPenalty = 2;
    };

    constexpr Rule formerRule { false, false, 2 };

    struct Outcome {
        double lateShare = 0;
        double busiestOverMean = 0; // of the shares of time in which slots are busy
        double preferredShare = 0; // flows at one of their preferred upstreams
        double connectionCost = 0;
    };

    double speedOf(size_t upstream, bool equalSpeeds) { return equalSpeeds ? 1 : upstream % 4 == 0 ? 0.55 : 1.2; }

    class Simulation {
    public:
        Simulation(const Rule& rule, double load, bool equalSpeeds, uint64_t seed)
            : upstreams(poolSize)
        {
            this->random.engine.seed(seed);
            std::vector<PlacementUpstream> pool;
            double capacity = 0; // mean requests in work
            for (size_t i = 0; i < poolSize; ++i) {
                this->upstreams[i].speed = speedOf(i, equalSpeeds);
                capacity += slots * this->upstreams[i].speed;
                pool.push_back({ { i + 1 }, "a", slots, false });
            }
            PlacementOptions options;
            options.failureDomain = "a";
            options.connectionCost = 0.02;
            options.preferredUpstreams = 3;
            options.weighsSpeed = rule.weighsSpeed;
            options.measuresConnectionCost = rule.measuresConnectionCost;
            options.nonPreferredPenalty = rule.nonPreferredPenalty;
            options.random = [this] { return this->random.engine(); };
            for (size_t i = 0; i < entryCount; ++i) {
                this->entries.push_back(std::make_unique<Placement>(options, this->clock));
                this->entries.back()->setPool(service, pool);
            }
            const double perSecond = load * capacity / (longShare * longWork + (1 - longShare) * shortWork);
            this->shortFlowsPerSecond = (1 - longShare) * perSecond;
            this->longFlowsPerSecond = longShare * perSecond / requestsPerLongFlow / longFlowSeconds;
        }

        // The first part fills the pool with long flows and is not measured.
        Outcome run(double warmUpSeconds, double seconds)
        {
            this->schedule(0, [this] { this->openLongFlow(); });
            this->schedule(0, [this] { this->openShortFlow(); });
            for (size_t upstream = 0; upstream < poolSize; ++upstream) {
                for (size_t entry = 0; entry < entryCount; ++entry)
                    this->schedule(this->random.fraction() * 0.2, [=, this] { this->report(upstream, entry); });
            }
            this->runUntil(warmUpSeconds);
            this->requests = 0;
            this->late = 0;
            this->flows = 0;
            this->preferred = 0;
            for (Upstream& upstream : this->upstreams)
                upstream.busySeconds = 0;
            this->runUntil(warmUpSeconds + seconds);
            double busiest = 0;
            double sum = 0;
            for (const Upstream& upstream : this->upstreams) {
                busiest = std::max(busiest, upstream.busySeconds);
                sum += upstream.busySeconds;
            }
            const auto share = [](size_t part, size_t whole) {
                return static_cast<double>(part) / static_cast<double>(std::max<size_t>(1, whole));
            };
            return { share(this->late, this->requests), busiest / (sum / poolSize), share(this->preferred, this->flows),
                this->entries[0]->connectionCost(service) };
        }

    private:
        struct Request {
            double arrived = 0;
            double work = 0;
        };

        struct Upstream {
            double speed = 1;
            std::deque<Request> waiting;
            uint16_t running = 0;
            uint32_t connections = 0;
            double serviceSeconds = 0; // moving mean over 100 requests
            double answered = 0;
            double busySeconds = 0;
        };

        void schedule(double delay, std::function<void()> action)
        {
            this->events.emplace(this->now + delay, std::move(action));
        }

        void runUntil(double end)
        {
            const TimePoint start(std::chrono::hours(1));
            while (this->events.begin()->first < end) {
                const auto event = this->events.extract(this->events.begin());
                this->now = event.key();
                this->clock.set(start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->now)));
                event.mapped()();
            }
        }

        double exponential(double mean) { return -mean * std::log(1 - this->random.fraction()); }

        size_t place(size_t entry)
        {
            const uint64_t hash = this->random.engine();
            const UpstreamId chosen = this->entries[entry]->candidates(service, hash).at(0);
            this->entries[entry]->onFlowStarted(chosen);
            size_t better = 0;
            for (size_t i = 1; i <= poolSize; ++i)
                better += rendezvousScore(hash, { i }) > rendezvousScore(hash, chosen) ? 1 : 0;
            ++this->flows;
            this->preferred += better < 3 ? 1 : 0;
            ++this->upstreams[chosen.value - 1].connections;
            return chosen.value - 1;
        }

        void openLongFlow()
        {
            this->schedule(this->exponential(1 / this->longFlowsPerSecond), [this] { this->openLongFlow(); });
            const double end = this->now + this->exponential(longFlowSeconds);
            this->useLongFlow(this->place(this->random.below(entryCount)), end);
        }

        void useLongFlow(size_t upstream, double end)
        {
            if (this->now >= end) {
                --this->upstreams[upstream].connections;
                return;
            }
            this->submit(upstream, longWork);
            const double next = std::min(this->exponential(1 / requestsPerLongFlow), end - this->now);
            this->schedule(next, [=, this] { this->useLongFlow(upstream, end); });
        }

        void openShortFlow()
        {
            this->schedule(this->exponential(1 / this->shortFlowsPerSecond), [this] { this->openShortFlow(); });
            const size_t upstream = this->place(this->random.below(entryCount));
            const double work = this->submit(upstream, shortWork);
            this->schedule(work, [=, this] { --this->upstreams[upstream].connections; });
        }

        // 3% of the requests take seven times as long as the others, of which the work varies by half. Returns the
        // time that the request takes without a wait.
        double submit(size_t upstream, double meanWork)
        {
            const double usual = meanWork / 1.18;
            const double scale = this->random.fraction() < 0.03 ? 7 : 0.5 + this->random.fraction();
            const double work = std::min(0.5, usual * scale) / this->upstreams[upstream].speed;
            this->upstreams[upstream].waiting.push_back({ this->now, work });
            this->startNext(upstream);
            return work;
        }

        void startNext(size_t number)
        {
            Upstream& upstream = this->upstreams[number];
            if (upstream.running >= slots || upstream.waiting.empty())
                return;
            const Request request = upstream.waiting.front();
            upstream.waiting.pop_front();
            ++upstream.running;
            this->schedule(request.work, [=, this] { this->finish(number, request); });
        }

        void finish(size_t number, const Request& request)
        {
            Upstream& upstream = this->upstreams[number];
            --upstream.running;
            upstream.answered = std::min(100.0, upstream.answered + 1);
            upstream.serviceSeconds += (request.work - upstream.serviceSeconds) / upstream.answered;
            upstream.busySeconds += request.work;
            ++this->requests;
            this->late += this->now - request.arrived > objectiveSeconds ? 1 : 0;
            this->startNext(number);
        }

        // The entry sees a load 0.1 s after it was reported, each 0.2 s.
        void report(size_t number, size_t entry)
        {
            const Upstream& upstream = this->upstreams[number];
            const Load load { upstream.running, slots, static_cast<uint16_t>(upstream.waiting.size()),
                upstream.connections };
            const std::chrono::microseconds serviceTime(static_cast<int64_t>(1e6 * upstream.serviceSeconds));
            const bool isKnown = upstream.answered >= 20;
            this->schedule(0.1, [=, this] {
                this->entries[entry]->onLoad({ number + 1 }, load);
                if (isKnown)
                    this->entries[entry]->onPerformance({ number + 1 }, { Milliseconds(0), serviceTime });
            });
            this->schedule(0.2, [=, this] { this->report(number, entry); });
        }

        ManualClock clock;
        SeededRandom random;
        double now = 0;
        std::multimap<double, std::function<void()>> events;
        std::vector<Upstream> upstreams;
        std::vector<std::unique_ptr<Placement>> entries;
        double shortFlowsPerSecond = 0;
        double longFlowsPerSecond = 0;
        size_t requests = 0;
        size_t late = 0;
        size_t flows = 0;
        size_t preferred = 0;
    };

    // Targets of docs/hard-load.md for a demand of at most 0.88 of the slots.
    constexpr double maxLateShare = 0.01;
    constexpr double maxBusiestOverMean = 1.15;

    Outcome outcomeOf(const Rule& rule, double load, bool equalSpeeds, uint64_t seed)
    {
        return Simulation(rule, load, equalSpeeds, seed).run(60, 60);
    }

    // Each seed is a test of its own: with sanitizers, both exceed the time limit.
    class EvenLoad : public ::testing::TestWithParam<uint64_t> { };

    INSTANTIATE_TEST_SUITE_P(Seeds, EvenLoad, ::testing::Values(1, 2));

    // Guards against slow upstreams that get as many flows as fast ones and answer late. At 0.88 of the slots,
    // upstreams of equal speed have 2% late answers, too: the requests of open flows arrive at random.
    TEST_P(EvenLoad, FewerAnswersAreLateWhereSpeedsDiffer)
    {
        const uint64_t seed = GetParam();
        for (const double load : { 0.7, 0.88 }) {
            const Outcome former = outcomeOf(formerRule, load, false, seed);
            const Outcome weighed = outcomeOf({}, load, false, seed);
            EXPECT_LT(weighed.lateShare, former.lateShare / 2) << "seed " << seed << " load " << load;
            EXPECT_LE(weighed.busiestOverMean, maxBusiestOverMean) << "seed " << seed << " load " << load;
            EXPECT_GT(former.busiestOverMean, weighed.busiestOverMean) << "seed " << seed << " load " << load;
            std::cout << "seed " << seed << " load " << load << " former: late " << former.lateShare << " busiest "
                      << former.busiestOverMean << "; weighed: late " << weighed.lateShare << " busiest "
                      << weighed.busiestOverMean << " connection cost " << weighed.connectionCost << '\n';
        }
    }

    // The target of docs/hard-load.md.
    TEST_P(EvenLoad, AtMostOnePercentIsLateAtAModerateLoad)
    {
        const uint64_t seed = GetParam();
        EXPECT_LE(outcomeOf({}, 0.7, false, seed).lateShare, maxLateShare) << "seed " << seed;
    }

    // The same at the load for which it is stated.
    TEST_P(EvenLoad, AtMostOnePercentIsLateWhileThereIsRoom)
    {
        const uint64_t seed = GetParam();
        EXPECT_LE(outcomeOf({}, 0.88, false, seed).lateShare, maxLateShare) << "seed " << seed;
    }

    // Guards against service times of equal upstreams, which scatter, and measured weights of connections that make
    // the load less even than before.
    TEST_P(EvenLoad, EqualSpeedsAreAsEvenAsBefore)
    {
        const uint64_t seed = GetParam();
        const Outcome former = outcomeOf(formerRule, 0.88, true, seed);
        const Outcome weighed = outcomeOf({}, 0.88, true, seed);
        EXPECT_LT(weighed.lateShare, former.lateShare + 0.005) << "seed " << seed;
        EXPECT_LT(weighed.busiestOverMean, former.busiestOverMean + 0.02) << "seed " << seed;
        std::cout << "seed " << seed << " former: late " << former.lateShare << " busiest " << former.busiestOverMean
                  << "; weighed: late " << weighed.lateShare << " busiest " << weighed.busiestOverMean << '\n';
    }

    // Guards against a smaller penalty: entries whose load reports are old would choose the same few upstreams.
    TEST_P(EvenLoad, ASmallerPenaltyMakesMoreAnswersLate)
    {
        const uint64_t seed = GetParam();
        double previous = 0;
        for (const double penalty : { 2.0, 1.0, 0.5 }) {
            const Outcome outcome = outcomeOf({ true, true, penalty }, 0.88, false, seed);
            EXPECT_GT(outcome.lateShare, previous) << "seed " << seed << " penalty " << penalty;
            previous = outcome.lateShare;
            std::cout << "seed " << seed << " penalty " << penalty << ": late " << outcome.lateShare << " busiest "
                      << outcome.busiestOverMean << " preferred " << outcome.preferredShare << '\n';
        }
    }

} // namespace
} // namespace wasabicroft::tests
