#include "backends/PacketDaemon.h"

#include "backends/Guard.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/stat.h>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr Milliseconds statusInterval { 500 }; // Also the interval of checks for a changed settings file.
    constexpr uint64_t defaultLogRate = 400; // Lines per second.
    constexpr size_t logBatchBytes = 16 * 1024;
    constexpr Milliseconds maxStopDelay { 60000 };
    constexpr double maxLinkMbps = 1000000;
    constexpr double maxColdExcess = 1000000;
    constexpr double maxEvacuationBoundMs = 86400000; // a day
    constexpr uint64_t ticksPerLogFlush = 10;

    const std::string usage = R"(Options come from flags, environment variables and a settings file.

Usage:
  PROGRAM [options]

Options:
  --settings-file PATH     Lines "flag=value"; read again on SIGHUP and when it changes.
  --name NAME              Name of this instance.
  --failure-domain NAME    Failure domain of this instance.
  --packets IP:PORT        Receives packets of clients (entry) or messages of entries (agent).
  --hop IP:PORT            Entry: sends messages to agents and receives their replies.
  --entry-hop-port N       Agent: port of the hop address of every entry [0].
  --outbound IP:PORT       Agent: receives the packets of its upstream.
  --upstream IP:PORT       Agent: address at which its upstream receives packets.
  --service NAME           Agent: service of its upstream.
  --ready IP:PORT          Serves /ready, /status, /health and /metrics; entry: /explain-flow too.
  --metrics IP:PORT        Serves the same paths; port 0: disabled [0].
  --peer IP:PORT           Serves the same paths; port 0: disabled [0].
  --seeds LIST             Addresses of entries that may be running, separated by commas.
  --store IP:PORT          Entry: the platform's store.
  --cold-excess N          Above 0: limits new flows and requests of cold upstreams to what they bear [0].
  --evacuation-bound MS    Entry: time within which evacuation orders take effect; 0: they are not read [0].
  --link-mbps N            Entry: bandwidth of its network link in Mbit/s; 0: the default [10].
  --stop-delay MS          Keeps forwarding for this long after SIGTERM [1500].
  --log-level LEVEL        debug, info, warning or error [info].
  --log-rate N             Log lines per second; further lines are only counted [400].
  --check                  Checks the settings and exits.
  --help                   Shows this text.
  --version                Shows the version.

Each setting may also come from an environment variable, for example PREFIX_PACKETS.
)";

    std::string usageOf(const std::string& program, const std::string& prefix)
    {
        std::string text = usage;
        text.replace(text.find("PROGRAM"), std::string("PROGRAM").size(), program);
        text.replace(text.find("PREFIX"), std::string("PREFIX").size(), prefix);
        return text;
    }

    PacketAddress readPacketAddress(SettingsReader& reader, const std::string& flag)
    {
        const std::string text = reader.text(flag, "");
        if (text.empty())
            return {};
        const std::optional<PacketAddress> address = parsePacketAddress(text);
        if (!address)
            reader.reject(flag, text, "an IPv4 address with a port, for example 127.0.0.1:7000");
        return address.value_or(PacketAddress());
    }

} // namespace

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

PacketSettingsSource::PacketSettingsSource(
    int argc, char** argv, std::string programName, std::string environmentPrefix)
    : program(std::move(programName))
    , prefix(std::move(environmentPrefix))
{
    // Without arguments there is nothing to parse, and building the parser is the slowest part of the startup.
    if (argc > 1)
        this->flags = parseCommandLine(argc, argv, usageOf(this->program, this->prefix), this->program);
    SettingsReader reader(this->flags, this->prefix);
    this->filePath = reader.text("--settings-file", "");
    this->fileChanged();
}

