#include "wasabicroft/StartPlan.h"

#include <algorithm>
#include <tuple>

namespace wasabicroft {

namespace {

    bool startsBefore(const StartCandidate& a, const StartCandidate& b)
    {
        return std::tie(a.slack, a.work, a.position) < std::tie(b.slack, b.work, b.position);
    }

} // namespace

void StartPlan::clear() { this->candidates.clear(); }

void StartPlan::add(const StartCandidate& candidate) { this->candidates.push_back(candidate); }

void StartPlan::limitCandidates()
{
    if (this->candidates.size() <= maxPlanned)
        return;
    std::nth_element(
        this->candidates.begin(), this->candidates.begin() + maxPlanned, this->candidates.end(), startsBefore);
    this->candidates.resize(maxPlanned);
}

// Of equal work, the one with the least slack is deferred first: it would start at the last moment, so that it is late
// if any other request takes longer than estimated.
bool StartPlan::isDeferredBefore(size_t a, size_t b) const
{
    const StartCandidate& first = this->candidates[a];
    const StartCandidate& second = this->candidates[b];
    return std::tie(second.work, first.slack, a) < std::tie(first.work, second.slack, b);
}

std::span<const StartCandidate> StartPlan::make(StartLanes lanes)
{
    this->limitCandidates();
    std::sort(this->candidates.begin(), this->candidates.end(), startsBefore);
    this->byWork.clear();
    const auto isDeferredAfter = [this](size_t a, size_t b) { return this->isDeferredBefore(b, a); };
    const auto laneCount = static_cast<Duration::rep>(lanes.total);
    Duration plannedWork { 0 };
    for (size_t i = 0; i < this->candidates.size(); ++i) {
        const StartCandidate& candidate = this->candidates[i];
        const bool isLate = this->byWork.size() >= lanes.free && plannedWork > candidate.slack * laneCount;
        plannedWork += candidate.work;
        this->byWork.push_back(i);
        std::push_heap(this->byWork.begin(), this->byWork.end(), isDeferredAfter);
        if (!isLate)
            continue;
        std::pop_heap(this->byWork.begin(), this->byWork.end(), isDeferredAfter);
        StartCandidate& deferred = this->candidates[this->byWork.back()];
        deferred.isDeferred = true;
        plannedWork -= deferred.work;
        this->byWork.pop_back();
    }
    std::erase_if(this->candidates, [](const StartCandidate& candidate) { return candidate.isDeferred; });
    return this->candidates;
}

} // namespace wasabicroft
