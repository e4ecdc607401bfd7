// Unexpected errors in handlers, and answers that were not asked for on a connection that is used again.
#include "backends/DatagramSocket.h"
#include "backends/Guard.h"
#include "backends/HttpClient.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>

namespace wasabicroft::tests {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    // Guards against a daemon that ends because one handler meets an error that nobody foresaw.
    TEST(EventLoop, RunsOnAfterAHandlerThatThrows)
    {
        asio::io_context context;
        int handled = 0;
        asio::post(context, [] { throw std::runtime_error("unexpected"); });
        asio::post(context, [&] { ++handled; });
        runEventLoop(context);
        EXPECT_EQ(handled, 1);
    }

    // Guards against a socket that is never read again after one datagram whose handler throws.
    TEST(EventLoop, ADatagramWhoseHandlerThrowsLosesNoOther)
    {
        asio::io_context context;
        DatagramSocket receiver(context);
        DatagramSocket sender(context);
        const PacketAddress any { 0x7f000001, 0 };
        const Result<PacketAddress> bound = receiver.open(any);
        ASSERT_TRUE(bound);
        ASSERT_TRUE(sender.open(any));
        std::string received;
        receiver.start([&](PacketAddress, std::span<uint8_t> bytes) {
            if (bytes[0] == 'x')
                throw std::out_of_range("malformed datagram");
            received += static_cast<char>(bytes[0]);
            if (received.size() == 2)
                context.stop();
        });
        for (const uint8_t letter : std::initializer_list<uint8_t> { 'a', 'x', 'b' })
            sender.send(bound.value(), Bytes(&letter, 1));
        sender.flush();
        context.run_for(std::chrono::seconds(5));
        EXPECT_EQ(received, "ab");
    }

    constexpr HttpTimeouts timeouts { Milliseconds(1000), Milliseconds(1000) };

    // A server that answers the first request on each connection twice; the body is the target of the request.
    class DoubleAnswerServer {
    public:
        explicit DoubleAnswerServer(asio::io_context& context)
            : acceptor(context, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0))
        {
            this->accept();
        }

        Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    private:
        struct Connection {
            explicit Connection(tcp::socket accepted)
                : socket(std::move(accepted))
            {
            }
            tcp::socket socket;
            asio::streambuf request;
            std::string answer;
            bool isFirst = true;
        };

