#include "backends/Daemon.h"

#include "backends/Guard.h"
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr size_t updateRingCapacity = 64;
    constexpr Milliseconds statusInterval { 500 };
    constexpr Milliseconds lastFramesDelay { 200 }; // Lets the kernel send the last frames before the process exits.
    constexpr Milliseconds hour { 3600000 };
    constexpr Milliseconds minPeerVersionInterval { 50 };

    std::string addPropagationStatus(const std::string& json, const PlatformReaderStatus& reader)
    {
        const PropagationStatus& propagation = reader.propagation;
        boost::json::object status = boost::json::parse(json).as_object();
        boost::json::object report { { "confirmed", propagation.isConfirmed }, { "starting", propagation.isStarting },
            { "watches", reader.isWatching }, { "peers", propagation.announcePeers },
            { "peerFetches", propagation.peerFetches }, { "failedFetches", propagation.failedFetches },
            { "fallbacks", propagation.fallbacks } };
        if (propagation.sinceConfirmation)
            report["sinceConfirmationMs"] = propagation.sinceConfirmation->count();
        if (!propagation.isConfirmed)
            report["cause"] = "neither the platform nor a peer has confirmed the version recently";
        status["configuration"] = std::move(report);
        return boost::json::serialize(status);
    }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

std::string commonUsage(const std::string& defaultLink, const std::string& defaultAdmin)
{
    return R"(  --failure-domain NAME        Failure domain of this instance.
  --platform IP:PORT           Configuration service and instance list [127.0.0.1:7100].
  --link-endpoint IP:PORT      Where frames of other processes arrive [)"
        + defaultLink + R"(].
  --admin-endpoint IP:PORT     Operator endpoints: /metrics, /health, /ready, /status [)"
        + defaultAdmin + R"(].
  --log-threshold LEVEL        debug, info, warning or error [info].
  --log-file FILE              Log file; standard error if empty.
  --peers LIST                 Link endpoints of peers, comma-separated; used until the instance list is known.
  --announce-interval MS       Interval at which the configuration version is announced to a random peer [15000].
  --confirmation-limit MS      /status reports a version that was not confirmed for this time as unconfirmed [300000].
  --disable LIST               For tests only: announce, ask-at-start, peer-fetch, digest-order, await-version.
  --link-connect-timeout MS    Time limit to set up a link [2000].
  --link-idle-timeout MS       A link without flows and frames is closed after this time [60000].
  --link-user-timeout MS       The kernel ends a link whose bytes stay unacknowledged for this time [10000].
  --link-queue-bytes N         Bytes queued on a link above which its sources pause [1048576].
  --heartbeat-interval MS      Time without traffic on a link with outstanding work before a heartbeat [1000].
  --heartbeat-timeout MS       Time limit for the answer to a heartbeat [2000].
  --heartbeat-bytes N          Heartbeat bytes per second for idle links with open flows [4096].
  --platform-timeout MS        Time limit of a call to the platform [5000].
  --shutdown-limit MS          Ends open flows this long after SIGTERM; 0 waits without a limit [0].
  --check                      Checks the settings and exits.
  --help                       Shows this text.
  --version                    Shows the version.
)";
}

bool CommonSettings::isDisabled(const std::string& mechanism) const
{
    return std::find(this->disabledMechanisms.begin(), this->disabledMechanisms.end(), mechanism)
        != this->disabledMechanisms.end();
}

CommonSettings readCommonSettings(SettingsReader& reader, const Endpoint& defaultLink, const Endpoint& defaultAdmin)
{
    constexpr Milliseconds minute { 60000 };
    CommonSettings settings;
    settings.name = reader.requiredText("--name");
    settings.failureDomain = reader.text("--failure-domain", "");
    settings.platform = reader.endpoint("--platform", { "127.0.0.1", 7100 });
    settings.linkEndpoint = reader.endpoint("--link-endpoint", defaultLink);
    settings.admin = reader.endpoint("--admin-endpoint", defaultAdmin);
    settings.log.threshold = reader.severity("--log-threshold", Severity::Info);
    settings.log.file = reader.text("--log-file", "");
    settings.log.process = settings.name;
    LinkOptions& links = settings.links;
    links.connectTimeout = reader.duration("--link-connect-timeout", links.connectTimeout, Milliseconds(10), minute);
    links.idleTimeout = reader.duration("--link-idle-timeout", links.idleTimeout, Milliseconds(100), hour);
    links.userTimeout = reader.duration("--link-user-timeout", links.userTimeout, Milliseconds(100), hour);
    links.highWaterBytes
        = reader.number("--link-queue-bytes", links.highWaterBytes, maxPayloadBytes, links.maxQueueBytes / 2);
    links.heartbeatInterval
        = reader.duration("--heartbeat-interval", links.heartbeatInterval, Milliseconds(50), minute);
    links.heartbeatTimeout = reader.duration("--heartbeat-timeout", links.heartbeatTimeout, Milliseconds(50), minute);
    links.heartbeatBytesPerSecond = reader.number("--heartbeat-bytes", links.heartbeatBytesPerSecond, 1, 1024 * 1024);
    settings.platformTimeout
        = reader.duration("--platform-timeout", settings.platformTimeout, Milliseconds(50), minute);
    settings.shutdownLimit = reader.duration("--shutdown-limit", Milliseconds(0), Milliseconds(0), 24 * hour);
    PropagationOptions& propagation = settings.propagation;
    propagation.seeds = reader.endpoints("--peers");
    propagation.antiEntropyInterval
        = reader.duration("--announce-interval", propagation.antiEntropyInterval, Milliseconds(50), hour);
    propagation.confirmationLimit
        = reader.duration("--confirmation-limit", propagation.confirmationLimit, Milliseconds(100), 24 * hour);
    settings.disabledMechanisms = reader.list("--disable");
    propagation.mechanisms.announce = !settings.isDisabled("announce");
    propagation.mechanisms.askAtStart = !settings.isDisabled("ask-at-start");
    propagation.mechanisms.peerFetch = !settings.isDisabled("peer-fetch");
    propagation.mechanisms.digestOrder = !settings.isDisabled("digest-order");
    settings.checkOnly = reader.boolean("--check", false);
    return settings;
}

