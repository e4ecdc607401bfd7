// Tests that upstreams which started lately get no more new flows than they bear, however many entries offer them.
#include "AgentRouterFixture.h"
#include "EntryRouterFixture.h"

namespace wasabicroft::tests {
namespace {

    constexpr uint32_t coldLimit = 10; // new flows per second
    constexpr size_t hardLimit = coldLimit * 3 / 2 + 5; // of the rule, for any second
    constexpr Milliseconds coldTime { 3000 };

    UpstreamRecord coldRecord(uint32_t number, uint64_t revision = 5)
    {
        UpstreamRecord record = RouterFixture::upstream(number, revision);
        record.coldLeft = coldTime;
        return record;
    }

    std::shared_ptr<RoutingTable> coldRoutes()
    {
        const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
        table->version = 1;
        table->routes[routeAddress] = { "r", routeAddress, { { service, 1 } }, std::nullopt };
        table->coldStarts[service] = { coldTime, coldLimit };
        return table;
    }

    UpstreamDirective coldDirective(Milliseconds left, uint32_t limit) { return { 0, false, left, limit }; }

    // Four entries at full load, before two warm upstreams without a free slot and two that come back cold.
    struct ColdFleet {
        explicit ColdFleet(bool limitsFlows)
            : isLimited(limitsFlows)
            , directory(DirectoryOptions(), this->clock)
        {
            this->clock.advance(Milliseconds(5000));
            for (uint32_t i = 0; i < entryCount; ++i) {
                EntryRouterOptions options = RouterFixture::options();
                options.seed = i + 1;
                EntryRouterHooks hooks;
                hooks.sendHop = [this, i](PacketAddress agent, const HopMessage& message) {
                    std::vector<uint8_t> bytes;
                    encodeHop(message, bytes);
                    this->events.push_back([this, i, agent, bytes] { this->atAgent(i, agent, bytes); });
                };
                hooks.sendReset = [](const FlowKey&, uint32_t) {};
                this->entries.push_back(std::make_unique<EntryRouter>(options, hooks, this->clock));
                this->entries.back()->limitColdStarts(this->isLimited);
                std::vector<PacketAddress> peers;
                for (uint32_t other = 0; other < entryCount; ++other) {
                    if (other != i)
                        peers.push_back(entryAddress(other));
                }
                this->entries.back()->setPeers(peers);
                this->entries.back()->setRoutes(coldRoutes());
            }
            this->startAgent(2);
            this->startAgent(3);
            this->clock.advance(Milliseconds(2000));
            this->directory.replace(
                { RouterFixture::upstream(0), RouterFixture::upstream(1), coldRecord(2), coldRecord(3) }, 5);
            this->directory.onPeerListState(ListState::Complete);
            for (const std::unique_ptr<EntryRouter>& router : this->entries)
                router->setUpstreams(this->directory);
        }

        static PacketAddress entryAddress(uint32_t number) { return { 0x0a010000 + number, 7700 }; }

        void startAgent(uint32_t number)
        {
            AgentRouterOptions options = AgentRouterFixture::options();
            options.self = RouterFixture::agent(number);
            options.limitsColdStarts = this->isLimited;
            AgentRouterHooks hooks;
            hooks.sendToUpstream = [this, number](Bytes bytes) { this->atUpstream(number, bytes); };
            hooks.sendToClient = [](PacketAddress, Bytes) {};
            hooks.sendHop = [this, self = options.self](PacketAddress receiver, const HopMessage& message) {
                std::vector<uint8_t> bytes;
                encodeHop(message, bytes);
                this->events.push_back([this, self, receiver, bytes] { this->atEntry(receiver, self, bytes); });
            };
            hooks.onUpstreamAnswered = [](PacketAddress) {};
            this->agents[options.self] = std::make_unique<AgentRouter>(options, hooks, this->clock);
        }

