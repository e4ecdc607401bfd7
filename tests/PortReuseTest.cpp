// Clients that use a port again: entries and agents still know the earlier flow of the same ends.
#include "AgentRouterFixture.h"
#include "EntryRouterFixture.h"
#include "wasabicroft/FlowSequences.h"

namespace wasabicroft::tests {
namespace {

    //-----------------------------------------------------------------------------
    // [SECTION] Sequence numbers
    //-----------------------------------------------------------------------------

    Packet packetOf(uint32_t sequence, uint32_t acknowledgement)
    {
        Packet packet;
        packet.ack = true;
        packet.sequence = sequence;
        packet.acknowledgement = acknowledgement;
        return packet;
    }

    TEST(FlowSequences, NothingIsOfAnotherFlowWhileNothingIsKnown)
    {
        EXPECT_FALSE(FlowSequences().isOfOtherFlow(packetOf(1, 2)));
    }

    // Guards against packets of a flow that are taken for another one's because they were delayed or sent again.
    TEST(FlowSequences, AllThatAFlowHasSentIsNear)
    {
        constexpr uint32_t start = UINT32_MAX - 100000; // wraps around
        constexpr uint32_t step = 1200;
        constexpr uint32_t packets = 1000;
        FlowSequences sequences;
        for (uint32_t i = 0; i < packets; ++i) {
            sequences.onClientPacket(packetOf(start + i * step, 7));
            sequences.onUpstreamPacket(packetOf(start + i * step, start));
        }
        EXPECT_FALSE(sequences.isOfOtherFlow(packetOf(start, start)));
        EXPECT_FALSE(sequences.isOfOtherFlow(packetOf(start + packets * step, start + packets * step)));
        EXPECT_FALSE(sequences.isOfOtherFlow(packetOf(start - maxSequenceGap, start - maxSequenceGap)));
        EXPECT_TRUE(sequences.isOfOtherFlow(packetOf(start - maxSequenceGap - 1, start)));
        EXPECT_TRUE(sequences.isOfOtherFlow(packetOf(start, start - maxSequenceGap - 1)));
        EXPECT_TRUE(sequences.isOfOtherFlow(packetOf(start + packets * step + maxSequenceGap, start)));
    }

    // Guards against a client's reset that is kept from its upstream: it may carry any numbers.
    TEST(FlowSequences, AResetBelongsToEveryFlow)
    {
        FlowSequences sequences;
        sequences.onClientPacket(packetOf(5000000, 7000000));
        sequences.onUpstreamPacket(packetOf(7000000, 5000000));
        Packet reset;
        reset.rst = true;
        EXPECT_FALSE(sequences.isOfOtherFlow(reset));
    }

    Packet synOf(uint32_t sequence)
    {
        Packet packet;
        packet.syn = true;
        packet.sequence = sequence;
        return packet;
    }

    // Guards against a copy of a SYN that is taken for another flow's, and the other way round.
    TEST(FlowSequences, CopiesOfASynHaveOneNumber)
    {
        FlowSequences sequences;
        sequences.onClientPacket(synOf(1000));
        EXPECT_FALSE(sequences.isOfOtherFlow(synOf(1000)));
        EXPECT_TRUE(sequences.isOfOtherFlow(synOf(1001)));
    }

