// Admission control at an agent: slots, connection limit, a bounded deadline-aware queue, cold-start ramp and drain.
// No I/O; the clock is passed in.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Frame.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace wasabicroft {

struct AdmissionOptions {
    uint16_t slots = 4; // Concurrent requests and bulk transfers.
    uint32_t connections = 2000; // Concurrent connections of all classes.
    uint16_t queueLimit = 32; // Maximum number of waiting requests.
    // Maximum number of requests that wait here as a backup. Larger than queueLimit, because backups come from the
    // queues of the whole pool.
    uint16_t backupLimit = 128;
    Milliseconds maxQueueWait { 10000 }; // Longest wait of a request without a deadline.
    Milliseconds rampDuration { 0 }; // Cold start: time until all slots are offered; 0 means no ramp.
    uint16_t rampStartSlots = 1; // Slots offered at the start of the ramp.
    Milliseconds stragglerAfter { 5000 }; // A request that holds its slot for longer counts as a straggler.

    // Reservations granted to waiting requests beyond the slots, so that the Data of the next request is already at
    // the agent when a slot becomes free. With a value over 0, work starts only when start() returns true or
    // startReadyFlows() returns the flow.
    uint16_t reserveAhead = 0;
    uint16_t reserveAheadMinQueue = 1; // Reservations ahead need at least this many waiting requests.
    Milliseconds backupOvertakeMargin { 100 }; // A backup with a deadline earlier by this much precedes the queue.
    uint64_t backupSalt = 0; // Differs per upstream, so that upstreams seldom grant the same backup at once.
    bool deadlineOrder = true; // Earliest deadline first; false is first come, first served.
    bool refuseEarly = true; // Refuse a request whose expected wait exceeds its deadline.
};

enum class AdmissionDecision : uint8_t { Granted, Queued, Pass, Refused };

inline constexpr std::array<std::string_view, 4> admissionDecisionNames = { "granted", "queued", "pass", "refused" };

std::string_view nameOf(AdmissionDecision);

struct AdmissionRequest {
    FlowId flow;
    TrafficClass trafficClass = TrafficClass::Request;
    bool mayQueue = false;
    Milliseconds deadline { 0 }; // Remaining time; 0 means none.

    // The request already waits at another upstream. Here it gets a slot only if nothing else waits for it or its
    // deadline is earlier by AdmissionOptions::backupOvertakeMargin.
    bool backup = false;
};

struct AdmissionResult {
    AdmissionDecision decision = AdmissionDecision::Pass;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
};

// Outcome of a waiting request that left the queue.
struct AdmissionChange {
    FlowId flow;
    AdmissionDecision decision = AdmissionDecision::Granted; // Granted or Refused.
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
    bool backup = false; // The request waited as a backup.
};

class Admission {
public:
    Admission(AdmissionOptions, const Clock&);

    AdmissionResult request(const AdmissionRequest&);
    void release(FlowId); // A granted or queued flow ended; no effect for an unknown flow.

    // Grants waiting requests for which a slot is free now and refuses those whose deadline passed, or all of them
    // while draining.
    std::vector<AdmissionChange> processQueue();
    std::optional<TimePoint> nextTimer() const;

    // Call when the first Data of a granted flow arrives. Returns true if its work may start now; otherwise
    // startReadyFlows() returns the flow once a slot is free. Feeds and, without reserveAhead, all granted flows may
    // start at once.
    bool start(FlowId);
    std::vector<FlowId> startReadyFlows();

    void setDraining(bool);
    bool draining() const;
    void restartRamp(); // The upstream was restarted.
    void setLimits(uint16_t slots, uint32_t connections); // The configuration changed; granted flows keep their slots.
    void setQueue(uint16_t queueLimit, Milliseconds maxQueueWait); // Applies to requests that are not yet queued.
    void setStragglerAfter(Milliseconds);
    void setRamp(Milliseconds duration); // Also changes the end of a ramp that has begun.

    Load load() const;
    size_t stragglers() const;

private:
    enum class HolderPhase : uint8_t { Reserved, Ready, Running };
    struct Holder {
        TrafficClass trafficClass = TrafficClass::Request;
        TimePoint since; // Start of the current phase.
        HolderPhase phase = HolderPhase::Reserved;
    };
    struct Waiter {
        FlowId flow;
        TrafficClass trafficClass = TrafficClass::Request;
        TimePoint expires;
        bool backup = false;
    };

    uint16_t offeredSlots() const;
    bool takesSlot(TrafficClass) const;
    bool hasCapacity(TrafficClass, unsigned ahead) const;
    unsigned allowedReservationsAhead() const;
    void grant(FlowId, TrafficClass);
    void enqueue(const Waiter&);
    void refuseExpired(std::deque<Waiter>&, std::vector<AdmissionChange>&);
    void grantQueued(std::vector<AdmissionChange>&);
    void grantBackups(std::vector<AdmissionChange>&, bool onlyUrgent);
    uint64_t backupRank(const Waiter&) const;
    Duration expectedWait() const;
    Milliseconds retryAfter() const;

    AdmissionOptions options;
    const Clock& clock;
    std::unordered_map<FlowId, Holder> holders;
    std::deque<Waiter> queue;
    std::deque<Waiter> backups;
    std::deque<FlowId> ready; // Flows whose Data arrived and that have no slot yet, in order of arrival.
    unsigned reservedSlots = 0; // Granted flows that take a slot, running or not.
    unsigned runningSlots = 0;
    double meanServiceTime = 0; // Moving average of the running time in seconds.
    bool isDraining = false;
    TimePoint rampStart;
};

} // namespace wasabicroft
