#include "wasabicroft/Flow.h"
#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

namespace {
    // Fits one frame into a datagram of the usual path MTU of 1,500 bytes.
    constexpr size_t datagramPayloadBytes = 1100;
    // A timer that fires later than this shows that the agent was paused.
    constexpr Milliseconds pauseThreshold { 1000 };

    StreamOptions senderOptions(const OwnerOptions& options, bool lossy)
    {
        return { lossy, options.sendBufferBytes,
            lossy ? std::min(options.maxPayloadBytes, datagramPayloadBytes) : options.maxPayloadBytes,
            options.initialResendTimeout, options.maxResendTimeout };
    }

    bool isDatagramRoute(const ReplyRoute& route) { return !route.replyAddress.empty(); }
} // namespace

FlowOwner::Flow::Flow(const OwnerOptions& options, bool lossy)
    : sender(senderOptions(options, lossy))
    , receiver(options.receiveWindowBytes)
{
}

FlowOwner::FlowOwner(OwnerOptions initialOptions, Admission& agentAdmission, const Clock& timeSource)
    : options(std::move(initialOptions))
    , admission(agentAdmission)
    , clock(timeSource)
{
}

FlowOwner::Flow* FlowOwner::findFlow(FlowId id)
{
    const auto found = this->flows.find(id);
    return found == this->flows.end() ? nullptr : &found->second;
}

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

Frame FlowOwner::makeFrame(FrameKind kind, FlowId id, const Flow& flow) const
{
    Frame frame;
    frame.kind = kind;
    frame.flow = id;
    frame.service = flow.service;
    frame.token = { this->options.upstream, flow.incarnation, flow.reservation };
    frame.trafficClass = flow.trafficClass;
    frame.load = this->admission.load();
    frame.replyAddress = flow.route.replyAddress;
    return frame;
}

Frame FlowOwner::replyTo(const Frame& request, FrameKind kind, Reason reason)
{
    Frame frame;
    frame.kind = kind;
    frame.flow = request.flow;
    frame.service = request.service;
    frame.token = request.token;
    frame.trafficClass = request.trafficClass;
    frame.reason = reason;
    return frame;
}

void FlowOwner::onFrame(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    switch (frame.kind) {
    case FrameKind::Open:
        this->onOpen(frame, route, out);
        break;
    case FrameKind::Data:
        this->onData(frame, route, out);
        break;
    case FrameKind::Ack:
        this->onAck(frame, route, out);
        break;
    case FrameKind::Ping:
        this->onPing(frame, route, out);
        break;
    case FrameKind::Cancel:
        this->onCancel(frame, out);
        break;
    case FrameKind::Query:
        this->onQuery(frame, route, out);
        break;
    default:
        break;
    }
    this->expireEndedFlows();
}

bool FlowOwner::verifyOwner(const Frame& frame, const ReplyRoute& route, OwnerCommands& out) const
{
    if (frame.token.owner == this->options.upstream)
        return true;
    Frame reply = replyTo(frame, FrameKind::Refused, Reason::WrongOwner);
    reply.replyAddress = route.replyAddress;
    out.emplace_back(SendToInitiator { route, std::move(reply) });
    return false;
}

void FlowOwner::recordActivity(Flow& flow, const ReplyRoute& route)
{
    flow.lastHeard = this->clock.now();
    const bool datagrams = isDatagramRoute(route);
    // Frames of a replaced link may be read after those of its successor; they must not restore the old route.
    const bool isOldLink
        = !datagrams && (route.link < flow.route.link || (flow.linkLost && route.link == flow.route.link));
    if (isOldLink)
        return;
    // What was sent over the previous link may be lost. A session caller is left out: its frames change links all the
    // time, and its flow resends on a timer.
    if (flow.linkLost || (flow.route.link != route.link && !datagrams))
        flow.sender.resendAll();
    flow.linkLost = false;
    flow.route = route;
    const StreamOptions transport = senderOptions(this->options, datagrams);
    flow.sender.setTransport(transport.lossy, transport.maxPayloadBytes);
}

