// Spreads configuration versions between the processes, so that few of them call the platform. No I/O.
//
// A process that takes a newer version announces it to the peers of announcePeers. A peer that is behind fetches the
// manifest and the values that changed from a process that showed the version, and announces it in turn. Now and then
// a process also announces its version to one random peer, which repairs what the overlay missed. The platform is read
// by the selected watchers, and by others only as a fallback.
//
// Announcements also carry for how long the version counts as confirmed, counted from the last answer in which the
// platform showed that version to a watcher.
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

inline constexpr std::string_view instancesKey = "instances"; // key of Fetch and Value for the instance list

// How frames reach a peer.
struct PeerRoute {
    Endpoint endpoint; // dialled on demand; unused if link is set
    uint64_t link = 0; // an accepted link, by a number of the owner of the links

    auto operator<=>(const PeerRoute&) const = default;
};

struct PeerFrame {
    PeerRoute route;
    Frame frame;
};

// Mechanisms that tests switch off to show that their checks fail without them.
struct PropagationMechanisms {
    bool announce = true; // announcements and anti-entropy
    bool askAtStart = true; // a starting process asks peers before it reads the platform
    bool peerFetch = true; // versions are fetched from peers
    bool digestOrder = true; // the digest decides between equal versions
};

// Builds and validates the configuration of a manifest from the fetched values and, for the rest, from the
// configuration in force, which may be null.
Result<std::shared_ptr<const Snapshot>> parseChange(
    const Manifest&, std::string_view manifestBytes, const ValuesByService& fetched, const Snapshot* active);

struct PropagationOptions {
    std::string self; // name in the instance list
    std::vector<Endpoint> seeds; // peers to ask while the instance list is unknown
    WatcherOptions watchers;
    size_t startPeerCount = 5; // asked by a starting process
    Milliseconds startReplyTimeout { 1000 }; // for the answers of these peers
    Milliseconds startTimeout { 10000 }; // after it a starting process accepts an older version of the platform
    Milliseconds fetchTimeout { 500 }; // without progress, before another peer is tried
    size_t fetchWindow = 32; // values requested ahead
    Milliseconds antiEntropyInterval { 15000 };
    Milliseconds startAntiEntropyInterval { 1000 }; // of anti-entropy while the process has no configuration
    double jitter = 0.2; // part of an interval by which it varies in both directions
    Milliseconds confirmationLimit { 300000 }; // a version counts as confirmed for this time
    Milliseconds maxFallbackJitter { 500 }; // platform reads after failed fetches start within this time
    Milliseconds minFallbackDelay { 5000 }; // before a process without configuration or confirmation reads the platform
    Milliseconds maxFallbackDelay { 60000 };
    Milliseconds fallbackDuration { 2000 }; // of one fallback
    uint64_t seed = 1; // of jitter and random peers
    PropagationMechanisms mechanisms;
    std::function<decltype(parseChange)> parse = parseChange; // a test with many instances shares the results
};

struct PropagationUpdate {
    std::shared_ptr<const Snapshot> snapshot; // newer than the one before; null if none
    std::shared_ptr<const std::vector<Member>> members; // instance list of a peer; null if none
};

struct PropagationStatus {
    ConfigVersion version;
    bool isStarting = false; // still asks peers for the highest version
    bool isConfirmed = false;
    std::optional<Milliseconds> sinceConfirmation; // none before the first one
    size_t announcePeers = 0;
    uint64_t peerFetches = 0; // configurations fetched from peers
    uint64_t failedFetches = 0;
    uint64_t fallbacks = 0; // times the platform was read because peers did not provide what was needed
};

//-----------------------------------------------------------------------------
// [SECTION] Propagation
//-----------------------------------------------------------------------------

class Propagation {
public:
    Propagation(PropagationOptions, const Clock&);

    // Events
    void setMembers(std::shared_ptr<const std::vector<Member>>, bool isWatcher);
    void onFrame(const PeerRoute& from, const Frame&); // Announce, Fetch or Value
    void onHint(const PeerRoute& from, uint64_t version); // an ordinary frame carried this version
    void onUnreachable(const PeerRoute&); // a dial failed or the link was lost
    void onPlatformSnapshot(std::shared_ptr<const Snapshot>);
    void onPlatformConfirmation(); // the platform showed the version in force
    void onTimer();

    // Results
    std::vector<PeerFrame> takeFrames();
    PropagationUpdate takeUpdate();
    TimePoint nextTimer() const;
    bool shouldReadPlatform() const; // whether this process is to read the configuration from the platform now
    ConfigVersion version() const;
    PropagationStatus status() const;

private:
    // A peer that showed a version above the one in force.
    struct Source {
        PeerRoute route;
        ConfigVersion version;
        TimePoint confirmedUntil;
    };

    struct FetchState {
        Source source;
        std::string manifestBytes; // empty until it arrived
        Manifest manifest;
        std::deque<std::string> missing; // services to request
        std::set<std::string> outstanding; // requested services
        TimePoint lastProgress; // last answer
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
    void scheduleFallback(Milliseconds least, Milliseconds spread);
    void updateFallback();
    Milliseconds withJitter(Milliseconds);
    Milliseconds randomUpTo(Milliseconds);

    PropagationOptions options;
    const Clock& clock;
    std::mt19937_64 random;
    std::shared_ptr<const std::vector<Member>> members;
    std::vector<Endpoint> peers; // told about a new version
    bool isWatcher = false;
    std::shared_ptr<const Snapshot> accepted;
    std::shared_ptr<const Snapshot> startSnapshot; // from the platform, while starting
    PropagationUpdate update;
    std::vector<PeerFrame> frames;

    bool isStarting = true;
    TimePoint startTime;
    std::optional<TimePoint> startRequestTime;
    std::set<PeerRoute> startRoutes;
    size_t startReplyCount = 0;

    std::deque<Source> sources; // in the order in which they showed a version
    std::optional<FetchState> fetching;
    ValuesByService fetched; // values of an unfinished fetch, for the next source
    ConfigVersion rejectedVersion; // refused as invalid; not fetched again
    uint64_t dismissedHintVersion = 0; // version of a hint whose sender had nothing newer

    TimePoint nextAntiEntropy;
    std::optional<TimePoint> lastConfirmation;
    std::optional<TimePoint> confirmedUntil;
    bool loggedConfirmed = true; // as logged
    std::optional<TimePoint> fallbackStart;
    unsigned consecutiveFallbacks = 0; // in a row
    PropagationStatus counters;
};

} // namespace wasabicroft
