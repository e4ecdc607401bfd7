#include "wasabicroft/AgentGate.h"

#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

AgentGate::AgentGate(AgentGateOptions gateOptions, AgentGateHooks gateHooks, const Clock& timeSource)
    : options(gateOptions)
    , hooks(std::move(gateHooks))
    , clock(timeSource)
    , started(timeSource.now())
    , flows(this->options.maxFlows)
    , requests(this->options.requests, timeSource)
    , liveness(this->options.liveness, timeSource)
{
    this->requests.setPaused(true);
    this->flows.onDrop = [this](const FlowKey& key, Flow& flow) {
        if (flow.request != RequestState::None)
            this->requests.remove(key);
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
    if (this->liveness.state() == UpstreamState::Down) {
        this->denyFlow(key, entry);
        return;
    }
    Flow& flow = this->flows.use(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = message.kind;
    if (message.kind == HopKind::Find && flow.isHeld)
        this->reply(entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    if (message.slots > 0)
        this->requests.setSlots(message.slots);
    this->deliver(key, flow, message, packet);
}

// An agent that has run for longer than a flow may be idle has seen a packet of every flow of its upstream.
void AgentGate::onAsk(PacketAddress entry, const HopMessage& message)
{
    this->counts.asked += message.flowKeys.size();
    if (message.flowKeys.empty()) { // the entry asks whether it is heard
        this->reply(entry, HopKind::Load, {}, HopRefusal::None);
        return;
    }
    if (this->liveness.state() == UpstreamState::Down) {
        for (const FlowKey& key : message.flowKeys)
            this->denyFlow(key, entry);
        return;
    }
    const bool hasSeenAll = this->clock.now() - this->started > message.timeout && this->flows.evictions() == 0
        && message.timeout.count() > 0;
    HopMessage known = this->makeReply(HopKind::Known);
    HopMessage unsure = this->makeReply(HopKind::Unsure);
    HopMessage denied = this->makeReply(HopKind::Denied);
    for (const FlowKey& key : message.flowKeys) {
        Flow* flow = this->flows.find(key);
        if (flow && flow->isHeld) {
            flow->entry = entry;
            known.flowKeys.push_back(key);
        } else {
            (hasSeenAll && !flow ? denied : unsure).flowKeys.push_back(key);
        }
    }
    for (const HopMessage* reply : { &known, &unsure, &denied }) {
        if (!reply->flowKeys.empty())
            this->hooks.sendHop(entry, *reply);
    }
}

// An upstream that is down has lost its flows.
void AgentGate::denyFlow(const FlowKey& key, PacketAddress entry)
{
    const Flow* flow = this->flows.find(key);
    const bool wasOpen = flow && flow->isOpen;
    this->flows.erase(key);
    if (wasOpen)
        this->reportGone(key, entry, HopRefusal::UpstreamDown, "upstream-down");
    else
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::UpstreamDown);
}

void AgentGate::reportGone(const FlowKey& key, PacketAddress entry, HopRefusal refusal, std::string_view cause)
{
    ++this->counts.gone;
    logEvent(Event::PacketFlowGone,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "cause", cause }, { "busy", this->busy() },
            { "flows", static_cast<uint64_t>(this->heldCount) } });
    this->reply(entry, HopKind::Gone, key, refusal);
}