    // The same where the SYN was not seen: copies come only while the flow is young.
    TEST(FlowSequences, AnUnknownSynIsACopyIfItComesShortlyBeforeWhatWasSeen)
    {
        FlowSequences sequences;
        sequences.onClientPacket(packetOf(50, 7));
        EXPECT_FALSE(sequences.isOfOtherFlow(synOf(49)));
        EXPECT_FALSE(sequences.isOfOtherFlow(synOf(50 - maxSequenceGap)));
        EXPECT_TRUE(sequences.isOfOtherFlow(synOf(51)));
        EXPECT_TRUE(sequences.isOfOtherFlow(synOf(50 - maxSequenceGap - 1)));
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Agent
    //-----------------------------------------------------------------------------

    // The upstream held a flow from port 1; its sequence numbers start at 1001 at the client and at 500 at the
    // upstream.
    struct PortReuseAtAgent : AgentRouterFixture {
        static constexpr uint32_t nextClientSequence = 900000000; // of another flow from the port
        static constexpr uint32_t nextUpstreamSequence = 700000000;

        void endFlow()
        {
            this->fromEntry(HopKind::Forward, ackFlag | finFlag, 1, 1002);
            this->fromUpstream(ackFlag | finFlag, 1);
        }

        void resetFromUpstream(uint32_t sequence)
        {
            const std::vector<uint8_t> bytes = makePacket(routeAddress, { client.address, 1 }, rstFlag, sequence, 0, 0);
            this->router.onUpstreamPacket(platform::decodePacket(bytes).value(), bytes);
        }

        std::vector<uint8_t> nextFlowPacket(HopKind kind)
        {
            const std::vector<uint8_t> bytes = makePacket(
                { client.address, 1 }, routeAddress, ackFlag, nextClientSequence, nextUpstreamSequence, 100);
            HopMessage message;
            message.kind = kind;
            message.service = { 1 };
            message.packet = bytes;
            this->kinds.clear();
            this->toUpstream.clear();
            this->router.onHop(entry, message, platform::decodePacket(bytes).value());
            return bytes;
        }
    };

    // Guards against an agent that reports the flow of a port as lost although another upstream holds a later flow from
    // it.
    TEST_F(PortReuseAtAgent, APacketOfALaterFlowIsReturnedToItsEntry)
    {
        this->openFlow(1);
        const std::vector<uint8_t> packet = this->nextFlowPacket(HopKind::Forward);
        EXPECT_TRUE(this->toUpstream.empty());
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
        EXPECT_EQ(this->lastHop.flow, keyOf(1));
    }

    // Guards against an agent that claims the later flow, which ends the search before the holder has answered.
    TEST_F(PortReuseAtAgent, ASearchForALaterFlowIsDenied)
    {
        this->openFlow(1);
        this->nextFlowPacket(HopKind::Find);
        EXPECT_TRUE(this->toUpstream.empty());
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(1) });
    }

    // Guards against an agent that forgets the flow that its upstream holds because of a late packet of an earlier one.
    TEST_F(PortReuseAtAgent, ALatePacketOfAnEarlierFlowEndsNoOpenFlow)
    {
        this->openFlow(1);
        this->nextFlowPacket(HopKind::Forward);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // Guards against an agent that claims the later flow again and again.
    TEST_F(PortReuseAtAgent, AnEndedFlowIsNotClaimedOnceAnotherUsesItsPort)
    {
        this->openFlow(1);
        this->endFlow();
        this->nextFlowPacket(HopKind::Forward);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
        this->ask({ keyOf(1) });
        EXPECT_NE(this->kinds, std::vector<HopKind> { HopKind::Known });
    }

    // Guards against a load of billions of flows, which keeps new flows away from the upstream: an ended flow, which
    // was counted no more, was subtracted again when another one used its port.
    TEST_F(PortReuseAtAgent, AnEndedFlowIsSubtractedOnce)
    {
        this->openFlow(1);
        this->endFlow();
        this->nextFlowPacket(HopKind::Forward);
        EXPECT_EQ(this->lastHop.heldFlows, 0U);
    }

    // Guards against reporting the later flow as lost: the agent restarted, and a late packet of the earlier flow makes
    // it known again while the packet of the later one is on its way back.
    TEST_F(PortReuseAtAgent, AReturnedPacketOfALaterFlowIsNotReportedAsLost)
    {
        const std::vector<uint8_t> packet = this->nextFlowPacket(HopKind::Forward);
        ASSERT_EQ(this->toUpstream.size(), 1U);
        this->fromUpstream(ackFlag | finFlag, 1);
        this->kinds.clear();
        this->bounce(packet);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
    }

    // Guards against the reset of an open flow: its agent forgot it because a late copy of the SYN of the port's
    // earlier flow came, which the upstream ignores.
    TEST_F(PortReuseAtAgent, ALateSynOfAnEarlierFlowEndsNoOpenFlow)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Offer, synFlag, 1, 500000);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        this->toUpstream.clear();
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // Guards against packets of an open flow that its agent returns: it restarted, and knows the port from a late copy
    // of the earlier flow's SYN only, which the upstream ignores.
    TEST_F(PortReuseAtAgent, ASynThatTheUpstreamIgnoresShowsNoFlow)
    {
        this->openFlow(2);
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->nextFlowPacket(HopKind::Forward);
        EXPECT_EQ(this->toUpstream.size(), 1U);
        EXPECT_TRUE(this->kinds.empty());
    }