        void atAgent(uint32_t entryNumber, PacketAddress receiver, const std::vector<uint8_t>& bytes)
        {
            const HopMessage message = decodeHop(bytes).value();
            const auto found = this->agents.find(receiver);
            const bool isLost = this->lostDirectives > 0 && message.kind == HopKind::Directive;
            if (isLost)
                --this->lostDirectives;
            else if (message.kind == HopKind::Directive && found != this->agents.end())
                found->second->onDirective(entryAddress(entryNumber), message);
            if (message.kind != HopKind::Offer)
                return;
            const Packet packet = platform::decodePacket(message.packet).value();
            if (found != this->agents.end()) {
                found->second->onHop(entryAddress(entryNumber), message, packet);
                return;
            }
            HopMessage reply; // of a warm upstream that runs as much as it can and queues the rest
            reply.kind = HopKind::Accepted;
            reply.service = service;
            reply.flow = packet.flowKeyFromClient();
            reply.slots = 2;
            reply.runningRequests = 8;
            this->entries[entryNumber]->onHop(receiver, reply, nullptr);
        }

        void atEntry(PacketAddress receiver, PacketAddress sender, const std::vector<uint8_t>& bytes)
        {
            const HopMessage message = decodeHop(bytes).value();
            const Result<Packet> packet = platform::decodePacket(message.packet);
            this->entries[receiver.address - entryAddress(0).address]->onHop(
                sender, message, packet ? &packet.value() : nullptr);
        }

        void atUpstream(uint32_t number, Bytes bytes)
        {
            const Packet packet = platform::decodePacket(bytes).value();
            this->newFlows[number].push_back(this->clock.now());
            const std::vector<uint8_t> answer
                = makePacket(packet.destination, packet.source, synFlag | ackFlag, 500, packet.sequence + 1, 0);
            this->events.push_back([this, number, answer] {
                this->agents.at(RouterFixture::agent(number))
                    ->onUpstreamPacket(platform::decodePacket(answer).value(), answer);
            });
        }

        void runEvents()
        {
            while (!this->events.empty()) {
                const std::function<void()> event = std::move(this->events.front());
                this->events.pop_front();
                event();
            }
        }

        // 400 new flows per second.
        void run(Milliseconds duration)
        {
            for (Milliseconds time(0); time < duration; time += Milliseconds(10)) {
                this->clock.advance(Milliseconds(10));
                for (uint32_t i = 0; i < entryCount; ++i) {
                    const std::vector<uint8_t> syn
                        = makePacket({ client.address, ++this->lastPort }, routeAddress, synFlag, 1001, 0, 0);
                    this->entries[i]->onClientPacket(platform::decodePacket(syn).value(), syn);
                    this->runEvents();
                    this->entries[i]->onTick();
                }
                for (const auto& [address, router] : this->agents)
                    router->onTick();
                this->runEvents();
            }
        }

        // The most new flows that any of the cold upstreams got in one second.
        size_t mostPerSecond() const
        {
            size_t most = 0;
            for (const auto& [number, times] : this->newFlows) {
                for (auto first = times.begin(); first != times.end(); ++first)
                    most = std::max(most,
                        static_cast<size_t>(std::lower_bound(first, times.end(), *first + Milliseconds(1000)) - first));
            }
            return most;
        }

        static constexpr uint32_t entryCount = 4;
        bool isLimited;
        size_t lostDirectives = 0; // of those that are sent next
        ManualClock clock;
        UpstreamDirectory directory;
        std::vector<std::unique_ptr<EntryRouter>> entries;
        std::map<PacketAddress, std::unique_ptr<AgentRouter>> agents;
        std::map<uint32_t, std::vector<TimePoint>> newFlows;
        std::deque<std::function<void()>> events;
        uint16_t lastPort = 0;
    };

    // Guards against overload of a domain that returns cold: it is idle, so that all entries prefer it.
    TEST(ColdStart, AReturningDomainGetsAtMostTheLimitInAnySecond)
    {
        ColdFleet fleet(true);
        fleet.run(coldTime - Milliseconds(20));
        EXPECT_LE(fleet.mostPerSecond(), coldLimit);
        EXPECT_GE(fleet.newFlows[2].size() + fleet.newFlows[3].size(), 2 * coldLimit)
            << "cold upstreams get some flows";
        fleet.run(Milliseconds(2000));
        EXPECT_GT(fleet.mostPerSecond(), hardLimit) << "the limit ends with the cold time";
    }

