// Routes packets in both directions at the agent that runs beside an upstream. No I/O.
//
// The upstream is the authority on its flows: it returns packets of flows that it does not hold. The agent tracks flows
// from the packets that pass, reports them to entries, and derives the upstream's load from its unanswered requests.
// This state may be lost at any time: a restarted agent restores it from the packets of the upstream.
//
// Index
//   [SECTION] Options and counters
//   [SECTION] AgentRouter
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/ColdStart.h"
#include "wasabicroft/Directive.h"
#include "wasabicroft/FlowSequences.h"
#include "wasabicroft/RejectionDetector.h"
#include "wasabicroft/RequestQueue.h"
#include "wasabicroft/UpstreamLiveness.h"

#include <deque>
#include <map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and counters
//-----------------------------------------------------------------------------

struct AgentRouterOptions {
    ServiceId service; // service of the upstream
    PacketAddress self; // address of this agent for messages of entries; other agents use the same port
    size_t maxRoutes = 256; // whose limits are kept
    size_t maxReturnedFlows = 8192; // flows of searches that the upstream does not hold; older ones are forgotten
    size_t maxFlows = 32768; // above the flows that an upstream may hold; the least recently used is evicted
    Milliseconds flowIdleTimeout { 60000 }; // flows without packets for longer are removed
    Milliseconds loadInterval { 100 }; // shortest time between load reports to an entry, which may request a longer one
    Milliseconds unchangedLoadInterval { 1000 }; // between load reports while the load is unchanged
    RequestQueueOptions requestQueue;
    LivenessOptions liveness;
    RejectionOptions rejection;
    OverloadMonitorOptions overload;
    // A client that sends its first request at once after the handshake has waited since the first copy of its SYN.
    Milliseconds maxHandshakeTime { 150 }; // below the first interval between copies
    size_t maxHandOverEntries = 8; // that get the flows of an agent that stops; entries ask those with low addresses
    Milliseconds denialInterval { 20 }; // between messages to an entry that deny flows of searches
    Milliseconds reorderWindow { 10 }; // longer than reordering delays packets of the upstream
    Milliseconds pauseThreshold { 1000 }; // a longer gap between ticks is a pause, in which packets may be lost
    bool limitsColdStarts = false; // keeps the limits that directives state of a cold upstream
    ColdStartOptions coldStart;
    Milliseconds evacuationLifetime { 30000 }; // without a directive for longer, the upstream is not evacuated any more
};

struct AgentRouterCounters {
    uint64_t fromEntries = 0; // packets
    uint64_t fromUpstream = 0;
    uint64_t asked = 0; // flows that entries asked about
    uint64_t passedOn = 0; // messages of searches, to other agents
    uint64_t bounces = 0; // packets returned by the upstream
    uint64_t accepted = 0; // SYNs that the upstream answered
    uint64_t refused = 0; // SYNs refused by the agent or the upstream
    uint64_t refusedEvacuated = 0; // of these, because the upstream's failure domain is evacuated
    uint64_t refusedCold = 0; // of the refused ones, because the upstream is cold and got its limit
    uint64_t directives = 0; // from entries
    uint64_t gone = 0; // open flows that the upstream lost
    uint64_t upstreamResets = 0; // flows that the upstream reset
    uint64_t waited = 0; // requests that did not start at once
    uint64_t waitedCold = 0; // of these, while the upstream was cold
    uint64_t expired = 0; // requests that timed out while waiting, or were stuck
    uint64_t dropped = 0; // packets
};

//-----------------------------------------------------------------------------
// [SECTION] AgentRouter
//-----------------------------------------------------------------------------

struct AgentRouterHooks {
    std::function<void(Bytes)> sendToUpstream;
    std::function<void(PacketAddress client, Bytes)> sendToClient;
    std::function<void(PacketAddress entry, const HopMessage&)> sendHop; // to an entry, or a Find to an agent
    std::function<void(PacketAddress route)> onUpstreamAnswered; // the upstream sent a packet of an open flow
    std::function<void(const std::optional<UpstreamFigures>&)> onUpstreamFigures; // changed; may be empty
};

class AgentRouter {
public:
    AgentRouter(AgentRouterOptions, AgentRouterHooks, const Clock&);
    AgentRouter(AgentRouterOptions, AgentRouterHooks, const Clock&, const Clock& pauseClock); // see BootClock

    void startTracking(); // the sockets are open: the agent sees the packets of all flows from now on

    void limitColdStarts(bool isEnabled) { this->options.limitsColdStarts = isEnabled; }
    void setService(ServiceId); // the settings changed: an upstream of another service runs here now

