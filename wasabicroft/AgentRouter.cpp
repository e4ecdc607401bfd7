#include "wasabicroft/AgentRouter.h"

#include "wasabicroft/Log.h"

#include <algorithm>
#include <set>

namespace wasabicroft {

AgentRouter::AgentRouter(AgentRouterOptions routerOptions, AgentRouterHooks routerHooks, const Clock& timeSource)
    : AgentRouter(routerOptions, std::move(routerHooks), timeSource, timeSource)
{
}

AgentRouter::AgentRouter(AgentRouterOptions routerOptions, AgentRouterHooks routerHooks, const Clock& timeSource,
    const Clock& pauseTimeSource)
    : options(routerOptions)
    , hooks(std::move(routerHooks))
    , clock(timeSource)
    , pauseClock(pauseTimeSource)
    , trackingSince(timeSource.now())
    , flows(this->options.maxFlows)
    , returnedFlows(this->options.maxReturnedFlows)
    , requestQueue(this->options.requestQueue, timeSource)
    , liveness(this->options.liveness, timeSource)
    , rejection(this->options.rejection, timeSource)
    , overload(this->options.overload, timeSource)
    , evacuationNotice(this->options.evacuationLifetime, timeSource)
    , coldStartLimiter(timeSource, this->options.coldStart)
{
    this->requestQueue.setPaused(true);
    this->requestQueue.mayStart = [this](const QueuedRequest& request) { return this->mayStart(request); };
    this->requestQueue.onStarted = [this](const FlowKey& flow) {
        if (this->options.limitsColdStarts)
            this->coldStartLimiter.onStarted(flow);
    };
    this->flows.onDrop = [this](const FlowKey& key, Flow& flow) {
        if (flow.request != RequestState::None)
            this->requestQueue.remove(key);
        this->heldFlows -= flow.isCounted ? 1 : 0;
    };
}

void AgentRouter::setService(ServiceId service)
{
    if (service == this->options.service)
        return;
    this->options.service = service;
    this->flows.clear();
    this->returnedFlows.clear();
    this->trackingSince = this->clock.now();
    this->figures.reset();
    this->limits.clear();
    this->rejection.reset();
    this->coldStartLimiter.reset();
    this->requestQueue.setSlots(0);
    if (this->hooks.onUpstreamFigures)
        this->hooks.onUpstreamFigures(this->figures);
}

//-----------------------------------------------------------------------------
// Figures of the upstream and its routes
//-----------------------------------------------------------------------------

// Keeps figures of a newer record of the upstream. The entry may know an upstream of another service at this address.
void AgentRouter::learn(PacketAddress entry, const HopMessage& message)
{
    if (!message.upstream || message.service != this->options.service)
        return;
    if (this->figures && message.upstream->revision <= this->figures->revision)
        return;
    if (this->figures) // messages do not state the incarnation, but its record is a newer one
        this->requestQueue.onNewProcess();
    const bool isChanged = !this->figures || message.upstream->slots != this->figures->slots
        || message.upstream->draining != this->figures->draining;
    this->figures = message.upstream;
    this->requestQueue.setSlots(this->figures->slots);
    if (!isChanged)
        return;
    logEvent(Event::PacketUpstreamFigures,
        { { "entry", toString(entry) }, { "slots", this->figures->slots }, { "draining", this->figures->draining },
            { "revision", this->figures->revision } });
    if (this->hooks.onUpstreamFigures)
        this->hooks.onUpstreamFigures(this->figures);
}

// The entry may know an upstream of another service at this address.
void AgentRouter::onDirective(PacketAddress entry, const HopMessage& message)
{
    ++this->counts.directives;
    if (message.service != this->options.service)
        return;
    if (this->options.limitsColdStarts && this->coldStartLimiter.onDirective(message.directive))
        logEvent(Event::PacketUpstreamCold,
            { { "entry", toString(entry) }, { "left-ms", this->coldStartLimiter.timeLeft() },
                { "flows-per-second", this->coldStartLimiter.flowsPerSecond() } });
    if (!this->evacuationNotice.onDirective(message.directive))
        return;
    if (this->evacuationNotice.isEvacuated())
        logEvent(Event::PacketUpstreamEvacuated,
            { { "entry", toString(entry) }, { "position", this->evacuationNotice.position() },
                { "flows", static_cast<uint64_t>(this->heldFlows) } });
    else
        logEvent(Event::PacketEvacuationEnded,
            { { "entry", toString(entry) }, { "cause", "withdrawn" },
                { "position", this->evacuationNotice.position() } });
}

// The limits that the entry states, or else those that were stated last.
RequestLimits AgentRouter::limitsOf(PacketAddress route, const HopMessage& message)
{
    const auto known = this->limits.find(route);
    if (!message.limits)
        return known == this->limits.end() ? RequestLimits() : known->second;
    if (known != this->limits.end())
        known->second = *message.limits;
    else if (this->limits.size() < this->options.maxRoutes)
        this->limits.emplace(route, *message.limits);
    return *message.limits;
}

//-----------------------------------------------------------------------------
// Packets of entries
//-----------------------------------------------------------------------------

void AgentRouter::onHop(PacketAddress source, const HopMessage& message, const Packet& packet)
{
    ++this->counts.fromEntries;
    const PacketAddress entry = message.replyTo == PacketAddress() ? source : message.replyTo;
    this->learn(entry, message);
    if (message.kind == HopKind::Offer) {
        this->onOffer(entry, message, packet);
        return;
    }
    if (message.kind != HopKind::Forward && message.kind != HopKind::Find) {
        ++this->counts.dropped;
        return;
    }
    const FlowKey key = packet.flowKeyFromClient();
    if (Flow* known = this->flows.find(key); known && known->sequences.isOfOtherFlow(packet)) {
        // A SYN without an answer shows nothing: the upstream ignores a late one of an earlier flow.
        if (known->mayBeOpen) {
            this->denyOtherFlow(key, *known, entry, message.kind, message.packet);
            return;
        }
        known->sequences = FlowSequences();
    }
    if (this->liveness.hasLostFlows()) {
        this->denyFlow(key, entry, message.kind == HopKind::Find);
        return;
    }
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = message.kind;
    flow.mayBeOpen = true;
    flow.sequences.onClientPacket(packet);
    if (packet.ack)
        flow.lastAcknowledgement = packet.acknowledgement;
    flow.clientSentFin = flow.clientSentFin || packet.fin;
    this->countFlow(flow);
    if (message.kind == HopKind::Find && flow.isHeld)
        this->reply(entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    // The client chose this upstream. Its packet may wait here for long before the upstream answers it.
    if (flow.isAnsweredSyn && packet.ack && packet.acknowledgement == flow.upstreamSequence + 1)
        this->markHeld(key, flow);
    this->deliver(key, flow, message, packet);
}

// Passing a search on takes the copies off the link of the entry, which may be a hundred times smaller than this one's.
void AgentRouter::onSearch(PacketAddress entry, const HopMessage& message, const Packet& packet)
{
    HopMessage find = message;
    find.kind = HopKind::Find;
    find.targets.clear();
    find.upstream.reset(); // those of the receiver's upstream
    find.replyTo = entry;
    for (const uint32_t target : message.targets) {
        if (target == this->options.self.address)
            continue;
        ++this->counts.passedOn;
        this->hooks.sendHop({ target, this->options.self.port }, find);
    }
    find.upstream = message.upstream;
    this->onHop(entry, find, packet);
}

void AgentRouter::flushDenials()
{
    const TimePoint now = this->clock.now();
    for (auto& [target, queued] : this->queuedDenials) {
        const auto& [entry, refusal] = target;
        if (queued.flows.empty() || now - queued.lastSent < this->options.denialInterval)
            continue;
        queued.lastSent = now;
        this->sendKeys(entry, HopKind::Denied, refusal, queued.flows);
        queued.flows.clear();
    }
    std::erase_if(this->queuedDenials, [&](const auto& item) {
        return item.second.flows.empty() && now - item.second.lastSent >= this->options.denialInterval;
    });
}

void AgentRouter::sendKeys(PacketAddress entry, HopKind kind, HopRefusal refusal, const std::vector<FlowKey>& keys)
{
    for (size_t first = 0; first < keys.size(); first += maxFlowKeysPerMessage) {
        HopMessage message = this->makeReply(kind);
        message.refusal = refusal;
        message.flowKeys.assign(keys.begin() + static_cast<std::ptrdiff_t>(first),
            keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), first + maxFlowKeysPerMessage)));
        this->hooks.sendHop(entry, message);
    }
}

