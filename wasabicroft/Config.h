// Configuration that operators publish and every process reads, and the order of its versions.
//
// Index
//   [SECTION] Published structures
//   [SECTION] Version order
//   [SECTION] ConfigStore
#pragma once

#include "wasabicroft/Error.h"
#include "wasabicroft/Types.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Published structures
//-----------------------------------------------------------------------------

struct Endpoint {
    std::string address; // Numeric IPv4 or IPv6 address.
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

std::string toString(const Endpoint&); // "127.0.0.1:80", "[::1]:80"
Result<Endpoint> parseEndpoint(std::string_view text);

struct ListenerConfig {
    std::string name;
    Endpoint endpoint; // Public address of the service.
    TrafficClass trafficClass = TrafficClass::Request;
};

struct UpstreamConfig {
    std::string name;
    std::string failureDomain;
    Endpoint agent; // Address on which the agent accepts links.
    Endpoint address; // Address of the upstream itself, to which the agent connects.
    bool leaving = false; // Whether the upstream is being removed and gets no new work.
};

struct ServiceConfig {
    std::string name;
    std::vector<ListenerConfig> listeners;
    std::vector<UpstreamConfig> upstreams;
    uint16_t slots = 4; // Concurrent requests and bulk transfers per upstream.
    uint32_t connections = 2000; // Concurrent connections of all classes per upstream.
    uint16_t queueLimit = 32; // Waiting requests per upstream.
    Milliseconds maxQueueWait { 10000 }; // Queue time limit of requests without a deadline.
    Milliseconds rampDuration { 0 }; // Time after a cold start until all slots are offered; 0 disables the ramp.
    // A request that holds its slot for longer is a straggler. Set it to about 1.5 times the usual holding time.
    Milliseconds stragglerAfter { 5000 };
    double retryBudget = 0.2; // Maximum number of retries per first attempt, on average.
    bool proxyHeader = false; // Whether the agent sends a PROXY protocol v2 header to the upstream.
    std::string refusal; // Bytes sent to a plain TCP client before closing, only if nothing was executed for it.

    ServiceId id() const { return serviceIdOf(this->name); }
};

struct ManifestEntry {
    std::string service;
    uint64_t digest = 0; // XXH3 of the encoded service.
};

struct Manifest {
    uint64_t epoch = 0; // Raised only when the published state is rebuilt from scratch.
    uint64_t version = 0;
    std::vector<ManifestEntry> services;
};

// A complete and validated configuration.
struct Snapshot {
    Manifest manifest;
    uint64_t digest = 0; // XXH3 of the encoded manifest.
    std::vector<ServiceConfig> services;

    const ServiceConfig* find(ServiceId) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Version order
//-----------------------------------------------------------------------------

// Orders configurations. The digest breaks the tie if two operators publish the same version at the same time.
struct ConfigVersion {
    uint64_t epoch = 0;
    uint64_t version = 0;
    uint64_t digest = 0;

    auto operator<=>(const ConfigVersion&) const = default;
};

ConfigVersion versionOf(const Snapshot&);

//-----------------------------------------------------------------------------
// [SECTION] ConfigStore
//-----------------------------------------------------------------------------

// Holds the active configuration of a process. Its version never decreases.
class ConfigStore {
public:
    // Replaces the active snapshot if the given one is newer. Returns whether it was replaced.
    bool acceptIfNewer(std::shared_ptr<const Snapshot>);

    std::shared_ptr<const Snapshot> current() const; // Null before the first accepted snapshot.
    ConfigVersion version() const;

private:
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace wasabicroft
