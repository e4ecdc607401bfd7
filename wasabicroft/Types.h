// Basic types shared by every module: identifiers, traffic classes and load reports.
//
// Index
//   [SECTION] Identifiers
//   [SECTION] Traffic classes
//   [SECTION] Load reports
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wasabicroft {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

// Identifies a flow; chosen at random by the initiator and never reused.
struct FlowId {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const FlowId&) const = default;
};

// Identifies a service; a hash of its name (see hashName).
struct ServiceId {
    uint64_t value = 0;

    auto operator<=>(const ServiceId&) const = default;
};

// Identifies an upstream instance and the agent beside it; a hash of its name.
struct UpstreamId {
    uint64_t value = 0;

    auto operator<=>(const UpstreamId&) const = default;
};

// Identifies the only agent, incarnation and reservation that may run a flow.
struct OwnerToken {
    UpstreamId owner;
    uint64_t incarnation = 0; // Drawn at random whenever the agent process starts.
    uint64_t reservation = 0; // Increases with every reservation of an incarnation; 0 means none.

    auto operator<=>(const OwnerToken&) const = default;
};

// Stable 64-bit hash of a configured name. Configuration validation rejects names that collide.
uint64_t hashName(std::string_view name);

// Finalizer of SplitMix64: similar inputs give unrelated outputs.
constexpr uint64_t mixBits(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}
inline constexpr uint64_t splitMixIncrement = 0x9e3779b97f4a7c15U; // Spreads consecutive numbers before mixBits().
ServiceId serviceIdOf(std::string_view name);
UpstreamId upstreamIdOf(std::string_view name);

// Hexadecimal forms used in logs and in status output.
std::string toString(FlowId);
std::string toString(ServiceId);
std::string toString(UpstreamId);

// Draws a flow id from the operating system's random source.
FlowId randomFlowId();
uint64_t randomIncarnation();

//-----------------------------------------------------------------------------
// [SECTION] Traffic classes
//-----------------------------------------------------------------------------

// Scheduling and admission class of a listener.
enum class TrafficClass : uint8_t {
    Feed, // Long-lived connection with small messages; counts against the connection limit.
    Request, // Short work; takes a slot.
    Bulk, // Large transfer; takes a slot.
};

inline constexpr std::array<std::string_view, 3> trafficClassNames = { "feed", "request", "bulk" };
inline constexpr size_t trafficClassCount = trafficClassNames.size();

std::string_view nameOf(TrafficClass);
std::optional<TrafficClass> trafficClassFromName(std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Load reports
//-----------------------------------------------------------------------------

// Load of an upstream as reported by its agent; piggybacked on replies.
struct Load {
    uint16_t busySlots = 0;
    uint16_t slots = 0; // Slots currently offered; fewer than configured during a cold start.
    uint16_t queueLength = 0;
    uint32_t connections = 0;

    bool operator==(const Load&) const = default;
};

} // namespace wasabicroft

template <> struct std::hash<wasabicroft::FlowId> {
    size_t operator()(const wasabicroft::FlowId& id) const noexcept { return static_cast<size_t>(id.high ^ id.low); }
};

template <> struct std::hash<wasabicroft::ServiceId> {
    size_t operator()(const wasabicroft::ServiceId& id) const noexcept { return static_cast<size_t>(id.value); }
};

template <> struct std::hash<wasabicroft::UpstreamId> {
    size_t operator()(const wasabicroft::UpstreamId& id) const noexcept { return static_cast<size_t>(id.value); }
};