// Another agent process beside this upstream knows nothing of these flows at first.
void AgentRouter::handOver()
{
    std::vector<FlowKey> held;
    std::set<PacketAddress> entries;
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        if (flow.isHeld && !flow.isEnded()) // the receivers may search for a later flow of the same ends
            held.push_back(key);
        if (flow.entry != PacketAddress())
            entries.insert(flow.entry);
    });
    for (const auto& [entry, subscriber] : this->subscribers)
        entries.insert(entry);
    size_t receivers = 0;
    for (const PacketAddress entry : entries) {
        if (receivers == this->options.maxHandOverEntries)
            break;
        ++receivers;
        this->sendKeys(entry, HopKind::Known, HopRefusal::None, held);
    }
    logEvent(Event::PacketFlowsHandedOver,
        { { "flows", static_cast<uint64_t>(held.size()) }, { "receivers", static_cast<uint64_t>(receivers) } });
}

void AgentRouter::startTracking() { this->trackingSince = this->clock.now(); }

// An agent that has tracked flows for longer than their idle timeout, without evictions, has seen a packet of every
// flow of its upstream.
bool AgentRouter::hasSeenAllFlows(TimePoint time) const
{
    return this->idleTimeout && time - this->trackingSince > *this->idleTimeout && this->flows.evictions() == 0;
}

