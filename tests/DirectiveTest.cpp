// Tests the second line of defence of evacuations: which directives an entry sends, and what an agent does with them.
#include "AgentRouterFixture.h"
#include "EntryRouterFixture.h"

namespace wasabicroft::tests {
namespace {

    constexpr Milliseconds lifetime { 30000 };

    UpstreamDirective directive(uint64_t position, bool evacuated) { return { position, evacuated, {}, 0 }; }

    // An entry with two upstreams in the failure domain "a" and two in "b".
    struct DirectiveEntry : RouterFixture {
        DirectiveEntry()
        {
            this->useRoutes();
            std::vector<UpstreamRecord> records;
            for (uint32_t i = 0; i < 4; ++i) {
                records.push_back(upstream(i));
                records.back().failureDomain = i < 2 ? "a" : "b";
            }
            this->directory.replace(records, 5);
            this->directory.onPeerListState(ListState::Complete);
            this->router.setUpstreams(this->directory);
        }

        std::vector<SentHop> takeDirectives()
        {
            std::vector<SentHop> sent = this->takeHops();
            std::erase_if(sent, [](const SentHop& hop) { return hop.kind != HopKind::Directive; });
            return sent;
        }

        // A SYN of another client port, which every upstream of the failure domain is silent to.
        void openFlow(uint16_t clientPort)
        {
            const std::vector<uint8_t> bytes
                = makePacket({ client.address, clientPort }, routeAddress, synFlag, 1001, 0, 0);
            this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
        }
    };

    // Guards against control traffic that nothing calls for.
    TEST_F(DirectiveEntry, SendsNothingWithoutOrders)
    {
        this->router.setEvacuations({ 0, {} });
        this->router.setEvacuations({ 7, {} });
        for (uint16_t port = 1; port < 50; ++port) {
            this->openFlow(port);
            this->advance(Milliseconds(100));
        }
        EXPECT_TRUE(this->takeDirectives().empty());
    }

    // Guards against agents that learn of an order only with the next offer, and against messages to other domains.
    TEST_F(DirectiveEntry, TellsTheAgentsOfADomainAtOnceWhenItsOrderChanges)
    {
        this->router.setEvacuations({ 8, { "a" } });
        std::vector<SentHop> sent = this->takeDirectives();
        ASSERT_EQ(sent.size(), 2U);
        for (const SentHop& hop : sent) {
            EXPECT_TRUE(hop.agent == agent(0) || hop.agent == agent(1));
            EXPECT_EQ(hop.directive, directive(8, true));
            EXPECT_EQ(hop.service, service);
        }
        this->router.setEvacuations({ 9, { "a", "unknown" } });
        EXPECT_TRUE(this->takeDirectives().empty()) << "the order of domain a did not change";
        this->router.setEvacuations({ 10, { "unknown" } });
        sent = this->takeDirectives();
        ASSERT_EQ(sent.size(), 2U);
        EXPECT_EQ(sent[0].directive, directive(10, false));
    }

    // Guards against a lost directive that leaves the agent with an order which was withdrawn.
    TEST_F(DirectiveEntry, RepeatsAWithdrawalBeforeOffersForAMinute)
    {
        this->router.setEvacuations({ 8, { "a", "b" } });
        this->router.setEvacuations({ 9, {} });
        this->advance(Milliseconds(1000));
        this->takeHops();
        std::map<PacketAddress, TimePoint> told;
        size_t repeated = 0;
        for (uint16_t port = 1; port < 120; ++port) {
            this->openFlow(port);
            std::set<PacketAddress> toldNow;
            for (const SentHop& hop : this->takeHops()) {
                if (hop.kind == HopKind::Directive) {
                    EXPECT_EQ(hop.directive, directive(9, false));
                    if (told.contains(hop.agent)) {
                        EXPECT_GE(this->clock.now() - told[hop.agent], Milliseconds(1000));
                        ++repeated;
                    }
                    told[hop.agent] = this->clock.now();
                } else if (hop.kind == HopKind::Offer) {
                    ASSERT_TRUE(told.contains(hop.agent)) << "offered without a directive";
                    EXPECT_LT(this->clock.now() - told[hop.agent], Milliseconds(1000));
                }
            }
            this->advance(Milliseconds(20));
        }
        EXPECT_GT(repeated, 0U);
        this->advance(Milliseconds(60000));
        this->takeHops();
        this->openFlow(200);
        EXPECT_TRUE(this->takeDirectives().empty()) << "the withdrawal is over a minute old";
    }

