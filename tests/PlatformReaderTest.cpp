// PlatformReader delivers only complete and newer configurations, whatever the platform does.
#include "backends/PlatformReader.h"

#include "ConfigSamples.h"
#include "fakes/Platform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <thread>

namespace wasabicroft {
namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;

    constexpr Milliseconds waitTimeout { 8000 }; // limit of every wait

    // Records what a PlatformReader delivers and checks that versions increase.
    class Recorder {
    public:
        void onUpdate(const PlatformUpdate& update)
        {
            const std::lock_guard lock(this->mutex);
            if (update.snapshot) {
                EXPECT_TRUE(this->versions.empty() || this->versions.back() < versionOf(*update.snapshot));
                this->versions.push_back(versionOf(*update.snapshot));
                this->slots = update.snapshot->services.front().slots;
                for (const ServiceConfig& service : update.snapshot->services)
                    this->hasMixedSnapshot |= service.slots != this->slots;
            }
            if (update.members)
                this->memberCount = update.members->size();
            this->changed.notify_all();
        }

        bool waitForVersion(uint64_t version)
        {
            return this->wait([&] { return !this->versions.empty() && this->versions.back().version >= version; });
        }

        bool waitForMembers(size_t count)
        {
            return this->wait([&] { return this->memberCount == count; });
        }

        ConfigVersion last() const
        {
            const std::lock_guard lock(this->mutex);
            return this->versions.empty() ? ConfigVersion() : this->versions.back();
        }

        bool sawMixedSnapshot() const
        {
            const std::lock_guard lock(this->mutex);
            return this->hasMixedSnapshot;
        }

    private:
        bool wait(const std::function<bool()>& condition)
        {
            std::unique_lock lock(this->mutex);
            return this->changed.wait_for(lock, waitTimeout, condition);
        }

        mutable std::mutex mutex;
        std::condition_variable changed;
        std::vector<ConfigVersion> versions;
        std::optional<size_t> memberCount;
        uint16_t slots = 0;
        bool hasMixedSnapshot = false;
    };

    struct RunningReader {
        explicit RunningReader(const FakePlatform& platform, const std::string& name = "entry-1")
            : reader(
                options(platform, name), this->clock, [this](const PlatformUpdate& u) { this->recorder.onUpdate(u); })
        {
            EXPECT_TRUE(this->reader.start());
        }

        static PlatformReaderOptions options(const FakePlatform& platform, const std::string& name)
        {
            PlatformReaderOptions options;
            options.platform = platform.endpoint();
            options.self = name;
            options.timing.pollInterval = Milliseconds(100);
            options.timing.entryInstancePollInterval = Milliseconds(100);
            options.timing.minWatchInterval = Milliseconds(5);
            options.timing.minBackOff = Milliseconds(20);
            options.timing.maxBackOff = Milliseconds(100);
            return options;
        }

        SystemClock clock;
        Recorder recorder;
        PlatformReader reader;
    };

