#include "wasabicroft/LinkBudget.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

namespace {

    constexpr double startShare = 0.5; // of the burst, which has to be left when a search starts

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

LinkBudget::LinkBudget(LinkBudgetOptions budgetOptions, const Clock& timeSource)
    : options(budgetOptions)
    , clock(timeSource)
    , updated(timeSource.now() - budgetOptions.burst)
{
}

void LinkBudget::refill()
{
    const TimePoint now = this->clock.now();
    const double elapsed = seconds(now - std::exchange(this->updated, now));
    const auto add = [&](double& tokens, double share) {
        const double rate = share * this->options.bytesPerSecond;
        const double limit = rate * seconds(this->options.burst);
        tokens = std::clamp(tokens + rate * elapsed, -limit, limit);
    };
    add(this->shared, this->options.share);
    add(this->reserved, this->options.reservedShare);
}

void LinkBudget::onMessage(size_t bytes)
{
    this->refill();
    this->shared -= static_cast<double>(bytes);
}

void LinkBudget::onSearchMessage(size_t bytes)
{
    this->refill();
    (this->shared > 0 ? this->shared : this->reserved) -= static_cast<double>(bytes);
}

bool LinkBudget::canStartSearch()
{
    this->refill();
    const double burst = this->options.bytesPerSecond * seconds(this->options.burst);
    return this->shared > startShare * this->options.share * burst
        || this->reserved > startShare * this->options.reservedShare * burst;
}

bool LinkBudget::canContinueSearch()
{
    this->refill();
    return this->shared > 0 || this->reserved > 0;
}

} // namespace wasabicroft
