// The search of EntryRouter for the upstream that holds a flow.
#include "wasabicroft/EntryRouter.h"
#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    constexpr size_t maxLoggedAgents = 4; // in a line

    // The first agents of a list, and how many more it has.
    std::string namesForLog(const std::vector<PacketAddress>& agents)
    {
        std::string names;
        for (size_t i = 0; i < std::min(agents.size(), maxLoggedAgents); ++i)
            names += (i == 0 ? "" : ",") + toString(agents[i]);
        if (agents.size() > maxLoggedAgents)
            names += ",+" + std::to_string(agents.size() - maxLoggedAgents);
        return names;
    }

} // namespace

//-----------------------------------------------------------------------------
// Questions and copies
//-----------------------------------------------------------------------------

// Starts a search for the holder of a packet's flow, or queues the packet if a search runs or the limit is reached.
void EntryRouter::startSearch(const FlowKey& key, Flow& flow, Bytes bytes, std::optional<PacketAddress> excluded)
{
    const TimePoint now = this->clock.now();
    if (now - flow.searchWindowStart > this->options.searchWindow) {
        flow.searchWindowStart = now;
        flow.searchCount = 0;
    }
    const bool isSearching
        = flow.search && (flow.search->isDenied || now - flow.search->started < this->options.searchTimeout);
    if (isSearching || flow.searchCount >= this->options.maxSearches) {
        this->queueForHolder(key, flow, bytes);
        return;
    }
    if (!this->linkBudget.canStartSearch()) {
        ++this->counts.searchesShed;
        this->queueForHolder(key, flow, bytes);
        return;
    }
    const bool isOffered = !flow.offers.empty();
    SearchScope scope = flow.searchesAll ? SearchScope::All : SearchScope::Routed;
    if (isOffered)
        scope = SearchScope::Offered;
    else if (excluded)
        scope = SearchScope::RoutedButOne;
    const std::vector<HolderCandidate> targets
        = isOffered ? this->offeredUpstreams(flow) : this->possibleHolders(key, flow, scope, excluded);
    if (targets.empty()) {
        flow.waiting.push_back(copyOf(bytes));
        if (this->canDelegate(flow))
            this->delegateSearch(key, flow);
        else
            this->abandonSearch(key, flow);
        return;
    }
    ++flow.searchCount;
    ++this->counts.finds;
    HolderSearch& search = flow.search.emplace();
    search.packet = copyOf(bytes);
    search.started = now;
    for (const HolderCandidate& target : targets)
        search.targets.push_back({ target.agent, target.listing, target.failureDomain });
    this->setScope(search, scope);
    // An upstream that accepted the SYN holds the flow only once it gets a packet of the client: asking its agent
    // before that is useless.
    search.askRounds = isOffered ? this->options.maxAskRounds : 0;
    this->continueSearch(key, flow);
}

// Sets what denials of all targets that are known now will show.
void EntryRouter::setScope(HolderSearch& search, SearchScope scope) const
{
    search.scope = scope;
    search.coversAllUpstreams = (this->directoryIsComplete || this->directoryAwaitsPeers) && !this->isBehindPeers
        && !this->hasProvisionalRoutes && scope == SearchScope::All;
    search.beganBeforeListCheck = this->directoryAwaitsPeers;
    search.directoryRevision = this->directoryRevision;
}

// Returns whether the wider scope has upstreams that the search did not ask yet.
bool EntryRouter::widenScope(const FlowKey& key, Flow& flow, SearchScope scope)
{
    HolderSearch& search = *flow.search;
    const size_t targetsBefore = search.targets.size();
    for (const HolderCandidate& target : this->possibleHolders(key, flow, scope, std::nullopt))
        search.addTarget(target);
    this->setScope(search, scope);
    return search.targets.size() > targetsBefore;
}

void EntryRouter::repeatSearch(const FlowKey& key, Flow& flow)
{
    flow.search->started = this->clock.now();
    flow.search->askRounds = 0;
    this->continueSearch(key, flow);
}

// Another entry may have offered the flow to the upstream that holds it.
void EntryRouter::extendToRoute(const FlowKey& key, Flow& flow)
{
    this->widenScope(key, flow, SearchScope::Routed);
    this->repeatSearch(key, flow);
}

// The upstreams that this entry offered the flow to, with their present listing.
std::vector<HolderCandidate> EntryRouter::offeredUpstreams(const Flow& flow) const
{
    std::vector<HolderCandidate> targets;
    targets.reserve(flow.offers.size());
    for (const Offer& offer : flow.offers)
        targets.push_back({ offer.upstream, offer.agent, Listing::Removed, 0 });
    for (const auto& [service, candidates] : this->holders) {
        for (HolderCandidate& target : targets) {
            const auto candidate = std::find_if(candidates.begin(), candidates.end(),
                [&](const HolderCandidate& other) { return other.agent == target.agent; });
            if (candidate != candidates.end())
                target = *candidate;
        }
    }
    return targets;
}

