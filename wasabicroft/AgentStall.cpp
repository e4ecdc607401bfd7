// The part of AgentRouter for requests without an answer and upstreams that hang.
#include "wasabicroft/AgentRouter.h"

#include "wasabicroft/Log.h"

namespace wasabicroft {

void AgentRouter::expireRequests()
{
    for (const FlowKey& key : this->requestQueue.takeExpired()) {
        ++this->counts.expired;
        Flow* flow = this->flows.find(key);
        if (!flow)
            continue;
        logEvent(Event::PacketRequestExpired,
            { { "flow", toString(key) }, { "state", flow->request == RequestState::Waiting ? "waiting" : "running" },
                { "busy", this->runningRequests() }, { "waiting", this->waitingRequests() } });
        flow->isUnsent = flow->request == RequestState::Waiting;
        flow->request = RequestState::None;
        flow->storedPackets.clear();
    }
}

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