// An agent that had seen all flows before a pause knows all of them after it: none opens without the agent.
void AgentRouter::checkForPause()
{
    const TimePoint now = this->clock.now();
    const TimePoint pauseClockNow = this->pauseClock.now();
    const TimePoint lastRun = std::exchange(this->lastTick, now).value_or(now);
    const TimePoint lastPauseClockTime = std::exchange(this->lastPauseClockTick, pauseClockNow).value_or(pauseClockNow);
    if (pauseClockNow - lastPauseClockTime <= this->options.pauseThreshold)
        return;
    this->requestQueue.stallDetector().discardObservations();
    if (!this->hasSeenAllFlows(lastRun))
        this->trackingSince = now;
}

void AgentRouter::onAsk(PacketAddress entry, const HopMessage& message)
{
    if (this->lastTick) // a question may be read before the first tick after a pause
        this->checkForPause();
    this->counts.asked += message.flowKeys.size();
    this->learn(entry, message);
    if (message.idleTimeout)
        this->idleTimeout = std::max(*message.idleTimeout, this->idleTimeout.value_or(Milliseconds(0)));
    if (message.flowKeys.empty()) { // a probe by which the entry checks whether it reaches the agent
        this->reply(entry, HopKind::Load, {}, HopRefusal::None);
        return;
    }
    if (this->liveness.hasLostFlows()) {
        for (const FlowKey& key : message.flowKeys)
            this->denyFlow(key, entry, true);
        return;
    }
    const bool hasSeenAll = this->hasSeenAllFlows(this->clock.now());
    HopMessage known = this->makeReply(HopKind::Known);
    HopMessage unsure = this->makeReply(HopKind::Unsure);
    HopMessage denied = this->makeReply(HopKind::Denied);
    for (const FlowKey& key : message.flowKeys) {
        Flow* flow = this->flows.find(key);
        if (flow && flow->isHeld) {
            flow->entry = entry;
            known.flowKeys.push_back(key);
        } else {
            (!flow && (hasSeenAll || this->isReturnedFlow(key)) ? denied : unsure).flowKeys.push_back(key);
        }
    }
    for (const HopMessage* reply : { &known, &unsure, &denied }) {
        if (!reply->flowKeys.empty())
            this->hooks.sendHop(entry, *reply);
    }
}

// A flow opens at an upstream only by a SYN, which this agent would have seen since.
bool AgentRouter::isReturnedFlow(const FlowKey& key) { return this->returnedFlows.find(key) != nullptr; }

// An upstream that has been down for long has lost its flows.
void AgentRouter::denyFlow(const FlowKey& key, PacketAddress entry, bool isSearched)
{
    const Flow* flow = this->flows.find(key);
    const bool wasOpen = flow && flow->isOpen;
    const FlowSequences sequences = flow ? flow->sequences : FlowSequences();
    this->flows.erase(key);
    if (wasOpen)
        this->reportGone(key, entry, HopRefusal::UpstreamDown, "upstream-down", sequences);
    else if (isSearched)
        this->queuedDenials[{ entry, HopRefusal::UpstreamDown }].flows.push_back(key);
    else
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::UpstreamDown);
}

// The upstream accepted the SYN of another flow of the same ends, so it does not hold the known one any more.
void AgentRouter::startLaterFlow(const FlowKey& key, OtherSyn syn)
{
    this->removeFlow(key);
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.entry = syn.entry;
    flow.lastKind = HopKind::Offer;
    flow.offered = true;
}

// The upstream holds at most the newest flow of two ends, and all that it sends passes here: it does not hold the flow
// of a packet that does not fit the known one.
void AgentRouter::denyOtherFlow(const FlowKey& key, const Flow& known, PacketAddress entry, HopKind kind, Bytes packet)
{
    const bool isEnded = known.isEnded();
    logEvent(Event::PacketOfOtherFlow,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "with", nameOf(kind) },
            { "known-flow", isEnded ? "ended" : "open" }, { "flows", static_cast<uint64_t>(this->heldFlows) } });
    // It is not claimed again, but stays known: the upstream may still answer packets of later flows to it.
    if (Flow* ended = isEnded ? this->flows.find(key) : nullptr) {
        ended->isHeld = false;
        this->countFlow(*ended);
    }
    if (kind == HopKind::Find)
        this->queuedDenials[{ entry, HopRefusal::None }].flows.push_back(key);
    else
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::None, packet);
}

