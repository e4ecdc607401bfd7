// One process's copy of the state published on the platform: the routing table and the upstream directory. No I/O.
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

// A service that receives a share of the new flows of a route.
struct RouteShare {
    ServiceId service;
    uint32_t weight = 1; // relative to the other shares of the route
};

// Services that receive the new flows to a public address.
struct Route {
    std::string name;
    PacketAddress address;
    std::vector<RouteShare> shares; // at least one
    std::optional<RequestLimits> limits; // of the requests on its flows; empty: not known, learned without the store
};

// How much the upstreams of a service bear shortly after their start.
struct ColdStart {
    Milliseconds duration { 0 }; // for how long an upstream is cold
    uint32_t requestsPerSecond = 0; // that it bears while it is cold; 0: no limit is stated

    bool operator==(const ColdStart&) const = default;
};

struct RoutingTable {
    uint64_t version = 0;
    std::map<PacketAddress, Route> routes;
    std::set<ServiceId> listedServices; // those that the configuration lists, with and without routes
    std::optional<Milliseconds> idleTimeout; // a flow without packets for longer may be dropped; empty: not known
    std::map<ServiceId, ColdStart> coldStarts; // of services that state one

    const Route* find(PacketAddress) const;
    std::set<ServiceId> services() const; // that the configuration names: listed ones and those of routes
};

//-----------------------------------------------------------------------------
// [SECTION] Upstream directory
//-----------------------------------------------------------------------------

// The record that an upstream publishes about itself on the platform.
struct UpstreamRecord {
    std::string name;
    int64_t born = 0; // start time of this incarnation as stated by the upstream, Unix time in ms
    ServiceId service;
    PacketAddress address;
    std::string failureDomain;
    std::optional<uint16_t> slots; // requests that it runs at a time; empty: not known, learned without the store
    bool draining = false;
    Milliseconds coldLeft { 0 }; // how much longer it stays cold, when it published the record
    uint64_t revision = 0; // position of the store at which the record last changed; see StorePosition.h

    UpstreamId id() const; // differs between incarnations
    std::optional<UpstreamFigures> figures() const; // empty: not known
};

// State of an upstream's record.
enum class Listing : uint8_t {
    Listed,
    MayReturn, // removed lately: it may have expired in an outage of the store that this process did not notice
    Removed,
};

inline constexpr std::array<std::string_view, 3> listingNames = { "listed", "may-return", "removed" };

inline std::string_view nameOf(Listing listing) { return listingNames.at(static_cast<size_t>(listing)); }

// Whether an entry's list of upstreams shows every one that runs, as far as the entry can tell.
enum class ListState : uint8_t {
    Starting, // it read its first list lately: an outage of the store may have ended just before
    Complete,
    Incomplete, // upstreams that run may be missing
};

inline constexpr std::array<std::string_view, 3> listStateNames = { "starting", "complete", "incomplete" };

inline std::string_view nameOf(ListState state) { return listStateNames.at(static_cast<size_t>(state)); }

struct DirectoryOptions {
    Milliseconds recoveryGrace { 2000 }; // records that expired in a store outage return within this time after it
    // An upstream that drained leaves for good, unless its record expired in an outage just before it would have left.
    // Its agent may restart meanwhile.
    Milliseconds drainedReturnTime { 800 };
    Milliseconds peerStateTimeout { 150 }; // a starting process waits this long for the list state of entries that run
    Milliseconds propagationTime { 750 }; // for a change to reach every entry by its spaced watches or gossip of peers
    Milliseconds removedUpstreamLifetime { 60000 }; // a removed upstream may hold flows for this long
    // Answers of the store in shorter intervals show that it had no outage in which a record could expire.
    Milliseconds maxAnswerGap { 1000 };
    // After the first list, for records of upstreams that were lost with this process to expire: more than three
    // intervals in which upstreams renew them.
    Milliseconds startWatchTime { 4000 };
    Milliseconds pauseThreshold { 1000 }; // a longer gap between ticks is a pause, in which an outage may be missed
};

// Directory of upstreams. Merges records by revision: responses and events may arrive in any order and repeatedly. All
// revisions are positions (StorePosition.h), so that those of a restored store are newer than what it lost.
class UpstreamDirectory {
public:
    UpstreamDirectory(DirectoryOptions, const Clock&);
    UpstreamDirectory(DirectoryOptions, const Clock&, const Clock& pauseClock); // see BootClock

    // The services that the configuration names. Records of others claim no address of an upstream: another writer may
    // have published them. All services count as named until this is called.
    void setServices(std::set<ServiceId>);

    // Change single records; changes not newer than the stored record are ignored. Return whether anything changed.
    bool update(UpstreamRecord);
    bool remove(const std::string& name, uint64_t revision);

    // Applies a complete list, read at the given revision of the store. Records that it lacks are removed. Returns
    // whether anything changed. The first list of a newer era has the effect of an outage of the store, see
    // onStoreRecovered().
    bool replace(std::vector<UpstreamRecord>, uint64_t revision);

