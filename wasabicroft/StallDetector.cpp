#include "wasabicroft/StallDetector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wasabicroft {

StallDetector::StallDetector(StallOptions detectorOptions, const Clock& timeSource)
    : options(detectorOptions)
    , clock(timeSource)
    , unanswered(detectorOptions.maxUnanswered)
    , observedSince(timeSource.now())
    , processSince(timeSource.now())
    , lastAnswer(timeSource.now())
    , lastDecay(timeSource.now())
{
    this->unanswered.onDrop
        = [this](const FlowKey&, const Unanswered& request) { this->pending -= request.isStuck ? 0 : 1; };
}

void StallDetector::setSlots(uint16_t newSlots)
{
    this->slots = newSlots;
    if (newSlots == 0)
        this->onNewProcess();
}

void StallDetector::onNewProcess()
{
    this->discardObservations();
    this->answers = 0;
    this->lateAnswerTime = Duration(0);
    this->processSince = this->clock.now();
}

void StallDetector::onPacket()
{
    if (this->stuckInSequence > 0 && !this->activeSince)
        this->activeSince = this->clock.now();
}

void StallDetector::onAnswered(const FlowKey& flow, TimePoint started)
{
    if (started < this->processSince)
        return;
    // A request that was reported at its time limit may still run.
    if (const Unanswered* found = this->unanswered.find(flow); found && found->request.started == started) {
        this->onPayload(flow);
        return;
    }
    this->unanswered.erase(flow); // of several requests on one flow, the answer does not show which it is for
    this->lateAnswerTime -= std::chrono::duration_cast<Duration>(this->lateAnswerTime / this->options.maxObservations);
    this->addAnswer();
}

void StallDetector::onUnanswered(const FlowKey& flow, const UnansweredRequest& request)
{
    if (!this->options.isEnabled || request.started < this->observedSince)
        return;
    this->unanswered.erase(flow);
    this->unanswered.findOrInsert(flow, this->clock.now()) = { request };
    ++this->pending;
}

void StallDetector::onContinued(const FlowKey& flow)
{
    const Unanswered* found = this->unanswered.find(flow);
    if (!found)
        return;
    const Unanswered unansweredRequest = *found;
    this->unanswered.erase(flow);
    if (unansweredRequest.isStuck)
        this->removeStuck(unansweredRequest);
    // Other uploads to this upstream may have gaps as long.
    this->lateAnswerTime
        = std::max<Duration>(this->lateAnswerTime, this->clock.now() - unansweredRequest.request.lastBytes);
}

void StallDetector::onPayload(const FlowKey& flow)
{
    const Unanswered* found = this->unanswered.find(flow);
    if (!found)
        return;
    const Unanswered unansweredRequest = *found;
    this->unanswered.erase(flow);
    if (unansweredRequest.isStuck) // it is counted as answered instead
        this->removeStuck(unansweredRequest);
    this->lateAnswerTime
        = std::max<Duration>(this->lateAnswerTime, this->clock.now() - unansweredRequest.request.lastBytes);
    this->addAnswer();
}

void StallDetector::addAnswer()
{
    this->decayObservations();
    ++this->answeredWeight;
    this->answers = std::min(this->options.minAnswers, this->answers + 1);
    this->lastAnswer = this->clock.now();
    this->clearSequence();
}

void StallDetector::clearSequence()
{
    this->stuckInSequence = 0;
    this->activeSince.reset();
    this->stalled = false;
}

void StallDetector::onAborted(const FlowKey& flow)
{
    const Unanswered* found = this->unanswered.find(flow);
    if (found && !found->isStuck)
        this->unanswered.erase(flow);
}

// How long a request may be unanswered after its last bytes before it is stuck. How long an upstream needs that has
// answered few is not known: its requests are stuck when their clients have given up.
Duration StallDetector::stuckTime(const Unanswered& item) const
{
    if (this->answers < this->options.minAnswers)
        return item.request.timeout;
    const Duration lateTime
        = std::chrono::duration_cast<Duration>(this->lateAnswerTime * this->options.lateAnswerFactor);
    return std::min<Duration>(item.request.timeout, std::max(item.request.minStuckTime, lateTime));
}

void StallDetector::addStuck(Unanswered& item)
{
    item.isStuck = true;
    --this->pending;
    ++this->stuckCount;
    this->decayObservations();
    ++this->stuckWeight;
    if (item.request.lastBytes >= this->lastAnswer) // of the others, an answer to a later request may have come since
        ++this->stuckInSequence;
    if (this->onStuck)
        this->onStuck(item.request);
}

void StallDetector::removeStuck(const Unanswered& item)
{
    this->stuckWeight = std::max(0.0, this->stuckWeight - 1);
    if (item.request.lastBytes < this->lastAnswer || this->stuckInSequence == 0) // it is not part of the sequence
        return;
    --this->stuckInSequence;
    this->stalled = this->stalled && this->stuckInSequence >= this->stuckToStall();
    if (this->stuckInSequence == 0)
        this->clearSequence();
}

unsigned StallDetector::stuckToStall() const { return std::max<unsigned>(this->slots, this->options.minStuckToStall); }

void StallDetector::onTick()
{
    const TimePoint now = this->clock.now();
    if (this->pending > 0) {
        this->unanswered.forEach([&](const FlowKey&, Unanswered& item) {
            if (!item.isStuck && now - item.request.lastBytes >= this->stuckTime(item))
                this->addStuck(item);
        });
    }
    this->unanswered.expire(now - this->options.unansweredLifetime);
    if (this->stalled || this->slots == 0 || this->stuckInSequence < this->stuckToStall() || !this->activeSince
        || now - *this->activeSince < this->options.confirmTime)
        return;
    this->stalled = true;
    this->probeInterval = this->options.minProbeInterval;
    this->nextProbe = now + this->probeInterval;
}

bool StallDetector::tryAdmit()
{
    const TimePoint now = this->clock.now();
    if (!this->stalled)
        return true;
    if (now < this->nextProbe)
        return false;
    this->probeInterval = std::min(this->options.maxProbeInterval, this->probeInterval * 2);
    this->nextProbe = now + this->probeInterval;
    return true;
}

void StallDetector::discardObservations()
{
    this->unanswered.clear();
    this->observedSince = this->clock.now();
    this->stuckWeight = 0;
    this->answeredWeight = 0;
    this->clearSequence();
}

// Called before each observation is added, so that the weight stays within its maximum.
void StallDetector::decayObservations()
{
    const TimePoint now = this->clock.now();
    const std::chrono::duration<double> elapsed = now - std::exchange(this->lastDecay, now);
    const double weight = this->stuckWeight + this->answeredWeight;
    double factor = std::exp2(-(elapsed / std::chrono::duration<double>(this->options.halfLife)));
    if (weight * factor > this->options.maxObservations - 1)
        factor = (this->options.maxObservations - 1) / weight;
    this->stuckWeight *= factor;
    this->answeredWeight *= factor;
}

bool StallDetector::isPartiallyStalled() const
{
    const std::chrono::duration<double> elapsed = this->clock.now() - this->lastDecay;
    const double factor = std::exp2(-(elapsed / std::chrono::duration<double>(this->options.halfLife)));
    const double weight = this->stuckWeight + this->answeredWeight;
    return weight * factor >= this->options.minObservations
        && this->stuckWeight > this->options.minPartialShare * weight;
}

} // namespace wasabicroft
