// An EntryRouter whose messages and resets are recorded, with one route, one client and a directory of upstreams.
#pragma once

#include "FlowSamples.h"
#include "PacketWorld.h"

#include <gtest/gtest.h>

namespace wasabicroft::tests {

inline constexpr ServiceId service { 1 };
inline constexpr uint16_t agentPort = 8000;
inline constexpr PacketAddress otherEntry { 0x0a010002, 7700 };

struct SentHop {
    PacketAddress agent;
    HopKind kind = HopKind::Forward;
    ServiceId service;
    std::vector<uint8_t> packet;
    Milliseconds loadInterval { 0 };
    std::optional<UpstreamFigures> upstream;
    std::optional<RequestLimits> limits;
    std::vector<uint32_t> targets;
    size_t flowCount = 0; // flows that an Ask asks for
    UpstreamDirective directive;
};

// An EntryRouter that records what it sends.
struct RouterFixture : ::testing::Test {
    RouterFixture()
        : directory(DirectoryOptions(), this->clock)
        , router(options(),
              { [this](PacketAddress agent, const HopMessage& message) {
                   this->hops.push_back({ agent, message.kind, message.service,
                       { message.packet.begin(), message.packet.end() }, message.loadInterval, message.upstream,
                       message.limits, message.targets, message.flowKeys.size(), message.directive });
               },
                  [this](const FlowKey& key, uint32_t) { this->resets.push_back(key); } },
              this->clock)
    {
    }

    static EntryRouterOptions options()
    {
        EntryRouterOptions routerOptions;
        routerOptions.agentPort = agentPort;
        return routerOptions;
    }

    static PacketAddress agent(uint32_t number) { return { 0x0a020000 + number, agentPort }; }

    static UpstreamRecord upstream(uint32_t number, uint64_t revision = 5)
    {
        UpstreamRecord record;
        record.name = "host-" + std::to_string(number);
        record.born = 1;
        record.service = service;
        record.address = { 0x0a020000 + number, 9000 };
        record.slots = 2;
        record.revision = revision;
        return record;
    }

    void useRoutes()
    {
        const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
        table->version = 1;
        Route& route = table->routes[routeAddress];
        route.address = routeAddress;
        route.shares = { { service, 1 } };
        route.limits = RequestLimits { Milliseconds(0), Milliseconds(1000), 0 };
        this->router.setRoutes(table);
    }

    void useUpstreams(uint32_t count)
    {
        std::vector<UpstreamRecord> records;
        for (uint32_t i = 0; i < count; ++i)
            records.push_back(upstream(i));
        this->directory.replace(records, 5);
        this->directory.onPeerListState(ListState::Complete);
        this->router.setUpstreams(this->directory);
    }

    // Reads the first list of a start, which lacks some upstreams. All that it has deny the flow.
    void searchWithUnconfirmedList()
    {
        this->useRoutes();
        this->directory.replace({ upstream(0), upstream(1) }, 5);
        this->router.setUpstreams(this->directory);
        this->fromClient(ackFlag, 7, 100);
        this->agentDenies(agent(0));
        this->agentDenies(agent(1));
    }

    // Searches with a list that is behind that of another entry. The agents of all upstreams on it are unsure.
    void searchWhileBehind()
    {
        this->useRoutes();
        this->useUpstreams(4);
        this->router.setBehindPeers(true);
        this->router.setDelegate(otherEntry);
        this->fromClient(ackFlag, 7, 100);
        this->takeHops();
        HopMessage unsure;
        unsure.kind = HopKind::Unsure;
        unsure.flowKeys = { flow };
        for (uint32_t number = 0; number < 4; ++number)
            this->router.onHop(agent(number), unsure, nullptr);
        this->router.flushAsks();
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds time(0); time < duration; time += step) {
            this->clock.advance(step);
            if (this->directory.onTick())
                this->router.setUpstreams(this->directory);
            this->router.onTick();
        }
    }

    void onPeerListState(ListState state)
    {
        this->directory.onPeerListState(state);
        this->router.setUpstreams(this->directory);
    }

    void fromClient(uint8_t flags, uint32_t acknowledgement = 0, uint16_t payload = 0)
    {
        const std::vector<uint8_t> bytes = makePacket(client, routeAddress, flags, 1001, acknowledgement, payload);
        this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
        this->router.flushAsks();
    }

    void fromAgent(PacketAddress sender, HopKind kind, uint32_t sequence = 0, const std::vector<uint8_t>& packet = {})
    {
        HopMessage message;
        message.kind = kind;
        message.flow = flow;
        message.upstreamSequence = sequence;
        message.packet = packet;
        const Result<Packet> decoded = packet.empty() ? Result<Packet>(Packet()) : platform::decodePacket(packet);
        this->router.onHop(sender, message, packet.empty() ? nullptr : &decoded.value());
        this->router.flushAsks();
    }

    void agentAnswers(PacketAddress sender, HopKind kind)
    {
        HopMessage message;
        message.kind = kind;
        message.flowKeys = { flow };
        this->router.onHop(sender, message, nullptr);
        this->router.flushAsks();
    }

    void agentDenies(PacketAddress sender) { this->agentAnswers(sender, HopKind::Denied); }
    void agentKnows(PacketAddress sender) { this->agentAnswers(sender, HopKind::Known); }

    // Every upstream that gets the packet of the search returns it, until the flow is reset or all have.
    void returnPacketsOfSearch()
    {
        for (int round = 0; round < 4 && this->resets.empty(); ++round) {
            for (const SentHop& hop : this->takeHops()) {
                if (hop.kind == HopKind::Find)
                    this->fromAgent(hop.agent, HopKind::NotHeld);
            }
            this->clock.advance(Milliseconds(61));
            this->router.onTick();
        }
    }

    // Offers a flow to an upstream until the offer times out. Returns the agent of that upstream.
    PacketAddress openFlowAtSilentUpstream()
    {
        this->useRoutes();
        this->useUpstreams(4);
        this->fromClient(synFlag);
        const PacketAddress first = this->takeHops().at(0).agent;
        this->clock.advance(Milliseconds(61));
        this->router.onTick();
        return first;
    }

    std::vector<SentHop> takeHops() { return std::exchange(this->hops, {}); }

    ManualClock clock;
    UpstreamDirectory directory;
    EntryRouter router;
    std::vector<SentHop> hops;
    std::vector<FlowKey> resets;
};

} // namespace wasabicroft::tests
