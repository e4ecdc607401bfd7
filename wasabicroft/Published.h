// What the platform publishes, as one process believes it: routes, and the upstreams that announced themselves. No I/O.
//
// Index
//   [SECTION] Routing table
//   [SECTION] Upstream directory
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Routing table
//-----------------------------------------------------------------------------

struct RouteShare {
    ServiceId service;
    uint32_t weight = 1; // relative to the other shares of the route
};

// Where new flows to a public address go.
struct Route {
    std::string name;
    PacketAddress address;
    std::vector<RouteShare> shares; // at least one
    Milliseconds objective { 0 }; // latency objective of the requests inside; 0: none
    Milliseconds timeout { 0 }; // of the requests inside; 0: none
    unsigned priority = 0; // 0 is highest
};

struct RoutingTable {
    uint64_t version = 0;
    std::map<PacketAddress, Route> routes;
    Milliseconds idleTimeout { 15000 }; // flows without packets for longer may be forgotten

    const Route* find(PacketAddress) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Upstream directory
//-----------------------------------------------------------------------------

// An upstream's own entry on the platform.
struct UpstreamRecord {
    std::string name;
    int64_t born = 0; // start of this incarnation, Unix time in ms as the upstream states it
    ServiceId service;
    PacketAddress address;
    std::string failureDomain;
    uint16_t slots = 1;
    bool draining = false;
    uint64_t revision = 0; // of the platform's state in which the entry last changed

    UpstreamId id() const; // differs between incarnations
};

struct DirectoryOptions {
    Milliseconds recoveryGrace { 2000 }; // entries that lapsed during an outage return within this time after it
    Milliseconds propagationTime { 750 }; // a change reaches every entry: spacing of watches and hints of peers
    Milliseconds removedUpstreamLifetime { 60000 }; // a flow may outlive its upstream's entry for this long
    Milliseconds pauseThreshold {
        1000
    }; // a process without a tick for longer was frozen and may have missed an outage
};

// Merges entries by revision, so that answers and events may arrive in any order and more than once.
class UpstreamDirectory {
public:
    UpstreamDirectory(DirectoryOptions, const Clock&);
    UpstreamDirectory(DirectoryOptions, const Clock&, const Clock& pauseClock); // see BootClock

    // Changes of single entries; older revisions than the known one are ignored. All return whether something changed.
    bool update(UpstreamRecord);
    bool remove(const std::string& name, uint64_t revision);

    // A complete list of the platform, read when its state had the given revision. Entries that it lacks are removed.
    bool replace(std::vector<UpstreamRecord>, uint64_t revision);

    // The platform answers again after an outage: entries that it lacks now may return shortly.
    void onStoreRecovered();
    bool onTick(); // every few milliseconds; returns whether a time limit ended that changes what is usable

    // Every live upstream is listed: the state is known, and no outage ended shortly before.
    bool isComplete() const;

    uint64_t revision() const { return this->newestRevision; } // of the newest known state
    uint64_t lastChange() const { return this->lastChangeRevision; } // revision of the newest known change of an entry
    bool isLoaded() const { return this->newestRevision > 0; }

    // Take new flows. An upstream at a new address does so once every entry knows it, or an entry without it would take
    // its flows for lost; if there is no other, at once.
    std::vector<UpstreamRecord> usable(ServiceId) const;
    std::vector<UpstreamRecord> possibleHolders(
        ServiceId) const; // may hold open flows; includes draining and removed ones
    std::vector<UpstreamRecord> allListed() const; // listed ones
    bool isListed(const UpstreamRecord&) const;
    const UpstreamRecord* listedAt(PacketAddress) const; // newest incarnation at an address; null if none

private:
    struct Row {
        UpstreamRecord record;
        bool listed = true;
        uint64_t removedAt = 0; // revision of the removal
        TimePoint unlistedAt; // since when
        bool keptForGrace = false; // still used although the list lacks it
        TimePoint usableFrom; // every entry knows it
    };

    void checkForPause();
    void unlist(Row&, uint64_t revision);
    bool isSuperseded(const UpstreamRecord&) const;
    void removeFromAddressIndex(const UpstreamRecord&);

    DirectoryOptions options;
    const Clock& clock;
    const Clock& pauseClock; // shows how long the process stood still
    std::map<std::string, Row> rows; // by name
    std::map<PacketAddress, std::set<std::string>> namesByAddress; // of rows, by address
    uint64_t newestRevision = 0;
    uint64_t lastChangeRevision = 0;
    bool hasFullList = false; // a complete list was read
    std::multiset<TimePoint> pendingUsableTimes; // times of upstreams at new addresses
    std::optional<TimePoint> lastTick; // of the pause clock
    TimePoint graceEnd;
    bool inGrace = false;
};

} // namespace wasabicroft
