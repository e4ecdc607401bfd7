// Tests the test doubles and the checks of the load tool, on which the other tests rely. Each check must pass on a run
// without faults and fail on a run with an injected fault.
#include "fakes/Http.h"
#include "fakes/Load.h"
#include "fakes/Pattern.h"
#include "fakes/Relay.h"
#include "fakes/Upstream.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace wasabicroft::fakes {
namespace {

    namespace asio = boost::asio;
    using Tcp = asio::ip::tcp;
    using Udp = asio::ip::udp;
    using SteadyClock = std::chrono::steady_clock;

    constexpr Milliseconds callTimeout(3000);
    constexpr Milliseconds silenceTimeout(300); // long enough to distinguish silence from delay on loopback

    double millisecondsSince(SteadyClock::time_point begin)
    {
        return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
    }

    Result<HttpReply> registerOnce(const Endpoint& endpoint, const std::string& id,
        std::map<std::string, std::string> headers = {}, Milliseconds timeout = callTimeout)
    {
        headers["X-Request-Id"] = id;
        return httpCall(endpoint, "POST", "/register", timeout, headers, "{}");
    }

    UpstreamOptions fastUpstream(const std::string& service, const std::string& name)
    {
        UpstreamOptions options;
        options.service = service;
        options.name = name;
        options.workTime = Milliseconds(5);
        options.feedInterval = Milliseconds(5);
        return options;
    }

    RelayOptions relayTo(std::vector<Endpoint> targets)
    {
        RelayOptions options;
        options.targets = std::move(targets);
        return options;
    }

    // Blocking TCP client whose reads have a timeout.
    class Caller {
    public:
        explicit Caller(const Endpoint& endpoint)
            : socket(this->io)
        {
            this->socket.connect(tcpEndpointOf(endpoint));
        }

        void send(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }
        void shutdownSend() { this->socket.shutdown(Tcp::socket::shutdown_send); }
        void reset()
        {
            this->socket.set_option(asio::socket_base::linger(true, 0));
            this->socket.close();
        }

        // Returns the bytes received until their count, the end of the stream or the timeout is reached.
        std::string receive(size_t count, Milliseconds timeout)
        {
            std::string bytes;
            std::vector<char> chunk(64 * 1024);
            const SteadyClock::time_point end = SteadyClock::now() + timeout;
            while (bytes.size() < count && SteadyClock::now() < end) {
                std::optional<size_t> received;
                this->socket.async_read_some(
                    asio::buffer(chunk), [&](const boost::system::error_code& error, size_t size) {
                        received = error ? 0 : size;
                        this->endReceived = this->endReceived || error == asio::error::eof;
                    });
                this->io.restart();
                this->io.run_until(end);
                if (!received) {
                    this->socket.cancel();
                    this->io.restart();
                    this->io.run();
                }
                if (!received || *received == 0)
                    break;
                bytes.append(chunk.data(), *received);
            }
            return bytes;
        }

        bool endReceived = false; // whether the end of the stream was received

    private:
        asio::io_context io;
        Tcp::socket socket;
    };

    // Non-blocking datagram socket on loopback.
    class DatagramCaller {
    public:
        DatagramCaller()
            : socket(this->io, Udp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        {
            this->socket.non_blocking(true);
        }

        Endpoint endpoint() const { return { "127.0.0.1", this->socket.local_endpoint().port() }; }

        void send(const Endpoint& to, const std::string& bytes)
        {
            this->socket.send_to(asio::buffer(bytes), Udp::endpoint(asio::ip::make_address(to.address), to.port));
        }

        // Returns the next datagram, or an empty string after the timeout.
        std::string receive(Milliseconds timeout)
        {
            const SteadyClock::time_point end = SteadyClock::now() + timeout;
            std::vector<char> bytes(2048);
            do {
                boost::system::error_code error;
                const size_t count = this->socket.receive_from(asio::buffer(bytes), this->lastSender, 0, error);
                if (!error)
                    return { bytes.data(), count };
                std::this_thread::sleep_for(Milliseconds(1));
            } while (SteadyClock::now() < end);
            return {};
        }

        Endpoint sender() const { return { this->lastSender.address().to_string(), this->lastSender.port() }; }

    private:
        asio::io_context io;
        Udp::socket socket;
        Udp::endpoint lastSender;
    };

    //-----------------------------------------------------------------------------
    // [SECTION] Content
    //-----------------------------------------------------------------------------

