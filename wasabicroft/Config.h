// Configuration: what operators publish and every process reads.
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
    std::string address; // IPv4 or IPv6 number
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

std::string toString(const Endpoint&); // "127.0.0.1:80", "[::1]:80"
Result<Endpoint> parseEndpoint(std::string_view text);

struct ListenerConfig {
    std::string name;
    Endpoint endpoint; // public address of the service
    TrafficClass trafficClass = TrafficClass::Request;
};

struct UpstreamConfig {
    std::string name;
    std::string failureDomain;
    Endpoint agent; // the agent's links
    Endpoint address; // the upstream itself, as its agent dials it
    bool leaving = false; // gets no new work
};

struct ServiceConfig {
    std::string name;
    std::vector<ListenerConfig> listeners;
    std::vector<UpstreamConfig> upstreams;
    uint16_t slots = 4; // per upstream
    uint32_t connections = 2000; // per upstream
    uint16_t queueLimit = 32; // per upstream, waiting requests
    Milliseconds maxQueueWait { 10000 };
    Milliseconds rampDuration { 0 }; // cold start
    Milliseconds stragglerAfter { 5000 }; // a slot held longer is a straggler; about 1.5 times the usual duration
    double retryBudget = 0.2; // retries per request
    bool proxyHeader = false; // send a PROXY protocol v2 header to the upstream
    std::string refusal; // bytes sent to a plain caller before closing, only if nothing ran

    ServiceId id() const { return serviceIdOf(this->name); }
};

struct ManifestEntry {
    std::string service;
    uint64_t digest = 0; // XXH3 of the value's bytes
};

struct Manifest {
    uint64_t epoch = 0; // raised only when the published state is rebuilt from nothing
    uint64_t version = 0;
    std::vector<ManifestEntry> services;
};

// A complete, validated configuration.
struct Snapshot {
    Manifest manifest;
    uint64_t digest = 0; // XXH3 of the manifest's bytes
    std::vector<ServiceConfig> services;

    const ServiceConfig* find(ServiceId) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Version order
//-----------------------------------------------------------------------------

// Orders configurations. The digest decides between two operators who published the same version at once.
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

// The configuration in force in this process. Its version never falls.
class ConfigStore {
public:
    // Takes a snapshot if it is newer than the one in force; returns whether it was taken.
    bool acceptIfNewer(std::shared_ptr<const Snapshot>);

    std::shared_ptr<const Snapshot> current() const; // null before the first offer
    ConfigVersion version() const;

private:
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace wasabicroft
