#include "backends/PacketEntry.h"

#include "backends/Guard.h"
#include "platform/PacketLayout.h"

#include <algorithm>
#include <boost/json.hpp>

namespace wasabicroft {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    EntryRouterOptions routerOptions(const PacketSettings& settings)
    {
        EntryRouterOptions options;
        options.failureDomain = settings.failureDomain;
        options.agentPort = settings.packets.port;
        options.hopAddress = settings.hop.address;
        options.seed = hashName(settings.name);
        constexpr double bytesPerMegabit = 125000;
        options.link.bytesPerSecond = settings.linkMbps * bytesPerMegabit;
        return options;
    }

    StoreSyncOptions syncOptions(const PacketSettings& settings)
    {
        StoreSyncOptions options;
        options.seed = hashName(settings.name);
        options.readsEvacuations = settings.readsEvacuations;
        return options;
    }

    FleetOptions fleetOptions(const PacketSettings& settings)
    {
        FleetOptions options;
        options.self = settings.hop.address;
        return options;
    }

} // namespace

PacketEntry::PacketEntry(asio::io_context& loop, PacketSettings initial, const Clock& timeSource)
    : context(loop)
    , settings(std::move(initial))
    , clock(timeSource)
    , clientSocket(loop)
    , agentSocket(loop)
    , storeSync(syncOptions(this->settings), timeSource)
    , directory(DirectoryOptions(), timeSource, this->bootClock)
    , evacuationConfirmation(this->bootClock)
    , fleet(fleetOptions(this->settings), timeSource)
    , storeRefresh({}, this->storeSync, this->fleet, timeSource, this->bootClock)
    , router(routerOptions(this->settings),
          { [this](PacketAddress agent, const HopMessage& message) {
               this->hopBuffer.clear();
               encodeHop(message, this->hopBuffer);
               this->agentSocket.send(agent, this->hopBuffer);
           },
              [this](const FlowKey& flow, uint32_t sequence) {
                  this->clientSocket.send(
                      { flow.client.address, this->settings.packets.port }, platform::makeReset(flow, sequence));
              },
              [this] { return this->evacuationConfirmation.age(); } },
          timeSource)
    , storeTimers { asio::steady_timer(loop), asio::steady_timer(loop) }
{
}

Result<bool> PacketEntry::start()
{
    this->router.limitColdStarts(this->settings.coldExcess > 0);
    const Result<PacketAddress> packets = this->clientSocket.open(this->settings.packets);
    if (!packets)
        return packets.error();
    const Result<PacketAddress> hop = this->agentSocket.open(this->settings.hop);
    if (!hop)
        return hop.error();
    this->clientSocket.onBatch = [this] { this->flush(); };
    this->agentSocket.onBatch = [this] { this->flush(); };
    this->clientSocket.start(
        [this](PacketAddress source, std::span<uint8_t> bytes) { this->onClientDatagram(source, bytes); });
    this->agentSocket.start(
        [this](PacketAddress source, std::span<uint8_t> bytes) { this->onHopDatagram(source, bytes); });
    this->applySeeds();
    this->readStore();
    return true;
}

void PacketEntry::onSettings(const PacketSettings& changed)
{
    this->settings.seeds = changed.seeds;
    this->settings.store = changed.store;
    this->router.limitColdStarts(changed.coldExcess > 0);
    this->applySeeds();
}

//-----------------------------------------------------------------------------
// Datagrams
//-----------------------------------------------------------------------------

void PacketEntry::onClientDatagram(PacketAddress source, std::span<uint8_t> bytes)
{
    const Result<Packet> packet = platform::decodePacket(bytes);
    if (packet && !packet.value().bounced) {
        this->router.onClientPacket(packet.value(), bytes);
        return;
    }
    ++this->invalidPackets;
    this->logInvalid(source,
        packet ? Error { ErrorKind::InvalidFrame, "a packet from a client has the bounced flag; dropped" }
               : packet.error());
}

