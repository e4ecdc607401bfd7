// Simulates the propagation of a configuration change in a fleet of the size of the design target: duration, platform
// calls and control bytes, compared with the naive way in which every process watches the platform. Runs on a manual
// clock, so the duration does not depend on the machine.
#include "tests/PropagationSimulation.h"

#include "wasabicroft/Settings.h"

#include <iomanip>
#include <iostream>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)

const char* const usage = R"(Simulates the propagation of a configuration change in a fleet.

Usage:
  propagation [options]

Options:
  --members=N          Number of members of the fleet [default: 6400].
  --changes-per-day=N  Configuration changes per day, for the averages [default: 2000].
  --seed=N             Seed of the delays and of the choice of dead members [default: 1].
  -h --help            Show this text.
  --version            Show the version.
)";

constexpr Milliseconds idleTime { 30000 };
constexpr Milliseconds changeTime { 10000 };
constexpr double secondsPerDay = 86400;

struct Case {
    std::string name;
    PropagationSimulationOptions options;
};

std::vector<Case> makeCases(const PropagationSimulationOptions& base)
{
    std::vector<Case> cases(6, { "", base });
    cases[0].name = "all alive";
    cases[1].name = "5% dead";
    cases[1].options.deadFraction = 0.05;
    cases[2].name = "one domain cut off";
    cases[2].options.partitionsDomain = true;
    cases[3].name = "one domain cut off, has platform, 5% dead";
    cases[3].options.partitionsDomain = true;
    cases[3].options.partitionedDomainHasPlatform = true;
    cases[3].options.deadFraction = 0.05;
    cases[4].name = "announcements off";
    cases[4].options.mechanisms.announce = false;
    cases[5].name = "naive: all watch";
    cases[5].options.mechanisms.announce = false;
    cases[5].options.allWatch = true;
    return cases;
}

void printRow(const std::string& name, const PropagationResults& results, double changesPerDay)
{
    std::cout << std::left << std::setw(43) << name << std::right << std::setw(6) << results.reached << '/' << std::left
              << std::setw(6) << results.live << std::right << std::setw(8) << results.lastDelay.count()
              << std::setw(10) << results.platformCalls << std::setw(8) << results.peakCalls << std::setw(9)
              << std::fixed << std::setprecision(1)
              << static_cast<double>(results.platformCalls) * changesPerDay / secondsPerDay << std::setw(11)
              << std::setprecision(0) << results.bytesPerSecond(changesPerDay) << std::setw(11)
              << results.maxChangeBytes / 1024 << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader reader(parseCommandLine(argc, argv, usage, "propagation"), "PROPAGATION");
    PropagationSimulationOptions base;
    base.members = reader.number("--members", base.members, 20, 20000);
    base.seed = reader.number("--seed", 1, 0, UINT64_MAX);
    const double changesPerDay = static_cast<double>(reader.number("--changes-per-day", 2000, 1, 1000000));
    if (!reader.errors().empty()) {
        printErrors(reader.errors());
        return exit_codes::usageError;
    }
    std::cout << "Platform calls exclude the instance list (500 entries every 3 s, 5,900 agents every 15 s: 560 a "
                 "second).\nBytes are sent and received, with TCP/IP headers and connection set-up.\n\n"
              << "case                                       reached/live  last ms  calls/chg  peak/s    avg/s  B/s "
                 "member  max KiB/chg\n";
    for (const Case& item : makeCases(base)) {
        PropagationSimulation simulation(item.options);
        printRow(item.name, simulation.run(idleTime, changeTime), changesPerDay);
    }
    return exit_codes::success;
}
