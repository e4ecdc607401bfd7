#include "wasabicroft/ColdStart.h"

#include <algorithm>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Agent
//-----------------------------------------------------------------------------

ColdStartLimiter::ColdStartLimiter(const Clock& timeSource, ColdStartOptions limiterOptions)
    : options(limiterOptions)
    , clock(timeSource)
    , started(timeSource.now())
{
}

// The latest end that any entry states counts: entries that know the newest record state it, and an earlier end of
// another one may be that of a former incarnation.
bool ColdStartLimiter::onDirective(const UpstreamDirective& directive)
{
    if (directive.coldFlowsPerSecond == 0 || directive.coldLeft <= Milliseconds(0) || directive.coldLeft > maxColdTime)
        return false;
    this->limit = directive.coldFlowsPerSecond;
    this->coldUntil = std::max(this->coldUntil, this->clock.now() + directive.coldLeft);
    return !std::exchange(this->cold, true);
}

bool ColdStartLimiter::onTick()
{
    const TimePoint windowStart = this->clock.now() - window;
    while (!this->handedOver.empty() && this->handedOver.front().time <= windowStart)
        this->handedOver.pop_front();
    return this->clock.now() >= this->coldUntil && std::exchange(this->cold, false);
}

void ColdStartLimiter::reset()
{
    this->cold = false;
    this->coldUntil = TimePoint();
    this->handedOver.clear();
    this->reservesFlowsUntil = TimePoint();
    this->reservesRequestsUntil = TimePoint();
}

Milliseconds ColdStartLimiter::timeLeft() const
{
    const Duration left = this->coldUntil - this->clock.now();
    return this->cold ? std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(left)) : Milliseconds(0);
}

// In the first second, half the limit: a former process of this agent may have handed over the full limit within the
// same second, and the upstream may get at most one and a half times the limit.
size_t ColdStartLimiter::admitted() const
{
    return this->isFirstSecond() ? std::max(1U, this->limit / 2) : this->limit;
}

ColdStartLimiter::Entries::const_iterator ColdStartLimiter::windowBegin() const
{
    return std::upper_bound(this->handedOver.begin(), this->handedOver.end(), this->clock.now() - window,
        [](TimePoint windowStart, const HandedOver& item) { return windowStart < item.time; });
}

size_t ColdStartLimiter::countInWindow() const
{
    return static_cast<size_t>(this->handedOver.end() - this->windowBegin());
}

ColdStartLimiter::Entries::const_iterator ColdStartLimiter::findAwaitingRequest(const FlowKey& flow) const
{
    return std::find_if(this->windowBegin(), this->handedOver.end(),
        [&](const HandedOver& item) { return item.awaitsRequest && item.flow == flow; });
}

// Requests have more places, because a new flow can go to another upstream and would bring more requests. The places of
// new flows keep these from being refused throughout where requests alone reach the limit.
bool ColdStartLimiter::hasPlaceFor(bool isNewFlow) const
{
    const TimePoint now = this->clock.now();
    const size_t places = this->admitted();
    if (this->countInWindow() >= places)
        return false;
    size_t reserved = 0; // for the other kind
    if (isNewFlow && now < this->reservesRequestsUntil)
        reserved = places / placesPerReservedRequest;
    else if (!isNewFlow && now < this->reservesFlowsUntil && places > 1)
        reserved = std::max<size_t>(1, places / placesPerReservedFlow);
    const auto ofThisKind = std::count_if(this->windowBegin(), this->handedOver.end(),
        [&](const HandedOver& item) { return item.isNewFlow == isNewFlow; });
    return static_cast<size_t>(ofThisKind) + reserved < places;
}

bool ColdStartLimiter::mayHandOver() const { return !this->isLimiting() || this->hasPlaceFor(true); }

void ColdStartLimiter::onRefused() { this->reservesFlowsUntil = this->clock.now() + this->options.reservationTime; }

void ColdStartLimiter::onWaiting() { this->reservesRequestsUntil = this->clock.now() + this->options.reservationTime; }

void ColdStartLimiter::onHandedOver(const FlowKey& flow)
{
    this->handedOver.push_back({ this->clock.now(), flow, true, true });
}

bool ColdStartLimiter::mayStart(const FlowKey& flow) const
{
    if (!this->options.countsRequests || !this->isLimiting())
        return true;
    return this->findAwaitingRequest(flow) != this->handedOver.end() || this->hasPlaceFor(false);
}

