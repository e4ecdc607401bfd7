#include "wasabicroft/Flow.h"
#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

namespace {
    // A queued Open counts as lost after this many heartbeat intervals without a reply of the agent.
    constexpr int maxMissedQueueHeartbeats = 3;

    StreamOptions senderOptions(const InitiatorOptions& options)
    {
        return { options.datagrams, options.sendBufferBytes, options.maxPayloadBytes, options.initialResendTimeout,
            options.maxResendTimeout };
    }
} // namespace

std::string_view nameOf(FlowOutcome outcome) { return flowOutcomeNames.at(static_cast<size_t>(outcome)); }

std::string_view nameOf(InitiatorPhase phase) { return initiatorPhaseNames.at(static_cast<size_t>(phase)); }

FlowInitiator::FlowInitiator(FlowId id, InitiatorOptions initialOptions, const Clock& timeSource)
    : flow(id)
    , options(std::move(initialOptions))
    , clock(timeSource)
    , sender(senderOptions(this->options))
    , receiver(this->options.receiveWindowBytes)
{
    this->sender.requestStart();
}

//-----------------------------------------------------------------------------
// [SECTION] Reservation
//-----------------------------------------------------------------------------

void FlowInitiator::start(const std::vector<UpstreamId>& upstreams, InitiatorCommands& out, bool queueAtOnce)
{
    if (this->state != InitiatorPhase::Idle)
        return;
    for (const UpstreamId upstream : upstreams)
        this->candidateReplies.emplace_back().upstream = upstream;
    this->candidates.resize(upstreams.size());
    this->state = InitiatorPhase::Opening;
    if (this->options.deadline > Milliseconds(0))
        this->deadlineAt = this->clock.now() + this->options.deadline;
    this->willQueueAtOnce = queueAtOnce && this->options.plan;
    this->tryNextOrEnd(false, out);
}

Frame FlowInitiator::makeFrame(FrameKind kind) const
{
    Frame frame;
    frame.kind = kind;
    frame.flow = this->flow;
    frame.service = this->options.service;
    frame.token = this->chosenToken;
    frame.configVersion = this->options.configVersion;
    frame.trafficClass = this->options.trafficClass;
    if (this->deadlineAt)
        frame.deadline
            = std::max(std::chrono::ceil<Milliseconds>(*this->deadlineAt - this->clock.now()), Milliseconds(1));
    return frame;
}

void FlowInitiator::sendOpen(size_t index, InitiatorCommands& out)
{
    const CandidateReply& candidate = this->candidateReplies[index];
    Frame frame = this->makeFrame(FrameKind::Open);
    frame.token = { candidate.upstream, 0, 0 };
    frame.key = this->options.requestId;
    frame.window = static_cast<uint32_t>(this->options.receiveWindowBytes);
    if (candidate.backup)
        frame.flags |= frame_flags::backup;
    else if (candidate.queued)
        frame.flags |= frame_flags::mayQueue;
    if (this->options.idempotent)
        frame.flags |= frame_flags::idempotent;
    out.emplace_back(SendToOwner { frame.token.owner, std::move(frame) });
}

// Resends the Open to the candidate that is being asked, or to all candidates at which the flow waits.
void FlowInitiator::resendOpens(InitiatorCommands& out)
{
    for (size_t index = 0; index < this->candidates.size(); ++index) {
        const bool isAsked = !this->queueing && index == this->current;
        if (isAsked || this->candidates[index].waiting)
            this->sendOpen(index, out);
    }
}

void FlowInitiator::askCandidate(size_t index, InitiatorCommands& out)
{
    const TimePoint now = this->clock.now();
    this->current = index;
    this->queueing = false;
    this->candidates[index].asked = true;
    this->candidates[index].replyPending = true;
    this->candidateReplies[index].reply = FrameKind::Open;
    this->lastHeard = now;
    this->openResendInterval = this->options.initialResendTimeout;
    this->openResendAt = now + this->openResendInterval;
    this->candidateExpires = now + this->options.openTimeout;
    this->sendOpen(index, out);
}