    // Guards against a burst that exceeds the control traffic of an entry when a large domain is evacuated.
    TEST(DirectiveSchedule, SpreadsTheDirectivesOfALargeDomain)
    {
        ManualClock clock;
        DirectiveSchedule schedule(DirectiveOptions(), clock);
        std::vector<PacketAddress> agents;
        for (uint32_t i = 0; i < 536; ++i)
            agents.push_back({ i, agentPort });
        schedule.enqueue(agents);
        schedule.enqueue(agents); // the order changes again before all were told
        size_t sent = schedule.takeQueued(100).size();
        EXPECT_EQ(sent, 20U);
        for (int tick = 1; tick <= 50 * 30; ++tick) {
            clock.advance(Milliseconds(20));
            sent += schedule.takeQueued(100).size();
            EXPECT_LE(sent, 20U + static_cast<size_t>(tick) * 40 / 100 + 1);
        }
        EXPECT_EQ(sent, agents.size());
    }

    struct DirectiveAgent : AgentRouterFixture {
        void direct(const UpstreamDirective& stated, uint64_t serviceNumber = 1)
        {
            HopMessage message;
            message.kind = HopKind::Directive;
            message.service = { serviceNumber };
            message.directive = stated;
            this->router.onDirective(entry, message);
        }

        // Whether the upstream gets a SYN of this client port.
        bool takes(uint16_t clientPort)
        {
            this->toUpstream.clear();
            this->fromEntry(HopKind::Offer, synFlag, clientPort);
            return !this->toUpstream.empty();
        }
    };

    // Guards against new flows in an evacuated domain that an entry offers which does not know the order.
    TEST_F(DirectiveAgent, RefusesNewFlowsWhileEvacuated)
    {
        this->direct(directive(8, true));
        ASSERT_FALSE(this->takes(1));
        EXPECT_EQ(this->refusals.back(), HopRefusal::UpstreamDraining);
        EXPECT_EQ(this->router.counters().refusedEvacuated, 1U);
        this->direct(directive(9, false));
        EXPECT_TRUE(this->takes(2));
    }

    // Guards against breaking flows that opened before the order: their packets and late copies of their SYNs go on.
    TEST_F(DirectiveAgent, KeepsFlowsThatTheUpstreamGotBeforeTheOrder)
    {
        this->openFlow(1);
        ASSERT_TRUE(this->takes(2)); // not yet answered
        this->fromEntry(HopKind::Offer, synFlag, 3);
        this->fromUpstream(synFlag | ackFlag, 3);
        this->direct(directive(8, true));
        this->refusals.clear();
        EXPECT_TRUE(this->takes(1));
        EXPECT_TRUE(this->takes(2));
        EXPECT_TRUE(this->takes(3));
        this->toUpstream.clear();
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->fromEntry(HopKind::Find, ackFlag, 4, 1002, 100);
        EXPECT_EQ(this->toUpstream.size(), 2U);
        EXPECT_TRUE(std::all_of(this->refusals.begin(), this->refusals.end(),
            [](HopRefusal refusal) { return refusal == HopRefusal::None; }));
        EXPECT_EQ(this->router.counters().refusedEvacuated, 0U);
    }

