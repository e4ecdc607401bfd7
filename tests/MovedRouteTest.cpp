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

} // namespace
} // namespace wasabicroft::tests
