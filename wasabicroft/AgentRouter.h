// Decisions of the agent beside an upstream about packets in both directions. No I/O.
//
// The upstream is the authority on its flows: it returns packets of flows that it does not hold. The agent watches the
// packets go by, tells entries what it sees, and knows the upstream's load from requests that still lack an answer.
// All of it may be lost at any time: a new agent learns the flows from the packets of the upstream.
//
// Index
//   [SECTION] Options and counters
//   [SECTION] AgentGate
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/RequestQueue.h"
#include "wasabicroft/UpstreamLiveness.h"

#include <deque>
#include <map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and counters
//-----------------------------------------------------------------------------

struct AgentRouterOptions {
    ServiceId service; // of the upstream
    size_t maxFlows = 32768; // above the flows that an upstream may hold; the least recently used is forgotten
    Milliseconds flowIdleTimeout { 60000 }; // flows without packets are forgotten
    Milliseconds loadInterval { 100 }; // least time between two load reports to an entry, which may ask for more
    Milliseconds maxLoadInterval { 1000 }; // between two load reports to an entry, if it did not
    RequestQueueOptions requestQueue;
    LivenessOptions liveness;
    Milliseconds reorderWindow { 10 }; // longer than packets of the upstream overtake each other
};

struct AgentRouterCounters {
    uint64_t fromEntries = 0; // packets
    uint64_t fromUpstream = 0;
    uint64_t asked = 0; // flows that entries asked for
    uint64_t bounces = 0; // returned by the upstream
    uint64_t accepted = 0; // SYNs that the upstream answered
    uint64_t refused = 0;
    uint64_t gone = 0; // flows that the upstream lost
    uint64_t upstreamResets = 0; // flows that the upstream reset
    uint64_t waited = 0; // requests that did not start at once
    uint64_t expired = 0; // requests that timed out here
    uint64_t dropped = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] AgentGate
//-----------------------------------------------------------------------------

struct AgentRouterHooks {
    std::function<void(Bytes)> sendToUpstream;
    std::function<void(PacketAddress client, Bytes)> sendToClient;
    std::function<void(PacketAddress entry, const HopMessage&)> sendHop;
    std::function<void(PacketAddress route)> onUpstreamAnswered; // the upstream sent a packet of an open flow
};

class AgentRouter {
public:
    AgentRouter(AgentRouterOptions, AgentRouterHooks, const Clock&);

    void setService(ServiceId); // the settings changed: another service's upstream runs here now

    void onHop(PacketAddress entry, const HopMessage&, const Packet&); // messages that carry a packet
    void onAsk(PacketAddress entry, const HopMessage&); // which of the flows does the upstream hold?
    void onUpstreamPacket(const Packet&, Bytes); // bounce marks are already removed from the bytes
    void onTick(); // every few milliseconds

    uint16_t runningRequests() const { return static_cast<uint16_t>(this->requestQueue.runningCount()); }
    uint16_t waitingRequests() const { return static_cast<uint16_t>(this->requestQueue.waitingCount()); }
    size_t openFlows() const { return this->flows.size(); }
    UpstreamState upstreamState() const { return this->liveness.state(); }
    const AgentRouterCounters& counters() const { return this->counts; }

private:
    enum class RequestState : uint8_t { None, Waiting, Running };

    struct StoredPacket {
        uint32_t sequence = 0;
        std::vector<uint8_t> bytes;
    };

    struct Flow {
        PacketAddress entry; // that sent the last packet
        HopKind lastKind = HopKind::Forward; // of that packet
        bool offered = false; // a SYN was delivered
        bool isOpen = false; // the upstream sent more than the handshake
        bool isHeld = false; // the upstream sent any packet of the flow
        bool clientClosed = false; // the client sent a FIN without payload
        RequestState request = RequestState::None;
        std::vector<StoredPacket> storedPackets; // of a request that waits
        bool hasNextSequence = false;
        uint32_t nextSequence = 0; // end of the client's payload seen so far
        uint32_t upstreamSequence = 0; // of the SYN+ACK
        uint64_t deliveryNumber = 0; // number of the first packet that the upstream has yet to answer or return, or 0
    };

    // A packet of a Find, given to the upstream.
    struct Delivery {
        FlowKey flow;
        uint64_t number = 0;
        TimePoint time;
    };

    struct Subscriber {
        TimePoint lastOffer;
        TimePoint lastReport;
        Milliseconds reportInterval { 0 }; // between two reports, as the entry asked
        size_t reportedRequests = 0; // running and waiting requests, as reported
        size_t reportedFlows = 0;
    };

    void onOffer(PacketAddress entry, const HopMessage&, const Packet&);
    void onBounce(const FlowKey&, const Packet&, Bytes);
    void deliver(const FlowKey&, Flow&, const HopMessage&, const Packet&);
    bool startsRequest(Flow&, const Packet&);
    void storePacket(Flow&, const Packet&, Bytes);
    void startWaitingRequests();
    void expireRequests();
    void updateState();
    void denyFlow(const FlowKey&, PacketAddress entry);
    void reportGone(const FlowKey&, PacketAddress entry, HopRefusal, std::string_view cause);
    void markHeld(const FlowKey&, Flow&);
    void assignDeliveryNumber(Flow&);
    void confirmDelivery(Flow&);
    void trackDelivery(const FlowKey&, Flow&);
    void confirmHeldFlows();
    void removeFlow(const FlowKey&);
    HopMessage makeReply(HopKind) const;
    void reply(PacketAddress entry, HopKind, const FlowKey&, HopRefusal, Bytes packet = {}, uint32_t sequence = 0);

    AgentRouterOptions options;
    AgentRouterHooks hooks;
    const Clock& clock;
    TimePoint started;
    FlowTable<Flow> flows;
    std::map<PacketAddress, Subscriber> subscribers;
    std::deque<Delivery> unconfirmedDeliveries; // ordered by number
    uint64_t lastDelivery = 0; // number
    uint64_t confirmedDelivery = 0; // the upstream has received all deliveries up to this number
    RequestQueue requestQueue;
    UpstreamLiveness liveness;
    UpstreamState loggedState = UpstreamState::Unknown;
    size_t heldFlows = 0;
    AgentRouterCounters counts;
};

} // namespace wasabicroft