        void accept()
        {
            this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
                if (error)
                    return;
                this->read(std::make_shared<Connection>(std::move(socket)));
                this->accept();
            });
        }

        void read(const std::shared_ptr<Connection>& connection)
        {
            asio::async_read_until(connection->socket, connection->request, "\r\n\r\n",
                [this, connection](boost::system::error_code error, size_t size) {
                    if (error)
                        return;
                    std::string method;
                    std::string target;
                    std::istream(&connection->request) >> method >> target;
                    connection->request.consume(connection->request.size());
                    connection->answer
                        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) + "\r\n\r\n" + target;
                    if (std::exchange(connection->isFirst, false))
                        connection->answer += connection->answer;
                    static_cast<void>(size);
                    asio::async_write(connection->socket, asio::buffer(connection->answer),
                        [this, connection](boost::system::error_code, size_t) { this->read(connection); });
                });
        }

        tcp::acceptor acceptor;
    };

    // Answers one request with a body that it sends in pieces, with a pause after each.
    class PiecewiseServer {
    public:
        struct Options {
            size_t bodyBytes = 0;
            size_t pieceBytes = 0;
            size_t pieces = SIZE_MAX; // that are sent
            Milliseconds pause { 0 };
        };

        PiecewiseServer(asio::io_context& context, Options serverOptions)
            : options(serverOptions)
            , acceptor(context, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0))
            , socket(context)
            , timer(context)
            , answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(serverOptions.bodyBytes) + "\r\n\r\n"
                  + std::string(serverOptions.bodyBytes, 'x'))
        {
            this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
                if (error)
                    return;
                asio::async_read_until(
                    this->socket, this->request, "\r\n\r\n", [this](boost::system::error_code readError, size_t) {
                        if (!readError)
                            this->sendPiece();
                    });
            });
        }

        Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    private:
        void sendPiece()
        {
            const size_t size = std::min(this->options.pieceBytes, this->answer.size() - this->sentBytes);
            if (size == 0 || this->sentPieces == this->options.pieces)
                return;
            asio::async_write(this->socket, asio::buffer(this->answer.data() + this->sentBytes, size),
                [this, size](boost::system::error_code error, size_t) {
                    if (error)
                        return;
                    this->sentBytes += size;
                    ++this->sentPieces;
                    this->timer.expires_after(this->options.pause);
                    this->timer.async_wait([this](boost::system::error_code) { this->sendPiece(); });
                });
        }

        Options options;
        tcp::acceptor acceptor;
        tcp::socket socket;
        asio::steady_timer timer;
        asio::streambuf request;
        std::string answer;
        size_t sentBytes = 0;
        size_t sentPieces = 0;
    };

    // Guards against a large configuration that an entry under load reads too late: between two reads from the
    // connection, its event loop handles datagrams for up to 0.1 s. Incident CONFIG on rigcheck-ph-grown, report 2.
    TEST(HttpClient, ALargeAnswerTakesFewTurnsOfABusyEventLoop)
    {
        constexpr size_t bodyBytes = 1400000; // a value of 1 MiB in base64
        constexpr int maxTurns = 50; // 5 s, the bound of a change, at 0.1 s each
        std::thread serverThread;
        asio::io_context serverContext;
        PiecewiseServer server(serverContext, { .bodyBytes = bodyBytes, .pieceBytes = SIZE_MAX });
        serverThread = std::thread([&] { serverContext.run_for(std::chrono::seconds(20)); });
        asio::io_context context;
        int turns = 0;
        bool isBusy = false; // once the answer arrives
        std::function<void()> handleDatagrams = [&] {
            turns += isBusy ? 1 : 0;
            std::this_thread::sleep_for(Milliseconds(2)); // the server fills the connection meanwhile
            asio::post(context, handleDatagrams);
        };
        const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(context);
        size_t received = 0;
        client->onHeader = [&](std::optional<uint64_t>) { isBusy = true; };
        client->start(server.endpoint(), "/", timeouts, [&](const HttpResult& result) {
            received = result ? result.value().body().size() : 0;
            context.stop();
        });
        asio::post(context, handleDatagrams);
        context.run_for(std::chrono::seconds(15));
        serverContext.stop();
        serverThread.join();
        EXPECT_EQ(received, bodyBytes);
        EXPECT_LE(turns, maxTurns);
    }

    // Guards against an entry with a narrow link that never reads a large configuration: every read of it fails after a
    // limit of its total time. Incident CONFIG on rigcheck-ph-grown, report 2.
    TEST(HttpClient, AnAnswerThatArrivesSlowlyIsReadToItsEnd)
    {
        constexpr size_t bodyBytes = 100000;
        constexpr HttpTimeouts shortTimeouts { Milliseconds(200), Milliseconds(200) };
        asio::io_context context;
        PiecewiseServer server(context, { bodyBytes, bodyBytes / 10, SIZE_MAX, Milliseconds(60) }); // 0.6 s
        const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(context);
        std::string outcome;
        client->start(server.endpoint(), "/", shortTimeouts, [&](const HttpResult& result) {
            outcome = result ? std::to_string(result.value().body().size()) : result.error().message;
            context.stop();
        });
        context.run_for(std::chrono::seconds(5));
        EXPECT_EQ(outcome, std::to_string(bodyBytes));
    }

    // Guards against a read that hangs because its connection died in the middle of the answer, also after a long wait
    // for the header.
    TEST(HttpClient, AnAnswerThatStopsInTheMiddleFailsAfterTheLongestPause)
    {
        constexpr size_t bodyBytes = 100000;
        asio::io_context context;
        PiecewiseServer server(context, { bodyBytes, bodyBytes / 10, 3, Milliseconds(10) });
        const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(context);
        std::optional<bool> isRead;
        client->start(
            server.endpoint(), "/", { Milliseconds(20000), Milliseconds(200) }, [&](const HttpResult& result) {
                isRead = result.has_value();
                context.stop();
            });
        context.run_for(std::chrono::seconds(5));
        EXPECT_EQ(isRead, std::optional(false));
    }

    // Guards against a second copy of an answer that is taken for the answer to the next request on the connection.
    TEST(HttpClient, ASecondCopyOfAnAnswerIsNotTheAnswerToTheNextRequest)
    {
        asio::io_context context;
        DoubleAnswerServer server(context);
        const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(context);
        std::vector<std::string> bodies;
        asio::steady_timer pause(context);
        const auto record
            = [&](HttpResult result) { bodies.push_back(result ? result.value().body() : result.error().message); };
        client->start(server.endpoint(), "/first", timeouts, [&](HttpResult result) {
            record(std::move(result));
            pause.expires_after(Milliseconds(50));
            pause.async_wait([&](boost::system::error_code) {
                client->start(server.endpoint(), "/second", timeouts, [&](HttpResult next) {
                    record(std::move(next));
                    context.stop();
                });
            });
        });
        context.run_for(std::chrono::seconds(5));
        EXPECT_EQ(bodies, (std::vector<std::string> { "/first", "/second" }));
    }

} // namespace
} // namespace wasabicroft::tests
