#include "wasabicroft/RequestQueue.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

namespace {

    constexpr double serviceTimeWeight = 0.1; // weight of the newest request in the moving average

} // namespace

RequestQueue::RequestQueue(RequestQueueOptions queueOptions, const Clock& timeSource)
    : options(queueOptions)
    , clock(timeSource)
    , serviceTime(queueOptions.serviceTime, timeSource)
    , stall(queueOptions.stall, timeSource)
    , work(queueOptions.work)
{
    this->serviceTime.setSlots(queueOptions.slots);
    this->stall.setSlots(queueOptions.slots);
    this->stall.onStuck = [this](const UnansweredRequest& request) { this->serviceTime.onUnanswered(request.charge); };
}

void RequestQueue::setSlots(uint16_t slots)
{
    this->options.slots = slots;
    this->serviceTime.setSlots(slots);
    this->stall.setSlots(slots);
}

void RequestQueue::setPaused(bool isPaused)
{
    this->paused = isPaused;
    this->stall.discardObservations(); // the upstream is, or was, silent as a whole
}

void RequestQueue::onNewProcess()
{
    this->stall.onNewProcess();
    this->serviceTime.discardUnanswered();
}

bool RequestQueue::canStart(bool isProbe) const
{
    if (this->paused)
        return false;
    if (this->options.slots == 0)
        return true;
    const size_t probes = this->unansweredProbes();
    const size_t held = this->runningRequests.size() - probes;
    const size_t limit = this->options.slots + this->options.prefetch + (isProbe ? this->options.probePrefetch : 0U);
    return held < limit && (!isProbe || probes < this->options.maxUnansweredProbes);
}

size_t RequestQueue::unansweredProbes() const
{
    return static_cast<size_t>(std::count_if(this->runningRequests.begin(), this->runningRequests.end(),
        [](const auto& item) { return item.second.request.isProbe; }));
}

RequestQueue::Decision RequestQueue::submit(const QueuedRequest& request)
{
    const bool isNext = this->waitingRequests.empty() || request.isProbe;
    if (this->canStart(request.isProbe) && isNext && !request.isAbandoned && this->isAdmitted(request)) {
        this->start(request);
        return Decision::Start;
    }
    if (this->waitingRequests.size() >= this->options.maxWaiting) {
        this->overloadCounts.add(request.flow.route, OverloadCause::QueueFull);
        return Decision::Drop;
    }
    this->waitingRequests.push_back(request);
    return Decision::Wait;
}

void RequestQueue::start(const QueuedRequest& request)
{
    this->removeRunning(request.flow);
    std::optional<ServiceTime::Seconds> chargeAtStart;
    if (!request.isProbe)
        chargeAtStart = this->serviceTime.onStarted();
    this->runningRequests[request.flow] = { request, this->clock.now(), chargeAtStart, this->clock.now() };
    this->lastStarts[request.priority] = this->clock.now();
    if (!request.isProbe && this->onStarted)
        this->onStarted(request.flow);
}

void RequestQueue::endRunning(RunningRequests::iterator item, bool isAnswered)
{
    const Running& running = item->second;
    if (running.chargeAtStart && isAnswered)
        this->serviceTime.onAnswered(*running.chargeAtStart);
    else if (!running.request.isProbe)
        this->serviceTime.onRemoved();
    this->runningRequests.erase(item);
}

void RequestQueue::removeRunning(const FlowKey& flow)
{
    const auto found = this->runningRequests.find(flow);
    if (found != this->runningRequests.end())
        this->endRunning(found, false);
}

void RequestQueue::onContinued(const FlowKey& flow)
{
    this->stall.onContinued(flow);
    const auto found = this->runningRequests.find(flow);
    if (found == this->runningRequests.end())
        return;
    found->second.lastBytes = this->clock.now();
    found->second.isReported = false;
}

void RequestQueue::onAnswered(const FlowKey& flow)
{
    const auto found = this->runningRequests.find(flow);
    if (found == this->runningRequests.end())
        return;
    const Duration time = this->clock.now() - found->second.started;
    const double seconds = std::chrono::duration<double>(time).count();
    this->work.onAnswered(flow.route, time);
    this->stall.onAnswered(flow, found->second.started);
    this->meanServiceSeconds += serviceTimeWeight * (seconds - this->meanServiceSeconds);
    this->endRunning(found, true);
}