std::optional<int> settingsExitCode(
    const SettingsReader& reader, const CommonSettings& settings, const std::string& program)
{
    if (!reader.errors().empty()) {
        printErrors(reader.errors());
        return exit_codes::usageError;
    }
    if (!settings.checkOnly)
        return std::nullopt;
    std::cout << program << ": the settings are valid\n";
    return exit_codes::success;
}

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

namespace {

    // Only an entry listens for peers here. The link endpoint of an agent belongs to its traffic thread.
    PeerOptions peerOptions(const CommonSettings& settings, MemberRole role)
    {
        PeerOptions options;
        options.propagation = settings.propagation;
        options.links = settings.links;
        if (role == MemberRole::Entry)
            options.listen = settings.linkEndpoint;
        return options;
    }

    PlatformReaderOptions readerOptions(const CommonSettings& settings, MemberRole role, Metrics& metrics)
    {
        PlatformReaderOptions options;
        options.platform = settings.platform;
        options.self = settings.name;
        options.role = role;
        options.callTimeout = settings.platformTimeout;
        options.peers = peerOptions(settings, role);
        options.metrics = &metrics;
        return options;
    }

} // namespace

Daemon::Daemon(asio::io_context& traffic, const CommonSettings& commonSettings, MemberRole role, const Clock& time,
    Metrics& counters, DaemonHandlers callbacks)
    : context(traffic)
    , settings(commonSettings)
    , metrics(counters)
    , handlers(std::move(callbacks))
    , updates(updateRingCapacity, traffic, [this](PlatformUpdate& update) { this->handlers.onUpdate(update); })
    , operatorServer(commonSettings.admin, counters)
    , platformReader(readerOptions(commonSettings, role, counters), time,
          [this](PlatformUpdate update) { this->updates.push(std::move(update)); })
    , signals(traffic, SIGTERM, SIGINT)
    , statusTimer(traffic)
    , stopTimer(traffic)
    , lastPeerVersionTime(time.now() - minPeerVersionInterval)
    , clock(time)
{
}

Daemon::~Daemon()
{
    this->platformReader.stop();
    this->operatorServer.stop();
}

Result<Endpoint> Daemon::start()
{
    Result<Endpoint> bound = this->operatorServer.start();
    if (!bound)
        return bound;
    const Result<bool> started = this->platformReader.start();
    if (!started)
        return started.error();
    this->awaitSignal();
    this->publishStatus();
    this->scheduleStatus();
    return bound;
}

void Daemon::run() { runEventLoop(this->context); }

Daemon::Reply Daemon::onTrafficThread(Reply reply)
{
    return [this, reply = std::move(reply)](
               const Frame& frame) { asio::post(this->context, [reply, frame] { reply(frame); }); };
}

void Daemon::onPeerFrame(uint64_t link, Frame frame, Reply reply)
{
    this->platformReader.onPeerFrame(link, std::move(frame), this->onTrafficThread(std::move(reply)));
}

void Daemon::onPeerVersion(uint64_t link, uint64_t version, const Reply& reply)
{
    // Every frame carries the version, and one report is enough to start a fetch.
    const TimePoint now = this->clock.now();
    if (now - this->lastPeerVersionTime < minPeerVersionInterval)
        return;
    this->lastPeerVersionTime = now;
    this->platformReader.onPeerVersion(link, version, this->onTrafficThread(reply));
}

void Daemon::awaitSignal()
{
    this->signals.async_wait([this](error_code error, int) {
        if (error)
            return;
        if (this->isShuttingDown) {
            this->context.stop();
            return;
        }
        this->beginShutdown();
        this->awaitSignal();
    });
}

void Daemon::beginShutdown()
{
    this->isShuttingDown = true;
    if (this->settings.shutdownLimit > Milliseconds(0)) {
        this->stopTimer.expires_after(this->settings.shutdownLimit);
        this->stopTimer.async_wait([this](error_code error) {
            if (!error)
                this->context.stop();
        });
    }
    this->handlers.shutdown([this] { this->stopAfterLastFrames(); });
    this->publishStatus();
}

void Daemon::stopAfterLastFrames()
{
    this->stopTimer.expires_after(lastFramesDelay);
    this->stopTimer.async_wait([this](error_code error) {
        if (!error)
            this->context.stop();
    });
}

void Daemon::publishStatus()
{
    this->metrics.setCount("wasabi_log_lines_dropped", "", droppedLogLines());
    this->metrics.setCount("wasabi_invariant_violations", "", violationCount());
    this->metrics.setCount("wasabi_ring_overflows", "ring=\"config\"", this->updates.overflows());
    const PropagationStatus propagation = this->platformReader.status().propagation;
    this->metrics.set("wasabi_config_confirmed", "", propagation.isConfirmed ? 1 : 0);
    OperatorStatus status = this->handlers.status();
    status.json = addPropagationStatus(status.json, this->platformReader.status());
    this->operatorServer.publish(std::make_shared<const OperatorStatus>(std::move(status)));
}

void Daemon::scheduleStatus()
{
    this->statusTimer.expires_after(statusInterval);
    this->statusTimer.async_wait([this](error_code error) {
        if (error)
            return;
        this->publishStatus();
        this->scheduleStatus();
    });
}

} // namespace wasabicroft
