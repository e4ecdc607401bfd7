#include "wasabicroft/UpstreamLiveness.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

UpstreamLiveness::UpstreamLiveness(LivenessOptions livenessOptions, const Clock& timeSource)
    : options(livenessOptions)
    , clock(timeSource)
{
}

void UpstreamLiveness::onPacket()
{
    this->currentState = UpstreamState::Up;
    this->isLost = false;
    this->unansweredSyn.clear();
    this->unansweredFlow.reset();
    this->otherFlowSince.reset();
    this->unansweredDeliveries = 0;
}

void UpstreamLiveness::noteUnanswered(const FlowKey& flow)
{
    if (this->unansweredFlow && *this->unansweredFlow != flow && !this->otherFlowSince)
        this->otherFlowSince = this->clock.now();
    if (!this->unansweredFlow)
        this->unansweredFlow = flow;
}

void UpstreamLiveness::onSynDelivered(const FlowKey& flow, Bytes syn)
{
    this->noteUnanswered(flow);
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

bool UpstreamLiveness::tryStartProbe(const FlowKey& flow)
{
    if (this->clock.now() - this->lastDelivery < this->options.downProbeInterval)
        return false;
    this->noteUnanswered(flow);
    this->lastDelivery = this->clock.now();
    return true;
}

void UpstreamLiveness::onTick()
{
    const TimePoint now = this->clock.now();
    const Duration gap = now - std::exchange(this->lastTick, now).value_or(now);
    if (gap > this->options.maxTickGap) {
        const Duration pause = gap - this->options.maxTickGap;
        this->firstDelivery = std::min(now, this->firstDelivery + pause);
        if (this->otherFlowSince)
            this->otherFlowSince = std::min(now, *this->otherFlowSince + pause);
    }
    if (this->unansweredDeliveries >= this->options.unansweredSynsToDown
        && now - this->firstDelivery >= this->options.silenceToDown)
        this->currentState = UpstreamState::Down;
    if (this->currentState == UpstreamState::Down && this->otherFlowSince
        && now - *this->otherFlowSince >= this->options.silenceToLoss)
        this->isLost = true;
}

} // namespace wasabicroft
