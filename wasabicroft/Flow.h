// State machines of the two ends of a flow, the initiator and the owner. Neither does I/O: both take events and append
// commands that the caller executes.
//
// A flow first reserves capacity at an agent (Open, Opened); every later frame carries the owner token. The owner hands
// bytes to its upstream only for a reservation that it still holds, so the work of a flow runs at most once.
//
// Index
//   [SECTION] Outcomes
//   [SECTION] Ablations
//   [SECTION] Initiator (entry and session library)
//   [SECTION] Owner (agent)
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

// How a flow ended. Derived from the state of the initiator, never set by its caller.
enum class FlowOutcome : uint8_t {
    Open, // The flow has not ended yet.
    Completed, // Both directions finished.
    NotRun, // Nothing was handed to an upstream.
    OutcomeUnknown, // Bytes may have been handed to an upstream.
    UpstreamReset, // The upstream reset the connection after bytes were handed over.
};

inline constexpr std::array<std::string_view, 5> flowOutcomeNames
    = { "open", "completed", "not-run", "outcome-unknown", "upstream-reset" };

std::string_view nameOf(FlowOutcome);

//-----------------------------------------------------------------------------
// [SECTION] Ablations
//-----------------------------------------------------------------------------

// Disables single mechanisms. Only tests set these, to show that a check fails without the mechanism.
struct FlowAblations {
    bool ignoreReservation = false; // Owner: accepts Data for a reservation that it does not hold.
    bool ignoreIncarnation = false; // Owner: accepts Data for a reservation of another incarnation.
    bool rebindAfterData = false; // Initiator: accepts a second Opened after Data was sent.
    bool reportUnknownAsNotRun = false; // Owner: answers not-run for an unknown reservation.
    bool startWhileDraining = false; // Owner: starts work for a reservation granted before the drain.

    bool operator==(const FlowAblations&) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Initiator (entry and session library)
//-----------------------------------------------------------------------------

enum class InitiatorPhase : uint8_t {
    Idle, // start() was not called yet.
    Opening, // Asking candidates for a reservation, or waiting for one.
    Bound, // An owner is chosen and Data was sent to it.
    Ended,
};

inline constexpr std::array<std::string_view, 4> initiatorPhaseNames = { "idle", "opening", "bound", "ended" };

std::string_view nameOf(InitiatorPhase);

// Placeholder candidate of a session caller, which has no list of upstreams: the entry that forwards the Open fills in
// the owner, and the reply carries it to the caller. Any candidate passed to start() may have this value.
inline constexpr UpstreamId placedByEntry { 0 };

struct InitiatorOptions {
    ServiceId service;
    TrafficClass trafficClass = TrafficClass::Request;
    bool idempotent = false;
    bool deferAcks = false; // Data is acknowledged by sendDeferredAck(), so that one Ack covers several frames.
    bool datagrams = false; // The transport may lose frames: resend on a timer, not only after onTransportReset().
    std::string requestId; // Sent as Frame::key of Open; may be empty.
    uint64_t configVersion = 0;
    Milliseconds openTimeout { 300 }; // Time that each candidate has to reply to an Open.
    Milliseconds deadline { 0 }; // Time limit for the reservation, and for the whole flow of a Request; 0 means none.
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
    // While work is outstanding, a Ping is sent after this time without a received frame.
    Milliseconds heartbeatInterval { 1000 };
    size_t sendBufferBytes = 256 * 1024;
    size_t receiveWindowBytes = 256 * 1024;
    size_t maxPayloadBytes = 16 * 1024; // Limit for one Data frame; session callers use 1,100.
    // Retry budget: called before an Open that follows a timeout, a refusal or a failed connect. An Open that follows a
    // Pass is not a retry. If empty, every retry is allowed.
    std::function<bool()> mayRetry;
    // Called when the flow has to wait: the flow queues at the first of PlacementPlan::waitUpstreams and waits as a
    // backup at the others. Without this function it queues at the asked upstream with the shortest queue, without
    // backups.
    std::function<PlacementPlan()> plan;
    Milliseconds backupDelay { 10 }; // Delay before a flow that queues without asking first sends its backups.
    FlowAblations ablations;
};

struct SendToOwner {
    UpstreamId owner;
    Frame frame;
};
struct DeliverToCaller {
    std::string bytes;
};
struct DeliverEndToCaller { }; // The upstream finished its direction.
struct FlowEnded {
    FlowOutcome outcome = FlowOutcome::Open;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 };
};
using InitiatorCommand = std::variant<SendToOwner, DeliverToCaller, DeliverEndToCaller, FlowEnded>;
using InitiatorCommands = std::vector<InitiatorCommand>;

// A candidate and its reply; written to the log line about the placement.
struct CandidateReply {
    UpstreamId upstream;
    FrameKind reply = FrameKind::Open; // Open means no reply yet.
    Reason reason = Reason::None;
    Load load;
    bool queued = false; // The flow waits or waited at this candidate.
    bool backup = false; // The flow waits or waited at this candidate as a backup.
};

