#include "wasabicroft/EntryRouter.h"

#include "wasabicroft/Log.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabicroft {

namespace {

    // Upper limit of the candidates of a flow; above the number of upstreams that it is offered to.
    constexpr size_t maxRankedCandidates = 8;

    PlacementOptions placementOptions(const EntryRouterOptions& options, std::mt19937_64& random)
    {
        PlacementOptions placement;
        placement.failureDomain = options.failureDomain;
        placement.maxCandidates = maxRankedCandidates;
        placement.maxWaitUpstreams = 0;
        placement.remotePenalty = options.remotePenalty;
        placement.connectionCost = options.connectionCost;
        placement.preferredUpstreams = options.preferredUpstreams;
        placement.drainingRetryDelay = options.downRetryDelay;
        placement.random = [&random] { return random(); };
        return placement;
    }

    // Times at which clients send the copies of a SYN, from the first one on.
    constexpr std::array<Milliseconds, 3> synSendTimes { Milliseconds(0), Milliseconds(200), Milliseconds(600) };

    // The time from the first copy of a SYN to this one, without network delays.
    Milliseconds synAge(const Packet& packet)
    {
        return synSendTimes.at(std::min<size_t>(packet.acknowledgement, synSendTimes.size() - 1));
    }

    std::vector<uint8_t> copyOf(Bytes bytes) { return { bytes.begin(), bytes.end() }; }

    // Upstreams whose slots are not known (0) are weighed as if they had as many as the largest known one.
    void assumeSlots(std::vector<PlacementUpstream>& pool)
    {
        uint16_t largest = 0;
        for (const PlacementUpstream& upstream : pool)
            largest = std::max(largest, upstream.slots);
        for (PlacementUpstream& upstream : pool)
            upstream.slots = upstream.slots > 0 ? upstream.slots : std::max(largest, PlacementUpstream().slots);
    }

} // namespace

HolderSearch::Target* HolderSearch::find(PacketAddress agent)
{
    const auto found = std::find_if(
        this->targets.begin(), this->targets.end(), [&](const Target& target) { return target.agent == agent; });
    return found == this->targets.end() ? nullptr : &*found;
}

bool HolderSearch::isPacketSentToAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.packetSent || target.denied; });
}

bool HolderSearch::isAnsweredByAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.agentIsUnsure || target.denied || !target.isNeeded(); });
}

