#include "wasabicroft/ConfigReader.h"

#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    constexpr unsigned maxDoublings = 16; // Keeps the back-off from overflowing.

} // namespace

ConfigReader::ConfigReader(ConfigReaderOptions readerOptions, const Clock& time)
    : options(std::move(readerOptions))
    , clock(time)
    , random(this->options.seed)
{
    for (StreamState& stream : this->streams)
        stream.due = this->clock.now();
}

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

std::optional<PlatformCall> ConfigReader::nextCall(PlatformStream which)
{
    StreamState& stream = this->stateOf(which);
    if (stream.inFlight || !this->mayRead(which) || this->clock.now() < stream.due)
        return std::nullopt;
    PlatformCall call;
    call.number = ++this->callCount;
    call.stream = which;
    const std::string* missing = which == PlatformStream::Config ? this->missingService() : nullptr;
    if (missing) {
        call.key = serviceKey(*missing);
    } else {
        call.key = which == PlatformStream::Config ? std::string(manifestKey) : std::string();
        call.knownIndex = stream.index;
        call.wait = this->isWatcher && stream.index ? this->options.watchTimeout : Milliseconds(0);
    }
    stream.inFlight = call;
    return call;
}

TimePoint ConfigReader::nextCallTime(PlatformStream which) const
{
    const StreamState& stream = this->stateOf(which);
    return stream.inFlight || !this->mayRead(which) ? TimePoint::max() : stream.due;
}

bool ConfigReader::mayRead(PlatformStream which) const
{
    return which != PlatformStream::Config || this->configReadsEnabled || !this->pendingManifestBytes.empty();
}

void ConfigReader::setConfigReadsEnabled(bool enabled)
{
    if (enabled && !this->configReadsEnabled) {
        StreamState& stream = this->stateOf(PlatformStream::Config);
        stream.due = std::min(stream.due, this->clock.now());
    }
    this->configReadsEnabled = enabled;
}

bool ConfigReader::finishCall(const PlatformCall& call)
{
    StreamState& stream = this->stateOf(call.stream);
    if (!stream.inFlight || stream.inFlight->number != call.number)
        return false;
    stream.inFlight.reset();
    return true;
}

void ConfigReader::recordContact(StreamState& stream)
{
    this->lastContactTime = this->clock.now();
    if (stream.isUnreachable)
        logEvent(Event::PlatformReachable, { { "failures", stream.retries } });
    stream.isUnreachable = false;
}

void ConfigReader::onValue(const PlatformCall& call, uint64_t index, const std::optional<std::string>& bytes)
{
    if (!this->finishCall(call))
        return;
    StreamState& stream = this->stateOf(call.stream);
    this->recordContact(stream);
    if (call.stream == PlatformStream::Config) {
        this->schedule(call.stream, this->handleConfigValue(call, index, bytes));
        return;
    }
    stream.index = index;
    this->schedule(call.stream, this->handleMembers(bytes));
}

void ConfigReader::onNotModified(const PlatformCall& call)
{
    if (!this->finishCall(call))
        return;
    this->recordContact(this->stateOf(call.stream));
    if (call.stream == PlatformStream::Config)
        this->recordPlatformVersion(this->platformVersion);
    const bool isBehind = call.stream == PlatformStream::Config && this->newestVersionSeen > this->version();
    this->schedule(call.stream, isBehind ? Outcome::Retry : Outcome::Unchanged);
}

void ConfigReader::onFailure(const PlatformCall& call, const std::string& reason)
{
    if (!this->finishCall(call))
        return;
    StreamState& stream = this->stateOf(call.stream);
    if (!stream.isUnreachable)
        logEvent(Event::PlatformUnreachable,
            { { "stream", platformStreamNames.at(static_cast<size_t>(call.stream)) }, { "key", call.key },
                { "reason", reason } });
    stream.isUnreachable = true;
    this->schedule(call.stream, Outcome::Retry);
}

//-----------------------------------------------------------------------------
// Timing
//-----------------------------------------------------------------------------

void ConfigReader::schedule(PlatformStream which, Outcome outcome)
{
    StreamState& stream = this->stateOf(which);
    Milliseconds delay { 0 };
    if (outcome == Outcome::Retry)
        delay = this->backOff(stream.retries++, this->backOffLimit(which));
    if (outcome == Outcome::Unchanged) {
        stream.retries = 0;
        delay = this->isWatcher ? this->options.minWatchInterval : this->withJitter(this->interval(which));
    }
    stream.due = this->clock.now() + delay;
}

Milliseconds ConfigReader::backOffLimit(PlatformStream which) const
{
    if (this->stateOf(which).isUnreachable)
        return this->options.maxBackOff;
    // A state that stays invalid must not cause more platform calls than a valid one. Only the watchers, of which there
    // are few, retry sooner: they find the corrected state and announce it.
    if (this->isWatcher)
        return std::min(this->options.maxBackOff, this->options.maxWatcherRetryDelay);
    return std::max(this->options.maxBackOff, this->interval(which));
}

