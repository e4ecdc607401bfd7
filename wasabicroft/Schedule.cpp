#include "wasabicroft/Schedule.h"

#include <algorithm>
#include <cassert>

namespace wasabicroft {

std::string_view nameOf(PushResult result) { return pushResultNames.at(static_cast<size_t>(result)); }

//-----------------------------------------------------------------------------
// [SECTION] Deficit round robin
//-----------------------------------------------------------------------------

DeficitRoundRobin::DeficitRoundRobin(size_t quantumBytes)
    : quantum(quantumBytes)
{
    assert(quantumBytes > 0 && "a quantum of 0 bytes never lets a flow send");
}

void DeficitRoundRobin::push(ScheduledFrame frame)
{
    FlowQueue& queue = this->flows[frame.flow];
    if (queue.frames.empty())
        this->activeFlows.push_back(frame.flow);
    queue.bytes += frame.bytes.size();
    this->totalBytes += frame.bytes.size();
    queue.frames.push_back(std::move(frame));
}

std::optional<ScheduledFrame> DeficitRoundRobin::pop()
{
    while (!this->activeFlows.empty()) {
        const FlowId flow = this->activeFlows.front();
        FlowQueue& queue = this->flows[flow];
        if (!this->quantumGranted)
            queue.deficit += this->quantum;
        this->quantumGranted = true;
        const size_t size = queue.frames.front().bytes.size();
        if (size > queue.deficit) {
            this->activeFlows.pop_front();
            this->activeFlows.push_back(flow);
            this->quantumGranted = false;
            continue;
        }
        ScheduledFrame frame = std::move(queue.frames.front());
        queue.frames.pop_front();
        queue.deficit -= size;
        queue.bytes -= size;
        this->totalBytes -= size;
        if (queue.frames.empty()) {
            this->flows.erase(flow);
            this->activeFlows.pop_front();
            this->quantumGranted = false;
        }
        return frame;
    }
    return std::nullopt;
}

size_t DeficitRoundRobin::remove(FlowId flow)
{
    const auto found = this->flows.find(flow);
    if (found == this->flows.end())
        return 0;
    const size_t dropped = found->second.bytes;
    if (this->activeFlows.front() == flow)
        this->quantumGranted = false;
    std::erase(this->activeFlows, flow);
    this->flows.erase(found);
    this->totalBytes -= dropped;
    return dropped;
}

bool DeficitRoundRobin::empty() const { return this->activeFlows.empty(); }

size_t DeficitRoundRobin::bytes() const { return this->totalBytes; }

size_t DeficitRoundRobin::bytesOf(FlowId flow) const
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? 0 : found->second.bytes;
}

//-----------------------------------------------------------------------------
// [SECTION] ClassScheduler
//-----------------------------------------------------------------------------

ClassScheduler::ClassScheduler(ScheduleOptions initialOptions, const Clock& timeSource)
    : options(initialOptions)
    , clock(timeSource)
    , queues(trafficClassCount, DeficitRoundRobin(initialOptions.quantumBytes))
    , feedIntervalStart(timeSource.now())
{
}

DeficitRoundRobin& ClassScheduler::queueOf(TrafficClass trafficClass)
{
    return this->queues.at(static_cast<size_t>(trafficClass));
}

const DeficitRoundRobin& ClassScheduler::queueOf(TrafficClass trafficClass) const
{
    return this->queues.at(static_cast<size_t>(trafficClass));
}