bool FlowInitiator::askNext(InitiatorCommands& out)
{
    if (this->willQueueAtOnce || this->nextCandidate >= this->candidates.size())
        return false;
    this->askCandidate(this->nextCandidate++, out);
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Waiting
//-----------------------------------------------------------------------------

size_t FlowInitiator::findOrAddCandidate(UpstreamId upstream)
{
    for (size_t index = 0; index < this->candidateReplies.size(); ++index) {
        if (this->candidateReplies[index].upstream == upstream)
            return index;
    }
    this->candidateReplies.emplace_back().upstream = upstream;
    this->candidates.emplace_back();
    return this->candidates.size() - 1;
}

// Returns false for a candidate that was asked and did not reply, is draining, refused or failed.
bool FlowInitiator::mayWaitAt(size_t index) const
{
    const CandidateReply& reply = this->candidateReplies[index];
    const bool passed = reply.reply == FrameKind::Pass && reply.reason != Reason::Draining;
    return !this->candidates[index].queueTried && (passed || !this->candidates[index].asked);
}

void FlowInitiator::waitAt(size_t index, bool backup, InitiatorCommands& out)
{
    const TimePoint now = this->clock.now();
    CandidateState& candidate = this->candidates[index];
    candidate.asked = candidate.queueTried = candidate.replyPending = candidate.waiting = true;
    candidate.waitExpires = now + this->options.heartbeatInterval * maxMissedQueueHeartbeats;
    this->candidateReplies[index].reply = FrameKind::Open;
    this->candidateReplies[index].reason = Reason::None;
    this->candidateReplies[index].queued = true;
    this->candidateReplies[index].backup = backup;
    this->sendOpen(index, out);
}

bool FlowInitiator::queueAtShortest(InitiatorCommands& out)
{
    std::optional<size_t> best;
    for (size_t index = 0; index < this->candidates.size(); ++index) {
        const CandidateReply& reply = this->candidateReplies[index];
        if (reply.reply != FrameKind::Pass || !this->mayWaitAt(index))
            continue;
        if (!best || reply.load.queueLength < this->candidateReplies[*best].load.queueLength)
            best = index;
    }
    if (!best)
        return false;
    this->current = *best;
    this->waitAt(*best, false, out);
    return true;
}

bool FlowInitiator::queueNext(InitiatorCommands& out)
{
    const TimePoint now = this->clock.now();
    this->queueing = true;
    this->lastHeard = now;
    this->openResendInterval = this->options.heartbeatInterval;
    this->openResendAt = now + this->openResendInterval;
    this->pendingBackups.clear();
    if (!this->options.plan)
        return this->queueAtShortest(out);
    bool isFirst = true;
    for (const UpstreamId upstream : this->options.plan().waitUpstreams) {
        const size_t index = this->findOrAddCandidate(upstream);
        if (!this->mayWaitAt(index))
            continue;
        if (std::exchange(isFirst, false)) {
            this->current = index;
            this->waitAt(index, false, out);
        } else
            this->pendingBackups.push_back(index);
    }
    this->nextCandidate = this->candidates.size(); // candidates added here are not asked in turn
    this->sendBackupsAt = this->willQueueAtOnce ? now + this->options.backupDelay : now;
    if (!this->willQueueAtOnce)
        this->sendBackups(out);
    this->queuedAtOnce = std::exchange(this->willQueueAtOnce, false);
    return !isFirst;
}

void FlowInitiator::sendBackups(InitiatorCommands& out)
{
    for (const size_t index : std::exchange(this->pendingBackups, {}))
        this->waitAt(index, true, out);
}

bool FlowInitiator::waitsAnywhere() const
{
    return !this->pendingBackups.empty()
        || std::any_of(this->candidates.begin(), this->candidates.end(),
            [](const CandidateState& candidate) { return candidate.waiting; });
}

void FlowInitiator::tryNextOrEnd(bool isRetry, InitiatorCommands& out)
{
    this->state = InitiatorPhase::Opening;
    const bool isAllowed = !isRetry || !this->options.mayRetry || this->options.mayRetry();
    if (isAllowed && (this->askNext(out) || this->queueNext(out)))
        return;
    this->end(this->lastDeclineReason, this->lastRetryAfter, out);
}

// Returns the index of the candidate to which a reply of this owner belongs. A placeholder candidate (placedByEntry) is
// replaced by the first owner that replies.
std::optional<size_t> FlowInitiator::replyingCandidate(UpstreamId owner)
{
    for (size_t index = 0; index < this->candidateReplies.size(); ++index) {
        if (this->candidateReplies[index].upstream == owner && this->candidates[index].replyPending)
            return index;
    }
    for (size_t index = 0; index < this->candidateReplies.size(); ++index) {
        if (this->candidateReplies[index].upstream != placedByEntry || !this->candidates[index].replyPending)
            continue;
        this->candidateReplies[index].upstream = owner;
        return index;
    }
    return std::nullopt;
}

void FlowInitiator::onOpened(const Frame& frame, InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Bound && frame.token == this->chosenToken)
        return;
    const bool mayRebind = this->options.ablations.rebindAfterData && this->state == InitiatorPhase::Bound;
    if (this->state == InitiatorPhase::Opening || mayRebind) {
        const std::optional<size_t> index = this->replyingCandidate(frame.token.owner);
        if (index) {
            this->bind(frame, *index, out);
            return;
        }
    }
    this->sendCancel(frame.token, out);
}

