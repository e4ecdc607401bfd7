// Guards the spread of configuration versions: every process gets the newest one, whoever is gone, within the call and
// byte budgets of the design page.
#include "tests/PropagationSimulation.h"

#include "ConfigSamples.h"

#include <gtest/gtest.h>

namespace wasabicroft {
namespace {

    using namespace std::chrono_literals;

    constexpr Milliseconds changeLimit { 3000 }; // R8
    constexpr uint64_t platformCallLimit = 2000; // a second, all readers
    constexpr double changesPerDay = 2000;
    constexpr double controlBytesPerSecond = 6 * 1024;
    // Instance list at the design target: 500 entries every 3 s and 5,900 agents every 15 s.
    constexpr uint64_t instanceCallsPerSecond = 500 / 3 + 5900 / 15;

    PropagationResults simulate(const PropagationSimulationOptions& options)
    {
        PropagationSimulation world(options);
        return world.run(15s, 5s);
    }

    void expectWithinTargets(const PropagationResults& results)
    {
        EXPECT_EQ(results.reached, results.live);
        EXPECT_LE(results.lastDelay, changeLimit);
        EXPECT_LE(results.peakCalls + instanceCallsPerSecond, platformCallLimit);
        EXPECT_LE(results.bytesPerSecond(changesPerDay), controlBytesPerSecond);
    }

    // Guards against an overlay that misses members or takes too long at the size of the design target.
    TEST(PropagationAtScale, AllMembersAlive) { expectWithinTargets(simulate({})); }

    // Guards against dead members that cut off others: they stay on the list for a while.
    TEST(PropagationAtScale, FivePercentDead)
    {
        PropagationSimulationOptions options;
        options.deadFraction = 0.05;
        expectWithinTargets(simulate(options));
    }

    // Guards against an overlay whose paths depend on one failure domain.
    TEST(PropagationAtScale, OneDomainCutOff)
    {
        PropagationSimulationOptions options;
        options.partitionsDomain = true;
        expectWithinTargets(simulate(options));
    }

    // Guards against members of a cut-off domain that their own watchers don't reach.
    TEST(PropagationAtScale, OneDomainCutOffWithThePlatform)
    {
        PropagationSimulationOptions options;
        options.partitionsDomain = true;
        options.partitionedDomainHasPlatform = true;
        options.deadFraction = 0.05;
        expectWithinTargets(simulate(options));
    }

    // The checks above fail with the mechanism switched off, and for the naive way.
    TEST(PropagationAtScale, FailsWithoutAnnouncementsAndWhenAllWatch)
    {
        PropagationSimulationOptions options;
        options.mechanisms.announce = false;
        const PropagationResults withoutAnnouncements = simulate(options);
        EXPECT_LT(withoutAnnouncements.reached, withoutAnnouncements.live);
        options.allWatch = true;
        const PropagationResults allWatching = simulate(options);
        EXPECT_GT(allWatching.lastDelay, changeLimit);
        EXPECT_GE(allWatching.peakCalls, platformCallLimit);
    }

    // Guards against members that no other member tells, and against lists of unequal length.
    TEST(AnnouncePeers, EveryMemberIsToldByAsManyAsItTells)
    {
        std::vector<Member> members;
        members.reserve(300);
        for (int i = 0; i < 300; ++i)
            members.push_back(samples::member("member-" + std::to_string(i), "domain-" + std::to_string(i % 3)));
        std::map<std::string, std::set<std::string>> toldBy;
        std::map<std::string, size_t> inDomain;
        for (const Member& member : members) {
            for (const Member& peer : announcePeers(members, member.name, WatcherOptions())) {
                EXPECT_NE(peer.name, member.name);
                toldBy[peer.name].insert(member.name);
                inDomain[peer.name] += peer.failureDomain == member.failureDomain ? 1 : 0;
            }
        }
        for (const Member& member : members) {
            EXPECT_GE(toldBy[member.name].size(), 5u) << member.name; // 8 rings less a few coincidences
            EXPECT_GE(inDomain[member.name], 2u) << member.name;
        }
        EXPECT_TRUE(announcePeers(members, "unknown", WatcherOptions()).empty());
        EXPECT_TRUE(announcePeers({ members[0] }, members[0].name, WatcherOptions()).empty());
    }

