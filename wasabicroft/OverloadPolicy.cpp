#include "wasabicroft/OverloadPolicy.h"

#include <algorithm>
#include <cmath>

namespace wasabicroft {

namespace {

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Work by route
//-----------------------------------------------------------------------------

WorkEstimator::WorkEstimator(WorkEstimatorOptions estimatorOptions)
    : options(estimatorOptions)
{
}

void WorkEstimator::onAnswered(PacketAddress route, Duration time)
{
    const PacketAddress key = this->options.byRoute ? route : PacketAddress();
    if (!this->moments.contains(key) && this->moments.size() >= this->options.maxRoutes)
        return;
    Moments& item = this->moments[key];
    item.requests = std::min(item.requests + 1, this->options.averagedRequests);
    const double weight = 1.0 / item.requests;
    const double difference = std::chrono::duration<double>(time).count() - item.meanSeconds;
    item.meanSeconds += weight * difference;
    item.deviationSeconds += weight * (std::abs(difference) - item.deviationSeconds);
}

WorkEstimate WorkEstimator::estimate(PacketAddress route, Milliseconds timeLimit) const
{
    const auto found = this->moments.find(this->options.byRoute ? route : PacketAddress());
    if (found == this->moments.end() || found->second.requests < this->options.minRequests)
        return { std::min(this->options.initialWork, timeLimit), Duration(0) };
    const Duration mean = std::min<Duration>(timeLimit, durationOf(found->second.meanSeconds));
    return { mean,
        std::min<Duration>(timeLimit - mean, durationOf(this->options.spreads * found->second.deviationSeconds)) };
}

//-----------------------------------------------------------------------------
// [SECTION] Order of waiting requests
//-----------------------------------------------------------------------------

RequestUrgency urgencyOf(const WaitingRequest& request)
{
    const Duration end = request.age + request.work.cautious();
    RequestUrgency urgency { Prospect::MeetsObjective, request.priority, request.objective - end, request.work.mean };
    if (!request.isAbandoned && urgency.slack >= Duration(0))
        return urgency;
    urgency.slack = request.timeLimit - end;
    const bool isHopeless = request.isAbandoned || urgency.slack < Duration(0);
    urgency.prospect = isHopeless ? Prospect::Hopeless : Prospect::MeetsTimeLimit;
    return urgency;
}

//-----------------------------------------------------------------------------
// [SECTION] Admission of new flows
//-----------------------------------------------------------------------------

FlowAdmission::FlowAdmission(FlowAdmissionOptions admissionOptions)
    : options(admissionOptions)
{
}

bool FlowAdmission::isTooLate(const RequestLimits& limits, std::optional<Milliseconds> expectedAnswer) const
{
    if (!expectedAnswer || !this->options.refuses)
        return false;
    if (limits.timeout > Milliseconds(0) && *expectedAnswer > limits.timeout)
        return true;
    if (limits.priority <= this->options.maxPrivilegedPriority || limits.objective == Milliseconds(0))
        return false;
    const std::chrono::duration<double, std::milli> longest = limits.objective * (1 + this->options.objectiveMargin);
    return *expectedAnswer > longest;
}

bool FlowAdmission::wouldRefuse(PacketAddress route) const
{
    const auto found = this->refusalsInTurn.find(route);
    if (found == this->refusalsInTurn.end() && this->refusalsInTurn.size() >= this->options.maxRoutes)
        return false;
    const unsigned refusals = found == this->refusalsInTurn.end() ? 0 : found->second;
    return refusals < this->options.maxRefusalsInTurn;
}

bool FlowAdmission::tryRefuse(PacketAddress route)
{
    const bool refuses = this->wouldRefuse(route);
    if (refuses)
        ++this->refusalsInTurn[route];
    else if (const auto found = this->refusalsInTurn.find(route); found != this->refusalsInTurn.end())
        found->second = 0;
    return refuses;
}

//-----------------------------------------------------------------------------
// [SECTION] Start and end of overload
//-----------------------------------------------------------------------------

OverloadMonitor::OverloadMonitor(OverloadMonitorOptions monitorOptions, const Clock& timeSource)
    : options(monitorOptions)
    , clock(timeSource)
{
}

bool OverloadMonitor::update(bool isLate)
{
    if (isLate == this->overloaded) {
        this->changingSince.reset();
        return false;
    }
    if (!this->changingSince)
        this->changingSince = this->clock.now();
    if (this->clock.now() - *this->changingSince < (isLate ? this->options.startDelay : this->options.endDelay))
        return false;
    this->overloaded = isLate;
    this->changingSince.reset();
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Counts by route
//-----------------------------------------------------------------------------

std::string_view nameOf(OverloadCause cause) { return overloadCauseNames.at(static_cast<size_t>(cause)); }

std::string overloadLabels(PacketAddress route, OverloadCause cause)
{
    return "route=\"" + toString(route) + "\",cause=\"" + std::string(nameOf(cause)) + '"';
}

void OverloadCounts::add(PacketAddress route, OverloadCause cause)
{
    const bool isFull = this->counts.size() >= maxCounts && !this->counts.contains({ route, cause });
    ++this->counts[{ isFull ? PacketAddress() : route, cause }];
}

uint64_t OverloadCounts::count(PacketAddress route, OverloadCause cause) const
{
    const auto found = this->counts.find({ route, cause });
    return found == this->counts.end() ? 0 : found->second;
}

} // namespace wasabicroft