void FlowInitiator::bind(const Frame& opened, size_t index, InitiatorCommands& out)
{
    if (this->mayHaveRun && !this->options.ablations.rebindAfterData)
        reportViolation("a flow names one owner", { { "flow", this->flow } });
    this->candidateReplies[index].reply = FrameKind::Opened;
    this->candidateReplies[index].load = opened.load;
    this->candidates[index].replyPending = this->options.ablations.rebindAfterData;
    this->candidates[index].waiting = false;
    this->pendingBackups.clear();
    this->current = index;
    this->chosenToken = opened.token;
    this->state = InitiatorPhase::Bound;
    this->mayHaveRun = true;
    this->lastHeard = this->lastPing = this->clock.now();
    if (!this->options.ablations.rebindAfterData)
        this->cancelPendingOpens(out);
    this->sender.setPeerWindow(opened.window);
    this->sender.resendAll();
    this->sender.requestStart();
    this->sendPendingData(out);
}

void FlowInitiator::cancelPendingOpens(InitiatorCommands& out)
{
    for (size_t index = 0; index < this->candidates.size(); ++index) {
        if (!this->candidates[index].replyPending)
            continue;
        // If the chosen owner hands nothing over, the flow may wait at the other candidates again.
        if (this->candidates[index].waiting) {
            this->candidates[index].queueTried = false;
            this->candidateReplies[index].reply = FrameKind::Pass;
        }
        this->candidates[index].replyPending = this->candidates[index].waiting = false;
        // The chosen owner gets no Cancel: an entry may have placed a second Open of this flow there.
        const UpstreamId upstream = this->candidateReplies[index].upstream;
        if (upstream != placedByEntry && upstream != this->chosenToken.owner)
            this->sendCancel({ upstream, 0, 0 }, out);
    }
}

void FlowInitiator::onDeclined(const Frame& frame, InitiatorCommands& out)
{
    if (this->state != InitiatorPhase::Opening)
        return;
    const std::optional<size_t> index = this->replyingCandidate(frame.token.owner);
    if (!index)
        return;
    // A Pass without a reason cannot answer a queued Open; it is the late reply to the earlier Open.
    const bool queued = this->candidateReplies[*index].queued;
    if (queued && frame.kind == FrameKind::Pass && frame.reason == Reason::None)
        return;
    this->candidateReplies[*index].reply = frame.kind;
    this->candidateReplies[*index].reason = frame.reason;
    this->candidateReplies[*index].load = frame.load;
    this->candidates[*index].replyPending = false;
    this->lastDeclineReason = frame.reason == Reason::None ? Reason::Overloaded : frame.reason;
    this->lastRetryAfter = std::max(this->lastRetryAfter, frame.retryAfter);
    if (std::exchange(this->candidates[*index].waiting, false))
        this->onWaitDeclined(*index, frame, out);
    else if (*index == this->current && !this->queueing)
        this->tryNextOrEnd(frame.kind != FrameKind::Pass, out);
}

