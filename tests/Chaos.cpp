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

    constexpr Milliseconds firstFault { 1500 };
    constexpr Milliseconds recovery { 4000 }; // free of faults at the end
    constexpr Milliseconds shortestFault { 300 };
    constexpr Milliseconds longestFault { 4000 }; // longer than every timeout of the fleet
    constexpr Milliseconds pause { 1000 }; // of a victim between two faults; a new process needs some time
    constexpr int pairOneIn = 3;
    constexpr Milliseconds drainLimit { 2200 }; // R6, and the interval at which agents poll the health

    std::string drawVictim(ChaosFault fault, SeededRandom& draw)
    {
        switch (fault) {
        case ChaosFault::KillEntry:
        case ChaosFault::FreezeEntry:
            return entryNames.at(draw.below(entryNames.size()));
        case ChaosFault::PlatformDown:
        case ChaosFault::PlatformStale:
            return "platform";
        case ChaosFault::OperatorRace:
            return "operators";
        default:
            return agentNames.at(draw.below(agentNames.size()));
        }
    }

    struct Change {
        Milliseconds at { 0 };
        bool begins = true;
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
            this->perform(schedule);
            this->judge("plain", plain.wait());
            this->judge("session", session.wait());
            this->judgeFleet();
            for (const auto& [fault, count] : this->result.counts)
                log << nameOf(fault) << ": " << count << '\n';
            return this->result;
        }

    private:
        static FleetOptions fleetOptions(const ChaosOptions& chaos)
        {
            FleetOptions fleet;
            fleet.programs = chaos.programs;
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
            load.work = Milliseconds(40);
            load.timeout = Milliseconds(3000);
            load.upstreamAdmins = this->fleet.upstreamAdmins();
            constexpr uint64_t downloadBytes = 256 * 1024;
            load.of(LoadKind::Registration) = { this->fleet.entryAddresses("core", requestListener), "core", 50 };
            load.of(LoadKind::Feed) = { this->fleet.entryAddresses("core", feedListener), "core", 10 };
            load.of(LoadKind::Download)
                = { this->fleet.entryAddresses("labels", bulkListener), "labels", 5, downloadBytes };
            for (const auto& [kind, endpoint] : connectorOf)
                load.of(kind).addresses = { endpoint };
            return load;
        }

        void perform(const std::vector<ChaosStep>& schedule)
        {
            std::vector<Change> changes;
            for (const ChaosStep& step : schedule) {
                changes.push_back({ step.at, true, step });
                changes.push_back({ step.at + step.length, false, step });
            }
            std::stable_sort(changes.begin(), changes.end(),
                [](const Change& first, const Change& second) { return first.at < second.at; });
            const TimePoint begin = std::chrono::steady_clock::now();
            for (const Change& change : changes) {
                std::this_thread::sleep_until(begin + change.at);
                if (change.begins)
                    this->cause(change.step);
                else
                    this->end(change.step);
            }
        }

        void cause(const ChaosStep& step)
        {
            ++this->result.counts[step.fault];
            switch (step.fault) {
            case ChaosFault::KillEntry:
            case ChaosFault::KillAgent:
                this->fleet.group[step.victim].signal(SIGKILL);
                break;
            case ChaosFault::FreezeEntry:
            case ChaosFault::FreezeAgent:
                this->fleet.group[step.victim].signal(SIGSTOP);
                break;
            case ChaosFault::CutAgent:
                this->fleet.agentRelay(step.victim).cut();
                break;
            case ChaosFault::SwallowAgent:
                this->fleet.agentRelay(step.victim).swallowExisting();
                break;
            case ChaosFault::PlatformDown:
                this->fleet.platform.setDown(true);
                break;
            case ChaosFault::PlatformStale:
                this->fleet.platform.setStale(true);
                break;
            case ChaosFault::DrainUpstream:
                this->fleet.upstream(step.victim).drain();
                break;
            case ChaosFault::OperatorRace:
                this->fleet.publishRace();
                break;
            }
        }

        void end(const ChaosStep& step)
        {
            switch (step.fault) {
            case ChaosFault::KillEntry:
                this->fleet.startEntry(step.victim);
                break;
            case ChaosFault::KillAgent:
                this->fleet.startAgent(step.victim);
                break;
            case ChaosFault::FreezeEntry:
            case ChaosFault::FreezeAgent:
                this->fleet.group[step.victim].signal(SIGCONT);
                break;
            case ChaosFault::CutAgent:
                this->fleet.agentRelay(step.victim).heal();
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
                this->fleet.upstream(step.victim).undrain();
                break;
            case ChaosFault::OperatorRace:
                this->fleet.publish(); // an operator settles the race
                break;
            }
        }

        void judge(const std::string& name, const LoadReport& report)
        {
            this->result.report += "== " + name + '\n' + fakes::reportTable(report);
            for (const std::string& violation : brokenGuarantees(report, true)) {
                std::string line = name;
                line.append(": ").append(violation);
                this->result.violations.push_back(line);
            }
            const std::vector<uint64_t>& answered = report.of(LoadKind::Registration).answeredPerSecond;
            const size_t lastSecond = static_cast<size_t>(this->options.duration / std::chrono::seconds(1)) - 1;
            if (answered.size() <= lastSecond || answered.at(lastSecond) == 0)
                this->result.violations.push_back(name + ": no registration is answered after the last fault");
        }

        void judgeFleet()
        {
            if (this->fleet.violations() > 0)
                this->result.violations.push_back("invariants: " + this->fleet.logs("event=9001"));
            if (!this->fleet.waitReady())
                this->result.violations.push_back("a process is not ready after the last fault");
            for (const std::string& name : agentNames) {
                const Milliseconds last = this->fleet.upstream(name).ledger().lastWorkAfterDrain;
                if (last > drainLimit)
                    this->addLateWork(name, last);
            }
        }

        void addLateWork(const std::string& upstream, Milliseconds last)
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
    SeededRandom draw { std::mt19937_64(seed) };
    std::vector<ChaosStep> schedule;
    std::map<std::string, Milliseconds> freeFrom;
    const Milliseconds last = duration - recovery;
    for (Milliseconds at = firstFault; at < last;) {
        const int count = draw.below(pairOneIn) == 0 ? 2 : 1;
        for (int i = 0; i < count; ++i) {
            ChaosStep step;
            step.fault = static_cast<ChaosFault>(draw.below(chaosFaultNames.size()));
            step.victim = drawVictim(step.fault, draw);
            step.at = at;
            step.length = std::min(draw.between(shortestFault, longestFault), last - at);
            if (freeFrom[step.victim] > at)
                continue;
            freeFrom[step.victim] = at + step.length + pause;
            schedule.push_back(step);
        }
        at += draw.between(Milliseconds(200), Milliseconds(1200));
    }
    return schedule;
}

void printSchedule(const std::vector<ChaosStep>& schedule, std::ostream& out)
{
    for (const ChaosStep& step : schedule)
        out << "at " << step.at.count() << " ms for " << step.length.count() << " ms: " << nameOf(step.fault) << ' '
            << step.victim << '\n';
}

ChaosResult runChaos(const ChaosOptions& options, std::ostream& log) { return ChaosRun(options).run(log); }

} // namespace wasabicroft::tests
