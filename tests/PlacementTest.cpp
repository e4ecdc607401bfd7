// Placement: candidate order, bounded ejection, reinstatement by probes, and the retry budget.
#include "wasabicroft/Placement.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace wasabicroft {
namespace {

    constexpr ServiceId service { 1 };

    std::vector<UpstreamId> poolOf(size_t size)
    {
        std::vector<UpstreamId> pool;
        for (size_t i = 0; i < size; ++i)
            pool.push_back({ i + 1 });
        return pool;
    }

    // Reports failures of an upstream until it is ejected, with ticks as in a running process.
    void eject(OutlierDetector& detector, ManualClock& clock, UpstreamId upstream)
    {
        for (int i = 0; i < 4; ++i) {
            detector.onFailure(upstream);
            clock.advance(Milliseconds(100));
            detector.onTick();
        }
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Retry budget
    //-----------------------------------------------------------------------------

    // Guards against a retry storm: every attempt fails, and every request retries as often as allowed.
    RC_GTEST_PROP(RetryBudget, TotalFailureCausesAtMostOnePointTwoAttemptsPerRequest, ())
    {
        RetryBudget budget;
        const int requests = *rc::gen::inRange(1, 2000);
        int attempts = 0;
        for (int i = 0; i < requests; ++i) {
            budget.onFirstAttempt();
            ++attempts;
            for (int retry = 0; retry < 5 && budget.tryRetry(); ++retry)
                ++attempts;
        }
        RC_ASSERT(attempts <= 1.2 * requests + 1e-6);
    }

    // Shows that the bound above depends on the budget.
    TEST(RetryBudget, AnUnlimitedBudgetExceedsTheBound)
    {
        RetryBudget budget(1000, 1000);
        budget.onFirstAttempt();
        int attempts = 1;
        while (attempts < 6 && budget.tryRetry())
            ++attempts;
        EXPECT_GT(attempts, 1.2);
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Outlier detection
    //-----------------------------------------------------------------------------

    // Guards against an entry that ejects most of a pool because of a fault in its own network.
    RC_GTEST_PROP(OutlierDetector, NeverEjectsMoreThanHalfOfAPool, ())
    {
        ManualClock clock;
        OutlierDetector detector({}, clock);
        const std::vector<UpstreamId> pool = poolOf(*rc::gen::inRange<size_t>(1, 9));
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            const UpstreamId upstream = pool[*rc::gen::inRange<size_t>(0, pool.size())];
            if (*rc::gen::inRange(0, 10) == 0)
                detector.onSuccess(upstream);
            else
                detector.onFailure(upstream);
            clock.advance(Milliseconds(*rc::gen::inRange(0, 150)));
            detector.onTick();
            RC_ASSERT(2 * detector.withoutEjected(pool).size() >= pool.size());
        }
    }

    // Shows that the bound above depends on maxEjectedShare.
    TEST(OutlierDetector, WithoutTheShareMostOfAPoolIsEjected)
    {
        ManualClock clock;
        OutlierDetectorOptions options;
        options.maxEjectedShare = 1;
        OutlierDetector detector(options, clock);
        const std::vector<UpstreamId> pool = poolOf(4);
        for (size_t i = 0; i < 3; ++i)
            eject(detector, clock, pool[i]);
        EXPECT_EQ(detector.withoutEjected(pool).size(), 1U);
    }

    // Guards against ejection after one lost frame, whatever the options are.
    RC_GTEST_PROP(OutlierDetector, OneLostFrameNeverEjects, ())
    {
        ManualClock clock;
        OutlierDetectorOptions options;
        options.failuresToEject = *rc::gen::inRange(0U, 5U);
        options.minFailureSpan = Milliseconds(0);
        OutlierDetector detector(options, clock);
        for (int i = 0; i < 20; ++i) {
            detector.onFailure({ 1 });
            RC_ASSERT(!detector.isEjected({ 1 }));
            detector.onSuccess({ 1 });
            clock.advance(Milliseconds(100));
            detector.onTick();
        }
    }

    // Guards against ejection after one short stall in which many flows time out together.
    TEST(OutlierDetector, SimultaneousFailuresDoNotEject)
    {
        for (const bool needsSpan : { true, false }) {
            ManualClock clock;
            OutlierDetectorOptions options;
            if (!needsSpan)
                options.minFailureSpan = Milliseconds(0);
            OutlierDetector detector(options, clock);
            for (int i = 0; i < 10; ++i)
                detector.onFailure({ 1 });
            EXPECT_EQ(detector.isEjected({ 1 }), !needsSpan);
        }
    }

    // Guards against a process that ejects healthy upstreams after a pause, when all its timeouts fire at once.
    TEST(OutlierDetector, APauseDiscardsFailuresBeforeTheFirstTimeoutCounts)
    {
        for (const bool detectsPause : { true, false }) {
            ManualClock clock;
            OutlierDetectorOptions options;
            if (!detectsPause)
                options.pauseThreshold = Milliseconds(1000000);
            OutlierDetector detector(options, clock);
            detector.onFailure({ 1 });
            detector.onFailure({ 1 });
            clock.advance(Milliseconds(5000));
            detector.onFailure({ 1 }); // a timeout before onTick
            detector.onFailure({ 1 });
            detector.onTick();
            EXPECT_EQ(detector.isEjected({ 1 }), !detectsPause);
        }
    }

    // Guards against an upstream that stays ejected after it recovered, and against probing it with all traffic.
    TEST(OutlierDetector, OneProbeAtATimeReinstates)
    {
        ManualClock clock;
        OutlierDetector detector({}, clock);
        const std::vector<UpstreamId> pool = poolOf(4);
        eject(detector, clock, pool[0]);
        ASSERT_TRUE(detector.isEjected(pool[0]));
        EXPECT_FALSE(detector.takeProbe(pool));
        for (int i = 0; i < 15; ++i) {
            clock.advance(Milliseconds(100));
            detector.onTick();
        }
        EXPECT_EQ(detector.takeProbe(pool), pool[0]);
        EXPECT_FALSE(detector.takeProbe(pool));
        EXPECT_TRUE(detector.isEjected(pool[0])); // until the probe succeeds
        detector.onSuccess(pool[0]);
        EXPECT_FALSE(detector.isEjected(pool[0]));
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Placement
    //-----------------------------------------------------------------------------

    class PlacementFixture {
    public:
        explicit PlacementFixture(size_t size, uint64_t seed = 1)
            : random(seed)
        {
            PlacementOptions options;
            options.failureDomain = "a";
            options.random = [this] { return this->random(); };
            this->placement.emplace(options, this->clock);
            for (size_t i = 0; i < size; ++i)
                this->pool.push_back({ { i + 1 }, i % 2 == 0 ? "a" : "b", 4, false });
            this->placement->setPool(service, this->pool);
        }

        ManualClock clock;
        std::mt19937_64 random;
        std::vector<PlacementUpstream> pool;
        std::optional<Placement> placement;
    };

    // Differential test: the first candidate has the minimum cost of the whole pool.
    RC_GTEST_PROP(Placement, FirstCandidateHasTheLeastCost, ())
    {
        PlacementFixture fixture(*rc::gen::inRange<size_t>(1, 9), *rc::gen::arbitrary<uint64_t>());
        std::map<uint64_t, double> cost;
        for (const PlacementUpstream& upstream : fixture.pool) {
            const Load load { static_cast<uint16_t>(*rc::gen::inRange(0, 5)), 4,
                static_cast<uint16_t>(*rc::gen::inRange(0, 9)), 0 };
            fixture.placement->onLoad(upstream.id, load);
            const int started = *rc::gen::inRange(0, 4);
            for (int i = 0; i < started; ++i)
                fixture.placement->onFlowStarted(upstream.id);
            cost[upstream.id.value] = (load.busySlots + load.queueLength + started) / 4.0
                + (upstream.failureDomain == "a" ? 0 : PlacementOptions().remotePenalty);
        }
        const auto least = std::min_element(
            cost.begin(), cost.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        const PlacementPlan plan = fixture.placement->plan(service);
        RC_ASSERT(cost[plan.candidates.at(0).value] == least->second);
        std::set<UpstreamId> distinct(plan.waitUpstreams.begin(), plan.waitUpstreams.end());
        RC_ASSERT(distinct.size() == plan.waitUpstreams.size());
    }

    // Guards against new flows at a leaving upstream.
    RC_GTEST_PROP(Placement, NeverSelectsALeavingUpstream, ())
    {
        PlacementFixture fixture(6);
        for (PlacementUpstream& upstream : fixture.pool)
            upstream.leaving = *rc::gen::arbitrary<bool>();
        fixture.placement->setPool(service, fixture.pool);
        for (const UpstreamId id : fixture.placement->plan(service).waitUpstreams)
            RC_ASSERT(!fixture.pool[id.value - 1].leaving);
    }

    // Guards against requests to a draining upstream, which looks idle, until the instance list shows it as draining.
    TEST(Placement, ADrainingReplyRemovesTheUpstreamBeforeTheInstanceListDoes)
    {
        PlacementFixture fixture(2);
        fixture.placement->onLoad({ 1 }, { 0, 4, 0, 0 });
        fixture.placement->onLoad({ 2 }, { 4, 4, 3, 4 });
        EXPECT_EQ(fixture.placement->plan(service).waitUpstreams.front(), UpstreamId { 1 }); // before the reply
        fixture.placement->onDraining({ 1 });
        EXPECT_EQ(fixture.placement->plan(service).waitUpstreams, std::vector<UpstreamId>({ { 2 } }));
        fixture.clock.advance(Milliseconds(1000));
        EXPECT_EQ(fixture.placement->plan(service).waitUpstreams.size(), 2U);
    }

    // Guards against a refusal although a drain has ended: the only upstreams are still recorded as draining.
    TEST(Placement, UpstreamsThatAllDrainAreAskedAgain)
    {
        PlacementFixture fixture(2);
        fixture.placement->onDraining({ 1 });
        fixture.placement->onDraining({ 2 });
        EXPECT_EQ(fixture.placement->plan(service).waitUpstreams.size(), 2U);
    }

    // Guards against a wasted round trip for a Pass when every upstream is known to have a queue.
    TEST(Placement, PlanIsSaturatedOnlyIfWorkWaitsEverywhere)
    {
        PlacementFixture fixture(2);
        fixture.placement->onLoad({ 1 }, { 4, 4, 2, 4 });
        fixture.placement->onLoad({ 2 }, { 4, 4, 0, 4 });
        EXPECT_FALSE(fixture.placement->plan(service).saturated);
        fixture.placement->onLoad({ 2 }, { 4, 4, 1, 4 });
        EXPECT_TRUE(fixture.placement->plan(service).saturated);
        EXPECT_FALSE(fixture.placement->plan({ 99 }).saturated);
    }

    // Guards against a load estimate that counts own flows on top of a report that includes them.
    TEST(Placement, AReportReplacesOwnChanges)
    {
        PlacementFixture fixture(2);
        for (int i = 0; i < 4; ++i)
            fixture.placement->onFlowStarted({ 1 });
        EXPECT_EQ(fixture.placement->candidates(service).at(0), UpstreamId { 2 });
        fixture.placement->onLoad({ 1 }, { 0, 4, 0, 0 });
        EXPECT_EQ(fixture.placement->candidates(service).at(0), UpstreamId { 1 });
    }

    // A pool of three upstreams with four slots, of which the third runs at half the speed of the others.
    struct SpeedFixture : PlacementFixture {
        explicit SpeedFixture(bool weighsSpeed, bool measuresConnectionCost = false)
            : PlacementFixture(3)
        {
            PlacementOptions options;
            options.weighsSpeed = weighsSpeed;
            options.measuresConnectionCost = measuresConnectionCost;
            options.connectionCost = 0.02;
            options.random = [this] { return this->random(); };
            this->placement.emplace(options, this->clock);
            this->pool = { { { 1 }, "", 4, false }, { { 2 }, "", 4, false }, { { 3 }, "", 4, false } };
            this->placement->setPool(service, this->pool);
            for (uint64_t id = 1; id <= 3; ++id)
                this->state(id, Milliseconds(id == 3 ? 80 : 40));
        }

        void state(uint64_t id, Milliseconds serviceTime)
        {
            this->placement->onPerformance({ id }, { Milliseconds(0), serviceTime });
        }

        // Places flows that stay open, and returns how many each upstream got.
        std::array<uint32_t, 3> placeFlows(size_t count)
        {
            std::array<uint32_t, 3> flows {};
            for (size_t i = 0; i < count; ++i) {
                const UpstreamId chosen = this->placement->candidates(service).at(0);
                ++flows.at(chosen.value - 1);
                this->placement->onLoad(chosen, { 0, 4, 0, flows.at(chosen.value - 1) });
            }
            return flows;
        }
    };

    // Guards against a slow upstream that gets as many long flows as a fast one, whose requests come later.
    TEST(Placement, AnUpstreamOfHalfTheSpeedGetsHalfTheFlows)
    {
        const std::array<uint32_t, 3> weighed = SpeedFixture(true).placeFlows(500);
        EXPECT_NEAR(weighed[0], 200, 2);
        EXPECT_NEAR(weighed[1], 200, 2);
        EXPECT_NEAR(weighed[2], 100, 2);
        const std::array<uint32_t, 3> former = SpeedFixture(false).placeFlows(500);
        EXPECT_GT(former[2], 160U) << "the naive counterpart";
    }

    // Guards against decisions by service times that are wrong, of the past, or not known.
    TEST(Placement, SpeedIsLimitedAndOneWithoutANewStatement)
    {
        SpeedFixture fixture(true);
        fixture.state(2, Milliseconds(4000));
        fixture.state(3, Milliseconds(0));
        fixture.placement->plan(service);
        EXPECT_EQ(fixture.placement->speed(service, { 1 }), 4);
        EXPECT_LT(fixture.placement->speed(service, { 2 }), 0.6);
        EXPECT_EQ(fixture.placement->speed(service, { 3 }), 1) << "not known";
        fixture.clock.advance(Milliseconds(30000));
        fixture.state(1, Milliseconds(40));
        fixture.state(3, Milliseconds(40));
        fixture.clock.advance(Milliseconds(1));
        fixture.placement->plan(service);
        EXPECT_EQ(fixture.placement->speed(service, { 1 }), 1);
        EXPECT_EQ(fixture.placement->speed(service, { 2 }), 1) << "30 s old";
        EXPECT_EQ(fixture.placement->speed(service, { 99 }), 1);
    }

    // Guards against changes where they are not called for: without service times, and with equal ones, the order is
    // that of the former rule.
    RC_GTEST_PROP(Placement, EqualOrUnknownSpeedsKeepTheFormerOrder, ())
    {
        SpeedFixture weighed(true);
        SpeedFixture former(false);
        const int serviceTime = *rc::gen::inRange(0, 500); // 0: not known
        for (uint64_t id = 1; id <= 3; ++id) {
            const Load load { static_cast<uint16_t>(*rc::gen::inRange(0, 5)), 4,
                static_cast<uint16_t>(*rc::gen::inRange(0, 9)), static_cast<uint32_t>(*rc::gen::inRange(0, 99)) };
            for (SpeedFixture* fixture : { &weighed, &former }) {
                fixture->state(id, Milliseconds(serviceTime));
                fixture->placement->onLoad({ id }, load);
            }
        }
        for (uint64_t hash = 0; hash < 10; ++hash)
            RC_ASSERT(weighed.placement->candidates(service, hash) == former.placement->candidates(service, hash));
    }

    // Guards against flows that weigh little although each brings much load, and against an upstream whose clients
    // pause for a moment and which then gets all new flows.
    TEST(Placement, TheWeightOfAConnectionIsTheLoadThatThePoolsConnectionsBring)
    {
        SpeedFixture fixture(false, true);
        SpeedFixture former(false, false);
        const auto report = [&](Load first, Load second) {
            for (SpeedFixture* item : { &fixture, &former }) {
                item->placement->onLoad({ 1 }, first);
                item->placement->onLoad({ 2 }, second);
                item->placement->onLoad({ 3 }, { 4, 4, 9, 20 });
                item->clock.advance(Milliseconds(100));
                item->placement->plan(service);
            }
        };
        report({ 3, 4, 0, 20 }, { 3, 4, 0, 20 });
        EXPECT_NEAR(fixture.placement->connectionCost(service), 0.02, 0.02) << "one look decides little";
        for (int i = 0; i < 600; ++i)
            report({ 3, 4, 0, 20 }, { 3, 4, 0, 20 });
        EXPECT_NEAR(fixture.placement->connectionCost(service), 10.0 / 60, 0.01);
        report({ 0, 4, 0, 20 }, { 2, 4, 0, 5 }); // the first upstream's clients pause
        EXPECT_EQ(fixture.placement->candidates(service).at(0), UpstreamId { 2 });
        EXPECT_EQ(former.placement->candidates(service).at(0), UpstreamId { 1 }) << "the naive counterpart";
        for (int i = 0; i < 600; ++i) { // no reports for a minute
            fixture.clock.advance(Milliseconds(100));
            fixture.placement->plan(service);
        }
        EXPECT_GT(fixture.placement->connectionCost(service), 0.145) << "of loads that are over 6 s old";
    }

} // namespace
} // namespace wasabicroft
