#include "wasabicroft/ServiceTime.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wasabicroft {

ServiceTime::ServiceTime(ServiceTimeOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , lastAdvance(timeSource.now())
    , lastAnswer(timeSource.now())
{
}

void ServiceTime::setSlots(uint16_t newSlots)
{
    this->advance();
    this->slots = newSlots;
    if (newSlots == 0)
        this->requests = 0;
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
    this->requests = std::min(this->options.window, this->decayedRequests() + 1);
    this->lastAnswer = this->clock.now();
    const Seconds own = this->charge - chargeAtStart;
    this->meanCharge += (own - this->meanCharge) / this->requests;
}

void ServiceTime::onRemoved()
{
    this->advance();
    this->running -= std::min<size_t>(1, this->running);
}

double ServiceTime::decayedRequests() const
{
    const double halfLives = Seconds(this->clock.now() - this->lastAnswer) / Seconds(this->options.halfLife);
    return this->requests * std::exp2(-halfLives);
}

std::optional<ServiceTime::Seconds> ServiceTime::mean() const
{
    if (this->decayedRequests() < this->options.minRequests)
        return std::nullopt;
    return this->meanCharge;
}

std::optional<ServiceTime::Seconds> ServiceTime::expectedWait(size_t waiting) const
{
    const std::optional<Seconds> serviceTime = this->mean();
    if (!serviceTime)
        return std::nullopt;
    const size_t ahead = this->running + waiting;
    if (ahead < this->slots)
        return Seconds(0);
    // All slots are busy: one request ends in the mean time divided by the slots.
    return *serviceTime * (static_cast<double>(ahead - this->slots + 1) / this->slots);
}

} // namespace wasabicroft
