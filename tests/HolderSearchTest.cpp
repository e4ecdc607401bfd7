// Searches for the holder of a flow while agents are silent: their packets wait, and no upstream gets them in vain.
#include "EntryRouterFixture.h"

#include <algorithm>

namespace wasabicroft::tests {
namespace {

    struct HolderSearchFixture : RouterFixture {
        static constexpr uint32_t upstreams = 4;

        // The packet of a client whose flow this entry does not know.
        void startSearch()
        {
            this->useRoutes();
            this->useUpstreams(upstreams);
            this->fromClient(ackFlag, 7, 100);
        }

        size_t copiesTo(const std::vector<SentHop>& sent, PacketAddress receiver) const
        {
            return static_cast<size_t>(std::count_if(sent.begin(), sent.end(),
                [&](const SentHop& hop) { return hop.kind == HopKind::Find && hop.agent == receiver; }));
        }

        // Another entry states which agent holds the flow.
        void entryNames(PacketAddress entry, PacketAddress holder)
        {
            HopMessage located;
            located.kind = HopKind::Located;
            located.holder = holder;
            located.flowKeys = { flow };
            this->router.onHop(entry, located, nullptr);
        }

        // All agents but one are unsure, and their upstreams return the packet.
        void returnPacketExceptAt(PacketAddress silentAgent)
        {
            for (uint32_t number = 0; number < upstreams; ++number) {
                if (agent(number) != silentAgent)
                    this->agentAnswers(agent(number), HopKind::Unsure);
            }
            constexpr int rounds = 12;
            for (int round = 0; round < rounds; ++round) {
                for (const SentHop& hop : this->takeHops()) {
                    if (hop.kind == HopKind::Find && hop.agent != silentAgent)
                        this->agentDenies(hop.agent);
                }
                this->advance(Milliseconds(20));
            }
            this->advance(EntryRouterOptions().searchTimeout);
            this->takeHops();
        }
    };

    // Guards against packets that are dropped just before the agent of their upstream is back: the next copy of the
    // client comes up to 1.6 s later, when the agent may be gone again.
    TEST_F(HolderSearchFixture, APacketWaitsForAnAgentThatRestarts)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->agentAnswers(agent(2), HopKind::Unsure);
        EXPECT_EQ(this->copiesTo(this->takeHops(), agent(2)), 1U);
        this->fromAgent(agent(2), HopKind::Holds);
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against packets that are delivered long after their client gave up.
    TEST_F(HolderSearchFixture, APacketWaitsNoLongerThanTheClientsInterval)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->advance(EntryRouterOptions().packetWait);
        this->takeHops();
        this->advance(Milliseconds(400));
        EXPECT_TRUE(this->takeHops().empty());
    }

