// Main program of the packet entry; see docs/platform.md.
#include "backends/PacketEntry.h"

using namespace wasabicroft;

int main(int argc, char** argv)
{
    return runPacketProgram<PacketEntry>(argc, argv,
        { "wasabi-packet-entry", "WASABI_PACKET_ENTRY", Event::EntryStarted, Event::EntryStopping,
            Event::EntryStopped });
}