void AgentRouter::reportGone(
    const FlowKey& key, PacketAddress entry, HopRefusal refusal, std::string_view cause, const FlowSequences& sequences)
{
    ++this->counts.gone;
    logEvent(Event::PacketFlowGone,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "cause", cause },
            { "busy", this->runningRequests() }, { "flows", static_cast<uint64_t>(this->heldFlows) } });
    const uint32_t end = sequences.fromUpstream().isKnown() ? sequences.fromUpstream().end() : 0;
    this->reply(entry, HopKind::Gone, key, refusal, {}, end);
}

void AgentRouter::onOffer(PacketAddress entry, const HopMessage& message, const Packet& packet)
{
    const FlowKey key = packet.flowKeyFromClient();
    this->returnedFlows.erase(key); // the client uses its port again
    Subscriber& subscriber = this->subscribers[entry];
    subscriber.lastOffer = this->clock.now();
    subscriber.reportInterval = std::max(this->options.loadInterval, message.loadInterval);
    if (this->isColdLimited()) // requests get the free places before the new flow
        this->startWaitingRequests();
    Flow* known = this->liveness.hasLostFlows() ? nullptr : this->flows.find(key);
    const bool isPortReused = known && known->sequences.isOfOtherFlow(packet);
    if (known && known->isHeld && !isPortReused) { // a late copy of the SYN, which all other upstreams may refuse
        known->entry = entry;
        this->reply(entry, HopKind::Holds, key, HopRefusal::None, {}, known->upstreamSequence);
        this->hooks.sendToUpstream(message.packet);
        return;
    }
    // Of a flow that was handed to the upstream before, the upstream has decided already.
    const bool isNewFlow = !known || isPortReused || (!known->offered && !known->mayBeOpen);
    const HopRefusal refusal = this->refusalOf(message, isNewFlow);
    if (refusal == HopRefusal::UpstreamDraining && isNewFlow && this->evacuationNotice.isEvacuated()) {
        ++this->counts.refusedEvacuated;
        this->evacuationNotice.onOfferRefused(entry);
        logEvent(Event::PacketEvacuatedOfferRefused,
            { { "flow", toString(key) }, { "entry", toString(entry) },
                { "position", this->evacuationNotice.position() } });
    }
    logEvent(Event::PacketOfferDecided,
        { { "flow", toString(key) }, { "entry", toString(entry) }, { "outcome", nameOf(refusal) },
            { "busy", this->runningRequests() }, { "waiting", this->waitingRequests() },
            { "flows", static_cast<uint64_t>(this->heldFlows) } });
    if (refusal == HopRefusal::UpstreamDown && this->liveness.tryStartProbe(key)) {
        this->coldStartLimiter.onHandedOver(key);
        this->hooks.sendToUpstream(message.packet);
    }
    if (refusal != HopRefusal::None) {
        ++this->counts.refused;
        this->reply(entry, HopKind::Refused, key, refusal, message.packet);
        return;
    }
    if (isNewFlow)
        this->coldStartLimiter.onHandedOver(key);
    // The SYN may be a late copy of an earlier flow's: the known flow goes on unless the upstream accepts the SYN.
    if (isPortReused && known->isHeld && !known->isEnded()) {
        known->otherSyn = OtherSyn { entry, packet.sequence };
        this->hooks.sendToUpstream(message.packet);
        return;
    }
    if (isPortReused)
        this->removeFlow(key);
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.entry = entry;
    flow.lastKind = HopKind::Offer;
    flow.offered = true;
    flow.offeredAt = this->clock.now();
    flow.synAge = synAge(packet);
    flow.sequences.onClientPacket(packet);
    this->assignDeliveryNumber(flow);
    // An upstream may ignore the SYN of a flow that is open there, and of a port whose earlier flow it did not end.
    if (!flow.mayBeOpen && !isPortReused)
        this->liveness.onSynDelivered(key, message.packet);
    this->hooks.sendToUpstream(message.packet);
}

// Why the agent refuses a SYN that an entry offers. Evacuation comes before the state of the upstream: a probe of a
// down upstream is a SYN, too, and would open a flow there.
HopRefusal AgentRouter::refusalOf(const HopMessage& message, bool isNewFlow)
{
    // An upstream of another service may reuse the address before every entry has the change.
    if (message.service != this->options.service)
        return HopRefusal::OtherService;
    if (isNewFlow && this->evacuationNotice.isEvacuated())
        return HopRefusal::UpstreamDraining;
    if (this->liveness.state() == UpstreamState::Down)
        return HopRefusal::UpstreamDown;
    if (this->figures && this->figures->draining)
        return HopRefusal::UpstreamDraining; // the entry lacks a change of the record
    if (isNewFlow && this->options.limitsColdStarts && !this->coldStartLimiter.mayHandOver()) {
        ++this->counts.refusedCold;
        this->coldStartLimiter.onRefused();
        return HopRefusal::UpstreamBusy; // the entry asks the next candidate
    }
    if (isNewFlow && !this->requestQueue.stallDetector().tryAdmit())
        return HopRefusal::UpstreamRejecting;
    return this->rejection.tryAdmit() ? HopRefusal::None : HopRefusal::UpstreamRejecting;
}

