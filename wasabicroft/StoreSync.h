// Schedules the reads of the platform's store and tracks whether the store can be reached. No I/O.
//
// Two topics are read independently, each with at most one read in flight. A topic is read in full once and then
// watched from the position of that read on. The caller makes the reads that nextRead returns and reports outcomes.
//
// All revisions here are positions (StorePosition.h). An answer of a newer era shows that the store was restored from
// an older copy: every topic is read in full then, since watches can't report what differs.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/StorePosition.h"

#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wasabicroft {

enum class StoreTopic : uint8_t { Routes, Upstreams };

inline constexpr std::array<std::string_view, 2> storeTopicNames = { "routes", "upstreams" };
inline constexpr size_t storeTopicCount = storeTopicNames.size();

inline std::string_view nameOf(StoreTopic topic) { return storeTopicNames.at(static_cast<size_t>(topic)); }

// One read of the store.
struct StoreRead {
    uint64_t number = 0; // identifies the read; outcomes of earlier reads of the topic are ignored
    StoreTopic topic = StoreTopic::Routes;
    bool isWatch = false; // waits for a change; false: reads the whole topic
    uint64_t afterRevision = 0; // of a watch: changes after this revision are reported
    uint64_t minRevision = 0; // an answer that states an older revision is not the answer to this read
    std::string pageAfter; // key after which the next page begins; empty for the first page
    Milliseconds wait { 0 }; // of a watch: longest time until the store answers
    Milliseconds timeout { 0 }; // the read counts as failed if no answer begins within this time
    Milliseconds pauseTimeout { 0 }; // and if an answer that has begun pauses for longer
    bool withEvacuations = false; // of the topic Routes: reads evacuation orders in the same calls
};

struct StoreSyncOptions {
    Milliseconds watchWait { 4000 }; // limits how long a silent connection can hide a change
    // Wait of the first watch after a failure: its answer shows whether the store was restored. A watch from a revision
    // that the restored store has given out again would report nothing of that until it ends.
    Milliseconds checkWait { 1 };
    Milliseconds watchSpacing { 250 }; // least time between two watches; changes in between come in one answer
    Milliseconds readTimeout { 1000 }; // longer than a slow store takes to answer
    // An answer to a watch up to this size takes no longer than a list: one change of the largest value of the store
    // (1 MiB, in base64). Larger ones have several changes of which only the last counts.
    uint64_t maxSingleChangeBytes = 1536 * 1024;
    Milliseconds minBackOff { 50 };
    Milliseconds maxBackOff { 400 };
    Milliseconds maxInitialBackOff { 80 }; // for a topic that was never read, as nothing can be served without it
    bool readsEvacuations = false; // evacuation orders are part of the topic Routes
    double jitter = 0.2; // share by which a back-off varies in both directions
    uint64_t seed = 1; // seed of the jitter
};

class StoreSync {
public:
    StoreSync(StoreSyncOptions, const Clock&);

    // Sets the wait of a topic's watches from now on. Returns whether a watch in flight has a longer wait and is
    // replaced.
    bool setWatchWait(StoreTopic, Milliseconds);

    // The read of a topic that is due, if any. It counts as in flight.
    std::optional<StoreRead> nextRead(StoreTopic);
    TimePoint nextReadTime(StoreTopic) const; // TimePoint::max() while a read is in flight

    // The answer to a read begins to arrive. bytes is its size, if stated.
    void onAnswerStarted(const StoreRead&, std::optional<uint64_t> bytes);

    // Report the outcome of a read. Return whether the answer is to be used: it was the read in flight, and the answer
    // is not part of a list or watch that began in a former era.
    bool onPage(const StoreRead&, uint64_t revision, bool hasMore, const std::string& lastKey);
    bool onEvents(const StoreRead&, uint64_t revision);
    // The store does not have the changes since the last read. It may state a position.
    bool onHistoryLost(const StoreRead&, uint64_t revision = 0);
    bool onFailure(const StoreRead&);

    // A peer reported a revision: reads the topic in full now, unless it is not newer or a full read is in flight.
    // Returns whether it is read.
    bool onNewerRevision(StoreTopic, uint64_t revision);

    // Whether the answer to a watch arrives that brings a change sooner than a read in full, which would start anew.
    bool isChangeArriving(StoreTopic) const;
    bool isReachable(StoreTopic) const; // the last read was answered
    // Whether the store answered again after a failure since the last call. A failure of one topic counts for the next
    // answer of every topic: the other one may not have been read during the outage.
    bool takeRecovery();
    uint64_t listRevision(StoreTopic) const; // revision of the store at the first page of the last full read
    std::optional<TimePoint> lastAnswer(StoreTopic) const;
    uint64_t completeRevision(StoreTopic) const; // all changes up to this revision were reported
    TimePoint lastReadStart(StoreTopic) const; // of the last read of the whole topic, or watch, that was answered
    // When the store last confirmed that this copy of the topic is its newest state. Empty while the topic has to be
    // read in full, and if the answer is to a read that began before the given time.
    std::optional<TimePoint> confirmedAt(StoreTopic, TimePoint readAfter) const;

private:
    struct TopicState {
        std::optional<StoreRead> inFlight;
        std::optional<TimePoint> answerStart; // when the answer to the read in flight began to arrive
        bool isChangeArriving = false; // the read in flight is a watch; see isChangeArriving()
        TimePoint due;
        uint64_t revision = 0; // revision to watch from; 0 requires a full read
        uint64_t completeRevision = 0; // see completeRevision()
        uint64_t listRevision = 0;
        std::string pageAfter;
        unsigned failures = 0; // consecutive
        std::optional<TimePoint> lastAnswer;
        Milliseconds watchWait { 0 };
        bool isCheckDue = false; // see checkWait
        TimePoint readStart; // of the read in flight, or of the first page of a list that is being read
        TimePoint confirmedAt;
        TimePoint confirmingReadStart;
    };

    TopicState& at(StoreTopic topic) { return this->topics.at(static_cast<size_t>(topic)); }
    const TopicState& at(StoreTopic topic) const { return this->topics.at(static_cast<size_t>(topic)); }
    bool finishRead(const StoreRead&);
    bool noteRevision(const StoreRead&, uint64_t revision);
    void recordAnswer(TopicState&);
    Milliseconds backOff(const TopicState&);

    StoreSyncOptions options;
    const Clock& clock;
    std::mt19937_64 random;
    std::array<TopicState, storeTopicCount> topics;
    uint64_t readCount = 0;
    uint64_t newestRevision = 0; // of all answers
    std::optional<TimePoint> lastFailure; // of any topic
    bool recovered = false;
};

// Limits log lines about items of the store that can't be used: one for each key in each interval, for the first
// maxKeys keys only. Such an item is read again with each list, and its writer may change it at any rate.
class ItemLogLimiter {
public:
    bool shouldLog(const std::string& key, TimePoint now);

private:
    static constexpr Milliseconds interval { 60000 };
    static constexpr size_t maxKeys = 16;

    std::vector<std::string> loggedKeys; // in the current interval
    TimePoint intervalStart;
};

} // namespace wasabicroft
