// Placement of new flows at an entry: candidate order, outlier detection and retry budget. No I/O.
//
// Index
//   [SECTION] Retry budget
//   [SECTION] Outlier detection
//   [SECTION] Placement
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/ColdStart.h"
#include "wasabicroft/Frame.h"
#include "wasabicroft/Packet.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

// Token bucket that limits retries to a share of the first attempts.
class RetryBudget {
public:
    explicit RetryBudget(double share = 0.2, double burst = 10);

    void onFirstAttempt();
    bool tryRetry(); // takes a token; returns false if there is none

private:
    double share = 0.2; // tokens earned per first attempt
    double burst = 10; // maximum number of tokens
    double tokens = 0; // starts empty, so that attempts never exceed (1 + share) per request
};

//-----------------------------------------------------------------------------
// [SECTION] Outlier detection
//-----------------------------------------------------------------------------

struct OutlierDetectorOptions {
    unsigned failuresToEject = 3; // consecutive failures that eject an upstream; at least 2
    Milliseconds minFailureSpan { 200 }; // from first to last failure; one stall can fail many flows at once
    Milliseconds minEjection { 1000 }; // duration of the first ejection; doubles with each failed probe
    Milliseconds maxEjection { 30000 }; // longest duration of an ejection
    double maxEjectedShare = 0.5; // largest share of a pool that may be ejected
    Milliseconds pauseThreshold { 500 }; // a longer gap between ticks discards all recorded failures
};

// Ejects upstreams that fail repeatedly, as seen by this entry alone, until a probe succeeds.
class OutlierDetector {
public:
    OutlierDetector(OutlierDetectorOptions, const Clock&);

    void onSuccess(UpstreamId);
    void onFailure(UpstreamId); // no reply in time, or connection refused
    void onTick(); // call about every 100 ms; a long gap means that this process was paused
    bool isEjected(UpstreamId) const; // stays true until a probe succeeds

    // An upstream of the pool whose ejection is over, to be probed with one flow; empty if none is due.
    std::optional<UpstreamId> dueProbe(const std::vector<UpstreamId>& pool) const;
    void onProbe(UpstreamId); // a flow goes to this upstream as a probe
    std::optional<UpstreamId> takeProbe(const std::vector<UpstreamId>& pool); // both of them
    void remove(UpstreamId);

    // The pool without ejected upstreams, or the whole pool if more than maxEjectedShare of it is ejected.
    std::vector<UpstreamId> withoutEjected(const std::vector<UpstreamId>& pool) const;

private:
    struct FailureHistory {
        unsigned failures = 0; // since the last success
        unsigned ejections = 0; // since the last success
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

// Rendezvous hash of a flow and an upstream. Every process orders the upstreams of a flow in the same way, and a
// change of the pool moves only the flows of the changed upstreams.
uint64_t rendezvousScore(uint64_t flowHash, UpstreamId);

struct PlacementUpstream {
    UpstreamId id;
    std::string failureDomain;
    uint16_t slots = 4;
    bool leaving = false; // gets no new flows
    std::optional<TimePoint>
        rejoinedAt {}; // when it returned, nearly empty, after it had got no new flows for some time
};

struct PlacementOptions {
    std::string failureDomain; // failure domain of this entry
    size_t maxCandidates = 2; // upstreams that are asked in turn before a flow queues
    size_t maxWaitUpstreams = 8; // upstreams at which one flow may wait
    double remotePenalty = 0.25; // added to the utilization of an upstream in another failure domain
    double connectionCost = 0; // share of a slot that an open connection counts as
    // true: connectionCost is only where the moving mean of busy slots per connection begins, by which those
    // connections count that have no running request.
    bool measuresConnectionCost = false;
    bool weighsSpeed = true; // utilization counts slots multiplied by the upstream's speed
    size_t preferredUpstreams = 0; // chosen by a flow's hash: other entries search them for it first; 0: none
    double nonPreferredPenalty = 2; // added to the utilization of an upstream that the flow does not prefer
    Milliseconds drainingRetryDelay { 1000 }; // an upstream that replied that it drains is excluded for this long
    // An upstream that returns counts as utilized as the mean of the others at first, which falls to its own
    // utilization over this time. It is nearly empty: all new flows would go there before their load shows.
    Milliseconds rejoinDuration { 10000 };
    Milliseconds performanceLifetime { 1000 }; // an older statement of an upstream's waits says nothing of the present
    Milliseconds speedLifetime { 30000 }; // after an older statement, an upstream counts as one of mean speed
    // An upstream's load reports end when it gets no new flows. Above the longest interval between reports.
    Milliseconds connectionCostReportAge { 6000 };
    Milliseconds connectionCostWindow { 10000 }; // time constant of the moving mean; above the pauses of single clients
    Milliseconds poolRefreshInterval { 100 }; // of means over the pool, so that not every flow pays for them
    OutlierDetectorOptions outlierDetection;
    std::function<uint64_t()> random; // required
    std::function<ColdState(UpstreamId)> coldStateOf; // empty: all upstreams are warm
};

struct PlacementPlan {
    std::vector<UpstreamId> candidates; // to be asked in turn, without queueing
    std::vector<UpstreamId> waitUpstreams; // once all replied Pass: queue at the first, wait as backup at the others
    bool saturated = false; // requests wait at every upstream: queue at once without asking candidates
};

// Why an upstream of the pool is not in the order of the candidates.
enum class PlacementExclusion : uint8_t {
    Leaving,
    Draining, // its agent refused a flow within the last drainingRetryDelay
    Ejected, // by the outlier detector
    AtShare, // see ColdState
};

// An upstream of a pool, as it is weighed for a new flow.
struct PlacementExplanation {
    UpstreamId id;
    std::string failureDomain;
    std::optional<PlacementExclusion> exclusion; // empty: it is a candidate
    double cost = 0; // by which candidates are ordered: utilization and penalties
    double utilization = 0;
    double speed = 1; // 1: as the mean of the pool, or not known
    bool isPreferred = false; // by the hash of the flow; only of candidates
    bool isOrderRandom = false; // another candidate costs the same: which of them comes first is drawn at random
    bool isProbe = false; // first because its ejection is over
    bool isDraining = false; // a candidate all the same, since all upstreams are
    bool isEjected = false; // a candidate all the same, since too large a share of the pool is
    bool isRejoining = false; // counts as utilized as the others, see rejoinDuration
    ColdState coldState = ColdState::Warm;
    std::optional<Milliseconds> loadAge; // of the report behind utilization; empty: there is none, it counts as idle
    std::optional<std::chrono::microseconds> serviceTime; // behind speed; empty: not known
    std::optional<Milliseconds> expectedWait; // empty: not stated in the last performanceLifetime
    std::optional<Milliseconds> expectedAnswer;
    std::optional<Milliseconds> performanceAge; // of the statement behind these; empty: there is none
};

class Placement {
public:
    Placement(PlacementOptions, const Clock&);

