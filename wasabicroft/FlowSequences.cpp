#include "wasabicroft/FlowSequences.h"

namespace wasabicroft {

void SequenceRange::add(uint32_t sequence)
{
    if (!this->range)
        this->range = { sequence, sequence };
    else if (static_cast<int32_t>(sequence - this->range->last) > 0)
        this->range->last = sequence;
    else if (static_cast<int32_t>(sequence - this->range->first) < 0)
        this->range->first = sequence;
}

bool SequenceRange::isNear(uint32_t sequence) const
{
    if (!this->range)
        return true;
    const uint64_t length = this->range->last - this->range->first;
    return sequence - (this->range->first - maxSequenceGap) <= length + 2 * maxSequenceGap;
}

bool SequenceRange::startsNear(uint32_t sequence) const
{
    return !this->range || this->range->first - sequence <= maxSequenceGap;
}

void FlowSequences::onClientPacket(const Packet& packet)
{
    if (packet.rst) // it may carry any sequence number
        return;
    this->client.add(packet.sequence);
    if (packet.isSyn())
        this->syn = packet.sequence;
}

void FlowSequences::onUpstreamPacket(const Packet& packet)
{
    if (packet.rst)
        return;
    this->upstream.add(packet.sequence + packet.payloadBytes + (packet.syn ? 1 : 0) + (packet.fin ? 1 : 0));
    if (packet.ack)
        this->client.add(packet.acknowledgement);
}

bool FlowSequences::isOfOtherFlow(const Packet& packet) const
{
    if (packet.rst)
        return false;
    if (packet.isSyn())
        return this->syn ? packet.sequence != *this->syn : !this->client.startsNear(packet.sequence);
    return !this->client.isNear(packet.sequence) || (packet.ack && !this->upstream.isNear(packet.acknowledgement));
}

} // namespace wasabicroft