    void onHop(PacketAddress entry, const HopMessage&, const Packet&); // messages that carry a packet
    void onSearch(PacketAddress entry, const HopMessage&, const Packet&); // a Find for this and other agents
    void onAsk(PacketAddress entry, const HopMessage&); // asks which flows the upstream holds
    void onDirective(PacketAddress entry, const HopMessage&);
    void onUpstreamPacket(const Packet&, Bytes); // the caller has cleared the bounced flag in the bytes
    void flushDenials(); // call after each batch of datagrams: denials of one batch share their messages
    void onTick(); // call every few milliseconds
    void handOver(); // call before the process ends: entries learn which flows the upstream holds

    uint16_t runningRequests() const { return static_cast<uint16_t>(this->requestQueue.runningCount()); }
    uint16_t waitingRequests() const { return static_cast<uint16_t>(this->requestQueue.waitingCount()); }
    std::optional<UpstreamPerformance> performance() const { return this->requestQueue.performance(); }
    size_t trackedFlows() const { return this->flows.size(); }
    UpstreamState upstreamState() const { return this->liveness.state(); }
    const ColdStartLimiter& coldStart() const { return this->coldStartLimiter; }
    const EvacuationNotice& evacuation() const { return this->evacuationNotice; }
    const std::optional<UpstreamFigures>& upstreamFigures() const { return this->figures; }
    const AgentRouterCounters& counters() const { return this->counts; }
    const OverloadCounts& overloadCounts() const { return this->requestQueue.counts(); }
    const StallDetector& stall() const { return this->requestQueue.stallDetector(); }
    bool isOverloaded() const { return this->overload.isOverloaded(); }

private:
    enum class RequestState : uint8_t { None, Waiting, Running };

    struct StoredPacket {
        uint32_t sequence = 0;
        std::vector<uint8_t> bytes;
    };

    // A SYN of another flow of the same ends that was delivered: of a later one, or late and of an earlier one. The
    // upstream shows which.
    struct OtherSyn {
        PacketAddress entry;
        uint32_t sequence = 0;
    };

    struct Flow {
        PacketAddress entry; // sender of the last packet
        HopKind lastKind = HopKind::Forward; // kind of the message that carried it
        bool offered = false; // a SYN was delivered
        TimePoint offeredAt; // the last one
        Milliseconds synAge { 0 }; // from the client's first copy of the SYN to this one
        bool mayBeOpen = false; // the upstream answered the SYN, or a later packet of the client was delivered
        bool isOpen = false; // the upstream sent more than the handshake
        bool isAnsweredSyn = false; // the agent saw the SYN+ACK
        bool isHeld = false; // the upstream sent any packet of the flow after it, or the client acknowledged it
        bool isAnswered = false; // the upstream answered a request
        bool clientClosed = false; // the client sent a FIN without payload
        FlowSequences sequences;
        bool clientSentFin = false; // also with payload
        bool upstreamSentFin = false;
        bool isCounted = false; // in heldFlows
        RequestState request = RequestState::None;
        bool isUnsent = false; // the last request was dropped or timed out in the queue
        std::vector<StoredPacket> storedPackets; // packets of a waiting request
        bool hasNextSequence = false;
        uint32_t nextSequence = 0; // end of the client's payload seen so far
        std::optional<uint32_t> lastAcknowledgement; // of the client
        uint32_t upstreamSequence = 0; // sequence number of the SYN+ACK
        std::optional<OtherSyn> otherSyn;
        uint64_t deliveryNumber = 0; // of the first packet that the upstream has yet to answer or return; 0: none

        bool isEnded() const { return this->clientSentFin && this->upstreamSentFin; }
    };

    // A packet of a Find that was sent to the upstream.
    struct Delivery {
        FlowKey flow;
        uint64_t number = 0;
        TimePoint time;
    };

    struct Subscriber {
        TimePoint lastOffer;
        TimePoint lastReport;
        Milliseconds reportInterval { 0 }; // between load reports, as requested by the entry
        size_t reportedRequests = 0; // running and waiting requests in the last report
        size_t reportedFlows = 0; // held flows in the last report
    };

