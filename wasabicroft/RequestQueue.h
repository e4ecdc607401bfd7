// Queue of requests on open flows at an agent: decides when each is sent to the upstream. No I/O.
//
// An upstream that gets more requests than it can run queues a few and then rejects the rest. This queue sends it just
// enough to keep it busy. Requests that can still be answered within their latency objective start first, because one
// that has missed it loses little by waiting longer; the others follow until they time out. Last come requests that can
// hardly be answered before their timeout and those whose client has closed the flow. OverloadPolicy has the details.
//
// A hook may limit further what starts, as for cold upstreams. Requests that it does not admit wait, and hold up none
// that it admits.
//
// Admission, its counterpart for session flows, grants reservations before any request is sent. Here the flow is open
// and the request has arrived: it can wait or be dropped, but not be sent to another upstream.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/OverloadPolicy.h"
#include "wasabicroft/Packet.h"
#include "wasabicroft/ServiceTime.h"
#include "wasabicroft/StallDetector.h"

#include <functional>
#include <vector>

namespace wasabicroft {

struct RequestQueueOptions {
    uint16_t slots = 0; // requests that the upstream runs at a time; 0: unknown, nothing waits
    uint16_t prefetch = 1; // requests beyond the slots, so that no slot is idle while the next one is on its way
    // Probes are requests on flows that the upstream may not hold. It returns those at once, so that they neither wait
    // behind other requests nor take their place.
    uint16_t probePrefetch = 4; // requests beyond the prefetched ones that turned out to be held, until probes wait
    size_t maxUnansweredProbes = 256; // delivered, and neither returned nor known to be held
    size_t maxWaiting = 512; // further requests are dropped
    Milliseconds defaultTimeout { 8000 }; // of requests whose route states none
    // A request without an answer for minStuckTime and for stuckFactor times the mean service time no longer counts
    // as running: it or its answer may be lost.
    Milliseconds minStuckTime { 300 };
    double stuckFactor = 8;
    bool orderByObjective = true; // false: first come, first served
    ServiceTimeOptions serviceTime {};
    // How long requests of a priority are passed over by those of higher ones, as a share of their timeout; 0: forever.
    double maxPassedOverShare = 0.5;
    WorkEstimatorOptions work {};
    StallOptions stall {};
};

struct QueuedRequest {
    FlowKey flow;
    TimePoint arrived;
    Milliseconds objective { 0 }; // latency objective; 0: none
    Milliseconds timeout { 0 }; // 0: none
    unsigned priority = 0; // 0 is highest
    bool isProbe = false; // the upstream may not hold the flow
    bool isAbandoned = false; // the client has closed the flow
    bool mayBeCopy = false; // of a request that was answered before the agent knew the flow
};

class RequestQueue {
public:
    enum class Decision : uint8_t { Start, Wait, Drop };

    RequestQueue(RequestQueueOptions, const Clock&);

    std::function<bool(const QueuedRequest&)> mayStart; // limits what starts besides the slots; empty: all may
    std::function<void(const FlowKey&)> onStarted; // a request that is not a probe, or turned out to be held

    void setSlots(uint16_t);
    void setPaused(bool); // while paused, nothing starts
    void onNewProcess(); // the upstream restarted, or may have: requests without an answer say nothing of it

    Decision submit(const QueuedRequest&); // Start: the request may be sent and counts as running
    void onContinued(const FlowKey&); // the client sent further bytes of its request
    void onAnswered(const FlowKey&); // the upstream began to answer
    void onClientReset(const FlowKey&); // the client aborted its request, which may still run at the upstream
    void onClientClosed(const FlowKey&); // the client sent a FIN after its request: it has probably given up
    void onHeld(const FlowKey&); // the upstream turned out to hold the flow of a probe
    void onTurnedBack(const FlowKey&); // the upstream reset the flow or returned its packet; call before remove()
    void remove(const FlowKey&); // the flow ended; no effect on an unknown flow

    std::vector<FlowKey> startWaiting(); // returns the waiting requests that start now
    std::vector<FlowKey> takeExpired(); // removes and returns requests that timed out while waiting, or are stuck

    size_t runningCount() const { return this->runningRequests.size(); }
    size_t waitingCount() const { return this->waitingRequests.size(); }
    size_t lateCount() const; // waiting requests of present clients that can't meet their objective
    StallDetector& stallDetector() { return this->stall; }
    const StallDetector& stallDetector() const { return this->stall; }
    const OverloadCounts& counts() const { return this->overloadCounts; }

    // Mean service time of the upstream, and the wait of a request that arrives now. Empty while the service time is
    // not known or nothing starts. While a share of the requests hangs, both include the stuck requests.
    std::optional<UpstreamPerformance> performance() const;

private:
    struct Running {
        QueuedRequest request;
        TimePoint started;
        std::optional<ServiceTime::Seconds> chargeAtStart; // empty: of a probe, which may not run
        TimePoint lastBytes {}; // of the client
        bool isAborted = false; // by the client
        bool isReported = false; // to the stall detector
    };
    using RunningRequests = std::unordered_map<FlowKey, Running, FlowKeyHash>;

    bool canStart(bool isProbe) const;
    bool isAdmitted(const QueuedRequest& request) const { return !this->mayStart || this->mayStart(request); }
    size_t unansweredProbes() const;
    RequestUrgency urgencyOf(const QueuedRequest&) const;
    bool isExpired(const QueuedRequest&) const;
    bool isPassedOver(const QueuedRequest&, Prospect) const;
    std::vector<QueuedRequest>::iterator nextRequest();
    Milliseconds effectiveTimeout(const QueuedRequest&) const;
    void start(const QueuedRequest&);
    void endRunning(RunningRequests::iterator, bool isAnswered);
    void removeRunning(const FlowKey&);
    void reportUnanswered(Running&, Duration minStuckTime);

    RequestQueueOptions options;
    const Clock& clock;
    std::vector<QueuedRequest> waitingRequests;
    RunningRequests runningRequests;
    ServiceTime serviceTime;
    StallDetector stall;
    bool paused = false;
    double meanServiceSeconds = 0; // moving average of the time from start to the first packet of the answer
    WorkEstimator work; // the same by route
    std::map<unsigned, TimePoint> lastStarts; // by priority
    OverloadCounts overloadCounts;
};

} // namespace wasabicroft
