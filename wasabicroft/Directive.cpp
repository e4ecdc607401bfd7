#include "wasabicroft/Directive.h"

#include <algorithm>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

DirectiveSchedule::DirectiveSchedule(DirectiveOptions scheduleOptions, const Clock& timeSource)
    : options(scheduleOptions)
    , clock(timeSource)
    , budget(scheduleOptions.bytesPerSecond)
    , budgetTime(timeSource.now())
{
}

std::set<std::string> DirectiveSchedule::setOrders(const EvacuationOrders& orders)
{
    std::set<std::string> changed;
    for (const std::string& domain : orders.domains) {
        if (!this->evacuated.contains(domain))
            changed.insert(domain);
        this->withdrawals.erase(domain);
    }
    for (const std::string& domain : this->evacuated) {
        if (orders.domains.contains(domain))
            continue;
        changed.insert(domain);
        this->withdrawals[domain] = this->clock.now();
    }
    this->evacuated = orders.domains;
    return changed;
}

bool DirectiveSchedule::isDueBeforeOffer(PacketAddress agent, const std::string& domain, bool isCold) const
{
    const TimePoint now = this->clock.now();
    const auto withdrawal = this->withdrawals.find(domain);
    const bool isWithdrawn
        = withdrawal != this->withdrawals.end() && now - withdrawal->second < this->options.withdrawalNotice;
    if (!isCold && !isWithdrawn && !this->evacuated.contains(domain))
        return false;
    const auto sent = this->lastSent.find(agent);
    return sent == this->lastSent.end() || now - sent->second >= this->options.repeatInterval;
}

void DirectiveSchedule::onSent(PacketAddress agent) { this->lastSent[agent] = this->clock.now(); }

void DirectiveSchedule::enqueue(const std::vector<PacketAddress>& agents)
{
    for (const PacketAddress agent : agents) {
        if (std::find(this->queued.begin(), this->queued.end(), agent) == this->queued.end())
            this->queued.push_back(agent);
    }
}

std::vector<PacketAddress> DirectiveSchedule::takeQueued(size_t bytesPerDirective)
{
    const TimePoint now = this->clock.now();
    const double elapsed = std::chrono::duration<double>(now - std::exchange(this->budgetTime, now)).count();
    this->budget = std::min(this->options.bytesPerSecond, this->budget + elapsed * this->options.bytesPerSecond);
    const double cost = static_cast<double>(bytesPerDirective);
    std::vector<PacketAddress> due;
    while (!this->queued.empty() && this->budget >= cost) {
        this->budget -= cost;
        due.push_back(this->queued.front());
        this->queued.pop_front();
    }
    return due;
}

void DirectiveSchedule::onTick()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->lastSent, [&](const auto& item) { return now - item.second >= this->options.repeatInterval; });
    std::erase_if(
        this->withdrawals, [&](const auto& item) { return now - item.second >= this->options.withdrawalNotice; });
}

//-----------------------------------------------------------------------------
// [SECTION] Agent
//-----------------------------------------------------------------------------

EvacuationNotice::EvacuationNotice(Milliseconds noticeLifetime, const Clock& timeSource)
    : lifetime(noticeLifetime)
    , clock(timeSource)
{
}

bool EvacuationNotice::onDirective(const UpstreamDirective& directive)
{
    if (directive.evacuationPosition == 0 || directive.evacuationPosition < this->newestPosition)
        return false;
    this->newestPosition = directive.evacuationPosition;
    this->lastDirective = this->clock.now();
    return std::exchange(this->evacuated, directive.evacuated) != directive.evacuated;
}

bool EvacuationNotice::onTick()
{
    if (!this->evacuated || this->clock.now() - this->lastDirective < this->lifetime)
        return false;
    this->evacuated = false;
    return true;
}

} // namespace wasabicroft
