// Guards the scheduler: class order, fairness between flows, bounded buffers and no starvation.
#include "wasabicroft/Schedule.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace wasabicroft {
namespace {

    FlowId flowOf(uint64_t number) { return { 3, number }; }

    // State machine: each flow's frames leave complete and in order, buffers stay bounded, paused flows are resumed.
    RC_GTEST_PROP(ClassScheduler, KeepsEveryAcceptedFrameInOrderWithinItsBounds, ())
    {
        ManualClock clock;
        ScheduleOptions options;
        options.quantumBytes = 100;
        options.classLimitBytes = { 400, 600, 800 };
        options.flowLimitBytes = 300;
        ClassScheduler scheduler(options, clock);
        std::map<uint64_t, std::deque<std::string>> expected;
        std::map<uint64_t, bool> isPaused;
        const int steps = *rc::gen::inRange(1, 200);
        const auto pop = [&] {
            const std::optional<ScheduledFrame> frame = scheduler.next();
            RC_ASSERT(frame.has_value());
            RC_ASSERT(expected[frame->flow.low].front() == frame->bytes);
            expected[frame->flow.low].pop_front();
        };
        for (int i = 0; i < steps; ++i) {
            const uint64_t number = *rc::gen::inRange<uint64_t>(0, 9);
            const TrafficClass trafficClass = static_cast<TrafficClass>(number % trafficClassCount);
            const int action = *rc::gen::inRange(0, 10);
            if (action < 6) {
                std::string bytes(*rc::gen::inRange<size_t>(1, 250), static_cast<char>('a' + i % 26));
                const PushResult result = scheduler.push(flowOf(number), trafficClass, bytes);
                if (result != PushResult::Rejected)
                    expected[number].push_back(bytes);
                if (result != PushResult::Accepted)
                    isPaused[number] = true;
            } else if (action < 9 && !scheduler.empty())
                pop();
            else {
                scheduler.remove(flowOf(number));
                expected[number].clear();
                isPaused[number] = false;
            }
            for (size_t item = 0; item < trafficClassCount; ++item)
                RC_ASSERT(scheduler.bytes(static_cast<TrafficClass>(item)) <= options.classLimitBytes.at(item));
            for (const FlowId flow : scheduler.takeResumed()) {
                RC_ASSERT(isPaused[flow.low]);
                isPaused[flow.low] = false;
            }
            clock.advance(Milliseconds(*rc::gen::inRange(0, 30)));
        }
        while (!scheduler.empty())
            pop();
        for (const auto& [number, frames] : expected)
            RC_ASSERT(frames.empty());
        for (const FlowId flow : scheduler.takeResumed())
            isPaused[flow.low] = false;
        for (const auto& [number, paused] : isPaused)
            RC_ASSERT(!paused);
    }

    // Differential: with one flow, deficit round robin is a FIFO.
    RC_GTEST_PROP(DeficitRoundRobin, OneFlowIsAFifo, (const std::vector<std::string>& frames))
    {
        DeficitRoundRobin queue(16);
        for (const std::string& bytes : frames)
            queue.push({ flowOf(1), TrafficClass::Bulk, bytes });
        for (const std::string& bytes : frames)
            RC_ASSERT(queue.pop()->bytes == bytes);
        RC_ASSERT(queue.empty());
        RC_ASSERT(queue.bytes() == 0U);
    }

    // Guards against a flow with large frames that takes more than its share. The bound is that of the algorithm:
    // two flows that always wait differ by at most one quantum and two of the largest frames.
    RC_GTEST_PROP(DeficitRoundRobin, FlowsThatAlwaysWaitGetEqualBytes, ())
    {
        constexpr size_t quantum = 500;
        constexpr size_t largest = 500;
        DeficitRoundRobin queue(quantum);
        const uint64_t flows = *rc::gen::inRange<uint64_t>(2, 6);
        std::map<uint64_t, size_t> sent;
        const auto push = [&](uint64_t flow) {
            const size_t size = *rc::gen::inRange<size_t>(1, largest + 1);
            queue.push({ flowOf(flow), TrafficClass::Bulk, std::string(size, 'b') });
        };
        for (uint64_t flow = 0; flow < flows; ++flow) {
            push(flow);
            push(flow);
        }
        for (int i = 0; i < 200; ++i) {
            const ScheduledFrame frame = *queue.pop();
            sent[frame.flow.low] += frame.bytes.size();
            push(frame.flow.low);
            for (uint64_t a = 0; a < flows; ++a) {
                for (uint64_t b = 0; b < flows; ++b)
                    RC_ASSERT(sent[a] <= sent[b] + quantum + 2 * largest);
            }
        }
    }

