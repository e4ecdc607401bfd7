#include "wasabicroft/RequestQueue.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    constexpr double serviceWeight = 0.1; // of the newest request in the moving average
    constexpr double timeoutMargin = 2; // service times that must be left for a request to be worth starting

} // namespace

RequestQueue::RequestQueue(RequestQueueOptions queueOptions, const Clock& timeSource)
    : options(queueOptions)
    , clock(timeSource)
{
}

void RequestQueue::setSlots(uint16_t slots) { this->options.slots = slots; }

void RequestQueue::setPaused(bool isPaused) { this->paused = isPaused; }

bool RequestQueue::hasRoom(bool isProbe) const
{
    if (this->paused)
        return false;
    if (this->options.slots == 0)
        return true;
    const size_t limit = this->options.slots + this->options.ahead + (isProbe ? this->options.probesAhead : 0U);
    return this->active.size() < limit;
}

RequestQueue::Decision RequestQueue::request(const QueuedRequest& request)
{
    if (this->hasRoom(request.isProbe) && this->queue.empty() && !request.isAbandoned) {
        this->start(request);
        return Decision::Start;
    }
    if (this->queue.size() >= this->options.maxWaiting)
        return Decision::Drop;
    this->queue.push_back(request);
    return Decision::Wait;
}

void RequestQueue::start(const QueuedRequest& request) { this->active[request.flow] = { request, this->clock.now() }; }

void RequestQueue::onAnswered(const FlowKey& flow)
{
    const auto found = this->active.find(flow);
    if (found == this->active.end())
        return;
    const double seconds = std::chrono::duration<double>(this->clock.now() - found->second.started).count();
    this->meanService += serviceWeight * (seconds - this->meanService);
    this->active.erase(found);
}

void RequestQueue::onClientClosed(const FlowKey& flow)
{
    this->active.erase(flow);
    for (QueuedRequest& request : this->queue)
        request.isAbandoned = request.isAbandoned || request.flow == flow;
}

void RequestQueue::onHeld(const FlowKey& flow)
{
    const auto found = this->active.find(flow);
    if (found != this->active.end())
        found->second.request.isProbe = false;
}

void RequestQueue::remove(const FlowKey& flow)
{
    this->active.erase(flow);
    std::erase_if(this->queue, [&](const QueuedRequest& request) { return request.flow == flow; });
}

Milliseconds RequestQueue::timeoutOf(const QueuedRequest& request) const
{
    return request.timeout > Milliseconds(0) ? request.timeout : this->options.defaultTimeout;
}

RequestQueue::Rank RequestQueue::rankOf(const QueuedRequest& request) const
{
    if (request.isAbandoned)
        return Rank::Last;
    const double age = std::chrono::duration<double>(this->clock.now() - request.arrived).count();
    const auto seconds = [](Milliseconds time) { return std::chrono::duration<double>(time).count(); };
    if (age + this->meanService <= seconds(request.objective))
        return Rank::MeetsObjective;
    const bool isInTime = age + timeoutMargin * this->meanService <= seconds(this->timeoutOf(request));
    return isInTime ? Rank::MeetsTimeout : Rank::Last;
}

bool RequestQueue::goesBefore(const QueuedRequest& a, const QueuedRequest& b) const
{
    if (this->options.objectiveOrder) {
        const Rank aRank = this->rankOf(a);
        const Rank bRank = this->rankOf(b);
        if (aRank != bRank)
            return aRank < bRank;
        if (a.priority != b.priority)
            return a.priority < b.priority;
    }
    return a.arrived < b.arrived;
}

std::vector<FlowKey> RequestQueue::takeStarts()
{
    std::vector<FlowKey> started;
    while (!this->queue.empty()) {
        const auto next = std::min_element(this->queue.begin(), this->queue.end(),
            [this](const QueuedRequest& a, const QueuedRequest& b) { return this->goesBefore(a, b); });
        if (!this->hasRoom(next->isProbe))
            break;
        this->start(*next);
        started.push_back(next->flow);
        this->queue.erase(next);
    }
    return started;
}

std::vector<FlowKey> RequestQueue::takeExpired()
{
    const TimePoint now = this->clock.now();
    std::vector<FlowKey> expired;
    for (const QueuedRequest& request : this->queue) {
        if (now - request.arrived > this->timeoutOf(request))
            expired.push_back(request.flow);
    }
    const std::chrono::duration<double> usual(this->options.stuckFactor * this->meanService);
    const Duration stuck = std::max<Duration>(this->options.minStuck, std::chrono::duration_cast<Duration>(usual));
    for (const auto& [flow, item] : this->active) {
        if (now - item.started > stuck)
            expired.push_back(flow);
    }
    for (const FlowKey& flow : expired)
        this->remove(flow);
    return expired;
}

} // namespace wasabicroft
