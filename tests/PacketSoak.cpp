#include "tests/PacketSoak.h"

#include "fakes/OnThread.h"
#include "fakes/Relay.h"
#include "tests/PacketPrograms.h"
#include "tests/Processes.h"
#include "tests/SeededRandom.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <csignal>
#include <sstream>
#include <thread>

namespace wasabicroft::tests {

namespace {

    constexpr Milliseconds firstFaultTime(1500);
    constexpr Milliseconds maxFaultSpacing(700); // Between the starts of two faults, so that many overlap.
    constexpr Milliseconds minFaultDuration(200);
    constexpr Milliseconds maxFaultDuration(3000); // Longer than the timeouts of the programs.
    constexpr Milliseconds reuseTime(2200); // Addresses are reused after 2 s at the earliest.
    // After the last fault: covers the platform's stability window and a program start.
    constexpr Milliseconds recoveryTime(4500);
    constexpr Milliseconds faultFreeTime(5000); // Duration of the load without faults after the recovery.
    constexpr Milliseconds applyTime(3000); // Time limit for configurations and drains to take effect.
    constexpr Milliseconds openTimeout(1400); // A client gives up after this time.
    constexpr Milliseconds stopTimeout(6000); // Time limit for the exit after SIGTERM.
    constexpr Milliseconds startTimeout(5000); // Time limit for all programs to become ready before the load.
    constexpr Milliseconds pollInterval(500); // Interval of the routers' readiness checks.
    constexpr Milliseconds pollTimeout(200);
    constexpr Milliseconds maxRelistDelay(1500); // Expired upstream records are back this long after the store.
    constexpr int unhealthyThreshold = 2; // Failed checks until a router takes an entry out of rotation.
    constexpr size_t drainProbes = 30;
    constexpr uint16_t probePort = 40000;

    // First loopback address of this run. No other test uses 127.224.0.0 to 127.255.255.255.
    uint32_t firstAddressOfRun()
    {
        constexpr uint32_t base = 0x7fe00000;
        constexpr uint32_t block = 512;
        constexpr uint32_t blocks = 4096;
        return base + (static_cast<uint32_t>(getpid()) % blocks) * block;
    }

    bool targetsHost(SoakFault fault)
    {
        return fault == SoakFault::KillAgent || fault == SoakFault::PauseMachine || fault == SoakFault::CrashHost
            || fault == SoakFault::ReuseAddress || fault == SoakFault::DrainHost;
    }

    std::string entryName(size_t number) { return "entry-" + std::to_string(number); }
    std::string agentName(size_t number) { return "agent-" + std::to_string(number); }

    enum class ProgramState : uint8_t { Down, Running, Stopping };

    class SoakRun {
    public:
        SoakRun(const SoakOptions& soakOptions, std::ostream& output)
            : options(soakOptions)
            , log(output)
            , firstAddress(firstAddressOfRun())
            , group(soakOptions.programs)
            , work(boost::asio::make_work_guard(this->context))
            , environment(this->context, this->firstAddress, soakOptions.size, soakOptions.seed)
            , probe(this->context, { this->firstAddress + 4, SoakEnvironment::agentPort })
            , hosts(soakOptions.size.hosts)
        {
            for (size_t i = 0; i < soakOptions.size.entries; ++i) {
                fakes::RelayOptions relay;
                relay.listen = { ipText(this->environment.entryAddress(i)), packet_ports::store };
                relay.targets = { { ipText(this->environment.storeAddress()), packet_ports::store } };
                this->relays.push_back(std::make_unique<fakes::Relay>(relay));
            }
            this->loopThread = std::thread([this] { this->context.run(); });
        }

        ~SoakRun()
        {
            this->isFinished = true;
            if (this->routerThread.joinable())
                this->routerThread.join();
            this->context.stop();
            this->loopThread.join();
        }

        SoakRun(const SoakRun&) = delete;
        SoakRun& operator=(const SoakRun&) = delete;

        SoakResult run()
        {
            const std::vector<SoakStep> schedule = soakSchedule(this->options);
            this->log << "seed " << this->options.seed << ", logs in " << this->group.logDirectory().string() << '\n';
            printSchedule(schedule, this->log);
            this->startAll();
            this->checkReady(startTimeout);
            this->routerThread = std::thread([this] { this->pollEntries(); });
            this->runSchedule(schedule);
            this->checkFaultFreeLoad();
            this->checkReady(pollTimeout);
            this->checkRoutes();
            this->checkDrain();
            this->checkStop();
            return this->finish();
        }

