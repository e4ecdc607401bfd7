#include "wasabicroft/Presence.h"

#include "Presence_generated.h"

#include <algorithm>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

namespace {

    wire::Address toWire(PacketAddress address) { return { address.address, address.port }; }

    PacketAddress fromWire(const wire::Address* address)
    {
        return address ? PacketAddress { address->address(), address->port() } : PacketAddress();
    }

    constexpr uint32_t unknownAge = UINT32_MAX;

    uint32_t toWire(std::optional<Milliseconds> age)
    {
        return age ? static_cast<uint32_t>(std::clamp<int64_t>(age->count(), 0, unknownAge - 1)) : unknownAge;
    }

    std::optional<Milliseconds> fromWire(uint32_t age)
    {
        return age == unknownAge ? std::nullopt : std::optional(Milliseconds(age));
    }

    constexpr Milliseconds silenceUnit { 50 };

    uint8_t toWire(const EntryMention& entry)
    {
        const int64_t units = (entry.silence + silenceUnit - Milliseconds(1)) / silenceUnit;
        return static_cast<uint8_t>(std::min<int64_t>(units, UINT8_MAX));
    }

    std::vector<EntryMention> fromWire(
        const flatbuffers::Vector<uint32_t>* addresses, const flatbuffers::Vector<uint8_t>* silences)
    {
        std::vector<EntryMention> entries;
        for (flatbuffers::uoffset_t i = 0; addresses && silences && i < std::min(addresses->size(), silences->size());
             ++i)
            entries.push_back({ addresses->Get(i), silenceUnit * silences->Get(i) });
        return entries;
    }

    AgentPresence fromWire(const wire::AgentPresence& agent)
    {
        AgentPresence presence;
        presence.agent = fromWire(agent.agent());
        presence.service = { agent.service() };
        presence.failureDomain = agent.failure_domain() ? agent.failure_domain()->str() : "";
        presence.upstream = fromWire(agent.upstream());
        if (agent.routes()) {
            for (const wire::Address* route : *agent.routes())
                presence.routes.push_back(fromWire(route));
        }
        if (agent.slots() > 0)
            presence.figures = { agent.upstream_revision(), agent.slots(), agent.draining() };
        return presence;
    }

    // A position that no store can state, or names that no entry states, make the orders unknown: a part of the names
    // would withdraw the others.
    EvacuationOrders evacuationsFromWire(const wire::Presence& message)
    {
        EvacuationOrders orders;
        if (message.evacuation_position() == 0 || eraOf(message.evacuation_position()) > maxStoreEra)
            return {};
        orders.position = message.evacuation_position();
        if (!message.evacuated_domains())
            return orders;
        if (message.evacuated_domains()->size() > maxEvacuatedDomains)
            return {};
        for (const flatbuffers::String* domain : *message.evacuated_domains()) {
            if (!isDomainName(domain->string_view()))
                return {};
            orders.domains.insert(domain->str());
        }
        return orders;
    }

} // namespace

