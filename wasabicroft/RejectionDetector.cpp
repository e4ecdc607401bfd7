#include "wasabicroft/RejectionDetector.h"

#include <algorithm>

namespace wasabicroft {

RejectionDetector::RejectionDetector(RejectionOptions detectorOptions, const Clock& timeSource)
    : options(detectorOptions)
    , clock(timeSource)
{
}

void RejectionDetector::onFreshFlowReset()
{
    const bool wasRejecting = this->isRejecting();
    ++this->resets;
    if (!this->isRejecting())
        return;
    this->probeInterval = wasRejecting ? std::min(this->options.maxProbeInterval, this->probeInterval * 2)
                                       : this->options.minProbeInterval;
    this->nextProbe = this->clock.now() + this->probeInterval;
}

void RejectionDetector::onAnswer() { this->resets = 0; }

bool RejectionDetector::tryAdmit()
{
    if (!this->isRejecting())
        return true;
    const TimePoint now = this->clock.now();
    if (now < this->nextProbe)
        return false;
    this->nextProbe = now + this->probeInterval;
    return true;
}

void RejectionDetector::reset() { this->resets = 0; }

} // namespace wasabicroft
