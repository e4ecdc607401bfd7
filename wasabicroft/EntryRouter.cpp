#include "wasabicroft/EntryRouter.h"

#include "wasabicroft/Log.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabicroft {

namespace {

    // Upper limit of the candidates of a flow; above the number of upstreams that it is offered to.
    constexpr size_t maxRankedCandidates = 8;

    PlacementOptions placementOptions(
        const EntryRouterOptions& options, std::mt19937_64& random, const ColdUpstreams& coldUpstreams)
    {
        PlacementOptions placement;
        placement.failureDomain = options.failureDomain;
        placement.maxCandidates = maxRankedCandidates;
        placement.maxWaitUpstreams = 0;
        placement.remotePenalty = options.remotePenalty;
        placement.connectionCost = options.connectionCost;
        placement.measuresConnectionCost = options.measuresConnectionCost;
        placement.weighsSpeed = options.weighsSpeed;
        placement.nonPreferredPenalty = options.nonPreferredPenalty;
        placement.preferredUpstreams = options.preferredUpstreams;
        placement.drainingRetryDelay = options.downRetryDelay;
        placement.rejoinDuration = options.rejoinDuration;
        placement.random = [&random] { return random(); };
        placement.coldStateOf = [&coldUpstreams](UpstreamId upstream) { return coldUpstreams.stateOf(upstream); };
        return placement;
    }