PushResult ClassScheduler::push(FlowId flow, TrafficClass trafficClass, std::string bytes)
{
    DeficitRoundRobin& queue = this->queueOf(trafficClass);
    const size_t classLimit = this->options.classLimitBytes.at(static_cast<size_t>(trafficClass));
    const size_t flowBytes = queue.bytesOf(flow);
    // A flow without waiting bytes may always have one frame in an empty class, whatever its size.
    const bool fitsFlow = flowBytes == 0 || flowBytes + bytes.size() <= this->options.flowLimitBytes;
    const bool fitsClass = queue.empty() || queue.bytes() + bytes.size() <= classLimit;
    if (!fitsFlow || !fitsClass) {
        this->paused[flow] = { trafficClass };
        return PushResult::Rejected;
    }
    queue.push({ flow, trafficClass, std::move(bytes) });
    if (queue.bytesOf(flow) < this->options.flowLimitBytes / 2 && queue.bytes() < classLimit / 4 * 3)
        return PushResult::Accepted;
    this->paused[flow] = { trafficClass };
    return PushResult::AcceptedPause;
}

void ClassScheduler::refillFeedBudget()
{
    const TimePoint now = this->clock.now();
    if (now - this->feedIntervalStart < this->options.feedInterval)
        return;
    this->feedIntervalStart = now;
    this->feedBytesSent = 0;
}

// Only called while some class has frames.
TrafficClass ClassScheduler::nextClass()
{
    const bool hasFeed = !this->queueOf(TrafficClass::Feed).empty();
    const bool hasRequest = !this->queueOf(TrafficClass::Request).empty();
    const bool hasBulk = !this->queueOf(TrafficClass::Bulk).empty();
    if (hasFeed && this->feedBytesSent < this->options.feedBudgetBytes)
        return TrafficClass::Feed;
    if (hasBulk && this->bulkCredit >= static_cast<double>(this->options.quantumBytes))
        return TrafficClass::Bulk;
    if (hasFeed && hasRequest) {
        this->feedTurn = !this->feedTurn;
        return this->feedTurn ? TrafficClass::Feed : TrafficClass::Request;
    }
    if (hasFeed)
        return TrafficClass::Feed;
    return hasRequest ? TrafficClass::Request : TrafficClass::Bulk;
}

void ClassScheduler::updateCredits(const ScheduledFrame& frame)
{
    const double size = static_cast<double>(frame.bytes.size());
    if (frame.trafficClass == TrafficClass::Feed)
        this->feedBytesSent += frame.bytes.size();
    if (frame.trafficClass == TrafficClass::Bulk)
        this->bulkCredit = std::max(0.0, this->bulkCredit - size);
    else if (this->queueOf(TrafficClass::Bulk).empty())
        this->bulkCredit = 0;
    else
        this->bulkCredit += size * this->options.bulkShare;
}

std::optional<ScheduledFrame> ClassScheduler::next()
{
    if (this->empty())
        return std::nullopt;
    this->refillFeedBudget();
    std::optional<ScheduledFrame> frame = this->queueOf(this->nextClass()).pop();
    assert(frame && "a class with frames has a next one");
    this->updateCredits(*frame);
    return frame;
}

void ClassScheduler::remove(FlowId flow)
{
    for (DeficitRoundRobin& queue : this->queues)
        queue.remove(flow);
    this->paused.erase(flow);
}

std::vector<FlowId> ClassScheduler::takeResumed()
{
    std::vector<FlowId> resumed;
    for (const auto& [flow, item] : this->paused) {
        const DeficitRoundRobin& queue = this->queueOf(item.trafficClass);
        const size_t classLimit = this->options.classLimitBytes.at(static_cast<size_t>(item.trafficClass));
        if (queue.bytesOf(flow) <= this->options.flowLimitBytes / 4 && queue.bytes() <= classLimit / 2)
            resumed.push_back(flow);
    }
    for (const FlowId flow : resumed)
        this->paused.erase(flow);
    return resumed;
}

bool ClassScheduler::empty() const
{
    return std::all_of(
        this->queues.begin(), this->queues.end(), [](const DeficitRoundRobin& queue) { return queue.empty(); });
}

size_t ClassScheduler::bytes(TrafficClass trafficClass) const { return this->queueOf(trafficClass).bytes(); }

} // namespace wasabicroft
