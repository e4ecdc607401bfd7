// Guards R2: bytes for one service never reach an upstream of another service, although addresses are reused, some
// processes have a stale configuration and frames of earlier flows arrive late.
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "backends/SessionClient.h"
#include "fakes/Load.h"
#include "fakes/Relay.h"
#include "wasabicroft/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <future>
#include <gtest/gtest.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using namespace std::chrono_literals;

    // ctest runs each test in a process of its own, at the same time as others: with one address for all of them, a
    // test failed because another one listened there.
    const std::string addressPrefix = "127.43." + std::to_string(::getpid() % 256) + '.'; // of this process
    const std::string address = addressPrefix + '1';
    constexpr size_t instanceCount = 4;
    constexpr std::array<const char*, 2> services { "core", "labels" };

    // Addresses of an instance. Its upstream and agent are replaced together, often by those of the other service.
    struct TestInstance {
        Endpoint link;
        Endpoint upstreamAddress;
        size_t service = 0;
        unsigned generation = 0;
        std::string name;
        std::unique_ptr<fakes::Upstream> upstream;
        std::unique_ptr<AgentServer> agent;
    };

    struct LedgerTotals {
        uint64_t foreign = 0;
        uint64_t malformed = 0;
    };

    class Misdelivery : public testing::Test {
    protected:
        template <typename Function> auto call(Function function)
        {
            std::packaged_task<decltype(function())()> task(std::move(function));
            std::future<decltype(function())> result = task.get_future();
            asio::post(this->context, [&task] { task(); });
            return result.get();
        }

        Misdelivery()
            : guard(asio::make_work_guard(this->context))
            , thread([this] { this->context.run(); })
        {
            for (size_t i = 0; i < instanceCount; ++i) {
                this->instances[i].link = { address, static_cast<uint16_t>(7100 + i) };
                this->instances[i].upstreamAddress = { address, static_cast<uint16_t>(7200 + i) };
            }
        }

        ~Misdelivery() override
        {
            this->call([this] {
                for (const std::unique_ptr<EntryServer>& entry : this->entries)
                    entry->stop();
                for (TestInstance& instance : this->instances)
                    if (instance.agent)
                        instance.agent->stop();
                return 0;
            });
            this->context.stop();
            this->thread.join();
        }

        void replace(TestInstance& instance, size_t service)
        {
            if (instance.agent) {
                this->call([&] {
                    instance.agent->stop();
                    return 0;
                });
                this->stoppedAgents.push_back(std::move(instance.agent));
                this->addLedger(instance);
            }
            instance.service = service;
            instance.name = std::string(services.at(service)) + '-' + std::to_string(&instance - this->instances.data())
                + '-' + std::to_string(++instance.generation);
            fakes::UpstreamOptions options;
            options.service = services.at(service);
            options.name = instance.name;
            options.listen = instance.upstreamAddress;
            options.slots = 64;
            instance.upstream.reset();
            instance.upstream = std::make_unique<fakes::Upstream>(options);
            AgentOptions agent;
            agent.name = instance.name;
            agent.linkEndpoint = instance.link;
            instance.agent = std::make_unique<AgentServer>(this->context, agent, this->clock, this->metrics);
            ASSERT_TRUE(this->call([&] { return instance.agent->start().has_value(); }));
        }

        void addLedger(const TestInstance& instance)
        {
            const fakes::Ledger ledger = instance.upstream->ledger();
            this->totals.foreign += ledger.foreign;
            this->totals.malformed += ledger.malformed;
        }

        std::shared_ptr<const Snapshot> nextSnapshot()
        {
            const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
            snapshot->manifest.version = ++this->version;
            for (size_t i = 0; i < services.size(); ++i) {
                ServiceConfig service;
                service.name = services.at(i);
                service.listeners
                    = { { "request", { address, static_cast<uint16_t>(7300 + i) }, TrafficClass::Request } };
                for (const TestInstance& instance : this->instances)
                    if (instance.service == i && instance.agent)
                        service.upstreams.push_back(
                            { instance.name, "a", instance.link, instance.upstreamAddress, false });
                snapshot->services.push_back(service);
            }
            return snapshot;
        }

        // Puts the snapshot in force at each process with the given probability; the others stay stale.
        void publish(const std::shared_ptr<const Snapshot>& snapshot, double share)
        {
            this->call([&] {
                std::bernoulli_distribution reached(share);
                for (const std::unique_ptr<EntryServer>& entry : this->entries)
                    if (reached(this->random))
                        entry->applySnapshot(snapshot);
                for (TestInstance& instance : this->instances)
                    if (instance.agent && reached(this->random))
                        instance.agent->applySnapshot(snapshot);
                return 0;
            });
        }

        std::vector<Endpoint> listeners(size_t service) const
        {
            std::vector<Endpoint> all;
            for (size_t i = 0; i < 2; ++i)
                all.push_back({ addressPrefix + std::to_string(10 + i), static_cast<uint16_t>(7300 + service) });
            return all;
        }

        void startEntries()
        {
            for (size_t i = 0; i < 2; ++i) {
                EntryOptions options;
                options.listenAddress = addressPrefix + std::to_string(10 + i);
                options.flows.openTimeout = 150ms;
                options.links.minBackoff = 20ms;
                options.links.maxBackoff = 100ms;
                options.outlierDetection.maxEjection = 500ms;
                this->entries.push_back(
                    std::make_unique<EntryServer>(this->context, options, this->clock, this->metrics));
            }
        }

        SystemClock clock;
        Metrics metrics;
        asio::io_context context;
        asio::executor_work_guard<asio::io_context::executor_type> guard;
        std::thread thread;
        std::mt19937_64 random { 20261204 };
        std::array<TestInstance, instanceCount> instances;
        std::vector<std::unique_ptr<EntryServer>> entries;
        std::vector<std::unique_ptr<AgentServer>> stoppedAgents; // callbacks of the io_context may still refer to them
        uint64_t version = 0;
        LedgerTotals totals;
    };

    fakes::LoadOptions requestsOf(const std::string& service, const std::vector<Endpoint>& addresses, uint64_t seed)
    {
        fakes::LoadOptions options;
        options.seconds = 8;
        options.seed = seed;
        options.timeout = 2000ms;
        options.workTime = 20ms;
        options.targetFor(fakes::LoadKind::Registration) = { addresses, service, 80 };
        return options;
    }

    // A session caller's request; the answer has to come from an upstream of its own service.
    struct SessionCalls {
        SessionCalls(const std::string& name, std::vector<Endpoint> addresses, const Clock& clock)
            : service(name)
            , client(
                  [&] {
                      SessionOptions options;
                      options.service = name;
                      options.entries = std::move(addresses);
                      return options;
                  }(),
                  clock)
        {
        }

        void send(unsigned number)
        {
            const std::shared_ptr<std::string> answer = std::make_shared<std::string>();
            const std::string id = this->service + "-s" + std::to_string(number);
            SessionHandlers handlers;
            handlers.onBytes = [this, answer](FlowId flow, std::string_view bytes) {
                *answer += bytes;
                this->client.consumed(flow, bytes.size());
            };
            handlers.onEnded = [this, answer, id](FlowId, const SessionEnd& end) {
                ++this->ended;
                if (answer->find("X-Service: ") != std::string::npos
                    && answer->find("X-Service: " + this->service + "\r\n") == std::string::npos)
                    ++this->foreignAnswers;
                if (end.outcome != FlowOutcome::Completed)
                    return;
                ++this->completed;
                if (!answer->ends_with("registered " + id + "\n"))
                    ++this->wrongAnswers;
            };
            SessionRequest request;
            request.requestId = id;
            request.deadline = 2000ms;
            const FlowId flow = this->client.open(request, handlers);
            this->client.write(flow,
                "POST /register HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: " + id
                    + "\r\nX-Service: " + this->service + "\r\nX-Work-Ms: 20\r\nContent-Length: 0\r\n\r\n");
            this->client.finish(flow);
        }

        std::string service;
        std::atomic<unsigned> ended = 0;
        std::atomic<unsigned> completed = 0;
        std::atomic<unsigned> foreignAnswers = 0;
        std::atomic<unsigned> wrongAnswers = 0;
        SessionClient client;
    };

    TEST_F(Misdelivery, NoByteReachesAForeignServiceWhenAddressesAreUsedAgain)
    {
        abortOnViolation(true);
        this->startEntries();
        for (size_t i = 0; i < instanceCount; ++i)
            this->replace(this->instances[i], i % services.size());
        this->publish(this->nextSnapshot(), 1);
        this->call([this] {
            for (const std::unique_ptr<EntryServer>& entry : this->entries)
                entry->start();
            return 0;
        });
        std::vector<std::future<fakes::LoadReport>> runs;
        std::vector<std::unique_ptr<SessionCalls>> sessions;
        for (size_t i = 0; i < services.size(); ++i) {
            runs.push_back(std::async(std::launch::async,
                [options = requestsOf(services.at(i), this->listeners(i), i + 1)] { return fakes::runLoad(options); }));
            sessions.push_back(std::make_unique<SessionCalls>(services.at(i), this->listeners(i), this->clock));
        }
        constexpr unsigned steps = 80;
        for (unsigned step = 0; step < steps; ++step) {
            for (const std::unique_ptr<SessionCalls>& calls : sessions)
                for (unsigned i = 0; i < 6; ++i)
                    calls->send(step * 6 + i);
            if (step % 2 == 1) {
                TestInstance& instance = this->instances.at(this->random() % instanceCount);
                this->replace(instance, this->random() % 3 == 0 ? instance.service : 1 - instance.service);
            }
            this->publish(this->nextSnapshot(), 0.6);
            std::this_thread::sleep_for(100ms);
        }
        for (size_t i = 0; i < services.size(); ++i) {
            const fakes::LoadReport report = runs[i].get();
            const fakes::KindReport& kind = report.reportFor(fakes::LoadKind::Registration);
            EXPECT_EQ(kind.misdelivered, 0U);
            EXPECT_EQ(kind.corrupt, 0U);
            EXPECT_GT(kind.count(fakes::Outcome::Answered), 100U) << fakes::reportTable(report);
            const SessionCalls& calls = *sessions[i];
            EXPECT_EQ(calls.foreignAnswers, 0U);
            EXPECT_EQ(calls.wrongAnswers, 0U);
            EXPECT_GT(calls.completed, 100U) << calls.ended << " ended";
            std::cout << services.at(i) << ": plain " << kind.count(fakes::Outcome::Answered) << " of " << kind.sent
                      << " answered, session " << calls.completed << " of " << calls.ended << " completed\n";
        }
        for (const TestInstance& instance : this->instances)
            this->addLedger(instance);
        EXPECT_EQ(this->totals.foreign, 0U);
        EXPECT_EQ(this->totals.malformed, 0U);
    }

    // Shows that the check detects misdelivery: a relay without reservations keeps sending to addresses that another
    // service has taken.
    TEST_F(Misdelivery, DetectsMisdeliveryByANaiveRelay)
    {
        for (size_t i = 0; i < instanceCount; ++i)
            this->replace(this->instances[i], 0);
        fakes::RelayOptions options;
        options.listen = { address, 7400 };
        for (const TestInstance& instance : this->instances)
            options.targets.push_back(instance.upstreamAddress);
        const fakes::Relay relay(options);
        fakes::LoadOptions load = requestsOf("core", { options.listen }, 3);
        load.seconds = 2;
        std::future<fakes::LoadReport> run = std::async(std::launch::async, [&load] { return fakes::runLoad(load); });
        std::this_thread::sleep_for(500ms);
        this->replace(this->instances[0], 1);
        run.get();
        for (const TestInstance& instance : this->instances)
            this->addLedger(instance);
        EXPECT_GT(this->totals.foreign, 0U);
    }

} // namespace
} // namespace wasabicroft
