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

// Stragglers are not expected to free their slot soon, and one other request may turn out to be a straggler as well, so
// each reservation ahead needs two slots that are not held by stragglers.
unsigned Admission::allowedReservationsAhead() const
{
    if (this->options.reserveAhead == 0)
        return 0;
    const size_t stragglerCount = this->stragglers();
    const unsigned normalSlots
        = this->runningSlots > stragglerCount ? this->runningSlots - static_cast<unsigned>(stragglerCount) : 0;
    return std::min<unsigned>(this->options.reserveAhead, normalSlots / 2);
}

bool Admission::hasCapacity(TrafficClass trafficClass, unsigned ahead) const
{
    if (this->holders.size() >= this->options.connections)
        return false;
    return !this->takesSlot(trafficClass) || this->reservedSlots < this->offeredSlots() + ahead;
}

void Admission::grant(FlowId flow, TrafficClass trafficClass)
{
    const bool startsAtOnce = this->options.reserveAhead == 0 || !this->takesSlot(trafficClass);
    this->holders[flow]
        = { trafficClass, this->clock.now(), startsAtOnce ? HolderPhase::Running : HolderPhase::Reserved };
    if (!this->takesSlot(trafficClass))
        return;
    ++this->reservedSlots;
    if (startsAtOnce)
        ++this->runningSlots;
}

Duration Admission::expectedWait() const
{
    const double slots = std::max<double>(1, this->offeredSlots());
    const double queuePosition = static_cast<double>(this->queue.size()) + 1;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(queuePosition * this->meanServiceTime / slots));
}

Milliseconds Admission::retryAfter() const
{
    return std::max(Milliseconds(100), std::chrono::duration_cast<Milliseconds>(this->expectedWait()));
}

void Admission::enqueue(const Waiter& waiter)
{
    std::deque<Waiter>& target = waiter.backup ? this->backups : this->queue;
    auto position = target.end();
    if (this->options.deadlineOrder) {
        position = std::upper_bound(target.begin(), target.end(), waiter,
            [](const Waiter& a, const Waiter& b) { return a.expires < b.expires; });
    }
    target.insert(position, waiter);
}

AdmissionResult Admission::request(const AdmissionRequest& request)
{
    if (this->isDraining)
        return { AdmissionDecision::Pass, Reason::Draining, Milliseconds(0) };
    if (this->holders.contains(request.flow))
        return { AdmissionDecision::Granted };
    const bool mayOvertake = this->queue.empty() || !this->takesSlot(request.trafficClass);
    if (mayOvertake && this->hasCapacity(request.trafficClass, 0)) {
        this->release(request.flow); // a repeated request that still waits here
        this->grant(request.flow, request.trafficClass);
        return { AdmissionDecision::Granted };
    }
    if (!request.mayQueue && !request.backup)
        return { AdmissionDecision::Pass };
    this->release(request.flow);
    const Milliseconds wait = request.deadline > Milliseconds(0) ? request.deadline : this->options.maxQueueWait;
    const size_t waiting = request.backup ? this->backups.size() : this->queue.size();
    const bool missesDeadline = this->options.refuseEarly && !request.backup && this->expectedWait() > wait;
    const size_t limit = request.backup ? this->options.backupLimit : this->options.queueLimit;
    if (waiting >= limit || missesDeadline)
        return { AdmissionDecision::Refused, Reason::Overloaded, this->retryAfter() };
    this->enqueue({ request.flow, request.trafficClass, this->clock.now() + wait, request.backup });
    return { AdmissionDecision::Queued };
}

void Admission::release(FlowId flow)
{
    const auto holder = this->holders.find(flow);
    if (holder == this->holders.end()) {
        const auto isFlow = [flow](const Waiter& waiter) { return waiter.flow == flow; };
        std::erase_if(this->queue, isFlow);
        std::erase_if(this->backups, isFlow);
        return;
    }
    const Holder& held = holder->second;
    if (this->takesSlot(held.trafficClass)) {
        --this->reservedSlots;
        if (held.phase == HolderPhase::Running) {
            --this->runningSlots;
            const double seconds = std::chrono::duration<double>(this->clock.now() - held.since).count();
            constexpr double weight = 0.05;
            this->meanServiceTime += weight * (seconds - this->meanServiceTime);
        } else if (held.phase == HolderPhase::Ready)
            std::erase(this->ready, flow);
    }
    this->holders.erase(holder);
}

bool Admission::start(FlowId flow)
{
    const auto found = this->holders.find(flow);
    if (found == this->holders.end())
        return false;
    Holder& holder = found->second;
    if (holder.phase == HolderPhase::Running)
        return true;
    if (holder.phase == HolderPhase::Ready)
        return false;
    holder.since = this->clock.now();
    if (this->ready.empty() && this->runningSlots < this->offeredSlots()) {
        holder.phase = HolderPhase::Running;
        ++this->runningSlots;
        return true;
    }
    holder.phase = HolderPhase::Ready;
    this->ready.push_back(flow);
    return false;
}

std::vector<FlowId> Admission::startReadyFlows()
{
    std::vector<FlowId> started;
    while (!this->ready.empty() && this->runningSlots < this->offeredSlots()) {
        const FlowId flow = this->ready.front();
        this->ready.pop_front();
        this->holders[flow].phase = HolderPhase::Running;
        this->holders[flow].since = this->clock.now();
        ++this->runningSlots;
        started.push_back(flow);
    }
    return started;
}

