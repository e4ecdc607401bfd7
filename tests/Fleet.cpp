#include "tests/Fleet.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace wasabicroft::tests {

namespace {

    constexpr Milliseconds pollTimeout { 300 };
    constexpr const char* failureDomainName = "a";

    // The refusal of every service: an HTTP response that the load generator counts as "not run".
    constexpr const char* notRunResponse
        = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    // Entries share ports and differ in their address. The range from 127.100.0.0 does not overlap with the addresses
    // of freeEndpoint() for process ids below 2^22.
    std::string entryIp(size_t number)
    {
        const uint32_t process = static_cast<uint32_t>(getpid());
        return "127." + std::to_string(100 + number % 100) + '.' + std::to_string((process >> 8) & 0xff) + '.'
            + std::to_string(1 + (process & 0xff) % 254);
    }

    bool respondsOk(const Endpoint& admin, const std::string& target)
    {
        const Result<fakes::HttpReply> reply = fakes::httpCall(admin, "GET", target, pollTimeout);
        return reply && reply.value().status == 200;
    }

} // namespace

Fleet::Fleet(FleetOptions fleetOptions)
    : group(fleetOptions.programDirectory)
    , options(std::move(fleetOptions))
{
}

Fleet::~Fleet() = default;

void Fleet::addService(const std::string& service)
{
    ServiceConfig& added = this->services[service];
    added.name = service;
    added.refusal = notRunResponse;
    const auto listener = [&](const char* name, TrafficClass trafficClass) {
        added.listeners.push_back({ name, { entryIp(0), freeEndpoint().port }, trafficClass });
    };
    listener(feedListener, TrafficClass::Feed);
    listener(requestListener, TrafficClass::Request);
    listener(bulkListener, TrafficClass::Bulk);
}

void Fleet::addUpstream(const std::string& service, const std::string& name, fakes::UpstreamOptions upstreamOptions)
{
    UpstreamInstance& instance = this->upstreams[name];
    instance.service = service;
    upstreamOptions.service = service;
    upstreamOptions.name = name;
    if (upstreamOptions.listen.port == 0)
        upstreamOptions.listen = freeEndpoint();
    upstreamOptions.admin = freeEndpoint();
    // The agents enforce the slot limit; the fake upstream only rejects excess requests that agents let through.
    upstreamOptions.slots = 64;
    instance.options = upstreamOptions;
    instance.upstream = std::make_unique<fakes::Upstream>(upstreamOptions);
    if (instance.linkEndpoint.port == 0)
        instance.linkEndpoint = freeEndpoint();
    instance.adminEndpoint = freeEndpoint();
    fakes::RelayOptions relay;
    relay.listen = freeEndpoint();
    relay.targets = { instance.linkEndpoint };
    instance.relay = std::make_unique<fakes::Relay>(relay);
    this->services.at(service).upstreams.push_back(
        { name, failureDomainName, relay.listen, upstreamOptions.listen, false });
}

void Fleet::addUpstreamAtFormerAddress(
    const std::string& service, const std::string& name, const std::string& formerName)
{
    const UpstreamInstance& former = this->upstreams.at(formerName);
    fakes::UpstreamOptions reused;
    reused.listen = former.options.listen;
    this->upstreams[name].linkEndpoint = former.linkEndpoint;
    this->addUpstream(service, name, reused);
}

void Fleet::removeUpstream(const std::string& name)
{
    for (auto& [service, config] : this->services)
        std::erase_if(config.upstreams, [&](const UpstreamConfig& upstream) { return upstream.name == name; });
}

ServiceConfig& Fleet::config(const std::string& service) { return this->services.at(service); }

void Fleet::publish()
{
    std::vector<ServiceConfig> serviceConfigs;
    for (const auto& [name, service] : this->services)
        serviceConfigs.push_back(service);
    this->platform.publish(wasabicroft::encodeConfig(1, ++this->version, serviceConfigs));
}

void Fleet::publishConflictingVersions()
{
    this->publish();
    std::vector<ServiceConfig> serviceConfigs;
    for (const auto& [name, service] : this->services) {
        serviceConfigs.push_back(service);
        ++serviceConfigs.back().slots;
    }
    this->platform.publish(wasabicroft::encodeConfig(1, this->version, serviceConfigs));
}

void Fleet::startEntry(const std::string& name)
{
    EntryInstance& instance = this->entries[name];
    if (instance.address.empty())
        instance = { entryIp(this->entries.size()), freeEndpoint(), freeEndpoint() };
    std::vector<std::string> arguments { "--name=" + name, "--failure-domain=" + std::string(failureDomainName),
        "--platform=" + toString(this->platform.endpoint()), "--listen-address=" + instance.address,
        "--admin-endpoint=" + toString(instance.adminEndpoint), "--link-endpoint=" + toString(instance.linkEndpoint),
        "--log-threshold=" + this->options.entryLogThreshold };
    arguments.insert(arguments.end(), this->options.entryArguments.begin(), this->options.entryArguments.end());
    this->group.remove(name);
    this->group.start(name, "wasabi-entry", arguments);
}