void PacketEntry::onHopDatagram(PacketAddress source, std::span<uint8_t> bytes)
{
    if (isPresence(bytes)) {
        this->onPresence(source, bytes);
        return;
    }
    const Result<HopMessage> message = decodeHop(bytes);
    if (!message) {
        ++this->invalidHopMessages;
        this->logInvalid(source, message.error());
        return;
    }
    if (message.value().packet.empty()) {
        this->router.onHop(source, message.value(), nullptr);
        return;
    }
    const Result<Packet> packet = platform::decodePacket(message.value().packet);
    if (packet && message.value().kind == HopKind::Delegate) {
        this->router.onDelegatedPacket(source, packet.value(), message.value().packet);
        return;
    }
    if (packet) {
        this->router.onHop(source, message.value(), &packet.value());
        return;
    }
    ++this->invalidHopMessages;
    this->logInvalid(source, packet.error());
}

void PacketEntry::logInvalid(PacketAddress source, const Error& error)
{
    if (this->invalidSenderLogLimiter.shouldLog(source, this->clock.now()))
        logEvent(Event::PacketInvalid, { { "source", toString(source) }, { "reason", error.message } });
}

void PacketEntry::flush()
{
    this->router.flushAsks();
    this->agentSocket.flush();
    this->clientSocket.flush();
}

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

void PacketEntry::readStore()
{
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        if (const std::optional<StoreRead> read = this->storeSync.nextRead(topic))
            this->startRead(*read);
        const TimePoint due = this->storeSync.nextReadTime(topic);
        if (due == TimePoint::max())
            continue;
        this->storeTimers.at(i).expires_after(std::max(Duration::zero(), due - this->clock.now()));
        this->storeTimers.at(i).async_wait([this](boost::system::error_code error) {
            if (!error)
                this->readStore();
        });
    }
}

void PacketEntry::startRead(const StoreRead& read)
{
    ++this->storeReads;
    std::shared_ptr<HttpClient>& client = this->storeClients.at(static_cast<size_t>(read.topic));
    if (client && client->isBusy())
        std::exchange(client, nullptr)->close();
    if (!client)
        client = std::make_shared<HttpClient>(this->context);
    AnswerTimes& times = this->answerTimes.at(static_cast<size_t>(read.topic));
    client->onHeader = [this, read, &times](std::optional<uint64_t> bytes) {
        times.headerReceived = this->clock.now();
        this->storeSync.onAnswerStarted(read, bytes);
    };
    const HttpTimeouts timeouts { read.timeout, read.pauseTimeout };
    client->start(
        this->settings.store, platform::requestTarget(read), timeouts, [this, read, &times](HttpResult result) {
            times.received = this->clock.now();
            if (!runGuarded("answer of the store", [&] { this->onStoreResponse(read, std::move(result)); }))
                this->storeSync.onFailure(read);
            this->flush();
            this->readStore();
        });
}

void PacketEntry::onStoreResponse(const StoreRead& read, HttpResult result)
{
    const std::string era(result ? std::string_view(result.value()[platform::eraHeader]) : std::string_view());
    std::string failure;
    if (!result) {
        failure = result.error().message;
    } else if (result.value().result() == http::status::gone) {
        const Result<uint64_t> position = platform::decodeEra(era);
        this->storeSync.onHistoryLost(read, position ? position.value() : 0);
        logEvent(Event::StoreReachable, { { "topic", nameOf(read.topic) }, { "history", "lost" } });
        return;
    } else if (result.value().result() != http::status::ok) {
        failure = "HTTP status " + std::to_string(result.value().result_int());
    } else {
        const Result<platform::StoreResponse> response = platform::decodeResponse(read, result.value().body(), era);
        if (response && response.value().revision < read.minRevision) {
            failure = "the answer is older than one that was read before";
            logEvent(Event::StoreAnswerRefused,
                { { "topic", nameOf(read.topic) }, { "reason", failure }, { "era", eraOf(response.value().revision) },
                    { "revision", revisionOf(response.value().revision) }, { "newest-era", eraOf(read.minRevision) },
                    { "newest-revision", revisionOf(read.minRevision) } });
            // The connection may deliver further answers to earlier requests.
            std::exchange(this->storeClients.at(static_cast<size_t>(read.topic)), nullptr)->close();
        } else if (response) {
            this->logProblems(response.value());
            if (read.isWatch)
                this->onWatchEvents(read, response.value());
            else
                this->onListPage(read, response.value());
            this->updateReachability();
            return;
        }
        if (!response) {
            failure = response.error().message;
            logEvent(Event::StoreAnswerRefused, { { "topic", nameOf(read.topic) }, { "reason", failure } });
        }
    }
    ++this->failedReads;
    this->storeSync.onFailure(read);
    if (std::exchange(this->isStoreReachable, false))
        logEvent(Event::StoreUnreachable, { { "topic", nameOf(read.topic) }, { "reason", failure } });
}

