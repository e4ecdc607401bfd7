#include "wasabicroft/Stream.h"

#include <algorithm>
#include <cmath>

namespace wasabicroft {

namespace {
    // RFC 6928 allows an initial window of ten segments.
    constexpr double initialWindowSegments = 10;
    // Bounds the resend rate when round trips are shorter than the timer granularity of the daemons.
    constexpr Milliseconds minResendTimeout { 20 };
    constexpr double maxCongestionWindow = 1024.0 * 1024.0;
} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Sender
//-----------------------------------------------------------------------------

StreamSender::StreamSender(StreamOptions initialOptions)
    : options(initialOptions)
    , congestionWindow(initialWindowSegments * static_cast<double>(initialOptions.maxPayloadBytes))
    , resendTimeout(initialOptions.initialResendTimeout)
{
}

size_t StreamSender::freeBuffer() const
{
    const size_t used = this->buffer.size() - this->bufferHead;
    return used < this->options.bufferBytes ? this->options.bufferBytes - used : 0;
}

size_t StreamSender::append(std::string_view bytes)
{
    if (this->finishRequested)
        return 0;
    const size_t count = std::min(bytes.size(), this->freeBuffer());
    this->buffer.append(bytes.substr(0, count));
    return count;
}

void StreamSender::requestStart()
{
    this->startRequested = true;
    this->startSent = this->startAcked = false; // the new receiver has not acknowledged anything yet
}

void StreamSender::finish() { this->finishRequested = true; }

void StreamSender::setTransport(bool lossy, size_t maxPayloadBytes)
{
    if (lossy == this->options.lossy && maxPayloadBytes == this->options.maxPayloadBytes)
        return;
    this->options.lossy = lossy;
    this->options.maxPayloadBytes = maxPayloadBytes;
    this->congestionWindow = initialWindowSegments * static_cast<double>(maxPayloadBytes);
    if (!lossy)
        this->timer.reset();
}

void StreamSender::setPeerWindow(uint32_t window) { this->peerLimit = this->firstUnacknowledged + window; }

bool StreamSender::hasUnacknowledged() const
{
    return this->firstUnacknowledged < this->end() || (this->startRequested && !this->startAcked)
        || (this->finishRequested && !this->finishAcked);
}

void StreamSender::armTimer(TimePoint now)
{
    if (this->options.lossy && !this->timer)
        this->timer = now + this->resendTimeout;
}

std::optional<StreamSegment> StreamSender::nextSegment(TimePoint now)
{
    if (this->hasUnacknowledged())
        this->armTimer(now);
    uint64_t limit = this->peerLimit;
    if (this->options.lossy)
        limit = std::min(limit, this->firstUnacknowledged + static_cast<uint64_t>(this->congestionWindow));
    const uint64_t windowSpace = limit > this->nextOffset ? limit - this->nextOffset : 0;
    const uint64_t unsentBytes = this->end() - this->nextOffset;
    const uint64_t segmentLimit = this->options.maxPayloadBytes;
    // Sending into a nearly full window would split the stream into ever smaller segments (silly window syndrome,
    // RFC 1122). Waits for the acknowledgement of what is in flight, which opens the window further.
    const bool isWindowSmall
        = windowSpace < std::min(unsentBytes, segmentLimit) && this->nextOffset > this->firstUnacknowledged;
    const uint64_t count = isWindowSmall ? 0 : std::min({ windowSpace, unsentBytes, segmentLimit });
    const bool isLast = this->finishRequested && this->nextOffset + count == this->end();
    const bool sendFinish = isLast && !this->finishSent;
    const bool sendStart = this->startRequested && !this->startSent;
    if (count == 0 && !sendFinish && !sendStart)
        return std::nullopt;
    StreamSegment segment { this->nextOffset,
        this->buffer.substr(this->bufferHead + (this->nextOffset - this->firstUnacknowledged), count), isLast };
    const bool firstTime = this->nextOffset >= this->highestSent;
    this->nextOffset += count;
    this->highestSent = std::max(this->highestSent, this->nextOffset);
    this->startSent = true;
    this->finishSent = this->finishSent || isLast;
    this->finishEverSent = this->finishEverSent || isLast;
    if (count > 0 && firstTime && !this->rttSegment)
        this->rttSegment = { this->nextOffset, now };
    return segment;
}

StreamSegment StreamSender::probe() const { return { this->nextOffset, {}, false }; }

void StreamSender::sampleRoundTrip(TimePoint now)
{
    const Milliseconds sample = std::chrono::ceil<Milliseconds>(now - this->rttSegment->second);
    if (this->smoothedRtt == Milliseconds(0)) {
        this->smoothedRtt = std::max(sample, Milliseconds(1));
        this->rttVariation = sample / 2;
    } else {
        const Milliseconds difference
            = sample > this->smoothedRtt ? sample - this->smoothedRtt : this->smoothedRtt - sample;
        this->rttVariation = (3 * this->rttVariation + difference) / 4;
        this->smoothedRtt = std::max((7 * this->smoothedRtt + sample) / 8, Milliseconds(1));
    }
    this->rttSegment.reset();
}

bool StreamSender::onAck(uint64_t offset, uint32_t window, bool finished, TimePoint now)
{
    if (offset > this->highestSent || (finished && !this->finishEverSent))
        return false;
    this->startAcked = true;
    this->peerLimit = std::max(this->peerLimit, offset + window);
    bool progress = false;
    if (offset > this->firstUnacknowledged) {
        const auto count = static_cast<double>(offset - this->firstUnacknowledged);
        const auto segmentBytes = static_cast<double>(this->options.maxPayloadBytes);
        this->congestionWindow
            = std::min(this->congestionWindow + segmentBytes * count / this->congestionWindow, maxCongestionWindow);
        this->bufferHead += offset - this->firstUnacknowledged;
        this->firstUnacknowledged = offset;
        this->nextOffset = std::max(this->nextOffset, offset);
        if (this->bufferHead * 2 >= this->buffer.size()) {
            this->buffer.erase(0, this->bufferHead);
            this->bufferHead = 0;
        }
        progress = true;
    }
    if (finished && this->finishRequested && offset == this->end() && !this->finishAcked) {
        this->finishAcked = true;
        this->finishSent = true;
        progress = true;
    }
    if (this->rttSegment && offset >= this->rttSegment->first)
        this->sampleRoundTrip(now);
    if (progress) {
        const Milliseconds estimate = this->smoothedRtt == Milliseconds(0)
            ? this->options.initialResendTimeout
            : this->smoothedRtt + std::max(4 * this->rttVariation, Milliseconds(1));
        this->resendTimeout = std::clamp(estimate, minResendTimeout, this->options.maxResendTimeout);
        this->timer.reset();
    }
    if (this->hasUnacknowledged())
        this->armTimer(now);
    else
        this->timer.reset();
    return true;
}

bool StreamSender::onTimeout(TimePoint now)
{
    if (!this->timer || now < *this->timer)
        return false;
    this->congestionWindow = std::max(this->congestionWindow / 2, static_cast<double>(this->options.maxPayloadBytes));
    this->resendTimeout = std::min(this->resendTimeout * 2, this->options.maxResendTimeout);
    this->timer = now + this->resendTimeout;
    this->resendAll();
    return true;
}

void StreamSender::resendAll()
{
    this->nextOffset = this->firstUnacknowledged;
    this->startSent = this->startAcked;
    this->finishSent = this->finishAcked;
    this->rttSegment.reset(); // Karn's algorithm: no sample from a resent segment
}

//-----------------------------------------------------------------------------
// [SECTION] Receiver
//-----------------------------------------------------------------------------

StreamReceiver::StreamReceiver(size_t initialWindowBytes)
    : windowBytes(initialWindowBytes)
{
}

void StreamReceiver::startAt(uint64_t offset) { this->nextOffset = this->consumedOffset = offset; }

std::string StreamReceiver::accept(uint64_t offset, std::string_view payload, bool isLast)
{
    const uint64_t limit = this->consumedOffset + this->windowBytes;
    if (offset > limit || payload.size() > limit - offset)
        return {};
    const uint64_t end = offset + payload.size();
    if (this->finishOffset && end > *this->finishOffset)
        return {};
    if (isLast && !this->finishOffset && end >= this->nextOffset)
        this->finishOffset = end;
    if (offset > this->nextOffset) {
        if (!payload.empty() && this->outOfOrderBytes + payload.size() <= this->windowBytes
            && this->outOfOrder.try_emplace(offset, payload).second)
            this->outOfOrderBytes += payload.size();
        return {};
    }
    std::string inOrder;
    if (end > this->nextOffset) {
        inOrder = payload.substr(this->nextOffset - offset);
        this->nextOffset = end;
    }
    while (!this->outOfOrder.empty() && this->outOfOrder.begin()->first <= this->nextOffset) {
        const auto first = this->outOfOrder.begin();
        const uint64_t segmentEnd = first->first + first->second.size();
        if (segmentEnd > this->nextOffset) {
            inOrder += first->second.substr(this->nextOffset - first->first);
            this->nextOffset = segmentEnd;
        }
        this->outOfOrderBytes -= first->second.size();
        this->outOfOrder.erase(first);
    }
    return inOrder;
}

void StreamReceiver::consume(size_t bytes)
{
    this->consumedOffset = std::min(this->consumedOffset + bytes, this->nextOffset);
}

uint32_t StreamReceiver::window() const
{
    const uint64_t used = this->nextOffset - this->consumedOffset;
    return used < this->windowBytes ? static_cast<uint32_t>(this->windowBytes - used) : 0;
}

} // namespace wasabicroft
