// Measures how memory, CPU time and traffic of entries, agents, configuration and membership scale with the number of
// flows, links, services, hosts and members. Each quantity is measured at three or more sizes; slope, intercept and
// residual come from a least-squares fit. docs/CAPACITY.md multiplies the slopes by the sizes of the design target.
//
// CPU time is that of the thread under test, and memory is what that thread allocated and did not free, so other load
// on the machine has little influence. Kernel memory is not counted.
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "wasabicroft/ConfigReader.h"
#include "wasabicroft/Log.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <docopt/docopt.h>
#include <future>
#include <iostream>
#include <malloc.h>
#include <new>
#include <poll.h>
#include <random>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace {

thread_local int64_t liveBytes = 0; // Allocated minus freed by this thread, including allocator overhead.

void* countedAllocation(size_t size)
{
    void* memory = std::malloc(std::max<size_t>(1, size));
    if (memory == nullptr)
        throw std::bad_alloc();
    liveBytes += static_cast<int64_t>(malloc_usable_size(memory) + sizeof(size_t));
    return memory;
}

void countedFree(void* memory) noexcept
{
    if (memory == nullptr)
        return;
    liveBytes -= static_cast<int64_t>(malloc_usable_size(memory) + sizeof(size_t));
    std::free(memory);
}

} // namespace

void* operator new(size_t size) { return countedAllocation(size); }
void* operator new[](size_t size) { return countedAllocation(size); }
void operator delete(void* memory) noexcept { countedFree(memory); }
void operator delete[](void* memory) noexcept { countedFree(memory); }
void operator delete(void* memory, size_t) noexcept { countedFree(memory); }
void operator delete[](void* memory, size_t) noexcept { countedFree(memory); }

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using asio::ip::udp;
    using boost::system::error_code;
    using namespace std::chrono_literals;

    const char* const usage = R"(Measures how cost scales with size for entry, agent, configuration and membership.

Usage:
  slopes [--part=NAME] [--csv]

