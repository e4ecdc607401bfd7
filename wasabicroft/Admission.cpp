#include "wasabicroft/Admission.h"

#include <algorithm>

namespace wasabicroft {

std::string_view nameOf(AdmissionDecision decision) { return admissionDecisionNames.at(static_cast<size_t>(decision)); }

Admission::Admission(AdmissionOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , rampStart(timeSource.now())
{
}

bool Admission::takesSlot(TrafficClass trafficClass) const { return trafficClass != TrafficClass::Feed; }

uint16_t Admission::offeredSlots() const
{
    if (this->options.rampDuration <= Milliseconds(0))
        return this->options.slots;
    const Duration elapsed = this->clock.now() - this->rampStart;
    if (elapsed >= this->options.rampDuration)
        return this->options.slots;
    const double share
        = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(this->options.rampDuration);
    const int start = std::min(this->options.rampStartSlots, this->options.slots);
    return static_cast<uint16_t>(start + static_cast<int>(share * (this->options.slots - start)));
}

bool Admission::hasRoom(TrafficClass trafficClass) const
{
    if (this->holders.size() >= this->options.connections)
        return false;
    return !this->takesSlot(trafficClass) || this->busySlots < this->offeredSlots();
}

void Admission::grant(FlowId flow, TrafficClass trafficClass)
{
    this->holders[flow] = { trafficClass, this->clock.now() };
    if (this->takesSlot(trafficClass))
        ++this->busySlots;
}

Milliseconds Admission::retryAfter() const { return Milliseconds(100 * (1 + this->queue.size())); }

AdmissionVerdict Admission::request(const AdmissionRequest& request)
{
    if (this->isDraining)
        return { AdmissionDecision::Pass, Reason::Draining, Milliseconds(0) };
    const bool mayOvertake = this->queue.empty() || !this->takesSlot(request.trafficClass);
    if (mayOvertake && this->hasRoom(request.trafficClass)) {
        this->grant(request.flow, request.trafficClass);
        return { AdmissionDecision::Granted };
    }
    if (!request.mayQueue)
        return { AdmissionDecision::Pass };
    if (this->queue.size() >= this->options.queueLimit)
        return { AdmissionDecision::Refused, Reason::Overloaded, this->retryAfter() };
    const Milliseconds wait = request.deadline > Milliseconds(0) ? request.deadline : this->options.maxQueueWait;
    this->queue.push_back({ request.flow, request.trafficClass, this->clock.now() + wait });
    return { AdmissionDecision::Queued };
}

void Admission::release(FlowId flow)
{
    const auto holder = this->holders.find(flow);
    if (holder != this->holders.end()) {
        if (this->takesSlot(holder->second.trafficClass))
            --this->busySlots;
        this->holders.erase(holder);
        return;
    }
    std::erase_if(this->queue, [flow](const Waiter& waiter) { return waiter.flow == flow; });
}

std::vector<AdmissionChange> Admission::update()
{
    std::vector<AdmissionChange> changes;
    const TimePoint now = this->clock.now();
    std::deque<Waiter> waiting;
    for (const Waiter& waiter : this->queue) {
        if (this->isDraining)
            changes.push_back({ waiter.flow, AdmissionDecision::Refused, Reason::Draining, Milliseconds(0) });
        else if (waiter.expires <= now)
            changes.push_back(
                { waiter.flow, AdmissionDecision::Refused, Reason::DeadlineExceeded, this->retryAfter() });
        else if (waiting.empty() && this->hasRoom(waiter.trafficClass)) {
            this->grant(waiter.flow, waiter.trafficClass);
            changes.push_back({ waiter.flow, AdmissionDecision::Granted });
        } else
            waiting.push_back(waiter);
    }
    this->queue = std::move(waiting);
    return changes;
}

std::optional<TimePoint> Admission::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const Waiter& waiter : this->queue)
        next = std::min(next.value_or(waiter.expires), waiter.expires);
    return next;
}

void Admission::setDraining(bool value) { this->isDraining = value; }

bool Admission::draining() const { return this->isDraining; }

void Admission::restartRamp() { this->rampStart = this->clock.now(); }

void Admission::setQueue(uint16_t queueLimit, Milliseconds maxQueueWait)
{
    this->options.queueLimit = queueLimit;
    this->options.maxQueueWait = maxQueueWait;
}

void Admission::setRamp(Milliseconds duration) { this->options.rampDuration = duration; }

void Admission::setLimits(uint16_t slots, uint32_t connections)
{
    this->options.slots = slots;
    this->options.connections = connections;
}

Load Admission::load() const
{
    return { this->busySlots, this->offeredSlots(), static_cast<uint16_t>(this->queue.size()),
        static_cast<uint32_t>(this->holders.size()) };
}

size_t Admission::stragglers() const
{
    const TimePoint before = this->clock.now() - this->options.stragglerAfter;
    return static_cast<size_t>(std::count_if(this->holders.begin(), this->holders.end(), [&](const auto& holder) {
        return this->takesSlot(holder.second.trafficClass) && holder.second.since < before;
    }));
}

} // namespace wasabicroft
