// Measures the load policy with the built programs: load through two entries and one pool of agents, then the same load
// through two naive relays. The load contains stragglers and a peak of three times the capacity.
#include "fakes/Load.h"
#include "fakes/Platform.h"
#include "tests/Processes.h"
#include "wasabicroft/Settings.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
using namespace wasabicroft::fakes; // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

const char* const usage
    = R"(Sends load through 2 entries and 7 agents, then through 2 naive relays, to upstreams with 4 slots. A request takes
50 ms of work, one in 100 takes 30 times longer. Demand is 80% of the capacity, then rises to 3 times the capacity.
Takes about 90 s with the default durations.

Usage:
  pool-load [options]

Options:
  --steady-ms=N        Duration of demand at 80% of the capacity [default: 20000].
  --crest-ms=N         Duration of demand at 3 times the capacity [default: 8000].
  --seed=N             Seed of the arrivals and stragglers [default: 1].
  --entry-options=LIST  Comma-separated options for the entries, for example --wait-at,1,--candidates,2.
  -h --help            Show this text.
  --version            Show the version.
)";

constexpr size_t hostCount = 7;
constexpr size_t frontCount = 2;
constexpr uint16_t slotsPerHost = 4;
constexpr double workSeconds = 0.050;
constexpr uint32_t stragglerOneIn = 100;
constexpr uint32_t stragglerFactor = 30;
constexpr double meanWork = workSeconds * (stragglerOneIn - 1 + stragglerFactor) / stragglerOneIn;
constexpr double poolCapacity = hostCount * slotsPerHost / meanWork; // Requests per second.
constexpr double targetUtilization = 0.8;
constexpr double peakFactor = 3; // As a multiple of the capacity.
constexpr double riseSeconds = 2;
constexpr Milliseconds startTimeout { 10000 };
constexpr char refusal[] = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n";

struct LoadPlan {
    double steadySeconds = 0;
    double peakSeconds = 0;
    uint64_t seed = 1;
    std::vector<std::string> entryOptions;
};

struct UpstreamPool {
    UpstreamPool()
    {
        for (size_t host = 0; host < hostCount; ++host) {
            UpstreamOptions options;
            options.service = "core";
            options.name = "host-" + std::to_string(host + 1);
            options.slots = slotsPerHost;
            this->upstreams.push_back(std::make_unique<Upstream>(options));
        }
    }

    std::vector<std::unique_ptr<Upstream>> upstreams;
};

LoadReport runPoolLoad(const LoadPlan& plan, const UpstreamPool& pool, const std::vector<Endpoint>& fronts)
{
    LoadOptions options;
    LoadTarget& target = options.targetFor(LoadKind::Registration);
    target.addresses = fronts;
    target.service = "core";
    target.rate = targetUtilization * poolCapacity;
    for (const std::unique_ptr<Upstream>& upstream : pool.upstreams)
        options.upstreamAdmins.push_back(upstream->adminEndpoint());
    options.swing = { peakFactor / targetUtilization, plan.steadySeconds, riseSeconds, plan.peakSeconds };
    options.seconds = plan.steadySeconds + plan.peakSeconds + 2 * riseSeconds;
    options.stragglerOneIn = stragglerOneIn;
    options.stragglerFactor = stragglerFactor;
    options.timeout = Milliseconds(5000);
    options.seed = plan.seed;
    return runLoad(options);
}

double quantile(const std::vector<WaitSample>& samples, double from, double to, double share)
{
    std::vector<double> waits;
    for (const WaitSample& sample : samples) {
        if (sample.atSeconds >= from && sample.atSeconds < to)
            waits.push_back(sample.waitMilliseconds);
    }
    if (waits.empty())
        return 0;
    std::sort(waits.begin(), waits.end());
    return waits[std::min(waits.size() - 1, static_cast<size_t>(share * static_cast<double>(waits.size())))];
}

void print(const std::string& path, const LoadPlan& plan, const LoadReport& report)
{
    const KindReport& requests = report.reportFor(LoadKind::Registration);
    const double peakStart = plan.steadySeconds + riseSeconds;
    double answered = 0;
    for (size_t second = static_cast<size_t>(peakStart); second < static_cast<size_t>(peakStart + plan.peakSeconds);
         ++second)
        answered
            += second < requests.answeredPerSecond.size() ? static_cast<double>(requests.answeredPerSecond[second]) : 0;
    uint64_t steadyRefusals = 0;
    for (size_t second = 0;
         second < std::min(static_cast<size_t>(plan.steadySeconds), requests.refusedPerSecond.size()); ++second)
        steadyRefusals += requests.refusedPerSecond[second];
    double steadyImbalance = 0;
    double swingImbalance = 0;
    for (const ImbalanceWindow& window : report.imbalance) {
        double& worst = window.end <= plan.steadySeconds ? steadyImbalance : swingImbalance;
        worst = std::max(worst, window.largestOverMean);
    }
    std::printf(
        "%-7s steady wait p50 %.1f p99 %.1f ms, refused %llu; crest wait p50 %.1f p99 %.1f ms; crest goodput %.3f; "
        "imbalance "
        "steady %.3f swing %.3f\n        sent %llu answered %llu not-run %llu failed %llu broken %llu timed-out "
        "%llu unconnected %llu; false refusals %llu duplicates %llu losses %llu shed by upstreams %llu\n",
        path.c_str(), quantile(requests.waitSamples, 1, plan.steadySeconds, 0.5),
        quantile(requests.waitSamples, 1, plan.steadySeconds, 0.99), static_cast<unsigned long long>(steadyRefusals),
        quantile(requests.waitSamples, peakStart, peakStart + plan.peakSeconds, 0.5),
        quantile(requests.waitSamples, peakStart, peakStart + plan.peakSeconds, 0.99),
        answered / plan.peakSeconds / poolCapacity, steadyImbalance, swingImbalance,
        static_cast<unsigned long long>(requests.sent),
        static_cast<unsigned long long>(requests.count(Outcome::Answered)),
        static_cast<unsigned long long>(requests.count(Outcome::NotRun)),
        static_cast<unsigned long long>(requests.count(Outcome::Failed)),
        static_cast<unsigned long long>(requests.count(Outcome::Broken)),
        static_cast<unsigned long long>(requests.count(Outcome::TimedOut)),
        static_cast<unsigned long long>(requests.count(Outcome::Unconnected)),
        static_cast<unsigned long long>(report.ledger.falseRefusals),
        static_cast<unsigned long long>(report.ledger.duplicates),
        static_cast<unsigned long long>(report.ledger.losses), static_cast<unsigned long long>(report.ledger.shed));
    std::fflush(stdout);
}

