// Data path of an entry: listeners of all services, plain flows, and forwarding of session frames.
//
// Everything here runs on the traffic thread, the one that runs the io_context.
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
    std::string listenAddress; // IP address of all listeners; if empty, each listener uses its public address.
    LinkOptions links;
    InitiatorOptions flows; // Service, class, version, request id and retry hook are set for each flow.
    OutlierDetectorOptions outlierDetection;
    size_t candidates = 2; // Upstreams asked in turn before a flow waits.
    size_t maxWaitUpstreams = 8; // Upstreams at which a flow waits at the same time, at most.
    size_t maxFlows = 200000; // Open plain flows; further callers are refused.
    Milliseconds userTimeout { 30000 }; // TCP_USER_TIMEOUT of connections to callers.
    Milliseconds refusalLinger { 1000 }; // Time for a caller to read the refusal bytes before the socket is closed.
};

//-----------------------------------------------------------------------------
// [SECTION] EntryServer
//-----------------------------------------------------------------------------

// Each plain flow (a TCP connection of a caller) is driven by a FlowInitiator of its own.
//
// Session frames arrive as datagrams and are forwarded to the owner that their token names. The entry keeps no state of
// session flows: it writes the caller's address into replyAddress, the agent returns it with every reply, and the entry
// sends a reply only if the agent belongs to the frame's service and the service has a listener here.
//
// Placement of session flows: a session caller knows no upstreams, so it sends an Open with owner 0. The entry fills in
// the first candidate of Placement and forwards the frame. The agent's reply names that owner; after a Pass the caller
// sends another Open with owner 0, which any entry may place. Resends of an Open can leave reservations at two agents.
// That is harmless: the caller names only one owner afterwards, and the other reservation expires.
class EntryServer {
public:
    EntryServer(boost::asio::io_context&, EntryOptions, const Clock&, Metrics&);
    ~EntryServer();

    void start();
    void stop(); // Closes all listeners, flows and links at once.

    // Puts a snapshot in force: opens and closes listeners; open flows are not affected. A snapshot older than the one
    // in force is ignored.
    void applySnapshot(std::shared_ptr<const Snapshot>);
    void applyMembers(std::shared_ptr<const std::vector<Member>>);

    // Closes the listeners and calls onDrained when the last plain flow has ended.
    void shutdown(std::function<void()> onDrained);

    OperatorStatus status() const;
    size_t openFlows() const;

    // Bound address of a listener, which differs from the configured one for port 0.
    std::optional<Endpoint> boundEndpoint(const std::string& service, const std::string& listener) const;

    // Called for frames of agents; reply sends a frame back over the same link.
    using Reply = std::function<void(const Frame&)>;
    std::function<void(uint64_t link, Frame, Reply)> onControlFrame; // Announce, Fetch or Value.
    // A frame named a version newer than the one in force.
    std::function<void(uint64_t link, uint64_t version, Reply)> onNewerVersion;

private:
    struct Listener;
    struct PlainFlow;
    using PlainFlowPtr = std::shared_ptr<PlainFlow>;

    struct FlowTimer {
        TimePoint at;
        FlowId flow;
        bool operator>(const FlowTimer& other) const { return this->at > other.at; }
    };

    // Name and services of an upstream. Kept after the upstream has left the configuration, because its flows go on.
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
    std::map<std::string, std::shared_ptr<Listener>> listeners; // By "service/listener".
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<Listener>>> listenersByService; // The same listeners.
    bool retryListeners = false; // Some listeners could not be opened.
    std::map<UpstreamId, KnownUpstream> upstreams;
    std::map<ServiceId, double> retryBudgetRatios; // A changed ratio resets the retry budget of the service.
    std::unordered_map<FlowId, PlainFlowPtr> flows;
    std::map<LinkKey, std::set<FlowId>> flowsByLink;
    std::vector<PlainFlowPtr> deferredAcks; // Flows that received Data in the current read of a link.
    std::priority_queue<FlowTimer, std::vector<FlowTimer>, std::greater<>> timers;
    std::deque<std::string> lastRefusals; // Shown in /status.
    std::string membersJson = "[]"; // Shown in /status.
    boost::asio::steady_timer tickTimer;
    std::vector<char> readBuffer; // Shared by all sockets, because reads on one thread never overlap.
    TimePoint lastMaintenance;
    bool isShuttingDown = false;
    bool isStopped = false;
    std::function<void()> drainHandler;
};

} // namespace wasabicroft
