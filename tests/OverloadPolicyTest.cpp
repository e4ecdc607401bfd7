// Admission of new flows under overload, and the start and end of overload. tests/RequestQueueTest.cpp covers the order
// of waiting requests.
#include "EntryRouterFixture.h"

namespace wasabicroft::tests {
namespace {

    constexpr uint32_t agents = 3;

    // Entry with one route, whose agents state the time until a new request is answered. The admission by this time is
    // switched off in the naive counterpart.
    struct OverloadFixture : RouterFixture {
        void start(unsigned priority, bool refuses = true)
        {
            EntryRouterOptions routerOptions = options();
            routerOptions.admission.refuses = refuses;
            const auto send = [this](PacketAddress agent, const HopMessage& message) {
                if (message.kind == HopKind::Offer)
                    this->offeredTo.push_back(agent);
            };
            const auto reset = [this](const FlowKey& key, uint32_t) { this->resets.push_back(key); };
            this->entryRouter.emplace(routerOptions, EntryRouterHooks { send, reset }, this->clock);
            const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
            Route& route = table->routes[routeAddress];
            route.address = routeAddress;
            route.shares = { { service, 1 } };
            route.limits = RequestLimits { Milliseconds(400), Milliseconds(3000), priority };
            this->entryRouter->setRoutes(table);
            std::vector<UpstreamRecord> records;
            for (uint32_t i = 0; i < agents; ++i)
                records.push_back(upstream(i));
            this->directory.replace(records, 5);
            this->directory.onPeerListState(ListState::Complete);
            this->entryRouter->setUpstreams(this->directory);
        }

        void state(uint32_t number, Milliseconds wait)
        {
            HopMessage load;
            load.kind = HopKind::Load;
            load.service = service;
            load.performance = UpstreamPerformance { wait, std::chrono::milliseconds(50) };
            this->entryRouter->onHop(agent(number), load, nullptr);
        }

        void stateAll(Milliseconds wait)
        {
            for (uint32_t i = 0; i < agents; ++i)
                this->state(i, wait);
        }

        size_t refusedOfNew(size_t flows, uint32_t synCopies = 0)
        {
            this->resets.clear();
            for (size_t i = 0; i < flows; ++i) {
                const std::vector<uint8_t> bytes
                    = makePacket({ client.address, ++this->lastPort }, routeAddress, synFlag, 1001, synCopies, 0);
                this->entryRouter->onClientPacket(platform::decodePacket(bytes).value(), bytes);
            }
            return this->resets.size();
        }

        std::optional<EntryRouter> entryRouter;
        std::vector<PacketAddress> offeredTo;
        uint16_t lastPort = 2000;
    };

    // Guards against flows that wait in vain when all upstreams are overloaded, and against a route whose flows are all
    // refused.
    TEST_F(OverloadFixture, NineOfTenFlowsThatNoUpstreamAnswersInTimeAreRefused)
    {
        this->start(2);
        this->stateAll(Milliseconds(500));
        EXPECT_EQ(this->refusedOfNew(100), 90U);
        EXPECT_EQ(this->entryRouter->overloadCounts().count(routeAddress, OverloadCause::Overloaded), 90U);
        this->stateAll(Milliseconds(380)); // within the margin
        EXPECT_EQ(this->refusedOfNew(20), 0U);
        this->start(2, false);
        this->stateAll(Milliseconds(500));
        EXPECT_EQ(this->refusedOfNew(100), 0U) << "the rule is off";
    }

    // Guards against refusals on figures that are not known: of agents of the previous version, or old ones.
    TEST_F(OverloadFixture, NothingIsRefusedWhileAnUpstreamMayAnswerInTime)
    {
        this->start(2);
        this->state(0, Milliseconds(500));
        this->state(1, Milliseconds(500));
        EXPECT_EQ(this->refusedOfNew(20), 0U);
        EXPECT_EQ(std::set<PacketAddress>(this->offeredTo.begin(), this->offeredTo.end()), std::set { agent(2) })
            << "the others answer late";
        this->state(2, Milliseconds(500));
        EXPECT_GT(this->refusedOfNew(20), 0U);
        this->clock.advance(Milliseconds(1001));
        EXPECT_EQ(this->refusedOfNew(20), 0U);
    }

    // Guards against refusals of flows that are to be served late rather than not at all, and of flows that another
    // entry may have opened with an earlier copy of the SYN.
    TEST_F(OverloadFixture, UrgentFlowsAreRefusedOnlyPastTheirTimeLimit)
    {
        this->start(1);
        this->stateAll(Milliseconds(2900));
        EXPECT_EQ(this->refusedOfNew(20), 0U);
        this->stateAll(Milliseconds(3000));
        EXPECT_EQ(this->refusedOfNew(20, 1), 0U);
        EXPECT_EQ(this->refusedOfNew(20), 18U);
    }

    // Guards against overload that nobody is told of.
    TEST_F(OverloadFixture, OverloadOfAnEntryStartsAndEndsWithLateFlows)
    {
        this->start(2);
        const auto run = [&](size_t steps, Milliseconds wait) {
            for (size_t i = 0; i < steps; ++i) {
                this->clock.advance(Milliseconds(100));
                this->entryRouter->onTick();
                this->stateAll(wait);
                this->refusedOfNew(1);
            }
        };
        run(3, Milliseconds(500));
        EXPECT_FALSE(this->entryRouter->isOverloaded());
        run(3, Milliseconds(500));
        EXPECT_TRUE(this->entryRouter->isOverloaded());
        run(14, Milliseconds(0));
        EXPECT_FALSE(this->entryRouter->isOverloaded());
    }

} // namespace
} // namespace wasabicroft::tests
