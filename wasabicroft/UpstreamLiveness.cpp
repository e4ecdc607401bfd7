#include "wasabicroft/UpstreamLiveness.h"

namespace wasabicroft {

UpstreamLiveness::UpstreamLiveness(LivenessOptions livenessOptions, const Clock& timeSource)
    : options(livenessOptions)
    , clock(timeSource)
{
}

void UpstreamLiveness::onPacket()
{
    this->currentState = UpstreamState::Up;
    this->unansweredSyn.clear();
    this->unansweredDeliveries = 0;
}

void UpstreamLiveness::onSynDelivered(Bytes syn)
{
    this->lastDelivery = this->clock.now();
    if (this->unansweredDeliveries++ == 0) {
        this->firstDelivery = this->lastDelivery;
        this->unansweredSyn.assign(syn.begin(), syn.end());
    }
}

const std::vector<uint8_t>* UpstreamLiveness::takeProbe()
{
    const bool isDue = this->clock.now() - this->lastDelivery >= this->options.probeInterval;
    if (this->unansweredSyn.empty() || this->currentState == UpstreamState::Down || !isDue)
        return nullptr;
    ++this->unansweredDeliveries;
    this->lastDelivery = this->clock.now();
    return &this->unansweredSyn;
}

bool UpstreamLiveness::tryStartProbe()
{
    if (this->clock.now() - this->lastDelivery < this->options.downProbeInterval)
        return false;
    this->lastDelivery = this->clock.now();
    return true;
}

void UpstreamLiveness::onTick()
{
    if (this->unansweredDeliveries >= this->options.unansweredSynsToDown
        && this->clock.now() - this->firstDelivery >= this->options.silenceToDown)
        this->currentState = UpstreamState::Down;
}

} // namespace wasabicroft