    size_t bulkFramesBeforeFeed(bool asFeed)
    {
        ManualClock clock;
        ClassScheduler scheduler({}, clock);
        for (uint64_t i = 0; i < 8; ++i)
            scheduler.push(flowOf(10 + i), TrafficClass::Bulk, std::string(4096, 'b'));
        scheduler.push(flowOf(1), asFeed ? TrafficClass::Feed : TrafficClass::Bulk, "alert");
        for (size_t frames = 0; !scheduler.empty(); ++frames) {
            if (scheduler.next()->flow == flowOf(1))
                return frames;
        }
        return 0;
    }

    // Guards against an alert that waits behind downloads, as it does without a class of its own.
    TEST(ClassScheduler, AFeedFrameGoesBeforeWaitingBulk)
    {
        EXPECT_EQ(bulkFramesBeforeFeed(true), 0U);
        EXPECT_EQ(bulkFramesBeforeFeed(false), 8U);
    }

    size_t bytesSentWhileFeedsSaturate(TrafficClass trafficClass, ScheduleOptions options, bool withRequests)
    {
        ManualClock clock;
        ClassScheduler scheduler(options, clock);
        size_t bytes = 0;
        for (int i = 0; i < 2000; ++i) { // 1 MB within one interval
            scheduler.push(flowOf(1), TrafficClass::Feed, std::string(500, 'f'));
            if (withRequests)
                scheduler.push(flowOf(2), TrafficClass::Request, std::string(500, 'r'));
            scheduler.push(flowOf(3), TrafficClass::Bulk, std::string(500, 'b'));
            const ScheduledFrame frame = *scheduler.next();
            bytes += frame.trafficClass == trafficClass ? frame.bytes.size() : 0;
        }
        return bytes;
    }

    // Guards against feeds that starve requests: over the budget they take turns.
    TEST(ClassScheduler, FeedsOverTheBudgetDoNotStarveRequests)
    {
        ScheduleOptions unlimited;
        unlimited.feedBudgetBytes = SIZE_MAX;
        EXPECT_GT(bytesSentWhileFeedsSaturate(TrafficClass::Request, {}, true), 400000U - 64U * 1024U);
        EXPECT_EQ(bytesSentWhileFeedsSaturate(TrafficClass::Request, unlimited, true), 0U);
    }

    // Guards against starved bulk: it gets its share of what other classes send over the feed budget.
    TEST(ClassScheduler, BulkGetsItsShareUnderSaturatedRequests)
    {
        ScheduleOptions withoutShare;
        withoutShare.bulkShare = 0;
        EXPECT_GT(bytesSentWhileFeedsSaturate(TrafficClass::Bulk, {}, true), 60000U);
        EXPECT_EQ(bytesSentWhileFeedsSaturate(TrafficClass::Bulk, withoutShare, true), 0U);
    }

    // Guards against a writer that gets no signal to pause.
    TEST(ClassScheduler, SignalsPauseBeforeItRejectsAndResumesAfterDraining)
    {
        ManualClock clock;
        ClassScheduler scheduler({}, clock);
        std::vector<PushResult> results;
        results.reserve(100);
        for (int i = 0; i < 100; ++i)
            results.push_back(scheduler.push(flowOf(1), TrafficClass::Bulk, std::string(4096, 'b')));
        EXPECT_EQ(results.front(), PushResult::Accepted);
        EXPECT_EQ(results.at(10), PushResult::AcceptedPause);
        EXPECT_EQ(results.back(), PushResult::Rejected);
        EXPECT_TRUE(scheduler.takeResumed().empty());
        while (!scheduler.empty())
            scheduler.next();
        EXPECT_EQ(scheduler.takeResumed(), std::vector<FlowId>({ flowOf(1) }));
        EXPECT_TRUE(scheduler.takeResumed().empty());
    }

} // namespace
} // namespace wasabicroft
