// Gossip between entries and agents, by which they find each other without the platform's store. No I/O.
//
// Agents announce to some entries (the seeds) the service of their upstream and the public addresses on which it
// answers open flows. Entries pass this on to each other. An entry that starts while the store is unreachable serves
// open and new flows on those addresses until the store answers. This never contradicts a configuration: an upstream
// answers an open flow only on an address that was routed to its service.
//
// Entries also report which state of the store they have and when the store last confirmed it. An entry that relies on
// others to notice a change learns from this whether any of them still hears from the store.
//
// Index
//   [SECTION] Messages
//   [SECTION] AgentAnnouncer
//   [SECTION] FleetView
#pragma once

#include "wasabicroft/Evacuation.h"
#include "wasabicroft/Published.h"
#include "wasabicroft/StoreSync.h"

#include <set>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

inline constexpr uint64_t provisionalRevision = 1; // of records learned from agents that state no revision

struct AgentPresence {
    PacketAddress agent; // address for hop messages
    ServiceId service; // service of its upstream
    std::string failureDomain;
    PacketAddress upstream;
    std::vector<PacketAddress> routes; // public addresses on which the upstream answers open flows
    std::optional<UpstreamFigures> figures; // of the upstream, as entries stated them; empty: not known
};

// An entry that another one knows.
struct EntryMention {
    uint32_t address = 0; // IP address
    Milliseconds silence { 0 }; // time since it sent a message to any entry

    bool operator==(const EntryMention&) const = default;
};

struct PresenceMessage {
    bool fromEntry = false;
    bool reachesStore = false; // from entries: the store answered the last reads
    uint64_t routesVersion = 0; // from entries: newest known version
    uint64_t directoryRevision = 0; // from entries: newest known revision, a position of the store
    // From entries: time since the store confirmed this version and revision; empty if it did not.
    std::array<std::optional<Milliseconds>, storeTopicCount> confirmationAges;
    ListState listState = ListState::Starting; // from entries: of its upstreams
    std::vector<EntryMention> entries; // entries that the sender knows, or some of them
    std::vector<AgentPresence> agents; // the sending agent, or agents that the sending entry has learned of
    EvacuationOrders evacuations {}; // from entries; position 0: not known, or the program knows no orders
};

std::vector<uint8_t> encodePresence(const PresenceMessage&);
bool isPresence(Bytes);
Result<PresenceMessage> decodePresence(Bytes);

//-----------------------------------------------------------------------------
// [SECTION] AgentAnnouncer
//-----------------------------------------------------------------------------

struct AnnouncerOptions {
    Milliseconds startInterval { 100 }; // used for startDuration: entries that start with the agent learn of it quickly
    Milliseconds startDuration { 5000 };
    Milliseconds interval { 1000 };
    size_t maxRoutes = 32; // addresses that are announced
    // A route is announced for as long after the last packet of an open flow on it. The configuration may have
    // withdrawn it since: open flows on it end then.
    Milliseconds routeLifetime { 15000 };
};

// Announces an agent to the seeds.
class AgentAnnouncer {
public:
    AgentAnnouncer(AnnouncerOptions, AgentPresence self, const Clock&);

    void setService(ServiceId); // an upstream of another service runs here now: the routes are cleared
    void setUpstreamFigures(const std::optional<UpstreamFigures>&);
    void setEvacuated(bool); // the upstream's failure domain is evacuated: states it as draining
    void onUpstreamAnswered(PacketAddress route); // the upstream sent a packet of an open flow

    std::optional<PresenceMessage> takeMessage(); // the message that is due for the seeds, if any
    const AgentPresence& presence() const { return this->self; }

private:
    void expireRoutes();
    void updateFigures();

    AnnouncerOptions options;
    AgentPresence self;
    std::optional<UpstreamFigures> publishedFigures;
    bool isEvacuated = false;
    std::map<PacketAddress, TimePoint> lastAnswers; // by announced route
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
    Milliseconds silenceTimeout { 5000 }; // agents and entries without a message for longer are removed
    size_t targetsPerInterval = 6; // other entries that get a message in each interval, in turn
    size_t maxAgentsPerMessage = 16; // sent in turn; keeps a message in one datagram
    size_t maxEntriesPerMessage = 24; // mentioned in turn
    size_t sentinelCount = 2; // entries with the lowest addresses among those that reach the store
    Milliseconds confirmationInterval { 1500 }; // a confirmation that is newer by this much is sent at once
};

