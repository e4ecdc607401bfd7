// Guards reading of the platform: only complete and newer configurations are delivered, whatever the platform does.
#include "backends/PlatformReader.h"

#include "ConfigSamples.h"
#include "fakes/Platform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wasabicroft {
namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;

    constexpr Milliseconds patience { 8000 }; // bound of every wait

    // Collects what a PlatformReader delivers and checks that versions rise.
    class Recorder {
    public:
        void take(const PlatformUpdate& update)
        {
            const std::lock_guard lock(this->mutex);
            if (update.snapshot) {
                EXPECT_TRUE(this->versions.empty() || this->versions.back() < versionOf(*update.snapshot));
                this->versions.push_back(versionOf(*update.snapshot));
                this->slots = update.snapshot->services.front().slots;
                for (const ServiceConfig& service : update.snapshot->services)
                    this->isMixed |= service.slots != this->slots;
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
            return this->isMixed;
        }

    private:
        bool wait(const std::function<bool()>& condition)
        {
            std::unique_lock lock(this->mutex);
            return this->changed.wait_for(lock, patience, condition);
        }

        mutable std::mutex mutex;
        std::condition_variable changed;
        std::vector<ConfigVersion> versions;
        std::optional<size_t> memberCount;
        uint16_t slots = 0;
        bool isMixed = false;
    };

    struct RunningReader {
        explicit RunningReader(const FakePlatform& platform, const std::string& name = "entry-1")
            : reader(options(platform, name), this->clock, [this](const PlatformUpdate& u) { this->recorder.take(u); })
        {
            this->reader.start();
        }

        static PlatformReaderOptions options(const FakePlatform& platform, const std::string& name)
        {
            PlatformReaderOptions options;
            options.platform = platform.endpoint();
            options.self = name;
            options.timing.pollInterval = Milliseconds(100);
            options.timing.entryInstancePollInterval = Milliseconds(100);
            options.timing.watchSpacing = Milliseconds(5);
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

} // namespace
} // namespace wasabicroft
