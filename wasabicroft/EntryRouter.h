// Decisions of an entry about the packets of client flows: which upstream a new flow is offered to, which upstream
// holds an open flow, and what is refused. No I/O.
//
// A new flow is offered to one upstream at a time until one accepts. The upstream is the authority on the flows that it
// holds; the table here is a cache. When the cache has no entry, the agents beside all upstreams that may hold the flow
// are asked. Upstreams whose agents are unsure or silent get a packet of the flow: first its homes, which its hash
// selects, then the others. Further packets of the flow wait for the answer.
//
// Index
//   [SECTION] Options and counters
//   [SECTION] EntryRouter
#pragma once

#include "wasabicroft/Placement.h"
#include "wasabicroft/Published.h"

#include <deque>
#include <map>
#include <random>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and counters
//-----------------------------------------------------------------------------

struct EntryRouterOptions {
    std::string failureDomain; // of this entry
    uint16_t agentPort = 0; // where agents take hop messages, at their upstream's IP address
    size_t maxFlows = 131072; // remembered flows; the least recently used one is forgotten when full
    size_t maxOffersPerSyn = 4; // upstreams that one flow is offered to before its client's next copy of the SYN
    Milliseconds offerTimeout { 60 }; // above a round trip between failure domains and an upstream's handshake
    Milliseconds downRetryDelay { 300 }; // before an upstream that its agent reported as down is asked again
    size_t preferredUpstreams = 3; // upstreams that a flow prefers by its hash
    unsigned maxAskRounds = 2; // of a search, before the upstreams get the packet: questions may be lost
    Milliseconds unsureRetryDelay { 1000 }; // an agent that is unsure of a flow is not asked for others
    unsigned maxSearches = 2; // searches for the holder of one flow within findWindow
    Milliseconds searchWindow { 2000 };
    Milliseconds searchStageTimeout { 60 }; // for the answers of agents in another failure domain
    Milliseconds unlistedTimeout { 120 }; // for the answers of agents that left the list: two stages
    Milliseconds searchTimeout { 300 }; // packets of a flow wait this long for its holder; clients retransmit then
    size_t maxWaitingPacketsPerFlow = 16; // of a flow: one client window
    size_t maxBufferedBytes = 1024 * 1024; // packets that wait for the first routes
    Milliseconds maxBufferTime { 1400 }; // a client gives up opening a flow after this time
    Milliseconds flowIdleTimeout { 60000 }; // flows without packets are forgotten
    double findBytesPerSecond
        = 1000000; // bytes a second of packets to possible holders: two thirds of a small machine's link
    Milliseconds agentSilenceTimeout {
        250
    }; // an agent that was asked and stays silent for this long; above round trips
    Milliseconds isolationDelay { 250 }; // most agents are silent, also to probes, for this long
    Milliseconds isolationProbeInterval { 100 };
    size_t maxIsolationProbes = 6; // agents asked in one interval
    size_t isolationSilentRatio = 3; // silent agents for each that answers; a failure domain of three may be cut off
    double loadReportBytesPerSecond
        = 4000; // bytes a second of load reports from all agents: two thirds of the control budget
    double connectionCost = 0.02; // expected share of a slot that an open flow uses
    double remotePenalty = 0.25; // see PlacementOptions
    uint64_t seed = 1;
};

struct EntryRouterCounters {
    uint64_t packets = 0; // from clients
    uint64_t offers = 0;
    uint64_t forwarded = 0;
    uint64_t finds = 0; // packets whose holder was unknown
    uint64_t findCopies = 0; // datagrams sent for them
    uint64_t asks = 0; // messages that ask agents for flows
    uint64_t findsLimited = 0; // not sent because of a limit
    uint64_t offerTimeouts = 0;
    uint64_t refusedOffers = 0;
    uint64_t resets = 0;
    uint64_t buffered = 0; // packets that waited for the first routes
    uint64_t dropped = 0; // packets that could go nowhere
    uint64_t notHeld = 0; // forwarded packets that came back
};

