// Entry: accepts callers of all services, places their flows and forwards frames between callers and agents.
#include "backends/Daemon.h"
#include "backends/EntryServer.h"

namespace {

using namespace wasabicroft;

const Endpoint defaultLink { "127.0.0.1", 7200 };
const Endpoint defaultAdmin { "127.0.0.1", 7201 };

std::string usageText()
{
    return R"(Entry of the load balancer: accepts callers, places flows and forwards frames.

Usage:
  wasabi-entry [options]

Options:
  --name NAME                  Name of this instance in the instance list.
  --listen-address IP          Address of all listeners; each service's public address if empty.
  --open-timeout MS            Time limit for the reply of each candidate [300].
  --flow-heartbeat MS          Time without frames of a flow with outstanding work before a heartbeat [1000].
  --candidates N               Upstreams asked in turn before a flow queues [2].
  --wait-at N                  Upstreams at which a flow waits after they declined it; 1: no backups [8].
  --max-flows N                Open plain flows; further callers are refused [200000].
  --caller-user-timeout MS     The kernel ends a caller's connection whose bytes stay unacknowledged [30000].
  --flow-buffer-bytes N        Buffer of a flow in each direction [262144].
  --link-sharing NAME          Flows that share a link to an agent: all-classes, per-class or per-flow [per-class].
  --suspect-failures N         Failed attempts in a row before an upstream is ejected [3].
  --min-ejection MS            Shortest ejection of a suspect upstream [1000].
  --max-ejection MS            Longest ejection of a suspect upstream [30000].
)" + commonUsage(toString(defaultLink), toString(defaultAdmin))
        + R"(
Each setting may also come from an environment variable, for example WASABI_ENTRY_LISTEN_ADDRESS.
)";
}

EntryOptions readEntryOptions(SettingsReader& reader, const CommonSettings& common)
{
    constexpr Milliseconds minute { 60000 };
    EntryOptions options;
    options.name = common.name;
    options.failureDomain = common.failureDomain;
    options.links = common.links;
    options.listenAddress = reader.ipAddress("--listen-address");
    InitiatorOptions& flows = options.flows;
    flows.openTimeout = reader.duration("--open-timeout", flows.openTimeout, Milliseconds(10), minute);
    flows.heartbeatInterval = reader.duration("--flow-heartbeat", flows.heartbeatInterval, Milliseconds(50), minute);
    flows.sendBufferBytes
        = reader.number("--flow-buffer-bytes", flows.sendBufferBytes, maxPayloadBytes, 16 * 1024 * 1024);
    flows.receiveWindowBytes = flows.sendBufferBytes;
    const std::string sharing = reader.text("--link-sharing", std::string(nameOf(options.links.sharing)));
    const auto sharingName = std::find(linkSharingNames.begin(), linkSharingNames.end(), sharing);
    if (sharingName == linkSharingNames.end())
        reader.reject("--link-sharing", sharing, "one of all-classes, per-class and per-flow");
    else
        options.links.sharing = static_cast<LinkSharing>(sharingName - linkSharingNames.begin());
    options.candidates = reader.number("--candidates", options.candidates, 1, 8);
    options.maxWaitUpstreams = reader.number("--wait-at", options.maxWaitUpstreams, 1, 64);
    options.maxFlows = reader.number("--max-flows", options.maxFlows, 1, 1000000);
    options.userTimeout = reader.duration("--caller-user-timeout", options.userTimeout, Milliseconds(100), 60 * minute);
    OutlierDetectorOptions& suspicion = options.outlierDetection;
    suspicion.failuresToEject
        = static_cast<unsigned>(reader.number("--suspect-failures", suspicion.failuresToEject, 2, 1000));
    suspicion.minEjection = reader.duration("--min-ejection", suspicion.minEjection, Milliseconds(10), minute);
    suspicion.maxEjection = reader.duration("--max-ejection", suspicion.maxEjection, Milliseconds(10), 60 * minute);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader reader(parseCommandLine(argc, argv, usageText(), "wasabi-entry"), "WASABI_ENTRY");
    const CommonSettings common = readCommonSettings(reader, defaultLink, defaultAdmin);
    const EntryOptions options = readEntryOptions(reader, common);
    if (const std::optional<int> code = settingsExitCode(reader, common, "wasabi-entry"))
        return *code;

    startLog(common.log);
    const SystemClock clock;
    Metrics metrics;
    boost::asio::io_context traffic(1);
    EntryServer server(traffic, options, clock, metrics);
    DaemonHandlers handlers;
    handlers.onUpdate = [&](PlatformUpdate& update) {
        if (update.members)
            server.applyMembers(update.members);
        if (update.snapshot)
            server.applySnapshot(update.snapshot);
    };
    handlers.status = [&] { return server.status(); };
    handlers.shutdown = [&](std::function<void()> onDrained) {
        logEvent(Event::EntryStopping, { { "open-flows", static_cast<uint64_t>(server.openFlows()) } });
        server.shutdown(std::move(onDrained));
    };
    Daemon daemon(traffic, common, MemberRole::Entry, clock, metrics, handlers);
    server.onControlFrame = [&](uint64_t peer, Frame frame, const Daemon::Reply& reply) {
        daemon.onPeerFrame(peer, std::move(frame), reply);
    };
    server.onNewerVersion = [&](uint64_t peer, uint64_t version, const Daemon::Reply& reply) {
        daemon.onPeerVersion(peer, version, reply);
    };
    const Result<Endpoint> admin = daemon.start();
    if (!admin) {
        printErrors({ admin.error() });
        stopLog();
        return exit_codes::invalidInput;
    }
    server.start();
    logEvent(Event::EntryStarted,
        { { "version", WASABICROFT_VERSION }, { "failure-domain", common.failureDomain },
            { "admin", toString(admin.value()) }, { "platform", toString(common.platform) } });
    daemon.run();
    logEvent(Event::EntryStopped, { { "open-flows", static_cast<uint64_t>(server.openFlows()) } });
    server.stop();
    stopLog();
    return exit_codes::success;
}
