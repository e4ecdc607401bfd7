// The explanation of a placement: it must agree with the decision that follows, state what excludes each upstream, and
// change nothing.
#include "EntryRouterFixture.h"
#include "SeededRandom.h"

#include <algorithm>
#include <boost/json.hpp>

namespace wasabicroft::tests {
namespace {

    constexpr ServiceId otherService { 2 };

    struct ExplainedEntry : RouterFixture {
        void list(const std::vector<UpstreamRecord>& records, uint64_t revision = 5)
        {
            this->directory.replace(records, revision);
            this->onPeerListState(ListState::Complete);
        }

        void onLoadOf(uint32_t number, uint16_t running, std::optional<Milliseconds> wait = std::nullopt,
            Milliseconds serviceTime = Milliseconds(20))
        {
            HopMessage load;
            load.kind = HopKind::Load;
            load.slots = 2;
            load.runningRequests = running;
            load.heldFlows = 4U * running;
            if (wait)
                load.performance = { *wait, serviceTime };
            this->router.onHop(agent(number), load, nullptr);
        }
    };

    // An entry in a random state, with two services.
    struct RandomEntry : ExplainedEntry {
        explicit RandomEntry(uint64_t seed)
        {
            this->random.engine.seed(seed);
            const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
            table->version = 1;
            Route& route = table->routes[routeAddress];
            route.address = routeAddress;
            route.shares = { { service, 1 + static_cast<uint32_t>(this->random.below(3)) } };
            if (this->random.below(2) == 0)
                route.shares.push_back({ otherService, 2 });
            route.limits = RequestLimits { Milliseconds(100), Milliseconds(400), this->random.below(2) == 0 ? 2U : 1U };
            table->coldStarts[service] = { Milliseconds(5000), 2 };
            this->router.limitColdStarts(true);
            this->router.setRoutes(table);
            const uint64_t count = 1 + this->random.below(12);
            for (uint32_t i = 0; i < count; ++i) {
                UpstreamRecord record = upstream(i);
                record.service = this->random.below(4) == 0 ? otherService : service;
                record.failureDomain = this->random.below(2) == 0 ? "a" : "b";
                record.coldLeft = Milliseconds(this->random.below(4) == 0 ? 3000 : 0);
                this->records.push_back(record);
            }
            this->list(this->records, this->revision);
        }

        void TestBody() override { }

        void changeDirectory()
        {
            UpstreamRecord& record = this->records.at(this->random.below(this->records.size()));
            record.draining = !record.draining;
            record.revision = ++this->revision;
            this->list(this->records, this->revision);
        }

        void changeEvacuation()
        {
            const bool isOrdered = this->random.below(2) == 0;
            this->router.setEvacuations(
                { ++this->revision, isOrdered ? std::set<std::string> { "a" } : std::set<std::string> {} });
            this->router.setUpstreams(this->directory);
        }

        // A new flow. Its agent refuses it, does not answer, or accepts it.
        void open(const FlowKey& key)
        {
            const std::vector<uint8_t> syn = makePacket(key.client, key.route, synFlag, 1001, 0, 0);
            this->router.onClientPacket(platform::decodePacket(syn).value(), syn);
            const std::vector<SentHop> offers = this->newOffers();
            if (offers.empty() || this->random.below(3) == 0)
                return;
            HopMessage reply;
            reply.kind = this->random.below(3) == 0 ? HopKind::Refused : HopKind::Accepted;
            reply.refusal = HopRefusal::UpstreamDown;
            reply.packet = syn;
            const Packet packet = platform::decodePacket(syn).value();
            this->router.onHop(offers.front().agent, reply, &packet);
        }

        void step()
        {
            const uint64_t change = this->random.below(8);
            const uint32_t number = static_cast<uint32_t>(this->random.below(this->records.size()));
            const uint16_t running = static_cast<uint16_t>(this->random.below(4));
            const Milliseconds wait = this->random.between(Milliseconds(0), Milliseconds(240));
            const Milliseconds serviceTime = this->random.between(Milliseconds(10), Milliseconds(60));
            if (change == 0)
                this->changeDirectory();
            else if (change == 1)
                this->changeEvacuation();
            else if (change == 2)
                this->advance(this->random.between(Milliseconds(20), Milliseconds(1200)));
            else if (change == 3)
                this->onLoadOf(number, running);
            else
                this->onLoadOf(number, running, wait, serviceTime);
            this->seenHops = this->hops.size();
        }

