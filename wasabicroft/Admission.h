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
    Milliseconds maxQueueWait { 10000 }; // for requests without a deadline
    Milliseconds rampDuration { 0 }; // cold start: time until all slots are offered; 0 means no ramp
    uint16_t rampStartSlots = 1; // slots offered at the start of the ramp
    Milliseconds stragglerAfter { 5000 }; // a slot held longer counts as a straggler
};

enum class AdmissionDecision : uint8_t { Granted, Queued, Pass, Refused };

inline constexpr std::array<std::string_view, 4> admissionDecisionNames = { "granted", "queued", "pass", "refused" };

std::string_view nameOf(AdmissionDecision);

struct AdmissionRequest {
    FlowId flow;
    TrafficClass trafficClass = TrafficClass::Request;
    bool mayQueue = false;
    Milliseconds deadline { 0 }; // remaining time; 0 means none
};

struct AdmissionVerdict {
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
};

class Admission {
public:
    Admission(AdmissionOptions, const Clock&);

    AdmissionVerdict request(const AdmissionRequest&);
    void release(FlowId); // a granted or queued flow ended; a no-op for an unknown flow

    // Grants queued requests that now have a slot and refuses those whose deadline passed or that a drain ended.
    std::vector<AdmissionChange> update();
    std::optional<TimePoint> nextTimer() const;

    void setDraining(bool);
    bool draining() const;
    void restartRamp(); // the upstream started anew
    void setLimits(uint16_t slots, uint32_t connections); // configuration changed; holders keep their slots
    void setQueue(uint16_t queueLimit, Milliseconds maxQueueWait); // for requests that are not yet queued
    void setRamp(Milliseconds duration); // changes the end of a ramp that has begun

    Load load() const;
    size_t stragglers() const;

private:
    struct Holder {
        TrafficClass trafficClass = TrafficClass::Request;
        TimePoint since;
    };
    struct Waiter {
        FlowId flow;
        TrafficClass trafficClass = TrafficClass::Request;
        TimePoint expires;
    };

    uint16_t offeredSlots() const;
    bool takesSlot(TrafficClass) const;
    bool hasRoom(TrafficClass) const;
    void grant(FlowId, TrafficClass);
    Milliseconds retryAfter() const;

    AdmissionOptions options;
    const Clock& clock;
    std::unordered_map<FlowId, Holder> holders;
    std::deque<Waiter> queue;
    uint16_t busySlots = 0;
    bool isDraining = false;
    TimePoint rampStart;
};

} // namespace wasabicroft
