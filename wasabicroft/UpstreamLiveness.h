// Detects whether the upstream of an agent is up. No I/O.
//
// A running upstream answers or returns a SYN within a millisecond. One that answers none of several copies of a SYN
// over a longer time is down: only probes are sent to it until it answers again. Its process may just not be scheduled,
// so its flows count as lost only after a much longer silence. It ignores the SYN of a port whose earlier flow is still
// open there, so that the SYNs of a single flow never show that it lost its flows: packets of another one must stay
// unanswered as long.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <optional>
#include <vector>

namespace wasabicroft {

enum class UpstreamState : uint8_t { Unknown, Up, Down };

inline constexpr std::array<std::string_view, 3> upstreamStateNames = { "unknown", "up", "down" };

inline std::string_view nameOf(UpstreamState state) { return upstreamStateNames.at(static_cast<size_t>(state)); }

struct LivenessOptions {
    Milliseconds probeInterval { 25 }; // between copies of an unanswered SYN
    unsigned unansweredSynsToDown = 4; // copies without an answer; one datagram in some hundreds is lost
    Milliseconds silenceToDown { 100 }; // least time since the first of these copies, without pauses
    Milliseconds silenceToLoss { 1200 }; // likewise; processes under load are not scheduled for up to 1 s
    Milliseconds maxTickGap {
        30
    }; // of a longer gap between ticks, the rest is a pause: the upstream may have paused too
    Milliseconds downProbeInterval { 100 }; // between SYNs that are sent as probes while the upstream is down
};

class UpstreamLiveness {
public:
    UpstreamLiveness(LivenessOptions, const Clock&);

    void onPacket(); // any packet of the upstream
    void onSynDelivered(const FlowKey&, Bytes syn);

    // Returns the unanswered SYN if it is to be sent once more now, else null.
    const std::vector<uint8_t>* takeProbe();

    // Whether a packet of the flow may be sent as a probe now; at most one per downProbeInterval.
    bool tryStartProbe(const FlowKey&);
    void onTick(); // call every few milliseconds, after the packets that have arrived
    UpstreamState state() const { return this->currentState; }
    bool hasLostFlows() const { return this->isLost; } // down for so long that its process has probably ended

private:
    void noteUnanswered(const FlowKey&);

    LivenessOptions options;
    const Clock& clock;
    UpstreamState currentState = UpstreamState::Unknown;
    bool isLost = false;
    std::vector<uint8_t> unansweredSyn; // empty if the upstream answered since
    std::optional<FlowKey> unansweredFlow; // the first one whose packet was not answered
    std::optional<TimePoint> otherFlowSince; // first unanswered packet of another flow
    TimePoint firstDelivery;
    TimePoint lastDelivery;
    unsigned unansweredDeliveries = 0;
    std::optional<TimePoint> lastTick;
};

} // namespace wasabicroft
