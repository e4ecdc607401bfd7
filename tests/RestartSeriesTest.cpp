// Planned restarts of agents in close series beside restarts of entries. The upstreams run on and hold their flows.
#include "PacketWorld.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>

namespace wasabicroft::tests {
namespace {

    constexpr Milliseconds stepTime { 20 };

    enum class StopKind : uint8_t { Planned, Killed };

    struct Restart {
        Milliseconds leave { 0 }; // of an entry: its clients go to others from then on
        Milliseconds stop { 0 };
        Milliseconds start { 0 };
        bool isAgent = false;
        size_t index = 0;
    };

    // Restarts all agents in some series, a few at a time, and all entries once. The order differs from series to
    // series.
    void addSeries(PacketWorld& world, std::vector<Restart>& restarts, Milliseconds begin, StopKind kind)
    {
        constexpr size_t seriesCount = 3;
        constexpr size_t agentsAtOnce = 4;
        constexpr Milliseconds seriesInterval { 1500 };
        constexpr Milliseconds agentInterval { 400 };
        constexpr Milliseconds agentDowntime { 700 };
        constexpr Milliseconds entryInterval { 600 };
        constexpr Milliseconds entryStopDelay { 1500 }; // of which routers need some to notice
        constexpr Milliseconds entryLeaveDelay { 500 };
        constexpr Milliseconds entryDowntime { 600 };
        constexpr Milliseconds killedEntryDowntime { 500 };
        constexpr size_t entriesAtOnce = 2;
        std::vector<size_t> agents(world.upstreams.size());
        std::iota(agents.begin(), agents.end(), 0);
        for (size_t series = 0; series < seriesCount; ++series) {
            std::shuffle(agents.begin(), agents.end(), world.random);
            for (size_t i = 0; i < agents.size(); ++i) {
                const Milliseconds stop = begin + series * seriesInterval + i / agentsAtOnce * agentInterval;
                restarts.push_back({ stop, stop, stop + agentDowntime, true, agents[i] });
            }
        }
        for (size_t i = 0; i < world.entries.size(); ++i) {
            if (kind == StopKind::Killed) {
                const Milliseconds stop = begin + i * entryInterval;
                restarts.push_back({ stop, stop, stop + killedEntryDowntime, false, i });
                continue;
            }
            const Milliseconds term = begin + i / entriesAtOnce * entryInterval;
            const Milliseconds stop = term + entryStopDelay;
            restarts.push_back({ term + entryLeaveDelay, stop, stop + entryDowntime, false, i });
        }
    }

    void stop(PacketWorld& world, const Restart& restart, StopKind kind)
    {
        if (restart.isAgent && kind == StopKind::Planned)
            world.shutDownAgent(restart.index);
        else if (restart.isAgent)
            world.stopAgent(restart.index);
        else if (kind == StopKind::Planned)
            world.shutDownEntry(restart.index);
        else
            world.killEntry(restart.index);
    }

    // Plays clients that keep flows open for many requests, while the restarts go on.
    void playRestarts(PacketWorld& world, StopKind kind)
    {
        constexpr size_t flows = 80;
        constexpr size_t requestsPerStep = 2;
        constexpr Milliseconds duration { 16000 };
        constexpr Milliseconds clientTimeout { 8000 };
        std::vector<Restart> restarts;
        addSeries(world, restarts, Milliseconds(2000), kind);
        addSeries(world, restarts, Milliseconds(9000), kind);
        world.startTicks();
        for (size_t i = 0; i < flows; ++i)
            world.open(i % 2, i % world.entries.size());
        for (Milliseconds time(0); time < duration; time += stepTime) {
            for (const Restart& restart : restarts) {
                if (restart.leave == time && !restart.isAgent && kind == StopKind::Planned)
                    world.leaveEntry(restart.index);
                if (restart.stop == time)
                    stop(world, restart, kind);
                else if (restart.start == time && restart.isAgent)
                    world.restartAgent(restart.index);
                else if (restart.start == time)
                    world.startEntry(restart.index);
            }
            for (size_t i = 0; i < requestsPerStep; ++i) {
                const size_t index = world.random() % flows;
                if (world.requests[index].answered)
                    world.sendNextRequest(index);
            }
            world.run(stepTime);
        }
        world.run(clientTimeout);
        world.endAllStretches();
    }

    PacketWorldOptions worldOfRestarts(uint64_t seed)
    {
        PacketWorldOptions options;
        options.seed = seed;
        options.entries = 4;
        options.patientClients = true;
        options.countsStoppedAgents = true;
        constexpr std::array<double, 3> losses = { 0, 0, 0.01 };
        options.loss = losses.at(seed % losses.size());
        return options;
    }

    // Plays histories with seeds from 1 on.
    void expectNoStrayedPackets(StopKind kind)
    {
        constexpr uint64_t histories = 40;
        for (uint64_t seed = 1; seed <= histories; ++seed) {
            PacketWorld world(worldOfRestarts(seed));
            playRestarts(world, kind);
            EXPECT_EQ(world.strayed.size(), 0U) << "seed " << seed << ": " << world.strayed.front();
            EXPECT_EQ(world.violations.size(), 0U) << "seed " << seed << ": " << world.violations.front();
        }
    }

    // Guards against packets of an open flow that reach other upstreams for two seconds and its own never, because the
    // agent of its own is stopped whenever one of them arrives.
    TEST(RestartSeries, PacketsReachTheirUpstreamBetweenTheRestartsOfItsAgent)
    {
        expectNoStrayedPackets(StopKind::Planned);
    }

    // The same with processes that are killed, so that none hands over what it knows.
    TEST(RestartSeries, PacketsReachTheirUpstreamBetweenTheKillsOfItsAgent)
    {
        expectNoStrayedPackets(StopKind::Killed);
    }

} // namespace
} // namespace wasabicroft::tests
