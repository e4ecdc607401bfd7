// Tests the propagation of configuration versions: every process gets the newest version, also if some processes have
// failed, within the limits of the design page for platform calls and bytes.
#include "tests/PropagationSimulation.h"

#include "ConfigSamples.h"

#include <gtest/gtest.h>

namespace wasabicroft {
namespace {

    using namespace std::chrono_literals;

    constexpr Milliseconds changeLimit { 3000 }; // Requirement R8.
    constexpr uint64_t platformCallLimit = 2000; // Calls per second of all processes.
    constexpr double changesPerDay = 2000;
    constexpr double controlBytesPerSecond = 6 * 1024;
    // Reads of the instance list at the design target: 500 entries every 3 s and 5,900 agents every 15 s.
    constexpr uint64_t instanceCallsPerSecond = 500 / 3 + 5900 / 15;

    PropagationResults simulate(const PropagationSimulationOptions& options)
    {
        PropagationSimulation simulation(options);
        return simulation.run(15s, 5s);
    }

    void expectWithinTargets(const PropagationResults& results)
    {
        EXPECT_EQ(results.reached, results.live);
        EXPECT_LE(results.lastDelay, changeLimit);
        EXPECT_LE(results.peakCalls + instanceCallsPerSecond, platformCallLimit);
        EXPECT_LE(results.bytesPerSecond(changesPerDay), controlBytesPerSecond);
    }

    // Guards against announcements that miss members or take too long at the size of the design target.
    TEST(PropagationAtScale, AllMembersAlive) { expectWithinTargets(simulate({})); }

    // Guards against members that are unreachable because of failed ones, which stay in the list for a while.
    TEST(PropagationAtScale, FivePercentDead)
    {
        PropagationSimulationOptions options;
        options.deadFraction = 0.05;
        expectWithinTargets(simulate(options));
    }

    // Guards against announcements that depend on a single failure domain.
    TEST(PropagationAtScale, OneDomainCutOff)
    {
        PropagationSimulationOptions options;
        options.partitionsDomain = true;
        expectWithinTargets(simulate(options));
    }

    // Guards against members of a partitioned domain that the watchers of the domain do not reach.
    TEST(PropagationAtScale, OneDomainCutOffWithThePlatform)
    {
        PropagationSimulationOptions options;
        options.partitionsDomain = true;
        options.partitionedDomainHasPlatform = true;
        options.deadFraction = 0.05;
        expectWithinTargets(simulate(options));
    }

    // Shows that the checks above fail without announcements, and that having all processes watch the platform is
    // too slow and uses up its call limit.
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

    // Guards against members that receive announcements from too few others.
    TEST(AnnouncePeers, EveryMemberHasSeveralPredecessors)
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
            EXPECT_GE(toldBy[member.name].size(), 5u) << member.name; // 8 rings, some with the same predecessor.
            EXPECT_GE(inDomain[member.name], 2u) << member.name;
        }
        EXPECT_TRUE(announcePeers(members, "unknown", WatcherOptions()).empty());
        EXPECT_TRUE(announcePeers({ members[0] }, members[0].name, WatcherOptions()).empty());
    }

    // Guards against validation in quadratic time: comparing every address with all others of the same port took many
    // seconds at this size. A change passes through up to six processes within changeLimit, and each validates it.
    TEST(PropagationAtScale, ValidationIsFastEnoughForEveryHop)
    {
        const PublishedConfig config = encodeConfig(1, 1, PropagationSimulation::makeServices(780));
        const TimePoint start = std::chrono::steady_clock::now();
        ASSERT_TRUE(parseSnapshot(config.manifest, config.values));
        EXPECT_LT(std::chrono::steady_clock::now() - start, changeLimit / 6);
    }

    // Two processes whose frames the test delivers.
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

        // Delivers frames until none is left. The number of rounds is limited because an exchange must end.
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

    // Guards against a newer version of a peer that is not accepted. Only changed values need to be fetched; the test
    // does not count them.
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

    // Guards against processes that keep different configurations after two operators published the same version.
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

    // Guards against a restarted process that accepts an older version from the platform although peers have a newer
    // one.
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

    // Guards against a starting process that waits forever for peers that do not reply.
    TEST(Propagation, StartingProcessAcceptsThePlatformWhenPeersAreSilent)
    {
        Pair pair(true);
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.clock.advance(pair.options.startReplyTimeout);
        pair.b->onTimer();
        EXPECT_EQ(pair.b->version().version, 4u);
    }

    // Guards against a version that peers announce but do not deliver: the platform must be read soon, for a short
    // time.
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
        pair.b->onVersionSeen(pair.routeA, 5);
        pair.clock.advance(pair.options.fetchTimeout);
        pair.b->onTimer();
        pair.clock.advance(pair.options.maxFallbackJitter);
        EXPECT_TRUE(pair.b->shouldReadPlatform());
        pair.clock.advance(pair.options.fallbackDuration);
        pair.b->onTimer();
        EXPECT_FALSE(pair.b->shouldReadPlatform());
    }

    // Guards against corrupt values of a peer that take effect, and against endless requests to that peer.
    TEST(Propagation, DamagedValuesAreRefused)
    {
        Pair pair;
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.b->onVersionSeen(pair.routeA, 5);
        pair.b->takeFrames();
        const PublishedConfig next = samples::published(5, 7);
        Frame value;
        value.kind = FrameKind::Value;
        value.key = std::string(manifestKey);
        value.payload = next.manifest;
        pair.b->onFrame(pair.routeA, value);
        EXPECT_EQ(pair.b->takeFrames().size(), 2u); // Both values changed.
        value.key = serviceKey("alerts");
        value.payload = "damaged";
        pair.b->onFrame(pair.routeA, value);
        EXPECT_EQ(pair.b->status().failedFetches, 1u);
        EXPECT_EQ(pair.b->version().version, 4u);
        EXPECT_EQ(pair.b->takeUpdate().snapshot->manifest.version, 4u);
    }

    // Guards against an undetected loss of contact with the platform, and against peers that prolong a confirmation
    // forever.
    TEST(Propagation, ConfirmationSpreadsAndEnds)
    {
        Pair pair;
        pair.a->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.b->onPlatformSnapshot(samples::snapshotOf(samples::published(4, 6)));
        pair.exchange();
        pair.clock.advance(pair.options.confirmationLimit / 2);
        pair.a->onPlatformConfirmation();
        pair.b->onTimer(); // Announces to a, whose confirmation is more recent.
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

    // Guards against a process that gets no announcements because it cannot read the instance list from the platform.
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
