// Upstreams that hang, and healthy ones that must not be taken for such. There is no network.
#include "AgentRouterFixture.h"
#include "SeededRandom.h"

namespace wasabicroft::tests {
namespace {

    constexpr uint16_t slots = 2;

    // An agent's RequestQueue and its upstream, which runs two requests at a time. A lost answer frees its slot.
    struct HangModel {
        explicit HangModel(uint64_t seed = 1)
            : random { std::mt19937_64(seed) }
            , queue({ .slots = slots }, this->clock)
        {
        }

        void handOver(const FlowKey& flow)
        {
            TimePoint& slot = *std::min_element(this->slotEnds.begin(), this->slotEnds.end());
            if (this->random.fraction() >= this->lostShare) {
                slot = std::max(this->clock.now(), slot)
                    + (this->random.fraction() < this->longShare ? this->longWork : this->work);
                this->answers.emplace(slot, flow);
            }
            if (this->sendsPackets)
                this->queue.stallDetector().onPacket(); // it acknowledges the request
        }

        // Requests arrive at this rate per second. Returns whether the upstream ever counted as hanging.
        bool run(Milliseconds duration, double rate)
        {
            StallDetector& detector = this->queue.stallDetector();
            bool hasHung = false;
            for (Milliseconds time(0); time < duration; time += Milliseconds(1)) {
                this->clock.advance(Milliseconds(1));
                while (!this->answers.empty() && this->answers.begin()->first <= this->clock.now()) {
                    const FlowKey flow = this->answers.extract(this->answers.begin()).mapped();
                    this->queue.onAnswered(flow);
                    detector.onPayload(flow);
                }
                const FlowKey flow { { 0x64400000 + this->next, 1000 }, routeAddress };
                if (this->random.fraction() < rate / 1000 && ++this->next
                    && this->queue.submit({ flow, this->clock.now() }) == RequestQueue::Decision::Start)
                    this->handOver(flow);
                this->queue.takeExpired();
                for (const FlowKey& started : this->queue.startWaiting())
                    this->handOver(started);
                detector.onTick();
                hasHung = hasHung || detector.isStalled() || detector.isPartiallyStalled();
            }
            return hasHung;
        }

        std::chrono::microseconds serviceTime() const { return this->queue.performance().value().serviceTime; }

        Milliseconds work { 40 };
        Milliseconds longWork { 0 };
        double longShare = 0;
        double lostShare = 0;
        bool sendsPackets = true;
        ManualClock clock;
        SeededRandom random;
        std::array<TimePoint, slots> slotEnds {};
        std::multimap<TimePoint, FlowKey> answers;
        uint32_t next = 0;
        RequestQueue queue;
    };

    // Guards against alarms about usual long requests: 3% take 7 times the mean, up to 650 ms, at 0.85 of the capacity.
    TEST(StallDetector, LongButNormalRequestsRaiseNoAlarm)
    {
        for (const auto& [work, longWork] : { std::pair(40, 329), std::pair(76, 650), std::pair(10, 83) }) {
            for (uint64_t seed = 1; seed <= 5; ++seed) {
                HangModel model(seed);
                model.work = Milliseconds(work);
                model.longWork = Milliseconds(longWork);
                model.longShare = 0.03;
                const double rate = 0.85 * slots * 1000 / (0.97 * work + 0.03 * longWork);
                EXPECT_FALSE(model.run(Milliseconds(60000), rate)) << work << " ms, seed " << seed;
            }
        }
    }

    // Guards against alarms about a lost datagram, also where it is the only request for long.
    TEST(StallDetector, OneLostAnswerRaisesNoAlarm)
    {
        HangModel model;
        model.run(Milliseconds(5000), 10);
        model.lostShare = 1;
        for (int i = 0; i < 5000 && model.queue.stallDetector().stuckRequests() == 0; ++i)
            ASSERT_FALSE(model.run(Milliseconds(1), 1));
        model.lostShare = 0;
        EXPECT_FALSE(model.run(Milliseconds(10000), 10));
        EXPECT_EQ(model.queue.stallDetector().stuckRequests(), 1U);
    }

