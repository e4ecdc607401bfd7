#include "tests/PacketSoak.h"

#include "fakes/OnThread.h"
#include "fakes/Relay.h"
#include "tests/Draw.h"
#include "tests/PacketPrograms.h"
#include "tests/Processes.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <csignal>
#include <sstream>
#include <thread>

namespace wasabicroft::tests {

namespace {

    constexpr Milliseconds firstFault(1500);
    constexpr Milliseconds longestGap(700); // between the begins of two faults: many overlap
    constexpr Milliseconds shortestFault(200);
    constexpr Milliseconds longestFault(3000); // longer than the timeouts of the programs
    constexpr Milliseconds reuseTime(2200); // addresses are used again after 2 s
    constexpr Milliseconds recovery(4500); // after the last fault: the platform's stability window, and a start
    constexpr Milliseconds calmTime(5000); // with load and without faults, after the recovery
    constexpr Milliseconds applyTime(3000); // limit for configurations and drains
    constexpr Milliseconds openTime(1400); // a client gives up then
    constexpr Milliseconds stopTime(6000); // after SIGTERM
    constexpr Milliseconds startTime(5000); // of all programs, before the load
    constexpr Milliseconds pollInterval(500); // of the routers
    constexpr Milliseconds pollTimeout(200);
    constexpr Milliseconds longestLapse(1500); // entries of hosts return this long after the store
    constexpr int missesUntilOut = 2;
    constexpr size_t drainProbes = 30;
    constexpr uint16_t probePort = 40000;

    // Loopback addresses of this run: 127.224.0.0 to 127.255.255.255 are used by nothing else here.
    uint32_t firstAddressOfRun()
    {
        constexpr uint32_t base = 0x7fe00000;
        constexpr uint32_t block = 512;
        constexpr uint32_t blocks = 4096;
        return base + (static_cast<uint32_t>(getpid()) % blocks) * block;
    }

    bool hitsHost(SoakFault fault)
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
            , world(this->context, this->firstAddress, soakOptions.size, soakOptions.seed)
            , probe(this->context, { this->firstAddress + 4, SoakWorld::agentPort })
            , hosts(soakOptions.size.hosts)
        {
            for (size_t i = 0; i < soakOptions.size.entries; ++i) {
                fakes::RelayOptions relay;
                relay.listen = { ipText(this->world.entryAddress(i)), packet_ports::store };
                relay.targets = { { ipText(this->world.storeAddress()), packet_ports::store } };
                this->relays.push_back(std::make_unique<fakes::Relay>(relay));
            }
            this->thread = std::thread([this] { this->context.run(); });
        }

        ~SoakRun()
        {
            this->isOver = true;
            if (this->router.joinable())
                this->router.join();
            this->context.stop();
            this->thread.join();
        }

        SoakRun(const SoakRun&) = delete;
        SoakRun& operator=(const SoakRun&) = delete;

        SoakResult run()
        {
            const std::vector<SoakStep> schedule = soakSchedule(this->options);
            this->log << "seed " << this->options.seed << ", logs in " << this->group.logDirectory().string() << '\n';
            printSchedule(schedule, this->log);
            this->startAll();
            this->checkReady(startTime);
            this->router = std::thread([this] { this->pollEntries(); });
            this->perform(schedule);
            this->checkCalmLoad();
            this->checkReady(pollTimeout);
            this->checkRoutes();
            this->checkDrain();
            this->checkStop();
            return this->finish();
        }

    private:
        struct HostState {
            int paused = 0; // faults that freeze its machine
            int away = 0; // faults that keep it out of the store
            int draining = 0;
            bool isListed = true;
            bool isListedDraining = false;
        };

        // Runs on the thread of the world.
        template <typename Function> auto onWorld(Function function)
        {
            return fakes::runOnThread(this->context, std::move(function));
        }

        void violate(const std::string& text)
        {
            this->onWorld([&] { this->world.ledger.violate(text); });
        }

        //---------------------------------------------------------------------
        // Programs
        //---------------------------------------------------------------------

        PacketProgramPlace place(const std::string& name, uint32_t address, uint16_t packets) const
        {
            std::string seeds;
            for (size_t i = 0; i < std::min<size_t>(3, this->options.size.entries); ++i)
                seeds += (i > 0 ? "," : "") + ipText(this->world.entryAddress(i)) + ':'
                    + std::to_string(packet_ports::control);
            return { name, ipText(address), seeds, packets };
        }

