// Detects an upstream that accepts flows and resets them without an answer. No I/O.
//
// Such an upstream is always idle, so that entries would prefer it to those that work. After several fresh flows in a
// row were reset, only few flows are admitted as probes until one of them is answered.
#pragma once

#include "wasabicroft/Clock.h"

namespace wasabicroft {

struct RejectionOptions {
    unsigned resetsToReject = 3; // consecutive fresh flows that were reset without an answer
    Milliseconds minProbeInterval { 250 }; // doubles with each probe that is reset
    Milliseconds maxProbeInterval { 4000 };
};

class RejectionDetector {
public:
    RejectionDetector(RejectionOptions, const Clock&);

    void onFreshFlowReset(); // the upstream reset a flow on which it never answered a request
    void onAnswer(); // the upstream answered a request

    bool isRejecting() const { return this->resets >= this->options.resetsToReject; }
    bool tryAdmit(); // whether a new flow may go to the upstream now
    void reset(); // another upstream may run now

private:
    RejectionOptions options;
    const Clock& clock;
    unsigned resets = 0; // of fresh flows since the last answer
    Milliseconds probeInterval { 0 };
    TimePoint nextProbe;
};

} // namespace wasabicroft
