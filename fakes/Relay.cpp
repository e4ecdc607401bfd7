#include "fakes/Relay.h"

#include "fakes/Http.h"
#include "fakes/OnThread.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

namespace wasabicroft::fakes {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr size_t segmentBytes = 1460;
    constexpr size_t chunkBytes = 64 * 1024;
    constexpr size_t maxQueuedBytes = 4 * 1024 * 1024; // per direction of a connection
    constexpr size_t maxQueuedDatagrams = 100000;
    constexpr size_t maxDatagramBytes = 65536;
    constexpr size_t maxDatagramCallers = 4096;
    constexpr int datagramBufferBytes = 4 * 1024 * 1024;

    // State shared by all connections. Accessed only on the thread of the relay.
    struct Network {
        explicit Network(const RelayOptions& options)
            : targets(options.targets)
            , conditions(options.conditions)
            , random(options.seed)
        {
        }

        bool drawLoss(double probability)
        {
            return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
        }

        SteadyClock::time_point drawArrival()
        {
            SteadyClock::time_point arrival = SteadyClock::now() + this->conditions.delay;
            if (this->conditions.jitter.count() > 0)
                arrival += std::chrono::microseconds(
                    std::uniform_int_distribution<int64_t>(0, this->conditions.jitter.count())(this->random));
            return arrival;
        }

        // Draws the lost segments of a chunk and returns their total stall.
        Duration drawStalls(size_t bytes)
        {
            if (this->conditions.loss <= 0)
                return Duration(0);
            const int segments = static_cast<int>((bytes + segmentBytes - 1) / segmentBytes);
            const int lost = std::binomial_distribution<int>(segments, this->conditions.loss)(this->random);
            this->counts.stalls += static_cast<uint64_t>(lost);
            return lost * this->conditions.retransmissionTimeout;
        }

        const Endpoint& drawTarget()
        {
            return this->targets.at(std::uniform_int_distribution<size_t>(0, this->targets.size() - 1)(this->random));
        }

        std::vector<Endpoint> targets;
        LinkConditions conditions;
        std::mt19937_64 random;
        bool isCut = false;
        RelayCounts counts;
    };

    // Relays one direction of a TCP connection.
    class Pipe : public std::enable_shared_from_this<Pipe> {
    public:
        Pipe(Network& owner, std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to)
            : network(owner)
            , source(std::move(from))
            , sink(std::move(to))
            , timer(this->source->get_executor())
            , input(chunkBytes)
        {
        }

        std::function<void(bool reset)> onEnd; // called once, when this direction ends

        void read()
        {
            this->reading = true;
            this->source->async_read_some(
                asio::buffer(this->input), [self = this->shared_from_this()](ErrorCode error, size_t count) {
                    self->reading = false;
                    self->received(error, count);
                });
        }

        // Discards queued bytes and all bytes received from now on.
        void blackhole()
        {
            this->blackholed = true;
            this->queue.clear();
            this->queuedBytes = 0;
            this->timer.cancel();
            if (!this->reading && !this->sourceEnded)
                this->read();
        }

        // Continues delivery after a partition.
        void resume() { this->deliver(); }

        void stop()
        {
            this->stopped = true;
            this->timer.cancel();
        }

    private:
        struct Chunk {
            SteadyClock::time_point arrival;
            std::string bytes; // empty: end of the stream
            bool reset = false;
        };

        void received(ErrorCode error, size_t count)
        {
            if (this->stopped)
                return;
            if (error)
                this->sourceEnded = true;
            if (this->blackholed) {
                if (!error)
                    this->read();
                return;
            }
            Chunk item;
            item.arrival = std::max(this->network.drawArrival() + this->network.drawStalls(count), this->lastArrival);
            this->lastArrival = item.arrival;
            item.bytes.assign(this->input.data(), error ? 0 : count);
            item.reset = error && error != asio::error::eof;
            this->queuedBytes += item.bytes.size();
            this->queue.push_back(std::move(item));
            if (!error && this->queuedBytes < maxQueuedBytes)
                this->read();
            this->deliver();
        }

