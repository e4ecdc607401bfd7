// Agent: runs beside one upstream, grants reservations, owns flows and connects to the upstream.
#include "backends/AgentServer.h"
#include "backends/Daemon.h"

#include <thread>

namespace {

using namespace wasabicroft;

const Endpoint defaultLink { "127.0.0.1", 7300 };
const Endpoint defaultAdmin { "127.0.0.1", 7301 };
constexpr size_t healthRingCapacity = 64;

std::string usageText()
{
    return R"(Agent of the load balancer: grants reservations for one upstream and forwards bytes to it.

Usage:
  wasabi-agent [options]

Options:
  --name NAME                  Name of the upstream beside this agent, as in the configuration.
  --upstream-health IP:PORT    Where the upstream answers GET /health; not polled if empty.
  --health-interval MS         Time between polls of the upstream's health [500].
  --health-timeout MS          Time limit of a poll [1000].
  --upstream-connect-timeout MS  Time limit to connect to the upstream [2000].
  --upstream-user-timeout MS   The kernel ends an upstream connection whose bytes stay unacknowledged [30000].
  --reservation-expiry MS      Lifetime of a reservation without data [5000].
  --flow-memory MS             How long the state of an ended flow is kept [60000].
  --abandon-after MS           A flow with outstanding work is ended if its initiator is inactive for this time [30000].
  --flow-buffer-bytes N        Buffer of a flow in each direction [262144].
  --max-links N                Open links from entries [4096].
)" + commonUsage(toString(defaultLink), toString(defaultAdmin))
        + R"(
Each setting may also come from an environment variable, for example WASABI_AGENT_LINK_ENDPOINT.
)";
}

AgentOptions readAgentOptions(SettingsReader& reader, const CommonSettings& common)
{
    constexpr Milliseconds minute { 60000 };
    constexpr Milliseconds minDuration { 10 };
    AgentOptions options;
    options.name = common.name;
    options.linkEndpoint = common.linkEndpoint;
    options.links = common.links;
    options.connectTimeout = reader.duration("--upstream-connect-timeout", options.connectTimeout, minDuration, minute);
    options.userTimeout = reader.duration("--upstream-user-timeout", options.userTimeout, minDuration, 60 * minute);
    OwnerOptions& flows = options.flows;
    flows.reservationExpiry = reader.duration("--reservation-expiry", flows.reservationExpiry, minDuration, minute);
    flows.endedFlowRetention = reader.duration("--flow-memory", flows.endedFlowRetention, minDuration, 60 * minute);
    flows.abandonAfter = reader.duration("--abandon-after", flows.abandonAfter, minDuration, 60 * minute);
    flows.sendBufferBytes
        = reader.number("--flow-buffer-bytes", flows.sendBufferBytes, maxPayloadBytes, 16 * 1024 * 1024);
    flows.receiveWindowBytes = flows.sendBufferBytes;
    if (common.isDisabled("await-version"))
        options.configVersionWait = Milliseconds(0);
    options.maxLinks = reader.number("--max-links", options.maxLinks, 1, 100000);
    return options;
}

struct HealthSettings {
    std::optional<HealthProbeOptions> probe; // Empty if the upstream has no health endpoint.
};

HealthSettings readHealthSettings(SettingsReader& reader)
{
    HealthProbeOptions probe;
    probe.interval = reader.duration("--health-interval", probe.interval, Milliseconds(50), Milliseconds(60000));
    probe.timeout = reader.duration("--health-timeout", probe.timeout, Milliseconds(50), Milliseconds(60000));
    probe.endpoint = reader.endpoint("--upstream-health", Endpoint());
    if (probe.endpoint == Endpoint())
        return {};
    return { probe };
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader reader(parseCommandLine(argc, argv, usageText(), "wasabi-agent"), "WASABI_AGENT");
    const CommonSettings common = readCommonSettings(reader, defaultLink, defaultAdmin);
    const AgentOptions options = readAgentOptions(reader, common);
    const HealthSettings health = readHealthSettings(reader);
    if (const std::optional<int> code = settingsExitCode(reader, common, "wasabi-agent"))
        return *code;

    startLog(common.log);
    const SystemClock clock;
    Metrics metrics;
    boost::asio::io_context traffic(1);
    AgentServer server(traffic, options, clock, metrics);
    DaemonHandlers handlers;
    handlers.onUpdate = [&](PlatformUpdate& update) {
        if (update.members)
            server.applyMembers(update.members);
        if (update.snapshot)
            server.applySnapshot(update.snapshot);
    };
    handlers.status = [&] { return server.status(); };
    handlers.shutdown = [&](std::function<void()> onDrained) {
        logEvent(Event::AgentStopping, { { "open-flows", static_cast<uint64_t>(server.openFlows()) } });
        server.shutdown(std::move(onDrained));
    };
    Daemon daemon(traffic, common, MemberRole::Agent, clock, metrics, handlers);
    server.onControlFrame = [&](uint64_t peer, Frame frame, const Daemon::Reply& reply) {
        daemon.onPeerFrame(peer, std::move(frame), reply);
    };
    server.onNewerVersion = [&](uint64_t peer, uint64_t version, const Daemon::Reply& reply) {
        daemon.onPeerVersion(peer, version, reply);
    };
    const Result<Endpoint> link = server.start();
    const Result<Endpoint> admin = link ? daemon.start() : link;
    if (!admin) {
        printErrors({ admin.error() });
        stopLog();
        return exit_codes::invalidInput;
    }
    logEvent(Event::AgentStarted,
        { { "version", WASABICROFT_VERSION }, { "incarnation", server.incarnation() },
            { "links", toString(link.value()) }, { "admin", toString(admin.value()) },
            { "platform", toString(common.platform) } });

    Ring<UpstreamHealth> healthChanges(
        healthRingCapacity, traffic, [&](UpstreamHealth& value) { server.applyHealth(value); });
    boost::asio::io_context control(1);
    std::optional<HealthProbe> probe;
    std::thread controlThread;
    if (health.probe) {
        probe.emplace(control, *health.probe, [&](UpstreamHealth value) { healthChanges.push(value); });
        probe->start();
        controlThread = std::thread([&] { control.run(); });
    }
    daemon.run();
    control.stop();
    if (controlThread.joinable())
        controlThread.join();
    logEvent(Event::AgentStopped, { { "open-flows", static_cast<uint64_t>(server.openFlows()) } });
    server.stop();
    stopLog();
    return exit_codes::success;
}
