// One direction of a flow: the sending and the receiving end of a byte stream with cumulative acknowledgements.
// No I/O; times are passed in.
#pragma once

#include "wasabicroft/Types.h"

#include <map>

namespace wasabicroft {

struct StreamOptions {
    bool lossy = false; // carriage may lose segments: resend on a timer and limit the congestion window
    size_t bufferBytes = 256 * 1024;
    size_t maxPayloadBytes = 16 * 1024; // per segment
    Milliseconds initialResendTimeout { 200 };
    Milliseconds maxResendTimeout { 2000 };
};

struct StreamSegment {
    uint64_t offset = 0;
    std::string payload;
    bool finished = false; // last bytes of this direction
};

class StreamSender {
public:
    explicit StreamSender(StreamOptions);

    size_t append(std::string_view bytes); // returns how many bytes fitted into the buffer
    void requestStart(); // send a segment even if there are no bytes yet
    void finish();
    void setTransport(bool lossy, size_t maxPayloadBytes);
    void setPeerWindow(uint32_t window); // bytes the peer takes before its first acknowledgement

    std::optional<StreamSegment> nextSegment(TimePoint now);
    StreamSegment probe() const; // an empty segment, which the peer answers with its window
    bool onAck(uint64_t offset, uint32_t window, bool finished, TimePoint now); // false: beyond what was sent
    bool onTimeout(TimePoint now); // true if the timer expired
    void resendAll(); // send everything unacknowledged again

    std::optional<TimePoint> nextTimer() const { return this->timer; }
    uint64_t acknowledged() const { return this->firstUnacknowledged; }
    uint64_t sent() const { return this->highestSent; }
    size_t freeBuffer() const;
    bool hasUnacknowledged() const; // bytes, start or finish not acknowledged, sent or not
    bool isFinished() const { return this->finishRequested; }
    bool finishAcknowledged() const { return this->finishAcked; }

private:
    uint64_t end() const { return this->firstUnacknowledged + (this->buffer.size() - this->bufferHead); }
    void sampleRoundTrip(TimePoint now);
    void armTimer(TimePoint now);

    StreamOptions options;
    std::string buffer;
    size_t bufferHead = 0; // acknowledged bytes at the front of buffer that were not erased yet
    uint64_t firstUnacknowledged = 0; // first unacknowledged offset
    uint64_t nextOffset = 0; // next offset to send
    uint64_t highestSent = 0; // end of what was ever sent
    uint64_t peerLimit = 64 * 1024; // first offset that the peer does not take
    bool startRequested = false;
    bool startSent = false;
    bool startAcked = false;
    bool finishRequested = false;
    bool finishSent = false;
    bool finishEverSent = false;
    bool finishAcked = false;
    double congestionWindow = 0; // bytes
    Milliseconds smoothedRtt { 0 }; // RFC 6298 SRTT; 0 means no sample
    Milliseconds rttVariation { 0 }; // RFC 6298 RTTVAR
    Milliseconds resendTimeout;
    std::optional<TimePoint> timer;
    std::optional<std::pair<uint64_t, TimePoint>> rttSegment; // end offset and send time; never a resent segment
};

class StreamReceiver {
public:
    explicit StreamReceiver(size_t windowBytes);

    // Returns the bytes that are now in order and new.
    std::string accept(uint64_t offset, std::string_view payload, bool finished);
    void startAt(uint64_t offset);
    void consume(size_t bytes); // the reader took bytes that accept returned

    uint64_t received() const { return this->nextOffset; }
    uint64_t consumed() const { return this->consumedOffset; }
    bool finished() const { return this->finishOffset && *this->finishOffset == this->nextOffset; }
    uint32_t window() const; // bytes that fit beyond received()
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