bool HolderSearch::awaitsUpstreamReply() const
{
    return std::any_of(this->targets.begin(), this->targets.end(),
        [](const Target& target) { return target.packetSent && !target.denied && target.isNeeded(); });
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

bool HolderSearch::isDeniedByAll() const
{
    return std::all_of(this->targets.begin(), this->targets.end(), [](const Target& target) { return target.denied; });
}

EntryRouter::EntryRouter(EntryRouterOptions routerOptions, EntryRouterHooks routerHooks, const Clock& timeSource)
    : options(std::move(routerOptions))
    , hooks(std::move(routerHooks))
    , clock(timeSource)
    , random(this->options.seed)
    , placement(placementOptions(this->options, this->random), timeSource)
    , flows(this->options.maxFlows)
    , findTokens(this->options.findBytesPerSecond)
    , findTokensUpdated(timeSource.now())
{
}

//-----------------------------------------------------------------------------
// Routes and upstreams
//-----------------------------------------------------------------------------

void EntryRouter::setRoutes(std::shared_ptr<const RoutingTable> table, bool provisional)
{
    this->routes = std::move(table);
    this->hasProvisionalRoutes = provisional;
    this->releaseBuffered();
}

void EntryRouter::setUpstreams(const UpstreamDirectory& directory)
{
    this->hasUpstreamList = directory.isLoaded();
    this->directoryIsComplete = directory.isComplete();
    this->directoryAwaitsPeers = directory.awaitsPeers();
    this->directoryRevision = directory.revision();
    std::set<ServiceId> services;
    if (this->routes) {
        for (const auto& [address, route] : this->routes->routes) {
            for (const RouteShare& share : route.shares)
                services.insert(share.service);
        }
    }
    for (const UpstreamRecord& record : directory.allListed())
        services.insert(record.service);
    this->hasUsableUpstream = false;
    this->holders.clear();
    this->upstreamByAgent.clear();
    this->agentByUpstream.clear();
    const std::map<PacketAddress, std::optional<UpstreamFigures>> figuresBefore
        = std::exchange(this->figuresByAgent, {});
    this->usableAgents.clear();
    const auto toCandidate = [&](const UpstreamRecord& record) {
        return HolderCandidate { record.id(), { record.address.address, this->options.agentPort },
            directory.listingOf(record) };
    };
    for (const ServiceId service : services) {
        std::vector<PlacementUpstream> pool;
        for (const UpstreamRecord& record : directory.usable(service)) {
            const HolderCandidate target = toCandidate(record);
            pool.push_back({ target.upstream, record.failureDomain, record.slots.value_or(0), false });
            this->usableAgents.insert(target.agent);
            this->upstreamByAgent[target.agent] = target.upstream; // takes precedence over those that only hold flows
        }
        this->hasUsableUpstream = this->hasUsableUpstream || !pool.empty();
        assumeSlots(pool);
        this->placement.setPool(service, std::move(pool));
        for (const UpstreamRecord& record : directory.possibleHolders(service)) {
            const HolderCandidate target = toCandidate(record);
            this->holders[service].push_back(target);
            this->agentByUpstream[target.upstream] = target.agent;
            this->upstreamByAgent.emplace(target.agent, target.upstream);
        }
    }
    std::erase_if(this->unansweredSince, [this](const auto& item) { return !this->usableAgents.contains(item.first); });
    for (const UpstreamRecord& record : directory.allListed()) {
        const UpstreamRecord* current = directory.listedAt(record.address);
        if (current && current->name == record.name)
            this->figuresByAgent[toCandidate(record).agent] = record.figures();
    }
    this->announceDrains(directory, figuresBefore);
    this->releaseBuffered();
}

// An agent keeps what its upstream publishes for entries that start while the store is away, but hears of a drain only
// with the next packet for its upstream: it is told at once.
void EntryRouter::announceDrains(
    const UpstreamDirectory& directory, const std::map<PacketAddress, std::optional<UpstreamFigures>>& before)
{
    for (const UpstreamRecord& record : directory.allListed()) {
        const PacketAddress agent { record.address.address, this->options.agentPort };
        const auto known = before.find(agent);
        const bool wasReady = known != before.end() && known->second && !known->second->draining;
        if (!wasReady || !record.draining || this->figuresByAgent.at(agent) != record.figures())
            continue;
        HopMessage message;
        message.kind = HopKind::Ask;
        message.service = record.service;
        message.upstream = record.figures();
        this->hooks.sendHop(agent, message);
    }
}

bool EntryRouter::isServing() const
{
    return this->routes && !this->hasProvisionalRoutes && this->hasUsableUpstream && !this->isolated;
}

//-----------------------------------------------------------------------------
// Packets of clients
//-----------------------------------------------------------------------------

void EntryRouter::onClientPacket(const Packet& packet, Bytes bytes)
{
    ++this->counts.packets;
    this->routePacket(packet, bytes, this->clock.now());
}

void EntryRouter::bufferPacket(const Packet& packet, Bytes bytes, TimePoint received)
{
    if (this->bufferedBytes + bytes.size() > this->options.maxBufferedBytes) {
        ++this->counts.dropped;
        return;
    }
    ++this->counts.buffered;
    this->bufferedBytes += bytes.size();
    this->buffered.push_back({ packet, copyOf(bytes), received });
}

void EntryRouter::releaseBuffered()
{
    if (!this->routes || !this->hasUpstreamList)
        return;
    const std::deque<BufferedPacket> released = std::exchange(this->buffered, {});
    this->bufferedBytes = 0;
    for (const BufferedPacket& item : released) {
        if (!item.packet.isSyn())
            this->routePacket(item.packet, item.bytes, item.received);
    }
    this->releaseBufferedSyns(released);
}

// Newest first: their clients have the most time left. One of the copies of a SYN is enough.
void EntryRouter::releaseBufferedSyns(const std::deque<BufferedPacket>& released)
{
    std::set<FlowKey> releasedFlows;
    for (auto item = released.rbegin(); item != released.rend(); ++item) {
        if (!item->packet.isSyn() || !releasedFlows.insert(item->packet.flowKeyFromClient()).second)
            continue;
        const Route* route = this->routes->find(item->packet.destination);
        const Milliseconds timeout = route && route->limits ? route->limits->timeout : Milliseconds(0);
        const Milliseconds age
            = synAge(item->packet) + std::chrono::duration_cast<Milliseconds>(this->clock.now() - item->received);
        if (timeout > Milliseconds(0) && age >= timeout)
            ++this->counts.dropped; // the client has given up
        else
            this->routePacket(item->packet, item->bytes, item->received);
    }
}

void EntryRouter::routePacket(const Packet& packet, Bytes bytes, TimePoint received)
{
    const bool isConfigured = this->routes && this->hasUpstreamList;
    const bool waitsForRoute = this->hasProvisionalRoutes && packet.isSyn() && !this->routes->find(packet.destination);
    if (!isConfigured || waitsForRoute)
        this->bufferPacket(packet, bytes, received);
    else if (packet.isSyn())
        this->openFlow(packet.flowKeyFromClient(), bytes);
    else
        this->onFlowPacket(packet.flowKeyFromClient(), packet, bytes);
}

//-----------------------------------------------------------------------------
// New flows
//-----------------------------------------------------------------------------

void EntryRouter::openFlow(const FlowKey& key, Bytes syn)
{
    const Route* route = this->routes->find(key.route);
    if (!route) {
        this->refuseFlow(key, 0, "no-route");
        return;
    }
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    if (flow.holder) {
        // A late copy of the SYN: the holder gives the same answer again.
        this->sendPacket(*flow.holder, HopKind::Offer, key, flow.service, syn);
        return;
    }
    if (flow.syn.empty()) {
        flow.service = this->chooseService(*route);
        flow.syn = copyOf(syn);
    }
    for (Offer& offer : flow.offers) {
        if (offer.state == OfferState::Accepted) {
            this->sendOffer(key, flow, offer);
            return;
        }
    }
    // A copy of the SYN starts a new round of offers.
    std::erase_if(flow.offers, [](const Offer& offer) { return offer.state == OfferState::Refused; });
    if (flow.offers.size() >= this->options.maxOffersPerSyn)
        flow.offers.clear();
    if (!this->offerToNextUpstream(key, flow, "open") && !this->hasProvisionalRoutes)
        this->refuseFlow(key, 0, "no-upstream");
}

ServiceId EntryRouter::chooseService(const Route& route)
{
    uint64_t total = 0;
    for (const RouteShare& share : route.shares)
        total += share.weight;
    uint64_t draw = total > 1 ? this->random() % total : 0;
    for (const RouteShare& share : route.shares) {
        if (draw < share.weight)
            return share.service;
        draw -= share.weight;
    }
    return route.shares.front().service;
}

// Offers the flow to the best upstream that it was not offered to in this round. Returns false if there is none.
bool EntryRouter::offerToNextUpstream(const FlowKey& key, Flow& flow, std::string_view cause)
{
    if (flow.offers.size() >= this->options.maxOffersPerSyn)
        return false;
    const std::vector<UpstreamId> candidates = this->placement.candidates(flow.service, FlowKeyHash()(key));
    for (const UpstreamId candidate : candidates) {
        const auto agent = this->agentByUpstream.find(candidate);
        const bool isAlreadyOffered = std::any_of(
            flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) { return offer.upstream == candidate; });
        if (isAlreadyOffered || agent == this->agentByUpstream.end())
            continue;
        flow.offers.push_back({ candidate, agent->second, OfferState::Pending, this->clock.now(), 0 });
        logEvent(Event::PacketFlowOffered,
            { { "flow", toString(key) }, { "service", flow.service }, { "upstream", candidate },
                { "agent", toString(agent->second) }, { "cause", cause },
                { "attempt", static_cast<uint64_t>(flow.offers.size()) },
                { "candidates", static_cast<uint64_t>(candidates.size()) },
                { "occupied", this->placement.utilization(flow.service, candidate) },
                { "load-age-ms", this->placement.loadAge(candidate) }, { "routes", this->routes->version },
                { "directory", this->directoryRevision } });
        this->sendOffer(key, flow, flow.offers.back());
        return true;
    }
    return false;
}