// Sends a packet to the upstream, or stores it while its request waits.
void AgentRouter::deliver(const FlowKey& key, Flow& flow, const HopMessage& message, const Packet& packet)
{
    if (packet.rst) {
        this->requestQueue.onClientReset(key);
        if (flow.request == RequestState::Waiting) {
            this->requestQueue.remove(key);
            flow.request = RequestState::None;
            flow.storedPackets.clear();
        }
        this->hooks.sendToUpstream(message.packet);
        return;
    }
    const bool isProbe = message.kind == HopKind::Find && !flow.isHeld;
    const bool isFirstRequest = !flow.hasNextSequence;
    const bool isNewRequest = this->startsRequest(flow, packet);
    if (isNewRequest && !isFirstRequest)
        this->requestQueue.onContinued(key);
    if ((isNewRequest || this->isUnsentRequest(flow, packet)) && flow.request == RequestState::None) {
        const RequestLimits limits = this->limitsOf(key.route, message);
        const RequestQueue::Decision decision
            = this->requestQueue.submit({ key, this->arrivalOf(flow, isFirstRequest), limits.objective, limits.timeout,
                limits.priority, isProbe, flow.clientClosed, isFirstRequest && !flow.offered });
        flow.isUnsent = decision == RequestQueue::Decision::Drop;
        if (flow.isUnsent) {
            ++this->counts.dropped;
            return;
        }
        const bool starts = decision == RequestQueue::Decision::Start;
        flow.request = starts ? RequestState::Running : RequestState::Waiting;
        if (!starts)
            this->onWaiting();
    }
    const bool closes = packet.fin && packet.payloadBytes == 0;
    flow.clientClosed = flow.clientClosed || closes; // the FIN may overtake the request
    const bool closesAfterRequest = closes && flow.request != RequestState::None;
    if (closesAfterRequest) {
        this->requestQueue.onClientClosed(key);
        if (flow.request == RequestState::Running)
            flow.request = RequestState::None;
    }
    if (flow.request == RequestState::Waiting && (packet.payloadBytes > 0 || packet.fin)) {
        this->storePacket(flow, packet, message.packet);
        // While the upstream's state is unknown, a copy makes it answer or return the packet.
        if (this->liveness.state() == UpstreamState::Unknown && this->liveness.tryStartProbe(key))
            this->hooks.sendToUpstream(message.packet);
        return;
    }
    if (isProbe)
        this->trackDelivery(key, flow);
    this->hooks.sendToUpstream(message.packet);
    if (closesAfterRequest)
        this->startWaitingRequests();
}

// A packet with payload beyond the payload seen so far starts or continues a request. An upload that takes longer than
// RequestQueue lets a request run is submitted again with each further packet, but StallDetector counts it once.
bool AgentRouter::startsRequest(Flow& flow, const Packet& packet)
{
    if (packet.payloadBytes == 0)
        return false;
    const uint32_t end = packet.sequence + packet.payloadBytes;
    if (flow.hasNextSequence && static_cast<int32_t>(end - flow.nextSequence) <= 0)
        return false;
    flow.hasNextSequence = true;
    flow.nextSequence = end;
    return true;
}

// When the client began to wait, as far as the flow shows it. Copies of a SYN are numbered, other packets are not.
TimePoint AgentRouter::arrivalOf(const Flow& flow, bool isFirstRequest) const
{
    const TimePoint now = this->clock.now();
    const bool opensWithRequest
        = isFirstRequest && flow.offered && now - flow.offeredAt <= this->options.maxHandshakeTime;
    return opensWithRequest ? now - flow.synAge : now;
}

void AgentRouter::storePacket(Flow& flow, const Packet& packet, Bytes bytes)
{
    const auto position = std::lower_bound(flow.storedPackets.begin(), flow.storedPackets.end(), packet.sequence,
        [](const StoredPacket& stored, uint32_t sequence) {
            return static_cast<int32_t>(stored.sequence - sequence) < 0;
        });
    if (position != flow.storedPackets.end() && position->sequence == packet.sequence)
        position->bytes.assign(bytes.begin(), bytes.end()); // a retransmission
    else
        flow.storedPackets.insert(position, { packet.sequence, { bytes.begin(), bytes.end() } });
}

void AgentRouter::startWaitingRequests()
{
    for (const FlowKey& key : this->requestQueue.startWaiting()) {
        Flow* flow = this->flows.find(key);
        if (!flow)
            continue;
        flow->request = RequestState::Running;
        if (flow->lastKind == HopKind::Find && !flow->isHeld)
            this->trackDelivery(key, *flow);
        for (const StoredPacket& stored : std::exchange(flow->storedPackets, {}))
            this->hooks.sendToUpstream(stored.bytes);
    }
}

