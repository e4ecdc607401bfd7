// The control thread of a process: reads the configuration and the instance list from the platform, and exchanges
// configuration versions with peers.
#pragma once

#include "backends/PeerLinks.h"
#include "wasabicroft/ConfigReader.h"

#include <functional>
#include <memory>

namespace wasabicroft {

struct PeerOptions {
    PropagationOptions propagation; // self is taken from PlatformReaderOptions
    std::optional<Endpoint> listen; // accepts links of peers; empty if they arrive through onPeerFrame
    LinkOptions links;
};

struct PlatformReaderOptions {
    Endpoint platform;
    std::string self; // name in the instance list
    MemberRole role = MemberRole::Entry;
    Milliseconds callTimeout { 5000 }; // beyond the time for which the platform may hold a watch
    ConfigReaderOptions timing; // self and role are taken from above
    std::optional<PeerOptions> peers; // empty: the platform is the only source
    Metrics* metrics = nullptr; // needed with peers
};

// What status output reports about the reader.
struct PlatformReaderStatus {
    ConfigVersion version; // newest accepted
    bool watches = false;
    uint64_t rejected = 0; // published states refused as invalid
    std::optional<TimePoint> lastContact; // last answer of the platform
    PropagationStatus propagation;
};

class PlatformReader {
public:
    // deliver is called on the control thread, only with newer versions and with changed instance lists.
    PlatformReader(PlatformReaderOptions, const Clock&, std::function<void(PlatformUpdate)> deliver);
    ~PlatformReader(); // stops

    PlatformReader(const PlatformReader&) = delete;
    PlatformReader& operator=(const PlatformReader&) = delete;

    Result<bool> start(); // fails if the endpoint for peers can't be opened
    void stop(); // returns after the control thread has ended

    // The rest may be called from any thread.
    void hint(ConfigVersion); // a newer version was seen elsewhere: fetches at once
    void offer(std::shared_ptr<const Snapshot>); // came from a peer
    PlatformReaderStatus status() const;

    // A frame of a peer whose link belongs to another thread. reply is called on the control thread.
    using Reply = std::function<void(const Frame&)>;
    void onPeerFrame(uint64_t link, Frame, Reply); // link numbers the links of that thread
    void onPeerVersion(uint64_t link, uint64_t version, Reply); // an ordinary frame of the peer carried a newer version

private:
    class ControlThread;
    std::unique_ptr<ControlThread> controlThread;
};

} // namespace wasabicroft
