// Runs packet entries and agents as processes on loopback: a request, a long flow and a download, restart and loss of
// entries, signals, the settings file, and a stalled reader of standard output.
#include "backends/PacketDaemon.h"
#include "fakes/Http.h"
#include "fakes/OnThread.h"
#include "fakes/PacketPlatform.h"
#include "tests/PacketPrograms.h"
#include "tests/Processes.h"
#include "wasabicroft/Presence.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <sys/stat.h>
#include <thread>

namespace wasabicroft::tests {
namespace {

    constexpr Milliseconds waitTimeout { 5000 };
    constexpr PacketAddress route { 0xc6120001, 443 };
    constexpr size_t upstreamCount = 3;

    PacketAddress addressOf(const std::string& ip, uint16_t port)
    {
        return parsePacketAddress(ip + ':' + std::to_string(port)).value();
    }

    // Two entries, three agents with hosts, a client and the store, each on its own address.
    struct PacketFleet : ::testing::Test {
        PacketFleet()
            : group(PROGRAM_DIRECTORY)
            , network("127." + std::to_string(17 + (getpid() >> 8) % 200) + '.' + std::to_string(getpid() % 250) + '.')
            , storeEndpoint { this->ip(2), packet_ports::store }
            , work(boost::asio::make_work_guard(this->context))
            , store(this->context, this->storeEndpoint)
            , client(this->context, addressOf(this->ip(3), packet_ports::packets))
        {
            this->store.put("op/config",
                R"({"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"api",)"
                R"("slo_ms":200,"timeout_ms":2000,"priority":1}],"services":[],"limits":{"idle_timeout_ms":15000}})");
            for (size_t i = 0; i < upstreamCount; ++i) {
                const std::string host = this->ip(20 + i);
                this->putUpstream(i, "z");
                this->hosts.push_back(std::make_unique<fakes::PacketHost>(
                    this->context, addressOf(host, packet_ports::upstream), addressOf(host, packet_ports::outbound)));
            }
            this->thread = std::thread([this] { this->context.run(); });
        }

        ~PacketFleet() override
        {
            this->context.stop();
            this->thread.join();
        }

        std::string ip(size_t number) const { return this->network + std::to_string(number); }

        // Of wasabictl, for both entries and the two agents of the failure domain z.
        int evacuationExitCode() const
        {
            std::string command = std::string(PROGRAM_DIRECTORY) + "/wasabictl evacuation";
            for (const size_t host : { 10U, 11U, 20U, 21U })
                command += ' ' + this->ip(host) + ':' + std::to_string(packet_ports::ready);
            return WEXITSTATUS(std::system((command + " > /dev/null").c_str()));
        }

        PacketProgramConfig programConfig(const std::string& name, const std::string& address) const
        {
            return { name, address, this->ip(10) + ':' + std::to_string(packet_ports::control) };
        }

        std::vector<std::string> entryArguments(size_t number) const
        {
            std::vector<std::string> arguments
                = this->programConfig("entry-" + std::to_string(number), this->ip(10 + number))
                      .entryArguments(packet_ports::hop, toString(this->storeEndpoint));
            arguments.push_back("--stop-delay=200");
            if (this->readsEvacuations)
                arguments.push_back("--evacuation-bound=5000");
            return arguments;
        }

        void startEntry(size_t number)
        {
            this->group.start("entry-" + std::to_string(number), "wasabi-packet-entry", this->entryArguments(number));
        }

        void startAgent(size_t number)
        {
            const std::string name = "agent-" + std::to_string(number);
            this->group.start(
                name, "wasabi-packet-agent", this->programConfig(name, this->ip(20 + number)).agentArguments("api"));
        }

        void startAll()
        {
            for (size_t i = 0; i < upstreamCount; ++i)
                this->startAgent(i);
            this->startEntry(0);
            this->startEntry(1);
        }

