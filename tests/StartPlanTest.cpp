// Which waiting requests are deferred when an upstream can't run all in time.
#include "wasabicroft/RequestQueue.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace wasabicroft {
namespace {

    std::vector<size_t> planOf(const std::vector<std::pair<int, int>>& slacksAndWork, StartLanes lanes)
    {
        StartPlan plan;
        for (size_t i = 0; i < slacksAndWork.size(); ++i)
            plan.add({ Milliseconds(slacksAndWork[i].first), Milliseconds(slacksAndWork[i].second), i });
        std::vector<size_t> positions;
        for (const StartCandidate& candidate : plan.make(lanes))
            positions.push_back(candidate.position);
        return positions;
    }

    // Guards against requests that are deferred without need or in the wrong order, and against one long request that
    // makes several short ones late.
    TEST(StartPlan, DefersTheMostWorkOnlyIfSomeWouldBeLate)
    {
        using Positions = std::vector<size_t>;
        EXPECT_EQ(planOf({ { 50, 10 }, { 10, 50 }, { 60, 10 } }, { 1, 1 }), (Positions { 1, 0, 2 }));
        EXPECT_EQ(planOf({ { 20, 10 }, { 10, 50 }, { 30, 10 } }, { 1, 1 }), (Positions { 0, 2 }));
        EXPECT_EQ(planOf({ { 20, 10 }, { 10, 50 }, { 30, 10 } }, { 2, 1 }), (Positions { 0, 2 }));
        EXPECT_EQ(planOf({ { 20, 10 }, { 10, 50 }, { 30, 10 } }, { 3, 1 }), (Positions { 1, 0, 2 }));
        EXPECT_EQ(planOf({ { 0, 10 }, { 0, 50 }, { 0, 20 } }, { 3, 3 }), (Positions { 0, 2, 1 })) << "all start now";
        EXPECT_EQ(planOf({ { 5, 10 }, { 6, 10 } }, { 1, 1 }), (Positions { 1 })) << "equal work: least slack yields";
    }

    struct Outcome {
        std::array<size_t, 2> requests {}; // by route
        std::array<size_t, 2> inTime {};
        std::array<Duration, 2> longestPause {}; // between starts

        double shareInTime() const
        {
            return static_cast<double>(this->inTime[0] + this->inTime[1])
                / static_cast<double>(this->requests[0] + this->requests[1]);
        }
    };

    // Two routes of one priority with as many requests each, at an upstream with 4 slots, for 20 s at a share of its
    // capacity. The work of a request varies by a third.
    Outcome simulate(std::array<double, 2> workMs, double load, bool plansByWork, double maxPassedOverShare = 0.5)
    {
        ManualClock clock;
        RequestQueue queue(
            { .slots = 4, .prefetch = 0, .plansByWork = plansByWork, .maxPassedOverShare = maxPassedOverShare }, clock);
        std::mt19937_64 random(1);
        std::bernoulli_distribution arrives(load * 4 / (workMs[0] + workMs[1]));
        std::uniform_real_distribution<double> factor(0.67, 1.33);
        std::map<FlowKey, TimePoint> arrivals;
        std::multimap<TimePoint, FlowKey> ends;
        Outcome outcome;
        const TimePoint start = clock.now();
        std::array<TimePoint, 2> lastStarts { start, start };
        const auto run = [&](const FlowKey& flow) {
            const size_t route = flow.route.port;
            const std::chrono::duration<double, std::milli> work(workMs.at(route) * factor(random));
            const TimePoint end = clock.now() + std::chrono::duration_cast<Duration>(work);
            ends.emplace(end, flow);
            outcome.inTime.at(route) += end - arrivals.at(flow) <= Milliseconds(400) ? 1 : 0;
            outcome.longestPause.at(route)
                = std::max(outcome.longestPause.at(route), clock.now() - lastStarts.at(route));
            lastStarts.at(route) = clock.now();
        };
        uint32_t number = 0;
        for (; clock.now() < start + std::chrono::seconds(20); clock.advance(Milliseconds(1))) {
            queue.takeExpired();
            for (; !ends.empty() && ends.begin()->first <= clock.now(); ends.erase(ends.begin()))
                queue.onAnswered(ends.begin()->second);
            for (uint16_t route = 0; route < 2; ++route) {
                if (!arrives(random))
                    continue;
                const FlowKey flow { { ++number, 1 }, { 1, route } };
                arrivals[flow] = clock.now();
                ++outcome.requests.at(route);
                if (queue.submit({ flow, clock.now(), Milliseconds(400), Milliseconds(3000) })
                    == RequestQueue::Decision::Start)
                    run(flow);
            }
            for (const FlowKey& flow : queue.startWaiting())
                run(flow);
        }
        return outcome;
    }

    // Guards against long requests that take the slots of several short ones under overload.
    TEST(StartPlan, MoreRequestsAreInTimeAtOneAndAHalfTimesTheCapacity)
    {
        const Outcome planned = simulate({ 20, 100 }, 1.5, true);
        const Outcome unplanned = simulate({ 20, 100 }, 1.5, false);
        RecordProperty("planned", std::to_string(planned.inTime[0]) + '+' + std::to_string(planned.inTime[1]));
        RecordProperty("unplanned", std::to_string(unplanned.inTime[0]) + '+' + std::to_string(unplanned.inTime[1]));
        EXPECT_GE(planned.shareInTime(), unplanned.shareInTime() + 0.1);
        EXPECT_GE(simulate({ 20, 20 }, 1.5, true).shareInTime(), simulate({ 20, 20 }, 1.5, false).shareInTime());
    }

    // Guards against a route that never starts, and whose work is then never measured again, because shorter requests
    // take all slots.
    TEST(StartPlan, DeferredRoutesStartOnceInHalfOfTheirTimeLimit)
    {
        EXPECT_LE(simulate({ 20, 100 }, 9, true).longestPause[1], Milliseconds(1700));
        EXPECT_GT(simulate({ 20, 100 }, 9, true, 0).longestPause[1], Milliseconds(1900));
    }

} // namespace
} // namespace wasabicroft