// After an outage of the store the list may lack upstreams, also if the answer changes none.
void PacketEntry::noteRecovery()
{
    if (!this->storeSync.takeRecovery())
        return;
    const bool wasComplete = this->directory.isComplete();
    this->directory.onStoreRecovered();
    if (this->directory.isComplete() != wasComplete)
        this->applyStoreState();
}

void PacketEntry::onListPage(const StoreRead& read, const platform::StoreResponse& response)
{
    if (!this->storeSync.onPage(read, response.revision, response.hasMore, response.lastKey))
        return;
    this->noteRecovery();
    if (read.topic == StoreTopic::Routes) {
        this->onRoutesPage(read, response);
        return;
    }
    if (read.pageAfter.empty())
        this->listedUpstreams.clear();
    this->listedUpstreams.insert(this->listedUpstreams.end(), response.upstreams.begin(), response.upstreams.end());
    if (response.hasMore)
        return;
    this->directory.replace(std::exchange(this->listedUpstreams, {}), this->storeSync.listRevision(read.topic));
    this->directory.onRead(this->storeSync.lastReadStart(read.topic));
    this->applyStoreState();
}

// Routes come into force with the orders of the same list: an entry that starts must not place flows by the routes
// alone.
void PacketEntry::onRoutesPage(const StoreRead& read, const platform::StoreResponse& response)
{
    if (read.pageAfter.empty()) {
        this->listedRoutes.reset();
        this->listedEvacuations.clear();
    }
    if (response.routes)
        this->listedRoutes = response.routes;
    for (const platform::EvacuationChange& change : response.evacuations)
        this->listedEvacuations.insert(change.domain);
    if (response.hasMore)
        return;
    if (read.withEvacuations) {
        const EvacuationState before = this->evacuations;
        this->evacuations.replace(std::exchange(this->listedEvacuations, {}), this->storeSync.listRevision(read.topic));
        this->applyEvacuations(before, "store");
    }
    if (const std::shared_ptr<const RoutingTable> table = std::exchange(this->listedRoutes, nullptr))
        this->applyRoutes(table, read);
}

void PacketEntry::mergeEvacuations(const platform::StoreResponse& response)
{
    if (response.evacuations.empty())
        return;
    const EvacuationState before = this->evacuations;
    for (const platform::EvacuationChange& change : response.evacuations) {
        if (change.isOrdered)
            this->evacuations.update(change.domain, change.position);
        else
            this->evacuations.remove(change.domain, change.position);
    }
    this->applyEvacuations(before, "store");
}

// The number of listed upstreams in a failure domain, for log lines.
std::string PacketEntry::upstreamsIn(const std::string& failureDomain) const
{
    if (!this->directory.isLoaded())
        return "unknown";
    const std::vector<UpstreamRecord> listed = this->directory.allListed();
    return std::to_string(std::count_if(listed.begin(), listed.end(),
        [&](const UpstreamRecord& record) { return record.failureDomain == failureDomain; }));
}

// before is a copy of the state before the change.
void PacketEntry::applyEvacuations(const EvacuationState& before, std::string_view source)
{
    const EvacuationOrders& orders = this->evacuations.orders();
    const EvacuationOrders& former = before.orders();
    const uint64_t inForce = orders.domains.size();
    if (this->evacuations.droppedDomains() > before.droppedDomains())
        logEvent(Event::EvacuationsLimited,
            { { "in-force", inForce }, { "left-out", static_cast<uint64_t>(this->evacuations.droppedDomains()) },
                { "position", orders.position } });
    if (orders == former)
        return;
    const auto logChange = [&](Event event, const std::string& domain) {
        logEvent(event,
            { { "failure-domain", domain }, { "upstreams", this->upstreamsIn(domain) }, { "position", orders.position },
                { "source", source }, { "in-force", inForce } });
    };
    for (const std::string& domain : orders.domains) {
        if (!former.domains.contains(domain))
            logChange(Event::EvacuationOrdered, domain);
    }
    for (const std::string& domain : former.domains) {
        if (!orders.domains.contains(domain))
            logChange(Event::EvacuationWithdrawn, domain);
    }
    this->updateEvacuationConfirmation(); // directives about the change are sent at once
    this->router.setEvacuations(orders);
    if (this->hasStoreState())
        this->applyStoreState();
    else if (this->provisionalDirectory)
        this->router.setUpstreams(*this->provisionalDirectory);
}

