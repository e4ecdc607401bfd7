#include "tests/Chaos.h"

#include "tests/SeededRandom.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

namespace wasabicroft::tests {

namespace {

    using fakes::LoadKind;
    using fakes::LoadOptions;
    using fakes::LoadReport;
    using fakes::Outcome;

    const std::vector<std::string> entryNames { "entry-1", "entry-2", "entry-3" };
    const std::vector<std::string> agentNames { "core-1", "core-2", "core-3", "labels-1", "labels-2" };

    constexpr Milliseconds firstFaultTime { 1500 };
    constexpr Milliseconds recoveryTime { 4000 }; // At the end of the load, without faults.
    constexpr Milliseconds minFaultDuration { 300 };
    constexpr Milliseconds maxFaultDuration { 4000 }; // Longer than every timeout of the fleet.
    constexpr Milliseconds pauseBetweenFaults { 1000 }; // Per target; a restarted process needs time to become ready.
    constexpr int stepsPerFaultPair = 3; // One in this many steps starts two faults at once, on average.
    constexpr Milliseconds maxWorkAfterDrain { 2200 }; // The limit of R6 (2 s) plus the agents' health poll interval.

    std::string chooseTarget(ChaosFault fault, SeededRandom& random)
    {
        switch (fault) {
        case ChaosFault::KillEntry:
        case ChaosFault::FreezeEntry:
            return entryNames.at(random.below(entryNames.size()));
        case ChaosFault::PlatformDown:
        case ChaosFault::PlatformStale:
            return "platform";
        case ChaosFault::OperatorRace:
            return "operators";
        default:
            return agentNames.at(random.below(agentNames.size()));
        }
    }

    struct FaultChange {
        Milliseconds time { 0 };
        bool isStart = true;
        ChaosStep step;
    };

    class ChaosRun {
    public:
        explicit ChaosRun(const ChaosOptions& chaosOptions)
            : options(chaosOptions)
            , fleet(fleetOptions(chaosOptions))
        {
        }

        ChaosResult run(std::ostream& log)
        {
            const std::vector<ChaosStep> schedule = chaosSchedule(this->options.seed, this->options.duration);
            log << "seed " << this->options.seed << '\n';
            printSchedule(schedule, log);
            if (!this->start()) {
                this->result.violations.push_back("the fleet did not become ready");
                return this->result;
            }
            LoadRun plain(this->load(1, {}));
            LoadRun session(this->load(2, this->connectors()));
            this->applySchedule(schedule);
            this->checkReport("plain", plain.wait());
            this->checkReport("session", session.wait());
            this->checkFleet();
            for (const auto& [fault, count] : this->result.faultCounts)
                log << nameOf(fault) << ": " << count << '\n';
            return this->result;
        }

    private:
        static FleetOptions fleetOptions(const ChaosOptions& chaos)
        {
            FleetOptions fleet;
            fleet.programDirectory = chaos.programDirectory;
            return fleet;
        }

        bool start()
        {
            for (const char* service : { "core", "labels" })
                this->fleet.addService(service);
            for (const std::string& name : agentNames)
                this->fleet.addUpstream(name.substr(0, name.find('-')), name);
            this->fleet.publish();
            for (const std::string& name : entryNames)
                this->fleet.startEntry(name);
            for (const std::string& name : agentNames)
                this->fleet.startAgent(name);
            this->fleet.setMembersFromProcesses();
            return this->fleet.waitReady();
        }

        std::map<LoadKind, Endpoint> connectors()
        {
            return { { LoadKind::Registration, this->fleet.startConnector("core", requestListener) },
                { LoadKind::Feed, this->fleet.startConnector("core", feedListener) },
                { LoadKind::Download, this->fleet.startConnector("labels", bulkListener) } };
        }

        LoadOptions load(uint64_t number, const std::map<LoadKind, Endpoint>& connectorOf)
        {
            LoadOptions load;
            load.seed = this->options.seed * 2 + number;
            load.seconds = std::chrono::duration<double>(this->options.duration).count();
            load.workTime = Milliseconds(40);
            load.timeout = Milliseconds(3000);
            load.upstreamAdmins = this->fleet.upstreamAdmins();
            constexpr uint64_t downloadBytes = 256 * 1024;
            load.targetFor(LoadKind::Registration)
                = { this->fleet.entryAddresses("core", requestListener), "core", 50 };
            load.targetFor(LoadKind::Feed) = { this->fleet.entryAddresses("core", feedListener), "core", 10 };
            load.targetFor(LoadKind::Download)
                = { this->fleet.entryAddresses("labels", bulkListener), "labels", 5, downloadBytes };
            for (const auto& [kind, endpoint] : connectorOf)
                load.targetFor(kind).addresses = { endpoint };
            return load;
        }

        void applySchedule(const std::vector<ChaosStep>& schedule)
        {
            std::vector<FaultChange> changes;
            for (const ChaosStep& step : schedule) {
                changes.push_back({ step.start, true, step });
                changes.push_back({ step.start + step.duration, false, step });
            }
            std::stable_sort(changes.begin(), changes.end(),
                [](const FaultChange& first, const FaultChange& second) { return first.time < second.time; });
            const TimePoint begin = std::chrono::steady_clock::now();
            for (const FaultChange& change : changes) {
                std::this_thread::sleep_until(begin + change.time);
                if (change.isStart)
                    this->injectFault(change.step);
                else
                    this->clearFault(change.step);
            }
        }