void FlowInitiator::onWaitDeclined(size_t index, const Frame& frame, InitiatorCommands& out)
{
    if (!this->waitsAnywhere()) {
        this->tryNextOrEnd(frame.kind != FrameKind::Pass, out);
        return;
    }
    if (index != this->current || frame.kind == FrameKind::Pass)
        return;
    // The queue that was estimated as the shortest is full. Unless requests wait at every upstream, a backup is likely
    // to get a slot soon. A flow that asked first keeps waiting too: after those round trips a refusal would come too
    // late.
    const bool isSaturated = this->queuedAtOnce && this->options.plan && this->options.plan().saturated;
    const bool isFinalRefusal
        = frame.reason == Reason::DeadlineExceeded || (frame.reason == Reason::Overloaded && isSaturated);
    if (isFinalRefusal)
        this->end(this->lastDeclineReason, this->lastRetryAfter, out);
}

void FlowInitiator::onOpenTimer(InitiatorCommands& out)
{
    const TimePoint now = this->clock.now();
    if (!this->queueing && now >= this->candidateExpires) {
        this->lastDeclineReason = Reason::NotRun;
        this->tryNextOrEnd(true, out);
        return;
    }
    if (!this->pendingBackups.empty() && now >= this->sendBackupsAt)
        this->sendBackups(out);
    for (CandidateState& candidate : this->candidates)
        candidate.waiting = candidate.waiting && now < candidate.waitExpires;
    if (this->queueing && !this->waitsAnywhere()) {
        this->lastDeclineReason = Reason::NotRun;
        this->tryNextOrEnd(true, out);
        return;
    }
    if (now < this->openResendAt)
        return;
    if (!this->queueing)
        this->openResendInterval *= 2;
    this->openResendAt = now + this->openResendInterval;
    if (this->queueing || this->options.datagrams)
        this->resendOpens(out);
}

//-----------------------------------------------------------------------------
// [SECTION] Frames of the owner
//-----------------------------------------------------------------------------

void FlowInitiator::onFrame(const Frame& frame, InitiatorCommands& out)
{
    if (frame.flow != this->flow || frame.service != this->options.service || this->state == InitiatorPhase::Idle)
        return;
    if (this->state == InitiatorPhase::Ended) {
        this->onFrameAfterEnd(frame, out);
        return;
    }
    if (frame.kind == FrameKind::Opened) {
        this->onOpened(frame, out);
        return;
    }
    if (this->state == InitiatorPhase::Opening) {
        const bool repliesToOpen = frame.token.reservation == 0;
        if (!repliesToOpen)
            return;
        if (frame.kind == FrameKind::Pass || frame.kind == FrameKind::Refused)
            this->onDeclined(frame, out);
        if (frame.kind == FrameKind::Pong) {
            for (size_t index = 0; index < this->candidates.size(); ++index) {
                if (this->candidateReplies[index].upstream == frame.token.owner)
                    this->candidates[index].waitExpires
                        = this->clock.now() + this->options.heartbeatInterval * maxMissedQueueHeartbeats;
            }
        }
        return;
    }
    if (frame.token != this->chosenToken)
        return;
    this->lastHeard = this->clock.now();
    if (frame.kind == FrameKind::Refused)
        this->onTokenRefused(frame, out);
    else if (frame.kind == FrameKind::Data)
        this->onData(frame, out);
    else if (frame.kind == FrameKind::Ack)
        this->onAck(frame, out);
    else if (frame.kind == FrameKind::Closed)
        this->onClosed(frame, out);
}

