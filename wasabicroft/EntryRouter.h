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
    size_t maxOffers = 4; // upstreams that one flow is offered to before its client's next copy of the SYN
    Milliseconds offerTimeout { 60 }; // above a round trip between failure domains and an upstream's handshake
    Milliseconds downHold { 300 }; // before an upstream that its agent reported as down is asked again
    size_t homes = 3; // upstreams that a flow prefers by its hash
    unsigned maxAsks = 2; // of a search, before the upstreams get the packet: questions may be lost
    Milliseconds unsureHold { 1000 }; // an agent that is unsure of a flow is not asked for others
    unsigned maxFinds = 2; // searches for the holder of one flow within findWindow
    Milliseconds findWindow { 2000 };
    Milliseconds findStageTimeout { 60 }; // for the answers of agents in another failure domain
    Milliseconds unlistedTimeout { 120 }; // for the answers of agents that left the list: two stages
    Milliseconds findTimeout { 300 }; // packets of a flow wait this long for its holder; clients retransmit then
    size_t maxWaitingPackets = 16; // of a flow: one client window
    size_t maxHeldBytes = 1024 * 1024; // packets that wait for the first routes
    Milliseconds holdLimit { 1400 }; // a client gives up opening a flow after this time
    Milliseconds flowIdleLimit { 60000 }; // flows without packets are forgotten
    double findRate = 1000000; // bytes a second of packets to possible holders: two thirds of a small machine's link
    Milliseconds agentSilence { 250 }; // an agent that was asked and stays silent for this long; above round trips
    Milliseconds isolationDelay { 250 }; // most agents are silent, also to probes, for this long
    Milliseconds isolationProbeInterval { 100 };
    size_t isolationProbes = 6; // agents asked in one interval
    size_t isolationShare = 3; // silent agents for each that answers; a failure domain of three may be cut off
    double loadReportRate = 4000; // bytes a second of load reports from all agents: two thirds of the control budget
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
    uint64_t held = 0; // packets that waited for the first routes
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
        bool answered = false; // the agent
        bool hasPacket = false; // it got the packet
        bool denied = false; // its upstream doesn't hold the flow
    };

    std::vector<uint8_t> packet;
    std::vector<Target> targets; // homes of the flow first
    unsigned asks = 0; // times that the agents were asked for the flow, without the packet
    TimePoint started;
    bool asksAll = false; // every upstream that may hold the flow was known when it began

    Target* find(PacketAddress agent);
    bool hasPackets() const; // every target has the packet or has denied
    bool isAnsweredByAll() const; // by the agent of every listed target
    bool isDeniedByListed() const; // by every listed target
    bool isDeniedByAll() const;
    bool awaitsUpstream() const; // one that got the packet
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
    void sendAsks(); // after each batch of datagrams: searches of one batch share their messages
    void onTick(); // every few milliseconds

    bool isServing() const; // has routes of the store, an upstream that takes new flows, and answers of agents
    bool isIsolated() const { return this->isolated; } // hardly an agent that was asked answers
    uint64_t routesVersion() const { return this->routes ? this->routes->version : 0; }
    size_t openFlows() const { return this->flows.size(); }
    uint64_t flowEvictions() const { return this->flows.evictions(); }
    const EntryRouterCounters& counters() const { return this->counts; }
    const Suspicion& suspicion() const { return this->placement.suspicion(); }