void PacketEntry::updateEvacuationConfirmation()
{
    if (const std::optional<TimePoint> confirmation = this->storeRefresh.confirmedByStore(StoreTopic::Routes))
        this->evacuationConfirmation.onStoreConfirmed(this->storeSync.completeRevision(StoreTopic::Routes),
            this->clock.now() - *confirmation, this->evacuations.orders());
}

void PacketEntry::onWatchEvents(const StoreRead& read, const platform::StoreResponse& response)
{
    if (!this->storeSync.onEvents(read, response.revision))
        return;
    this->noteRecovery();
    this->mergeEvacuations(response);
    if (response.routes)
        this->applyRoutes(response.routes, read);
    bool isChanged = this->mergeUpstreams(response);
    if (read.topic == StoreTopic::Upstreams)
        isChanged = this->directory.onRead(this->storeSync.lastReadStart(read.topic)) || isChanged;
    if (isChanged)
        this->applyStoreState();
}

bool PacketEntry::mergeUpstreams(const platform::StoreResponse& response)
{
    bool changed = false;
    for (const UpstreamRecord& record : response.upstreams) {
        if (!this->directory.update(record))
            continue;
        changed = true;
        logEvent(Event::UpstreamListed,
            { { "upstream", record.name }, { "id", record.id() }, { "born", record.born },
                { "service", record.service }, { "address", toString(record.address) }, { "draining", record.draining },
                { "revision", record.revision } });
    }
    for (const auto& [name, revision] : response.removedUpstreams) {
        if (!this->directory.remove(name, revision))
            continue;
        changed = true;
        logEvent(Event::UpstreamUnlisted, { { "upstream", name }, { "revision", revision } });
    }
    return changed;
}

// Ignores a table unless it is newer than the current one: the version never decreases while the process runs.
void PacketEntry::applyRoutes(std::shared_ptr<const RoutingTable> table, const StoreRead& read)
{
    if (this->routes && table->version <= this->routes->version)
        return;
    this->routes = std::move(table);
    const Milliseconds behind = this->storeRefresh.behindTime(StoreTopic::Routes);
    this->applyStoreState();
    const AnswerTimes& times = this->answerTimes.at(static_cast<size_t>(StoreTopic::Routes));
    logEvent(Event::RoutesInForce,
        { { "version", this->routes->version }, { "routes", static_cast<uint64_t>(this->routes->routes.size()) },
            { "read", read.isWatch ? "watch" : "list" },
            { "transfer-ms", std::chrono::duration_cast<Milliseconds>(times.received - times.headerReceived) },
            { "apply-ms", std::chrono::duration_cast<Milliseconds>(this->clock.now() - times.received) },
            { "behind-ms", behind } });
}

// Replaces the provisional state learned from agents as soon as the store's routes and upstreams are both known.
void PacketEntry::applyStoreState()
{
    if (!this->hasStoreState())
        return;
    this->directory.setServices(this->routes->services());
    this->updateDelegate(); // packets that waited for the list are searched with it
    this->router.setRoutes(this->routes);
    this->router.setUpstreams(this->directory);
}

void PacketEntry::updateDelegate()
{
    const bool isBehind = this->storeRefresh.isBehindPeers(StoreTopic::Upstreams);
    this->router.setBehindPeers(isBehind);
    const uint64_t ownRevision = this->hasStoreState() ? this->directory.lastChange() : 0;
    const std::optional<uint32_t> delegate
        = isBehind || !this->hasStoreState() ? this->fleet.entryWithNewerList(ownRevision) : std::nullopt;
    this->router.setDelegate(
        delegate ? std::optional(PacketAddress { *delegate, this->settings.hop.port }) : std::nullopt);
}

void PacketEntry::logProblems(const platform::StoreResponse& response)
{
    for (const platform::StoreItemProblem& problem : response.problems) {
        if (this->itemLogLimiter.shouldLog(problem.key, this->clock.now()))
            logEvent(Event::StoreItemInvalid,
                { { "key", problem.key }, { "reason", problem.reason }, { "revision", response.revision } });
    }
}

