#include "wasabicroft/RequestQueue.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    constexpr double serviceTimeWeight = 0.1; // weight of the newest request in the moving average
    constexpr double minServiceTimesLeft = 2; // mean service times that must be left before the timeout

} // namespace

RequestQueue::RequestQueue(RequestQueueOptions queueOptions, const Clock& timeSource)
    : options(queueOptions)
    , clock(timeSource)
    , serviceTime(queueOptions.serviceTime, timeSource)
{
    this->serviceTime.setSlots(queueOptions.slots);
}

void RequestQueue::setSlots(uint16_t slots)
{
    this->options.slots = slots;
    this->serviceTime.setSlots(slots);
}

void RequestQueue::setPaused(bool isPaused) { this->paused = isPaused; }

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
    if (this->canStart(request.isProbe) && isNext && !request.isAbandoned) {
        this->start(request);
        return Decision::Start;
    }
    if (this->waitingRequests.size() >= this->options.maxWaiting)
        return Decision::Drop;
    this->waitingRequests.push_back(request);
    return Decision::Wait;
}

void RequestQueue::start(const QueuedRequest& request)
{
    this->removeRunning(request.flow);
    std::optional<ServiceTime::Seconds> chargeAtStart;
    if (!request.isProbe)
        chargeAtStart = this->serviceTime.onStarted();
    this->runningRequests[request.flow] = { request, this->clock.now(), chargeAtStart };
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

void RequestQueue::onAnswered(const FlowKey& flow)
{
    const auto found = this->runningRequests.find(flow);
    if (found == this->runningRequests.end())
        return;
    const double seconds = std::chrono::duration<double>(this->clock.now() - found->second.started).count();
    this->meanServiceSeconds += serviceTimeWeight * (seconds - this->meanServiceSeconds);
    this->endRunning(found, true);
}

void RequestQueue::onClientClosed(const FlowKey& flow)
{
    this->removeRunning(flow);
    for (QueuedRequest& request : this->waitingRequests)
        request.isAbandoned = request.isAbandoned || request.flow == flow;
}

void RequestQueue::onHeld(const FlowKey& flow)
{
    const auto found = this->runningRequests.find(flow);
    if (found == this->runningRequests.end() || !found->second.request.isProbe)
        return;
    found->second.request.isProbe = false;
    this->serviceTime.onStarted(); // it occupies a slot; when it started at the upstream is not known
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

RequestQueue::Rank RequestQueue::rankOf(const QueuedRequest& request) const
{
    if (request.isAbandoned)
        return Rank::Last;
    const double age = std::chrono::duration<double>(this->clock.now() - request.arrived).count();
    const auto seconds = [](Milliseconds time) { return std::chrono::duration<double>(time).count(); };
    if (age + this->meanServiceSeconds <= seconds(request.objective))
        return Rank::MeetsObjective;
    const bool isInTime
        = age + minServiceTimesLeft * this->meanServiceSeconds <= seconds(this->effectiveTimeout(request));
    return isInTime ? Rank::MeetsTimeout : Rank::Last;
}

bool RequestQueue::startsBefore(const QueuedRequest& a, const QueuedRequest& b) const
{
    if (this->options.orderByObjective) {
        const Rank aRank = this->rankOf(a);
        const Rank bRank = this->rankOf(b);
        if (aRank != bRank)
            return aRank < bRank;
        if (a.priority != b.priority)
            return a.priority < b.priority;
    }
    return a.arrived < b.arrived;
}

std::vector<FlowKey> RequestQueue::startWaiting()
{
    std::vector<FlowKey> started;
    while (!this->waitingRequests.empty()) {
        const auto next = std::min_element(this->waitingRequests.begin(), this->waitingRequests.end(),
            [this](const QueuedRequest& a, const QueuedRequest& b) { return this->startsBefore(a, b); });
        if (!this->canStart(next->isProbe))
            break;
        this->start(*next);
        started.push_back(next->flow);
        this->waitingRequests.erase(next);
    }
    return started;
}

std::vector<FlowKey> RequestQueue::takeExpired()
{
    const TimePoint now = this->clock.now();
    std::vector<FlowKey> expired;
    for (const QueuedRequest& request : this->waitingRequests) {
        if (now - request.arrived > this->effectiveTimeout(request))
            expired.push_back(request.flow);
    }
    const std::chrono::duration<double> scaledTime(this->options.stuckFactor * this->meanServiceSeconds);
    const Duration stuckTime
        = std::max<Duration>(this->options.minStuckTime, std::chrono::duration_cast<Duration>(scaledTime));
    // A silent upstream may answer them later; once it is lost, their clients are told.
    for (const auto& [flow, item] : this->runningRequests) {
        if (!this->paused && now - item.started > stuckTime)
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
    const std::optional<ServiceTime::Seconds> mean = this->serviceTime.mean();
    const std::optional<ServiceTime::Seconds> wait = this->serviceTime.expectedWait(static_cast<size_t>(waiting));
    if (this->paused || !mean || !wait)
        return std::nullopt;
    return UpstreamPerformance { std::chrono::ceil<Milliseconds>(*wait),
        std::chrono::round<std::chrono::microseconds>(*mean) };
}

} // namespace wasabicroft
