#include "wasabicroft/Propagation.h"

#include "wasabicroft/Log.h"

#include <algorithm>

namespace wasabicroft {

namespace {

    constexpr size_t maxSources = 16;
    constexpr unsigned maxDoublings = 10;

    ConfigVersion versionOf(const Frame& frame)
    {
        return { frame.configEpoch, frame.configVersion, frame.configDigest };
    }

    void setVersion(Frame& frame, ConfigVersion version)
    {
        frame.configEpoch = version.epoch;
        frame.configVersion = version.version;
        frame.configDigest = version.digest;
    }

    std::string nameOf(const PeerRoute& route)
    {
        return route.link == 0 ? toString(route.endpoint) : "link " + std::to_string(route.link);
    }

} // namespace

Result<std::shared_ptr<const Snapshot>> parseChange(
    const Manifest& manifest, std::string_view manifestBytes, const ValuesByService& fetched, const Snapshot* active)
{
    std::map<std::string_view, const ServiceConfig*> activeServices;
    if (active) {
        for (const ServiceConfig& service : active->services)
            activeServices[service.name] = &service;
    }
    ValuesByService values;
    for (const ManifestEntry& entry : manifest.services) {
        const auto found = fetched.find(entry.service);
        const auto activeService = activeServices.find(entry.service);
        if (found != fetched.end() && digestOf(found->second) == entry.digest)
            values[entry.service] = found->second;
        else if (activeService != activeServices.end())
            values[entry.service] = encodeService(*activeService->second);
    }
    return parseSnapshot(manifestBytes, values);
}

Propagation::Propagation(PropagationOptions initialOptions, const Clock& time)
    : options(std::move(initialOptions))
    , clock(time)
    , random(this->options.seed)
    , isStarting(this->options.mechanisms.askAtStart)
    , startTime(time.now())
    , nextAntiEntropy(time.now() + this->options.startAntiEntropyInterval)
{
    this->askAtStart();
}

void Propagation::setMembers(std::shared_ptr<const std::vector<Member>> list, bool watches)
{
    this->members = std::move(list);
    this->isWatcher = watches;
    this->peers.clear();
    for (const Member& peer : announcePeers(*this->members, this->options.self, this->options.watchers))
        this->peers.push_back(peer.control);
    this->askAtStart();
    this->updateFallback();
}

//-----------------------------------------------------------------------------
// Start
//-----------------------------------------------------------------------------

void Propagation::askAtStart()
{
    if (!this->isStarting)
        return;
    std::vector<Endpoint> candidates;
    if (this->members) {
        for (const Member& member : *this->members) {
            if (member.name != this->options.self)
                candidates.push_back(member.control);
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        candidates.resize(std::min(candidates.size(), this->options.startPeerCount));
    }
    candidates.insert(candidates.end(), this->options.seeds.begin(), this->options.seeds.end());
    for (const Endpoint& candidate : candidates) {
        if (this->startRoutes.size() >= this->options.startPeerCount + this->options.seeds.size()
            || !this->startRoutes.insert({ candidate, 0 }).second)
            continue;
        this->startRequestTime = this->clock.now();
        this->announce({ candidate, 0 });
    }
    this->finishStartIfReady();
}

void Propagation::finishStartIfReady()
{
    if (!this->isStarting)
        return;
    const TimePoint now = this->clock.now();
    const bool hasTimedOut = now - this->startTime >= this->options.startTimeout;
    const bool hasNoPeers = this->members && this->startRoutes.empty();
    const bool allAnswered = this->startRequestTime && this->startReplyCount >= this->startRoutes.size();
    const bool repliesTimedOut
        = this->startRequestTime && now - *this->startRequestTime >= this->options.startReplyTimeout;
    const bool hasHighest = (allAnswered || repliesTimedOut) && this->sources.empty() && !this->fetching;
    if (!hasTimedOut && !hasNoPeers && !hasHighest)
        return;
    this->isStarting = false;
    if (this->startSnapshot)
        this->accept(std::exchange(this->startSnapshot, nullptr), now + this->options.confirmationLimit);
    this->updateFallback();
}

//-----------------------------------------------------------------------------
// Announcements
//-----------------------------------------------------------------------------

Frame Propagation::announcement() const
{
    Frame frame;
    frame.kind = FrameKind::Announce;
    setVersion(frame, this->version());
    if (this->isConfirmed())
        frame.deadline = std::chrono::duration_cast<Milliseconds>(*this->confirmedUntil - this->clock.now());
    return frame;
}

void Propagation::announce(const PeerRoute& route, uint8_t flags)
{
    Frame frame = this->announcement();
    frame.flags = flags;
    this->frames.push_back({ route, std::move(frame) });
}

void Propagation::announceToPeers()
{
    if (!this->options.mechanisms.announce)
        return;
    for (const Endpoint& peer : this->peers)
        this->announce({ peer, 0 });
}

void Propagation::announceToRandomPeer()
{
    std::vector<Endpoint> candidates;
    if (!this->members) {
        candidates = this->options.seeds;
    } else if (!this->members->empty()) {
        const size_t count = this->members->size();
        const size_t first = std::uniform_int_distribution<size_t>(0, count - 1)(this->random);
        const Member& chosen = this->members->at(first);
        const Member& other = this->members->at((first + 1) % count);
        if (chosen.name != this->options.self)
            candidates.push_back(chosen.control);
        else if (other.name != this->options.self)
            candidates.push_back(other.control);
    }
    if (candidates.empty() || !this->options.mechanisms.announce)
        return;
    const size_t index = std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(this->random);
    const PeerRoute route { candidates[index], 0 };
    this->announce(route);
    if (!this->members) {
        Frame fetch;
        fetch.kind = FrameKind::Fetch;
        fetch.key = instancesKey;
        this->frames.push_back({ route, std::move(fetch) });
    }
}

bool Propagation::isNewer(ConfigVersion seen) const
{
    const ConfigVersion current = this->version();
    if (!this->options.mechanisms.digestOrder && seen.epoch == current.epoch && seen.version == current.version)
        return false;
    return seen > current;
}

void Propagation::onFrame(const PeerRoute& from, const Frame& frame)
{
    if (frame.kind == FrameKind::Announce)
        this->onAnnounce(from, frame);
    else if (frame.kind == FrameKind::Fetch)
        this->answerFetch(from, frame);
    else if (frame.kind == FrameKind::Value)
        this->onValue(from, frame);
}

void Propagation::onAnnounce(const PeerRoute& from, const Frame& frame)
{
    const ConfigVersion seen = versionOf(frame);
    const ConfigVersion current = this->version();
    const TimePoint now = this->clock.now();
    const Milliseconds remaining = std::min(frame.deadline, this->options.confirmationLimit);
    const bool isReply = frame.has(frame_flags::reply);
    if (this->isStarting && isReply)
        ++this->startReplyCount;
    if (this->isNewer(seen))
        this->addSource({ from, seen, now + remaining });
    else if (seen == current && remaining.count() > 0)
        this->confirm(now + remaining);
    const bool isFresher = seen == current && this->isConfirmed()
        && *this->confirmedUntil - now > remaining + this->options.antiEntropyInterval;
    // A reply gets no reply: otherwise two processes without a configuration would answer each other forever.
    if (!isReply && (seen < current || seen == ConfigVersion() || isFresher))
        this->announce(from, frame_flags::reply);
    this->finishStartIfReady();
}

void Propagation::onVersionSeen(const PeerRoute& from, uint64_t seen)
{
    const ConfigVersion current = this->version();
    if (seen > current.version && seen > this->unavailableVersion)
        this->addSource({ from, { current.epoch, seen, 0 }, this->clock.now() });
}

//-----------------------------------------------------------------------------
// Fetching
//-----------------------------------------------------------------------------

void Propagation::answerFetch(const PeerRoute& from, const Frame& fetch)
{
    Frame value;
    value.kind = FrameKind::Value;
    value.key = fetch.key;
    setVersion(value, this->version());
    if (fetch.key == instancesKey && this->members) {
        value.payload = encodeMembers(*this->members);
    } else if (fetch.key == manifestKey && this->accepted) {
        value.payload = encodeManifest(this->accepted->manifest);
    } else if (fetch.key.starts_with(serviceKeyPrefix) && this->accepted) {
        const ServiceConfig* service
            = this->accepted->find(serviceIdOf(std::string_view(fetch.key).substr(serviceKeyPrefix.size())));
        if (service)
            value.payload = encodeService(*service);
    }
    if (value.payload.size() > maxValueBytes)
        value.payload.clear();
    this->frames.push_back({ from, std::move(value) }); // An empty payload means that the value does not exist.
}

void Propagation::addSource(Source source)
{
    if (!this->options.mechanisms.peerFetch || source.version == this->rejectedVersion)
        return;
    const auto existing = std::find_if(this->sources.begin(), this->sources.end(),
        [&](const Source& candidate) { return candidate.route == source.route; });
    if (existing != this->sources.end())
        *existing = std::move(source);
    else if (this->sources.size() < maxSources)
        this->sources.push_back(std::move(source));
    this->fetchNext();
}

void Propagation::removeSource(const PeerRoute& route)
{
    std::erase_if(this->sources, [&](const Source& source) { return source.route == route; });
}

void Propagation::fetchNext()
{
    if (this->fetching)
        return;
    std::erase_if(this->sources, [this](const Source& source) { return !this->isNewer(source.version); });
    const auto highest = std::max_element(this->sources.begin(), this->sources.end(),
        [](const Source& a, const Source& b) { return a.version < b.version; });
    if (highest == this->sources.end())
        return;
    this->fetching.emplace();
    this->fetching->source = *highest;
    this->fetching->lastProgress = this->clock.now();
    this->requestValue(std::string(manifestKey));
}

void Propagation::requestValue(const std::string& key)
{
    Frame fetch;
    fetch.kind = FrameKind::Fetch;
    fetch.key = key;
    setVersion(fetch, this->version());
    this->frames.push_back({ this->fetching->source.route, std::move(fetch) });
}

void Propagation::requestValues()
{
    FetchState& current = *this->fetching;
    while (!current.missing.empty() && current.outstanding.size() < this->options.fetchWindow) {
        const std::string service = current.missing.front();
        current.missing.pop_front();
        current.outstanding.insert(service);
        this->requestValue(serviceKey(service));
    }
    if (current.outstanding.empty())
        this->finishFetch();
}

void Propagation::onValue(const PeerRoute& from, const Frame& frame)
{
    if (frame.key == instancesKey) {
        if (this->members)
            return;
        Result<std::vector<Member>> list = decodeMembers(frame.payload);
        if (list)
            this->update.members = std::make_shared<const std::vector<Member>>(std::move(list.value()));
        return;
    }
    if (!this->fetching || this->fetching->source.route != from)
        return;
    this->fetching->lastProgress = this->clock.now();
    if (frame.key == manifestKey)
        this->onManifest(frame);
    else
        this->onServiceValue(frame);
}

void Propagation::onManifest(const Frame& frame)
{
    FetchState& current = *this->fetching;
    const Result<Manifest> manifest = decodeManifest(frame.payload);
    if (!manifest) {
        this->abandonFetch("invalid manifest");
        return;
    }
    const ConfigVersion offered = wasabicroft::versionOf(manifest.value(), frame.payload);
    if (!this->isNewer(offered) || offered == this->rejectedVersion) {
        if (current.source.version.digest == 0) // Only the version was seen, without its digest.
            this->unavailableVersion = std::max(this->unavailableVersion, current.source.version.version);
        this->abandonFetch("no newer version");
        return;
    }
    current.source.version = offered;
    current.manifestBytes = frame.payload;
    current.manifest = manifest.value();
    current.missing.clear();
    current.outstanding.clear();
    std::map<std::string_view, uint64_t> acceptedDigests;
    if (this->accepted) {
        for (const ManifestEntry& entry : this->accepted->manifest.services)
            acceptedDigests[entry.service] = entry.digest;
    }
    for (const ManifestEntry& entry : current.manifest.services) {
        const auto digest = acceptedDigests.find(entry.service);
        const auto value = this->fetched.find(entry.service);
        const bool isAvailable = (digest != acceptedDigests.end() && digest->second == entry.digest)
            || (value != this->fetched.end() && digestOf(value->second) == entry.digest);
        if (!isAvailable)
            current.missing.push_back(entry.service);
    }
    this->requestValues();
}

void Propagation::onServiceValue(const Frame& frame)
{
    FetchState& current = *this->fetching;
    const std::string service
        = frame.key.starts_with(serviceKeyPrefix) ? frame.key.substr(serviceKeyPrefix.size()) : std::string();
    if (current.outstanding.erase(service) == 0)
        return;
    const auto entry = std::find_if(current.manifest.services.begin(), current.manifest.services.end(),
        [&](const ManifestEntry& candidate) { return candidate.service == service; });
    if (digestOf(frame.payload) == entry->digest) {
        this->fetched[service] = frame.payload;
        this->requestValues();
        return;
    }
    if (!(versionOf(frame) > current.source.version)) {
        this->abandonFetch("the value of '" + service + "' does not match the manifest");
        return;
    }
    // The peer has accepted a newer configuration in the meantime.
    current.source.version = versionOf(frame);
    current.outstanding.clear();
    current.missing.clear();
    this->requestValue(std::string(manifestKey));
}

void Propagation::abandonFetch(const std::string& reason)
{
    const Source source = this->fetching->source;
    ++this->counters.failedFetches;
    logEvent(Event::PeerFetchFailed,
        { { "peer", nameOf(source.route) }, { "epoch", source.version.epoch }, { "version", source.version.version },
            { "reason", reason } });
    this->removeSource(source.route);
    this->fetching.reset();
    this->fetchNext();
    if (!this->fetching && this->isNewer(source.version) && source.version.version > this->unavailableVersion) {
        this->announceToRandomPeer();
        this->scheduleFallback(Milliseconds(0), this->options.maxFallbackJitter);
    }
    this->finishStartIfReady();
}

void Propagation::finishFetch()
{
    const FetchState done = std::move(*this->fetching);
    const Result<std::shared_ptr<const Snapshot>> snapshot
        = this->options.parse(done.manifest, done.manifestBytes, this->fetched, this->accepted.get());
    if (!snapshot) {
        this->rejectedVersion = done.source.version;
        logEvent(Event::ConfigRejected,
            { { "reason", snapshot.error().message }, { "epoch-in-force", this->version().epoch },
                { "version-in-force", this->version().version } });
        this->abandonFetch("invalid configuration");
        return;
    }
    ++this->counters.peerFetches;
    logEvent(Event::ConfigFetched,
        { { "peer", nameOf(done.source.route) }, { "epoch", done.source.version.epoch },
            { "version", done.source.version.version }, { "values", static_cast<uint64_t>(this->fetched.size()) } });
    this->fetching.reset();
    this->accept(snapshot.value(), done.source.confirmedUntil);
    this->fetchNext();
    this->finishStartIfReady();
}

void Propagation::accept(std::shared_ptr<const Snapshot> snapshot, TimePoint until)
{
    if (!this->isNewer(wasabicroft::versionOf(*snapshot)))
        return;
    this->accepted = std::move(snapshot);
    this->update.snapshot = this->accepted;
    this->fetched.clear();
    this->fallbackStart.reset();
    this->consecutiveFallbacks = 0;
    this->confirmedUntil.reset();
    this->confirm(until);
    std::erase_if(this->sources, [this](const Source& source) { return !this->isNewer(source.version); });
    if (this->fetching && !this->isNewer(this->fetching->source.version))
        this->fetching.reset();
    this->announceToPeers();
    this->fetchNext();
}

void Propagation::onUnreachable(const PeerRoute& route)
{
    if (this->isStarting && this->startRoutes.erase(route) > 0 && this->startRoutes.empty())
        this->startRequestTime = this->startRequestTime.value_or(this->clock.now());
    if (this->fetching && this->fetching->source.route == route)
        this->abandonFetch("unreachable");
    else
        this->removeSource(route);
    this->finishStartIfReady();
}

//-----------------------------------------------------------------------------
// Platform
//-----------------------------------------------------------------------------

void Propagation::onPlatformSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    if (this->isStarting) {
        if (!this->startSnapshot || wasabicroft::versionOf(*this->startSnapshot) < wasabicroft::versionOf(*snapshot))
            this->startSnapshot = std::move(snapshot);
        this->finishStartIfReady();
        return;
    }
    this->accept(std::move(snapshot), this->clock.now() + this->options.confirmationLimit);
}

void Propagation::onPlatformConfirmation()
{
    if (this->accepted)
        this->confirm(this->clock.now() + this->options.confirmationLimit);
}

bool Propagation::shouldReadPlatform() const
{
    if (this->isStarting)
        return false;
    const bool isAlone = this->members && this->members->size() <= 1 && this->options.seeds.empty();
    return this->isWatcher || isAlone || !this->options.mechanisms.askAtStart
        || (this->fallbackStart && this->clock.now() >= *this->fallbackStart);
}

void Propagation::confirm(TimePoint until)
{
    if (until <= this->clock.now() || (this->confirmedUntil && until <= *this->confirmedUntil))
        return;
    this->confirmedUntil = until;
    this->lastConfirmation = until - this->options.confirmationLimit;
    if (!this->loggedConfirmed)
        logEvent(Event::ConfigConfirmed, { { "version", this->version().version } });
    this->loggedConfirmed = true;
    if (!this->needsFallback()) {
        this->fallbackStart.reset();
        this->consecutiveFallbacks = 0;
    }
}

bool Propagation::isConfirmed() const { return this->confirmedUntil && this->clock.now() < *this->confirmedUntil; }

bool Propagation::needsFallback() const
{
    return !this->isStarting && !this->isWatcher && (!this->accepted || !this->isConfirmed());
}

void Propagation::scheduleFallback(Milliseconds minDelay, Milliseconds spread)
{
    if (this->isWatcher)
        return;
    const TimePoint from = this->clock.now() + minDelay + this->randomUpTo(spread);
    this->fallbackStart = std::min(this->fallbackStart.value_or(from), from);
}

void Propagation::updateFallback()
{
    const TimePoint now = this->clock.now();
    if (this->fallbackStart && now >= *this->fallbackStart + this->options.fallbackDuration) {
        this->fallbackStart.reset();
        ++this->consecutiveFallbacks;
        ++this->counters.fallbacks;
    }
    if (this->accepted && this->loggedConfirmed && !this->isConfirmed()) {
        this->loggedConfirmed = false;
        logEvent(Event::ConfigUnconfirmed,
            { { "version", this->version().version }, { "limit-ms", this->options.confirmationLimit.count() } });
    }
    if (!this->needsFallback() || this->fallbackStart)
        return;
    const Milliseconds delay = std::min(this->options.maxFallbackDelay,
        this->options.minFallbackDelay * (1U << std::min(this->consecutiveFallbacks, maxDoublings)));
    this->scheduleFallback(delay, delay);
}

//-----------------------------------------------------------------------------
// Timers and results
//-----------------------------------------------------------------------------

Milliseconds Propagation::withJitter(Milliseconds interval)
{
    std::uniform_real_distribution<double> factor(1 - this->options.jitter, 1 + this->options.jitter);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(interval.count()) * factor(this->random)));
}