// The upstreams of the services of the flow's route, or of all services, the preferred ones of the flow first.
std::vector<HolderCandidate> EntryRouter::possibleHolders(
    const FlowKey& key, Flow& flow, SearchScope scope, std::optional<PacketAddress> excluded) const
{
    std::vector<HolderCandidate> targets;
    const auto add = [&](const HolderCandidate& target) {
        const bool isDuplicate = std::any_of(
            targets.begin(), targets.end(), [&](const HolderCandidate& other) { return other.agent == target.agent; });
        if (target.agent != excluded && !isDuplicate)
            targets.push_back(target);
    };
    const Route* route = this->routes->find(key.route);
    for (const auto& [service, candidates] : this->holders) {
        const ServiceId holderService = service;
        const bool isRouted = route
            && std::any_of(route->shares.begin(), route->shares.end(),
                [&](const RouteShare& share) { return share.service == holderService; });
        const bool isAsked = isRouted || (route ? scope == SearchScope::All : this->hasProvisionalRoutes);
        if (!isAsked)
            continue;
        if (isRouted || !route)
            flow.service = service;
        for (const HolderCandidate& target : candidates)
            add(target);
    }
    const uint64_t hash = FlowKeyHash()(key);
    std::sort(targets.begin(), targets.end(), [hash](const HolderCandidate& a, const HolderCandidate& b) {
        return rendezvousScore(hash, a.upstream) > rendezvousScore(hash, b.upstream);
    });
    return targets;
}

// Asks the agents first: they track most flows, and one message asks about many. Only upstreams whose agents are silent
// or unsure get the packet, which an upstream that doesn't hold the flow returns.
void EntryRouter::continueSearch(const FlowKey& key, Flow& flow)
{
    const bool asksAgain = flow.search->askRounds < this->options.maxAskRounds && !flow.search->isAnsweredByAll();
    if (!this->linkBudget.canContinueSearch()) {
        ++this->counts.findsLimited;
    } else {
        if (asksAgain)
            this->askAgents(key, *flow.search);
        if (!asksAgain || flow.search->isAnsweredByAll())
            this->searchWithPacket(key, flow);
    }
    this->searchTimers.emplace(this->clock.now() + this->options.searchStageTimeout, key);
}

void EntryRouter::askAgents(const FlowKey& key, HolderSearch& search)
{
    ++search.askRounds;
    const TimePoint now = this->clock.now();
    uint64_t asked = 0;
    for (HolderSearch::Target& target : search.targets) {
        if (target.denied)
            continue;
        const auto unsure = this->unsureUntil.find(target.agent);
        if (unsure != this->unsureUntil.end() && now < unsure->second) {
            target.agentIsUnsure = true;
            continue;
        }
        this->queuedAsks[target.agent].push_back(key);
        ++asked;
    }
    // Charged before they are sent, so that a batch of packets does not start more searches than the link can carry.
    this->counts.searchBytes += asked * flowKeyBytes;
    this->linkBudget.onSearchMessage(asked * flowKeyBytes);
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", asked }, { "with", "question" }, { "scope", nameOf(search.scope) },
            { "silent", static_cast<uint64_t>(search.countUnanswered()) }, { "behind", this->isBehindPeers },
            { "directory", this->directoryRevision } });
}

