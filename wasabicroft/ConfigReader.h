// Schedules the reads of the configuration and of the instance list from the platform, which stores what operators
// publish, and decides which of the values that were read take effect. No I/O.
//
// There are two independent streams, one for the configuration and one for the instance list. Each has at most one call
// in flight. The owner of a ConfigReader makes the calls that nextCall() returns and reports their results to it.
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

// A read of one value from the platform.
struct PlatformCall {
    uint64_t number = 0; // Identifies the call; results of earlier calls of the stream are ignored.
    PlatformStream stream = PlatformStream::Config;
    std::string key; // Empty for the instance list.
    std::optional<uint64_t> knownIndex; // The platform answers "not modified" while the index is unchanged.
    Milliseconds wait { 0 }; // Long poll: time for which the platform may delay the answer until the index changes.
};

// New state for the process. Either member may be null.
struct PlatformUpdate {
    std::shared_ptr<const Snapshot> snapshot;
    std::shared_ptr<const std::vector<Member>> members;
};

//-----------------------------------------------------------------------------
// [SECTION] ConfigReader
//-----------------------------------------------------------------------------

struct ConfigReaderOptions {
    std::string self; // Name of this process in the instance list.
    MemberRole role = MemberRole::Entry;
    Milliseconds pollInterval { 20000 }; // Time between reads of the manifest in a process that is not a watcher.
    Milliseconds entryInstancePollInterval { 3000 }; // Short, so that entries react to a leaving instance within 5 s.
    Milliseconds agentInstancePollInterval { 15000 };
    double jitter = 0.2; // Fraction by which intervals vary randomly in both directions.
    Milliseconds watchTimeout { 25000 }; // Long-poll time of a watcher.
    Milliseconds minWatchInterval { 100 }; // Minimum time between the ends of two long polls.
    Milliseconds minBackOff { 200 };
    Milliseconds maxBackOff { 10000 };
    // Maximum back-off of a watcher while the published state is invalid, so that a correction applies within 3 s.
    Milliseconds maxWatcherRetryDelay { 2000 };
    WatcherOptions watchers;
    uint64_t seed = 1; // Seed of the jitter.
};

class ConfigReader {
public:
    ConfigReader(ConfigReaderOptions, const Clock&);

    // Returns the call of a stream that is due, if any. The owner must then abandon an earlier call of that stream.
    std::optional<PlatformCall> nextCall(PlatformStream);

    // Returns when nextCall() may return a call if no event comes first; TimePoint::max() while a call is in flight.
    TimePoint nextCallTime(PlatformStream) const;

    // Result of a call. bytes is std::nullopt if the platform has no such key.
    void onValue(const PlatformCall&, uint64_t index, const std::optional<std::string>& bytes);
    void onNotModified(const PlatformCall&);
    void onFailure(const PlatformCall&, const std::string& reason);

    // A newer version was seen elsewhere: the manifest is read at once.
    void onNewerVersionSeen(ConfigVersion);

    // Accepts a snapshot from a peer if it is newer.
    void onPeerSnapshot(std::shared_ptr<const Snapshot>);

    // Accepts an instance list from a peer unless one was read from the platform.
    void onPeerMembers(std::shared_ptr<const std::vector<Member>>);

    // Enables or disables reads of the configuration; enabled by default. The values of a manifest that was already
    // read are read in any case.
    void setConfigReadsEnabled(bool);

    // Returns what changed since the last call. Each snapshot is newer than the one before.
    PlatformUpdate takeUpdate();

    ConfigVersion version() const; // Newest accepted version.
    bool isWatching() const; // Whether this process is one of the selected watchers.
    std::optional<TimePoint> lastContact() const; // Time of the last answer of the platform.
    std::optional<TimePoint> lastConfirmation() const; // Time when the platform last returned version().
    uint64_t rejectedCount() const; // Number of published states that were rejected as invalid.

private:
    enum class Outcome : uint8_t {
        Unchanged, // Wait for a change.
        Continue, // Read the next value at once.
        Retry, // Read again after a back-off.
    };

    struct StreamState {
        std::optional<PlatformCall> inFlight;
        TimePoint due;
        std::optional<uint64_t> index; // Index of the last processed value; empty forces an unconditional read.
        unsigned retries = 0; // Consecutive retries.
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
    std::string pendingManifestBytes; // Manifest whose values are being read; empty if none.
    Manifest pendingManifest;
    std::map<std::string, CachedValue> cache; // By service; holds only values that match the digest of a manifest.
    ConfigVersion newestVersionSeen; // Newest version that was reported as seen elsewhere.
    ConfigVersion ignoredVersion; // Last version that was logged as older than the active one.
    std::string lastRejection;
    std::optional<TimePoint> lastContactTime;
    uint64_t rejections = 0;
    std::optional<TimePoint> lastConfirmationTime;
    ConfigVersion platformVersion; // Version of the last manifest that the platform returned.
    bool isWatcher = false;
    bool configReadsEnabled = true;
    bool hasMembers = false; // Whether the platform has returned an instance list.
};

} // namespace wasabicroft