//-----------------------------------------------------------------------------
// [SECTION] EntryRouter
//-----------------------------------------------------------------------------

struct EntryRouterHooks {
    std::function<void(PacketAddress agent, const HopMessage&)> sendHop;
    std::function<void(const FlowKey&, uint32_t sequence)> sendReset; // to the client
};

// An upstream that may hold a flow.
struct HolderCandidate {
    UpstreamId upstream;
    PacketAddress agent;
    bool listed = true; // else its entry was removed; it may still hold flows
};

// A search for the holder of a flow.
struct HolderSearch {
    struct Target {
        PacketAddress agent;
        bool listed = true; // see HolderCandidate
        bool agentAnswered = false; // the agent
        bool packetSent = false; // it got the packet
        bool denied = false; // its upstream doesn't hold the flow
    };

    std::vector<uint8_t> packet;
    std::vector<Target> targets; // homes of the flow first
    unsigned askRounds = 0; // times that the agents were asked for the flow, without the packet
    TimePoint started;
    bool coversAllUpstreams = false; // every upstream that may hold the flow was known when it began

    Target* find(PacketAddress agent);
    bool isPacketSentToAll() const; // every target has the packet or has denied
    bool isAnsweredByAll() const; // by the agent of every listed target
    bool isDeniedByAllListed() const; // by every listed target
    bool isDeniedByAll() const;
    bool awaitsUpstreamReply() const; // one that got the packet
};

class EntryRouter {
public:
    EntryRouter(EntryRouterOptions, EntryRouterHooks, const Clock&);

    // Provisional routes come from agents while the store is away: what they lack waits for the store and is not
    // refused.
    void setRoutes(std::shared_ptr<const RoutingTable>, bool provisional = false);
    void setUpstreams(const UpstreamDirectory&); // after each change of the directory, and of its completeness

    void onClientPacket(const Packet&, Bytes);
    // packet is the decoded header of the message's packet, if it carries one.
    void onHop(PacketAddress agent, const HopMessage&, const Packet* packet);
    void flushAsks(); // after each batch of datagrams: searches of one batch share their messages
    void onTick(); // every few milliseconds

    bool isServing() const; // has routes of the store, an upstream that takes new flows, and answers of agents
    bool isIsolated() const { return this->isolated; } // hardly an agent that was asked answers
    uint64_t routesVersion() const { return this->routes ? this->routes->version : 0; }
    size_t openFlows() const { return this->flows.size(); }
    uint64_t flowEvictions() const { return this->flows.evictions(); }
    const EntryRouterCounters& counters() const { return this->counts; }
    const OutlierDetector& outlierDetector() const { return this->placement.outlierDetector(); }

private:
    enum class OfferState : uint8_t { Pending, Accepted, Refused, TimedOut };

    struct Offer {
        UpstreamId upstream;
        PacketAddress agent;
        OfferState state = OfferState::Pending;
        TimePoint sentAt;
        uint32_t upstreamSequence = 0; // once accepted
    };

    struct Flow {
        ServiceId service;
        std::vector<Offer> offers;
        std::vector<uint8_t> syn; // until the flow is open
        std::optional<PacketAddress> holder; // agent beside the upstream that holds the flow
        std::vector<std::vector<uint8_t>> waiting; // packets that wait for the holder
        TimePoint searchWindowStart; // of the current window
        unsigned searchCount = 0; // in the current window
        std::optional<HolderSearch> search; // in progress
        uint32_t lastAcknowledgement = 0; // of the client
    };

    // An offer that times out.
    struct PendingOffer {
        FlowKey flow;
        UpstreamId upstream;
        TimePoint due;
    };

    struct BufferedPacket {
        Packet packet;
        std::vector<uint8_t> bytes;
        TimePoint received;
    };

