// What EntryRouter does with evacuation orders, and the directives by which it tells agents of them and of cold starts.
#include "wasabicroft/EntryRouter.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    // Ranking the agents of large domains takes about a millisecond, and lists change many times per second at scale.
    constexpr Milliseconds refreshUpdateInterval { 1000 };

} // namespace

void EntryRouter::setEvacuations(EvacuationOrders orders)
{
    for (const std::string& domain : this->evacuations.domains) {
        if (!orders.domains.contains(domain))
            this->rejoinTimes[domain] = this->clock.now();
    }
    for (const std::string& domain : orders.domains)
        this->rejoinTimes.erase(domain);
    this->evacuations = std::move(orders);
    const std::set<std::string> changed = this->directives.setOrders(this->evacuations);
    std::vector<PacketAddress> receivers;
    for (const auto& [agent, listed] : this->listedByAgent) {
        if (changed.contains(listed.failureDomain))
            receivers.push_back(agent);
    }
    this->updateRefreshes();
    if (receivers.empty())
        return;
    // Entries begin with different agents, so that each agent soon hears of the order from one of them.
    const size_t first = this->random() % receivers.size();
    std::rotate(receivers.begin(), receivers.begin() + static_cast<std::ptrdiff_t>(first), receivers.end());
    this->directives.enqueue(receivers);
    this->sendQueuedDirectives();
}

void EntryRouter::updateRefreshes()
{
    std::map<PacketAddress, size_t> ranks;
    const DirectiveOptions& limits = this->options.directives;
    for (const auto& [agent, listed] : this->listedByAgent) {
        if (!limits.refreshesOrders || !this->evacuations.domains.contains(listed.failureDomain))
            continue;
        if (const std::optional<size_t> rank
            = refreshRank(agent, this->options.hopAddress, this->peers, limits.refreshingEntries))
            ranks.emplace(agent, *rank);
    }
    this->directives.setRefreshed(ranks);
    this->hasOutdatedRefreshes = false;
    this->nextRefreshUpdate = this->clock.now() + refreshUpdateInterval;
}

void EntryRouter::sendQueuedDirectives()
{
    if (this->hasOutdatedRefreshes && !this->evacuations.domains.empty()
        && this->clock.now() >= this->nextRefreshUpdate)
        this->updateRefreshes();
    this->directives.setConfirmationAge(this->hooks.evacuationAge());
    HopMessage message;
    message.kind = HopKind::Directive;
    for (const PacketAddress agent : this->directives.takeQueued(encodedBytes(message) + datagramHeaderBytes))
        this->sendDirective(agent);
}

// The agent may lack an order, or have an outdated one, which decides on the offer that follows.
void EntryRouter::sendDirectiveBeforeOffer(PacketAddress agent)
{
    const auto listed = this->listedByAgent.find(agent);
    if (listed == this->listedByAgent.end())
        return;
    const bool isCold = this->coldUpstreams.flowsPerSecond(listed->second.id) > 0;
    if (!this->directives.isDueBeforeOffer(agent, listed->second.failureDomain, isCold))
        return;
    this->directives.setConfirmationAge(this->hooks.evacuationAge());
    this->sendDirective(agent);
}

void EntryRouter::sendDirective(PacketAddress agent)
{
    const auto listed = this->listedByAgent.find(agent);
    if (listed == this->listedByAgent.end())
        return;
    HopMessage message;
    message.kind = HopKind::Directive;
    message.service = listed->second.service;
    if (this->directives.statesOrders()) { // else position 0, which says nothing of orders
        message.directive.evacuationPosition = this->evacuations.position;
        message.directive.evacuated = this->evacuations.domains.contains(listed->second.failureDomain);
    }
    if (const uint32_t limit = this->coldUpstreams.flowsPerSecond(listed->second.id); limit > 0) {
        message.directive.coldLeft = this->coldUpstreams.timeLeft(listed->second.id);
        message.directive.coldFlowsPerSecond = limit;
    }
    ++this->counts.directives;
    this->directives.onSent(agent, listed->second.failureDomain);
    this->sendHop(agent, message);
}

std::vector<EvacuationProgress> EntryRouter::evacuationProgress() const
{
    std::map<std::string, EvacuationProgress> byDomain;
    for (const std::string& domain : this->evacuations.domains)
        byDomain[domain].domain = domain;
    for (const auto& [agent, listed] : this->listedByAgent) {
        const auto progress = byDomain.find(listed.failureDomain);
        if (progress == byDomain.end())
            continue;
        ++progress->second.agents;
        progress->second.directedAgents += this->directives.isDirected(agent, listed.failureDomain) ? 1U : 0U;
    }
    std::vector<EvacuationProgress> all;
    all.reserve(byDomain.size());
    for (const auto& [domain, progress] : byDomain)
        all.push_back(progress);
    return all;
}

bool EntryRouter::isEvacuated(const UpstreamRecord& record) const
{
    return this->options.excludesEvacuated && this->evacuations.domains.contains(record.failureDomain);
}

} // namespace wasabicroft
