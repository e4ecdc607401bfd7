// Main program of the packet agent; see docs/platform.md.
#include "backends/PacketAgent.h"

using namespace wasabicroft;

int main(int argc, char** argv)
{
    return runPacketProgram<PacketAgent>(argc, argv,
        { "wasabi-packet-agent", "WASABI_PACKET_AGENT", Event::AgentStarted, Event::AgentStopping,
            Event::AgentStopped },
        [](PacketAgent& agent, PacketDaemon& daemon) {
            agent.reloadSettingsIfChanged = [&daemon] { return daemon.reloadIfChanged(); };
        });
}
