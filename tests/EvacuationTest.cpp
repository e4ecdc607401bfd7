// Evacuation of failure domains: which orders an entry takes for the present ones, and where it places new flows
// meanwhile.
#include "EntryRouterFixture.h"
#include "backends/EvacuationStatus.h"
#include "platform/StoreWire.h"
#include "wasabicroft/Presence.h"
#include "wasabicroft/Settings.h"

namespace wasabicroft::tests {
namespace {

    using Domains = std::set<std::string>;

    //-----------------------------------------------------------------------------
    // Orders
    //-----------------------------------------------------------------------------

    // Unknown orders would be taken for none, and an entry that starts would state to its peers that there are none.
    TEST(EvacuationState, DistinguishesUnknownFromNone)
    {
        EvacuationState state;
        EXPECT_FALSE(state.isKnown());
        EXPECT_TRUE(state.replace({}, 10));
        EXPECT_TRUE(state.isKnown());
        EXPECT_EQ(state.orders(), (EvacuationOrders { 10, {} }));
    }

    TEST(EvacuationState, FollowsOrderedWithdrawnAndOrderedAgain)
    {
        EvacuationState state;
        state.replace({}, 10);
        EXPECT_TRUE(state.update("a", 11));
        EXPECT_TRUE(state.update("b", 12));
        EXPECT_TRUE(state.remove("a", 13));
        EXPECT_EQ(state.orders(), (EvacuationOrders { 13, { "b" } }));
        EXPECT_TRUE(state.update("a", 14));
        EXPECT_EQ(state.orders(), (EvacuationOrders { 14, { "a", "b" } }));
    }

    // A late answer to an earlier watch would bring a withdrawn order back, or withdraw one that was given anew.
    TEST(EvacuationState, IgnoresOlderChanges)
    {
        EvacuationState state;
        state.replace({ "a" }, 10);
        EXPECT_FALSE(state.remove("a", 9));
        EXPECT_TRUE(state.remove("a", 20));
        EXPECT_FALSE(state.update("a", 15));
        EXPECT_FALSE(state.update("a", 20));
        EXPECT_TRUE(state.update("b", 15)); // a change of another domain that comes late
        EXPECT_EQ(state.orders(), (EvacuationOrders { 20, { "b" } }));
        EXPECT_FALSE(state.replace({ "a" }, 12));
        EXPECT_EQ(state.orders().domains, Domains { "b" });
    }

    // The removal of an order that this entry never saw is later than what a peer may state of it.
    TEST(EvacuationState, RemovalOfUnseenOrderAdvancesPosition)
    {
        EvacuationState state;
        state.replace({}, 10);
        EXPECT_TRUE(state.remove("a", 14));
        EXPECT_FALSE(state.adoptFromPeer({ 12, { "a" } }));
        EXPECT_TRUE(state.orders().domains.empty());
    }

    TEST(EvacuationState, AdoptsNewestStatementOfPeers)
    {
        EvacuationState state;
        EXPECT_FALSE(state.adoptFromPeer({})); // the peer knows nothing, or is of a former version
        EXPECT_FALSE(state.isKnown());
        EXPECT_TRUE(state.adoptFromPeer({ 20, { "a" } }));
        EXPECT_FALSE(state.adoptFromPeer({ 18, {} }));
        EXPECT_EQ(state.orders().domains, Domains { "a" });
        EXPECT_FALSE(state.remove("a", 19)); // what the peer stated includes it
        EXPECT_TRUE(state.remove("a", 21));
        EXPECT_TRUE(state.orders().domains.empty());
    }

    // Positions of a restored store are newer, though its revisions are lower: an order that it lost is withdrawn.
    TEST(EvacuationState, FollowsRestoredStore)
    {
        EvacuationState state;
        state.replace({ "a" }, storePosition(1, 500));
        EXPECT_TRUE(state.replace({}, storePosition(2, 40)));
        EXPECT_FALSE(state.update("a", storePosition(1, 501)));
        EXPECT_FALSE(state.adoptFromPeer({ storePosition(1, 900), { "a" } }));
        EXPECT_TRUE(state.orders().domains.empty());
    }

