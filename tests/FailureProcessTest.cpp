// Failures and planned changes of a fleet of processes under load. The results are checked against the ledgers of the
// upstreams, which record what was executed.
#include "tests/Fleet.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace wasabicroft::tests {
namespace {

    using fakes::LoadKind;
    using fakes::LoadOptions;
    using fakes::LoadReport;
    using fakes::Outcome;
    using namespace std::chrono_literals;

    FleetOptions fleetOptions()
    {
        FleetOptions options;
        options.programDirectory = PROGRAM_DIRECTORY;
        return options;
    }

    LoadOptions loadOptions(double seconds, uint64_t seed, const Fleet& fleet)
    {
        LoadOptions options;
        options.seconds = seconds;
        options.seed = seed;
        options.workTime = 40ms;
        options.timeout = 3000ms;
        options.upstreamAdmins = fleet.upstreamAdmins();
        return options;
    }

    void sleepUntil(TimePoint begin, Milliseconds after) { std::this_thread::sleep_until(begin + after); }

    void expectNoViolations(const std::string& name, const LoadReport& report, bool allowBrokenFeeds)
    {
        SCOPED_TRACE(name + '\n' + fakes::reportTable(report));
        for (const std::string& violation : guaranteeViolations(report, allowBrokenFeeds))
            ADD_FAILURE() << violation;
        std::cout << "== " << name << '\n' << fakes::reportTable(report);
        for (size_t i = 0; i < fakes::loadKindCount; ++i) {
            std::cout << fakes::loadKindNames.at(i) << " not answered, by second:";
            for (const uint64_t count : report.kinds.at(i).refusedPerSecond)
                std::cout << ' ' << count;
            std::cout << '\n';
        }
    }

    class FailureProcess : public testing::Test {
    protected:
        void startFleet(size_t entries, size_t coreUpstreams, size_t labelUpstreams)
        {
            this->fleet.addService("core");
            if (labelUpstreams > 0)
                this->fleet.addService("labels"); // A service without upstreams is invalid.
            for (size_t i = 1; i <= coreUpstreams; ++i)
                this->fleet.addUpstream("core", "core-" + std::to_string(i));
            for (size_t i = 1; i <= labelUpstreams; ++i)
                this->fleet.addUpstream("labels", "labels-" + std::to_string(i));
            this->fleet.publish();
            for (size_t i = 1; i <= entries; ++i)
                this->fleet.startEntry("entry-" + std::to_string(i));
            for (size_t i = 1; i <= coreUpstreams; ++i)
                this->fleet.startAgent("core-" + std::to_string(i));
            for (size_t i = 1; i <= labelUpstreams; ++i)
                this->fleet.startAgent("labels-" + std::to_string(i));
            this->fleet.setMembersFromProcesses();
            ASSERT_TRUE(this->fleet.waitReady()) << this->fleet.group.allLogs();
        }

        void TearDown() override
        {
            EXPECT_EQ(this->fleet.invariantViolations(), 0U) << this->fleet.matchingLogLines("event=9001");
        }

        Fleet fleet { fleetOptions() };
    };

    //-------------------------------------------------------------------------
    // Failures with registrations in flight
    //-------------------------------------------------------------------------

    enum class Fault : uint8_t { Kill, Freeze, Cut };
    enum class Target : uint8_t { Entry, Agent };

    class RegistrationFailure : public FailureProcess, public testing::WithParamInterface<std::tuple<Fault, Target>> {
    protected:
        void injectFault(Fault fault, Target target)
        {
            if (fault == Fault::Cut && target == Target::Agent)
                this->fleet.agentRelay("core-1").cut();
            else if (fault == Fault::Cut)
                this->entryRelay->cut();
            else
                this->fleet.group[this->nameOf(target)].signal(fault == Fault::Kill ? SIGKILL : SIGSTOP);
        }

        void clearFault(Fault fault, Target target)
        {
            if (fault == Fault::Cut && target == Target::Agent)
                this->fleet.agentRelay("core-1").heal();
            else if (fault == Fault::Cut)
                this->entryRelay->heal();
            else if (fault == Fault::Freeze)
                this->fleet.group[this->nameOf(target)].signal(SIGCONT);
            else if (target == Target::Agent)
                this->fleet.startAgent("core-1");
            else
                this->fleet.startEntry("entry-1");
        }