        Endpoint readyOf(size_t entry) const
        {
            return { ipText(this->world.entryAddress(entry)), packet_ports::ready };
        }

        // Unless it runs.
        void startProgram(
            const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
        {
            if (this->states[name] != ProgramState::Down)
                return;
            const BlockedSignals inheritedByTheProgram({ SIGHUP, SIGTERM });
            this->group.start(name, program, arguments);
            this->states[name] = ProgramState::Running;
        }

        void startEntry(size_t number)
        {
            const std::string name = entryName(number);
            this->startProgram(name, "wasabi-packet-entry",
                this->place(name, this->world.entryAddress(number), packet_ports::packets)
                    .entryArguments(SoakWorld::entryHopPort, toString(this->relays[number]->endpoint())));
        }

        void startAgent(size_t number)
        {
            const std::string name = agentName(number);
            const std::string service = this->onWorld([&] { return this->world.serviceOf(number); });
            this->startProgram(name, "wasabi-packet-agent",
                this->place(name, this->world.hostAddress(number), SoakWorld::agentPort).agentArguments(service));
            if (this->hosts[number].paused > 0)
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
                this->violate(name + " ended by itself");
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
            const std::optional<int> code = this->group[name].waitExit(stopTime);
            if (code != 0)
                this->violate(
                    name + (code ? " ended with code " + std::to_string(*code) : " did not stop") + " after SIGTERM");
            this->kill(name);
        }

        // As the platform's routers do it.
        void pollEntries()
        {
            std::vector<int> misses(this->options.size.entries);
            while (!this->isOver) {
                const TimePoint next = std::chrono::steady_clock::now() + pollInterval;
                for (size_t i = 0; i < misses.size() && !this->isOver; ++i) {
                    const Result<fakes::HttpReply> reply
                        = fakes::httpCall(this->readyOf(i), "GET", "/ready", pollTimeout);
                    const bool isReady = reply && reply.value().status == 200;
                    misses[i] = isReady ? 0 : misses[i] + 1;
                    this->onWorld([&] { this->world.setInRotation(i, misses[i] < missesUntilOut); });
                }
                std::this_thread::sleep_until(next);
            }
        }

        //---------------------------------------------------------------------
        // Faults
        //---------------------------------------------------------------------

        void perform(const std::vector<SoakStep>& schedule)
        {
            const TimePoint begin = std::chrono::steady_clock::now();
            for (const SoakStep& step : schedule) {
                this->actions.emplace(begin + step.at, [this, step] {
                    ++this->counts[step.fault];
                    this->beginFault(step);
                });
            }
            while (!this->actions.empty()) {
                const auto next = this->actions.begin();
                std::this_thread::sleep_until(next->first);
                const std::function<void()> action = std::move(next->second);
                this->actions.erase(next);
                action();
            }
            this->checkAllRun();
        }

        void later(Milliseconds delay, std::function<void()> action)
        {
            this->actions.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
        }

        void beginFault(const SoakStep& step)
        {
            const size_t victim = step.victim;
            switch (step.fault) {
            case SoakFault::KillEntry:
                this->kill(entryName(victim));
                return this->later(step.length, [this, victim] { this->startEntry(victim); });
            case SoakFault::KillAgent:
                this->kill(agentName(victim));
                return this->later(step.length, [this, victim] { this->startAgent(victim); });
            case SoakFault::KillAll:
                return this->killAll(step.length);
            case SoakFault::StopEntry:
                return this->stopEntry(entryName(victim), victim);
            case SoakFault::PauseEntry:
                this->signal(entryName(victim), SIGSTOP);
                return this->later(step.length, [this, victim] { this->signal(entryName(victim), SIGCONT); });
            case SoakFault::ReloadEntry:
                for (Milliseconds delay(0); delay < step.length; delay += shortestFault / 4)
                    this->later(delay, [this, victim] { this->signal(entryName(victim), SIGHUP); });
                return;
            case SoakFault::PauseMachine:
                this->pauseMachine(victim, 1);
                return this->later(step.length, [this, victim] { this->pauseMachine(victim, -1); });
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
                this->onWorld([&] { this->world.publishRoutes({ 0, 1 }); });
                return this->later(step.length, [this] {
                    this->onWorld([&] { this->world.publishRoutes({ 0, 1, 2 }); });
                });
            case SoakFault::InvalidItems:
                return this->putInvalidItems(step.length);
            case SoakFault::MoveCallers:
                return this->onWorld([&] { this->world.moveCallers(); });
            }
        }

        void killAll(Milliseconds length)
        {
            for (size_t i = 0; i < this->options.size.entries; ++i)
                this->kill(entryName(i));
            for (size_t i = 0; i < this->options.size.hosts; ++i)
                this->kill(agentName(i));
            this->later(length, [this] { this->startAll(); });
        }

        void stopEntry(const std::string& name, size_t number)
        {
            if (this->states[name] != ProgramState::Running)
                return;
            this->group[name].signal(SIGCONT); // of a pause that overlaps
            this->group[name].signal(SIGTERM);
            this->states[name] = ProgramState::Stopping;
            this->later(stopTime / 2, [this, name, number] {
                if (this->states[name] == ProgramState::Stopping)
                    this->checkExit(name);
                this->startEntry(number);
            });
        }

        // Puts what the host says of itself into the store, as far as it can.
        void updateListing(size_t number)
        {
            HostState& host = this->hosts[number];
            const bool isListed = host.away == 0 && this->lapses == 0;
            const bool isDraining = host.draining > 0;
            if (isListed == host.isListed && isDraining == host.isListedDraining)
                return;
            host.isListed = isListed;
            host.isListedDraining = isDraining;
            this->onWorld([&] { isListed ? this->world.list(number, isDraining) : this->world.unlist(number); });
        }

        void silenceHost(size_t number)
        {
            const bool isSilent = this->hosts[number].paused + this->hosts[number].away > 0;
            this->onWorld([&] { this->world.setFrozen(number, isSilent); });
        }

        // Agent and host stop together: an agent that runs beside a silent host takes its flows for lost, as it should.
        void pauseMachine(size_t number, int change)
        {
            this->hosts[number].paused += change;
            this->signal(agentName(number), this->hosts[number].paused > 0 ? SIGSTOP : SIGCONT);
            this->silenceHost(number);
        }

        void setAway(size_t number, int change)
        {
            this->hosts[number].away += change;
            this->silenceHost(number);
            this->updateListing(number);
        }

        void beginHostFault(const SoakStep& step)
        {
            const size_t victim = step.victim;
            if (step.fault == SoakFault::DrainHost) {
                ++this->hosts[victim].draining;
                this->updateListing(victim);
                return this->later(step.length, [this, victim] {
                    --this->hosts[victim].draining;
                    this->updateListing(victim);
                });
            }
            if (this->hosts[victim].away > 0)
                return;
            this->setAway(victim, 1);
            if (step.fault == SoakFault::CrashHost) {
                this->onWorld([&] { this->world.crash(victim); });
                return this->later(step.length, [this, victim] { this->setAway(victim, -1); });
            }
            this->kill(agentName(victim));
            this->onWorld([&] {
                this->world.crash(victim);
                if (this->world.mayChangeService(victim))
                    this->world.changeService(victim);
            });
            this->later(reuseTime, [this, victim] {
                this->kill(agentName(victim)); // one that another fault started
                this->startAgent(victim);
                this->setAway(victim, -1);
            });
        }

        void beginNetworkFault(const SoakStep& step)
        {
            SoakPathFault fault;
            if (step.fault == SoakFault::CutPath) {
                const size_t entries = this->options.size.entries;
                const size_t node = step.draw % (entries + this->options.size.hosts);
                const uint32_t address
                    = node < entries ? this->world.entryAddress(node) : this->world.hostAddress(node - entries);
                (step.draw / 1024 % 2 == 0 ? fault.from : fault.to) = address;
                fault.loss = 1;
            } else if (step.fault == SoakFault::DelayNetwork) {
                constexpr uint64_t longestDelay = 150; // milliseconds, above every timeout for one answer
                fault.delay = Milliseconds(static_cast<int64_t>(2 + step.draw % longestDelay));
            } else {
                fault.loss = 0.02 + static_cast<double>(step.draw % 100) / 1000;
                fault.copies = 0.05;
            }
            const size_t number = this->onWorld([&] { return this->world.network.addFault(fault); });
            this->later(
                step.length, [this, number] { this->onWorld([&] { this->world.network.removeFault(number); }); });
        }

        void beginStoreFault(const SoakStep& step)
        {
            fakes::Relay& relay = *this->relays[step.victim];
            if (step.fault == SoakFault::StoreSwallow)
                return relay.swallowExisting();
            if (step.fault == SoakFault::StoreCut) {
                relay.cut();
                return this->later(step.length, [&relay] { relay.heal(); });
            }
            if (step.fault == SoakFault::StoreSlow) {
                fakes::LinkConditions slow;
                slow.delay = Milliseconds(400);
                relay.setConditions(slow);
                return this->later(step.length, [&relay] { relay.setConditions({}); });
            }
            const bool entriesLapse = step.draw % 2 == 0;
            ++this->outages;
            this->onWorld([&] { this->world.store.setDown(true); });
            if (entriesLapse)
                this->changeLapses(1);
            this->later(step.length, [this, entriesLapse, draw = step.draw] {
                if (--this->outages == 0)
                    this->onWorld([&] { this->world.store.setDown(false); });
                if (entriesLapse)
                    this->later(Milliseconds(static_cast<int64_t>(draw % static_cast<uint64_t>(longestLapse.count()))),
                        [this] { this->changeLapses(-1); });
            });
        }

        void changeLapses(int change)
        {
            this->lapses += change;
            for (size_t i = 0; i < this->hosts.size(); ++i)
                this->updateListing(i);
        }

        void putInvalidItems(Milliseconds length)
        {
            const std::map<std::string, std::string> items = { { "servers/x-1", "\xff\x00{" },
                { "servers/x-2", R"({"service":7,"address":"10.0.0.1:80"})" },
                { "servers/x-3", R"({"service":"api","address":"nowhere","slots":1,"state":"ready","born":1})" },
                { "servers/x-4", R"({"service":"api","address":"10.0.0.1:80","slots":1,"state":"odd","born":1})" } };
            this->onWorld([&] {
                for (const auto& [key, value] : items)
                    this->world.store.put(key, value);
            });
            this->later(length, [this, items] {
                this->onWorld([&] {
                    for (const auto& [key, value] : items)
                        this->world.store.remove(key);
                });
            });
        }

        //---------------------------------------------------------------------
        // Checks
        //---------------------------------------------------------------------

        void checkReady(Milliseconds patience)
        {
            for (size_t i = 0; i < this->options.size.entries; ++i) {
                if (!waitForStatus(this->readyOf(i), "/ready", 200, patience))
                    this->violate(entryName(i) + " is not ready although no fault is active");
            }
        }

        // Every request must be answered once the faults are over and the programs had their time to recover.
        void checkCalmLoad()
        {
            std::this_thread::sleep_for(recovery);
            this->onWorld([&] { this->world.callers.setCalm(true); });
            std::this_thread::sleep_for(calmTime);
            this->onWorld([&] { this->world.callers.setStopped(); });
            const Milliseconds limit = this->options.size.callers.timeLimit + this->options.size.callers.longestPause;
            waitUntil([&] { return this->onWorld([&] { return this->world.callers.isIdle(); }); }, limit);
        }

        bool opens(size_t entry, PacketAddress route, Milliseconds patience)
        {
            this->onWorld([&] {
                this->probe.useEntry({ this->world.entryAddress(entry), packet_ports::packets });
                this->probe.open(static_cast<uint16_t>(probePort + this->probes++), route);
            });
            return waitUntil([&] { return this->onWorld([&] { return this->probe.isOpen(); }); }, patience);
        }

        void checkRoutes()
        {
            this->onWorld([&] { this->world.publishRoutes({ 0, 1, 3 }); });
            std::this_thread::sleep_for(applyTime);
            for (size_t i = 0; i < this->options.size.entries; ++i) {
                if (!this->opens(i, SoakWorld::route(3), openTime))
                    this->violate(entryName(i) + " does not serve a route that was added 3 s ago");
                if (this->opens(i, SoakWorld::route(2), shortestFault))
                    this->violate(entryName(i) + " serves a route that was removed 3 s ago");
            }
        }

        void checkDrain()
        {
            size_t victim = 0;
            while (victim < this->hosts.size() && !this->onWorld([&] { return this->world.mayChangeService(victim); }))
                ++victim;
            if (victim == this->hosts.size())
                return; // every host is the only one of its service
            const size_t route = this->onWorld([&] { return this->world.serviceOf(victim); }) == "img" ? 1 : 0;
            this->onWorld([&] { this->world.list(victim, true); });
            std::this_thread::sleep_for(applyTime);
            const uint64_t before = this->onWorld([&] { return this->world.acceptedSyns(victim); });
            for (size_t i = 0; i < drainProbes; ++i)
                this->opens(i % this->options.size.entries, SoakWorld::route(route), openTime);
            if (this->onWorld([&] { return this->world.acceptedSyns(victim); }) != before)
                this->violate("host " + std::to_string(victim) + " got new flows 3 s after it began to drain");
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
            this->onWorld([&] {
                result.ledger = this->world.ledger;
                const SoakLedger& ledger = result.ledger;
                report << "flows: " << ledger.opened << " opened, " << ledger.refused << " refused, " << ledger.unopened
                       << " without answer, " << ledger.lost << " lost by their hosts\n"
                       << "requests: " << ledger.requests << ", " << ledger.answered << " answered, " << ledger.timedOut
                       << " timed out\n"
                       << "datagrams: " << ledger.delayedDatagrams << " delayed, " << ledger.droppedDatagrams
                       << " dropped\n"
                       << this->world.hostStates();
                if (ledger.answered == 0)
                    result.ledger.violate("no request was answered");
            });
            for (const auto& [fault, count] : this->counts)
                report << nameOf(fault) << ": " << count << '\n';
            result.report = report.str();
            if (!result.ledger.violations.empty())
                setenv("WASABICROFT_KEEP_LOGS", "1", 0); // NOLINT(concurrency-mt-unsafe): no other thread reads it
            return result;
        }

        SoakOptions options;
        std::ostream& log;
        uint32_t firstAddress;
        ProcessGroup group;
        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        SoakWorld world;
        fakes::PacketClient probe;
        std::vector<std::unique_ptr<fakes::Relay>> relays; // to the store, one for each entry
        std::vector<HostState> hosts;
        std::map<std::string, ProgramState> states;
        std::multimap<TimePoint, std::function<void()>> actions;
        std::map<SoakFault, uint64_t> counts;
        int outages = 0; // of the store, in progress
        int lapses = 0; // outages in which the entries of hosts lapsed
        uint16_t probes = 0;
        std::atomic<bool> isOver = false;
        std::thread router;
        std::thread thread; // of the world
    };

} // namespace

std::string_view nameOf(SoakFault fault) { return soakFaultNames.at(static_cast<size_t>(fault)); }

std::span<const SoakRegression> soakRegressions()
{
    static constexpr std::array<SoakRegression, 3> regressions { {
        { 23, "SIGHUP during a start ended the program" },
        { 65, "removals were taken as news: only the other topic of the store failed during an outage" },
        { 100, "removals were taken as news: the entry was frozen during an outage of the store" },
    } };
    return regressions;
}

std::vector<SoakStep> soakSchedule(const SoakOptions& options)
{
    Draw draw { std::mt19937_64(options.seed) };
    std::vector<SoakStep> steps;
    for (Milliseconds at = firstFault; at < options.duration - longestFault;
         at += draw.between(Milliseconds(0), longestGap)) {
        SoakStep step;
        step.at = at;
        step.fault = static_cast<SoakFault>(draw.below(soakFaultNames.size()));
        step.length = draw.between(shortestFault, longestFault);
        step.victim = draw.below(hitsHost(step.fault) ? options.size.hosts : options.size.entries);
        step.draw = draw.random();
        steps.push_back(step);
    }
    return steps;
}

void printSchedule(const std::vector<SoakStep>& steps, std::ostream& out)
{
    for (const SoakStep& step : steps)
        out << step.at.count() << " ms, for " << step.length.count() << " ms: " << nameOf(step.fault) << ' '
            << step.victim << '\n';
}

SoakResult runSoak(const SoakOptions& options, std::ostream& log)
{
    SoakRun run(options, log);
    return run.run();
}

} // namespace wasabicroft::tests