    bool isNamedBy(const Route& route, ServiceId service)
    {
        return std::any_of(route.shares.begin(), route.shares.end(),
            [service](const RouteShare& share) { return share.service == service; });
    }

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

EntryRouter::EntryRouter(EntryRouterOptions routerOptions, EntryRouterHooks routerHooks, const Clock& timeSource)
    : options(std::move(routerOptions))
    , hooks(std::move(routerHooks))
    , clock(timeSource)
    , random(this->options.seed)
    , coldUpstreams(timeSource)
    , placement(placementOptions(this->options, this->random, this->coldUpstreams), timeSource)
    , admission(this->options.admission)
    , overload(this->options.overload, timeSource)
    , directives(this->options.directives, timeSource)
    , flows(this->options.maxFlows)
    , hints(this->options.maxFlows)
    , linkBudget(this->options.link, timeSource)
{
}

//-----------------------------------------------------------------------------
// Routes and upstreams
//-----------------------------------------------------------------------------

void EntryRouter::setRoutes(std::shared_ptr<const RoutingTable> table, bool provisional)
{
    this->routes = std::move(table);
    this->hasProvisionalRoutes = provisional;
    this->coldUpstreams.setStated(this->routes->coldStarts);
    this->releaseBuffered();
}

void EntryRouter::setUpstreams(const UpstreamDirectory& directory)
{
    this->hasUpstreamList = directory.isLoaded();
    this->directoryIsComplete = directory.isComplete();
    this->directoryAwaitsPeers = directory.awaitsPeers();
    this->directoryRevision = directory.revision();
    std::set<ServiceId> services = directory.services();
    if (this->routes)
        services.merge(this->routes->services());
    this->hasUsableUpstream = false;
    this->holders.clear();
    this->listingByAgent.clear();
    this->upstreamByAgent.clear();
    this->agentByUpstream.clear();
    const std::map<PacketAddress, ListedUpstream> listedBefore = std::exchange(this->listedByAgent, {});
    this->usableAgents.clear();
    this->evacuatedServices.clear();
    this->evacuatedUpstreams.clear();
    std::erase_if(this->rejoinTimes,
        [this](const auto& item) { return this->clock.now() - item.second >= this->options.rejoinDuration; });
    std::map<std::string, size_t> failureDomains; // numbers by name
    const auto toCandidate = [&](const UpstreamRecord& record) {
        return HolderCandidate { record.id(), { record.address.address, this->options.agentPort },
            directory.listingOf(record),
            failureDomains.emplace(record.failureDomain, failureDomains.size()).first->second };
    };
    for (const ServiceId service : services) {
        std::vector<PlacementUpstream> pool;
        bool isEvacuated = true;
        for (const UpstreamRecord& record : directory.usable(service)) {
            const HolderCandidate target = toCandidate(record);
            PlacementUpstream item { target.upstream, record.failureDomain, record.slots.value_or(0),
                this->isEvacuated(record), std::nullopt };
            if (const auto rejoin = this->rejoinTimes.find(record.failureDomain); rejoin != this->rejoinTimes.end())
                item.rejoinedAt = rejoin->second;
            if (item.leaving)
                this->evacuatedUpstreams.insert(item.id);
            isEvacuated = isEvacuated && item.leaving;
            pool.push_back(std::move(item));
            this->usableAgents.insert(target.agent);
            this->upstreamByAgent[target.agent] = target.upstream; // takes precedence over those that only hold flows
        }
        // An entry whose upstreams are all evacuated stays ready: open flows need it, and refusals are to be quick.
        this->hasUsableUpstream = this->hasUsableUpstream || !pool.empty();
        if (isEvacuated && !pool.empty())
            this->evacuatedServices.insert(service);
        assumeSlots(pool);
        this->placement.setPool(service, std::move(pool));
        for (const UpstreamRecord& record : directory.possibleHolders(service)) {
            const HolderCandidate target = toCandidate(record);
            this->holders[service].push_back(target);
            Listing& listing = this->listingByAgent.emplace(target.agent, target.listing).first->second;
            listing = std::min(listing, target.listing);
            this->agentByUpstream[target.upstream] = target.agent;
            this->upstreamByAgent.emplace(target.agent, target.upstream);
        }
    }
    std::erase_if(
        this->unansweredSince, [this](const auto& item) { return !this->listingByAgent.contains(item.first); });
    for (const UpstreamRecord& record : directory.allListed()) {
        const UpstreamRecord* current = directory.listedAt(record.address);
        if (current && current->name == record.name)
            this->listedByAgent[toCandidate(record).agent]
                = { record.service, record.figures(), record.failureDomain, record.id(), record.name };
    }
    this->coldUpstreams.setRecords(directory.allListed());
    this->hasOutdatedRefreshes = true;
    this->announceDrains(directory, listedBefore);
    this->releaseBuffered();
}

// An agent keeps what its upstream publishes for entries that start while the store is away, but hears of a drain only
// with the next packet for its upstream: it is told at once.
void EntryRouter::announceDrains(
    const UpstreamDirectory& directory, const std::map<PacketAddress, ListedUpstream>& before)
{
    for (const UpstreamRecord& record : directory.allListed()) {
        const PacketAddress agent { record.address.address, this->options.agentPort };
        const auto known = before.find(agent);
        const bool wasReady = known != before.end() && known->second.figures && !known->second.figures->draining;
        const auto stated = this->listedByAgent.find(agent);
        const bool isStated = stated != this->listedByAgent.end() && stated->second.figures == record.figures();
        if (!wasReady || !record.draining || !isStated)
            continue;
        HopMessage message;
        message.kind = HopKind::Ask;
        message.service = record.service;
        message.upstream = record.figures();
        this->sendHop(agent, message);
    }
}

void EntryRouter::setPeers(std::vector<PacketAddress> entries)
{
    this->hasOutdatedRefreshes = this->hasOutdatedRefreshes || entries != this->peers;
    this->peers = std::move(entries);
    this->coldUpstreams.setEntryCount(this->peers.size() + 1);
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

void EntryRouter::onDelegatedPacket(PacketAddress entry, const Packet& packet, Bytes bytes)
{
    if (packet.syn || !this->routes || !this->hasUpstreamList || this->hasProvisionalRoutes) {
        ++this->counts.dropped;
        return;
    }
    ++this->counts.delegatedByOthers;
    const FlowKey key = packet.flowKeyFromClient();
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.delegator = entry;
    this->routePacket(packet, bytes, this->clock.now());
    // The flow may be gone by now.
    if (Flow* routed = this->flows.find(key); routed && routed->holder)
        this->reportToDelegator(key, *routed);
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
        this->openFlow(packet.flowKeyFromClient(), packet, bytes);
    else
        this->onFlowPacket(packet.flowKeyFromClient(), packet, bytes);
}

//-----------------------------------------------------------------------------
// New flows
//-----------------------------------------------------------------------------

void EntryRouter::openFlow(const FlowKey& key, const Packet& packet, Bytes syn)
{
    const Route* route = this->routes->find(key.route);
    if (!route) {
        this->refuseFlow(key, 0, "no-route");
        return;
    }
    this->forgetEarlierFlow(key, packet);
    this->hints.erase(key); // of an earlier flow, or a copy of the SYN came late
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.sequences.onClientPacket(packet);
    if (flow.holder) {
        // A late copy of the SYN: the holder gives the same answer again. An upstream that lost the flow meanwhile
        // would open another one.
        const bool isNamed = isNamedBy(*route, flow.service);
        if (isNamed)
            this->sendPacket(*flow.holder, HopKind::Offer, key, flow.service, syn);
        this->counts.dropped += isNamed ? 0 : 1;
        return;
    }
    // A late copy, too: the client has got an answer to its SYN and used the flow.
    if (this->isInUse(flow)) {
        ++this->counts.dropped;
        return;
    }
    const bool isNew = flow.syn.empty() && !flow.lastUse; // only its SYN was seen here
    if (flow.syn.empty()) {
        flow.service = chooseService(*route, this->random);
        flow.serviceVersion = this->routes->version;
        flow.syn = copyOf(syn);
    }
    this->updateService(key, flow);
    for (Offer& offer : flow.offers) {
        if (offer.state == OfferState::Accepted && offer.service == flow.service) {
            this->sendOffer(key, flow, offer);
            return;
        }
    }
    // A copy of the SYN starts a new round of offers.
    std::erase_if(flow.offers, [](const Offer& offer) { return offer.state == OfferState::Refused; });
    if (offersInRound(flow) >= this->options.maxOffersPerSyn)
        ++flow.offerRound;
    const std::vector<UpstreamId> candidates = this->candidatesOf(key, flow);
    if (isNew && this->refusesForOverload(key, candidates, packet)) {
        this->refuseFlow(key, 0, nameOf(OverloadCause::Overloaded));
        return;
    }
    if (this->offerToNextOf(candidates, key, flow, "open") || this->hasProvisionalRoutes)
        return;
    // An upstream that got an earlier copy before the order may have opened the flow.
    const bool mayBeOpen = std::any_of(flow.offers.begin(), flow.offers.end(),
        [this](const Offer& offer) { return this->evacuatedUpstreams.contains(offer.upstream); });
    if (mayBeOpen) {
        ++this->counts.dropped;
        return;
    }
    if (this->evacuatedServices.contains(flow.service))
        ++this->counts.refusedEvacuated;
    this->refuseFlow(key, 0, this->causeWithoutUpstream(flow.service));
}

std::string_view EntryRouter::causeWithoutUpstream(ServiceId service) const
{
    return this->evacuatedServices.contains(service) ? "evacuated" : "no-upstream";
}

// The upstreams that the flow may go to. Under overload, those that can answer in time come first.
std::vector<UpstreamId> EntryRouter::candidatesOf(const FlowKey& key, const Flow& flow)
{
    std::vector<UpstreamId> candidates = this->placement.candidates(flow.service, FlowKeyHash()(key));
    this->demoteLate(key, candidates);
    return candidates;
}

// Among the upstreams that the flow would be offered to.
void EntryRouter::demoteLate(const FlowKey& key, std::vector<UpstreamId>& candidates) const
{
    const size_t offered = std::min(candidates.size(), this->options.maxOffersPerSyn);
    std::stable_partition(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(offered),
        [&](UpstreamId candidate) { return !this->isTooLate(key, candidate); });
}

bool EntryRouter::isTooLate(const FlowKey& key, UpstreamId upstream) const
{
    const Route* route = this->routes->find(key.route);
    return route && route->limits
        && this->admission.isTooLate(*route->limits, this->placement.expectedAnswer(upstream));
}

// Whether none of the upstreams that a new flow would be offered to can answer in time.
bool EntryRouter::areAllTooLate(const FlowKey& key, const std::vector<UpstreamId>& candidates) const
{
    return !this->hasProvisionalRoutes && !candidates.empty()
        && this->isTooLate(key, candidates.front()); // those in time would come first
}

// Whether a new flow is refused because none of the upstreams that it would be offered to can answer in time. Only the
// first copy of a SYN: another entry may have offered an earlier one to an upstream that accepted it.
bool EntryRouter::refusesForOverload(const FlowKey& key, const std::vector<UpstreamId>& candidates, const Packet& syn)
{
    if (syn.acknowledgement > 0 || !this->areAllTooLate(key, candidates))
        return false;
    this->lastLateFlow = this->clock.now();
    this->lastExpectedAnswer = Milliseconds::max();
    for (size_t i = 0; i < std::min(candidates.size(), this->options.maxOffersPerSyn); ++i)
        this->lastExpectedAnswer = std::min(this->lastExpectedAnswer, *this->placement.expectedAnswer(candidates[i]));
    if (!this->admission.tryRefuse(key.route))
        return false;
    this->refusedFlows.add(key.route, OverloadCause::Overloaded);
    return true;
}

// The client uses its port again: the upstream of the earlier flow may drain by now, and its offers are of another SYN.
void EntryRouter::forgetEarlierFlow(const FlowKey& key, const Packet& syn)
{
    const Flow* flow = this->flows.find(key);
    if (!flow || !flow->sequences.isOfOtherFlow(syn))
        return;
    logEvent(Event::PacketPortReused,
        { { "flow", toString(key) }, { "agent", flow->holder ? toString(*flow->holder) : std::string("none") },
            { "offers", static_cast<uint64_t>(flow->offers.size()) }, { "directory", this->directoryRevision } });
    const bool wasSought = !flow->holder;
    this->flows.erase(key);
    if (wasSought)
        this->flows.findOrInsert(key, this->clock.now()).deniableSince
            = this->clock.now() + this->options.lateDenialTime;
}

ServiceId EntryRouter::chooseService(const Route& route, std::mt19937_64& random)
{
    uint64_t total = 0;
    for (const RouteShare& share : route.shares)
        total += share.weight;
    uint64_t draw = total > 1 ? random() % total : 0;
    for (const RouteShare& share : route.shares) {
        if (draw < share.weight)
            return share.service;
        draw -= share.weight;
    }
    return route.shares.front().service;
}

// The route may have changed since the service of the flow was chosen: chooses another one if the route does not name
// it any more. Returns false if the flow has no route.
bool EntryRouter::updateService(const FlowKey& key, Flow& flow)
{
    const Route* route = this->routes->find(key.route);
    if (!route)
        return false;
    if (isNamedBy(*route, flow.service))
        return true;
    flow.service = chooseService(*route, this->random);
    flow.serviceVersion = this->routes->version;
    ++flow.offerRound; // earlier offers may still be answered
    return true;
}

// Offers the flow to the best upstream that it was not offered to in this round. Returns false if there is none.
bool EntryRouter::offerToNextUpstream(const FlowKey& key, Flow& flow, std::string_view cause)
{
    return this->updateService(key, flow) && offersInRound(flow) < this->options.maxOffersPerSyn
        && this->offerToNextOf(this->candidatesOf(key, flow), key, flow, cause);
}

bool EntryRouter::offerToNextOf(
    const std::vector<UpstreamId>& candidates, const FlowKey& key, Flow& flow, std::string_view cause)
{
    for (const UpstreamId candidate : candidates) {
        const auto agent = this->agentByUpstream.find(candidate);
        const auto earlier = std::find_if(
            flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) { return offer.upstream == candidate; });
        const bool isAlreadyOffered = earlier != flow.offers.end() && earlier->round == flow.offerRound;
        if (isAlreadyOffered || agent == this->agentByUpstream.end())
            continue;
        if (earlier != flow.offers.end())
            flow.offers.erase(earlier);
        flow.offers.push_back(
            { candidate, agent->second, flow.service, OfferState::Pending, this->clock.now(), 0, flow.offerRound });
        logEvent(Event::PacketFlowOffered,
            { { "flow", toString(key) }, { "service", flow.service }, { "upstream", candidate },
                { "agent", toString(agent->second) }, { "cause", cause },
                { "attempt", static_cast<uint64_t>(offersInRound(flow)) },
                { "candidates", static_cast<uint64_t>(candidates.size()) },
                { "occupied", this->placement.utilization(flow.service, candidate) },
                { "speed", this->placement.speed(flow.service, candidate) },
                { "answer-ms", this->placement.expectedAnswer(candidate).value_or(Milliseconds(-1)) },
                { "load-age-ms", this->placement.loadAge(candidate) }, { "routes", this->routes->version },
                { "chosen-by", flow.serviceVersion }, { "directory", this->directoryRevision } });
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
        this->coldUpstreams.onOffered(offer.upstream);
        this->pendingOffers.push_back({ key, offer.upstream, this->clock.now() + this->options.offerTimeout });
    }
    this->sendPacket(offer.agent, HopKind::Offer, key, flow.service, flow.syn);
}

// Every message counts against the share of the link that is left for searches. chargedBytes of it did already.
void EntryRouter::sendHop(PacketAddress agent, const HopMessage& message, size_t chargedBytes)
{
    const size_t bytes = encodedBytes(message) + datagramHeaderBytes - chargedBytes;
    if (message.kind == HopKind::Find || message.kind == HopKind::Ask || message.kind == HopKind::Search) {
        this->counts.searchBytes += bytes;
        this->linkBudget.onSearchMessage(bytes);
    } else {
        this->linkBudget.onMessage(bytes);
    }
    this->hooks.sendHop(agent, message);
}

HopMessage EntryRouter::makeMessage(
    PacketAddress agent, HopKind kind, const FlowKey& key, ServiceId service, Bytes bytes) const
{
    HopMessage message;
    message.kind = kind;
    message.service = service;
    message.packet = bytes;
    if (const Route* route = this->routes->find(key.route))
        message.limits = route->limits;
    if (const auto listed = this->listedByAgent.find(agent); listed != this->listedByAgent.end()) {
        message.upstream = listed->second.figures;
        // A flow may be open at an upstream of a service that its route no longer names.
        if (kind != HopKind::Offer)
            message.service = listed->second.service;
    }
    return message;
}

void EntryRouter::sendPacket(PacketAddress agent, HopKind kind, const FlowKey& key, ServiceId service, Bytes bytes)
{
    HopMessage message = this->makeMessage(agent, kind, key, service, bytes);
    if (kind == HopKind::Offer || kind == HopKind::Find)
        this->expectReply(agent);
    if (kind == HopKind::Offer) {
        this->sendDirectiveBeforeOffer(agent);
        message.loadInterval = this->addLoadReporter(agent);
    }
    this->sendHop(agent, message);
}

void EntryRouter::expectReply(PacketAddress agent)
{
    if (this->listingByAgent.contains(agent))
        this->unansweredSince.emplace(agent, this->clock.now());
}

// An entry that most agents don't reply to reports that it is not ready, so that other entries serve its clients.
void EntryRouter::updateIsolation()
{
    const TimePoint now = this->clock.now();
    std::erase_if(
        this->lastReplies, [&](const auto& item) { return now - item.second > this->options.agentSilenceTimeout; });
    // Only usable upstreams count: those that were removed may be gone with their agents.
    const size_t silent = static_cast<size_t>(
        std::count_if(this->unansweredSince.begin(), this->unansweredSince.end(), [&](const auto& item) {
            return now - item.second > this->options.agentSilenceTimeout && this->usableAgents.contains(item.first);
        }));
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
        this->sendHop(*agent, probe);
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

// A client sends other packets than SYNs only once an upstream has answered it, perhaps through another entry. Searches
// for the holder of such a flow come and go; a port may be used again later.
bool EntryRouter::isInUse(const Flow& flow) const
{
    return flow.lastUse && this->clock.now() - *flow.lastUse < this->options.searchWindow;
}

EntryRouter::Offer* EntryRouter::findOffer(Flow& flow, PacketAddress agent)
{
    const auto found = std::find_if(
        flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) { return offer.agent == agent; });
    return found == flow.offers.end() ? nullptr : &*found;
}

size_t EntryRouter::offersInRound(const Flow& flow)
{
    return static_cast<size_t>(std::count_if(
        flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) { return offer.round == flow.offerRound; }));
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
    // The client may use its port again for a flow that opened through another entry. The holder may be right all the
    // same: the flow may have gone on there.
    if (flow.sequences.isOfOtherFlow(packet)) {
        flow.sequences = FlowSequences();
        flow.returnedBy.clear();
        flow.deniableSince = this->clock.now() + this->options.lateDenialTime;
        flow.search.reset();
        this->counts.dropped += std::exchange(flow.waiting, {}).size();
        if (flow.holder)
            this->forgetHolder(key, flow, "other-flow");
    }
    flow.sequences.onClientPacket(packet);
    if (packet.ack)
        flow.lastAcknowledgement = packet.acknowledgement;
    if (!flow.holder) {
        if (const Offer* offer = this->acceptedOffer(flow, packet.acknowledgement))
            this->setHolder(key, flow, offer->agent);
    }
    if (flow.holder) {
        this->forward(key, flow, bytes);
        return;
    }
    if (!this->isInUse(flow))
        flow.searchedSince.reset();
    flow.lastUse = this->clock.now();
    if (flow.delegatedUntil && this->clock.now() < *flow.delegatedUntil && this->canDelegate(flow))
        this->sendToDelegate(bytes);
    else
        this->startSearch(key, flow, bytes, std::nullopt);
}

