// Gossip protocol that distributes configuration versions between the processes, so that only a few of them need to
// read the platform. No I/O.
//
// A process that accepts a newer version announces it to the peers that announcePeers() selects. A peer with an older
// version fetches the manifest and the changed values from a process that announced the newer one, and announces it in
// turn. Periodically, a process also announces its version to one random peer (anti-entropy), which reaches processes
// that missed an announcement. Only the selected watchers read the platform; other processes do so as a fallback.
//
// Announcements also carry how long the version remains confirmed. A version is confirmed for a limited time after the
// platform last returned it to a watcher.
//
// Index
//   [SECTION] Peers and options
//   [SECTION] Propagation
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/ConfigCodec.h"
#include "wasabicroft/Frame.h"
#include "wasabicroft/Membership.h"

#include <deque>
#include <optional>
#include <random>
#include <set>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Peers and options
//-----------------------------------------------------------------------------

inline constexpr std::string_view instancesKey = "instances"; // Key of the instance list in Fetch and Value frames.

// Identifies the connection to a peer.
struct PeerRoute {
    Endpoint endpoint; // Connected to on demand; unused if link is set.
    uint64_t link = 0; // Number of an accepted link, assigned by the owner of the links; 0 if none.

    auto operator<=>(const PeerRoute&) const = default;
};

struct PeerFrame {
    PeerRoute route;
    Frame frame;
};

// Parts of the protocol that tests switch off to show that their checks then fail.
struct PropagationMechanisms {
    bool announce = true; // Announcements and anti-entropy.
    bool askAtStart = true; // A starting process asks peers before it reads the platform.
    bool peerFetch = true; // Versions are fetched from peers.
    bool digestOrder = true; // The digest orders configurations with equal epoch and version.
};

// Builds and validates the configuration of a manifest. Services that were not fetched are taken from the active
// configuration, which may be null.
Result<std::shared_ptr<const Snapshot>> parseChange(
    const Manifest&, std::string_view manifestBytes, const ValuesByService& fetched, const Snapshot* active);

struct PropagationOptions {
    std::string self; // Name of this process in the instance list.
    std::vector<Endpoint> seeds; // Peers to contact before an instance list was received.
    WatcherOptions watchers;
    size_t startPeerCount = 5; // Peers that a starting process asks.
    Milliseconds startReplyTimeout { 1000 }; // Time to wait for the replies of these peers.
    // Maximum duration of the start. After that, the version of the platform is accepted even if peers may have a newer
    // one.
    Milliseconds startTimeout { 10000 };
    Milliseconds fetchTimeout { 500 }; // Time without progress after which another peer is tried.
    size_t fetchWindow = 32; // Maximum number of outstanding value requests.
    Milliseconds antiEntropyInterval { 15000 };
    Milliseconds startAntiEntropyInterval { 1000 }; // Used without a configuration or an instance list.
    double jitter = 0.2; // Fraction by which intervals vary randomly in both directions.
    Milliseconds confirmationLimit { 300000 }; // A version remains confirmed for this time.
    Milliseconds maxFallbackJitter { 500 }; // Maximum random delay of a platform read after failed fetches.

    // Delay before a process without a configuration or confirmation reads the platform; doubles up to the maximum.
    Milliseconds minFallbackDelay { 5000 };
    Milliseconds maxFallbackDelay { 60000 };
    Milliseconds fallbackDuration { 2000 }; // Time for which one fallback reads the platform.
    uint64_t seed = 1; // Seed of jitter and of the choice of random peers.
    PropagationMechanisms mechanisms;
    std::function<decltype(parseChange)> parse = parseChange; // Simulations replace it to share results.
};

struct PropagationUpdate {
    std::shared_ptr<const Snapshot> snapshot; // Newer than the previous one; null if unchanged.
    std::shared_ptr<const std::vector<Member>> members; // Instance list from a peer; null if none.
};

struct PropagationStatus {
    ConfigVersion version;
    bool isStarting = false; // The process is still fetching the highest version of its peers.
    bool isConfirmed = false;
    std::optional<Milliseconds> sinceConfirmation; // Empty before the first confirmation.
    size_t announcePeers = 0; // Number of peers that receive announcements.
    uint64_t peerFetches = 0; // Configurations fetched from peers.
    uint64_t failedFetches = 0;
    uint64_t fallbacks = 0; // Periods of reading the platform because peers did not provide a version or confirmation.
};