void Fleet::startAgent(const std::string& name)
{
    const UpstreamInstance& instance = this->upstreams.at(name);
    std::vector<std::string> arguments { "--name=" + name, "--failure-domain=" + std::string(failureDomainName),
        "--platform=" + toString(this->platform.endpoint()), "--admin-endpoint=" + toString(instance.adminEndpoint),
        "--link-endpoint=" + toString(instance.linkEndpoint), "--log-threshold=warning" };
    if (this->options.pollHealth)
        arguments.push_back("--upstream-health=" + toString(instance.upstream->adminEndpoint()));
    arguments.insert(arguments.end(), this->options.agentArguments.begin(), this->options.agentArguments.end());
    this->group.remove(name);
    this->group.start(name, "wasabi-agent", arguments);
}

Endpoint Fleet::startConnector(
    const std::string& service, const std::string& listener, const std::string& name, std::vector<Endpoint> addresses)
{
    if (addresses.empty())
        addresses = this->entryAddresses(service, listener);
    std::string entryList;
    for (const Endpoint& address : addresses)
        entryList += (entryList.empty() ? "" : ",") + toString(address);
    std::string trafficClass;
    for (const ListenerConfig& config : this->services.at(service).listeners)
        if (config.name == listener)
            trafficClass = nameOf(config.trafficClass);
    const std::filesystem::path refusalFile = this->group.logDirectory() / "refusal";
    std::ofstream(refusalFile, std::ios::binary) << notRunResponse;
    const std::string processName = name.empty() ? "connector-" + service + '-' + listener : name;
    Process& process = this->group.start(processName, "wasabi-connector",
        { "--service=" + service, "--entries=" + entryList, "--class=" + trafficClass,
            "--refusal-file=" + refusalFile.string(), "--log-threshold=warning" });
    return process.waitAddress("listen", Milliseconds(10000)).value_or(Endpoint());
}

void Fleet::stopUpstream(const std::string& name) { this->upstreams.at(name).upstream.reset(); }

bool Fleet::waitReady(Milliseconds timeout)
{
    return waitUntil(
        [this] {
            for (const auto& [name, instance] : this->entries)
                if (this->group.isRunning(name) && !respondsOk(instance.adminEndpoint, "/ready"))
                    return false;
            for (const auto& [name, instance] : this->upstreams)
                if (instance.upstream && this->group.isRunning(name) && !respondsOk(instance.adminEndpoint, "/ready"))
                    return false;
            return true;
        },
        timeout);
}

void Fleet::setMembersFromProcesses()
{
    std::vector<Member> members;
    for (const auto& [name, instance] : this->entries)
        if (this->group.isRunning(name))
            members.push_back({ name, MemberRole::Entry, failureDomainName, instance.linkEndpoint, false });
    for (const auto& [name, instance] : this->upstreams)
        if (this->group.isRunning(name))
            members.push_back({ name, MemberRole::Agent, failureDomainName, instance.linkEndpoint, false });
    this->platform.setMembers(members);
}

Endpoint Fleet::entryAddress(const std::string& entry, const std::string& service, const std::string& listener) const
{
    for (const ListenerConfig& config : this->services.at(service).listeners)
        if (config.name == listener)
            return { this->entries.at(entry).address, config.endpoint.port };
    throw std::out_of_range("no listener is named " + listener);
}

std::vector<Endpoint> Fleet::entryAddresses(const std::string& service, const std::string& listener) const
{
    std::vector<Endpoint> addresses;
    for (const auto& [name, instance] : this->entries)
        addresses.push_back(this->entryAddress(name, service, listener));
    return addresses;
}

fakes::Upstream& Fleet::upstream(const std::string& name) { return *this->upstreams.at(name).upstream; }

fakes::Relay& Fleet::agentRelay(const std::string& name) { return *this->upstreams.at(name).relay; }

std::vector<Endpoint> Fleet::upstreamAdmins() const
{
    std::vector<Endpoint> admins;
    for (const auto& [name, instance] : this->upstreams)
        if (instance.upstream)
            admins.push_back(instance.upstream->adminEndpoint());
    return admins;
}

std::string Fleet::matchingLogLines(const std::string& text) const
{
    std::istringstream lines(this->group.allLogs());
    std::string found;
    for (std::string line; std::getline(lines, line);)
        if (line.find(text) != std::string::npos)
            found += line + '\n';
    return found;
}

size_t Fleet::invariantViolations() const
{
    const std::string lines = this->matchingLogLines("event=9001");
    return static_cast<size_t>(std::count(lines.begin(), lines.end(), '\n'));
}

LoadRun::LoadRun(fakes::LoadOptions options)
    : future(std::async(std::launch::async, [options = std::move(options)] { return fakes::runLoad(options); }))
{
}

const fakes::LoadReport& LoadRun::wait()
{
    if (!this->report)
        this->report = this->future.get();
    return *this->report;
}

std::vector<std::string> guaranteeViolations(const fakes::LoadReport& report, bool allowBrokenFeeds)
{
    fakes::LoadReport checkedReport = report;
    if (allowBrokenFeeds) {
        // A failed process may end a feed, but the lines that arrived must be complete and in order.
        const fakes::FeedCounts& lines = checkedReport.feeds.lines;
        checkedReport.feeds.broken = lines.gaps + lines.repeats + lines.corrupt;
        checkedReport.feeds.silences = 0;
    }
    return checkedReport.violations();
}

uint64_t countFailedFlows(const fakes::LoadReport& report)
{
    uint64_t broken = report.feeds.broken;
    for (const fakes::KindReport& kind : report.kinds)
        broken += kind.count(fakes::Outcome::Broken) + kind.count(fakes::Outcome::TimedOut)
            + kind.count(fakes::Outcome::Failed);
    return broken;
}

} // namespace wasabicroft::tests
