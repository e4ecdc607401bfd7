// The order in which an agent starts requests, compared with the order of arrival under the loads that affect clients
// most: a burst above the capacity, and the requests that arrive together after an outage.
#include "wasabicroft/RequestQueue.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace wasabicroft {
namespace {

    constexpr Milliseconds objective { 150 };
    constexpr Milliseconds timeout { 1500 };

    FlowKey flowKeyOf(uint32_t number)
    {
        return { { 0x64400000 + number / 60000, static_cast<uint16_t>(number % 60000) }, { 1, 443 } };
    }

    QueuedRequest requestOf(uint32_t number, TimePoint arrived, unsigned priority = 1)
    {
        return { flowKeyOf(number), arrived, objective, timeout, priority, false, false };
    }

    struct Outcome {
        size_t inTime = 0;
        size_t late = 0;
        size_t lost = 0;
    };

    // Simulates one upstream with 2 slots. Arrivals are times in ms. Answers after the timeout count as lost requests.
    Outcome simulate(const std::vector<double>& arrivals, bool objectiveOrder, uint64_t seed)
    {
        ManualClock clock;
        RequestQueueOptions options;
        options.slots = 2;
        options.orderByObjective = objectiveOrder;
        RequestQueue queue(options, clock);
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> work(1.0 / 13);
        const TimePoint start = clock.now();
        const auto at = [&](double ms) {
            return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
        };
        std::multimap<TimePoint, FlowKey> ends; // ends of running requests
        std::map<FlowKey, TimePoint> arrivedAt;
        std::deque<FlowKey> atUpstream; // requests at the upstream that wait for a slot
        size_t working = 0;
        Outcome outcome;
        const auto startWork = [&] {
            while (working < options.slots && !atUpstream.empty()) {
                ++working;
                ends.emplace(clock.now()
                        + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(work(random))),
                    atUpstream.front());
                atUpstream.pop_front();
            }
        };
        size_t next = 0;
        while (next < arrivals.size() || !ends.empty() || queue.waitingCount() > 0) {
            TimePoint now = clock.now() + Milliseconds(1);
            if (next < arrivals.size())
                now = std::min(now, at(arrivals[next]));
            if (!ends.empty())
                now = std::min(now, ends.begin()->first);
            clock.set(std::max(clock.now(), now));
            for (const FlowKey& flow : queue.takeExpired())
                outcome.lost += arrivedAt.erase(flow);
            if (next < arrivals.size() && at(arrivals[next]) <= clock.now()) {
                const uint32_t number = static_cast<uint32_t>(next++);
                arrivedAt[flowKeyOf(number)] = clock.now();
                if (queue.submit(requestOf(number, clock.now())) == RequestQueue::Decision::Start)
                    atUpstream.push_back(flowKeyOf(number));
            }
            while (!ends.empty() && ends.begin()->first <= clock.now()) {
                const FlowKey flow = ends.begin()->second;
                ends.erase(ends.begin());
                --working;
                queue.onAnswered(flow);
                const auto arrived = arrivedAt.find(flow);
                if (arrived == arrivedAt.end())
                    continue;
                const Duration took = clock.now() - arrived->second;
                ++(took <= objective ? outcome.inTime : took <= timeout ? outcome.late : outcome.lost);
                arrivedAt.erase(arrived);
            }
            for (const FlowKey& flow : queue.startWaiting())
                atUpstream.push_back(flow);
            startWork();
        }
        return outcome;
    }

    std::vector<double> poissonArrivals(double perSecond, double fromMs, double toMs, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(perSecond / 1000);
        std::vector<double> times;
        for (double time = fromMs + gap(random); time < toMs; time += gap(random))
            times.push_back(time);
        return times;
    }

    // Burst: 1.7 times the usual load for 3 s takes an upstream to 1.2 times its capacity.
    TEST(RequestQueue, ABurstAboveTheCapacityLeavesMostRequestsInTime)
    {
        const std::vector<double> arrivals = poissonArrivals(185, 0, 3000, 7);
        const Outcome ordered = simulate(arrivals, true, 1);
        const Outcome naive = simulate(arrivals, false, 1);
        RecordProperty("inTime", static_cast<int>(ordered.inTime));
        EXPECT_GE(ordered.inTime * 10, arrivals.size() * 6);
        EXPECT_GT(ordered.inTime, naive.inTime * 3 / 2);
    }

    // Restart of all hosts while clients retry: 60 requests arrive at once, followed by the usual load.
    TEST(RequestQueue, RequestsHeldBackInAnOutageDoNotDelayNewOnes)
    {
        std::vector<double> arrivals(60, 1.0);
        const std::vector<double> usual = poissonArrivals(90, 1, 3000, 11);
        arrivals.insert(arrivals.end(), usual.begin(), usual.end());
        const Outcome ordered = simulate(arrivals, true, 2);
        const Outcome naive = simulate(arrivals, false, 2);
        EXPECT_GE(ordered.inTime, naive.inTime);
        EXPECT_EQ(ordered.lost, 0U) << "requests that have missed their objective are still served";
    }

    // Low load: below the capacity, the queue must not make any request later.
    TEST(RequestQueue, BelowTheCapacityTheOrderMakesNoDifference)
    {
        const std::vector<double> arrivals = poissonArrivals(60, 0, 3000, 5);
        EXPECT_EQ(simulate(arrivals, true, 3).inTime, simulate(arrivals, false, 3).inTime);
    }

    struct QueueFixture : ::testing::Test {
        QueueFixture()
            : queue({ .slots = 1, .prefetch = 0 }, this->clock)
        {
        }
        ManualClock clock;
        RequestQueue queue;
    };

    TEST_F(QueueFixture, UrgentRequestsStartFirst)
    {
        EXPECT_EQ(this->queue.submit(requestOf(1, this->clock.now())), RequestQueue::Decision::Start);
        EXPECT_EQ(this->queue.submit(requestOf(2, this->clock.now(), 2)), RequestQueue::Decision::Wait);
        EXPECT_EQ(this->queue.submit(requestOf(3, this->clock.now(), 1)), RequestQueue::Decision::Wait);
        this->queue.onAnswered(flowKeyOf(1));
        EXPECT_EQ(this->queue.startWaiting(), std::vector<FlowKey> { flowKeyOf(3) });
    }

    // Guards against searches that take as long as requests wait: after a loss of everything, most probes are returned,
    // and lost flows can't be reset before.
    TEST_F(QueueFixture, ProbesDoNotWaitBehindRequests)
    {
        const auto probeOf = [this](uint32_t number) {
            QueuedRequest probe = requestOf(number, this->clock.now());
            probe.isProbe = true;
            return probe;
        };
        this->queue.submit(requestOf(1, this->clock.now()));
        EXPECT_EQ(this->queue.submit(requestOf(2, this->clock.now())), RequestQueue::Decision::Wait);
        for (uint32_t i = 10; i < 20; ++i)
            EXPECT_EQ(this->queue.submit(probeOf(i)), RequestQueue::Decision::Start);
        for (uint32_t i = 10; i < 14; ++i)
            this->queue.onHeld(flowKeyOf(i));
        EXPECT_EQ(this->queue.submit(probeOf(30)), RequestQueue::Decision::Wait)
            << "the upstream has as many requests of held flows as it may queue";
        for (uint32_t i = 14; i < 20; ++i)
            this->queue.remove(flowKeyOf(i));
        for (uint32_t i = 10; i < 14; ++i)
            this->queue.onAnswered(flowKeyOf(i));
        EXPECT_EQ(this->queue.submit(probeOf(31)), RequestQueue::Decision::Start);
        this->queue.remove(flowKeyOf(31));
        this->queue.onAnswered(flowKeyOf(1));
        EXPECT_EQ(this->queue.startWaiting(), (std::vector<FlowKey> { flowKeyOf(2), flowKeyOf(30) }));
    }

    // Guards against slots that stay occupied by requests whose client closed the flow.
    TEST_F(QueueFixture, ACancelledRequestFreesItsSlot)
    {
        this->queue.submit(requestOf(1, this->clock.now()));
        this->queue.submit(requestOf(2, this->clock.now()));
        this->queue.onClientClosed(flowKeyOf(1));
        EXPECT_EQ(this->queue.startWaiting(), std::vector<FlowKey> { flowKeyOf(2) });
    }

    TEST_F(QueueFixture, AbandonedRequestsStartLast)
    {
        for (uint32_t i = 1; i <= 3; ++i)
            this->queue.submit(requestOf(i, this->clock.now()));
        this->queue.onClientClosed(flowKeyOf(2));
        this->queue.onAnswered(flowKeyOf(1));
        EXPECT_EQ(this->queue.startWaiting(), std::vector<FlowKey> { flowKeyOf(3) });
        this->queue.onAnswered(flowKeyOf(3));
        EXPECT_EQ(this->queue.startWaiting(), std::vector<FlowKey> { flowKeyOf(2) });
    }

    // Guards against a queue that is blocked by lost requests or answers.
    TEST_F(QueueFixture, AStuckRequestNoLongerCounts)
    {
        this->queue.submit(requestOf(1, this->clock.now()));
        this->queue.submit(requestOf(2, this->clock.now()));
        this->clock.advance(Milliseconds(301));
        EXPECT_EQ(this->queue.takeExpired(), std::vector<FlowKey> { flowKeyOf(1) });
        EXPECT_EQ(this->queue.startWaiting(), std::vector<FlowKey> { flowKeyOf(2) });
    }

    TEST_F(QueueFixture, WaitingRequestsAreBounded)
    {
        this->queue.submit(requestOf(0, this->clock.now()));
        for (uint32_t i = 1; i <= 512; ++i)
            EXPECT_EQ(this->queue.submit(requestOf(i, this->clock.now())), RequestQueue::Decision::Wait);
        EXPECT_EQ(this->queue.submit(requestOf(600, this->clock.now())), RequestQueue::Decision::Drop);
    }

} // namespace
} // namespace wasabicroft
