// Routes the packets of client flows at an entry: chooses an upstream for a new flow, finds the upstream that holds an
// open flow, and refuses flows that can't be served. No I/O.
//
// A new flow is offered to one upstream at a time until one accepts. The upstream is the authority on the flows that it
// holds; the flow table here is a cache. If it lacks a flow, the agents of all upstreams that may hold the flow are
// asked. Upstreams whose agents are unsure or silent get a packet of the flow: first its preferred upstreams, which its
// hash selects, then the others. Further packets of the flow wait until its holder is found, also for an agent that is
// silent. Other entries are asked, too: the upstream that one of them names is tried alone at first. An entry whose
// list of upstreams is behind that of another one lets that one find the holder.
//
// Index
//   [SECTION] Options and counters
//   [SECTION] EntryRouter
#pragma once

#include "wasabicroft/ColdStart.h"
#include "wasabicroft/Directive.h"
#include "wasabicroft/FlowExplanation.h"
#include "wasabicroft/FlowSequences.h"
#include "wasabicroft/HolderSearch.h"
#include "wasabicroft/LinkBudget.h"
#include "wasabicroft/OverloadPolicy.h"
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
    std::string failureDomain; // failure domain of this entry
    uint32_t hopAddress = 0; // address of this entry for hop messages, by which others know it
    uint16_t agentPort = 0; // port for hop messages of agents, at the IP addresses of their upstreams
    size_t maxFlows = 131072; // size of the flow table; the least recently used flow is evicted when it is full
    size_t maxOffersPerSyn = 4; // upstreams that a flow is offered to for one copy of its SYN
    Milliseconds offerTimeout { 60 }; // longer than a round trip between failure domains plus an upstream's handshake
    Milliseconds downRetryDelay { 300 }; // before an upstream that refused as down or of another service is asked again
    size_t preferredUpstreams = 3; // upstreams that a flow prefers by its hash
    unsigned maxAskRounds = 2; // rounds of Ask messages, which may be lost, before upstreams get the packet
    Milliseconds unsureRetryDelay { 1000 }; // an agent that is unsure of a flow is not asked about others for this long
    unsigned maxSearches = 2; // searches for the holder of one flow within searchWindow
    Milliseconds searchWindow { 2000 };
    Milliseconds searchStageTimeout { 60 }; // for the answers of agents in another failure domain
    Milliseconds unlistedTimeout { 120 }; // for the answers of agents whose upstreams were removed: two stages
    Milliseconds searchTimeout { 300 }; // later, the next packet of the client starts another search
    Milliseconds lateDenialTime { 100 }; // denials of the packets of an earlier flow have arrived after this time
    Milliseconds packetWait { 1600 }; // for a silent agent: the longest interval between a client's retransmissions
    Milliseconds listWaitInterval { 50 }; // between checks whether the list covers all upstreams by now
    Milliseconds silentAgentInterval { 100 }; // between questions to silent agents while a packet waits for them
    size_t maxAskedPeers = 16; // other entries that are asked for the holder of a flow
    size_t maxHandOverFlows = 16384; // the latest ones: 200 KB to each receiver
    size_t maxHandOverPeers = 2; // other entries that get the flow table of one that stops; the first of those asked
    size_t maxWaitingSearches = 4096; // searches whose packets wait for silent agents
    Milliseconds hintPatience { 1000 }; // for the agent that another entry named: longer than it takes to restart
    Milliseconds delegationTimeout { 300 }; // for an entry that is to find a holder: as long as its search may take
    size_t maxWaitingPacketsPerFlow = 16; // one client window
    size_t maxBufferedBytes = 1024 * 1024; // of packets that wait for the first routes
    Milliseconds maxBufferTime { 1400 }; // a client gives up opening a flow after this time
    Milliseconds flowIdleTimeout { 60000 }; // flows without packets for longer are removed
    unsigned maxPacketRounds = 3; // times that upstreams get the packet of a search: it or their reply may be lost
    LinkBudgetOptions link; // this entry's network link
    size_t minSearchTargets = 4; // upstreams of a failure domain that get the packet of a search through one of them
    Milliseconds agentSilenceTimeout { 250 }; // an agent that has not replied for longer is silent; above round trips
    Milliseconds isolationDelay { 250 }; // how long most agents are silent, to probes too, before the entry is isolated
    Milliseconds isolationProbeInterval { 100 };
    size_t maxIsolationProbes = 6; // agents probed per interval
    size_t isolationSilentRatio = 3; // silent agents per replying one; one of three failure domains may be cut off
    double loadReportBytesPerSecond = 4000; // of load reports from all agents: two thirds of the control budget
    double connectionCost = 0.02; // expected share of a slot that an open flow uses, until it is measured
    bool measuresConnectionCost = true; // see PlacementOptions
    bool weighsSpeed = true; // see PlacementOptions
    double nonPreferredPenalty = 2; // see PlacementOptions
    double remotePenalty = 0.25; // see PlacementOptions
    DirectiveOptions directives;
    bool excludesEvacuated = true; // false: evacuation orders have no effect, for comparison
    Milliseconds rejoinDuration { 10000 }; // see PlacementOptions
    FlowAdmissionOptions admission;
    OverloadMonitorOptions overload;
    Milliseconds lateFlowInterval { 250 }; // new flows that can't be answered in time come more often under overload
    uint64_t seed = 1;
};

