#include "wasabicroft/Events.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace wasabicroft {

namespace {

    constexpr std::array events = {
        EventInfo { Event::EntryStarted, Severity::Info, "entry-started" },
        EventInfo { Event::EntryStopping, Severity::Info, "entry-stopping" },
        EventInfo { Event::EntryStopped, Severity::Info, "entry-stopped" },
        EventInfo { Event::ListenerOpened, Severity::Info, "listener-opened" },
        EventInfo { Event::ListenerClosed, Severity::Info, "listener-closed" },
        EventInfo { Event::ListenerFailed, Severity::Error, "listener-failed" },
        EventInfo { Event::EntryConfigInForce, Severity::Info, "entry-config-in-force" },
        EventInfo { Event::AgentStarted, Severity::Info, "agent-started" },
        EventInfo { Event::AgentStopping, Severity::Info, "agent-stopping" },
        EventInfo { Event::AgentStopped, Severity::Info, "agent-stopped" },
        EventInfo { Event::ReservationDecided, Severity::Info, "reservation-decided", EventScope::Item },
        EventInfo { Event::UpstreamConnectFailed, Severity::Warning, "upstream-connect-failed", EventScope::Item },
        EventInfo { Event::UpstreamDrainChanged, Severity::Info, "upstream-drain-changed" },
        EventInfo { Event::AgentConfigInForce, Severity::Info, "agent-config-in-force" },
        EventInfo { Event::ConfigAccepted, Severity::Info, "config-accepted" },
        EventInfo { Event::ConfigRejected, Severity::Error, "config-rejected" },
        EventInfo { Event::OlderConfigIgnored, Severity::Warning, "older-config-ignored" },
        EventInfo { Event::PlatformUnreachable, Severity::Warning, "platform-unreachable" },
        EventInfo { Event::PlatformReachable, Severity::Info, "platform-reachable" },
        EventInfo { Event::InstancesChanged, Severity::Info, "instances-changed" },
        EventInfo { Event::InstancesRejected, Severity::Error, "instances-rejected" },
        EventInfo { Event::WatcherSelected, Severity::Info, "watcher-selected" },
        EventInfo { Event::WatcherReleased, Severity::Info, "watcher-released" },
        EventInfo { Event::ConfigFetched, Severity::Info, "config-fetched" },
        EventInfo { Event::PeerFetchFailed, Severity::Info, "peer-fetch-failed" },
        EventInfo { Event::ConfigUnconfirmed, Severity::Warning, "config-unconfirmed" },
        EventInfo { Event::ConfigConfirmed, Severity::Info, "config-confirmed" },
        EventInfo { Event::RoutesInForce, Severity::Info, "routes-in-force" },
        EventInfo { Event::UpstreamListed, Severity::Info, "upstream-listed", EventScope::Item },
        EventInfo { Event::UpstreamUnlisted, Severity::Info, "upstream-unlisted", EventScope::Item },
        EventInfo { Event::StoreUnreachable, Severity::Warning, "store-unreachable" },
        EventInfo { Event::StoreReachable, Severity::Info, "store-reachable" },
        EventInfo { Event::StoreItemInvalid, Severity::Warning, "store-item-invalid", EventScope::Item },
        EventInfo { Event::ProvisionalState, Severity::Info, "provisional-state" },
        EventInfo { Event::StoreWatchWaitChanged, Severity::Info, "store-watch-wait-changed" },
        EventInfo { Event::StoreReadRepeated, Severity::Info, "store-read-repeated" },
        EventInfo { Event::FirstListChecked, Severity::Info, "first-list-checked" },
        EventInfo { Event::StoreRestored, Severity::Warning, "store-restored" },
        EventInfo { Event::StoreAnswerRefused, Severity::Warning, "store-answer-refused" },
        EventInfo { Event::EvacuationOrdered, Severity::Warning, "evacuation-ordered" },
        EventInfo { Event::EvacuationWithdrawn, Severity::Info, "evacuation-withdrawn" },
        EventInfo { Event::EvacuationsLimited, Severity::Error, "evacuations-limited" },
        EventInfo { Event::InvalidFrame, Severity::Warning, "invalid-frame", EventScope::Item },
        EventInfo { Event::LinkLost, Severity::Warning, "link-lost" },
        EventInfo { Event::FlowPlaced, Severity::Info, "flow-placed", EventScope::Item },
        EventInfo { Event::FlowNotPlaced, Severity::Warning, "flow-not-placed", EventScope::Item },
        EventInfo { Event::FlowEnded, Severity::Info, "flow-ended", EventScope::Item },
        EventInfo { Event::SessionFlowPlaced, Severity::Info, "session-flow-placed", EventScope::Item },
        EventInfo { Event::SessionFlowReply, Severity::Info, "session-flow-reply", EventScope::Item },
        EventInfo { Event::LinkRestored, Severity::Info, "link-restored" },
        EventInfo { Event::PacketFlowOffered, Severity::Info, "packet-flow-offered", EventScope::Item },
        EventInfo { Event::PacketFlowRefused, Severity::Warning, "packet-flow-refused", EventScope::Item },
        EventInfo { Event::PacketHolderKnown, Severity::Info, "packet-holder-known", EventScope::Item },
        EventInfo { Event::PacketHolderSought, Severity::Info, "packet-holder-sought", EventScope::Item },
        EventInfo { Event::PacketHolderLost, Severity::Warning, "packet-holder-lost", EventScope::Item },
        EventInfo { Event::PacketFlowLost, Severity::Warning, "packet-flow-lost", EventScope::Item },
        EventInfo { Event::PacketOfferDecided, Severity::Info, "packet-offer-decided", EventScope::Item },
        EventInfo { Event::PacketUpstreamDown, Severity::Warning, "packet-upstream-down" },
        EventInfo { Event::PacketUpstreamUp, Severity::Info, "packet-upstream-up" },
        EventInfo { Event::PacketInvalid, Severity::Warning, "packet-invalid", EventScope::Item },
        EventInfo { Event::PacketRequestExpired, Severity::Info, "packet-request-expired", EventScope::Item },
        EventInfo { Event::PacketUpstreamReset, Severity::Info, "packet-upstream-reset", EventScope::Item },
        EventInfo { Event::PacketFlowGone, Severity::Info, "packet-flow-gone", EventScope::Item },
        EventInfo { Event::PacketAgentsSilent, Severity::Warning, "packet-agents-silent" },
        EventInfo { Event::PacketAgentsHeard, Severity::Info, "packet-agents-heard" },
        EventInfo { Event::PacketHolderNotFound, Severity::Info, "packet-holder-not-found", EventScope::Item },
        EventInfo { Event::PacketUpstreamFigures, Severity::Info, "packet-upstream-figures" },
        EventInfo { Event::PacketSearchesShed, Severity::Warning, "packet-searches-shed" },
        EventInfo { Event::PacketUpstreamRejects, Severity::Warning, "packet-upstream-rejects" },
        EventInfo { Event::PacketUpstreamAnswers, Severity::Info, "packet-upstream-answers" },
        EventInfo { Event::PacketSearchDelegated, Severity::Info, "packet-search-delegated", EventScope::Item },
        EventInfo { Event::PacketOfOtherFlow, Severity::Info, "packet-of-other-flow", EventScope::Item },
        EventInfo { Event::PacketPortReused, Severity::Info, "packet-port-reused", EventScope::Item },
        EventInfo { Event::PacketFlowsHandedOver, Severity::Info, "packet-flows-handed-over" },
        EventInfo { Event::PacketUpstreamEvacuated, Severity::Info, "packet-upstream-evacuated" },
        EventInfo { Event::PacketEvacuationEnded, Severity::Info, "packet-evacuation-ended" },
        EventInfo {
            Event::PacketEvacuatedOfferRefused, Severity::Warning, "packet-evacuated-offer-refused", EventScope::Item },
        EventInfo { Event::PacketUpstreamCold, Severity::Info, "packet-upstream-cold" },
        EventInfo { Event::PacketUpstreamWarm, Severity::Info, "packet-upstream-warm" },
        EventInfo { Event::PacketUpstreamOverloaded, Severity::Warning, "packet-upstream-overloaded" },
        EventInfo { Event::PacketUpstreamOverloadEnded, Severity::Info, "packet-upstream-overload-ended" },
        EventInfo { Event::PacketEntryOverloaded, Severity::Warning, "packet-entry-overloaded" },
        EventInfo { Event::PacketEntryOverloadEnded, Severity::Info, "packet-entry-overload-ended" },
        EventInfo { Event::SettingsRejected, Severity::Error, "settings-rejected" },
        EventInfo { Event::SettingsReloaded, Severity::Info, "settings-reloaded" },
        EventInfo { Event::LogLinesSuppressed, Severity::Warning, "log-lines-suppressed" },
        EventInfo { Event::HandlerFailed, Severity::Error, "handler-failed" },
        EventInfo { Event::InvariantViolated, Severity::Error, "invariant-violated" },
    };

} // namespace

std::span<const EventInfo> allEvents() { return events; }

const EventInfo& infoOf(Event event)
{
    const auto found = std::lower_bound(
        events.begin(), events.end(), event, [](const EventInfo& info, Event number) { return info.event < number; });
    assert(found != events.end() && found->event == event && "every Event has a row in the table of Events.cpp");
    return *found;
}

} // namespace wasabicroft