void EntryRouter::sendOffer(const FlowKey& key, Flow& flow, Offer& offer)
{
    ++this->counts.offers;
    if (offer.state == OfferState::Pending) {
        this->placement.onFlowStarted(offer.upstream);
        this->pendingOffers.push_back({ key, offer.upstream, this->clock.now() + this->options.offerTimeout });
    }
    this->sendPacket(offer.agent, HopKind::Offer, key, flow.service, flow.syn);
}

void EntryRouter::sendPacket(PacketAddress agent, HopKind kind, const FlowKey& key, ServiceId service, Bytes bytes)
{
    HopMessage message;
    message.kind = kind;
    message.service = service;
    message.packet = bytes;
    if (const Route* route = this->routes->find(key.route))
        message.limits = route->limits;
    if (const auto figures = this->figuresByAgent.find(agent); figures != this->figuresByAgent.end())
        message.upstream = figures->second;
    if (kind == HopKind::Offer || kind == HopKind::Find)
        this->expectReply(agent);
    if (kind == HopKind::Offer)
        message.loadInterval = this->addLoadReporter(agent);
    this->hooks.sendHop(agent, message);
}

// Only usable upstreams count: those that were removed may be gone with their agents.
void EntryRouter::expectReply(PacketAddress agent)
{
    if (this->usableAgents.contains(agent))
        this->unansweredSince.emplace(agent, this->clock.now());
}