    // Guards against validation whose time grows with the square of the configuration: it once compared every address
    // with all others of the same port, which took many seconds at this size. A change crosses up to six processes
    // within changeLimit, and each of them validates it.
    TEST(PropagationAtScale, ValidationIsFastEnoughForEveryHop)
    {
        const PublishedConfig config = encodeConfig(1, 1, PropagationSimulation::makeServices(780));
        const TimePoint start = std::chrono::steady_clock::now();
        ASSERT_TRUE(parseSnapshot(config.manifest, config.values));
        EXPECT_LT(std::chrono::steady_clock::now() - start, changeLimit / 6);
    }

    // Two processes whose frames are exchanged by hand.
    struct Pair {
        ManualClock clock;
        PropagationOptions options;
        std::optional<Propagation> a;
        std::optional<Propagation> b;
        const PeerRoute routeA { { "127.0.0.1", 7001 }, 0 };
        const PeerRoute routeB { { "127.0.0.1", 7002 }, 0 };

        explicit Pair(bool asksAtStart = false)
        {
            this->options.mechanisms.askAtStart = asksAtStart;
            this->options.self = "a";
            this->a.emplace(this->options, this->clock);
            this->options.self = "b";
            this->options.seeds = { this->routeA.endpoint };
            this->b.emplace(this->options, this->clock);
        }

        // Delivers all frames until none is left; bounded, since an exchange must end.
        void exchange()
        {
            for (int round = 0; round < 100; ++round) {
                const std::vector<PeerFrame> fromA = this->a->takeFrames();
                const std::vector<PeerFrame> fromB = this->b->takeFrames();
                if (fromA.empty() && fromB.empty())
                    return;
                for (const PeerFrame& sent : fromA)
                    this->b->onFrame(this->routeA, sent.frame);
                for (const PeerFrame& sent : fromB)
                    this->a->onFrame(this->routeB, sent.frame);
            }
            ADD_FAILURE() << "the exchange does not end";
        }

        void announceFrom(Propagation& process)
        {
            Frame frame;
            frame.kind = FrameKind::Announce;
            frame.configEpoch = process.version().epoch;
            frame.configVersion = process.version().version;
            frame.configDigest = process.version().digest;
            (&process == &*this->a ? *this->b : *this->a)
                .onFrame(&process == &*this->a ? this->routeA : this->routeB, frame);
            this->exchange();
        }
    };

    // Guards against a fetch that transfers values which did not change, or a peer's version that is not taken.
    TEST(Propagation, FetchesManifestAndChangedValuesFromThePeer)
    {
        Pair pair;
        std::vector<ServiceConfig> services = samples::twoServices();
        pair.b->onPlatformSnapshot(samples::snapshotOf(encodeConfig(1, 1, services)));
        services[0].slots = 9;
        pair.a->onPlatformSnapshot(samples::snapshotOf(encodeConfig(1, 2, services)));
        pair.announceFrom(*pair.a);
        EXPECT_EQ(pair.b->version(), pair.a->version());
        EXPECT_EQ(pair.b->status().peerFetches, 1u);
        EXPECT_EQ(pair.b->takeUpdate().snapshot->services[0].slots, 9);
    }