// The offer whose SYN+ACK the client acknowledged. Several upstreams may accept copies of one SYN, also through other
// entries: the first packet of the client after the handshake decides between them.
const EntryRouter::Offer* EntryRouter::acceptedOffer(const Flow& flow, uint32_t acknowledgement) const
{
    const auto accepted = std::find_if(flow.offers.begin(), flow.offers.end(), [&](const Offer& offer) {
        return offer.state == OfferState::Accepted && acknowledgement == offer.upstreamSequence + 1;
    });
    return accepted == flow.offers.end() ? nullptr : &*accepted;
}

void EntryRouter::setHolder(const FlowKey& key, Flow& flow, PacketAddress agent)
{
    flow.holder = agent;
    this->hints.erase(key);
    flow.syn.clear();
    flow.offers.clear();
    flow.search.reset();
    flow.searchedSince.reset();
    flow.returnedBy.clear();
    flow.searchesAll = false;
    flow.delegatedUntil.reset();
    this->reportToDelegator(key, flow);
    logEvent(Event::PacketHolderKnown, { { "flow", toString(key) }, { "agent", toString(agent) } });
    for (const std::vector<uint8_t>& bytes : std::exchange(flow.waiting, {}))
        this->forward(key, flow, bytes);
}

void EntryRouter::forward(const FlowKey& key, const Flow& flow, Bytes bytes)
{
    ++this->counts.forwarded;
    this->sendPacket(*flow.holder, HopKind::Forward, key, flow.service, bytes);
}

