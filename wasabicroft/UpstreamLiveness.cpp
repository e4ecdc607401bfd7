#include "wasabicroft/UpstreamLiveness.h"

namespace wasabicroft {

UpstreamLiveness::UpstreamLiveness(LivenessOptions livenessOptions, const Clock& timeSource)
    : options(livenessOptions)
    , clock(timeSource)
{
}

void UpstreamLiveness::onHeard()
{
    this->current = UpstreamState::Up;
    this->unanswered.clear();
    this->deliveries = 0;
}

void UpstreamLiveness::onSynDelivered(Bytes syn)
{
    this->lastDelivery = this->clock.now();
    if (this->deliveries++ == 0) {
        this->firstDelivery = this->lastDelivery;
        this->unanswered.assign(syn.begin(), syn.end());
    }
}

const std::vector<uint8_t>* UpstreamLiveness::takeProbe()
{
    const bool isDue = this->clock.now() - this->lastDelivery >= this->options.probeInterval;
    if (this->unanswered.empty() || this->current == UpstreamState::Down || !isDue)
        return nullptr;
    ++this->deliveries;
    this->lastDelivery = this->clock.now();
    return &this->unanswered;
}

bool UpstreamLiveness::mayProbe()
{
    if (this->clock.now() - this->lastDelivery < this->options.downProbeInterval)
        return false;
    this->lastDelivery = this->clock.now();
    return true;
}

void UpstreamLiveness::onTick()
{
    if (this->deliveries >= this->options.probesToDown
        && this->clock.now() - this->firstDelivery >= this->options.silenceToDown)
        this->current = UpstreamState::Down;
}

} // namespace wasabicroft
