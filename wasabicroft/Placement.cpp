#include "wasabicroft/Placement.h"

#include <algorithm>
#include <cassert>
#include <cmath>

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
// [SECTION] Outlier detection
//-----------------------------------------------------------------------------

OutlierDetector::OutlierDetector(OutlierDetectorOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , lastTick(timeSource.now())
{
}

void OutlierDetector::onSuccess(UpstreamId upstream) { this->histories.erase(upstream); }

void OutlierDetector::onFailure(UpstreamId upstream)
{
    // After a pause of this process, timeouts fire before the replies that arrived meanwhile are read.
    if (this->clearAfterPause())
        return;
    const TimePoint now = this->clock.now();
    FailureHistory& item = this->histories[upstream];
    if (item.failures++ == 0)
        item.firstFailure = now;
    const bool isProbe = item.ejections > 0;
    if (isProbe && now < item.nextProbe)
        return; // the attempt began before the ejection
    const unsigned needed = std::max(2U, this->options.failuresToEject);
    if (!isProbe && (item.failures < needed || now - item.firstFailure < this->options.minFailureSpan))
        return;
    const Milliseconds ejection
        = std::min(this->options.maxEjection, this->options.minEjection * (1 << std::min(item.ejections, 10U)));
    item.nextProbe = now + ejection;
    ++item.ejections;
}

bool OutlierDetector::clearAfterPause()
{
    const TimePoint now = this->clock.now();
    const bool wasPaused = now - this->lastTick > this->options.pauseThreshold;
    if (wasPaused)
        this->histories.clear();
    return wasPaused;
}

void OutlierDetector::onTick()
{
    this->clearAfterPause();
    this->lastTick = this->clock.now();
}

bool OutlierDetector::isEjected(UpstreamId upstream) const
{
    const auto found = this->histories.find(upstream);
    return found != this->histories.end() && found->second.ejections > 0;
}

std::optional<UpstreamId> OutlierDetector::dueProbe(const std::vector<UpstreamId>& pool) const
{
    const TimePoint now = this->clock.now();
    for (const UpstreamId& upstream : pool) {
        const auto found = this->histories.find(upstream);
        if (found == this->histories.end() || found->second.ejections == 0 || found->second.nextProbe > now)
            continue;
        if (now - found->second.lastProbe >= this->options.minEjection)
            return upstream;
    }
    return std::nullopt;
}

void OutlierDetector::onProbe(UpstreamId upstream)
{
    if (const auto found = this->histories.find(upstream); found != this->histories.end())
        found->second.lastProbe = this->clock.now();
}

std::optional<UpstreamId> OutlierDetector::takeProbe(const std::vector<UpstreamId>& pool)
{
    const std::optional<UpstreamId> probe = this->dueProbe(pool);
    if (probe)
        this->onProbe(*probe);
    return probe;
}

void OutlierDetector::remove(UpstreamId upstream) { this->histories.erase(upstream); }

std::vector<UpstreamId> OutlierDetector::withoutEjected(const std::vector<UpstreamId>& pool) const
{
    std::vector<UpstreamId> remaining;
    for (const UpstreamId& upstream : pool) {
        if (!this->isEjected(upstream))
            remaining.push_back(upstream);
    }
    const size_t ejected = pool.size() - remaining.size();
    if (static_cast<double>(ejected) > this->options.maxEjectedShare * static_cast<double>(pool.size()))
        return pool;
    return remaining;
}

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

namespace {

    // Wrong or extreme service times neither starve an upstream nor send it the flows of the whole pool.
    constexpr double minSpeed = 0.25;
    constexpr double maxSpeed = 4;

    double slotsOf(const PlacementUpstream& upstream, const Load& load)
    {
        return std::max<double>(1, load.slots > 0 ? load.slots : upstream.slots);
    }

} // namespace

uint64_t rendezvousScore(uint64_t flowHash, UpstreamId upstream)
{
    return mixBits(flowHash ^ (upstream.value * splitMixIncrement));
}

Placement::Placement(PlacementOptions initialOptions, const Clock& timeSource)
    : options(std::move(initialOptions))
    , clock(timeSource)
    , detector(this->options.outlierDetection, timeSource)
{
    assert(this->options.random && "Placement needs a source of random numbers");
}

void Placement::setPool(ServiceId service, std::vector<PlacementUpstream> pool)
{
    this->pools[service].upstreams = std::move(pool);
}

bool Placement::isDraining(UpstreamId upstream) const
{
    const auto found = this->estimates.find(upstream);
    return found != this->estimates.end() && this->clock.now() < found->second.drainingUntil;
}

bool Placement::knowsServiceTime(const LoadEstimate& estimate) const
{
    return estimate.performance && estimate.performance->serviceTime.count() > 0
        && this->clock.now() - estimate.performanceTime <= this->options.speedLifetime;
}

double Placement::speedOf(const PoolMeans& means, const LoadEstimate& estimate) const
{
    if (!this->options.weighsSpeed || means.serviceTime <= 0 || !this->knowsServiceTime(estimate))
        return 1;
    return std::clamp(
        means.serviceTime / static_cast<double>(estimate.performance->serviceTime.count()), minSpeed, maxSpeed);
}

double Placement::connectionCostOf(const PoolMeans& means) const
{
    return means.connectionCost.value_or(this->options.connectionCost);
}

double Placement::estimateUtilization(const PoolMeans& means, const PlacementUpstream& upstream) const
{
    const auto found = this->estimates.find(upstream.id);
    if (found == this->estimates.end())
        return 0;
    const LoadEstimate& estimate = found->second;
    const Load& load = estimate.load;
    // A connection with a running request counts by that request.
    const double connections = this->options.measuresConnectionCost
        ? std::max(0.0, static_cast<double>(load.connections) - load.busySlots)
        : static_cast<double>(load.connections);
    const double reported = load.busySlots + load.queueLength + this->connectionCostOf(means) * connections;
    return std::max(0.0, reported + static_cast<double>(estimate.ownFlowDelta))
        / (slotsOf(upstream, load) * this->speedOf(means, estimate));
}

// The load that a connection brings is a mean over the pool and time: a single upstream whose connections pause would
// look as if they brought nothing.
Placement::PoolMeans Placement::currentMeans(const Pool& pool) const
{
    PoolMeans means = pool.means;
    const TimePoint now = this->clock.now();
    const Duration elapsed = now - means.refreshed;
    if (elapsed < this->options.poolRefreshInterval)
        return means;
    means.refreshed = now;
    int64_t serviceTimes = 0;
    int64_t known = 0;
    double busy = 0;
    double connections = 0;
    for (const PlacementUpstream& upstream : pool.upstreams) {
        const auto found = this->estimates.find(upstream.id);
        if (found == this->estimates.end())
            continue;
        const LoadEstimate& estimate = found->second;
        if (this->knowsServiceTime(estimate)) {
            serviceTimes += estimate.performance->serviceTime.count();
            ++known;
        }
        if (now - estimate.reportTime <= this->options.connectionCostReportAge) {
            busy += std::min<double>(estimate.load.busySlots, slotsOf(upstream, estimate.load));
            connections += static_cast<double>(estimate.load.connections);
        }
    }
    means.serviceTime = known > 0 ? static_cast<double>(serviceTimes) / static_cast<double>(known) : 0;
    if (!this->options.measuresConnectionCost || connections <= 0)
        return means;
    const double cost = this->connectionCostOf(means);
    // After a time without new flows, one look at the pool does not replace what was learnt.
    const std::chrono::duration<double> time = std::min<Duration>(elapsed, std::chrono::seconds(1));
    const double weight = 1 - std::exp(-time / std::chrono::duration<double>(this->options.connectionCostWindow));
    means.connectionCost = cost + weight * (std::min(1.0, busy / connections) - cost);
    return means;
}

// The part of rejoinDuration that is left for an upstream that returned; 0 for others.
double Placement::rejoinShare(const PlacementUpstream& upstream) const
{
    if (!upstream.rejoinedAt || this->options.rejoinDuration <= Milliseconds(0))
        return 0;
    const std::chrono::duration<double> elapsed = this->clock.now() - *upstream.rejoinedAt;
    const std::chrono::duration<double> whole = this->options.rejoinDuration;
    return std::clamp(1 - elapsed / whole, 0.0, 1.0);
}

// Of the upstreams that take new flows and did not return lately; 0 if there are none.
double Placement::meanUtilization(const Pool& pool, const PoolMeans& means) const
{
    double sum = 0;
    size_t count = 0;
    for (const PlacementUpstream& upstream : pool.upstreams) {
        if (upstream.leaving || this->rejoinShare(upstream) > 0)
            continue;
        sum += this->estimateUtilization(means, upstream);
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

std::vector<Placement::RankedUpstream> Placement::rankUpstreams(ServiceId service, uint64_t flowHash)
{
    const auto found = this->pools.find(service);
    if (found == this->pools.end())
        return {};
    Pool& pool = found->second;
    pool.means = this->currentMeans(pool);
    Ranking ranking = this->rank(pool, pool.means, flowHash, this->options.random);
    if (ranking.probe)
        this->detector.onProbe(*ranking.probe);
    return std::move(ranking.order);
}

Placement::Ranking Placement::rank(
    const Pool& pool, const PoolMeans& means, uint64_t flowHash, const std::function<uint64_t()>& random) const
{
    Ranking result;
    std::vector<RankedUpstream>& ranking = result.order;
    std::vector<UpstreamId> available;
    std::vector<UpstreamId> draining; // according to a reply that may be outdated
    for (const PlacementUpstream& upstream : pool.upstreams) {
        if (upstream.leaving)
            result.excluded.emplace_back(upstream.id, PlacementExclusion::Leaving);
        else
            (this->isDraining(upstream.id) ? draining : available).push_back(upstream.id);
    }
    // Asking a draining upstream costs a round trip; not asking refuses work although the drain may be over.
    if (available.empty())
        available = std::exchange(draining, {});
    for (const UpstreamId upstream : draining)
        result.excluded.emplace_back(upstream, PlacementExclusion::Draining);
    const std::vector<UpstreamId> usable = this->detector.withoutEjected(available);
    std::optional<double> mean; // of the others, if any returned lately
    auto next = usable.begin(); // usable and available are in the order of the pool
    auto nextAvailable = available.begin();
    for (const PlacementUpstream& upstream : pool.upstreams) {
        if (nextAvailable == available.end() || *nextAvailable != upstream.id)
            continue;
        ++nextAvailable;
        if (next == usable.end() || *next != upstream.id) {
            result.excluded.emplace_back(upstream.id, PlacementExclusion::Ejected);
            continue;
        }
        ++next;
        const bool isLocal = upstream.failureDomain == this->options.failureDomain;
        double estimated = this->estimateUtilization(means, upstream);
        if (const double share = this->rejoinShare(upstream); share > 0) {
            if (!mean)
                mean = this->meanUtilization(pool, means);
            estimated += std::max(0.0, *mean - estimated) * share;
        }
        ranking.push_back({ upstream.id, estimated + (isLocal ? 0 : this->options.remotePenalty), estimated });
    }
    if (this->options.preferredUpstreams > 0 && ranking.size() > this->options.preferredUpstreams) {
        std::nth_element(ranking.begin(),
            ranking.begin() + static_cast<std::ptrdiff_t>(this->options.preferredUpstreams), ranking.end(),
            [flowHash](const RankedUpstream& a, const RankedUpstream& b) {
                return rendezvousScore(flowHash, a.id) > rendezvousScore(flowHash, b.id);
            });
        for (size_t i = this->options.preferredUpstreams; i < ranking.size(); ++i) {
            ranking[i].cost += this->options.nonPreferredPenalty;
            ranking[i].isPreferred = false;
        }
    }
    for (size_t i = ranking.size(); i > 1; --i)
        std::swap(ranking[i - 1], ranking[random() % i]);
    std::stable_sort(ranking.begin(), ranking.end(),
        [](const RankedUpstream& a, const RankedUpstream& b) { return a.cost < b.cost; });
    if (this->options.coldStateOf) {
        this->demoteCold(result);
        std::erase_if(available, [this](UpstreamId id) { return this->options.coldStateOf(id) != ColdState::Warm; });
    }
    result.probe = this->detector.dueProbe(available);
    if (result.probe) {
        std::erase_if(result.excluded, [&](const auto& item) { return item.first == *result.probe; });
        std::erase_if(ranking, [&](const RankedUpstream& item) { return item.id == *result.probe; });
        ranking.insert(ranking.begin(), { *result.probe, 0, 0, false });
    }
    return result;
}

// Moves cold upstreams behind the warm ones that have a free slot, and leaves out those that got their share.
void Placement::demoteCold(Ranking& result) const
{
    std::vector<RankedUpstream>& ranking = result.order;
    std::vector<RankedUpstream> cold;
    std::erase_if(ranking, [&](const RankedUpstream& item) {
        const ColdState state = this->options.coldStateOf(item.id);
        if (state == ColdState::Cold)
            cold.push_back(item);
        else if (state == ColdState::AtShare)
            result.excluded.emplace_back(item.id, PlacementExclusion::AtShare);
        return state != ColdState::Warm;
    });
    if (cold.empty())
        return;
    const auto firstFull = std::stable_partition(
        ranking.begin(), ranking.end(), [](const RankedUpstream& item) { return item.utilization < 1; });
    ranking.insert(firstFull, cold.begin(), cold.end());
}

PlacementExplanation Placement::explainUpstream(const PoolMeans& means, const PlacementUpstream& upstream) const
{
    PlacementExplanation result;
    result.id = upstream.id;
    result.failureDomain = upstream.failureDomain;
    result.utilization = this->estimateUtilization(means, upstream);
    result.isDraining = this->isDraining(upstream.id);
    result.isEjected = this->detector.isEjected(upstream.id);
    result.isRejoining = this->rejoinShare(upstream) > 0;
    if (this->options.coldStateOf)
        result.coldState = this->options.coldStateOf(upstream.id);
    if (const Milliseconds age = this->loadAge(upstream.id); age >= Milliseconds(0))
        result.loadAge = age;
    const auto found = this->estimates.find(upstream.id);
    if (found == this->estimates.end() || !found->second.performance)
        return result;
    const LoadEstimate& estimate = found->second;
    result.speed = this->speedOf(means, estimate);
    if (this->knowsServiceTime(estimate))
        result.serviceTime = estimate.performance->serviceTime;
    result.performanceAge = std::chrono::duration_cast<Milliseconds>(this->clock.now() - estimate.performanceTime);
    result.expectedAnswer = this->expectedAnswer(upstream.id);
    if (result.expectedAnswer)
        result.expectedWait = estimate.performance->expectedWait;
    return result;
}

std::vector<PlacementExplanation> Placement::explain(
    ServiceId service, uint64_t flowHash, const std::function<uint64_t()>& random) const
{
    const auto found = this->pools.find(service);
    if (found == this->pools.end())
        return {};
    const Pool& pool = found->second;
    const PoolMeans means = this->currentMeans(pool);
    const Ranking ranking = this->rank(pool, means, flowHash, random);
    std::unordered_map<UpstreamId, const PlacementUpstream*> upstreams;
    for (const PlacementUpstream& upstream : pool.upstreams)
        upstreams.emplace(upstream.id, &upstream);
    std::vector<PlacementExplanation> result;
    for (const RankedUpstream& item : ranking.order) {
        PlacementExplanation explanation = this->explainUpstream(means, *upstreams.at(item.id));
        explanation.cost = item.cost;
        explanation.isPreferred = item.isPreferred;
        explanation.isProbe = item.id == ranking.probe;
        if (!explanation.isProbe)
            explanation.utilization = item.utilization;
        // Upstreams of the same cost are next to each other, apart from cold ones among warm ones.
        if (!result.empty() && !result.back().isProbe && result.back().cost == explanation.cost
            && result.back().coldState == explanation.coldState)
            result.back().isOrderRandom = explanation.isOrderRandom = true;
        result.push_back(std::move(explanation));
    }
    for (const auto& [upstream, exclusion] : ranking.excluded) {
        result.push_back(this->explainUpstream(means, *upstreams.at(upstream)));
        result.back().exclusion = exclusion;
    }
    return result;
}

std::vector<UpstreamId> Placement::candidates(ServiceId service, uint64_t flowHash)
{
    return this->plan(service, flowHash).candidates;
}

PlacementPlan Placement::plan(ServiceId service, uint64_t flowHash)
{
    PlacementPlan plan;
    const std::vector<RankedUpstream> ranking = this->rankUpstreams(service, flowHash);
    plan.saturated = !ranking.empty();
    for (const RankedUpstream& item : ranking) {
        if (plan.candidates.size() < this->options.maxCandidates)
            plan.candidates.push_back(item.id);
        if (plan.waitUpstreams.size() < this->options.maxWaitUpstreams)
            plan.waitUpstreams.push_back(item.id);
        plan.saturated = plan.saturated && item.utilization > 1;
    }
    return plan;
}

void Placement::onLoad(UpstreamId upstream, const Load& load)
{
    LoadEstimate& estimate = this->estimates[upstream];
    estimate.load = load;
    estimate.ownFlowDelta = 0;
    estimate.reportTime = this->clock.now();
}

void Placement::onPerformance(UpstreamId upstream, const UpstreamPerformance& performance)
{
    LoadEstimate& estimate = this->estimates[upstream];
    estimate.performance = performance;
    estimate.performanceTime = this->clock.now();
}

std::optional<Milliseconds> Placement::expectedAnswer(UpstreamId upstream) const
{
    const auto found = this->estimates.find(upstream);
    if (found == this->estimates.end() || !found->second.performance
        || this->clock.now() - found->second.performanceTime > this->options.performanceLifetime)
        return std::nullopt;
    const UpstreamPerformance& performance = *found->second.performance;
    return performance.expectedWait + std::chrono::duration_cast<Milliseconds>(performance.serviceTime);
}

void Placement::onFlowStarted(UpstreamId upstream) { ++this->estimates[upstream].ownFlowDelta; }

void Placement::onFlowEnded(UpstreamId upstream) { --this->estimates[upstream].ownFlowDelta; }

void Placement::onReply(UpstreamId upstream) { this->detector.onSuccess(upstream); }

void Placement::onDraining(UpstreamId upstream)
{
    this->estimates[upstream].drainingUntil = this->clock.now() + this->options.drainingRetryDelay;
}

void Placement::onFailure(UpstreamId upstream) { this->detector.onFailure(upstream); }

void Placement::onTick() { this->detector.onTick(); }

double Placement::utilization(ServiceId service, UpstreamId upstream) const
{
    const auto pool = this->pools.find(service);
    if (pool == this->pools.end())
        return 0;
    for (const PlacementUpstream& item : pool->second.upstreams) {
        if (item.id == upstream)
            return this->estimateUtilization(pool->second.means, item);
    }
    return 0;
}

double Placement::speed(ServiceId service, UpstreamId upstream) const
{
    const auto pool = this->pools.find(service);
    const auto estimate = this->estimates.find(upstream);
    if (pool == this->pools.end() || estimate == this->estimates.end())
        return 1;
    return this->speedOf(pool->second.means, estimate->second);
}

double Placement::connectionCost(ServiceId service) const
{
    const auto pool = this->pools.find(service);
    return pool == this->pools.end() ? this->options.connectionCost : this->connectionCostOf(pool->second.means);
}

Milliseconds Placement::loadAge(UpstreamId upstream) const
{
    const auto found = this->estimates.find(upstream);
    if (found == this->estimates.end() || found->second.reportTime == TimePoint())
        return Milliseconds(-1);
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - found->second.reportTime);
}

RetryBudget& Placement::retryBudget(ServiceId service) { return this->budgets[service]; }

const OutlierDetector& Placement::outlierDetector() const { return this->detector; }

} // namespace wasabicroft