std::vector<uint8_t> encodePresence(const PresenceMessage& message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::AgentPresence>> agents;
    for (const AgentPresence& agent : message.agents) {
        std::vector<wire::Address> routes;
        for (const PacketAddress route : agent.routes)
            routes.push_back(toWire(route));
        const wire::Address self = toWire(agent.agent);
        const wire::Address upstream = toWire(agent.upstream);
        const UpstreamFigures figures = agent.figures.value_or(UpstreamFigures()); // no slots: not known
        agents.push_back(wire::CreateAgentPresenceDirect(builder, &self, agent.service.value,
            agent.failureDomain.c_str(), &upstream, &routes, figures.revision, figures.slots, figures.draining));
    }
    std::vector<uint32_t> entries;
    std::vector<uint8_t> silences;
    for (const EntryMention& entry : message.entries) {
        entries.push_back(entry.address);
        silences.push_back(toWire(entry));
    }
    std::vector<flatbuffers::Offset<flatbuffers::String>> domains;
    for (const std::string& domain : message.evacuations.domains)
        domains.push_back(builder.CreateString(domain));
    wire::FinishPresenceBuffer(builder,
        wire::CreatePresenceDirect(builder, message.fromEntry, message.reachesStore, message.routesVersion,
            revisionOf(message.directoryRevision), &entries, &agents, toWire(message.confirmationAges[0]),
            toWire(message.confirmationAges[1]), &silences, static_cast<uint8_t>(message.listState),
            eraOf(message.directoryRevision), message.evacuations.position, domains.empty() ? nullptr : &domains));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

bool isPresence(Bytes bytes)
{
    constexpr size_t minBytes = 8; // offset of the root table and file identifier
    return bytes.size() >= minBytes && wire::PresenceBufferHasIdentifier(bytes.data());
}

Result<PresenceMessage> decodePresence(Bytes bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!isPresence(bytes) || !wire::VerifyPresenceBuffer(verifier))
        return Error { ErrorKind::InvalidFrame, "the presence message is damaged; run one version on all hosts" };
    const wire::Presence& wireMessage = *wire::GetPresence(bytes.data());
    PresenceMessage message;
    message.fromEntry = wireMessage.from_entry();
    message.reachesStore = wireMessage.reaches_store();
    message.routesVersion = wireMessage.routes_version();
    if (wireMessage.store_era() > maxStoreEra || wireMessage.directory_revision() > maxStoreRevision)
        return Error { ErrorKind::InvalidFrame, "the presence message states no valid position of the store" };
    message.directoryRevision = storePosition(wireMessage.store_era(), wireMessage.directory_revision());
    message.confirmationAges
        = { fromWire(wireMessage.routes_confirmation_age_ms()), fromWire(wireMessage.directory_confirmation_age_ms()) };
    message.listState = static_cast<ListState>(
        std::min<uint8_t>(wireMessage.list_state(), static_cast<uint8_t>(ListState::Incomplete)));
    message.entries = fromWire(wireMessage.entries(), wireMessage.entry_silences());
    message.evacuations = evacuationsFromWire(wireMessage);
    if (wireMessage.agents()) {
        for (const wire::AgentPresence* agent : *wireMessage.agents())
            message.agents.push_back(fromWire(*agent));
    }
    return message;
}

//-----------------------------------------------------------------------------
// [SECTION] AgentAnnouncer
//-----------------------------------------------------------------------------

AgentAnnouncer::AgentAnnouncer(AnnouncerOptions announcerOptions, AgentPresence presence, const Clock& timeSource)
    : options(announcerOptions)
    , self(std::move(presence))
    , clock(timeSource)
    , started(timeSource.now())
    , nextMessageTime(timeSource.now())
{
}

void AgentAnnouncer::setService(ServiceId service)
{
    if (service == this->self.service)
        return;
    this->self.service = service;
    this->self.routes.clear();
    this->lastAnswers.clear();
    this->nextMessageTime = this->clock.now();
}

void AgentAnnouncer::setUpstreamFigures(const std::optional<UpstreamFigures>& figures)
{
    this->publishedFigures = figures;
    this->updateFigures();
}

void AgentAnnouncer::setEvacuated(bool isNowEvacuated)
{
    if (std::exchange(this->isEvacuated, isNowEvacuated) != isNowEvacuated)
        this->updateFigures();
}

// The drain of an evacuation is of no record. It states no revision, so that it never outweighs a record of the
// upstream at agents that hear of it.
void AgentAnnouncer::updateFigures()
{
    this->self.figures = this->publishedFigures;
    if (this->self.figures && this->isEvacuated && !this->self.figures->draining) {
        this->self.figures->draining = true;
        this->self.figures->revision = 0;
    }
    this->nextMessageTime = this->clock.now(); // entries that started without the store weigh upstreams by them
}

