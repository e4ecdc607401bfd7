// Tests how work grows with the number of flows, hosts, listeners and links. Compares CPU times of this thread at two
// sizes, or counts; never compares absolute times.
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "tests/ConfigSamples.h"

#include <boost/json.hpp>
#include <cmath>
#include <ctime>
#include <gtest/gtest.h>
#include <random>
#include <sys/resource.h>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using namespace std::chrono_literals;

    // Raises the soft limit of open files to the hard limit.
    void allowManyFiles()
    {
        rlimit files {};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }

    double threadCpuSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    // Minimum of five runs, because other load can only make a run slower.
    template <typename Action> double minCpuSeconds(Action action)
    {
        double minimum = 1e9;
        for (int i = 0; i < 5; ++i) {
            const double begin = threadCpuSeconds();
            action();
            minimum = std::min(minimum, threadCpuSeconds() - begin);
        }
        return minimum;
    }

    std::vector<ServiceConfig> makeServices(size_t serviceCount, size_t hostCount)
    {
        std::vector<ServiceConfig> result;
        for (size_t i = 0; i < serviceCount; ++i) {
            ServiceConfig service;
            service.name = "service-" + std::to_string(i);
            const std::string address = "127.1." + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250);
            service.listeners = { { "main", { address, 7000 }, TrafficClass::Request } };
            result.push_back(service);
        }
        for (size_t i = 0; i < hostCount; ++i) {
            const std::string address = "127.2." + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250);
            result[i % serviceCount].upstreams.push_back(
                { "host-" + std::to_string(i), "domain-a", { address, 7200 }, { address, 7300 }, false });
        }
        return result;
    }

    // FlowOwner of an agent, without sockets.
    struct OwnerFixture {
        OwnerFixture()
            : admission(limits(), this->clock)
            , owner(options(), this->admission, this->clock)
        {
        }

        static AdmissionOptions limits()
        {
            AdmissionOptions limits;
            limits.connections = 1000000;
            return limits;
        }
        static OwnerOptions options()
        {
            OwnerOptions options;
            options.upstream = upstreamIdOf("host-0");
            options.incarnation = 1;
            options.services = { serviceIdOf("service-0") };
            return options;
        }

        void open(size_t count)
        {
            for (size_t i = 0; i < count; ++i) {
                OwnerCommands out;
                Frame frame;
                frame.flow = { ++this->flows, this->flows * 0x9E3779B97F4A7C15 };
                frame.service = serviceIdOf("service-0");
                frame.trafficClass = TrafficClass::Feed;
                frame.kind = FrameKind::Open;
                frame.token.owner = options().upstream;
                this->owner.onFrame(frame, { 1, {} }, out);
                frame.kind = FrameKind::Data;
                frame.token = { options().upstream, 1, this->flows };
                this->owner.onFrame(frame, { 1, {} }, out);
                this->owner.onUpstreamConnected(frame.flow, out);
            }
        }

        ManualClock clock;
        Admission admission;
        FlowOwner owner;
        uint64_t flows = 0;
    };

} // namespace

// Guards against work per new flow that grows with the flows already open, for example a scan of all of them.
TEST(Slopes, WorkPerNewFlowDoesNotGrowWithOpenFlows)
{
    OwnerFixture few;
    few.open(200);
    OwnerFixture many;
    many.open(20000);
    const double baseline = minCpuSeconds([&] { few.open(200); });
    const double loaded = minCpuSeconds([&] { many.open(200); });
    EXPECT_EQ(many.owner.openFlows(), 21000U);
    EXPECT_LT(loaded, 10 * baseline); // A scan of 20,000 flows per new flow takes over 50 times as long.
}

// Guards against timers of an agent that scan all open flows although none is due.
TEST(Slopes, TimersThatAreNotDueDoNotScanOpenFlows)
{
    OwnerFixture few;
    few.open(200);
    OwnerFixture many;
    many.open(20000);
    const auto tick = [](OwnerFixture& owner) {
        OwnerCommands out;
        for (int i = 0; i < 1000; ++i)
            owner.owner.onTimer(out);
    };
    const double baseline = minCpuSeconds([&] { tick(few); });
    EXPECT_LT(minCpuSeconds([&] { tick(many); }), 10 * baseline);
}