//-----------------------------------------------------------------------------
// Messages of agents
//-----------------------------------------------------------------------------

void EntryRouter::onHop(PacketAddress agent, const HopMessage& message, const Packet* packet)
{
    const FlowKey key = packet ? packet->flowKeyFromClient() : message.flow;
    if (message.kind == HopKind::Located) { // from an entry
        this->onLocated(agent, message.holder, message.flowKeys);
        return;
    }
    if (message.kind == HopKind::Ask) { // from an entry, too
        this->answerPeer(agent, message.flowKeys);
        return;
    }
    this->unansweredSince.erase(agent);
    this->lastReplies[agent] = this->clock.now();
    this->updateLoad(agent, message);
    switch (message.kind) {
    case HopKind::Accepted:
        this->onAccepted(key, agent, message);
        break;
    case HopKind::Refused:
        if (packet)
            this->onRefused(key, agent, message, *packet);
        break;
    case HopKind::Holds:
        if (Flow* flow = this->flows.find(key); flow && flow->holder != agent)
            this->setHolder(key, *flow, agent);
        break;
    case HopKind::NotHeld:
        this->onNotHeld(key, agent, message, packet);
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
                this->onDenied(denied, *flow, agent, message.refusal);
        }
        break;
    case HopKind::Located:
    case HopKind::Delegate:
    case HopKind::Load:
    case HopKind::Offer:
    case HopKind::Forward:
    case HopKind::Find:
    case HopKind::Ask:
    case HopKind::Search:
    case HopKind::Directive:
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
    if (message.performance)
        this->placement.onPerformance(upstream->second, *message.performance);
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

void EntryRouter::onRefused(const FlowKey& key, PacketAddress agent, const HopMessage& message, const Packet& syn)
{
    ++this->counts.refusedOffers;
    Flow* flow = this->flows.find(key);
    const bool isOpening = flow && !flow->holder && !flow->sequences.isOfOtherFlow(syn);
    Offer* offer = isOpening ? this->findOffer(*flow, agent) : nullptr;
    if (!offer)
        return;
    offer->state = OfferState::Refused;
    if (this->isInUse(*flow))
        return;
    if (message.refusal != HopRefusal::UpstreamBusy)
        this->placement.onDraining(offer->upstream); // excluded for downRetryDelay
    if (this->offerToNextUpstream(key, *flow, nameOf(message.refusal)))
        return;
    const bool allRefused = std::all_of(
        flow->offers.begin(), flow->offers.end(), [](const Offer& item) { return item.state == OfferState::Refused; });
    if (allRefused && !this->hasProvisionalRoutes)
        this->refuseFlow(key, 0, nameOf(message.refusal));
}

void EntryRouter::onNotHeld(const FlowKey& key, PacketAddress agent, const HopMessage& message, const Packet* packet)
{
    ++this->counts.notHeld;
    Flow* flow = this->flows.find(key);
    // A returned packet of a port's earlier flow says nothing of the present one.
    if (!flow || (packet && flow->sequences.isOfOtherFlow(*packet)))
        return;
    if (!flow->holder) {
        this->onDenied(key, *flow, agent, message.refusal);
    } else if (flow->holder != agent) {
        if (!message.packet.empty())
            this->forward(key, *flow, message.packet);
    } else {
        this->forgetHolder(key, *flow, "not-held");
        // A denial without the packet is late or of an upstream that is down: the next packet of the client starts a
        // search.
        if (!message.packet.empty())
            this->startSearch(key, *flow, message.packet, agent);
    }
}

void EntryRouter::forgetHolder(const FlowKey& key, Flow& flow, std::string_view cause)
{
    logEvent(Event::PacketHolderLost,
        { { "flow", toString(key) }, { "agent", toString(*flow.holder) }, { "cause", cause } });
    flow.holder.reset();
}

// The upstream has lost the flow, unless the agent means an earlier flow of the same ends.
void EntryRouter::onGone(const FlowKey& key, PacketAddress agent, const HopMessage& message)
{
    Flow* flow = this->flows.find(key);
    if (!flow || (flow->holder && flow->holder != agent))
        return;
    SequenceRange upstream;
    if (message.upstreamSequence != 0)
        upstream.add(message.upstreamSequence);
    if (upstream.isNear(flow->lastAcknowledgement))
        this->resetLostFlow(key, *flow, nameOf(message.refusal));
    else if (flow->holder)
        this->forgetHolder(key, *flow, "other-flow"); // the next packet of the client starts a search
    else
        this->onDenied(key, *flow, agent, message.refusal);
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
    this->logShedSearches();
    this->directives.onTick();
    this->sendQueuedDirectives();
    this->updateOverload();
    while (!this->buffered.empty() && now - this->buffered.front().received > this->options.maxBufferTime) {
        ++this->counts.dropped;
        this->bufferedBytes -= this->buffered.front().bytes.size();
        this->buffered.pop_front();
    }
    this->flows.expire(now - this->options.flowIdleTimeout);
    this->hints.expire(now - this->options.flowIdleTimeout);
    std::erase_if(this->loadReporters, [&](const auto& item) { return now - item.second > loadSubscriptionDuration; });
    std::erase_if(this->unsureUntil, [now](const auto& item) { return item.second <= now; });
}

void EntryRouter::updateOverload()
{
    const bool isLate = this->lastLateFlow && this->clock.now() - *this->lastLateFlow <= this->options.lateFlowInterval;
    if (!this->overload.update(isLate))
        return;
    logEvent(this->overload.isOverloaded() ? Event::PacketEntryOverloaded : Event::PacketEntryOverloadEnded,
        { { "expected-ms", this->lastExpectedAnswer }, { "routes", this->routesVersion() },
            { "directory", this->directoryRevision } });
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
        if (!this->isInUse(*flow))
            this->offerToNextUpstream(item.flow, *flow, "silent");
    }
}

} // namespace wasabicroft
