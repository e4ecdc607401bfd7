// Flows whose route leads to other services than when they opened: their upstream holds them as before.
#include "EntryRouterFixture.h"

namespace wasabicroft::tests {
namespace {

    constexpr ServiceId formerService { 2 };

    struct MovedRouteFixture : RouterFixture {
        static constexpr uint32_t formerUpstream = 1; // of formerService, holds the flow
        static constexpr uint32_t currentUpstream = 0; // of the service that the route names

        // The configuration lists formerService; no route names it any more.
        void useMovedRoute(std::set<ServiceId> listedServices = { service, formerService })
        {
            const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
            table->version = 2;
            table->routes[routeAddress] = { "", routeAddress, { { service, 1 } }, RequestLimits() };
            table->listedServices = std::move(listedServices);
            this->directory.setServices(table->services());
            this->router.setRoutes(table);
            UpstreamRecord former = upstream(formerUpstream);
            former.service = formerService;
            this->directory.replace({ upstream(currentUpstream), former }, 5);
            this->directory.onPeerListState(ListState::Complete);
            this->router.setUpstreams(this->directory);
        }

        bool wasReached(uint32_t number) const
        {
            return std::any_of(this->hops.begin(), this->hops.end(), [&](const SentHop& hop) {
                return hop.agent == agent(number) && (hop.flowCount > 0 || hop.kind == HopKind::Find);
            });
        }
    };

    // Guards against the reset of an open flow by an entry that never saw the earlier configuration of its route.
    TEST_F(MovedRouteFixture, TheUpstreamOfAFormerServiceIsAskedBeforeAReset)
    {
        this->useMovedRoute();
        this->fromClient(ackFlag, 7, 100);
        this->agentDenies(agent(currentUpstream));
        EXPECT_TRUE(this->resets.empty());
        ASSERT_TRUE(this->wasReached(formerUpstream));
        this->hops.clear();
        this->agentKnows(agent(formerUpstream));
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Forward);
        EXPECT_EQ(this->hops[0].agent, agent(formerUpstream));
    }

    // Guards against the same reset where upstreams return the packet instead of an answer of their agents.
    TEST_F(MovedRouteFixture, AReturnedPacketIsNoProofWhileAFormerServiceIsSilent)
    {
        this->useMovedRoute();
        this->fromClient(ackFlag, 7, 100);
        for (int i = 0; i < 20; ++i) {
            this->advance(Milliseconds(60));
            this->fromAgent(agent(currentUpstream), HopKind::NotHeld);
            this->fromClient(ackFlag, 7, 100);
        }
        EXPECT_TRUE(this->resets.empty());
        EXPECT_TRUE(this->wasReached(formerUpstream));
    }

    // Guards against searches that never get beyond the services of the route, because one of their agents is silent.
    TEST_F(MovedRouteFixture, ASilentUpstreamOfTheRouteDoesNotKeepTheSearchFromOthers)
    {
        this->useMovedRoute();
        constexpr Milliseconds retransmission { 400 };
        this->fromClient(ackFlag, 7, 100);
        this->advance(retransmission);
        this->fromClient(ackFlag, 7, 100);
        EXPECT_TRUE(this->wasReached(formerUpstream));
    }