        static std::string nameOf(Target target) { return target == Target::Agent ? "core-1" : "entry-1"; }

        std::unique_ptr<fakes::Relay> entryRelay; // Between callers and entry-1.
    };

    // Guards against a request that is executed twice, a "not run" refusal of a request that ran, and the response of
    // another request (R3, R4, R5) when a process dies, is frozen for longer than every timeout or is disconnected.
    TEST_P(RegistrationFailure, RunsAtMostOnceAndIsNeverRefusedFalsely)
    {
        const auto [fault, target] = this->GetParam();
        ASSERT_NO_FATAL_FAILURE(this->startFleet(2, 3, 0));
        fakes::RelayOptions relay;
        relay.listen = freeEndpoint();
        relay.targets = { this->fleet.entryAddress("entry-1", "core", requestListener) };
        this->entryRelay = std::make_unique<fakes::Relay>(relay);
        const std::vector<Endpoint> addresses { relay.listen,
            this->fleet.entryAddress("entry-2", "core", requestListener) };

        LoadOptions plain = loadOptions(9, 1, this->fleet);
        plain.targetFor(LoadKind::Registration) = { addresses, "core", 60 };
        LoadOptions session = loadOptions(9, 2, this->fleet);
        session.targetFor(LoadKind::Registration)
            = { { this->fleet.startConnector("core", requestListener, "", addresses) }, "core", 60 };
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun plainRun(plain);
        LoadRun sessionRun(session);
        sleepUntil(begin, 1500ms);
        this->injectFault(fault, target);
        sleepUntil(begin, 5500ms); // Longer than every timeout of the fleet and the load.
        this->clearFault(fault, target);

        expectNoViolations("plain", plainRun.wait(), true);
        expectNoViolations("session", sessionRun.wait(), true);
        constexpr uint64_t minAnswered = 250; // Of 540 sent; the test would prove nothing if most requests failed.
        EXPECT_GT(plainRun.wait().reportFor(LoadKind::Registration).count(Outcome::Answered), minAnswered);
        EXPECT_GT(sessionRun.wait().reportFor(LoadKind::Registration).count(Outcome::Answered), minAnswered);
    }

    std::string failureName(const testing::TestParamInfo<std::tuple<Fault, Target>>& info)
    {
        constexpr std::array<const char*, 3> faults { "Kill", "Freeze", "Cut" };
        constexpr std::array<const char*, 2> targetNames { "Entry", "Agent" };
        return std::string(faults.at(static_cast<size_t>(std::get<0>(info.param))))
            + targetNames.at(static_cast<size_t>(std::get<1>(info.param)));
    }

    INSTANTIATE_TEST_SUITE_P(Faults, RegistrationFailure,
        testing::Combine(
            testing::Values(Fault::Kill, Fault::Freeze, Fault::Cut), testing::Values(Target::Entry, Target::Agent)),
        failureName);

    //-------------------------------------------------------------------------
    // Planned changes and the loss of entries
    //-------------------------------------------------------------------------

    // Feeds, uploads and downloads of core, and downloads of labels.
    LoadOptions mixedLoad(double seconds, uint64_t seed, const Fleet& fleet, const std::vector<Endpoint>& feeds,
        const std::vector<Endpoint>& bulk, const std::vector<Endpoint>& labels)
    {
        LoadOptions options = loadOptions(seconds, seed, fleet);
        options.timeout = 10000ms;
        constexpr uint64_t megabyte = 1024 * 1024;
        options.targetFor(LoadKind::Feed) = { feeds, "core", 12 };
        options.targetFor(LoadKind::Upload) = { bulk, "core", 4, megabyte };
        options.targetFor(LoadKind::Download) = { labels, "labels", 4, megabyte };
        return options;
    }