    // Guards against two operators' versions of the same number that stay split.
    TEST(Propagation, EqualVersionsConvergeOnTheHigherDigest)
    {
        for (const bool digestOrder : { true, false }) {
            Pair pair;
            pair.options.mechanisms.digestOrder = digestOrder;
            pair.a.emplace(pair.options, pair.clock);
            pair.b.emplace(pair.options, pair.clock);
            pair.a->onPlatformSnapshot(samples::snapshotOf(samples::published(2, 5)));
            pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(2, 6)));
            const ConfigVersion higher = std::max(pair.a->version(), pair.b->version());
            pair.announceFrom(*pair.a);
            pair.announceFrom(*pair.b);
            EXPECT_EQ(pair.a->version() == higher && pair.b->version() == higher, digestOrder);
        }
    }

    // Guards against a restarted process that accepts an older state of the platform while peers know a newer one.
    TEST(Propagation, StartingProcessTakesTheHighestVersionOfItsPeers)
    {
        for (const bool asks : { true, false }) {
            Pair pair(asks);
            pair.a->setMembers(std::make_shared<const std::vector<Member>>(), false);
            pair.a->onPlatformSnapshot(samples::snapshotOf(samples::published(5, 7)));
            pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
            const std::shared_ptr<const Snapshot> first = pair.b->takeUpdate().snapshot;
            EXPECT_EQ(first == nullptr, asks);
            EXPECT_EQ(pair.b->shouldReadPlatform(), !asks);
            pair.exchange();
            EXPECT_EQ(pair.b->version().version == 5, asks);
        }
    }

    // Guards against a starting process that waits for ever for peers that are gone.
    TEST(Propagation, StartingProcessAcceptsThePlatformWhenPeersAreSilent)
    {
        Pair pair(true);
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.clock.advance(pair.options.startReplyTimeout);
        pair.b->onTimer();
        EXPECT_EQ(pair.b->version().version, 4u);
    }

    // Guards against a version that peers show but do not provide: the platform is read, soon and for a short time.
    TEST(Propagation, ReadsThePlatformOnlyWhenPeersFail)
    {
        Pair pair;
        pair.options.mechanisms = {};
        pair.options.seeds = { { "127.0.0.1", 7001 } };
        pair.b.emplace(pair.options, pair.clock);
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.clock.advance(pair.options.startReplyTimeout);
        pair.b->onTimer();
        ASSERT_EQ(pair.b->version().version, 4u);
        EXPECT_FALSE(pair.b->shouldReadPlatform());
        pair.b->onHint(pair.routeA, 5);
        pair.clock.advance(pair.options.fetchTimeout);
        pair.b->onTimer();
        pair.clock.advance(pair.options.maxFallbackJitter);
        EXPECT_TRUE(pair.b->shouldReadPlatform());
        pair.clock.advance(pair.options.fallbackDuration);
        pair.b->onTimer();
        EXPECT_FALSE(pair.b->shouldReadPlatform());
    }

    // Guards against damaged values of a peer that take effect, and against a peer that is asked without end.
    TEST(Propagation, DamagedValuesAreRefused)
    {
        Pair pair;
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.b->onHint(pair.routeA, 5);
        pair.b->takeFrames();
        const PublishedConfig next = samples::published(5, 7);
        Frame value;
        value.kind = FrameKind::Value;
        value.key = std::string(manifestKey);
        value.payload = next.manifest;
        pair.b->onFrame(pair.routeA, value);
        EXPECT_EQ(pair.b->takeFrames().size(), 2u); // both values changed
        value.key = serviceKey("alerts");
        value.payload = "damaged";
        pair.b->onFrame(pair.routeA, value);
        EXPECT_EQ(pair.b->status().failedFetches, 1u);
        EXPECT_EQ(pair.b->version().version, 4u);
        EXPECT_EQ(pair.b->takeUpdate().snapshot->manifest.version, 4u);
    }

    // Guards against a silent loss of contact, and against a confirmation that lives for ever among the peers.
    TEST(Propagation, ConfirmationSpreadsAndEnds)
    {
        Pair pair;
        pair.a->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.exchange();
        pair.clock.advance(pair.options.confirmationLimit / 2);
        pair.a->onPlatformConfirmation();
        pair.b->onTimer(); // announces to a, whose confirmation is fresher
        pair.exchange();
        pair.clock.advance(pair.options.confirmationLimit * 3 / 4);
        EXPECT_TRUE(pair.b->status().isConfirmed);
        pair.b->onTimer();
        pair.exchange();
        pair.clock.advance(pair.options.confirmationLimit / 4);
        pair.b->onTimer();
        EXPECT_FALSE(pair.b->status().isConfirmed);
        EXPECT_EQ(pair.b->version().version, 4u);
    }

    // Guards against a process without the instance list that stays outside of the overlay while the platform is down.
    TEST(Propagation, LearnsTheInstanceListFromASeed)
    {
        Pair pair(true);
        const auto list = std::make_shared<const std::vector<Member>>(
            std::vector<Member> { samples::member("a"), samples::member("c") });
        pair.a->setMembers(list, true);
        pair.clock.advance(pair.options.startAntiEntropyInterval);
        pair.b->onTimer();
        pair.exchange();
        const PropagationUpdate update = pair.b->takeUpdate();
        ASSERT_TRUE(update.members);
        EXPECT_EQ(update.members->size(), 2u);
    }

} // namespace
} // namespace wasabicroft