struct EntryRouterCounters {
    uint64_t packets = 0; // from clients
    uint64_t offers = 0;
    uint64_t forwarded = 0;
    uint64_t finds = 0; // searches for the holder of a flow
    uint64_t findCopies = 0; // Find messages sent
    uint64_t findCopiesBesideSilent = 0; // of these, while the agent of another possible holder had not answered
    uint64_t relayedSearches = 0; // Search messages sent, each for several of these copies
    uint64_t asks = 0; // Ask messages sent, to agents and entries
    uint64_t hints = 0; // flows whose holder another entry named
    uint64_t findsLimited = 0; // packets and searches that had to wait because of a limit
    uint64_t searchBytes = 0; // of Find and Ask messages, with IP and UDP headers
    uint64_t searchesShed = 0; // searches that did not start because the link is busy
    std::array<uint64_t, searchScopeNames.size()> searchesWithoutResult {}; // by SearchScope
    uint64_t delegated = 0; // packets handed to another entry, which finds their holder
    uint64_t delegatedByOthers = 0; // such packets from other entries
    uint64_t offerTimeouts = 0;
    uint64_t refusedOffers = 0;
    uint64_t resets = 0;
    uint64_t refusedEvacuated = 0; // of these, new flows of services whose upstreams are evacuated
    uint64_t buffered = 0; // packets that waited for the first routes
    uint64_t dropped = 0; // packets that could not be delivered
    uint64_t notHeld = 0; // forwarded packets that the upstream did not hold
    uint64_t directives = 0; // Directive messages sent to agents
};

// How far an entry has told the agents of an evacuated domain.
struct EvacuationProgress {
    std::string domain;
    size_t agents = 0; // of listed upstreams
    size_t directedAgents = 0; // of these, sent a directive since the order came into force at this entry
};

//-----------------------------------------------------------------------------
// [SECTION] EntryRouter
//-----------------------------------------------------------------------------

struct EntryRouterHooks {
    std::function<void(PacketAddress receiver, const HopMessage&)> sendHop; // to an agent or another entry
    std::function<void(const FlowKey&, uint32_t sequence)> sendReset; // to the client
    // How long ago the evacuation orders were confirmed; empty: never. See EvacuationConfirmation.
    std::function<std::optional<Duration>()> evacuationAge = [] { return Duration::zero(); };
};

class EntryRouter {
public:
    EntryRouter(EntryRouterOptions, EntryRouterHooks, const Clock&);

    // Provisional routes come from agents while the store is unreachable: flows to an address without a route wait for
    // the store and are not refused.
    void setRoutes(std::shared_ptr<const RoutingTable>, bool provisional = false);
    void setUpstreams(const UpstreamDirectory&); // call after each change of the directory or its completeness
    void setEvacuations(EvacuationOrders); // call after each change, before setUpstreams
    std::vector<EvacuationProgress> evacuationProgress() const; // by domain
    void setBehindPeers(bool isBehind) { this->isBehindPeers = isBehind; } // other entries have a newer directory
    // An entry whose list has upstreams that this one lacks, by its address for hop messages; empty: none is known, or
    // this one lacks none.
    void setDelegate(std::optional<PacketAddress> entry) { this->delegate = entry; }

    // Other entries, by their addresses for hop messages: they may know the holders of flows that this one searches,
    // and share with it what cold upstreams bear.
    void setPeers(std::vector<PacketAddress> entries);

    void limitColdStarts(bool isEnabled) { this->coldUpstreams.setEnabled(isEnabled); }
    const ColdUpstreams& cold() const { return this->coldUpstreams; }