    // Guards against a flow that a planned change breaks (R1, R7): entries start and stop, an upstream is replaced and
    // its addresses are reused by another service, the configuration changes, the instance list is out of date.
    TEST_F(FailureProcess, PlannedChangesBreakNoFlow)
    {
        ASSERT_NO_FATAL_FAILURE(this->startFleet(2, 3, 2));
        const auto connector = [&](const std::string& service, const char* listener) {
            return std::vector<Endpoint> { this->fleet.startConnector(service, listener) };
        };
        LoadOptions session = mixedLoad(13, 2, this->fleet, connector("core", feedListener),
            connector("core", bulkListener), connector("labels", bulkListener));
        LoadOptions plain = mixedLoad(13, 1, this->fleet, this->fleet.entryAddresses("core", feedListener),
            this->fleet.entryAddresses("core", bulkListener), this->fleet.entryAddresses("labels", bulkListener));
        // labels-1 has stopped by the end of the load. The ledgers do not record downloads.
        std::erase(session.upstreamAdmins, this->fleet.upstream("labels-1").adminEndpoint());
        plain.upstreamAdmins = session.upstreamAdmins;
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun plainRun(plain);
        LoadRun sessionRun(session);

        sleepUntil(begin, 2000ms);
        this->fleet.startEntry("entry-3");
        this->fleet.group["entry-1"].signal(SIGTERM);

        // labels-1 stops after its transfers; the instance list still contains it.
        sleepUntil(begin, 4000ms);
        this->fleet.upstream("labels-1").drain();
        std::this_thread::sleep_for(600ms);
        this->fleet.group["labels-1"].signal(SIGTERM);
        EXPECT_EQ(this->fleet.group["labels-1"].waitExit(10000ms), 0) << "the agent did not end after its flows";
        this->fleet.stopUpstream("labels-1");

        // An upstream of another service reuses the addresses of labels-1 at once.
        this->fleet.removeUpstream("labels-1");
        this->fleet.addUpstreamAtFormerAddress("core", "core-4", "labels-1");
        this->fleet.addUpstream("labels", "labels-3");
        this->fleet.publish();
        this->fleet.startAgent("core-4");
        this->fleet.startAgent("labels-3");

        // The configuration changes the slots and a traffic class and marks an upstream as leaving.
        sleepUntil(begin, 8000ms);
        this->fleet.config("core").upstreams.front().leaving = true;
        this->fleet.config("core").listeners.back().trafficClass = TrafficClass::Request;
        this->fleet.config("core").slots = 6;
        this->fleet.publish();
        sleepUntil(begin, 10000ms);
        this->fleet.setMembersFromProcesses();

        for (LoadRun* run : { &plainRun, &sessionRun }) {
            const LoadReport& report = run->wait();
            expectNoViolations(run == &plainRun ? "plain" : "session", report, false);
            EXPECT_EQ(countFailedFlows(report), 0U);
            EXPECT_GT(report.reportFor(LoadKind::Upload).count(Outcome::Answered), 20U);
            EXPECT_GT(report.reportFor(LoadKind::Download).count(Outcome::Answered), 20U);
            EXPECT_EQ(report.feeds.opened, 12U);
        }
        EXPECT_EQ(this->fleet.group["entry-1"].waitExit(10000ms), 0) << "the entry did not end after its flows";
    }

    // Guards against a session flow that depends on one entry: first one entry is killed, later both others.
    TEST_F(FailureProcess, SessionFlowsSurviveTheKillOfAnyEntry)
    {
        ASSERT_NO_FATAL_FAILURE(this->startFleet(3, 3, 2));
        const auto connector = [&](const std::string& service, const char* listener) {
            return std::vector<Endpoint> { this->fleet.startConnector(service, listener) };
        };
        const LoadOptions session = mixedLoad(13, 3, this->fleet, connector("core", feedListener),
            connector("core", bulkListener), connector("labels", bulkListener));
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun run(session);
        sleepUntil(begin, 1500ms);
        this->fleet.group["entry-1"].signal(SIGKILL);
        sleepUntil(begin, 8000ms); // Longer than the limit for a silent feed.
        this->fleet.startEntry("entry-1");
        sleepUntil(begin, 9500ms);
        this->fleet.group["entry-2"].signal(SIGKILL);
        this->fleet.group["entry-3"].signal(SIGKILL);
        const LoadReport& report = run.wait();
        expectNoViolations("session", report, false);
        EXPECT_EQ(countFailedFlows(report), 0U);
        EXPECT_GT(report.reportFor(LoadKind::Upload).count(Outcome::Answered), 20U);
        EXPECT_EQ(report.feeds.opened, 12U);
    }