Milliseconds ConfigReader::interval(PlatformStream which) const
{
    if (which == PlatformStream::Config)
        return this->options.pollInterval;
    return this->options.role == MemberRole::Entry ? this->options.entryInstancePollInterval
                                                   : this->options.agentInstancePollInterval;
}

Milliseconds ConfigReader::withJitter(Milliseconds interval)
{
    std::uniform_real_distribution<double> factor(1 - this->options.jitter, 1 + this->options.jitter);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(interval.count()) * factor(this->random)));
}

Milliseconds ConfigReader::backOff(unsigned retries, Milliseconds limit)
{
    const Milliseconds full = std::min(limit, this->options.minBackOff * (1u << std::min(retries, maxDoublings)));
    std::uniform_int_distribution<int64_t> delay(full.count() / 2, full.count());
    return Milliseconds(delay(this->random));
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

ConfigReader::Outcome ConfigReader::handleConfigValue(
    const PlatformCall& call, uint64_t index, const std::optional<std::string>& bytes)
{
    StreamState& stream = this->stateOf(PlatformStream::Config);
    if (call.key == manifestKey) {
        stream.index = index;
        if (bytes)
            return this->handleManifest(*bytes);
        this->reject("the platform has no manifest; publish the output of wasabictl compile");
        return Outcome::Retry;
    }
    const std::string service = call.key.substr(serviceKeyPrefix.size());
    const auto entry = std::find_if(this->pendingManifest.services.begin(), this->pendingManifest.services.end(),
        [&](const ManifestEntry& candidate) { return candidate.service == service; });
    if (this->pendingManifestBytes.empty() || entry == this->pendingManifest.services.end())
        return Outcome::Continue; // A snapshot from a peer made this read unnecessary.
    if (!bytes || digestOf(*bytes) != entry->digest) {
        this->reject("the value of service '" + service
            + (bytes ? "' does not match its digest in the manifest" : "' is missing")
            + "; wait for the publication to finish or publish again");
        this->pendingManifestBytes.clear();
        stream.index.reset();
        return Outcome::Retry;
    }
    this->cache[service] = { entry->digest, *bytes };
    return this->missingService() ? Outcome::Continue : this->finishSnapshot();
}

ConfigReader::Outcome ConfigReader::handleManifest(const std::string& bytes)
{
    this->pendingManifestBytes.clear();
    const Result<Manifest> manifest = decodeManifest(bytes);
    if (!manifest) {
        this->reject(manifest.error().message);
        return Outcome::Unchanged;
    }
    const ConfigVersion manifestVersion = versionOf(manifest.value(), bytes);
    const ConfigVersion current = this->version();
    if (manifestVersion < current && manifestVersion != this->ignoredVersion) {
        logEvent(Event::OlderConfigIgnored,
            { { "epoch", manifestVersion.epoch }, { "version", manifestVersion.version },
                { "epoch-in-force", current.epoch }, { "version-in-force", current.version } });
        this->ignoredVersion = manifestVersion;
    }
    this->recordPlatformVersion(manifestVersion);
    if (manifestVersion <= current)
        return this->newestVersionSeen > current ? Outcome::Retry : Outcome::Unchanged;
    this->pendingManifestBytes = bytes;
    this->pendingManifest = manifest.value();
    this->cacheAcceptedValues();
    return this->missingService() ? Outcome::Continue : this->finishSnapshot();
}

ConfigReader::Outcome ConfigReader::finishSnapshot()
{
    ValuesByService values;
    for (const ManifestEntry& entry : this->pendingManifest.services)
        values[entry.service] = this->cache.at(entry.service).bytes;
    const Result<std::shared_ptr<const Snapshot>> snapshot = parseSnapshot(this->pendingManifestBytes, values);
    this->pendingManifestBytes.clear();
    if (!snapshot) {
        this->reject(snapshot.error().message);
        return Outcome::Unchanged;
    }
    this->accept(snapshot.value());
    this->recordPlatformVersion(this->version());
    return this->newestVersionSeen > this->version() ? Outcome::Retry : Outcome::Unchanged;
}

void ConfigReader::accept(std::shared_ptr<const Snapshot> snapshot)
{
    this->accepted = std::move(snapshot);
    this->update.snapshot = this->accepted;
    this->lastRejection.clear();
    std::erase_if(
        this->cache, [&](const auto& item) { return this->accepted->find(serviceIdOf(item.first)) == nullptr; });
    const ConfigVersion version = this->version();
    logEvent(Event::ConfigAccepted,
        { { "epoch", version.epoch }, { "version", version.version },
            { "services", static_cast<uint64_t>(this->accepted->services.size()) } });
}

void ConfigReader::recordPlatformVersion(ConfigVersion returned)
{
    this->platformVersion = returned;
    if (this->accepted && returned == this->version())
        this->lastConfirmationTime = this->clock.now();
}

// Avoids reading values from the platform that came with a snapshot from a peer.
void ConfigReader::cacheAcceptedValues()
{
    if (!this->accepted)
        return;
    std::map<std::string_view, uint64_t> acceptedDigests;
    for (const ManifestEntry& entry : this->accepted->manifest.services)
        acceptedDigests[entry.service] = entry.digest;
    for (const ManifestEntry& entry : this->pendingManifest.services) {
        const auto digest = acceptedDigests.find(entry.service);
        if (digest == acceptedDigests.end() || digest->second != entry.digest)
            continue;
        CachedValue& cached = this->cache[entry.service];
        if (cached.digest != entry.digest || cached.bytes.empty())
            cached = { entry.digest, encodeService(*this->accepted->find(serviceIdOf(entry.service))) };
    }
}

void ConfigReader::reject(const std::string& reason)
{
    ++this->rejections;
    if (reason != this->lastRejection)
        logEvent(Event::ConfigRejected,
            { { "reason", reason }, { "epoch-in-force", this->version().epoch },
                { "version-in-force", this->version().version } });
    this->lastRejection = reason;
}

const std::string* ConfigReader::missingService() const
{
    if (this->pendingManifestBytes.empty())
        return nullptr;
    for (const ManifestEntry& entry : this->pendingManifest.services) {
        const auto cached = this->cache.find(entry.service);
        if (cached == this->cache.end() || cached->second.digest != entry.digest)
            return &entry.service;
    }
    return nullptr;
}

void ConfigReader::onNewerVersionSeen(ConfigVersion seen)
{
    if (seen <= this->version() || seen <= this->newestVersionSeen)
        return;
    this->newestVersionSeen = seen;
    StreamState& stream = this->stateOf(PlatformStream::Config);
    if (stream.inFlight && stream.inFlight->wait.count() == 0)
        return; // If the read in flight returns an older version, it is retried anyway.
    stream.inFlight.reset();
    stream.index.reset();
    stream.retries = 0;
    stream.due = this->clock.now();
}

void ConfigReader::onPeerSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    if (versionOf(*snapshot) <= this->version())
        return;
    this->accept(std::move(snapshot));
    if (!this->pendingManifestBytes.empty()
        && versionOf(this->pendingManifest, this->pendingManifestBytes) <= this->version())
        this->pendingManifestBytes.clear();
}

