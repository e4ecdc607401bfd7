// Runs the chaos test, which injects random faults into a fleet of processes on loopback; see tests/Chaos.h.
#include "tests/Chaos.h"
#include "wasabicroft/Settings.h"

#include <filesystem>
#include <iostream>

namespace {

const char* const usage = R"(Injects random faults into a small fleet under load and checks every guarantee.

Usage:
  chaos [options]

Options:
  --seed=N          Determines the schedule of faults [default: 1].
  --seconds=N       Duration of the load in seconds [default: 60].
  --list            Prints the schedule and exits.
  -h --help         Show this text.
  --version         Show the version.

Exit code 1 if a guarantee is violated.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace wasabicroft; // NOLINT(google-build-using-namespace)
    SettingsReader settings(parseCommandLine(argc, argv, usage, "chaos"), "WASABI_CHAOS");
    tests::ChaosOptions options;
    options.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    constexpr uint64_t maxSeconds = 3600;
    options.duration = std::chrono::seconds(settings.number("--seconds", 60, 10, maxSeconds));
    const bool listOnly = settings.boolean("--list", false);
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    if (listOnly) {
        tests::printSchedule(tests::chaosSchedule(options.seed, options.duration), std::cout);
        return exit_codes::success;
    }
    options.programDirectory = std::filesystem::path(argv[0]).parent_path();
    const tests::ChaosResult result = tests::runChaos(options, std::cout);
    std::cout << result.report;
    for (const std::string& violation : result.violations)
        std::cout << "VIOLATION: " << violation << '\n';
    return result.violations.empty() ? exit_codes::success : exit_codes::invalidInput;
}
