// The part of AgentRouter for upstreams that hang.
#include "wasabicroft/AgentRouter.h"

#include "wasabicroft/Log.h"

namespace wasabicroft {

// Call each tick, after requests have expired.
void AgentRouter::updateStall()
{
    StallDetector& detector = this->requestQueue.stallDetector();
    detector.onTick();
    if (detector.isStalled() == this->wasStalled)
        return;
    const TimePoint now = this->clock.now();
    this->wasStalled = detector.isStalled();
    if (this->wasStalled) {
        this->stalledSince = now;
        logEvent(Event::PacketUpstreamStalled,
            { { "stuck", detector.stuckRequests() }, { "flows", static_cast<uint64_t>(this->heldFlows) },
                { "waiting", this->waitingRequests() } });
    } else {
        logEvent(Event::PacketUpstreamStallEnded,
            { { "stuck", detector.stuckRequests() },
                { "after-ms", std::chrono::duration_cast<Milliseconds>(now - this->stalledSince) },
                { "flows", static_cast<uint64_t>(this->heldFlows) } });
    }
}

} // namespace wasabicroft