    // The naive counterpart: without the limiter, the load of this test breaks the rule.
    TEST(ColdStart, WithoutTheLimiterAReturningDomainGetsMoreThanTheLimit)
    {
        ColdFleet fleet(false);
        fleet.run(coldTime - Milliseconds(20));
        EXPECT_GT(fleet.mostPerSecond(), hardLimit);
    }

    // Guards against an agent that restarts within the cold time and hands over another full second's flows.
    TEST(ColdStart, AnAgentThatRestartsLearnsTheLimitAgain)
    {
        ColdFleet fleet(true);
        fleet.run(Milliseconds(1200));
        for (int restart = 0; restart < 3; ++restart) {
            fleet.startAgent(2);
            fleet.run(Milliseconds(500));
        }
        EXPECT_LE(fleet.mostPerSecond(), hardLimit);
    }

    // Guards against an agent that stays without the limit after the first directives to it were lost.
    TEST(ColdStart, LostDirectivesAreSentAgain)
    {
        ColdFleet fleet(true);
        fleet.lostDirectives = 2 * ColdFleet::entryCount;
        fleet.run(coldTime - Milliseconds(20));
        EXPECT_EQ(fleet.lostDirectives, 0U);
        EXPECT_LE(fleet.mostPerSecond(), hardLimit);
        EXPECT_TRUE(fleet.agents.at(RouterFixture::agent(2))->coldStart().isCold());
        EXPECT_TRUE(fleet.agents.at(RouterFixture::agent(3))->coldStart().isCold());
    }

    //-----------------------------------------------------------------------------
    // Entry
    //-----------------------------------------------------------------------------

    struct ColdEntry : RouterFixture {
        ColdEntry()
        {
            this->clock.advance(Milliseconds(5000));
            this->router.limitColdStarts(true);
            this->router.setRoutes(coldRoutes());
        }

        void useRecords(const std::vector<UpstreamRecord>& records, uint64_t revision = 5)
        {
            this->directory.replace(records, revision);
            this->directory.onPeerListState(ListState::Complete);
            this->router.setUpstreams(this->directory);
        }

        // Opens a flow. Returns the messages to agents in their order.
        std::vector<SentHop> openFlow(uint16_t port)
        {
            this->takeHops();
            const std::vector<uint8_t> bytes = makePacket({ client.address, port }, routeAddress, synFlag, 1001, 0, 0);
            this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
            return this->takeHops();
        }

        void reportLoad(uint32_t number, uint16_t running)
        {
            HopMessage load;
            load.kind = HopKind::Load;
            load.slots = 2;
            load.runningRequests = running;
            this->router.onHop(agent(number), load, nullptr);
        }
    };

    // Guards against placing flows at a cold upstream while a warm one has a free slot, and against its directive.
    TEST_F(ColdEntry, PrefersWarmUpstreamsWithAFreeSlot)
    {
        this->useRecords({ upstream(0), coldRecord(1) });
        for (uint16_t port = 1; port < 50; ++port) {
            this->reportLoad(0, 1);
            const std::vector<SentHop> sent = this->openFlow(port);
            ASSERT_EQ(sent.size(), 1U);
            EXPECT_EQ(sent[0].agent, agent(0));
        }
        this->reportLoad(0, 2);
        const std::vector<SentHop> sent = this->openFlow(50);
        ASSERT_EQ(sent.size(), 2U);
        EXPECT_EQ(sent[0].kind, HopKind::Directive);
        EXPECT_EQ(sent[0].agent, agent(1));
        EXPECT_EQ(sent[0].directive, coldDirective(coldTime, coldLimit));
        EXPECT_EQ(sent[1].kind, HopKind::Offer);
        EXPECT_EQ(sent[1].agent, agent(1));
    }