// Most probes are returned at once, and a search ends sooner with an early answer. Held ones may exceed the limit by
// half, as a restart of the agent may, but not in the same second.
bool ColdStartLimiter::mayStartProbe() const
{
    if (!this->options.countsRequests || !this->isLimiting())
        return true;
    const size_t excess = this->isFirstSecond() ? 0 : this->limit / 2;
    return this->countInWindow() < this->admitted() + excess;
}

// The request takes over the place of its flow's SYN, so that requests alone do not exceed the limit in any second.
void ColdStartLimiter::onStarted(const FlowKey& flow)
{
    if (!this->options.countsRequests)
        return;
    const auto syn = this->findAwaitingRequest(flow);
    const bool isFirstRequest = syn != this->handedOver.end();
    if (isFirstRequest)
        this->handedOver.erase(syn);
    this->handedOver.push_back({ this->clock.now(), flow, isFirstRequest, false });
}

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

ColdUpstreams::ColdUpstreams(const Clock& timeSource)
    : clock(timeSource)
{
}

void ColdUpstreams::setRecords(const std::vector<UpstreamRecord>& listed)
{
    std::unordered_map<UpstreamId, Row> before = std::exchange(this->rows, {});
    const TimePoint now = this->clock.now();
    for (const UpstreamRecord& record : listed) {
        const UpstreamId id = record.id();
        const auto known = before.find(id);
        if (known != before.end() && known->second.revision >= record.revision) {
            this->rows.insert(std::move(*known));
        } else if (record.coldLeft > Milliseconds(0)) {
            Row row = known == before.end() ? Row() : known->second;
            row.service = record.service;
            row.revision = record.revision;
            row.received = now;
            row.left = std::min(record.coldLeft, maxColdTime);
            this->rows[id] = row;
        }
    }
}

TimePoint ColdUpstreams::endOf(const Row& row) const
{
    const auto stated = this->coldStarts.find(row.service);
    return stated == this->coldStarts.end() ? TimePoint() : row.received + std::min(row.left, stated->second.duration);
}

const ColdUpstreams::Row* ColdUpstreams::findCold(UpstreamId upstream) const
{
    if (!this->enabled || this->rows.empty())
        return nullptr;
    const auto found = this->rows.find(upstream);
    return found != this->rows.end() && this->clock.now() < this->endOf(found->second) ? &found->second : nullptr;
}

// The share grows continuously, since that of one second may be less than one flow.
double ColdUpstreams::tokensOf(const Row& row, uint32_t limit) const
{
    const double share = static_cast<double>(limit) / static_cast<double>(this->entryCount);
    const double elapsed = std::chrono::duration<double>(this->clock.now() - row.tokenTime).count();
    return std::min(std::max(1.0, share), row.tokens + share * elapsed);
}

ColdState ColdUpstreams::stateOf(UpstreamId upstream) const
{
    const Row* row = this->findCold(upstream);
    if (!row)
        return ColdState::Warm;
    const uint32_t limit = this->flowsPerSecond(upstream);
    return limit == 0 || this->tokensOf(*row, limit) >= 1 ? ColdState::Cold : ColdState::AtShare;
}

void ColdUpstreams::onOffered(UpstreamId upstream)
{
    const uint32_t limit = this->flowsPerSecond(upstream);
    if (limit == 0)
        return;
    Row& row = this->rows.at(upstream);
    row.tokens = std::max(0.0, this->tokensOf(row, limit) - 1);
    row.tokenTime = this->clock.now();
}

Milliseconds ColdUpstreams::timeLeft(UpstreamId upstream) const
{
    const Row* row = this->findCold(upstream);
    return row ? std::chrono::ceil<Milliseconds>(this->endOf(*row) - this->clock.now()) : Milliseconds(0);
}

uint32_t ColdUpstreams::flowsPerSecond(UpstreamId upstream) const
{
    const Row* row = this->findCold(upstream);
    return row ? this->coldStarts.at(row->service).requestsPerSecond : 0;
}

size_t ColdUpstreams::count() const
{
    return static_cast<size_t>(std::count_if(this->rows.begin(), this->rows.end(),
        [this](const auto& item) { return this->findCold(item.first) != nullptr; }));
}

} // namespace wasabicroft