// Sends to the preferred upstreams first, then to all others, then again to those that have not answered: denials of
// only some would not show that the flow is lost.
void EntryRouter::sendFinds(const FlowKey& key, Flow& flow)
{
    HolderSearch& search = *flow.search;
    const bool isFirst = std::none_of(search.targets.begin(), search.targets.end(),
        [](const HolderSearch::Target& target) { return target.packetSent; });
    const bool isRepeated = search.isPacketSentToAll();
    std::vector<HolderSearch::Target*> receivers;
    for (HolderSearch::Target& target : search.targets) {
        if (target.packetSent == isRepeated && !target.denied
            && (!isFirst || receivers.size() < this->options.preferredUpstreams))
            receivers.push_back(&target);
    }
    search.packetRounds += isRepeated || isFirst ? 1 : 0;
    std::vector<PacketAddress> agents;
    agents.reserve(receivers.size());
    for (const HolderSearch::Target* target : receivers)
        agents.push_back(target->agent);
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", static_cast<uint64_t>(receivers.size()) }, { "with", "packet" },
            { "scope", nameOf(search.scope) }, { "silent", static_cast<uint64_t>(search.countUnanswered()) },
            { "behind", this->isBehindPeers }, { "agents", namesForLog(agents) },
            { "directory", this->directoryRevision } });
    this->counts.findCopies += receivers.size();
    if (!search.isAnsweredByAll())
        this->counts.findCopiesBesideSilent += receivers.size();
    std::map<size_t, std::vector<const HolderSearch::Target*>> byFailureDomain;
    for (HolderSearch::Target* target : receivers) {
        target->packetSent = true;
        byFailureDomain[target->failureDomain].push_back(target);
    }
    for (const auto& [failureDomain, group] : byFailureDomain) {
        const bool isLarge = !isRepeated && group.size() >= this->options.minSearchTargets;
        const std::optional<PacketAddress> relay = isLarge ? this->chooseRelay(group) : std::nullopt;
        if (relay) {
            this->sendSearch(*relay, key, flow, group);
            continue;
        }
        for (const HolderSearch::Target* target : group)
            this->sendPacket(target->agent, HopKind::Find, key, flow.service, search.packet);
    }
}

// An agent that replied lately: the first one in the order of the flow's upstreams, so that flows use different ones.
std::optional<PacketAddress> EntryRouter::chooseRelay(const std::vector<const HolderSearch::Target*>& group) const
{
    for (const HolderSearch::Target* target : group) {
        if (this->lastReplies.contains(target->agent) || this->unsureUntil.contains(target->agent))
            return target->agent;
    }
    return std::nullopt;
}

void EntryRouter::sendSearch(
    PacketAddress relay, const FlowKey& key, const Flow& flow, const std::vector<const HolderSearch::Target*>& group)
{
    for (size_t first = 0; first < group.size(); first += maxSearchTargets) {
        HopMessage message = this->makeMessage(relay, HopKind::Search, key, flow.service, flow.search->packet);
        for (size_t i = first; i < std::min(group.size(), first + maxSearchTargets); ++i)
            message.targets.push_back(group[i]->agent.address);
        ++this->counts.relayedSearches;
        this->expectReply(relay);
        this->sendHop(relay, message);
    }
}

void EntryRouter::flushAsks()
{
    for (const auto& [agent, keys] : std::exchange(this->queuedAsks, {})) {
        for (size_t first = 0; first < keys.size(); first += maxFlowKeysPerMessage) {
            HopMessage message;
            message.kind = HopKind::Ask;
            if (this->routes)
                message.idleTimeout = this->routes->idleTimeout;
            message.flowKeys.assign(keys.begin() + static_cast<std::ptrdiff_t>(first),
                keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), first + maxFlowKeysPerMessage)));
            ++this->counts.asks;
            this->expectReply(agent);
            this->sendHop(agent, message, message.flowKeys.size() * flowKeyBytes);
        }
    }
}

void EntryRouter::onKnown(PacketAddress agent, std::span<const FlowKey> keys)
{
    for (const FlowKey& key : keys) {
        Flow* flow = this->flows.find(key);
        if (!flow || flow->holder)
            continue;
        if (flow->search && flow->waiting.size() < this->options.maxWaitingPacketsPerFlow)
            flow->waiting.insert(flow->waiting.begin(), std::move(flow->search->packet));
        this->setHolder(key, *flow, agent);
    }
}

void EntryRouter::onUnsure(PacketAddress agent, std::span<const FlowKey> keys)
{
    this->unsureUntil[agent] = this->clock.now() + this->options.unsureRetryDelay;
    for (const FlowKey& key : keys) {
        Flow* flow = this->flows.find(key);
        HolderSearch::Target* target = flow && !flow->holder && flow->search ? flow->search->find(agent) : nullptr;
        if (target && !std::exchange(target->agentIsUnsure, true))
            this->onSearchAnswer(key, *flow);
    }
}