//-----------------------------------------------------------------------------
// Instance list
//-----------------------------------------------------------------------------

ConfigReader::Outcome ConfigReader::handleMembers(const std::optional<std::string>& bytes)
{
    if (!bytes) {
        logEvent(Event::InstancesRejected, { { "reason", "the platform has no instance list" } });
        return Outcome::Retry;
    }
    Result<std::vector<Member>> list = decodeMembers(*bytes);
    if (!list) {
        logEvent(Event::InstancesRejected, { { "reason", list.error().message } });
        return Outcome::Unchanged;
    }
    this->hasMembers = true;
    this->applyMembers(std::make_shared<const std::vector<Member>>(std::move(list.value())));
    return Outcome::Unchanged;
}

void ConfigReader::onPeerMembers(std::shared_ptr<const std::vector<Member>> list)
{
    if (!this->hasMembers)
        this->applyMembers(std::move(list));
}

void ConfigReader::applyMembers(std::shared_ptr<const std::vector<Member>> list)
{
    const std::vector<Member> watchers = selectWatchers(*list, this->options.watchers);
    const bool isSelected = std::any_of(
        watchers.begin(), watchers.end(), [this](const Member& member) { return member.name == this->options.self; });
    logEvent(Event::InstancesChanged,
        { { "instances", static_cast<uint64_t>(list->size()) },
            { "watchers", static_cast<uint64_t>(watchers.size()) } });
    if (isSelected != this->isWatcher)
        logEvent(isSelected ? Event::WatcherSelected : Event::WatcherReleased, { { "self", this->options.self } });
    if (isSelected && !this->isWatcher)
        this->stateOf(PlatformStream::Config).due
            = std::min(this->stateOf(PlatformStream::Config).due, this->clock.now());
    this->isWatcher = isSelected;
    this->update.members = std::move(list);
}

PlatformUpdate ConfigReader::takeUpdate() { return std::exchange(this->update, {}); }

ConfigVersion ConfigReader::version() const { return this->accepted ? versionOf(*this->accepted) : ConfigVersion(); }

bool ConfigReader::isWatching() const { return this->isWatcher; }

std::optional<TimePoint> ConfigReader::lastContact() const { return this->lastContactTime; }

std::optional<TimePoint> ConfigReader::lastConfirmation() const { return this->lastConfirmationTime; }

uint64_t ConfigReader::rejectedCount() const { return this->rejections; }

} // namespace wasabicroft
