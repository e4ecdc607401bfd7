// Detects an upstream that hangs: it accepts requests, sends other packets, and leaves all or some requests unanswered.
// No I/O.
//
// The agent stops counting such a request as running after a while, so that the upstream looks idle and entries would
// prefer it. If all requests hang, the upstream is stalled: it gets few new flows, as probes, until it answers. If a
// share of them hangs, the agent states a service time that includes them.
//
// A request that RequestQueue reports as unanswered may still be answered, by a slow upstream. It counts as stuck only
// when it has waited for longer than such late answers took, counted from its last bytes: an upload may take much
// longer.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Packet.h"

#include <functional>
#include <optional>

namespace wasabicroft {

struct StallOptions {
    bool isEnabled = true; // false: nothing counts as stuck
    unsigned minStuckToStall = 2; // at least, whatever the slots: one answer may be lost
    // After requests are stuck and a packet shows that the upstream runs. An upstream that resumes after a pause sends
    // other packets first and answers within about the time of one request.
    Milliseconds confirmTime { 100 };
    Milliseconds minProbeInterval { 250 }; // doubles with each probe
    Milliseconds maxProbeInterval { 4000 };
    unsigned minAnswers = 20; // until then, the mean service time by which requests are reported is too low
    double lateAnswerFactor = 1.5; // a request is stuck after this multiple of the time that late answers took
    double minPartialShare = 0.1; // a larger share of stuck requests is a partial hang
    double minObservations = 10; // of requests, for a partial hang
    double maxObservations = 100; // weight of the past
    Milliseconds halfLife { 10000 }; // of observations
    size_t maxUnanswered = 1024; // requests that are tracked; the oldest is dropped
    Milliseconds unansweredLifetime { 60000 }; // since it was reported
};

// A request without an answer after the time that RequestQueue allows.
struct UnansweredRequest {
    TimePoint started;
    TimePoint lastBytes; // when the client's last bytes of it were handed over
    Milliseconds timeout { 0 };
    Duration minStuckTime { 0 }; // since the last bytes
    std::chrono::duration<double> charge { 0 }; // time for which it occupied a slot; see ServiceTime
};

class StallDetector {
public:
    StallDetector(StallOptions, const Clock&);

    std::function<void(const UnansweredRequest&)> onStuck; // may be empty

    void setSlots(uint16_t); // 0: unknown, the upstream never counts as stalled; forgets what was observed

    void onPacket(); // any packet of the upstream: its process runs
    void onAnswered(const FlowKey&, TimePoint started); // a running request
    void onUnanswered(const FlowKey&, const UnansweredRequest&);
    // The client sent further bytes of a request that was reported as unanswered: it is not stuck, and is reported
    // again if it stays unanswered.
    void onContinued(const FlowKey&);
    // The client aborted its request, or the upstream reset or returned it. One that is stuck by then remains so: its
    // client waited for the whole stuck time.
    void onAborted(const FlowKey&);
    void onPayload(const FlowKey&); // without a running request: an answer to an unanswered one, if there is one
    void onTick();
    // Discards what was observed so far: the agent or the upstream paused, and answers may be lost.
    void discardObservations();
    void onNewProcess(); // the upstream restarted, or may have: nothing is known of its process

    bool isStalled() const { return this->stalled; }
    bool isPartiallyStalled() const;
    bool tryAdmit(); // whether a new flow may go to the upstream now
    uint64_t stuckRequests() const { return this->stuckCount; } // since the start of the process

private:
    struct Unanswered {
        UnansweredRequest request;
        bool isStuck = false;
    };

    Duration stuckTime(const Unanswered&) const; // at most the time limit of its route
    void addStuck(Unanswered&);
    void removeStuck(const Unanswered&); // it turned out not to be stuck
    unsigned stuckToStall() const;
    void addAnswer();
    void decayObservations();
    void clearSequence();

    StallOptions options;
    const Clock& clock;
    uint16_t slots = 0;
    FlowTable<Unanswered> unanswered;
    size_t pending = 0; // unanswered requests that are not stuck yet
    TimePoint observedSince; // requests that started before count for nothing
    TimePoint processSince; // answers to requests that started before count for nothing
    unsigned answers = 0; // of the upstream, up to minAnswers
    Duration lateAnswerTime { 0 }; // the longest lately, of answers to unanswered requests

    unsigned stuckInSequence = 0; // received and stuck since the last answer
    std::optional<TimePoint> activeSince; // first packet of the upstream after the first of these was stuck
    TimePoint lastAnswer;
    bool stalled = false;
    Milliseconds probeInterval { 0 };
    TimePoint nextProbe;

    double stuckWeight = 0;
    double answeredWeight = 0;
    TimePoint lastDecay;
    uint64_t stuckCount = 0;
};

} // namespace wasabicroft
