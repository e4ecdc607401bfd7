// The entry of the packet path. See docs/platform.md.
#include "backends/PacketEntry.h"

using namespace wasabicroft;

namespace {

constexpr Milliseconds tickInterval { 20 };

} // namespace

int main(int argc, char** argv)
{
    PacketSettingsSource source(argc, argv, "wasabi-packet-entry", "WASABI_PACKET_ENTRY");
    PacketSettings settings;
    if (const std::optional<int> code = source.load(settings))
        return *code;
    startLog(settings.log);
    const SystemClock clock;
    boost::asio::io_context context(1);
    PacketEntry entry(context, settings, clock);
    PacketDaemonHandlers handlers;
    handlers.onSettings = [&](const PacketSettings& changed) { entry.onSettings(changed); };
    handlers.status = [&] { return entry.status(); };
    handlers.exportMetrics = [&](Metrics& metrics) { entry.exportMetrics(metrics); };
    handlers.onTick = [&] { entry.onTick(); };
    handlers.onStop = [&] { logEvent(Event::EntryStopping, { { "delay-ms", settings.stopDelay } }); };
    PacketDaemon daemon(context, settings, source, tickInterval, handlers);
    Result<bool> started = entry.start();
    if (started)
        started = daemon.start();
    if (!started) {
        printErrors({ started.error() });
        stopLog();
        return exit_codes::refusedInput;
    }
    logEvent(Event::EntryStarted,
        { { "version", WASABICROFT_VERSION }, { "packets", toString(settings.packets) },
            { "failure-domain", settings.failureDomain } });
    daemon.run();
    logEvent(Event::EntryStopped, {});
    stopLog();
    return exit_codes::success;
}