        std::vector<SentHop> newOffers() const
        {
            std::vector<SentHop> offers;
            std::copy_if(this->hops.begin() + static_cast<std::ptrdiff_t>(this->seenHops), this->hops.end(),
                std::back_inserter(offers), [](const SentHop& hop) { return hop.kind == HopKind::Offer; });
            return offers;
        }

        SeededRandom random;
        std::vector<UpstreamRecord> records;
        uint64_t revision = 5;
        size_t seenHops = 0;
    };

    FlowKey flowOf(size_t number) { return { { client.address, static_cast<uint16_t>(1000 + number) }, routeAddress }; }

    // Guards against an explanation that names another upstream, service or outcome than the decision right after it.
    TEST(FlowExplanation, AgreesWithTheDecisionThatFollows)
    {
        std::map<std::string, size_t> outcomes;
        std::set<UpstreamExclusion> exclusions;
        for (uint64_t seed = 1; seed <= 300; ++seed) {
            RandomEntry entry(seed);
            for (size_t i = 0; i < 40; ++i) {
                entry.step();
                const FlowExplanation explanation = entry.router.explainFlow(flowOf(i));
                ASSERT_TRUE(boost::json::parse(encodeJson(explanation)).is_object());
                const size_t resets = entry.resets.size();
                entry.open(flowOf(i));
                const std::vector<SentHop> offers = entry.newOffers();
                bool isExplained = false;
                for (const ServiceExplanation& item : explanation.services) {
                    std::set<UpstreamId> stated;
                    for (const UpstreamExplanation& upstream : item.candidates)
                        stated.insert(upstream.placement.id);
                    for (const UpstreamExplanation& upstream : item.excluded) {
                        exclusions.insert(*upstream.exclusion);
                        stated.insert(upstream.placement.id);
                    }
                    EXPECT_EQ(stated.size(), item.candidates.size() + item.excluded.size());
                    EXPECT_EQ(static_cast<std::ptrdiff_t>(stated.size()),
                        std::count_if(entry.records.begin(), entry.records.end(),
                            [&](const UpstreamRecord& record) { return record.service == item.service; }));
                    const bool isOffered = item.outcome == NewFlowOutcome::Offered;
                    ASSERT_EQ(isOffered, !item.candidates.empty());
                    if (offers.empty())
                        isExplained = isExplained || (!isOffered && entry.resets.size() == resets + 1);
                    else if (offers.front().service == item.service)
                        isExplained = isOffered && offers.front().agent == item.candidates.front().agent;
                }
                ASSERT_TRUE(isExplained) << "seed " << seed << ", flow " << i << ": " << encodeJson(explanation);
                ++outcomes[offers.empty() ? explanation.services.front().cause : "offered"];
            }
        }
        // The states must include those that matter.
        for (const char* outcome : { "offered", "overloaded", "evacuated", "no-upstream" })
            EXPECT_GT(outcomes[outcome], 10U) << outcome;
        EXPECT_GE(exclusions.size(), 7U);
    }

    // Guards against questions that draw from the generator of placement, take a probe or a cold start's token, or
    // count.
    TEST(FlowExplanation, AskingChangesNoDecision)
    {
        for (uint64_t seed = 1; seed <= 100; ++seed) {
            RandomEntry asked(seed);
            RandomEntry other(seed);
            for (size_t i = 0; i < 40; ++i) {
                asked.step();
                other.step();
                for (size_t question = 0; question < 3; ++question)
                    asked.router.explainFlow(flowOf(i + question));
                EXPECT_EQ(asked.hops.size(), asked.seenHops) << "a question sent a message";
                asked.open(flowOf(i));
                other.open(flowOf(i));
            }
            ASSERT_EQ(asked.hops.size(), other.hops.size()) << "seed " << seed;
            for (size_t i = 0; i < asked.hops.size(); ++i) {
                ASSERT_EQ(asked.hops[i].agent, other.hops[i].agent) << "seed " << seed << ", message " << i;
                ASSERT_EQ(asked.hops[i].kind, other.hops[i].kind);
            }
            EXPECT_EQ(asked.resets, other.resets);
            EXPECT_EQ(asked.router.counters().packets, other.router.counters().packets);
            EXPECT_EQ(asked.router.trackedFlows(), other.router.trackedFlows());
        }
    }