Options:
  --part=NAME  plain, session, links, agent, config, members, traffic or all [default: all].
  --csv        Print CSV instead of a table.
  -h --help    Show this text.
)";

    constexpr size_t designServices = 780;
    constexpr size_t designHosts = 5900;
    constexpr size_t designEntries = 500;
    constexpr size_t domainCount = 11;

    //-------------------------------------------------------------------------
    // [SECTION] Fit and report
    //-------------------------------------------------------------------------

    struct Sample {
        double size = 0;
        double value = 0;
    };

    struct Fit {
        double slope = 0;
        double intercept = 0;
        double residual = 0; // Root mean square of the differences.
    };

    Fit leastSquares(const std::vector<Sample>& samples)
    {
        const double count = static_cast<double>(samples.size());
        double meanSize = 0;
        double meanValue = 0;
        for (const Sample& sample : samples) {
            meanSize += sample.size / count;
            meanValue += sample.value / count;
        }
        double covariance = 0;
        double variance = 0;
        for (const Sample& sample : samples) {
            covariance += (sample.size - meanSize) * (sample.value - meanValue);
            variance += (sample.size - meanSize) * (sample.size - meanSize);
        }
        Fit fit;
        fit.slope = covariance / variance;
        fit.intercept = meanValue - fit.slope * meanSize;
        for (const Sample& sample : samples) {
            const double difference = sample.value - fit.intercept - fit.slope * sample.size;
            fit.residual += difference * difference / count;
        }
        fit.residual = std::sqrt(fit.residual);
        return fit;
    }

    // Collects the samples of all quantities, in the order in which the quantities were first added.
    class Report {
    public:
        void add(const std::string& name, double size, double value)
        {
            const auto found = std::find_if(
                this->series.begin(), this->series.end(), [&](const Series& item) { return item.name == name; });
            Series& item = found == this->series.end() ? this->series.emplace_back(Series { name, {} }) : *found;
            item.samples.push_back({ size, value });
        }

        void print(bool csv) const
        {
            std::puts(csv ? "quantity,slope,intercept,residual,samples"
                          : "quantity                                                       slope    intercept  "
                            "residual  samples (size:value)");
            for (const Series& item : this->series) {
                const Fit fit = leastSquares(item.samples);
                std::printf(csv ? "%s,%.6g,%.6g,%.6g," : "%-58s %12.5g %12.5g %9.3g  ", item.name.c_str(), fit.slope,
                    fit.intercept, fit.residual);
                for (const Sample& sample : item.samples)
                    std::printf("%.6g:%.5g ", sample.size, sample.value);
                std::puts("");
            }
        }

    private:
        struct Series {
            std::string name;
            std::vector<Sample> samples;
        };
        std::vector<Series> series;
    };

    //-------------------------------------------------------------------------
    // [SECTION] Threads
    //-------------------------------------------------------------------------

    double seconds(const timespec& time)
    {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    double ownThreadSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return seconds(time);
    }

    class MeasuredThread {
    public:
        MeasuredThread()
            : guard(asio::make_work_guard(this->context))
            , thread([this] { this->context.run(); })
        {
        }
        ~MeasuredThread() { this->stop(); }

        void stop()
        {
            this->context.stop();
            if (this->thread.joinable())
                this->thread.join();
        }

        template <typename Function> auto call(Function function)
        {
            std::packaged_task<decltype(function())()> task(std::move(function));
            std::future<decltype(function())> result = task.get_future();
            asio::post(this->context, [&task] { task(); });
            return result.get();
        }

        double cpuSeconds()
        {
            return this->call([] { return ownThreadSeconds(); });
        }
        double bytes()
        {
            return static_cast<double>(this->call([] { return liveBytes; }));
        }

        asio::io_context context;

    private:
        asio::executor_work_guard<asio::io_context::executor_type> guard;
        std::thread thread;
    };

    //-------------------------------------------------------------------------
    // [SECTION] Test environment
    //-------------------------------------------------------------------------

    // Upstream that echoes the bytes of every connection.
    class EchoUpstream {
    public:
        EchoUpstream()
            : acceptor(this->thread.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        {
            asio::post(this->thread.context, [this] { this->accept(); });
        }
        ~EchoUpstream() { this->thread.stop(); }

        Endpoint endpoint() const { return fromTcp(this->acceptor.local_endpoint()); }

    private:
        struct Connection {
            explicit Connection(tcp::socket accepted)
                : socket(std::move(accepted))
            {
            }
            tcp::socket socket;
            std::array<char, 256> buffer {};
        };

        void accept()
        {
            this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
                if (error)
                    return;
                this->read(std::make_shared<Connection>(std::move(socket)));
                this->accept();
            });
        }

        void read(const std::shared_ptr<Connection>& connection)
        {
            connection->socket.async_read_some(
                asio::buffer(connection->buffer), [this, connection](error_code error, size_t size) {
                    if (error)
                        return;
                    asio::write(connection->socket, asio::buffer(connection->buffer.data(), size), error);
                    if (!error)
                        this->read(connection);
                });
        }

        MeasuredThread thread;
        tcp::acceptor acceptor;
    };

    // Runs entry, agent and upstream in this process, with one thread each and real sockets on loopback.
    class LoopbackPath {
    public:
        // Configures serviceCount services with one listener each. The first service has upstreamCount upstreams, the
        // others one; all belong to the single agent.
        explicit LoopbackPath(size_t serviceCount, size_t upstreamCount = 1)
            : agent(this->agentThread.context, agentOptions(), this->clock, this->agentMetrics)
            , entry(this->entryThread.context, entryOptions(), this->clock, this->entryMetrics)
        {
            const Endpoint endpoint = this->agentThread.call([this] { return this->agent.start().value(); });
            const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
            snapshot->manifest.version = 1;
            for (size_t i = 0; i < serviceCount; ++i) {
                ServiceConfig service;
                service.name = "service-" + std::to_string(i);
                service.listeners = { { "main", { "127.0.0.1", 0 }, TrafficClass::Feed } };
                service.connections = 1000000;
                const size_t count = i == 0 ? upstreamCount : 1;
                for (size_t host = 0; host < count; ++host)
                    service.upstreams.push_back(
                        { "host-" + std::to_string(host), "domain-0", endpoint, this->upstream.endpoint(), false });
                snapshot->services.push_back(service);
            }
            this->agentThread.call([&] { this->agent.applySnapshot(snapshot); });
            this->entryThread.call([&] {
                this->entry.applySnapshot(snapshot);
                this->entry.start();
            });
        }
        ~LoopbackPath()
        {
            this->entryThread.call([this] { this->entry.stop(); });
            this->agentThread.call([this] { this->agent.stop(); });
            this->entryThread.stop();
            this->agentThread.stop();
        }

        Endpoint front(size_t service = 0)
        {
            return this->entryThread.call(
                [&] { return *this->entry.boundEndpoint("service-" + std::to_string(service), "main"); });
        }

        static AgentOptions agentOptions()
        {
            AgentOptions options;
            options.name = "host-0";
            options.linkEndpoint = { "127.0.0.1", 0 };
            options.flows.maxEndedFlows = 1000000;
            options.flows.reservationExpiry = 60s;
            options.maxLinks = 8192;
            return options;
        }
        static EntryOptions entryOptions()
        {
            EntryOptions options;
            options.name = "entry-0";
            options.flows.openTimeout = 5s; // Prevents second attempts on a busy machine.
            options.links.idleTimeout = 600s;
            return options;
        }

        SystemClock clock;
        Metrics agentMetrics;
        Metrics entryMetrics;
        EchoUpstream upstream;
        MeasuredThread agentThread;
        MeasuredThread entryThread;
        AgentServer agent;
        EntryServer entry;
    };

    // Sends count Query frames (or Open frames) for unknown flows one after the other; each causes one frame to the
    // owner and one reply. Returns the number of replies.
    size_t exchangeQueries(LoopbackPath& path, const std::vector<UpstreamId>& owners, size_t count, bool open)
    {
        asio::io_context context;
        udp::socket socket(context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const udp::endpoint front = toUdp(path.front());
        size_t replies = 0;
        std::vector<char> buffer(2048);
        Frame frame;
        frame.service = serviceIdOf("service-0");
        for (size_t i = 0; i < count; ++i) {
            frame.kind = open ? FrameKind::Open : FrameKind::Query;
            frame.flow = randomFlowId();
            frame.token = { owners[i % owners.size()], 1, 1 };
            socket.send_to(asio::buffer(encodeFrame(frame)), front);
            pollfd waiting { socket.native_handle(), POLLIN, 0 };
            if (::poll(&waiting, 1, 2000) <= 0)
                continue;
            socket.receive(asio::buffer(buffer));
            ++replies;
        }
        return replies;
    }

    std::vector<ServiceConfig> generatedServices(size_t serviceCount, size_t hostCount)
    {
        std::vector<ServiceConfig> services(serviceCount);
        for (size_t i = 0; i < serviceCount; ++i) {
            services[i].name = "service-" + std::to_string(i);
            services[i].listeners
                = { { "main", { "127.1." + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250), 7000 },
                    TrafficClass::Request } };
        }
        for (size_t i = 0; i < hostCount; ++i) {
            const std::string host = "127.2." + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250);
            services[i % serviceCount].upstreams.push_back({ "host-" + std::to_string(i),
                "domain-" + std::to_string(i % domainCount), { host, 7200 }, { host, 7300 }, false });
        }
        return services;
    }

    std::vector<Member> generatedMembers(size_t count)
    {
        std::vector<Member> members;
        const size_t entries = std::max<size_t>(1, count * designEntries / (designEntries + designHosts));
        for (size_t i = 0; i < count; ++i) {
            const bool isEntry = i < entries;
            members.push_back({ isEntry ? "entry-" + std::to_string(i) : "host-" + std::to_string(i - entries),
                isEntry ? MemberRole::Entry : MemberRole::Agent, "domain-" + std::to_string(i % domainCount),
                { "127.2." + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250), 7200 }, false });
        }
        return members;
    }

    //-------------------------------------------------------------------------
    // [SECTION] Entry
    //-------------------------------------------------------------------------

    // With logging, placement lines are formatted and queued as in the daemons. Disabled for memory measurements,
    // because the writer thread frees the records.
    void enableLog(bool enabled)
    {
        stopLog();
        LogOptions log;
        log.file = "/dev/null";
        if (enabled)
            startLog(log);
    }

    void measurePlain(Report& report, bool logs)
    {
        enableLog(logs);
        for (const size_t count : { 500U, 1000U, 2000U, 4000U }) { // A flow needs four file descriptors.
            LoopbackPath path(1);
            const asio::ip::tcp::endpoint front = toTcp(path.front());
            asio::io_context context;
            const auto exchange = [](tcp::socket& socket) {
                std::array<char, 64> message {};
                asio::write(socket, asio::buffer(message));
                asio::read(socket, asio::buffer(message));
            };
            tcp::socket first(context); // Its first exchange opens the link.
            first.connect(front);
            exchange(first);
            const double entryBytes = path.entryThread.bytes();
            const double agentBytes = path.agentThread.bytes();
            const double entryCpu = path.entryThread.cpuSeconds();
            const double agentCpu = path.agentThread.cpuSeconds();
            std::vector<tcp::socket> sockets;
            for (size_t i = 0; i < count; ++i) {
                sockets.emplace_back(context);
                sockets.back().connect(front);
                exchange(sockets.back());
            }
            const double size = static_cast<double>(count);
            if (!logs) {
                report.add("plain: entry bytes per open flow", size, path.entryThread.bytes() - entryBytes);
                report.add("plain: agent bytes per open flow", size, path.agentThread.bytes() - agentBytes);
                continue;
            }
            report.add("plain: entry us CPU per new flow", size, (path.entryThread.cpuSeconds() - entryCpu) * 1e6);
            report.add("plain: agent us CPU per new flow", size, (path.agentThread.cpuSeconds() - agentCpu) * 1e6);
            std::this_thread::sleep_for(6s); // Until the timers of opening flows have expired.
            const double entryIdle = path.entryThread.cpuSeconds();
            const double agentIdle = path.agentThread.cpuSeconds();
            std::this_thread::sleep_for(2s);
            report.add("plain: entry us CPU a second per idle open flow", size,
                (path.entryThread.cpuSeconds() - entryIdle) * 1e6 / 2);
            report.add("plain: agent us CPU a second per idle open flow", size,
                (path.agentThread.cpuSeconds() - agentIdle) * 1e6 / 2);
            const double statusBegin = path.entryThread.cpuSeconds();
            for (int i = 0; i < 10; ++i)
                path.entryThread.call([&] { return path.entry.status().ready; });
            report.add("plain: entry us CPU per status(), by open flows", size,
                (path.entryThread.cpuSeconds() - statusBegin) * 1e5);
            const double agentStatusBegin = path.agentThread.cpuSeconds();
            for (int i = 0; i < 10; ++i)
                path.agentThread.call([&] { return path.agent.status().ready; });
            report.add("plain: agent us CPU per status(), by open flows", size,
                (path.agentThread.cpuSeconds() - agentStatusBegin) * 1e5);
        }
    }

    void measurePlain(Report& report)
    {
        measurePlain(report, true);
        measurePlain(report, false);
    }

    void measureSession(Report& report)
    {
        enableLog(true);
        {
            LoopbackPath path(1);
            const std::vector<UpstreamId> owner = { upstreamIdOf("host-0") };
            exchangeQueries(path, owner, 100, false);
            for (const size_t count : { 1000U, 2000U, 4000U }) {
                const double entryCpu = path.entryThread.cpuSeconds();
                const double agentCpu = path.agentThread.cpuSeconds();
                const size_t replies = exchangeQueries(path, owner, count, false);
                const double size = static_cast<double>(replies);
                report.add("session: entry us CPU per frame pair forwarded", size,
                    (path.entryThread.cpuSeconds() - entryCpu) * 1e6);
                report.add(
                    "session: agent us CPU per frame pair", size, (path.agentThread.cpuSeconds() - agentCpu) * 1e6);
            }
            enableLog(false);
            for (const size_t count : { 1000U, 2000U, 4000U }) {
                const double entryBytes = path.entryThread.bytes();
                const double agentBytes = path.agentThread.bytes();
                const double size = static_cast<double>(exchangeQueries(path, owner, count, true));
                report.add("session: entry bytes per flow", size, path.entryThread.bytes() - entryBytes);
                report.add("session: agent bytes per reserved flow", size, path.agentThread.bytes() - agentBytes);
            }
        }
        enableLog(true);
        for (const size_t services : { 100U, 200U, 400U, 780U }) {
            LoopbackPath path(services);
            const std::vector<UpstreamId> owner = { upstreamIdOf("host-0") };
            exchangeQueries(path, owner, 100, false);
            constexpr size_t count = 2000;
            const double entryCpu = path.entryThread.cpuSeconds();
            const double size = static_cast<double>(services);
            exchangeQueries(path, owner, count, false);
            report.add("session: entry us CPU per frame pair, by listeners", size,
                (path.entryThread.cpuSeconds() - entryCpu) * 1e6 / count);
            const double idle = path.entryThread.cpuSeconds();
            std::this_thread::sleep_for(2s);
            report.add(
                "idle: entry us CPU a second, by listeners", size, (path.entryThread.cpuSeconds() - idle) * 1e6 / 2);
        }
    }

    void measureLinks(Report& report)
    {
        enableLog(false);
        for (const size_t count : { 500U, 1000U, 2000U, 4000U }) { // A link needs two file descriptors.
            LoopbackPath path(1, count);
            std::vector<UpstreamId> owners;
            for (size_t i = 0; i < count; ++i)
                owners.push_back(upstreamIdOf("host-" + std::to_string(i)));
            const double bytes = path.entryThread.bytes();
            const double cpu = path.entryThread.cpuSeconds();
            exchangeQueries(path, owners, count, false);
            const double size = static_cast<double>(count);
            report.add("links: entry us CPU per link opened and one frame pair", size,
                (path.entryThread.cpuSeconds() - cpu) * 1e6);
            report.add("links: entry bytes per linked agent", size, path.entryThread.bytes() - bytes);
            std::this_thread::sleep_for(3s); // Until the heartbeats after the last frames have ended.
            const double idle = path.entryThread.cpuSeconds();
            const double agentIdle = path.agentThread.cpuSeconds();
            std::this_thread::sleep_for(2s);
            report.add(
                "links: entry us CPU a second per idle link", size, (path.entryThread.cpuSeconds() - idle) * 1e6 / 2);
            report.add("links: agent us CPU a second per idle link", size,
                (path.agentThread.cpuSeconds() - agentIdle) * 1e6 / 2);
        }
    }

    //-------------------------------------------------------------------------
    // [SECTION] Agent
    //-------------------------------------------------------------------------

    // Measures FlowInitiator, which session callers use and of which an entry has one per plain flow besides the
    // socket.
    void measureInitiator(Report& report)
    {
        for (const size_t count : { 1000U, 2000U, 4000U, 8000U }) {
            ManualClock clock;
            std::vector<std::unique_ptr<FlowInitiator>> initiators;
            initiators.reserve(count);
            const int64_t bytesBefore = liveBytes;
            const double begin = ownThreadSeconds();
            for (size_t i = 1; i <= count; ++i) {
                InitiatorOptions options;
                options.service = serviceIdOf("service-0");
                options.datagrams = true;
                initiators.push_back(std::make_unique<FlowInitiator>(FlowId { i, i }, options, clock));
                InitiatorCommands out;
                initiators.back()->start({ placedByEntry }, out);
                Frame opened;
                opened.kind = FrameKind::Opened;
                opened.flow = { i, i };
                opened.service = options.service;
                opened.token = { upstreamIdOf("host-0"), 1, i };
                initiators.back()->onFrame(opened, out);
                initiators.back()->write(std::string(64, 'x'), out);
            }
            const double size = static_cast<double>(count);
            report.add("initiator: us CPU per new flow", size, (ownThreadSeconds() - begin) * 1e6);
            report.add("initiator: bytes per open flow", size, static_cast<double>(liveBytes - bytesBefore));
        }
    }

    void measureAgent(Report& report)
    {
        measureInitiator(report);
        for (const size_t count : { 1000U, 2000U, 4000U, 8000U }) {
            ManualClock clock;
            AdmissionOptions limits;
            limits.connections = 1000000;
            Admission admission(limits, clock);
            OwnerOptions options;
            options.upstream = upstreamIdOf("host-0");
            options.incarnation = 1;
            options.services = { serviceIdOf("service-0") };
            FlowOwner owner(options, admission, clock);
            Frame frame;
            frame.service = serviceIdOf("service-0");
            frame.trafficClass = TrafficClass::Feed;
            std::vector<Frame> flows;
            flows.reserve(count);
            for (size_t i = 0; i < count; ++i) {
                frame.flow = randomFlowId();
                flows.push_back(frame);
            }
            const int64_t bytesBefore = liveBytes;
            const double begin = ownThreadSeconds();
            for (size_t i = 0; i < count; ++i) {
                Frame& flow = flows[i];
                OwnerCommands out;
                flow.kind = FrameKind::Open;
                flow.token = { options.upstream, 0, 0 };
                owner.onFrame(flow, { 1, {} }, out);
                flow.kind = FrameKind::Data;
                flow.token = { options.upstream, options.incarnation, i + 1 };
                owner.onFrame(flow, { 1, {} }, out);
                owner.onUpstreamConnected(flow.flow, out);
            }
            const double opened = ownThreadSeconds();
            const double size = static_cast<double>(count);
            const int64_t bytesOpen = liveBytes;
            report.add("owner: us CPU per new flow", size, (opened - begin) * 1e6);
            report.add("owner: bytes per open flow", size, static_cast<double>(bytesOpen - bytesBefore));
            const double countBegin = ownThreadSeconds();
            size_t open = 0;
            for (int i = 0; i < 100; ++i)
                open += owner.openFlows();
            report.add("owner: us CPU per openFlows() call, by open flows", static_cast<double>(open) / 100,
                (ownThreadSeconds() - countBegin) * 1e4);
            for (Frame& flow : flows) {
                OwnerCommands out;
                flow.kind = FrameKind::Cancel;
                owner.onFrame(flow, { 1, {} }, out);
            }
            report.add("owner: bytes per remembered ended flow", static_cast<double>(owner.endedFlows()),
                static_cast<double>(liveBytes - bytesBefore));
        }
    }

    //-------------------------------------------------------------------------
    // [SECTION] Configuration
    //-------------------------------------------------------------------------

    struct ReadCost {
        double bytes = 0;
        double calls = 0;
        double cpu = 0; // Seconds.
    };

    // Answers all calls that are due with the published configuration and returns their cost. A waiting call gets the
    // same index again, which means unchanged.
    ReadCost readPending(ConfigReader& reader, const PublishedConfig& published, uint64_t index)
    {
        ReadCost cost;
        while (true) {
            const double begin = ownThreadSeconds();
            const std::optional<PlatformCall> call = reader.nextCall(PlatformStream::Config);
            if (!call) {
                cost.cpu += ownThreadSeconds() - begin;
                return cost;
            }
            const std::string bytes = call->key == manifestKey
                ? published.manifest
                : published.values.at(call->key.substr(serviceKeyPrefix.size()));
            reader.onValue(*call, index, bytes);
            cost.cpu += ownThreadSeconds() - begin;
            cost.calls += 1;
            cost.bytes += static_cast<double>(bytes.size());
        }
    }

    std::shared_ptr<const Snapshot> withFreePorts(const Snapshot& snapshot)
    {
        const std::shared_ptr<Snapshot> copy = std::make_shared<Snapshot>(snapshot);
        for (ServiceConfig& service : copy->services)
            service.listeners.front().endpoint = { "127.0.0.1", 0 };
        return copy;
    }

    void measureConfigAt(
        Report& report, size_t serviceCount, size_t hostCount, const std::string& dimension, double size)
    {
        ManualClock clock;
        ConfigReader reader(ConfigReaderOptions(), clock);
        std::vector<ServiceConfig> services = generatedServices(serviceCount, hostCount);
        const int64_t bytesBefore = liveBytes;
        const ReadCost start = readPending(reader, encodeConfig(1, 1, services), 1);
        const std::shared_ptr<const Snapshot> first = reader.takeUpdate().snapshot;
        report.add("config: bytes of memory, " + dimension, size, static_cast<double>(liveBytes - bytesBefore));
        report.add("config: ms CPU to start, " + dimension, size, start.cpu * 1e3);
        report.add("config: bytes read to start, " + dimension, size, start.bytes);
        report.add("config: calls to start, " + dimension, size, start.calls);
        services.front().slots = 5;
        clock.advance(60s);
        const ReadCost change = readPending(reader, encodeConfig(1, 2, services), 2);
        const std::shared_ptr<const Snapshot> second = reader.takeUpdate().snapshot;
        report.add("config: bytes read per change, " + dimension, size, change.bytes);
        report.add("config: calls per change, " + dimension, size, change.calls);
        report.add("config: ms CPU to validate a change, " + dimension, size, change.cpu * 1e3);

        asio::io_context context;
        SystemClock systemClock;
        Metrics metrics;
        EntryServer entry(context, LoopbackPath::entryOptions(), systemClock, metrics);
        entry.applySnapshot(withFreePorts(*first));
        const std::shared_ptr<const Snapshot> next = withFreePorts(*second);
        double begin = ownThreadSeconds();
        entry.applySnapshot(next);
        report.add("config: entry ms CPU to apply a change, " + dimension, size, (ownThreadSeconds() - begin) * 1e3);
        entry.stop();
        AgentServer agent(context, LoopbackPath::agentOptions(), systemClock, metrics);
        agent.applySnapshot(first);
        begin = ownThreadSeconds();
        agent.applySnapshot(second);
        report.add("config: agent ms CPU to apply a change, " + dimension, size, (ownThreadSeconds() - begin) * 1e3);
        agent.stop();
    }

    void measureConfig(Report& report)
    {
        for (const size_t services : { 195U, 390U, 585U, 780U })
            measureConfigAt(report, services, designHosts, "by services", static_cast<double>(services));
        for (const size_t hosts : { 1475U, 2950U, 4425U, 5900U })
            measureConfigAt(report, designServices, hosts, "by hosts", static_cast<double>(hosts));
    }

    //-------------------------------------------------------------------------
    // [SECTION] Membership
    //-------------------------------------------------------------------------

    void measureMembers(Report& report)
    {
        for (const size_t count : { 800U, 1600U, 3200U, 6400U }) {
            const double size = static_cast<double>(count);
            const std::vector<Member> members = generatedMembers(count);
            const std::string bytes = encodeMembers(members);
            report.add("members: bytes of the list", size, static_cast<double>(bytes.size()));
            const auto measure = [&](const std::string& name, double factor, const std::function<void()>& action) {
                const double begin = ownThreadSeconds();
                action();
                report.add(name, size, (ownThreadSeconds() - begin) * factor);
            };
            measure("members: ms CPU to decode the list", 1e3, [&] { decodeMembers(bytes).value(); });
            measure("members: ms CPU of selectWatchers", 1e3, [&] { selectWatchers(members, {}); });
            measure("members: ms CPU of announcePeers", 1e3, [&] { announcePeers(members, "entry-0", {}); });

            asio::io_context context;
            SystemClock clock;
            Metrics metrics;
            EntryServer entry(context, LoopbackPath::entryOptions(), clock, metrics);
            const PublishedConfig published = encodeConfig(1, 1, generatedServices(designServices, designHosts));
            entry.applySnapshot(withFreePorts(*parseSnapshot(published.manifest, published.values).value()));
            const std::shared_ptr<const std::vector<Member>> list
                = std::make_shared<const std::vector<Member>>(members);
            measure("members: entry ms CPU to apply the list", 1e3, [&] { entry.applyMembers(list); });
            measure("members: entry ms CPU per status()", 1e3, [&] { entry.status(); });
            entry.stop();

            PlacementOptions options;
            options.random = std::mt19937_64(20261204);
            Placement placement(options, clock);
            std::vector<PlacementUpstream> pool;
            for (size_t i = 0; i < count; ++i)
                pool.push_back({ { i + 1 }, "domain-" + std::to_string(i % domainCount), 4, false });
            placement.setPool({ 1 }, pool);
            measure("placement: us CPU per plan, by pool size", 1e6, [&] { placement.plan({ 1 }); });
        }
        for (const size_t count : { 4U, 8U, 16U, 32U, 64U }) {
            SystemClock clock;
            PlacementOptions options;
            options.random = std::mt19937_64(20261204);
            Placement placement(options, clock);
            std::vector<PlacementUpstream> pool;
            for (size_t i = 0; i < count; ++i)
                pool.push_back({ { i + 1 }, "domain-" + std::to_string(i % domainCount), 4, false });
            placement.setPool({ 1 }, pool);
            const double begin = ownThreadSeconds();
            for (int i = 0; i < 1000; ++i)
                placement.plan({ 1 });
            report.add("placement: us CPU per plan, by small pool size", static_cast<double>(count),
                (ownThreadSeconds() - begin) * 1e3);
        }
    }

    //-------------------------------------------------------------------------
    // [SECTION] Control traffic of the instance list
    //-------------------------------------------------------------------------

    // Simulates a reader of the instance list for the given time, in which the list changes at the given times. Returns
    // the cost; the bytes of the first read are not counted.
    ReadCost readInstances(MemberRole role, const std::string& list, Duration duration, std::vector<Duration> changes)
    {
        std::sort(changes.begin(), changes.end());
        ManualClock clock;
        const TimePoint begin = clock.now();
        ConfigReaderOptions options;
        options.self = "none";
        options.role = role;
        ConfigReader reader(options, clock);
        ReadCost cost;
        while (clock.now() - begin < duration) {
            if (const std::optional<PlatformCall> call = reader.nextCall(PlatformStream::Instances)) {
                const auto passed = std::upper_bound(changes.begin(), changes.end(), clock.now() - begin);
                const uint64_t index = static_cast<uint64_t>(passed - changes.begin()) + 1;
                cost.calls += 1;
                const double cpuBegin = ownThreadSeconds();
                if (call->knownIndex == index)
                    reader.onNotModified(*call);
                else {
                    reader.onValue(*call, index, list);
                    cost.bytes += call->knownIndex ? static_cast<double>(list.size()) : 0; // Without the first read.
                }
                cost.cpu += ownThreadSeconds() - cpuBegin;
            }
            clock.set(std::max(clock.now() + Milliseconds(1), reader.nextCallTime(PlatformStream::Instances)));
        }
        return cost;
    }

    std::vector<Duration> randomTimes(size_t count, Duration duration)
    {
        std::mt19937_64 random(20261204);
        std::vector<Duration> times;
        for (size_t i = 0; i < count; ++i)
            times.emplace_back(
                static_cast<int64_t>(random() % static_cast<uint64_t>(std::chrono::nanoseconds(duration).count())));
        return times;
    }

    void measureTraffic(Report& report)
    {
        // Changes of the list per day: a failed instance leaves and its replacement joins (2 changes); a restart also
        // marks the instance as leaving before (3 changes).
        constexpr size_t changesPerDay = 32 * 2 + 330 * 3;
        for (const size_t count : { 1600U, 3200U, 6400U }) {
            const std::string list = encodeMembers(generatedMembers(count));
            const double size = static_cast<double>(count);
            for (const MemberRole role : { MemberRole::Entry, MemberRole::Agent }) {
                const std::string name(memberRoleNames.at(static_cast<size_t>(role)));
                const ReadCost idle = readInstances(role, list, 1h, {});
                report.add("list: " + name + " calls a second, idle", size, idle.calls / 3600);
                const ReadCost day = readInstances(role, list, 144min, randomTimes(changesPerDay / 10, 144min));
                report.add("list: " + name + " bytes a second, a day's changes", size, day.bytes / (144 * 60));
                report.add("list: " + name + " % of a core, a day's changes", size, day.cpu * 100 / (144 * 60));
                const ReadCost rack = readInstances(role, list, 1min, randomTimes(40, 10s));
                report.add("list: " + name + " bytes, 40 instances in 10 s", size, rack.bytes);
                const ReadCost domain = readInstances(role, list, 2min, randomTimes(580, 30s));
                report.add("list: " + name + " bytes, 580 instances in 30 s", size, domain.bytes);
            }
        }
    }

    int run(const std::map<std::string, docopt::value>& arguments)
    {
        rlimit files {};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
        const std::string part = arguments.at("--part").asString();
        const std::vector<std::pair<std::string, void (*)(Report&)>> parts = { { "plain", measurePlain },
            { "session", measureSession }, { "links", measureLinks }, { "agent", measureAgent },
            { "config", measureConfig }, { "members", measureMembers }, { "traffic", measureTraffic } };
        Report report;
        alarm(600); // Seconds after which the program ends, also if a component does not respond.
        for (const auto& [name, measure] : parts) {
            if (part == "all" || part == name)
                measure(report);
        }
        report.print(arguments.at("--csv").asBool());
        stopLog();
        return 0;
    }

} // namespace
} // namespace wasabicroft

int main(int argc, char** argv)
{
    return wasabicroft::run(docopt::docopt(wasabicroft::usage, { argv + 1, argv + argc }, true));
}