Result<Flags> PacketSettingsSource::readFile() const
{
    Flags values;
    if (this->filePath.empty())
        return values;
    std::ifstream file(this->filePath);
    if (!file)
        return Error { ErrorKind::InvalidSetting, "can't read " + this->filePath + "; check --settings-file" };
    std::string line;
    while (std::getline(file, line)) {
        const size_t equals = line.find('=');
        if (line.empty() || line.front() == '#')
            continue;
        if (equals == std::string::npos)
            return Error { ErrorKind::InvalidSetting,
                this->filePath + " has the invalid line '" + line + "'; use flag=value" };
        if (equals + 1 < line.size())
            values["--" + line.substr(0, equals)] = line.substr(equals + 1);
    }
    return values;
}

std::vector<Error> PacketSettingsSource::read(PacketSettings& settings) const
{
    const Result<Flags> fromFile = this->readFile();
    if (!fromFile)
        return { fromFile.error() };
    SettingsReader reader(this->flags, this->prefix, fromFile.value());
    settings.name = reader.requiredText("--name");
    settings.failureDomain = reader.text("--failure-domain", "");
    settings.packets = readPacketAddress(reader, "--packets");
    settings.hop = readPacketAddress(reader, "--hop");
    settings.entryHopPort = static_cast<uint16_t>(reader.number("--entry-hop-port", 0, 0, UINT16_MAX));
    settings.outbound = readPacketAddress(reader, "--outbound");
    settings.upstream = readPacketAddress(reader, "--upstream");
    settings.service = reader.text("--service", "");
    settings.ready = reader.endpoint("--ready", {});
    settings.metrics = reader.endpoint("--metrics", {});
    settings.peer = reader.endpoint("--peer", {});
    settings.seeds = reader.endpoints("--seeds");
    settings.store = reader.endpoint("--store", {});
    const double linkMbps = reader.decimal("--link-mbps", 0, 0, maxLinkMbps);
    settings.linkMbps = linkMbps > 0 ? linkMbps : PacketSettings().linkMbps;
    settings.coldExcess = reader.decimal("--cold-excess", 0, 0, maxColdExcess);
    settings.readsEvacuations = reader.decimal("--evacuation-bound", 0, 0, maxEvacuationBoundMs) > 0;
    settings.stopDelay = reader.duration("--stop-delay", settings.stopDelay, Milliseconds(0), maxStopDelay);
    settings.log.threshold = reader.severity("--log-level", Severity::Info);
    settings.log.maxLinesPerSecond = reader.number("--log-rate", defaultLogRate, 1, 1000000);
    settings.log.process = settings.name;
    settings.log.toStandardOutput = true;
    settings.log.batchBytes = logBatchBytes;
    settings.checkOnly = reader.boolean("--check", false);
    if (settings.packets == PacketAddress())
        reader.reject("--packets", "", "an IPv4 address with a port; it has no default");
    return reader.errors();
}

std::optional<int> PacketSettingsSource::load(PacketSettings& settings) const
{
    const std::vector<Error> errors = this->read(settings);
    if (!errors.empty()) {
        printErrors(errors);
        for (const Error& error : errors)
            logEvent(Event::SettingsRejected, { { "reason", error.message } });
        return exit_codes::invalidInput;
    }
    if (!settings.checkOnly)
        return std::nullopt;
    std::cout << this->program << ": settings are valid\n";
    return exit_codes::success;
}

bool PacketSettingsSource::reload(PacketSettings& settings) const
{
    PacketSettings changed = settings;
    const std::vector<Error> errors = this->read(changed);
    for (const Error& error : errors)
        logEvent(Event::SettingsRejected, { { "reason", error.message }, { "kept", "settings in force" } });
    if (errors.empty())
        settings = changed;
    return errors.empty();
}

bool PacketSettingsSource::fileChanged()
{
    struct stat file { };
    if (this->filePath.empty() || stat(this->filePath.c_str(), &file) != 0)
        return false;
    const int64_t stamp = file.st_mtim.tv_sec * 1000000000 + file.st_mtim.tv_nsec + file.st_size;
    return std::exchange(this->fileStamp, stamp) != stamp;
}

//-----------------------------------------------------------------------------
// Process
//-----------------------------------------------------------------------------