    struct Explained : ExplainedEntry {
        ServiceExplanation explain() const { return this->router.explainFlow(flow).services.at(0); }

        // What excludes each upstream, by the number of its record; candidates are left out.
        std::map<std::string, std::string_view> exclusions() const
        {
            std::map<std::string, std::string_view> result;
            for (const UpstreamExplanation& upstream : this->explain().excluded)
                result[upstream.name] = nameOf(*upstream.exclusion);
            return result;
        }
    };

    using Exclusions = std::map<std::string, std::string_view>;

    // Guards against a wrong reason: operators would look for the fault in the wrong place.
    TEST_F(Explained, StatesDrainingEvacuatedAndNotYetUsableUpstreams)
    {
        this->useRoutes();
        UpstreamRecord draining = upstream(1);
        draining.draining = true;
        UpstreamRecord evacuated = upstream(2);
        evacuated.failureDomain = "z";
        this->list({ upstream(0), draining, evacuated });
        this->advance(Milliseconds(5000));
        this->router.setEvacuations({ 6, { "z" } });
        this->directory.update(upstream(3, 7));
        this->router.setUpstreams(this->directory);
        EXPECT_EQ(this->exclusions(),
            (Exclusions { { "host-1", "draining" }, { "host-2", "evacuated" }, { "host-3", "not-yet-usable" } }));
        EXPECT_EQ(this->explain().candidates.at(0).name, "host-0");
        this->list({ draining, evacuated }, 8);
        EXPECT_EQ(this->explain().cause, "evacuated"); // no other upstream is left
    }

    TEST_F(Explained, StatesSilentAndRefusingUpstreams)
    {
        this->useRoutes();
        this->useUpstreams(4);
        for (uint16_t port = 0; port < 60 && this->exclusions().empty(); ++port) { // host-0 does not answer
            const std::vector<uint8_t> syn = makePacket({ client.address, port }, routeAddress, synFlag, 1, 0, 0);
            this->router.onClientPacket(platform::decodePacket(syn).value(), syn);
            this->advance(Milliseconds(40));
            for (uint32_t i = 1; i < 4; ++i)
                this->onLoadOf(i, 0, Milliseconds(0));
            this->advance(Milliseconds(40));
        }
        EXPECT_EQ(this->exclusions(), (Exclusions { { "host-0", "silent" } }));
        this->fromClient(synFlag);
        const SentHop offer = this->takeHops().back();
        HopMessage refusal;
        refusal.kind = HopKind::Refused;
        refusal.refusal = HopRefusal::UpstreamRejecting;
        const Packet syn = platform::decodePacket(offer.packet).value();
        this->router.onHop(offer.agent, refusal, &syn);
        const std::string refusing = "host-" + std::to_string(offer.agent.address - agent(0).address);
        EXPECT_EQ(this->exclusions()[refusing], "refusing");
    }

    TEST_F(Explained, StatesColdUpstreamsThatGotTheirShare)
    {
        const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
        Route& route = table->routes[routeAddress];
        route.shares = { { service, 1 } };
        table->coldStarts[service] = { Milliseconds(5000), 1 };
        this->router.limitColdStarts(true);
        this->router.setRoutes(table);
        UpstreamRecord cold = upstream(0);
        cold.coldLeft = Milliseconds(3000);
        this->list({ cold });
        EXPECT_EQ(this->explain().candidates.at(0).coldLeft, Milliseconds(3000));
        this->fromClient(synFlag);
        EXPECT_EQ(this->exclusions(), (Exclusions { { "host-0", "cold" } }));
    }