        void deliver()
        {
            if (this->stopped || this->blackholed || this->writing || this->queue.empty() || this->network.isCut)
                return;
            const SteadyClock::time_point arrival = this->queue.front().arrival;
            if (arrival > SteadyClock::now()) {
                this->timer.expires_at(arrival);
                this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
                    if (!error)
                        self->deliver();
                });
                return;
            }
            this->current = std::move(this->queue.front());
            this->queue.pop_front();
            if (this->current.bytes.empty())
                this->end();
            else
                this->write();
        }

        void end()
        {
            ErrorCode ignored;
            if (!this->current.reset)
                this->sink->shutdown(Tcp::socket::shutdown_send, ignored);
            this->onEnd(this->current.reset);
        }

        void write()
        {
            this->writing = true;
            asio::async_write(*this->sink, asio::buffer(this->current.bytes),
                [self = this->shared_from_this()](ErrorCode error, size_t count) {
                    self->writing = false;
                    self->written(error, count);
                });
        }

        void written(ErrorCode error, size_t count)
        {
            if (this->stopped || this->blackholed)
                return;
            if (error)
                return this->onEnd(true);
            this->network.counts.bytes += count;
            this->queuedBytes -= count;
            if (!this->reading && !this->sourceEnded && this->queuedBytes < maxQueuedBytes)
                this->read();
            this->deliver();
        }

        Network& network;
        std::shared_ptr<Tcp::socket> source;
        std::shared_ptr<Tcp::socket> sink;
        asio::steady_timer timer;
        std::vector<char> input;
        std::deque<Chunk> queue;
        size_t queuedBytes = 0;
        SteadyClock::time_point lastArrival;
        Chunk current; // being written
        bool reading = false;
        bool writing = false;
        bool sourceEnded = false;
        bool blackholed = false;
        bool stopped = false;
    };

    // A relayed TCP connection between a caller and a target.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Network& owner, Tcp::socket callerSocket)
            : network(owner)
            , caller(std::make_shared<Tcp::socket>(std::move(callerSocket)))
            , target(std::make_shared<Tcp::socket>(this->caller->get_executor()))
        {
        }

        std::function<void()> onClosed;

        void connect()
        {
            this->target->async_connect(
                tcpEndpointOf(this->network.drawTarget()), [self = this->shared_from_this()](ErrorCode error) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (error) {
                        ++self->network.counts.refused;
                        self->close(true);
                        return;
                    }
                    self->begin();
                });
        }

        void blackhole()
        {
            for (const std::shared_ptr<Pipe>& pipe : this->pipes)
                if (pipe)
                    pipe->blackhole();
        }

        void resume()
        {
            for (const std::shared_ptr<Pipe>& pipe : this->pipes)
                if (pipe)
                    pipe->resume();
        }

        void close(bool reset)
        {
            for (const std::shared_ptr<Pipe>& pipe : this->pipes)
                if (pipe)
                    pipe->stop();
            ErrorCode ignored;
            for (const std::shared_ptr<Tcp::socket>& socket : { this->caller, this->target }) {
                if (reset && socket->is_open())
                    socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
            if (this->onClosed)
                std::exchange(this->onClosed, nullptr)();
        }

    private:
        void begin()
        {
            ErrorCode ignored;
            this->caller->set_option(Tcp::no_delay(true), ignored);
            this->target->set_option(Tcp::no_delay(true), ignored);
            this->pipes = { std::make_shared<Pipe>(this->network, this->caller, this->target),
                std::make_shared<Pipe>(this->network, this->target, this->caller) };
            const std::weak_ptr<Connection> weak = this->weak_from_this();
            for (const std::shared_ptr<Pipe>& pipe : this->pipes) {
                pipe->onEnd = [weak](bool reset) {
                    if (const std::shared_ptr<Connection> self = weak.lock())
                        self->directionEnded(reset);
                };
                pipe->read();
            }
        }

        void directionEnded(bool reset)
        {
            ++this->endedDirections;
            if (reset || this->endedDirections == 2)
                this->close(reset);
        }

        Network& network;
        std::shared_ptr<Tcp::socket> caller;
        std::shared_ptr<Tcp::socket> target;
        std::array<std::shared_ptr<Pipe>, 2> pipes;
        int endedDirections = 0;
    };

    // Delivers datagrams in the order of their arrival times.
    class DatagramQueue {
    public:
        DatagramQueue(Network& owner, asio::io_context& io)
            : network(owner)
            , timer(io)
        {
        }

        // Draws loss and delay; unless the datagram is lost, calls send at its arrival time.
        void schedule(std::function<void()> send)
        {
            if (this->network.isCut || this->network.drawLoss(this->network.conditions.loss)
                || this->inFlight.size() >= maxQueuedDatagrams) {
                ++this->network.counts.droppedDatagrams;
                return;
            }
            const SteadyClock::time_point arrival = this->network.drawArrival();
            if (this->inFlight.empty() && arrival <= SteadyClock::now()) {
                ++this->network.counts.datagrams;
                send();
                return;
            }
            const bool first = this->inFlight.empty() || arrival < this->inFlight.begin()->first;
            this->inFlight.emplace(arrival, std::move(send));
            if (first)
                this->wait();
        }

    private:
        void wait()
        {
            this->timer.expires_at(this->inFlight.begin()->first);
            this->timer.async_wait([this](ErrorCode error) {
                if (!error)
                    this->deliver();
            });
        }

        void deliver()
        {
            while (!this->inFlight.empty() && this->inFlight.begin()->first <= SteadyClock::now()) {
                const std::function<void()> send = std::move(this->inFlight.begin()->second);
                this->inFlight.erase(this->inFlight.begin());
                if (this->network.isCut) {
                    ++this->network.counts.droppedDatagrams;
                    continue;
                }
                ++this->network.counts.datagrams;
                send();
            }
            if (!this->inFlight.empty())
                this->wait();
        }

        Network& network;
        asio::steady_timer timer;
        std::multimap<SteadyClock::time_point, std::function<void()>> inFlight; // by arrival time
    };

    // The socket through which the relay sends the datagrams of one caller address to the targets.
    struct DatagramCaller : std::enable_shared_from_this<DatagramCaller> {
        DatagramCaller(asio::io_context& io, Udp::endpoint callerAddress, const Udp::endpoint& local)
            : address(std::move(callerAddress))
            , socket(io, local)
            , input(maxDatagramBytes)
        {
            ErrorCode ignored;
            this->socket.set_option(asio::socket_base::receive_buffer_size(datagramBufferBytes), ignored);
            this->socket.non_blocking(true, ignored);
        }

        Udp::endpoint address;
        Udp::socket socket;
        std::vector<char> input;
        Udp::endpoint sender;
        bool blackholed = false;
        SteadyClock::time_point lastUse = SteadyClock::now();
    };

    // Relays the datagrams of all callers.
    class DatagramRelay {
    public:
        DatagramRelay(Network& owner, asio::io_context& context, const Endpoint& listen)
            : network(owner)
            , io(context)
            , socket(context, Udp::endpoint(asio::ip::make_address(listen.address), listen.port))
            , queue(owner, context)
            , input(maxDatagramBytes)
        {
            ErrorCode ignored;
            this->socket.set_option(asio::socket_base::receive_buffer_size(datagramBufferBytes), ignored);
            this->socket.set_option(asio::socket_base::send_buffer_size(datagramBufferBytes), ignored);
            this->socket.non_blocking(true, ignored);
            this->receive();
        }

        // Discards all further traffic of the existing callers; their sockets stay open. Callers with a new address are
        // relayed.
        void blackhole()
        {
            for (const auto& [address, caller] : this->callers)
                caller->blackholed = true;
        }

    private:
        void receive()
        {
            this->socket.async_receive_from(
                asio::buffer(this->input), this->sender, [this](ErrorCode error, size_t count) {
                    if (error == asio::error::operation_aborted)
                        return;
                    if (!error)
                        this->forward(std::string(this->input.data(), count));
                    this->receive();
                });
        }

        void forward(std::string bytes)
        {
            const std::shared_ptr<DatagramCaller> caller = this->callerOf(this->sender);
            if (!caller || caller->blackholed) {
                ++this->network.counts.droppedDatagrams;
                return;
            }
            const Endpoint& target = this->network.drawTarget();
            const Udp::endpoint to(asio::ip::make_address(target.address), target.port);
            this->queue.schedule([caller, to, bytes = std::move(bytes)] {
                ErrorCode ignored;
                if (!caller->blackholed)
                    caller->socket.send_to(asio::buffer(bytes), to, 0, ignored);
            });
        }

        std::shared_ptr<DatagramCaller> callerOf(const Udp::endpoint& address)
        {
            const auto found = this->callers.find(address);
            if (found != this->callers.end()) {
                found->second->lastUse = SteadyClock::now();
                return found->second;
            }
            if (this->callers.size() >= maxDatagramCallers)
                this->evictLeastRecentlyUsed();
            const std::shared_ptr<DatagramCaller> caller = std::make_shared<DatagramCaller>(
                this->io, address, Udp::endpoint(this->socket.local_endpoint().address(), 0));
            this->callers.emplace(address, caller);
            this->receiveReplies(caller);
            return caller;
        }

        void evictLeastRecentlyUsed()
        {
            const auto oldest = std::min_element(this->callers.begin(), this->callers.end(),
                [](const auto& left, const auto& right) { return left.second->lastUse < right.second->lastUse; });
            ErrorCode ignored;
            oldest->second->socket.close(ignored);
            this->callers.erase(oldest);
        }

        void receiveReplies(const std::shared_ptr<DatagramCaller>& caller)
        {
            caller->socket.async_receive_from(
                asio::buffer(caller->input), caller->sender, [this, caller](ErrorCode error, size_t count) {
                    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
                        return;
                    if (!error && !caller->blackholed)
                        this->reply(caller, std::string(caller->input.data(), count));
                    this->receiveReplies(caller);
                });
        }

        void reply(const std::shared_ptr<DatagramCaller>& caller, std::string bytes)
        {
            caller->lastUse = SteadyClock::now();
            this->queue.schedule([this, caller, bytes = std::move(bytes)] {
                ErrorCode ignored;
                if (!caller->blackholed)
                    this->socket.send_to(asio::buffer(bytes), caller->address, 0, ignored);
            });
        }

        Network& network;
        asio::io_context& io;
        Udp::socket socket;
        DatagramQueue queue;
        std::vector<char> input;
        Udp::endpoint sender;
        std::map<Udp::endpoint, std::shared_ptr<DatagramCaller>> callers;
    };

    const RelayOptions& validated(const RelayOptions& options)
    {
        if (options.targets.empty())
            throw std::invalid_argument("a relay needs at least one target");
        return options;
    }

} // namespace