void Admission::refuseExpired(std::deque<Waiter>& waiters, std::vector<AdmissionChange>& changes)
{
    const TimePoint now = this->clock.now();
    std::erase_if(waiters, [&](const Waiter& waiter) {
        const bool isExpired = waiter.expires <= now;
        if (this->isDraining)
            changes.push_back(
                { waiter.flow, AdmissionDecision::Refused, Reason::Draining, Milliseconds(0), waiter.backup });
        else if (isExpired)
            changes.push_back({ waiter.flow, AdmissionDecision::Refused, Reason::DeadlineExceeded, this->retryAfter(),
                waiter.backup });
        return this->isDraining || isExpired;
    });
}

void Admission::grantQueued(std::vector<AdmissionChange>& changes)
{
    bool slotRequestSkipped = false;
    for (auto waiter = this->queue.begin(); waiter != this->queue.end();) {
        const bool needsSlot = this->takesSlot(waiter->trafficClass);
        const unsigned ahead
            = this->queue.size() >= this->options.reserveAheadMinQueue ? this->allowedReservationsAhead() : 0;
        if ((needsSlot && slotRequestSkipped) || !this->hasCapacity(waiter->trafficClass, ahead)) {
            slotRequestSkipped = slotRequestSkipped || needsSlot;
            ++waiter;
            continue;
        }
        this->grant(waiter->flow, waiter->trafficClass);
        changes.push_back({ waiter->flow, AdmissionDecision::Granted });
        waiter = this->queue.erase(waiter);
    }
}

// Orders backups with nearly the same deadline differently at each upstream: a request that is granted at two upstreams
// at once leaves one slot idle for a round trip.
uint64_t Admission::backupRank(const Waiter& waiter) const
{
    constexpr uint64_t multiplier = 0x9E3779B97F4A7C15; // the usual constant of Fibonacci hashing
    uint64_t value = (waiter.flow.high ^ waiter.flow.low ^ this->options.backupSalt * multiplier) * multiplier;
    value ^= value >> 32;
    return value * multiplier;
}

void Admission::grantBackups(std::vector<AdmissionChange>& changes, bool onlyUrgent)
{
    // Urgent backups share the reservations ahead; otherwise a queue that always uses them would starve backups.
    const bool mayReserveAhead = onlyUrgent && this->queue.size() >= this->options.reserveAheadMinQueue;
    const unsigned ahead = mayReserveAhead ? this->allowedReservationsAhead() : 0;
    while (!this->backups.empty() && this->hasCapacity(TrafficClass::Request, ahead)) {
        const TimePoint first
            = std::min_element(this->backups.begin(), this->backups.end(), [](const Waiter& a, const Waiter& b) {
                  return a.expires < b.expires;
              })->expires;
        if (onlyUrgent && !this->queue.empty()
            && first + this->options.backupOvertakeMargin > this->queue.front().expires)
            return;
        auto best = this->backups.end();
        for (auto waiter = this->backups.begin(); waiter != this->backups.end(); ++waiter) {
            if (waiter->expires > first + this->options.backupOvertakeMargin / 2)
                continue;
            if (best == this->backups.end() || this->backupRank(*waiter) < this->backupRank(*best))
                best = waiter;
        }
        this->grant(best->flow, best->trafficClass);
        changes.push_back({ best->flow, AdmissionDecision::Granted, Reason::None, Milliseconds(0), true });
        this->backups.erase(best);
    }
}

std::vector<AdmissionChange> Admission::processQueue()
{
    std::vector<AdmissionChange> changes;
    this->refuseExpired(this->queue, changes);
    this->refuseExpired(this->backups, changes);
    if (this->isDraining)
        return changes;
    if (!this->queue.empty())
        this->grantBackups(changes, true);
    this->grantQueued(changes);
    if (this->queue.empty())
        this->grantBackups(changes, false);
    return changes;
}

std::optional<TimePoint> Admission::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const std::deque<Waiter>* waiters : { &this->queue, &this->backups }) {
        for (const Waiter& waiter : *waiters)
            next = std::min(next.value_or(waiter.expires), waiter.expires);
    }
    // While the ramp lasts, the next slot may be offered without any other event.
    const bool waits = next.has_value() || !this->ready.empty();
    if (waits && this->clock.now() < this->rampStart + this->options.rampDuration) {
        const TimePoint rampStep = this->clock.now() + std::max(Milliseconds(1), this->options.rampDuration / 100);
        next = std::min(next.value_or(rampStep), rampStep);
    }
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

void Admission::setStragglerAfter(Milliseconds value) { this->options.stragglerAfter = value; }

void Admission::setRamp(Milliseconds duration) { this->options.rampDuration = duration; }

void Admission::setLimits(uint16_t slots, uint32_t connections)
{
    this->options.slots = slots;
    this->options.connections = connections;
}

Load Admission::load() const
{
    const unsigned offered = this->offeredSlots();
    const unsigned busy = std::min(this->reservedSlots, offered);
    const size_t waiting = this->queue.size() + (this->reservedSlots - busy);
    return { static_cast<uint16_t>(busy), static_cast<uint16_t>(offered), static_cast<uint16_t>(waiting),
        static_cast<uint32_t>(this->holders.size()) };
}

size_t Admission::stragglers() const
{
    const TimePoint startedBefore = this->clock.now() - this->options.stragglerAfter;
    return static_cast<size_t>(std::count_if(this->holders.begin(), this->holders.end(), [&](const auto& holder) {
        return this->takesSlot(holder.second.trafficClass) && holder.second.phase == HolderPhase::Running
            && holder.second.since < startedBefore;
    }));
}

} // namespace wasabicroft
