// Runs the test double of the platform as a process; see fakes/Platform.h for its reader and control ports.
#include "fakes/Platform.h"
#include "wasabicroft/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

const std::string usage = R"(Test double of the platform: configuration service and instance list.

Usage:
  fake-platform [--listen-address IP:PORT] [--control-address IP:PORT] [--directory DIR]

Options:
  --listen-address IP:PORT   Address of the reader port; 127.0.0.1:7100 by default.
  --control-address IP:PORT  Address of the control port; 127.0.0.1:7101 by default.
  --directory DIR            Publishes this output directory of wasabictl compile at startup.
  --help                     Shows this text.
  --version                  Shows the version.

Each setting may also come from an environment variable, for example FAKE_PLATFORM_LISTEN_ADDRESS.

Requests of the control port:
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace wasabicroft;
    SettingsReader settings(parseCommandLine(argc, argv, usage + controlHelp, "fake-platform"), "FAKE_PLATFORM");
    FakePlatformOptions options;
    options.endpoint = settings.endpoint("--listen-address", { "127.0.0.1", 7100 });
    options.control = settings.endpoint("--control-address", { "127.0.0.1", 7101 });
    const std::string directory = settings.text("--directory", "");
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    try {
        FakePlatform platform(options);
        if (!directory.empty()) {
            const Result<bool> published = platform.publishDirectory(directory);
            if (!published) {
                printErrors({ published.error() });
                return exit_codes::invalidInput;
            }
        }
        std::cout << "ready endpoint=" << toString(platform.endpoint())
                  << " control=" << toString(platform.controlEndpoint()) << std::endl;
        boost::asio::io_context context;
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([](const boost::system::error_code&, int) {});
        context.run();
    } catch (const boost::system::system_error& error) {
        printErrors({ { ErrorKind::SystemCall,
            std::string("cannot listen (") + error.what()
                + "); check that the address is local and its port is free" } });
        return exit_codes::unreachable;
    }
    return exit_codes::success;
}
