// Sequence numbers that tell the packets of a flow from those of another flow of the same ends: clients use their ports
// again, while entries and agents may still know the earlier flow. No I/O.
#pragma once

#include "wasabicroft/Packet.h"

namespace wasabicroft {

// Four windows of an end, which sends at most 16 packets of 1,200 bytes ahead of what the other end acknowledged. The
// next packet of a flow is no further from those that were seen, even if some were lost.
inline constexpr uint32_t maxSequenceGap = 76800; // bytes

// Sequence numbers of one direction of a flow that a process has seen.
class SequenceRange {
public:
    void add(uint32_t sequence);
    bool isKnown() const { return this->range.has_value(); }
    bool isNear(uint32_t sequence) const; // within maxSequenceGap of the range; true if nothing is known
    bool startsNear(uint32_t sequence) const; // at most maxSequenceGap after this number; true if nothing is known
    uint32_t end() const { return this->range->last; } // the highest one; isKnown() only

private:
    struct Range {
        uint32_t first = 0;
        uint32_t last = 0;
    };

    std::optional<Range> range; // may wrap around
};

// What a process has seen of the sequence numbers of a flow.
class FlowSequences {
public:
    void onClientPacket(const Packet&);
    void onUpstreamPacket(const Packet&);

    // Whether a packet of the client belongs to another flow of the same ends. All copies of a SYN have one sequence
    // number. If it is not known, a SYN is a copy if it comes shortly before what the client sent later: clients repeat
    // it only until the flow is open.
    bool isOfOtherFlow(const Packet&) const;
    const SequenceRange& fromUpstream() const { return this->upstream; }

private:
    std::optional<uint32_t> syn; // sequence number of the client's SYN
    SequenceRange client;
    SequenceRange upstream;
};

} // namespace wasabicroft