    // Guards against the same failure after a packet was returned by an upstream that held an earlier flow.
    TEST_F(MovedRouteFixture, AWrongHolderDoesNotKeepTheSearchFromOthers)
    {
        this->useMovedRoute();
        this->fromClient(ackFlag, 7, 100);
        this->agentKnows(agent(currentUpstream));
        const std::vector<uint8_t> packet = makePacket(client, routeAddress, ackFlag, 1001, 7, 100);
        this->fromAgent(agent(currentUpstream), HopKind::NotHeld, 0, packet);
        constexpr Milliseconds retransmission { 400 };
        for (int copy = 0; copy < 2; ++copy) {
            this->fromClient(ackFlag, 7, 100);
            this->advance(retransmission);
            this->agentDenies(agent(currentUpstream));
        }
        EXPECT_TRUE(this->wasReached(formerUpstream));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against flows that are never reset: once the upstreams of all services have denied one, it is lost.
    TEST_F(MovedRouteFixture, AFlowThatUpstreamsOfAllServicesDenyIsReset)
    {
        this->useMovedRoute();
        this->fromClient(ackFlag, 7, 100);
        this->agentDenies(agent(currentUpstream));
        this->agentDenies(agent(formerUpstream));
        EXPECT_EQ(this->resets.size(), 1U);
    }

    // Guards against the reset of a flow at an upstream that was removed after its service lost its last route and its
    // last listed upstream.
    TEST_F(MovedRouteFixture, ARemovedUpstreamOfAFormerServiceIsAsked)
    {
        this->useMovedRoute();
        this->directory.remove(upstream(formerUpstream).name, 6);
        this->router.setUpstreams(this->directory);
        this->fromClient(ackFlag, 7, 100);
        this->agentDenies(agent(currentUpstream));
        EXPECT_TRUE(this->wasReached(formerUpstream));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against records of other writers that keep lost flows from being reset: nothing answers at their address.
    TEST_F(MovedRouteFixture, SilenceAtARecordOfAnUnnamedServiceDelaysAResetShortly)
    {
        this->useMovedRoute({ service });
        this->fromClient(ackFlag, 7, 100);
        this->agentDenies(agent(currentUpstream));
        EXPECT_TRUE(this->wasReached(formerUpstream));
        EXPECT_TRUE(this->resets.empty());
        this->advance(Milliseconds(300));
        EXPECT_EQ(this->resets.size(), 1U);
    }

    // Guards against upstreams that learn no slots from the packets of their open flows.
    TEST_F(MovedRouteFixture, AForwardStatesTheServiceOfItsUpstream)
    {
        this->useMovedRoute();
        this->fromClient(ackFlag, 7, 100);
        this->agentKnows(agent(formerUpstream));
        ASSERT_FALSE(this->hops.empty());
        EXPECT_EQ(this->hops.back().kind, HopKind::Forward);
        EXPECT_EQ(this->hops.back().service, formerService);
        ASSERT_TRUE(this->hops.back().upstream);
    }

    // A flow that is offered to the upstreams of one service, which are silent, while its route changes.
    struct OpeningFlowFixture : RouterFixture {
        static constexpr uint32_t firstOfNextService = 2;
        static constexpr uint32_t upstreamCount = 7; // of both services
        static constexpr ServiceId nextService { 3 };
        static constexpr Milliseconds untilCopy { 600 };

        static std::shared_ptr<const RoutingTable> table(uint64_t version, std::vector<RouteShare> shares)
        {
            const std::shared_ptr<RoutingTable> result = std::make_shared<RoutingTable>();
            result->version = version;
            result->listedServices = { service, nextService };
            if (!shares.empty())
                result->routes[routeAddress] = { "", routeAddress, std::move(shares), RequestLimits() };
            return result;
        }

        void openByFirstVersion()
        {
            this->router.setRoutes(table(1, { { service, 1 } }));
            std::vector<UpstreamRecord> records = { upstream(0), upstream(1) };
            for (uint32_t number = firstOfNextService; number < upstreamCount; ++number) {
                records.push_back(upstream(number));
                records.back().service = nextService;
            }
            this->directory.replace(records, 5);
            this->directory.onPeerListState(ListState::Complete);
            this->router.setUpstreams(this->directory);
            this->fromClient(synFlag);
        }

        static bool isOfNextService(PacketAddress receiver)
        {
            return receiver.address >= agent(firstOfNextService).address
                && receiver.address < agent(upstreamCount).address;
        }

        // Whether offers were sent, all of them to upstreams of the next service and for that service.
        bool onlyNextServiceWasOffered()
        {
            const std::vector<SentHop> sent = this->takeHops();
            size_t offers = 0;
            for (const SentHop& hop : sent) {
                if (hop.kind != HopKind::Offer)
                    continue;
                ++offers;
                if (!isOfNextService(hop.agent) || hop.service != nextService)
                    return false;
            }
            return offers > 0;
        }
    };

    // Guards against a flow that opens at the service to which an earlier configuration led, long after the change:
    // copies of a SYN were offered by the routes of the first one. Incident CONFIG on rigcheck-ph-grown, report 2.
    TEST_F(OpeningFlowFixture, ACopyOfASynGoesToTheServiceThatItsRouteNamesNow)
    {
        this->openByFirstVersion();
        this->router.setRoutes(table(2, { { nextService, 1 } }));
        this->takeHops();
        this->advance(untilCopy);
        this->takeHops();
        this->fromClient(synFlag, 1);
        this->advance(untilCopy);
        EXPECT_TRUE(this->onlyNextServiceWasOffered());
    }

    // Guards against the same in the offers that follow a silent or refusing upstream, without a copy of the SYN.
    TEST_F(OpeningFlowFixture, TheNextOfferGoesToTheServiceThatTheRouteNamesNow)
    {
        this->openByFirstVersion();
        const std::vector<SentHop> first = this->takeHops();
        ASSERT_FALSE(first.empty());
        this->router.setRoutes(table(2, { { nextService, 1 } }));
        this->fromAgent(first[0].agent, HopKind::Refused, 0, first[0].packet);
        this->advance(untilCopy);
        EXPECT_TRUE(this->onlyNextServiceWasOffered());
    }

    // Guards against a flow on a withdrawn route that opens because upstreams were silent at first.
    TEST_F(OpeningFlowFixture, NoOtherUpstreamGetsTheSynOfAWithdrawnRoute)
    {
        this->openByFirstVersion();
        this->router.setRoutes(table(2, {}));
        this->takeHops();
        this->advance(untilCopy);
        for (const SentHop& hop : this->takeHops())
            EXPECT_NE(hop.kind, HopKind::Offer);
    }

    // Guards against a copy of the SYN that goes again to an upstream of the former service, which accepted an earlier
    // copy, and against the loss of that offer: the client may have got its answer.
    TEST_F(OpeningFlowFixture, AnAcceptedOfferOfTheFormerServiceIsKeptButNotRepeated)
    {
        this->openByFirstVersion();
        const std::vector<SentHop> first = this->takeHops();
        ASSERT_FALSE(first.empty());
        this->fromAgent(first[0].agent, HopKind::Accepted, 500);
        this->router.setRoutes(table(2, { { nextService, 1 } }));
        this->takeHops();
        this->fromClient(synFlag, 1);
        EXPECT_TRUE(this->onlyNextServiceWasOffered());
        this->fromClient(ackFlag, 501, 100);
        const std::vector<SentHop> sent = this->takeHops();
        ASSERT_FALSE(sent.empty());
        EXPECT_EQ(sent.back().kind, HopKind::Forward);
        EXPECT_EQ(sent.back().agent, first[0].agent);
    }

    // Guards against a late copy of the SYN of an open flow that opens another one at the former service, whose
    // upstream has restarted.
    TEST_F(OpeningFlowFixture, ALateCopyOfASynDoesNotReachTheHolderOfAFormerService)
    {
        this->openByFirstVersion();
        const std::vector<SentHop> first = this->takeHops();
        ASSERT_FALSE(first.empty());
        this->fromAgent(first[0].agent, HopKind::Accepted, 500);
        this->fromClient(ackFlag, 501, 100);
        this->router.setRoutes(table(2, { { nextService, 1 } }));
        this->takeHops();
        this->fromClient(synFlag, 1);
        EXPECT_TRUE(this->takeHops().empty());
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against a flow that loses its service although its route still leads there.
    TEST_F(OpeningFlowFixture, AFlowStaysWithItsServiceWhileItsRouteNamesIt)
    {
        this->openByFirstVersion();
        this->router.setRoutes(table(2, { { service, 1 }, { nextService, 1000 } }));
        this->takeHops();
        this->fromClient(synFlag, 1);
        this->advance(untilCopy);
        size_t offers = 0;
        for (const SentHop& hop : this->takeHops()) {
            if (hop.kind != HopKind::Offer)
                continue;
            ++offers;
            EXPECT_FALSE(isOfNextService(hop.agent));
        }
        EXPECT_GT(offers, 0U);
    }

} // namespace
} // namespace wasabicroft::tests