    TEST(EvacuationState, LimitsDomainsAndReadsListWhenOneLeaves)
    {
        EvacuationState state;
        Domains many;
        for (size_t i = 0; i < maxEvacuatedDomains; ++i)
            many.insert("zone-" + std::to_string(100 + i));
        state.replace(many, 10);
        EXPECT_FALSE(state.update("zone-999", 11));
        EXPECT_EQ(state.droppedDomains(), 1U);
        EXPECT_EQ(state.orders().domains.size(), maxEvacuatedDomains);
        EXPECT_FALSE(state.takeReadRequest());
        state.remove("zone-100", 12);
        EXPECT_TRUE(state.takeReadRequest());
        EXPECT_FALSE(state.takeReadRequest());
        many.insert({ "zone-998", "zone-999" });
        state.replace(many, 13);
        EXPECT_EQ(state.orders().domains.size(), maxEvacuatedDomains);
        EXPECT_EQ(state.droppedDomains(), 2U);
    }

    TEST(EvacuationState, IgnoresUnusableNames)
    {
        EvacuationState state;
        EXPECT_TRUE(state.replace({ "", "a b", "a/b", "b\n", std::string(65, 'x'), "ok" }, 10));
        EXPECT_EQ(state.orders().domains, Domains { "ok" });
        EXPECT_FALSE(state.update("", 11));
        EXPECT_FALSE(state.update("\xff", 12));
        EXPECT_EQ(state.orders().position, 10U);
    }

    //-----------------------------------------------------------------------------
    // Store
    //-----------------------------------------------------------------------------

    StoreRead readOf(bool isWatch, bool withEvacuations)
    {
        StoreRead read;
        read.topic = StoreTopic::Routes;
        read.isWatch = isWatch;
        read.afterRevision = 7;
        read.wait = Milliseconds(2000);
        read.withEvacuations = withEvacuations;
        return read;
    }

    // Without the setting the store sees the same requests as before.
    TEST(EvacuationWire, OneCallReadsRoutesAndOrders)
    {
        EXPECT_EQ(platform::requestTarget(readOf(false, false)), "/-/kv-key?key=op/config");
        EXPECT_EQ(platform::requestTarget(readOf(true, false)), "/-/kv-watch?prefix=op/config&after=7&wait_ms=2000");
        EXPECT_EQ(platform::requestTarget(readOf(false, true)), "/-/kv-range?prefix=op/");
        EXPECT_EQ(platform::requestTarget(readOf(true, true)), "/-/kv-watch?prefix=op/&after=7&wait_ms=2000");
    }

    TEST(EvacuationWire, SettingConcernsTheTopicOfTheRoutes)
    {
        ManualClock clock;
        StoreSyncOptions options;
        StoreSync plain(options, clock);
        EXPECT_FALSE(plain.nextRead(StoreTopic::Routes)->withEvacuations);
        options.readsEvacuations = true;
        StoreSync sync(options, clock);
        EXPECT_TRUE(sync.nextRead(StoreTopic::Routes)->withEvacuations);
        EXPECT_FALSE(sync.nextRead(StoreTopic::Upstreams)->withEvacuations);
    }

    TEST(EvacuationWire, DecodesOrdersWhateverTheirValue)
    {
        const Result<platform::StoreResponse> response = platform::decodeResponse(readOf(false, true),
            R"({"store_revision":30,"has_more":true,"items":[)"
            R"({"key":"op/config","rev":3,"value":"eyJ2ZXJzaW9uIjo0LCJyb3V0ZXMiOltdfQ=="},)"
            R"({"key":"op/evacuate/z1","rev":21,"value":""},{"key":"op/evacuate/z2","rev":22,"value":"%%"},)"
            R"({"key":"op/evacuate/z3","rev":23},{"key":"op/evacuate/","rev":24,"value":""},)"
            R"({"key":"op/evacuate/a/b","rev":25,"value":""},{"key":"op/other","rev":26,"value":""}]})",
            "2");
        ASSERT_TRUE(response);
        ASSERT_TRUE(response.value().routes);
        EXPECT_EQ(response.value().routes->version, 4U);
        ASSERT_EQ(response.value().evacuations.size(), 3U);
        EXPECT_EQ(response.value().evacuations[2].domain, "z3");
        EXPECT_TRUE(response.value().evacuations[2].isOrdered);
        EXPECT_EQ(response.value().evacuations[2].position, storePosition(2, 23));
        EXPECT_EQ(response.value().problems.size(), 2U);
        EXPECT_EQ(response.value().lastKey, "op/other");
    }

