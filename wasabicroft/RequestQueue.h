// Decides when an agent hands a request on an open flow to its upstream. No I/O.
//
// An upstream that is asked for more than it can run queues a little and then rejects. The queue here keeps it just
// busy. While requests wait, those that can still be answered within their latency objective run first, because a
// request that has missed it loses little by waiting longer; the others follow, oldest first, until they time out.
// Last come requests that can hardly be answered in time and those whose client has closed the flow.
//
// Admission, its counterpart for session flows, grants reservations before any work is sent. Here the flow is open and
// the work has arrived: it can wait or be dropped, but not be sent elsewhere.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <vector>

namespace wasabicroft {

struct RequestQueueOptions {
    uint16_t slots = 0; // requests that the upstream runs at a time; 0: not known, nothing waits
    uint16_t prefetch = 1; // requests beyond the slots, so that a slot is not idle while the next one is on its way
    uint16_t probePrefetch = 4; // further ones on flows that the upstream may not hold; it returns those at once
    size_t maxWaiting = 512; // further requests are dropped
    Milliseconds defaultTimeout { 8000 }; // of requests whose route states none
    Milliseconds minStuckTime { 300 }; // a request that lacks an answer for longer, and for stuckFactor times the usual
    double stuckFactor = 8; // service time, no longer counts as running: it or its answer may be lost
    bool orderByObjective = true; // false: first come, first served
};

struct QueuedRequest {
    FlowKey flow;
    TimePoint arrived;
    Milliseconds objective { 0 }; // latency objective; 0: none
    Milliseconds timeout { 0 }; // 0: none
    unsigned priority = 0; // 0 is highest
    bool isProbe = false; // the upstream may not hold the flow
    bool isAbandoned = false; // the client has closed the flow
};

class RequestQueue {
public:
    enum class Decision : uint8_t { Start, Wait, Drop };

    RequestQueue(RequestQueueOptions, const Clock&);

    void setSlots(uint16_t);
    void setPaused(bool); // while paused, nothing starts

    Decision submit(const QueuedRequest&); // a request arrived; Start counts it as running
    void onAnswered(const FlowKey&); // the upstream began to answer
    void onClientClosed(const FlowKey&); // the client sent its FIN after the request: it has probably given up
    void onHeld(const FlowKey&); // the upstream holds the flow of a probe
    void remove(const FlowKey&); // the flow ended; a no-op for an unknown flow

    std::vector<FlowKey> startWaiting(); // waiting requests that start now
    std::vector<FlowKey> takeExpired(); // requests that timed out while waiting, or are stuck

    size_t runningCount() const { return this->runningRequests.size(); }
    size_t waitingCount() const { return this->waitingRequests.size(); }

private:
    struct Running {
        QueuedRequest request;
        TimePoint started;
    };

    bool canStart(bool isProbe) const;
    // Lower ranks start first.
    enum class Rank : uint8_t { MeetsObjective, MeetsTimeout, Last };

    Rank rankOf(const QueuedRequest&) const;
    bool startsBefore(const QueuedRequest&, const QueuedRequest&) const;
    Milliseconds effectiveTimeout(const QueuedRequest&) const;
    void start(const QueuedRequest&);

    RequestQueueOptions options;
    const Clock& clock;
    std::vector<QueuedRequest> waitingRequests;
    std::unordered_map<FlowKey, Running, FlowKeyHash> runningRequests;
    bool paused = false;
    double meanServiceSeconds = 0; // seconds from start to the begin of the answer, moving average
};

} // namespace wasabicroft
