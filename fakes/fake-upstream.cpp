// Runs the test double of an upstream instance as a process; see fakes/Upstream.h for its service and admin ports.
#include "fakes/Upstream.h"

#include "wasabicroft/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
using wasabicroft::fakes::Upstream;
using wasabicroft::fakes::UpstreamMode;
using wasabicroft::fakes::UpstreamOptions;

const char* const usage = R"(Test double of an upstream instance. Runs until SIGTERM or SIGINT.

Usage:
  fake-upstream [options]

Options:
  --service=NAME             Service name in every answer [default: service].
  --name=NAME                Instance name in every answer [default: upstream-1].
  --listen=ADDRESS           Service port [default: 127.0.0.1:0].
  --admin=ADDRESS            Admin port [default: 127.0.0.1:0].
  --echo                     Echo all bytes instead of serving HTTP.
  --slots=N                  Maximum number of concurrent requests, feeds excluded [default: 4].
  --connections=N            Maximum number of open connections [default: 2000].
  --work-ms=N                Work time of a registration [default: 50].
  --straggler-one-in=N       Make one registration in N a straggler; 0: none [default: 0].
  --straggler-factor=N       A straggler takes N times longer [default: 30].
  --cold-start-ms=N          Work is slower for this long after the start [default: 0].
  --feed-interval-ms=N       Time between feed lines [default: 100].
  --health-lag-ms=N          /health reports the state as of this long ago [default: 0].
  --seed=N                   Seed of stragglers and faults [default: 1].
  --duplicate-one-in=N       Fault: record one registration in N as executed twice [default: 0].
  --lose-one-in=N            Fault: answer one registration in N without executing it [default: 0].
  --false-refusal-one-in=N   Fault: execute one registration in N but refuse it [default: 0].
  --feed-gap-one-in=N        Fault: skip one feed line in N [default: 0].
  --feed-repeat-one-in=N     Fault: repeat one feed line in N [default: 0].
  --feed-corrupt-one-in=N    Fault: corrupt one feed line in N [default: 0].
  --answer-as-service=NAME   Fault: give this service name in answers.
  -h --help                  Show this text.
  --version                  Show the version.
)";

uint32_t count(SettingsReader& settings, const char* flag, uint64_t defaultValue)
{
    return static_cast<uint32_t>(settings.number(flag, defaultValue, 0, 1000000));
}

Milliseconds duration(SettingsReader& settings, const char* flag, Milliseconds defaultValue)
{
    return settings.duration(flag, defaultValue, Milliseconds(0), std::chrono::hours(1));
}

UpstreamOptions readOptions(SettingsReader& settings)
{
    UpstreamOptions options;
    options.service = settings.text("--service", options.service);
    options.name = settings.text("--name", options.name);
    options.listen = settings.endpoint("--listen", options.listen);
    options.admin = settings.endpoint("--admin", options.admin);
    options.mode = settings.boolean("--echo", false) ? UpstreamMode::Echo : UpstreamMode::Http;
    options.slots = count(settings, "--slots", options.slots);
    options.maxConnections = count(settings, "--connections", options.maxConnections);
    options.workTime = duration(settings, "--work-ms", options.workTime);
    options.stragglerOneIn = count(settings, "--straggler-one-in", 0);
    options.stragglerFactor = count(settings, "--straggler-factor", options.stragglerFactor);
    options.coldStart = duration(settings, "--cold-start-ms", options.coldStart);
    options.feedInterval = duration(settings, "--feed-interval-ms", options.feedInterval);
    options.healthLag = duration(settings, "--health-lag-ms", options.healthLag);
    options.seed = count(settings, "--seed", 1);
    options.faults.duplicateOneIn = count(settings, "--duplicate-one-in", 0);
    options.faults.loseOneIn = count(settings, "--lose-one-in", 0);
    options.faults.falseRefusalOneIn = count(settings, "--false-refusal-one-in", 0);
    options.faults.feedGapOneIn = count(settings, "--feed-gap-one-in", 0);
    options.faults.feedRepeatOneIn = count(settings, "--feed-repeat-one-in", 0);
    options.faults.feedCorruptOneIn = count(settings, "--feed-corrupt-one-in", 0);
    options.faults.answerAsService = settings.text("--answer-as-service", "");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "fake-upstream"), "FAKE_UPSTREAM");
    const UpstreamOptions options = readOptions(settings);
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    try {
        const Upstream upstream(options);
        std::cout << "service=" << toString(upstream.endpoint()) << " admin=" << toString(upstream.adminEndpoint())
                  << std::endl;
        boost::asio::io_context io;
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code&, int) {});
        io.run();
    } catch (const boost::system::system_error& error) {
        std::cerr << "fake-upstream: " << error.what()
                  << "; check that the addresses are local and their ports are free\n";
        return exit_codes::unreachable;
    }
    return exit_codes::success;
}