// An entry that most agents don't reply to reports that it is not ready, so that other entries serve its clients.
void EntryRouter::updateIsolation()
{
    const TimePoint now = this->clock.now();
    std::erase_if(
        this->lastReplies, [&](const auto& item) { return now - item.second > this->options.agentSilenceTimeout; });
    const size_t silent = static_cast<size_t>(std::count_if(this->unansweredSince.begin(), this->unansweredSince.end(),
        [&](const auto& item) { return now - item.second > this->options.agentSilenceTimeout; }));
    const size_t minSilent = std::min<size_t>(2, this->usableAgents.size()); // one agent may be down
    const bool mostAreSilent = minSilent > 0 && silent >= minSilent
        && silent >= this->options.isolationSilentRatio * this->lastReplies.size();
    if (!mostAreSilent)
        this->mostSilentSince.reset();
    else if (!this->mostSilentSince)
        this->mostSilentSince = now;
    const bool isNowIsolated = mostAreSilent && now - *this->mostSilentSince >= this->options.isolationDelay;
    if (isNowIsolated != this->isolated) {
        this->isolated = isNowIsolated;
        logEvent(isNowIsolated ? Event::PacketAgentsSilent : Event::PacketAgentsHeard,
            { { "silent", static_cast<uint64_t>(silent) }, { "heard", static_cast<uint64_t>(this->lastReplies.size()) },
                { "known", static_cast<uint64_t>(this->usableAgents.size()) },
                { "directory", this->directoryRevision } });
    }
    if (mostAreSilent && now >= this->nextProbe) {
        this->nextProbe = now + this->options.isolationProbeInterval;
        this->probeAgents();
    }
}

// Probes agents, since too few packets of clients may arrive to show whether agents can be reached.
void EntryRouter::probeAgents()
{
    HopMessage probe;
    probe.kind = HopKind::Ask;
    auto agent = this->usableAgents.begin();
    std::advance(agent, static_cast<std::ptrdiff_t>(this->random() % this->usableAgents.size()));
    for (size_t i = 0; i < std::min(this->options.maxIsolationProbes, this->usableAgents.size()); ++i) {
        this->expectReply(*agent);
        this->hooks.sendHop(*agent, probe);
        if (++agent == this->usableAgents.end())
            agent = this->usableAgents.begin();
    }
}

// Returns the interval at which the load reports of all agents together keep within loadReportBytesPerSecond.
Milliseconds EntryRouter::addLoadReporter(PacketAddress agent)
{
    this->loadReporters[agent] = this->clock.now();
    constexpr double millisecondsPerSecond = 1000;
    const size_t bytes = this->loadReporters.size() * (hopHeaderBytes + datagramHeaderBytes);
    return Milliseconds(
        std::lround(millisecondsPerSecond * static_cast<double>(bytes) / this->options.loadReportBytesPerSecond));
}