        bool isReady(size_t entry) const
        {
            return waitForStatus({ this->ip(10 + entry), packet_ports::ready }, "/ready", 200, waitTimeout);
        }

        // Runs a function on the thread of the fakes and returns its result.
        template <typename Function> auto runOnLoopThread(Function function)
        {
            return fakes::runOnThread(this->context, std::move(function));
        }

        bool openFlowThrough(size_t entry, uint16_t port)
        {
            this->runOnLoopThread([&] {
                this->client.setEntry(addressOf(this->ip(10 + entry), packet_ports::packets));
                this->client.open(port, route);
                return 0;
            });
            return waitUntil(
                [&] {
                    return this->runOnLoopThread([&] {
                        if (!this->client.isOpen())
                            this->client.repeatSyn();
                        return this->client.isOpen();
                    });
                },
                waitTimeout);
        }

        bool completesRequest(uint32_t bytes)
        {
            this->runOnLoopThread([&] {
                this->client.request(bytes);
                return 0;
            });
            TimePoint next = std::chrono::steady_clock::now() + Milliseconds(300);
            return waitUntil(
                [&] {
                    return this->runOnLoopThread([&] {
                        if (this->client.received() == 0 && std::chrono::steady_clock::now() > next) {
                            this->client.repeatRequest();
                            next += Milliseconds(300);
                        }
                        return this->client.received() >= bytes;
                    });
                },
                waitTimeout);
        }

