// Tests of the limit of log lines.
#include "wasabicroft/Log.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace wasabicroft::tests {
namespace {

    // Guards against a change of state that the log leaves out because lines about single flows used up the limit.
    TEST(Log, LinesAboutFlowsDoNotSuppressChangesOfState)
    {
        constexpr uint64_t limit = 5;
        const std::filesystem::path path = testing::TempDir() + "wasabicroft-log-" + std::to_string(::getpid());
        LogOptions options;
        options.file = path;
        options.maxLinesPerSecond = limit;
        startLog(options);
        for (uint64_t flow = 0; flow < limit * 20; ++flow)
            logEvent(Event::PacketFlowOffered, { { "flow", flow } });
        logEvent(Event::RoutesInForce, { { "version", 7 } });
        stopLog();
        std::stringstream text;
        text << std::ifstream(path).rdbuf();
        std::filesystem::remove(path);
        EXPECT_NE(text.str().find("name=routes-in-force version=7"), std::string::npos);
        EXPECT_EQ(text.str().find("flow=99"), std::string::npos);
    }

} // namespace
} // namespace wasabicroft::tests
