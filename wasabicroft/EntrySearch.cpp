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

    void markReturned(HolderSearch& search, const std::set<PacketAddress>& returnedBy)
    {
        for (HolderSearch::Target& target : search.targets)
            target.returned = target.returned || returnedBy.contains(target.agent);
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
    const bool isSearching = flow.search
        && (flow.search->isDenied || flow.search->awaitsList
            || now - flow.search->started < this->options.searchTimeout);
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
    if (!flow.searchedSince)
        flow.searchedSince = now;
    HolderSearch& search = flow.search.emplace();
    search.packet = copyOf(bytes);
    search.started = now;
    for (const HolderCandidate& target : targets)
        search.targets.push_back({ target.agent, target.listing, target.failureDomain });
    markReturned(search, flow.returnedBy);
    this->setScope(search, scope);
    // An upstream that accepted the SYN holds the flow only once it gets a packet of the client: asking its agent
    // before that is useless.
    search.askRounds = isOffered ? this->options.maxAskRounds : 0;
    if (const PacketAddress* hint = this->hints.find(key))
        this->onHint(key, flow, *hint, *hint);
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
    markReturned(search, flow.returnedBy);
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

// The upstreams of the services of the flow's route, the preferred ones of the flow first, then those of other
// services.
std::vector<HolderCandidate> EntryRouter::possibleHolders(
    const FlowKey& key, Flow& flow, SearchScope scope, std::optional<PacketAddress> excluded) const
{
    std::vector<HolderCandidate> routed;
    std::vector<HolderCandidate> others;
    const auto contains = [](const std::vector<HolderCandidate>& targets, const HolderCandidate& target) {
        return std::any_of(
            targets.begin(), targets.end(), [&](const HolderCandidate& other) { return other.agent == target.agent; });
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
        std::vector<HolderCandidate>& targets = isRouted ? routed : others;
        for (const HolderCandidate& target : candidates) {
            if (target.agent != excluded && !contains(targets, target))
                targets.push_back(target);
        }
    }
    const uint64_t hash = FlowKeyHash()(key);
    for (std::vector<HolderCandidate>* targets : { &routed, &others }) {
        std::sort(targets->begin(), targets->end(), [hash](const HolderCandidate& a, const HolderCandidate& b) {
            return rendezvousScore(hash, a.upstream) > rendezvousScore(hash, b.upstream);
        });
    }
    for (const HolderCandidate& target : others) {
        if (!contains(routed, target))
            routed.push_back(target);
    }
    return routed;
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
    this->scheduleSearch(key, *flow.search, this->options.searchStageTimeout);
}

void EntryRouter::scheduleSearch(const FlowKey& key, HolderSearch& search, Milliseconds delay)
{
    search.due = this->clock.now() + delay;
    this->searchTimers.emplace(search.due, key);
}

void EntryRouter::askAgents(const FlowKey& key, HolderSearch& search)
{
    const uint64_t asked = this->queueQuestions(key, search);
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", asked }, { "with", "question" }, { "scope", nameOf(search.scope) },
            { "silent", static_cast<uint64_t>(search.countUnanswered()) }, { "behind", this->isBehindPeers },
            { "directory", this->directoryRevision } });
}

// Returns the number of agents that are asked.
uint64_t EntryRouter::queueQuestions(const FlowKey& key, HolderSearch& search)
{
    ++search.askRounds;
    const TimePoint now = this->clock.now();
    uint64_t asked = 0;
    for (HolderSearch::Target& target : search.targets) {
        if (target.denied)
            continue;
        const auto unsure = this->unsureUntil.find(target.agent);
        const bool isAssumed = search.askRounds == 1 && unsure != this->unsureUntil.end() && now < unsure->second
            && !this->isSilentFor(target.agent, this->options.searchStageTimeout);
        target.agentIsUnsure = target.agentIsUnsure || isAssumed;
        if (target.agentIsUnsure)
            continue;
        this->queuedAsks[target.agent].push_back(key);
        ++asked;
    }
    if (search.askRounds <= this->options.maxAskRounds) {
        for (size_t i = 0; i < std::min(this->peers.size(), this->options.maxAskedPeers); ++i)
            this->queuedAsks[this->peers[i]].push_back(key);
        asked += std::min(this->peers.size(), this->options.maxAskedPeers);
    }
    // Charged before they are sent, so that a batch of packets does not start more searches than the link can carry.
    this->counts.searchBytes += asked * flowKeyBytes;
    this->linkBudget.onSearchMessage(asked * flowKeyBytes);
    return asked;
}

