// Data path of an agent: links from entries, reservations, and connections to its upstream.
//
// AgentServer runs on the traffic thread, HealthProbe on the control thread.
//
// Index
//   [SECTION] Health probe
//   [SECTION] Options
//   [SECTION] AgentServer
#pragma once

#include "backends/Link.h"
#include "backends/OperatorStatus.h"
#include "wasabicroft/Flow.h"
#include "wasabicroft/Membership.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Health probe
//-----------------------------------------------------------------------------

enum class UpstreamHealth : uint8_t {
    Unknown, // No answer, or another HTTP status; does not start or end draining.
    Ready, // HTTP status 200.
    Draining, // HTTP status 503.
};

inline constexpr std::array<std::string_view, 3> upstreamHealthNames = { "unknown", "ready", "draining" };

std::string_view nameOf(UpstreamHealth);

struct HealthProbeOptions {
    Endpoint endpoint; // Where the upstream serves GET /health.
    Milliseconds interval { 500 };
    Milliseconds timeout { 1000 };
};

// Polls the health endpoint of the upstream and reports changes.
class HealthProbe {
public:
    HealthProbe(boost::asio::io_context&, HealthProbeOptions, std::function<void(UpstreamHealth)> onChange);
    ~HealthProbe();

    void start();
    void stop();

private:
    struct Attempt;

    void probe();
    void scheduleNext();
    void report(UpstreamHealth);

    boost::asio::io_context& context;
    HealthProbeOptions options;
    std::function<void(UpstreamHealth)> changeHandler;
    boost::asio::steady_timer timer;
    std::shared_ptr<Attempt> attempt;
    UpstreamHealth lastHealth = UpstreamHealth::Unknown;
    // False once stopped; pending callbacks hold a reference.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct AgentOptions {
    std::string name; // Name of the upstream that this agent serves.
    Endpoint linkEndpoint; // Where entries connect; the kernel chooses the port if it is 0.
    LinkOptions links;
    OwnerOptions flows; // The agent sets upstream, incarnation and services.
    AdmissionOptions admission {
        // The limits come from the configuration; the agent sets backupSalt.
        .reserveAhead = 1,
        .reserveAheadMinQueue = 2,
        .backupOvertakeMargin = Milliseconds(50),
    };
    Milliseconds connectTimeout { 2000 }; // Time limit to connect to the upstream.
    Milliseconds userTimeout { 30000 }; // TCP_USER_TIMEOUT of connections to the upstream.
    size_t maxLinks = 4096; // Links from entries; further connections are closed.
    // How long an Open that names a newer configuration version waits for that version; must be below the open timeout
    // of entries. 0 decides at once.
    Milliseconds configVersionWait { 200 };
};

//-----------------------------------------------------------------------------
// [SECTION] AgentServer
//-----------------------------------------------------------------------------

class AgentServer {
public:
    // Receives Announce, Fetch and Value frames of peers; reply sends a frame back over the same link.
    using ControlHandler = std::function<void(uint64_t link, Frame, std::function<void(const Frame&)> reply)>;

    AgentServer(boost::asio::io_context&, AgentOptions, const Clock&, Metrics&);
    ~AgentServer();

    Result<Endpoint> start(); // Returns the bound address.
    void stop(); // Closes all links and connections at once.

    // Puts a snapshot in force; open flows are not affected. A snapshot older than the one in force is ignored.
    void applySnapshot(std::shared_ptr<const Snapshot>);
    void applyMembers(const std::shared_ptr<const std::vector<Member>>&);
    void applyHealth(UpstreamHealth);

    // Declines all new reservations with Pass, and calls onDrained when the last flow has ended.
    void shutdown(std::function<void()> onDrained);

    OperatorStatus status() const;
    size_t openFlows() const;
    uint64_t incarnation() const;

    ControlHandler onControlFrame;
    // Called when a frame names a newer configuration than the one in force; reply sends a frame back over the same
    // link.
    std::function<void(uint64_t link, uint64_t version, std::function<void(const Frame&)> reply)> onNewerVersion;

private:
    struct UpstreamConnection;
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    // Caller of a flow, recorded at its Open for the log and the PROXY protocol header, and dropped after a fixed time.
    struct FlowCaller {
        std::string address; // "IP:PORT"; empty if unknown.
        std::string requestId;
        TimePoint addedAt;
    };

    struct WaitingOpen {
        uint64_t link = 0;
        Frame frame;
        TimePoint receivedAt;
    };

    // Links
    void accept();
    void onFrame(Link&, Frame);
    void handleFrame(uint64_t link, const Frame&);
    // Queues an Open that names a newer configuration version, and returns whether it did. A Cancel removes its Open.
    bool deferForConfigVersion(uint64_t link, Frame&);
    void processWaitingOpens(); // Handles deferred Open frames whose version is in force or whose wait is over.
    void logDecision(const Frame& reply);
    void recordCaller(const Frame& open);
    void expireCallers();

    // Upstream
    void executeCommands(OwnerCommands&);
    void connect(const ConnectUpstream&);
    void onConnected(const ConnectionPtr&, boost::system::error_code);
    void readUpstream(const ConnectionPtr&);
    void onUpstreamReadable(const ConnectionPtr&);
    void writeUpstream(const ConnectionPtr&);
    void closeIfFinished(const ConnectionPtr&);
    void timeOutConnects();
    void closeConnection(const ConnectionPtr&, bool reset);
    void resumeReads();
    std::string proxyHeader(FlowId, const ServiceConfig&, TrafficClass) const;
    const UpstreamConfig* ownUpstreamConfig(const ServiceConfig&) const;

    // Drain and timers
    void updateDraining();
    void scheduleTick();
    void onTick();
    void finishShutdownIfDrained();

    boost::asio::io_context& context;
    AgentOptions options;
    const Clock& clock;
    Metrics& metrics;
    Admission admission;
    FlowOwner owner;
    ConfigStore store;
    std::deque<WaitingOpen> waitingOpens; // Open frames that wait for a newer configuration, oldest first.
    // Newest version that did not arrive in time; not waited for again until another snapshot is in force.
    uint64_t timedOutVersion = 0;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<uint64_t, std::shared_ptr<Link>> links;
    uint64_t lastLinkId = 0;
    std::unordered_map<FlowId, ConnectionPtr> connections;
    // Oldest first; may hold connections that are set up or closed.
    std::deque<std::weak_ptr<UpstreamConnection>> connecting;
    std::unordered_map<FlowId, FlowCaller> callers;
    std::deque<std::pair<TimePoint, FlowId>> callerOrder; // When each caller was recorded, oldest first.
    boost::asio::steady_timer tickTimer;
    std::vector<char> readBuffer; // Shared by all upstream connections, because reads on one thread never overlap.
    TimePoint lastMaintenance;
    UpstreamHealth health = UpstreamHealth::Unknown;
    bool leavesByMembers = false;
    bool leavesByConfig = false;
    bool isShuttingDown = false;
    bool isStopped = false;
    std::function<void()> drainHandler;
};

} // namespace wasabicroft