// Guards against a placement plan that searches the whole pool for each upstream; a plan is made for every new flow.
TEST(Slopes, WorkPerPlanGrowsInProportionToThePool)
{
    const auto planSeconds = [](size_t count) {
        ManualClock clock;
        PlacementOptions options;
        options.random = std::mt19937_64(20261204);
        Placement placement(options, clock);
        std::vector<PlacementUpstream> pool;
        for (size_t i = 1; i <= count; ++i)
            pool.push_back({ { i * 0x9E3779B97F4A7C15 }, "domain-a", 4, false });
        placement.setPool({ 1 }, pool);
        return minCpuSeconds([&] { EXPECT_EQ(placement.plan({ 1 }).candidates.size(), 2U); });
    };
    // The ranking sorts, so the work grows with n log n; quadratic work would take 256 times as long.
    const double expectedGrowth = 16 * std::log(16000) / std::log(1000);
    EXPECT_LT(planSeconds(16000), 2 * expectedGrowth * planSeconds(1000));
}

// Guards against validation that compares every endpoint with every other: 5,900 hosts took over 3 s, which is the
// target for a change to be in force everywhere.
TEST(Slopes, ValidationGrowsInProportionToHosts)
{
    const std::vector<ServiceConfig> small = makeServices(100, 500);
    const std::vector<ServiceConfig> large = makeServices(100, 4000);
    const double baseline = minCpuSeconds([&] { EXPECT_TRUE(validate(small).empty()); });
    const double loaded = minCpuSeconds([&] { EXPECT_TRUE(validate(large).empty()); });
    EXPECT_LT(loaded, 3 * 8 * baseline); // Quadratic work would take 64 times as long.
}

// Guards against a fast overlap check that misses a wildcard: it overlaps every address of its port, in either order.
TEST(Slopes, WildcardOverlapsAreFoundInEitherOrder)
{
    for (const bool wildcardFirst : { true, false }) {
        std::vector<ServiceConfig> list = makeServices(2, 20);
        list[wildcardFirst ? 0 : 1].listeners.push_back({ "wild", { "0.0.0.0", 7300 }, TrafficClass::Request });
        const std::vector<ConfigProblem> problems = validate(list);
        ASSERT_FALSE(problems.empty()) << wildcardFirst;
        EXPECT_NE(problems.front().message.find("overlaps"), std::string::npos);
    }
    std::vector<ServiceConfig> list = makeServices(2, 20);
    list[1].listeners.push_back({ "wild", { "::", 7000 }, TrafficClass::Request });
    EXPECT_EQ(validate(list).size(), 1U);
}

// Guards against an idle entry that rebuilds its list of listeners in every tick: 780 listeners took 1.5% of a core.
TEST(Slopes, IdleWorkDoesNotGrowWithListeners)
{
    allowManyFiles();
    const auto idleCpuSeconds = [](size_t count) {
        asio::io_context context;
        SystemClock clock;
        Metrics metrics;
        EntryServer entry(context, EntryOptions(), clock, metrics);
        const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
        snapshot->manifest.version = 1;
        snapshot->services = makeServices(count, count);
        for (ServiceConfig& service : snapshot->services)
            service.listeners.front().endpoint = { "127.0.0.1", 0 };
        entry.applySnapshot(snapshot);
        entry.start();
        const double begin = threadCpuSeconds();
        context.run_for(1s);
        const double used = threadCpuSeconds() - begin;
        entry.stop();
        return used;
    };
    const double baseline = idleCpuSeconds(4);
    EXPECT_LT(idleCpuSeconds(1500), 3 * baseline + 0.005); // 18 us a second per listener would be 27 ms
}