// Returns the flow that holds the token; otherwise replies to the frame and returns null.
FlowOwner::Flow* FlowOwner::findByToken(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    if (!this->verifyOwner(frame, route, out))
        return nullptr;
    Flow* flow = this->findFlow(frame.flow);
    const bool holdsToken = flow && flow->phase != FlowPhase::Queued && flow->reservation == frame.token.reservation
        && flow->incarnation == frame.token.incarnation;
    if (holdsToken && flow->service == frame.service)
        return flow;
    const auto endedFlow = this->ended.find(frame.flow);
    Frame reply = replyTo(frame, FrameKind::Refused, Reason::OutcomeUnknown);
    reply.replyAddress = route.replyAddress;
    if (holdsToken)
        reply.reason = Reason::WrongService;
    else if (endedFlow != this->ended.end() && endedFlow->second.token == frame.token) {
        reply.kind = FrameKind::Closed;
        reply.reason = endedFlow->second.reason;
        if (endedFlow->second.handedOver)
            reply.flags |= frame_flags::handedOver;
    } else if (this->options.ablations.reportUnknownAsNotRun)
        reply.reason = Reason::NotRun;
    out.emplace_back(SendToInitiator { route, std::move(reply) });
    return nullptr;
}

//-----------------------------------------------------------------------------
// [SECTION] Reservations
//-----------------------------------------------------------------------------

void FlowOwner::onOpen(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    if (!this->verifyOwner(frame, route, out))
        return;
    Frame reply = replyTo(frame, FrameKind::Refused, Reason::WrongService);
    reply.token = { this->options.upstream, this->options.incarnation, 0 };
    reply.replyAddress = route.replyAddress;
    reply.load = this->admission.load();
    if (Flow* flow = this->findFlow(frame.flow)) {
        if (flow->service == frame.service) {
            // Before the first Data the initiator may send Open again through another entry.
            if (flow->phase == FlowPhase::Queued || flow->phase == FlowPhase::Reserved)
                this->recordActivity(*flow, route);
            if (flow->phase != FlowPhase::Queued) {
                this->sendOpened(frame.flow, *flow, out);
                return;
            }
            reply.kind = FrameKind::Pong;
            reply.reason = Reason::None;
        }
        out.emplace_back(SendToInitiator { route, std::move(reply) });
        return;
    }
    const auto endedFlow = this->ended.find(frame.flow);
    const bool wasHandedOver = endedFlow != this->ended.end() && endedFlow->second.handedOver;
    if (wasHandedOver || !this->options.services.contains(frame.service)) {
        if (wasHandedOver)
            reply.reason = Reason::OutcomeUnknown;
        out.emplace_back(SendToInitiator { route, std::move(reply) });
        return;
    }
    const AdmissionResult admissionResult = this->admission.request({ frame.flow, frame.trafficClass,
        frame.has(frame_flags::mayQueue), frame.deadline, frame.has(frame_flags::backup) });
    const bool isQueued = admissionResult.decision == AdmissionDecision::Queued;
    if (admissionResult.decision == AdmissionDecision::Granted
        || admissionResult.decision == AdmissionDecision::Queued) {
        Flow& flow = this->flows.try_emplace(frame.flow, this->options, isDatagramRoute(route)).first->second;
        flow.service = frame.service;
        flow.trafficClass = frame.trafficClass;
        flow.route = route;
        flow.lastHeard = this->clock.now();
        if (frame.window > 0)
            flow.sender.setPeerWindow(frame.window);
        if (admissionResult.decision == AdmissionDecision::Granted) {
            this->reserve(frame.flow, flow, out);
            return;
        }
        reply.kind = FrameKind::Pong;
        reply.reason = Reason::None;
    } else {
        reply.kind = admissionResult.decision == AdmissionDecision::Pass ? FrameKind::Pass : FrameKind::Refused;
        reply.reason = admissionResult.reason;
        reply.retryAfter = admissionResult.retryAfter;
    }
    reply.load = this->admission.load();
    out.emplace_back(SendToInitiator { route, std::move(reply) });
    if (isQueued)
        this->applyAdmission(out); // the request may get a reservation ahead of a free slot at once
}

void FlowOwner::reserve(FlowId id, Flow& flow, OwnerCommands& out)
{
    flow.phase = FlowPhase::Reserved;
    flow.incarnation = this->options.incarnation;
    flow.reservation = ++this->lastReservation;
    flow.expires = this->clock.now() + this->options.reservationExpiry;
    this->scheduleTimer(id, flow);
    this->sendOpened(id, flow, out);
}