    // Guards against an entry that is behind and undoes a newer order or withdrawal, also after it was forgotten.
    TEST_F(DirectiveAgent, IgnoresOlderPositions)
    {
        this->direct(directive(8, true));
        this->direct(directive(7, false));
        this->direct(directive(0, false)); // an entry that does not know the orders
        EXPECT_FALSE(this->takes(1));
        this->direct(directive(9, false));
        this->direct(directive(8, true));
        EXPECT_TRUE(this->takes(2));
        this->direct(directive(10, true));
        this->run(lifetime + Milliseconds(20));
        this->direct(directive(8, true));
        EXPECT_TRUE(this->takes(3));
    }

    // Guards against an agent that refuses for ever, because the directive of the withdrawal was lost.
    TEST_F(DirectiveAgent, ForgetsAnOrderThatNoDirectiveRepeats)
    {
        this->direct(directive(8, true));
        this->run(lifetime - Milliseconds(1000));
        this->direct(directive(8, true));
        this->run(lifetime - Milliseconds(1000));
        EXPECT_FALSE(this->takes(1));
        this->direct(directive(7, true)); // does not prolong the order
        this->run(Milliseconds(1020));
        EXPECT_TRUE(this->takes(2));
    }

    // Guards against a directive for an upstream that ran at this address before.
    TEST_F(DirectiveAgent, IgnoresDirectivesForAnotherService)
    {
        this->direct(directive(8, true), 2);
        EXPECT_TRUE(this->takes(1));
    }

    // Guards against a probe of a down upstream that opens a flow in an evacuated domain.
    TEST_F(DirectiveAgent, SendsNoProbesOfNewFlowsWhileEvacuated)
    {
        for (uint16_t port = 1; port <= 8; ++port) {
            this->fromEntry(HopKind::Offer, synFlag, port);
            this->run(Milliseconds(60));
        }
        ASSERT_EQ(this->router.upstreamState(), UpstreamState::Down);
        this->direct(directive(8, true));
        this->run(Milliseconds(2000));
        ASSERT_FALSE(this->takes(20));
        EXPECT_EQ(this->refusals.back(), HopRefusal::UpstreamDraining);
        this->direct(directive(9, false));
        EXPECT_TRUE(this->takes(21)); // a probe
        EXPECT_EQ(this->refusals.back(), HopRefusal::UpstreamDown);
    }

    //-----------------------------------------------------------------------------
    // Refresh of orders in force
    //-----------------------------------------------------------------------------

    // Entries and the agents of the failure domain "a", whose messages arrive at once, unless they are lost.
    struct RefreshFleet {
        RefreshFleet(uint32_t entryCount, uint32_t agentCount, DirectiveOptions directives = {})
            : directory(DirectoryOptions(), this->clock)
            , directiveOptions(directives)
        {
            AgentRouterHooks hooks { [this](Bytes) { ++this->packetsAtUpstreams; }, [](PacketAddress, Bytes) {},
                [](PacketAddress, const HopMessage&) {}, [](PacketAddress) {}, {} };
            std::vector<UpstreamRecord> records;
            for (uint32_t i = 0; i < agentCount; ++i) {
                this->agents.emplace_back(AgentRouterFixture::options(), hooks, this->clock);
                records.push_back(RouterFixture::upstream(i));
                records.back().failureDomain = "a";
            }
            this->directory.replace(records, 5);
            for (uint32_t i = 0; i < entryCount; ++i)
                this->startEntry(i);
            this->listEntries();
        }

        static PacketAddress entryAddress(uint32_t number) { return { 0x0a010000 + number, 7700 }; }

        EntryRouter& startEntry(uint32_t number)
        {
            EntryRouterOptions options = RouterFixture::options();
            options.hopAddress = entryAddress(number).address;
            options.directives = this->directiveOptions;
            EntryRouterHooks hooks;
            hooks.sendReset = [](const FlowKey&, uint32_t) {};
            this->confirmed[number] = this->clock.now();
            hooks.evacuationAge = [this, number] { return this->clock.now() - this->confirmed[number]; };
            hooks.sendHop = [this, number](PacketAddress receiver, const HopMessage& message) {
                AgentRouter& agent = this->agents.at(receiver.address - RouterFixture::agent(0).address);
                if (message.kind == HopKind::Offer)
                    agent.onHop(entryAddress(number), message, platform::decodePacket(message.packet).value());
                if (message.kind != HopKind::Directive)
                    return;
                ++this->directiveCount;
                if (std::uniform_real_distribution<>()(this->random) >= this->lossRate)
                    agent.onDirective(entryAddress(number), message);
            };
            EntryRouter& router = this->entries.try_emplace(number, options, hooks, this->clock).first->second;
            const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
            table->routes[routeAddress] = { "r", routeAddress, { { service, 1 } }, std::nullopt };
            router.setRoutes(table);
            router.setUpstreams(this->directory);
            return router;
        }