// Guards against an agent that scans all open flows after each event or tick: 2,400 flows took 3.5% of a core.
TEST(Slopes, IdleWorkOfAnAgentDoesNotGrowWithOpenFlows)
{
    allowManyFiles();
    const auto idleCpuSeconds = [](size_t count) {
        asio::io_context context;
        SystemClock clock;
        Metrics metrics;
        asio::ip::tcp::acceptor upstream = openListener(context, { "127.0.0.1", 0 }).value();
        std::vector<asio::ip::tcp::socket> accepted;
        std::function<void()> accept = [&] {
            upstream.async_accept([&](boost::system::error_code error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                accepted.push_back(std::move(socket));
                accept();
            });
        };
        accept();
        AgentOptions options;
        options.name = "host-0";
        options.linkEndpoint = { "127.0.0.1", 0 };
        AgentServer agent(context, options, clock, metrics);
        const Endpoint endpoint = agent.start().value();
        const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
        snapshot->manifest.version = 1;
        snapshot->services = makeServices(1, 1);
        snapshot->services.front().connections = 100000;
        snapshot->services.front().upstreams.front().address = fromTcp(upstream.local_endpoint());
        agent.applySnapshot(snapshot);

        LinkHandlers handlers;
        handlers.onFrame = [](Link& link, Frame frame) {
            if (frame.kind != FrameKind::Opened)
                return;
            frame.kind = FrameKind::Data;
            link.send(frame);
        };
        const std::shared_ptr<Link> link = std::make_shared<Link>(
            asio::ip::tcp::socket(context), LinkOptions(), clock, metrics, std::move(handlers));
        link->connect(endpoint, [] {});
        Frame open;
        open.kind = FrameKind::Open;
        open.service = serviceIdOf("service-0");
        open.trafficClass = TrafficClass::Feed;
        open.token.owner = upstreamIdOf("host-0");
        for (size_t i = 1; i <= count; ++i) {
            open.flow = { i, i };
            link->send(open);
        }
        for (int i = 0; i < 500 && accepted.size() < count; ++i)
            context.run_for(20ms);
        EXPECT_EQ(accepted.size(), count);
        EXPECT_EQ(agent.openFlows(), count);
        context.run_for(1500ms); // The heartbeat after the last frames is over.
        const double begin = threadCpuSeconds();
        context.run_for(1s);
        const double used = threadCpuSeconds() - begin;
        link->close("end of test");
        agent.stop();
        upstream.close();
        context.poll();
        return used;
    };
    const double baseline = idleCpuSeconds(100);
    EXPECT_LT(idleCpuSeconds(4000), 3 * baseline + 0.005);
}

// Guards against a listener that stays closed because its address was in use at first.
TEST(Slopes, ListenerThatCouldNotBeOpenedIsTriedAgain)
{
    asio::io_context context;
    SystemClock clock;
    Metrics metrics;
    EntryServer entry(context, EntryOptions(), clock, metrics);
    Result<asio::ip::tcp::acceptor> occupant = openListener(context, { "127.0.0.1", 0 });
    const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
    snapshot->manifest.version = 1;
    snapshot->services = makeServices(1, 1);
    snapshot->services.front().listeners.front().endpoint = fromTcp(occupant.value().local_endpoint());
    entry.applySnapshot(snapshot);
    entry.start();
    EXPECT_FALSE(entry.boundEndpoint("service-0", "main"));
    occupant.value().close();
    for (int i = 0; i < 100 && !entry.boundEndpoint("service-0", "main"); ++i)
        context.run_for(20ms);
    EXPECT_TRUE(entry.boundEndpoint("service-0", "main"));
    entry.stop();
}

// Guards against invalid JSON in the status, which joins a cached member list with the other fields.
TEST(Slopes, StatusOfAnEntryIsOneJsonObjectWithAllMembers)
{
    asio::io_context context;
    SystemClock clock;
    Metrics metrics;
    EntryServer entry(context, EntryOptions(), clock, metrics);
    EXPECT_TRUE(boost::json::parse(entry.status().json).at("members").as_array().empty());
    entry.applyMembers(std::make_shared<const std::vector<Member>>(
        std::vector<Member> { samples::member("entry-1"), samples::member("entry-2") }));
    const boost::json::value status = boost::json::parse(entry.status().json);
    ASSERT_EQ(status.at("members").as_array().size(), 2U);
    EXPECT_EQ(status.at("members").at(1).at("name"), "entry-2");
    EXPECT_EQ(status.at("role"), "entry");
}

// Guards against a link pool that handles thousands of idle links in every tick, and against links that it skips.
TEST(Slopes, LinkPoolReachesEveryLinkWithinTenTicks)
{
    allowManyFiles();
    asio::io_context context;
    ManualClock clock;
    Metrics metrics;
    LinkPoolHandlers handlers;
    handlers.onUnreachable = [](const LinkKey&) {};
    LinkPool pool(context, LinkOptions(), clock, metrics, handlers);
    constexpr size_t count = 4000;
    Result<asio::ip::tcp::acceptor> acceptor = openListener(context, { "127.0.0.1", 0 });
    for (size_t i = 1; i <= count; ++i) {
        pool.setAddress({ i }, fromTcp(acceptor.value().local_endpoint()));
        pool.send({ i }, TrafficClass::Feed, Frame());
    }
    ASSERT_EQ(pool.openLinks(), count);
    clock.advance(LinkOptions().idleTimeout + 1s); // onTick closes every link that it handles.
    for (size_t tick = 1; tick <= 10; ++tick) {
        pool.onTick();
        EXPECT_EQ(pool.openLinks(), count - tick * count / 10);
    }
    pool.closeAll();
    context.poll();
}

} // namespace wasabicroft
