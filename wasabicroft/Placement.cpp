#include "wasabicroft/Placement.h"

#include <algorithm>
#include <cassert>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

RetryBudget::RetryBudget(double retryShare, double maxTokens)
    : share(retryShare)
    , burst(maxTokens)
{
}

void RetryBudget::onFirstAttempt() { this->tokens = std::min(this->burst, this->tokens + this->share); }

bool RetryBudget::tryRetry()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Suspicion
//-----------------------------------------------------------------------------

Suspicion::Suspicion(SuspicionOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , lastTick(timeSource.now())
{
}

void Suspicion::onSuccess(UpstreamId upstream) { this->evidence.erase(upstream); }

void Suspicion::onFailure(UpstreamId upstream)
{
    // After a pause, time-outs fire before any reply that arrived meanwhile is read.
    if (this->discardAfterPause())
        return;
    const TimePoint now = this->clock.now();
    Evidence& item = this->evidence[upstream];
    if (item.failures++ == 0)
        item.firstFailure = now;
    const bool isProbe = item.ejections > 0;
    if (isProbe && now < item.nextProbe)
        return; // an attempt from before the ejection
    const unsigned needed = std::max(2U, this->options.failuresToEject);
    if (!isProbe && (item.failures < needed || now - item.firstFailure < this->options.minEvidenceSpan))
        return;
    const Milliseconds ejection
        = std::min(this->options.maxEjection, this->options.minEjection * (1 << std::min(item.ejections, 10U)));
    item.nextProbe = now + ejection;
    ++item.ejections;
}

bool Suspicion::discardAfterPause()
{
    const TimePoint now = this->clock.now();
    const bool wasPaused = now - this->lastTick > this->options.pauseThreshold;
    if (wasPaused)
        this->evidence.clear();
    return wasPaused;
}

void Suspicion::onTick()
{
    this->discardAfterPause();
    this->lastTick = this->clock.now();
}

bool Suspicion::isSuspect(UpstreamId upstream) const
{
    const auto found = this->evidence.find(upstream);
    return found != this->evidence.end() && found->second.ejections > 0;
}

std::optional<UpstreamId> Suspicion::takeProbe(const std::vector<UpstreamId>& pool)
{
    const TimePoint now = this->clock.now();
    for (const UpstreamId& upstream : pool) {
        const auto found = this->evidence.find(upstream);
        if (found == this->evidence.end() || found->second.ejections == 0 || found->second.nextProbe > now)
            continue;
        if (now - found->second.lastProbe < this->options.minEjection)
            continue;
        found->second.lastProbe = now;
        return upstream;
    }
    return std::nullopt;
}

void Suspicion::forget(UpstreamId upstream) { this->evidence.erase(upstream); }

std::vector<UpstreamId> Suspicion::usable(const std::vector<UpstreamId>& pool) const
{
    std::vector<UpstreamId> rest;
    for (const UpstreamId& upstream : pool) {
        if (!this->isSuspect(upstream))
            rest.push_back(upstream);
    }
    const size_t ejected = pool.size() - rest.size();
    if (static_cast<double>(ejected) > this->options.maxEjectedShare * static_cast<double>(pool.size()))
        return pool;
    return rest;
}

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

uint64_t rendezvousRank(uint64_t flowHash, UpstreamId upstream)
{
    return mixBits(flowHash ^ (upstream.value * mixStep));
}

Placement::Placement(PlacementOptions initialOptions, const Clock& timeSource)
    : options(std::move(initialOptions))
    , clock(timeSource)
    , suspects(this->options.suspicion, timeSource)
{
    assert(this->options.random && "Placement needs a source of random numbers");
}

void Placement::setPool(ServiceId service, std::vector<PlacementUpstream> pool)
{
    this->pools[service] = std::move(pool);
}

bool Placement::isDraining(UpstreamId upstream) const
{
    const auto found = this->estimates.find(upstream);
    return found != this->estimates.end() && this->clock.now() < found->second.drainingUntil;
}

double Placement::occupied(const PlacementUpstream& upstream) const
{
    const auto found = this->estimates.find(upstream.id);
    const Estimate estimate = found == this->estimates.end() ? Estimate() : found->second;
    const double slots = std::max<double>(1, estimate.load.slots > 0 ? estimate.load.slots : upstream.slots);
    const double reported = estimate.load.busySlots + estimate.load.queueLength
        + this->options.connectionCost * static_cast<double>(estimate.load.connections);
    return std::max(0.0, reported + static_cast<double>(estimate.ownChange)) / slots;
}

std::vector<Placement::Ranked> Placement::ranked(ServiceId service, uint64_t flowHash)
{
    const auto pool = this->pools.find(service);
    if (pool == this->pools.end())
        return {};
    std::vector<UpstreamId> live;
    std::vector<UpstreamId> draining; // by a reply that may be outdated
    for (const PlacementUpstream& upstream : pool->second) {
        if (!upstream.leaving)
            (this->isDraining(upstream.id) ? draining : live).push_back(upstream.id);
    }
    if (live.empty())
        live = std::move(draining); // asking costs a round trip, not asking refuses work although a drain may be over
    const std::vector<UpstreamId> usable = this->suspects.usable(live);
    std::vector<Ranked> ranking;
    auto next = usable.begin(); // usable has the order of the pool
    for (const PlacementUpstream& upstream : pool->second) {
        if (next == usable.end() || *next != upstream.id)
            continue;
        ++next;
        const bool isLocal = upstream.failureDomain == this->options.failureDomain;
        const double share = this->occupied(upstream);
        ranking.push_back({ upstream.id, share + (isLocal ? 0 : this->options.remotePenalty), share });
    }
    if (this->options.homes > 0 && ranking.size() > this->options.homes) {
        std::nth_element(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(this->options.homes),
            ranking.end(), [flowHash](const Ranked& a, const Ranked& b) {
                return rendezvousRank(flowHash, a.id) > rendezvousRank(flowHash, b.id);
            });
        for (size_t i = this->options.homes; i < ranking.size(); ++i)
            ranking[i].cost += this->options.awayCost;
    }
    for (size_t i = ranking.size(); i > 1; --i)
        std::swap(ranking[i - 1], ranking[this->options.random() % i]);
    std::stable_sort(ranking.begin(), ranking.end(), [](const Ranked& a, const Ranked& b) { return a.cost < b.cost; });
    const std::optional<UpstreamId> probe = this->suspects.takeProbe(live);
    if (probe) {
        std::erase_if(ranking, [&](const Ranked& item) { return item.id == *probe; });
        ranking.insert(ranking.begin(), { *probe, 0, 0 });
    }
    return ranking;
}

std::vector<UpstreamId> Placement::candidates(ServiceId service, uint64_t flowHash)
{
    return this->plan(service, flowHash).asks;
}

PlacementPlan Placement::plan(ServiceId service, uint64_t flowHash)
{
    PlacementPlan plan;
    const std::vector<Ranked> ranking = this->ranked(service, flowHash);
    plan.saturated = !ranking.empty();
    for (const Ranked& item : ranking) {
        if (plan.asks.size() < this->options.candidates)
            plan.asks.push_back(item.id);
        if (plan.waitAt.size() < this->options.waitAt)
            plan.waitAt.push_back(item.id);
        plan.saturated = plan.saturated && item.occupied > 1;
    }
    return plan;
}

void Placement::onLoad(UpstreamId upstream, const Load& load)
{
    Estimate& estimate = this->estimates[upstream];
    estimate.load = load;
    estimate.ownChange = 0;
    estimate.reported = this->clock.now();
}

void Placement::onFlowStarted(UpstreamId upstream) { ++this->estimates[upstream].ownChange; }

void Placement::onFlowEnded(UpstreamId upstream) { --this->estimates[upstream].ownChange; }

void Placement::onReply(UpstreamId upstream) { this->suspects.onSuccess(upstream); }

void Placement::onDraining(UpstreamId upstream)
{
    this->estimates[upstream].drainingUntil = this->clock.now() + this->options.drainingHold;
}

void Placement::onSilence(UpstreamId upstream) { this->suspects.onFailure(upstream); }

void Placement::onTick() { this->suspects.onTick(); }

double Placement::occupiedShare(ServiceId service, UpstreamId upstream) const
{
    const auto pool = this->pools.find(service);
    if (pool == this->pools.end())
        return 0;
    for (const PlacementUpstream& item : pool->second) {
        if (item.id == upstream)
            return this->occupied(item);
    }
    return 0;
}

Milliseconds Placement::loadAge(UpstreamId upstream) const
{
    const auto found = this->estimates.find(upstream);
    if (found == this->estimates.end() || found->second.reported == TimePoint())
        return Milliseconds(-1);
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - found->second.reported);
}

RetryBudget& Placement::retryBudget(ServiceId service) { return this->budgets[service]; }

const Suspicion& Placement::suspicion() const { return this->suspects; }

} // namespace wasabicroft