void AgentAnnouncer::onUpstreamAnswered(PacketAddress route)
{
    std::vector<PacketAddress>& routes = this->self.routes;
    const auto known = this->lastAnswers.find(route);
    if (known != this->lastAnswers.end())
        known->second = this->clock.now();
    if (routes.size() >= this->options.maxRoutes || std::find(routes.begin(), routes.end(), route) != routes.end())
        return;
    routes.push_back(route);
    this->lastAnswers[route] = this->clock.now();
    this->nextMessageTime = this->clock.now(); // entries that started without routes wait for it
}

void AgentAnnouncer::expireRoutes()
{
    std::erase_if(this->lastAnswers,
        [&](const auto& item) { return this->clock.now() - item.second > this->options.routeLifetime; });
    std::erase_if(this->self.routes, [&](PacketAddress route) { return !this->lastAnswers.contains(route); });
}

std::optional<PresenceMessage> AgentAnnouncer::takeMessage()
{
    const TimePoint now = this->clock.now();
    if (now < this->nextMessageTime)
        return std::nullopt;
    this->expireRoutes();
    const bool isStarting = now - this->started < this->options.startDuration;
    this->nextMessageTime = now + (isStarting ? this->options.startInterval : this->options.interval);
    PresenceMessage message;
    message.agents.push_back(this->self);
    return message;
}

//-----------------------------------------------------------------------------
// [SECTION] FleetView
//-----------------------------------------------------------------------------

FleetView::FleetView(FleetOptions fleetOptions, const Clock& timeSource)
    : options(fleetOptions)
    , clock(timeSource)
    , lastPoll(timeSource.now())
    , nextTarget(static_cast<size_t>(mixBits(fleetOptions.self)))
    , nextMessageTime(timeSource.now())
{
}

void FleetView::setSeeds(std::vector<uint32_t> addresses)
{
    this->seeds = std::move(addresses);
    std::erase(this->seeds, this->options.self);
}

void FleetView::onMessage(uint32_t sender, const PresenceMessage& message)
{
    const TimePoint now = this->clock.now();
    if (message.fromEntry) {
        this->entries[sender] = { now, now, message.reachesStore, message.directoryRevision };
        this->recordConfirmation(
            StoreTopic::Routes, message.routesVersion, this->routesVersion, message.confirmationAges[0]);
        this->recordConfirmation(
            StoreTopic::Upstreams, message.directoryRevision, this->directoryRevision, message.confirmationAges[1]);
        this->recordListState(sender, message.listState, message.directoryRevision);
        if (message.evacuations.position > this->evacuations.position)
            this->evacuations = message.evacuations;
    }
    for (const EntryMention& entry : message.entries)
        this->recordMention(entry);
    for (const AgentPresence& presence : message.agents) {
        KnownAgent& known = this->agents[presence.agent];
        this->changed = this->changed || known.lastReceived == TimePoint() || known.presence.service != presence.service
            || known.presence.routes != presence.routes || known.presence.figures != presence.figures;
        // An agent's own message takes precedence over what entries pass on about the agent.
        const bool isFromAgent = !message.fromEntry;
        if (isFromAgent || known.lastReceived == TimePoint() || presence.routes.size() > known.presence.routes.size())
            known.presence = presence;
        if (isFromAgent || known.lastReceived == TimePoint())
            known.lastReceived = now;
    }
}

void FleetView::recordListState(uint32_t sender, ListState state, uint64_t revision)
{
    if (state == ListState::Starting) {
        this->startingEntries.insert(sender);
        return;
    }
    this->peerListState = std::max(this->peerListState, std::optional(state));
    this->oldestPeerRevision = std::min(this->oldestPeerRevision, revision);
}

std::optional<ListState> FleetView::takePeerListState(uint64_t revision)
{
    const uint64_t oldest = std::exchange(this->oldestPeerRevision, UINT64_MAX);
    std::optional<ListState> state = std::exchange(this->peerListState, std::nullopt);
    if (state && eraOf(oldest) < eraOf(revision))
        state = ListState::Incomplete;
    return state;
}

