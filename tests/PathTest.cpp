// Drives entry, agent and a small upstream in one process on loopback, with kernel sockets and real time.
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

    // Reads what is there; an error after testTimeout, so that no test waits without end.
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

    // Guards against an answer that is cut off or altered on the way.
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

    // Guards against lost, repeated or reordered bytes and against a half-close that ends the other direction.
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

} // namespace
} // namespace wasabicroft
