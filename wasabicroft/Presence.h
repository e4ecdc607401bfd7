// How entries and agents find each other without the platform's store, and what an entry may serve from that. No I/O.
//
// Agents tell some entries that they are there, which service their upstream belongs to, and on which public addresses
// it answers open flows. Entries pass this on to each other. An entry that was started while the store is away serves
// open flows and new ones on those addresses from it, until the store answers. It never contradicts a configuration:
// an upstream answers an open flow only on an address that was routed to its service.
//
// Index
//   [SECTION] Messages
//   [SECTION] AgentAnnouncer
//   [SECTION] FleetView
#pragma once

#include "wasabicroft/Published.h"

#include <set>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

struct AgentPresence {
    PacketAddress agent; // where it takes hop messages
    ServiceId service; // of its upstream
    std::string failureDomain;
    PacketAddress upstream;
    std::vector<PacketAddress> routes; // public addresses on which the upstream answers open flows
};

struct PresenceMessage {
    bool fromEntry = false;
    bool reachesStore = false; // of entries: the last reads were answered
    uint64_t routesVersion = 0; // newest that the sender knows; of entries
    uint64_t directoryRevision = 0;
    std::vector<uint32_t> entries; // IP addresses of entries that the sender heard lately
    std::vector<AgentPresence> agents; // the sender itself, or agents that an entry heard lately
};

std::vector<uint8_t> encodePresence(const PresenceMessage&);
bool isPresence(Bytes);
Result<PresenceMessage> decodePresence(Bytes);

//-----------------------------------------------------------------------------
// [SECTION] AgentAnnouncer
//-----------------------------------------------------------------------------

struct AnnouncerOptions {
    Milliseconds startInterval { 100 }; // entries that start with the agent learn of it quickly
    Milliseconds startDuration { 5000 };
    Milliseconds interval { 1000 };
    size_t maxRoutes = 32; // addresses announced
};

// An agent's own presence.
class AgentAnnouncer {
public:
    AgentAnnouncer(AnnouncerOptions, AgentPresence self, const Clock&);

    void setService(ServiceId); // another service's upstream runs here now: nothing of before holds
    void onUpstreamAnswered(PacketAddress route); // the upstream sent a packet of an open flow

    std::optional<PresenceMessage> takeMessage(); // what is due for the seeds
    const AgentPresence& presence() const { return this->self; }

private:
    AnnouncerOptions options;
    AgentPresence self;
    const Clock& clock;
    TimePoint started;
    TimePoint nextMessageTime;
};

//-----------------------------------------------------------------------------
// [SECTION] FleetView
//-----------------------------------------------------------------------------

struct FleetOptions {
    uint32_t self = 0; // IP address of this entry
    Milliseconds interval { 1000 }; // between messages to other entries
    Milliseconds startInterval { 100 }; // the same while this entry has no routes from the store
    Milliseconds silenceTimeout { 5000 }; // agents and entries that were not heard for longer are forgotten
    size_t targetsPerInterval = 6; // entries told in one interval, in turn
    size_t maxAgentsPerMessage = 16; // agents in one message, in turn; keeps it in one datagram
    size_t maxEntriesPerMessage = 32; // entries in one message
    size_t sentinelCount = 2; // of the entries that reach the store, those with the lowest addresses
};

// What an entry heard of others.
class FleetView {
public:
    FleetView(FleetOptions, const Clock&);

    void setSeeds(std::vector<uint32_t>); // may be stale
    void onMessage(uint32_t sender, const PresenceMessage&);

    // The message that is due, at the latest when something changed, and the entries that are to get it; empty targets
    // if none is due. hasState: this entry has routes and upstreams of the store.
    std::pair<PresenceMessage, std::vector<uint32_t>> takeMessage(
        uint64_t routesVersion, uint64_t directoryRevision, bool hasState, bool reachesStore);

    // Whether this entry is one of the few that check often that their watches still live; the others learn of a
    // change that a silent connection hides from them.
    bool isSentinel() const;

    uint64_t newestRoutesVersion() const { return this->routesVersion; } // that any entry showed
    uint64_t newestDirectoryRevision() const { return this->directoryRevision; }
    bool takeChange(); // whether the agents or their routes changed since the last call

    // Routes and upstreams as far as agents showed them.
    std::shared_ptr<const RoutingTable> provisionalRoutes() const;
    std::vector<UpstreamRecord> provisionalUpstreams() const;
    size_t agentCount() const { return this->agents.size(); }
    size_t entryCount() const { return this->entries.size(); }

private:
    struct KnownAgent {
        AgentPresence presence;
        TimePoint lastReceived;
    };

    void expireSilent();

    FleetOptions options;
    const Clock& clock;
    std::vector<uint32_t> seeds;
    std::map<PacketAddress, KnownAgent> agents;
    struct KnownEntry {
        TimePoint lastReceived;
        bool reachesStore = false;
    };

    std::map<uint32_t, KnownEntry> entries;
    uint64_t routesVersion = 0;
    uint64_t directoryRevision = 0;
    uint64_t sentRoutesVersion = 0;
    uint64_t sentDirectoryRevision = 0;
    size_t nextTarget = 0;
    size_t nextAgent = 0;
    TimePoint nextMessageTime;
    bool changed = false;
};

} // namespace wasabicroft
