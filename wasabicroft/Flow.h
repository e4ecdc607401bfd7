// The two state machines of a flow. Neither does I/O: events go in, commands come out.
//
// A flow is reserved at an agent (Open, Opened), then every frame names the owner token. The owner hands bytes to its
// upstream only for a reservation that it still holds, so the work of a flow runs at most once.
//
// Index
//   [SECTION] Outcomes
//   [SECTION] Initiator (entry and session library)
//   [SECTION] Owner (agent)
//   [SECTION] Ablations
#pragma once

#include "wasabicroft/Admission.h"
#include "wasabicroft/Clock.h"
#include "wasabicroft/Frame.h"
#include "wasabicroft/Placement.h"
#include "wasabicroft/Stream.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

// How a flow ended. Derived from the state machine's state, never chosen by its caller.
enum class FlowOutcome : uint8_t {
    Open, // not ended yet
    Completed, // both directions finished
    NotRun, // nothing was handed to an upstream
    OutcomeUnknown, // bytes may have been handed to an upstream
    UpstreamReset, // the upstream reset the connection after bytes were handed over
};

inline constexpr std::array<std::string_view, 5> flowOutcomeNames
    = { "open", "completed", "not-run", "outcome-unknown", "upstream-reset" };

std::string_view nameOf(FlowOutcome);

//-----------------------------------------------------------------------------
// [SECTION] Ablations
//-----------------------------------------------------------------------------

// Switches single mechanisms off. Only tests set these, to show that a check fails without the mechanism.
struct FlowAblations {
    bool ignoreReservation = false; // owner: accept Data for a reservation it does not hold
    bool ignoreIncarnation = false; // owner: accept Data and Open state of another incarnation
    bool rebindAfterData = false; // initiator: take a second Opened after Data was sent
    bool reportUnknownAsNotRun = false; // owner: answer not-run for an unknown reservation
    bool startWhileDraining = false; // owner: hand over for a reservation granted before the drain

    bool operator==(const FlowAblations&) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Initiator (entry and session library)
//-----------------------------------------------------------------------------

enum class InitiatorPhase : uint8_t {
    Idle, // start() not called yet
    Opening, // asking candidates
    Bound, // an owner is chosen and Data was sent to it
    Ended,
};

inline constexpr std::array<std::string_view, 4> initiatorPhaseNames = { "idle", "opening", "bound", "ended" };

std::string_view nameOf(InitiatorPhase);

// Candidate of a session caller, which knows no upstreams: the entry that forwards the Open fills in the owner. The
// caller learns the owner from the reply. Each entry of the list passed to start() may have this value.
inline constexpr UpstreamId placedByEntry { 0 };

struct InitiatorOptions {
    ServiceId service;
    TrafficClass trafficClass = TrafficClass::Request;
    bool idempotent = false;
    bool deferAcks = false; // Data is acknowledged by sendDeferredAck(), so that one Ack covers several frames
    bool datagrams = false; // carriage may lose frames: resend on a timer; otherwise only after onCarriageReset
    std::string requestId; // sent in Open.key; may be empty
    uint64_t configVersion = 0;
    Milliseconds openTimeout { 300 }; // per candidate
    Milliseconds deadline { 0 }; // for the reservation, and for the whole flow of a Request; 0 means none
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
    Milliseconds heartbeatInterval { 1000 }; // Ping while work is outstanding and nothing was heard
    size_t sendBufferBytes = 256 * 1024;
    size_t receiveWindowBytes = 256 * 1024;
    size_t maxPayloadBytes = 16 * 1024; // per Data frame; session callers use 1,100
    // Retry budget: asked before an Open that follows silence, a refusal or a failed connect. Asking on after Pass is
    // no retry. Empty means always.
    std::function<bool()> mayRetry;
    // Placement at the time when the flow has to wait: it queues at the first upstream of waitAt and waits as a backup
    // at the others. Empty: it queues at the asked upstream with the shortest queue, without backups.
    std::function<PlacementPlan()> plan;
    Milliseconds backupDelay { 10 }; // of the backups of a flow that queues without asking first
    FlowAblations ablations;
};

struct SendToOwner {
    UpstreamId owner;
    Frame frame;
};
struct DeliverToCaller {
    std::string bytes;
};
struct DeliverEndToCaller { }; // the upstream finished its direction
struct FlowEnded {
    FlowOutcome outcome = FlowOutcome::Open;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
};
using InitiatorCommand = std::variant<SendToOwner, DeliverToCaller, DeliverEndToCaller, FlowEnded>;
using InitiatorCommands = std::vector<InitiatorCommand>;

// One candidate asked and its reply; for the placement log line.
struct CandidateReply {
    UpstreamId upstream;
    FrameKind reply = FrameKind::Open; // Open means no reply yet
    Reason reason = Reason::None;
    Load load;
    bool queued = false; // waits or waited there
    bool backup = false; // waits or waited there as a backup
};

class FlowInitiator {
public:
    FlowInitiator(FlowId, InitiatorOptions, const Clock&);