        void injectFault(const ChaosStep& step)
        {
            ++this->result.faultCounts[step.fault];
            switch (step.fault) {
            case ChaosFault::KillEntry:
            case ChaosFault::KillAgent:
                this->fleet.group[step.target].signal(SIGKILL);
                break;
            case ChaosFault::FreezeEntry:
            case ChaosFault::FreezeAgent:
                this->fleet.group[step.target].signal(SIGSTOP);
                break;
            case ChaosFault::CutAgent:
                this->fleet.agentRelay(step.target).cut();
                break;
            case ChaosFault::SwallowAgent:
                this->fleet.agentRelay(step.target).blackholeExisting();
                break;
            case ChaosFault::PlatformDown:
                this->fleet.platform.setDown(true);
                break;
            case ChaosFault::PlatformStale:
                this->fleet.platform.setStale(true);
                break;
            case ChaosFault::DrainUpstream:
                this->fleet.upstream(step.target).drain();
                break;
            case ChaosFault::OperatorRace:
                this->fleet.publishConflictingVersions();
                break;
            }
        }

        void clearFault(const ChaosStep& step)
        {
            switch (step.fault) {
            case ChaosFault::KillEntry:
                this->fleet.startEntry(step.target);
                break;
            case ChaosFault::KillAgent:
                this->fleet.startAgent(step.target);
                break;
            case ChaosFault::FreezeEntry:
            case ChaosFault::FreezeAgent:
                this->fleet.group[step.target].signal(SIGCONT);
                break;
            case ChaosFault::CutAgent:
                this->fleet.agentRelay(step.target).heal();
                break;
            case ChaosFault::SwallowAgent:
                break;
            case ChaosFault::PlatformDown:
                this->fleet.platform.setDown(false);
                break;
            case ChaosFault::PlatformStale:
                this->fleet.platform.setStale(false);
                break;
            case ChaosFault::DrainUpstream:
                this->fleet.upstream(step.target).undrain();
                break;
            case ChaosFault::OperatorRace:
                this->fleet.publish(); // A newer version resolves the conflict.
                break;
            }
        }

        void checkReport(const std::string& name, const LoadReport& report)
        {
            this->result.report += "== " + name + '\n' + fakes::reportTable(report);
            for (const std::string& violation : guaranteeViolations(report, true)) {
                std::string line = name;
                line.append(": ").append(violation);
                this->result.violations.push_back(line);
            }
            const std::vector<uint64_t>& answered = report.reportFor(LoadKind::Registration).answeredPerSecond;
            const size_t lastSecond = static_cast<size_t>(this->options.duration / std::chrono::seconds(1)) - 1;
            if (answered.size() <= lastSecond || answered.at(lastSecond) == 0)
                this->result.violations.push_back(name + ": no registration is answered after the last fault");
        }

        void checkFleet()
        {
            if (this->fleet.invariantViolations() > 0)
                this->result.violations.push_back("invariants: " + this->fleet.matchingLogLines("event=9001"));
            if (!this->fleet.waitReady())
                this->result.violations.push_back("a process is not ready after the last fault");
            for (const std::string& name : agentNames) {
                const Milliseconds lastWork = this->fleet.upstream(name).ledger().lastWorkAfterDrain;
                if (lastWork > maxWorkAfterDrain)
                    this->addWorkAfterDrainViolation(name, lastWork);
            }
        }

        void addWorkAfterDrainViolation(const std::string& upstream, Milliseconds last)
        {
            std::ostringstream text;
            text << upstream << ": new work " << last.count() << " ms after a drain";
            this->result.violations.push_back(text.str());
        }

        ChaosOptions options;
        Fleet fleet;
        ChaosResult result;
    };

} // namespace

std::string_view nameOf(ChaosFault fault) { return chaosFaultNames.at(static_cast<size_t>(fault)); }

std::vector<ChaosStep> chaosSchedule(uint64_t seed, Milliseconds duration)
{
    SeededRandom random { std::mt19937_64(seed) };
    std::vector<ChaosStep> schedule;
    std::map<std::string, Milliseconds> nextAllowedStart;
    const Milliseconds scheduleEnd = duration - recoveryTime;
    for (Milliseconds at = firstFaultTime; at < scheduleEnd;) {
        const int count = random.below(stepsPerFaultPair) == 0 ? 2 : 1;
        for (int i = 0; i < count; ++i) {
            ChaosStep step;
            step.fault = static_cast<ChaosFault>(random.below(chaosFaultNames.size()));
            step.target = chooseTarget(step.fault, random);
            step.start = at;
            step.duration = std::min(random.between(minFaultDuration, maxFaultDuration), scheduleEnd - at);
            if (nextAllowedStart[step.target] > at)
                continue;
            nextAllowedStart[step.target] = at + step.duration + pauseBetweenFaults;
            schedule.push_back(step);
        }
        at += random.between(Milliseconds(200), Milliseconds(1200));
    }
    return schedule;
}

void printSchedule(const std::vector<ChaosStep>& schedule, std::ostream& out)
{
    for (const ChaosStep& step : schedule)
        out << "at " << step.start.count() << " ms for " << step.duration.count() << " ms: " << nameOf(step.fault)
            << ' ' << step.target << '\n';
}

ChaosResult runChaos(const ChaosOptions& options, std::ostream& log) { return ChaosRun(options).run(log); }

} // namespace wasabicroft::tests