class FlowInitiator {
public:
    FlowInitiator(FlowId, InitiatorOptions, const Clock&);

    // Asks the candidates in order for a reservation. If all reply with Pass, the flow waits as InitiatorOptions::plan
    // says. With queueAtOnce it waits without asking first.
    void start(const std::vector<UpstreamId>& candidates, InitiatorCommands& out, bool queueAtOnce = false);

    void onFrame(const Frame&, InitiatorCommands& out);

    // Copies bytes of the caller into the free part of the send buffer and returns how many were copied.
    size_t write(std::string_view bytes, InitiatorCommands& out);
    void finishWriting(InitiatorCommands& out); // The caller half-closed its connection.
    void onDelivered(size_t bytes, InitiatorCommands& out); // The caller took delivered bytes: opens the window.
    void cancel(InitiatorCommands& out);
    // The link to the owner was re-established: resends what is unacknowledged.
    void onTransportReset(InitiatorCommands& out);
    void sendDeferredAck(InitiatorCommands& out); // Call after the last of the frames that arrived together.
    bool hasDeferredAck() const;
    void onUnreachable(UpstreamId, InitiatorCommands& out); // The link to it failed: asks the next candidate.
    void onTimer(InitiatorCommands& out);
    std::optional<TimePoint> nextTimer() const;

    FlowId id() const;
    InitiatorPhase phase() const;
    FlowOutcome outcome() const; // FlowOutcome::Open until the flow has ended.
    const OwnerToken& token() const; // Valid in phase Bound.
    size_t freeSendBuffer() const; // Free space in bytes.
    bool hasUnacknowledged() const;
    const std::vector<CandidateReply>& replies() const;
    const InitiatorOptions& settings() const;

private:
    struct CandidateState {
        bool asked = false; // An Open was sent.
        bool queueTried = false;
        bool replyPending = false; // An Open was sent and no final reply arrived yet.
        bool waiting = false; // Asked to queue the flow or to keep it as a backup; no final reply yet.
        TimePoint waitExpires; // The wait ends at this time; every Pong of the agent extends it.
    };

    Frame makeFrame(FrameKind) const;
    void sendOpen(size_t index, InitiatorCommands& out);
    void resendOpens(InitiatorCommands& out);
    bool askNext(InitiatorCommands& out); // Returns false if no candidate is left.
    bool queueNext(InitiatorCommands& out); // Returns false if no candidate is left to queue at.
    bool queueAtShortest(InitiatorCommands& out);
    size_t findOrAddCandidate(UpstreamId);
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
    void onDeclined(const Frame&, InitiatorCommands& out); // Handles Pass, and Refused in reply to Open.
    void onWaitDeclined(size_t index, const Frame&, InitiatorCommands& out);
    void onTokenRefused(const Frame&, InitiatorCommands& out); // Handles Refused in reply to a frame with a token.
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
    size_t current = 0; // Index of the candidate asked last, or of the one at which the flow queues.
    bool queueing = false; // The flow waits at one or more candidates, at all but the current one as a backup.
    bool willQueueAtOnce = false; // The flow will wait without asking first.
    bool queuedAtOnce = false; // The flow waits without having asked first.
    std::vector<size_t> pendingBackups; // Candidates at which the flow will wait from sendBackupsAt on.
    TimePoint sendBackupsAt;
    bool mayHaveRun = false; // An owner was chosen, and it has not reported that nothing was handed over.
    bool upstreamWasReset = false; // The owner reported an early end after bytes were handed over.
    bool endDelivered = false;
    bool ackDeferred = false;
    uint64_t advertisedLimit = 0; // First offset beyond the window last advertised to the owner.
    Reason lastDeclineReason = Reason::None;
    Milliseconds lastRetryAfter { 0 };
    Milliseconds openResendInterval { 0 };
    std::optional<TimePoint> deadlineAt;
    TimePoint candidateExpires; // Time limit for the reply of the current candidate.
    TimePoint openResendAt;
    TimePoint lastHeard;
    TimePoint lastPing;
};

//-----------------------------------------------------------------------------
// [SECTION] Owner (agent)
//-----------------------------------------------------------------------------

// Destination of replies for a flow: a link of the agent, and through it a session caller if replyAddress is set.
struct ReplyRoute {
    uint64_t link = 0; // Number of the link; increases with every link that the agent accepts.
    std::string replyAddress;
};

