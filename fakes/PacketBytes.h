// Packet encoding for test doubles and tests. Written from the platform's specification and independent of the
// adapter's decoder.
#pragma once

#include "wasabicroft/Packet.h"

namespace wasabicroft::fakes {

namespace packet_flags {
    inline constexpr uint8_t syn = 16;
    inline constexpr uint8_t ack = 64;
    inline constexpr uint8_t fin = 128;
    inline constexpr uint8_t reset = 32;
    inline constexpr uint8_t bounced = 1;
} // namespace packet_flags

// Reads or writes an unsigned big-endian number of the given size in bytes.
void writeBigEndian(std::vector<uint8_t>& bytes, size_t at, uint64_t value, size_t size);

uint64_t readBigEndian(Bytes, size_t at, size_t size);

std::vector<uint8_t> makePacket(PacketAddress source, PacketAddress destination, uint8_t flags, uint32_t sequence,
    uint32_t acknowledgement, uint16_t payloadBytes);

} // namespace wasabicroft::fakes