    // Upstreams that answer too late come last among those that are asked, and exclude the flow if all of them do.
    TEST_F(Explained, StatesLateAndLowerRankedUpstreams)
    {
        this->useRoutes(); // time limit 1 s
        this->useUpstreams(6);
        this->onLoadOf(this->explain().candidates.at(0).agent.address - agent(0).address, 0, Milliseconds(2000));
        const ServiceExplanation late = this->explain();
        EXPECT_TRUE(late.candidates.size() == 4 && late.excluded.size() == 2);
        EXPECT_TRUE(late.candidates.back().isTooLate && !late.candidates.front().isTooLate);
        EXPECT_EQ(late.candidates.back().placement.expectedWait, Milliseconds(2000));
        this->clock.advance(Milliseconds(250));
        EXPECT_EQ(this->explain().candidates.back().placement.performanceAge, Milliseconds(250));
        for (uint32_t i = 0; i < 6; ++i)
            this->onLoadOf(i, 0, Milliseconds(2000));
        EXPECT_EQ(this->explain().cause, "overloaded");
        std::map<std::string_view, size_t> counts;
        for (const auto& [name, exclusion] : this->exclusions())
            ++counts[exclusion];
        EXPECT_EQ(counts["too-late"], 4U);
        EXPECT_EQ(counts["ranked-behind"], 2U);
    }

    // An operator must not take an order that is drawn at random for a decision.
    TEST_F(Explained, StatesThatTheOrderOfEqualUpstreamsIsRandom)
    {
        this->useRoutes();
        this->useUpstreams(3);
        EXPECT_TRUE(this->explain().candidates.front().placement.isOrderRandom);
        this->onLoadOf(1, 1);
        const ServiceExplanation explanation = this->explain();
        EXPECT_TRUE(explanation.candidates.front().placement.isOrderRandom);
        EXPECT_EQ(explanation.candidates.back().name, "host-1");
        EXPECT_FALSE(explanation.candidates.back().placement.isOrderRandom);
    }

    TEST_F(Explained, StatesMissingRoutesAndConfiguration)
    {
        EXPECT_EQ(this->router.explainFlow(flow).outcome, NewFlowOutcome::Buffered);
        this->useRoutes();
        EXPECT_EQ(this->router.explainFlow(flow).cause, "no-configuration"); // the list of upstreams is missing
        this->useUpstreams(0);
        EXPECT_EQ(this->router.explainFlow(flow).cause, "no-upstream");
        const FlowExplanation unknown = this->router.explainFlow({ client, { routeAddress.address, 1 } });
        EXPECT_EQ(unknown.outcome, NewFlowOutcome::Refused);
        EXPECT_EQ(unknown.cause, "no-route");
        this->router.setRoutes(std::make_shared<RoutingTable>(), true);
        EXPECT_EQ(this->router.explainFlow(flow).outcome, NewFlowOutcome::Buffered);
    }

    // Guards against a guess at what was meant: the operator would get the explanation of another flow.
    TEST(ExplainFlowTarget, OddInputIsRefused)
    {
        const std::string valid = "/explain-flow?client=100.64.0.7:40001&route=198.18.0.1:443";
        EXPECT_EQ(parseExplainFlowTarget(valid).value(), flow);
        EXPECT_EQ(
            parseExplainFlowTarget("/explain-flow?route=198.18.0.1%3A443&client=100.64.0.7%3a40001").value(), flow);
        for (const std::string& target : { std::string("/explain-flow"), std::string("/explain-flow?"),
                 std::string("/explain-flow?client=100.64.0.7:40001"), valid + "&", valid + "&x=1",
                 valid + "&route=1.2.3.4:5", valid + "0000", valid + "%", valid + "%3", valid + "%zz", valid + "%00",
                 valid + " ", std::string("/explain-flow?client=100.64.0.7:0&route=198.18.0.1:443"),
                 std::string("/explain-flow?client=100.64.0.7&route=198.18.0.1:443"),
                 std::string("/explain-flow?client=[::1]:5&route=198.18.0.1:443"),
                 std::string("/explain-flow?client&route"), std::string("/explain-flow?client==&route=") })
            EXPECT_FALSE(parseExplainFlowTarget(target)) << target;
    }

} // namespace
} // namespace wasabicroft::tests
