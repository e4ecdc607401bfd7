#include "wasabicroft/Types.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace wasabicroft {

namespace {

    std::string toHex(uint64_t value)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
        return text.data();
    }

    uint64_t randomUint64()
    {
        thread_local std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

} // namespace

uint64_t hashName(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

ServiceId serviceIdOf(std::string_view name) { return { hashName(name) }; }

UpstreamId upstreamIdOf(std::string_view name) { return { hashName(name) }; }

std::string toString(FlowId id) { return toHex(id.high) + toHex(id.low); }

std::string toString(ServiceId id) { return toHex(id.value); }

std::string toString(UpstreamId id) { return toHex(id.value); }

FlowId randomFlowId() { return { randomUint64(), randomUint64() }; }

uint64_t randomIncarnation() { return randomUint64() | 1; }

std::string_view nameOf(TrafficClass trafficClass) { return trafficClassNames.at(static_cast<size_t>(trafficClass)); }

std::optional<TrafficClass> trafficClassFromName(std::string_view name)
{
    const auto found = std::find(trafficClassNames.begin(), trafficClassNames.end(), name);
    if (found == trafficClassNames.end())
        return std::nullopt;
    return static_cast<TrafficClass>(found - trafficClassNames.begin());
}

} // namespace wasabicroft