// A mention keeps an entry known for as long as the entry itself sends messages to anyone.
void FleetView::recordMention(const EntryMention& mention)
{
    const TimePoint lastSent = this->lastPoll - mention.silence;
    if (mention.address == this->options.self || this->clock.now() - lastSent > this->options.silenceTimeout)
        return;
    KnownEntry& entry = this->entries[mention.address];
    entry.lastSent = std::max(entry.lastSent, lastSent);
}

std::vector<EntryMention> FleetView::mentions()
{
    std::vector<EntryMention> all;
    for (const auto& [address, entry] : this->entries)
        all.push_back({ address, std::chrono::ceil<Milliseconds>(this->clock.now() - entry.lastSent) });
    const size_t count = std::min(this->options.maxEntriesPerMessage, all.size());
    if (count > 0)
        std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(this->nextMention % all.size()), all.end());
    this->nextMention += count;
    all.resize(count);
    return all;
}

// A confirmation of an older state says nothing about the newest one.
void FleetView::recordConfirmation(
    StoreTopic topic, uint64_t announced, uint64_t& newest, std::optional<Milliseconds> age)
{
    std::optional<TimePoint>& confirmation = this->confirmations.at(static_cast<size_t>(topic));
    if (announced < newest)
        return;
    if (announced > newest)
        confirmation.reset();
    newest = announced;
    // The message may have waited in the socket while this process was paused.
    if (age)
        confirmation = std::max(confirmation.value_or(TimePoint::min()), this->lastPoll - *age);
}

void FleetView::expireSilent()
{
    const TimePoint oldest = this->clock.now() - this->options.silenceTimeout;
    std::erase_if(this->entries, [&](const auto& item) { return item.second.lastSent < oldest; });
    const size_t removed
        = std::erase_if(this->agents, [&](const auto& item) { return item.second.lastReceived < oldest; });
    this->changed = this->changed || removed > 0;
}

// Entries that get a message in this interval: the seeds and the known entries in turn.
std::vector<uint32_t> FleetView::nextTargets()
{
    std::vector<uint32_t> others = this->seeds;
    for (const auto& [entry, state] : this->entries) {
        if (std::find(others.begin(), others.end(), entry) == others.end())
            others.push_back(entry);
    }
    std::vector<uint32_t> targets;
    for (size_t i = 0; i < std::min(this->options.targetsPerInterval, others.size()); ++i)
        targets.push_back(others[(this->nextTarget + i) % others.size()]);
    this->nextTarget += this->options.targetsPerInterval;
    return targets;
}

std::pair<PresenceMessage, std::vector<uint32_t>> FleetView::takeMessage(const StoreCopy& copy)
{
    std::pair<PresenceMessage, std::vector<uint32_t>> result;
    const TimePoint now = this->clock.now();
    this->lastPoll = now;
    const bool hasNewerState = copy.routesVersion > this->sentRoutesVersion
        || copy.directoryRevision > this->sentDirectoryRevision
        || copy.evacuations.position > this->sentEvacuationPosition;
    const std::optional<TimePoint> confirmation = std::min(copy.confirmedAt[0], copy.confirmedAt[1]);
    const bool hasNewerConfirmation = confirmation
        && (!this->sentConfirmation || *confirmation - *this->sentConfirmation >= this->options.confirmationInterval);
    const bool isFull = now >= this->nextMessageTime || hasNewerState;
    std::set<uint32_t> targets = std::exchange(this->startingEntries, {});
    if (copy.listState == ListState::Starting)
        targets.clear(); // this entry has nothing to state
    if (!isFull && !hasNewerConfirmation && targets.empty())
        return result;
    if (isFull || hasNewerConfirmation) {
        this->sentConfirmation = confirmation;
        this->sentRoutesVersion = copy.routesVersion;
        this->sentDirectoryRevision = copy.directoryRevision;
        this->sentEvacuationPosition = copy.evacuations.position;
        this->expireSilent();
        const std::vector<uint32_t> next = this->nextTargets();
        targets.insert(next.begin(), next.end());
    }
    const bool isSettled = copy.isLoaded && !copy.awaitsPeers;
    if (isFull)
        this->nextMessageTime = now + (isSettled ? this->options.interval : this->options.startInterval);
    result.second.assign(targets.begin(), targets.end());
    PresenceMessage& message = result.first;
    message.listState = copy.listState;
    message.fromEntry = true;
    message.reachesStore = copy.reachesStore;
    message.routesVersion = copy.routesVersion;
    message.directoryRevision = copy.directoryRevision;
    message.evacuations = copy.evacuations;
    for (size_t i = 0; i < storeTopicCount; ++i) {
        if (copy.confirmedAt.at(i))
            message.confirmationAges.at(i) = std::chrono::ceil<Milliseconds>(now - *copy.confirmedAt.at(i));
    }
    if (isFull)
        message.entries = this->mentions();
    // An entry that has the state of the store gets the upstreams from there and passes no agents on.
    if (copy.isLoaded)
        return result;
    std::vector<const AgentPresence*> known;
    for (const auto& [address, agent] : this->agents)
        known.push_back(&agent.presence);
    for (size_t i = 0; i < std::min(this->options.maxAgentsPerMessage, known.size()); ++i)
        message.agents.push_back(*known[(this->nextAgent + i) % known.size()]);
    this->nextAgent += this->options.maxAgentsPerMessage;
    return result;
}