    private:
        struct HostState {
            int pauseFaults = 0; // Number of active faults that pause the host and its agent.
            int unlistFaults = 0; // Number of active faults that keep the host out of the store.
            int drainFaults = 0;
            bool isListed = true;
            bool isListedDraining = false;
        };

        // Runs a function on the thread of the environment and returns its result.
        template <typename Function> auto runOnLoopThread(Function function)
        {
            return fakes::runOnThread(this->context, std::move(function));
        }

        void addViolation(const std::string& text)
        {
            this->runOnLoopThread([&] { this->environment.statistics.addViolation(text); });
        }

        //---------------------------------------------------------------------
        // Programs
        //---------------------------------------------------------------------

        PacketProgramConfig programConfig(const std::string& name, uint32_t address, uint16_t packets) const
        {
            std::string seeds;
            for (size_t i = 0; i < std::min<size_t>(3, this->options.size.entries); ++i)
                seeds += (i > 0 ? "," : "") + ipText(this->environment.entryAddress(i)) + ':'
                    + std::to_string(packet_ports::control);
            return { name, ipText(address), seeds, packets };
        }

        Endpoint readyOf(size_t entry) const
        {
            return { ipText(this->environment.entryAddress(entry)), packet_ports::ready };
        }

        // Does nothing if the program runs or is stopping.
        void startProgram(
            const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
        {
            if (this->states[name] != ProgramState::Down)
                return;
            const BlockedSignals inheritedSignals({ SIGHUP, SIGTERM });
            this->group.start(name, program, arguments);
            this->states[name] = ProgramState::Running;
        }

        void startEntry(size_t number)
        {
            const std::string name = entryName(number);
            this->startProgram(name, "wasabi-packet-entry",
                this->programConfig(name, this->environment.entryAddress(number), packet_ports::packets)
                    .entryArguments(SoakEnvironment::entryHopPort, toString(this->relays[number]->endpoint())));
        }

        void startAgent(size_t number)
        {
            const std::string name = agentName(number);
            const std::string service = this->runOnLoopThread([&] { return this->environment.serviceOf(number); });
            this->startProgram(name, "wasabi-packet-agent",
                this->programConfig(name, this->environment.hostAddress(number), SoakEnvironment::agentPort)
                    .agentArguments(service));
            if (this->hosts[number].pauseFaults > 0)
                this->signal(name, SIGSTOP);
        }

        void startAll()
        {
            for (size_t i = 0; i < this->options.size.hosts; ++i)
                this->startAgent(i);
            for (size_t i = 0; i < this->options.size.entries; ++i)
                this->startEntry(i);
        }

        void kill(const std::string& name)
        {
            this->checkRuns(name);
            this->group.remove(name);
            this->states[name] = ProgramState::Down;
        }

        void signal(const std::string& name, int number)
        {
            if (this->states[name] == ProgramState::Running)
                this->group[name].signal(number);
        }

        void checkRuns(const std::string& name)
        {
            if (this->states[name] == ProgramState::Running && !this->group.isRunning(name)) {
                this->addViolation(name + " exited unexpectedly");
                this->states[name] = ProgramState::Down;
            }
        }

        void checkAllRun()
        {
            for (const auto& [name, state] : this->states)
                this->checkRuns(name);
        }

        void checkExit(const std::string& name)
        {
            this->states[name] = ProgramState::Stopping;
            const std::optional<int> code = this->group[name].waitExit(stopTimeout);
            if (code != 0)
                this->addViolation(
                    name + (code ? " exited with code " + std::to_string(*code) : " did not stop") + " after SIGTERM");
            this->kill(name);
        }

        // Polls readiness as the platform's routers do.
        void pollEntries()
        {
            std::vector<int> failedPolls(this->options.size.entries);
            while (!this->isFinished) {
                const TimePoint next = std::chrono::steady_clock::now() + pollInterval;
                for (size_t i = 0; i < failedPolls.size() && !this->isFinished; ++i) {
                    const Result<fakes::HttpReply> reply
                        = fakes::httpCall(this->readyOf(i), "GET", "/ready", pollTimeout);
                    const bool isReady = reply && reply.value().status == 200;
                    failedPolls[i] = isReady ? 0 : failedPolls[i] + 1;
                    this->runOnLoopThread(
                        [&] { this->environment.setInRotation(i, failedPolls[i] < unhealthyThreshold); });
                }
                std::this_thread::sleep_until(next);
            }
        }

        //---------------------------------------------------------------------
        // Faults
        //---------------------------------------------------------------------

        void runSchedule(const std::vector<SoakStep>& schedule)
        {
            const TimePoint begin = std::chrono::steady_clock::now();
            for (const SoakStep& step : schedule) {
                this->pendingActions.emplace(begin + step.start, [this, step] {
                    ++this->counts[step.fault];
                    this->beginFault(step);
                });
            }
            while (!this->pendingActions.empty()) {
                const auto next = this->pendingActions.begin();
                std::this_thread::sleep_until(next->first);
                const std::function<void()> action = std::move(next->second);
                this->pendingActions.erase(next);
                action();
            }
            this->checkAllRun();
        }

        void runAfter(Milliseconds delay, std::function<void()> action)
        {
            this->pendingActions.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
        }

        void beginFault(const SoakStep& step)
        {
            const size_t target = step.target;
            switch (step.fault) {
            case SoakFault::KillEntry:
                this->kill(entryName(target));
                return this->runAfter(step.duration, [this, target] { this->startEntry(target); });
            case SoakFault::KillAgent:
                this->kill(agentName(target));
                return this->runAfter(step.duration, [this, target] { this->startAgent(target); });
            case SoakFault::KillAll:
                return this->killAll(step.duration);
            case SoakFault::StopEntry:
                return this->stopEntry(entryName(target), target);
            case SoakFault::PauseEntry:
                this->signal(entryName(target), SIGSTOP);
                return this->runAfter(step.duration, [this, target] { this->signal(entryName(target), SIGCONT); });
            case SoakFault::ReloadEntry:
                for (Milliseconds delay(0); delay < step.duration; delay += minFaultDuration / 4)
                    this->runAfter(delay, [this, target] { this->signal(entryName(target), SIGHUP); });
                return;
            case SoakFault::PauseMachine:
                this->pauseMachine(target, 1);
                return this->runAfter(step.duration, [this, target] { this->pauseMachine(target, -1); });
            case SoakFault::CrashHost:
            case SoakFault::ReuseAddress:
            case SoakFault::DrainHost:
                return this->beginHostFault(step);
            case SoakFault::CutPath:
            case SoakFault::DelayNetwork:
            case SoakFault::LoseDatagrams:
                return this->beginNetworkFault(step);
            case SoakFault::StoreDown:
            case SoakFault::StoreCut:
            case SoakFault::StoreSwallow:
            case SoakFault::StoreSlow:
                return this->beginStoreFault(step);
            case SoakFault::ChangeRoutes:
                this->runOnLoopThread([&] { this->environment.publishRoutes({ 0, 1 }); });
                return this->runAfter(step.duration, [this] {
                    this->runOnLoopThread([&] { this->environment.publishRoutes({ 0, 1, 2 }); });
                });
            case SoakFault::InvalidItems:
                return this->putInvalidItems(step.duration);
            case SoakFault::MoveCallers:
                return this->runOnLoopThread([&] { this->environment.moveCallers(); });
            }
        }

        void killAll(Milliseconds duration)
        {
            for (size_t i = 0; i < this->options.size.entries; ++i)
                this->kill(entryName(i));
            for (size_t i = 0; i < this->options.size.hosts; ++i)
                this->kill(agentName(i));
            this->runAfter(duration, [this] { this->startAll(); });
        }

        void stopEntry(const std::string& name, size_t number)
        {
            if (this->states[name] != ProgramState::Running)
                return;
            this->group[name].signal(SIGCONT); // Ends a pause that overlaps.
            this->group[name].signal(SIGTERM);
            this->states[name] = ProgramState::Stopping;
            this->runAfter(stopTimeout / 2, [this, name, number] {
                if (this->states[name] == ProgramState::Stopping)
                    this->checkExit(name);
                this->startEntry(number);
            });
        }

        // Adds the host's upstream record to the store, updates or removes it, according to the active faults.
        void updateListing(size_t number)
        {
            HostState& host = this->hosts[number];
            const bool isListed = host.unlistFaults == 0 && this->expiryOutages == 0;
            const bool isDraining = host.drainFaults > 0;
            if (isListed == host.isListed && isDraining == host.isListedDraining)
                return;
            host.isListed = isListed;
            host.isListedDraining = isDraining;
            this->runOnLoopThread([&] {
                isListed ? this->environment.listUpstream(number, isDraining)
                         : this->environment.unlistUpstream(number);
            });
        }

        void updateFrozen(size_t number)
        {
            const bool isFrozen = this->hosts[number].pauseFaults + this->hosts[number].unlistFaults > 0;
            this->runOnLoopThread([&] { this->environment.setFrozen(number, isFrozen); });
        }

        // Pauses agent and host together: an agent that runs next to a paused host correctly assumes that its flows are
        // lost.
        void pauseMachine(size_t number, int change)
        {
            this->hosts[number].pauseFaults += change;
            this->signal(agentName(number), this->hosts[number].pauseFaults > 0 ? SIGSTOP : SIGCONT);
            this->updateFrozen(number);
        }

        void changeUnlistFaults(size_t number, int change)
        {
            this->hosts[number].unlistFaults += change;
            this->updateFrozen(number);
            this->updateListing(number);
        }

        void beginHostFault(const SoakStep& step)
        {
            const size_t target = step.target;
            if (step.fault == SoakFault::DrainHost) {
                ++this->hosts[target].drainFaults;
                this->updateListing(target);
                return this->runAfter(step.duration, [this, target] {
                    --this->hosts[target].drainFaults;
                    this->updateListing(target);
                });
            }
            if (this->hosts[target].unlistFaults > 0)
                return;
            this->changeUnlistFaults(target, 1);
            if (step.fault == SoakFault::CrashHost) {
                this->runOnLoopThread([&] { this->environment.crashHost(target); });
                return this->runAfter(step.duration, [this, target] { this->changeUnlistFaults(target, -1); });
            }
            this->kill(agentName(target));
            this->runOnLoopThread([&] {
                this->environment.crashHost(target);
                if (this->environment.mayChangeService(target))
                    this->environment.changeService(target);
            });
            this->runAfter(reuseTime, [this, target] {
                this->kill(agentName(target)); // Another fault may have started it.
                this->startAgent(target);
                this->changeUnlistFaults(target, -1);
            });
        }

        void beginNetworkFault(const SoakStep& step)
        {
            SoakPathFault fault;
            if (step.fault == SoakFault::CutPath) {
                const size_t entries = this->options.size.entries;
                const size_t nodeIndex = step.randomValue % (entries + this->options.size.hosts);
                const uint32_t address = nodeIndex < entries ? this->environment.entryAddress(nodeIndex)
                                                             : this->environment.hostAddress(nodeIndex - entries);
                (step.randomValue / 1024 % 2 == 0 ? fault.from : fault.to) = address;
                fault.lossRate = 1;
            } else if (step.fault == SoakFault::DelayNetwork) {
                constexpr uint64_t maxDelay = 150; // Milliseconds; longer than every timeout for a single reply.
                fault.delay = Milliseconds(static_cast<int64_t>(2 + step.randomValue % maxDelay));
            } else {
                fault.lossRate = 0.02 + static_cast<double>(step.randomValue % 100) / 1000;
                fault.duplicateRate = 0.05;
            }
            const size_t number = this->runOnLoopThread([&] { return this->environment.network.addFault(fault); });
            this->runAfter(step.duration,
                [this, number] { this->runOnLoopThread([&] { this->environment.network.removeFault(number); }); });
        }

        void beginStoreFault(const SoakStep& step)
        {
            fakes::Relay& relay = *this->relays[step.target];
            if (step.fault == SoakFault::StoreSwallow)
                return relay.blackholeExisting();
            if (step.fault == SoakFault::StoreCut) {
                relay.cut();
                return this->runAfter(step.duration, [&relay] { relay.heal(); });
            }
            if (step.fault == SoakFault::StoreSlow) {
                fakes::LinkConditions slow;
                slow.delay = Milliseconds(400);
                relay.setConditions(slow);
                return this->runAfter(step.duration, [&relay] { relay.setConditions({}); });
            }
            const bool upstreamsExpire = step.randomValue % 2 == 0;
            ++this->storeOutages;
            this->runOnLoopThread([&] { this->environment.store.setDown(true); });
            if (upstreamsExpire)
                this->changeExpiryOutages(1);
            this->runAfter(step.duration, [this, upstreamsExpire, randomValue = step.randomValue] {
                if (--this->storeOutages == 0)
                    this->runOnLoopThread([&] { this->environment.store.setDown(false); });
                if (upstreamsExpire)
                    this->runAfter(
                        Milliseconds(static_cast<int64_t>(randomValue % static_cast<uint64_t>(maxRelistDelay.count()))),
                        [this] { this->changeExpiryOutages(-1); });
            });
        }

        void changeExpiryOutages(int change)
        {
            this->expiryOutages += change;
            for (size_t i = 0; i < this->hosts.size(); ++i)
                this->updateListing(i);
        }

        void putInvalidItems(Milliseconds duration)
        {
            const std::map<std::string, std::string> items = { { "servers/x-1", "\xff\x00{" },
                { "servers/x-2", R"({"service":7,"address":"10.0.0.1:80"})" },
                { "servers/x-3", R"({"service":"api","address":"nowhere","slots":1,"state":"ready","born":1})" },
                { "servers/x-4", R"({"service":"api","address":"10.0.0.1:80","slots":1,"state":"odd","born":1})" } };
            this->runOnLoopThread([&] {
                for (const auto& [key, value] : items)
                    this->environment.store.put(key, value);
            });
            this->runAfter(duration, [this, items] {
                this->runOnLoopThread([&] {
                    for (const auto& [key, value] : items)
                        this->environment.store.remove(key);
                });
            });
        }

        //---------------------------------------------------------------------
        // Checks
        //---------------------------------------------------------------------

        void checkReady(Milliseconds timeout)
        {
            for (size_t i = 0; i < this->options.size.entries; ++i) {
                if (!waitForStatus(this->readyOf(i), "/ready", 200, timeout))
                    this->addViolation(entryName(i) + " is not ready although no fault is active");
            }
        }

        // Every request must be answered after the faults have ended and the programs had time to recover.
        void checkFaultFreeLoad()
        {
            std::this_thread::sleep_for(recoveryTime);
            this->runOnLoopThread([&] { this->environment.callers.setFaultFree(true); });
            std::this_thread::sleep_for(faultFreeTime);
            this->runOnLoopThread([&] { this->environment.callers.setStopped(); });
            const Milliseconds limit = this->options.size.callers.requestTimeout + this->options.size.callers.maxPause;
            waitUntil([&] { return this->runOnLoopThread([&] { return this->environment.callers.isIdle(); }); }, limit);
        }

        bool canOpenFlow(size_t entry, PacketAddress route, Milliseconds timeout)
        {
            this->runOnLoopThread([&] {
                this->probe.setEntry({ this->environment.entryAddress(entry), packet_ports::packets });
                this->probe.open(static_cast<uint16_t>(probePort + this->probeCount++), route);
            });
            return waitUntil([&] { return this->runOnLoopThread([&] { return this->probe.isOpen(); }); }, timeout);
        }

        void checkRoutes()
        {
            this->runOnLoopThread([&] { this->environment.publishRoutes({ 0, 1, 3 }); });
            std::this_thread::sleep_for(applyTime);
            for (size_t i = 0; i < this->options.size.entries; ++i) {
                if (!this->canOpenFlow(i, SoakEnvironment::route(3), openTimeout))
                    this->addViolation(entryName(i) + " does not serve a route that was added 3 s ago");
                if (this->canOpenFlow(i, SoakEnvironment::route(2), minFaultDuration))
                    this->addViolation(entryName(i) + " serves a route that was removed 3 s ago");
            }
        }

        void checkDrain()
        {
            size_t target = 0;
            while (target < this->hosts.size()
                && !this->runOnLoopThread([&] { return this->environment.mayChangeService(target); }))
                ++target;
            if (target == this->hosts.size())
                return; // Every host is the only one of its service.
            const size_t route
                = this->runOnLoopThread([&] { return this->environment.serviceOf(target); }) == "img" ? 1 : 0;
            this->runOnLoopThread([&] { this->environment.listUpstream(target, true); });
            std::this_thread::sleep_for(applyTime);
            const uint64_t before = this->runOnLoopThread([&] { return this->environment.acceptedSyns(target); });
            for (size_t i = 0; i < drainProbes; ++i)
                this->canOpenFlow(i % this->options.size.entries, SoakEnvironment::route(route), openTimeout);
            if (this->runOnLoopThread([&] { return this->environment.acceptedSyns(target); }) != before)
                this->addViolation("host " + std::to_string(target) + " got new flows 3 s after it began to drain");
        }

        void checkStop()
        {
            this->checkAllRun();
            for (const auto& [name, state] : this->states)
                this->signal(name, SIGTERM);
            for (const auto& [name, state] : std::map<std::string, ProgramState>(this->states)) {
                if (state == ProgramState::Running)
                    this->checkExit(name);
            }
        }

        SoakResult finish()
        {
            SoakResult result;
            result.counts = this->counts;
            std::ostringstream report;
            this->runOnLoopThread([&] {
                result.statistics = this->environment.statistics;
                const SoakStatistics& statistics = result.statistics;
                report << "flows: " << statistics.opened << " opened, " << statistics.refused << " refused, "
                       << statistics.unopened << " without answer, " << statistics.lost << " lost by their hosts\n"
                       << "requests: " << statistics.requests << ", " << statistics.answered << " answered, "
                       << statistics.timedOut << " timed out\n"
                       << "datagrams: " << statistics.delayedDatagrams << " delayed, " << statistics.droppedDatagrams
                       << " dropped\n"
                       << this->environment.describeHosts();
                if (statistics.answered == 0)
                    result.statistics.addViolation("no request was answered");
            });
            for (const auto& [fault, count] : this->counts)
                report << nameOf(fault) << ": " << count << '\n';
            result.report = report.str();
            if (!result.statistics.violations.empty())
                setenv("WASABICROFT_KEEP_LOGS", "1", 0); // NOLINT(concurrency-mt-unsafe): no other thread reads it
            return result;
        }

        SoakOptions options;
        std::ostream& log;
        uint32_t firstAddress;
        ProcessGroup group;
        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        SoakEnvironment environment;
        fakes::PacketClient probe;
        std::vector<std::unique_ptr<fakes::Relay>> relays; // To the store, one for each entry.
        std::vector<HostState> hosts;
        std::map<std::string, ProgramState> states;
        std::multimap<TimePoint, std::function<void()>> pendingActions;
        std::map<SoakFault, uint64_t> counts;
        int storeOutages = 0; // Active outages of the store.
        int expiryOutages = 0; // Outages whose expired upstream records are not back yet.
        uint16_t probeCount = 0;
        std::atomic<bool> isFinished = false;
        std::thread routerThread;
        std::thread loopThread; // Thread of the environment.
    };

} // namespace

std::string_view nameOf(SoakFault fault) { return soakFaultNames.at(static_cast<size_t>(fault)); }

std::span<const SoakRegression> soakRegressions()
{
    static constexpr std::array<SoakRegression, 5> regressions { {
        { 23, Milliseconds(20000), "SIGHUP during a start ended the program" },
        { 65, Milliseconds(20000),
            "removals were applied after an outage of the store in which only reads of the other topic had failed" },
        { 100, Milliseconds(20000),
            "removals were applied after an outage of the store during which the entry was paused" },
        { 65, Milliseconds(15000), "the grace after an outage ended before a slow store had shown the upstreams" },
        { 7029, Milliseconds(12000), "removals were final although a silent watch had hidden an outage of the store" },
    } };
    return regressions;
}

std::vector<SoakStep> soakSchedule(const SoakOptions& options)
{
    SeededRandom rng { std::mt19937_64(options.seed) };
    std::vector<SoakStep> steps;
    for (Milliseconds at = firstFaultTime; at < options.duration - maxFaultDuration;
         at += rng.between(Milliseconds(0), maxFaultSpacing)) {
        SoakStep step;
        step.start = at;
        step.fault = static_cast<SoakFault>(rng.below(soakFaultNames.size()));
        step.duration = rng.between(minFaultDuration, maxFaultDuration);
        step.target = rng.below(targetsHost(step.fault) ? options.size.hosts : options.size.entries);
        step.randomValue = rng.engine();
        steps.push_back(step);
    }
    return steps;
}

void printSchedule(const std::vector<SoakStep>& steps, std::ostream& out)
{
    for (const SoakStep& step : steps)
        out << step.start.count() << " ms, for " << step.duration.count() << " ms: " << nameOf(step.fault) << ' '
            << step.target << '\n';
}

SoakResult runSoak(const SoakOptions& options, std::ostream& log)
{
    SoakRun run(options, log);
    return run.run();
}

} // namespace wasabicroft::tests