EntryRouter::Offer* EntryRouter::findOffer(Flow& flow, PacketAddress agent)
{
    const auto found = std::find_if(
        flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) { return offer.agent == agent; });
    return found == flow.offers.end() ? nullptr : &*found;
}

// Only for flows that are not open, so no part of the client's request has run.
void EntryRouter::refuseFlow(const FlowKey& key, uint32_t sequence, std::string_view cause)
{
    ++this->counts.resets;
    logEvent(Event::PacketFlowRefused,
        { { "flow", toString(key) }, { "cause", cause }, { "routes", this->routes->version },
            { "directory", this->directoryRevision } });
    this->flows.erase(key);
    this->hooks.sendReset(key, sequence);
}

//-----------------------------------------------------------------------------
// Open flows
//-----------------------------------------------------------------------------

void EntryRouter::onFlowPacket(const FlowKey& key, const Packet& packet, Bytes bytes)
{
    const bool isRouted = this->hasProvisionalRoutes || this->routes->find(key.route) != nullptr;
    if (!isRouted && !this->flows.find(key)) {
        ++this->counts.dropped;
        return;
    }
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.lastAcknowledgement = packet.acknowledgement;
    if (!flow.holder) {
        if (const Offer* offer = this->acceptedOffer(flow, packet.acknowledgement))
            this->setHolder(key, flow, offer->agent);
    }
    if (flow.holder)
        this->forward(key, flow, bytes);
    else
        this->startSearch(key, flow, bytes, std::nullopt);
}

// The offer whose SYN+ACK the client acknowledged. If two upstreams accepted copies of one SYN, the first packet of the
// client after the handshake decides between them: it acknowledges the sequence number of one.
const EntryRouter::Offer* EntryRouter::acceptedOffer(const Flow& flow, uint32_t acknowledgement) const
{
    const Offer* accepted = nullptr;
    size_t acceptedCount = 0;
    for (const Offer& offer : flow.offers) {
        if (offer.state != OfferState::Accepted)
            continue;
        if (acknowledgement == offer.upstreamSequence + 1)
            return &offer;
        accepted = &offer;
        ++acceptedCount;
    }
    return flow.offers.size() == 1 && acceptedCount == 1 ? accepted : nullptr;
}

void EntryRouter::setHolder(const FlowKey& key, Flow& flow, PacketAddress agent)
{
    flow.holder = agent;
    flow.syn.clear();
    flow.offers.clear();
    flow.search.reset();
    logEvent(Event::PacketHolderKnown, { { "flow", toString(key) }, { "agent", toString(agent) } });
    for (const std::vector<uint8_t>& bytes : std::exchange(flow.waiting, {}))
        this->forward(key, flow, bytes);
}

void EntryRouter::forward(const FlowKey& key, const Flow& flow, Bytes bytes)
{
    ++this->counts.forwarded;
    this->sendPacket(*flow.holder, HopKind::Forward, key, flow.service, bytes);
}

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
    const std::vector<HolderCandidate> targets = this->possibleHolders(key, flow, excluded);
    if (targets.empty()) {
        ++this->counts.dropped;
        return;
    }
    ++flow.searchCount;
    ++this->counts.finds;
    HolderSearch& search = flow.search.emplace();
    search.packet = copyOf(bytes);
    search.started = now;
    search.coversAllUpstreams = (this->directoryIsComplete || this->directoryAwaitsPeers) && !this->isBehindPeers
        && !this->hasProvisionalRoutes && flow.offers.empty() && !excluded;
    search.beganBeforeListCheck = this->directoryAwaitsPeers;
    search.directoryRevision = this->directoryRevision;
    for (const HolderCandidate& target : targets)
        search.targets.push_back({ target.agent, target.listing });
    // An upstream that accepted the SYN holds the flow only once it gets a packet of the client: asking its agent
    // before that is useless.
    search.askRounds = flow.offers.empty() ? 0 : this->options.maxAskRounds;
    this->continueSearch(key, flow);
}

