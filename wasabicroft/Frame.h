// Frames: the messages between entries, agents, session callers and configuration peers, and their FlatBuffers codec.
//
// On a TCP link every frame has a 4-byte little-endian size prefix; a datagram carries one frame without a prefix.
//
// Index
//   [SECTION] Kinds, reasons and flags
//   [SECTION] Frame
//   [SECTION] Codec
#pragma once

#include "wasabicroft/Error.h"
#include "wasabicroft/Types.h"

#include <span>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Kinds, reasons and flags
//-----------------------------------------------------------------------------

enum class FrameKind : uint8_t {
    Open, // Initiator to agent: requests a reservation.
    Opened, // Agent to initiator: reservation granted; owner, incarnation and reservation are set.
    Pass, // Agent to initiator: no free slot; load is set.
    Refused, // Agent to initiator: request refused; reason is set.
    Data, // Both ways: payload at offset.
    Ack, // Both ways: all bytes below offset were accepted; window is set.
    Cancel, // Initiator to agent: releases the reservation or aborts the flow.
    Closed, // Agent to initiator: the flow ended at the owner.
    Query, // Initiator to agent: asks for the outcome of a flow.
    Answer, // Agent to initiator: reply to Query; reason is set.
    Ping,
    Pong,
    Announce, // Process to peer: its active configuration version.
    Fetch, // Process to peer: requests the value named by key.
    Value, // Process to peer: a configuration value.
};

inline constexpr std::array<std::string_view, 15> frameKindNames = { "open", "opened", "pass", "refused", "data", "ack",
    "cancel", "closed", "query", "answer", "ping", "pong", "announce", "fetch", "value" };

enum class Reason : uint8_t {
    None,
    Draining, // The upstream takes no new work.
    WrongService, // The agent's upstream does not serve this service.
    WrongOwner, // The frame names another upstream.
    Overloaded, // A limit is reached; see Frame::retryAfter.
    NotRun, // Nothing was handed to the upstream.
    OutcomeUnknown, // The work may or may not have run.
    HandedOver, // Bytes were handed to the upstream.
    UpstreamReset, // The upstream reset the connection.
    DeadlineExceeded,
    Cancelled,
};

inline constexpr std::array<std::string_view, 11> reasonNames = { "none", "draining", "wrong-service", "wrong-owner",
    "overloaded", "not-run", "outcome-unknown", "handed-over", "upstream-reset", "deadline-exceeded", "cancelled" };

std::string_view nameOf(FrameKind);
std::string_view nameOf(Reason);

namespace frame_flags {
    inline constexpr uint8_t mayQueue = 1 << 0; // Open: the agent may queue the request until a slot is free.
    inline constexpr uint8_t idempotent = 1 << 1; // Open: the work may run more than once.
    inline constexpr uint8_t finished = 1 << 2; // Data: last bytes of this direction; Ack, Ping: all were accepted.
    inline constexpr uint8_t handedOver = 1 << 3; // Closed, Answer: bytes were handed to the upstream.
    inline constexpr uint8_t reply = 1 << 4; // Announce: replies to another Announce and gets no reply itself.
    inline constexpr uint8_t backup = 1 << 5; // Open: the request also waits at another upstream.
} // namespace frame_flags

//-----------------------------------------------------------------------------
// [SECTION] Frame
//-----------------------------------------------------------------------------

struct Frame {
    FrameKind kind = FrameKind::Ping;
    FlowId flow;
    ServiceId service;
    OwnerToken token; // Only the owner is set in an Open.
    uint64_t configVersion = 0;
    uint64_t configEpoch = 0; // Set in Announce, Fetch and Value only.
    uint64_t configDigest = 0; // Digest of the manifest; set in Announce, Fetch and Value only.
    uint64_t offset = 0; // Bytes from the start of this direction.
    uint32_t window = 0; // Open, Opened, Ack, Ping: bytes beyond offset that the sender accepts.
    TrafficClass trafficClass = TrafficClass::Request;
    uint8_t flags = 0; // Bits of frame_flags.
    Reason reason = Reason::None;
    Milliseconds deadline { 0 }; // Remaining time; 0 means none. Announce: time until the confirmation expires.
    Milliseconds retryAfter { 0 };
    Load load;
    std::string replyAddress; // "ip:port listener" of a session caller, set by the entry.
    std::string key; // Fetch, Value: name of the value; Open: request id of the caller.
    std::string payload;

    bool has(uint8_t flag) const { return (this->flags & flag) != 0; }
    bool operator==(const Frame&) const = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Codec
//-----------------------------------------------------------------------------

inline constexpr size_t maxPayloadBytes = 64 * 1024; // Payload limit of all frames but Value.
inline constexpr size_t maxValueBytes = 1024 * 1024; // Payload limit of Value frames; the platform's value limit.
inline constexpr size_t maxFrameBytes = maxValueBytes + 4096; // Limit for an encoded frame without the size prefix.
inline constexpr size_t framePrefixBytes = 4;

// Encodes without a size prefix.
std::string encodeFrame(const Frame&);

// Appends the size prefix and the encoded frame.
void appendPrefixedFrame(const Frame&, std::string& out);

// Verifies and decodes. Never reads outside of bytes.
Result<Frame> decodeFrame(std::string_view bytes);

} // namespace wasabicroft
