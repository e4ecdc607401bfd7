// An AgentRouter whose messages and packets are recorded.
#pragma once

#include "FlowSamples.h"
#include "PacketWorld.h"

#include <gtest/gtest.h>

namespace wasabicroft::tests {

inline constexpr std::array<uint16_t, 3> threePorts = { 1, 2, 3 };
inline constexpr PacketAddress entry { 0x0a010000, 7700 };

struct AgentRouterFixture : ::testing::Test {
    explicit AgentRouterFixture(bool countsRequests = true)
        : router(options(countsRequests), hooks(), this->clock)
    {
    }

    static AgentRouterOptions options(bool countsRequests = true)
    {
        AgentRouterOptions routerOptions;
        routerOptions.coldStart.countsRequests = countsRequests;
        routerOptions.service = { 1 };
        routerOptions.self = { 0x0a020000, 8000 };
        routerOptions.denialInterval = Milliseconds(0);
        routerOptions.overload.startDelay = Milliseconds(100); // before requests without an answer count as stuck
        return routerOptions;
    }

    AgentRouterHooks hooks()
    {
        AgentRouterHooks result;
        result.sendToUpstream = [this](Bytes bytes) { this->toUpstream.emplace_back(bytes.begin(), bytes.end()); };
        result.sendToClient
            = [this](PacketAddress, Bytes bytes) { this->toClient.emplace_back(bytes.begin(), bytes.end()); };
        result.sendHop = [this](PacketAddress receiver, const HopMessage& message) {
            this->lastHop = message;
            this->receivers.push_back(receiver);
            this->kinds.push_back(message.kind);
            this->refusals.push_back(message.refusal);
        };
        result.onUpstreamAnswered = [this](PacketAddress route) { this->answered.push_back(route); };
        result.onUpstreamFigures
            = [this](const std::optional<UpstreamFigures>& figures) { this->announced.push_back(figures); };
        return result;
    }

    std::vector<uint8_t> fromEntry(HopKind kind, uint8_t flags, uint16_t clientPort, uint32_t sequence = 1001,
        uint16_t payload = 0, uint64_t service = 1)
    {
        const std::vector<uint8_t> bytes
            = makePacket({ client.address, clientPort }, routeAddress, flags, sequence, 77, payload);
        HopMessage message;
        message.kind = kind;
        message.service = { service };
        message.upstream = this->stated;
        message.limits = this->statedLimits;
        message.packet = bytes;
        this->router.onHop(entry, message, platform::decodePacket(bytes).value());
        return bytes;
    }

    // A packet of a client that acknowledges what its upstream sent.
    void fromEntryWithAck(HopKind kind, uint16_t clientPort, uint32_t acknowledgement, uint16_t payload)
    {
        const std::vector<uint8_t> bytes
            = makePacket({ client.address, clientPort }, routeAddress, ackFlag, 1001, acknowledgement, payload);
        HopMessage message;
        message.kind = kind;
        message.service = { 1 };
        message.upstream = this->stated;
        message.packet = bytes;
        this->router.onHop(entry, message, platform::decodePacket(bytes).value());
    }

    void fromUpstream(uint8_t flags, uint16_t clientPort, uint16_t payload = 0)
    {
        const std::vector<uint8_t> bytes
            = makePacket(routeAddress, { client.address, clientPort }, flags, 500, 1002, payload);
        this->router.onUpstreamPacket(platform::decodePacket(bytes).value(), bytes);
    }

    void bounce(std::vector<uint8_t> bytes)
    {
        bytes[0] |= bouncedFlag;
        const Packet packet = platform::decodePacket(bytes).value();
        platform::restoreBouncedPacket(bytes);
        this->router.onUpstreamPacket(packet, bytes);
    }

    void openFlow(uint16_t clientPort)
    {
        this->fromEntry(HopKind::Offer, synFlag, clientPort);
        this->fromUpstream(synFlag | ackFlag, clientPort);
        this->fromEntry(HopKind::Forward, ackFlag, clientPort);
        this->fromUpstream(ackFlag, clientPort);
    }

    void becomeCold(uint32_t limit, Milliseconds left)
    {
        HopMessage message;
        message.service = { 1 };
        message.directive = { 0, false, left, limit };
        this->router.limitColdStarts(true);
        this->router.onDirective(entry, message);
    }

    void ask(std::vector<FlowKey> keys, std::optional<Milliseconds> idleTimeout = Milliseconds(15000))
    {
        this->kinds.clear();
        HopMessage message;
        message.kind = HopKind::Ask;
        message.idleTimeout = idleTimeout;
        message.flowKeys = std::move(keys);
        this->router.onAsk(entry, message);
    }

    // Lets the time pass with a tick of the agent each 20 ms.
    void run(Milliseconds duration)
    {
        constexpr Milliseconds tick { 20 };
        for (Milliseconds time(0); time < duration; time += tick) {
            this->clock.advance(tick);
            this->router.onTick();
        }
    }

    static FlowKey keyOf(uint16_t clientPort) { return { { client.address, clientPort }, routeAddress }; }

    std::vector<HopKind> repliesToSearches()
    {
        this->router.flushDenials();
        std::vector<HopKind> replies;
        std::copy_if(this->kinds.begin(), this->kinds.end(), std::back_inserter(replies),
            [](HopKind kind) { return kind != HopKind::Load; });
        return replies;
    }

    // Three requests on open flows, of which the upstream gets as many as it has slots, and one more.
    size_t deliveredOfThreeRequests()
    {
        for (const uint16_t port : threePorts)
            this->openFlow(port);
        this->toUpstream.clear();
        for (const uint16_t port : threePorts)
            this->fromEntry(HopKind::Forward, ackFlag, port, 1002, 100);
        return this->toUpstream.size();
    }

    // What the entry knows of the upstream and its route.
    std::optional<UpstreamFigures> stated = UpstreamFigures { 5, 1, false };
    std::optional<RequestLimits> statedLimits = RequestLimits { Milliseconds(100), Milliseconds(1000), 0 };
    ManualClock clock;
    std::vector<std::vector<uint8_t>> toUpstream;
    std::vector<std::vector<uint8_t>> toClient;
    std::vector<HopKind> kinds;
    HopMessage lastHop;
    std::vector<HopRefusal> refusals;
    std::vector<PacketAddress> answered;
    std::vector<PacketAddress> receivers; // of hop messages
    std::vector<std::optional<UpstreamFigures>> announced;
    AgentRouter router;
};

} // namespace wasabicroft::tests