void PacketEntry::updateReachability()
{
    const bool isReachable
        = this->storeSync.isReachable(StoreTopic::Routes) && this->storeSync.isReachable(StoreTopic::Upstreams);
    if (isReachable && !std::exchange(this->isStoreReachable, true))
        logEvent(Event::StoreReachable, { { "address", toString(this->settings.store) } });
}

//-----------------------------------------------------------------------------
// Other processes
//-----------------------------------------------------------------------------

void PacketEntry::applySeeds()
{
    std::vector<uint32_t> addresses;
    for (const Endpoint& seed : this->settings.seeds) {
        if (const std::optional<PacketAddress> address = parsePacketAddress(toString(seed)))
            addresses.push_back(address->address);
    }
    this->fleet.setSeeds(std::move(addresses));
}

void PacketEntry::onPresence(PacketAddress source, Bytes bytes)
{
    const Result<PresenceMessage> message = decodePresence(bytes);
    if (!message) {
        ++this->invalidHopMessages;
        this->logInvalid(source, message.error());
        return;
    }
    this->fleet.onMessage(source.address, message.value());
    const EvacuationOrders& stated = this->fleet.newestEvacuations();
    if (this->settings.readsEvacuations && stated.position > this->evacuations.orders().position) {
        const EvacuationState before = this->evacuations;
        this->evacuations.adoptFromPeer(stated);
        this->evacuationConfirmation.onPeerStated(message.value().evacuations.position, this->evacuations.orders());
        this->applyEvacuations(before, "peer");
    } else if (message.value().fromEntry) {
        this->evacuationConfirmation.onPeerStated(message.value().evacuations.position, this->evacuations.orders());
    }
    this->updatePeers();
}

void PacketEntry::updatePeers()
{
    std::vector<PacketAddress> peers;
    for (const uint32_t address : this->fleet.knownEntries())
        peers.push_back({ address, this->settings.hop.port });
    this->router.setPeers(std::move(peers));
}

std::optional<StoreVersions> PacketEntry::storeVersions() const
{
    if (!this->hasStoreState())
        return std::nullopt;
    return StoreVersions { this->routes->version, this->storeSync.completeRevision(StoreTopic::Upstreams) };
}

void PacketEntry::sendPresence()
{
    StoreCopy copy { this->routes ? this->routes->version : 0, this->directory.lastChange(), this->hasStoreState(),
        this->isStoreReachable, {} };
    for (size_t i = 0; i < storeTopicCount; ++i)
        copy.confirmedAt.at(i) = this->storeRefresh.confirmedAt(static_cast<StoreTopic>(i));
    copy.listState = this->storeRefresh.listState(this->directory);
    copy.awaitsPeers = this->directory.awaitsPeers();
    copy.evacuations = this->evacuations.orders();
    const auto [message, targets] = this->fleet.takeMessage(copy);
    // An entry that receives no presence any more takes over the refresh of orders from the others.
    if (!this->evacuations.orders().domains.empty())
        this->updatePeers();
    if (targets.empty())
        return;
    const std::vector<uint8_t> bytes = encodePresence(message);
    for (const uint32_t target : targets)
        this->agentSocket.send({ target, this->settings.hop.port }, bytes);
}

// Serves with routes and upstreams learned from agents: open flows are looked up at the agents, and new flows go to
// agents that already serve flows of the same route.
void PacketEntry::applyProvisionalState()
{
    const std::shared_ptr<const RoutingTable> table = this->fleet.provisionalRoutes();
    this->provisionalDirectory.emplace(DirectoryOptions(), this->clock);
    this->provisionalDirectory->replace(this->fleet.provisionalUpstreams(), provisionalRevision);
    logEvent(Event::ProvisionalState,
        { { "routes", static_cast<uint64_t>(table->routes.size()) },
            { "agents", static_cast<uint64_t>(this->fleet.agentCount()) },
            { "entries", static_cast<uint64_t>(this->fleet.entryCount()) } });
    this->router.setRoutes(table, true);
    this->router.setUpstreams(*this->provisionalDirectory);
}

//-----------------------------------------------------------------------------
// Time and status
//-----------------------------------------------------------------------------

