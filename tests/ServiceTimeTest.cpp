// The service time that an agent measures, compared with what its upstream really needs, and the wait derived from it.
#include "wasabicroft/RequestQueue.h"

#include "AgentRouterFixture.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace wasabicroft::tests {
namespace {

    constexpr uint16_t slots = 3;

    FlowKey flowKeyOf(uint32_t number) { return { { 0x64400000 + number, 1000 }, { 1, 443 } }; }

    // An upstream with three slots and a queue behind an agent's RequestQueue, and the steady load that it gets.
    struct UpstreamModel {
        explicit UpstreamModel(
            bool fromBusyTime, Milliseconds meanWork, size_t maxWaiting = RequestQueueOptions().maxWaiting)
            : queue(options(fromBusyTime, maxWaiting), this->clock)
            , work(1 / std::chrono::duration<double>(meanWork).count())
        {
        }

        static RequestQueueOptions options(bool fromBusyTime, size_t maxWaiting)
        {
            RequestQueueOptions result;
            result.slots = slots;
            result.maxWaiting = maxWaiting;
            result.minStuckTime = Milliseconds(60000);
            result.serviceTime.fromBusyTime = fromBusyTime;
            return result;
        }

        double nowSeconds() const
        {
            return std::chrono::duration<double>(this->clock.now().time_since_epoch()).count();
        }

        void start(const FlowKey& flow)
        {
            this->atUpstream.push_back(flow);
            if (const auto found = this->expectations.find(flow); found != this->expectations.end()) {
                const auto [arrival, expected] = found->second;
                this->expectedWaits += expected;
                this->handOverWaits += this->nowSeconds() - arrival;
            }
        }

        void fillSlots()
        {
            for (; this->ends.size() < slots && !this->atUpstream.empty(); this->atUpstream.pop_front()) {
                this->ends.emplace(this->nowSeconds() + this->work(this->random), this->atUpstream.front());
                if (const auto found = this->expectations.find(this->atUpstream.front());
                    found != this->expectations.end())
                    this->startWaits += this->nowSeconds() - found->second.first;
            }
        }

        // Requests arrive at this rate per second for a time, in steps of 1 ms.
        void run(double rate, double seconds)
        {
            std::bernoulli_distribution arrives(rate / 1000);
            for (int step = 0; step < seconds * 1000; ++step) {
                this->clock.advance(Milliseconds(1));
                while (!this->ends.empty() && this->ends.begin()->first <= this->nowSeconds()) {
                    this->queue.onAnswered(this->ends.begin()->second);
                    this->ends.erase(this->ends.begin());
                }
                for (const FlowKey& flow : this->queue.startWaiting())
                    this->start(flow);
                if (arrives(this->random)) {
                    const FlowKey flow = flowKeyOf(this->next++);
                    if (const std::optional<UpstreamPerformance> performance = this->queue.performance())
                        this->expectations[flow]
                            = { this->nowSeconds(), std::chrono::duration<double>(performance->expectedWait).count() };
                    if (this->queue.submit({ flow, this->clock.now() }) == RequestQueue::Decision::Start)
                        this->start(flow);
                }
                this->fillSlots();
            }
        }

        double serviceMs() const
        {
            const std::optional<UpstreamPerformance> performance = this->queue.performance();
            return performance ? std::chrono::duration<double, std::milli>(performance->serviceTime).count() : 0;
        }

        ManualClock clock;
        RequestQueue queue;
        std::mt19937_64 random { 7 };
        std::exponential_distribution<double> work;
        std::deque<FlowKey> atUpstream;
        std::multimap<double, FlowKey> ends;
        std::map<FlowKey, std::pair<double, double>> expectations; // arrival and expected wait
        double expectedWaits = 0; // sums, in seconds
        double handOverWaits = 0;
        double startWaits = 0;
        uint32_t next = 0;
    };

    // Guards against an upstream that looks slow only because it is busy: placement would avoid it, which moves load
    // to and fro.
    TEST(ServiceTime, RequestsQueuedInTheUpstreamDoNotMakeItLookSlow)
    {
        double naiveMs = 0;
        for (const bool fromBusyTime : { true, false }) {
            double sum = 0;
            constexpr size_t maxWaiting = 8; // a longer queue changes nothing here, and takes minutes with sanitizers
            UpstreamModel model(fromBusyTime, Milliseconds(40), maxWaiting);
            for (int i = 0; i < 20; ++i) { // one moving mean scatters by 7%
                model.run(90, 5); // more than the slots can run: the upstream always queues one request
                sum += model.serviceMs() / 20;
            }
            if (fromBusyTime)
                EXPECT_NEAR(sum, 40, 2.5);
            else
                naiveMs = sum;
        }
        EXPECT_GT(naiveMs, 50) << "the naive counterpart counts the wait";
    }

