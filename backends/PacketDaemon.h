// What the two programs of the packet path share: settings, log, signals, reload of the settings, operator endpoints.
#pragma once

#include "backends/HttpServer.h"
#include "wasabicroft/Clock.h"
#include "wasabicroft/Log.h"
#include "wasabicroft/Packet.h"
#include "wasabicroft/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace wasabicroft {

struct PacketSettings {
    std::string name; // of this instance
    std::string failureDomain;
    PacketAddress packets; // takes packets of clients (entry) or hop messages (agent)
    PacketAddress hop; // entry: sends hop messages and takes the answers
    uint16_t entryHopPort = 0; // agent: port of the hop address of every entry
    PacketAddress outbound; // agent: takes the packets of its upstream
    PacketAddress upstream; // agent: where its upstream takes packets
    std::string service; // agent: of its upstream
    Endpoint ready; // /ready, /status, /health, /metrics
    Endpoint metrics; // the same; port 0: not served
    Endpoint peer; // the same
    std::vector<Endpoint> seeds; // entries that may be up; only the addresses are used
    Endpoint store; // entry
    Milliseconds stopDelay { 1500 }; // entry: goes on forwarding while routers notice that it is not ready
    LogOptions log;
    bool checkOnly = false;
};

// A flag wins over its environment variable, which wins over the settings file: lines "flag=value" without dashes.
class PacketSettingsSource {
public:
    PacketSettingsSource(int argc, char** argv, std::string program, std::string environmentPrefix);

    // All settings; prints the problems and returns an exit code if the process is not to start.
    std::optional<int> load(PacketSettings&) const;

    // Reads the file again. Problems are logged and leave the settings as they are.
    bool reload(PacketSettings&) const;
    bool fileChanged(); // since the last call

private:
    Result<Flags> readFile() const;
    std::vector<Error> read(PacketSettings&) const;

    std::string program;
    std::string prefix;
    Flags flags;
    std::string filePath;
    int64_t fileStamp = 0; // modification time in ns and size, mixed
};

struct PacketDaemonHandlers {
    std::function<void(const PacketSettings&)> onSettings; // the settings file changed
    std::function<OperatorStatus()> status;
    std::function<bool()> isReady; // called in each tick: a change is shown at once
    std::function<void(Metrics&)> exportMetrics; // before each status; sets the counters
    std::function<void()> onTick;
    std::function<void()> onStop; // SIGTERM; the process ends after the stop delay
};

class PacketDaemon {
public:
    PacketDaemon(
        boost::asio::io_context&, PacketSettings, PacketSettingsSource&, Milliseconds tick, PacketDaemonHandlers);

    Result<bool> start();
    void run(); // returns when the process is to end
    bool reloadIfChanged(); // reads the settings file again if it changed; returns whether it did

private:
    void publishStatus();
    void awaitSignal();
    void scheduleTick();
    void scheduleStatus();
    void reload(std::string_view cause);

    boost::asio::io_context& context;
    PacketSettings settings;
    PacketSettingsSource& source;
    Milliseconds tickPeriod;
    PacketDaemonHandlers handlers;
    Metrics metrics;
    HttpServer server;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer statusTimer;
    boost::asio::steady_timer stopTimer;
    uint64_t ticks = 0;
    bool stopping = false;
    bool wasReady = false; // as last published
};

//-----------------------------------------------------------------------------
// Program
//-----------------------------------------------------------------------------

// Blocks the signals that the program handles until it can handle them: one that arrives during the start would end it.
class StartupSignalBlock {
public:
    StartupSignalBlock();
    ~StartupSignalBlock() { this->release(); }
    StartupSignalBlock(const StartupSignalBlock&) = delete;
    StartupSignalBlock& operator=(const StartupSignalBlock&) = delete;

    void release(); // delivers what arrived, also if the parent process had blocked it

private:
    sigset_t signals;
};

struct PacketProgram {
    std::string name;
    std::string environmentPrefix;
    Event started;
    Event stopping;
    Event stopped;
};

inline constexpr Milliseconds packetTickInterval { 20 };

// The whole of main(). Node is PacketEntry or PacketAgent; connect may wire it to its daemon before the start.
template <typename Node>
int runPacketProgram(int argc, char** argv, const PacketProgram& program,
    const std::function<void(Node&, PacketDaemon&)>& configureNode = {})
{
    StartupSignalBlock signalBlock;
    PacketSettingsSource source(argc, argv, program.name, program.environmentPrefix);
    PacketSettings settings;
    if (const std::optional<int> code = source.load(settings))
        return *code;
    startLog(settings.log);
    const SystemClock clock;
    boost::asio::io_context context(1);
    Node node(context, settings, clock);
    PacketDaemonHandlers handlers;
    handlers.onSettings = [&](const PacketSettings& changed) { node.onSettings(changed); };
    handlers.status = [&] { return node.status(); };
    handlers.isReady = [&] { return node.isReady(); };
    handlers.exportMetrics = [&](Metrics& metrics) { node.exportMetrics(metrics); };
    handlers.onTick = [&] { node.onTick(); };
    handlers.onStop = [&] { logEvent(program.stopping, { { "delay-ms", settings.stopDelay } }); };
    PacketDaemon daemon(context, settings, source, packetTickInterval, handlers);
    if (configureNode)
        configureNode(node, daemon);
    Result<bool> started = node.start();
    if (started)
        started = daemon.start();
    signalBlock.release();
    if (!started) {
        printErrors({ started.error() });
        stopLog();
        return exit_codes::invalidInput;
    }
    logEvent(program.started,
        { { "version", WASABICROFT_VERSION }, { "packets", toString(settings.packets) },
            { "failure-domain", settings.failureDomain } });
    daemon.run();
    logEvent(program.stopped, {});
    stopLog();
    return exit_codes::success;
}

} // namespace wasabicroft
