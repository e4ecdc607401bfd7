#include "wasabicroft/Directive.h"

#include "wasabicroft/Placement.h"

#include <algorithm>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

std::optional<size_t> refreshRank(
    PacketAddress agent, uint32_t entry, const std::vector<PacketAddress>& otherEntries, size_t maxEntries)
{
    const auto scoreOf = [agent](uint32_t address) { return rendezvousScore(agent.address, UpstreamId { address }); };
    const uint64_t score = scoreOf(entry);
    size_t rank = 0;
    // Ends early: of hundreds of entries, most are none of those that refresh this agent.
    for (auto other = otherEntries.begin(); other != otherEntries.end() && rank < maxEntries; ++other)
        rank += scoreOf(other->address) > score ? 1U : 0U;
    return rank < maxEntries ? std::optional(rank) : std::nullopt;
}

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
    for (const std::string& domain : changed)
        this->directed.erase(domain);
    this->evacuated = orders.domains;
    return changed;
}

// After an outage many entries are confirmed at about the same time. Each begins anew at its place in the interval, so
// that the refreshes of one agent stay spread.
void DirectiveSchedule::setConfirmationAge(std::optional<Duration> age)
{
    const bool isNowConfirmed = !this->options.needsConfirmation || (age && *age <= this->options.maxConfirmationAge);
    if (std::exchange(this->isConfirmed, isNowConfirmed) || !isNowConfirmed)
        return;
    for (const auto& [agent, refresh] : this->refreshes)
        this->scheduleRefresh(agent, this->phaseOf(refresh.rank));
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

void DirectiveSchedule::onSent(PacketAddress agent, const std::string& domain)
{
    this->lastSent[agent] = this->clock.now();
    if (this->isConfirmed && this->evacuated.contains(domain))
        this->directed[domain].insert(agent);
}

bool DirectiveSchedule::isDirected(PacketAddress agent, const std::string& domain) const
{
    const auto agents = this->directed.find(domain);
    return agents != this->directed.end() && agents->second.contains(agent);
}

void DirectiveSchedule::enqueue(const std::vector<PacketAddress>& agents)
{
    for (const PacketAddress agent : agents) {
        if (std::find(this->queued.begin(), this->queued.end(), agent) == this->queued.end())
            this->queued.push_back(agent);
    }
}

// The entries of one agent refresh it at different times, so that a short failure does not affect all of them. The
// first one begins at once, since the agent may lack the order.
void DirectiveSchedule::setRefreshed(const std::map<PacketAddress, size_t>& ranks)
{
    std::erase_if(this->refreshes, [&](const auto& item) { return !ranks.contains(item.first); });
    std::erase_if(this->refreshOrder, [&](const auto& item) { return !ranks.contains(item.second); });
    for (const auto& [agent, rank] : ranks) {
        if (this->refreshes.try_emplace(agent, Refresh { rank, {} }).second)
            this->scheduleRefresh(agent, this->phaseOf(rank));
    }
}

Duration DirectiveSchedule::phaseOf(size_t rank) const
{
    return Duration(this->options.refreshInterval) * rank / this->options.refreshingEntries;
}

void DirectiveSchedule::scheduleRefresh(PacketAddress agent, Duration delay)
{
    Refresh& refresh = this->refreshes.at(agent);
    this->refreshOrder.erase({ refresh.due, agent });
    refresh.due = this->clock.now() + delay;
    this->refreshOrder.emplace(refresh.due, agent);
}

// Refreshes and changes take turns while both are due. Either may need the whole budget for longer than agents keep an
// order, so that the other would starve.
std::optional<PacketAddress> DirectiveSchedule::takeNext()
{
    const bool isRefreshDue = !this->refreshOrder.empty() && this->refreshOrder.begin()->first <= this->clock.now();
    if (!isRefreshDue && this->queued.empty())
        return std::nullopt;
    const bool takesRefresh = isRefreshDue && (this->isRefreshNext || this->queued.empty());
    this->isRefreshNext = !takesRefresh;
    const PacketAddress agent = takesRefresh ? this->refreshOrder.begin()->second : this->queued.front();
    // Entries send directives about a change at the same time: their next refreshes follow in turn.
    const bool isChange = std::erase(this->queued, agent) > 0;
    if (const auto refresh = this->refreshes.find(agent); refresh != this->refreshes.end())
        this->scheduleRefresh(
            agent, isChange ? this->phaseOf(refresh->second.rank + 1) : Duration(this->options.refreshInterval));
    return agent;
}

std::vector<PacketAddress> DirectiveSchedule::takeQueued(size_t bytesPerDirective)
{
    const TimePoint now = this->clock.now();
    const double elapsed = std::chrono::duration<double>(now - std::exchange(this->budgetTime, now)).count();
    this->budget = std::min(this->options.bytesPerSecond, this->budget + elapsed * this->options.bytesPerSecond);
    const double cost = static_cast<double>(bytesPerDirective);
    std::vector<PacketAddress> due;
    while (this->isConfirmed && this->budget >= cost) {
        const std::optional<PacketAddress> agent = this->takeNext();
        if (!agent)
            break;
        this->budget -= cost;
        due.push_back(*agent);
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
