// Plan of the requests of one priority that wait for an upstream: which of them start in time, and which are deferred
// when the upstream can't run all of them by their deadlines. No I/O, no clock.
//
// The method is that of Moore and Hodgson: in order of slack, the work is summed over the lanes; when a request would
// start too late, the one with the most work so far is deferred. This leaves the largest number in time if the work is
// as estimated.
#pragma once

#include "wasabicroft/Clock.h"

#include <cstddef>
#include <span>
#include <vector>

namespace wasabicroft {

struct StartCandidate {
    Duration slack { 0 }; // how much later it may start and still meet its deadline
    Duration work { 0 }; // mean time from start to answer
    size_t position = 0; // for the caller; the lower one precedes if slack and work are equal
    bool isDeferred = false; // set by the plan
};

// Requests that the upstream accepts at a time.
struct StartLanes {
    size_t total = 1;
    size_t free = 1; // of these, without a request at present
};

class StartPlan {
public:
    // Of the candidates with the least slack. Further ones start after these, and are not needed to choose the next.
    static constexpr size_t maxPlanned = 256;

    void clear();
    void add(const StartCandidate&);
    bool isEmpty() const { return this->candidates.empty(); }

    // The candidates that start in time, in order of start. Valid until the next call of a non-const function.
    std::span<const StartCandidate> make(StartLanes);

private:
    void limitCandidates();
    bool isDeferredBefore(size_t, size_t) const;

    std::vector<StartCandidate> candidates;
    std::vector<size_t> byWork; // heap of the planned candidates: the next one to defer is first
};

} // namespace wasabicroft
