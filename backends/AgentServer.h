// The data path of an agent: links from entries, reservations, and connections to its upstream.
//
// AgentServer belongs to the traffic thread, HealthProbe to the control thread.
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
    Unknown, // no answer, or another status: says nothing about draining
    Ready, // 200
    Draining, // 503
};

inline constexpr std::array<std::string_view, 3> upstreamHealthNames = { "unknown", "ready", "draining" };

std::string_view nameOf(UpstreamHealth);

struct HealthProbeOptions {
    Endpoint endpoint; // of the upstream's GET /health
    Milliseconds interval { 500 };
    Milliseconds timeout { 1000 };
};

// Polls the health endpoint of the upstream and reports each change.
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
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // false once stopped; held by pending callbacks
};

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct AgentOptions {
    std::string name; // of the upstream beside this agent
    Endpoint linkEndpoint; // where entries connect; port 0 lets the kernel choose
    LinkOptions links;
    OwnerOptions flows; // upstream, incarnation and services are set by the agent
    AdmissionOptions admission {
        // limits are overwritten by the configuration, backupSalt is set by the agent
        .reserveAhead = 1,
        .reserveAheadMinQueue = 2,
        .backupOvertakeMargin = Milliseconds(50),
    };
    Milliseconds connectTimeout { 2000 }; // to the upstream
    Milliseconds userTimeout { 30000 }; // TCP_USER_TIMEOUT towards the upstream
    size_t maxLinks = 4096; // further entries are refused
    // How long an Open that carries a newer configuration version waits for that version; below the open timeout of
    // entries. 0 decides at once.
    Milliseconds configVersionWait { 200 };
};

//-----------------------------------------------------------------------------
// [SECTION] AgentServer
//-----------------------------------------------------------------------------

class AgentServer {
public:
    // Announce, Fetch and Value frames of peers; reply sends a frame back over the same link.
    using ControlHandler = std::function<void(uint64_t link, Frame, std::function<void(const Frame&)> reply)>;

    AgentServer(boost::asio::io_context&, AgentOptions, const Clock&, Metrics&);
    ~AgentServer();

    Result<Endpoint> start(); // the address in use
    void stop(); // closes everything at once

    // Puts a snapshot in force; open flows are not touched. An older one is ignored.
    void applySnapshot(std::shared_ptr<const Snapshot>);
    void applyMembers(const std::shared_ptr<const std::vector<Member>>&);
    void applyHealth(UpstreamHealth);

    // Passes all reservations and calls onDrained when the last flow has ended.
    void shutdown(std::function<void()> onDrained);

    OperatorStatus status() const;
    size_t openFlows() const;
    uint64_t incarnation() const;

    ControlHandler onControlFrame;
    // A frame named a newer configuration than the one in force; reply sends a frame back over the same link.
    std::function<void(uint64_t link, uint64_t version, std::function<void(const Frame&)> reply)> onNewerVersion;

private:
    struct UpstreamConnection;
    using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

    // Caller of a flow, remembered from its Open until the connection to the upstream is set up.
    struct FlowCaller {
        std::string address; // "ip:port"; empty if unknown
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
    bool deferForConfigVersion(uint64_t link, Frame&);
    void processWaitingOpens(); // those whose version is in force or that waited long enough
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
    std::deque<WaitingOpen> waitingOpens; // for a newer configuration, oldest first
    uint64_t timedOutVersion = 0; // waited for in vain; not waited for again until a newer one is in force
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<uint64_t, std::shared_ptr<Link>> links;
    uint64_t lastLinkId = 0;
    std::unordered_map<FlowId, ConnectionPtr> connections;
    std::deque<std::weak_ptr<UpstreamConnection>> connecting; // oldest first; also ones that are connected or closed
    std::unordered_map<FlowId, FlowCaller> callers;
    std::deque<std::pair<TimePoint, FlowId>> callerOrder; // oldest first
    boost::asio::steady_timer tickTimer;
    std::vector<char> readBuffer; // shared by all upstream connections, since reads never overlap on one thread
    TimePoint lastMaintenance;
    UpstreamHealth health = UpstreamHealth::Unknown;
    bool leavesByMembers = false;
    bool leavesByConfig = false;
    bool isShuttingDown = false;
    bool isStopped = false;
    std::function<void()> drainHandler;
};

} // namespace wasabicroft
