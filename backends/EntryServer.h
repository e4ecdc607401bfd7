// The data path of an entry: listeners of all services, plain flows, and forwarding of session frames.
//
// Everything here belongs to the traffic thread, the one that runs the io_context.
//
// Index
//   [SECTION] Options
//   [SECTION] EntryServer
#pragma once

#include "backends/Link.h"
#include "backends/OperatorStatus.h"
#include "wasabicroft/Flow.h"
#include "wasabicroft/Membership.h"
#include "wasabicroft/Placement.h"

#include <boost/asio/steady_timer.hpp>
#include <queue>
#include <unordered_map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct EntryOptions {
    std::string name;
    std::string failureDomain;
    std::string listenAddress; // for all listeners; empty: the public address of each listener
    LinkOptions links;
    InitiatorOptions flows; // service, class, version, request id and retry hook are set for each flow
    OutlierDetectorOptions suspicion;
    size_t candidates = 2; // asked in turn before a flow waits
    size_t maxWaitUpstreams = 8; // most upstreams at which one flow waits
    size_t maxFlows = 200000; // open plain flows; further callers are refused
    Milliseconds userTimeout { 30000 }; // TCP_USER_TIMEOUT towards callers
    Milliseconds refusalLinger { 1000 }; // time for a caller to read the refusal bytes before the socket is closed
};

//-----------------------------------------------------------------------------
// [SECTION] EntryServer
//-----------------------------------------------------------------------------

// Plain flows run through one FlowInitiator each.
//
// Session frames arrive as datagrams and are forwarded by the owner token that they carry. The entry keeps no table of
// session flows: it writes the caller's address into replyAddress, the agent returns it with every reply, and the entry
// sends a reply only if the agent belongs to the frame's service and the service has a listener here.
//
// Placement of session flows ("blank Open"): a session caller knows no upstreams, so it sends Open with owner 0. The
// entry fills in the first candidate of Placement and forwards the frame. The agent's reply names that owner; after a
// Pass the caller sends another blank Open, which any entry may place. Two reservations that such repeats leave at
// different agents are harmless, because the caller names one owner only and the other reservation expires.
class EntryServer {
public:
    EntryServer(boost::asio::io_context&, EntryOptions, const Clock&, Metrics&);
    ~EntryServer();

    void start();
    void stop(); // closes everything at once

    // Puts a snapshot in force: listeners are added and removed, open flows are not touched. An older one is ignored.
    void applySnapshot(std::shared_ptr<const Snapshot>);
    void applyMembers(std::shared_ptr<const std::vector<Member>>);

    // Closes the listeners and calls onDrained when the last plain flow has ended.
    void shutdown(std::function<void()> onDrained);

    OperatorStatus status() const;
    size_t openFlows() const;

    // The address in use, for listeners that are configured with port 0.
    std::optional<Endpoint> boundEndpoint(const std::string& service, const std::string& listener) const;

    // Called with frames of agents; reply sends a frame back over the same link.
    using Reply = std::function<void(const Frame&)>;
    std::function<void(uint64_t link, Frame, Reply)> onControlFrame; // Announce, Fetch or Value
    std::function<void(uint64_t link, uint64_t version, Reply)> onNewerVersion; // newer than the configuration in force

private:
    struct Listener;
    struct PlainFlow;
    using PlainFlowPtr = std::shared_ptr<PlainFlow>;

    struct FlowTimer {
        TimePoint at;
        FlowId flow;
        bool operator>(const FlowTimer& other) const { return this->at > other.at; }
    };

    // Where an upstream belongs. Kept after the upstream left the configuration, because its flows go on.
    struct KnownUpstream {
        std::string name;
        std::set<ServiceId> services;
    };

    // Listeners and pools
    void openListeners();
    bool openListener(const ServiceConfig&, const ListenerConfig&);
    void closeListener(const std::string& key);
    void updatePools();
    std::string upstreamName(UpstreamId) const;

    // Plain flows
    void accept(const std::shared_ptr<Listener>&);
    void startFlow(const std::shared_ptr<Listener>&, boost::asio::ip::tcp::socket);
    void readCaller(const PlainFlowPtr&);
    void onCallerReadable(const PlainFlowPtr&);
    void writeCaller(const PlainFlowPtr&);
    void closeCaller(const PlainFlowPtr&);
    void discardCallerBytes(const PlainFlowPtr&);
    void executeCommands(const PlainFlowPtr&, InitiatorCommands&);
    void sendToOwner(const PlainFlowPtr&, SendToOwner&);
    void updateFlow(const PlainFlowPtr&);
    void onCandidateUnreachable(const PlainFlowPtr&, UpstreamId);
    void reportUnansweredCandidates(const PlainFlow&);
    static std::string placementReason(const PlainFlow&, bool isBound);
    void logPlacement(PlainFlow&);
    void eraseFlow(const PlainFlowPtr&);
    void forEachFlowOnLink(const LinkKey&, const std::function<void(const PlainFlowPtr&)>&);

    // Session frames
    void receiveDatagram(const std::shared_ptr<Listener>&);
    void onDatagram(Listener&, const Endpoint& caller, std::string_view bytes);
    void forwardToOwner(Listener&, const Endpoint& caller, Frame&);
    bool assignOwner(const Endpoint& caller, Frame&);
    void sendRefused(Listener&, const Endpoint& caller, const Frame&, Reason);
    void forwardToCaller(UpstreamId, Frame&);
    void sendDatagram(Listener&, const Endpoint& caller, const Frame&);

    // Links and timers
    void onAgentFrame(UpstreamId, TrafficClass, Frame);
    void onPlainFlowFrame(UpstreamId, TrafficClass, const Frame&);
    void sendDeferredAcks();
    void cancelUnknownFlow(UpstreamId, TrafficClass, const Frame&);
    Reply makeReplyHandler(UpstreamId, TrafficClass);
    void reportNewerVersion(UpstreamId from, TrafficClass, uint64_t version);
    void scheduleTick();
    void onTick();
    void finishShutdownIfDrained();

    boost::asio::io_context& context;
    EntryOptions options;
    const Clock& clock;
    Metrics& metrics;
    LinkPool links;
    Placement placement;
    ConfigStore store;
    std::shared_ptr<const std::vector<Member>> members;
    std::map<std::string, std::shared_ptr<Listener>> listeners; // by "service/listener"
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<Listener>>> listenersByService; // same ones
    bool retryListeners = false; // some listeners could not be opened
    std::map<UpstreamId, KnownUpstream> upstreams;
    std::map<ServiceId, double> retryBudgetRatios; // of the retry budgets in force
    std::unordered_map<FlowId, PlainFlowPtr> flows;
    std::map<LinkKey, std::set<FlowId>> flowsByLink;
    std::vector<PlainFlowPtr> deferredAcks; // flows with Data in the present read of a link
    std::priority_queue<FlowTimer, std::vector<FlowTimer>, std::greater<>> timers;
    std::deque<std::string> lastRefusals; // for /status
    std::string membersJson = "[]"; // for /status
    boost::asio::steady_timer tickTimer;
    std::vector<char> readBuffer; // shared by all sockets, since reads never overlap on one thread
    TimePoint lastMaintenance;
    bool isShuttingDown = false;
    bool isStopped = false;
    std::function<void()> drainHandler;
};

} // namespace wasabicroft