    // Guards against packets that reach the same wrong upstreams with each search.
    TEST_F(HolderSearchFixture, AnUpstreamThatReturnedAPacketGetsNoOther)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->advance(EntryRouterOptions().searchWindow);
        this->takeHops();
        this->fromClient(ackFlag, 7, 100);
        this->advance(Milliseconds(280));
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_GT(this->copiesTo(sent, agent(2)), 0U);
        for (const uint32_t number : { 0U, 1U, 3U })
            EXPECT_EQ(this->copiesTo(sent, agent(number)), 0U) << number;
    }

    // Guards against resets of held flows: an upstream that was down may still hold the flow once it answers again.
    TEST_F(HolderSearchFixture, ADenialOfAnUpstreamThatWasDownIsNotRemembered)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        HopMessage denied;
        denied.kind = HopKind::Denied;
        denied.refusal = HopRefusal::UpstreamDown;
        denied.flowKeys = { flow };
        this->directory.onStoreRecovered(); // nothing is reset during the grace period
        this->router.setUpstreams(this->directory);
        this->router.onHop(agent(2), denied, nullptr);
        this->advance(EntryRouterOptions().searchWindow);
        this->takeHops();
        this->fromClient(ackFlag, 7, 100);
        this->agentAnswers(agent(2), HopKind::Unsure);
        EXPECT_EQ(this->copiesTo(this->takeHops(), agent(2)), 1U);
    }

    // Guards against an agent that stopped and counts as unsure because of an answer from before.
    TEST_F(HolderSearchFixture, AnAgentThatLeftAMessageUnansweredIsAskedAgain)
    {
        this->startSearch();
        for (uint32_t number = 0; number < upstreams; ++number)
            this->agentAnswers(agent(number), HopKind::Unsure);
        this->agentDenies(agent(0));
        this->agentDenies(agent(1));
        this->agentDenies(agent(3));
        this->advance(Milliseconds(100));
        this->takeHops();
        const std::vector<uint8_t> other = makePacket({ client.address, 7 }, routeAddress, ackFlag, 1001, 7, 100);
        this->router.onClientPacket(platform::decodePacket(other).value(), other);
        this->router.flushAsks();
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_TRUE(std::any_of(sent.begin(), sent.end(),
            [](const SentHop& hop) { return hop.kind == HopKind::Ask && hop.agent == agent(2); }));
    }

    // Guards against packets that reach other upstreams although another entry knows the holder.
    TEST_F(HolderSearchFixture, TheUpstreamThatAnotherEntryNamesGetsThePacketAlone)
    {
        this->router.setPeers({ otherEntry });
        this->startSearch();
        const std::vector<SentHop> asked = this->takeHops();
        EXPECT_TRUE(std::any_of(asked.begin(), asked.end(),
            [](const SentHop& hop) { return hop.kind == HopKind::Ask && hop.agent == otherEntry; }));
        this->entryNames(otherEntry, agent(2));
        for (const uint32_t number : { 0U, 1U, 3U })
            this->agentAnswers(agent(number), HopKind::Unsure);
        this->advance(Milliseconds(600));
        for (const SentHop& hop : this->takeHops())
            EXPECT_TRUE(hop.kind == HopKind::Ask || hop.agent == agent(2)) << nameOf(hop.kind);
        this->agentAnswers(agent(2), HopKind::Unsure);
        EXPECT_EQ(this->copiesTo(this->takeHops(), agent(2)), 1U);
    }

    // Guards against flows that are not found because of a wrong hint: it may mean an earlier flow of the same ends.
    TEST_F(HolderSearchFixture, AWrongHintDelaysTheSearchShortly)
    {
        this->startSearch();
        this->entryNames(otherEntry, agent(2));
        for (const uint32_t number : { 0U, 1U, 3U })
            this->agentAnswers(agent(number), HopKind::Unsure);
        this->takeHops();
        this->advance(EntryRouterOptions().hintPatience + Milliseconds(200));
        const std::vector<SentHop> sent = this->takeHops();
        for (const uint32_t number : { 0U, 1U, 3U })
            EXPECT_GT(this->copiesTo(sent, agent(number)), 0U) << number;
    }

    // Guards against the loss of all that entries know when they are stopped one after the other.
    TEST_F(HolderSearchFixture, AnEntryThatStopsNamesTheHoldersOfItsFlows)
    {
        this->router.setPeers({ otherEntry });
        this->startSearch();
        this->agentKnows(agent(2));
        this->takeHops();
        this->router.handOver();
        const std::vector<SentHop> sent = this->takeHops();
        ASSERT_EQ(sent.size(), 1U);
        EXPECT_EQ(sent[0].kind, HopKind::Located);
        EXPECT_EQ(sent[0].agent, otherEntry);
        EXPECT_EQ(sent[0].flowCount, 1U);
    }

    // Guards against searches for flows whose agent has named them before it stopped.
    TEST_F(HolderSearchFixture, AFlowOfAnAgentThatStoppedIsSoughtThere)
    {
        this->useRoutes();
        this->useUpstreams(upstreams);
        this->agentKnows(agent(2));
        this->fromClient(ackFlag, 7, 100);
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_EQ(this->copiesTo(sent, agent(2)), 1U);
    }

    // Guards against packets that are lost with the entry that was to find their holder.
    TEST_F(HolderSearchFixture, ADelegatedPacketIsSearchedHereIfTheOtherEntryIsGone)
    {
        this->searchWhileBehind();
        this->takeHops();
        this->advance(EntryRouterOptions().delegationTimeout + Milliseconds(40));
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_TRUE(
            std::any_of(sent.begin(), sent.end(), [](const SentHop& hop) { return hop.kind == HopKind::Find; }));
    }

    // Guards against the reset of a held flow by a search whose packet waits while the list gains the holder.
    TEST_F(HolderSearchFixture, AWaitingSearchAsksUpstreamsThatWereListedSince)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->fromClient(ackFlag, 7, 100);
        this->advance(Milliseconds(400));
        this->takeHops();
        this->useUpstreams(upstreams + 1);
        this->advance(Milliseconds(400));
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_TRUE(std::any_of(sent.begin(), sent.end(), [](const SentHop& hop) { return hop.agent == agent(4); }));
        this->agentDenies(agent(2));
        this->advance(Milliseconds(200));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against the same by an entry that learns meanwhile that its list is behind.
    TEST_F(HolderSearchFixture, AWaitingSearchOfAnEntryThatFallsBehindEndsNoFlow)
    {
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->fromClient(ackFlag, 7, 100);
        this->advance(Milliseconds(400));
        this->router.setBehindPeers(true);
        this->advance(Milliseconds(400));
        this->agentDenies(agent(2));
        this->advance(Milliseconds(200));
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against packets that are delegated again and again by an entry that knows no upstream.
    TEST_F(HolderSearchFixture, ADelegatedPacketIsNotDelegatedForEver)
    {
        this->useRoutes();
        this->useUpstreams(0);
        this->router.setBehindPeers(true);
        this->router.setDelegate(otherEntry);
        this->fromClient(ackFlag, 7, 100);
        this->advance(EntryRouterOptions().packetWait + EntryRouterOptions().delegationTimeout);
        this->takeHops();
        this->advance(Milliseconds(2000));
        EXPECT_TRUE(this->takeHops().empty());
    }

    // Guards against the loss of a delegated packet whose holder an entry names that did not get it.
    TEST_F(HolderSearchFixture, ADelegatedPacketIsForwardedToAHolderThatAnotherEntryNames)
    {
        this->searchWhileBehind();
        this->takeHops();
        this->entryNames({ otherEntry.address + 1, otherEntry.port }, agent(2));
        const std::vector<SentHop> sent = this->takeHops();
        ASSERT_EQ(sent.size(), 1U);
        EXPECT_EQ(sent[0].kind, HopKind::Forward);
        EXPECT_EQ(sent[0].agent, agent(2));
    }

    // Guards against the reset of a flow whose port was used before: a denial of the earlier flow came late.
    TEST_F(HolderSearchFixture, ALateDenialOfAnEarlierFlowIsNotRemembered)
    {
        constexpr uint32_t sequence = 900000000;
        this->startSearch();
        this->returnPacketExceptAt(agent(2));
        this->agentAnswers(agent(2), HopKind::Unsure);
        const std::vector<uint8_t> other = makePacket(client, routeAddress, ackFlag, sequence, sequence + 1000000, 100);
        this->router.onClientPacket(platform::decodePacket(other).value(), other);
        this->router.flushAsks();
        for (uint32_t number = 0; number < upstreams; ++number)
            this->agentAnswers(agent(number), HopKind::Unsure);
        this->advance(Milliseconds(20));
        this->agentDenies(agent(2)); // of the earlier flow
        this->advance(EntryRouterOptions().searchWindow + Milliseconds(500));
        this->takeHops();
        this->router.onClientPacket(platform::decodePacket(other).value(), other);
        this->router.flushAsks();
        this->agentAnswers(agent(2), HopKind::Unsure);
        this->advance(Milliseconds(280));
        EXPECT_GT(this->copiesTo(this->takeHops(), agent(2)), 0U);
        EXPECT_TRUE(this->resets.empty());
    }

    // Guards against copies without end to an upstream that neither holds the flow nor returns them.
    TEST_F(HolderSearchFixture, AnUpstreamThatDoesNotReactGetsFewCopies)
    {
        this->startSearch();
        size_t copies = 0;
        for (int step = 0; step < 150; ++step) {
            const std::vector<SentHop> sent = this->takeHops();
            copies += this->copiesTo(sent, agent(2));
            for (const SentHop& hop : sent) {
                if (hop.kind == HopKind::Find && (hop.agent == agent(1) || hop.agent == agent(3)))
                    this->agentDenies(hop.agent);
                if (hop.kind == HopKind::Ask && hop.agent != agent(0))
                    this->agentAnswers(hop.agent, HopKind::Unsure);
            }
            this->advance(Milliseconds(20));
        }
        EXPECT_LE(copies, 2 * EntryRouterOptions().maxPacketRounds);
    }

    // Guards against a delegated packet whose sender never learns the holder, because the client uses its port again.
    TEST_F(HolderSearchFixture, TheDelegatorOfAFlowThatUsesAPortAgainLearnsTheHolder)
    {
        constexpr uint32_t sequence = 900000000;
        this->startSearch();
        this->takeHops();
        const std::vector<uint8_t> other = makePacket(client, routeAddress, ackFlag, sequence, sequence + 1000000, 100);
        this->router.onDelegatedPacket(otherEntry, platform::decodePacket(other).value(), other);
        this->router.flushAsks();
        this->agentKnows(agent(2));
        const std::vector<SentHop> sent = this->takeHops();
        EXPECT_TRUE(std::any_of(sent.begin(), sent.end(),
            [](const SentHop& hop) { return hop.kind == HopKind::Located && hop.agent == otherEntry; }));
    }

} // namespace
} // namespace wasabicroft::tests
