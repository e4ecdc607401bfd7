// Ends of the flow in tests of single flows.
#pragma once

#include "wasabicroft/Packet.h"

namespace wasabicroft::tests {

inline constexpr PacketAddress client { 0x64400007, 40001 };
inline constexpr PacketAddress routeAddress { 0xc6120001, 443 };
inline constexpr FlowKey flow { client, routeAddress };

} // namespace wasabicroft::tests
