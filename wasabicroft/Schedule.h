// Schedules the frames that wait to be written to one link or socket, by traffic class. No I/O.
//
// Feeds go first within a byte budget per interval, then requests, then bulk. A minimum share keeps bulk from starving
// while requests saturate the link. Within a class, flows take turns by deficit round robin.
//
// Index
//   [SECTION] Options and results
//   [SECTION] Deficit round robin
//   [SECTION] ClassScheduler
#pragma once

#include "wasabicroft/Clock.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

struct ScheduleOptions {
    size_t feedBudgetBytes = 64 * 1024; // Feed bytes per interval that go first; further ones alternate with requests.
    Milliseconds feedInterval { 100 };
    double bulkShare = 0.1; // Bulk bytes sent per byte of the other classes while bulk waits.
    size_t quantumBytes = 4 * 1024; // Bytes of a flow per turn; writers split bulk into frames of at most this size.
    std::array<size_t, trafficClassCount> classLimitBytes = { 256 * 1024, 1024 * 1024, 1024 * 1024 };
    size_t flowLimitBytes = 64 * 1024;
};

enum class PushResult : uint8_t {
    Accepted,
    AcceptedPause, // Accepted, but stop reading from the flow until takeResumed() returns it.
    Rejected, // Not stored: a limit is reached; push again after takeResumed() returns the flow.
};

inline constexpr std::array<std::string_view, 3> pushResultNames = { "accepted", "accepted-pause", "rejected" };

std::string_view nameOf(PushResult);

struct ScheduledFrame {
    FlowId flow;
    TrafficClass trafficClass = TrafficClass::Request;
    std::string bytes;
};

//-----------------------------------------------------------------------------
// [SECTION] Deficit round robin
//-----------------------------------------------------------------------------

// Queue of the frames of one class. A flow sends at most its deficit per turn; frames of a flow stay in order.
class DeficitRoundRobin {
public:
    explicit DeficitRoundRobin(size_t quantumBytes);

    void push(ScheduledFrame);
    std::optional<ScheduledFrame> pop();
    size_t remove(FlowId); // Returns the number of dropped bytes.
    bool empty() const;
    size_t bytes() const;
    size_t bytesOf(FlowId) const;

private:
    struct FlowQueue {
        std::deque<ScheduledFrame> frames;
        size_t bytes = 0;
        size_t deficit = 0; // Bytes that the flow may still send in this turn.
    };

    size_t quantum = 0;
    size_t totalBytes = 0;
    std::unordered_map<FlowId, FlowQueue> flows;
    std::deque<FlowId> activeFlows; // Flows with frames; the first has the turn.
    bool quantumGranted = false; // The first flow already got its quantum.
};

//-----------------------------------------------------------------------------
// [SECTION] ClassScheduler
//-----------------------------------------------------------------------------

class ClassScheduler {
public:
    ClassScheduler(ScheduleOptions, const Clock&);

    PushResult push(FlowId, TrafficClass, std::string bytes);
    std::optional<ScheduledFrame> next(); // Returns the frame to write now; empty if nothing waits.
    void remove(FlowId); // Drops the waiting frames of an ended flow.

    // Returns the paused or rejected flows that may push again, each once.
    std::vector<FlowId> takeResumed();

    bool empty() const;
    size_t bytes(TrafficClass) const;

private:
    struct PausedFlow {
        TrafficClass trafficClass = TrafficClass::Request;
    };

    DeficitRoundRobin& queueOf(TrafficClass);
    const DeficitRoundRobin& queueOf(TrafficClass) const;
    void refillFeedBudget();
    TrafficClass nextClass();
    void updateCredits(const ScheduledFrame&);

    ScheduleOptions options;
    const Clock& clock;
    std::vector<DeficitRoundRobin> queues; // Indexed by TrafficClass.
    std::unordered_map<FlowId, PausedFlow> paused;
    TimePoint feedIntervalStart;
    size_t feedBytesSent = 0; // Feed bytes sent in this interval.
    double bulkCredit = 0; // Bytes that bulk may send before other classes.
    bool feedTurn = false; // Feeds over their budget alternate with requests: true after a turn of the feeds.
};

} // namespace wasabicroft
