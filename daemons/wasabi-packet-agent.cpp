// The agent of the packet path. See docs/platform.md.
#include "backends/PacketAgent.h"

using namespace wasabicroft;

namespace {

constexpr Milliseconds tickInterval { 20 };

} // namespace

int main(int argc, char** argv)
{
    PacketSettingsSource source(argc, argv, "wasabi-packet-agent", "WASABI_PACKET_AGENT");
    PacketSettings settings;
    if (const std::optional<int> code = source.load(settings))
        return *code;
    startLog(settings.log);
    const SystemClock clock;
    boost::asio::io_context context(1);
    PacketAgent agent(context, settings, clock);
    PacketDaemonHandlers handlers;
    handlers.onSettings = [&](const PacketSettings& changed) { agent.onSettings(changed); };
    handlers.status = [&] { return agent.status(); };
    handlers.exportMetrics = [&](Metrics& metrics) { agent.exportMetrics(metrics); };
    handlers.onTick = [&] { agent.onTick(); };
    handlers.onStop = [&] { logEvent(Event::AgentStopping, { { "delay-ms", settings.stopDelay } }); };
    PacketDaemon daemon(context, settings, source, tickInterval, handlers);
    agent.settingsChanged = [&] { return daemon.reloadIfChanged(); };
    Result<bool> started = agent.start();
    if (started)
        started = daemon.start();
    if (!started) {
        printErrors({ started.error() });
        stopLog();
        return exit_codes::refusedInput;
    }
    logEvent(Event::AgentStarted,
        { { "version", WASABICROFT_VERSION }, { "packets", toString(settings.packets) },
            { "failure-domain", settings.failureDomain } });
    daemon.run();
    logEvent(Event::AgentStopped, {});
    stopLog();
    return exit_codes::success;
}
