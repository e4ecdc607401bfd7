#include "wasabicroft/Stream.h"

#include <algorithm>
#include <cmath>

namespace wasabicroft {

namespace {
    // RFC 6928 allows an initial window of ten segments.
    constexpr double initialSegments = 10;
    // Bounds the resend rate when round trips are shorter than the timer granularity of the daemons.
    constexpr Milliseconds minResendTimeout { 20 };
    constexpr double maxCongestionWindow = 1024.0 * 1024.0;
} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Sender
//-----------------------------------------------------------------------------

StreamSender::StreamSender(StreamOptions initialOptions)
    : options(initialOptions)
    , congestionWindow(initialSegments * static_cast<double>(initialOptions.maxPayloadBytes))
    , timeout(initialOptions.initialResendTimeout)
{
}

size_t StreamSender::freeBuffer() const
{
    const size_t used = this->buffer.size() - this->head;
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
    this->startSent = this->startAcked = false; // an earlier receiver's acknowledgement does not count for this one
}

void StreamSender::finish() { this->finishRequested = true; }

void StreamSender::setCarriage(bool timed, size_t maxPayloadBytes)
{
    if (timed == this->options.timed && maxPayloadBytes == this->options.maxPayloadBytes)
        return;
    this->options.timed = timed;
    this->options.maxPayloadBytes = maxPayloadBytes;
    this->congestionWindow = initialSegments * static_cast<double>(maxPayloadBytes);
    if (!timed)
        this->timer.reset();
}

void StreamSender::setPeerWindow(uint32_t window) { this->peerLimit = this->base + window; }

bool StreamSender::hasUnacknowledged() const
{
    return this->base < this->end() || (this->startRequested && !this->startAcked)
        || (this->finishRequested && !this->finishAcked);
}

void StreamSender::arm(TimePoint now)
{
    if (this->options.timed && !this->timer)
        this->timer = now + this->timeout;
}

std::optional<StreamSegment> StreamSender::nextSegment(TimePoint now)
{
    if (this->hasUnacknowledged())
        this->arm(now);
    uint64_t limit = this->peerLimit;
    if (this->options.timed)
        limit = std::min(limit, this->base + static_cast<uint64_t>(this->congestionWindow));
    const uint64_t room = limit > this->next ? limit - this->next : 0;
    const uint64_t waiting = this->end() - this->next;
    const uint64_t segmentLimit = this->options.maxPayloadBytes;
    // A nearly full window would cut the stream into ever smaller segments (silly window syndrome, RFC 1122). An
    // acknowledgement of what is in flight opens it further.
    const bool isWindowSmall = room < std::min(waiting, segmentLimit) && this->next > this->base;
    const uint64_t count = isWindowSmall ? 0 : std::min({ room, waiting, segmentLimit });
    const bool last = this->finishRequested && this->next + count == this->end();
    const bool sendFinish = last && !this->finishSent;
    const bool sendStart = this->startRequested && !this->startSent;
    if (count == 0 && !sendFinish && !sendStart)
        return std::nullopt;
    StreamSegment segment { this->next, this->buffer.substr(this->head + (this->next - this->base), count), last };
    const bool firstTime = this->next >= this->highest;
    this->next += count;
    this->highest = std::max(this->highest, this->next);
    this->startSent = true;
    this->finishSent = this->finishSent || last;
    this->finishEverSent = this->finishEverSent || last;
    if (count > 0 && firstTime && !this->timedSegment)
        this->timedSegment = { this->next, now };
    return segment;
}

StreamSegment StreamSender::probe() const { return { this->next, {}, false }; }

void StreamSender::sampleRoundTrip(TimePoint now)
{
    const Milliseconds sample = std::chrono::ceil<Milliseconds>(now - this->timedSegment->second);
    if (this->smoothed == Milliseconds(0)) {
        this->smoothed = std::max(sample, Milliseconds(1));
        this->variation = sample / 2;
    } else {
        const Milliseconds difference = sample > this->smoothed ? sample - this->smoothed : this->smoothed - sample;
        this->variation = (3 * this->variation + difference) / 4;
        this->smoothed = std::max((7 * this->smoothed + sample) / 8, Milliseconds(1));
    }
    this->timedSegment.reset();
}

bool StreamSender::onAck(uint64_t offset, uint32_t window, bool finished, TimePoint now)
{
    if (offset > this->highest || (finished && !this->finishEverSent))
        return false;
    this->startAcked = true;
    this->peerLimit = std::max(this->peerLimit, offset + window);
    bool progress = false;
    if (offset > this->base) {
        const auto count = static_cast<double>(offset - this->base);
        const auto segmentBytes = static_cast<double>(this->options.maxPayloadBytes);
        this->congestionWindow
            = std::min(this->congestionWindow + segmentBytes * count / this->congestionWindow, maxCongestionWindow);
        this->head += offset - this->base;
        this->base = offset;
        this->next = std::max(this->next, offset);
        if (this->head * 2 >= this->buffer.size()) {
            this->buffer.erase(0, this->head);
            this->head = 0;
        }
        progress = true;
    }
    if (finished && this->finishRequested && offset == this->end() && !this->finishAcked) {
        this->finishAcked = true;
        this->finishSent = true;
        progress = true;
    }
    if (this->timedSegment && offset >= this->timedSegment->first)
        this->sampleRoundTrip(now);
    if (progress) {
        const Milliseconds estimate = this->smoothed == Milliseconds(0)
            ? this->options.initialResendTimeout
            : this->smoothed + std::max(4 * this->variation, Milliseconds(1));
        this->timeout = std::clamp(estimate, minResendTimeout, this->options.maxResendTimeout);
        this->timer.reset();
    }
    if (this->hasUnacknowledged())
        this->arm(now);
    else
        this->timer.reset();
    return true;
}

bool StreamSender::onTimeout(TimePoint now)
{
    if (!this->timer || now < *this->timer)
        return false;
    this->congestionWindow = std::max(this->congestionWindow / 2, static_cast<double>(this->options.maxPayloadBytes));
    this->timeout = std::min(this->timeout * 2, this->options.maxResendTimeout);
    this->timer = now + this->timeout;
    this->resendAll();
    return true;
}

void StreamSender::resendAll()
{
    this->next = this->base;
    this->startSent = this->startAcked;
    this->finishSent = this->finishAcked;
    this->timedSegment.reset(); // Karn's rule: no sample from a resent segment
}

//-----------------------------------------------------------------------------
// [SECTION] Receiver
//-----------------------------------------------------------------------------

StreamReceiver::StreamReceiver(size_t initialWindowBytes)
    : windowBytes(initialWindowBytes)
{
}

void StreamReceiver::startAt(uint64_t offset) { this->next = this->taken = offset; }

std::string StreamReceiver::accept(uint64_t offset, std::string_view payload, bool isLast)
{
    const uint64_t limit = this->taken + this->windowBytes;
    if (offset > limit || payload.size() > limit - offset)
        return {};
    const uint64_t end = offset + payload.size();
    if (this->finishAt && end > *this->finishAt)
        return {};
    if (isLast && !this->finishAt && end >= this->next)
        this->finishAt = end;
    if (offset > this->next) {
        if (!payload.empty() && this->outOfOrderBytes + payload.size() <= this->windowBytes
            && this->outOfOrder.try_emplace(offset, payload).second)
            this->outOfOrderBytes += payload.size();
        return {};
    }
    std::string fresh;
    if (end > this->next) {
        fresh = payload.substr(this->next - offset);
        this->next = end;
    }
    while (!this->outOfOrder.empty() && this->outOfOrder.begin()->first <= this->next) {
        const auto first = this->outOfOrder.begin();
        const uint64_t segmentEnd = first->first + first->second.size();
        if (segmentEnd > this->next) {
            fresh += first->second.substr(this->next - first->first);
            this->next = segmentEnd;
        }
        this->outOfOrderBytes -= first->second.size();
        this->outOfOrder.erase(first);
    }
    return fresh;
}

void StreamReceiver::consume(size_t bytes) { this->taken = std::min(this->taken + bytes, this->next); }

uint32_t StreamReceiver::window() const
{
    const uint64_t used = this->next - this->taken;
    return used < this->windowBytes ? static_cast<uint32_t>(this->windowBytes - used) : 0;
}

} // namespace wasabicroft