    // Asks the candidates in order; after a Pass from all, waits as InitiatorOptions::plan says. With queueAtOnce it
    // waits without asking first.
    void start(const std::vector<UpstreamId>& candidates, InitiatorCommands& out, bool queueAtOnce = false);

    void onFrame(const Frame&, InitiatorCommands& out);

    // Takes bytes of the caller up to the free send buffer and returns how many were taken.
    size_t write(std::string_view bytes, InitiatorCommands& out);
    void finishWriting(InitiatorCommands& out); // half-close by the caller
    void onDelivered(size_t bytes, InitiatorCommands& out); // the caller took delivered bytes: opens the window
    void cancel(InitiatorCommands& out);
    void onTransportReset(
        InitiatorCommands& out); // the link to the owner was re-established: resend what is unacknowledged
    void sendDeferredAck(InitiatorCommands& out); // after the last of the frames that arrived together
    bool hasDeferredAck() const;
    void onUnreachable(UpstreamId, InitiatorCommands& out); // its link is refused or lost: ask the next candidate
    void onTimer(InitiatorCommands& out);
    std::optional<TimePoint> nextTimer() const;

    FlowId id() const;
    InitiatorPhase phase() const;
    FlowOutcome outcome() const; // derived from the state
    const OwnerToken& token() const; // valid in phase Bound
    size_t freeSendBuffer() const; // bytes
    bool hasUnacknowledged() const;
    const std::vector<CandidateReply>& replies() const;
    const InitiatorOptions& settings() const;

private:
    struct CandidateState {
        bool asked = false; // an Open was sent
        bool queueTried = false;
        bool replyPending = false; // an Open was sent and no final reply was seen
        bool waiting = false; // queued or backup there, as far as known
        TimePoint waitExpires; // the agent counts as lost unless it answers a heartbeat before
    };

    Frame makeFrame(FrameKind) const;
    void sendOpen(size_t index, InitiatorCommands& out);
    void resendOpens(InitiatorCommands& out);
    bool askNext(InitiatorCommands& out); // false if no candidate is left
    bool queueNext(InitiatorCommands& out); // false if no candidate is left to queue at
    bool queueAtShortest(InitiatorCommands& out);
    size_t findOrAddCandidate(UpstreamId); // adds it if it is none yet
    bool mayWaitAt(size_t index) const;
    void waitAt(size_t index, bool backup, InitiatorCommands& out);
    void sendBackups(InitiatorCommands& out);
    bool waitsAnywhere() const;
    void tryNextOrEnd(bool isRetry, InitiatorCommands& out);
    void askCandidate(size_t index, InitiatorCommands& out);
    std::optional<size_t> replyingCandidate(UpstreamId owner);
    void bind(const Frame& opened, size_t index, InitiatorCommands& out);
    void sendPendingData(InitiatorCommands& out);
    void sendData(StreamSegment, InitiatorCommands& out);
    void sendAck(InitiatorCommands& out);
    void sendPing(InitiatorCommands& out);
    void sendCancel(OwnerToken, InitiatorCommands& out);
    void cancelPendingOpens(InitiatorCommands& out);
    void end(Reason, Milliseconds retryAfter, InitiatorCommands& out);
    void completeIfDone(InitiatorCommands& out);
    bool isComplete() const;
    bool wantsHeartbeat() const;