void AgentGate::onOffer(PacketAddress entry, const HopMessage& message, const Packet& packet)
{
    const FlowKey key = packet.fromClient();
    Subscriber& subscriber = this->subscribers[entry];
    subscriber.lastOffer = this->clock.now();
    subscriber.interval = std::max(this->options.loadInterval, message.loadInterval);
    // An address may be used again by another service before every entry knows.
    HopRefusal refusal = HopRefusal::None;
    if (message.service != this->options.service)
        refusal = HopRefusal::OtherService;
    else if (this->liveness.state() == UpstreamState::Down)
        refusal = HopRefusal::UpstreamDown;
    logEvent(Event::PacketOfferDecided,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "outcome", nameOf(refusal) },
            { "busy", this->busy() }, { "waiting", this->waiting() },
            { "flows", static_cast<uint64_t>(this->heldCount) } });
    if (refusal == HopRefusal::UpstreamDown && this->liveness.mayProbe())
        this->hooks.sendToUpstream(message.packet);
    if (refusal != HopRefusal::None) {
        ++this->counts.refused;
        this->reply(entry, HopKind::Refused, key, refusal, message.packet);
        return;
    }
    Flow& flow = this->flows.use(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = HopKind::Offer;
    flow.offered = true;
    this->numberDelivery(flow);
    this->liveness.onSynDelivered(message.packet);
    this->hooks.sendToUpstream(message.packet);
}

// Hands a packet to the upstream, or stores it while its request waits.
void AgentGate::deliver(const FlowKey& key, Flow& flow, const HopMessage& message, const Packet& packet)
{
    if (packet.resets) {
        if (flow.request == RequestState::Waiting) {
            this->requests.remove(key);
            flow.request = RequestState::None;
            flow.stored.clear();
        }
        this->hooks.sendToUpstream(message.packet);
        return;
    }
    const bool isProbe = message.kind == HopKind::Find && !flow.isHeld;
    if (this->startsRequest(flow, packet) && flow.request == RequestState::None) {
        const RequestQueue::Decision decision = this->requests.request({ key, this->clock.now(), message.objective,
            message.timeout, message.priority, isProbe, flow.clientClosed });
        if (decision == RequestQueue::Decision::Drop) {
            ++this->counts.dropped;
            return;
        }
        const bool starts = decision == RequestQueue::Decision::Start;
        flow.request = starts ? RequestState::Running : RequestState::Waiting;
        this->counts.waited += starts ? 0 : 1;
    }
    const bool closes = packet.finishes && packet.payloadBytes == 0;
    flow.clientClosed = flow.clientClosed || closes; // may overtake the request
    const bool closesAfterRequest = closes && flow.request != RequestState::None;
    if (closesAfterRequest) {
        this->requests.onClientClosed(key);
        if (flow.request == RequestState::Running)
            flow.request = RequestState::None;
    }
    if (flow.request == RequestState::Waiting && (packet.payloadBytes > 0 || packet.finishes)) {
        this->store(flow, packet, message.packet);
        // Until the upstream is heard, a copy makes it answer or return the packet.
        if (this->liveness.state() == UpstreamState::Unknown && this->liveness.mayProbe())
            this->hooks.sendToUpstream(message.packet);
        return;
    }
    if (isProbe)
        this->expectReturn(key, flow);
    this->hooks.sendToUpstream(message.packet);
    if (closesAfterRequest)
        this->startWaiting();
}

// A packet with payload beyond what was seen starts or continues a request.
bool AgentGate::startsRequest(Flow& flow, const Packet& packet)
{
    if (packet.payloadBytes == 0)
        return false;
    const uint32_t end = packet.sequence + packet.payloadBytes;
    if (flow.hasSequence && static_cast<int32_t>(end - flow.nextSequence) <= 0)
        return false;
    flow.hasSequence = true;
    flow.nextSequence = end;
    return true;
}

void AgentGate::store(Flow& flow, const Packet& packet, Bytes bytes)
{
    const auto position = std::lower_bound(
        flow.stored.begin(), flow.stored.end(), packet.sequence, [](const StoredPacket& stored, uint32_t sequence) {
            return static_cast<int32_t>(stored.sequence - sequence) < 0;
        });
    if (position != flow.stored.end() && position->sequence == packet.sequence)
        position->bytes.assign(bytes.begin(), bytes.end()); // a retransmission
    else
        flow.stored.insert(position, { packet.sequence, { bytes.begin(), bytes.end() } });
}