//-----------------------------------------------------------------------------
// Packets of the upstream
//-----------------------------------------------------------------------------

void AgentRouter::onUpstreamPacket(const Packet& packet, Bytes bytes)
{
    ++this->counts.fromUpstream;
    this->liveness.onPacket();
    this->requestQueue.stallDetector().onPacket();
    this->updateState();
    if (packet.bounced) {
        this->onBounce(packet.flowKeyFromClient(), packet, bytes);
        return;
    }
    const FlowKey key = packet.flowKeyFromUpstream();
    if (this->isResetOfEarlierFlow(key, packet)) {
        if (this->flows.find(key))
            this->denyAfterReset(key);
        return;
    }
    this->hooks.sendToClient(packet.destination, bytes);
    const Flow* known = this->flows.find(key);
    if (packet.isSynAck() && known && known->otherSyn && packet.acknowledgement == known->otherSyn->sequence + 1)
        this->startLaterFlow(key, *known->otherSyn);
    Flow& flow = this->flows.findOrInsert(key, this->clock.now());
    flow.sequences.onUpstreamPacket(packet);
    flow.upstreamSentFin = flow.upstreamSentFin || packet.fin;
    this->countFlow(flow);
    if (packet.isSynAck()) {
        this->confirmDelivery(flow);
        flow.upstreamSequence = packet.sequence;
        flow.isAnsweredSyn = true;
        flow.mayBeOpen = true;
        if (flow.offered) {
            ++this->counts.accepted;
            this->reply(flow.entry, HopKind::Accepted, key, HopRefusal::None, {}, packet.sequence);
        }
        return;
    }
    if (packet.rst) {
        ++this->counts.upstreamResets;
        logEvent(Event::PacketUpstreamReset,
            { { "flow", toString(key) }, { "open", flow.isOpen }, { "busy", this->runningRequests() },
                { "waiting", this->waitingRequests() } });
        if (flow.offered && flow.hasNextSequence && !flow.isAnswered) {
            this->rejection.onFreshFlowReset();
            this->updateRejection();
        }
        if (flow.lastKind == HopKind::Find && !flow.isHeld && flow.entry != PacketAddress())
            this->answerSearchForEndedFlow(key, flow.entry, packet.sequence);
        this->requestQueue.onTurnedBack(key);
        this->removeFlow(key);
        return;
    }
    this->markHeld(key, flow);
    flow.mayBeOpen = true;
    flow.isOpen = true;
    this->hooks.onUpstreamAnswered(key.route);
    if (packet.payloadBytes > 0) {
        flow.isAnswered = true;
        this->rejection.onAnswer();
        this->updateRejection();
    }
    if ((packet.payloadBytes > 0 || packet.fin) && flow.request == RequestState::Running) {
        flow.request = RequestState::None;
        this->requestQueue.onAnswered(key);
        this->startWaitingRequests();
    } else if (packet.payloadBytes > 0) {
        this->requestQueue.stallDetector().onPayload(key);
    }
}

// The upstream answers data of a flow that has ended there with a reset. Without an answer of its agent, the search
// would send the packet again and again. The entry tells by the sequence number whether the flow is the one it seeks.
void AgentRouter::answerSearchForEndedFlow(const FlowKey& key, PacketAddress entry, uint32_t sequence)
{
    if (sequence != 0)
        this->reply(entry, HopKind::Gone, key, HopRefusal::None, {}, sequence);
    else
        this->queuedDenials[{ entry, HopRefusal::None }].flows.push_back(key);
}

// An upstream that keeps an ended flow may answer a packet of a later one with a reset. Its number is
// far from what the client of the later flow acknowledged. 0 states nothing.
bool AgentRouter::isResetOfEarlierFlow(const FlowKey& key, const Packet& packet)
{
    if (!packet.rst)
        return false;
    const Flow* flow = this->flows.find(key);
    if (!flow) // the packet may have been sent twice
        return this->isReturnedFlow(key);
    if (flow->isHeld || packet.sequence == 0)
        return false;
    SequenceRange acknowledged;
    if (flow->lastAcknowledgement)
        acknowledged.add(*flow->lastAcknowledgement);
    return !acknowledged.isNear(packet.sequence);
}

// The upstream does not hold the flow whose packet it got.
void AgentRouter::denyAfterReset(const FlowKey& key)
{
    Flow* flow = this->flows.find(key);
    const PacketAddress entry = flow->entry;
    const bool isSearched = flow->lastKind == HopKind::Find;
    this->confirmDelivery(*flow);
    this->removeFlow(key);
    this->returnedFlows.findOrInsert(key, this->clock.now());
    if (isSearched)
        this->queuedDenials[{ entry, HopRefusal::None }].flows.push_back(key);
    else // the next packet of the client starts a search
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::None);
}

