// Tests the propagation of configuration versions between real processes: a change is active everywhere within 3 s,
// versions never decrease, and there are few calls to the platform. Checks are also run with the part of the protocol
// that they depend on switched off, and must fail then.
#include "ConfigSamples.h"
#include "fakes/Platform.h"
#include "tests/Processes.h"
#include "wasabicroft/Frame.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using namespace tests;

    constexpr Milliseconds changeLimit { 3000 }; // Requirement R8.
    constexpr Milliseconds startLimit { 30000 };
    constexpr Milliseconds requestTimeout { 1000 };
    constexpr size_t entryCount = 6;
    constexpr size_t agentCount = 24;
    constexpr size_t domainCount = 3;
    constexpr double callLimit = 2000; // Calls per second of all processes in a fleet of fleetSize.
    constexpr double fleetSize = 6400;

    struct Daemon {
        std::string name;
        bool isEntry = false;
        std::string domain;
        Endpoint link;
        Endpoint admin;
    };

    class PropagationProcess : public testing::Test {
    protected:
        void SetUp() override
        {
            for (size_t i = 0; i < entryCount + agentCount; ++i) {
                const bool isEntry = i < entryCount;
                this->daemons.push_back({ (isEntry ? "entry-" : "agent-") + std::to_string(i), isEntry,
                    "domain-" + std::to_string(i % domainCount), freeEndpoint(), freeEndpoint() });
            }
            const std::vector<Member> members = membersOf(this->daemons);
            this->listener = freeEndpoint();
            this->platform.setMembers(members);
            this->otherPlatform.setMembers(members);
        }

        static std::vector<Member> membersOf(const std::vector<Daemon>& daemons)
        {
            std::vector<Member> members;
            members.reserve(daemons.size());
            for (const Daemon& daemon : daemons)
                members.push_back({ daemon.name, daemon.isEntry ? MemberRole::Entry : MemberRole::Agent, daemon.domain,
                    daemon.link, false });
            return members;
        }

        // Returns a configuration of one service with all agents. Versions differ in the number of slots.
        PublishedConfig makeConfig(uint64_t version, uint16_t slots) const
        {
            ServiceConfig service;
            service.name = "core";
            service.slots = slots;
            service.listeners = { { "main", this->listener, TrafficClass::Request } };
            for (const Daemon& daemon : this->daemons) {
                if (!daemon.isEntry)
                    service.upstreams.push_back({ daemon.name, daemon.domain, daemon.link,
                        { daemon.link.address, static_cast<uint16_t>(1 + service.upstreams.size()) }, false });
            }
            return encodeConfig(1, version, { service });
        }

        static ConfigVersion versionOf(const PublishedConfig& config)
        {
            return wasabicroft::versionOf(decodeManifest(config.manifest).value(), config.manifest);
        }

        void start(const Daemon& daemon, const std::string& disabled = "", const std::string& peers = "",
            const std::vector<std::string>& more = {})
        {
            this->startAt(this->platform.endpoint(), daemon, disabled, peers, more);
        }

        void startAt(const Endpoint& source, const Daemon& daemon, const std::string& disabled = "",
            const std::string& peers = "", const std::vector<std::string>& more = {})
        {
            std::vector<std::string> arguments = { "--name", daemon.name, "--failure-domain", daemon.domain,
                "--platform", toString(source), "--link-endpoint", toString(daemon.link), "--admin-endpoint",
                toString(daemon.admin), "--announce-interval", this->announceInterval };
            arguments.insert(arguments.end(), more.begin(), more.end());
            if (!disabled.empty())
                arguments.insert(arguments.end(), { "--disable", disabled });
            if (!peers.empty())
                arguments.insert(arguments.end(), { "--peers", peers });
            this->processes.start(daemon.name, daemon.isEntry ? "wasabi-entry" : "wasabi-agent", arguments);
        }

        void startAll(const std::string& disabled = "")
        {
            for (const Daemon& daemon : this->daemons)
                this->start(daemon, disabled);
        }

        static boost::json::object statusOf(const Daemon& daemon)
        {
            const Result<fakes::HttpReply> reply = fakes::httpCall(daemon.admin, "GET", "/status", requestTimeout);
            boost::system::error_code error;
            const boost::json::value status
                = reply ? boost::json::parse(reply.value().body, error) : boost::json::value();
            return status.is_object() ? status.get_object() : boost::json::object();
        }

        static ConfigVersion inForce(const Daemon& daemon)
        {
            const boost::json::object status = statusOf(daemon);
            const boost::json::value* version = status.if_contains("version");
            if (!version)
                return {};
            return { version->at("epoch").to_number<uint64_t>(), version->at("version").to_number<uint64_t>(),
                version->at("digest").to_number<uint64_t>() };
        }

        size_t countInForce(ConfigVersion version) const
        {
            return static_cast<size_t>(std::count_if(this->daemons.begin(), this->daemons.end(),
                [&](const Daemon& daemon) { return inForce(daemon) == version; }));
        }

        bool allReach(ConfigVersion version, Milliseconds timeout) const
        {
            return waitUntil([&] { return this->countInForce(version) == this->daemons.size(); }, timeout);
        }

        uint64_t platformCalls() const { return this->platform.counters().calls(); }

        FakePlatform platform;
        FakePlatform otherPlatform;
        std::vector<Daemon> daemons;
        Endpoint listener;
        std::string announceInterval = "2000"; // Milliseconds.
        ProcessGroup processes { PROGRAM_DIRECTORY };
    };

    // Guards against processes that get a change late or never, and against platform calls that grow with the fleet.
    TEST_F(PropagationProcess, ChangeIsInForceEverywhereWithinTheLimit)
    {
        const PublishedConfig first = this->makeConfig(1, 4);
        const PublishedConfig second = this->makeConfig(2, 5);
        this->platform.publish(first);
        this->startAll();
        ASSERT_TRUE(this->allReach(versionOf(first), startLimit)) << this->countInForce(versionOf(first));
        const TimePoint idleStart = std::chrono::steady_clock::now();
        const uint64_t idleCalls = this->platformCalls();
        std::this_thread::sleep_for(std::chrono::seconds(10));
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - idleStart).count();
        const double callsPerSecond = static_cast<double>(this->platformCalls() - idleCalls) / seconds;
        const uint64_t before = this->platformCalls();
        const TimePoint published = std::chrono::steady_clock::now();
        this->platform.publish(second);
        EXPECT_TRUE(this->allReach(versionOf(second), changeLimit)) << this->countInForce(versionOf(second));
        const Duration elapsed = std::chrono::steady_clock::now() - published;
        const uint64_t changeCalls = this->platformCalls() - before;
        std::cout << "in force in all " << this->daemons.size() << " processes after "
                  << std::chrono::duration_cast<Milliseconds>(elapsed).count()
                  << " ms; platform calls: " << callsPerSecond << " a second when idle, " << changeCalls
                  << " for the change\n";
        // Share of these processes in the call limit of the platform at the design target.
        EXPECT_LE(callsPerSecond, callLimit / fleetSize * static_cast<double>(this->daemons.size()));
        EXPECT_LT(changeCalls, 2 * this->daemons.size()); // Less than if all watched: a value and a watch each.
        EXPECT_TRUE(statusOf(this->daemons.front()).at("configuration").at("confirmed").as_bool());
    }

    // Shows that the check above fails without announcements.
    TEST_F(PropagationProcess, ChangeIsMissedWithoutAnnouncements)
    {
        const PublishedConfig first = this->makeConfig(1, 4);
        this->platform.publish(first);
        this->startAll("announce");
        ASSERT_TRUE(this->allReach(versionOf(first), startLimit)) << this->countInForce(versionOf(first));
        const PublishedConfig second = this->makeConfig(2, 5);
        this->platform.publish(second);
        EXPECT_FALSE(this->allReach(versionOf(second), changeLimit));
        std::cout << "without announcements: in force in " << this->countInForce(versionOf(second)) << " of "
                  << this->daemons.size() << " processes after 3 s\n";
    }

    // Guards against a process that cannot start while the platform is down, and against running processes that lose
    // their configuration.
    TEST_F(PropagationProcess, StartsFromPeersWhileThePlatformIsDown)
    {
        const PublishedConfig first = this->makeConfig(3, 4);
        this->platform.publish(first);
        const Daemon lateStarter = this->daemons.back();
        const Daemon withoutPeerFetch = this->daemons[this->daemons.size() - 2];
        this->daemons.resize(this->daemons.size() - 2);
        this->startAll();
        ASSERT_TRUE(this->allReach(versionOf(first), startLimit)) << this->countInForce(versionOf(first));
        this->platform.setDown(true);
        const std::string peers = toString(this->daemons[0].link) + ',' + toString(this->daemons[7].link);
        this->start(lateStarter, "", peers);
        this->start(withoutPeerFetch, "peer-fetch", peers);
        EXPECT_TRUE(waitUntil([&] { return inForce(lateStarter) == versionOf(first); }, 2 * changeLimit));
        EXPECT_EQ(inForce(withoutPeerFetch), ConfigVersion()); // Fails without fetches from peers.
        EXPECT_EQ(this->countInForce(versionOf(first)), this->daemons.size());
    }

    // Guards against a loss of contact with the platform that operators do not see: the status must report the version
    // as unconfirmed, while it remains active.
    TEST_F(PropagationProcess, StatusReportsAVersionThatNobodyConfirms)
    {
        const PublishedConfig first = this->makeConfig(1, 4);
        this->platform.publish(first);
        this->daemons.resize(10);
        this->platform.setMembers(membersOf(this->daemons));
        this->announceInterval = "200"; // The confirmation limit is 20 intervals, as by default.
        for (const Daemon& daemon : this->daemons)
            this->start(daemon, "", "", { "--confirmation-limit", "4000" });
        ASSERT_TRUE(this->allReach(versionOf(first), startLimit)) << this->countInForce(versionOf(first));
        const auto unconfirmed = [&] {
            return std::count_if(this->daemons.begin(), this->daemons.end(), [](const Daemon& daemon) {
                const boost::json::object status = statusOf(daemon);
                const boost::json::value* report = status.if_contains("configuration");
                return report && !report->at("confirmed").as_bool();
            });
        };
        EXPECT_EQ(unconfirmed(), 0);
        this->platform.setDown(true);
        EXPECT_TRUE(waitUntil([&] { return unconfirmed() == 10; }, 4 * changeLimit)) << unconfirmed();
        EXPECT_EQ(this->countInForce(versionOf(first)), this->daemons.size());
    }

    // Guards against a return to an older version after the platform was restored to an older state, also in restarted
    // processes.
    TEST_F(PropagationProcess, NoVersionFallsWhenThePlatformIsRestoredToAnOlderState)
    {
        const PublishedConfig first = this->makeConfig(1, 4);
        const PublishedConfig second = this->makeConfig(2, 5);
        this->platform.publish(first);
        this->platform.publish(second);
        this->startAll();
        ASSERT_TRUE(this->allReach(versionOf(second), startLimit)) << this->countInForce(versionOf(second));
        this->platform.setDown(true);
        ASSERT_TRUE(this->platform.rollBack(1));
        this->platform.setDown(false);
        const std::string older = "version=1 digest=" + std::to_string(versionOf(first).digest);
        const auto restart = [&](const Daemon& daemon, const std::string& disabled) {
            this->processes.remove(daemon.name);
            std::filesystem::remove(this->processes.logDirectory() / (daemon.name + ".log"));
            this->start(daemon, disabled);
        };
        for (size_t i = 0; i < 12; ++i)
            restart(this->daemons[2 * i], "");
        EXPECT_TRUE(this->allReach(versionOf(second), startLimit)) << this->countInForce(versionOf(second));
        for (const Daemon& daemon : this->daemons)
            EXPECT_EQ(this->processes[daemon.name].log().find(older), std::string::npos) << daemon.name;
        size_t downgraded = 0;
        for (size_t i = 0; i < 12; ++i)
            restart(this->daemons[2 * i], "ask-at-start");
        waitUntil([&] { return this->countInForce(ConfigVersion()) == 0; }, startLimit);
        for (size_t i = 0; i < 12; ++i)
            downgraded += this->processes[this->daemons[2 * i].name].log().find(older) != std::string::npos ? 1 : 0;
        std::cout << "without asking peers at start: " << downgraded
                  << " of 12 restarted processes put version 1 in force\n";
        EXPECT_GT(downgraded, 0U);
    }

    // Guards against processes that keep different configurations after two operators published the same version. Half
    // of the processes read one of them from the platform, and the rest the other one.
    TEST_F(PropagationProcess, TwoOperatorsConverge)
    {
        for (const std::string disabled : { "", "digest-order" }) {
            const PublishedConfig first = this->makeConfig(1, 4);
            this->platform.publish(first);
            this->otherPlatform.publish(first);
            for (size_t i = 0; i < this->daemons.size(); ++i)
                this->startAt(
                    (i % 2 == 0 ? this->platform : this->otherPlatform).endpoint(), this->daemons[i], disabled);
            ASSERT_TRUE(this->allReach(versionOf(first), startLimit)) << this->countInForce(versionOf(first));
            const PublishedConfig one = this->makeConfig(2, 5);
            const PublishedConfig two = this->makeConfig(2, 6);
            const ConfigVersion higher = std::max(versionOf(one), versionOf(two));
            this->platform.publish(one);
            this->otherPlatform.publish(two);
            const bool converged = this->allReach(higher, changeLimit);
            std::cout << "digest order " << (disabled.empty() ? "on" : "off") << ": " << this->countInForce(higher)
                      << " of " << this->daemons.size() << " have the higher digest\n";
            EXPECT_EQ(converged, disabled.empty());
            for (const Daemon& daemon : this->daemons)
                this->processes.remove(daemon.name);
        }
    }

    // Guards against an agent that decides on an Open frame by an older configuration than the sender has. The test
    // acts as an entry with the newer configuration.
    TEST_F(PropagationProcess, AgentFetchesANewerVersionBeforeItDecidesOnAnOpen)
    {
        PublishedConfig older = encodeConfig(1, 1, { samples::service("core", 1) });
        PublishedConfig newer = this->makeConfig(2, 5);
        this->platform.setMembers({});
        this->platform.publish(older);
        for (const std::string disabled : { "", "await-version" }) {
            const Daemon& agent = this->daemons.back();
            this->start(agent, disabled);
            ASSERT_TRUE(waitUntil([&] { return inForce(agent) == versionOf(older); }, startLimit));
            asio::io_context context;
            asio::ip::tcp::socket link(context);
            link.connect(fakes::tcpEndpointOf(agent.link));
            const auto send = [&](const Frame& frame) {
                std::string bytes;
                appendPrefixedFrame(frame, bytes);
                asio::write(link, asio::buffer(bytes));
            };
            Frame open;
            open.kind = FrameKind::Open;
            open.flow = { 1, 2 };
            open.service = serviceIdOf("core");
            open.token.owner = upstreamIdOf(agent.name);
            open.configVersion = 2;
            send(open);
            std::optional<Frame> decision;
            for (int i = 0; i < 100 && !decision; ++i) {
                std::array<unsigned char, framePrefixBytes> prefix {};
                asio::read(link, asio::buffer(prefix));
                std::string body(prefix[0] + 256U * prefix[1] + 65536U * prefix[2], 0);
                asio::read(link, asio::buffer(body));
                const Frame frame = decodeFrame(body).value();
                if (frame.kind == FrameKind::Fetch) {
                    Frame value;
                    value.kind = FrameKind::Value;
                    value.key = frame.key;
                    value.configEpoch = 1;
                    value.configVersion = 2;
                    value.configDigest = versionOf(newer).digest;
                    value.payload = frame.key == manifestKey ? newer.manifest
                                                             : newer.values[frame.key.substr(serviceKeyPrefix.size())];
                    send(value);
                } else if (frame.flow == open.flow) {
                    decision = frame;
                }
            }
            ASSERT_TRUE(decision);
            EXPECT_EQ(decision->kind, disabled.empty() ? FrameKind::Opened : FrameKind::Refused);
            this->processes.remove(agent.name);
        }
    }

} // namespace
} // namespace wasabicroft