void AgentGate::startWaiting()
{
    for (const FlowKey& key : this->requests.takeStarts()) {
        Flow* flow = this->flows.find(key);
        if (!flow)
            continue;
        flow->request = RequestState::Running;
        if (flow->lastKind == HopKind::Find && !flow->isHeld)
            this->expectReturn(key, *flow);
        for (const StoredPacket& stored : std::exchange(flow->stored, {}))
            this->hooks.sendToUpstream(stored.bytes);
    }
}

void AgentGate::expireRequests()
{
    for (const FlowKey& key : this->requests.takeExpired()) {
        ++this->counts.expired;
        Flow* flow = this->flows.find(key);
        if (!flow)
            continue;
        logEvent(Event::PacketRequestExpired,
            { { "flow", toString(key) }, { "state", flow->request == RequestState::Waiting ? "waiting" : "running" },
                { "busy", this->busy() }, { "waiting", this->waiting() } });
        flow->request = RequestState::None;
        flow->stored.clear();
    }
}

//-----------------------------------------------------------------------------
// Packets of the upstream
//-----------------------------------------------------------------------------

void AgentGate::onUpstreamPacket(const Packet& packet, Bytes bytes)
{
    ++this->counts.fromUpstream;
    this->liveness.onHeard();
    this->updateState();
    if (packet.bounced) {
        this->onBounce(packet.fromClient(), packet, bytes);
        return;
    }
    this->hooks.sendToClient(packet.destination, bytes);
    const FlowKey key = packet.fromUpstream();
    Flow& flow = this->flows.use(key, this->clock.now());
    if (packet.isSynAck()) {
        this->noteReached(flow);
        flow.upstreamSequence = packet.sequence;
        if (flow.offered) {
            ++this->counts.accepted;
            this->reply(flow.entry, HopKind::Accepted, key, HopRefusal::None, {}, packet.sequence);
        }
        return;
    }
    if (packet.resets) {
        ++this->counts.upstreamResets;
        logEvent(Event::PacketUpstreamReset,
            { { "flow", toString(key) }, { "open", flow.isOpen }, { "busy", this->busy() },
                { "waiting", this->waiting() } });
        this->forget(key);
        return;
    }
    this->noteHeld(key, flow);
    flow.isOpen = true;
    this->hooks.onAnswered(key.route);
    if ((packet.payloadBytes > 0 || packet.finishes) && flow.request == RequestState::Running) {
        flow.request = RequestState::None;
        this->requests.onAnswered(key);
        this->startWaiting();
    }
}

void AgentGate::noteHeld(const FlowKey& key, Flow& flow)
{
    if (!flow.isHeld) {
        flow.isHeld = true;
        ++this->heldCount;
        this->requests.onHeld(key);
    }
    if (flow.lastKind == HopKind::Find && flow.entry != PacketAddress()) {
        flow.lastKind = HopKind::Forward;
        this->reply(flow.entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    }
}

// Numbers a packet whose answer shows that the upstream has received all packets before it. Of several copies only the
// first counts: the answer may be to that one.
void AgentGate::numberDelivery(Flow& flow)
{
    ++this->lastDelivery;
    if (flow.delivery == 0)
        flow.delivery = this->lastDelivery;
}

void AgentGate::noteReached(Flow& flow) { this->reached = std::max(this->reached, std::exchange(flow.delivery, 0)); }

void AgentGate::expectReturn(const FlowKey& key, Flow& flow)
{
    this->numberDelivery(flow);
    this->delivered.push_back({ key, this->lastDelivery, this->clock.now() });
}

// An upstream that accepted or returned a later packet, but not this one, holds the flow. Time alone shows nothing: the
// packets that it returns may wait for this process.
void AgentGate::confirmDelivered()
{
    while (!this->delivered.empty()) {
        const Delivery delivery = this->delivered.front();
        if (delivery.number >= this->reached || this->clock.now() - delivery.time < this->options.bounceTime)
            return;
        this->delivered.pop_front();
        Flow* flow = this->flows.find(delivery.flow);
        // A flow that the upstream has returned is forgotten; a later packet of it has another number.
        if (flow && flow->lastKind == HopKind::Find && flow->delivery != 0 && flow->delivery <= delivery.number)
            this->noteHeld(delivery.flow, *flow);
    }
}

void AgentGate::onBounce(const FlowKey& key, const Packet& packet, Bytes bytes)
{
    ++this->counts.bounces;
    Flow* flow = this->flows.find(key);
    if (!flow || flow->entry == PacketAddress()) {
        ++this->counts.dropped;
        return;
    }
    this->noteReached(*flow);
    const PacketAddress entry = flow->entry;
    const bool wasOpen = flow->isOpen;
    const bool returnsPacket = flow->lastKind != HopKind::Find; // else the entry still has it
    this->forget(key);
    if (packet.isSyn()) {
        ++this->counts.refused;
        this->reply(entry, HopKind::Refused, key, HopRefusal::UpstreamBusy, bytes);
    } else if (wasOpen) {
        this->reportGone(key, entry, HopRefusal::None, "returned-packet");
    } else {
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::None, returnsPacket ? bytes : Bytes());
    }
}