struct OwnerOptions {
    UpstreamId upstream;
    uint64_t incarnation = 0;
    std::set<ServiceId> services; // Services that the upstream belongs to.
    Milliseconds reservationExpiry { 5000 };
    Milliseconds endedFlowRetention { 60000 }; // Time for which the record of an ended flow is kept.
    size_t maxEndedFlows = 100000;
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
    // While work is outstanding, a flow is ended after this time without a frame from the initiator.
    Milliseconds abandonAfter { 30000 };
    size_t sendBufferBytes = 256 * 1024; // Buffer of one flow towards the initiator.
    size_t receiveWindowBytes = 256 * 1024; // Window of one flow towards the upstream.
    size_t maxPayloadBytes = 16 * 1024; // Limit for one Data frame; lowered to 1,100 for session callers.
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
struct FinishUpstream { // Half-closes the connection to the upstream.
    FlowId flow;
};
struct ResetUpstream { // Aborts the connection to the upstream.
    FlowId flow;
};
using OwnerCommand = std::variant<SendToInitiator, ConnectUpstream, WriteUpstream, FinishUpstream, ResetUpstream>;
using OwnerCommands = std::vector<OwnerCommand>;

// Owner side of all flows of one agent.
class FlowOwner {
public:
    FlowOwner(OwnerOptions, Admission&, const Clock&);

    void onFrame(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onUpstreamConnected(FlowId, OwnerCommands& out);
    void onUpstreamConnectFailed(FlowId, OwnerCommands& out); // Nothing was handed over.
    void onUpstreamBytes(FlowId, std::string_view bytes, OwnerCommands& out);
    void onUpstreamEnd(FlowId, OwnerCommands& out); // The upstream finished its direction.
    void onUpstreamReset(FlowId, OwnerCommands& out);
    void onUpstreamWritten(FlowId, size_t bytes, OwnerCommands& out); // The kernel took bytes of WriteUpstream.
    void onLinkLost(uint64_t link, OwnerCommands& out);
    void onTimer(OwnerCommands& out);
    std::optional<TimePoint> nextTimer() const;

    void setServices(std::set<ServiceId>, OwnerCommands& out); // The configuration changed; open flows continue.

    size_t freeSendBuffer(FlowId) const; // Bytes that may be read from the upstream now.
    size_t openFlows() const; // Flows handed over and not ended.
    size_t reservations() const; // Reservations granted and not handed over, whether Data arrived or not.
    size_t endedFlows() const; // Ended flows whose record is still kept.
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
        uint64_t incarnation = 0; // Differs from the agent's only under FlowAblations::ignoreIncarnation.
        ReplyRoute route;
        bool linkLost = false; // Nothing is sent until a frame arrives over a new route.
        StreamSender sender;
        StreamReceiver receiver;
        std::string pendingUpstreamBytes; // Received before the connection to the upstream is established.
        bool finishUpstreamIssued = false;
        bool slotReleased = false;
        TimePoint expires; // End of the reservation.
        TimePoint lastHeard;
        std::optional<TimePoint> timer; // Key of this flow in FlowOwner::timers.
    };

    struct EndedFlow {
        OwnerToken token;
        ServiceId service;
        bool handedOver = false;
        Reason reason = Reason::None;
    };

    Frame makeFrame(FrameKind, FlowId, const Flow&) const;
    static Frame replyTo(const Frame&, FrameKind, Reason);
    bool verifyOwner(const Frame&, const ReplyRoute&, OwnerCommands& out) const; // Refuses frames for another owner.
    Flow* findByToken(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onOpen(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onData(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onAck(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onPing(const Frame&, const ReplyRoute&, OwnerCommands& out);
    void onCancel(const Frame&, OwnerCommands& out);
    void onQuery(const Frame&, const ReplyRoute&, OwnerCommands& out) const;
    bool startOrHold(FlowId, Flow&, OwnerCommands& out);
    bool startWork(FlowId, Flow&, OwnerCommands& out);
    static bool hasStarted(const Flow&); // The connection to the upstream is being set up or is established.
    void recordActivity(Flow&, const ReplyRoute&);
    void reserve(FlowId, Flow&, OwnerCommands& out);
    void sendOpened(FlowId, const Flow&, OwnerCommands& out) const;
    void sendAck(FlowId, const Flow&, OwnerCommands& out) const;
    void sendData(FlowId, const Flow&, StreamSegment, OwnerCommands& out) const;
    void sendPendingData(FlowId, Flow&, OwnerCommands& out);
    void writeUpstream(FlowId, Flow&, std::string bytes, OwnerCommands& out);
    void finishUpstreamIfDone(FlowId, Flow&, OwnerCommands& out);
    void endIfDone(FlowId, OwnerCommands& out);
    void endFlow(FlowId, Reason, bool handedOver, OwnerCommands& out); // Sends Closed and records the end.
    void dropFlow(FlowId, OwnerCommands& out); // Removes a flow without a reply and releases its slot.
    void releaseSlot(FlowId, Flow&, OwnerCommands& out);
    void applyAdmission(OwnerCommands& out); // Starts held flows and replies to queued ones.
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
    std::deque<std::pair<TimePoint, FlowId>> endedOrder; // Removal time and id of each record, oldest first.
};

} // namespace wasabicroft
