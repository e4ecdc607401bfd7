// Tells whether the upstream beside an agent answers. No I/O.
//
// An upstream that runs answers or returns a SYN within a millisecond. One that stays silent to several copies of a SYN
// over a longer time is down: it has lost its flows, and nothing is sent to it but probes until it answers again.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <vector>

namespace wasabicroft {

enum class UpstreamState : uint8_t { Unknown, Up, Down };

inline constexpr std::array<std::string_view, 3> upstreamStateNames = { "unknown", "up", "down" };

inline std::string_view nameOf(UpstreamState state) { return upstreamStateNames.at(static_cast<size_t>(state)); }

struct LivenessOptions {
    Milliseconds probeInterval { 25 }; // between copies of an unanswered SYN
    unsigned unansweredSynsToDown = 4; // unanswered copies; one datagram in some hundreds is lost
    Milliseconds silenceToDown { 100 };
    Milliseconds downProbeInterval { 100 }; // between SYNs that are used as probes while the upstream is down
};

class UpstreamLiveness {
public:
    UpstreamLiveness(LivenessOptions, const Clock&);

    void onPacket(); // any packet of the upstream
    void onSynDelivered(Bytes syn);

    // The SYN that is to be delivered once more, if one is due.
    const std::vector<uint8_t>* takeProbe();

    bool tryStartProbe(); // while down: whether the SYN at hand is to be delivered as a probe
    void onTick();
    UpstreamState state() const { return this->currentState; }

private:
    LivenessOptions options;
    const Clock& clock;
    UpstreamState currentState = UpstreamState::Unknown;
    std::vector<uint8_t> unansweredSyn; // SYN; empty if the upstream answered since
    TimePoint firstDelivery;
    TimePoint lastDelivery;
    unsigned unansweredDeliveries = 0;
};

} // namespace wasabicroft