    //-------------------------------------------------------------------------
    // Drain
    //-------------------------------------------------------------------------

    enum class DrainCause : uint8_t { Health, List, Config, HealthWithoutPlatform };

    class Drain : public FailureProcess, public testing::WithParamInterface<DrainCause> { };

    // Guards against new work at a leaving upstream later than R6 allows (2 s after its agent detects the drain, 5 s
    // after the instance list or the configuration marks it as leaving) and against requests that a drain interrupts
    // (R7).
    TEST_P(Drain, LeavingUpstreamGetsNoNewWorkAndNoRequestIsCut)
    {
        ASSERT_NO_FATAL_FAILURE(this->startFleet(2, 3, 0));
        LoadOptions options = loadOptions(10, 5, this->fleet);
        options.timeout = 8000ms;
        options.targetFor(LoadKind::Registration) = { this->fleet.entryAddresses("core", requestListener), "core", 60 };
        options.targetFor(LoadKind::Feed) = { this->fleet.entryAddresses("core", feedListener), "core", 6 };
        LoadOptions session = options;
        session.seed = 6;
        session.targetFor(LoadKind::Registration).addresses = { this->fleet.startConnector("core", requestListener) };
        session.targetFor(LoadKind::Feed).addresses = { this->fleet.startConnector("core", feedListener) };
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun plainRun(options);
        LoadRun sessionRun(session);
        sleepUntil(begin, 2000ms);
        const DrainCause cause = this->GetParam();
        if (cause == DrainCause::HealthWithoutPlatform)
            this->fleet.platform.setDown(true);
        // The fake upstream counts the work after its own drain. For the causes List and Config its health endpoint
        // must still report "ready", so that the agent does not detect the drain by itself.
        if (cause == DrainCause::List || cause == DrainCause::Config) {
            const Endpoint admin = this->fleet.upstream("core-1").adminEndpoint();
            ASSERT_TRUE(fakes::httpCall(admin, "POST", "/set?health=ready", 1000ms));
        }
        this->fleet.upstream("core-1").drain();
        if (cause == DrainCause::List) {
            ASSERT_TRUE(this->fleet.platform.markLeaving("core-1", true));
        }
        if (cause == DrainCause::Config) {
            this->fleet.config("core").upstreams.front().leaving = true;
            this->fleet.publish();
        }
        for (LoadRun* run : { &plainRun, &sessionRun }) {
            const LoadReport& report = run->wait();
            expectNoViolations(run == &plainRun ? "plain" : "session", report, false);
            EXPECT_EQ(countFailedFlows(report), 0U);
            EXPECT_GT(report.reportFor(LoadKind::Registration).count(Outcome::Answered), 400U);
        }
        // The limit of R6 plus the agent's health poll interval of 200 ms.
        const bool isDetectedByAgent = cause == DrainCause::Health || cause == DrainCause::HealthWithoutPlatform;
        const Milliseconds limit = isDetectedByAgent ? 2200ms : 5000ms;
        const fakes::Ledger ledger = this->fleet.upstream("core-1").ledger();
        std::cout << "work after the drain: " << ledger.workAfterDrain << ", last after "
                  << ledger.lastWorkAfterDrain.count() << " ms\n";
        EXPECT_LE(ledger.lastWorkAfterDrain, limit);
    }

    std::string drainName(const testing::TestParamInfo<DrainCause>& info)
    {
        constexpr std::array<const char*, 4> names { "Health", "List", "Config", "HealthWithoutPlatform" };
        return names.at(static_cast<size_t>(info.param));
    }

    INSTANTIATE_TEST_SUITE_P(Causes, Drain,
        testing::Values(DrainCause::Health, DrainCause::List, DrainCause::Config, DrainCause::HealthWithoutPlatform),
        drainName);