// Whether an agent has left a message unanswered for longer than this.
bool EntryRouter::isSilentFor(PacketAddress agent, Milliseconds duration) const
{
    const auto since = this->unansweredSince.find(agent);
    return since != this->unansweredSince.end() && this->clock.now() - since->second > duration;
}

// The upstream that another entry named, for as long as its agent may need to restart; else the preferred upstreams,
// then all others, then again those that have not answered: denials of only some would not show that the flow is lost.
std::vector<HolderSearch::Target*> EntryRouter::nextReceivers(const Flow& flow, HolderSearch& search) const
{
    const bool followsHint = this->followsHint(flow);
    const bool isRepeated = search.isPacketSentToAll();
    const bool isFirst = !search.isPacketSentToAny();
    std::vector<HolderSearch::Target*> receivers;
    for (HolderSearch::Target& target : search.targets) {
        if (target.packetSent == isRepeated && !target.denied && !target.returned && (!followsHint || target.isHinted)
            && (!isFirst || receivers.size() < this->options.preferredUpstreams))
            receivers.push_back(&target);
    }
    return receivers;
}

bool EntryRouter::followsHint(const Flow& flow) const
{
    return flow.search->hasHint() && this->clock.now() - *flow.searchedSince < this->options.hintPatience;
}

void EntryRouter::sendFinds(const FlowKey& key, Flow& flow)
{
    HolderSearch& search = *flow.search;
    const std::vector<HolderSearch::Target*> receivers = this->nextReceivers(flow, search);
    if (receivers.empty()) { // the agent of the upstream that another entry named is silent
        this->queueQuestions(key, search);
        return;
    }
    const bool isRepeated = search.isPacketSentToAll();
    const bool isFirst = !search.isPacketSentToAny();
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
        if (!flow)
            this->rememberHint(key, agent);
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
        if (!target || target->denied)
            continue;
        if (target->returned) { // it does not know that its upstream returned a packet before it started
            this->onDenied(key, *flow, agent, HopRefusal::UpstreamDown);
            continue;
        }
        if (std::exchange(target->agentIsUnsure, true))
            continue;
        // The agent did not answer before: it may have been stopped when the packet was sent.
        if (target->packetSent && target->resends++ < this->options.maxPacketRounds)
            this->sendPacket(agent, HopKind::Find, key, flow->service, flow->search->packet);
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
void EntryRouter::onDenied(const FlowKey& key, Flow& flow, PacketAddress agent, HopRefusal refusal)
{
    HolderSearch::Target* target = flow.search ? flow.search->find(agent) : nullptr;
    if (this->clock.now() < flow.deniableSince)
        return; // it may be of an earlier flow; the agent is asked again
    if (target && target->packetSent && refusal == HopRefusal::None) {
        target->returned = true;
        flow.returnedBy.insert(agent);
    }
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
    if (this->isConclusive(*flow.search))
        this->resetLostFlow(key, flow, "held-nowhere");
    else
        this->awaitList(key, flow);
}

// The search covered only some upstreams. The denials stay valid, since a flow opens only by a SYN: upstreams that the
// list gains are asked, and the others are not asked again.
void EntryRouter::awaitList(const FlowKey& key, Flow& flow)
{
    HolderSearch& search = *flow.search;
    flow.offers.clear();
    const bool isFresh = flow.lastUse && this->clock.now() - *flow.lastUse < this->options.packetWait
        && this->searchTimers.size() < this->options.maxWaitingSearches;
    if (!isFresh) {
        flow.searchesAll = true;
        flow.search.reset();
        this->dropWaiting(flow);
        return;
    }
    search.awaitsList = !this->widenScope(key, flow, SearchScope::All);
    if (search.awaitsList)
        this->scheduleSearch(key, search, this->options.listWaitInterval);
    else
        this->repeatSearch(key, flow);
}

// Whether the denials of all targets show that no upstream holds the flow.
bool EntryRouter::isConclusive(const HolderSearch& search) const
{
    const bool usedConfirmedList = !search.beganBeforeListCheck || search.directoryRevision == this->directoryRevision;
    const bool usedPresentList = !search.isAbandoned || search.directoryRevision == this->directoryRevision;
    return search.coversAllUpstreams && this->directoryIsComplete && usedConfirmedList && usedPresentList
        && !this->isBehindPeers;
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
        flow.waiting.insert(flow.waiting.begin(), std::move(flow.search->packet));
    flow.search.reset();
    for (const std::vector<uint8_t>& bytes : flow.waiting)
        this->sendToDelegate(bytes);
    flow.waiting.resize(std::min<size_t>(flow.waiting.size(), 1)); // for a search here
    this->searchTimers.emplace(*flow.delegatedUntil, key);
}

// The other entry did not answer in time.
void EntryRouter::endDelegation(const FlowKey& key, Flow& flow)
{
    const bool isFresh = flow.lastUse && this->clock.now() - *flow.lastUse < this->options.packetWait;
    if (!flow.waiting.empty() && isFresh)
        this->startSearch(key, flow, std::exchange(flow.waiting, {}).front(), std::nullopt);
    else
        this->dropWaiting(flow);
}

void EntryRouter::sendToDelegate(Bytes bytes)
{
    ++this->counts.delegated;
    HopMessage message;
    message.kind = HopKind::Delegate;
    message.packet = bytes;
    this->sendHop(*this->delegate, message);
}

void EntryRouter::onLocated(PacketAddress entry, PacketAddress holder, std::span<const FlowKey> keys)
{
    for (const FlowKey& key : keys) {
        Flow* flow = this->flows.find(key);
        if (!flow)
            this->rememberHint(key, holder);
        if (!flow || flow->holder)
            continue;
        if (flow->delegatedUntil && !flow->search) {
            if (entry == this->delegate)
                flow->waiting.clear(); // it has forwarded them
            this->setHolder(key, *flow, holder);
        } else if (flow->search)
            this->onHint(key, *flow, entry, holder);
    }
}

void EntryRouter::rememberHint(const FlowKey& key, PacketAddress agent)
{
    this->hints.findOrInsert(key, this->clock.now()) = agent;
}

// The source, an entry or the agent itself, may mean an earlier flow of the same ends: the upstream shows whether it
// holds this one.
void EntryRouter::onHint(const FlowKey& key, Flow& flow, PacketAddress source, PacketAddress agent)
{
    HolderSearch::Target* target = flow.search->find(agent);
    if (!target || target->denied || target->returned || std::exchange(target->isHinted, true))
        return;
    ++this->counts.hints;
    if (std::exchange(target->packetSent, true))
        return;
    ++this->counts.findCopies;
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", uint64_t { 1 } }, { "with", "packet" },
            { "scope", nameOf(flow.search->scope) }, { "told-by", toString(source) }, { "agents", toString(agent) },
            { "directory", this->directoryRevision } });
    this->sendPacket(agent, HopKind::Find, key, flow.service, flow.search->packet);
}

