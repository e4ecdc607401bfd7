// Limits the new flows and requests of upstreams that started lately and bear less than later. No I/O.
//
// Entries know from the store how long an upstream stays cold and how much it bears; they prefer others and keep to
// their share. The agent, which sees the flows of all entries, keeps the limit: it refuses new flows beyond it, and
// requests on open flows wait. The difference between the limit and the platform's rule is the reserve for requests of
// searches and for a restart of the agent; docs/design/cold-start.md states how much of it each uses.
//
// Index
//   [SECTION] Agent
//   [SECTION] Entry
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"
#include "wasabicroft/Published.h"

#include <deque>

namespace wasabicroft {

// An upstream that states more has not measured it; directives that state more are not used.
inline constexpr Milliseconds maxColdTime = std::chrono::hours(24);

//-----------------------------------------------------------------------------
// [SECTION] Agent
//-----------------------------------------------------------------------------

struct ColdStartOptions {
    bool countsRequests = true; // false: only new flows count and are limited
    // How long requests leave places to new flows after one was refused, and new flows to requests after one waited.
    Milliseconds reservationTime { 5000 };
};

// Limits the new flows and requests that a cold upstream gets in any second. A new flow and its first request count as
// one if the request follows within a second.
class ColdStartLimiter {
public:
    explicit ColdStartLimiter(const Clock&, ColdStartOptions = {});

    // Returns whether the upstream became cold. A directive without a limit says nothing: the entry may not know it.
    bool onDirective(const UpstreamDirective&);
    bool onTick(); // returns whether the cold time ended
    void reset(); // another upstream runs here

    bool mayHandOver() const; // a SYN of a new flow
    void onRefused(); // a SYN that may not be handed over
    void onWaiting(); // a request that does not start at once
    bool mayStart(const FlowKey&) const; // a request on an open flow
    bool mayStartProbe() const; // a request on a flow that the upstream may not hold
    // Call these also while the upstream is not known to be cold, since the directive may come later.
    void onHandedOver(const FlowKey&); // a SYN of a new flow
    void onStarted(const FlowKey&); // a request; for a probe, once the upstream turns out to hold the flow
    bool isCold() const { return this->cold; }
    uint32_t flowsPerSecond() const { return this->limit; } // while cold
    Milliseconds timeLeft() const;

private:
    static constexpr Milliseconds window { 1000 };
    static constexpr size_t placesPerReservedFlow = 10; // at least one place is reserved
    static constexpr size_t placesPerReservedRequest = 2;

    struct HandedOver {
        TimePoint time;
        FlowKey flow;
        bool isNewFlow = false;
        bool awaitsRequest = false; // of a new flow: its first request has not started
    };
    using Entries = std::deque<HandedOver>;

    bool isLimiting() const { return this->cold && this->clock.now() < this->coldUntil; }
    bool isFirstSecond() const { return this->clock.now() - this->started < window; }
    size_t admitted() const; // new flows and requests in any second
    Entries::const_iterator windowBegin() const;
    Entries::const_iterator findAwaitingRequest(const FlowKey&) const;
    size_t countInWindow() const;
    bool hasPlaceFor(bool isNewFlow) const;

    ColdStartOptions options;
    const Clock& clock;
    TimePoint started; // a former process may have handed over flows that this one does not know
    bool cold = false;
    TimePoint coldUntil;
    uint32_t limit = 0;
    Entries handedOver; // within the window, ordered by time
    TimePoint reservesFlowsUntil; // requests leave places to new flows until then
    TimePoint reservesRequestsUntil;
};

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

enum class ColdState : uint8_t {
    Warm,
    Cold, // it may get another flow of this entry
    AtShare, // it got as many flows of this entry as it may at present
};

inline constexpr std::array<std::string_view, 3> coldStateNames = { "warm", "cold", "at-share" };

inline std::string_view nameOf(ColdState state) { return coldStateNames.at(static_cast<size_t>(state)); }

// The cold upstreams as an entry knows them, and its share of what each of them bears.
class ColdUpstreams {
public:
    explicit ColdUpstreams(const Clock&);

    void setEnabled(bool isEnabled) { this->enabled = isEnabled; } // otherwise all upstreams count as warm
    void setStated(std::map<ServiceId, ColdStart> stated) { this->coldStarts = std::move(stated); }
    void setEntryCount(size_t entries) { this->entryCount = std::max<size_t>(1, entries); }
    // The time that a record states begins when it is received, once for each of its revisions.
    void setRecords(const std::vector<UpstreamRecord>& listed);

    ColdState stateOf(UpstreamId) const;
    void onOffered(UpstreamId); // a new flow
    Milliseconds timeLeft(UpstreamId) const; // 0: it is warm
    uint32_t flowsPerSecond(UpstreamId) const; // while it is cold; 0: no limit is stated
    size_t count() const; // of upstreams that are cold

private:
    struct Row {
        ServiceId service;
        uint64_t revision = 0; // of the record
        TimePoint received;
        Milliseconds left { 0 }; // when it was received
        double tokens = 1; // flows that may be offered, when they were last counted
        TimePoint tokenTime;
    };

    const Row* findCold(UpstreamId) const;
    TimePoint endOf(const Row&) const;
    double tokensOf(const Row&, uint32_t limit) const;

    const Clock& clock;
    bool enabled = false;
    size_t entryCount = 1; // with this one
    std::map<ServiceId, ColdStart> coldStarts;
    std::unordered_map<UpstreamId, Row> rows; // of listed upstreams whose records state a cold time
};

} // namespace wasabicroft
