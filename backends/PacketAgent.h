// Agent of the packet path: connects AgentRouter to the sockets.
#pragma once

#include "backends/DatagramSocket.h"
#include "backends/PacketDaemon.h"
#include "wasabicroft/AgentRouter.h"
#include "wasabicroft/Presence.h"

namespace wasabicroft {

class PacketAgent {
public:
    PacketAgent(boost::asio::io_context&, PacketSettings, const Clock&);

    Result<bool> start();
    void onSettings(const PacketSettings&);
    void onTick();
    void handOver(); // Call before the process ends.
    bool isReady() const { return true; }
    OperatorStatus status() const;
    // Reads the settings again if their file changed, and returns whether it changed. May be empty.
    std::function<bool()> reloadSettingsIfChanged;
    void exportMetrics(Metrics&) const;

private:
    void onHopDatagram(PacketAddress entry, std::span<uint8_t>);
    void onUpstreamDatagram(std::span<uint8_t>);
    void flush();
    void announce();

    const Clock& clock;
    PacketSettings settings;
    DatagramSocket entrySocket; // Hop messages, and packets to clients.
    DatagramSocket upstreamSocket;
    AgentAnnouncer announcer;
    const BootClock bootClock;
    AgentRouter router;
    std::vector<uint8_t> hopBuffer;
    uint64_t invalidPackets = 0;
    uint64_t invalidHopMessages = 0;
    InvalidSenderLogLimiter invalidSenderLogLimiter;
};

} // namespace wasabicroft
