// What an entry would do with a new flow now, and why. No I/O.
//
// EntryRouter::explainFlow() builds the explanation with the functions that decide on flows.
#pragma once

#include "wasabicroft/Error.h"
#include "wasabicroft/Placement.h"
#include "wasabicroft/Published.h"

namespace wasabicroft {

enum class NewFlowOutcome : uint8_t {
    Offered, // to the candidates in turn
    Refused,
    Buffered, // until the entry has routes and upstreams of the store
    Ignored, // on provisional routes, a flow without an upstream gets no answer
};

inline constexpr std::array<std::string_view, 4> newFlowOutcomeNames = { "offered", "refused", "buffered", "ignored" };

inline std::string_view nameOf(NewFlowOutcome outcome) { return newFlowOutcomeNames.at(static_cast<size_t>(outcome)); }

// Why an upstream of the service is not among those that the flow would be offered to.
enum class UpstreamExclusion : uint8_t {
    Draining, // its record says so
    Evacuated,
    Cold, // it got this entry's share of what it can handle
    Silent, // its agent did not reply several times in a row
    Refusing, // its agent refused a flow lately
    TooLate, // like all others that the flow would be offered to
    RankedBehind, // one copy of a SYN is offered to fewer upstreams
    NotYetUsable, // listed lately: other entries may not have it yet
};

inline constexpr std::array<std::string_view, 8> upstreamExclusionNames
    = { "draining", "evacuated", "cold", "silent", "refusing", "too-late", "ranked-behind", "not-yet-usable" };

inline std::string_view nameOf(UpstreamExclusion exclusion)
{
    return upstreamExclusionNames.at(static_cast<size_t>(exclusion));
}

struct UpstreamExplanation {
    std::string name; // empty: not known
    PacketAddress agent;
    PlacementExplanation placement; // only id and failureDomain if the upstream is draining or not yet usable
    bool isTooLate = false; // its expected answer; such candidates come after the others
    Milliseconds coldLeft { 0 };
    std::optional<UpstreamExclusion> exclusion; // empty: it is a candidate
};

// What happens to the flow if it falls to this service.
struct ServiceExplanation {
    ServiceId service;
    uint32_t weight = 1; // relative to the other services of the route
    NewFlowOutcome outcome = NewFlowOutcome::Offered;
    std::string cause; // of a refusal, as in log line 4202; empty if offered
    bool isAdmittedLate = false; // all candidates are too late, but a share of such flows is admitted
    std::vector<UpstreamExplanation> candidates; // in the order in which they would be asked
    std::vector<UpstreamExplanation> excluded;
};

struct FlowExplanation {
    FlowKey flow;
    uint64_t routesVersion = 0; // 0: the entry has no routes
    uint64_t directoryRevision = 0;
    bool isProvisional = false; // routes come from agents, since the store is unavailable
    std::string routeName;
    std::optional<RequestLimits> limits; // of the route; empty: not known
    std::optional<NewFlowOutcome> outcome; // empty: it depends on the service, which is drawn by weight
    std::string cause; // empty if offered, or if it depends on the service
    std::vector<ServiceExplanation> services; // of the route; empty without a route
};

// The flow that the target of a request GET /explain-flow?client=IP:PORT&route=IP:PORT asks for.
Result<FlowKey> parseExplainFlowTarget(std::string_view target);

std::string encodeJson(const FlowExplanation&);

} // namespace wasabicroft
