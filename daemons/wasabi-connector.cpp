// Connector: lets plain TCP programs use the session library. Listens locally and opens a session flow for each
// accepted connection.
#include "backends/Link.h"
#include "backends/SessionClient.h"
#include "wasabicroft/Log.h"
#include "wasabicroft/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const char* const usage = R"(Connector: a session flow of a service for each local TCP connection.

Usage:
  wasabi-connector --service=NAME --entries=LIST [options]

Options:
  --service=NAME        Service of all flows.
  --entries=LIST        Comma-separated addresses of the service's listener at the entries.
  --class=CLASS         Traffic class of that listener: feed, request or bulk [default: request].
  --listen=ADDRESS      Address where local programs connect [default: 127.0.0.1:0].
  --deadline=MS         Time limit of a reservation, and of a whole flow of class request; 0: none [default: 0].
  --refusal-file=FILE   Bytes sent to a program before its connection is closed, only if nothing ran.
  --log-threshold=LEVEL debug, info, warning or error [default: info].
  -h --help             Show this text.
  --version             Show the version.

Prints "listen=ADDRESS" when it is ready. A connection is reset if its flow ends in any other way than complete or
refused with refusal bytes.
)";

constexpr Milliseconds userTimeout { 30000 };

// TCP connection of a local program and its session flow.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Tcp::socket connection, SessionClient& sessions, std::string refusalBytes)
        : socket(std::move(connection))
        , client(sessions)
        , refusal(std::move(refusalBytes))
    {
    }

    void start(Milliseconds deadline)
    {
        const std::shared_ptr<Connection> self = this->shared_from_this();
        SessionHandlers handlers;
        handlers.onBytes = [self](FlowId, std::string_view bytes) {
            self->writeQueue += bytes;
            self->write();
        };
        handlers.onFinished = [self](FlowId) {
            self->upstreamFinished = true;
            self->write();
        };
        handlers.onWritable = [self](FlowId) { self->read(); };
        handlers.onEnded = [self](FlowId, const SessionEnd& end) { self->onEnded(end); };
        SessionRequest request;
        request.deadline = deadline;
        this->flow = this->client.open(std::move(request), std::move(handlers));
        this->read();
    }

private:
    void read()
    {
        this->socket.async_read_some(
            asio::buffer(this->buffer), [self = this->shared_from_this()](ErrorCode error, size_t size) {
                if (self->end)
                    return;
                if (!error)
                    self->client.write(self->flow, std::string(self->buffer.data(), size));
                else if (error == asio::error::eof)
                    self->client.finish(self->flow);
                else
                    self->client.cancel(self->flow);
            });
    }

    void write()
    {
        if (!this->writeBuffer.empty() || !this->socket.is_open())
            return;
        this->writeBuffer = std::exchange(this->writeQueue, {});
        if (this->writeBuffer.empty()) {
            this->finishWriting();
            return;
        }
        asio::async_write(
            this->socket, asio::buffer(this->writeBuffer), [self = this->shared_from_this()](ErrorCode error, size_t) {
                const size_t size = std::exchange(self->writeBuffer, {}).size();
                if (error) {
                    self->client.cancel(self->flow);
                    resetConnection(self->socket);
                    return;
                }
                self->client.consumed(self->flow, size);
                self->write();
            });
    }

    void finishWriting()
    {
        ErrorCode ignored;
        const bool isRefused = this->end && this->end->outcome == FlowOutcome::NotRun && !this->refusal.empty();
        if (this->end && this->end->outcome != FlowOutcome::Completed && !isRefused) {
            resetConnection(this->socket);
            return;
        }
        if ((this->upstreamFinished || isRefused) && !std::exchange(this->finSent, true))
            this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        if (this->end && !isRefused)
            this->socket.close(ignored);
        else if (isRefused)
            this->discard();
    }

    // Reads until the program closes its connection. Closing with unread bytes would send RST, and the program might
    // lose the refusal.
    void discard()
    {
        this->socket.async_read_some(
            asio::buffer(this->buffer), [self = this->shared_from_this()](ErrorCode error, size_t) {
                ErrorCode ignored;
                if (!error)
                    self->discard();
                else
                    self->socket.close(ignored);
            });
    }

    void onEnded(const SessionEnd& flowEnd)
    {
        this->end = flowEnd;
        if (flowEnd.outcome == FlowOutcome::NotRun)
            this->writeQueue += this->refusal;
        ErrorCode ignored;
        this->socket.cancel(ignored);
        this->writeBuffer.clear();
        this->write();
    }

    Tcp::socket socket;
    SessionClient& client;
    std::string refusal;
    FlowId flow;
    std::array<char, 16 * 1024> buffer {};
    std::string writeQueue; // For the program, not yet being written.
    std::string writeBuffer;
    bool upstreamFinished = false;
    bool finSent = false;
    std::optional<SessionEnd> end;
};

struct Options {
    Endpoint listen;
    Milliseconds deadline { 0 };
    std::string refusal;
};

void accept(Tcp::acceptor& acceptor, SessionClient& client, const Options& options)
{
    acceptor.async_accept([&](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            setConnectionOptions(socket, userTimeout);
            std::make_shared<Connection>(std::move(socket), client, options.refusal)->start(options.deadline);
        }
        accept(acceptor, client, options);
    });
}

std::string readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader reader(parseCommandLine(argc, argv, usage, "wasabi-connector"), "WASABI_CONNECTOR");
    SessionOptions session;
    session.service = reader.requiredText("--service");
    session.entries = reader.endpoints("--entries");
    session.trafficClass = trafficClassFromName(reader.text("--class", "request")).value_or(TrafficClass::Request);
    Options options;
    options.listen = reader.endpoint("--listen", { "127.0.0.1", 0 });
    options.deadline = reader.duration("--deadline", Milliseconds(0), Milliseconds(0), std::chrono::hours(1));
    const std::string refusalFile = reader.text("--refusal-file", "");
    LogOptions log;
    log.threshold = reader.severity("--log-threshold", Severity::Info);
    log.process = "connector";
    if (!reader.errors().empty()) {
        printErrors(reader.errors());
        return exit_codes::usageError;
    }
    if (!refusalFile.empty())
        options.refusal = readFile(refusalFile);
    startLog(log);
    asio::io_context context(1);
    const SystemClock clock;
    Result<Tcp::acceptor> acceptor = openListener(context, options.listen);
    if (!acceptor) {
        printErrors({ acceptor.error() });
        stopLog();
        return exit_codes::invalidInput;
    }
    SessionClient client(context, session, clock);
    accept(acceptor.value(), client, options);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](ErrorCode, int) { context.stop(); });
    std::cout << "listen=" << toString(fromTcp(acceptor.value().local_endpoint())) << std::endl;
    context.run();
    stopLog();
    return exit_codes::success;
}