void FlowInitiator::onFrameAfterEnd(const Frame& frame, InitiatorCommands& out)
{
    if (this->isComplete() && frame.token == this->chosenToken) {
        if (frame.kind == FrameKind::Data)
            this->sendAck(out);
        return;
    }
    const bool fromChosenOwner = frame.token == this->chosenToken;
    const bool showsLiveFlow = frame.kind == FrameKind::Data || frame.kind == FrameKind::Ack;
    if (frame.kind == FrameKind::Opened || (showsLiveFlow && fromChosenOwner))
        this->sendCancel(frame.token, out); // an earlier Cancel was lost
}

void FlowInitiator::onTokenRefused(const Frame& frame, InitiatorCommands& out)
{
    if (frame.reason == Reason::NotRun) {
        this->onNothingHandedOver(frame.reason, out);
        return;
    }
    this->end(frame.reason, frame.retryAfter, out);
}

void FlowInitiator::onData(const Frame& frame, InitiatorCommands& out)
{
    std::string bytes = this->receiver.accept(frame.offset, frame.payload, frame.has(frame_flags::finished));
    if (!bytes.empty())
        out.emplace_back(DeliverToCaller { std::move(bytes) });
    if (this->receiver.finished() && !this->endDelivered) {
        this->endDelivered = true;
        out.emplace_back(DeliverEndToCaller {});
    }
    this->ackDeferred = this->options.deferAcks && !this->receiver.finished();
    if (!this->ackDeferred)
        this->sendAck(out);
    this->completeIfDone(out);
}

void FlowInitiator::sendDeferredAck(InitiatorCommands& out)
{
    if (this->ackDeferred && this->state == InitiatorPhase::Bound)
        this->sendAck(out);
}

bool FlowInitiator::hasDeferredAck() const { return this->ackDeferred; }

void FlowInitiator::onAck(const Frame& frame, InitiatorCommands& out)
{
    if (!this->sender.onAck(frame.offset, frame.window, frame.has(frame_flags::finished), this->clock.now())) {
        reportViolation("an owner acknowledges only what was sent", { { "flow", this->flow } });
        return;
    }
    this->sendPendingData(out);
    this->completeIfDone(out);
}

void FlowInitiator::onClosed(const Frame& frame, InitiatorCommands& out)
{
    if (!frame.has(frame_flags::handedOver)) {
        this->onNothingHandedOver(frame.reason, out);
        return;
    }
    // The owner ends a flow without a reason only after it wrote all bytes of the caller and received the
    // acknowledgement of all bytes of the upstream.
    if (frame.reason == Reason::None && this->receiver.finished() && this->sender.isFinished()) {
        this->sender.onAck(this->sender.sent(), 0, true, this->clock.now());
        this->completeIfDone(out);
        return;
    }
    this->upstreamWasReset = frame.reason != Reason::OutcomeUnknown;
    this->end(frame.reason == Reason::None ? Reason::UpstreamReset : frame.reason, frame.retryAfter, out);
}