void PacketEntry::onTick()
{
    this->agentSocket.poll(); // Handles replies that have arrived before checking timeouts.
    this->evacuationConfirmation.onPolled();
    bool isDirectoryChanged = this->directory.onTick();
    const std::optional<ListState> peerState
        = this->directory.isLoaded() ? this->fleet.takePeerListState(this->directory.revision()) : std::nullopt;
    if (peerState)
        isDirectoryChanged = this->directory.onPeerListState(*peerState) || isDirectoryChanged;
    if (isDirectoryChanged)
        this->applyStoreState();
    if (this->evacuations.takeReadRequest() && this->storeSync.onNewerRevision(StoreTopic::Routes, UINT64_MAX))
        this->readStore();
    if (this->router.takeUnresolvedRemoval())
        this->directory.requestCheckOfRemovals();
    if (this->directory.takeReadRequest() && this->storeSync.onNewerRevision(StoreTopic::Upstreams, UINT64_MAX))
        this->readStore();
    if (!this->hasStoreState() && this->fleet.takeChange())
        this->applyProvisionalState();
    this->storeRefresh.setSteady(StoreTopic::Upstreams, this->directory.needsSteadyAnswers());
    if (this->storeRefresh.onTick(this->storeVersions()))
        this->readStore();
    this->updateDelegate();
    this->sendPresence();
    this->updateEvacuationConfirmation();
    this->router.onTick();
    this->flush();
}

void PacketEntry::handOver()
{
    this->router.handOver();
    this->flush();
}

OperatorStatus PacketEntry::status() const
{
    OperatorStatus status;
    status.ready = this->isReady();
    if (!this->routes)
        status.notReadyCause = "no routes were read from the store or a peer";
    else if (this->router.isIsolated())
        status.notReadyCause = "almost no agent responds; check the network of this entry";
    else if (!status.ready)
        status.notReadyCause = "no upstream accepts new flows";
    boost::json::array upstreams;
    for (const UpstreamRecord& record : this->directory.allListed())
        upstreams.push_back(
            { { "name", record.name }, { "id", toString(record.id()) }, { "address", toString(record.address) },
                { "draining", record.draining }, { "coldLeftMs", this->router.cold().timeLeft(record.id()).count() },
                { "suspect", this->router.outlierDetector().isEjected(record.id()) } });
    boost::json::object json { { "routesVersion", this->router.routesVersion() },
        { "directoryRevision", this->directory.revision() }, { "flows", this->router.trackedFlows() },
        { "storeReachable", this->isStoreReachable }, { "upstreams", std::move(upstreams) } };
    if (this->evacuations.isKnown()) {
        boost::json::array domains;
        for (const std::string& domain : this->evacuations.orders().domains)
            domains.emplace_back(domain);
        json["evacuatedDomains"] = std::move(domains);
        json["evacuationPosition"] = this->evacuations.orders().position;
        const std::optional<Duration> age = this->evacuationConfirmation.age();
        json["evacuationConfirmedMs"] = age ? boost::json::value(std::chrono::duration_cast<Milliseconds>(*age).count())
                                            : boost::json::value(nullptr);
        boost::json::array progress;
        for (const EvacuationProgress& item : this->router.evacuationProgress())
            progress.push_back(
                { { "domain", item.domain }, { "agents", item.agents }, { "directedAgents", item.directedAgents } });
        json["evacuations"] = std::move(progress);
    }
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        if (this->storeSync.lastAnswer(topic))
            json[std::string(nameOf(topic)) + "AgeMs"] = this->storeRefresh.answerAge(topic).count();
    }
    status.json = boost::json::serialize(json);
    return status;
}

OperatorAnswer PacketEntry::explainFlow(const std::string& target) const
{
    const Result<FlowKey> flow = parseExplainFlowTarget(target);
    if (!flow)
        return { static_cast<unsigned>(http::status::bad_request),
            boost::json::serialize(boost::json::object { { "error", flow.error().message } }) };
    const FlowExplanation explanation = this->router.explainFlow(flow.value());
    const bool hasRoute = explanation.outcome != NewFlowOutcome::Refused || !explanation.services.empty();
    return { static_cast<unsigned>(hasRoute ? http::status::ok : http::status::not_found), encodeJson(explanation) };
}

