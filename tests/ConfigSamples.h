// Small configurations for tests.
#pragma once

#include "wasabicroft/ConfigCodec.h"

namespace wasabicroft::samples {

// Returns a valid service with one listener and count upstreams. Services with different numbers share no address.
inline ServiceConfig service(const std::string& name, uint16_t number, uint16_t count = 2)
{
    ServiceConfig service;
    service.name = name;
    const std::string network = "127.10." + std::to_string(number) + '.';
    service.listeners.push_back({ "main", { network + "250", 7000 }, TrafficClass::Request });
    for (uint16_t i = 1; i <= count; ++i) {
        const std::string host = network + std::to_string(i);
        service.upstreams.push_back(
            { name + "-host-" + std::to_string(i), "domain-a", { host, 7200 }, { host, 7300 }, false });
    }
    return service;
}

inline std::vector<ServiceConfig> twoServices() { return { service("alerts", 1), service("labels", 2) }; }

// Encodes twoServices() with the given number of slots, so that configurations with different slots share no value.
inline PublishedConfig published(uint64_t version, uint16_t slots, uint64_t epoch = 1)
{
    std::vector<ServiceConfig> services = twoServices();
    for (ServiceConfig& service : services)
        service.slots = slots;
    return encodeConfig(epoch, version, services);
}

inline std::shared_ptr<const Snapshot> snapshotOf(const PublishedConfig& published)
{
    return parseSnapshot(published.manifest, published.values).value();
}

inline Member member(const std::string& name, const std::string& domain = "domain-a")
{
    return { name, MemberRole::Entry, domain, { "127.0.0.1", 7400 }, false };
}

} // namespace wasabicroft::samples