bool FleetView::isSentinel() const
{
    const TimePoint oldest = this->clock.now() - this->options.silenceTimeout;
    size_t preceding = 0;
    for (auto entry = this->entries.begin(); entry != this->entries.end() && entry->first < this->options.self;
         ++entry) {
        const bool reachesStore = entry->second.reachesStore && entry->second.lastReceived >= oldest;
        if (reachesStore && ++preceding == this->options.sentinelCount)
            return false;
    }
    return true;
}

std::optional<uint32_t> FleetView::entryWithNewerList(uint64_t revision) const
{
    const TimePoint oldest = this->clock.now() - this->options.silenceTimeout;
    std::optional<uint32_t> newest;
    std::pair<uint64_t, TimePoint> best { revision, TimePoint::max() };
    for (const auto& [address, entry] : this->entries) {
        const std::pair<uint64_t, TimePoint> candidate { entry.directoryRevision, entry.lastReceived };
        if (entry.lastReceived <= oldest || candidate <= best)
            continue;
        newest = address;
        best = candidate;
    }
    return newest;
}

std::vector<uint32_t> FleetView::knownEntries() const
{
    std::vector<uint32_t> addresses;
    addresses.reserve(this->entries.size());
    for (const auto& [address, entry] : this->entries)
        addresses.push_back(address);
    return addresses;
}

bool FleetView::takeChange() { return std::exchange(this->changed, false); }

std::shared_ptr<const RoutingTable> FleetView::provisionalRoutes() const
{
    const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
    for (const auto& [address, agent] : this->agents) {
        const ServiceId service = agent.presence.service;
        for (const PacketAddress routeAddress : agent.presence.routes) {
            Route& route = table->routes[routeAddress];
            route.address = routeAddress;
            const bool isKnown = std::any_of(route.shares.begin(), route.shares.end(),
                [&](const RouteShare& share) { return share.service == service; });
            if (!isKnown)
                route.shares.push_back({ service, 1 });
        }
    }
    return table;
}

std::vector<UpstreamRecord> FleetView::provisionalUpstreams() const
{
    std::vector<UpstreamRecord> records;
    for (const auto& [address, agent] : this->agents) {
        UpstreamRecord record;
        record.name = toString(address);
        record.service = agent.presence.service;
        record.address = { address.address, agent.presence.upstream.port };
        record.failureDomain = agent.presence.failureDomain;
        record.revision = provisionalRevision;
        if (agent.presence.figures) {
            record.slots = agent.presence.figures->slots;
            record.draining = agent.presence.figures->draining;
            record.revision = std::max(record.revision, agent.presence.figures->revision);
        }
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace wasabicroft
