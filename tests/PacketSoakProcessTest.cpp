// A short run of the fault soak with a fixed seed, and the seeds that once broke a promise; bench/packet-soak.cpp runs
// longer ones.
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

    // Guards against faults that break a promise only together, and against a fleet that does not recover.
    TEST(PacketSoakProcess, RandomFaultsBreakNoPromise) { runSeed(20261204, Milliseconds(12000)); }

    // Guards against a schedule that a seed does not fix, and against faults that are never drawn.
    TEST(PacketSoakSchedule, IsFixedByItsSeedAndHoldsEveryFault)
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