//-----------------------------------------------------------------------------
// [SECTION] Propagation
//-----------------------------------------------------------------------------

class Propagation {
public:
    Propagation(PropagationOptions, const Clock&);

    // Events
    void setMembers(std::shared_ptr<const std::vector<Member>>, bool isWatcher);
    void onFrame(const PeerRoute& from, const Frame&); // Handles Announce, Fetch and Value frames.
    void onVersionSeen(const PeerRoute& from, uint64_t seen); // A frame of another kind carried this version.
    void onUnreachable(const PeerRoute&); // A connection attempt failed or the link was lost.
    void onPlatformSnapshot(std::shared_ptr<const Snapshot>);
    void onPlatformConfirmation(); // The platform returned the active version.
    void onTimer();

    // Results
    std::vector<PeerFrame> takeFrames();
    PropagationUpdate takeUpdate();
    TimePoint nextTimer() const;
    bool shouldReadPlatform() const; // Whether the owner must read the configuration from the platform now.
    ConfigVersion version() const;
    PropagationStatus status() const;

private:
    // A peer that has a newer version than this process.
    struct Source {
        PeerRoute route;
        ConfigVersion version;
        TimePoint confirmedUntil;
    };

    struct FetchState {
        Source source;
        std::string manifestBytes; // Empty until the manifest arrives.
        Manifest manifest;
        std::deque<std::string> missing; // Services to request.
        std::set<std::string> outstanding; // Services that were requested but have not arrived.
        TimePoint lastProgress; // Time of the last answer, or of the start.
    };

    // Start
    void askAtStart();
    void finishStartIfReady();

    // Announcements
    Frame announcement() const;
    void announce(const PeerRoute&, uint8_t flags = 0);
    void announceToPeers();
    void announceToRandomPeer();
    void onAnnounce(const PeerRoute&, const Frame&);
    bool isNewer(ConfigVersion) const;

    // Fetching
    void answerFetch(const PeerRoute&, const Frame& fetch);
    void addSource(Source);
    void removeSource(const PeerRoute&);
    void fetchNext();
    void requestValues();
    void requestValue(const std::string& key);
    void onValue(const PeerRoute&, const Frame&);
    void onManifest(const Frame&);
    void onServiceValue(const Frame&);
    void abandonFetch(const std::string& reason);
    void finishFetch();
    void accept(std::shared_ptr<const Snapshot>, TimePoint confirmedUntil);

    // Confirmation and fallback
    void confirm(TimePoint until);
    bool isConfirmed() const;
    bool needsFallback() const;
    void scheduleFallback(Milliseconds minDelay, Milliseconds spread);
    void updateFallback();
    Milliseconds withJitter(Milliseconds);
    Milliseconds randomUpTo(Milliseconds);

    PropagationOptions options;
    const Clock& clock;
    std::mt19937_64 random;
    std::shared_ptr<const std::vector<Member>> members;
    std::vector<Endpoint> peers; // Receive announcements of new versions.
    bool isWatcher = false;
    std::shared_ptr<const Snapshot> accepted;
    std::shared_ptr<const Snapshot> startSnapshot; // Snapshot of the platform that is kept until the start ends.
    PropagationUpdate update;
    std::vector<PeerFrame> frames;

    bool isStarting = true;
    TimePoint startTime;
    std::optional<TimePoint> startRequestTime;
    std::set<PeerRoute> startRoutes; // Peers that were asked, without those that are unreachable.
    size_t startReplyCount = 0;

    std::deque<Source> sources; // In the order in which they first announced a newer version.
    std::optional<FetchState> fetching;
    ValuesByService fetched; // Values of an unfinished fetch; the next source need not send them again.
    ConfigVersion rejectedVersion; // Rejected as invalid; not fetched again.
    uint64_t unavailableVersion = 0; // Highest version seen in a frame whose sender had nothing newer.

    TimePoint nextAntiEntropy;
    std::optional<TimePoint> lastConfirmation;
    std::optional<TimePoint> confirmedUntil;
    bool loggedConfirmed = true; // Last logged state of the confirmation.
    std::optional<TimePoint> fallbackStart;
    unsigned consecutiveFallbacks = 0; // Each doubles the delay of the next one.
    PropagationStatus counters;
};

} // namespace wasabicroft