    TEST(EvacuationWire, DecodesWithdrawals)
    {
        const Result<platform::StoreResponse> response = platform::decodeResponse(readOf(true, true),
            R"({"store_revision":31,"events":[{"key":"op/evacuate/z1","rev":30,"removed":true},)"
            R"({"key":"op/evacuate/z1","rev":31,"value":"bm93"}]})");
        ASSERT_TRUE(response);
        ASSERT_EQ(response.value().evacuations.size(), 2U);
        EXPECT_FALSE(response.value().evacuations[0].isOrdered);
        EXPECT_TRUE(response.value().evacuations[1].isOrdered);
    }

    //-----------------------------------------------------------------------------
    // Presence
    //-----------------------------------------------------------------------------

    PresenceMessage entryMessage(EvacuationOrders orders)
    {
        PresenceMessage message;
        message.fromEntry = true;
        message.listState = ListState::Complete;
        message.evacuations = std::move(orders);
        return message;
    }

    TEST(EvacuationPresence, RoundTripKeepsOrders)
    {
        for (const EvacuationOrders& orders : { EvacuationOrders {}, EvacuationOrders { storePosition(3, 7), {} },
                 EvacuationOrders { 9, { "a", "b" } } }) {
            const Result<PresenceMessage> decoded = decodePresence(encodePresence(entryMessage(orders)));
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().evacuations, orders);
        }
    }

