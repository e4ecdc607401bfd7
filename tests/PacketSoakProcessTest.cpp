// A short soak test with a fixed seed; bench/packet-soak.cpp does longer runs and those with the seeds of regressions.
#include "tests/PacketSoak.h"

#include <gtest/gtest.h>

namespace wasabicroft::tests {
namespace {

    void runSeed(uint64_t seed, Milliseconds duration)
    {
        SoakOptions options;
        options.seed = seed;
        options.duration = duration;
        options.programs = PROGRAM_DIRECTORY;
        const SoakResult result = runSoak(options, std::cout);
        for (const std::string& violation : result.statistics.violations)
            ADD_FAILURE() << violation;
        std::cout << result.report;
    }

    // Guards against faults that violate an invariant only in combination, and against programs that do not recover.
    TEST(PacketSoakProcess, RandomFaultsBreakNoPromise) { runSeed(20261204, Milliseconds(12000)); }

    // Guards against a schedule that differs for the same seed, and against faults that are never scheduled.
    TEST(PacketSoakSchedule, DependsOnlyOnTheSeedAndHasEveryFault)
    {
        SoakOptions options;
        options.seed = 7;
        options.duration = Milliseconds(120000);
        std::ostringstream first;
        std::ostringstream second;
        printSchedule(soakSchedule(options), first);
        printSchedule(soakSchedule(options), second);
        EXPECT_EQ(first.str(), second.str());
        for (const std::string_view fault : soakFaultNames)
            EXPECT_NE(first.str().find(fault), std::string::npos) << fault;
    }

} // namespace
} // namespace wasabicroft::tests