void FlowOwner::sendOpened(FlowId id, const Flow& flow, OwnerCommands& out) const
{
    Frame frame = this->makeFrame(FrameKind::Opened, id, flow);
    frame.window = static_cast<uint32_t>(this->options.receiveWindowBytes);
    out.emplace_back(SendToInitiator { flow.route, std::move(frame) });
}

void FlowOwner::applyAdmission(OwnerCommands& out)
{
    for (const FlowId id : this->admission.startReadyFlows()) {
        Flow* flow = this->findFlow(id);
        if (flow && flow->phase == FlowPhase::Held)
            this->startWork(id, *flow, out);
    }
    for (const AdmissionChange& change : this->admission.processQueue()) {
        Flow* flow = this->findFlow(change.flow);
        if (!flow || flow->phase != FlowPhase::Queued) {
            reportViolation("only a queued flow leaves the queue", { { "flow", change.flow } });
            continue;
        }
        if (change.decision == AdmissionDecision::Granted) {
            this->reserve(change.flow, *flow, out);
            continue;
        }
        const bool draining = change.reason == Reason::Draining;
        Frame reply = this->makeFrame(draining ? FrameKind::Pass : FrameKind::Refused, change.flow, *flow);
        reply.token = { this->options.upstream, this->options.incarnation, 0 };
        reply.reason = change.reason;
        reply.retryAfter = change.retryAfter;
        out.emplace_back(SendToInitiator { flow->route, std::move(reply) });
        this->flows.erase(change.flow);
    }
}