// Acts on a change of the upstream's state.
void AgentGate::updateState()
{
    const UpstreamState state = this->liveness.state();
    if (state == this->loggedState)
        return;
    this->loggedState = state;
    logEvent(state == UpstreamState::Down ? Event::PacketUpstreamDown : Event::PacketUpstreamUp,
        { { "flows", static_cast<uint64_t>(this->heldCount) }, { "waiting", this->waiting() } });
    this->requests.setPaused(state != UpstreamState::Up);
    if (state == UpstreamState::Up) {
        this->startWaiting();
        return;
    }
    std::vector<std::pair<FlowKey, PacketAddress>> lost;
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        if (flow.request != RequestState::None)
            lost.emplace_back(key, flow.entry);
    });
    for (const auto& [key, entry] : lost)
        this->denyFlow(key, entry);
}

void AgentGate::forget(const FlowKey& key)
{
    this->flows.erase(key);
    this->startWaiting();
}

void AgentGate::reply(
    PacketAddress entry, HopKind kind, const FlowKey& key, HopRefusal refusal, Bytes packet, uint32_t sequence)
{
    HopMessage message = this->makeReply(kind);
    message.refusal = refusal;
    message.flow = key;
    message.upstreamSequence = sequence;
    message.packet = packet;
    this->hooks.sendHop(entry, message);
}

HopMessage AgentGate::makeReply(HopKind kind) const
{
    HopMessage message;
    message.kind = kind;
    message.service = this->options.service;
    message.busy = this->busy();
    message.waiting = this->waiting();
    message.flows = static_cast<uint32_t>(this->heldCount);
    return message;
}

//-----------------------------------------------------------------------------
// Time
//-----------------------------------------------------------------------------

void AgentGate::onTick()
{
    const TimePoint now = this->clock.now();
    if (const std::vector<uint8_t>* probe = this->liveness.takeProbe())
        this->hooks.sendToUpstream(*probe);
    this->liveness.onTick();
    this->updateState();
    this->confirmDelivered();
    this->expireRequests();
    this->startWaiting();
    this->flows.expire(now - this->options.flowIdleLimit);
    std::erase_if(
        this->subscribers, [&](const auto& item) { return now - item.second.lastOffer > loadReportLifetime; });
    const size_t occupied = this->requests.running() + this->requests.waiting();
    for (auto& [entry, subscriber] : this->subscribers) {
        const bool changed = subscriber.busy != occupied || subscriber.flows != this->heldCount;
        if (now - subscriber.lastReport
            < (changed ? subscriber.interval : std::max(subscriber.interval, this->options.loadRefresh)))
            continue;
        subscriber.lastReport = now;
        subscriber.busy = occupied;
        subscriber.flows = this->heldCount;
        this->reply(entry, HopKind::Load, {}, HopRefusal::None);
    }
}

} // namespace wasabicroft