// Upstreams that may hold the flow: those that it was offered to, or else all upstreams of its route's services.
std::vector<HolderCandidate> EntryRouter::possibleHolders(
    const FlowKey& key, Flow& flow, std::optional<PacketAddress> excluded) const
{
    std::vector<HolderCandidate> targets;
    const auto add = [&](const HolderCandidate& target) {
        const bool isDuplicate = std::any_of(
            targets.begin(), targets.end(), [&](const HolderCandidate& other) { return other.agent == target.agent; });
        if (target.agent != excluded && !isDuplicate)
            targets.push_back(target);
    };
    for (const Offer& offer : flow.offers)
        add({ offer.upstream, offer.agent, Listing::Listed });
    if (!targets.empty())
        return targets;
    const Route* route = this->routes->find(key.route);
    for (const auto& [service, candidates] : this->holders) {
        const ServiceId holderService = service;
        const bool isRouted = route
            && std::any_of(route->shares.begin(), route->shares.end(),
                [&](const RouteShare& share) { return share.service == holderService; });
        if (!isRouted && (route || !this->hasProvisionalRoutes))
            continue;
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
    if (asksAgain)
        this->askAgents(key, *flow.search);
    if (!asksAgain || flow.search->isAnsweredByAll())
        this->sendFinds(key, flow);
    this->searchTimers.emplace(this->clock.now() + this->options.searchStageTimeout, key);
}

void EntryRouter::askAgents(const FlowKey& key, HolderSearch& search)
{
    ++search.askRounds;
    const TimePoint now = this->clock.now();
    uint64_t asked = 0;
    for (HolderSearch::Target& target : search.targets) {
        const auto unsure = this->unsureUntil.find(target.agent);
        if (unsure != this->unsureUntil.end() && now < unsure->second) {
            target.agentIsUnsure = true;
            continue;
        }
        this->queuedAsks[target.agent].push_back(key);
        ++asked;
    }
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", asked }, { "with", "question" },
            { "directory", this->directoryRevision } });
}

