// Decides when an entry does not rely on its watches of the store alone: it sets the wait of the watches, and reads a
// topic again that other entries have in a newer state. No I/O.
#pragma once

#include "wasabicroft/Presence.h"
#include "wasabicroft/StoreSync.h"

#include <array>
#include <optional>

namespace wasabicroft {

struct StoreRefreshOptions {
    // Longest time until the store answers a watch of a sentinel, and one of another entry. It limits how long a
    // connection that went silent can hide a change.
    Milliseconds sentinelWait { 2000 };
    Milliseconds watchWait { 20000 };
    Milliseconds maxBehindTime { 350 }; // longer than the interval between two watches
};

// Versions of the routes and of the upstream directory that an entry has read.
struct StoreVersions {
    uint64_t routes = 0;
    uint64_t directory = 0;
};

class StoreRefresh {
public:
    StoreRefresh(StoreRefreshOptions, StoreSync&, const FleetView&, const Clock&);

    // Call every few milliseconds. No versions: the state of the store was not read yet. Returns whether a read is due.
    bool onTick(const std::optional<StoreVersions>&);

    bool usesShortWatches() const { return this->isSentinel; }
    Milliseconds answerAge(StoreTopic) const; // time since the store's last answer, or since the start

private:
    bool updateWatchWait();
    bool readIfBehindPeers(const StoreVersions&);

    StoreRefreshOptions options;
    StoreSync& sync;
    const FleetView& fleet;
    const Clock& clock;
    TimePoint startTime;
    bool isSentinel = false;
    // For each topic, when other entries were first seen to announce a newer state than this one has read.
    std::array<std::optional<TimePoint>, storeTopicCount> behindSince;
};

} // namespace wasabicroft
