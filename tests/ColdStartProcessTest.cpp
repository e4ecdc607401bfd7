// Runs wasabi-entry and wasabi-agent as processes and measures the load of an upstream that joins (cold start).
#include "Processes.h"
#include "fakes/Load.h"
#include "fakes/Platform.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace wasabicroft::tests {
namespace {

    using namespace std::chrono_literals;

    constexpr uint16_t slots = 4;
    constexpr Milliseconds ramp { 4000 };
    constexpr Milliseconds startTimeout { 10000 };

    struct RampMeasurement {
        unsigned samples = 0;
        unsigned aboveRamp = 0; // Samples with more work in progress than the ramp allowed at that time.
        int64_t mostBusy = 0;
    };

    // Upper limit of the slots that the ramp offers at this time. The agent's ramp begins after the agent's start.
    int64_t maxSlotsOffered(Duration sinceStart)
    {
        const double share
            = std::min(1.0, std::chrono::duration<double>(sinceStart) / std::chrono::duration<double>(ramp));
        return 1 + static_cast<int64_t>(share * (slots - 1));
    }

    // Starts the agent of a pool's only upstream under twice the load that it can handle, and samples its load.
    RampMeasurement measureJoinUnderLoad(Milliseconds configuredRamp)
    {
        fakes::UpstreamOptions upstreamOptions;
        upstreamOptions.slots = 2 * slots; // So that the upstream's own limit does not hide work above the ramp.
        fakes::Upstream upstream(upstreamOptions);
        FakePlatform platform;
        ServiceConfig service;
        service.name = "service";
        const Endpoint listenEndpoint = freeEndpoint();
        const Endpoint link = freeEndpoint();
        service.listeners = { { "registrations", listenEndpoint, TrafficClass::Request } };
        service.upstreams = { { "upstream-1", "a", link, upstream.endpoint(), false } };
        service.slots = slots;
        service.maxQueueWait = Milliseconds(1000);
        service.rampDuration = configuredRamp;
        service.refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        platform.publish(encodeConfig(1, 1, { service }));
        ProcessGroup processes(PROGRAM_DIRECTORY);
        const Endpoint entryAdmin = freeEndpoint();
        processes.start("entry", "wasabi-entry",
            { "--name", "entry-1", "--platform", toString(platform.endpoint()), "--link-endpoint",
                toString(freeEndpoint()), "--admin-endpoint", toString(entryAdmin), "--log-threshold", "error" });
        EXPECT_TRUE(waitForStatus(entryAdmin, "/ready", 200, startTimeout)) << processes.allLogs();

        fakes::LoadOptions load;
        load.targetFor(fakes::LoadKind::Registration) = { { listenEndpoint }, "service", 160, 0 };
        load.seconds = 6;
        load.timeout = Milliseconds(3000);
        std::thread callers([&load] { fakes::runLoad(load); });
        const TimePoint started = std::chrono::steady_clock::now();
        processes.start("agent", "wasabi-agent",
            { "--name", "upstream-1", "--platform", toString(platform.endpoint()), "--link-endpoint", toString(link),
                "--admin-endpoint", toString(freeEndpoint()), "--log-threshold", "error" });
        RampMeasurement measurement;
        while (std::chrono::steady_clock::now() - started < 5500ms) {
            const Result<fakes::HttpReply> reply = fakes::httpCall(upstream.adminEndpoint(), "GET", "/load", 1000ms);
            const Duration now = std::chrono::steady_clock::now() - started;
            if (reply) {
                const int64_t busy = boost::json::parse(reply.value().body).at("busy").to_number<int64_t>();
                ++measurement.samples;
                measurement.aboveRamp += busy > maxSlotsOffered(now) ? 1 : 0;
                measurement.mostBusy = std::max(measurement.mostBusy, busy);
            }
            std::this_thread::sleep_for(5ms);
        }
        callers.join();
        return measurement;
    }

    // Guards against a joining upstream that gets all new flows at once, which is more work than its ramp allows.
    TEST(ColdStartProcess, JoiningUpstreamNeverWorksAboveItsRamp)
    {
        const RampMeasurement measurement = measureJoinUnderLoad(ramp);
        EXPECT_GT(measurement.samples, 100U);
        EXPECT_EQ(measurement.aboveRamp, 0U);
        EXPECT_EQ(measurement.mostBusy, slots); // All slots are used after the ramp.
    }

    // Shows that the check above fails without a ramp.
    TEST(ColdStartProcess, WorkIsAboveTheRampWithoutTheMechanism)
    {
        EXPECT_GT(measureJoinUnderLoad(Milliseconds(0)).aboveRamp, 0U);
    }

} // namespace
} // namespace wasabicroft::tests
