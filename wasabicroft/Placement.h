// Placement of new flows at an entry: candidate order, outlier detection and retry budget. No I/O.
//
// Index
//   [SECTION] Retry budget
//   [SECTION] Suspicion
//   [SECTION] Placement
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Frame.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

// Token bucket that allows a share of the first attempts as retries.
class RetryBudget {
public:
    explicit RetryBudget(double share = 0.2, double burst = 10);

    void onFirstAttempt();
    bool tryRetry(); // takes a token if there is one

private:
    double share = 0.2; // tokens earned per first attempt
    double burst = 10; // most tokens held
    double tokens = 0; // starts empty, so that attempts never exceed (1 + share) per request
};

//-----------------------------------------------------------------------------
// [SECTION] Suspicion
//-----------------------------------------------------------------------------

struct OutlierDetectorOptions {
    unsigned failuresToEject = 3; // consecutive silent or refused attempts; at least 2
    Milliseconds minFailureSpan { 200 }; // between first and last failure; one stall can fail many flows at once
    Milliseconds minEjection { 1000 };
    Milliseconds maxEjection { 30000 };
    double maxEjectedShare = 0.5; // of a pool
    Milliseconds pauseThreshold { 500 }; // a gap between ticks above this discards evidence
};

// Outlier detection per upstream, from this entry's own evidence.
class OutlierDetector {
public:
    OutlierDetector(OutlierDetectorOptions, const Clock&);

    void onSuccess(UpstreamId);
    void onFailure(UpstreamId); // no reply in time, or connection refused
    void onTick(); // called about every 100 ms; a long gap means that this process was paused
    bool isEjected(UpstreamId) const; // until a probe succeeds

    // A suspect of the pool whose ejection time is over, for one flow as a probe; empty if none is due.
    std::optional<UpstreamId> takeProbe(const std::vector<UpstreamId>& pool);
    void remove(UpstreamId);

    // The pool without suspects, or the whole pool if more than maxEjectedShare of it is suspect.
    std::vector<UpstreamId> withoutEjected(const std::vector<UpstreamId>& pool) const;

private:
    struct FailureHistory {
        unsigned failures = 0; // consecutive
        unsigned ejections = 0; // consecutive
        TimePoint firstFailure;
        TimePoint nextProbe; // end of the ejection
        TimePoint lastProbe;
    };

    bool clearAfterPause();

    OutlierDetectorOptions options;
    const Clock& clock;
    TimePoint lastTick;
    std::unordered_map<UpstreamId, FailureHistory> histories;
};

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

// Rendezvous hash of a flow and an upstream. Every process ranks the upstreams of a flow in the same order, and a
// change of the pool moves only the flows of the changed upstreams.
uint64_t rendezvousScore(uint64_t flowHash, UpstreamId);

struct PlacementUpstream {
    UpstreamId id;
    std::string failureDomain;
    uint16_t slots = 4;
    bool leaving = false;
};

struct PlacementOptions {
    std::string failureDomain; // of this entry
    size_t maxCandidates = 2; // asked in turn before a flow queues
    size_t maxWaitUpstreams = 8; // most upstreams at which one flow waits
    double remotePenalty = 0.25; // added to the busy share of an upstream in another failure domain
    double connectionCost = 0; // share of a slot that an open connection counts as
    size_t preferredUpstreams
        = 0; // upstreams that a flow prefers by its hash, so that others can guess where it is; 0: none
    double nonPreferredPenalty = 2; // added to the busy share of an upstream that is no home of the flow
    Milliseconds drainingRetryDelay { 1000 }; // after a reply that the upstream drains
    OutlierDetectorOptions outlierDetection;
    std::function<uint64_t()> random; // required
};

struct PlacementPlan {
    std::vector<UpstreamId> candidates; // in turn, without queueing
    std::vector<UpstreamId> waitUpstreams; // after Pass from all: queue at the first, wait as backup at the others
    bool saturated = false; // work is known to wait at every upstream: queue at once, ask nothing first
};

class Placement {
public:
    Placement(PlacementOptions, const Clock&);

    void setPool(ServiceId, std::vector<PlacementUpstream>);

    // Candidates in the order in which they are to be asked; empty if the service has no usable upstream.
    // flowHash selects the homes of the flow.
    std::vector<UpstreamId> candidates(ServiceId, uint64_t flowHash = 0);
    PlacementPlan plan(ServiceId, uint64_t flowHash = 0);

    void onLoad(UpstreamId, const Load&); // piggybacked on any reply
    void onFlowStarted(UpstreamId); // before the onLoad of the same reply, which already counts the flow
    void onFlowEnded(UpstreamId);
    void onReply(UpstreamId); // any reply: the agent is alive
    void onDraining(UpstreamId); // a reply said so; no candidate for drainingHold, whatever the instance list says
    void onFailure(UpstreamId); // no reply in time, or connection refused
    void onTick();

    // For log lines: the believed busy share of an upstream, and the age of the report behind it (-1 ms: none).
    double utilization(ServiceId, UpstreamId) const;
    Milliseconds loadAge(UpstreamId) const;

    RetryBudget& retryBudget(ServiceId);
    const OutlierDetector& outlierDetector() const;

private:
    struct LoadEstimate {
        Load load;
        int64_t ownFlowDelta = 0; // own flows started minus ended since the report
        TimePoint reportTime;
        TimePoint drainingUntil;
    };

    struct RankedUpstream {
        UpstreamId id;
        double cost = 0;
        double utilization = 0; // busy and waiting over slots
    };

    bool isDraining(UpstreamId) const;
    double estimateUtilization(const PlacementUpstream&) const;
    std::vector<RankedUpstream> rankUpstreams(ServiceId, uint64_t flowHash);

    PlacementOptions options;
    const Clock& clock;
    OutlierDetector detector;
    std::unordered_map<ServiceId, std::vector<PlacementUpstream>> pools;
    std::unordered_map<UpstreamId, LoadEstimate> estimates;
    std::unordered_map<ServiceId, RetryBudget> budgets;
};

} // namespace wasabicroft
