// Admission at an agent: slots, connection limit, a bounded deadline-aware queue, cold-start ramp and drain.
// No I/O; the clock is passed in.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Frame.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace wasabicroft {

struct AdmissionOptions {
    uint16_t slots = 4; // concurrent requests and bulk transfers
    uint32_t connections = 2000; // concurrent connections of all classes
    uint16_t queueLimit = 32; // waiting requests
    uint16_t backupLimit = 128; // requests that wait here as a backup; the pool's queues together are longer than one
    Milliseconds maxQueueWait { 10000 }; // for requests without a deadline
    Milliseconds rampDuration { 0 }; // cold start: time until all slots are offered; 0 means no ramp
    uint16_t rampStartSlots = 1; // slots offered at the start of the ramp
    Milliseconds stragglerAfter { 5000 }; // a slot held longer counts as a straggler

    // Reservations granted to waiting requests beyond the slots, so that the Data of the next request is already at
    // the agent when a slot becomes free. With a value over 0, work starts only when start() or takeStarts() says so.
    uint16_t reserveAhead = 0;
    uint16_t reserveAheadMinQueue = 1; // waiting requests from which reservations ahead are granted
    Milliseconds backupOvertakeMargin { 100 }; // a backup whose deadline is earlier by this goes before the queue
    uint64_t backupSalt = 0; // differs per upstream, so that upstreams seldom grant the same backup at once
    bool deadlineOrder = true; // earliest deadline first; false is first come, first served
    bool refuseEarly = true; // refuse a request whose expected wait is over its deadline
};

enum class AdmissionDecision : uint8_t { Granted, Queued, Pass, Refused };

inline constexpr std::array<std::string_view, 4> admissionDecisionNames = { "granted", "queued", "pass", "refused" };

std::string_view nameOf(AdmissionDecision);

struct AdmissionRequest {
    FlowId flow;
    TrafficClass trafficClass = TrafficClass::Request;
    bool mayQueue = false;
    Milliseconds deadline { 0 }; // remaining time; 0 means none

    // The request already waits at another upstream; here it gets only a slot for which nothing else waits.
    bool backup = false;
};

struct AdmissionResult {
    AdmissionDecision decision = AdmissionDecision::Pass;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
};

// A queued request that left the queue.
struct AdmissionChange {
    FlowId flow;
    AdmissionDecision decision = AdmissionDecision::Granted; // Granted or Refused
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
    bool backup = false; // a refusal of a backup needs no reply
};

class Admission {
public:
    Admission(AdmissionOptions, const Clock&);

    AdmissionResult request(const AdmissionRequest&);
    void release(FlowId); // a granted or queued flow ended; a no-op for an unknown flow

    // Grants queued requests that now have a slot and refuses those whose deadline passed or that a drain ended.
    std::vector<AdmissionChange> processQueue();
    std::optional<TimePoint> nextTimer() const;

    // The first Data of a granted flow arrived: true if its work may start now. Otherwise takeStarts() names the flow
    // once a slot is free. Feeds and, without reserveAhead, all granted flows may start at once.
    bool start(FlowId);
    std::vector<FlowId> startReadyFlows();

    void setDraining(bool);
    bool draining() const;
    void restartRamp(); // the upstream started anew
    void setLimits(uint16_t slots, uint32_t connections); // configuration changed; holders keep their slots
    void setQueue(uint16_t queueLimit, Milliseconds maxQueueWait); // for requests that are not yet queued
    void setStragglerAfter(Milliseconds);
    void setRamp(Milliseconds duration); // changes the end of a ramp that has begun

    Load load() const;
    size_t stragglers() const;

private:
    enum class HolderPhase : uint8_t { Reserved, Ready, Running };
    struct Holder {
        TrafficClass trafficClass = TrafficClass::Request;
        TimePoint since; // of the current phase
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
    bool hasRoom(TrafficClass, unsigned ahead) const;
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
    std::deque<FlowId> ready; // Data arrived, no slot yet; in order of arrival
    unsigned reservedSlots = 0; // granted flows that take a slot, running or not
    unsigned runningSlots = 0;
    double meanServiceTime = 0; // seconds, moving average of the running time
    bool isDraining = false;
    TimePoint rampStart;
};

} // namespace wasabicroft