void FlowInitiator::onNothingHandedOver(Reason reason, InitiatorCommands& out)
{
    if (this->sender.acknowledged() > 0 || this->receiver.received() > 0) {
        reportViolation("an owner that took bytes handed them over", { { "flow", this->flow } });
        this->end(Reason::OutcomeUnknown, Milliseconds(0), out);
        return;
    }
    this->mayHaveRun = false;
    this->lastDeclineReason = reason;
    this->candidateReplies[this->current].reply = FrameKind::Closed;
    this->candidateReplies[this->current].reason = reason;
    this->sender.resendAll();
    this->tryNextOrEnd(true, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

void FlowInitiator::sendPendingData(InitiatorCommands& out)
{
    if (this->state != InitiatorPhase::Bound)
        return;
    while (std::optional<StreamSegment> segment = this->sender.nextSegment(this->clock.now()))
        this->sendData(std::move(*segment), out);
}

void FlowInitiator::sendData(StreamSegment segment, InitiatorCommands& out)
{
    Frame frame = this->makeFrame(FrameKind::Data);
    frame.offset = segment.offset;
    frame.payload = std::move(segment.payload);
    if (segment.finished)
        frame.flags |= frame_flags::finished;
    out.emplace_back(SendToOwner { this->chosenToken.owner, std::move(frame) });
}

void FlowInitiator::sendAck(InitiatorCommands& out)
{
    this->ackDeferred = false;
    Frame frame = this->makeFrame(FrameKind::Ack);
    frame.offset = this->receiver.received();
    frame.window = this->receiver.window();
    if (this->receiver.finished())
        frame.flags |= frame_flags::finished;
    this->advertisedLimit = frame.offset + frame.window;
    out.emplace_back(SendToOwner { this->chosenToken.owner, std::move(frame) });
}

void FlowInitiator::sendPing(InitiatorCommands& out)
{
    this->lastPing = this->clock.now();
    Frame frame = this->makeFrame(FrameKind::Ping);
    frame.offset = this->receiver.received();
    frame.window = this->receiver.window();
    if (this->receiver.finished())
        frame.flags |= frame_flags::finished;
    out.emplace_back(SendToOwner { this->chosenToken.owner, std::move(frame) });
}

void FlowInitiator::sendCancel(OwnerToken token, InitiatorCommands& out)
{
    Frame frame = this->makeFrame(FrameKind::Cancel);
    frame.token = token;
    out.emplace_back(SendToOwner { token.owner, std::move(frame) });
}

//-----------------------------------------------------------------------------
// [SECTION] Caller
//-----------------------------------------------------------------------------

size_t FlowInitiator::write(std::string_view bytes, InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Ended)
        return 0;
    const size_t taken = this->sender.append(bytes);
    this->sendPendingData(out);
    return taken;
}

void FlowInitiator::finishWriting(InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Ended)
        return;
    this->sender.finish();
    this->sendPendingData(out);
}

void FlowInitiator::onDelivered(size_t bytes, InitiatorCommands& out)
{
    this->receiver.consume(bytes);
    if (this->state != InitiatorPhase::Bound)
        return;
    // One Ack per half window keeps the owner sending without an Ack for every read.
    const uint64_t limit = this->receiver.received() + this->receiver.window();
    if (limit >= this->advertisedLimit + this->options.receiveWindowBytes / 2)
        this->sendAck(out);
}

void FlowInitiator::cancel(InitiatorCommands& out) { this->end(Reason::Cancelled, Milliseconds(0), out); }

void FlowInitiator::onTransportReset(InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Opening)
        this->resendOpens(out);
    if (this->state != InitiatorPhase::Bound)
        return;
    // The Ping gives the owner the new route and the offset of the first byte that is missing here.
    this->sendPing(out);
    this->sender.resendAll();
    this->sendPendingData(out);
}

// A queued Open stays at its candidate: it is sent again if the link is re-established before waitExpires.
void FlowInitiator::onUnreachable(UpstreamId upstream, InitiatorCommands& out)
{
    const bool isAsked = this->state == InitiatorPhase::Opening && !this->queueing
        && this->candidateReplies[this->current].upstream == upstream;
    if (!isAsked)
        return;
    // The candidate may still reply: an Open sent before the link was lost may have been granted.
    this->lastDeclineReason = Reason::NotRun;
    this->tryNextOrEnd(false, out); // not a retry, because no attempt reached an agent
}

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

bool FlowInitiator::wantsHeartbeat() const
{
    if (this->state != InitiatorPhase::Bound)
        return false;
    // An idle feed has no work outstanding; over TCP the daemons detect a lost link and call onTransportReset().
    const bool idleFeed = this->options.trafficClass == TrafficClass::Feed && !this->sender.hasUnacknowledged();
    return this->options.datagrams || !idleFeed;
}

