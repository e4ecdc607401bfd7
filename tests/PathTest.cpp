// Runs entries, an agent and a small upstream in one process on loopback, with kernel sockets and real time.
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "wasabicroft/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <poll.h>
#include <random>
#include <thread>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using asio::ip::udp;
    using boost::system::error_code;
    using namespace std::chrono_literals;

    constexpr std::chrono::seconds testTimeout { 20 };

    // Runs one io_context on a thread, as the daemons do.
    class TrafficThread {
    public:
        TrafficThread()
            : guard(asio::make_work_guard(this->context))
            , thread([this] { this->context.run(); })
        {
        }
        ~TrafficThread() { this->stop(); }

        void stop()
        {
            this->context.stop();
            if (this->thread.joinable())
                this->thread.join();
        }

        template <typename Function> auto call(Function function)
        {
            std::packaged_task<decltype(function())()> task(std::move(function));
            std::future<decltype(function())> result = task.get_future();
            asio::post(this->context, [&task] { task(); });
            return result.get();
        }

        asio::io_context context;

    private:
        asio::executor_work_guard<asio::io_context::executor_type> guard;
        std::thread thread;
    };

    // Reads available bytes; fails after testTimeout, so that no test blocks forever.
    template <typename Buffers> size_t readSome(tcp::socket& socket, const Buffers& buffers, error_code& error)
    {
        pollfd waiting { socket.native_handle(), POLLIN, 0 };
        const int limit = static_cast<int>(std::chrono::duration_cast<Milliseconds>(testTimeout).count());
        if (::poll(&waiting, 1, limit) <= 0) {
            error = asio::error::timed_out;
            return 0;
        }
        return socket.read_some(buffers, error);
    }

    // Serves each connection on a thread of its own.
    class Upstream {
    public:
        explicit Upstream(std::function<void(tcp::socket&)> connectionHandler)
            : handler(std::move(connectionHandler))
            , acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
            , thread([this] { this->serve(); })
        {
        }
        ~Upstream()
        {
            this->stopping = true;
            error_code ignored;
            tcp::socket wakeUp(this->context);
            wakeUp.connect(this->acceptor.local_endpoint(), ignored);
            this->thread.join();
            for (std::thread& worker : this->workers)
                worker.join();
        }

        Endpoint endpoint() const { return fromTcp(this->acceptor.local_endpoint()); }
        std::atomic<unsigned> connections = 0;

    private:
        void serve()
        {
            while (!this->stopping) {
                tcp::socket socket = this->acceptor.accept();
                if (this->stopping)
                    return;
                ++this->connections;
                this->workers.emplace_back(
                    [this, connection = std::move(socket)]() mutable { this->handler(connection); });
            }
        }

        std::function<void(tcp::socket&)> handler;
        asio::io_context context;
        tcp::acceptor acceptor;
        std::atomic<bool> stopping = false;
        std::vector<std::thread> workers;
        std::thread thread;
    };

    void echo(tcp::socket& socket)
    {
        std::vector<char> buffer(64 * 1024);
        error_code error;
        while (true) {
            const size_t size = readSome(socket, asio::buffer(buffer), error);
            if (error)
                break;
            asio::write(socket, asio::buffer(buffer.data(), size), error);
        }
        socket.shutdown(tcp::socket::shutdown_send, error);
    }

    std::string randomBytes(size_t size)
    {
        std::mt19937_64 generator(size);
        std::string bytes(size, '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(generator());
        return bytes;
    }

    std::string readToEnd(tcp::socket& socket, error_code& error)
    {
        std::string bytes;
        std::vector<char> buffer(64 * 1024);
        while (true) {
            const size_t size = readSome(socket, asio::buffer(buffer), error);
            bytes.append(buffer.data(), size);
            if (error)
                return bytes;
        }
    }

    class PathTest : public testing::Test {
    protected:
        void SetUp() override { abortOnViolation(true); }

        void TearDown() override
        {
            for (const std::unique_ptr<EntryServer>& entry : this->entries)
                this->entryThread.call([&] { entry->stop(); });
            if (this->agent)
                this->agentThread.call([this] { this->agent->stop(); });
            this->entryThread.stop();
            this->agentThread.stop();
        }

        // Starts agent and entries for the service "core" with a feed, a request and a bulk listener.
        void startPath(const Endpoint& upstream, size_t entryCount = 1)
        {
            AgentOptions agentOptions;
            agentOptions.name = "host-1";
            agentOptions.linkEndpoint = { "127.0.0.1", 0 };
            this->agent = std::make_unique<AgentServer>(
                this->agentThread.context, agentOptions, this->clock, this->agentMetrics);
            this->agentEndpoint = this->agentThread.call([this] { return this->agent->start().value(); });
            this->upstream = upstream;
            for (size_t i = 0; i < entryCount; ++i)
                this->entries.push_back(std::make_unique<EntryServer>(
                    this->entryThread.context, this->entryOptions, this->clock, this->entryMetrics));
            this->publish(this->snapshot(1));
            this->entryThread.call([this] {
                for (const std::unique_ptr<EntryServer>& entry : this->entries)
                    entry->start();
            });
        }

        std::shared_ptr<Snapshot> snapshot(uint64_t version) const
        {
            ServiceConfig service;
            service.name = "core";
            service.listeners = { { "alerts", { "127.0.0.1", 0 }, TrafficClass::Feed },
                { "orders", { "127.0.0.1", 0 }, TrafficClass::Request },
                { "sheets", { "127.0.0.1", 0 }, TrafficClass::Bulk } };
            service.upstreams = { { "host-1", "a", this->agentEndpoint, this->upstream, false } };
            service.refusal = "not run\n";
            const std::shared_ptr<Snapshot> result = std::make_shared<Snapshot>();
            result->manifest.version = version;
            result->services = { service };
            return result;
        }

        void publish(const std::shared_ptr<const Snapshot>& snapshot)
        {
            this->agentThread.call([&] { this->agent->applySnapshot(snapshot); });
            this->entryThread.call([&] {
                for (const std::unique_ptr<EntryServer>& entry : this->entries)
                    entry->applySnapshot(snapshot);
            });
        }

        Endpoint listener(const std::string& name, size_t entry = 0)
        {
            return this->entryThread.call(
                [&] { return this->entries[entry]->boundEndpoint("core", name).value_or(Endpoint()); });
        }

        tcp::socket connect(const std::string& name)
        {
            tcp::socket socket(this->callerContext);
            socket.connect(toTcp(this->listener(name)));
            return socket;
        }

        static bool waitForInvalidFrames(const Metrics& metrics, const std::string& labels, uint64_t count)
        {
            for (int i = 0; i < 500; ++i) {
                if (metrics.counter("wasabi_invalid_frames_total", labels) >= count)
                    return true;
                std::this_thread::sleep_for(10ms);
            }
            return false;
        }

        SystemClock clock;
        Metrics entryMetrics;
        Metrics agentMetrics;
        EntryOptions entryOptions;
        asio::io_context callerContext;
        Endpoint agentEndpoint;
        Endpoint upstream;
        TrafficThread agentThread;
        TrafficThread entryThread;
        std::unique_ptr<AgentServer> agent;
        std::vector<std::unique_ptr<EntryServer>> entries;
    };

    // Guards against an answer that is truncated or altered.
    TEST_F(PathTest, AnswerOfAnHttpRequestArrivesWhole)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
        Upstream http([&](tcp::socket& socket) {
            std::string request;
            error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            asio::write(socket, asio::buffer(answer), error);
        });
        this->startPath(http.endpoint());
        tcp::socket caller = this->connect("orders");
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: core\r\n\r\n")));
        error_code error;
        EXPECT_EQ(readToEnd(caller, error), answer);
        EXPECT_EQ(error, asio::error::eof);
    }

    // Guards against lost, duplicate or reordered bytes, and against a half-close that ends the other direction.
    TEST_F(PathTest, TenMegabytesAreEchoedAfterAHalfClose)
    {
        Upstream echoing(echo);
        this->startPath(echoing.endpoint());
        const std::string sent = randomBytes(10 * 1024 * 1024);
        tcp::socket caller = this->connect("sheets");
        std::thread writer([&] {
            error_code ignored;
            asio::write(caller, asio::buffer(sent), ignored);
            caller.shutdown(tcp::socket::shutdown_send, ignored);
        });
        error_code error;
        const std::string received = readToEnd(caller, error);
        writer.join();
        EXPECT_EQ(error, asio::error::eof) << error.message();
        EXPECT_EQ(received.size(), sent.size());
        EXPECT_TRUE(received == sent);
    }

    // Guards against an upstream's half-close that also ends the direction from the caller.
    TEST_F(PathTest, CallerGoesOnAfterTheUpstreamFinished)
    {
        std::promise<std::string> received;
        Upstream finishing([&](tcp::socket& socket) {
            error_code error;
            asio::write(socket, asio::buffer(std::string("greeting")), error);
            socket.shutdown(tcp::socket::shutdown_send, error);
            received.set_value(readToEnd(socket, error));
        });
        this->startPath(finishing.endpoint());
        tcp::socket caller = this->connect("orders");
        error_code error;
        EXPECT_EQ(readToEnd(caller, error), "greeting");
        EXPECT_EQ(error, asio::error::eof);
        asio::write(caller, asio::buffer(std::string("late order")));
        caller.shutdown(tcp::socket::shutdown_send);
        EXPECT_EQ(received.get_future().get(), "late order");
    }

    // Guards against unbounded buffers when a reader is slow: back-pressure must stop the sender.
    TEST_F(PathTest, SlowReadersStopTheSender)
    {
        std::promise<void> mayRead;
        std::shared_future<void> start = mayRead.get_future().share();
        const size_t size = 32 * 1024 * 1024;
        Upstream slow([&](tcp::socket& socket) {
            start.wait_for(testTimeout);
            error_code error;
            const std::string bytes = readToEnd(socket, error);
            asio::write(socket, asio::buffer(std::to_string(bytes.size())), error);
        });
        this->startPath(slow.endpoint());
        tcp::socket caller = this->connect("sheets");
        caller.non_blocking(true);
        const std::string bytes(size, 'x');
        size_t sent = 0;
        error_code error;
        const TimePoint limit = this->clock.now() + 1s;
        while (sent < size && this->clock.now() < limit) {
            sent += caller.write_some(asio::buffer(bytes.data() + sent, size - sent), error);
            if (error)
                std::this_thread::sleep_for(1ms);
        }
        EXPECT_LT(sent, size) << "all bytes were taken although the upstream read none";
        mayRead.set_value();
        caller.non_blocking(false);
        asio::write(caller, asio::buffer(bytes.data() + sent, size - sent));
        caller.shutdown(tcp::socket::shutdown_send);
        EXPECT_EQ(readToEnd(caller, error), std::to_string(size));
    }

    // Guards against a configuration change that breaks an open flow or does not take effect.
    TEST_F(PathTest, FeedStaysOpenAcrossAConfigurationChange)
    {
        Upstream echoing(echo);
        this->startPath(echoing.endpoint());
        tcp::socket feed = this->connect("alerts");
        const auto roundTrip = [&feed] {
            asio::write(feed, asio::buffer(std::string("alert")));
            std::string answer(5, '\0');
            asio::read(feed, asio::buffer(answer));
            return answer;
        };
        EXPECT_EQ(roundTrip(), "alert");
        const Endpoint orders = this->listener("orders");
        const std::shared_ptr<Snapshot> changed = this->snapshot(2);
        ServiceConfig& service = changed->services.front();
        std::erase_if(service.listeners, [](const ListenerConfig& listener) { return listener.name != "sheets"; });
        service.listeners.push_back({ "labels", { "127.0.0.1", 0 }, TrafficClass::Request });
        service.upstreams.front().leaving = true;
        this->publish(changed);
        EXPECT_EQ(roundTrip(), "alert");
        EXPECT_NE(this->listener("labels").port, 0);
        tcp::socket late(this->callerContext);
        error_code error;
        late.connect(toTcp(orders), error);
        EXPECT_EQ(error, asio::error::connection_refused);
        this->publish(this->snapshot(1));
        EXPECT_NE(this->listener("labels").port, 0) << "an older version must not take effect";
        EXPECT_EQ(roundTrip(), "alert");
    }

    // Guards against a wrong "not run": the refusal bytes may be sent only if no byte reached an upstream.
    TEST_F(PathTest, RefusalBytesAreSentOnlyWhenNothingRan)
    {
        tcp::acceptor unused(this->callerContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const Endpoint closedPort = fromTcp(unused.local_endpoint());
        unused.close();
        this->startPath(closedPort);
        error_code error;
        tcp::socket caller = this->connect("orders");
        asio::write(caller, asio::buffer(std::string("order")));
        EXPECT_EQ(readToEnd(caller, error), "not run\n");
        EXPECT_EQ(error, asio::error::eof);

        Upstream resetting([](tcp::socket& socket) {
            std::string order(5, '\0');
            error_code ignored;
            asio::read(socket, asio::buffer(order), ignored);
            resetConnection(socket);
        });
        this->upstream = resetting.endpoint();
        this->publish(this->snapshot(2));
        tcp::socket broken = this->connect("orders");
        asio::write(broken, asio::buffer(std::string("order")));
        EXPECT_EQ(readToEnd(broken, error), "");
        EXPECT_EQ(error, asio::error::connection_reset);
        EXPECT_EQ(resetting.connections, 1U);
    }

    // Guards against work that runs after a refusal, and against an agent that accepts work while it drains.
    TEST_F(PathTest, DrainingUpstreamGetsNoNewFlow)
    {
        Upstream echoing(echo);
        this->startPath(echoing.endpoint());
        this->agentThread.call([this] { this->agent->applyHealth(UpstreamHealth::Draining); });
        tcp::socket caller = this->connect("orders");
        error_code error;
        EXPECT_EQ(readToEnd(caller, error), "not run\n");
        EXPECT_EQ(echoing.connections, 0U);
        this->agentThread.call([this] { this->agent->applyHealth(UpstreamHealth::Ready); });
        tcp::socket next = this->connect("orders");
        asio::write(next, asio::buffer(std::string("order")));
        next.shutdown(tcp::socket::shutdown_send);
        EXPECT_EQ(readToEnd(next, error), "order");
    }

    // Guards against a PROXY header that names the wrong caller or counts as bytes of the flow.
    TEST_F(PathTest, ProxyHeaderNamesTheCaller)
    {
        std::promise<std::string> received;
        Upstream recording([&](tcp::socket& socket) {
            error_code error;
            received.set_value(readToEnd(socket, error));
        });
        this->startPath(recording.endpoint());
        const std::shared_ptr<Snapshot> changed = this->snapshot(2);
        changed->services.front().proxyHeader = true;
        this->publish(changed);
        tcp::socket caller = this->connect("orders");
        const tcp::endpoint local = caller.local_endpoint();
        asio::write(caller, asio::buffer(std::string("order")));
        caller.shutdown(tcp::socket::shutdown_send);
        const std::string bytes = received.get_future().get();
        ASSERT_EQ(bytes.size(), 28U + 5U);
        EXPECT_EQ(bytes.substr(0, 12), std::string("\r\n\r\n\0\r\nQUIT\n", 12));
        EXPECT_EQ(bytes.substr(12, 4), std::string("\x21\x11\0\x0c", 4));
        EXPECT_EQ(bytes.substr(16, 4), std::string("\x7f\0\0\x01", 4));
        const unsigned port = static_cast<unsigned char>(bytes[24]) * 256U + static_cast<unsigned char>(bytes[25]);
        EXPECT_EQ(port, local.port());
        EXPECT_EQ(bytes.substr(28), "order");
    }

    // Guards against entries that forward only the flows whose Open they forwarded themselves.
    TEST_F(PathTest, SessionFramesThroughTwoEntriesAreAnsweredWhole)
    {
        Upstream echoing(echo);
        this->startPath(echoing.endpoint(), 2);
        const std::array<Endpoint, 2> entryAddresses { this->listener("orders", 0), this->listener("orders", 1) };
        udp::socket socket(this->callerContext, udp::endpoint(asio::ip::address_v4::loopback(), 0));
        socket.non_blocking(true);
        std::mt19937_64 random(20261204);

        InitiatorOptions options;
        options.service = serviceIdOf("core");
        options.datagrams = true;
        options.maxPayloadBytes = 1100;
        options.requestId = "registration-1";
        FlowInitiator flow(randomFlowId(), options, this->clock);
        const std::string sent = randomBytes(300 * 1024);
        std::string received;
        size_t written = 0;
        FlowOutcome outcome = FlowOutcome::Open;
        std::array<unsigned, 2> framesSent {};
        const auto execute = [&](InitiatorCommands& commands) {
            std::vector<Frame> frames;
            size_t delivered = 0;
            for (InitiatorCommand& command : commands) {
                if (SendToOwner* send = std::get_if<SendToOwner>(&command))
                    frames.push_back(std::move(send->frame));
                else if (DeliverToCaller* deliver = std::get_if<DeliverToCaller>(&command)) {
                    received += deliver->bytes;
                    delivered += deliver->bytes.size();
                } else if (FlowEnded* end = std::get_if<FlowEnded>(&command))
                    outcome = end->outcome;
            }
            commands.clear();
            std::shuffle(frames.begin(), frames.end(), random);
            for (const Frame& frame : frames) {
                const size_t entry = random() % entryAddresses.size();
                ++framesSent.at(entry);
                error_code ignored;
                socket.send_to(asio::buffer(encodeFrame(frame)), toUdp(entryAddresses.at(entry)), 0, ignored);
            }
            return delivered;
        };
        const std::function<void(InitiatorCommands&)> run = [&](InitiatorCommands& commands) {
            while (const size_t delivered = execute(commands))
                flow.onDelivered(delivered, commands);
            execute(commands);
        };

        InitiatorCommands commands;
        flow.start({ placedByEntry, placedByEntry }, commands);
        run(commands);
        const TimePoint limit = this->clock.now() + testTimeout;
        std::vector<char> buffer(64 * 1024);
        while (outcome == FlowOutcome::Open && this->clock.now() < limit) {
            if (written < sent.size()) {
                written += flow.write(std::string_view(sent).substr(written), commands);
                if (written == sent.size())
                    flow.finishWriting(commands);
            }
            error_code error;
            udp::endpoint from;
            const size_t size = socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (!error) {
                const Result<Frame> frame = decodeFrame({ buffer.data(), size });
                ASSERT_TRUE(frame.has_value());
                EXPECT_TRUE(frame.value().replyAddress.empty());
                flow.onFrame(frame.value(), commands);
            } else
                std::this_thread::sleep_for(200us);
            const std::optional<TimePoint> due = flow.nextTimer();
            if (due && *due <= this->clock.now())
                flow.onTimer(commands);
            run(commands);
        }
        EXPECT_EQ(nameOf(outcome), nameOf(FlowOutcome::Completed));
        EXPECT_TRUE(received == sent) << received.size() << " of " << sent.size() << " bytes";
        EXPECT_GT(framesSent[0], 0U);
        EXPECT_GT(framesSent[1], 0U);
        EXPECT_EQ(echoing.connections, 1U);
    }

    // Guards against a crash or unbounded memory use caused by invalid frames.
    TEST_F(PathTest, InvalidFramesAreCounted)
    {
        Upstream echoing(echo);
        this->startPath(echoing.endpoint());
        const Endpoint orders = this->listener("orders");
        udp::socket socket(this->callerContext, udp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::mt19937_64 random(20261204);
        for (size_t i = 0; i < 200; ++i) {
            std::string bytes(random() % 200, '\0');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            socket.send_to(asio::buffer(bytes), toUdp(orders));
        }
        Frame frame;
        frame.kind = FrameKind::Open;
        frame.flow = randomFlowId();
        frame.service = serviceIdOf("other");
        socket.send_to(asio::buffer(encodeFrame(frame)), toUdp(orders));
        std::vector<char> buffer(64 * 1024);
        const size_t size = socket.receive(asio::buffer(buffer));
        const Result<Frame> reply = decodeFrame({ buffer.data(), size });
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(nameOf(reply.value().kind), nameOf(FrameKind::Refused));
        EXPECT_EQ(nameOf(reply.value().reason), nameOf(Reason::WrongService));
        frame.kind = FrameKind::Data;
        frame.service = serviceIdOf("core");
        frame.token = { upstreamIdOf("unknown"), 1, 1 };
        socket.send_to(asio::buffer(encodeFrame(frame)), toUdp(orders));
        frame.kind = FrameKind::Closed;
        socket.send_to(asio::buffer(encodeFrame(frame)), toUdp(orders));
        EXPECT_TRUE(this->waitForInvalidFrames(this->entryMetrics, "source=\"datagram\",cause=\"decode\"", 200));
        EXPECT_TRUE(this->waitForInvalidFrames(this->entryMetrics, "source=\"datagram\",cause=\"service\"", 1));
        EXPECT_TRUE(this->waitForInvalidFrames(this->entryMetrics, "source=\"datagram\",cause=\"owner\"", 1));
        EXPECT_TRUE(this->waitForInvalidFrames(this->entryMetrics, "source=\"datagram\",cause=\"kind\"", 1));

        tcp::socket link(this->callerContext);
        link.connect(toTcp(this->agentEndpoint));
        std::string bytes("\x04\0\0\0junk", 8);
        asio::write(link, asio::buffer(bytes));
        EXPECT_TRUE(this->waitForInvalidFrames(this->agentMetrics, "source=\"link\",cause=\"decode\"", 1));
        bytes = "\xff\xff\xff\xff";
        asio::write(link, asio::buffer(bytes));
        EXPECT_TRUE(this->waitForInvalidFrames(this->agentMetrics, "source=\"link\",cause=\"size-prefix\"", 1));
        error_code error;
        readToEnd(link, error);
        EXPECT_TRUE(error) << "a link with an invalid size prefix must be closed";

        tcp::socket caller = this->connect("orders");
        asio::write(caller, asio::buffer(std::string("order")));
        caller.shutdown(tcp::socket::shutdown_send);
        EXPECT_EQ(readToEnd(caller, error), "order");
    }

    // Forwards connections. blackholeOpenConnections() keeps them open but drops their bytes, as a path does that has
    // lost its connection state; new connections work.
    class BlackholeRelay {
    public:
        explicit BlackholeRelay(const Endpoint& target)
            : destination(target)
        {
            this->relayThread.call([this] {
                this->acceptor.emplace(this->relayThread.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
                this->accept();
            });
        }

        ~BlackholeRelay() { this->relayThread.stop(); }

        Endpoint endpoint()
        {
            return this->relayThread.call([this] { return fromTcp(this->acceptor->local_endpoint()); });
        }
        void blackholeOpenConnections()
        {
            this->relayThread.call([this] {
                for (const std::shared_ptr<Pair>& pair : this->pairs)
                    pair->isBlackholed = true;
            });
        }

    private:
        struct Pair {
            Pair(asio::io_context& context, tcp::socket accepted)
                : ends { std::move(accepted), tcp::socket(context) }
            {
            }
            std::array<tcp::socket, 2> ends;
            std::array<std::array<char, 16384>, 2> buffers {};
            bool isBlackholed = false;
        };

        void accept()
        {
            this->acceptor->async_accept([this](error_code error, tcp::socket accepted) {
                if (error)
                    return;
                const std::shared_ptr<Pair> pair
                    = std::make_shared<Pair>(this->relayThread.context, std::move(accepted));
                pair->ends[1].connect(toTcp(this->destination), error);
                this->pairs.push_back(pair);
                this->forward(pair, 0);
                this->forward(pair, 1);
                this->accept();
            });
        }

        void forward(const std::shared_ptr<Pair>& pair, size_t from)
        {
            pair->ends.at(from).async_read_some(
                asio::buffer(pair->buffers.at(from)), [this, pair, from](error_code error, size_t size) {
                    if (pair->isBlackholed && !error) {
                        this->forward(pair, from);
                        return;
                    }
                    if (pair->isBlackholed)
                        return; // The end of the connection is dropped as well.
                    error_code writeError;
                    asio::write(pair->ends.at(1 - from), asio::buffer(pair->buffers.at(from).data(), size), writeError);
                    if (error || writeError) {
                        pair->ends[0].close(writeError);
                        pair->ends[1].close(writeError);
                        return;
                    }
                    this->forward(pair, from);
                });
        }

        Endpoint destination;
        TrafficThread relayThread; // Declared before the sockets, so that its context outlives them.
        std::optional<tcp::acceptor> acceptor;
        std::vector<std::shared_ptr<Pair>> pairs;
    };

    // Guards against a feed that stalls when the path drops the bytes of an established link, and against lost or
    // duplicate bytes when it resumes. The limit of 5 s is a design target.
    TEST_F(PathTest, SilentFeedResumesWithinFiveSeconds)
    {
        std::promise<void> silenced;
        std::shared_future<void> silencedFuture = silenced.get_future().share();
        Upstream alerting([&](tcp::socket& socket) {
            error_code error;
            asio::write(socket, asio::buffer(std::string("first,")), error);
            silencedFuture.wait_for(testTimeout);
            asio::write(socket, asio::buffer(std::string("second")), error);
            socket.shutdown(tcp::socket::shutdown_send, error);
            readToEnd(socket, error);
        });
        this->startPath(alerting.endpoint());
        BlackholeRelay relay(this->agentEndpoint);
        this->agentEndpoint = relay.endpoint();
        this->publish(this->snapshot(2));
        tcp::socket feed = this->connect("alerts");
        std::string first(6, '\0');
        asio::read(feed, asio::buffer(first));
        EXPECT_EQ(first, "first,");
        relay.blackholeOpenConnections();
        const TimePoint start = this->clock.now();
        silenced.set_value();
        error_code error;
        EXPECT_EQ(readToEnd(feed, error), "second");
        EXPECT_LT(this->clock.now() - start, 5s);
        feed.shutdown(tcp::socket::shutdown_send);
        // The relay must run until it has forwarded the last bytes.
        for (int i = 0; i < 500 && this->agentThread.call([this] { return this->agent->openFlows(); }) > 0; ++i)
            std::this_thread::sleep_for(10ms);
        EXPECT_EQ(this->agentThread.call([this] { return this->agent->openFlows(); }), 0U);
    }

} // namespace
} // namespace wasabicroft
