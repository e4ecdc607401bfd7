// Shared parts of the packet entry and the packet agent: settings and their reload, log, signals, operator endpoints.
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

// Settings of a packet entry or agent. Hop messages are the messages between entries and agents.
struct PacketSettings {
    std::string name; // Name of this instance.
    std::string failureDomain;
    PacketAddress packets; // Entry: receives packets of clients. Agent: receives hop messages.
    PacketAddress hop; // Entry: sends hop messages and receives the replies.
    uint16_t entryHopPort = 0; // Agent: port of the hop address of every entry.
    PacketAddress outbound; // Agent: receives the packets of its upstream.
    PacketAddress upstream; // Agent: address at which its upstream receives packets.
    std::string service; // Agent: service of its upstream.
    Endpoint ready; // Serves /ready, /status, /health and /metrics. Entry: /explain-flow, too.
    Endpoint metrics; // Serves the same paths. Port 0: disabled.
    Endpoint peer; // Serves the same paths. Port 0: disabled.
    std::vector<Endpoint> seeds; // Entries that may be running; their ports are not used.
    Endpoint store; // Entry: the platform's store.
    // Above 0: new flows and requests of cold upstreams are limited to what they bear. The platform's rule allows this
    // factor more; the limit does not use it.
    double coldExcess = 0;
    double linkMbps = 10; // Entry: bandwidth of its network link, in each direction.
    // Milliseconds for which the process keeps forwarding after SIGTERM. Routers need this time to notice that an entry
    // is not ready.
    Milliseconds stopDelay { 1500 };
    bool readsEvacuations = false; // Entry: evacuation orders in the store are in force. Takes effect at the start.
    LogOptions log;
    bool checkOnly = false;
};

// Reads settings from flags, environment variables and the settings file, in this order of precedence. The file has
// lines "flag=value", with the flag's dashes left out.
class PacketSettingsSource {
public:
    PacketSettingsSource(int argc, char** argv, std::string program, std::string environmentPrefix);

    // Reads all settings. Returns an exit code if the process must not start: after it printed errors, or with --check.
    std::optional<int> load(PacketSettings&) const;

    // Reads all settings again. Errors are logged and leave the settings unchanged.
    bool reload(PacketSettings&) const;
    bool fileChanged(); // Whether the settings file changed since the last call.

private:
    Result<Flags> readFile() const;
    std::vector<Error> read(PacketSettings&) const;

    std::string program;
    std::string prefix;
    Flags flags;
    std::string filePath;
    int64_t fileStamp = 0; // Sum of the file's modification time in ns and its size.
};

struct PacketDaemonHandlers {
    std::function<void(const PacketSettings&)> onSettings; // Called after the settings were read again.
    std::function<OperatorStatus()> status;
    // Called in each tick, so that a change of readiness is published without waiting for the next status update.
    std::function<bool()> isReady;
    std::function<void(Metrics&)> exportMetrics; // Sets the counters. Called before each status update.
    std::function<void()> onTick;
    OperatorQuestionHandler onExplainFlow; // Answers /explain-flow. Empty: the path is unknown.
    std::function<void()> onStop; // Called on SIGTERM or SIGINT. The process exits after the stop delay.
};

class PacketDaemon {
public:
    PacketDaemon(boost::asio::io_context&, PacketSettings, PacketSettingsSource&, Milliseconds tickInterval,
        PacketDaemonHandlers);

    Result<bool> start();
    void run(); // Returns when the process has to exit.
    bool reloadIfChanged(); // Reads the settings again if the file changed. Returns whether it changed.

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
    bool wasReady = false; // Readiness in the last status.
};

//-----------------------------------------------------------------------------
// Program
//-----------------------------------------------------------------------------

// Blocks SIGTERM, SIGINT and SIGHUP during startup: a signal that arrives before its handler is installed would end the
// process.
class StartupSignalBlock {
public:
    StartupSignalBlock();
    ~StartupSignalBlock() { this->release(); }
    StartupSignalBlock(const StartupSignalBlock&) = delete;
    StartupSignalBlock& operator=(const StartupSignalBlock&) = delete;

    void release(); // Delivers pending signals, even if the parent process had blocked them.

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

// Implements main() of a packet program. Node is PacketEntry or PacketAgent. configureNode is optional; it is called
// before the start and may connect the node to its daemon.
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
    handlers.onStop = [&] {
        logEvent(program.stopping, { { "delay-ms", settings.stopDelay } });
        node.handOver();
    };
    if constexpr (requires { node.explainFlow(std::string()); })
        handlers.onExplainFlow = [&](const std::string& target) { return node.explainFlow(target); };
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
    if (settings.stopDelay > Milliseconds(0)) // it has learned of more flows since
        node.handOver();
    logEvent(program.stopped, {});
    stopLog();
    return exit_codes::success;
}

} // namespace wasabicroft