void EntryRouter::queueForHolder(const FlowKey& key, Flow& flow, Bytes bytes)
{
    ++this->counts.findsLimited;
    if (flow.waiting.size() >= this->options.maxWaitingPacketsPerFlow) {
        ++this->counts.dropped;
        return;
    }
    if (flow.waiting.empty() && !flow.search)
        this->searchTimers.emplace(this->clock.now() + this->options.searchTimeout, key);
    flow.waiting.push_back(copyOf(bytes));
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

// Once every upstream that may hold the flow has denied it, no upstream holds it.
void EntryRouter::onDenied(const FlowKey& key, Flow& flow, PacketAddress agent)
{
    HolderSearch::Target* target = flow.search ? flow.search->find(agent) : nullptr;
    if (target && !std::exchange(target->denied, true))
        this->onSearchAnswer(key, flow);
}

void EntryRouter::onSearchAnswer(const FlowKey& key, Flow& flow)
{
    if (flow.search->scope == SearchScope::Offered && flow.search->isDeniedByAll())
        this->extendToRoute(key, flow);
    else if (flow.search->isDeniedByAll())
        this->endFailedSearch(key, flow);
    else if (flow.search->isAnsweredByAll() && !flow.search->awaitsUpstreamReply() && !flow.search->isPacketSentToAll()
        && this->linkBudget.canContinueSearch())
        this->searchWithPacket(key, flow);
}

// No upstream gets a packet of a flow that it can't hold while another entry lists upstreams that this one lacks.
void EntryRouter::searchWithPacket(const FlowKey& key, Flow& flow)
{
    if (flow.search->scope != SearchScope::Offered && !flow.delegatedUntil && this->canDelegate(flow))
        this->delegateSearch(key, flow);
    else
        this->sendFinds(key, flow);
}

void EntryRouter::endFailedSearch(const FlowKey& key, Flow& flow)
{
    if (!flow.delegatedUntil && this->canDelegate(flow)) {
        this->delegateSearch(key, flow);
        return;
    }
    // An earlier configuration may have sent the flow to a service that its route does not name now.
    if (flow.search->scope == SearchScope::Routed && this->widenScope(key, flow, SearchScope::All)) {
        this->repeatSearch(key, flow);
        return;
    }
    if (flow.search->coversAllUpstreams && this->directoryAwaitsPeers) {
        if (!std::exchange(flow.search->isDenied, true))
            this->deniedSearches.push_back(key);
        return;
    }
    if (this->isConclusive(*flow.search)) {
        this->resetLostFlow(key, flow, "held-nowhere");
    } else {
        // The search covered only some upstreams: the next one asks all that the directory has by now.
        const std::vector<uint8_t> packet = std::move(flow.search->packet);
        flow.searchesAll = flow.search->scope == SearchScope::All;
        flow.search.reset();
        flow.offers.clear();
        this->startSearch(key, flow, packet, std::nullopt);
    }
}

// Whether the denials of all targets show that no upstream holds the flow.
bool EntryRouter::isConclusive(const HolderSearch& search) const
{
    const bool usedConfirmedList = !search.beganBeforeListCheck || search.directoryRevision == this->directoryRevision;
    return search.coversAllUpstreams && this->directoryIsComplete && usedConfirmedList;
}

void EntryRouter::endDeniedSearches()
{
    for (const FlowKey& key : std::exchange(this->deniedSearches, {})) {
        Flow* flow = this->flows.find(key);
        if (flow && !flow->holder && flow->search && flow->search->isDenied)
            this->endFailedSearch(key, *flow);
    }
}

// No upstream holds the flow: the reset lets the client retry at once instead of waiting for its timeout.
void EntryRouter::resetLostFlow(const FlowKey& key, const Flow& flow, std::string_view cause)
{
    ++this->counts.resets;
    logEvent(Event::PacketFlowLost,
        { { "flow", toString(key) }, { "cause", cause },
            { "denied-by", static_cast<uint64_t>(flow.search ? flow.search->targets.size() : 0) },
            { "behind", this->isBehindPeers }, { "directory", this->directoryRevision } });
    const uint32_t sequence = flow.lastAcknowledgement;
    this->flows.erase(key);
    this->hooks.sendReset(key, sequence);
}

//-----------------------------------------------------------------------------
// Searches by other entries
//-----------------------------------------------------------------------------

// A flow that another entry delegated is not passed on again.
bool EntryRouter::canDelegate(const Flow& flow) const { return this->delegate && !flow.delegator; }

// Lets an entry whose list is newer find the holder. If it does not answer, the next search here uses the packet.
void EntryRouter::delegateSearch(const FlowKey& key, Flow& flow)
{
    flow.delegatedUntil = this->clock.now() + this->options.delegationTimeout;
    logEvent(Event::PacketSearchDelegated,
        { { "flow", toString(key) }, { "entry", toString(*this->delegate) }, { "behind", this->isBehindPeers },
            { "directory", this->directoryRevision } });
    if (flow.search)
        this->sendToDelegate(flow.search->packet);
    flow.search.reset();
    for (const std::vector<uint8_t>& bytes : std::exchange(flow.waiting, {}))
        this->sendToDelegate(bytes);
}

void EntryRouter::sendToDelegate(Bytes bytes)
{
    ++this->counts.delegated;
    HopMessage message;
    message.kind = HopKind::Delegate;
    message.packet = bytes;
    this->sendHop(*this->delegate, message);
}

void EntryRouter::onLocated(PacketAddress holder, std::span<const FlowKey> keys)
{
    for (const FlowKey& key : keys) {
        if (Flow* flow = this->flows.find(key); flow && !flow->holder && flow->delegatedUntil)
            this->setHolder(key, *flow, holder);
    }
}

// Tells the entry that delegated the flow which agent holds it.
void EntryRouter::reportToDelegator(const FlowKey& key, Flow& flow)
{
    if (!flow.delegator)
        return;
    HopMessage message;
    message.kind = HopKind::Located;
    message.holder = *flow.holder;
    message.flowKeys = { key };
    this->sendHop(*std::exchange(flow.delegator, std::nullopt), message);
}

//-----------------------------------------------------------------------------
// Timers
//-----------------------------------------------------------------------------

// Continues searches that lack replies, and drops packets that waited too long.
void EntryRouter::processSearchTimers()
{
    const TimePoint now = this->clock.now();
    if (!this->directoryAwaitsPeers)
        this->endDeniedSearches();
    while (!this->searchTimers.empty() && this->searchTimers.begin()->first <= now) {
        const FlowKey key = this->searchTimers.begin()->second;
        this->searchTimers.erase(this->searchTimers.begin());
        Flow* flow = this->flows.find(key);
        if (!flow || flow->holder || (flow->search && flow->search->isDenied))
            continue;
        if (flow->search && flow->search->scope == SearchScope::Offered) {
            this->extendToRoute(key, *flow);
            continue;
        }
        // Upstreams that were removed for good may be gone with their agents: after unlistedTimeout, their silence
        // counts as a denial.
        if (flow->search && flow->search->isDeniedByAllNeeded()) {
            const TimePoint end = flow->search->started + this->options.unlistedTimeout;
            if (now >= end) {
                this->endFailedSearch(key, *flow);
                continue;
            }
            if (flow->search->isPacketSentToAll()) {
                this->searchTimers.emplace(end, key);
                continue;
            }
        }
        const bool lacksAnswers = flow->search && now - flow->search->started < this->options.searchTimeout;
        const bool canSendAgain = lacksAnswers
            && (!flow->search->isPacketSentToAll() || flow->search->packetRounds < this->options.maxPacketRounds);
        if (canSendAgain) {
            this->continueSearch(key, *flow);
            continue;
        }
        this->abandonSearch(key, *flow);
    }
}

void EntryRouter::logShedSearches()
{
    const TimePoint now = this->clock.now();
    if (this->counts.searchesShed == this->loggedSearchesShed || now < this->nextShedLog)
        return;
    constexpr Milliseconds interval { 500 };
    this->nextShedLog = now + interval;
    logEvent(Event::PacketSearchesShed,
        { { "searches",
              this->counts.searchesShed - std::exchange(this->loggedSearchesShed, this->counts.searchesShed) },
            { "link-bytes-per-second", static_cast<uint64_t>(this->options.link.bytesPerSecond) },
            { "flows", static_cast<uint64_t>(this->flows.size()) }, { "directory", this->directoryRevision } });
}

// Some upstream that may hold the flow did not answer: the next packet of the client may start another search.
void EntryRouter::abandonSearch(const FlowKey& key, Flow& flow)
{
    if (flow.search && !std::exchange(flow.search->isAbandoned, true)) {
        flow.delegatedUntil.reset(); // the next search may delegate again
        flow.searchesAll = true;
        ++this->counts.searchesWithoutResult.at(static_cast<size_t>(flow.search->scope));
        const size_t mayReturn = flow.search->countSilent(Listing::MayReturn);
        this->hasUnresolvedRemoval = this->hasUnresolvedRemoval || mayReturn > 0;
        logEvent(Event::PacketHolderNotFound,
            { { "flow", toString(key) }, { "silent", static_cast<uint64_t>(flow.search->countSilent(Listing::Listed)) },
                { "silent-may-return", static_cast<uint64_t>(mayReturn) },
                { "unanswered", static_cast<uint64_t>(flow.search->countUnanswered()) },
                { "scope", nameOf(flow.search->scope) },
                { "behind", this->isBehindPeers }, { "agents", namesForLog(flow.search->silentAgents()) },
                { "dropped", static_cast<uint64_t>(flow.waiting.size()) }, { "directory", this->directoryRevision } });
    }
    this->counts.dropped += flow.waiting.size();
    flow.waiting.clear();
    flow.delegator.reset();
}

} // namespace wasabicroft
