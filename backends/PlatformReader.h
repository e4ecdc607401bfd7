// Control thread of a process: reads the configuration and the instance list from the platform, and exchanges
// configuration versions with peers.
#pragma once

#include "backends/PeerLinks.h"
#include "wasabicroft/ConfigReader.h"

#include <functional>
#include <memory>

namespace wasabicroft {

struct PeerOptions {
    PropagationOptions propagation; // self is overwritten with PlatformReaderOptions::self.
    std::optional<Endpoint> listen; // Accepts links of peers; empty if their frames arrive through onPeerFrame.
    LinkOptions links;
};

struct PlatformReaderOptions {
    Endpoint platform;
    std::string self; // Name of this process in the instance list.
    MemberRole role = MemberRole::Entry;
    // Timeout of a call, in addition to the time for which the platform may delay the answer to a long poll.
    Milliseconds callTimeout { 5000 };
    ConfigReaderOptions timing; // self and role are overwritten with the members above.
    std::optional<PeerOptions> peers; // If empty, the platform is the only source.
    Metrics* metrics = nullptr; // Must be set if peers is set.
};

// State of the reader for the status output.
struct PlatformReaderStatus {
    ConfigVersion version; // Newest accepted version.
    bool isWatching = false; // This process is one of the watchers that poll the platform for changes.
    uint64_t rejected = 0; // Number of published configurations that were rejected as invalid.
    std::optional<TimePoint> lastContact; // Time of the platform's last response.
    PropagationStatus propagation;
};

class PlatformReader {
public:
    // deliver is called on the control thread, only with newer versions and with changed instance lists.
    PlatformReader(PlatformReaderOptions, const Clock&, std::function<void(PlatformUpdate)> deliver);
    ~PlatformReader(); // Calls stop().

    PlatformReader(const PlatformReader&) = delete;
    PlatformReader& operator=(const PlatformReader&) = delete;

    Result<bool> start(); // Fails if the endpoint for peers can't be opened.
    void stop(); // Returns after the control thread has ended.

    // The following functions may be called from any thread.
    void onNewerVersionSeen(ConfigVersion); // Fetches at once because a newer version was seen elsewhere.
    void onPeerSnapshot(std::shared_ptr<const Snapshot>); // Accepts a snapshot that was received from a peer.
    PlatformReaderStatus status() const;

    // Handles a frame of a peer whose link belongs to another thread. reply is called on the control thread.
    using Reply = std::function<void(const Frame&)>;
    void onPeerFrame(uint64_t link, Frame, Reply); // link is the id of the link in that thread.
    // Handles a newer version that a peer sent in a frame other than a control frame.
    void onPeerVersion(uint64_t link, uint64_t version, Reply);

private:
    class ControlThread;
    std::unique_ptr<ControlThread> controlThread;
};

} // namespace wasabicroft