    //-------------------------------------------------------------------------
    // Silent connections and partitions
    //-------------------------------------------------------------------------

    // Guards against a feed that stalls, loses bytes or repeats bytes when the existing connections between entry and
    // agent silently stop passing bytes while new connections work.
    TEST_F(FailureProcess, FeedGoesOnWithinFiveSecondsAfterItsConnectionIsSwallowed)
    {
        ASSERT_NO_FATAL_FAILURE(this->startFleet(2, 2, 0));
        LoadOptions plain = loadOptions(10, 7, this->fleet);
        plain.silenceLimit = 5000ms;
        plain.targetFor(LoadKind::Feed) = { this->fleet.entryAddresses("core", feedListener), "core", 20 };
        LoadOptions session = plain;
        session.targetFor(LoadKind::Feed).addresses = { this->fleet.startConnector("core", feedListener) };
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun plainRun(plain);
        LoadRun sessionRun(session);
        sleepUntil(begin, 3000ms);
        for (const char* name : { "core-1", "core-2" })
            this->fleet.agentRelay(name).blackholeExisting();
        for (LoadRun* run : { &plainRun, &sessionRun }) {
            const LoadReport& report = run->wait();
            expectNoViolations(run == &plainRun ? "plain" : "session", report, false);
            EXPECT_EQ(report.feeds.opened, 20U);
            EXPECT_LT(report.feeds.longestSilence, 5.0);
        }
    }

    size_t countOccurrences(const std::string& text, const std::string& part)
    {
        size_t count = 0;
        for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

    // Guards against retries that multiply the load while half of the pool is unreachable, and against requests that
    // are not served although the other half has free slots. Only a try after a failure or a missing reply counts as a
    // retry; asking the next candidate after a Pass does not.
    TEST(PartitionProcess, SplitFleetServesWhatItReachesWithFewAttempts)
    {
        FleetOptions fleetSettings = fleetOptions();
        fleetSettings.entryLogThreshold = "info"; // Placement log lines list the attempts.
        Fleet fleet(fleetSettings);
        fleet.addService("core");
        for (const char* name : { "core-1", "core-2", "core-3", "core-4" })
            fleet.addUpstream("core", name);
        fleet.publish();
        fleet.startEntry("entry-1");
        fleet.startEntry("entry-2");
        for (const char* name : { "core-1", "core-2", "core-3", "core-4" })
            fleet.startAgent(name);
        fleet.setMembersFromProcesses();
        ASSERT_TRUE(fleet.waitReady()) << fleet.group.allLogs();

        LoadOptions options = loadOptions(10, 8, fleet);
        options.timeout = 5000ms;
        options.targetFor(LoadKind::Registration) = { fleet.entryAddresses("core", requestListener), "core", 80 };
        const TimePoint begin = std::chrono::steady_clock::now();
        LoadRun run(options);
        sleepUntil(begin, 2000ms);
        fleet.agentRelay("core-3").cut();
        fleet.agentRelay("core-4").cut();
        sleepUntil(begin, 8000ms);
        fleet.agentRelay("core-3").heal();
        fleet.agentRelay("core-4").heal();

        const LoadReport& report = run.wait();
        expectNoViolations("split", report, true);
        const std::string placementLines = fleet.matchingLogLines("event=4102") + fleet.matchingLogLines("event=4103");
        const double requests = static_cast<double>(countOccurrences(placementLines, "event=41"));
        const double retries = static_cast<double>(
            countOccurrences(placementLines, ":silent") + countOccurrences(placementLines, ":closed"));
        std::cout << "requests " << requests << ", retries " << retries << '\n';
        ASSERT_GT(requests, 500);
        EXPECT_LE(1 + retries / requests, 1.2);
        // Only requests in flight at the cut may fail; the reachable half has capacity for all others.
        const fakes::KindReport& kind = report.reportFor(LoadKind::Registration);
        EXPECT_GT(static_cast<double>(kind.count(Outcome::Answered)), 0.95 * static_cast<double>(kind.sent));
    }

} // namespace
} // namespace wasabicroft::tests
