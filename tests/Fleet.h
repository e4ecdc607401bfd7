// A small fleet on loopback for failure tests: the daemons as processes, the platform, the upstreams and the relays
// between entries and agents in the test program.
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

// Short limits, so that a freeze of a few seconds is longer than each of them.
struct FleetOptions {
    std::vector<std::string> entryArguments { "--open-timeout=200", "--flow-heartbeat=200", "--heartbeat-interval=200",
        "--heartbeat-timeout=500", "--link-connect-timeout=500", "--min-ejection=300", "--max-ejection=1000" };
    std::vector<std::string> agentArguments { "--reservation-expiry=1000", "--flow-memory=2500", "--abandon-after=2500",
        "--heartbeat-interval=200", "--heartbeat-timeout=500", "--health-interval=200" };
    std::string entryLogThreshold = "warning";
    bool pollHealth = true; // agents poll the health of their upstream
    std::string programDirectory; // directory of the built programs
};

// The listeners of each service of the fleet.
inline constexpr const char* feedListener = "feed";
inline constexpr const char* requestListener = "request";
inline constexpr const char* bulkListener = "bulk";

class Fleet {
public:
    explicit Fleet(FleetOptions);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Changes of the intended state; publish() puts them in force.
    void addService(const std::string& service);
    void addUpstream(const std::string& service, const std::string& name, fakes::UpstreamOptions = {});
    void addUpstreamAtFormerAddress(const std::string& service, const std::string& name, const std::string& formerName);
    void removeUpstream(const std::string& name); // from the configuration only
    ServiceConfig& config(const std::string& service);
    void publish();
    void publishConflictingVersions(); // two operators publish the same version with different slots

    void startEntry(const std::string& name);
    void startAgent(const std::string& name); // beside the upstream of that name; also a new start
    // Returns where it listens. Without addresses it uses all entries.
    Endpoint startConnector(const std::string& service, const std::string& listener, const std::string& name = "",
        std::vector<Endpoint> addresses = {});
    void stopUpstream(const std::string& name); // ends the stand-in and forgets its ledger

    bool waitReady(Milliseconds timeout = Milliseconds(15000)); // of all entries and agents that run
    void setMembersFromProcesses(); // the instance list names what runs now

    Endpoint entryAddress(const std::string& entry, const std::string& service, const std::string& listener) const;
    std::vector<Endpoint> entryAddresses(const std::string& service, const std::string& listener) const; // of all
    fakes::Upstream& upstream(const std::string& name);
    fakes::Relay& agentRelay(const std::string& name); // before the agent of this upstream
    std::vector<Endpoint> upstreamAdmins() const;
    std::string matchingLogLines(const std::string& containing) const; // matching log lines of all processes
    size_t invariantViolations() const; // invariants that processes reported

    ProcessGroup group;
    FakePlatform platform;

private:
    struct UpstreamInstance {
        std::string service;
        fakes::UpstreamOptions options;
        std::unique_ptr<fakes::Upstream> upstream;
        Endpoint linkEndpoint; // of the agent itself
        Endpoint adminEndpoint; // of the agent
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

// Runs loads on threads of their own while the test causes faults.
class LoadRun {
public:
    explicit LoadRun(fakes::LoadOptions);
    const fakes::LoadReport& wait();

private:
    std::future<fakes::LoadReport> future;
    std::optional<fakes::LoadReport> report;
};

// The violations of R1 to R5 that a report shows, without those of feeds if feedsMayBreak.
std::vector<std::string> guaranteeViolations(const fakes::LoadReport&, bool allowBrokenFeeds);

// Flows of any kind that did not end as answered or refused as not run.
uint64_t countFailedFlows(const fakes::LoadReport&);

} // namespace wasabicroft::tests
