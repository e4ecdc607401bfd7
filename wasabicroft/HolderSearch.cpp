#include "wasabicroft/HolderSearch.h"

#include <algorithm>

namespace wasabicroft {

void HolderSearch::addTarget(const HolderCandidate& candidate)
{
    if (!this->find(candidate.agent))
        this->targets.push_back({ candidate.agent, candidate.listing, candidate.failureDomain });
}

HolderSearch::Target* HolderSearch::find(PacketAddress agent)
{
    const auto found = std::find_if(
        this->targets.begin(), this->targets.end(), [&](const Target& target) { return target.agent == agent; });
    return found == this->targets.end() ? nullptr : &*found;
}

bool HolderSearch::isPacketSentToAny() const
{
    return std::any_of(
        this->targets.begin(), this->targets.end(), [](const Target& target) { return target.packetSent; });
}

bool HolderSearch::isPacketSentToAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.packetSent || target.denied || target.returned; });
}

bool HolderSearch::isAnsweredByAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.isAnswered() || !target.isNeeded(); });
}

bool HolderSearch::hasHint() const
{
    return std::any_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.isHinted && !target.denied; });
}

void HolderSearch::forgetAnswers()
{
    for (Target& target : this->targets) {
        target.agentIsUnsure = target.agentIsUnsure && !target.packetSent;
    }
}

size_t HolderSearch::countUnanswered() const
{
    return static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return !target.isAnswered() && target.isNeeded(); }));
}

bool HolderSearch::awaitsUpstreamReply() const
{
    return std::any_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.packetSent && !target.denied && target.isNeeded(); });
}

void HolderSearch::markUnneededAsGone()
{
    for (Target& target : this->targets)
        target.isGone = target.isGone || (!target.denied && !target.isNeeded());
}

bool HolderSearch::isDeniedByAllNeeded() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.denied || !target.isNeeded(); });
}

size_t HolderSearch::countSilent(Listing listing) const
{
    return static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(),
        [listing](const Target& target) { return !target.denied && target.listing == listing; }));
}

std::vector<PacketAddress> HolderSearch::silentAgents() const
{
    std::vector<PacketAddress> agents;
    for (const Target& target : this->targets) {
        if (!target.denied)
            agents.push_back(target.agent);
    }
    return agents;
}

bool HolderSearch::isDeniedByAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.denied || target.isGone; });
}

} // namespace wasabicroft
