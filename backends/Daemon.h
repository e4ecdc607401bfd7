// Code shared by the daemons of the data path: common settings, status publication and signal handling.
//
// Index
//   [SECTION] Settings
//   [SECTION] Process
#pragma once

#include "backends/HttpServer.h"
#include "backends/Link.h"
#include "backends/PlatformReader.h"
#include "wasabicroft/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct CommonSettings {
    std::string name; // Name of this instance in the instance list.
    std::string failureDomain;
    Endpoint platform;
    Endpoint linkEndpoint;
    Endpoint admin;
    PropagationOptions propagation;
    LogOptions log;
    LinkOptions links;
    Milliseconds platformTimeout { 5000 };
    Milliseconds shutdownLimit { 0 }; // Open flows are ended after this time; 0 waits without a limit.
    std::vector<std::string> disabledMechanisms; // Mechanisms that a test turned off.
    bool checkOnly = false;

    bool isDisabled(const std::string& mechanism) const;
};

// Usage text of the common settings; defaultLink and defaultAdmin are shown in it.
std::string commonUsage(const std::string& defaultLink, const std::string& defaultAdmin);

CommonSettings readCommonSettings(SettingsReader&, const Endpoint& defaultLink, const Endpoint& defaultAdmin);

// Prints and logs invalid settings, or the result of --check. Returns the exit code if the process should exit.
std::optional<int> settingsExitCode(const SettingsReader&, const CommonSettings&, const std::string& program);

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

struct DaemonHandlers {
    std::function<void(PlatformUpdate&)> onUpdate; // Called on the traffic thread.
    std::function<OperatorStatus()> status; // Called on the traffic thread.
    std::function<void(std::function<void()> onDrained)> shutdown; // Called on the traffic thread.
};

// A daemon has four threads: the caller of run() is the traffic thread, the platform reader runs the control thread,
// the HTTP server the operator thread, and Log the log thread.
//
// The first SIGTERM or SIGINT starts a graceful shutdown, the second one ends the process at once.
class Daemon {
public:
    Daemon(boost::asio::io_context& traffic, const CommonSettings&, MemberRole, const Clock&, Metrics&, DaemonHandlers);
    ~Daemon();

    Result<Endpoint> start(); // Returns the bound operator endpoint.
    void run(); // Returns when the process should exit.

    // The next two are called on the traffic thread, and call reply on it.
    using Reply = std::function<void(const Frame&)>;
    void onPeerFrame(uint64_t link, Frame, Reply); // An Announce, Fetch or Value frame arrived.
    void onPeerVersion(uint64_t link, uint64_t version, const Reply&); // A frame of another kind named a newer version.

private:
    void awaitSignal();
    void beginShutdown();
    void stopAfterLastFrames();
    void publishStatus();
    void scheduleStatus();
    Reply onTrafficThread(Reply); // Wraps the function so that it runs on the traffic thread.

    boost::asio::io_context& context;
    CommonSettings settings;
    Metrics& metrics;
    DaemonHandlers handlers;
    Ring<PlatformUpdate> updates;
    HttpServer operatorServer;
    PlatformReader platformReader;
    boost::asio::signal_set signals;
    boost::asio::steady_timer statusTimer;
    boost::asio::steady_timer stopTimer;
    TimePoint lastPeerVersionTime; // When onPeerVersion last reported a version to the platform reader.
    const Clock& clock;
    bool isShuttingDown = false;
};

} // namespace wasabicroft
