// Guards the packet path under faults, with the real decision classes: open flows are not reset or moved while their
// upstream holds them, no flow opens at another service, and requests are answered once the faults are over.
#include "PacketWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wasabicroft::tests {
namespace {

    size_t answered(const PacketWorld& world)
    {
        size_t count = 0;
        for (const PacketWorld::Request& request : world.requests)
            count += request.answered ? 1 : 0;
        return count;
    }

    std::string firstOf(const std::vector<std::string>& lines) { return lines.empty() ? "" : lines.front(); }

    void requestAllAgain(PacketWorld& world)
    {
        const size_t count = world.requests.size();
        for (size_t i = 0; i < count; ++i)
            world.requestAgain(i);
    }

    // Guards against a path that does not work at all.
    TEST(PacketWorld, QuietRequestsAreAllAnswered)
    {
        PacketWorld world({});
        world.startTicks();
        for (size_t i = 0; i < 200; ++i) {
            world.open(i % 2, i % 3);
            world.run(Milliseconds(10));
        }
        world.run(Milliseconds(1000));
        EXPECT_EQ(answered(world), 200U);
        EXPECT_EQ(firstOf(world.violations), "");
    }

    // Guards against flows that are lost with the entry that placed them: another entry finds the holder.
    TEST(PacketWorld, OpenFlowsContinueThroughAnotherEntry)
    {
        PacketWorld world({});
        world.startTicks();
        for (size_t i = 0; i < 60; ++i)
            world.open(i % 2, 0);
        world.run(Milliseconds(2000));
        ASSERT_EQ(answered(world), 60U);
        world.killEntry(0);
        requestAllAgain(world);
        world.run(Milliseconds(2000));
        EXPECT_EQ(answered(world), 60U);
        EXPECT_EQ(firstOf(world.violations), "");
    }

    // Guards against flows that are lost when all processes of the system restart while the upstreams live.
    TEST(PacketWorld, OpenFlowsSurviveTheRestartOfEveryProcess)
    {
        PacketWorld world({});
        world.startTicks();
        for (size_t i = 0; i < 60; ++i)
            world.open(i % 2, i % 3);
        world.run(Milliseconds(2000));
        for (size_t i = 0; i < world.entries.size(); ++i)
            world.startEntry(i);
        for (size_t i = 0; i < world.upstreams.size(); ++i)
            world.restartAgent(i);
        requestAllAgain(world);
        world.run(Milliseconds(2500));
        EXPECT_EQ(answered(world), 60U);
        EXPECT_EQ(firstOf(world.violations), "");
    }

    // Guards against clients that wait for their time limit on flows that no upstream holds any more.
    TEST(PacketWorld, FlowsOfRestartedUpstreamsAreResetSoon)
    {
        PacketWorld world({});
        world.startTicks();
        for (size_t i = 0; i < 40; ++i)
            world.open(0, i % 3);
        world.run(Milliseconds(1500));
        for (size_t i = 0; i < world.upstreams.size(); ++i) {
            world.crashUpstream(i);
            world.startUpstream(i);
            world.restartAgent(i);
        }
        for (size_t i = 0; i < world.entries.size(); ++i)
            world.startEntry(i);
        requestAllAgain(world);
        world.run(Milliseconds(400));
        for (const PacketWorld::Request& request : world.requests)
            EXPECT_TRUE(request.reset);
        EXPECT_EQ(firstOf(world.violations), "");
    }

    // Guards against new flows at an upstream that drains.
    TEST(PacketWorld, DrainingUpstreamsGetNoNewFlows)
    {
        PacketWorld world({});
        world.startTicks();
        world.setDraining(0);
        for (size_t i = 0; i < 100; ++i) {
            world.open(0, i % 3);
            world.run(Milliseconds(5));
        }
        world.run(Milliseconds(500));
        EXPECT_EQ(world.upstreams[0]->opened, 0U);
        EXPECT_EQ(answered(world), 100U);
    }

    // Guards against flows that wait at a silent upstream: another one is asked within the client's patience.
    TEST(PacketWorld, SilentUpstreamsDoNotHoldNewFlowsUp)
    {
        PacketWorld world({});
        world.startTicks();
        world.crashUpstream(0);
        for (size_t i = 0; i < 100; ++i) {
            world.open(0, i % 3);
            world.run(Milliseconds(10));
        }
        world.run(Milliseconds(300));
        EXPECT_EQ(answered(world), 100U);
    }

    // Guards against flows that move, are reset or cross services under any mix of faults.
    RC_GTEST_PROP(PacketWorld, OpenFlowsStayWithTheirUpstreamUnderFaults, ())
    {
        WorldOptions options;
        options.seed = *rc::gen::inRange<uint64_t>(1, 1000000);
        options.loss = *rc::gen::element(0.0, 0.01, 0.05);
        options.duplication = *rc::gen::element(0.0, 0.05);
        PacketWorld world(options);
        world.startTicks();
        for (int step = 0; step < 60; ++step) {
            for (size_t i = 0; i < 4; ++i)
                world.open(world.random() % 2, world.random() % 3);
            const size_t index = world.random() % world.upstreams.size();
            switch (world.random() % 8) {
            case 0:
                world.startEntry(world.random() % 3);
                break;
            case 1:
                world.restartAgent(index);
                break;
            case 2:
                world.crashUpstream(index);
                world.startUpstream(index);
                break;
            case 3: {
                const size_t old = world.random() % world.requests.size();
                if (world.requests[old].answered)
                    world.requestAgain(old);
                break;
            }
            default:
                break;
            }
            world.run(Milliseconds(40));
        }
        world.run(Milliseconds(3000));
        RC_ASSERT(firstOf(world.violations) == std::string());
        // Most requests end well; those of crashed upstreams are reset or wait for their client's next attempt.
        RC_ASSERT(answered(world) * 10 >= world.requests.size() * 8);
    }

} // namespace
} // namespace wasabicroft::tests