void AgentRouter::markHeld(const FlowKey& key, Flow& flow)
{
    if (!flow.isHeld) {
        flow.isHeld = true;
        this->countFlow(flow);
        this->requestQueue.onHeld(key);
    }
    if (flow.lastKind == HopKind::Find && flow.entry != PacketAddress()) {
        flow.lastKind = HopKind::Forward;
        this->reply(flow.entry, HopKind::Holds, key, HopRefusal::None, {}, flow.upstreamSequence);
    }
}

// A flow that either end has closed brings no further requests, but stays known for up to the idle timeout. It would
// outnumber the flows that do where clients open one per request.
void AgentRouter::countFlow(Flow& flow)
{
    const bool counts = flow.isHeld && !flow.clientSentFin && !flow.upstreamSentFin;
    if (counts == std::exchange(flow.isCounted, counts))
        return;
    if (counts)
        ++this->heldFlows;
    else
        --this->heldFlows;
}

// Numbers a packet that is sent to the upstream: its answer shows that the upstream has received all packets before it.
// Only the first of several copies counts, since the answer may be to that one.
void AgentRouter::assignDeliveryNumber(Flow& flow)
{
    ++this->lastDelivery;
    if (flow.deliveryNumber == 0)
        flow.deliveryNumber = this->lastDelivery;
}

void AgentRouter::confirmDelivery(Flow& flow)
{
    this->confirmedDelivery = std::max(this->confirmedDelivery, std::exchange(flow.deliveryNumber, 0));
}

void AgentRouter::trackDelivery(const FlowKey& key, Flow& flow)
{
    this->assignDeliveryNumber(flow);
    this->unconfirmedDeliveries.push_back({ key, this->lastDelivery, this->clock.now() });
}

// An upstream that answered or returned a later packet, but did not return this one, holds the flow. Elapsed time
// alone does not show that: returned packets may still wait in this agent's socket.
void AgentRouter::confirmHeldFlows()
{
    while (!this->unconfirmedDeliveries.empty()) {
        const Delivery delivery = this->unconfirmedDeliveries.front();
        if (delivery.number >= this->confirmedDelivery
            || this->clock.now() - delivery.time < this->options.reorderWindow)
            return;
        this->unconfirmedDeliveries.pop_front();
        Flow* flow = this->flows.find(delivery.flow);
        // A flow whose packet was returned was removed; a later packet of it has a higher number.
        if (flow && flow->lastKind == HopKind::Find && flow->deliveryNumber != 0
            && flow->deliveryNumber <= delivery.number)
            this->markHeld(delivery.flow, *flow);
    }
}

void AgentRouter::onBounce(const FlowKey& key, const Packet& packet, Bytes bytes)
{
    ++this->counts.bounces;
    Flow* flow = this->flows.find(key);
    if (!flow || flow->entry == PacketAddress()) {
        ++this->counts.dropped;
        return;
    }
    this->confirmDelivery(*flow);
    if (packet.isSyn() && flow->otherSyn && flow->otherSyn->sequence == packet.sequence) {
        ++this->counts.refused;
        this->reply(flow->otherSyn->entry, HopKind::Refused, key, HopRefusal::UpstreamBusy, bytes);
        flow->otherSyn.reset();
        return;
    }
    // A late copy of the SYN, or the SYN of an earlier flow: the upstream may hold the flow nevertheless.
    if (packet.isSyn() && (flow->mayBeOpen || flow->sequences.isOfOtherFlow(packet))) {
        ++this->counts.dropped;
        return;
    }
    const PacketAddress entry = flow->entry;
    if (flow->sequences.isOfOtherFlow(packet)) {
        this->denyOtherFlow(key, *flow, entry, flow->lastKind, bytes);
        return;
    }
    const bool wasOpen = flow->isOpen;
    const FlowSequences sequences = flow->sequences;
    const bool isSearched = flow->lastKind == HopKind::Find; // the entry keeps the packet
    this->requestQueue.onTurnedBack(key);
    this->removeFlow(key);
    if (packet.isSyn()) {
        ++this->counts.refused;
        this->reply(entry, HopKind::Refused, key, HopRefusal::UpstreamBusy, bytes);
    } else if (wasOpen) {
        this->reportGone(key, entry, HopRefusal::None, "returned-packet", sequences);
    } else if (isSearched) {
        this->returnedFlows.findOrInsert(key, this->clock.now());
        this->queuedDenials[{ entry, HopRefusal::None }].flows.push_back(key);
    } else {
        this->reply(entry, HopKind::NotHeld, key, HopRefusal::None, bytes);
    }
}

void AgentRouter::updateRejection()
{
    if (this->rejection.isRejecting() != this->wasRejecting) {
        this->wasRejecting = this->rejection.isRejecting();
        logEvent(this->wasRejecting ? Event::PacketUpstreamRejects : Event::PacketUpstreamAnswers,
            { { "flows", static_cast<uint64_t>(this->heldFlows) }, { "waiting", this->waitingRequests() } });
    }
}