        // The entries that run know each other.
        void listEntries()
        {
            std::vector<PacketAddress> running;
            for (const auto& [number, router] : this->entries)
                running.push_back(entryAddress(number));
            for (auto& [number, router] : this->entries)
                router.setPeers(running);
        }

        void order(uint64_t position, const std::set<std::string>& domains, uint32_t firstEntry = 0)
        {
            for (auto entry = this->entries.lower_bound(firstEntry); entry != this->entries.end(); ++entry)
                entry->second.setEvacuations({ position, domains });
        }

        // Returns the lowest number of agents at which the order was in force.
        size_t run(Milliseconds duration)
        {
            size_t lowest = this->agents.size();
            for (const TimePoint end = this->clock.now() + duration; this->clock.now() < end;) {
                this->clock.advance(Milliseconds(100));
                for (auto& [number, router] : this->entries) {
                    if (!this->cutOff.contains(number))
                        this->confirmed[number] = this->clock.now();
                    router.onTick();
                }
                for (AgentRouter& agent : this->agents)
                    agent.onTick();
                lowest = std::min(lowest, this->evacuatedAgents());
            }
            return lowest;
        }

        size_t evacuatedAgents() const
        {
            return static_cast<size_t>(std::count_if(this->agents.begin(), this->agents.end(),
                [](const AgentRouter& agent) { return agent.evacuation().isEvacuated(); }));
        }

        // The number of packets that upstreams get of a flow at an entry which starts without knowing the order.
        size_t openFlowAtUninformedEntry() { return this->openFlow(this->startEntry(99)); }

        size_t openFlow(EntryRouter& router)
        {
            const std::vector<uint8_t> bytes = makePacket(client, routeAddress, synFlag, 1001, 0, 0);
            router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
            return this->packetsAtUpstreams;
        }

        ManualClock clock;
        UpstreamDirectory directory;
        DirectiveOptions directiveOptions;
        std::map<uint32_t, TimePoint> confirmed; // when the orders of entries were confirmed
        std::set<uint32_t> cutOff; // entries whose orders nobody confirms
        std::map<uint32_t, EntryRouter> entries; // those that run
        std::deque<AgentRouter> agents;
        std::mt19937_64 random { 7 };
        double lossRate = 0; // of directives
        size_t directiveCount = 0;
        size_t packetsAtUpstreams = 0;
    };

    // Guards against agents that expire an order in force, since nobody offers them flows: an entry that starts without
    // knowing the order would place flows there. Without the refresh this happens.
    TEST(DirectiveRefresh, KeepsAnOrderInForceAlthoughDirectivesAreLost)
    {
        RefreshFleet fleet(5, 20);
        fleet.order(8, { "a" });
        for (size_t refreshes = 0; refreshes <= 60; refreshes += 20) { // one entry of each agent after the other
            EXPECT_EQ(fleet.directiveCount, 5U * 20 + refreshes);
            fleet.run(Milliseconds(3400));
        }
        fleet.lossRate = 0.3;
        EXPECT_EQ(fleet.run(Milliseconds(600000)), 20U);
        EXPECT_EQ(fleet.entries.at(0).evacuationProgress().at(0).directedAgents, 20U);
        EXPECT_LE(fleet.directiveCount, 5U * 20 + 3U * 20 * 62);
        EXPECT_EQ(fleet.openFlowAtUninformedEntry(), 0U);
        EXPECT_TRUE(std::any_of(fleet.agents.begin(), fleet.agents.end(), [](const AgentRouter& agent) {
            const std::optional<RefusedOffer>& refused = agent.evacuation().lastRefusedOffer();
            return refused && refused->entry == RefreshFleet::entryAddress(99);
        }));
        RefreshFleet withoutRefresh(5, 20, { .refreshesOrders = false });
        withoutRefresh.order(8, { "a" });
        EXPECT_EQ(withoutRefresh.run(Milliseconds(31000)), 0U);
        EXPECT_EQ(withoutRefresh.openFlowAtUninformedEntry(), 1U);
    }

