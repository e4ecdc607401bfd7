// The agent's packet routing: flows of other services, silent upstreams, flows that the upstream lost, and waiting
// requests.
#include "AgentRouterFixture.h"

namespace wasabicroft::tests {
namespace {

    // Guards against new flows at an upstream of another service that reuses the address.
    TEST_F(AgentRouterFixture, FlowsOfAnotherServiceAreRefused)
    {
        this->fromEntry(HopKind::Offer, synFlag, 1, 1001, 0, 2);
        EXPECT_TRUE(this->toUpstream.empty());
        ASSERT_EQ(this->refusals.size(), 1U);
        EXPECT_EQ(this->refusals[0], HopRefusal::OtherService);
    }

    TEST_F(AgentRouterFixture, PacketsReachTheUpstreamUnchanged)
    {
        const std::vector<uint8_t> syn = this->fromEntry(HopKind::Offer, synFlag, 1);
        ASSERT_EQ(this->toUpstream.size(), 1U);
        EXPECT_EQ(this->toUpstream[0], syn);
    }

    // Guards against clients that wait on a flow that its upstream has lost.
    TEST_F(AgentRouterFixture, ABouncedPacketOfAnOpenFlowMeansThatItIsGone)
    {
        this->openFlow(1);
        this->kinds.clear();
        this->bounce(this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Gone });
    }

