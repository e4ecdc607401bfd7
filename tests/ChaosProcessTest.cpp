// A short chaos run with a fixed seed; bench/chaos.cpp does longer runs.
#include "tests/Chaos.h"

#include <gtest/gtest.h>

namespace wasabicroft::tests {
namespace {

    // Guards against violations of R2 to R6 that only a combination of faults causes, and against a fleet that does not
    // recover.
    TEST(ChaosProcess, RandomFaultsBreakNoGuarantee)
    {
        ChaosOptions options;
        options.seed = 20261204;
        options.programDirectory = PROGRAM_DIRECTORY;
        const ChaosResult result = runChaos(options, std::cout);
        for (const std::string& violation : result.violations)
            ADD_FAILURE() << violation;
        std::cout << result.report;
    }

    // Guards against a schedule that differs between runs with the same seed, and against faults that are never chosen.
    TEST(ChaosSchedule, IsFixedByItsSeedAndHoldsEveryFault)
    {
        std::ostringstream first;
        std::ostringstream second;
        printSchedule(chaosSchedule(7, Milliseconds(120000)), first);
        printSchedule(chaosSchedule(7, Milliseconds(120000)), second);
        EXPECT_EQ(first.str(), second.str());
        for (const std::string_view fault : chaosFaultNames)
            EXPECT_NE(first.str().find(fault), std::string::npos) << fault;
    }

} // namespace
} // namespace wasabicroft::tests
