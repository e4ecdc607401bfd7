// Mean time that an upstream needs for one request, measured from its busy time. No I/O.
//
// The time from start to answer also contains the wait in the upstream's own queue, which grows with load and not with
// the work. This class divides the time during which slots were busy among the running requests instead: while more
// requests run than the upstream has slots, each is charged its share. The charges of all requests add up to the busy
// time, so that their mean is the busy time divided by the number of requests.
#pragma once

#include "wasabicroft/Clock.h"

#include <optional>

namespace wasabicroft {

struct ServiceTimeOptions {
    double window = 100; // requests that the moving mean covers
    double minRequests = 20; // until then, the mean is not known
    // Without answered requests, the number of requests that count halves in this time. A host's speed may change
    // unseen meanwhile, so that new requests weigh more afterwards; too few make the mean unknown again.
    Milliseconds halfLife { 30000 };
    bool fromBusyTime = true; // false: from start to answer, with the wait in the upstream's queue
};

class ServiceTime {
public:
    using Seconds = std::chrono::duration<double>;

    ServiceTime(ServiceTimeOptions, const Clock&);

    void setSlots(uint16_t); // 0: unknown; forgets what was measured

    // A request starts. The returned value is passed to onAnswered when it is answered.
    Seconds onStarted();
    void onAnswered(Seconds chargeAtStart);
    Seconds chargeSince(Seconds chargeAtStart); // of a request that still runs
    void onUnanswered(Seconds requestCharge); // it turned out to be stuck
    void discardUnanswered() { this->allMean = this->answeredMean; }
    // A request no longer counts as running, and its time is not known: it was removed, or its start was not seen.
    void onRemoved();

    // Requests that a mean covers. Unanswered ones count with the time for which they occupied a slot.
    enum class Requests : uint8_t { Answered, All };

    std::optional<Seconds> mean(Requests = Requests::Answered) const; // empty: not known
    // Time until a request that arrives now would start behind the running and this number of waiting requests.
    std::optional<Seconds> expectedWait(size_t waiting, Requests = Requests::Answered) const;

private:
    struct MovingMean {
        Seconds value { 0 };
        double requests = 0; // that count, at most the window
        TimePoint lastRequest;
    };

    void advance();
    double decayedRequests(const MovingMean&) const;
    void add(MovingMean&, Seconds charge) const;

    ServiceTimeOptions options;
    const Clock& clock;
    uint16_t slots = 0;
    size_t running = 0;
    Seconds charge { 0 }; // what a request that runs all the time would have been charged
    TimePoint lastAdvance;
    MovingMean answeredMean;
    MovingMean allMean; // of answered and unanswered requests
};

} // namespace wasabicroft