        void putUpstream(size_t number, const std::string& failureDomain)
        {
            this->store.put("servers/i-" + std::to_string(number),
                R"({"service":"api","address":")" + this->ip(20 + number) + ":" + std::to_string(packet_ports::upstream)
                    + R"(","zone":")" + failureDomain
                    + R"(","version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq_no":1,"born":1})");
        }

        // offset: of the output where to begin, which former processes of this name have written before.
        bool isLogged(const std::string& process, const std::string& text, size_t offset = 0)
        {
            return waitUntil(
                [&] { return this->group[process].output().find(text, offset) != std::string::npos; }, waitTimeout);
        }

        bool readsEvacuations = false;
        ProcessGroup group;
        std::string network;
        Endpoint storeEndpoint;
        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        fakes::PacketStore store;
        fakes::PacketClient client;
        std::vector<std::unique_ptr<fakes::PacketHost>> hosts;
        std::thread thread;
    };

    TEST_F(PacketFleet, ServesARequestALongFlowAndADownload)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0) && this->isReady(1)) << this->group.allLogs();
        ASSERT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        EXPECT_TRUE(this->completesRequest(600)) << this->group.allLogs();
        for (int i = 0; i < 20; ++i)
            EXPECT_TRUE(this->completesRequest(4000)) << this->group.allLogs();
        ASSERT_TRUE(this->openFlowThrough(1, 4002)) << this->group.allLogs();
        EXPECT_TRUE(this->completesRequest(80000)) << this->group.allLogs();
    }

    // Datagrams of random bytes, and real messages with some bytes changed or cut off, to every port of an address.
    void sendMalformedDatagrams(const std::string& ip, std::mt19937_64& random)
    {
        boost::asio::io_context context;
        DatagramSocket socket(context);
        ASSERT_TRUE(socket.open({ 0x7f000001, 0 }));
        constexpr size_t datagramsPerPort = 2000;
        for (const uint16_t port : { packet_ports::packets, packet_ports::hop, packet_ports::outbound }) {
            for (size_t i = 0; i < datagramsPerPort; ++i) {
                const std::vector<uint8_t> packet = fakes::makePacket({ 0x64400007, 4001 }, route,
                    static_cast<uint8_t>(random()), static_cast<uint32_t>(random()), 7, 100);
                HopMessage message;
                message.kind = static_cast<HopKind>(random() % hopKindNames.size());
                message.service = serviceIdOf("api");
                message.targets.assign(message.kind == HopKind::Search ? random() % 5 : 0, 0x7f000001);
                if (carriesFlowKeys(message.kind))
                    message.flowKeys.assign(random() % 100, { { 1, 2 }, route });
                else
                    message.packet = packet;
                std::vector<uint8_t> bytes = packet;
                if (random() % 3 == 0) {
                    bytes.clear();
                    encodeHop(message, bytes);
                } else if (random() % 3 == 0) {
                    bytes = encodePresence({ true, true, random(), random(), {}, ListState::Complete,
                        { { 1, Milliseconds(0) } }, { { { 3, 4 }, { 5 }, "z", { 3, 9 }, { route }, {} } } });
                }
                for (size_t change = random() % 6; change > 0; --change)
                    bytes.at(random() % bytes.size()) = static_cast<uint8_t>(random());
                if (random() % 4 == 0)
                    bytes.resize(random() % (bytes.size() + 1));
                if (bytes.empty())
                    continue;
                socket.send(addressOf(ip, port), bytes);
                socket.flush();
            }
        }
    }

    // Guards against a process that one malformed message ends or keeps from serving.
    TEST_F(PacketFleet, MalformedDatagramsEndNothing)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0) && this->isReady(1)) << this->group.allLogs();
        std::mt19937_64 random(20261205);
        sendMalformedDatagrams(this->ip(10), random);
        for (size_t i = 0; i < upstreamCount; ++i)
            sendMalformedDatagrams(this->ip(20 + i), random);
        ASSERT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        EXPECT_TRUE(this->completesRequest(4000)) << this->group.allLogs();
        EXPECT_EQ(this->group.allLogs().find("handler-failed"), std::string::npos) << this->group.allLogs();
    }

    // Guards against open flows that are lost when an entry, or every entry and agent, is killed.
    TEST_F(PacketFleet, AnOpenFlowSurvivesTheLossOfProcesses)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0) && this->isReady(1)) << this->group.allLogs();
        ASSERT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        ASSERT_TRUE(this->completesRequest(600));
        this->group["entry-0"].signal(SIGKILL);
        this->runOnLoopThread([&] {
            this->client.setEntry(addressOf(this->ip(11), packet_ports::packets));
            return 0;
        });
        EXPECT_TRUE(this->completesRequest(600)) << this->group.allLogs();
        for (const char* name : { "entry-0", "entry-1", "agent-0", "agent-1", "agent-2" })
            this->group.remove(name);
        this->startAll();
        EXPECT_TRUE(this->completesRequest(600)) << this->group.allLogs();
        EXPECT_FALSE(this->runOnLoopThread([&] { return this->client.wasReset(); }));
    }

    // Guards against an outage for clients during an outage of the store: entries that start meanwhile must serve open
    // and new flows, and must report that they are not ready.
    TEST_F(PacketFleet, ServesAfterARestartOfAllDuringAStoreOutage)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0)) << this->group.allLogs();
        ASSERT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        ASSERT_TRUE(this->completesRequest(600));
        this->runOnLoopThread([&] {
            this->store.setDown(true);
            return 0;
        });
        for (const char* name : { "entry-0", "entry-1", "agent-0", "agent-1", "agent-2" })
            this->group.remove(name);
        this->startAll();
        EXPECT_TRUE(this->completesRequest(600)) << this->group.allLogs();
        EXPECT_TRUE(this->openFlowThrough(1, 4002)) << this->group.allLogs();
        EXPECT_TRUE(this->completesRequest(600)) << this->group.allLogs();
        EXPECT_TRUE(waitForStatus({ this->ip(10), packet_ports::ready }, "/ready", 503, waitTimeout));
        this->runOnLoopThread([&] {
            this->store.setDown(false);
            return 0;
        });
        EXPECT_TRUE(this->isReady(0)) << this->group.allLogs();
    }

    // Guards against new flows in an evacuated domain, also through an entry that starts while the store is away, and
    // against open flows there that end.
    TEST_F(PacketFleet, AnEvacuatedDomainGetsNoNewFlows)
    {
        this->readsEvacuations = true;
        this->runOnLoopThread([&] {
            this->putUpstream(2, "far");
            return 0;
        });
        this->startAll();
        ASSERT_TRUE(this->isReady(0) && this->isReady(1)) << this->group.allLogs();
        const auto openFlowsIn = [&] {
            return this->runOnLoopThread([&] { return this->hosts[0]->openFlows() + this->hosts[1]->openFlows(); });
        };
        for (uint16_t port = 4001; port < 4031 && openFlowsIn() == 0; ++port)
            ASSERT_TRUE(this->openFlowThrough(0, port)) << this->group.allLogs();
        ASSERT_GT(openFlowsIn(), 0U); // copies of a SYN may open a flow at several hosts
        this->runOnLoopThread([&] {
            this->store.put("op/evacuate/z", "");
            return 0;
        });
        ASSERT_TRUE(this->isLogged("entry-0", "name=evacuation-ordered")) << this->group.allLogs();
        ASSERT_TRUE(this->isLogged("entry-1", "name=evacuation-ordered")) << this->group.allLogs();
        EXPECT_TRUE(waitUntil([&] { return this->evacuationExitCode() == 0; }, waitTimeout)) << this->group.allLogs();
        EXPECT_TRUE(this->completesRequest(4000)) << this->group.allLogs();
        const size_t openBefore = openFlowsIn();
        for (uint16_t port = 4101; port < 4121; ++port)
            ASSERT_TRUE(this->openFlowThrough(port % 2, port)) << this->group.allLogs();
        EXPECT_EQ(openFlowsIn(), openBefore) << this->group.allLogs();
        this->runOnLoopThread([&] {
            this->store.setDown(true);
            return 0;
        });
        const size_t formerOutput = this->group["entry-1"].output().size();
        this->group.remove("entry-1");
        this->startEntry(1);
        ASSERT_TRUE(this->isLogged("entry-1", "name=evacuation-ordered", formerOutput)) << this->group.allLogs();
        this->runOnLoopThread([&] {
            this->store.setDown(false);
            this->store.remove("op/evacuate/z");
            return 0;
        });
        EXPECT_TRUE(this->isLogged("entry-0", "name=evacuation-withdrawn")) << this->group.allLogs();
        EXPECT_TRUE(this->isLogged("entry-1", "name=evacuation-withdrawn", formerOutput)) << this->group.allLogs();
        EXPECT_TRUE(waitUntil([&] { return this->evacuationExitCode() == 1; }, waitTimeout)) << this->group.allLogs();
    }

    // Guards against a client that waits until its timeout for a flow that its host has lost.
    TEST_F(PacketFleet, AFlowThatItsHostLostIsReset)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0)) << this->group.allLogs();
        ASSERT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        ASSERT_TRUE(this->completesRequest(600));
        this->runOnLoopThread([&] {
            for (const std::unique_ptr<fakes::PacketHost>& host : this->hosts)
                host->crash();
            this->client.request(600);
            return 0;
        });
        EXPECT_TRUE(
            waitUntil([&] { return this->runOnLoopThread([&] { return this->client.wasReset(); }); }, waitTimeout))
            << this->group.allLogs();
        // The agent must log the cause, too: an operator who reads only its log has no other evidence.
        EXPECT_TRUE(waitUntil(
            [&] { return this->group.allLogs().find("name=packet-flow-gone") != std::string::npos; }, waitTimeout))
            << this->group.allLogs();
    }

    TEST_F(PacketFleet, SignalsStopAndReload)
    {
        this->startAll();
        ASSERT_TRUE(this->isReady(0)) << this->group.allLogs();
        // A signal ends a process that has not begun to handle signals.
        const auto hasAgentStarted
            = [&] { return this->group.allLogs().find("name=agent-started process=agent-0") != std::string::npos; };
        ASSERT_TRUE(waitUntil(hasAgentStarted, waitTimeout)) << this->group.allLogs();
        this->group["entry-0"].signal(SIGHUP);
        this->group["agent-0"].signal(SIGHUP);
        EXPECT_TRUE(this->openFlowThrough(0, 4001)) << this->group.allLogs();
        this->group["entry-0"].signal(SIGTERM);
        EXPECT_TRUE(waitForStatus({ this->ip(10), packet_ports::ready }, "/ready", 503, waitTimeout));
        EXPECT_EQ(this->group["entry-0"].waitExit(waitTimeout), 0) << this->group.allLogs();
        this->group["agent-0"].signal(SIGTERM);
        EXPECT_EQ(this->group["agent-0"].waitExit(waitTimeout), 0) << this->group.allLogs();
    }

    // Guards against a program that exits or misses a reload because a signal arrives before its handler is installed.
    // The signal is blocked in the new process from its first instruction, so the test does not depend on timing.
    TEST_F(PacketFleet, ASignalDuringTheStartIsHandledAfterIt)
    {
        {
            const BlockedSignals inheritedSignals({ SIGHUP });
            this->startAgent(0);
            this->group["agent-0"].signal(SIGHUP);
        }
        EXPECT_TRUE(waitUntil(
            [&] { return this->group.allLogs().find("name=settings-reloaded") != std::string::npos; }, waitTimeout))
            << this->group.allLogs();
        EXPECT_TRUE(this->group.isRunning("agent-0"));
    }

    // Guards against clients that wait for an entry that is ready, or still use one that is not, because a change of
    // readiness is published only with the next status update.
    TEST(PacketDaemonReadiness, AChangeIsShownAtOnce)
    {
        const Endpoint ready = freeEndpoint();
        std::string address = "--ready=" + toString(ready);
        std::string name = "--name=daemon";
        std::array<char*, 3> arguments { name.data(), name.data(), address.data() };
        PacketSettingsSource source(static_cast<int>(arguments.size()), arguments.data(), "daemon", "WASABI_TEST");
        PacketSettings settings;
        settings.ready = ready;
        boost::asio::io_context context;
        std::atomic<bool> isReady = false;
        PacketDaemonHandlers handlers;
        handlers.onTick = [] {};
        handlers.isReady = [&] { return isReady.load(); };
        handlers.exportMetrics = [](Metrics&) {};
        handlers.status = [&] {
            OperatorStatus status;
            status.ready = isReady;
            return status;
        };
        PacketDaemon daemon(context, settings, source, packetTickInterval, handlers);
        ASSERT_TRUE(daemon.start());
        std::thread thread([&] { daemon.run(); });
        constexpr Milliseconds maxDelay { 250 }; // Half of the interval between two status updates.
        for (const bool next : { true, false, true }) {
            isReady = next;
            EXPECT_TRUE(waitForStatus(ready, "/ready", next ? 200 : 503, maxDelay));
        }
        context.stop();
        thread.join();
    }

    // Guards against a question that is answered on another thread than that of the traffic, or waits without end for
    // it.
    TEST(PacketDaemonQuestions, AreAnsweredByTheTrafficThread)
    {
        const Endpoint ready = freeEndpoint();
        std::string name = "daemon";
        std::array<char*, 1> arguments { name.data() };
        PacketSettingsSource source(1, arguments.data(), name, "WASABI_TEST");
        PacketSettings settings;
        settings.ready = ready;
        boost::asio::io_context context;
        std::atomic<std::thread::id> answering;
        PacketDaemonHandlers handlers;
        handlers.onTick = [] {};
        handlers.isReady = [] { return true; };
        handlers.exportMetrics = [](Metrics&) {};
        handlers.status = [] { return OperatorStatus { true, "", "{}" }; };
        handlers.onExplainFlow = [&](const std::string& target) {
            answering = std::this_thread::get_id();
            if (target.ends_with("?throw"))
                throw std::runtime_error("failure of a handler");
            return OperatorAnswer { 200, "{}" };
        };
        PacketDaemon daemon(context, settings, source, packetTickInterval, handlers);
        ASSERT_TRUE(daemon.start());
        const Result<fakes::HttpReply> unanswered = fakes::httpCall(ready, "GET", "/explain-flow", waitTimeout);
        ASSERT_TRUE(unanswered);
        EXPECT_EQ(unanswered.value().status, 503U); // The loop does not run yet.
        std::thread thread([&] { daemon.run(); });
        EXPECT_TRUE(waitForStatus(ready, "/explain-flow?x", 200, waitTimeout));
        EXPECT_EQ(answering.load(), thread.get_id());
        EXPECT_TRUE(waitForStatus(ready, "/explain-flow?throw", 500, waitTimeout));
        EXPECT_TRUE(waitForStatus(ready, "/explain-flow", 200, waitTimeout));
        EXPECT_TRUE(waitForStatus(ready, "/explain-flows", 404, waitTimeout));
        context.stop();
        thread.join();
    }

    TEST(PacketSettings, WrongSettingsAreNamedAndRefused)
    {
        ProcessGroup group(PROGRAM_DIRECTORY);
        Process& entry = group.start("entry", "wasabi-packet-entry", { "--name=x", "--packets=nowhere" });
        EXPECT_EQ(entry.waitExit(waitTimeout), 1);
        EXPECT_NE(entry.log().find("--packets"), std::string::npos) << entry.log();
    }

    TEST(PacketSettings, FlagsOverrideTheSettingsFile)
    {
        ProcessGroup group(PROGRAM_DIRECTORY);
        const std::string path = group.logDirectory() / "settings";
        std::ofstream(path)
            << "name=from-file\npackets=127.0.0.1:1\n# comment\nservice=\ncold-excess=\nevacuation-bound=\n";
        Process& good
            = group.start("good", "wasabi-packet-agent", { "--settings-file=" + path, "--check", "--name=y" });
        EXPECT_EQ(good.waitExit(waitTimeout), 0) << good.log();
        std::ofstream(path) << "name=from-file\nnonsense\n";
        Process& bad = group.start("bad", "wasabi-packet-agent", { "--settings-file=" + path, "--check" });
        EXPECT_EQ(bad.waitExit(waitTimeout), 1) << bad.log();
    }

    // Guards against a process that blocks because its standard output is not read.
    TEST_F(PacketFleet, AStalledLogReaderBlocksNothing)
    {
        const std::string pipe = this->group.logDirectory() / "entry-9.out";
        ASSERT_EQ(mkfifo(pipe.c_str(), 0600), 0);
        const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK); // Never read.
        ASSERT_GE(reader, 0);
        for (size_t i = 0; i < upstreamCount; ++i)
            this->startAgent(i);
        std::vector<std::string> arguments = this->entryArguments(9);
        arguments.push_back("--log-rate=100000");
        this->group.start("entry-9", "wasabi-packet-entry", arguments);
        ASSERT_TRUE(this->isReady(9));
        for (uint16_t port = 0; port < 800; ++port) {
            this->runOnLoopThread([&] {
                this->client.setEntry(addressOf(this->ip(19), packet_ports::packets));
                this->client.open(static_cast<uint16_t>(10000 + port), route);
                return 0;
            });
        }
        EXPECT_TRUE(this->openFlowThrough(9, 4001));
        EXPECT_TRUE(this->completesRequest(600));
        this->group["entry-9"].signal(SIGTERM);
        EXPECT_EQ(this->group["entry-9"].waitExit(waitTimeout), 0) << "the log must not delay the exit";
        close(reader);
    }

} // namespace
} // namespace wasabicroft::tests