// State of the store that an entry has.
struct StoreCopy {
    uint64_t routesVersion = 0;
    uint64_t directoryRevision = 0; // of the newest change that is known
    bool isLoaded = false; // routes and upstreams were read
    bool reachesStore = false;
    std::array<std::optional<TimePoint>, storeTopicCount> confirmedAt; // when the store confirmed each topic
    ListState listState = ListState::Starting;
    bool awaitsPeers = false; // for the state of their lists
    EvacuationOrders evacuations {};
};

// The other entries and the agents that an entry has learned of by gossip.
class FleetView {
public:
    FleetView(FleetOptions, const Clock&);

    void setSeeds(std::vector<uint32_t>); // IP addresses; may be outdated
    void onMessage(uint32_t sender, const PresenceMessage&);

    // The message that is due and the entries that are to get it; no entries if none is due. A newer version, revision
    // or confirmation than in the last message makes one due at once, and so does an entry that starts. Call every few
    // milliseconds, after the messages that have arrived were passed to onMessage.
    // Newer orders of evacuations count as a newer revision.
    std::pair<PresenceMessage, std::vector<uint32_t>> takeMessage(const StoreCopy&);

    // Whether this entry is one of the few that use short watches of the store. From them the others learn of a change
    // that a silent connection hides from their own long watches.
    bool isSentinel() const;

    uint64_t newestRoutesVersion() const { return this->routesVersion; } // of any entry
    uint64_t newestDirectoryRevision() const { return this->directoryRevision; }
    // IP address of the entry with the newest revision of the upstreams of those that were heard lately, the one that
    // was heard last among equals. Empty if none has a newer revision than this.
    std::optional<uint32_t> entryWithNewerList(uint64_t revision) const;
    std::vector<uint32_t> knownEntries() const; // IP addresses of other entries
    // When the store last confirmed the newest version or revision to another entry; empty if it did not.
    std::optional<TimePoint> confirmedAt(StoreTopic topic) const
    {
        return this->confirmations.at(static_cast<size_t>(topic));
    }
    // The orders of the latest position that an entry has stated; position 0: none has.
    const EvacuationOrders& newestEvacuations() const { return this->evacuations; }
    // Worst state that entries that run have stated of their lists since the last call. One that has not noticed yet
    // that the store was restored can't vouch for this entry's list, which was read at the given position.
    std::optional<ListState> takePeerListState(uint64_t revision);
    bool takeChange(); // whether the agents or their routes changed since the last call

    // Routes and upstreams as announced by agents; may be incomplete.
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
    void recordConfirmation(StoreTopic, uint64_t announced, uint64_t& newest, std::optional<Milliseconds> age);

    FleetOptions options;
    const Clock& clock;
    std::vector<uint32_t> seeds;
    std::map<PacketAddress, KnownAgent> agents;
    struct KnownEntry {
        TimePoint lastSent; // when it last sent a message to this entry or to another one
        TimePoint lastReceived; // when this entry last received a message of it
        bool reachesStore = false; // as of lastReceived
        uint64_t directoryRevision = 0; // as of lastReceived
    };

    void recordMention(const EntryMention&);
    std::vector<EntryMention> mentions();
    void recordListState(uint32_t sender, ListState, uint64_t revision);
    std::vector<uint32_t> nextTargets();

    std::map<uint32_t, KnownEntry> entries;
    uint64_t routesVersion = 0;
    uint64_t directoryRevision = 0;
    std::array<std::optional<TimePoint>, storeTopicCount> confirmations; // of routesVersion and directoryRevision
    EvacuationOrders evacuations; // see newestEvacuations()
    TimePoint lastPoll; // messages handled now arrived after this time
    uint64_t sentRoutesVersion = 0;
    uint64_t sentDirectoryRevision = 0;
    uint64_t sentEvacuationPosition = 0;
    std::optional<TimePoint> sentConfirmation; // older one of the two topics
    size_t nextTarget; // starts at another entry for each sender, so that the messages of all reach all
    size_t nextMention = 0;
    size_t nextAgent = 0;
    TimePoint nextMessageTime;
    std::optional<ListState> peerListState; // see takePeerListState()
    uint64_t oldestPeerRevision = UINT64_MAX; // of the entries that stated it
    std::set<uint32_t> startingEntries; // entries that wait for the state of this entry's list
    bool changed = false;
};

} // namespace wasabicroft
