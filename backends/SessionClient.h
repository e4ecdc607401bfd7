// Session library: opens flows of a service with datagrams, each of which may go through any entry.
//
// A flow survives the loss of entries, because every frame names its owner and any entry can forward it. One client
// serves one listener of a service, that is one traffic class.
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
    TrafficClass trafficClass = TrafficClass::Request; // of the listener behind the addresses
    std::vector<Endpoint> entries; // addresses of the listener: entries, or a fabric before them; at least one
    size_t maxOpens = 6; // Opens that an entry places, before the flow queues or is refused
    Milliseconds openTimeout { 600 }; // per Open; several resends fit into it, because an entry may just have failed
    Milliseconds heartbeatInterval { 1000 }; // Ping after this silence
    Milliseconds endedFlowRetention { 8000 }; // an ended flow acknowledges repeated bytes for this time
    Milliseconds unresponsiveEntryTimeout { 400 }; // an entry that returned nothing for this time gets only copies
    Milliseconds queryTimeout { 3000 }; // for the answer to query()
    Milliseconds queryResendInterval { 200 };
    size_t maxFlows = 100000; // open and remembered; open() refuses more
    size_t bufferBytes = 256 * 1024; // of a flow, per direction
};

//-----------------------------------------------------------------------------
// [SECTION] Requests and results
//-----------------------------------------------------------------------------

struct SessionRequest {
    std::string requestId; // appears in the logs of entries and agents; may be empty
    bool idempotent = false; // the caller allows the work to run more than once
    Milliseconds deadline { 0 }; // for the reservation, and for the whole flow of a Request; 0 means none
};

// The end of a flow.
//
// outcome Completed: both directions finished, the answer is complete.
// outcome NotRun: nothing was handed to an upstream; a retry under a new flow can't run the work twice. reason is
//   Overloaded (see retryAfter), Draining (every upstream leaves), WrongService, DeadlineExceeded, Cancelled, or NotRun
//   (no entry or agent answered).
// outcome OutcomeUnknown: bytes may have been handed over. query() may tell more; a retry may run the work twice.
// outcome UpstreamReset: bytes were handed over and the upstream ended the connection early.
struct SessionEnd {
    FlowOutcome outcome = FlowOutcome::Open;
    Reason reason = Reason::None;
    Milliseconds retryAfter { 0 }; // 0 if the agent named no time
    OwnerToken owner; // for query(); empty if no owner was chosen
};

// What the owner of a flow knows of it.
enum class QueryOutcome : uint8_t {
    HandedOver, // bytes were handed to the upstream; the work ran or runs
    NotHandedOver, // the flow ended without a hand-over and can't start any more
    Reserved, // waits at the agent without a hand-over, and may still start
    Unknown, // the agent restarted or has forgotten the flow
    NoAnswer, // no entry or agent answered within SessionOptions::queryTimeout
};

inline constexpr std::array<std::string_view, 5> queryOutcomeNames
    = { "handed-over", "not-handed-over", "reserved", "unknown", "no-answer" };

std::string_view nameOf(QueryOutcome);

// Called on the client's thread; may call the client.
struct SessionHandlers {
    std::function<void(FlowId, std::string_view bytes)>
        onBytes; // in order, without repeats; see SessionClient::consumed
    std::function<void(FlowId)> onFinished; // the upstream finished its direction
    std::function<void(FlowId)> onWritable; // all bytes given to write() are in the flow's buffer, which has room
    std::function<void(FlowId, const SessionEnd&)> onEnded; // once, as the last call
};

//-----------------------------------------------------------------------------
// [SECTION] SessionClient
//-----------------------------------------------------------------------------

// Every method may be called from any thread; the work runs on the client's thread. Methods that name a flow that ended
// do nothing.
class SessionClient {
public:
    // Runs on the io_context, which one thread runs. Destroy the client on that thread or after it stopped. Throws
    // boost::system::system_error if there is no socket, and std::invalid_argument without entries.
    SessionClient(boost::asio::io_context&, SessionOptions, const Clock&);

    // Runs on a thread of its own, which the destructor ends.
    SessionClient(SessionOptions, const Clock&);

    ~SessionClient(); // open flows end without a call of their handlers; the agents abandon them
    SessionClient(const SessionClient&) = delete;
    SessionClient& operator=(const SessionClient&) = delete;

    // Starts a flow. Over SessionOptions::maxFlows it ends with NotRun and reason Overloaded.
    FlowId open(SessionRequest, SessionHandlers);

    // Sends bytes. Wait for onWritable before the next call: bytes beyond the flow's buffer are kept without a limit.
    void write(FlowId, std::string bytes);
    void finish(FlowId); // half-close: no more bytes of this side

    // Opens the window for so many bytes that onBytes delivered. Without it the upstream is stopped by back-pressure.
    void consumed(FlowId, size_t bytes);

    // Ends the flow: NotRun before the first Data, else OutcomeUnknown; the upstream connection is aborted.
    void cancel(FlowId);

    // Asks the owner that SessionEnd names what became of the flow.
    void query(FlowId, OwnerToken, std::function<void(QueryOutcome)>);

    void setEntries(std::vector<Endpoint>); // entries joined or left; an empty list is ignored

private:
    class Impl;
    struct OwnThread;

    template <typename Action> void post(Action); // onto the client's thread

    std::shared_ptr<Impl> impl;
    std::unique_ptr<OwnThread> ownThread;
};

} // namespace wasabicroft
