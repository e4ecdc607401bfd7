// A small fleet on loopback for failure tests. Entries, agents and connectors run as processes; the platform, the
// upstreams and the relays between entries and agents are fakes in the test program.
#pragma once

#include "fakes/Load.h"
#include "fakes/LoadReport.h"
#include "fakes/Platform.h"
#include "fakes/Relay.h"
#include "fakes/Upstream.h"
#include "tests/Processes.h"

#include <future>
#include <map>

namespace wasabicroft::tests {

// The timeouts are short, so that a process that is frozen for a few seconds exceeds all of them.
struct FleetOptions {
    std::vector<std::string> entryArguments { "--open-timeout=200", "--flow-heartbeat=200", "--heartbeat-interval=200",
        "--heartbeat-timeout=500", "--link-connect-timeout=500", "--min-ejection=300", "--max-ejection=1000" };
    std::vector<std::string> agentArguments { "--reservation-expiry=1000", "--flow-memory=2500", "--abandon-after=2500",
        "--heartbeat-interval=200", "--heartbeat-timeout=500", "--health-interval=200" };
    std::string entryLogThreshold = "warning";
    bool pollHealth = true; // Agents poll the health endpoint of their upstream.
    std::string programDirectory; // Contains the built programs.
};

// Names of the listeners that every service of the fleet has.
inline constexpr const char* feedListener = "feed";
inline constexpr const char* requestListener = "request";
inline constexpr const char* bulkListener = "bulk";

class Fleet {
public:
    explicit Fleet(FleetOptions);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // These functions change the intended configuration; publish() sends it to the platform.
    void addService(const std::string& service);
    void addUpstream(const std::string& service, const std::string& name, fakes::UpstreamOptions = {});
    // Adds an upstream whose upstream and link endpoints are those of a former upstream.
    void addUpstreamAtFormerAddress(const std::string& service, const std::string& name, const std::string& formerName);
    void removeUpstream(const std::string& name); // Only from the configuration.
    ServiceConfig& config(const std::string& service);
    void publish();
    void publishConflictingVersions(); // Publishes one version twice with different slots, as two operators may do.

    void startEntry(const std::string& name);
    void startAgent(const std::string& name); // Starts or restarts the agent of the upstream with that name.
    // Returns the listen endpoint of the connector. Uses the listeners of all entries if addresses is empty.
    Endpoint startConnector(const std::string& service, const std::string& listener, const std::string& name = "",
        std::vector<Endpoint> addresses = {});
    void stopUpstream(const std::string& name); // Destroys the fake upstream and its ledger.

    bool waitReady(Milliseconds timeout = Milliseconds(15000)); // Waits for all running entries and agents.
    void setMembersFromProcesses(); // Sets the instance list to the running processes.

    Endpoint entryAddress(const std::string& entry, const std::string& service, const std::string& listener) const;
    // Returns the addresses of this listener at all entries.
    std::vector<Endpoint> entryAddresses(const std::string& service, const std::string& listener) const;
    fakes::Upstream& upstream(const std::string& name);
    fakes::Relay& agentRelay(const std::string& name); // Between the entries and the agent of this upstream.
    std::vector<Endpoint> upstreamAdmins() const;
    std::string matchingLogLines(const std::string& text) const; // From the logs of all processes.
    size_t invariantViolations() const; // Number of violations that processes logged (event 9001).

    ProcessGroup group;
    FakePlatform platform;

private:
    struct UpstreamInstance {
        std::string service;
        fakes::UpstreamOptions options;
        std::unique_ptr<fakes::Upstream> upstream;
        Endpoint linkEndpoint; // Of the agent; entries connect through the relay.
        Endpoint adminEndpoint; // Of the agent.
        std::unique_ptr<fakes::Relay> relay;
    };
    struct EntryInstance {
        std::string address;
        Endpoint adminEndpoint;
        Endpoint linkEndpoint;
    };

    FleetOptions options;
    uint64_t version = 0;
    std::map<std::string, ServiceConfig> services;
    std::map<std::string, UpstreamInstance> upstreams;
    std::map<std::string, EntryInstance> entries;
};

// Runs a load on a thread of its own while the test injects faults.
class LoadRun {
public:
    explicit LoadRun(fakes::LoadOptions);
    const fakes::LoadReport& wait();

private:
    std::future<fakes::LoadReport> future;
    std::optional<fakes::LoadReport> report;
};

// Returns the violations of R1 to R5 in a report. With allowBrokenFeeds, feeds may end early or be silent, but what
// arrived must be complete and in order.
std::vector<std::string> guaranteeViolations(const fakes::LoadReport&, bool allowBrokenFeeds);

// Returns the number of flows that ended neither with a complete response nor with the refusal "not run".
uint64_t countFailedFlows(const fakes::LoadReport&);

} // namespace wasabicroft::tests
