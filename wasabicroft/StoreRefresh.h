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
    Milliseconds steadyWait { 500 }; // while answers are to come steadily; see UpstreamDirectory::needsSteadyAnswers
    Milliseconds maxBehindTime { 350 }; // longer than the interval between two watches
    // An entry whose copy of a topic the store has not confirmed for longer, neither to it nor to others, watches the
    // topic anew with the short wait. Above the interval of a sentinel's confirmations, with the time of their reports.
    Milliseconds maxConfirmationAge { 3000 };
    Milliseconds pauseThreshold { 1000 }; // a longer gap between ticks is a pause; earlier confirmations don't count
};

// Version of the routes that an entry has read, and revision up to which it has all changes of the upstreams.
struct StoreVersions {
    uint64_t routes = 0;
    uint64_t directory = 0;

    uint64_t of(StoreTopic topic) const { return topic == StoreTopic::Routes ? this->routes : this->directory; }
};

class StoreRefresh {
public:
    StoreRefresh(StoreRefreshOptions, StoreSync&, const FleetView&, const Clock&, const Clock& pauseClock);

    void setSteady(StoreTopic topic, bool isSteady) // whether answers of the topic are to come steadily
    {
        this->steady.at(static_cast<size_t>(topic)) = isSteady;
    }

    // Call every few milliseconds. No versions: the state of the store was not read yet. Returns whether a read is due.
    bool onTick(const std::optional<StoreVersions>&);

    // When the store last confirmed the copy of a topic, to this entry or to another one that has the same; as of the
    // last tick.
    std::optional<TimePoint> confirmedAt(StoreTopic topic) const
    {
        return this->confirmations.at(static_cast<size_t>(topic));
    }
    // The same for confirmations to this entry alone, as of now. Answers to reads that began before a pause don't
    // count.
    std::optional<TimePoint> confirmedByStore(StoreTopic);
    bool isBehindPeers(StoreTopic topic) const // other entries have a newer state; as of the last tick
    {
        return this->isBehind.at(static_cast<size_t>(topic));
    }
    Milliseconds behindTime(StoreTopic) const; // for how long other entries have had a newer state; 0: none has
    bool usesShortWatches(StoreTopic topic) const
    {
        return this->isSentinel || this->wasUnconfirmed.at(static_cast<size_t>(topic));
    }
    // What this entry may state of its list of upstreams: a copy that nobody has confirmed lately may lack some.
    ListState listState(const UpstreamDirectory&) const;
    Milliseconds answerAge(StoreTopic) const; // time since the store's last answer, or since the start

private:
    void checkForPause();
    void updateConfirmation(StoreTopic, const StoreVersions&);
    bool updateWatchWaits(const std::optional<StoreVersions>&);
    bool isUnconfirmed(StoreTopic) const;
    bool readIfBehindPeers(const StoreVersions&);
    uint64_t announcedVersion(StoreTopic) const; // newest one that other entries have

    StoreRefreshOptions options;
    StoreSync& sync;
    const FleetView& fleet;
    const Clock& clock;
    const Clock& pauseClock; // see BootClock
    TimePoint startTime;
    TimePoint lastTick; // time of pauseClock
    TimePoint pauseEnd; // end of the last pause
    bool isSentinel = false;
    std::array<std::optional<TimePoint>, storeTopicCount> confirmations; // see confirmedAt()
    std::array<bool, storeTopicCount> wasUnconfirmed {};
    std::array<bool, storeTopicCount> steady {};
    std::array<bool, storeTopicCount> isBehind {}; // see isBehindPeers()
    // For each topic, when other entries were first seen to announce a newer state than this one has read.
    std::array<std::optional<TimePoint>, storeTopicCount> behindSince;
    std::array<std::optional<TimePoint>, storeTopicCount> readDue; // for each topic behind, when it is read in full
};

} // namespace wasabicroft