struct Relay::State {
    explicit State(const RelayOptions& options)
        : network(validated(options))
        , acceptor(this->io, tcpEndpointOf(options.listen))
        , datagrams(this->network, this->io, endpointOf(this->acceptor.local_endpoint()))
    {
        if (options.admin)
            this->admin.emplace(
                this->io, *options.admin, [this](const HttpRequest& request) { return this->answerAdmin(request); });
        this->accept();
        this->thread = std::thread([this] { this->io.run(); });
    }

    ~State()
    {
        this->io.stop();
        this->thread.join();
        this->connections.clear(); // their sockets must be destroyed before the io_context
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void accept()
    {
        this->acceptor.async_accept([this](ErrorCode error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                this->relay(std::move(socket));
            this->accept();
        });
    }

    void relay(Tcp::socket socket)
    {
        ++this->network.counts.connections;
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(this->network, std::move(socket));
        this->connections.insert(connection);
        const std::weak_ptr<Connection> weak = connection;
        connection->onClosed = [this, weak] { this->connections.erase(weak.lock()); };
        if (!this->network.isCut)
            connection->connect();
        else
            this->waitingForHeal.push_back(weak);
    }

    void heal()
    {
        this->network.isCut = false;
        for (const std::weak_ptr<Connection>& weak : std::exchange(this->waitingForHeal, {}))
            if (const std::shared_ptr<Connection> connection = weak.lock())
                connection->connect();
        const std::set<std::shared_ptr<Connection>> openConnections
            = this->connections; // copied, since resuming may close some of them
        for (const std::shared_ptr<Connection>& connection : openConnections)
            connection->resume();
    }

    void blackhole()
    {
        for (const std::shared_ptr<Connection>& connection : this->connections)
            connection->blackhole();
        this->waitingForHeal.clear();
        this->datagrams.blackhole();
    }

    RelayCounts countsNow() const
    {
        RelayCounts counts = this->network.counts;
        counts.openConnections = this->connections.size();
        return counts;
    }

    HttpReply answerAdmin(const HttpRequest& request)
    {
        if (request.path == "/state")
            return { 200, this->stateJson(), {} };
        if (request.method == "POST" && request.path == "/cut")
            this->network.isCut = true;
        else if (request.method == "POST" && request.path == "/swallow")
            this->blackhole();
        else if (request.method == "POST" && request.path == "/heal")
            this->heal();
        else if (request.method == "POST" && request.path == "/set")
            this->applyConditions(request);
        else
            return { 404, "{\"error\":\"unknown path; see fakes/Relay.h\"}\n", {} };
        return { 200, "{}\n", {} };
    }

    void applyConditions(const HttpRequest& request)
    {
        LinkConditions& conditions = this->network.conditions;
        const auto microseconds = [&request](const char* name, std::chrono::microseconds current) {
            const double milliseconds = request.queryNumber(name, static_cast<double>(current.count()) / 1000);
            return std::chrono::microseconds(static_cast<int64_t>(std::max(0.0, milliseconds) * 1000));
        };
        conditions.delay = microseconds("delay_ms", conditions.delay);
        conditions.jitter = microseconds("jitter_ms", conditions.jitter);
        conditions.loss = std::clamp(request.queryNumber("loss", conditions.loss), 0.0, 1.0);
        conditions.retransmissionTimeout = std::chrono::duration_cast<Milliseconds>(
            microseconds("retransmission_ms", conditions.retransmissionTimeout));
    }

    std::string stateJson() const
    {
        const RelayCounts counts = this->countsNow();
        return boost::json::serialize(boost::json::object { { "connections", counts.connections },
                   { "open_connections", counts.openConnections }, { "refused", counts.refused },
                   { "bytes", counts.bytes }, { "stalls", counts.stalls }, { "datagrams", counts.datagrams },
                   { "dropped_datagrams", counts.droppedDatagrams }, { "cut", this->network.isCut } })
            + "\n";
    }

    // Runs a function on the thread of the io_context and returns its result.
    template <typename Function> auto onThread(Function function) { return runOnThread(this->io, std::move(function)); }

    // Declared before the io_context, and so destroyed after it: connections that pending handlers keep alive refer to
    // the network.
    Network network;
    std::set<std::shared_ptr<Connection>> connections;
    std::vector<std::weak_ptr<Connection>> waitingForHeal; // accepted during a partition, not connected to a target yet
    asio::io_context io { 1 };
    Tcp::acceptor acceptor;
    DatagramRelay datagrams;
    std::optional<HttpService> admin;
    std::thread thread;
};

Relay::Relay(const RelayOptions& options)
    : state(std::make_unique<State>(options))
{
}

Relay::~Relay() = default;

Endpoint Relay::endpoint() const { return endpointOf(this->state->acceptor.local_endpoint()); }

Endpoint Relay::adminEndpoint() const { return this->state->admin ? this->state->admin->endpoint() : Endpoint(); }

void Relay::setConditions(const LinkConditions& conditions)
{
    this->state->onThread([&] { this->state->network.conditions = conditions; });
}

void Relay::setTargets(std::vector<Endpoint> targets)
{
    if (targets.empty())
        throw std::invalid_argument("a relay needs at least one target");
    this->state->onThread([&] { this->state->network.targets = std::move(targets); });
}

void Relay::cut()
{
    this->state->onThread([this] { this->state->network.isCut = true; });
}

void Relay::blackholeExisting()
{
    this->state->onThread([this] { this->state->blackhole(); });
}

void Relay::heal()
{
    this->state->onThread([this] { this->state->heal(); });
}

RelayCounts Relay::counts() const
{
    return this->state->onThread([this] { return this->state->countsNow(); });
}

} // namespace wasabicroft::fakes