    void onClientPacket(const Packet&, Bytes);
    // A packet from another entry, whose list is behind. It is told the holder.
    void onDelegatedPacket(PacketAddress entry, const Packet&, Bytes);
    // packet is the decoded header of the packet in the message; null if it carries none.
    void onHop(PacketAddress agent, const HopMessage&, const Packet* packet);
    void flushAsks(); // call after each batch of datagrams: searches of one batch share their messages
    void onTick(); // call every few milliseconds

    void handOver(); // call before the process ends: other entries learn which agents hold the flows

    // What would happen now to the first SYN of a flow that this entry has not seen. Asking changes nothing.
    FlowExplanation explainFlow(const FlowKey&) const;

    bool isServing() const; // has routes of the store, a usable upstream, and replies of agents
    // Whether a search ended without result because an agent is silent whose upstream may return to the list; true
    // once.
    bool takeUnresolvedRemoval() { return std::exchange(this->hasUnresolvedRemoval, false); }
    bool isIsolated() const { return this->isolated; } // most agents are silent
    uint64_t routesVersion() const { return this->routes ? this->routes->version : 0; }
    size_t trackedFlows() const { return this->flows.size(); }
    uint64_t flowEvictions() const { return this->flows.evictions(); }
    const EntryRouterCounters& counters() const { return this->counts; }
    const OverloadCounts& overloadCounts() const { return this->refusedFlows; }
    bool isOverloaded() const { return this->overload.isOverloaded(); }
    const OutlierDetector& outlierDetector() const { return this->placement.outlierDetector(); }

private:
    enum class OfferState : uint8_t { Pending, Accepted, Refused, TimedOut };

    struct Offer {
        UpstreamId upstream;
        PacketAddress agent;
        ServiceId service; // of the flow at that time
        OfferState state = OfferState::Pending;
        TimePoint sentAt;
        uint32_t upstreamSequence = 0; // once accepted
        unsigned round = 0; // each starts with a copy of the SYN; see Flow::offerRound
    };

    struct Flow {
        ServiceId service;
        uint64_t serviceVersion = 0; // version of the routes by which the service was chosen
        std::vector<Offer> offers; // one per upstream; those of earlier rounds may still be answered
        unsigned offerRound = 0;
        std::vector<uint8_t> syn; // SYN of the client, until the flow is open
        std::optional<PacketAddress> holder; // agent of the upstream that holds the flow
        std::vector<std::vector<uint8_t>> waiting; // packets that wait for the holder
        TimePoint searchWindowStart;
        unsigned searchCount = 0; // searches in the current window
        std::optional<HolderSearch> search; // search in progress
        std::optional<TimePoint> searchedSince; // start of the first of the searches in series
        std::set<PacketAddress> returnedBy; // agents of upstreams that returned a packet: they don't hold the flow
        TimePoint deniableSince = TimePoint::min(); // earlier denials may be of the client's former flow
        bool searchesAll = false; // the next search asks upstreams of all services, since a narrower one failed
        std::optional<TimePoint> lastUse; // when the client sent a packet other than a SYN while the holder was unknown
        std::optional<TimePoint> delegatedUntil; // another entry is to find the holder by then
        std::optional<PacketAddress> delegator; // the entry that waits for the holder
        uint32_t lastAcknowledgement = 0; // of the client's packets
        FlowSequences sequences; // of packets that came to this entry
    };

    // The listed upstream beside an agent.
    struct ListedUpstream {
        ServiceId service;
        std::optional<UpstreamFigures> figures; // empty: not known
        std::string failureDomain;
        UpstreamId id;
        std::string name;
    };