    // Guards against reporting a half-open flow as lost: it may be open at another upstream.
    TEST_F(AgentRouterFixture, ABouncedPacketOfAHalfOpenFlowIsNotHeld)
    {
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->fromUpstream(synFlag | ackFlag, 1);
        this->kinds.clear();
        this->bounce(this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
    }

    // Guards against reporting a flow as held before the upstream returns its packet: under load, returned packets wait
    // in the agent's socket for longer than the upstream takes to return one.
    TEST_F(AgentRouterFixture, ALateReturnIsNotTakenForAHeldFlow)
    {
        this->openFlow(1);
        this->kinds.clear();
        const std::vector<uint8_t> packet = this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 100);
        this->clock.advance(Milliseconds(50));
        this->fromUpstream(ackFlag, 1, 100); // sent before the packet reached the upstream
        this->router.onTick();
        EXPECT_TRUE(this->repliesToSearches().empty());
        this->bounce(packet);
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(2) });
    }

    // Guards against reporting a flow as held although its earlier packet was returned: after a restart of entries, two
    // searches for one flow follow each other closely.
    TEST_F(AgentRouterFixture, ASecondSearchIsNotConfirmedByTheFirst)
    {
        this->openFlow(1);
        this->kinds.clear();
        this->bounce(this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 100));
        this->clock.advance(Milliseconds(9));
        const std::vector<uint8_t> second = this->fromEntry(HopKind::Find, ackFlag, 2, 1102, 100);
        this->clock.advance(Milliseconds(2));
        this->fromUpstream(ackFlag, 1, 100);
        this->bounce(this->fromEntry(HopKind::Find, ackFlag, 3, 1002, 100));
        this->router.flushDenials();
        this->kinds.clear();
        this->router.onTick();
        EXPECT_TRUE(this->repliesToSearches().empty());
        this->bounce(second);
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(2) });
    }

    // Guards against another packet of a flow to an upstream that has returned one: a second entry may search it.
    TEST_F(AgentRouterFixture, AReturnedFlowIsDeniedWithoutAnotherPacket)
    {
        this->bounce(this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 100));
        this->ask({ keyOf(2) });
        EXPECT_EQ(this->kinds.back(), HopKind::Denied);
        this->fromEntry(HopKind::Offer, synFlag, 2, 5000, 0);
        this->ask({ keyOf(2) });
        EXPECT_EQ(this->kinds.back(), HopKind::Unsure) << "the client uses its port again";
    }

    // Guards against the loss of all that an agent knows when it is stopped.
    TEST_F(AgentRouterFixture, AnAgentThatStopsNamesItsFlows)
    {
        this->openFlow(1);
        this->fromUpstream(ackFlag, 1, 100);
        this->kinds.clear();
        this->router.handOver();
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(1) });
    }

    // Guards against searches that continue although the upstream returned a later packet and not this one.
    TEST_F(AgentRouterFixture, AHeldFlowIsConfirmedByTheReturnOfALaterPacket)
    {
        this->openFlow(1);
        this->kinds.clear();
        this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 0);
        this->bounce(this->fromEntry(HopKind::Find, ackFlag, 3, 1002, 0));
        this->clock.advance(Milliseconds(11));
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(3) });
        this->kinds.clear();
        this->router.onTick();
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Holds });
    }

    // Guards against searches that reach only some upstreams, and against replies that go to the agent which passed the
    // search on.
    TEST_F(AgentRouterFixture, ASearchReachesEveryTargetAndIsAnsweredToTheEntry)
    {
        const std::vector<uint8_t> bytes = makePacket({ client.address, 2 }, routeAddress, ackFlag, 1002, 77, 100);
        HopMessage search;
        search.kind = HopKind::Search;
        search.service = { 1 };
        search.packet = bytes;
        search.targets = { 0x0a020000, 0x0a020001, 0x0a020002 };
        std::vector<uint8_t> encoded;
        encodeHop(search, encoded);
        const HopMessage received = decodeHop(encoded).value();
        this->receivers.clear();
        this->router.onSearch(entry, received, platform::decodePacket(received.packet).value());
        EXPECT_EQ(this->receivers, (std::vector<PacketAddress> { { 0x0a020001, 8000 }, { 0x0a020002, 8000 } }));
        EXPECT_EQ(this->toUpstream, std::vector<std::vector<uint8_t>> { bytes });
        // Another agent gets what this one passed on.
        std::vector<uint8_t> encodedFind;
        encodeHop(this->lastHop, encodedFind);
        const HopMessage passedOn = decodeHop(encodedFind).value();
        this->router.onHop({ 0x0a020009, 8000 }, passedOn, platform::decodePacket(passedOn.packet).value());
        this->receivers.clear();
        this->bounce(bytes);
        this->router.flushDenials();
        EXPECT_EQ(this->receivers, std::vector<PacketAddress> { entry });
    }

    // Guards against a message for each flow that an upstream does not hold: after a restart of everything, an entry
    // searches hundreds of flows at once.
    TEST_F(AgentRouterFixture, DenialsOfOneBatchShareTheirMessages)
    {
        std::vector<std::vector<uint8_t>> packets;
        for (uint16_t port = 1; port <= 100; ++port)
            packets.push_back(this->fromEntry(HopKind::Find, ackFlag, port, 1002, 0));
        this->kinds.clear();
        for (const std::vector<uint8_t>& packet : packets)
            this->bounce(packet);
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys.size(), 100U);
    }

    // Guards against false answers to an Ask: an agent that started recently may not have seen every flow.
    TEST_F(AgentRouterFixture, AnAskIsAnsweredFromTheFlowsThatTheAgentHasSeen)
    {
        const auto key = [](uint16_t port) { return FlowKey { { client.address, port }, routeAddress }; };
        const auto ask = [&](std::vector<FlowKey> keys) {
            this->kinds.clear();
            HopMessage message;
            message.kind = HopKind::Ask;
            message.idleTimeout = Milliseconds(15000);
            message.flowKeys = std::move(keys);
            this->router.onAsk(entry, message);
        };
        this->openFlow(1);
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->fromUpstream(synFlag | ackFlag, 2); // half open
        ask({ key(1), key(2), key(3) });
        EXPECT_EQ(this->kinds, (std::vector<HopKind> { HopKind::Known, HopKind::Unsure }));
        EXPECT_EQ(this->lastHop.flowKeys, (std::vector<FlowKey> { key(2), key(3) }));
        this->clock.advance(Milliseconds(15001));
        ask({ key(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { key(1) });
        ask({ key(2), key(3) });
        EXPECT_EQ(this->kinds, (std::vector<HopKind> { HopKind::Unsure, HopKind::Denied }));
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { key(3) });
    }

    // Guards against denials of an open flow because its upstream returned a late copy of the SYN.
    TEST_F(AgentRouterFixture, AReturnedSynCopyDoesNotEndAnOpenFlow)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->clock.advance(Milliseconds(15001));
        this->kinds.clear();
        this->bounce(this->fromEntry(HopKind::Offer, synFlag, 1));
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Refused), 0);
        EXPECT_EQ(this->router.runningRequests(), 1U);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
    }

    // Guards against the same while the upstream has the end of the handshake and has sent no packet since.
    TEST_F(AgentRouterFixture, AReturnedSynCopyDoesNotEndAFlowThatMayBeOpen)
    {
        this->fromUpstream(ackFlag, 9);
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->fromUpstream(synFlag | ackFlag, 1);
        const std::vector<uint8_t> copy = this->fromEntry(HopKind::Offer, synFlag, 1);
        this->clock.advance(Milliseconds(15001));
        this->fromEntry(HopKind::Forward, ackFlag, 1);
        this->kinds.clear();
        this->bounce(copy);
        EXPECT_TRUE(this->kinds.empty());
        this->ask({ keyOf(1) });
        EXPECT_NE(this->kinds, std::vector<HopKind> { HopKind::Denied });
    }

    // Guards against declaring an upstream down that does not answer copies of the SYN of an open flow.
    TEST_F(AgentRouterFixture, SynCopiesOfOpenFlowsDoNotShowThatTheUpstreamIsDown)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->kinds.clear();
        for (int copy = 0; copy < 4; ++copy)
            this->fromEntry(HopKind::Offer, synFlag, 1);
        this->run(Milliseconds(300));
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Gone), 0);
    }

    // Guards against the reset of an open flow when a late copy of its SYN reaches another entry: its upstream drains
    // and the others refuse the SYN.
    TEST_F(AgentRouterFixture, AnOfferOfAFlowThatTheUpstreamHoldsIsNotRefused)
    {
        this->openFlow(1);
        this->stated = UpstreamFigures { 6, 1, true };
        this->kinds.clear();
        this->fromEntry(HopKind::Offer, synFlag, 1);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Holds });
        EXPECT_EQ(this->lastHop.flow, keyOf(1));
        this->kinds.clear();
        this->fromEntry(HopKind::Offer, synFlag, 2);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Refused });
    }

    // Guards against declaring an upstream down because agent and upstream did not run: the machine was stopped.
    TEST_F(AgentRouterFixture, SilenceDuringAPauseOfTheAgentDoesNotCount)
    {
        this->openFlow(1);
        this->router.onTick();
        for (const uint16_t port : std::array<uint16_t, 4> { 2, 3, 4, 5 })
            this->fromEntry(HopKind::Offer, synFlag, port);
        this->clock.advance(Milliseconds(2000));
        this->router.onTick();
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
        this->run(Milliseconds(120));
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Down) << "it stays silent while the agent runs";
    }

    // Guards against denials of flows that an upstream kept: it was silent and then went on without a restart.
    TEST_F(AgentRouterFixture, AnAgentIsUnsureAfterItsUpstreamWasDown)
    {
        this->openFlow(1);
        this->run(Milliseconds(16000));
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->fromEntry(HopKind::Offer, synFlag, 3);
        this->run(Milliseconds(1300));
        ASSERT_EQ(this->router.upstreamState(), UpstreamState::Down);
        this->fromEntry(HopKind::Find, ackFlag, 1, 1002, 100); // the agent forgets the flow
        this->fromUpstream(synFlag | ackFlag, 2);
        ASSERT_EQ(this->router.upstreamState(), UpstreamState::Up);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure });
        this->run(Milliseconds(15100));
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Denied });
    }

    // Guards against the same after a change of the service, which makes the agent forget all flows.
    TEST_F(AgentRouterFixture, AnAgentIsUnsureAfterAChangeOfTheService)
    {
        this->openFlow(1);
        this->run(Milliseconds(16000));
        this->router.setService({ 2 });
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure });
    }

    // Guards against denials of flows that may be idle for longer by a configuration that not every entry has.
    TEST_F(AgentRouterFixture, TheLongestIdleTimeoutDecidesWhetherAnAgentHasSeenAllFlows)
    {
        this->run(Milliseconds(6000));
        this->ask({ keyOf(1) }, Milliseconds(15000));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure });
        this->ask({ keyOf(1) }, Milliseconds(5000));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure });
        this->run(Milliseconds(10000));
        this->ask({ keyOf(1) }, Milliseconds(5000));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Denied });
    }

    // Guards against denials of flows whose packets were lost while the agent did not run.
    TEST_F(AgentRouterFixture, APauseDoesNotCountAsTimeInWhichAnAgentSawPackets)
    {
        this->run(Milliseconds(8000));
        this->clock.advance(Milliseconds(10000));
        this->run(Milliseconds(1000));
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure });
        this->run(Milliseconds(15000));
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Denied });
        this->clock.advance(Milliseconds(10000));
        this->run(Milliseconds(1000));
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Denied }) << "no flow opened without the agent";
    }

    // Guards against a wrong claim that lasts: the packet that the upstream returned was lost in a full socket.
    TEST_F(AgentRouterFixture, AClaimEndsWithTheNextReturnedPacket)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 0); // its return is lost
        this->bounce(this->fromEntry(HopKind::Find, ackFlag, 3, 1002, 0));
        this->clock.advance(Milliseconds(11));
        this->router.onTick();
        this->ask({ keyOf(2) });
        ASSERT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        this->kinds.clear();
        this->bounce(this->fromEntry(HopKind::Forward, ackFlag, 2, 1002, 0));
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::NotHeld });
        this->ask({ keyOf(2) });
        EXPECT_NE(this->kinds, std::vector<HopKind> { HopKind::Known });
    }

    // Guards against searches that hand a flow's packets to all other upstreams while its request waits at its own.
    TEST_F(AgentRouterFixture, AFlowWhoseClientAcknowledgedTheHandshakeIsClaimedWhileItsRequestWaits)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        for (const uint16_t port : threePorts)
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        this->fromEntry(HopKind::Offer, synFlag, 4);
        this->fromUpstream(synFlag | ackFlag, 4); // its sequence number is 500
        this->toUpstream.clear();
        this->fromEntryWithAck(HopKind::Forward, 4, 501, 100);
        ASSERT_TRUE(this->toUpstream.empty());
        this->ask({ keyOf(4) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        this->fromEntry(HopKind::Offer, synFlag, 5);
        this->fromUpstream(synFlag | ackFlag, 5);
        this->kinds.clear();
        this->fromEntryWithAck(HopKind::Find, 5, 501, 100);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Holds });
        this->fromEntry(HopKind::Offer, synFlag, 6);
        this->fromUpstream(synFlag | ackFlag, 6);
        this->fromEntryWithAck(HopKind::Forward, 6, 801, 100);
        this->ask({ keyOf(6) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Unsure }) << "its client chose another upstream";
    }

    // Guards against new flows that wait at a silent upstream, and against counting it as down after one lost datagram.
    TEST_F(AgentRouterFixture, AnUpstreamThatAnswersNoSynIsDown)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Offer, synFlag, 2);
        for (int i = 0; i < 4; ++i) {
            EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
            this->clock.advance(Milliseconds(30));
            this->router.onTick();
        }
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Down);
        this->refusals.clear();
        this->fromEntry(HopKind::Offer, synFlag, 3);
        EXPECT_EQ(this->refusals, std::vector<HopRefusal> { HopRefusal::UpstreamDown });
        this->fromUpstream(synFlag | ackFlag, 3);
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
    }

    // Guards against the reset of flows that an upstream holds whose process was not scheduled for up to 1 s, and
    // against clients of one that has ended that wait for their timeout.
    TEST_F(AgentRouterFixture, FlowsOfASilentUpstreamAreLostOnlyAfterALongSilence)
    {
        this->statedLimits->timeout = Milliseconds(4000);
        this->openFlow(1);
        this->openFlow(2);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->kinds.clear();
        this->fromEntry(HopKind::Offer, synFlag, 3);
        this->fromEntry(HopKind::Offer, synFlag, 4);
        this->run(Milliseconds(500));
        ASSERT_EQ(this->router.upstreamState(), UpstreamState::Down);
        this->fromEntry(HopKind::Forward, ackFlag, 2, 1002, 100);
        this->run(Milliseconds(500));
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Gone), 0);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Known });
        this->kinds.clear();
        this->fromEntry(HopKind::Offer, synFlag, 1);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Holds }) << "a late copy of the SYN";
        this->run(Milliseconds(220));
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Gone), 2);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
    }

    // Guards against the reset of flows that an idle upstream holds: it ignores the SYN of a port whose earlier flow it
    // did not end, and the agent, which restarted since, does not know that flow.
    TEST_F(AgentRouterFixture, AnUpstreamThatIgnoresTheSynsOfOneFlowHasNotLostItsFlows)
    {
        this->openFlow(1);
        this->kinds.clear();
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->run(Milliseconds(400));
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->run(Milliseconds(3000));
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->kinds.back(), HopKind::Known);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->fromEntry(HopKind::Offer, synFlag, 3); // a probe of another flow, before its answer
        this->run(Milliseconds(20));
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Gone), 0);
        this->fromUpstream(synFlag | ackFlag, 3);
        EXPECT_EQ(this->router.upstreamState(), UpstreamState::Up);
        EXPECT_EQ(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Gone), 0);
    }

    // Guards against requests at an upstream that went on after a silence and does not get them.
    TEST_F(AgentRouterFixture, RequestsWaitForASilentUpstream)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Offer, synFlag, 2);
        this->run(Milliseconds(500));
        ASSERT_EQ(this->router.upstreamState(), UpstreamState::Down);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->toUpstream.clear();
        this->fromUpstream(synFlag | ackFlag, 2);
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // Pattern: an upstream accepts every flow and resets it. It is always idle, so that entries prefer it: on scale-2
    // of a grown site, two of 34 such upstreams cost a fifth of all requests.
    TEST_F(AgentRouterFixture, AnUpstreamThatResetsFreshFlowsGetsOnlyProbes)
    {
        constexpr uint8_t reset = fakes::packet_flags::reset;
        const auto rejectRequest = [&](uint16_t port) {
            this->refusals.clear();
            this->fromEntry(HopKind::Offer, synFlag, port);
            if (this->refusals == std::vector<HopRefusal> { HopRefusal::UpstreamRejecting })
                return false;
            this->fromUpstream(synFlag | ackFlag, port);
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
            this->fromUpstream(reset, port);
            return true;
        };
        uint16_t port = 1;
        size_t reached = 0;
        for (Milliseconds time(0); time < Milliseconds(6000); time += Milliseconds(10)) {
            reached += rejectRequest(port++) ? 1 : 0;
            this->clock.advance(Milliseconds(10));
        }
        EXPECT_LE(reached, 3U + 5U) << "three resets show it, then probes after 0.25, 0.5, 1, 2 and 4 s";
        EXPECT_GE(reached, 3U + 3U);
        this->clock.advance(Milliseconds(4000));
        this->openFlow(port);
        this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        this->fromUpstream(ackFlag, port, 100);
        this->refusals.clear();
        this->openFlow(++port);
        EXPECT_EQ(std::count(this->refusals.begin(), this->refusals.end(), HopRefusal::UpstreamRejecting), 0)
            << "it answered a request";
    }

    // Guards against upstreams that get no flows because they reset those that have ended: data on them is answered so.
    TEST_F(AgentRouterFixture, ResetsOfAnsweredFlowsAreNoRejections)
    {
        for (uint16_t port = 1; port <= 20; ++port) {
            this->openFlow(port);
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
            this->fromUpstream(ackFlag, port, 100);
        }
        this->refusals.clear();
        for (uint16_t port = 1; port <= 20; ++port)
            this->fromUpstream(fakes::packet_flags::reset, port);
        this->fromEntry(HopKind::Offer, synFlag, 30);
        EXPECT_TRUE(this->refusals.empty());
    }

    // Guards against rejections by the upstream: requests beyond its slots wait at the agent.
    TEST_F(AgentRouterFixture, RequestsBeyondTheSlotsWaitUntilOneIsAnswered)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        this->toUpstream.clear();
        for (const uint16_t port : threePorts)
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        EXPECT_EQ(this->toUpstream.size(), 2U) << "one slot and one prefetched request";
        EXPECT_EQ(this->router.waitingRequests(), 1U);
        this->fromUpstream(ackFlag, 1, 500);
        EXPECT_EQ(this->toUpstream.size(), 3U);
        EXPECT_EQ(this->router.waitingRequests(), 0U);
    }

    // Guards against upstreams that run two requests at a time for all entries that start while the store is away: such
    // an entry does not know the slots.
    TEST_F(AgentRouterFixture, AnEntryThatDoesNotKnowTheSlotsChangesNone)
    {
        this->stated = UpstreamFigures { 5, 7, false };
        this->openFlow(9);
        this->stated.reset();
        EXPECT_EQ(this->deliveredOfThreeRequests(), 3U);
        EXPECT_EQ(this->lastHop.slots, 7U) << "the entry learns the slots from the agent";
    }

    // Guards against entries cut off from the store that undo what others have read since.
    TEST_F(AgentRouterFixture, FiguresOfAnOlderRecordAreIgnored)
    {
        this->stated = UpstreamFigures { 6, 7, false };
        this->openFlow(9);
        this->stated = UpstreamFigures { 5, 1, true };
        EXPECT_EQ(this->deliveredOfThreeRequests(), 3U);
        EXPECT_EQ(this->router.upstreamFigures(), (UpstreamFigures { 6, 7, false }));
        EXPECT_EQ(this->announced.size(), 1U);
    }

    // Guards against new flows at an upstream that drains, from entries that start while the store is away or are cut
    // off from it.
    TEST_F(AgentRouterFixture, ADrainingUpstreamTakesNoFlowOfAnEntryThatDoesNotKnow)
    {
        HopMessage drain;
        drain.kind = HopKind::Ask;
        drain.service = { 1 };
        drain.upstream = UpstreamFigures { 8, 1, true };
        this->router.onAsk(entry, drain);
        EXPECT_EQ(this->announced.back(), drain.upstream);
        this->refusals.clear();
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->stated.reset();
        this->fromEntry(HopKind::Offer, synFlag, 2);
        EXPECT_EQ(this->refusals, std::vector<HopRefusal>(2, HopRefusal::UpstreamDraining));
        EXPECT_TRUE(this->toUpstream.empty());
        this->stated = UpstreamFigures { 9, 1, false }; // the next upstream at the same address
        this->fromEntry(HopKind::Offer, synFlag, 3);
        EXPECT_EQ(this->toUpstream.size(), 1U);
    }

    // Guards against figures of the former upstream at an address that another service reuses.
    TEST_F(AgentRouterFixture, AChangeOfServiceClearsTheFigures)
    {
        this->openFlow(1);
        this->router.setService({ 2 });
        EXPECT_FALSE(this->router.upstreamFigures());
        EXPECT_EQ(this->announced.back(), std::nullopt);
        this->fromEntry(HopKind::Forward, ackFlag, 1);
        EXPECT_FALSE(this->router.upstreamFigures()) << "the entry still lists the upstream of the former service";
    }

    // Guards against an age of requests that leaves out the time until the client's SYN arrived: the first request here
    // is 200 ms old and past its objective of 100 ms.
    TEST_F(AgentRouterFixture, TheFirstRequestOfAFlowIsAsOldAsItsFirstSyn)
    {
        this->stated->slots = 1;
        EXPECT_EQ(this->deliveredOfThreeRequests(), 2U); // of which the third waits
        for (const uint16_t port : { uint16_t(11), uint16_t(12) }) {
            const uint32_t copiesBefore = port == 11 ? 1 : 0;
            const std::vector<uint8_t> syn
                = makePacket({ client.address, port }, routeAddress, synFlag, 1001, copiesBefore, 0);
            HopMessage offer;
            offer.kind = HopKind::Offer;
            offer.service = { 1 };
            offer.packet = syn;
            this->router.onHop(entry, offer, platform::decodePacket(syn).value());
            this->fromUpstream(synFlag | ackFlag, port);
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        }
        this->toUpstream.clear();
        this->fromUpstream(ackFlag, 1, 100);
        this->fromUpstream(ackFlag, 2, 100);
        std::set<uint16_t> ports;
        for (const std::vector<uint8_t>& bytes : this->toUpstream)
            ports.insert(platform::decodePacket(bytes).value().source.port);
        EXPECT_EQ(ports, (std::set<uint16_t> { 3, 12 })) << "the older request of port 11 can't be in time";
    }

    // Guards against overload that nobody is told of.
    TEST_F(AgentRouterFixture, RequestsThatWaitPastTheirObjectiveAreOverload)
    {
        this->stated->slots = 1;
        EXPECT_EQ(this->deliveredOfThreeRequests(), 2U);
        this->run(Milliseconds(100)); // the objective
        EXPECT_FALSE(this->router.isOverloaded());
        this->run(Milliseconds(100));
        EXPECT_TRUE(this->router.isOverloaded());
        this->fromUpstream(ackFlag | rstFlag, 1);
        EXPECT_EQ(this->router.overloadCounts().count(routeAddress, OverloadCause::StartedLate), 1U);
        this->run(Milliseconds(1100));
        EXPECT_FALSE(this->router.isOverloaded());
    }

    // Guards against requests that pass urgent ones because an entry without the routes of the store stated priority 0.
    TEST_F(AgentRouterFixture, RequestsOfAnEntryWithoutRoutesKeepTheLimitsOfTheirRoute)
    {
        this->statedLimits = RequestLimits { Milliseconds(100), Milliseconds(1000), 3 };
        for (const uint16_t port : std::array<uint16_t, 5> { 1, 2, 3, 4, 5 })
            this->openFlow(port);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        this->fromEntry(HopKind::Forward, ackFlag, 2, 1002, 100);
        this->fromEntry(HopKind::Forward, ackFlag, 3, 1002, 100); // waits
        this->clock.advance(Milliseconds(1));
        this->statedLimits.reset();
        const std::vector<uint8_t> later = this->fromEntry(HopKind::Forward, ackFlag, 4, 1002, 100);
        this->clock.advance(Milliseconds(1));
        this->statedLimits = RequestLimits { Milliseconds(100), Milliseconds(1000), 1 };
        const std::vector<uint8_t> urgent = this->fromEntry(HopKind::Forward, ackFlag, 5, 1002, 100);
        this->fromUpstream(ackFlag, 1, 500);
        EXPECT_EQ(this->toUpstream.back(), urgent);
        this->fromUpstream(ackFlag, 2, 500);
        EXPECT_NE(this->toUpstream.back(), later) << "the older request of the same priority goes first";
    }

    // Guards against denials by agents that have run for shorter than flows may be idle: an entry without the routes
    // of the store does not know that time.
    TEST_F(AgentRouterFixture, AnAskWithoutTheIdleTimeoutIsAnsweredByTheKnownOne)
    {
        HopMessage message;
        message.kind = HopKind::Ask;
        message.flowKeys = { { { client.address, 3 }, routeAddress } };
        this->clock.advance(Milliseconds(20000));
        this->router.onAsk(entry, message);
        EXPECT_EQ(this->kinds.back(), HopKind::Unsure);
        message.idleTimeout = Milliseconds(30000);
        this->router.onAsk(entry, message);
        EXPECT_EQ(this->kinds.back(), HopKind::Unsure);
        message.idleTimeout.reset();
        this->clock.advance(Milliseconds(10001));
        this->router.onAsk(entry, message);
        EXPECT_EQ(this->kinds.back(), HopKind::Denied);
    }

    // Guards against a request that is sent twice because its client retransmits it while it waits.
    TEST_F(AgentRouterFixture, RetransmissionsOfAWaitingRequestAreStoredOnce)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        this->toUpstream.clear();
        for (const uint16_t port : std::array<uint16_t, 4> { 1, 2, 3, 3 })
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        this->fromUpstream(ackFlag, 1, 500);
        EXPECT_EQ(this->toUpstream.size(), 3U);
    }

    // Guards against a load of ended flows, which stay known for up to a minute: an upstream that got many short flows
    // would look occupied for as long.
    TEST_F(AgentRouterFixture, FlowsThatEitherEndHasClosedAreNoLoad)
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        this->ask({});
        EXPECT_EQ(this->lastHop.heldFlows, 3U);
        this->fromEntry(HopKind::Forward, ackFlag | finFlag, 1, 1002, 100); // with its last request
        this->fromUpstream(ackFlag | finFlag, 2, 100);
        this->ask({});
        EXPECT_EQ(this->lastHop.heldFlows, 1U);
        this->fromUpstream(ackFlag | finFlag, 1, 100);
        this->ask({ keyOf(1) });
        EXPECT_EQ(this->lastHop.kind, HopKind::Known) << "a late packet still finds its upstream";
        EXPECT_EQ(this->lastHop.heldFlows, 1U);
        this->fromUpstream(rstFlag, 1);
        this->fromUpstream(rstFlag, 3);
        this->ask({});
        EXPECT_EQ(this->lastHop.heldFlows, 0U);
    }

    // Guards against a request that still counts as running after the upstream sent a FIN.
    TEST_F(AgentRouterFixture, AFinOfTheUpstreamEndsARequest)
    {
        this->openFlow(1);
        this->fromEntry(HopKind::Forward, ackFlag, 1, 1002, 100);
        EXPECT_EQ(this->router.runningRequests(), 1U);
        this->fromUpstream(ackFlag | finFlag, 1);
        EXPECT_EQ(this->router.runningRequests(), 0U);
    }

    // Guards against packets that are lost because the upstream starts after its agent.
    TEST_F(AgentRouterFixture, RequestsWaitUntilTheUpstreamSendsAPacket)
    {
        this->fromEntry(HopKind::Find, ackFlag, 1, 1002, 100);
        this->fromEntry(HopKind::Find, ackFlag, 2, 1002, 100);
        EXPECT_EQ(this->router.waitingRequests(), 2U);
        this->toUpstream.clear();
        this->fromUpstream(ackFlag, 9);
        EXPECT_EQ(this->toUpstream.size(), 2U);
    }

    TEST_F(AgentRouterFixture, OnlyOpenFlowsReportARoute)
    {
        this->fromEntry(HopKind::Offer, synFlag, 1);
        this->fromUpstream(synFlag | ackFlag, 1);
        EXPECT_TRUE(this->answered.empty());
        this->fromUpstream(ackFlag, 1);
        EXPECT_EQ(this->answered, std::vector<PacketAddress> { routeAddress });
    }

    TEST_F(AgentRouterFixture, LoadReportsKeepTheIntervalThatTheEntryRequests)
    {
        const std::vector<uint8_t> syn = makePacket(client, routeAddress, synFlag, 1001, 0, 0);
        HopMessage offer;
        offer.kind = HopKind::Offer;
        offer.service = { 1 };
        offer.loadInterval = Milliseconds(600);
        offer.packet = syn;
        this->router.onHop(entry, offer, platform::decodePacket(syn).value());
        size_t reports = 0;
        for (uint16_t tick = 0; tick < 300; ++tick) {
            this->clock.advance(Milliseconds(10));
            if (tick % 5 == 0)
                this->openFlow(static_cast<uint16_t>(100 + tick)); // changes the load
            this->router.onHop(entry, offer, platform::decodePacket(syn).value());
            this->kinds.clear();
            this->router.onTick();
            reports += static_cast<size_t>(std::count(this->kinds.begin(), this->kinds.end(), HopKind::Load));
        }
        EXPECT_GE(reports, 4U);
        EXPECT_LE(reports, 6U) << "one in 600 ms for 3 s";
    }

    // Guards against an entry that does not detect that agents can be reached again.
    TEST_F(AgentRouterFixture, AnAskWithoutFlowsIsAnswered)
    {
        HopMessage probe;
        probe.kind = HopKind::Ask;
        this->router.onAsk(entry, probe);
        EXPECT_EQ(this->kinds, std::vector<HopKind> { HopKind::Load });
    }

    // Guards against resets of the upstream that can't be traced later.
    TEST_F(AgentRouterFixture, AResetOfTheUpstreamReachesTheClientAndIsCounted)
    {
        this->openFlow(1);
        this->toClient.clear();
        this->fromUpstream(fakes::packet_flags::reset, 1);
        EXPECT_EQ(this->toClient.size(), 1U);
        EXPECT_EQ(this->router.counters().upstreamResets, 1U);
        EXPECT_EQ(this->router.trackedFlows(), 0U);
    }

    // Guards against a search that sends its packet to an upstream again and again: the flow has ended there, and the
    // upstream answers each copy with a reset, of which the entry hears nothing.
    TEST_F(AgentRouterFixture, AResetInAnswerToASearchEndsTheSearch)
    {
        this->fromEntry(HopKind::Find, ackFlag, 1, 1002, 100);
        this->kinds.clear();
        this->fromUpstream(fakes::packet_flags::reset, 1);
        EXPECT_EQ(this->repliesToSearches(), std::vector<HopKind> { HopKind::Denied });
        EXPECT_EQ(this->lastHop.flowKeys, std::vector<FlowKey> { keyOf(1) });
    }

} // namespace
} // namespace wasabicroft::tests