    void setPool(ServiceId, std::vector<PlacementUpstream>);

    // Upstreams in the order in which they are to be asked; empty if the service has no usable upstream.
    // flowHash selects the preferred upstreams of the flow.
    std::vector<UpstreamId> candidates(ServiceId, uint64_t flowHash = 0);
    PlacementPlan plan(ServiceId, uint64_t flowHash = 0);

    // All upstreams of the pool: candidates in the order that plan() would find now with these random numbers, without
    // its limits, then the others.
    std::vector<PlacementExplanation> explain(
        ServiceId, uint64_t flowHash, const std::function<uint64_t()>& random) const;

    void onLoad(UpstreamId, const Load&); // piggybacked on any reply
    void onPerformance(UpstreamId, const UpstreamPerformance&); // stated with a load
    void onFlowStarted(UpstreamId); // call before the onLoad of the same reply, whose load includes the flow
    void onFlowEnded(UpstreamId);
    void onReply(UpstreamId); // any reply of the agent
    void onDraining(UpstreamId); // a reply said so: excluded for drainingRetryDelay, whatever the instance list says
    void onFailure(UpstreamId); // no reply in time, or connection refused
    void onTick();

    // For log lines: the estimated utilization of an upstream, and the age of its last load report (-1 ms: none).
    double utilization(ServiceId, UpstreamId) const;
    Milliseconds loadAge(UpstreamId) const;
    double speed(ServiceId, UpstreamId) const; // 1: as the mean of the pool, or not known
    double connectionCost(ServiceId) const; // share of a slot that a connection without a running request counts as

    // Time until a new flow's first request would be answered. Empty if the agent has stated none in the last
    // performanceLifetime.
    std::optional<Milliseconds> expectedAnswer(UpstreamId) const;

    RetryBudget& retryBudget(ServiceId);
    const OutlierDetector& outlierDetector() const;

private:
    struct LoadEstimate {
        Load load;
        int64_t ownFlowDelta = 0; // flows of this entry started minus ended since the report
        TimePoint reportTime;
        TimePoint drainingUntil;
        std::optional<UpstreamPerformance> performance;
        TimePoint performanceTime;
    };

    struct RankedUpstream {
        UpstreamId id;
        double cost = 0;
        double utilization = 0; // running and waiting requests divided by slots, these by their speed
        bool isPreferred = true; // by the flow's hash, or the pool is no larger than preferredUpstreams
    };

    struct Ranking {
        std::vector<RankedUpstream> order;
        std::vector<std::pair<UpstreamId, PlacementExclusion>> excluded;
        std::optional<UpstreamId> probe; // first in the order
    };

    struct PoolMeans {
        TimePoint refreshed;
        double serviceTime = 0; // of upstreams whose service time is known, in us; 0: none is
        std::optional<double> connectionCost; // moving mean; empty: not measured yet
    };

    struct Pool {
        std::vector<PlacementUpstream> upstreams;
        PoolMeans means;
    };

    bool isDraining(UpstreamId) const;
    bool knowsServiceTime(const LoadEstimate&) const;
    double speedOf(const PoolMeans&, const LoadEstimate&) const;
    double connectionCostOf(const PoolMeans&) const;
    double estimateUtilization(const PoolMeans&, const PlacementUpstream&) const;
    PoolMeans currentMeans(const Pool&) const;
    double rejoinShare(const PlacementUpstream&) const;
    double meanUtilization(const Pool&, const PoolMeans&) const;
    std::vector<RankedUpstream> rankUpstreams(ServiceId, uint64_t flowHash);
    Ranking rank(const Pool&, const PoolMeans&, uint64_t flowHash, const std::function<uint64_t()>& random) const;
    void demoteCold(Ranking&) const;
    PlacementExplanation explainUpstream(const PoolMeans&, const PlacementUpstream&) const;

    PlacementOptions options;
    const Clock& clock;
    OutlierDetector detector;
    std::unordered_map<ServiceId, Pool> pools;
    std::unordered_map<UpstreamId, LoadEstimate> estimates;
    std::unordered_map<ServiceId, RetryBudget> budgets;
};

} // namespace wasabicroft