    // Guards against an order that depends on entries which stop: two of six, which the others notice late, and then
    // all but one, so that some agents lose the three entries that refreshed them.
    TEST(DirectiveRefresh, SurvivesStoppedEntries)
    {
        RefreshFleet fleet(6, 20);
        fleet.order(8, { "a" });
        fleet.run(Milliseconds(9000));
        for (const auto& [left, unnoticed] :
            { std::pair(4U, Milliseconds(40000)), std::pair(1U, Milliseconds(5000)) }) {
            while (fleet.entries.size() > left)
                fleet.entries.erase(fleet.entries.begin());
            EXPECT_EQ(fleet.run(unnoticed), 20U);
            fleet.listEntries();
            EXPECT_EQ(fleet.run(Milliseconds(120000)), 20U);
        }
    }

    // Guards against refreshes of a large domain that exceed the budget, or expire it at some agents.
    TEST(DirectiveRefresh, ALoneEntryKeepsALargeDomainWithinItsBudget)
    {
        RefreshFleet fleet(1, 536);
        fleet.order(8, { "a" });
        for (size_t second = 1; second <= 150; ++second) {
            EXPECT_TRUE(fleet.run(Milliseconds(1000)) == 536 || second <= 27) << second;
            EXPECT_LE(fleet.directiveCount, (second + 1) * 20); // 100 bytes each
        }
    }

    // Guards against an order of a second domain whose announcement uses up the budget for longer than agents keep the
    // first one, and against refreshes that use it up.
    TEST(DirectiveRefresh, ChangesAndRefreshesShareTheBudget)
    {
        ManualClock clock;
        DirectiveSchedule schedule(DirectiveOptions(), clock);
        std::map<PacketAddress, size_t> refreshed;
        std::vector<PacketAddress> changed;
        for (uint32_t i = 0; i < 536; ++i) { // more than the budget admits in the time below
            refreshed.emplace(PacketAddress { i, agentPort }, 0);
            changed.push_back({ 1000 + i, agentPort });
        }
        schedule.setRefreshed(refreshed);
        schedule.enqueue(changed);
        std::array<size_t, 2> sent {}; // refreshes, changes
        for (int tick = 0; tick < 20 * 50; ++tick) {
            for (const PacketAddress agent : schedule.takeQueued(100))
                ++sent.at(agent.address < 1000 ? 0 : 1);
            clock.advance(Milliseconds(20));
        }
        EXPECT_GT(std::min(sent[0], sent[1]), 190U);
    }

    // Guards against agents that stay at a withdrawal which another order followed within a second (the directives of
    // that order are lost, and some entries saw the last state only), and against entries that keep a withdrawn order
    // alive or send directives without an order.
    TEST(DirectiveRefresh, FollowsWithdrawalsAndOrdersGivenAgain)
    {
        RefreshFleet fleet(5, 8);
        fleet.order(8, { "a" });
        fleet.run(Milliseconds(5000));
        fleet.order(9, {}, 2);
        EXPECT_EQ(fleet.evacuatedAgents(), 0U);
        fleet.run(Milliseconds(500));
        fleet.lossRate = 1;
        fleet.order(10, { "a" });
        fleet.run(Milliseconds(500));
        fleet.lossRate = 0;
        fleet.run(Milliseconds(10000));
        EXPECT_EQ(fleet.evacuatedAgents(), 8U);
        EXPECT_EQ(fleet.agents[0].evacuation().position(), 10U);
        fleet.order(11, {});
        fleet.directiveCount = 0;
        fleet.run(Milliseconds(60000));
        EXPECT_EQ(fleet.evacuatedAgents() + fleet.directiveCount, 0U);
    }