    void learn(PacketAddress entry, const HopMessage&);
    bool hasSeenAllFlows(TimePoint) const;
    void checkForPause();
    RequestLimits limitsOf(PacketAddress route, const HopMessage&);
    void onOffer(PacketAddress entry, const HopMessage&, const Packet&);
    HopRefusal refusalOf(const HopMessage&, bool isNewFlow);
    void startLaterFlow(const FlowKey&, OtherSyn);
    bool isResetOfEarlierFlow(const FlowKey&, const Packet&);
    void denyAfterReset(const FlowKey&);
    void onBounce(const FlowKey&, const Packet&, Bytes);
    void deliver(const FlowKey&, Flow&, const HopMessage&, const Packet&);
    bool startsRequest(Flow&, const Packet&);
    TimePoint arrivalOf(const Flow&, bool isFirstRequest) const;
    bool isColdLimited() const { return this->options.limitsColdStarts && this->coldStartLimiter.isCold(); }
    bool mayStart(const QueuedRequest&) const;
    void onWaiting(); // a request that does not start at once
    // Whether the packet is a copy of a request that the upstream did not get. Without a limit the copy is sent
    // directly; here it would pass the limit.
    bool isUnsentRequest(const Flow& flow, const Packet& packet) const
    {
        return this->isColdLimited() && flow.isUnsent && packet.payloadBytes > 0;
    }
    void storePacket(Flow&, const Packet&, Bytes);
    void startWaitingRequests();
    void expireRequests(); // AgentStall.cpp
    void updateState();
    void denyLostFlows();
    void updateRejection();
    void updateStall(); // AgentStall.cpp
    void updateOverload();
    void denyFlow(const FlowKey&, PacketAddress entry, bool isSearched);
    bool isReturnedFlow(const FlowKey&);
    void denyOtherFlow(const FlowKey&, const Flow& known, PacketAddress entry, HopKind, Bytes packet);
    void reportGone(const FlowKey&, PacketAddress entry, HopRefusal, std::string_view cause, const FlowSequences&);
    void answerSearchForEndedFlow(const FlowKey&, PacketAddress entry, uint32_t sequence);
    void markHeld(const FlowKey&, Flow&);
    void countFlow(Flow&);
    void assignDeliveryNumber(Flow&);
    void confirmDelivery(Flow&);
    void trackDelivery(const FlowKey&, Flow&);
    void confirmHeldFlows();
    void removeFlow(const FlowKey&);
    HopMessage makeReply(HopKind) const;
    void sendKeys(PacketAddress entry, HopKind, HopRefusal, const std::vector<FlowKey>&);
    void reply(PacketAddress entry, HopKind, const FlowKey&, HopRefusal, Bytes packet = {}, uint32_t sequence = 0);

    AgentRouterOptions options;
    AgentRouterHooks hooks;
    const Clock& clock;
    const Clock& pauseClock; // measures pauses of the process
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> lastPauseClockTick; // time of pauseClock
    TimePoint trackingSince; // since then, the agent sees the packets of all flows and forgets none
    // What entries stated last. An entry that does not know a figure, because it started while the store is away,
    // changes none.
    std::optional<UpstreamFigures> figures;
    std::map<PacketAddress, RequestLimits> limits; // by route
    std::optional<Milliseconds>
        idleTimeout; // of flows, the longest that was stated: not every entry has the newest routes
    FlowTable<Flow> flows;
    struct ReturnedFlow { };
    FlowTable<ReturnedFlow> returnedFlows; // that the upstream does not hold: it returned a packet
    std::map<PacketAddress, Subscriber> subscribers;
    struct QueuedDenials {
        std::vector<FlowKey> flows;
        TimePoint lastSent;
    };
    std::map<std::pair<PacketAddress, HopRefusal>, QueuedDenials> queuedDenials; // by entry and cause
    std::deque<Delivery> unconfirmedDeliveries; // ordered by number
    uint64_t lastDelivery = 0; // number of the last delivery
    uint64_t confirmedDelivery = 0; // the upstream has received all deliveries up to this number
    RequestQueue requestQueue;
    UpstreamLiveness liveness;
    RejectionDetector rejection;
    OverloadMonitor overload;
    bool wasRejecting = false;
    bool wasStalled = false;
    TimePoint stalledSince;
    EvacuationNotice evacuationNotice;
    ColdStartLimiter coldStartLimiter;
    UpstreamState loggedState = UpstreamState::Unknown;
    bool hasDeniedLostFlows = false; // since the upstream answered last
    size_t heldFlows = 0; // closed by neither end
    AgentRouterCounters counts;
};

inline void AgentRouter::onWaiting()
{
    ++this->counts.waited;
    if (!this->isColdLimited())
        return;
    ++this->counts.waitedCold;
    this->coldStartLimiter.onWaiting();
}

inline bool AgentRouter::mayStart(const QueuedRequest& request) const
{
    if (!this->isColdLimited())
        return true;
    return request.isProbe ? this->coldStartLimiter.mayStartProbe() : this->coldStartLimiter.mayStart(request.flow);
}

} // namespace wasabicroft