    // Guards against entries that each offer the whole limit.
    TEST_F(ColdEntry, OffersAtMostItsShare)
    {
        this->router.setPeers({ { 1, 1 }, { 2, 1 }, { 3, 1 }, { 4, 1 } });
        this->useRecords({ upstream(0), coldRecord(1) });
        size_t offers = 0;
        for (uint16_t port = 1; port <= 200; ++port) {
            this->reportLoad(0, 9);
            for (const SentHop& hop : this->openFlow(port))
                offers += hop.agent == agent(1) && hop.kind == HopKind::Offer ? 1 : 0;
            this->fromAgent(agent(1), HopKind::Load);
            this->clock.advance(Milliseconds(10));
        }
        EXPECT_GE(offers, 4U);
        EXPECT_LE(offers, 2 * coldLimit / 5 + 2);
    }

    // Guards against a cold time that begins anew with each read, or not at all for a host that starts again.
    TEST_F(ColdEntry, TheColdTimeBeginsWithTheRecord)
    {
        const UpstreamRecord first = coldRecord(1);
        this->useRecords({ upstream(0), first });
        EXPECT_EQ(this->router.cold().timeLeft(first.id()), coldTime);
        this->clock.advance(Milliseconds(1000));
        this->useRecords({ upstream(0, 6), first }, 6);
        EXPECT_EQ(this->router.cold().timeLeft(first.id()), coldTime - Milliseconds(1000));
        UpstreamRecord changed = coldRecord(1, 7);
        changed.coldLeft = Milliseconds(500);
        this->useRecords({ upstream(0, 6), changed }, 7);
        EXPECT_EQ(this->router.cold().timeLeft(first.id()), Milliseconds(500));
        this->clock.advance(Milliseconds(500));
        EXPECT_EQ(this->router.cold().stateOf(first.id()), ColdState::Warm);
        UpstreamRecord again = coldRecord(1, 8);
        again.born = 2;
        again.coldLeft = Milliseconds(60000);
        this->useRecords({ upstream(0, 6), again }, 8);
        EXPECT_EQ(this->router.cold().timeLeft(again.id()), coldTime) << "at most the service's time";
    }

    // Guards against new decisions and messages where nothing is cold or the setting is empty.
    TEST_F(ColdEntry, DecidesAsBeforeWithoutColdUpstreamsOrSetting)
    {
        this->router.limitColdStarts(false);
        this->useRecords({ coldRecord(1) });
        this->reportLoad(1, 9);
        for (uint16_t port = 1; port < 100; ++port) {
            const std::vector<SentHop> sent = this->openFlow(port);
            ASSERT_EQ(sent.size(), 1U);
            EXPECT_EQ(sent[0].kind, HopKind::Offer);
        }
        this->router.limitColdStarts(true);
        this->useRecords({ upstream(1, 6) }, 6);
        for (uint16_t port = 100; port < 200; ++port) {
            for (const SentHop& hop : this->openFlow(port))
                EXPECT_EQ(hop.kind, HopKind::Offer);
        }
        EXPECT_EQ(this->router.counters().directives, 0U);
    }

    //-----------------------------------------------------------------------------
    // Agent
    //-----------------------------------------------------------------------------

    // Guards against directives that lift or distort the limit: of entries that don't know it, or with odd figures.
    TEST(ColdStartLimiter, KeepsTheLatestEndThatADirectiveStates)
    {
        ManualClock clock;
        ColdStartLimiter limiter(clock);
        clock.advance(Milliseconds(2000));
        EXPECT_FALSE(limiter.onDirective(coldDirective(Milliseconds(1000), 0)));
        EXPECT_FALSE(limiter.onDirective(coldDirective(Milliseconds(-1), 5)));
        EXPECT_FALSE(limiter.onDirective(coldDirective(maxColdTime + Milliseconds(1), 5)));
        EXPECT_TRUE(limiter.onDirective(coldDirective(Milliseconds(1000), 1)));
        limiter.onDirective(coldDirective(Milliseconds(0), 0));
        limiter.onDirective(coldDirective(Milliseconds(10), 1));
        EXPECT_EQ(limiter.timeLeft(), Milliseconds(1000));
        EXPECT_TRUE(limiter.mayHandOver());
        limiter.onHandedOver(AgentRouterFixture::keyOf(1));
        EXPECT_FALSE(limiter.mayHandOver());
        clock.advance(Milliseconds(999));
        EXPECT_FALSE(limiter.mayHandOver());
        clock.advance(Milliseconds(1));
        EXPECT_TRUE(limiter.mayHandOver());
        EXPECT_TRUE(limiter.onTick());
    }