    // The store answers again after a failure: records that it lacks now may return within recoveryGrace. They count as
    // gone once a read that began after that time has shown the records. No effect if the store answered so lately that
    // no record can have expired in between.
    void onStoreRecovered();
    // A removed record may return within recoveryGrace even if this process noticed no outage: its watch may have been
    // silent. Requests a read that began after that time for the records that were removed lately.
    void requestCheckOfRemovals();
    bool takeReadRequest(); // whether a read is due that one of the functions above asks for; true once
    // The store answered a read or watch of the records that began at this time. Returns whether it shows that removed
    // records did not return.
    bool onRead(TimePoint started);
    bool onTick(); // call every few milliseconds; returns whether that changed what is usable or isComplete()

    // Whether every live upstream is listed: the store was read, and again after the grace period of an outage. After
    // the first read, entries that run state whether it was; it counts as complete if none answers.
    bool isComplete() const;
    bool awaitsPeers() const { return this->isAwaitingPeers; } // for the state of their lists, after the first read
    // An entry that runs states this of its list. Used shortly after the first read only. Returns whether isComplete()
    // or awaitsPeers() changed.
    bool onPeerListState(ListState);
    ListState listState() const;
    // Whether answers of the store are to come in intervals shorter than maxAnswerGap: shortly after the first list,
    // they show that records which are removed did not expire in an outage of the store.
    bool needsSteadyAnswers() const;

    uint64_t revision() const { return this->newestRevision; } // newest known revision of the store
    uint64_t lastChange() const { return this->lastChangeRevision; } // revision of the newest known change of a record
    bool isLoaded() const { return this->newestRevision > 0; }

    // Upstreams that take new flows. One at a new address, or at one of another service, is left out for
    // propagationTime, until every entry lists it: an entry that doesn't would treat its flows as lost. If there is no
    // other upstream, it is included at once.
    std::vector<UpstreamRecord> usable(ServiceId) const;
    // Includes draining and removed upstreams, and those whose address another record claims, these last: unless they
    // were removed for good.
    std::vector<UpstreamRecord> possibleHolders(ServiceId) const;
    std::vector<UpstreamRecord> allListed() const;
    std::set<ServiceId> services() const; // of all records, including removed ones
    // Records of services that the configuration does not name count as removed.
    Listing listingOf(const UpstreamRecord&) const;
    // The listed upstream of a named service at an address that started last; null if none.
    const UpstreamRecord* listedAt(PacketAddress) const;

private:
    struct Row {
        UpstreamRecord record;
        bool listed = true;
        uint64_t removedAt = 0; // revision in which the record was removed
        TimePoint unlistedAt; // when the record was removed
        TimePoint returnsUntil; // if it expired in an outage of the store, it is back by then
        bool keptForGrace = false; // removed, but usable until the grace period ends
        TimePoint usableFrom; // when every entry lists the upstream
    };

    void endWaitForPeers(std::string_view outcome);
    void checkForPause();
    bool answersSteadily() const;
    void startGrace();
    void startGrace(TimePoint end);
    void noteRevision(uint64_t revision);
    void unlist(Row&, uint64_t revision);
    TimePoint returnTime() const;
    bool mayReturn(const Row&) const;
    bool isAskedFor(ServiceId, PacketAddress) const;
    bool isSuperseded(const UpstreamRecord&) const;
    bool isNamed(ServiceId) const;
    bool isFormerIncarnation(const UpstreamRecord&, const Row& known) const;
    void removeFromAddressIndex(const UpstreamRecord&);

    DirectoryOptions options;
    const Clock& clock;
    const Clock& pauseClock; // measures pauses of the process
    std::optional<std::set<ServiceId>> namedServices; // see setServices(); empty: all
    std::map<std::string, Row> rows; // by name
    std::map<PacketAddress, std::set<std::string>> namesByAddress; // names of rows
    uint64_t newestRevision = 0;
    uint64_t lastChangeRevision = 0;
    bool hasFullList = false; // a list was read
    TimePoint startEnd; // recoveryGrace after the first list was read
    bool isAwaitingPeers = false;
    bool isConfirmedByPeer = false; // an entry that runs stated that its list is complete
    std::multiset<TimePoint> pendingUsableTimes; // when upstreams at new addresses become usable
    std::optional<TimePoint> lastTick; // time of pauseClock
    TimePoint graceEnd;
    bool inGrace = false;
    bool isReadRequested = false; // for the current grace period
    bool hasReadAfterGrace = false;
    TimePoint lastReadStart = TimePoint::min(); // of the reads that the store answered
    std::optional<TimePoint> lastAnswer; // of the store; empty after an outage or a pause
    TimePoint answersSince; // since then, the store has answered in intervals of at most maxAnswerGap
    std::optional<TimePoint> removalCheckTime; // when a read of removed records is due, if one was requested
};

} // namespace wasabicroft
