// One direction of a flow: the sending and the receiving end of a byte stream with cumulative acknowledgements.
// No I/O; times are passed in.
#pragma once

#include "wasabicroft/Types.h"

#include <map>

namespace wasabicroft {

struct StreamOptions {
    bool lossy = false; // The transport may lose segments: resend on a timer and use a congestion window.
    size_t bufferBytes = 256 * 1024;
    size_t maxPayloadBytes = 16 * 1024; // Limit for one segment.
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
};

struct StreamSegment {
    uint64_t offset = 0;
    std::string payload;
    bool finished = false; // These are the last bytes of this direction.
};

class StreamSender {
public:
    explicit StreamSender(StreamOptions);

    size_t append(std::string_view bytes); // Returns how many bytes fit into the buffer.
    void requestStart(); // The next segment is sent even if there are no bytes yet.
    void finish();
    void setTransport(bool lossy, size_t maxPayloadBytes);
    void setPeerWindow(uint32_t window); // Bytes that the peer accepts before its first acknowledgement.

    std::optional<StreamSegment> nextSegment(TimePoint now);
    StreamSegment probe() const; // An empty segment, which the peer answers with its window.
    // Returns false if the acknowledgement is beyond what was sent.
    bool onAck(uint64_t offset, uint32_t window, bool finished, TimePoint now);
    bool onTimeout(TimePoint now); // Returns true if the timer expired.
    void resendAll(); // Sends everything unacknowledged again.

    std::optional<TimePoint> nextTimer() const { return this->timer; }
    uint64_t acknowledged() const { return this->firstUnacknowledged; }
    uint64_t sent() const { return this->highestSent; }
    size_t freeBuffer() const;
    bool hasUnacknowledged() const; // Whether bytes, start or finish are unacknowledged, sent or not.
    bool isFinished() const { return this->finishRequested; }
    bool finishAcknowledged() const { return this->finishAcked; }

private:
    uint64_t end() const { return this->firstUnacknowledged + (this->buffer.size() - this->bufferHead); }
    void sampleRoundTrip(TimePoint now);
    void armTimer(TimePoint now);

    StreamOptions options;
    std::string buffer;
    size_t bufferHead = 0; // Acknowledged bytes at the front of buffer that were not erased yet.
    uint64_t firstUnacknowledged = 0; // Offset of the byte at bufferHead.
    uint64_t nextOffset = 0; // Next offset to send.
    uint64_t highestSent = 0; // Offset after the last byte that was ever sent.
    uint64_t peerLimit = 64 * 1024; // First offset that the peer does not accept.
    bool startRequested = false;
    bool startSent = false;
    bool startAcked = false;
    bool finishRequested = false;
    bool finishSent = false; // Cleared by resendAll().
    bool finishEverSent = false;
    bool finishAcked = false;
    double congestionWindow = 0; // Size in bytes.
    Milliseconds smoothedRtt { 0 }; // SRTT of RFC 6298; 0 means no sample.
    Milliseconds rttVariation { 0 }; // RTTVAR of RFC 6298.
    Milliseconds resendTimeout;
    std::optional<TimePoint> timer;
    std::optional<std::pair<uint64_t, TimePoint>> rttSegment; // End offset and send time; never a resent segment.
};

class StreamReceiver {
public:
    explicit StreamReceiver(size_t windowBytes);

    // Returns the new bytes that are now in order.
    std::string accept(uint64_t offset, std::string_view payload, bool finished);
    void startAt(uint64_t offset);
    void consume(size_t bytes); // The reader took bytes that accept() returned.

    uint64_t received() const { return this->nextOffset; }
    uint64_t consumed() const { return this->consumedOffset; }
    bool finished() const { return this->finishOffset && *this->finishOffset == this->nextOffset; }
    uint32_t window() const; // Bytes that fit beyond received().
    uint32_t windowFromConsumed() const { return static_cast<uint32_t>(this->windowBytes); }

private:
    size_t windowBytes;
    uint64_t nextOffset = 0;
    uint64_t consumedOffset = 0;
    std::optional<uint64_t> finishOffset;
    std::map<uint64_t, std::string> outOfOrder;
    size_t outOfOrderBytes = 0;
};

} // namespace wasabicroft