    // Guards against a withdrawn order that an entry without store and peers repeats to agents which restart, here
    // those that got no directive before, and against flows of this entry in the domain because nobody confirms the
    // order.
    TEST(DirectiveConfirmation, AnEntryThatIsCutOffStopsRepeatingItsOrder)
    {
        for (const bool needsConfirmation : { true, false }) {
            RefreshFleet fleet(5, 20, { .needsConfirmation = needsConfirmation });
            fleet.lossRate = 1;
            fleet.order(8, { "a" });
            fleet.cutOff = { 0 };
            fleet.entries.at(0).setPeers({});
            fleet.entries.at(0).setUpstreams(fleet.directory);
            fleet.order(9, {}, 1);
            fleet.run(Milliseconds(61000));
            fleet.lossRate = 0;
            fleet.run(Milliseconds(30000));
            EXPECT_EQ(fleet.evacuatedAgents(), needsConfirmation ? 0U : 20U);
            EXPECT_EQ(fleet.openFlow(fleet.entries.at(0)), 0U);
        }
    }

    // Guards against lone entries that keep an order for ever, and against refreshes that all entries send at the same
    // time once they are confirmed again.
    TEST(DirectiveConfirmation, EntriesResumeInTurnOnceTheyAreConfirmed)
    {
        RefreshFleet fleet(3, 20);
        fleet.order(8, { "a" });
        fleet.cutOff = { 0, 1, 2 };
        EXPECT_EQ(fleet.run(Milliseconds(49000)), 20U);
        EXPECT_EQ(fleet.run(Milliseconds(12000)), 0U);
        fleet.cutOff.clear();
        fleet.directiveCount = 0;
        for (size_t refreshes = 20; refreshes <= 60; refreshes += 20) {
            fleet.run(Milliseconds(3300));
            EXPECT_EQ(fleet.directiveCount, refreshes);
        }
    }

    // Guards against a directive before an offer that states a withdrawal which may be outdated.
    TEST(DirectiveConfirmation, StatesPositionZeroBeforeOffersWhileUnconfirmed)
    {
        RefreshFleet fleet(1, 1);
        fleet.lossRate = 1;
        fleet.order(8, { "a" });
        fleet.order(9, {});
        fleet.cutOff = { 0 };
        fleet.run(Milliseconds(31000));
        fleet.lossRate = 0;
        EXPECT_EQ(fleet.openFlow(fleet.entries.at(0)), 1U);
        EXPECT_EQ(fleet.agents[0].evacuation().position(), 0U);
    }

    // Guards against statements that confirm nothing: earlier positions, and messages that waited during a pause.
    TEST(DirectiveConfirmation, IgnoresEarlierPositionsAndIncludesPauses)
    {
        ManualClock clock;
        EvacuationConfirmation confirmation(clock);
        const EvacuationOrders known { 20, { "a" } };
        confirmation.onPeerStated(19, known);
        confirmation.onStoreConfirmed(19, Duration::zero(), known);
        EXPECT_FALSE(confirmation.age());
        clock.advance(Milliseconds(40000));
        confirmation.onPeerStated(20, known);
        EXPECT_EQ(confirmation.age(), Milliseconds(40000));
        DirectiveSchedule schedule(DirectiveOptions(), clock);
        schedule.setConfirmationAge(confirmation.age());
        EXPECT_FALSE(schedule.statesOrders());
        confirmation.onStoreConfirmed(20, Milliseconds(30000), known);
        schedule.setConfirmationAge(confirmation.age());
        EXPECT_TRUE(schedule.statesOrders());
    }

} // namespace
} // namespace wasabicroft::tests