    // A part of the names would withdraw the other orders: what no entry states makes them unknown.
    TEST(EvacuationPresence, OddStatementsAreUnknown)
    {
        EvacuationOrders many { 9, {} };
        for (size_t i = 0; i <= maxEvacuatedDomains; ++i)
            many.domains.insert("zone-" + std::to_string(i));
        for (const EvacuationOrders& orders : { many, EvacuationOrders { 9, { "a", "" } },
                 EvacuationOrders { UINT64_MAX, { "a" } }, EvacuationOrders { 0, { "a" } } }) {
            const Result<PresenceMessage> decoded = decodePresence(encodePresence(entryMessage(orders)));
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().evacuations, EvacuationOrders {});
        }
    }

    // An entry that the store rejects must learn of an order at once, and programs of the former version, which state
    // none, must not withdraw it.
    TEST(EvacuationPresence, NewestOrdersSpreadAtOnce)
    {
        ManualClock clock;
        FleetOptions options;
        options.self = 2;
        FleetView fleet(options, clock);
        fleet.setSeeds({ 1 });
        StoreCopy copy { 1, 10, true, true, {}, ListState::Complete, false };
        copy.evacuations = { 10, {} };
        fleet.takeMessage(copy);
        EXPECT_TRUE(fleet.takeMessage(copy).second.empty());
        copy.evacuations = { 11, { "a" } };
        const auto [message, targets] = fleet.takeMessage(copy);
        EXPECT_EQ(targets, std::vector<uint32_t> { 1 });
        EXPECT_EQ(message.evacuations, copy.evacuations);

        EXPECT_EQ(fleet.newestEvacuations().position, 0U);
        fleet.onMessage(1, entryMessage({ 20, { "a", "b" } }));
        fleet.onMessage(3, entryMessage({ 15, {} }));
        fleet.onMessage(4, entryMessage({}));
        EXPECT_EQ(fleet.newestEvacuations(), (EvacuationOrders { 20, { "a", "b" } }));
    }

    // The drain of an evacuation outweighs no record: entries would state it to agents, which keep the newest revision.
    TEST(EvacuationPresence, AgentStatesEvacuatedUpstreamAsDraining)
    {
        ManualClock clock;
        AgentAnnouncer announcer(AnnouncerOptions(), {}, clock);
        announcer.setEvacuated(true);
        EXPECT_FALSE(announcer.presence().figures);
        announcer.setUpstreamFigures(UpstreamFigures { 7, 3, false });
        EXPECT_EQ(announcer.presence().figures, (UpstreamFigures { 0, 3, true }));
        announcer.setEvacuated(false);
        EXPECT_EQ(announcer.presence().figures, (UpstreamFigures { 7, 3, false }));
    }

    //-----------------------------------------------------------------------------
    // Placement
    //-----------------------------------------------------------------------------

    // Six upstreams: those with even numbers in domain a, the others in domain b.
    struct EvacuationFixture : RouterFixture {
        EvacuationFixture() { this->useDomains(this->router); }

        void useDomains(EntryRouter& target)
        {
            this->useRoutes();
            std::vector<UpstreamRecord> records;
            for (uint32_t i = 0; i < 6; ++i) {
                records.push_back(upstream(i));
                records.back().failureDomain = i % 2 == 0 ? "a" : "b";
            }
            this->directory.replace(records, 5);
            this->directory.onPeerListState(ListState::Complete);
            target.setUpstreams(this->directory);
        }

        void order(Domains domains, uint64_t position)
        {
            this->router.setEvacuations({ position, std::move(domains) });
            this->router.setUpstreams(this->directory);
        }

        // Opens flows from different ports. Returns the number of offers to each domain.
        std::map<std::string, size_t> openFlows(size_t count)
        {
            std::map<std::string, size_t> offers;
            for (size_t i = 0; i < count; ++i) {
                FlowKey key = flow;
                key.client.port = this->nextPort++;
                this->takeHops();
                this->openFrom(key);
                for (const SentHop& hop : this->takeHops()) {
                    if (hop.kind == HopKind::Offer)
                        ++offers[(hop.agent.address & 1U) == 0 ? "a" : "b"];
                }
            }
            return offers;
        }

        void openFrom(const FlowKey& key)
        {
            const std::vector<uint8_t> bytes = makePacket(key.client, key.route, synFlag, 100, 0, 0);
            this->router.onClientPacket(platform::decodePacket(bytes).value(), bytes);
        }

        uint16_t nextPort = 20000;
    };

    TEST_F(EvacuationFixture, PlacesNoNewFlowInEvacuatedDomain)
    {
        EXPECT_GT(this->openFlows(40)["a"], 0U);
        this->order({ "a" }, 10);
        std::map<std::string, size_t> offers = this->openFlows(40);
        EXPECT_EQ(offers["a"], 0U);
        EXPECT_EQ(offers["b"], 40U);
        this->order({ "b", "nowhere" }, 11);
        offers = this->openFlows(40);
        EXPECT_EQ(offers["b"], 0U);
        EXPECT_EQ(offers["a"], 40U);
        EXPECT_TRUE(this->resets.empty());
    }

    // The naive counterpart: an entry that does not use the orders places flows there. Shows that the test above fails
    // without the exclusion.
    TEST_F(EvacuationFixture, WithoutExclusionFlowsGoToEvacuatedDomain)
    {
        EntryRouterOptions naive = options();
        naive.excludesEvacuated = false;
        size_t offersToEvacuated = 0;
        EntryRouter other(naive,
            { [&](PacketAddress receiver, const HopMessage& message) {
                 offersToEvacuated += message.kind == HopKind::Offer && (receiver.address & 1U) == 0 ? 1U : 0U;
             },
                [](const FlowKey&, uint32_t) {} },
            this->clock);
        const std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
        table->version = 1;
        table->routes[routeAddress].address = routeAddress;
        table->routes[routeAddress].shares = { { service, 1 } };
        other.setRoutes(table);
        other.setEvacuations({ 10, { "a" } });
        other.setUpstreams(this->directory);
        for (uint16_t port = 20000; port < 20040; ++port) {
            const std::vector<uint8_t> bytes = makePacket({ client.address, port }, routeAddress, synFlag, 100, 0, 0);
            other.onClientPacket(platform::decodePacket(bytes).value(), bytes);
        }
        EXPECT_GT(offersToEvacuated, 0U);
    }

    // A refusal that comes late costs the caller its objective: it can't do better by waiting.
    TEST_F(EvacuationFixture, RefusesServiceWhoseUpstreamsAreAllEvacuatedAtOnce)
    {
        this->order({ "a", "b" }, 10);
        EXPECT_TRUE(this->openFlows(3).empty());
        EXPECT_EQ(this->resets.size(), 3U);
        EXPECT_EQ(this->router.counters().refusedEvacuated, 3U);
        EXPECT_TRUE(this->router.isServing()); // open flows still need this entry
        this->order({ "a" }, 11);
        EXPECT_EQ(this->openFlows(3)["b"], 3U);
    }

    // An upstream that got the SYN before the order may have opened the flow: a copy must neither reset it nor bring a
    // flow to an evacuated upstream that lost the first copy.
    TEST_F(EvacuationFixture, CopyOfSynOfferedBeforeTheOrderIsNotRefused)
    {
        this->fromClient(synFlag);
        ASSERT_EQ(this->takeHops().size(), 1U);
        this->order({ "a", "b" }, 10);
        this->clock.advance(Milliseconds(200));
        this->router.onTick();
        this->takeHops();
        this->fromClient(synFlag, 1);
        EXPECT_TRUE(this->resets.empty());
        EXPECT_TRUE(this->takeHops().empty());
    }

    TEST_F(EvacuationFixture, OpenFlowsGoOn)
    {
        this->fromClient(synFlag);
        const PacketAddress agent = this->takeHops().at(0).agent;
        this->fromAgent(agent, HopKind::Accepted, 500);
        this->order({ "a", "b" }, 10);
        this->takeHops(); // directives
        this->fromClient(ackFlag, 501, 100);
        const std::vector<SentHop> hops = this->takeHops();
        ASSERT_EQ(hops.size(), 1U);
        EXPECT_EQ(hops[0].kind, HopKind::Forward);
        EXPECT_EQ(hops[0].agent, agent);
        EXPECT_TRUE(this->resets.empty());
    }

    // An entry that starts looks for the holders of open flows in evacuated domains, too.
    TEST_F(EvacuationFixture, SearchesIncludeEvacuatedUpstreams)
    {
        this->order({ "a", "b" }, 10);
        this->fromClient(ackFlag, 501, 100);
        std::set<PacketAddress> asked;
        for (const SentHop& hop : this->takeHops())
            asked.insert(hop.agent);
        EXPECT_EQ(asked.size(), 6U);
    }

    // The share of 100 new flows that go to an upstream which returned empty beside two others at 90% of their slots.
    // The load that new flows bring is not known yet.
    size_t flowsToReturned(Milliseconds rejoinDuration, Milliseconds sinceReturn)
    {
        ManualClock clock;
        clock.advance(Milliseconds(60000));
        std::mt19937_64 random(7);
        PlacementOptions options;
        options.rejoinDuration = rejoinDuration;
        options.random = [&] { return random(); };
        Placement placement(options, clock);
        std::vector<PlacementUpstream> pool { { { 1 }, "a", 10 }, { { 2 }, "b", 10 }, { { 3 }, "b", 10 } };
        pool[0].rejoinedAt = clock.now() - sinceReturn;
        placement.setPool(service, pool);
        placement.onLoad({ 1 }, { 0, 10, 0, 0 });
        placement.onLoad({ 2 }, { 9, 10, 0, 0 });
        placement.onLoad({ 3 }, { 9, 10, 0, 0 });
        size_t count = 0;
        for (uint64_t hash = 0; hash < 100; ++hash)
            count += placement.candidates(service, hash).front() == UpstreamId { 1 } ? 1U : 0U;
        return count;
    }

    TEST(EvacuationPlacement, ReturnedUpstreamGetsItsShareFirst)
    {
        EXPECT_EQ(flowsToReturned(Milliseconds(0), Milliseconds(0)), 100U); // the naive counterpart
        const size_t share = flowsToReturned(Milliseconds(10000), Milliseconds(0));
        EXPECT_GT(share, 15U);
        EXPECT_LT(share, 55U);
        EXPECT_EQ(flowsToReturned(Milliseconds(10000), Milliseconds(10000)), 100U);
    }

    // Load reports say that domain b is busy when a, which is empty, returns: without the gradual return, all new flows
    // go to a.
    TEST_F(EvacuationFixture, DomainRejoinsGradually)
    {
        const auto reportLoad = [&] {
            for (uint32_t i = 0; i < 6; ++i) {
                HopMessage load;
                load.kind = HopKind::Load;
                load.slots = 200;
                load.runningRequests = i % 2 == 0 ? 0 : 180;
                this->router.onHop(agent(i), load, nullptr);
            }
        };
        this->order({ "a" }, 10);
        reportLoad();
        this->order({}, 11);
        std::map<std::string, size_t> offers = this->openFlows(60);
        EXPECT_GT(offers["a"], 10U);
        EXPECT_GT(offers["b"], 10U);
        this->advance(Milliseconds(10020));
        reportLoad();
        offers = this->openFlows(20);
        EXPECT_GT(offers["a"], offers["b"]);
        // Ordered again within the return, and withdrawn again: it starts anew.
        this->order({ "a" }, 12);
        EXPECT_EQ(this->openFlows(20)["a"], 0U);
        this->order({}, 13);
        reportLoad();
        offers = this->openFlows(60);
        EXPECT_GT(offers["a"], 10U);
        EXPECT_GT(offers["b"], 10U);
    }

    //-----------------------------------------------------------------------------
    // Comparison of /status
    //-----------------------------------------------------------------------------

    EvacuationReport compare(const std::vector<std::string>& statuses)
    {
        std::vector<EvacuationReading> readings;
        readings.reserve(statuses.size());
        for (const std::string& status : statuses)
            readings.push_back(
                readEvacuation("host:" + std::to_string(readings.size()), boost::json::parse(status).as_object())
                    .value());
        return compareEvacuations(readings);
    }

    constexpr const char* entryWithOrder = R"({"routesVersion":1,"evacuatedDomains":["a"],"evacuationPosition":9})";
    constexpr const char* entryWithoutOrders = R"({"routesVersion":1,"evacuatedDomains":[],"evacuationPosition":8})";
    constexpr const char* agentWithOrder
        = R"({"failureDomain":"a","evacuated":true,"evacuationPosition":8,"lastRefusedOffer":null})";
    constexpr const char* agentElsewhere = R"({"failureDomain":"b","evacuated":false,"evacuationPosition":0})";

    // Guards against a host that is taken away although some process does not know the order.
    TEST(EvacuationStatus, IsInForceEverywhereOnlyIfNobodyLacksTheOrder)
    {
        EXPECT_TRUE(compare({ entryWithOrder, agentWithOrder, agentElsewhere }).isInForceEverywhere());
        EXPECT_FALSE(compare({ entryWithOrder, entryWithoutOrders }).isInForceEverywhere());
        EXPECT_FALSE(compare({ entryWithOrder, R"({"routesVersion":1})" }).isInForceEverywhere());
        EXPECT_FALSE(compare({ entryWithOrder, R"({"failureDomain":"a","evacuated":false})" }).isInForceEverywhere());
        EXPECT_FALSE(compare({ entryWithoutOrders, agentWithOrder }).isInForceEverywhere()); // not yet withdrawn
        EXPECT_FALSE(compare({ entryWithoutOrders, agentElsewhere }).isInForceEverywhere()); // no order
        EXPECT_FALSE(compare({ entryWithOrder, R"({"evacuated":false})" }).isInForceEverywhere()); // previous version
        EXPECT_FALSE(readEvacuation("host:1", { { "role", "entry" } }));
    }

    // Guards against output that hides which process lacks the order, which entry still offers flows, and which one no
    // longer states the order to agents.
    TEST(EvacuationStatus, NamesWhatDiffers)
    {
        const auto refusing = [](const std::string& entry, const std::string& age) {
            return R"({"failureDomain":"a","evacuated":true,"evacuationPosition":9,"lastRefusedOffer":{"entry":")"
                + entry + R"(","ageMs":)" + age + "}}";
        };
        const std::string unconfirmed
            = R"({"routesVersion":1,"evacuatedDomains":["a"],"evacuationPosition":9,"evacuationConfirmedMs":30001})";
        EXPECT_EQ(toText(compare({ unconfirmed, R"({"routesVersion":1})", agentWithOrder,
                      refusing("10.0.0.1:7720", "1500"), refusing("10.0.0.2:7720", "60000") })),
            "a: in force at 1 of 2 entries, 3 of 3 agents\n"
            "  position 9 at 3\n"
            "  position 8 at 1: host:2\n"
            "  not in force at entry host:1 (does not know the orders)\n"
            "  unconfirmed at entry host:0\n"
            "  entry 10.0.0.1:7720 still offers flows: refused by host:3 1500 ms before its status\n");
    }

} // namespace
} // namespace wasabicroft::tests
