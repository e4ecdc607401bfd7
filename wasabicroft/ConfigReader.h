// Decides when a process reads the platform and which of the things it reads take effect. No I/O.
//
// Two streams run side by side, one for the configuration and one for the instance list; each has at most one call in
// flight. The owner makes the calls that nextCall returns and reports their outcome.
//
// Index
//   [SECTION] Calls
//   [SECTION] ConfigReader
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/ConfigCodec.h"
#include "wasabicroft/Membership.h"

#include <optional>
#include <random>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

enum class PlatformStream : uint8_t { Config, Instances };

inline constexpr std::array<std::string_view, 2> platformStreamNames = { "config", "instances" };
inline constexpr size_t platformStreamCount = platformStreamNames.size();

// One read of the platform.
struct PlatformCall {
    uint64_t number = 0; // identifies the call; reports about earlier calls of the stream are ignored
    PlatformStream stream = PlatformStream::Config;
    std::string key; // empty for the instance list
    std::optional<uint64_t> knownIndex; // the platform answers "not modified" while the index is the same
    Milliseconds wait { 0 }; // how long the platform may hold the call back while the index is the same
};

// Either may be null.
struct PlatformUpdate {
    std::shared_ptr<const Snapshot> snapshot;
    std::shared_ptr<const std::vector<Member>> members;
};

//-----------------------------------------------------------------------------
// [SECTION] ConfigReader
//-----------------------------------------------------------------------------

struct ConfigReaderOptions {
    std::string self; // name in the instance list
    MemberRole role = MemberRole::Entry;
    Milliseconds pollInterval { 20000 }; // manifest, where this process does not watch
    Milliseconds entryInstancePollInterval { 3000 }; // entries act on a leaving mark within 5 s
    Milliseconds agentInstancePollInterval { 15000 };
    double jitter = 0.2; // part of an interval by which it varies in both directions
    Milliseconds watchTimeout { 25000 };
    Milliseconds minWatchInterval { 100 }; // least time between the ends of two watches
    Milliseconds minBackOff { 200 };
    Milliseconds maxBackOff { 10000 };
    Milliseconds maxWatcherRetryDelay { 2000 }; // while the published state is invalid; changes take effect within 3 s
    WatcherOptions watchers;
    uint64_t seed = 1; // of the jitter
};

class ConfigReader {
public:
    ConfigReader(ConfigReaderOptions, const Clock&);

    // The next call of a stream that is due, if any. It replaces a call of the stream that is in flight: the owner
    // abandons that one.
    std::optional<PlatformCall> nextCall(PlatformStream);

    // When nextCall may return a call, if nothing else happens. Far in the future while a call is in flight.
    TimePoint nextCallTime(PlatformStream) const;

    // Outcome of a call. bytes are null if the platform has no such key.
    void onValue(const PlatformCall&, uint64_t index, const std::optional<std::string>& bytes);
    void onNotModified(const PlatformCall&);
    void onFailure(const PlatformCall&, const std::string& reason);

    // A newer version was seen elsewhere: reads the manifest at once.
    void hint(ConfigVersion);

    // A snapshot that came from a peer.
    void onPeerSnapshot(std::shared_ptr<const Snapshot>);

    // An instance list that came from a peer; ignored once the platform gave one.
    void onPeerMembers(std::shared_ptr<const std::vector<Member>>);

    // Whether the configuration stream reads the platform; on at first. Values of a manifest that was read before are
    // still read.
    void setConfigReadsEnabled(bool);

    // What changed since the last call. Versions of snapshots only rise.
    PlatformUpdate takeUpdate();

    ConfigVersion version() const; // newest accepted
    bool isWatching() const; // whether this process is one of the selected watchers
    std::optional<TimePoint> lastContact() const; // last answer of the platform
    std::optional<TimePoint> lastConfirmation() const; // last answer that showed the newest accepted version
    uint64_t rejectedCount() const; // published states that were refused as invalid

private:
    enum class Outcome : uint8_t {
        Unchanged, // wait for a change
        Continue, // more values are to be read now
        Retry, // read again after a back-off
    };

    struct StreamState {
        std::optional<PlatformCall> inFlight;
        TimePoint due;
        std::optional<uint64_t> index; // of the last value taken; none forces an unconditional read
        unsigned retries = 0; // in a row
        bool isUnreachable = false;
    };

    struct CachedValue {
        uint64_t digest = 0;
        std::string bytes;
    };

    StreamState& stateOf(PlatformStream stream) { return this->streams.at(static_cast<size_t>(stream)); }
    const StreamState& stateOf(PlatformStream stream) const { return this->streams.at(static_cast<size_t>(stream)); }
    bool finishCall(const PlatformCall&);
    void recordContact(StreamState&);
    void schedule(PlatformStream, Outcome);
    Milliseconds interval(PlatformStream) const;
    Milliseconds withJitter(Milliseconds interval);
    Milliseconds backOffLimit(PlatformStream) const;
    Milliseconds backOff(unsigned retries, Milliseconds limit);

    Outcome handleConfigValue(const PlatformCall&, uint64_t index, const std::optional<std::string>& bytes);
    Outcome handleManifest(const std::string& bytes);
    Outcome handleMembers(const std::optional<std::string>& bytes);
    void applyMembers(std::shared_ptr<const std::vector<Member>>);
    bool mayRead(PlatformStream) const;
    void recordPlatformVersion(ConfigVersion);
    void cacheAcceptedValues();
    Outcome finishSnapshot();
    void accept(std::shared_ptr<const Snapshot>);
    void reject(const std::string& reason);
    const std::string* missingService() const;

    ConfigReaderOptions options;
    const Clock& clock;
    std::mt19937_64 random;
    std::array<StreamState, platformStreamCount> streams;
    uint64_t callCount = 0;
    std::shared_ptr<const Snapshot> accepted;
    PlatformUpdate update;
    std::string pendingManifestBytes; // manifest whose values are being read; empty if none
    Manifest pendingManifest;
    std::map<std::string, CachedValue> cache; // by service; holds only values that matched a manifest
    ConfigVersion hintedVersion;
    ConfigVersion ignoredVersion; // last older version that was logged
    std::string lastRejection;
    std::optional<TimePoint> lastContactTime;
    uint64_t rejections = 0;
    std::optional<TimePoint> lastConfirmationTime;
    ConfigVersion platformVersion; // last manifest of the platform
    bool isWatcher = false;
    bool configReadsEnabled = true;
    bool hasMembers = false; // from the platform
};

} // namespace wasabicroft