// Sends to the preferred upstreams first, then to all others or, at the rate limit, to none: denials of only some
// would not show that the flow is lost.
void EntryRouter::sendFinds(const FlowKey& key, Flow& flow)
{
    HolderSearch& search = *flow.search;
    const bool isFirst = std::none_of(search.targets.begin(), search.targets.end(),
        [](const HolderSearch::Target& target) { return target.packetSent; });
    std::vector<HolderSearch::Target*> receivers;
    for (HolderSearch::Target& target : search.targets) {
        if (!target.packetSent && !target.denied && (!isFirst || receivers.size() < this->options.preferredUpstreams))
            receivers.push_back(&target);
    }
    if (!this->tryTakeFindTokens(receivers.size() * (hopHeaderBytes + search.packet.size()))) {
        ++this->counts.findsLimited;
        return;
    }
    logEvent(Event::PacketHolderSought,
        { { "flow", toString(key) }, { "asked", static_cast<uint64_t>(receivers.size()) }, { "with", "packet" },
            { "directory", this->directoryRevision } });
    this->counts.findCopies += receivers.size();
    for (HolderSearch::Target* target : receivers) {
        target->packetSent = true;
        this->sendPacket(target->agent, HopKind::Find, key, flow.service, search.packet);
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
            this->hooks.sendHop(agent, message);
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

bool EntryRouter::tryTakeFindTokens(size_t bytes)
{
    const TimePoint now = this->clock.now();
    const double seconds = std::chrono::duration<double>(now - this->findTokensUpdated).count();
    this->findTokensUpdated = now;
    this->findTokens
        = std::min(this->options.findBytesPerSecond, this->findTokens + seconds * this->options.findBytesPerSecond);
    if (this->findTokens < static_cast<double>(bytes))
        return false;
    this->findTokens -= static_cast<double>(bytes);
    return true;
}

//-----------------------------------------------------------------------------
// Messages of agents
//-----------------------------------------------------------------------------

void EntryRouter::onHop(PacketAddress agent, const HopMessage& message, const Packet* packet)
{
    const FlowKey key = packet ? packet->flowKeyFromClient() : message.flow;
    this->unansweredSince.erase(agent);
    this->lastReplies[agent] = this->clock.now();
    this->updateLoad(agent, message);
    switch (message.kind) {
    case HopKind::Accepted:
        this->onAccepted(key, agent, message);
        break;
    case HopKind::Refused:
        if (packet)
            this->onRefused(key, agent, message);
        break;
    case HopKind::Holds:
        if (Flow* flow = this->flows.find(key); flow && flow->holder != agent)
            this->setHolder(key, *flow, agent);
        break;
    case HopKind::NotHeld:
        this->onNotHeld(key, agent, message);
        break;
    case HopKind::Gone:
        this->onGone(key, agent, message);
        break;
    case HopKind::Known:
        this->onKnown(agent, message.flowKeys);
        break;
    case HopKind::Unsure:
        this->onUnsure(agent, message.flowKeys);
        break;
    case HopKind::Denied:
        for (const FlowKey& denied : message.flowKeys) {
            if (Flow* flow = this->flows.find(denied); flow && !flow->holder)
                this->onDenied(denied, *flow, agent);
        }
        break;
    case HopKind::Load:
    case HopKind::Offer:
    case HopKind::Forward:
    case HopKind::Find:
    case HopKind::Ask:
        break;
    }
}

void EntryRouter::updateLoad(PacketAddress agent, const HopMessage& message)
{
    const auto upstream = this->upstreamByAgent.find(agent);
    if (upstream == this->upstreamByAgent.end())
        return;
    this->placement.onReply(upstream->second);
    this->placement.onLoad(
        upstream->second, { message.runningRequests, message.slots, message.waitingRequests, message.heldFlows });
}

void EntryRouter::onAccepted(const FlowKey& key, PacketAddress agent, const HopMessage& message)
{
    Flow* flow = this->flows.find(key);
    Offer* offer = flow ? this->findOffer(*flow, agent) : nullptr;
    if (!offer)
        return;
    offer->state = OfferState::Accepted;
    offer->upstreamSequence = message.upstreamSequence;
    // Packets of the client may have arrived before this message.
    if (flow->waiting.empty() || flow->lastAcknowledgement != offer->upstreamSequence + 1)
        return;
    this->setHolder(key, *flow, agent);
}

void EntryRouter::onRefused(const FlowKey& key, PacketAddress agent, const HopMessage& message)
{
    ++this->counts.refusedOffers;
    Flow* flow = this->flows.find(key);
    Offer* offer = flow && !flow->holder ? this->findOffer(*flow, agent) : nullptr;
    if (!offer)
        return;
    offer->state = OfferState::Refused;
    if (message.refusal != HopRefusal::UpstreamBusy)
        this->placement.onDraining(offer->upstream); // excluded for downRetryDelay
    if (this->offerToNextUpstream(key, *flow, nameOf(message.refusal)))
        return;
    const bool allRefused = std::all_of(
        flow->offers.begin(), flow->offers.end(), [](const Offer& item) { return item.state == OfferState::Refused; });
    if (allRefused && !this->hasProvisionalRoutes)
        this->refuseFlow(key, 0, nameOf(message.refusal));
}

void EntryRouter::onNotHeld(const FlowKey& key, PacketAddress agent, const HopMessage& message)
{
    ++this->counts.notHeld;
    Flow* flow = this->flows.find(key);
    if (!flow)
        return;
    if (!flow->holder) {
        this->onDenied(key, *flow, agent);
    } else if (flow->holder != agent) {
        if (!message.packet.empty())
            this->forward(key, *flow, message.packet);
    } else {
        logEvent(Event::PacketHolderLost, { { "flow", toString(key) }, { "agent", toString(agent) } });
        flow->holder.reset();
        // A denial without the packet is late or of an upstream that is down: the next packet of the client starts a
        // search.
        if (!message.packet.empty())
            this->startSearch(key, *flow, message.packet, agent);
    }
}

// Once every upstream that may hold the flow has denied it, no upstream holds it.
void EntryRouter::onDenied(const FlowKey& key, Flow& flow, PacketAddress agent)
{
    HolderSearch::Target* target = flow.search ? flow.search->find(agent) : nullptr;
    if (target && !std::exchange(target->denied, true))
        this->onSearchAnswer(key, flow);
}

void EntryRouter::onSearchAnswer(const FlowKey& key, Flow& flow)
{
    if (flow.search->isDeniedByAll())
        this->endFailedSearch(key, flow);
    else if (flow.search->isAnsweredByAll() && !flow.search->awaitsUpstreamReply() && !flow.search->isPacketSentToAll())
        this->sendFinds(key, flow);
}

void EntryRouter::endFailedSearch(const FlowKey& key, Flow& flow)
{
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

// The upstream has lost the flow.
void EntryRouter::onGone(const FlowKey& key, PacketAddress agent, const HopMessage& message)
{
    Flow* flow = this->flows.find(key);
    if (flow && (!flow->holder || flow->holder == agent))
        this->resetLostFlow(key, *flow, nameOf(message.refusal));
}

// No upstream holds the flow: the reset lets the client retry at once instead of waiting for its timeout.
void EntryRouter::resetLostFlow(const FlowKey& key, const Flow& flow, std::string_view cause)
{
    ++this->counts.resets;
    logEvent(Event::PacketFlowLost,
        { { "flow", toString(key) }, { "cause", cause }, { "directory", this->directoryRevision } });
    const uint32_t sequence = flow.lastAcknowledgement;
    this->flows.erase(key);
    this->hooks.sendReset(key, sequence);
}

//-----------------------------------------------------------------------------
// Timers
//-----------------------------------------------------------------------------

void EntryRouter::onTick()
{
    const TimePoint now = this->clock.now();
    this->placement.onTick();
    this->expirePendingOffers();
    this->processSearchTimers();
    this->flushAsks();
    this->updateIsolation();
    while (!this->buffered.empty() && now - this->buffered.front().received > this->options.maxBufferTime) {
        ++this->counts.dropped;
        this->bufferedBytes -= this->buffered.front().bytes.size();
        this->buffered.pop_front();
    }
    this->flows.expire(now - this->options.flowIdleTimeout);
    std::erase_if(this->loadReporters, [&](const auto& item) { return now - item.second > loadSubscriptionDuration; });
    std::erase_if(this->unsureUntil, [now](const auto& item) { return item.second <= now; });
}

// Offers flows to another upstream if the first one has not replied in time.
void EntryRouter::expirePendingOffers()
{
    const TimePoint now = this->clock.now();
    while (!this->pendingOffers.empty() && this->pendingOffers.front().due <= now) {
        const PendingOffer item = this->pendingOffers.front();
        this->pendingOffers.pop_front();
        Flow* flow = this->flows.find(item.flow);
        if (!flow || flow->holder)
            continue;
        const auto offer = std::find_if(flow->offers.begin(), flow->offers.end(),
            [&](const Offer& candidate) { return candidate.upstream == item.upstream; });
        if (offer == flow->offers.end() || offer->state != OfferState::Pending)
            continue;
        offer->state = OfferState::TimedOut;
        ++this->counts.offerTimeouts;
        this->placement.onFailure(item.upstream);
        this->offerToNextUpstream(item.flow, *flow, "silent");
    }
}

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
        if (lacksAnswers && !flow->search->isPacketSentToAll()) {
            this->continueSearch(key, *flow);
            continue;
        }
        this->abandonSearch(key, *flow);
    }
}

// Some upstream that may hold the flow did not answer: the next packet of the client may start another search.
void EntryRouter::abandonSearch(const FlowKey& key, Flow& flow)
{
    if (flow.search && !std::exchange(flow.search->isAbandoned, true)) {
        const size_t mayReturn = flow.search->countSilent(Listing::MayReturn);
        this->hasUnresolvedRemoval = this->hasUnresolvedRemoval || mayReturn > 0;
        logEvent(Event::PacketHolderNotFound,
            { { "flow", toString(key) }, { "silent", static_cast<uint64_t>(flow.search->countSilent(Listing::Listed)) },
                { "silent-may-return", static_cast<uint64_t>(mayReturn) },
                { "dropped", static_cast<uint64_t>(flow.waiting.size()) }, { "directory", this->directoryRevision } });
    }
    this->counts.dropped += flow.waiting.size();
    flow.waiting.clear();
}

} // namespace wasabicroft
