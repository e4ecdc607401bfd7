// Numbered log events, documented in docs/EVENTS.md; a test compares the two.
//
// Number ranges: 1000 entry, 2000 agent, 3000 configuration and membership, 4000 flows and placement, 5000 tools and
// fakes, 9000 invariants.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wasabicroft {

enum class Severity : uint8_t { Debug, Info, Warning, Error };

enum class Event : uint16_t {
    EntryStarted = 1001,
    EntryStopping = 1002,
    EntryStopped = 1003,
    ListenerOpened = 1004,
    ListenerClosed = 1005,
    ListenerFailed = 1006,
    EntryConfigInForce = 1007,
    AgentStarted = 2001,
    AgentStopping = 2002,
    AgentStopped = 2003,
    ReservationDecided = 2004,
    UpstreamConnectFailed = 2005,
    UpstreamDrainChanged = 2006,
    AgentConfigInForce = 2007,
    ConfigAccepted = 3001,
    ConfigRejected = 3002,
    OlderConfigIgnored = 3003,
    PlatformUnreachable = 3004,
    PlatformReachable = 3005,
    InstancesChanged = 3006,
    InstancesRejected = 3007,
    WatcherSelected = 3008,
    WatcherReleased = 3009,
    ConfigFetched = 3010,
    PeerFetchFailed = 3011,
    ConfigUnconfirmed = 3012,
    ConfigConfirmed = 3013,
    RoutesInForce = 3020,
    UpstreamListed = 3021,
    UpstreamUnlisted = 3022,
    StoreUnreachable = 3023,
    StoreReachable = 3024,
    StoreItemInvalid = 3025,
    ProvisionalState = 3026,
    StoreWatchWaitChanged = 3027,
    StoreReadRepeated = 3028,
    FirstListChecked = 3029,
    StoreRestored = 3030,
    StoreAnswerRefused = 3031,
    EvacuationOrdered = 3032,
    EvacuationWithdrawn = 3033,
    EvacuationsLimited = 3034,
    InvalidFrame = 4001,
    LinkLost = 4101,
    FlowPlaced = 4102,
    FlowNotPlaced = 4103,
    FlowEnded = 4104,
    SessionFlowPlaced = 4105,
    SessionFlowReply = 4106,
    LinkRestored = 4107,
    PacketFlowOffered = 4201,
    PacketFlowRefused = 4202,
    PacketHolderKnown = 4203,
    PacketHolderSought = 4204,
    PacketHolderLost = 4205,
    PacketFlowLost = 4206,
    PacketOfferDecided = 4207,
    PacketUpstreamDown = 4208,
    PacketUpstreamUp = 4209,
    PacketInvalid = 4210,
    PacketRequestExpired = 4211,
    PacketUpstreamReset = 4212,
    PacketFlowGone = 4213,
    PacketAgentsSilent = 4214,
    PacketAgentsHeard = 4215,
    PacketHolderNotFound = 4216,
    PacketUpstreamFigures = 4217,
    PacketSearchesShed = 4218,
    PacketUpstreamRejects = 4219,
    PacketUpstreamAnswers = 4220,
    PacketSearchDelegated = 4221,
    PacketOfOtherFlow = 4222,
    PacketPortReused = 4223,
    PacketFlowsHandedOver = 4224,
    PacketUpstreamEvacuated = 4230,
    PacketEvacuationEnded = 4231,
    PacketEvacuatedOfferRefused = 4232,
    PacketUpstreamCold = 4233,
    PacketUpstreamWarm = 4234,
    PacketUpstreamOverloaded = 4235,
    PacketUpstreamOverloadEnded = 4236,
    PacketEntryOverloaded = 4237,
    PacketEntryOverloadEnded = 4238,
    SettingsRejected = 5001,
    SettingsReloaded = 5002,
    LogLinesSuppressed = 5003,
    HandlerFailed = 5004,
    InvariantViolated = 9001,
};

// What one line of an event is about.
enum class EventScope : uint8_t {
    Process, // a change of the state of the process
    Item, // a single flow, request, packet or record: the limit of log lines applies
};

struct EventInfo {
    Event event;
    Severity severity;
    std::string_view name;
    EventScope scope = EventScope::Process;
};

// All events, ordered by number.
std::span<const EventInfo> allEvents();
const EventInfo& infoOf(Event);

} // namespace wasabicroft
