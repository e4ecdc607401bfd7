#include "backends/PacketEntry.h"

#include "platform/PacketLayout.h"

#include <boost/json.hpp>

namespace wasabicroft {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    // How long the store may hold a watch, which bounds how long a silent connection hides a change.
    constexpr Milliseconds sentinelWait { 2000 };
    constexpr Milliseconds watchWait { 20000 };
    constexpr Milliseconds behindLimit { 350 }; // above the spacing of watches

    EntryRouterOptions routerOptions(const PacketSettings& settings)
    {
        EntryRouterOptions options;
        options.failureDomain = settings.failureDomain;
        options.agentPort = settings.packets.port;
        options.seed = hashName(settings.name);
        return options;
    }

    StoreSyncOptions syncOptions(const PacketSettings& settings)
    {
        StoreSyncOptions options;
        options.seed = hashName(settings.name);
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
    , clients(loop)
    , agents(loop)
    , sync(syncOptions(this->settings), timeSource)
    , directory(DirectoryOptions(), timeSource, this->bootClock)
    , fleet(fleetOptions(this->settings), timeSource)
    , router(routerOptions(this->settings),
          { [this](PacketAddress agent, const HopMessage& message) {
               this->hopBuffer.clear();
               encodeHop(message, this->hopBuffer);
               this->agents.send(agent, this->hopBuffer);
           },
              [this](const FlowKey& flow, uint32_t sequence) {
                  this->clients.send(
                      { flow.client.address, this->settings.packets.port }, platform::makeReset(flow, sequence));
              } },
          timeSource)
    , storeTimers { asio::steady_timer(loop), asio::steady_timer(loop) }
{
}

Result<bool> PacketEntry::start()
{
    const Result<PacketAddress> packets = this->clients.open(this->settings.packets);
    if (!packets)
        return packets.error();
    const Result<PacketAddress> hop = this->agents.open(this->settings.hop);
    if (!hop)
        return hop.error();
    this->clients.onBatch = [this] { this->flush(); };
    this->agents.onBatch = [this] { this->flush(); };
    this->clients.start(
        [this](PacketAddress source, std::span<uint8_t> bytes) { this->onClientDatagram(source, bytes); });
    this->agents.start([this](PacketAddress source, std::span<uint8_t> bytes) { this->onHopDatagram(source, bytes); });
    this->setSeeds();
    this->readStore();
    return true;
}

void PacketEntry::onSettings(const PacketSettings& changed)
{
    this->settings.seeds = changed.seeds;
    this->settings.store = changed.store;
    this->setSeeds();
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
    this->noteInvalid(source,
        packet ? Error { ErrorKind::InvalidFrame, "a client's packet has the mark of a bounce; it is dropped" }
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
        ++this->invalidHops;
        this->noteInvalid(source, message.error());
        return;
    }
    if (message.value().packet.empty()) {
        this->router.onHop(source, message.value(), nullptr);
        return;
    }
    const Result<Packet> packet = platform::decodePacket(message.value().packet);
    if (packet) {
        this->router.onHop(source, message.value(), &packet.value());
        return;
    }
    ++this->invalidHops;
    this->noteInvalid(source, packet.error());
}

void PacketEntry::noteInvalid(PacketAddress source, const Error& error)
{
    if (this->invalidSources.mayLog(source, this->clock.now()))
        logEvent(Event::PacketInvalid, { { "source", toString(source) }, { "reason", error.message } });
}

void PacketEntry::flush()
{
    this->router.sendAsks();
    this->agents.flush();
    this->clients.flush();
}

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

void PacketEntry::readStore()
{
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        if (const std::optional<StoreRead> read = this->sync.nextRead(topic))
            this->startRead(*read);
        const TimePoint due = this->sync.nextReadTime(topic);
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
    client->start(this->settings.store, platform::targetOf(read), read.timeout, [this, read](HttpResult result) {
        this->onAnswer(read, std::move(result));
        this->flush();
        this->readStore();
    });
}

void PacketEntry::onAnswer(const StoreRead& read, HttpResult result)
{
    std::string failure;
    if (!result) {
        failure = result.error().message;
    } else if (result.value().result() == http::status::gone) {
        this->sync.onHistoryLost(read);
        logEvent(Event::StoreReachable, { { "topic", nameOf(read.topic) }, { "history", "lost" } });
        return;
    } else if (result.value().result() != http::status::ok) {
        failure = "HTTP status " + std::to_string(result.value().result_int());
    } else {
        const Result<platform::StoreAnswer> answer = platform::decodeAnswer(read, result.value().body());
        if (answer) {
            this->logProblems(answer.value());
            if (read.isWatch)
                this->onChanges(read, answer.value());
            else
                this->onList(read, answer.value());
            this->noteReachability();
            return;
        }
        failure = answer.error().message;
    }
    ++this->failedReads;
    this->sync.onFailure(read);
    if (std::exchange(this->wasReachable, false))
        logEvent(Event::StoreUnreachable, { { "topic", nameOf(read.topic) }, { "reason", failure } });
}

void PacketEntry::onList(const StoreRead& read, const platform::StoreAnswer& answer)
{
    if (!this->sync.onPage(read, answer.revision, answer.hasMore, answer.lastKey))
        return;
    if (this->sync.takeReturn())
        this->directory.noteReturn();
    if (read.topic == StoreTopic::Routes) {
        if (answer.routes)
            this->useRoutes(answer.routes, "store");
        return;
    }
    if (read.pageAfter.empty())
        this->listed.clear();
    this->listed.insert(this->listed.end(), answer.upstreams.begin(), answer.upstreams.end());
    if (answer.hasMore)
        return;
    this->directory.replace(std::exchange(this->listed, {}), this->sync.listRevision(read.topic));
    this->useStoreState();
}

void PacketEntry::onChanges(const StoreRead& read, const platform::StoreAnswer& answer)
{
    if (!this->sync.onEvents(read, answer.revision))
        return;
    if (this->sync.takeReturn())
        this->directory.noteReturn();
    if (answer.routes)
        this->useRoutes(answer.routes, "store");
    if (this->mergeUpstreams(answer))
        this->useStoreState();
}

bool PacketEntry::mergeUpstreams(const platform::StoreAnswer& answer)
{
    bool changed = false;
    for (const UpstreamRecord& record : answer.upstreams) {
        if (!this->directory.update(record))
            continue;
        changed = true;
        logEvent(Event::UpstreamListed,
            { { "upstream", record.name }, { "id", record.id() }, { "born", record.born },
                { "service", record.service }, { "address", toString(record.address) }, { "draining", record.draining },
                { "revision", record.revision } });
    }
    for (const auto& [name, revision] : answer.withdrawn) {
        if (!this->directory.remove(name, revision))
            continue;
        changed = true;
        logEvent(Event::UpstreamUnlisted, { { "upstream", name }, { "revision", revision } });
    }
    return changed;
}

// A version is never replaced by an older one while the process runs.
void PacketEntry::useRoutes(std::shared_ptr<const RoutingTable> table, std::string_view source)
{
    if (this->routes && table->version <= this->routes->version)
        return;
    this->routes = std::move(table);
    logEvent(Event::RoutesInForce,
        { { "version", this->routes->version }, { "routes", static_cast<uint64_t>(this->routes->routes.size()) },
            { "source", source } });
    this->useStoreState();
}

// The store's state replaces what agents showed as soon as it is whole.
void PacketEntry::useStoreState()
{
    if (!this->hasStoreState())
        return;
    this->router.setRoutes(this->routes);
    this->router.setUpstreams(this->directory);
}

void PacketEntry::logProblems(const platform::StoreAnswer& answer)
{
    for (const std::string& problem : answer.problems)
        logEvent(Event::StoreItemInvalid, { { "reason", problem }, { "revision", answer.revision } });
}

void PacketEntry::noteReachability()
{
    const bool isReachable
        = this->sync.isReachable(StoreTopic::Routes) && this->sync.isReachable(StoreTopic::Upstreams);
    if (isReachable && !std::exchange(this->wasReachable, true))
        logEvent(Event::StoreReachable, { { "address", toString(this->settings.store) } });
}

//-----------------------------------------------------------------------------
// Other processes
//-----------------------------------------------------------------------------

void PacketEntry::setSeeds()
{
    std::vector<uint32_t> addresses;
    for (const Endpoint& seed : this->settings.seeds) {
        if (const std::optional<PacketAddress> address = packetAddressOf(toString(seed)))
            addresses.push_back(address->address);
    }
    this->fleet.setSeeds(std::move(addresses));
}

void PacketEntry::onPresence(PacketAddress source, Bytes bytes)
{
    const Result<PresenceMessage> message = decodePresence(bytes);
    if (!message) {
        ++this->invalidHops;
        this->noteInvalid(source, message.error());
        return;
    }
    this->fleet.onMessage(source.address, message.value());
}

// Reads in full what other entries know longer than a watch takes: its connection may be silent.
void PacketEntry::followOtherEntries()
{
    if (this->sync.setWatchWait(this->fleet.isSentinel() ? sentinelWait : watchWait))
        this->readStore();
    if (!this->hasStoreState())
        return;
    const std::array<bool, storeTopicCount> isBehind = { this->fleet.newestRoutes() > this->routes->version,
        this->fleet.newestDirectory() > this->directory.revision() };
    for (size_t i = 0; i < storeTopicCount; ++i) {
        std::optional<TimePoint>& since = this->behindSince.at(i);
        if (!isBehind.at(i)) {
            since.reset();
        } else if (!since) {
            since = this->clock.now();
        } else if (this->clock.now() - *since > behindLimit) {
            since.reset();
            this->sync.hint(static_cast<StoreTopic>(i), UINT64_MAX);
            this->readStore();
        }
    }
}

void PacketEntry::sendPresence()
{
    const auto [message, targets] = this->fleet.takeMessage(this->routes ? this->routes->version : 0,
        this->directory.lastChange(), this->hasStoreState(), this->wasReachable);
    if (targets.empty())
        return;
    const std::vector<uint8_t> bytes = encodePresence(message);
    for (const uint32_t target : targets)
        this->agents.send({ target, this->settings.hop.port }, bytes);
}

// Open flows are found at the agents, and new ones go where agents answer flows of the same address.
void PacketEntry::useProvisional()
{
    const std::shared_ptr<const RoutingTable> table = this->fleet.provisionalRoutes();
    this->provisional.emplace(DirectoryOptions(), this->clock);
    this->provisional->replace(this->fleet.provisionalUpstreams(), 1);
    logEvent(Event::ProvisionalState,
        { { "routes", static_cast<uint64_t>(table->routes.size()) },
            { "agents", static_cast<uint64_t>(this->fleet.agentCount()) },
            { "entries", static_cast<uint64_t>(this->fleet.entryCount()) } });
    this->router.setRoutes(table, true);
    this->router.setUpstreams(*this->provisional);
}

//-----------------------------------------------------------------------------
// Time and status
//-----------------------------------------------------------------------------

void PacketEntry::onTick()
{
    this->agents.poll(); // answers that have arrived are no time-outs
    if (this->directory.onTick())
        this->useStoreState();
    if (!this->hasStoreState() && this->fleet.takeChange())
        this->useProvisional();
    this->followOtherEntries();
    this->sendPresence();
    this->router.onTick();
    this->flush();
}

OperatorStatus PacketEntry::status() const
{
    OperatorStatus status;
    status.ready = this->isReady();
    if (!this->routes)
        status.notReadyCause = "no routes were read from the store or a peer";
    else if (this->router.isIsolated())
        status.notReadyCause = "hardly an agent answers; check the network of this entry";
    else if (!status.ready)
        status.notReadyCause = "no upstream takes new flows";
    boost::json::array upstreams;
    for (const UpstreamRecord& record : this->directory.all())
        upstreams.push_back(
            { { "name", record.name }, { "id", toString(record.id()) }, { "address", toString(record.address) },
                { "draining", record.draining }, { "suspect", this->router.suspicion().isSuspect(record.id()) } });
    boost::json::object json { { "routesVersion", this->router.routesVersion() },
        { "directoryRevision", this->directory.revision() }, { "flows", this->router.openFlows() },
        { "storeReachable", this->wasReachable }, { "upstreams", std::move(upstreams) } };
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        if (const std::optional<TimePoint> answered = this->sync.lastAnswer(topic))
            json[std::string(nameOf(topic)) + "AgeMs"]
                = std::chrono::duration_cast<Milliseconds>(this->clock.now() - *answered).count();
    }
    status.json = boost::json::serialize(json);
    return status;
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
    metrics.setCount("wasabi_asks_total", "", counts.asks);
    metrics.setCount("wasabi_finds_limited_total", "", counts.findsLimited);
    metrics.setCount("wasabi_not_held_total", "", counts.notHeld);
    metrics.setCount("wasabi_resets_total", "", counts.resets);
    metrics.setCount("wasabi_held_total", "", counts.held);
    metrics.setCount("wasabi_dropped_total", "", counts.dropped);
    metrics.setCount("wasabi_invalid_total", "source=\"client\"", this->invalidPackets);
    metrics.setCount("wasabi_invalid_total", "source=\"agent\"", this->invalidHops);
    metrics.setCount("wasabi_store_reads_total", "outcome=\"any\"", this->storeReads);
    metrics.setCount("wasabi_store_reads_total", "outcome=\"failed\"", this->failedReads);
    metrics.setCount("wasabi_send_failures_total", "", this->clients.sendFailures() + this->agents.sendFailures());
    metrics.setCount("wasabi_flows", "", this->router.openFlows());
    metrics.setCount("wasabi_flow_evictions_total", "", this->router.flowEvictions());
    metrics.setCount("wasabi_routes_version", "", this->router.routesVersion());
}

} // namespace wasabicroft
