// Parts that the daemons of the data path share: common settings, status publication and the stop signal.
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
    std::string name; // in the instance list
    std::string failureDomain;
    Endpoint platform;
    Endpoint linkEndpoint;
    Endpoint admin;
    PropagationOptions propagation;
    LogOptions log;
    LinkOptions links;
    Milliseconds platformTimeout { 5000 };
    Milliseconds shutdownLimit { 0 }; // 0: waits for open flows without a limit
    std::vector<std::string> disabledMechanisms; // mechanisms that a test switched off
    bool checkOnly = false;

    bool isDisabled(const std::string& mechanism) const;
};

// The lines of the usage text that describe the common settings; defaultLink and defaultAdmin are shown there.
std::string commonUsage(const std::string& defaultLink, const std::string& defaultAdmin);

CommonSettings readCommonSettings(SettingsReader&, const Endpoint& defaultLink, const Endpoint& defaultAdmin);

// Prints and logs wrong settings, or the result of --check. Returns an exit code if the process is not to go on.
std::optional<int> settingsExitCode(const SettingsReader&, const CommonSettings&, const std::string& program);

//-----------------------------------------------------------------------------
// [SECTION] Process
//-----------------------------------------------------------------------------

struct DaemonHandlers {
    std::function<void(PlatformUpdate&)> onUpdate; // on the traffic thread
    std::function<OperatorStatus()> status; // on the traffic thread
    std::function<void(std::function<void()> onDrained)> shutdown; // on the traffic thread
};

// Threads of a daemon: the caller's thread is the traffic thread, the platform reader runs the control thread, the HTTP
// server the operator thread, and Log the log thread.
//
// The first SIGTERM or SIGINT starts a graceful shutdown, the second one ends the process at once.
class Daemon {
public:
    Daemon(boost::asio::io_context& traffic, const CommonSettings&, MemberRole, const Clock&, Metrics&, DaemonHandlers);
    ~Daemon();

    Result<Endpoint> start(); // the operator endpoint in use
    void run(); // returns when the process is to end

    // The next two belong to the traffic thread; reply is called on it.
    using Reply = std::function<void(const Frame&)>;
    void onPeerFrame(uint64_t link, Frame, Reply); // Announce, Fetch or Value
    void onPeerVersion(uint64_t link, uint64_t version, const Reply&); // a peer named a newer version in another frame

private:
    void awaitSignal();
    void beginShutdown();
    void stopAfterLastFrames();
    void publishStatus();
    void scheduleStatus();
    Reply onTrafficThread(Reply);

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
    TimePoint lastPeerVersionTime; // passed on
    const Clock& clock;
    bool isShuttingDown = false;
};

} // namespace wasabicroft