// Names the holders of those flows that this entry knows.
void EntryRouter::answerPeer(PacketAddress entry, std::span<const FlowKey> keys)
{
    std::map<PacketAddress, std::vector<FlowKey>> keysByHolder;
    for (const FlowKey& key : keys) {
        const Flow* flow = this->flows.find(key);
        const PacketAddress* hint = this->hints.find(key);
        if (flow && flow->holder)
            keysByHolder[*flow->holder].push_back(key);
        else if (hint)
            keysByHolder[*hint].push_back(key);
    }
    this->sendLocated(entry, keysByHolder);
}

void EntryRouter::sendLocated(PacketAddress entry, const std::map<PacketAddress, std::vector<FlowKey>>& keysByHolder)
{
    for (const auto& [holder, keys] : keysByHolder) {
        for (size_t first = 0; first < keys.size(); first += maxFlowKeysPerMessage) {
            HopMessage message;
            message.kind = HopKind::Located;
            message.holder = holder;
            message.flowKeys.assign(keys.begin() + static_cast<std::ptrdiff_t>(first),
                keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), first + maxFlowKeysPerMessage)));
            this->sendHop(entry, message);
        }
    }
}

void EntryRouter::handOver()
{
    std::map<PacketAddress, std::vector<FlowKey>> keysByHolder;
    size_t older = this->flows.size() - std::min(this->flows.size(), this->options.maxHandOverFlows);
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        if (older > 0)
            --older;
        else if (flow.holder)
            keysByHolder[*flow.holder].push_back(key);
    });
    const size_t receivers = std::min(this->peers.size(), this->options.maxHandOverPeers);
    for (size_t i = 0; i < receivers; ++i)
        this->sendLocated(this->peers[i], keysByHolder);
    logEvent(Event::PacketFlowsHandedOver,
        { { "flows", static_cast<uint64_t>(this->flows.size()) }, { "receivers", static_cast<uint64_t>(receivers) } });
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
        const auto [due, key] = *this->searchTimers.begin();
        this->searchTimers.erase(this->searchTimers.begin());
        Flow* flow = this->flows.find(key);
        if (!flow || flow->holder || (flow->search && (flow->search->isDenied || due < flow->search->due)))
            continue;
        if (!flow->search && flow->delegatedUntil) {
            if (now >= *flow->delegatedUntil)
                this->endDelegation(key, *flow);
            continue;
        }
        if (flow->search && flow->search->scope == SearchScope::Offered) {
            this->extendToRoute(key, *flow);
            continue;
        }
        if (flow->search && std::exchange(flow->search->awaitsList, false)) {
            this->updateListings(*flow->search); // an upstream that was gone may be listed again
            this->widenScope(key, *flow, SearchScope::All);
            if (flow->search->isDeniedByAll())
                this->endFailedSearch(key, *flow);
            else
                this->repeatSearch(key, *flow);
            continue;
        }
        // Upstreams that were removed for good may be gone with their agents: after unlistedTimeout, their silence
        // counts as a denial.
        if (flow->search && flow->search->isDeniedByAllNeeded()) {
            const TimePoint end = flow->search->started + this->options.unlistedTimeout;
            if (now >= end) {
                flow->search->markUnneededAsGone();
                this->endFailedSearch(key, *flow);
                continue;
            }
            if (flow->search->isPacketSentToAll()) {
                this->scheduleSearch(key, *flow->search, std::chrono::ceil<Milliseconds>(end - now));
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

// Whether the packet of a search without result waits for agents that are silent.
bool EntryRouter::keepsPacket(const Flow& flow) const
{
    return flow.search && !flow.search->packet.empty() && flow.lastUse
        && this->clock.now() - *flow.lastUse < this->options.packetWait
        && this->searchTimers.size() < this->options.maxWaitingSearches
        && flow.search->countSilent(Listing::Listed) + flow.search->countSilent(Listing::MayReturn) > 0;
}

// An agent may be back before the client sends its next copy, and gone again when that arrives.
void EntryRouter::waitForSilentAgents(const FlowKey& key, Flow& flow)
{
    HolderSearch& search = *flow.search;
    this->updateListings(search);
    if (search.scope == SearchScope::Routed || search.scope == SearchScope::All)
        this->widenScope(key, flow, search.scope); // the list may have gained upstreams
    search.forgetAnswers(); // an agent may have stopped since, before it delivered the packet
    if (this->linkBudget.canContinueSearch()) {
        if (!search.isPacketSentToAll() && !this->followsHint(flow))
            this->sendFinds(key, flow);
        else
            this->queueQuestions(key, search);
    }
    this->scheduleSearch(key, search, this->options.silentAgentInterval);
}

void EntryRouter::updateListings(HolderSearch& search) const
{
    for (HolderSearch::Target& target : search.targets) {
        const bool wasNeeded = target.isNeeded();
        const auto listing = this->listingByAgent.find(target.agent);
        target.listing = listing == this->listingByAgent.end() ? Listing::Removed : listing->second;
        target.isGone = target.isGone && !target.isNeeded();
        if (wasNeeded && !target.isNeeded())
            search.started = this->clock.now(); // its agent has unlistedTimeout to answer
    }
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
                { "scope", nameOf(flow.search->scope) }, { "behind", this->isBehindPeers },
                { "agents", namesForLog(flow.search->silentAgents()) },
                { "waiting", static_cast<uint64_t>(flow.waiting.size() + 1) },
                { "directory", this->directoryRevision } });
    }
    if (this->keepsPacket(flow))
        this->waitForSilentAgents(key, flow);
    else
        this->dropWaiting(flow);
}

void EntryRouter::dropWaiting(Flow& flow)
{
    this->counts.dropped += flow.waiting.size();
    flow.waiting.clear();
    flow.delegator.reset();
}

} // namespace wasabicroft