void PacketEntry::exportMetrics(Metrics& metrics) const
{
    const EntryRouterCounters& counts = this->router.counters();
    metrics.setCount("wasabi_packets_total", "", counts.packets);
    metrics.setCount("wasabi_offers_total", "", counts.offers);
    metrics.setCount("wasabi_offers_failed_total", "cause=\"silent\"", counts.offerTimeouts);
    metrics.setCount("wasabi_offers_failed_total", "cause=\"refused\"", counts.refusedOffers);
    metrics.setCount("wasabi_forwarded_total", "", counts.forwarded);
    metrics.setCount("wasabi_finds_total", "", counts.finds);
    metrics.setCount("wasabi_find_copies_total", "", counts.findCopies);
    metrics.setCount("wasabi_find_copies_beside_silent_total", "", counts.findCopiesBesideSilent);
    metrics.setCount("wasabi_relayed_searches_total", "", counts.relayedSearches);
    metrics.setCount("wasabi_asks_total", "", counts.asks);
    metrics.setCount("wasabi_holder_hints_total", "", counts.hints);
    metrics.setCount("wasabi_delegated_packets_total", "to=\"others\"", counts.delegated);
    metrics.setCount("wasabi_delegated_packets_total", "to=\"self\"", counts.delegatedByOthers);
    metrics.setCount("wasabi_finds_limited_total", "", counts.findsLimited);
    metrics.setCount("wasabi_search_bytes_total", "", counts.searchBytes);
    metrics.setCount("wasabi_searches_shed_total", "", counts.searchesShed);
    for (size_t i = 0; i < searchScopeNames.size(); ++i)
        metrics.setCount("wasabi_searches_without_result_total", "scope=\"" + std::string(searchScopeNames.at(i)) + '"',
            counts.searchesWithoutResult.at(i));
    metrics.setCount("wasabi_not_held_total", "", counts.notHeld);
    metrics.setCount("wasabi_directives_total", "", counts.directives);
    metrics.setCount("wasabi_cold_upstreams", "", this->router.cold().count());
    metrics.setCount("wasabi_resets_total", "", counts.resets);
    if (this->evacuations.isKnown()) {
        metrics.setCount("wasabi_evacuated_domains", "", this->evacuations.orders().domains.size());
        metrics.setCount("wasabi_flows_refused_total", "cause=\"evacuated\"", counts.refusedEvacuated);
    }
    metrics.setCount("wasabi_overloaded", "", this->router.isOverloaded() ? 1 : 0);
    for (const auto& [item, count] : this->router.overloadCounts().all())
        metrics.setCount("wasabi_flows_refused_total", overloadLabels(item.first, item.second), count);
    metrics.setCount("wasabi_held_total", "", counts.buffered);
    metrics.setCount("wasabi_dropped_total", "", counts.dropped);
    metrics.setCount("wasabi_invalid_total", "source=\"client\"", this->invalidPackets);
    metrics.setCount("wasabi_invalid_total", "source=\"agent\"", this->invalidHopMessages);
    metrics.setCount("wasabi_store_reads_total", "outcome=\"any\"", this->storeReads);
    metrics.setCount("wasabi_store_reads_total", "outcome=\"failed\"", this->failedReads);
    metrics.setCount(
        "wasabi_send_failures_total", "", this->clientSocket.sendFailures() + this->agentSocket.sendFailures());
    metrics.setCount("wasabi_flows", "", this->router.trackedFlows());
    metrics.setCount("wasabi_flow_evictions_total", "", this->router.flowEvictions());
    metrics.setCount("wasabi_routes_version", "", this->router.routesVersion());
    metrics.setCount("wasabi_routes_version_announced", "", this->fleet.newestRoutesVersion());
    metrics.setCount("wasabi_routes_behind_ms", "",
        static_cast<uint64_t>(this->storeRefresh.behindTime(StoreTopic::Routes).count()));
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        const std::string label = "topic=\"" + std::string(nameOf(topic)) + '"';
        metrics.setCount("wasabi_store_short_watches", label, this->storeRefresh.usesShortWatches(topic) ? 1 : 0);
        metrics.setCount(
            "wasabi_store_answer_age_ms", label, static_cast<uint64_t>(this->storeRefresh.answerAge(topic).count()));
        if (const std::optional<TimePoint> confirmation = this->storeRefresh.confirmedAt(topic))
            metrics.setCount("wasabi_store_confirmation_age_ms", label,
                static_cast<uint64_t>(
                    std::chrono::duration_cast<Milliseconds>(this->clock.now() - *confirmation).count()));
    }
}

} // namespace wasabicroft