    void onOpened(const Frame&, InitiatorCommands& out);
    void onDeclined(const Frame&, InitiatorCommands& out); // Pass, or Refused in reply to Open
    void onWaitDeclined(size_t index, const Frame&, InitiatorCommands& out);
    void onTokenRefused(const Frame&, InitiatorCommands& out); // Refused in reply to a frame with a token
    void onData(const Frame&, InitiatorCommands& out);
    void onAck(const Frame&, InitiatorCommands& out);
    void onClosed(const Frame&, InitiatorCommands& out);
    void onNothingHandedOver(Reason, InitiatorCommands& out);
    void onFrameAfterEnd(const Frame&, InitiatorCommands& out);
    void onOpenTimer(InitiatorCommands& out);

    FlowId flow;
    InitiatorOptions options;
    const Clock& clock;
    InitiatorPhase state = InitiatorPhase::Idle;
    OwnerToken chosenToken;
    StreamSender sender;
    StreamReceiver receiver;
    std::vector<CandidateReply> candidateReplies;
    std::vector<CandidateState> candidates;
    size_t nextCandidate = 0;
    size_t current = 0; // candidate asked last
    bool queueing = false; // waits at one or more candidates; current is the one at which it queues
    bool willQueueAtOnce = false; // will wait without asking first
    bool queuedAtOnce = false; // waits without having asked first
    std::vector<size_t> pendingBackups; // candidates at which the flow will wait from backupsAt on
    TimePoint sendBackupsAt;
    bool mayHaveRun = false; // Data went out with the chosen token, and its owner did not deny the hand-over
    bool upstreamWasReset = false; // the owner reported the end of the flow after a hand-over
    bool endDelivered = false;
    bool ackDeferred = false;
    uint64_t advertisedLimit = 0; // first offset beyond the window that the owner knows
    Reason lastDeclineReason = Reason::None;
    Milliseconds lastRetryAfter { 0 };
    Milliseconds openResendInterval { 0 };
    std::optional<TimePoint> deadlineAt;
    TimePoint candidateExpires; // the current candidate did not reply in time
    TimePoint openResendAt;
    TimePoint lastHeard;
    TimePoint lastPing;
};

//-----------------------------------------------------------------------------
// [SECTION] Owner (agent)
//-----------------------------------------------------------------------------

// Where replies for a flow go: a link of the agent, and through it a session caller if replyAddress is set.
struct ReplyRoute {
    uint64_t link = 0; // numbers rise with every link that the agent accepts
    std::string replyAddress;
};

struct OwnerOptions {
    UpstreamId upstream;
    uint64_t incarnation = 0;
    std::set<ServiceId> services; // services that the upstream belongs to
    Milliseconds reservationExpiry { 5000 };
    Milliseconds endedFlowRetention { 60000 }; // how long the end of a flow is remembered
    size_t maxEndedFlows = 100000;
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
    Milliseconds abandonAfter { 30000 }; // nothing heard from the initiator while work is outstanding
    size_t sendBufferBytes = 256 * 1024; // per flow, towards the initiator
    size_t receiveWindowBytes = 256 * 1024; // per flow, towards the upstream
    size_t maxPayloadBytes = 16 * 1024; // per Data frame; lowered to 1,100 for session callers
    FlowAblations ablations;
};

struct SendToInitiator {
    ReplyRoute route;
    Frame frame;
};
struct ConnectUpstream {
    FlowId flow;
    ServiceId service;
    TrafficClass trafficClass = TrafficClass::Request;
};
struct WriteUpstream {
    FlowId flow;
    std::string bytes;
};
struct FinishUpstream { // half-close towards the upstream
    FlowId flow;
};
struct ResetUpstream { // abort the upstream connection
    FlowId flow;
};
using OwnerCommand = std::variant<SendToInitiator, ConnectUpstream, WriteUpstream, FinishUpstream, ResetUpstream>;
using OwnerCommands = std::vector<OwnerCommand>;

// All flows of one agent.
class FlowOwner {
public:
    FlowOwner(OwnerOptions, Admission&, const Clock&);

