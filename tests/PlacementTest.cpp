// Placement: candidate order, bounded ejection, reinstatement by probes, and the retry budget.
#include "wasabicroft/Placement.h"

#include <algorithm>
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

} // namespace
} // namespace wasabicroft