void FlowOwner::setServices(std::set<ServiceId> services, OwnerCommands& out)
{
    this->options.services = std::move(services);
    std::vector<FlowId> revoked;
    for (const auto& [id, flow] : this->flows)
        if (flow.phase == FlowPhase::Queued && !this->options.services.contains(flow.service))
            revoked.push_back(id);
    for (const FlowId id : revoked) {
        const Flow* flow = this->findFlow(id);
        if (!flow || flow->phase != FlowPhase::Queued)
            continue; // it got the slot of a flow dropped earlier in this loop; startWork() checks the service again
        Frame reply = this->makeFrame(FrameKind::Refused, id, *flow);
        reply.token = { this->options.upstream, this->options.incarnation, 0 };
        reply.reason = Reason::WrongService;
        out.emplace_back(SendToInitiator { flow->route, std::move(reply) });
        this->dropFlow(id, out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Frames with a token
//-----------------------------------------------------------------------------

void FlowOwner::onData(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    const bool sameIncarnation = frame.token.incarnation == this->options.incarnation;
    const bool acceptAnyway
        = sameIncarnation ? this->options.ablations.ignoreReservation : this->options.ablations.ignoreIncarnation;
    if (acceptAnyway && frame.token.owner == this->options.upstream && !this->findFlow(frame.flow)) {
        Flow& created = this->flows.try_emplace(frame.flow, this->options, isDatagramRoute(route)).first->second;
        created.phase = FlowPhase::Reserved;
        created.service = frame.service;
        created.trafficClass = frame.trafficClass;
        created.incarnation = frame.token.incarnation;
        created.reservation = frame.token.reservation;
        created.receiver.startAt(frame.offset);
        this->ended.erase(frame.flow);
    }
    Flow* flow = this->findByToken(frame, route, out);
    if (!flow)
        return;
    this->recordActivity(*flow, route);
    if (flow->phase == FlowPhase::Reserved && !this->startOrHold(frame.flow, *flow, out))
        return;
    std::string bytes = flow->receiver.accept(frame.offset, frame.payload, frame.has(frame_flags::finished));
    this->writeUpstream(frame.flow, *flow, std::move(bytes), out);
    this->finishUpstreamIfDone(frame.flow, *flow, out);
    this->sendAck(frame.flow, *flow, out);
    this->sendPendingData(frame.flow, *flow, out);
    this->endIfDone(frame.flow, out);
}

bool FlowOwner::hasStarted(const Flow& flow)
{
    return flow.phase == FlowPhase::Connecting || flow.phase == FlowPhase::Established;
}

// Called when the first Data of a reserved flow arrives: starts its work, or holds it until a slot is free. Returns
// false if the flow ended.
bool FlowOwner::startOrHold(FlowId id, Flow& flow, OwnerCommands& out)
{
    const bool ignoresReservations
        = this->options.ablations.ignoreReservation || this->options.ablations.ignoreIncarnation;
    if (this->admission.start(id) || ignoresReservations)
        return this->startWork(id, flow, out);
    flow.phase = FlowPhase::Held;
    this->scheduleTimer(id, flow);
    return true;
}

// Connects a flow to the upstream, or ends it if the upstream left the service or began to drain since the reservation.
// Without this check, a paused initiator could start work shortly before its reservation expires, long after a drain
// must have stopped new work.
bool FlowOwner::startWork(FlowId id, Flow& flow, OwnerCommands& out)
{
    if (!this->options.services.contains(flow.service)) {
        this->endFlow(id, Reason::WrongService, false, out);
        return false;
    }
    if (this->admission.draining() && !this->options.ablations.startWhileDraining) {
        this->endFlow(id, Reason::Draining, false, out);
        return false;
    }
    const bool isCurrentReservation
        = flow.incarnation == this->options.incarnation && flow.reservation <= this->lastReservation;
    if (!isCurrentReservation && !this->options.ablations.ignoreIncarnation
        && !this->options.ablations.ignoreReservation)
        reportViolation("work starts only for a reservation of this incarnation", { { "flow", id } });
    flow.phase = FlowPhase::Connecting;
    out.emplace_back(ConnectUpstream { id, flow.service, flow.trafficClass });
    this->scheduleTimer(id, flow);
    return true;
}

void FlowOwner::onAck(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    Flow* flow = this->findByToken(frame, route, out);
    if (!flow)
        return;
    this->recordActivity(*flow, route);
    if (flow->phase == FlowPhase::Reserved)
        return;
    flow->sender.onAck(frame.offset, frame.window, frame.has(frame_flags::finished), this->clock.now());
    this->sendPendingData(frame.flow, *flow, out);
    this->endIfDone(frame.flow, out);
}

void FlowOwner::onPing(const Frame& frame, const ReplyRoute& route, OwnerCommands& out)
{
    Flow* flow = this->findByToken(frame, route, out);
    if (!flow)
        return;
    this->recordActivity(*flow, route);
    if (flow->phase == FlowPhase::Reserved) {
        // An Ack would acknowledge the first Data, which has not arrived.
        out.emplace_back(SendToInitiator { route, this->makeFrame(FrameKind::Pong, frame.flow, *flow) });
        return;
    }
    flow->sender.onAck(frame.offset, frame.window, frame.has(frame_flags::finished), this->clock.now());
    this->sendAck(frame.flow, *flow, out);
    this->sendPendingData(frame.flow, *flow, out);
    this->endIfDone(frame.flow, out);
}

void FlowOwner::onCancel(const Frame& frame, OwnerCommands& out)
{
    Flow* flow = this->findFlow(frame.flow);
    if (!flow || frame.token.owner != this->options.upstream)
        return;
    const bool tokenMatches
        = frame.token.incarnation == flow->incarnation && frame.token.reservation == flow->reservation;
    // Without a token, Cancel releases an unanswered Open; it never ends a flow whose Data arrived.
    const bool hasData = flow->phase == FlowPhase::Held || hasStarted(*flow);
    if (!hasData && (tokenMatches || frame.token.reservation == 0)) {
        this->dropFlow(frame.flow, out);
        return;
    }
    if (!hasData || !tokenMatches)
        return;
    const bool wasStarted = hasStarted(*flow);
    if (wasStarted)
        out.emplace_back(ResetUpstream { frame.flow });
    this->endFlow(frame.flow, Reason::Cancelled, wasStarted, out);
}

void FlowOwner::onQuery(const Frame& frame, const ReplyRoute& route, OwnerCommands& out) const
{
    Frame reply = replyTo(frame, FrameKind::Answer, Reason::OutcomeUnknown);
    reply.replyAddress = route.replyAddress;
    const auto live = this->flows.find(frame.flow);
    const auto endedFlow = this->ended.find(frame.flow);
    if (live != this->flows.end()) {
        reply.reason = hasStarted(live->second) ? Reason::HandedOver : Reason::None;
    } else if (endedFlow != this->ended.end() && endedFlow->second.handedOver)
        reply.reason = endedFlow->second.reason == Reason::UpstreamReset ? Reason::UpstreamReset : Reason::HandedOver;
    else if (endedFlow != this->ended.end() && endedFlow->second.token == frame.token)
        reply.reason = Reason::NotRun;
    if (reply.reason == Reason::HandedOver || reply.reason == Reason::UpstreamReset)
        reply.flags |= frame_flags::handedOver;
    out.emplace_back(SendToInitiator { route, std::move(reply) });
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

void FlowOwner::sendAck(FlowId id, const Flow& flow, OwnerCommands& out) const
{
    if (flow.linkLost)
        return;
    Frame frame = this->makeFrame(FrameKind::Ack, id, flow);
    frame.offset = flow.receiver.consumed();
    frame.window = flow.receiver.windowFromConsumed();
    if (flow.finishUpstreamIssued && flow.receiver.consumed() == flow.receiver.received())
        frame.flags |= frame_flags::finished;
    out.emplace_back(SendToInitiator { flow.route, std::move(frame) });
}

void FlowOwner::sendData(FlowId id, const Flow& flow, StreamSegment segment, OwnerCommands& out) const
{
    Frame frame = this->makeFrame(FrameKind::Data, id, flow);
    frame.offset = segment.offset;
    frame.payload = std::move(segment.payload);
    if (segment.finished)
        frame.flags |= frame_flags::finished;
    out.emplace_back(SendToInitiator { flow.route, std::move(frame) });
}

void FlowOwner::sendPendingData(FlowId id, Flow& flow, OwnerCommands& out)
{
    if (!flow.linkLost)
        while (std::optional<StreamSegment> segment = flow.sender.nextSegment(this->clock.now()))
            this->sendData(id, flow, std::move(*segment), out);
    this->scheduleTimer(id, flow);
}

//-----------------------------------------------------------------------------
// [SECTION] Upstream
//-----------------------------------------------------------------------------

void FlowOwner::writeUpstream(FlowId id, Flow& flow, std::string bytes, OwnerCommands& out)
{
    if (bytes.empty())
        return;
    if (flow.phase == FlowPhase::Held || flow.phase == FlowPhase::Connecting)
        flow.pendingUpstreamBytes += bytes;
    else
        out.emplace_back(WriteUpstream { id, std::move(bytes) });
    if (flow.receiver.received() - flow.receiver.consumed() > this->options.receiveWindowBytes)
        reportViolation("bytes waiting for the upstream stay within the window", { { "flow", id } });
}

void FlowOwner::finishUpstreamIfDone(FlowId id, Flow& flow, OwnerCommands& out)
{
    if (flow.phase != FlowPhase::Established || flow.finishUpstreamIssued || !flow.receiver.finished())
        return;
    flow.finishUpstreamIssued = true;
    out.emplace_back(FinishUpstream { id });
}

void FlowOwner::onUpstreamConnected(FlowId id, OwnerCommands& out)
{
    Flow* flow = this->findFlow(id);
    if (!flow || flow->phase != FlowPhase::Connecting)
        return;
    flow->phase = FlowPhase::Established;
    this->writeUpstream(id, *flow, std::exchange(flow->pendingUpstreamBytes, {}), out);
    this->finishUpstreamIfDone(id, *flow, out);
    this->sendAck(id, *flow, out);
    this->scheduleTimer(id, *flow);
}

void FlowOwner::onUpstreamConnectFailed(FlowId id, OwnerCommands& out)
{
    const Flow* flow = this->findFlow(id);
    if (flow && flow->phase == FlowPhase::Connecting)
        this->endFlow(id, Reason::NotRun, false, out);
}

void FlowOwner::onUpstreamBytes(FlowId id, std::string_view bytes, OwnerCommands& out)
{
    Flow* flow = this->findFlow(id);
    if (!flow || flow->phase != FlowPhase::Established)
        return;
    if (!flow->sender.hasUnacknowledged())
        flow->lastHeard = this->clock.now(); // an idle initiator has something to acknowledge only from now on
    if (flow->sender.append(bytes) < bytes.size()) {
        reportViolation("the agent reads no more than the send buffer holds", { { "flow", id } });
        out.emplace_back(ResetUpstream { id });
        this->endFlow(id, Reason::UpstreamReset, true, out);
        return;
    }
    this->sendPendingData(id, *flow, out);
}

void FlowOwner::onUpstreamEnd(FlowId id, OwnerCommands& out)
{
    Flow* flow = this->findFlow(id);
    if (!flow || flow->phase != FlowPhase::Established)
        return;
    if (!flow->sender.hasUnacknowledged())
        flow->lastHeard = this->clock.now();
    flow->sender.finish();
    this->sendPendingData(id, *flow, out);
    this->endIfDone(id, out);
}

void FlowOwner::onUpstreamReset(FlowId id, OwnerCommands& out)
{
    const Flow* flow = this->findFlow(id);
    if (!flow || flow->phase != FlowPhase::Established)
        return;
    const bool upstreamDone = flow->sender.isFinished() && flow->finishUpstreamIssued
        && flow->receiver.consumed() == flow->receiver.received();
    if (!upstreamDone) // otherwise only acknowledgements of the initiator are missing
        this->endFlow(id, Reason::UpstreamReset, true, out);
}

void FlowOwner::onUpstreamWritten(FlowId id, size_t bytes, OwnerCommands& out)
{
    Flow* flow = this->findFlow(id);
    if (!flow || flow->phase != FlowPhase::Established)
        return;
    if (flow->receiver.consumed() + bytes > flow->receiver.received())
        reportViolation("the upstream takes only bytes that were handed to it", { { "flow", id } });
    flow->receiver.consume(bytes);
    this->sendAck(id, *flow, out);
    this->endIfDone(id, out);
}

size_t FlowOwner::freeSendBuffer(FlowId id) const
{
    const auto found = this->flows.find(id);
    return found == this->flows.end() ? 0 : found->second.sender.freeBuffer();
}

//-----------------------------------------------------------------------------
// [SECTION] Ending
//-----------------------------------------------------------------------------

void FlowOwner::releaseSlot(FlowId id, Flow& flow, OwnerCommands& out)
{
    if (flow.slotReleased)
        return;
    flow.slotReleased = true;
    this->admission.release(id);
    this->applyAdmission(out);
}

void FlowOwner::endIfDone(FlowId id, OwnerCommands& out)
{
    Flow* flow = this->findFlow(id);
    if (!flow || !flow->finishUpstreamIssued || !flow->sender.isFinished())
        return;
    if (flow->receiver.consumed() != flow->receiver.received())
        return;
    // The upstream is done; the slot does not wait for acknowledgements of the initiator.
    this->releaseSlot(id, *flow, out);
    if (!flow->sender.hasUnacknowledged())
        this->endFlow(id, Reason::None, true, out);
}

void FlowOwner::endFlow(FlowId id, Reason reason, bool handedOver, OwnerCommands& out)
{
    Flow& flow = *this->findFlow(id);
    Frame frame = this->makeFrame(FrameKind::Closed, id, flow);
    frame.reason = reason;
    if (handedOver)
        frame.flags |= frame_flags::handedOver;
    this->recordEndedFlow(id, { frame.token, flow.service, handedOver, reason });
    if (!flow.linkLost)
        out.emplace_back(SendToInitiator { flow.route, std::move(frame) });
    this->dropFlow(id, out);
}

void FlowOwner::dropFlow(FlowId id, OwnerCommands& out)
{
    Flow& flow = *this->findFlow(id);
    if (flow.timer)
        this->timers.erase({ *flow.timer, id });
    const bool holdsSlot = !flow.slotReleased;
    this->flows.erase(id);
    if (!holdsSlot)
        return;
    this->admission.release(id);
    this->applyAdmission(out);
}

void FlowOwner::recordEndedFlow(FlowId id, const EndedFlow& endedFlow)
{
    const auto previous = this->ended.find(id);
    if (previous != this->ended.end() && previous->second.handedOver && endedFlow.token != previous->second.token
        && !this->options.ablations.ignoreReservation && !this->options.ablations.ignoreIncarnation)
        reportViolation("a flow is handed over once", { { "flow", id } });
    this->ended[id] = endedFlow;
    this->endedOrder.emplace_back(this->clock.now() + this->options.endedFlowRetention, id);
    this->expireEndedFlows();
}

void FlowOwner::expireEndedFlows()
{
    const TimePoint now = this->clock.now();
    while (!this->endedOrder.empty()
        && (this->endedOrder.size() > this->options.maxEndedFlows || this->endedOrder.front().first <= now)) {
        this->ended.erase(this->endedOrder.front().second);
        this->endedOrder.pop_front();
    }
    if (this->ended.size() > this->options.maxEndedFlows)
        reportViolation("remembered flows are bounded", { { "flows", std::to_string(this->ended.size()) } });
}

//-----------------------------------------------------------------------------
// [SECTION] Timers and links
//-----------------------------------------------------------------------------

void FlowOwner::scheduleTimer(FlowId id, Flow& flow)
{
    std::optional<TimePoint> next;
    if (flow.phase == FlowPhase::Reserved)
        next = flow.expires;
    else if (flow.phase != FlowPhase::Queued) {
        // Session callers send heartbeats; over a TCP link an idle flow is silent while nothing is unacknowledged.
        const bool expectsFrames = isDatagramRoute(flow.route) || flow.linkLost || flow.sender.hasUnacknowledged();
        if (expectsFrames)
            next = flow.lastHeard + this->options.abandonAfter;
        const std::optional<TimePoint> resend = flow.sender.nextTimer();
        if (resend && !flow.linkLost && (!next || *resend < *next))
            next = resend;
    }
    if (next == flow.timer)
        return;
    if (flow.timer)
        this->timers.erase({ *flow.timer, id });
    flow.timer = next;
    if (next)
        this->timers.emplace(*next, id);
}

void FlowOwner::onFlowTimer(FlowId id, OwnerCommands& out)
{
    Flow& flow = *this->findFlow(id);
    flow.timer.reset();
    const TimePoint now = this->clock.now();
    if (flow.phase == FlowPhase::Reserved) {
        if (flow.expires <= now)
            this->dropFlow(id, out);
        else
            this->scheduleTimer(id, flow);
        return;
    }
    const bool expectsFrames = isDatagramRoute(flow.route) || flow.linkLost || flow.sender.hasUnacknowledged();
    const TimePoint abandonAt = flow.lastHeard + this->options.abandonAfter;
    if (expectsFrames && now > abandonAt + pauseThreshold)
        flow.lastHeard = now; // frames that arrived during the pause are still to be read
    else if (expectsFrames && now >= abandonAt) {
        const bool wasStarted = hasStarted(flow);
        if (wasStarted)
            out.emplace_back(ResetUpstream { id });
        this->endFlow(id, wasStarted ? Reason::OutcomeUnknown : Reason::NotRun, wasStarted, out);
        return;
    }
    if (!flow.linkLost && flow.sender.onTimeout(now)) {
        const size_t before = out.size();
        this->sendPendingData(id, flow, out);
        if (out.size() == before)
            this->sendData(id, flow, flow.sender.probe(), out);
    }
    this->scheduleTimer(id, flow);
}

void FlowOwner::onTimer(OwnerCommands& out)
{
    const TimePoint now = this->clock.now();
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const FlowId id = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        this->onFlowTimer(id, out);
    }
    this->applyAdmission(out);
    this->expireEndedFlows();
}

std::optional<TimePoint> FlowOwner::nextTimer() const
{
    std::optional<TimePoint> next = this->admission.nextTimer();
    if (!this->timers.empty() && (!next || this->timers.begin()->first < *next))
        next = this->timers.begin()->first;
    return next;
}

void FlowOwner::onLinkLost(uint64_t link, OwnerCommands& out)
{
    std::vector<FlowId> queued;
    for (auto& [id, flow] : this->flows) {
        if (flow.route.link != link || flow.linkLost)
            continue;
        if (flow.phase == FlowPhase::Queued)
            queued.push_back(id);
        flow.linkLost = true;
        flow.lastHeard = this->clock.now();
        this->scheduleTimer(id, flow);
    }
    // A queued request of a lost entry would occupy the queue; an entry that still runs sends Open again.
    for (const FlowId id : queued)
        if (this->findFlow(id) && this->findFlow(id)->phase == FlowPhase::Queued)
            this->dropFlow(id, out);
}

size_t FlowOwner::openFlows() const
{
    return static_cast<size_t>(std::count_if(
        this->flows.begin(), this->flows.end(), [](const auto& entry) { return hasStarted(entry.second); }));
}

size_t FlowOwner::reservations() const
{
    return static_cast<size_t>(std::count_if(this->flows.begin(), this->flows.end(), [](const auto& entry) {
        return entry.second.phase == FlowPhase::Reserved || entry.second.phase == FlowPhase::Held;
    }));
}

size_t FlowOwner::endedFlows() const { return this->ended.size(); }

const OwnerOptions& FlowOwner::settings() const { return this->options; }

} // namespace wasabicroft