    TEST(Pattern, DetectsChangedShiftedAndSwappedBytes)
    {
        std::string bytes(100000, ' ');
        fillPattern(0, bytes);
        EXPECT_TRUE(matchesPattern(0, bytes));
        EXPECT_TRUE(matchesPattern(4097, std::string_view(bytes).substr(4097)));
        EXPECT_FALSE(matchesPattern(0, std::string_view(bytes).substr(1)));
        EXPECT_FALSE(matchesPattern(0, bytes.substr(65536) + bytes.substr(0, 65536)));
        EXPECT_EQ(digestOf(bytes), patternDigest(bytes.size()));
        bytes[70000] = static_cast<char>(bytes[70000] ^ 1);
        EXPECT_FALSE(matchesPattern(0, bytes));
        EXPECT_NE(digestOf(bytes), patternDigest(bytes.size()));
    }

    std::string feedLines(std::initializer_list<uint64_t> numbers, const std::string& upstream = "core-1")
    {
        std::string text;
        for (const uint64_t number : numbers)
            text += formatFeedLine({ number, steadyMicroseconds(), "alerts", upstream });
        return text;
    }

    FeedCounts checkFeed(const std::string& bytes)
    {
        FeedChecker checker("alerts");
        for (size_t i = 0; i < bytes.size(); i += 7) // pieces smaller than a line
            checker.consume(std::string_view(bytes).substr(i, 7));
        return checker.counts();
    }

    TEST(FeedChecker, AcceptsACompleteFeed)
    {
        const FeedCounts counts = checkFeed(feedLines({ 0, 1, 2, 3 }));
        EXPECT_EQ(counts.lines, 4U);
        EXPECT_FALSE(counts.isBroken());
        EXPECT_EQ(counts.misdelivered, 0U);
    }

    TEST(FeedChecker, DetectsGapsRepeatsDamageAndForeignLines)
    {
        EXPECT_EQ(checkFeed(feedLines({ 0, 1, 4 })).gaps, 2U);
        EXPECT_EQ(checkFeed(feedLines({ 2 })).gaps, 2U) << "lines missing at the start";
        EXPECT_EQ(checkFeed(feedLines({ 0, 1, 1, 2 })).repeats, 1U);
        EXPECT_EQ(checkFeed(feedLines({ 0, 1 }) + feedLines({ 2 }, "core-2")).changedUpstream, 1U);
        std::string damaged = feedLines({ 0, 1, 2 });
        damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
        EXPECT_EQ(checkFeed(damaged).corrupt, 1U);
        EXPECT_EQ(checkFeed(formatFeedLine({ 0, 0, "labels", "print-1" })).misdelivered, 1U);
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Upstream
    //-----------------------------------------------------------------------------

    TEST(Upstream, RecordsEveryExecutionAndNamesItself)
    {
        const Upstream upstream(fastUpstream("registrations", "core-1"));
        for (int i = 0; i < 3; ++i) {
            const Result<HttpReply> reply = registerOnce(upstream.endpoint(), i < 2 ? "same" : "other");
            ASSERT_TRUE(reply);
            EXPECT_EQ(reply.value().status, 200U);
            EXPECT_EQ(reply.value().headers.at("x-service"), "registrations");
            EXPECT_EQ(reply.value().headers.at("x-upstream"), "core-1");
        }
        const Ledger ledger = upstream.ledger();
        EXPECT_EQ(ledger.executions.at("same").finished, 2U);
        EXPECT_EQ(ledger.executions.at("other").finished, 1U);
        const Result<HttpReply> json = httpCall(upstream.adminEndpoint(), "GET", "/ledger", callTimeout);
        ASSERT_TRUE(json);
        const Result<Ledger> parsed = ledgerFromJson(json.value().body);
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed.value().executions.at("same").started, 2U);
    }

    TEST(Upstream, RecordsForeignAndMalformedRequests)
    {
        const Upstream upstream(fastUpstream("registrations", "core-1"));
        const Result<HttpReply> foreign = registerOnce(upstream.endpoint(), "a", { { "X-Service", "label-print" } });
        ASSERT_TRUE(foreign);
        EXPECT_EQ(foreign.value().status, 421U);
        EXPECT_EQ(httpCall(upstream.endpoint(), "POST", "/register", callTimeout).value().status, 400U);
        Caller garbage(upstream.endpoint());
        garbage.send("\x01\x02 this is not HTTP\r\n\r\n");
        EXPECT_TRUE(garbage.receive(12, callTimeout).starts_with("HTTP/1.1 400"));
        const Ledger ledger = upstream.ledger();
        EXPECT_EQ(ledger.foreign, 1U);
        EXPECT_EQ(ledger.malformed, 2U);
        EXPECT_TRUE(ledger.executions.empty());
    }

