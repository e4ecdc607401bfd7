// Compares the link sharing modes between entry and agent by the delay of feed lines during saturating downloads.
#include "LinkBench.h"
#include "wasabicroft/Settings.h"

#include <cstdio>
#include <unistd.h>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)

const char* const usage = R"(Measures feed delays without and with saturating downloads, through a lossy relay.

Usage:
  carriage [options]

Options:
  --sharing=LIST        Link sharing modes to compare [default: all-classes,per-class,per-flow].
  --seconds=N           Duration in seconds of each of the two phases [default: 20].
  --feeds=N             Number of feeds [default: 4].
  --feed-ms=N           Interval between the lines of a feed [default: 100].
  --downloads=N         Number of concurrent downloads [default: 8].
  --delay-ms=N          One-way delay between entry and agent [default: 4].
  --caller-delay-ms=N   One-way delay between callers and entry [default: 3].
  --jitter-ms=N         Maximum additional delay between entry and agent [default: 2].
  --loss-percent=N      Share of lost segments between entry and agent [default: 1].
  --retransmission-ms=N Time for which a lost segment stalls its TCP stream [default: 200].
  --seed=N              Seed of the relays [default: 1].
  -h --help             Show this text.
  --version             Show the version.
)";

std::optional<LinkSharing> parseLinkSharing(const std::string& name)
{
    const auto found = std::find(linkSharingNames.begin(), linkSharingNames.end(), name);
    if (found == linkSharingNames.end())
        return std::nullopt;
    return static_cast<LinkSharing>(found - linkSharingNames.begin());
}

void print(const std::string& sharing, const char* phase, const std::vector<double>& delays, double megabytes,
    const LinkBenchResults& results)
{
    std::printf("%-12s %-7s %7zu %9.1f %9.1f %9.1f %9.1f %9.1f %6llu %7llu\n", sharing.c_str(), phase, delays.size(),
        quantileOf(delays, 0.5), quantileOf(delays, 0.99), quantileOf(delays, 0.999), quantileOf(delays, 1), megabytes,
        static_cast<unsigned long long>(results.links), static_cast<unsigned long long>(results.brokenFeeds));
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "carriage"), "CARRIAGE");
    LinkBenchOptions options;
    const std::vector<std::string> sharings = settings.list("--sharing");
    const uint64_t seconds = settings.number("--seconds", 20, 1, 120);
    options.idleTime = options.loadTime = std::chrono::seconds(seconds);
    options.feeds = static_cast<unsigned>(settings.number("--feeds", 4, 1, 100));
    options.feedInterval = Milliseconds(settings.number("--feed-ms", 100, 1, 1000));
    options.downloads = static_cast<unsigned>(settings.number("--downloads", 8, 1, 100));
    options.linkPath.delay = Milliseconds(settings.number("--delay-ms", 4, 0, 1000));
    options.linkPath.jitter = Milliseconds(settings.number("--jitter-ms", 2, 0, 1000));
    options.linkPath.loss = static_cast<double>(settings.number("--loss-percent", 1, 0, 50)) / 100;
    options.linkPath.retransmissionTimeout = Milliseconds(settings.number("--retransmission-ms", 200, 1, 10000));
    options.callerPath.delay = Milliseconds(settings.number("--caller-delay-ms", 3, 0, 1000));
    options.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    for (const std::string& name : sharings) {
        if (!parseLinkSharing(name)) {
            std::fprintf(stderr, "unknown link sharing '%s'; use all-classes, per-class or per-flow\n", name.c_str());
            return exit_codes::usageError;
        }
    }
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    alarm(static_cast<unsigned>(sharings.size() * (2 * seconds + 30))); // Ends a run that hangs.
    std::printf("%-12s %-7s %7s %9s %9s %9s %9s %9s %6s %7s\n", "sharing", "phase", "lines", "p50 ms", "p99 ms",
        "p99.9 ms", "max ms", "MB/s", "links", "broken");
    for (const std::string& name : sharings) {
        options.links.sharing = *parseLinkSharing(name);
        const LinkBenchResults results = LinkBench(options).run();
        const double loadSeconds = std::chrono::duration<double>(options.loadTime + options.warmUp).count();
        const double megabytes = static_cast<double>(results.downloadedBytes) / 1e6 / loadSeconds;
        print(name, "idle", results.idleDelays, 0, results);
        print(name, "loaded", results.loadedDelays, megabytes, results);
        std::printf("%-12s %-7s %7s %9s %9.2f %9.2f\n", name.c_str(), "ratio", "", "",
            quantileOf(results.loadedDelays, 0.99) / quantileOf(results.idleDelays, 0.99),
            quantileOf(results.loadedDelays, 0.999) / quantileOf(results.idleDelays, 0.999));
        std::fflush(stdout);
    }
    return exit_codes::success;
}