    // Guards against an agent that hands over the full limit in the second in which its former process did.
    TEST(ColdStartLimiter, AdmitsHalfInItsFirstSecond)
    {
        for (const uint32_t limit : { 1U, 2U, 10U, 11U }) {
            ManualClock clock;
            ColdStartLimiter limiter(clock);
            limiter.onDirective(coldDirective(coldTime, limit));
            uint32_t handedOver = 0;
            for (; limiter.mayHandOver() && handedOver <= limit; ++handedOver)
                limiter.onHandedOver(AgentRouterFixture::keyOf(1));
            EXPECT_EQ(handedOver, std::max(1U, limit / 2));
            EXPECT_FALSE(limiter.mayStart(AgentRouterFixture::keyOf(2)) || limiter.mayStartProbe());
            clock.advance(Milliseconds(999));
            EXPECT_FALSE(limiter.mayHandOver());
            clock.advance(Milliseconds(1));
            for (handedOver = 0; limiter.mayHandOver() && handedOver <= limit; ++handedOver)
                limiter.onHandedOver(AgentRouterFixture::keyOf(1));
            EXPECT_EQ(handedOver, limit);
            EXPECT_FALSE(limiter.mayStart(AgentRouterFixture::keyOf(2)));
            for (; limiter.mayStartProbe() && handedOver <= 2 * limit; ++handedOver) // requests of searches
                limiter.onStarted(AgentRouterFixture::keyOf(2));
            EXPECT_EQ(handedOver, limit + limit / 2);
        }
    }

    // Guards against flows that count although they went before the directive, and copies that count twice.
    TEST_F(AgentRouterFixture, AColdUpstreamGetsNoFurtherNewFlowsButCopies)
    {
        this->run(Milliseconds(1000));
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->fromUpstream(synFlag | ackFlag, 1);
        this->becomeCold(2, coldTime);
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->fromUpstream(synFlag | ackFlag, 2);
        for (int copy = 0; copy < 3; ++copy)
            this->fromEntry(HopKind::Offer, synFlag, 1);
        EXPECT_EQ(this->toUpstream.size(), 5U);
        this->fromEntry(HopKind::Offer, synFlag, 3);
        ASSERT_EQ(this->toUpstream.size(), 5U);
        EXPECT_EQ(this->refusals.back(), HopRefusal::UpstreamBusy);
        EXPECT_EQ(this->router.counters().refusedCold, 1U);
        this->run(Milliseconds(1020));
        this->fromEntry(HopKind::Offer, synFlag, 3);
        EXPECT_EQ(this->toUpstream.size(), 6U);
    }

    // The agent of an upstream that answers within 20 ms.
    struct ColdAgent : AgentRouterFixture {
        explicit ColdAgent(bool countsRequests = true)
            : AgentRouterFixture(countsRequests)
        {
            this->router.limitColdStarts(true); // as the settings do before any packet arrives
            this->stated->slots = 200;
            this->statedLimits->timeout = Milliseconds(500);
            this->fromUpstream(ackFlag, UINT16_MAX);
            AgentRouterFixture::run(Milliseconds(1000));
        }
        void TestBody() override { }

        void run(size_t steps) // of 20 ms
        {
            for (size_t i = 0; i < steps; ++i) {
                for (const std::vector<uint8_t>& bytes : std::exchange(this->toUpstream, {})) {
                    const Packet packet = platform::decodePacket(bytes).value();
                    this->times.push_back(this->clock.now());
                    if (!packet.isSyn())
                        this->requests.push_back(packet.source.port);
                    this->fromUpstream(ackFlag, packet.source.port, packet.payloadBytes);
                }
                AgentRouterFixture::run(Milliseconds(20));
                const auto first
                    = std::lower_bound(this->times.begin(), this->times.end(), this->clock.now() - Milliseconds(1000));
                this->mostPerSecond = std::max(this->mostPerSecond, static_cast<size_t>(this->times.end() - first));
            }
        }