    void bufferPacket(const Packet&, Bytes, TimePoint received);
    void releaseBuffered();
    void releaseBufferedSyns(const std::deque<BufferedPacket>&);
    void routePacket(const Packet&, Bytes, TimePoint received);
    void openFlow(const FlowKey&, Bytes syn);
    ServiceId chooseService(const Route&);
    bool offerToNextUpstream(const FlowKey&, Flow&, std::string_view cause);
    void sendOffer(const FlowKey&, Flow&, Offer&);
    void expectReply(PacketAddress agent);
    void updateIsolation();
    void probeAgents();
    Milliseconds addLoadReporter(PacketAddress agent);
    void sendPacket(PacketAddress agent, HopKind, const FlowKey&, ServiceId, Bytes);
    Offer* findOffer(Flow&, PacketAddress agent);
    void refuseFlow(const FlowKey&, uint32_t sequence, std::string_view cause);
    void onFlowPacket(const FlowKey&, const Packet&, Bytes);
    const Offer* acceptedOffer(const Flow&, uint32_t acknowledgement) const;
    void setHolder(const FlowKey&, Flow&, PacketAddress agent);
    void forward(const FlowKey&, const Flow&, Bytes);
    void startSearch(const FlowKey&, Flow&, Bytes, std::optional<PacketAddress> except);
    std::vector<HolderCandidate> possibleHolders(const FlowKey&, Flow&, std::optional<PacketAddress> except) const;
    void continueSearch(const FlowKey&, Flow&);
    void askAgents(const FlowKey&, HolderSearch&);
    void sendFinds(const FlowKey&, Flow&);
    void onKnown(PacketAddress agent, std::span<const FlowKey>);
    void onUnsure(PacketAddress agent, std::span<const FlowKey>);
    void onSearchAnswer(const FlowKey&, Flow&);
    void endFailedSearch(const FlowKey&, Flow&);
    void queueForHolder(const FlowKey&, Flow&, Bytes);
    void processSearchTimers();
    void expirePendingOffers();
    bool tryTakeFindTokens(size_t bytes);
    void onAccepted(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onRefused(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onNotHeld(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onDenied(const FlowKey&, Flow&, PacketAddress agent);
    void onGone(const FlowKey&, PacketAddress agent, const HopMessage&);
    void resetLostFlow(const FlowKey&, const Flow&, std::string_view cause);
    void updateLoad(PacketAddress agent, const HopMessage&);

    EntryRouterOptions options;
    EntryRouterHooks hooks;
    const Clock& clock;
    std::mt19937_64 random;
    Placement placement;
    std::shared_ptr<const RoutingTable> routes;
    bool hasProvisionalRoutes = false;
    bool hasUpstreamList = false;
    bool directoryIsComplete = false; // no entry is missing because of an outage of the store
    uint64_t directoryRevision = 0;
    bool hasUsableUpstream = false; // an upstream takes new flows
    std::map<ServiceId, std::vector<HolderCandidate>> holders;
    std::map<PacketAddress, UpstreamId> upstreamByAgent;
    std::unordered_map<UpstreamId, PacketAddress> agentByUpstream;
    std::map<PacketAddress, uint16_t> slotsByAgent; // of upstreams that take new flows
    FlowTable<Flow> flows;
    std::deque<PendingOffer> pendingOffers; // ordered by due
    std::multimap<TimePoint, FlowKey> searchTimers; // by due
    std::map<PacketAddress, std::vector<FlowKey>> queuedAsks; // to be sent, by agent
    std::map<PacketAddress, TimePoint> unsureUntil; // by agent
    std::map<PacketAddress, TimePoint> loadReporters; // agents that send load reports, with the time of the last offer
    std::map<PacketAddress, TimePoint> unansweredSince; // agents of such upstreams that have not answered since
    std::map<PacketAddress, TimePoint> lastReplies; // agents, within the agent silence
    std::optional<TimePoint> mostSilentSince; // most agents that were asked
    TimePoint nextProbe;
    bool isolated = false;
    std::deque<BufferedPacket> buffered;
    size_t bufferedBytes = 0;
    double findTokens = 0;
    TimePoint findTokensUpdated;
    EntryRouterCounters counts;
};

} // namespace wasabicroft
