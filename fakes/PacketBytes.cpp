#include "fakes/PacketBytes.h"

#include "platform/PacketLayout.h"

namespace wasabicroft::fakes {

void writeBigEndian(std::vector<uint8_t>& bytes, size_t at, uint64_t value, size_t size)
{
    for (size_t i = 0; i < size; ++i)
        bytes[at + i] = static_cast<uint8_t>(value >> (8 * (size - 1 - i)));
}

uint64_t readBigEndian(Bytes bytes, size_t at, size_t size)
{
    uint64_t value = 0;
    for (size_t i = 0; i < size; ++i)
        value = (value << 8) | bytes[at + i];
    return value;
}

std::vector<uint8_t> makePacket(PacketAddress source, PacketAddress destination, uint8_t flags, uint32_t sequence,
    uint32_t acknowledgement, uint16_t payloadBytes)
{
    std::vector<uint8_t> bytes(platform::packetHeaderBytes + payloadBytes, 0);
    writeBigEndian(bytes, 0, flags, 1);
    writeBigEndian(bytes, 6, destination.address, 4);
    writeBigEndian(bytes, 10, source.address, 4);
    writeBigEndian(bytes, 14, source.port, 2);
    writeBigEndian(bytes, 16, destination.port, 2);
    writeBigEndian(bytes, 18, sequence, 4);
    writeBigEndian(bytes, 22, acknowledgement, 4);
    writeBigEndian(bytes, 34, payloadBytes, 2);
    return bytes;
}

} // namespace wasabicroft::fakes
