#include "wasabicroft/ServiceTime.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wasabicroft {

ServiceTime::ServiceTime(ServiceTimeOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , lastAdvance(timeSource.now())
{
}

void ServiceTime::setSlots(uint16_t newSlots)
{
    this->advance();
    this->slots = newSlots;
    if (newSlots == 0)
        this->answeredMean.requests = this->allMean.requests = 0;
}

void ServiceTime::advance()
{
    const TimePoint now = this->clock.now();
    const Seconds elapsed = now - std::exchange(this->lastAdvance, now);
    const bool sharesSlots = this->options.fromBusyTime && this->slots > 0 && this->running > this->slots;
    this->charge
        += sharesSlots ? elapsed * (static_cast<double>(this->slots) / static_cast<double>(this->running)) : elapsed;
}

ServiceTime::Seconds ServiceTime::onStarted()
{
    this->advance();
    ++this->running;
    return this->charge;
}

void ServiceTime::onAnswered(Seconds chargeAtStart)
{
    this->onRemoved();
    if (this->slots == 0)
        return;
    this->add(this->answeredMean, this->charge - chargeAtStart);
    this->add(this->allMean, this->charge - chargeAtStart);
}

ServiceTime::Seconds ServiceTime::chargeSince(Seconds chargeAtStart)
{
    this->advance();
    return this->charge - chargeAtStart;
}

void ServiceTime::onUnanswered(Seconds requestCharge)
{
    if (this->slots > 0)
        this->add(this->allMean, requestCharge);
}

void ServiceTime::add(MovingMean& mean, Seconds requestCharge) const
{
    mean.requests = std::min(this->options.window, this->decayedRequests(mean) + 1);
    mean.lastRequest = this->clock.now();
    mean.value += (requestCharge - mean.value) / mean.requests;
}

void ServiceTime::onRemoved()
{
    this->advance();
    this->running -= std::min<size_t>(1, this->running);
}

double ServiceTime::decayedRequests(const MovingMean& mean) const
{
    const double halfLives = Seconds(this->clock.now() - mean.lastRequest) / Seconds(this->options.halfLife);
    return mean.requests * std::exp2(-halfLives);
}

std::optional<ServiceTime::Seconds> ServiceTime::mean(Requests counted) const
{
    const MovingMean& mean = counted == Requests::All ? this->allMean : this->answeredMean;
    if (this->decayedRequests(mean) < this->options.minRequests)
        return std::nullopt;
    return mean.value;
}

std::optional<ServiceTime::Seconds> ServiceTime::expectedWait(size_t waiting, Requests counted) const
{
    const std::optional<Seconds> serviceTime = this->mean(counted);
    if (!serviceTime)
        return std::nullopt;
    const size_t ahead = this->running + waiting;
    if (ahead < this->slots)
        return Seconds(0);
    // All slots are busy: one request ends in the mean time divided by the slots.
    return *serviceTime * (static_cast<double>(ahead - this->slots + 1) / this->slots);
}

} // namespace wasabicroft