    TEST(PlatformReader, DeliversAConfigurationAndTheInstanceList)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        platform.setMember(samples::member("entry-1"));
        RunningReader running(platform);
        EXPECT_TRUE(running.recorder.waitForVersion(1));
        EXPECT_TRUE(running.recorder.waitForMembers(1));
        platform.publish(samples::published(2, 5));
        EXPECT_TRUE(running.recorder.waitForVersion(2));
    }

    TEST(PlatformReader, UnchangedValuesAreNotReadAgain)
    {
        FakePlatform platform;
        std::vector<ServiceConfig> services = samples::twoServices();
        platform.publish(encodeConfig(1, 1, services));
        RunningReader running(platform);
        ASSERT_TRUE(running.recorder.waitForVersion(1));
        EXPECT_EQ(platform.counters().valueReads, 2u);
        services[0].slots = 9;
        platform.publish(encodeConfig(1, 2, services));
        ASSERT_TRUE(running.recorder.waitForVersion(2));
        EXPECT_EQ(platform.counters().valueReads, 3u);
    }

    // Guards against a connection per value, which cost one handshake per service on the first load, and against taking
    // the platform for unreachable because it closed an idle connection.
    TEST(PlatformReader, CallsShareOneConnectionPerStream)
    {
        FakePlatform platform;
        std::vector<ServiceConfig> services;
        for (uint16_t i = 1; i <= 50; ++i)
            services.push_back(samples::service("service-" + std::to_string(i), i));
        platform.publish(encodeConfig(1, 1, services));
        RunningReader running(platform);
        ASSERT_TRUE(running.recorder.waitForVersion(1));
        EXPECT_EQ(platform.counters().valueReads, 50u);
        EXPECT_LE(platform.counters().connections, platformStreamCount);
        platform.setDown(true);
        platform.setDown(false);
        services[0].slots = 9;
        platform.publish(encodeConfig(1, 2, services));
        EXPECT_TRUE(running.recorder.waitForVersion(2));
    }

    TEST(PlatformReader, WatchersWatchAndOthersPoll)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        std::vector<Member> members;
        members.reserve(12);
        for (int i = 1; i <= 12; ++i)
            members.push_back(samples::member("entry-" + std::to_string(i)));
        platform.setMembers(members);
        std::vector<std::unique_ptr<RunningReader>> readers;
        readers.reserve(members.size());
        for (const Member& member : members)
            readers.push_back(std::make_unique<RunningReader>(platform, member.name));
        size_t watchers = 0;
        for (const std::unique_ptr<RunningReader>& running : readers) {
            ASSERT_TRUE(running->recorder.waitForVersion(1));
            ASSERT_TRUE(running->recorder.waitForMembers(members.size()));
            watchers += running->reader.status().isWatching ? 1 : 0;
        }
        EXPECT_EQ(watchers, WatcherOptions().watchersPerDomain);
    }

    TEST(PlatformReader, HintFetchesAtOnce)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        PlatformReaderOptions options = RunningReader::options(platform, "entry-1");
        options.timing.pollInterval = Milliseconds(3600000);
        SystemClock clock;
        Recorder recorder;
        PlatformReader reader(options, clock, [&](const PlatformUpdate& update) { recorder.onUpdate(update); });
        ASSERT_TRUE(reader.start());
        ASSERT_TRUE(recorder.waitForVersion(1));
        const PublishedConfig next = samples::published(2, 5);
        platform.publish(next);
        reader.onNewerVersionSeen(versionOf(*samples::snapshotOf(next)));
        EXPECT_TRUE(recorder.waitForVersion(2));
    }

    TEST(PlatformReader, OutageKeepsTheVersionAndRecoveryBringsTheNext)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        platform.setMember(samples::member("entry-1"));
        RunningReader running(platform);
        ASSERT_TRUE(running.recorder.waitForVersion(1));
        ASSERT_TRUE(running.recorder.waitForMembers(1));
        platform.setDown(true);
        platform.publish(samples::published(2, 5));
        std::this_thread::sleep_for(Milliseconds(300));
        EXPECT_EQ(running.recorder.last().version, 1u);
        platform.setDown(false);
        EXPECT_TRUE(running.recorder.waitForVersion(2));
        platform.setStale(true);
        platform.publish(samples::published(3, 6));
        std::this_thread::sleep_for(Milliseconds(300));
        EXPECT_EQ(running.recorder.last().version, 2u);
        platform.setStale(false);
        EXPECT_TRUE(running.recorder.waitForVersion(3));
    }

    TEST(PlatformReader, RollbackAndInvalidStatesChangeNothing)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        platform.publish(samples::published(2, 5));
        RunningReader running(platform);
        ASSERT_TRUE(running.recorder.waitForVersion(2));
        ASSERT_TRUE(platform.rollBack(1));
        std::this_thread::sleep_for(Milliseconds(300));
        EXPECT_EQ(running.recorder.last().version, 2u);
        platform.setKey(std::string(manifestKey), "{}");
        std::this_thread::sleep_for(Milliseconds(300));
        EXPECT_EQ(running.recorder.last().version, 2u);
        EXPECT_GT(running.reader.status().rejected, 0u);
        platform.publish(samples::published(3, 6));
        EXPECT_TRUE(running.recorder.waitForVersion(3));
    }

    TEST(FakePlatform, RefusesWritesOnTheReadersPort)
    {
        FakePlatform platform;
        platform.publish(samples::published(1, 4));
        boost::asio::io_context context;
        beast::tcp_stream stream(context);
        stream.connect({ boost::asio::ip::make_address(platform.endpoint().address), platform.endpoint().port });
        for (const http::verb verb : { http::verb::put, http::verb::post, http::verb::delete_ }) {
            http::request<http::string_body> request(verb, "/v1/keys/manifest", 11);
            request.body() = "{}";
            request.prepare_payload();
            http::write(stream, request);
            beast::flat_buffer buffer;
            http::response<http::string_body> response;
            http::read(stream, buffer, response);
            EXPECT_EQ(response.result(), http::status::method_not_allowed);
        }
        EXPECT_EQ(platform.counters().refusedWrites, 3u);
    }

    //-------------------------------------------------------------------------
    // ConfigReader under a manual clock
    //-------------------------------------------------------------------------

    // Keys and values in memory; publications may be interleaved key by key.
    class FakeKeyStore {
    public:
        struct Value {
            std::optional<std::string> bytes;
            uint64_t index = 0;
        };

        void set(const std::string& key, const std::string& bytes) { this->values[key] = { bytes, ++this->lastIndex }; }

        void setAll(const PublishedConfig& config)
        {
            for (const auto& [service, bytes] : config.values)
                this->set(serviceKey(service), bytes);
            this->set(std::string(manifestKey), config.manifest);
        }

        Value get(const std::string& key) const
        {
            const auto found = this->values.find(key);
            return found == this->values.end() ? Value() : found->second;
        }

        bool isDown = false;

    private:
        std::map<std::string, Value> values;
        uint64_t lastIndex = 0;
    };

    ConfigReaderOptions manualOptions(uint64_t seed)
    {
        ConfigReaderOptions options;
        options.self = "entry-1";
        options.seed = seed;
        return options;
    }

    // A ConfigReader that reads a FakeKeyStore, one call per step.
    class SteppedReader {
    public:
        SteppedReader(const FakeKeyStore& table, ManualClock& clock, uint64_t seed)
            : reader(manualOptions(seed), clock)
            , table(table)
            , clock(clock)
        {
        }

        // Makes the next call and advances the clock if none is due.
        void step()
        {
            const TimePoint due = this->reader.nextCallTime(PlatformStream::Config);
            if (due > this->clock.now())
                this->clock.set(due);
            const std::optional<PlatformCall> call = this->reader.nextCall(PlatformStream::Config);
            ASSERT_TRUE(call);
            const FakeKeyStore::Value value = this->table.get(call->key);
            if (this->table.isDown)
                this->reader.onFailure(*call, "down");
            else if (call->knownIndex == value.index)
                this->reader.onNotModified(*call);
            else
                this->reader.onValue(*call, value.index, value.bytes);
            this->collect();
        }

        void offer(const std::shared_ptr<const Snapshot>& snapshot)
        {
            this->reader.onPeerSnapshot(snapshot);
            this->collect();
        }

        void collect()
        {
            const PlatformUpdate update = this->reader.takeUpdate();
            if (!update.snapshot)
                return;
            this->reverts += this->inForce && versionOf(*update.snapshot) <= versionOf(*this->inForce) ? 1 : 0;
            this->inForce = update.snapshot;
            for (const ServiceConfig& service : this->inForce->services)
                this->mixedSnapshots += service.slots != this->inForce->services.front().slots ? 1 : 0;
        }

        ConfigReader reader;
        std::shared_ptr<const Snapshot> inForce;
        unsigned reverts = 0; // deliveries that were not newer than the previous one
        unsigned mixedSnapshots = 0; // snapshots with values of different publications

    private:
        const FakeKeyStore& table;
        ManualClock& clock;
    };

    // Baseline of the differential test: uses whatever it reads, without digests or an order of versions.
    class NaiveReader {
    public:
        explicit NaiveReader(const FakeKeyStore& table)
            : table(table)
        {
        }

        void step()
        {
            if (this->table.isDown)
                return;
            const std::vector<std::string> keys = { std::string(manifestKey), "services/alerts", "services/labels" };
            const std::optional<std::string> bytes = this->table.get(keys[this->position]).bytes;
            if (bytes)
                this->read[keys[this->position]] = *bytes;
            this->position = (this->position + 1) % keys.size();
            if (this->position == 0 && this->read.size() == keys.size())
                this->apply();
        }

        unsigned reverts = 0;
        unsigned mixedReads = 0;

    private:
        void apply()
        {
            const uint64_t newVersion = decodeManifest(this->read.at(std::string(manifestKey))).value().version;
            this->reverts += newVersion < this->version ? 1 : 0;
            this->version = newVersion;
            const uint16_t slots = decodeService(this->read.at("services/alerts")).value().slots;
            this->mixedReads += slots != decodeService(this->read.at("services/labels")).value().slots ? 1 : 0;
        }

        const FakeKeyStore& table;
        std::map<std::string, std::string> read;
        size_t position = 0;
        uint64_t version = 0;
    };

    // Random schedule of writes by two operators, outages and restored backups between the reads of both readers.
    struct Schedule {
        explicit Schedule(uint64_t seed)
            : random(seed)
            , reader(this->table, this->clock, seed)
            , naive(this->table)
        {
        }

        void run(size_t steps)
        {
            for (size_t i = 0; i < steps; ++i) {
                const uint64_t choice = this->random() % 10;
                if (choice == 0)
                    this->startPublication(++this->version);
                else if (choice == 1) // an older publication is restored from a backup
                    this->startPublication(this->version - this->random() % std::min<uint64_t>(this->version, 4));
                else if (choice == 2)
                    this->table.isDown = !this->table.isDown;
                else if (choice < 6)
                    this->writeOneKey();
                this->reader.step();
                this->naive.step();
            }
        }

        // Both operators may write the same version with different values.
        void startPublication(uint64_t number)
        {
            const uint16_t slots = static_cast<uint16_t>(1 + 2 * (number % 1000) + this->random() % 2);
            std::deque<std::pair<std::string, std::string>>& queue = this->writes.at(this->random() % 2);
            const PublishedConfig config = samples::published(number, slots);
            for (const auto& [service, bytes] : config.values)
                queue.emplace_back(serviceKey(service), bytes);
            queue.emplace_back(manifestKey, config.manifest);
        }

        void writeOneKey()
        {
            std::deque<std::pair<std::string, std::string>>& queue = this->writes.at(this->random() % 2);
            if (queue.empty())
                return;
            this->table.set(queue.front().first, queue.front().second);
            queue.pop_front();
        }

        std::mt19937_64 random;
        ManualClock clock;
        FakeKeyStore table;
        SteppedReader reader;
        NaiveReader naive;
        std::array<std::deque<std::pair<std::string, std::string>>, 2> writes; // of two operators
        uint64_t version = 1;
    };

    // Only complete and newer configurations are delivered, and the last complete publication takes effect in the end.
    RC_GTEST_PROP(ConfigReader, NeverRevertsNorMixesAndConverges, (uint64_t seed))
    {
        Schedule schedule(seed);
        schedule.run(300);
        schedule.table.isDown = false;
        const PublishedConfig last = samples::published(schedule.version + 1, 3000);
        schedule.table.setAll(last);
        for (int i = 0; i < 20; ++i)
            schedule.reader.step();
        RC_ASSERT(schedule.reader.reverts == 0u);
        RC_ASSERT(schedule.reader.mixedSnapshots == 0u);
        RC_ASSERT(versionOf(*schedule.reader.inForce) == versionOf(*samples::snapshotOf(last)));
    }

    // Checks that the schedule triggers the faults which ConfigReader avoids.
    TEST(ConfigReader, NaiveReaderRevertsAndMixesInTheSameSchedules)
    {
        unsigned naiveReverts = 0;
        unsigned naiveMixes = 0;
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            Schedule schedule(seed);
            schedule.run(300);
            EXPECT_EQ(schedule.reader.reverts, 0u) << "seed " << seed;
            EXPECT_EQ(schedule.reader.mixedSnapshots, 0u) << "seed " << seed;
            naiveReverts += schedule.naive.reverts;
            naiveMixes += schedule.naive.mixedReads;
        }
        RecordProperty("naiveReverts", static_cast<int>(naiveReverts));
        RecordProperty("naiveMixes", static_cast<int>(naiveMixes));
        EXPECT_GT(naiveReverts, 0u);
        EXPECT_GT(naiveMixes, 0u);
    }

    TEST(ConfigReader, ManifestOfOneOperatorWithValuesOfAnotherIsNotUsed)
    {
        ManualClock clock;
        FakeKeyStore table;
        const PublishedConfig a = samples::published(5, 4);
        const PublishedConfig b = samples::published(5, 6);
        table.setAll(a);
        table.set(serviceKey("labels"), b.values.at("labels"));
        SteppedReader stepped(table, clock, 1);
        for (int i = 0; i < 50; ++i)
            stepped.step();
        EXPECT_EQ(stepped.inForce, nullptr);
        EXPECT_GT(stepped.reader.rejectedCount(), 0u);
        table.setAll(b);
        for (int i = 0; i < 10; ++i)
            stepped.step();
        ASSERT_NE(stepped.inForce, nullptr);
        EXPECT_EQ(stepped.inForce->services.front().slots, 6);
    }

    // Whichever publication the platform keeps, all processes end up with the one that has the higher digest.
    TEST(ConfigReader, ReadersConvergeWhenTwoOperatorsPublishOneVersion)
    {
        const std::array<PublishedConfig, 2> published = { samples::published(5, 4), samples::published(5, 6) };
        for (const size_t first : { 0u, 1u }) {
            ManualClock clock;
            FakeKeyStore table;
            SteppedReader early(table, clock, 1);
            SteppedReader late(table, clock, 2);
            table.setAll(published.at(first));
            for (int i = 0; i < 5; ++i)
                early.step();
            table.setAll(published.at(1 - first));
            for (int i = 0; i < 5; ++i) {
                early.step();
                late.step();
            }
            const std::shared_ptr<const Snapshot> ofEarly = early.inForce;
            ASSERT_NE(ofEarly, nullptr);
            ASSERT_NE(late.inForce, nullptr);
            early.offer(late.inForce); // peers exchange the configurations in force
            late.offer(ofEarly);
            EXPECT_EQ(versionOf(*early.inForce), versionOf(*late.inForce));
            EXPECT_EQ(early.reverts + late.reverts, 0u);
        }
    }

    TEST(ConfigReader, BackOffGrowsToItsCapAndResets)
    {
        ManualClock clock;
        FakeKeyStore table;
        table.isDown = true;
        SteppedReader stepped(table, clock, 1);
        for (int i = 0; i < 12; ++i)
            stepped.step();
        const Milliseconds cap = manualOptions(1).maxBackOff;
        const Duration delay = stepped.reader.nextCallTime(PlatformStream::Config) - clock.now();
        EXPECT_GE(delay, cap / 2);
        EXPECT_LE(delay, cap);
        table.isDown = false;
        table.setAll(samples::published(1, 4));
        for (int i = 0; i < 3; ++i)
            stepped.step();
        EXPECT_NE(stepped.inForce, nullptr);
        table.isDown = true;
        stepped.step();
        EXPECT_LE(stepped.reader.nextCallTime(PlatformStream::Config) - clock.now(), manualOptions(1).minBackOff);
    }

    // Guards against a published state that stays invalid and is read more often than the poll interval allows.
    TEST(ConfigReader, LastingInvalidStateIsReadRarely)
    {
        ManualClock clock;
        FakeKeyStore table;
        table.setAll(samples::published(5, 4));
        table.set(serviceKey("alerts"), "{}");
        SteppedReader stepped(table, clock, 1);
        for (int i = 0; i < 40; ++i)
            stepped.step();
        const TimePoint start = clock.now();
        for (int i = 0; i < 20; ++i) // pairs of a manifest and a value
            stepped.step();
        EXPECT_GE(clock.now() - start, 9 * manualOptions(1).pollInterval / 2);
    }

    TEST(ConfigReader, HintInterruptsAWatchAndRetriesWhileThePlatformLags)
    {
        ManualClock clock;
        ConfigReader reader(manualOptions(1), clock);
        const PublishedConfig current = samples::published(5, 4);
        reader.onPeerSnapshot(samples::snapshotOf(current));
        const PlatformCall instances = reader.nextCall(PlatformStream::Instances).value();
        reader.onValue(instances, 1, encodeMembers({ samples::member("entry-1") }));
        ASSERT_TRUE(reader.isWatching());
        const PlatformCall read = reader.nextCall(PlatformStream::Config).value();
        reader.onValue(read, 7, current.manifest);
        clock.advance(Milliseconds(100));
        const PlatformCall watch = reader.nextCall(PlatformStream::Config).value();
        EXPECT_GT(watch.wait, Milliseconds(0));
        EXPECT_EQ(watch.knownIndex, std::optional<uint64_t>(7));
        EXPECT_FALSE(reader.nextCall(PlatformStream::Config));

        reader.onNewerVersionSeen({ 1, 6, 0 });
        const PlatformCall urgent = reader.nextCall(PlatformStream::Config).value();
        EXPECT_EQ(urgent.wait, Milliseconds(0));
        EXPECT_FALSE(urgent.knownIndex);
        reader.onNotModified(watch); // the late outcome of the replaced watch has no effect
        EXPECT_EQ(reader.nextCallTime(PlatformStream::Config), TimePoint::max());
        reader.onValue(urgent, 7, current.manifest);
        const Duration retry = reader.nextCallTime(PlatformStream::Config) - clock.now();
        EXPECT_LE(retry, manualOptions(1).minBackOff);
        reader.onNewerVersionSeen({ 1, 4, 0 }); // older than the one in force
        EXPECT_EQ(reader.nextCallTime(PlatformStream::Config) - clock.now(), retry);
    }

    TEST(ConfigReader, InvalidInstanceListKeepsThePreviousOne)
    {
        ManualClock clock;
        ConfigReader reader(manualOptions(1), clock);
        reader.onValue(reader.nextCall(PlatformStream::Instances).value(), 1, "{\"instances\":1}");
        EXPECT_EQ(reader.takeUpdate().members, nullptr);
        EXPECT_FALSE(reader.nextCall(PlatformStream::Instances));
        clock.advance(manualOptions(1).entryInstancePollInterval * 2);
        EXPECT_TRUE(reader.nextCall(PlatformStream::Instances));
    }

    // Guards against odd values of the platform that end the process, change the published state or end the reads.
    TEST(ConfigReader, OddValuesChangeNothingAndAreReadAgain)
    {
        const std::string deep = std::string(100000, '[') + std::string(100000, ']');
        const std::string row = R"({"control":"10.0.0.1:1","failureDomain":"a","leaving":false,"name":"x","role":)";
        const std::vector<std::string> oddValues
            = { "", "\xff\xfe", "{", deep, std::string(100000, '['), R"({"instances":)" + deep + '}',
                  R"({"instances":[)" + row + "1e400}]}", R"({"instances":[)" + row + deep + "}]}",
                  R"({"instances":[)" + row + R"("odd"}]})", R"({"epoch":1e400,"services":[],"version":1})",
                  R"({"epoch":1,"services":[],"version":18446744073709551616})",
                  R"({"epoch":-1,"services":[],"version":1.5})",
                  R"({"epoch":1,"services":)" + deep + R"(,"version":2})", "null", "4", "[]" };
        ManualClock clock;
        FakeKeyStore table;
        table.setAll(samples::published(5, 4));
        SteppedReader stepped(table, clock, 1);
        for (int i = 0; i < 10; ++i)
            stepped.step();
        ASSERT_NE(stepped.inForce, nullptr);
        const std::vector<Member> members { samples::member("entry-1"), samples::member("entry-2") };
        uint64_t index = 100;
        const auto deliver = [&](PlatformStream stream, const std::string& value) {
            clock.advance(ConfigReaderOptions().pollInterval * 2);
            const std::optional<PlatformCall> call = stepped.reader.nextCall(stream);
            EXPECT_TRUE(call) << "the reads go on";
            if (call)
                stepped.reader.onValue(*call, ++index, value);
            return stepped.reader.takeUpdate();
        };
        EXPECT_TRUE(deliver(PlatformStream::Instances, encodeMembers(members)).members);
        for (const std::string& value : oddValues) {
            EXPECT_FALSE(deliver(PlatformStream::Instances, value).members) << value.substr(0, 80);
            EXPECT_FALSE(deliver(PlatformStream::Config, value).snapshot) << value.substr(0, 80);
            EXPECT_EQ(stepped.reader.version().version, 5U);
        }
        EXPECT_TRUE(deliver(PlatformStream::Instances, encodeMembers(members)).members);
    }

} // namespace
} // namespace wasabicroft