    // Timeout of an offer.
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
    void openFlow(const FlowKey&, const Packet&, Bytes syn);
    void forgetEarlierFlow(const FlowKey&, const Packet& syn);
    static ServiceId chooseService(const Route&, std::mt19937_64& random);
    bool updateService(const FlowKey&, Flow&);
    std::vector<UpstreamId> candidatesOf(const FlowKey&, const Flow&);
    void demoteLate(const FlowKey&, std::vector<UpstreamId>& candidates) const;
    bool isTooLate(const FlowKey&, UpstreamId) const;
    bool areAllTooLate(const FlowKey&, const std::vector<UpstreamId>& candidates) const;
    std::string_view causeWithoutUpstream(ServiceId) const;
    ServiceExplanation explainService(const FlowKey&, const RouteShare&, std::mt19937_64 random) const;
    UpstreamExplanation explainUpstream(const PlacementExplanation&) const;
    void explainUnusable(ServiceExplanation&) const;
    bool refusesForOverload(const FlowKey&, const std::vector<UpstreamId>& candidates, const Packet& syn);
    bool offerToNextUpstream(const FlowKey&, Flow&, std::string_view cause);
    bool offerToNextOf(const std::vector<UpstreamId>& candidates, const FlowKey&, Flow&, std::string_view cause);
    void sendOffer(const FlowKey&, Flow&, Offer&);
    void expectReply(PacketAddress agent);
    void updateIsolation();
    void probeAgents();
    Milliseconds addLoadReporter(PacketAddress agent);
    void announceDrains(const UpstreamDirectory&, const std::map<PacketAddress, ListedUpstream>& before);
    void sendHop(PacketAddress agent, const HopMessage&, size_t chargedBytes = 0);
    void sendDirective(PacketAddress agent);
    void sendQueuedDirectives();
    void updateRefreshes();
    void sendDirectiveBeforeOffer(PacketAddress agent);
    void sendPacket(PacketAddress agent, HopKind, const FlowKey&, ServiceId, Bytes);
    bool isInUse(const Flow&) const;
    bool isEvacuated(const UpstreamRecord&) const;
    Offer* findOffer(Flow&, PacketAddress agent);
    static size_t offersInRound(const Flow&);
    void refuseFlow(const FlowKey&, uint32_t sequence, std::string_view cause);
    void onFlowPacket(const FlowKey&, const Packet&, Bytes);
    const Offer* acceptedOffer(const Flow&, uint32_t acknowledgement) const;
    void setHolder(const FlowKey&, Flow&, PacketAddress agent);
    void forgetHolder(const FlowKey&, Flow&, std::string_view cause);
    void forward(const FlowKey&, const Flow&, Bytes);
    void startSearch(const FlowKey&, Flow&, Bytes, std::optional<PacketAddress> excluded);
    void setScope(HolderSearch&, SearchScope) const;
    bool widenScope(const FlowKey&, Flow&, SearchScope);
    void repeatSearch(const FlowKey&, Flow&);
    void extendToRoute(const FlowKey&, Flow&);
    std::vector<HolderCandidate> offeredUpstreams(const Flow&) const;
    std::vector<HolderCandidate> possibleHolders(
        const FlowKey&, Flow&, SearchScope, std::optional<PacketAddress> excluded) const;
    void continueSearch(const FlowKey&, Flow&);
    void searchWithPacket(const FlowKey&, Flow&);
    bool isSilentFor(PacketAddress agent, Milliseconds duration) const;
    bool keepsPacket(const Flow&) const;
    void waitForSilentAgents(const FlowKey&, Flow&);
    void scheduleSearch(const FlowKey&, HolderSearch&, Milliseconds delay);
    void updateListings(HolderSearch&) const;
    bool canDelegate(const Flow&) const;
    void delegateSearch(const FlowKey&, Flow&);
    void endDelegation(const FlowKey&, Flow&);
    void sendToDelegate(Bytes);
    void onLocated(PacketAddress entry, PacketAddress holder, std::span<const FlowKey>);
    void onHint(const FlowKey&, Flow&, PacketAddress source, PacketAddress agent);
    void answerPeer(PacketAddress entry, std::span<const FlowKey>);
    void sendLocated(PacketAddress entry, const std::map<PacketAddress, std::vector<FlowKey>>& keysByHolder);
    void rememberHint(const FlowKey&, PacketAddress agent);
    void reportToDelegator(const FlowKey&, Flow&);
    void askAgents(const FlowKey&, HolderSearch&);
    uint64_t queueQuestions(const FlowKey&, HolderSearch&);
    bool followsHint(const Flow&) const;
    std::vector<HolderSearch::Target*> nextReceivers(const Flow&, HolderSearch&) const;
    void sendFinds(const FlowKey&, Flow&);
    std::optional<PacketAddress> chooseRelay(const std::vector<const HolderSearch::Target*>&) const;
    void sendSearch(PacketAddress relay, const FlowKey&, const Flow&, const std::vector<const HolderSearch::Target*>&);
    HopMessage makeMessage(PacketAddress agent, HopKind, const FlowKey&, ServiceId, Bytes) const;
    void onKnown(PacketAddress agent, std::span<const FlowKey>);
    void onUnsure(PacketAddress agent, std::span<const FlowKey>);
    void onSearchAnswer(const FlowKey&, Flow&);
    void endFailedSearch(const FlowKey&, Flow&);
    void awaitList(const FlowKey&, Flow&);
    bool isConclusive(const HolderSearch&) const;
    void endDeniedSearches();
    void abandonSearch(const FlowKey&, Flow&);
    void dropWaiting(Flow&);
    void queueForHolder(const FlowKey&, Flow&, Bytes);
    void processSearchTimers();
    void expirePendingOffers();
    void updateOverload();
    void logShedSearches();
    void onAccepted(const FlowKey&, PacketAddress agent, const HopMessage&);
    void onRefused(const FlowKey&, PacketAddress agent, const HopMessage&, const Packet& syn);
    void onNotHeld(const FlowKey&, PacketAddress agent, const HopMessage&, const Packet*);
    void onDenied(const FlowKey&, Flow&, PacketAddress agent, HopRefusal);
    void onGone(const FlowKey&, PacketAddress agent, const HopMessage&);
    void resetLostFlow(const FlowKey&, const Flow&, std::string_view cause);
    void updateLoad(PacketAddress agent, const HopMessage&);