    TEST(Upstream, ShedsWithoutExecutingWhenAllSlotsAreBusy)
    {
        UpstreamOptions options = fastUpstream("registrations", "core-1");
        options.slots = 1;
        const Upstream upstream(options);
        std::thread first([&] { EXPECT_TRUE(registerOnce(upstream.endpoint(), "first", { { "X-Work-Ms", "400" } })); });
        while (upstream.ledger().executions.empty())
            std::this_thread::sleep_for(Milliseconds(1));
        const Result<HttpReply> second = registerOnce(upstream.endpoint(), "second");
        first.join();
        ASSERT_TRUE(second);
        EXPECT_EQ(second.value().status, 503U);
        EXPECT_TRUE(second.value().headers.contains("x-not-run"));
        EXPECT_EQ(upstream.ledger().executions.count("second"), 0U);
        EXPECT_EQ(upstream.ledger().shed, 1U);
        EXPECT_EQ(registerOnce(upstream.endpoint(), "third").value().status, 200U) << "the slot was not released";
    }

    TEST(Upstream, AbortsWorkOnDeadlineAndOnReset)
    {
        UpstreamOptions options = fastUpstream("registrations", "core-1");
        options.slots = 1;
        const Upstream upstream(options);
        const Result<HttpReply> late
            = registerOnce(upstream.endpoint(), "late", { { "X-Work-Ms", "2000" }, { "X-Deadline-Ms", "20" } });
        ASSERT_TRUE(late);
        EXPECT_EQ(late.value().status, 504U);
        Caller caller(upstream.endpoint());
        caller.send("POST /register HTTP/1.1\r\nX-Request-Id: reset\r\nX-Work-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
        while (upstream.ledger().executions.count("reset") == 0)
            std::this_thread::sleep_for(Milliseconds(1));
        caller.reset();
        std::this_thread::sleep_for(Milliseconds(100));
        EXPECT_EQ(upstream.ledger().executions.at("late").cancelled, 1U);
        EXPECT_EQ(upstream.ledger().executions.at("reset").cancelled, 1U);
        EXPECT_EQ(upstream.ledger().executions.at("reset").finished, 0U);
        EXPECT_EQ(registerOnce(upstream.endpoint(), "next").value().status, 200U) << "the slot was not released";
    }

    // Guards against treating a half-close as a reset: a client may half-close after its request and wait for the
    // answer.
    TEST(Upstream, AnswersACallerThatHasHalfClosed)
    {
        const Upstream upstream(fastUpstream("registrations", "core-1"));
        Caller caller(upstream.endpoint());
        caller.send("POST /register HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        caller.shutdownSend();
        EXPECT_TRUE(caller.receive(12, callTimeout).starts_with("HTTP/1.1 200"));
        EXPECT_EQ(upstream.ledger().executions.at("a").cancelled, 0U);
    }

    TEST(Upstream, WorksSlowerAfterAColdStartAndAsAStraggler)
    {
        UpstreamOptions options = fastUpstream("registrations", "core-1");
        options.workTime = Milliseconds(20);
        options.coldStart = std::chrono::seconds(60);
        const Upstream cold(options);
        options.coldStart = Milliseconds(0);
        options.stragglerOneIn = 1;
        const Upstream straggling(options);
        SteadyClock::time_point begin = SteadyClock::now();
        ASSERT_TRUE(registerOnce(cold.endpoint(), "a"));
        EXPECT_GE(millisecondsSince(begin), 90) << "starts at 5 times 20 ms and falls";
        begin = SteadyClock::now();
        ASSERT_TRUE(registerOnce(straggling.endpoint(), "a"));
        EXPECT_GE(millisecondsSince(begin), 600) << "30 times 20 ms";
    }

    TEST(Upstream, DrainShowsAtOnceOrLaggedOrNeverInHealthAndIsRecorded)
    {
        UpstreamOptions options = fastUpstream("registrations", "core-1");
        Upstream immediate(options);
        options.healthLag = silenceTimeout;
        Upstream lagging(options);
        options.health = HealthReport::AlwaysReady;
        Upstream alwaysReady(options);
        const auto health = [](const Upstream& upstream) {
            return httpCall(upstream.adminEndpoint(), "GET", "/health", callTimeout).value().status;
        };
        EXPECT_EQ(health(immediate), 200U);
        for (Upstream* upstream : { &immediate, &lagging, &alwaysReady })
            upstream->drain();
        EXPECT_EQ(health(immediate), 503U);
        EXPECT_EQ(health(lagging), 200U);
        std::this_thread::sleep_for(silenceTimeout + Milliseconds(50));
        EXPECT_EQ(health(lagging), 503U);
        EXPECT_EQ(health(alwaysReady), 200U);
        EXPECT_EQ(immediate.ledger().workAfterDrain, 0U);
        EXPECT_TRUE(registerOnce(immediate.endpoint(), "late"));
        EXPECT_EQ(immediate.ledger().workAfterDrain, 1U);
        EXPECT_GE(immediate.ledger().lastWorkAfterDrain, silenceTimeout);
        immediate.undrain();
        EXPECT_EQ(health(immediate), 200U);
    }

    TEST(Upstream, DownloadsAndUploadsAreVerifiable)
    {
        const Upstream upstream(fastUpstream("label-print", "print-1"));
        const Result<HttpReply> download = httpCall(upstream.endpoint(), "GET", "/download?bytes=300001", callTimeout);
        ASSERT_TRUE(download);
        EXPECT_EQ(download.value().body.size(), 300001U);
        EXPECT_TRUE(matchesPattern(0, download.value().body));
        EXPECT_EQ(download.value().headers.at("x-digest"), digestOf(download.value().body));
        std::string body = download.value().body;
        EXPECT_NE(httpCall(upstream.endpoint(), "POST", "/upload", callTimeout, {}, body)
                      .value()
                      .body.find("\"pattern\":true"),
            std::string::npos);
        body[1234] = static_cast<char>(body[1234] ^ 1);
        EXPECT_NE(httpCall(upstream.endpoint(), "POST", "/upload", callTimeout, {}, body)
                      .value()
                      .body.find("\"pattern\":false"),
            std::string::npos);
    }

    TEST(Upstream, EchoRepeatsAllBytesAfterAHalfClose)
    {
        UpstreamOptions options = fastUpstream("echo", "echo-1");
        options.mode = UpstreamMode::Echo;
        const Upstream upstream(options);
        Caller caller(upstream.endpoint());
        caller.send("hello");
        caller.shutdownSend();
        EXPECT_EQ(caller.receive(SIZE_MAX, callTimeout), "echo echo-1\nhello");
        EXPECT_TRUE(caller.endReceived);
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Relay
    //-----------------------------------------------------------------------------

    TEST(Relay, DelaysBothDirectionsAndStallsOnLoss)
    {
        const Upstream upstream(fastUpstream("registrations", "core-1"));
        Relay relay(relayTo({ upstream.endpoint() }));
        LinkConditions conditions;
        conditions.delay = Milliseconds(40);
        relay.setConditions(conditions);
        SteadyClock::time_point begin = SteadyClock::now();
        ASSERT_TRUE(registerOnce(relay.endpoint(), "a"));
        EXPECT_GE(millisecondsSince(begin), 80);
        EXPECT_EQ(relay.counts().stalls, 0U);
        conditions.delay = Milliseconds(0);
        conditions.loss = 1;
        conditions.retransmissionTimeout = Milliseconds(100);
        relay.setConditions(conditions);
        begin = SteadyClock::now();
        ASSERT_TRUE(registerOnce(relay.endpoint(), "b"));
        EXPECT_GE(millisecondsSince(begin), 200) << "one stall in each direction";
        EXPECT_GE(relay.counts().stalls, 2U);
    }

    // Guards against lost or reordered bytes of a stream under jitter, loss and back-pressure.
    TEST(Relay, KeepsStreamsIntactUnderJitterAndLoss)
    {
        const Upstream upstream(fastUpstream("label-print", "print-1"));
        RelayOptions options = relayTo({ upstream.endpoint() });
        options.conditions.jitter = Milliseconds(5);
        options.conditions.loss = 0.001;
        options.conditions.retransmissionTimeout = Milliseconds(2);
        const Relay relay(options);
        const Result<HttpReply> reply
            = httpCall(relay.endpoint(), "GET", "/download?bytes=20000000", std::chrono::seconds(60));
        ASSERT_TRUE(reply) << reply.error().message;
        EXPECT_EQ(reply.value().body.size(), 20000000U);
        EXPECT_TRUE(matchesPattern(0, reply.value().body));
        EXPECT_GT(relay.counts().stalls, 0U);
    }

    TEST(Relay, ACutIsSilentAndDeliversAfterHealing)
    {
        UpstreamOptions options = fastUpstream("echo", "echo-1");
        options.mode = UpstreamMode::Echo;
        const Upstream upstream(options);
        Relay relay(relayTo({ upstream.endpoint() }));
        Caller caller(relay.endpoint());
        caller.send("a");
        EXPECT_EQ(caller.receive(13, callTimeout), "echo echo-1\na");
        relay.cut();
        caller.send("b");
        Caller during(relay.endpoint());
        during.send("c");
        EXPECT_EQ(caller.receive(1, silenceTimeout), "");
        EXPECT_EQ(during.receive(1, silenceTimeout), "");
        EXPECT_FALSE(caller.endReceived) << "the connection must stay open";
        relay.heal();
        EXPECT_EQ(caller.receive(1, callTimeout), "b");
        EXPECT_EQ(during.receive(13, callTimeout), "echo echo-1\nc");
    }

    TEST(Relay, BlackholedConnectionsStaySilentWhileNewOnesWork)
    {
        UpstreamOptions options = fastUpstream("echo", "echo-1");
        options.mode = UpstreamMode::Echo;
        const Upstream upstream(options);
        Relay relay(relayTo({ upstream.endpoint() }));
        Caller before(relay.endpoint());
        before.send("a");
        EXPECT_EQ(before.receive(13, callTimeout), "echo echo-1\na");
        relay.blackholeExisting();
        before.send("b");
        EXPECT_EQ(before.receive(1, silenceTimeout), "");
        relay.heal();
        EXPECT_EQ(before.receive(1, silenceTimeout), "") << "lost connection state must not come back";
        EXPECT_FALSE(before.endReceived);
        Caller after(relay.endpoint());
        after.send("c");
        EXPECT_EQ(after.receive(13, callTimeout), "echo echo-1\nc");
    }

    TEST(Relay, PassesHalfCloseAndReset)
    {
        UpstreamOptions options = fastUpstream("echo", "echo-1");
        options.mode = UpstreamMode::Echo;
        const Upstream upstream(options);
        const Relay relay(relayTo({ upstream.endpoint() }));
        Caller caller(relay.endpoint());
        caller.send("hello");
        caller.shutdownSend();
        EXPECT_EQ(caller.receive(SIZE_MAX, callTimeout), "echo echo-1\nhello");
        EXPECT_TRUE(caller.endReceived);
        Caller resetting(relay.endpoint());
        resetting.send("x");
        EXPECT_EQ(resetting.receive(13, callTimeout).size(), 13U);
        resetting.reset();
        std::this_thread::sleep_for(Milliseconds(100));
        EXPECT_EQ(relay.counts().openConnections, 0U);
    }

    TEST(Relay, FabricSpreadsConnectionsAndDatagramsOverAllTargets)
    {
        const Upstream first(fastUpstream("registrations", "core-1"));
        const Upstream second(fastUpstream("registrations", "core-2"));
        const Relay connections(relayTo({ first.endpoint(), second.endpoint() }));
        for (int i = 0; i < 40; ++i)
            ASSERT_TRUE(registerOnce(connections.endpoint(), "c" + std::to_string(i)));
        EXPECT_GT(first.ledger().executions.size(), 5U);
        EXPECT_GT(second.ledger().executions.size(), 5U);

        DatagramCaller entryA;
        DatagramCaller entryB;
        DatagramCaller caller;
        const Relay fabric(relayTo({ entryA.endpoint(), entryB.endpoint() }));
        for (int i = 0; i < 40; ++i)
            caller.send(fabric.endpoint(), "datagram");
        int receivedByA = 0;
        int receivedByB = 0;
        while (!entryA.receive(Milliseconds(100)).empty())
            ++receivedByA;
        while (!entryB.receive(Milliseconds(100)).empty())
            ++receivedByB;
        EXPECT_EQ(receivedByA + receivedByB, 40);
        EXPECT_GT(receivedByA, 5);
        EXPECT_GT(receivedByB, 5);
        entryA.send(entryA.sender(), "reply");
        EXPECT_EQ(caller.receive(callTimeout), "reply");
        EXPECT_EQ(caller.sender(), fabric.endpoint()) << "replies must come from the address of the fabric";
    }

    TEST(Relay, DropsDatagramsOnLossCutAndBlackhole)
    {
        DatagramCaller entry;
        DatagramCaller caller;
        Relay relay(relayTo({ entry.endpoint() }));
        LinkConditions conditions;
        conditions.loss = 0.5;
        relay.setConditions(conditions);
        for (int i = 0; i < 200; ++i)
            caller.send(relay.endpoint(), "x");
        int received = 0;
        while (!entry.receive(Milliseconds(100)).empty())
            ++received;
        EXPECT_GT(received, 60);
        EXPECT_LT(received, 140);
        EXPECT_EQ(relay.counts().droppedDatagrams, static_cast<uint64_t>(200 - received));
        relay.setConditions({});
        relay.cut();
        caller.send(relay.endpoint(), "cut");
        EXPECT_EQ(entry.receive(silenceTimeout), "");
        relay.heal();
        caller.send(relay.endpoint(), "healed");
        EXPECT_EQ(entry.receive(callTimeout), "healed");
        relay.blackholeExisting();
        caller.send(relay.endpoint(), "swallowed");
        EXPECT_EQ(entry.receive(silenceTimeout), "");
        DatagramCaller newCaller;
        newCaller.send(relay.endpoint(), "new");
        EXPECT_EQ(entry.receive(callTimeout), "new");
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Load tool
    //-----------------------------------------------------------------------------

    // Runs all kinds of load against one upstream for 1.5 s.
    LoadReport runAgainst(const UpstreamOptions& upstreamOptions, const std::string& expectedService = "core")
    {
        const Upstream upstream(upstreamOptions);
        LoadOptions options;
        for (LoadTarget& target : options.targets)
            target = { { upstream.endpoint() }, expectedService, 10, 100000 };
        options.targetFor(LoadKind::Registration).rate = 100;
        options.upstreamAdmins = { upstream.adminEndpoint() };
        options.seconds = 1.5;
        options.workTime = Milliseconds(2);
        // With 1 s, a run under thread sanitizer on a busy machine lost 4 of 19 answers.
        options.timeout = Milliseconds(10000);
        return runLoad(options);
    }

    UpstreamOptions coreOptions()
    {
        UpstreamOptions options = fastUpstream("core", "core-1");
        options.slots = 1000;
        return options;
    }

    std::string joinLines(const std::vector<std::string>& texts)
    {
        std::string all;
        for (const std::string& text : texts)
            all += text + '\n';
        return all;
    }

    TEST(Load, AGoodRunHasNoViolations)
    {
        const LoadReport report = runAgainst(coreOptions());
        EXPECT_TRUE(report.violations().empty()) << joinLines(report.violations());
        for (const KindReport& kind : report.kinds) {
            EXPECT_GT(kind.sent, 0U);
            EXPECT_EQ(kind.count(Outcome::Answered), kind.sent) << reportTable(report);
        }
        EXPECT_GT(report.reportFor(LoadKind::Registration).sent, 90U) << "100 per second for 1.5 s";
        EXPECT_LT(report.reportFor(LoadKind::Registration).sent, 220U);
        EXPECT_EQ(report.feeds.opened, 10U);
        EXPECT_GT(report.feeds.lines.lines, 500U);
        EXPECT_EQ(report.ledger.ledgersRead, 1U);
    }

    TEST(Load, DetectsDuplicates)
    {
        UpstreamOptions options = coreOptions();
        options.faults.duplicateOneIn = 10;
        const LoadReport report = runAgainst(options);
        EXPECT_GT(report.ledger.duplicates, 0U);
        EXPECT_EQ(report.ledger.losses, 0U);
    }

    TEST(Load, DetectsLosses)
    {
        UpstreamOptions options = coreOptions();
        options.faults.loseOneIn = 10;
        const LoadReport report = runAgainst(options);
        EXPECT_GT(report.ledger.losses, 0U);
        EXPECT_EQ(report.ledger.duplicates, 0U);
    }

    TEST(Load, DistinguishesFalseFromTruthfulRefusals)
    {
        UpstreamOptions options = coreOptions();
        options.faults.falseRefusalOneIn = 10;
        EXPECT_GT(runAgainst(options).ledger.falseRefusals, 0U);
        UpstreamOptions small = coreOptions();
        small.slots = 0;
        const LoadReport refused = runAgainst(small);
        EXPECT_EQ(refused.ledger.falseRefusals, 0U);
        EXPECT_EQ(refused.ledger.truthfulRefusals, refused.reportFor(LoadKind::Registration).sent);
    }

    TEST(Load, DetectsBrokenFeeds)
    {
        UpstreamOptions gap = coreOptions();
        gap.faults.feedGapOneIn = 20;
        EXPECT_GT(runAgainst(gap).feeds.lines.gaps, 0U);
        UpstreamOptions repeat = coreOptions();
        repeat.faults.feedRepeatOneIn = 20;
        EXPECT_GT(runAgainst(repeat).feeds.lines.repeats, 0U);
        UpstreamOptions corrupt = coreOptions();
        corrupt.faults.feedCorruptOneIn = 20;
        const LoadReport report = runAgainst(corrupt);
        EXPECT_GT(report.feeds.lines.corrupt, 0U);
        EXPECT_GT(report.feeds.broken, 0U);
    }

    TEST(Load, DetectsMisdeliveredAnswersAndForeignRequests)
    {
        UpstreamOptions options = coreOptions();
        options.faults.answerAsService = "label-print";
        const LoadReport answers = runAgainst(options);
        EXPECT_EQ(
            answers.reportFor(LoadKind::Registration).misdelivered, answers.reportFor(LoadKind::Registration).sent);
        EXPECT_EQ(answers.reportFor(LoadKind::Download).misdelivered, answers.reportFor(LoadKind::Download).sent);
        EXPECT_GT(answers.feeds.lines.misdelivered, 0U);
        const LoadReport requests = runAgainst(coreOptions(), "label-print");
        EXPECT_GE(requests.ledger.foreign, requests.reportFor(LoadKind::Registration).sent);
    }

    // Guards against a feed that ends early or goes silent being counted as good because every line it sent was
    // correct.
    TEST(Load, DetectsFeedsThatEndOrGoSilent)
    {
        const Upstream upstream(coreOptions());
        Relay relay([&] {
            RelayOptions options = relayTo({ upstream.endpoint() });
            options.admin = Endpoint { "127.0.0.1", 0 };
            return options;
        }());
        LoadOptions options;
        options.targetFor(LoadKind::Feed) = { { relay.endpoint() }, "core", 5, 0 };
        options.seconds = 2;
        options.silenceLimit = Milliseconds(500);
        options.actions = { { 1, "/swallow", relay.adminEndpoint() } };
        const LoadReport silent = runLoad(options);
        EXPECT_EQ(silent.feeds.silences, 5U);
        EXPECT_GT(silent.feeds.longestSilence, 0.5);
        ASSERT_EQ(silent.marks.size(), 1U);
        EXPECT_EQ(silent.marks[0].text.find("failed"), std::string::npos);

        options.actions.clear();
        std::unique_ptr<Upstream> leaving = std::make_unique<Upstream>(coreOptions());
        options.targetFor(LoadKind::Feed).addresses = { leaving->endpoint() };
        std::thread stop([&] {
            std::this_thread::sleep_for(Milliseconds(1300));
            leaving.reset();
        });
        const LoadReport ended = runLoad(options);
        stop.join();
        EXPECT_EQ(ended.feeds.endedEarly, 5U);
        EXPECT_GE(ended.feeds.broken, 5U);
    }

    TEST(Load, MissingLedgersAreAViolation)
    {
        LoadOptions options;
        options.seconds = 0.1;
        options.upstreamAdmins = { { "127.0.0.1", 1 } };
        EXPECT_FALSE(runLoad(options).violations().empty());
    }

    TEST(Load, ComparesOutcomesWithTheSumOfAllLedgers)
    {
        Ledger first;
        first.executions = { { "once", { 1, 1, 0 } }, { "twice", { 1, 1, 0 } }, { "refused", { 1, 0, 1 } } };
        Ledger second;
        second.executions = { { "twice", { 1, 1, 0 } }, { "unknown", { 1, 1, 0 } } };
        const LedgerReport report = compareLedgers(
            { { "once", Outcome::Answered }, { "twice", Outcome::Answered }, { "refused", Outcome::NotRun },
                { "lost", Outcome::Answered }, { "true", Outcome::NotRun }, { "unknown", Outcome::Broken },
                { "never", Outcome::TimedOut } },
            { first, second });
        EXPECT_EQ(report.duplicates, 1U);
        EXPECT_EQ(report.losses, 1U);
        EXPECT_EQ(report.falseRefusals, 1U);
        EXPECT_EQ(report.truthfulRefusals, 1U);
        EXPECT_EQ(report.unknownExecuted, 1U);
        EXPECT_EQ(report.unknownNotExecuted, 1U);
    }

    TEST(Load, ImbalanceIsLargestOverMeanOfBusyTimePerWindow)
    {
        std::vector<BusySample> samples;
        for (int second = 0; second <= 4; ++second) {
            samples.push_back({ second * 1.0, "core", "core-1", second * 3.0 });
            samples.push_back({ second * 1.0, "core", "core-2", second * 1.0 });
        }
        const std::vector<ImbalanceWindow> windows = imbalanceWindows(samples, 2);
        ASSERT_EQ(windows.size(), 2U);
        EXPECT_DOUBLE_EQ(windows[0].largestOverMean, 1.5);
    }

    // Guards against a negative busy time in a window: a restarted upstream counts its busy time from zero again.
    TEST(Load, ImbalanceSurvivesARestartOfAnUpstream)
    {
        std::vector<BusySample> samples;
        for (int second = 0; second <= 4; ++second) {
            samples.push_back({ second * 1.0, "core", "core-1", 100 + second * 1.0 });
            samples.push_back({ second * 1.0, "core", "core-2", second < 2 ? 50 + second * 1.0 : second - 1.0 });
        }
        const std::vector<ImbalanceWindow> windows = imbalanceWindows(samples, 4);
        ASSERT_EQ(windows.size(), 1U);
        EXPECT_DOUBLE_EQ(windows[0].largestOverMean, 1);
    }

    TEST(Upstream, BusyTimeCountsWorkInProgress)
    {
        const Upstream upstream(coreOptions());
        std::thread caller([&] { EXPECT_TRUE(registerOnce(upstream.endpoint(), "a", { { "X-Work-Ms", "600" } })); });
        std::this_thread::sleep_for(Milliseconds(300));
        const Result<HttpReply> load = httpCall(upstream.adminEndpoint(), "GET", "/load", callTimeout);
        caller.join();
        ASSERT_TRUE(load);
        const size_t position = load.value().body.find("\"busy_us\":");
        ASSERT_NE(position, std::string::npos);
        EXPECT_GT(std::strtoll(load.value().body.c_str() + position + 10, nullptr, 10), 100000);
    }

    TEST(Load, TheSwingMultipliesTheRate)
    {
        const Swing swing { 3, 10, 2, 5 };
        EXPECT_DOUBLE_EQ(swing.factorAt(9), 1);
        EXPECT_DOUBLE_EQ(swing.factorAt(11), 2);
        EXPECT_DOUBLE_EQ(swing.factorAt(14), 3);
        EXPECT_DOUBLE_EQ(swing.factorAt(18), 2);
        EXPECT_DOUBLE_EQ(swing.factorAt(20), 1);
    }

    TEST(Load, QuantilesUseTheNearestRank)
    {
        KindReport report;
        for (int i = 100; i >= 1; --i)
            report.waitSamples.push_back({ 0, static_cast<float>(i) });
        EXPECT_DOUBLE_EQ(report.quantile(0.5), 50);
        EXPECT_DOUBLE_EQ(report.quantile(0.99), 99);
        EXPECT_DOUBLE_EQ(report.quantile(0.999), 100);
    }

    TEST(Load, ThePageIsSelfContained)
    {
        LoadReport report = runAgainst(coreOptions());
        report.marks.push_back({ 0.5, "/cut <link>" });
        const std::string page = reportPage(report, "trial & error");
        EXPECT_NE(page.find("<svg"), std::string::npos);
        EXPECT_NE(page.find("/cut &lt;link&gt;"), std::string::npos);
        EXPECT_NE(page.find("trial &amp; error"), std::string::npos);
        EXPECT_EQ(page.find("src="), std::string::npos);
        EXPECT_EQ(page.find("href="), std::string::npos);
    }

} // namespace
} // namespace wasabicroft::fakes
