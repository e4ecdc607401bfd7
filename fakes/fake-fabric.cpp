// Runs the network emulator as a process. It emulates the fabric or a link between failure domains; see fakes/Relay.h.
#include "fakes/Relay.h"

#include "wasabicroft/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
using wasabicroft::fakes::Relay;
using wasabicroft::fakes::RelayOptions;

const char* const usage = R"(Relays TCP connections and UDP datagrams. With several targets, each connection and
each datagram goes to a target chosen at random. Runs until SIGTERM or SIGINT.

Usage:
  fake-fabric --targets=ADDRESSES [options]

Options:
  --targets=ADDRESSES      Comma-separated targets, for example 127.0.1.1:80,127.0.1.2:80.
  --listen=ADDRESS         Address for TCP and UDP [default: 127.0.0.1:0].
  --admin=ADDRESS          Admin port [default: 127.0.0.1:0].
  --delay-us=N             One-way delay in microseconds [default: 0].
  --jitter-us=N            Maximum additional delay in microseconds [default: 0].
  --loss-ppm=N             Lost datagrams and TCP segments per million [default: 0].
  --retransmission-ms=N    Stall of a TCP stream for each lost segment [default: 200].
  --seed=N                 Seed of all random draws [default: 1].
  -h --help                Show this text.
  --version                Show the version.
)";

constexpr uint64_t maxMicroseconds = 10'000'000;
constexpr uint64_t million = 1'000'000;

RelayOptions readOptions(SettingsReader& settings)
{
    RelayOptions options;
    options.targets = settings.endpoints("--targets");
    options.listen = settings.endpoint("--listen", options.listen);
    options.admin = settings.endpoint("--admin", { "127.0.0.1", 0 });
    options.conditions.delay = std::chrono::microseconds(settings.number("--delay-us", 0, 0, maxMicroseconds));
    options.conditions.jitter = std::chrono::microseconds(settings.number("--jitter-us", 0, 0, maxMicroseconds));
    options.conditions.loss
        = static_cast<double>(settings.number("--loss-ppm", 0, 0, million)) / static_cast<double>(million);
    options.conditions.retransmissionTimeout = settings.duration(
        "--retransmission-ms", options.conditions.retransmissionTimeout, Milliseconds(1), std::chrono::minutes(1));
    options.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "fake-fabric"), "FAKE_FABRIC");
    const RelayOptions options = readOptions(settings);
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    try {
        const Relay relay(options);
        std::cout << "fabric=" << toString(relay.endpoint()) << " admin=" << toString(relay.adminEndpoint())
                  << std::endl;
        boost::asio::io_context io;
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code&, int) {});
        io.run();
    } catch (const std::exception& error) {
        std::cerr << "fake-fabric: " << error.what()
                  << "; check the targets, and that the addresses are local and their ports are free\n";
        return exit_codes::unreachable;
    }
    return exit_codes::success;
}