    // Guards against alarms about an upstream that always needs longer than the time after which RequestQueue gives
    // requests up, from the first one on and after a pause in which nothing was observed.
    TEST(StallDetector, ASlowUpstreamIsNotTakenForAHangingOne)
    {
        HangModel model;
        model.work = Milliseconds(700);
        EXPECT_FALSE(model.run(Milliseconds(20000), 2));
        model.run(Milliseconds(60000), 0);
        EXPECT_FALSE(model.run(Milliseconds(20000), 2));
    }

    // Guards against two detectors of one fault: what is silent as a whole is left to UpstreamLiveness.
    TEST(StallDetector, ASilentUpstreamIsNotStalled)
    {
        HangModel model;
        model.run(Milliseconds(5000), 30);
        model.lostShare = 1;
        model.sendsPackets = false;
        model.run(Milliseconds(5000), 30);
        EXPECT_FALSE(model.queue.stallDetector().isStalled());
        model.sendsPackets = true;
        model.run(Milliseconds(5000), 30);
        EXPECT_TRUE(model.queue.stallDetector().isStalled());
    }

    // Guards against entries that prefer an upstream of which a share of the requests hangs, and against a fault that
    // is held against it long after its end.
    TEST(StallDetector, APartialHangMakesTheStatedServiceTimeLongerUntilItEnds)
    {
        HangModel model;
        model.run(Milliseconds(10000), 30);
        const std::chrono::microseconds healthy = model.serviceTime();
        model.lostShare = 0.3;
        model.run(Milliseconds(10000), 30);
        EXPECT_GT(model.serviceTime(), 1.5 * healthy);
        model.lostShare = 0;
        model.run(Milliseconds(15000), 30);
        EXPECT_LT(model.serviceTime(), 1.1 * healthy);
    }

    // Guards against requests that count as stuck because their answers were lost while the agent paused.
    TEST_F(AgentRouterFixture, StuckRequestsAreDiscardedAcrossAPause)
    {
        this->stated = UpstreamFigures { 5, slots, false };
        for (uint16_t port = 100; port < 120; ++port) { // the agent learns the service time
            this->openFlow(port);
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
            this->fromUpstream(ackFlag, port, 100);
        }
        this->deliveredOfThreeRequests(); // on flows that begin here
        for (const uint16_t gap : { uint16_t(150), uint16_t(1500) }) {
            for (const uint16_t port : threePorts)
                this->fromEntry(HopKind::Forward, ackFlag, port, 1002U + gap, 100);
            this->run(Milliseconds(200));
            this->clock.advance(Milliseconds(gap));
            this->router.onTick();
            this->openFlow(gap); // the upstream sends packets
            this->run(Milliseconds(200));
            EXPECT_EQ(this->router.stall().isStalled(), gap < 1000) << gap;
        }
    }

    // An agent that knows the service time of its upstream, which answers packets with acknowledgements at once.
    struct StallFixture : AgentRouterFixture {
        StallFixture()
        {
            this->stated = UpstreamFigures { 5, slots, false };
            this->learnServiceTime(100);
        }

        void request(uint16_t port, uint32_t sequence = 1002)
        {
            this->fromEntry(HopKind::Forward, ackFlag, port, sequence, 100);
            this->fromUpstream(ackFlag, port);
        }

        void learnServiceTime(uint16_t firstPort)
        {
            for (uint16_t port = firstPort; port < firstPort + 20; ++port) {
                this->openFlow(port);
                this->request(port);
                this->fromUpstream(ackFlag, port, 100);
            }
        }

        // Lets requests on open flows without an answer become stuck.
        void hang(std::vector<uint16_t> ports, Milliseconds duration = Milliseconds(400))
        {
            for (const uint16_t port : ports)
                this->request(port);
            this->run(duration);
            this->openFlow(900);
            this->run(Milliseconds(200));
        }
    };

    // Guards against uploads that count as stuck, once for each 300 ms. Their end without an answer does count.
    TEST_F(StallFixture, UploadsToAHealthyUpstreamAreNotStuck)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        for (uint32_t sequence = 1002; sequence < 1002 + 100 * 100; sequence += 100) {
            for (const uint16_t port : threePorts)
                this->request(port, sequence);
            this->run(Milliseconds(40));
            ASSERT_EQ(this->router.stall().stuckRequests(), 0U) << sequence;
        }
        this->run(Milliseconds(600));
        EXPECT_EQ(this->router.stall().stuckRequests(), 3U) << "one request on each flow";
    }

