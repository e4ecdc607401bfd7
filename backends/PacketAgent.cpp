#include "backends/PacketAgent.h"

#include "platform/PacketLayout.h"

#include <boost/json.hpp>

namespace wasabicroft {

namespace {

    AgentRouterOptions routerOptions(const PacketSettings& settings)
    {
        AgentRouterOptions options;
        options.service = serviceIdOf(settings.service);
        options.self = settings.packets;
        options.limitsColdStarts = settings.coldExcess > 0;
        return options;
    }

} // namespace

PacketAgent::PacketAgent(boost::asio::io_context& loop, PacketSettings initial, const Clock& timeSource)
    : clock(timeSource)
    , settings(std::move(initial))
    , entrySocket(loop)
    , upstreamSocket(loop)
    , announcer(AnnouncerOptions(),
          { this->settings.packets, serviceIdOf(this->settings.service), this->settings.failureDomain,
              this->settings.upstream, {}, {} },
          timeSource)
    , router(routerOptions(this->settings),
          { [this](Bytes packet) { this->upstreamSocket.send(this->settings.upstream, packet); },
              [this](PacketAddress client, Bytes packet) {
                  this->entrySocket.send({ client.address, this->settings.packets.port }, packet);
              },
              [this](PacketAddress entry, const HopMessage& message) {
                  this->hopBuffer.clear();
                  encodeHop(message, this->hopBuffer);
                  this->entrySocket.send(entry, this->hopBuffer);
              },
              [this](PacketAddress route) { this->announcer.onUpstreamAnswered(route); },
              [this](const std::optional<UpstreamFigures>& figures) { this->announcer.setUpstreamFigures(figures); } },
          timeSource, this->bootClock)
{
}

Result<bool> PacketAgent::start()
{
    const Result<PacketAddress> packets = this->entrySocket.open(this->settings.packets);
    if (!packets)
        return packets.error();
    const Result<PacketAddress> outbound = this->upstreamSocket.open(this->settings.outbound);
    if (!outbound)
        return outbound.error();
    this->entrySocket.onBatch = [this] { this->flush(); };
    this->upstreamSocket.onBatch = [this] { this->flush(); };
    this->entrySocket.start(
        [this](PacketAddress source, std::span<uint8_t> bytes) { this->onHopDatagram(source, bytes); });
    this->upstreamSocket.start([this](PacketAddress, std::span<uint8_t> bytes) { this->onUpstreamDatagram(bytes); });
    this->router.startTracking();
    return true;
}

void PacketAgent::onSettings(const PacketSettings& changed)
{
    this->settings.service = changed.service;
    this->settings.upstream = changed.upstream;
    this->settings.seeds = changed.seeds;
    this->settings.entryHopPort = changed.entryHopPort;
    this->router.setService(serviceIdOf(changed.service));
    this->router.limitColdStarts(changed.coldExcess > 0);
    this->announcer.setService(serviceIdOf(changed.service));
}

void PacketAgent::onHopDatagram(PacketAddress entry, std::span<uint8_t> bytes)
{
    const Result<HopMessage> message = decodeHop(bytes);
    if (message && message.value().kind == HopKind::Ask) {
        this->router.onAsk(entry, message.value());
        return;
    }
    if (message && message.value().kind == HopKind::Directive) {
        this->router.onDirective(entry, message.value());
        return;
    }
    const Result<Packet> packet = message ? platform::decodePacket(message.value().packet) : message.error();
    if (packet && !packet.value().bounced) {
        if (message.value().kind == HopKind::Search)
            this->router.onSearch(entry, message.value(), packet.value());
        else
            this->router.onHop(entry, message.value(), packet.value());
        return;
    }
    ++this->invalidHopMessages;
    if (this->invalidSenderLogLimiter.shouldLog(entry, this->clock.now()))
        logEvent(Event::PacketInvalid,
            { { "source", toString(entry) }, { "reason", packet ? "has the bounced flag" : packet.error().message } });
}

void PacketAgent::onUpstreamDatagram(std::span<uint8_t> bytes)
{
    const Result<Packet> packet = platform::decodePacket(bytes);
    if (packet) {
        if (packet.value().bounced)
            platform::restoreBouncedPacket(bytes);
        this->router.onUpstreamPacket(packet.value(), bytes);
        return;
    }
    ++this->invalidPackets;
    if (this->invalidSenderLogLimiter.shouldLog(PacketAddress(), this->clock.now()))
        logEvent(Event::PacketInvalid, { { "source", "upstream" }, { "reason", packet.error().message } });
}

void PacketAgent::flush()
{
    this->router.flushDenials();
    this->upstreamSocket.flush();
    this->entrySocket.flush();
}

void PacketAgent::announce()
{
    this->announcer.setEvacuated(this->router.evacuation().isEvacuated());
    const std::optional<PresenceMessage> message = this->announcer.takeMessage();
    if (!message)
        return;
    // The settings may have changed because an upstream of another service uses the address now. Its routes must not be
    // announced for the old service.
    if (this->reloadSettingsIfChanged && this->reloadSettingsIfChanged())
        return;
    const std::vector<uint8_t> bytes = encodePresence(*message);
    for (const Endpoint& seed : this->settings.seeds) {
        if (const std::optional<PacketAddress> address = parsePacketAddress(toString(seed)))
            this->entrySocket.send({ address->address, this->settings.entryHopPort }, bytes);
    }
}

void PacketAgent::onTick()
{
    this->upstreamSocket.poll(); // Handles packets that have arrived before checking timeouts.
    this->router.onTick();
    this->announce();
    this->flush();
}

void PacketAgent::handOver()
{
    this->router.handOver();
    this->flush();
}

OperatorStatus PacketAgent::status() const
{
    OperatorStatus status;
    status.ready = this->isReady();
    boost::json::value refusedOffer;
    if (const std::optional<RefusedOffer>& refused = this->router.evacuation().lastRefusedOffer()) {
        const Milliseconds age = std::chrono::duration_cast<Milliseconds>(this->clock.now() - refused->time);
        refusedOffer = { { "entry", toString(refused->entry) }, { "ageMs", age.count() } };
    }
    status.json = boost::json::serialize(boost::json::object { { "service", this->settings.service },
        { "failureDomain", this->settings.failureDomain }, { "flows", this->router.trackedFlows() },
        { "busy", this->router.runningRequests() }, { "waiting", this->router.waitingRequests() },
        { "upstream", nameOf(this->router.upstreamState()) }, { "evacuated", this->router.evacuation().isEvacuated() },
        { "evacuationPosition", this->router.evacuation().position() }, { "lastRefusedOffer", std::move(refusedOffer) },
        { "coldLeftMs", this->router.coldStart().timeLeft().count() },
        { "stalled", this->router.stall().isStalled() } });
    return status;
}

void PacketAgent::exportMetrics(Metrics& metrics) const
{
    const AgentRouterCounters& counts = this->router.counters();
    metrics.setCount("wasabi_packets_total", "from=\"entries\"", counts.fromEntries);
    metrics.setCount("wasabi_packets_total", "from=\"upstream\"", counts.fromUpstream);
    metrics.setCount("wasabi_asked_flows_total", "", counts.asked);
    metrics.setCount("wasabi_searches_passed_on_total", "", counts.passedOn);
    metrics.setCount("wasabi_bounces_total", "", counts.bounces);
    metrics.setCount("wasabi_offers_total", "outcome=\"accepted\"", counts.accepted);
    metrics.setCount("wasabi_offers_total", "outcome=\"refused\"", counts.refused);
    metrics.setCount("wasabi_offers_refused_total", "cause=\"evacuated\"", counts.refusedEvacuated);
    metrics.setCount("wasabi_offers_refused_total", "cause=\"cold\"", counts.refusedCold);
    metrics.setCount("wasabi_upstream_cold", "", this->router.coldStart().isCold() ? 1 : 0);
    metrics.setCount("wasabi_directives_total", "", counts.directives);
    metrics.setCount("wasabi_upstream_evacuated", "", this->router.evacuation().isEvacuated() ? 1 : 0);
    metrics.setCount("wasabi_flows_gone_total", "", counts.gone);
    metrics.setCount("wasabi_upstream_resets_total", "", counts.upstreamResets);
    metrics.setCount("wasabi_dropped_total", "", counts.dropped);
    metrics.setCount("wasabi_invalid_total", "source=\"entry\"", this->invalidHopMessages);
    metrics.setCount("wasabi_invalid_total", "source=\"upstream\"", this->invalidPackets);
    metrics.setCount(
        "wasabi_send_failures_total", "", this->entrySocket.sendFailures() + this->upstreamSocket.sendFailures());
    metrics.setCount("wasabi_flows", "", this->router.trackedFlows());
    metrics.setCount("wasabi_busy", "", this->router.runningRequests());
    metrics.setCount("wasabi_waiting", "", this->router.waitingRequests());
    metrics.setCount("wasabi_requests_waited_total", "", counts.waited);
    metrics.setCount("wasabi_requests_waited_cold_total", "", counts.waitedCold);
    metrics.setCount("wasabi_requests_expired_total", "", counts.expired);
    const std::optional<UpstreamPerformance> performance = this->router.performance();
    metrics.set("wasabi_service_time_ms", "",
        performance ? std::chrono::duration<double, std::milli>(performance->serviceTime).count() : -1);
    metrics.set(
        "wasabi_expected_wait_ms", "", performance ? static_cast<double>(performance->expectedWait.count()) : -1);
    metrics.setCount("wasabi_upstream_stalled", "", this->router.stall().isStalled() ? 1 : 0);
    metrics.setCount("wasabi_stuck_requests_total", "", this->router.stall().stuckRequests());
    metrics.setCount("wasabi_overloaded", "", this->router.isOverloaded() ? 1 : 0);
    for (const auto& [item, count] : this->router.overloadCounts().all())
        metrics.setCount("wasabi_requests_not_in_time_total", overloadLabels(item.first, item.second), count);
}

} // namespace wasabicroft