private:
    enum class OfferState : uint8_t { Pending, Accepted, Refused, TimedOut };

    struct Offer {
        UpstreamId upstream;
        PacketAddress agent;
        OfferState state = OfferState::Pending;
        TimePoint sent;
        uint32_t upstreamSequence = 0; // once accepted
    };

    struct Flow {
        ServiceId service;
        std::vector<Offer> offers;
        std::vector<uint8_t> syn; // until the flow is open
        std::optional<PacketAddress> holder; // agent beside the upstream that holds the flow
        std::vector<std::vector<uint8_t>> waiting; // packets that wait for the holder
        TimePoint firstFind; // of the current window
        unsigned finds = 0; // in the current window
        std::optional<HolderSearch> search; // in progress
        uint32_t lastAcknowledgement = 0; // of the client
    };

    // An offer that times out.
    struct Pending {
        FlowKey flow;
        UpstreamId upstream;
        TimePoint due;
    };

    struct Held {
        Packet packet;
        std::vector<uint8_t> bytes;
        TimePoint received;
    };

    void hold(const Packet&, Bytes, TimePoint received);
    void releaseHeld();
    void releaseHeldSyns(const std::deque<Held>&);
    void route(const Packet&, Bytes, TimePoint received);
    void openFlow(const FlowKey&, Bytes syn);
    ServiceId chooseService(const Route&);
    bool offerNext(const FlowKey&, Flow&, std::string_view cause);
    void sendOffer(const FlowKey&, Flow&, Offer&);
    void noteAsked(PacketAddress agent);
    void checkIsolation();
    void probeAgents();
    Milliseconds noteReporter(PacketAddress agent);
    void sendPacket(PacketAddress agent, HopKind, const FlowKey&, ServiceId, Bytes);
    Offer* findOffer(Flow&, PacketAddress agent);
    void refuse(const FlowKey&, uint32_t sequence, std::string_view cause);
    void continueFlow(const FlowKey&, const Packet&, Bytes);
    const Offer* acceptedOffer(const Flow&, uint32_t acknowledgement) const;
    void setHolder(const FlowKey&, Flow&, PacketAddress agent);
    void forward(const FlowKey&, const Flow&, Bytes);
    void find(const FlowKey&, Flow&, Bytes, std::optional<PacketAddress> except);
    std::vector<HolderCandidate> possibleHolders(const FlowKey&, Flow&, std::optional<PacketAddress> except) const;
    void continueSearch(const FlowKey&, Flow&);
    void askAgents(const FlowKey&, HolderSearch&);
    void sendFinds(const FlowKey&, Flow&);
    void onKnown(PacketAddress agent, std::span<const FlowKey>);
    void onUnsure(PacketAddress agent, std::span<const FlowKey>);
    void onSearchAnswer(const FlowKey&, Flow&);
    void endFailedSearch(const FlowKey&, Flow&);
    void waitForHolder(const FlowKey&, Flow&, Bytes);
    void expireSearches();
    void expirePending();
    bool takeFindTokens(size_t bytes);
    void onAccepted(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onRefused(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onNotHeld(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onDenied(const FlowKey&, Flow&, PacketAddress agent);
    void onGone(const FlowKey&, PacketAddress agent, const HopMessage&);
    void resetLost(const FlowKey&, const Flow&, std::string_view cause);
    void noteLoad(PacketAddress agent, const HopMessage&);

    EntryRouterOptions options;
    EntryRouterHooks hooks;
    const Clock& clock;
    std::mt19937_64 random;
    Placement placement;
    std::shared_ptr<const RoutingTable> routes;
    bool isProvisional = false;
    bool hasUpstreams = false;
    bool directoryIsComplete = false; // no entry is missing because of an outage of the store
    uint64_t directoryRevision = 0;
    bool takesFlows = false; // an upstream takes new flows
    std::map<ServiceId, std::vector<HolderCandidate>> holders;
    std::map<PacketAddress, UpstreamId> upstreamByAgent;
    std::unordered_map<UpstreamId, PacketAddress> agentByUpstream;
    std::map<PacketAddress, uint16_t> slotsByAgent; // of upstreams that take new flows
    FlowTable<Flow> flows;
    std::deque<Pending> pending; // ordered by due
    std::multimap<TimePoint, FlowKey> searches; // by due
    std::map<PacketAddress, std::vector<FlowKey>> asks; // to be sent, by agent
    std::map<PacketAddress, TimePoint> unsureUntil; // by agent
    std::map<PacketAddress, TimePoint> reporters; // agents that send load reports, with the time of the last offer
    std::map<PacketAddress, TimePoint> askedSince; // agents of such upstreams that have not answered since
    std::map<PacketAddress, TimePoint> heardAt; // agents, within the agent silence
    std::optional<TimePoint> mostSilentSince; // most agents that were asked
    TimePoint nextProbe;
    bool isolated = false;
    std::deque<Held> held;
    size_t heldBytes = 0;
    double findTokens = 0;
    TimePoint findTokensAt;
    EntryRouterCounters counts;
};

} // namespace wasabicroft