    void onFrame(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onUpstreamConnected(FlowId, OwnerCommands& out);
    void onUpstreamConnectFailed(FlowId, OwnerCommands& out); // nothing was handed over
    void onUpstreamBytes(FlowId, std::string_view bytes, OwnerCommands& out);
    void onUpstreamEnd(FlowId, OwnerCommands& out); // the upstream finished its direction
    void onUpstreamReset(FlowId, OwnerCommands& out);
    void onUpstreamWritten(FlowId, size_t bytes, OwnerCommands& out); // WriteUpstream bytes were taken by the kernel
    void onLinkLost(uint64_t link, OwnerCommands& out);
    void onTimer(OwnerCommands& out);
    std::optional<TimePoint> nextTimer() const;

    void setServices(std::set<ServiceId>, OwnerCommands& out); // configuration changed; open flows go on

    size_t freeSendBuffer(FlowId) const; // bytes that may be read from the upstream now
    size_t openFlows() const; // handed over and not ended
    size_t reservations() const; // granted and not handed over, whether Data arrived or not
    size_t endedFlows() const; // ended and not forgotten
    const OwnerOptions& settings() const;

private:
    // Held: the first Data arrived and waits here for a slot; nothing was handed over.
    enum class FlowPhase : uint8_t { Queued, Reserved, Held, Connecting, Established };

    struct Flow {
        Flow(const OwnerOptions&, bool lossy);

        FlowPhase phase = FlowPhase::Queued;
        ServiceId service;
        TrafficClass trafficClass = TrafficClass::Request;
        uint64_t reservation = 0;
        uint64_t incarnation = 0; // differs from the agent's only under FlowAblations::ignoreIncarnation
        ReplyRoute route;
        bool linkLost = false; // nothing is sent until a frame names a new route
        StreamSender sender;
        StreamReceiver receiver;
        std::string pendingUpstreamBytes; // received while the connection to the upstream is being set up
        bool finishUpstreamIssued = false; // FinishUpstream was issued
        bool slotReleased = false;
        TimePoint expires; // of the reservation
        TimePoint lastHeard;
        std::optional<TimePoint> timer; // key of this flow in timers
    };

    struct EndedFlow {
        OwnerToken token;
        ServiceId service;
        bool handedOver = false;
        Reason reason = Reason::None;
    };

    Frame makeFrame(FrameKind, FlowId, const Flow&) const;
    static Frame replyTo(const Frame&, FrameKind, Reason);
    bool verifyOwner(const Frame&, const ReplyRoute&, OwnerCommands& out) const;
    Flow* findByToken(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onOpen(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onData(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onAck(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onPing(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onCancel(const Frame&, OwnerCommands& out);
    void onQuery(const Frame&, const ReplyRoute&, OwnerCommands& out) const;
    bool startOrHold(FlowId, Flow&, OwnerCommands& out);
    bool startWork(FlowId, Flow&, OwnerCommands& out);
    static bool hasStarted(const Flow&); // the connection to the upstream is or was being set up
    void recordActivity(Flow&, const ReplyRoute&);
    void reserve(FlowId, Flow&, OwnerCommands& out);
    void sendOpened(FlowId, const Flow&, OwnerCommands& out) const;
    void sendAck(FlowId, const Flow&, OwnerCommands& out) const;
    void sendData(FlowId, const Flow&, StreamSegment, OwnerCommands& out) const;
    void sendPendingData(FlowId, Flow&, OwnerCommands& out);
    void writeUpstream(FlowId, Flow&, std::string bytes, OwnerCommands& out);
    void finishUpstreamIfDone(FlowId, Flow&, OwnerCommands& out);
    void endIfDone(FlowId, OwnerCommands& out);
    void endFlow(FlowId, Reason, bool handedOver, OwnerCommands& out); // sends Closed and remembers the end
    void dropFlow(FlowId, OwnerCommands& out); // forgets a flow that was never handed over
    void releaseSlot(FlowId, Flow&, OwnerCommands& out);
    void applyAdmission(OwnerCommands& out); // starts held flows and answers queued ones
    void recordEndedFlow(FlowId, const EndedFlow&);
    void expireEndedFlows();
    void scheduleTimer(FlowId, Flow&);
    void onFlowTimer(FlowId, OwnerCommands& out);
    Flow* findFlow(FlowId);

    OwnerOptions options;
    Admission& admission;
    const Clock& clock;
    uint64_t lastReservation = 0;
    std::unordered_map<FlowId, Flow> flows;
    std::set<std::pair<TimePoint, FlowId>> timers;
    std::unordered_map<FlowId, EndedFlow> ended;
    std::deque<std::pair<TimePoint, FlowId>> endedOrder; // time to forget, oldest first
};

} // namespace wasabicroft