    // Guards against statements from too few requests, of an earlier time, or of another upstream at this address.
    TEST(ServiceTime, IsKnownAfterTwentyRequestsUntilTheyAreOld)
    {
        UpstreamModel model(true, Milliseconds(40));
        const auto answerOne = [&] {
            const FlowKey flow = flowKeyOf(model.next++);
            model.queue.submit({ flow, model.clock.now() });
            model.clock.advance(Milliseconds(10));
            model.queue.onAnswered(flow);
        };
        for (int i = 0; i < 20; ++i) {
            EXPECT_FALSE(model.queue.performance()) << i;
            answerOne();
        }
        answerOne(); // the 20 have decayed a little
        ASSERT_TRUE(model.queue.performance());
        EXPECT_EQ(model.queue.performance()->serviceTime, std::chrono::milliseconds(10));
        for (int i = 0; i < 200; ++i)
            answerOne();
        model.clock.advance(Milliseconds(65000));
        EXPECT_TRUE(model.queue.performance());
        model.clock.advance(Milliseconds(10000));
        EXPECT_FALSE(model.queue.performance()) << "100 requests count as fewer than 20 after 2.5 half-lives";
        for (int i = 0; i < 30; ++i)
            answerOne();
        EXPECT_TRUE(model.queue.performance());
        model.queue.setSlots(0);
        model.queue.setSlots(slots);
        EXPECT_FALSE(model.queue.performance());
    }

    // Guards against a mean over requests that the upstream did not answer or did not run from their start.
    TEST(ServiceTime, RemovedRequestsAndProbesAreNotCounted)
    {
        UpstreamModel model(true, Milliseconds(40));
        for (int i = 0; i < 50; ++i) {
            const FlowKey answered = flowKeyOf(model.next++);
            const FlowKey removed = flowKeyOf(model.next++);
            const FlowKey closed = flowKeyOf(model.next++);
            const FlowKey held = flowKeyOf(model.next++);
            const FlowKey returned = flowKeyOf(model.next++);
            for (const FlowKey& flow : { removed, closed })
                model.queue.submit({ flow, model.clock.now() });
            for (const FlowKey& flow : { held, returned })
                model.queue.submit(
                    { flow, model.clock.now(), Milliseconds(0), Milliseconds(0), 0, /* isProbe */ true, false });
            model.clock.advance(Milliseconds(500));
            model.queue.remove(removed);
            model.queue.onClientClosed(closed);
            model.queue.remove(returned);
            model.queue.onHeld(held);
            model.queue.onAnswered(held);
            model.queue.submit({ answered, model.clock.now() });
            model.clock.advance(Milliseconds(20));
            model.queue.onAnswered(answered);
        }
        ASSERT_TRUE(model.queue.performance());
        EXPECT_EQ(model.queue.performance()->serviceTime, std::chrono::milliseconds(20));
        EXPECT_EQ(model.queue.performance()->expectedWait, Milliseconds(0)) << "nothing runs any more";
    }

    // Guards against an expected wait that is off from the time until requests really start.
    TEST(ServiceTime, ExpectedWaitIsTheMeanTimeUntilRequestsStart)
    {
        UpstreamModel model(true, Milliseconds(40));
        model.run(70, 100); // 0.93 of the slots
        EXPECT_GT(model.startWaits, model.handOverWaits) << "the upstream queues requests, too";
        EXPECT_NEAR(model.expectedWaits / model.startWaits, 1, 0.1);
    }

    // Guards against figures of an upstream whose service time is not known, and a wait of one that may be down.
    TEST_F(AgentRouterFixture, RepliesStateThePerformanceOnceItIsKnown)
    {
        EXPECT_FALSE(this->router.performance());
        this->stated = UpstreamFigures { 1, slots, false };
        for (uint16_t port = 1; port <= 30; ++port) {
            this->openFlow(port);
            EXPECT_FALSE(port <= 20 && this->lastHop.performance) << port;
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
            this->clock.advance(Milliseconds(25));
            this->fromUpstream(ackFlag, port, 100);
        }
        this->openFlow(99);
        ASSERT_TRUE(this->lastHop.performance);
        EXPECT_EQ(this->lastHop.performance->serviceTime, std::chrono::milliseconds(25));
        EXPECT_EQ(this->lastHop.performance->expectedWait, Milliseconds(0));
    }

} // namespace
} // namespace wasabicroft::tests