Milliseconds Propagation::randomUpTo(Milliseconds limit)
{
    return Milliseconds(std::uniform_int_distribution<int64_t>(0, limit.count())(this->random));
}

void Propagation::onTimer()
{
    const TimePoint now = this->clock.now();
    if (this->fetching && now >= this->fetching->lastProgress + this->options.fetchTimeout)
        this->abandonFetch("no answer in time");
    if (now >= this->nextAntiEntropy) {
        this->announceToRandomPeer();
        const bool hasConfig = this->accepted && this->members;
        this->nextAntiEntropy = now
            + this->withJitter(hasConfig ? this->options.antiEntropyInterval : this->options.startAntiEntropyInterval);
    }
    this->finishStartIfReady();
    this->updateFallback();
}

TimePoint Propagation::nextTimer() const
{
    TimePoint next = this->nextAntiEntropy;
    const TimePoint now = this->clock.now();
    if (this->isStarting) {
        next = std::min(next, this->startTime + this->options.startTimeout);
        if (this->startRequestTime && now < *this->startRequestTime + this->options.startReplyTimeout)
            next = std::min(next, *this->startRequestTime + this->options.startReplyTimeout);
    }
    if (this->fetching)
        next = std::min(next, this->fetching->lastProgress + this->options.fetchTimeout);
    if (this->fallbackStart)
        next = std::min(next,
            now < *this->fallbackStart ? *this->fallbackStart : *this->fallbackStart + this->options.fallbackDuration);
    if (this->isConfirmed())
        next = std::min(next, *this->confirmedUntil);
    return next;
}

std::vector<PeerFrame> Propagation::takeFrames() { return std::exchange(this->frames, {}); }

PropagationUpdate Propagation::takeUpdate() { return std::exchange(this->update, {}); }

ConfigVersion Propagation::version() const
{
    return this->accepted ? wasabicroft::versionOf(*this->accepted) : ConfigVersion();
}

PropagationStatus Propagation::status() const
{
    PropagationStatus status = this->counters;
    status.version = this->version();
    status.isStarting = this->isStarting;
    status.isConfirmed = this->isConfirmed();
    if (this->lastConfirmation)
        status.sinceConfirmation
            = std::chrono::duration_cast<Milliseconds>(this->clock.now() - *this->lastConfirmation);
    status.announcePeers = this->peers.size();
    return status;
}

} // namespace wasabicroft