void AgentRouter::updateOverload()
{
    const size_t late = this->requestQueue.lateCount();
    if (!this->overload.update(late > 0))
        return;
    logEvent(this->overload.isOverloaded() ? Event::PacketUpstreamOverloaded : Event::PacketUpstreamOverloadEnded,
        { { "busy", this->runningRequests() }, { "waiting", this->waitingRequests() },
            { "late", static_cast<uint64_t>(late) }, { "flows", static_cast<uint64_t>(this->heldFlows) } });
}

// Pauses or resumes requests when the upstream's state changes.
void AgentRouter::updateState()
{
    if (this->liveness.hasLostFlows() != this->hasDeniedLostFlows) {
        this->hasDeniedLostFlows = this->liveness.hasLostFlows();
        if (this->hasDeniedLostFlows) {
            this->denyLostFlows();
        } else { // an upstream that was silent may have kept the flows that the agent forgot meanwhile
            this->trackingSince = this->clock.now();
            this->requestQueue.onNewProcess();
        }
    }
    const UpstreamState state = this->liveness.state();
    if (state == this->loggedState)
        return;
    this->loggedState = state;
    logEvent(state == UpstreamState::Down ? Event::PacketUpstreamDown : Event::PacketUpstreamUp,
        { { "flows", static_cast<uint64_t>(this->heldFlows) }, { "waiting", this->waitingRequests() } });
    this->requestQueue.setPaused(state != UpstreamState::Up);
    if (state == UpstreamState::Up)
        this->startWaitingRequests();
}

// Their clients may retry at once.
void AgentRouter::denyLostFlows()
{
    std::vector<std::pair<FlowKey, PacketAddress>> lost;
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        if (flow.request != RequestState::None)
            lost.emplace_back(key, flow.entry);
    });
    for (const auto& [key, entry] : lost)
        this->denyFlow(key, entry, false);
}

void AgentRouter::removeFlow(const FlowKey& key)
{
    this->flows.erase(key);
    this->startWaitingRequests();
}

void AgentRouter::reply(
    PacketAddress entry, HopKind kind, const FlowKey& key, HopRefusal refusal, Bytes packet, uint32_t sequence)
{
    HopMessage message = this->makeReply(kind);
    message.refusal = refusal;
    message.flow = key;
    message.upstreamSequence = sequence;
    message.packet = packet;
    this->hooks.sendHop(entry, message);
}

HopMessage AgentRouter::makeReply(HopKind kind) const
{
    HopMessage message;
    message.kind = kind;
    message.service = this->options.service;
    message.runningRequests = this->runningRequests();
    message.waitingRequests = this->waitingRequests();
    message.heldFlows = static_cast<uint32_t>(this->heldFlows);
    message.slots = this->figures ? this->figures->slots : 0;
    message.performance = this->requestQueue.performance();
    return message;
}

//-----------------------------------------------------------------------------
// Timers
//-----------------------------------------------------------------------------

void AgentRouter::onTick()
{
    const TimePoint now = this->clock.now();
    this->checkForPause();
    if (const std::vector<uint8_t>* probe = this->liveness.takeProbe())
        this->hooks.sendToUpstream(*probe);
    this->liveness.onTick();
    this->updateState();
    this->confirmHeldFlows();
    this->flushDenials();
    this->expireRequests();
    this->updateStall();
    if (this->evacuationNotice.onTick())
        logEvent(Event::PacketEvacuationEnded,
            { { "cause", "not-repeated" }, { "position", this->evacuationNotice.position() } });
    if (this->coldStartLimiter.onTick())
        logEvent(Event::PacketUpstreamWarm,
            { { "refused", this->counts.refusedCold }, { "waited", this->counts.waitedCold } });
    this->startWaitingRequests();
    this->updateOverload();
    this->flows.expire(now - this->options.flowIdleTimeout);
    this->returnedFlows.expire(now - this->options.flowIdleTimeout);
    std::erase_if(
        this->subscribers, [&](const auto& item) { return now - item.second.lastOffer > loadSubscriptionDuration; });
    const size_t requests = this->requestQueue.runningCount() + this->requestQueue.waitingCount();
    for (auto& [entry, subscriber] : this->subscribers) {
        const bool changed = subscriber.reportedRequests != requests || subscriber.reportedFlows != this->heldFlows;
        if (now - subscriber.lastReport < (changed
                    ? subscriber.reportInterval
                    : std::max(subscriber.reportInterval, this->options.unchangedLoadInterval)))
            continue;
        subscriber.lastReport = now;
        subscriber.reportedRequests = requests;
        subscriber.reportedFlows = this->heldFlows;
        this->reply(entry, HopKind::Load, {}, HopRefusal::None);
    }
}

} // namespace wasabicroft
