// Session library: opens flows of a service over UDP. Each datagram may go through any entry.
//
// A flow survives the loss of entries, because every frame names its owner and any entry can forward it. One client
// uses one listener of a service, and so one traffic class.
//
// Index
//   [SECTION] Options
//   [SECTION] Requests and results
//   [SECTION] SessionClient
#pragma once

#include "wasabicroft/Config.h"
#include "wasabicroft/Flow.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct SessionOptions {
    std::string service;
    TrafficClass trafficClass = TrafficClass::Request; // Traffic class of the listener at these addresses.
    // Addresses of the listener: entries, or the network fabric in front of them; at least one.
    std::vector<Endpoint> entries;
    size_t maxOpens = 6; // Open attempts, each placed by an entry, before the flow queues or is refused.
    // Time limit per Open; long enough for several resends, because an entry may have failed just now.
    Milliseconds openTimeout { 600 };
    // A Ping is sent if nothing arrives for this time while work is outstanding.
    Milliseconds heartbeatInterval { 1000 };
    Milliseconds endedFlowRetention { 8000 }; // How long an ended flow still acknowledges resent bytes.
    // An entry that does not answer for this time is not chosen for frames while another one answers. It gets copies of
    // some frames, to detect when it answers again.
    Milliseconds unresponsiveEntryTimeout { 400 };
    Milliseconds queryTimeout { 3000 }; // Time limit for the answer to query().
    Milliseconds queryResendInterval { 200 };
    size_t maxFlows = 100000; // Open and recently ended flows; open() refuses more.
    size_t bufferBytes = 256 * 1024; // Buffer of a flow in each direction.
};

//-----------------------------------------------------------------------------
// [SECTION] Requests and results
//-----------------------------------------------------------------------------

struct SessionRequest {
    std::string requestId; // Appears in the logs of entries and agents; may be empty.
    bool idempotent = false; // The caller allows the work to run more than once.
    // Time limit of the reservation and, in traffic class Request, of the whole flow; 0 means none.
    Milliseconds deadline { 0 };
};

// How a flow ended.
//
// outcome Completed: both directions finished, the answer is complete.
// outcome NotRun: nothing was handed to an upstream; a retry under a new flow can't run the work twice. reason is
//   Overloaded (see retryAfter), Draining (every upstream is draining), WrongService, DeadlineExceeded, Cancelled, or
//   NotRun (no entry or agent answered).
// outcome OutcomeUnknown: bytes may have been handed over. query() may find out whether they were; a retry may run the
//   work twice.
// outcome UpstreamReset: bytes were handed over and the upstream ended the connection early.
struct SessionEnd {
    FlowOutcome outcome = FlowOutcome::Open;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 }; // 0 if the agent gave no time.
    OwnerToken owner; // Argument of query(); empty if no owner was chosen.
};

// State of a flow as its owner reports it.
enum class QueryOutcome : uint8_t {
    HandedOver, // Bytes were handed to the upstream; the work ran or runs.
    NotHandedOver, // The flow ended without a hand-over and can't start any more.
    Reserved, // The flow waits at the agent without a hand-over and may still start.
    Unknown, // The agent restarted or no longer stores the state of the flow.
    NoAnswer, // No entry or agent answered within SessionOptions::queryTimeout.
};

inline constexpr std::array<std::string_view, 5> queryOutcomeNames
    = { "handed-over", "not-handed-over", "reserved", "unknown", "no-answer" };

std::string_view nameOf(QueryOutcome);

// Called on the client's thread; may call methods of the client.
struct SessionHandlers {
    // Bytes arrive in order and without duplicates; see SessionClient::consumed.
    std::function<void(FlowId, std::string_view bytes)> onBytes;
    std::function<void(FlowId)> onFinished; // The upstream finished sending.
    // All bytes passed to write() are in the flow's buffer, which has room for more.
    std::function<void(FlowId)> onWritable;
    std::function<void(FlowId, const SessionEnd&)> onEnded; // Called once, as the last call for the flow.
};

//-----------------------------------------------------------------------------
// [SECTION] SessionClient
//-----------------------------------------------------------------------------

// Every method may be called from any thread; the work runs on the client's thread. Methods do nothing for a flow that
// has ended.
class SessionClient {
public:
    // Runs on the io_context, which must be run by one thread. Destroy the client on that thread or after it stopped.
    // Throws boost::system::system_error if no socket can be opened, and std::invalid_argument without entries.
    SessionClient(boost::asio::io_context&, SessionOptions, const Clock&);

    // Starts a thread of its own, which the destructor joins.
    SessionClient(SessionOptions, const Clock&);

    ~SessionClient(); // Open flows end without a call of their handlers; the agents time them out.
    SessionClient(const SessionClient&) = delete;
    SessionClient& operator=(const SessionClient&) = delete;

    // Starts a flow. Above SessionOptions::maxFlows it ends with NotRun and reason Overloaded.
    FlowId open(SessionRequest, SessionHandlers);

    // Sends bytes. Wait for onWritable before the next call, because bytes beyond the flow's buffer are queued without
    // a limit.
    void write(FlowId, std::string bytes);
    void finish(FlowId); // Half-close: no more bytes are sent.

    // Opens the receive window by the number of bytes from onBytes that were processed. Without it, flow control stops
    // the upstream.
    void consumed(FlowId, size_t bytes);

    // Ends the flow and aborts the upstream connection. The outcome is NotRun before the first Data, else
    // OutcomeUnknown.
    void cancel(FlowId);

    // Asks the owner that SessionEnd names for the state of the flow.
    void query(FlowId, OwnerToken, std::function<void(QueryOutcome)>);

    void setEntries(std::vector<Endpoint>); // Replaces the entries; an empty list is ignored.

private:
    class Impl;
    struct OwnThread;

    template <typename Action> void post(Action); // Runs the action on the client's thread.

    std::shared_ptr<Impl> impl;
    std::unique_ptr<OwnThread> ownThread;
};

} // namespace wasabicroft