double machineLoad()
{
    double average = 0;
    return ::getloadavg(&average, 1) == 1 ? average : 0;
}

bool measurePool(const LoadPlan& plan, const std::filesystem::path& programs)
{
    const UpstreamPool pool;
    tests::ProcessGroup processes(programs);
    FakePlatform platform;
    ServiceConfig service;
    service.name = "core";
    const Endpoint front = tests::freeEndpoint();
    service.listeners = { { "registrations", front, TrafficClass::Request } };
    service.slots = slotsPerHost;
    service.queueLimit = 16;
    service.maxQueueWait = Milliseconds(2000);
    service.stragglerAfter = Milliseconds(75);
    service.refusal = refusal;
    std::vector<Endpoint> adminEndpoints;
    for (size_t host = 0; host < hostCount; ++host) {
        const std::string name = "host-" + std::to_string(host + 1);
        const Endpoint link = tests::freeEndpoint();
        service.upstreams.push_back({ name, "domain-a", link, pool.upstreams[host]->endpoint(), false });
        adminEndpoints.push_back(tests::freeEndpoint());
        processes.start(name, "wasabi-agent",
            { "--name", name, "--failure-domain", "domain-a", "--platform", toString(platform.endpoint()),
                "--link-endpoint", toString(link), "--admin-endpoint", toString(adminEndpoints.back()),
                "--log-threshold", "warning" });
    }
    platform.publish(encodeConfig(1, 1, { service }));
    std::vector<Endpoint> fronts;
    for (size_t entry = 0; entry < frontCount; ++entry) {
        const std::string name = "entry-" + std::to_string(entry + 1);
        // The entries share the port of the listener, so each needs its own address.
        fronts.push_back(
            { "127.43." + std::to_string(::getpid() % 250 + 1) + '.' + std::to_string(entry + 1), front.port });
        adminEndpoints.push_back(tests::freeEndpoint());
        std::vector<std::string> arguments = { "--name", name, "--failure-domain", "domain-a", "--platform",
            toString(platform.endpoint()), "--link-endpoint", toString(tests::freeEndpoint()), "--admin-endpoint",
            toString(adminEndpoints.back()), "--listen-address", fronts.back().address, "--log-threshold", "error" };
        arguments.insert(arguments.end(), plan.entryOptions.begin(), plan.entryOptions.end());
        processes.start(name, "wasabi-entry", arguments);
    }
    for (const Endpoint& admin : adminEndpoints) {
        if (!tests::waitForStatus(admin, "/ready", 200, startTimeout)) {
            std::cerr << "a program did not become ready: " << toString(admin) << '\n';
            return false;
        }
    }
    print("pool", plan, runPoolLoad(plan, pool, fronts));
    return true;
}

bool measureNaive(const LoadPlan& plan, const std::filesystem::path& programs)
{
    const UpstreamPool pool;
    tests::ProcessGroup processes(programs);
    std::string targets;
    for (const std::unique_ptr<Upstream>& upstream : pool.upstreams)
        targets += (targets.empty() ? "" : ",") + toString(upstream->endpoint());
    std::vector<Endpoint> fronts;
    for (size_t relay = 0; relay < frontCount; ++relay) {
        fronts.push_back(tests::freeEndpoint());
        tests::Process& process = processes.start("relay-" + std::to_string(relay + 1), "naive-relay",
            { "--targets=" + targets, "--listen=" + toString(fronts.back()), "--seed=" + std::to_string(relay + 1) });
        std::this_thread::sleep_for(500ms);
        if (!process.running()) {
            std::cerr << processes.allLogs();
            return false;
        }
    }
    print("naive", plan, runPoolLoad(plan, pool, fronts));
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "pool-load"), "POOL_LOAD");
    const auto seconds = [&settings](const char* flag, Milliseconds defaultValue) {
        const Milliseconds value = settings.duration(flag, defaultValue, Milliseconds(2000), Milliseconds(30000));
        return static_cast<double>(value.count()) / 1000;
    };
    LoadPlan plan;
    plan.steadySeconds = seconds("--steady-ms", Milliseconds(20000));
    plan.peakSeconds = seconds("--crest-ms", Milliseconds(8000));
    plan.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    plan.entryOptions = settings.list("--entry-options");
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    const std::filesystem::path programs = std::filesystem::canonical(argv[0]).parent_path();
    const double loadBefore = machineLoad();
    const bool succeeded = measurePool(plan, programs) && measureNaive(plan, programs);
    std::printf("machine load before %.1f, after %.1f\n", loadBefore, machineLoad());
    return succeeded ? exit_codes::success : exit_codes::unreachable;
}
