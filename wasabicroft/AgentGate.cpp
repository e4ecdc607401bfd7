#include "wasabicroft/AgentGate.h"

#include "wasabicroft/Log.h"

namespace wasabicroft {

AgentGate::AgentGate(AgentGateOptions gateOptions, AgentGateHooks gateHooks, const Clock& timeSource)
    : options(gateOptions)
    , hooks(std::move(gateHooks))
    , clock(timeSource)
    , flows(this->options.maxFlows)
{
    this->flows.onDrop = [this](const FlowKey&, Flow& flow) {
        this->setBusy(flow, false);
        this->heldCount -= flow.isHeld ? 1 : 0;
    };
}

void AgentGate::setService(ServiceId service)
{
    if (service == this->options.service)
        return;
    this->options.service = service;
    this->flows.clear();
}

//-----------------------------------------------------------------------------
// Packets of entries
//-----------------------------------------------------------------------------

void AgentGate::onHop(PacketAddress entry, const HopMessage& message, const Packet& packet)
{
    ++this->counts.fromEntries;
    if (message.kind == HopKind::Offer) {
        this->onOffer(entry, message, packet);
        return;
    }
    if (message.kind != HopKind::Forward && message.kind != HopKind::Find) {
        ++this->counts.dropped;
        return;
    }
    const FlowKey key = packet.fromClient();
    Flow& flow = this->flows.use(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = message.kind;
    if (message.kind == HopKind::Find && flow.isHeld)
        this->reply(entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    else if (message.kind == HopKind::Find)
        this->delivered.emplace_back(key, this->clock.now());
    this->noteRequest(flow, packet);
    this->hooks.sendToUpstream(message.packet);
}

void AgentGate::onOffer(PacketAddress entry, const HopMessage& message, const Packet& packet)
{
    const FlowKey key = packet.fromClient();
    this->subscribers[entry].lastOffer = this->clock.now();
    // An address may be used again by another service before every entry knows.
    HopRefusal refusal = HopRefusal::None;
    if (message.service != this->options.service)
        refusal = HopRefusal::OtherService;
    else if (this->upstreamDown)
        refusal = HopRefusal::UpstreamDown;
    logEvent(Event::PacketOfferDecided,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "outcome", nameOf(refusal) },
            { "busy", static_cast<uint64_t>(this->busyFlows) }, { "flows", static_cast<uint64_t>(this->heldCount) } });
    if (refusal == HopRefusal::UpstreamDown)
        this->hooks.sendToUpstream(message.packet); // notices when the upstream is back
    if (refusal != HopRefusal::None) {
        ++this->counts.refused;
        this->reply(entry, HopKind::Refused, key, refusal, message.packet);
        return;
    }
    Flow& flow = this->flows.use(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = HopKind::Offer;
    flow.offered = true;
    this->hooks.sendToUpstream(message.packet);
}

// A packet with payload beyond what was seen starts or continues a request.
void AgentGate::noteRequest(Flow& flow, const Packet& packet)
{
    if (packet.payloadBytes == 0)
        return;
    const uint32_t end = packet.sequence + packet.payloadBytes;
    if (flow.hasSequence && static_cast<int32_t>(end - flow.nextSequence) <= 0)
        return;
    flow.hasSequence = true;
    flow.nextSequence = end;
    this->setBusy(flow, true);
}

void AgentGate::setBusy(Flow& flow, bool isBusy)
{
    if (flow.isBusy == isBusy)
        return;
    flow.isBusy = isBusy;
    this->busyFlows += isBusy ? 1 : static_cast<size_t>(-1);
}

//-----------------------------------------------------------------------------
// Packets of the upstream
//-----------------------------------------------------------------------------

void AgentGate::onUpstreamPacket(const Packet& packet, Bytes bytes)
{
    ++this->counts.fromUpstream;
    this->lastUpstreamPacket = this->clock.now();
    if (this->upstreamDown) {
        this->upstreamDown = false;
        logEvent(Event::PacketUpstreamUp, { { "flows", static_cast<uint64_t>(this->heldCount) } });
    }
    if (packet.bounced) {
        this->onBounce(packet.fromClient(), packet, bytes);
        return;
    }
    this->hooks.sendToClient(packet.destination, bytes);
    const FlowKey key = packet.fromUpstream();
    Flow& flow = this->flows.use(key, this->clock.now());
    if (packet.isSynAck()) {
        flow.upstreamSequence = packet.sequence;
        if (flow.offered) {
            ++this->counts.accepted;
            this->reply(flow.entry, HopKind::Accepted, key, HopRefusal::None, {}, packet.sequence);
        }
        return;
    }
    if (packet.resets) {
        this->forget(key);
        return;
    }
    this->noteHeld(key, flow);
    flow.isOpen = true;
    if (packet.payloadBytes > 0)
        this->setBusy(flow, false);
}

void AgentGate::noteHeld(const FlowKey& key, Flow& flow)
{
    if (!flow.isHeld) {
        flow.isHeld = true;
        ++this->heldCount;
    }
    if (flow.lastKind == HopKind::Find && flow.entry != PacketAddress()) {
        flow.lastKind = HopKind::Forward;
        this->reply(flow.entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    }
}

// An upstream that was heard since the delivery and has not returned the packet holds the flow.
void AgentGate::confirmDelivered()
{
    while (!this->delivered.empty()) {
        const auto [key, time] = this->delivered.front();
        if (this->clock.now() - time < this->options.bounceTime)
            return;
        this->delivered.pop_front();
        Flow* flow = this->flows.find(key);
        if (flow && flow->lastKind == HopKind::Find && this->lastUpstreamPacket > time)
            this->noteHeld(key, *flow);
    }
}

void AgentGate::onBounce(const FlowKey& key, const Packet& packet, Bytes bytes)
{
    ++this->counts.bounces;
    const Flow* known = this->flows.find(key);
    if (!known || known->entry == PacketAddress()) {
        ++this->counts.dropped;
        return;
    }
    const Flow flow = *known;
    this->forget(key);
    if (packet.isSyn()) {
        ++this->counts.refused;
        this->reply(flow.entry, HopKind::Refused, key, HopRefusal::UpstreamBusy, bytes);
    } else if (flow.isOpen) {
        ++this->counts.gone;
        this->reply(flow.entry, HopKind::Gone, key, HopRefusal::None);
    } else {
        // The entry still has the packet of a Find.
        const bool returnsPacket = flow.lastKind != HopKind::Find;
        this->reply(flow.entry, HopKind::NotHeld, key, HopRefusal::None, returnsPacket ? bytes : Bytes());
    }
}

void AgentGate::onUpstreamUnreachable()
{
    if (this->upstreamDown)
        return;
    this->upstreamDown = true;
    logEvent(Event::PacketUpstreamDown, { { "flows", static_cast<uint64_t>(this->heldCount) } });
}

void AgentGate::forget(const FlowKey& key) { this->flows.erase(key); }

void AgentGate::reply(
    PacketAddress entry, HopKind kind, const FlowKey& key, HopRefusal refusal, Bytes packet, uint32_t sequence)
{
    HopMessage message;
    message.kind = kind;
    message.refusal = refusal;
    message.service = this->options.service;
    message.flow = key;
    message.upstreamSequence = sequence;
    message.busy = this->busy();
    message.flows = static_cast<uint32_t>(this->heldCount);
    message.incarnation = this->options.incarnation;
    message.packet = packet;
    this->hooks.sendHop(entry, message);
}

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

void AgentGate::onTick()
{
    const TimePoint now = this->clock.now();
    this->confirmDelivered();
    this->flows.expire(now - this->options.flowIdleLimit);
    std::erase_if(this->subscribers,
        [&](const auto& item) { return now - item.second.lastOffer > this->options.reportLifetime; });
    for (auto& [entry, subscriber] : this->subscribers) {
        const bool changed = subscriber.busy != this->busy() || subscriber.flows != this->heldCount;
        if (now - subscriber.lastReport < (changed ? this->options.loadInterval : this->options.loadRefresh))
            continue;
        subscriber.lastReport = now;
        subscriber.busy = this->busy();
        subscriber.flows = this->heldCount;
        this->reply(entry, HopKind::Load, {}, HopRefusal::None);
    }
}

} // namespace wasabicroft