        // For 4 s, requests on 60 open flows and new flows without requests.
        void runLoad(uint16_t stepsPerRequest, uint16_t stepsPerFlow)
        {
            this->becomeCold(coldLimit, Milliseconds(5000));
            for (uint16_t i = 0; i < 200; ++i) {
                if (i % stepsPerRequest == 0)
                    this->fromEntry(HopKind::Forward, ackFlag, 1 + i % 60, 1002 + i, 100);
                if (i % stepsPerFlow == 0)
                    this->fromEntry(HopKind::Offer, synFlag, 1000 + i);
                this->run(1);
            }
        }

        std::vector<TimePoint> times; // of new flows and requests that the upstream got
        std::vector<uint16_t> requests; // their ports
        size_t mostPerSecond = 0;
    };

    // Guards against requests that exceed the limit together with new flows, and against either that take all places.
    // Without counting requests, the same load breaks the rule.
    TEST(ColdStartRequests, CountLikeNewFlows)
    {
        ColdAgent manyRequests;
        manyRequests.runLoad(1, 4);
        EXPECT_LE(manyRequests.mostPerSecond, coldLimit);
        EXPECT_GE(manyRequests.times.size() - manyRequests.requests.size(), 4U);
        ColdAgent manyFlows;
        manyFlows.runLoad(10, 1);
        EXPECT_LE(manyFlows.mostPerSecond, coldLimit);
        EXPECT_GE(manyFlows.requests.size(), 15U) << "of 20; 10 if new flows leave them no places";
        ColdAgent withoutCounting(false);
        withoutCounting.runLoad(1, 4);
        EXPECT_GT(withoutCounting.mostPerSecond, hardLimit);
    }

    // Guards against flows that count twice, and copies of requests that timed out in the queue and pass the limit.
    TEST(ColdStartRequests, CountOnceWithTheSynAndWaitAnewAfterATimeout)
    {
        ColdAgent agent;
        agent.becomeCold(1, coldTime);
        agent.fromEntry(HopKind::Offer, synFlag, 1);
        agent.run(5);
        agent.fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        agent.fromEntry(HopKind::Forward, ackFlag, 2, 1002, 100);
        agent.run(30);
        EXPECT_EQ(agent.router.counters().expired, 1U);
        agent.fromEntry(HopKind::Forward, ackFlag, 2, 1002, 100);
        agent.run(18);
        EXPECT_EQ(agent.requests, (std::vector<uint16_t> { 1 })) << "its SYN counts from the time of the request";
        agent.clock.advance(Milliseconds(60));
        agent.fromEntry(HopKind::Offer, synFlag, 3); // before the tick: the request that waits comes first
        agent.run(1);
        EXPECT_EQ(agent.requests, (std::vector<uint16_t> { 1, 2 }));
    }

    // Guards against requests that wait on after the cold time or not in queue order, and against any wait before it.
    TEST(ColdStartRequests, StartInQueueOrderWhenTheUpstreamIsWarm)
    {
        ColdAgent agent;
        for (uint16_t port = 10; port < 100; ++port)
            agent.fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        agent.becomeCold(1, Milliseconds(400));
        for (const uint16_t port : threePorts) {
            agent.statedLimits->priority = port == 3 ? 0 : 1;
            agent.fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        }
        agent.run(20);
        EXPECT_EQ(std::exchange(agent.requests, {}).size(), 90U);
        EXPECT_EQ(agent.router.counters().waitedCold, 3U);
        agent.run(2);
        EXPECT_EQ(agent.requests, (std::vector<uint16_t> { 3, 1, 2 }));
    }

} // namespace
} // namespace wasabicroft::tests