// Whether a probe or a copy runs at the upstream is not known, so that its missing answer shows nothing. Neither does
// that of a request that its client aborted.
void RequestQueue::reportUnanswered(Running& running, Duration minStuckTime)
{
    if (running.request.isProbe || running.request.mayBeCopy || running.isAborted
        || std::exchange(running.isReported, true))
        return;
    const ServiceTime::Seconds charge
        = running.chargeAtStart ? this->serviceTime.chargeSince(*running.chargeAtStart) : ServiceTime::Seconds(0);
    this->stall.onUnanswered(running.request.flow,
        { running.started, running.lastBytes, this->effectiveTimeout(running.request), minStuckTime, charge });
}

void RequestQueue::onClientReset(const FlowKey& flow)
{
    this->stall.onAborted(flow);
    const auto found = this->runningRequests.find(flow);
    if (found != this->runningRequests.end())
        found->second.isAborted = true;
}

void RequestQueue::onClientClosed(const FlowKey& flow)
{
    this->removeRunning(flow);
    for (QueuedRequest& request : this->waitingRequests)
        request.isAbandoned = request.isAbandoned || request.flow == flow;
}

void RequestQueue::onHeld(const FlowKey& flow)
{
    for (QueuedRequest& request : this->waitingRequests)
        request.isProbe = request.isProbe && request.flow != flow;
    const auto found = this->runningRequests.find(flow);
    if (found == this->runningRequests.end() || !found->second.request.isProbe)
        return;
    found->second.request.isProbe = false;
    this->serviceTime.onStarted(); // it occupies a slot; when it started at the upstream is not known
    if (this->onStarted)
        this->onStarted(flow);
}

void RequestQueue::onTurnedBack(const FlowKey& flow)
{
    this->stall.onAborted(flow);
    const auto found = this->runningRequests.find(flow);
    if (found != this->runningRequests.end() && !found->second.request.isProbe)
        this->overloadCounts.add(flow.route, OverloadCause::TurnedBack);
}

void RequestQueue::remove(const FlowKey& flow)
{
    this->removeRunning(flow);
    std::erase_if(this->waitingRequests, [&](const QueuedRequest& request) { return request.flow == flow; });
}

Milliseconds RequestQueue::effectiveTimeout(const QueuedRequest& request) const
{
    return request.timeout > Milliseconds(0) ? request.timeout : this->options.defaultTimeout;
}

RequestUrgency RequestQueue::urgencyOf(const QueuedRequest& request) const
{
    const Milliseconds timeout = this->effectiveTimeout(request);
    return wasabicroft::urgencyOf({ this->clock.now() - request.arrived, request.objective, timeout, request.priority,
        this->work.estimate(request.flow.route, timeout), request.isAbandoned });
}

bool RequestQueue::isExpired(const QueuedRequest& request) const
{
    return this->clock.now() - request.arrived > this->effectiveTimeout(request);
}

// Whether no request of this priority has started for so long that the next one must be of it.
bool RequestQueue::isPassedOver(const QueuedRequest& request, Prospect prospect) const
{
    if (this->options.maxPassedOverShare <= 0 || prospect == Prospect::Hopeless)
        return false;
    const auto longest = this->effectiveTimeout(request) * this->options.maxPassedOverShare;
    const auto lastStart = this->lastStarts.find(request.priority);
    return this->clock.now() - request.arrived >= longest
        && (lastStart == this->lastStarts.end() || this->clock.now() - lastStart->second >= longest);
}

