// The share of an entry's link that searches may use.
#include "wasabicroft/LinkBudget.h"

#include <gtest/gtest.h>

namespace wasabicroft {
namespace {

    struct LinkBudgetFixture : ::testing::Test {
        LinkBudgetFixture()
            : budget({ .bytesPerSecond = 1000000 }, this->clock)
        {
        }

        // Bytes that searches send in this time, in messages of 1,000 bytes, beside others that are not limited.
        size_t searchBytes(Milliseconds duration, size_t otherBytesPerMillisecond)
        {
            constexpr size_t messageBytes = 1000;
            size_t sent = 0;
            for (Milliseconds time(0); time < duration; time += Milliseconds(1)) {
                this->clock.advance(Milliseconds(1));
                this->budget.onMessage(otherBytesPerMillisecond);
                for (; this->budget.canContinueSearch(); sent += messageBytes)
                    this->budget.onSearchMessage(messageBytes);
            }
            return sent;
        }

        ManualClock clock;
        LinkBudget budget;
    };

    TEST_F(LinkBudgetFixture, SearchesAndOtherMessagesStayWithinTheirShares)
    {
        const double limit = 2 * (LinkBudgetOptions().share + LinkBudgetOptions().reservedShare) + 0.1; // of a second
        EXPECT_LE(static_cast<double>(this->searchBytes(Milliseconds(2000), 0)), limit * 1000000);
        EXPECT_LE(static_cast<double>(this->searchBytes(Milliseconds(2000), 200)), (limit - 2 * 0.2) * 1000000);
    }

    // Guards against flows that are never searched because other messages use the whole link.
    TEST_F(LinkBudgetFixture, SearchesKeepTheirReserve)
    {
        EXPECT_GE(static_cast<double>(this->searchBytes(Milliseconds(2000), 2000)),
            2 * LinkBudgetOptions().reservedShare * 1000000 * 0.9);
    }

    // Guards against searches that all begin and none of which gets all its answers.
    TEST_F(LinkBudgetFixture, SearchesThatHaveBegunGoFirst)
    {
        EXPECT_TRUE(this->budget.canStartSearch());
        this->budget.onSearchMessage(40000);
        EXPECT_TRUE(this->budget.canStartSearch()) << "from the reserve";
        this->budget.onMessage(8000);
        EXPECT_TRUE(this->budget.canContinueSearch());
    }

    // Guards against a search that can never start because it is larger than the burst of a slow link.
    TEST(LinkBudget, ASearchMayExceedTheBurst)
    {
        ManualClock clock;
        LinkBudget budget({ .bytesPerSecond = 1000 }, clock);
        EXPECT_TRUE(budget.canStartSearch());
        budget.onSearchMessage(50000);
        clock.advance(Milliseconds(1000));
        EXPECT_TRUE(budget.canStartSearch());
    }

} // namespace
} // namespace wasabicroft