    EntryRouterOptions options;
    EntryRouterHooks hooks;
    const Clock& clock;
    std::mt19937_64 random;
    ColdUpstreams coldUpstreams;
    Placement placement;
    FlowAdmission admission;
    OverloadMonitor overload;
    OverloadCounts refusedFlows;
    std::optional<TimePoint> lastLateFlow; // the last new flow that no upstream could answer in time
    Milliseconds lastExpectedAnswer { 0 }; // of this flow
    std::shared_ptr<const RoutingTable> routes;
    bool hasProvisionalRoutes = false;
    bool hasUpstreamList = false;
    bool directoryIsComplete = false; // no record is missing because of an outage of the store
    bool directoryAwaitsPeers = false; // entries that run are about to state whether it is complete
    bool isBehindPeers = false; // a listed upstream may be missing here
    std::optional<PacketAddress> delegate; // see setDelegate()
    std::vector<PacketAddress> peers; // see setPeers()
    bool hasUnresolvedRemoval = false; // see takeUnresolvedRemoval()
    uint64_t directoryRevision = 0;
    EvacuationOrders evacuations;
    DirectiveSchedule directives;
    bool hasOutdatedRefreshes = false; // upstreams or entries changed since updateRefreshes()
    TimePoint nextRefreshUpdate; // after such changes
    std::map<std::string, TimePoint> rejoinTimes; // when the orders for failure domains were withdrawn
    std::set<ServiceId> evacuatedServices; // services all of whose usable upstreams are evacuated
    std::set<UpstreamId> evacuatedUpstreams; // usable but for the orders
    bool hasUsableUpstream = false;
    std::map<ServiceId, std::vector<HolderCandidate>> holders;
    std::map<PacketAddress, Listing> listingByAgent; // of possible holders
    std::map<PacketAddress, UpstreamId> upstreamByAgent;
    std::unordered_map<UpstreamId, PacketAddress> agentByUpstream;
    std::set<PacketAddress> usableAgents; // agents of usable upstreams
    std::map<PacketAddress, ListedUpstream> listedByAgent;
    FlowTable<Flow> flows;
    FlowTable<PacketAddress>
        hints; // agents that hold flows which are not in the table, as they or other entries stated
    std::deque<PendingOffer> pendingOffers; // ordered by due time
    std::multimap<TimePoint, FlowKey> searchTimers; // ordered by due time
    std::vector<FlowKey> deniedSearches; // flows whose loss is certain only if entries that run confirm the list
    std::map<PacketAddress, std::vector<FlowKey>> queuedAsks; // flows to ask for, by agent
    std::map<PacketAddress, TimePoint> unsureUntil; // by agent
    std::map<PacketAddress, TimePoint> loadReporters; // last offer to each agent that sends load reports
    std::map<PacketAddress, TimePoint> unansweredSince; // oldest unanswered message to each agent of a usable upstream
    std::map<PacketAddress, TimePoint> lastReplies; // last reply of each agent, within agentSilenceTimeout
    std::optional<TimePoint> mostSilentSince; // when most agents that were asked became silent; empty otherwise
    TimePoint nextProbe;
    bool isolated = false;
    std::deque<BufferedPacket> buffered;
    size_t bufferedBytes = 0;
    LinkBudget linkBudget;
    uint64_t loggedSearchesShed = 0;
    TimePoint nextShedLog;
    EntryRouterCounters counts;
};

} // namespace wasabicroft
