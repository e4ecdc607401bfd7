// Soak test of the packet programs on loopback with random faults; see tests/PacketSoak.h.
#include "tests/PacketSoak.h"
#include "wasabicroft/Settings.h"

#include <filesystem>
#include <iostream>

namespace {

const char* const usage = R"(Injects random faults into the packet programs under load and checks every guarantee.

Usage:
  packet-soak [options]

Options:
  --seed=N          First seed [default: 1].
  --regressions     Runs the schedules that violated a guarantee in the past instead.
  --runs=N          Number of runs, each with the next seed [default: 1].
  --seconds=N       Duration in seconds of the faults of one run [default: 20].
  --entries=N       Number of entries [default: 3].
  --hosts=N         Number of upstream hosts, each with its agent [default: 5].
  --callers=N       Number of callers, each with one flow at a time [default: 24].
  --list            Prints the schedule of the first seed and exits.
  -h --help         Show this text.
  --version         Show the version.

Exit code 1 if a guarantee is violated; the logs of that run are kept.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace wasabicroft; // NOLINT(google-build-using-namespace)
    SettingsReader settings(parseCommandLine(argc, argv, usage, "packet-soak"), "WASABI_PACKET_SOAK");
    constexpr uint64_t maxRuns = 1000;
    constexpr uint64_t maxSeconds = 3600;
    constexpr uint64_t maxEntries = 100;
    constexpr uint64_t maxHosts = 200;
    constexpr uint64_t maxCallers = 10000;
    tests::SoakOptions options;
    options.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    const uint64_t runs = settings.number("--runs", 1, 1, maxRuns);
    options.duration = std::chrono::seconds(settings.number("--seconds", 20, 6, maxSeconds));
    options.size.entries = settings.number("--entries", 3, 1, maxEntries);
    options.size.hosts = settings.number("--hosts", 5, 2, maxHosts);
    options.size.callers.callers = settings.number("--callers", 24, 1, maxCallers);
    const bool regressionsOnly = settings.boolean("--regressions", false);
    const bool listOnly = settings.boolean("--list", false);
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    if (listOnly) {
        tests::printSchedule(tests::soakSchedule(options), std::cout);
        return exit_codes::success;
    }
    options.programs = std::filesystem::path(argv[0]).parent_path();
    std::vector<tests::SoakRegression> schedules;
    if (regressionsOnly) {
        schedules.assign(tests::soakRegressions().begin(), tests::soakRegressions().end());
    } else {
        for (uint64_t run = 0; run < runs; ++run)
            schedules.push_back({ options.seed + run, options.duration, "" });
    }
    uint64_t failed = 0;
    for (const tests::SoakRegression& schedule : schedules) {
        options.seed = schedule.seed;
        options.duration = schedule.duration;
        const tests::SoakResult result = tests::runSoak(options, std::cout);
        std::cout << result.report;
        for (const std::string& violation : result.statistics.violations)
            std::cout << "VIOLATION: seed " << options.seed << ": " << violation << '\n';
        failed += result.statistics.violations.empty() ? 0 : 1;
        std::cout << std::flush;
    }
    std::cout << schedules.size() << " runs, " << failed << " with violated guarantees\n";
    return failed == 0 ? exit_codes::success : exit_codes::invalidInput;
}