PacketDaemon::PacketDaemon(asio::io_context& loop, PacketSettings initial, PacketSettingsSource& settingsSource,
    Milliseconds tickInterval, PacketDaemonHandlers daemonHandlers)
    : context(loop)
    , settings(std::move(initial))
    , source(settingsSource)
    , tickPeriod(tickInterval)
    , handlers(std::move(daemonHandlers))
    , server(this->settings.ready, this->metrics)
    , signals(loop, SIGTERM, SIGINT, SIGHUP)
    , tickTimer(loop)
    , statusTimer(loop)
    , stopTimer(loop)
{
}

Result<bool> PacketDaemon::start()
{
    std::signal(SIGPIPE, SIG_IGN);
    if (this->settings.metrics.port != 0)
        this->server.addEndpoint(this->settings.metrics);
    if (this->settings.peer.port != 0)
        this->server.addEndpoint(this->settings.peer);
    if (this->handlers.onExplainFlow)
        this->server.setQuestionHandler("/explain-flow", this->context, this->handlers.onExplainFlow);
    const Result<Endpoint> bound = this->server.start();
    if (!bound)
        return bound.error();
    this->publishStatus();
    this->awaitSignal();
    this->scheduleTick();
    this->scheduleStatus();
    return true;
}

void PacketDaemon::run() { runEventLoop(this->context); }

void PacketDaemon::publishStatus()
{
    this->handlers.exportMetrics(this->metrics);
    this->metrics.setCount("wasabi_log_lines_dropped", "", droppedLogLines());
    OperatorStatus status = this->handlers.status();
    this->wasReady = status.ready;
    if (this->stopping) {
        status.ready = false;
        status.notReadyCause = "stopping";
    }
    this->server.publish(std::make_shared<OperatorStatus>(std::move(status)));
}

void PacketDaemon::awaitSignal()
{
    this->signals.async_wait([this](error_code error, int number) {
        if (error)
            return;
        if (number == SIGHUP) {
            this->reload("SIGHUP");
            this->awaitSignal();
            return;
        }
        if (this->stopping) {
            this->context.stop();
            return;
        }
        this->stopping = true;
        this->handlers.onStop();
        this->publishStatus();
        this->stopTimer.expires_after(this->settings.stopDelay);
        this->stopTimer.async_wait([this](error_code) { this->context.stop(); });
        this->awaitSignal();
    });
}

void PacketDaemon::reload(std::string_view cause)
{
    this->source.fileChanged();
    if (!this->source.reload(this->settings))
        return;
    logEvent(Event::SettingsReloaded, { { "cause", cause } });
    this->handlers.onSettings(this->settings);
}

bool PacketDaemon::reloadIfChanged()
{
    if (!this->source.fileChanged())
        return false;
    this->reload("file changed");
    return true;
}

void PacketDaemon::scheduleTick()
{
    this->tickTimer.expires_after(this->tickPeriod);
    this->tickTimer.async_wait([this](error_code error) {
        if (error)
            return;
        runGuarded("tick", [this] {
            this->handlers.onTick();
            if (this->handlers.isReady() != this->wasReady)
                this->publishStatus();
        });
        if (++this->ticks % ticksPerLogFlush == 0)
            flushLog();
        this->scheduleTick();
    });
}

void PacketDaemon::scheduleStatus()
{
    this->statusTimer.expires_after(statusInterval);
    this->statusTimer.async_wait([this](error_code error) {
        if (error)
            return;
        runGuarded("status", [this] {
            this->reloadIfChanged();
            this->publishStatus();
        });
        this->scheduleStatus();
    });
}

//-----------------------------------------------------------------------------
// StartupSignalBlock
//-----------------------------------------------------------------------------

StartupSignalBlock::StartupSignalBlock()
{
    sigemptyset(&this->signals);
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&this->signals, number);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
}

void StartupSignalBlock::release() { pthread_sigmask(SIG_UNBLOCK, &this->signals, nullptr); }

} // namespace wasabicroft