// The waiting request to start next; the end if none may start.
std::vector<QueuedRequest>::iterator RequestQueue::nextRequest()
{
    std::optional<unsigned> passedOver; // the highest priority with a request that was passed over for too long
    std::map<unsigned, std::pair<RequestUrgency, std::vector<QueuedRequest>::iterator>> mostUrgent; // by priority
    for (auto request = this->waitingRequests.begin(); request != this->waitingRequests.end(); ++request) {
        if (this->isExpired(*request) || !this->isAdmitted(*request))
            continue;
        if (!this->options.orderByObjective)
            return request;
        const RequestUrgency urgency = this->urgencyOf(*request);
        const auto known = mostUrgent.try_emplace(request->priority, urgency, request).first;
        if (urgency < known->second.first)
            known->second = { urgency, request };
        if (this->isPassedOver(*request, urgency.prospect))
            passedOver = std::min(request->priority, passedOver.value_or(request->priority));
    }
    if (passedOver)
        return mostUrgent.at(*passedOver).second;
    const auto first = std::min_element(mostUrgent.begin(), mostUrgent.end(),
        [](const auto& a, const auto& b) { return a.second.first < b.second.first; });
    return first == mostUrgent.end() ? this->waitingRequests.end() : first->second.second;
}

std::vector<FlowKey> RequestQueue::startWaiting()
{
    std::vector<FlowKey> started;
    while (!this->waitingRequests.empty() && (this->canStart(false) || this->canStart(true))) {
        const auto next = this->nextRequest();
        if (next == this->waitingRequests.end() || !this->canStart(next->isProbe))
            break;
        if (this->urgencyOf(*next).prospect != Prospect::MeetsObjective && next->objective > Milliseconds(0))
            this->overloadCounts.add(next->flow.route, OverloadCause::StartedLate);
        this->start(*next);
        started.push_back(next->flow);
        this->waitingRequests.erase(next);
    }
    return started;
}

size_t RequestQueue::lateCount() const
{
    return static_cast<size_t>(
        std::count_if(this->waitingRequests.begin(), this->waitingRequests.end(), [this](const QueuedRequest& request) {
            return !request.isAbandoned && request.objective > Milliseconds(0)
                && this->urgencyOf(request).prospect != Prospect::MeetsObjective;
        }));
}

std::vector<FlowKey> RequestQueue::takeExpired()
{
    const TimePoint now = this->clock.now();
    std::vector<FlowKey> expired;
    for (const QueuedRequest& request : this->waitingRequests) {
        if (!this->isExpired(request))
            continue;
        this->overloadCounts.add(
            request.flow.route, request.isAbandoned ? OverloadCause::ClientGone : OverloadCause::TimeLimit);
        expired.push_back(request.flow);
    }
    const std::chrono::duration<double> scaledTime(this->options.stuckFactor * this->meanServiceSeconds);
    const Duration stuckTime
        = std::max<Duration>(this->options.minStuckTime, std::chrono::duration_cast<Duration>(scaledTime));
    // A silent upstream may answer them later; once it is lost, their clients are told.
    for (auto& [flow, item] : this->runningRequests) {
        const bool isExpired = now - item.started > stuckTime;
        if (!this->paused && (isExpired || now - item.lastBytes > this->effectiveTimeout(item.request)))
            this->reportUnanswered(item, stuckTime);
        if (this->paused || !isExpired)
            continue;
        this->overloadCounts.add(flow.route, OverloadCause::Unanswered);
        expired.push_back(flow);
    }
    for (const FlowKey& flow : expired)
        this->remove(flow);
    return expired;
}

std::optional<UpstreamPerformance> RequestQueue::performance() const
{
    const auto waiting = std::count_if(this->waitingRequests.begin(), this->waitingRequests.end(),
        [](const QueuedRequest& request) { return !request.isAbandoned; });
    const ServiceTime::Requests counted
        = this->stall.isPartiallyStalled() ? ServiceTime::Requests::All : ServiceTime::Requests::Answered;
    const std::optional<ServiceTime::Seconds> mean = this->serviceTime.mean(counted);
    const std::optional<ServiceTime::Seconds> wait
        = this->serviceTime.expectedWait(static_cast<size_t>(waiting), counted);
    if (this->paused || !mean || !wait)
        return std::nullopt;
    return UpstreamPerformance { std::chrono::ceil<Milliseconds>(*wait),
        std::chrono::round<std::chrono::microseconds>(*mean) };
}

} // namespace wasabicroft