    // Guards against a stall that outlasts the proof that a request is still arriving, after a gap above 300 ms.
    TEST_F(StallFixture, AnUploadThatGoesOnAfterAGapIsNoLongerStuck)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        this->hang({ 1, 2 });
        EXPECT_TRUE(this->router.stall().isStalled());
        this->request(1, 1102);
        EXPECT_FALSE(this->router.stall().isStalled());
    }

    // Guards against requests that count as stuck because their clients aborted them, before or after they are given
    // up.
    TEST_F(StallFixture, RequestsThatClientsAbortAreNotStuck)
    {
        this->statedLimits = RequestLimits { Milliseconds(100), Milliseconds(8000), 0 };
        for (const uint16_t wait : { uint16_t(40), uint16_t(400) }) {
            for (uint16_t port = wait; port < wait + 3; ++port)
                this->openFlow(port);
            // An answer after 600 ms makes the stuck time longer than 400 ms.
            this->request(wait + 2);
            this->run(Milliseconds(wait == 400 ? 600 : 0));
            this->fromUpstream(ackFlag, wait + 2, 100);
            const uint64_t before = this->router.stall().stuckRequests();
            this->request(wait);
            this->request(wait + 1);
            this->run(Milliseconds(wait));
            this->fromEntry(HopKind::Forward, rstFlag, wait, 1102);
            this->fromEntry(HopKind::Forward, rstFlag, wait + 1, 1102);
            this->run(Milliseconds(2000));
            EXPECT_EQ(this->router.stall().stuckRequests(), before) << wait;
        }
        this->openFlow(1);
        this->openFlow(2);
        this->hang({ 1, 2 }, Milliseconds(1000));
        EXPECT_TRUE(this->router.stall().isStalled()) << "clients that wait";
    }

    // The requests of a process that has answered nothing yet are stuck at the time limit of their route, 1 s.
    struct RestartFixture : StallFixture {
        void expectNothingIsKnown()
        {
            this->openFlow(200);
            this->openFlow(201);
            this->hang({ 200, 201 });
            EXPECT_FALSE(this->router.stall().isStalled());
            this->run(Milliseconds(500));
            this->openFlow(901);
            this->run(Milliseconds(200));
            EXPECT_TRUE(this->router.stall().isStalled());
        }
    };

    // Guards against an upstream that is judged by what its former process did, after a change of its record.
    TEST_F(RestartFixture, AChangedRecordEndsAStall)
    {
        this->openFlow(1);
        this->openFlow(2);
        this->hang({ 1, 2 });
        EXPECT_TRUE(this->router.stall().isStalled());
        this->stated = UpstreamFigures { 6, slots, false };
        this->expectNothingIsKnown();
    }

    // Guards against an upstream that is judged by how fast its former process was, after a silence in which it lost
    // its flows.
    TEST_F(RestartFixture, AnUpstreamThatLostItsFlowsIsNotJudgedByItsFormerProcess)
    {
        this->fromEntry(HopKind::Offer, synFlag, 400);
        this->fromEntry(HopKind::Offer, synFlag, 401);
        this->run(Milliseconds(2000));
        this->openFlow(402); // a probe: the upstream is up again
        this->expectNothingIsKnown();
    }

    // Guards against stuck times above the time limit of a route, after an answer that came much later, and of an
    // upstream whose mean service time makes RequestQueue wait for longer.
    TEST_F(StallFixture, TheTimeLimitOfTheRouteBoundsTheStuckTime)
    {
        this->openFlow(1);
        this->request(1);
        this->run(Milliseconds(5000));
        this->fromUpstream(ackFlag, 1, 100);
        for (uint16_t port = 2; port < 62; ++port) {
            this->openFlow(port);
            if (port == 4) {
                this->hang({ 2, 3 }, Milliseconds(1020));
                EXPECT_TRUE(this->router.stall().isStalled()) << "after a late answer";
            }
            if (port > 3) {
                this->request(port);
                this->run(Milliseconds(240));
                this->fromUpstream(ackFlag, port, 100);
            }
        }
        EXPECT_FALSE(this->router.stall().isStalled());
        this->openFlow(62);
        this->openFlow(63);
        this->hang({ 62, 63 }, Milliseconds(1020));
        EXPECT_TRUE(this->router.stall().isStalled()) << "8 times the mean service time is longer";
    }

    // Upstreams of a service behind an entry. Flows stay open for 5 s with five requests per second, but clients
    // that wait for 1 s close them.
    struct HangingFleet {
        static constexpr size_t poolSize = 5; // of the service, in the world

        explicit HangingFleet(bool detects)
            : world({})
        {
            this->world.options.work = Milliseconds(40);
            this->world.options.stall.isEnabled = detects;
            for (size_t i = 0; i < this->world.upstreams.size(); ++i)
                this->world.restartAgent(i); // with these options
            this->world.startTicks();
            this->run(Milliseconds(20000));
        }

        // Returns the new flows that each upstream got meanwhile.
        std::vector<size_t> run(Milliseconds duration)
        {
            for (const std::unique_ptr<PacketWorld::Upstream>& upstream : this->world.upstreams)
                upstream->opened = 0;
            for (Milliseconds time(0); time < duration; time += Milliseconds(20)) {
                if (time.count() % 240 == 0)
                    this->openFlows[this->world.open(0, 0)] = this->world.clock.now();
                this->world.run(Milliseconds(20));
                std::erase_if(this->openFlows, [this](const auto& item) {
                    const PacketWorld::Request& request = this->world.requests[item.first];
                    const Duration age = this->world.clock.now() - request.started;
                    const bool closes = this->world.clock.now() - item.second > Milliseconds(5000)
                        || (!request.answered && age > Milliseconds(1000));
                    if (closes && request.hostSequence)
                        this->world.close(item.first);
                    else if (request.answered && age > Milliseconds(200))
                        this->world.sendNextRequest(item.first);
                    return closes;
                });
            }
            std::vector<size_t> opened;
            for (size_t i = 0; i < poolSize; ++i)
                opened.push_back(this->world.upstreams[i]->opened);
            return opened;
        }

        PacketWorld world;
        std::map<size_t, TimePoint> openFlows; // by request, when they opened
    };

    // Guards against entries that prefer a hanging upstream, whose flows are closed soon, so that it looks idle.
    // Without the detector, the naive counterpart, it gets the most new flows.
    TEST(HangingFleet, AHangingUpstreamGetsFewNewFlows)
    {
        for (const bool detects : { true, false }) {
            HangingFleet fleet(detects);
            PacketWorld::Upstream& upstream = *fleet.world.upstreams[0];
            upstream.hangs = true;
            const std::vector<size_t> flows = fleet.run(Milliseconds(20000));
            EXPECT_EQ(flows[0] < *std::min_element(flows.begin() + 1, flows.end()), detects) << flows[0];
            EXPECT_EQ(flows[0] > *std::max_element(flows.begin() + 1, flows.end()), !detects) << flows[0];
            upstream.hangs = false;
            fleet.run(Milliseconds(10000));
            EXPECT_FALSE(upstream.router->stall().isStalled()) << "a probe shows the end of the fault";
        }
    }

    // Guards against a service that stays without upstreams because all of them hung for a while.
    TEST(HangingFleet, APoolThatHangsIsProbedAndRecovers)
    {
        HangingFleet fleet(true);
        for (const bool hangs : { true, false }) {
            for (const std::unique_ptr<PacketWorld::Upstream>& upstream : fleet.world.upstreams)
                upstream->hangs = hangs;
            fleet.run(Milliseconds(10000));
            for (const size_t flows : fleet.run(Milliseconds(20000)))
                EXPECT_GE(flows, hangs ? 3U : 10U) << "while all hang, a probe each 4 s";
            EXPECT_EQ(fleet.world.upstreams[0]->router->stall().isStalled(), hangs);
        }
    }

} // namespace
} // namespace wasabicroft::tests