    // Guards against a later flow that its agent does not know: the FIN of the earlier one was lost on the way.
    TEST_F(PortReuseAtAgent, AnAcceptedSynReplacesAFlowThatDidNotEnd)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Offer, synFlag, 1, nextClientSequence);
        this->kinds.clear();
        const std::vector<uint8_t> answer = makePacket(routeAddress, { client.address, 1 }, synFlag | ackFlag,
            nextUpstreamSequence - 1, nextClientSequence + 1, 0);
        this->router.onUpstreamPacket(platform::decodePacket(answer).value(), answer);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Accepted });
        this->nextFlowPacket(HopKind::Forward);
        EXPECT_EQ(this->toUpstream.size(), 1U);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
    }

    // Guards against packets of a later flow that an upstream answers with a reset, since it keeps the earlier one: its
    // agent knew after the first packet that they are of another flow, and forgot it.
    TEST_F(PortReuseAtAgent, AnEndedFlowGetsNoPacketOfALaterOne)
    {
        this->openFlow(1);
        this->endFlow();
        for (int copy = 0; copy < 3; ++copy) {
            this->nextFlowPacket(HopKind::Forward);
            EXPECT_TRUE(this->toUpstream.empty());
            EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
        }
    }

    // Guards against entries that take the former holder's agent for that of a later flow when it stops.
    TEST_F(PortReuseAtAgent, AnEndedFlowIsNotHandedOver)
    {
        this->openFlow(1);
        this->openFlow(2);
        this->endFlow();
        this->router.handOver();
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(2) });
    }

    // Guards against an upstream's reset of an earlier flow that ends the later one at its client: the agent restarted
    // and handed the packet of a search over.
    TEST_F(PortReuseAtAgent, AResetOfAnEarlierFlowDeniesASearchedOne)
    {
        for (int copy = 0; copy < 2; ++copy)
            this->nextFlowPacket(HopKind::Find);
        this->kinds.clear();
        for (int copy = 0; copy < 2; ++copy)
            this->fromUpstream(rstFlag, 1); // 500
        EXPECT_TRUE(this->toClient.empty());
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
    }

    // The same for a packet of an entry that took this upstream for the holder.
    TEST_F(PortReuseAtAgent, AResetOfAnEarlierFlowReturnsAForwardedOne)
    {
        this->nextFlowPacket(HopKind::Forward);
        this->fromUpstream(rstFlag, 1); // 500
        EXPECT_TRUE(this->toClient.empty());
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
    }

    // The same where the numbers of the two flows are near each other by accident: the entry took the agent's word for
    // the loss of the later flow, and the client took the reset for its own.
    TEST_F(PortReuseAtAgent, AResetWithANearNumberDeniesASearchedFlow)
    {
        for (const uint32_t sequence : { nextUpstreamSequence - 51500, nextUpstreamSequence + 1500 }) {
            this->nextFlowPacket(HopKind::Find);
            this->resetFromUpstream(sequence);
            EXPECT_TRUE(this->toClient.empty()) << sequence;
            EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied }) << sequence;
        }
    }

    // Guards against a reset of the upstream that is kept from its client: the entry knows the holder.
    TEST_F(PortReuseAtAgent, AResetOfTheForwardedFlowReachesTheClient)
    {
        this->nextFlowPacket(HopKind::Forward);
        this->resetFromUpstream(nextUpstreamSequence);
        EXPECT_EQ(this->toClient.size(), 1U);
    }

    // The same for a searched flow whose SYN the upstream accepted.
    TEST_F(PortReuseAtAgent, AResetOfTheSearchedFlowReachesTheClient)
    {
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->fromUpstream(synFlag | ackFlag, 1);
        this->fromEntry(HopKind::Find, ackFlag, 1, 1001, 100);
        this->toClient.clear();
        this->kinds.clear();
        this->resetFromUpstream(501);
        EXPECT_EQ(this->toClient.size(), 1U);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Gone });
    }

    // Guards against entries that can't tell which flow of the port an agent reports as lost.
    TEST_F(PortReuseAtAgent, AReportOfALostFlowStatesWhereItEnded)
    {
        this->openFlow(1);
        this->fromUpstream(ackFlag, 1, 100);
        this->bounce(this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100));
        EXPECT_EQ(this->kinds.back(), HopKind::Gone);
        EXPECT_EQ(this->lastHop.upstreamSequence, 600U);
    }

    // Guards against new flows at an upstream that drains: its agent took the SYN for a late copy.
    TEST_F(PortReuseAtAgent, ADrainingUpstreamGetsNoLaterFlow)
    {
        this->openFlow(1);
        this->endFlow();
        this->stated = UpstreamFigures { 6, 1, true };
        this->toUpstream.clear();
        this->fromEntry(HopKind::Offer, synFlag, 1, nextClientSequence);
        EXPECT_TRUE(this->toUpstream.empty());
        EXPECT_EQ(this->refusals.back(), HopRefusal::UpstreamDraining);
        this->fromEntry(HopKind::Offer, synFlag, 1); // a copy of the first one
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // The same after a restart of the agent, which knows the earlier flow from its later packets only.
    TEST_F(PortReuseAtAgent, ADrainingUpstreamGetsNoLaterFlowThoughTheSynIsNotKnown)
    {
        this->stated = UpstreamFigures { 6, 1, true };
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->fromUpstream(ackFlag | finFlag, 1);
        this->toUpstream.clear();
        this->fromEntry(HopKind::Offer, synFlag, 1, nextClientSequence);
        EXPECT_TRUE(this->toUpstream.empty());
        this->fromEntry(HopKind::Offer, synFlag, 1);
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // Guards against a refusal that the entry never hears: the returned SYN was taken for a late copy.
    TEST_F(PortReuseAtAgent, ALaterFlowThatTheUpstreamReturnsIsRefused)
    {
        this->openFlow(1);
        this->endFlow();
        const std::vector<uint8_t> syn = this->fromEntry(HopKind::Offer, synFlag, 1, nextClientSequence);
        this->kinds.clear();
        this->bounce(syn);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Refused });
    }

    // Guards against an upstream that counts as down because it ignores the SYN of a port whose earlier flow its client
    // never closed.
    TEST_F(PortReuseAtAgent, TheSynOfALaterFlowIsNoProbe)
    {
        this->openFlow(1);
        constexpr Milliseconds longerThanTheProbes { 1000 };
        this->fromEntry(HopKind::Offer, synFlag, 1, nextClientSequence);
        this->run(longerThanTheProbes);
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Entry
    //-----------------------------------------------------------------------------

    struct PortReuseAtEntry : RouterFixture {
        // Packets of the client, which acknowledges 500,000,001, are forwarded to the agent.
        void useHolder(PacketAddress holder)
        {
            this->useRoutes();
            this->useUpstreams(2);
            this->fromClient(ackFlag, 500000001, 100);
            this->fromAgent(holder, HopKind::Holds);
            this->takeHops();
        }

        void fromClientAt(uint32_t sequence)
        {
            const std::vector<uint8_t> bytes = makePacket(client, routeAddress, ackFlag, sequence, 500000001, 100);
            this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
            this->router.flushAsks();
        }
    };

    struct NewFlowAtEntry : PortReuseAtEntry {
        static constexpr uint32_t nextClientSequence = 900000000;

        void synFromClient(uint32_t sequence)
        {
            const std::vector<uint8_t> bytes = makePacket(client, routeAddress, synFlag, sequence, 0, 0);
            this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
        }

        void drain(uint32_t number)
        {
            UpstreamRecord record = upstream(number, 6);
            record.draining = true;
            this->directory.update(record);
            this->router.setUpstreams(this->directory);
            this->takeHops();
        }
    };

    // Guards against new flows at an upstream that drains: the entry took the SYN for a late copy.
    TEST_F(NewFlowAtEntry, ItDoesNotGoToTheHolderOfTheEarlierFlow)
    {
        this->useRoutes();
        this->useUpstreams(2);
        this->synFromClient(1000);
        const PacketAddress holder = this->takeHops().at(0).agent;
        this->fromAgent(holder, HopKind::Accepted, 500000000);
        this->fromClient(ackFlag, 500000001, 100);
        this->drain(holder == agent(0) ? 0 : 1);
        this->synFromClient(nextClientSequence);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Offer);
        EXPECT_NE(this->hops[0].agent, holder);
    }

    // The same if the entry found the earlier flow by a search.
    TEST_F(NewFlowAtEntry, ItDoesNotGoToTheHolderThatASearchFound)
    {
        this->useHolder(agent(0));
        this->drain(0);
        this->synFromClient(nextClientSequence);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Offer);
        EXPECT_EQ(this->hops[0].agent, agent(1));
    }

    // Guards against a late copy that opens an open flow once more elsewhere.
    TEST_F(NewFlowAtEntry, ACopyOfTheSynStillGoesToTheHolder)
    {
        this->useHolder(agent(0));
        this->synFromClient(1000);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Offer);
        EXPECT_EQ(this->hops[0].agent, agent(0));
    }

    // Guards against a client that waits in vain because the last packets of the earlier flow started a search.
    TEST_F(NewFlowAtEntry, ASearchForTheEarlierFlowDoesNotHoldItUp)
    {
        this->useRoutes();
        this->useUpstreams(2);
        this->fromClient(ackFlag | finFlag, 500000001);
        this->takeHops();
        this->synFromClient(nextClientSequence);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Offer);
    }

    // Guards against offering the SYN of an earlier attempt: its answer means nothing to the client.
    TEST_F(NewFlowAtEntry, ItsOwnSynIsOffered)
    {
        this->useRoutes();
        this->useUpstreams(2);
        this->synFromClient(1000);
        this->takeHops();
        this->synFromClient(nextClientSequence);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(platform::decodePacket(this->hops[0].packet).value().sequence, nextClientSequence);
    }

    // Guards against a late refusal of the earlier attempt that refuses the new one.
    TEST_F(NewFlowAtEntry, TheRefusalOfAnEarlierSynDoesNotRefuseIt)
    {
        this->useRoutes();
        this->useUpstreams(1);
        this->synFromClient(nextClientSequence);
        this->fromAgent(agent(0), HopKind::Refused, 0, makePacket(client, routeAddress, synFlag, 1000, 0, 0));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against the reset of an open flow because its holder denied a late packet of the port's earlier flow: the
    // denial names the ends only.
    TEST_F(PortReuseAtEntry, ALateDenialOfAnEarlierFlowEndsNoSearch)
    {
        this->useRoutes();
        this->useUpstreams(1);
        this->fromClientAt(1001);
        this->fromClientAt(900000000);
        this->agentDenies(agent(0));
        EXPECT_TRUE(this->resets.empty());
        this->advance(Milliseconds(200)); // the agent is asked again
        this->agentDenies(agent(0));
        EXPECT_EQ(this->resets.size(), 1U);
    }

    // The same where the SYN of the later flow came in between.
    TEST_F(NewFlowAtEntry, ALateDenialOfAnEarlierFlowEndsNoSearch)
    {
        this->useRoutes();
        this->useUpstreams(1);
        this->fromClientAt(1001);
        this->synFromClient(nextClientSequence);
        this->fromClientAt(nextClientSequence + 1);
        this->advance(Milliseconds(60)); // the search is extended to the route
        this->agentDenies(agent(0));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against the reset of an open flow because an agent lost an earlier flow of the same ends.
    TEST_F(PortReuseAtEntry, TheLossOfAnEarlierFlowResetsNoLaterOne)
    {
        this->useHolder(agent(0));
        this->fromAgent(agent(0), HopKind::Gone, 77);
        EXPECT_TRUE(this->resets.empty());
        this->fromClient(ackFlag, 500000001, 100);
        ASSERT_FALSE(this->hops.empty());
        EXPECT_NE(this->hops[0].kind, HopKind::Forward);
    }

    // Guards against the same while the holder is sought.
    TEST_F(PortReuseAtEntry, TheLossOfAnEarlierFlowEndsNoSearch)
    {
        this->useRoutes();
        this->useUpstreams(2);
        this->fromClient(ackFlag, 500000001, 100);
        this->fromAgent(agent(0), HopKind::Gone, 77);
        EXPECT_TRUE(this->resets.empty());
        this->fromAgent(agent(1), HopKind::Holds);
        this->fromClient(ackFlag, 500000001, 100);
        ASSERT_FALSE(this->hops.empty());
        EXPECT_EQ(this->hops.back().kind, HopKind::Forward);
        EXPECT_EQ(this->hops.back().agent, agent(1));
    }

    // Guards against clients that wait for their timeout instead of a retry at once.
    TEST_F(PortReuseAtEntry, TheLossOfTheFlowItselfResetsIt)
    {
        this->useHolder(agent(0));
        this->fromAgent(agent(0), HopKind::Gone, 500000101);
        EXPECT_EQ(this->resets.size(), 1U);
    }

    // Agents of the version before state no sequence number.
    TEST_F(PortReuseAtEntry, AReportWithoutSequenceNumberResetsTheFlow)
    {
        this->useHolder(agent(0));
        this->fromAgent(agent(0), HopKind::Gone, 0);
        EXPECT_EQ(this->resets.size(), 1U);
    }

    // Guards against the reset of an open flow because its agent returned a late packet of the port's earlier flow: the
    // entry forgot the holder, searched with that packet, and all agents denied it.
    TEST_F(PortReuseAtEntry, AReturnedPacketOfAnEarlierFlowStartsNoSearch)
    {
        this->useHolder(agent(0));
        this->fromAgent(agent(0), HopKind::NotHeld, 0,
            makePacket(client, routeAddress, ackFlag | finFlag, 900000000, 700000001, 0));
        EXPECT_TRUE(this->takeHops().empty());
        this->fromClientAt(1101);
        ASSERT_EQ(this->hops.size(), 1U);
        EXPECT_EQ(this->hops[0].kind, HopKind::Forward);
        EXPECT_EQ(this->hops[0].agent, agent(0));
    }

    // Guards against an entry that forwards to the holder of the earlier flow, whose machine may be gone, after another
    // entry opened the later one elsewhere.
    TEST_F(PortReuseAtEntry, TheHolderOfAnEarlierFlowIsNotTrusted)
    {
        this->useHolder(agent(0));
        this->fromClientAt(1101);
        ASSERT_EQ(this->takeHops().at(0).kind, HopKind::Forward);
        this->fromClientAt(900000000);
        ASSERT_FALSE(this->hops.empty());
        EXPECT_NE(this->hops[0].kind, HopKind::Forward);
        this->fromAgent(agent(1), HopKind::Holds);
        this->fromClientAt(900000000);
        EXPECT_EQ(this->hops.back().kind, HopKind::Forward);
        EXPECT_EQ(this->hops.back().agent, agent(1));
    }

} // namespace
} // namespace wasabicroft::tests
