// Baseline for path-speed: a naive TCP relay that forwards every connection to a randomly chosen target and copies
// bytes in order of arrival, without reservations, traffic classes or limits. Two relays in series form the naive
// two-hop path.
#include "wasabicroft/Settings.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <random>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

const char* const usage = R"(Naive TCP relay with a random target per connection. Runs until SIGTERM or SIGINT.

Usage:
  naive-relay --targets=LIST [options]

Options:
  --targets=LIST       Comma-separated target addresses.
  --listen=ADDRESS     Listen address of the relay [default: 127.0.0.1:0].
  --seed=N             Seed of the random choice of targets [default: 1].
  -h --help            Show this text.
  --version            Show the version.
)";

constexpr size_t bufferBytes = 64 * 1024;

Tcp::endpoint tcpEndpointOf(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

// One relayed connection. Side 0 is the caller, side 1 the target.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::io_context& io, Tcp::socket caller)
        : sockets { std::move(caller), Tcp::socket(io) }
    {
    }

    void start(const Endpoint& target)
    {
        this->sockets[1].async_connect(tcpEndpointOf(target), [self = this->shared_from_this()](ErrorCode error) {
            if (error)
                return;
            for (size_t side = 0; side < 2; ++side) {
                self->sockets.at(side).set_option(Tcp::no_delay(true), error);
                self->read(side);
            }
        });
    }

private:
    void read(size_t side)
    {
        this->sockets.at(side).async_read_some(asio::buffer(this->buffers.at(side)),
            [self = this->shared_from_this(), side](ErrorCode error, size_t count) {
                if (error == asio::error::eof)
                    self->sockets.at(1 - side).shutdown(Tcp::socket::shutdown_send, error);
                else if (error)
                    self->close();
                else
                    self->write(side, count);
            });
    }

    void write(size_t side, size_t count)
    {
        asio::async_write(this->sockets.at(1 - side), asio::buffer(this->buffers.at(side).data(), count),
            [self = this->shared_from_this(), side](ErrorCode error, size_t) {
                if (error)
                    self->close();
                else
                    self->read(side);
            });
    }

    void close()
    {
        ErrorCode ignored;
        for (Tcp::socket& socket : this->sockets) {
            if (socket.is_open())
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
    }

    std::array<Tcp::socket, 2> sockets;
    std::array<std::array<char, bufferBytes>, 2> buffers;
};

class Listener {
public:
    Listener(asio::io_context& context, const Endpoint& listen, std::vector<Endpoint> relayTargets, uint64_t seed)
        : io(context)
        , acceptor(context, tcpEndpointOf(listen))
        , targets(std::move(relayTargets))
        , random(seed)
    {
        this->accept();
    }

    Tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }

private:
    void accept()
    {
        this->acceptor.async_accept([this](ErrorCode error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            std::uniform_int_distribution<size_t> choice(0, this->targets.size() - 1);
            if (!error)
                std::make_shared<Connection>(this->io, std::move(socket))
                    ->start(this->targets.at(choice(this->random)));
            this->accept();
        });
    }

    asio::io_context& io;
    Tcp::acceptor acceptor;
    std::vector<Endpoint> targets;
    std::mt19937_64 random;
};

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "naive-relay"), "NAIVE_RELAY");
    const std::vector<Endpoint> targets = settings.endpoints("--targets");
    const Endpoint listen = settings.endpoint("--listen", { "127.0.0.1", 0 });
    const uint64_t seed = settings.number("--seed", 1, 0, UINT64_MAX);
    if (!settings.errors().empty() || targets.empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    try {
        asio::io_context io(1);
        const Listener listener(io, listen, targets, seed);
        std::cout << "relay=" << listener.endpoint() << std::endl;
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&io](const ErrorCode&, int) { io.stop(); });
        io.run();
    } catch (const boost::system::system_error& error) {
        std::cerr << "naive-relay: " << error.what() << "; choose an address that is free\n";
        return exit_codes::unreachable;
    }
    return exit_codes::success;
}
