// What is delayed or refused when upstreams can't run everything in time: the work that requests need by route, the
// order of requests that wait at an agent, and the admission of new flows at an entry. No I/O.
//
// Requests on open flows can only be ordered. An opening flow can be refused, because nothing of it has run.
//
// Index
//   [SECTION] Work by route
//   [SECTION] Order of waiting requests
//   [SECTION] Admission of new flows
//   [SECTION] Start and end of overload
//   [SECTION] Counts by route
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Work by route
//-----------------------------------------------------------------------------

struct WorkEstimate {
    Duration mean { 0 };
    Duration spread { 0 }; // by which most requests take longer at most

    Duration cautious() const { return this->mean + this->spread; }
};

struct WorkEstimatorOptions {
    Milliseconds initialWork { 50 }; // until minRequests were seen
    unsigned minRequests = 10;
    unsigned averagedRequests = 32; // of the moving averages; 10 let a single long request double the mean
    size_t maxRoutes = 256; // further ones have the initial estimate
    bool byRoute = true; // false: one estimate for all routes
    double spreads = 1; // deviations that a request may exceed the mean by; 0: it counts as in time by the mean alone
};

// Mean and spread of the time from the start of a request to its answer, by route.
class WorkEstimator {
public:
    explicit WorkEstimator(WorkEstimatorOptions);

    void onAnswered(PacketAddress route, Duration);
    WorkEstimate estimate(PacketAddress route, Milliseconds timeLimit) const; // at most the time limit

private:
    struct Moments {
        unsigned requests = 0; // at most averagedRequests
        double meanSeconds = 0;
        double deviationSeconds = 0; // mean absolute deviation: one long request raises it less than the variance
    };

    WorkEstimatorOptions options;
    std::map<PacketAddress, Moments> moments; // by route
};

//-----------------------------------------------------------------------------
// [SECTION] Order of waiting requests
//-----------------------------------------------------------------------------

// What can still be reached for a request that starts now. Lower values start first.
enum class Prospect : uint8_t {
    MeetsObjective,
    MeetsTimeLimit,
    Hopeless, // its client stops waiting before the answer, or has gone
};

struct WaitingRequest {
    Duration age { 0 };
    Milliseconds objective { 0 }; // 0: none
    Milliseconds timeLimit { 0 };
    unsigned priority = 0; // 0 is highest
    WorkEstimate work;
    bool isAbandoned = false; // the client has closed the flow
};

// Position of a request among the waiting ones: smaller ones start first. A late answer is worth little however late it
// is, so that requests which can be in time come first; among these, priority states what a miss costs.
struct RequestUrgency {
    Prospect prospect = Prospect::MeetsObjective;
    unsigned priority = 0;
    Duration slack { 0 }; // time that the request may still wait: until it misses its objective, or else its time limit
    Duration work { 0 };

    auto operator<=>(const RequestUrgency&) const = default;
};

RequestUrgency urgencyOf(const WaitingRequest&);

//-----------------------------------------------------------------------------
// [SECTION] Admission of new flows
//-----------------------------------------------------------------------------

struct FlowAdmissionOptions {
    bool refuses = true; // false: every flow is admitted
    // Statements of agents are up to 0.1 s old, and a late answer is worth more than none.
    double objectiveMargin = 0.1; // share of the objective by which the expected answer must exceed it
    unsigned maxPrivilegedPriority = 1; // up to this one, only flows that miss their time limit are refused
    unsigned maxRefusalsInTurn = 9; // of one route: at least 1 of 10 flows is admitted
    size_t maxRoutes = 4096; // flows of further ones are admitted
};

class FlowAdmission {
public:
    explicit FlowAdmission(FlowAdmissionOptions);

    // Whether a new flow can't be answered in time. expectedAnswer: of the best upstream that it may go to, until its
    // first request is answered; empty: not known.
    bool isTooLate(const RequestLimits&, std::optional<Milliseconds> expectedAnswer) const;

    // Whether the next such flow is refused.
    bool wouldRefuse(PacketAddress route) const;

    // Whether such a flow is refused; counts its route's refusals in turn.
    bool tryRefuse(PacketAddress route);

private:
    FlowAdmissionOptions options;
    std::map<PacketAddress, unsigned> refusalsInTurn; // by route
};

//-----------------------------------------------------------------------------
// [SECTION] Start and end of overload
//-----------------------------------------------------------------------------

struct OverloadMonitorOptions {
    Milliseconds startDelay { 300 }; // how long requests are late before this counts as overload
    Milliseconds endDelay { 1000 }; // how long none is late before overload has ended
};

// Derives the start and the end of overload from whether requests are late at present.
class OverloadMonitor {
public:
    OverloadMonitor(OverloadMonitorOptions, const Clock&);

    bool update(bool isLate); // call on each tick; returns whether isOverloaded() has changed
    bool isOverloaded() const { return this->overloaded; }

private:
    OverloadMonitorOptions options;
    const Clock& clock;
    bool overloaded = false;
    std::optional<TimePoint> changingSince; // the present statement has differed from the state since
};

//-----------------------------------------------------------------------------
// [SECTION] Counts by route
//-----------------------------------------------------------------------------

// Why a request or a new flow was not served in time.
enum class OverloadCause : uint8_t {
    Overloaded, // the entry refused the flow
    QueueFull, // the agent's queue; the client's next copy is taken
    TimeLimit, // passed while the request waited
    ClientGone, // before the request started
    Unanswered, // by the upstream, for long
    TurnedBack, // the upstream reset the flow or returned its packet
    StartedLate, // served after its objective could be met
};

inline constexpr std::array<std::string_view, 7> overloadCauseNames
    = { "overloaded", "queue-full", "time-limit", "client-gone", "unanswered", "turned-back", "started-late" };

std::string_view nameOf(OverloadCause);

std::string overloadLabels(PacketAddress route, OverloadCause); // of metrics

// Bounded: a further route counts as the address 0.0.0.0:0.
class OverloadCounts {
public:
    void add(PacketAddress route, OverloadCause);
    uint64_t count(PacketAddress route, OverloadCause) const;
    const std::map<std::pair<PacketAddress, OverloadCause>, uint64_t>& all() const { return this->counts; }

private:
    static constexpr size_t maxCounts = 1024;

    std::map<std::pair<PacketAddress, OverloadCause>, uint64_t> counts;
};

} // namespace wasabicroft