void FlowInitiator::onTimer(InitiatorCommands& out)
{
    const TimePoint now = this->clock.now();
    const bool running = this->state == InitiatorPhase::Opening || this->state == InitiatorPhase::Bound;
    if (!running)
        return;
    const bool deadlineApplies
        = this->state == InitiatorPhase::Opening || this->options.trafficClass == TrafficClass::Request;
    if (this->deadlineAt && deadlineApplies && now >= *this->deadlineAt) {
        this->end(Reason::DeadlineExceeded, Milliseconds(0), out);
        return;
    }
    if (this->state == InitiatorPhase::Opening) {
        this->onOpenTimer(out);
        return;
    }
    if (this->sender.onTimeout(now)) {
        const size_t before = out.size();
        this->sendPendingData(out);
        if (out.size() == before)
            this->sendData(this->sender.probe(), out);
    }
    const TimePoint lastActivity = std::max(this->lastHeard, this->lastPing);
    if (this->wantsHeartbeat() && now >= lastActivity + this->options.heartbeatInterval)
        this->sendPing(out);
}

std::optional<TimePoint> FlowInitiator::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next))
            next = time;
    };
    if (this->state == InitiatorPhase::Opening) {
        consider(this->deadlineAt);
        if (!this->queueing)
            consider(this->candidateExpires);
        if (!this->pendingBackups.empty())
            consider(this->sendBackupsAt);
        for (const CandidateState& candidate : this->candidates) {
            if (candidate.waiting)
                consider(candidate.waitExpires);
        }
        if (this->queueing || this->options.datagrams)
            consider(this->openResendAt);
    } else if (this->state == InitiatorPhase::Bound) {
        if (this->options.trafficClass == TrafficClass::Request)
            consider(this->deadlineAt);
        consider(this->sender.nextTimer());
        if (this->wantsHeartbeat())
            consider(std::max(this->lastHeard, this->lastPing) + this->options.heartbeatInterval);
    }
    return next;
}

//-----------------------------------------------------------------------------
// [SECTION] Ending
//-----------------------------------------------------------------------------

bool FlowInitiator::isComplete() const { return this->receiver.finished() && this->sender.finishAcknowledged(); }

FlowOutcome FlowInitiator::outcome() const
{
    if (this->state != InitiatorPhase::Ended)
        return FlowOutcome::Open;
    if (this->isComplete())
        return FlowOutcome::Completed;
    if (this->upstreamWasReset)
        return FlowOutcome::UpstreamReset;
    return this->mayHaveRun ? FlowOutcome::OutcomeUnknown : FlowOutcome::NotRun;
}

void FlowInitiator::completeIfDone(InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Bound && this->isComplete())
        this->end(Reason::None, Milliseconds(0), out);
}

void FlowInitiator::end(Reason reason, Milliseconds retryAfter, InitiatorCommands& out)
{
    if (this->state == InitiatorPhase::Ended)
        return;
    this->cancelPendingOpens(out);
    this->state = InitiatorPhase::Ended;
    const FlowOutcome result = this->outcome();
    if (result == FlowOutcome::OutcomeUnknown)
        this->sendCancel(this->chosenToken, out);
    if (result == FlowOutcome::NotRun && (this->sender.acknowledged() > 0 || this->receiver.received() > 0))
        reportViolation("a flow with acknowledged bytes is not refused as not run", { { "flow", this->flow } });
    out.emplace_back(FlowEnded { result, reason, retryAfter });
}

FlowId FlowInitiator::id() const { return this->flow; }

InitiatorPhase FlowInitiator::phase() const { return this->state; }

const OwnerToken& FlowInitiator::token() const { return this->chosenToken; }

size_t FlowInitiator::freeSendBuffer() const { return this->sender.freeBuffer(); }

bool FlowInitiator::hasUnacknowledged() const { return this->sender.hasUnacknowledged(); }

const std::vector<CandidateReply>& FlowInitiator::replies() const { return this->candidateReplies; }

const InitiatorOptions& FlowInitiator::settings() const { return this->options; }

} // namespace wasabicroft
