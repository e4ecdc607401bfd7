#include "wasabicroft/StoreRefresh.h"

#include "wasabicroft/Log.h"

namespace wasabicroft {

StoreRefresh::StoreRefresh(StoreRefreshOptions refreshOptions, StoreSync& storeSync, const FleetView& fleetView,
    const Clock& timeSource, const Clock& pauseTimeSource)
    : options(refreshOptions)
    , sync(storeSync)
    , fleet(fleetView)
    , clock(timeSource)
    , pauseClock(pauseTimeSource)
    , startTime(timeSource.now())
    , lastTick(pauseTimeSource.now())
    , pauseEnd(timeSource.now())
{
}

Milliseconds StoreRefresh::answerAge(StoreTopic topic) const
{
    const TimePoint lastAnswer = this->sync.lastAnswer(topic).value_or(this->startTime);
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - lastAnswer);
}

Milliseconds StoreRefresh::behindTime(StoreTopic topic) const
{
    const std::optional<TimePoint>& since = this->behindSince.at(static_cast<size_t>(topic));
    return since ? std::chrono::duration_cast<Milliseconds>(this->clock.now() - *since) : Milliseconds(0);
}

ListState StoreRefresh::listState(const UpstreamDirectory& directory) const
{
    const ListState state = directory.listState();
    const bool isCurrent = this->sync.isReachable(StoreTopic::Upstreams) && !this->isUnconfirmed(StoreTopic::Upstreams);
    return state == ListState::Complete && !isCurrent ? ListState::Incomplete : state;
}

bool StoreRefresh::onTick(const std::optional<StoreVersions>& versions)
{
    this->checkForPause();
    for (size_t i = 0; versions && i < storeTopicCount; ++i)
        this->updateConfirmation(static_cast<StoreTopic>(i), *versions);
    const bool isWatchReplaced = this->updateWatchWaits(versions);
    const bool isReadDue = versions && this->readIfBehindPeers(*versions);
    return isWatchReplaced || isReadDue;
}

// An answer that arrived during a pause of the process, or before it, confirms nothing about the time after the pause.
void StoreRefresh::checkForPause()
{
    const TimePoint now = this->pauseClock.now();
    if (now - std::exchange(this->lastTick, now) <= this->options.pauseThreshold)
        return;
    this->pauseEnd = this->clock.now();
    this->confirmations = {};
}

std::optional<TimePoint> StoreRefresh::confirmedByStore(StoreTopic topic)
{
    this->checkForPause(); // an answer may be handled before the first tick after a pause
    return this->sync.confirmedAt(topic, this->pauseEnd);
}

uint64_t StoreRefresh::announcedVersion(StoreTopic topic) const
{
    return topic == StoreTopic::Routes ? this->fleet.newestRoutesVersion() : this->fleet.newestDirectoryRevision();
}

void StoreRefresh::updateConfirmation(StoreTopic topic, const StoreVersions& versions)
{
    std::optional<TimePoint>& confirmation = this->confirmations.at(static_cast<size_t>(topic));
    confirmation = std::max(confirmation, this->sync.confirmedAt(topic, this->pauseEnd));
    const std::optional<TimePoint> ofOthers = this->fleet.confirmedAt(topic);
    const bool isNewest = versions.of(topic) >= this->announcedVersion(topic);
    if (isNewest && ofOthers && *ofOthers >= this->pauseEnd)
        confirmation = std::max(confirmation, ofOthers);
}

bool StoreRefresh::isUnconfirmed(StoreTopic topic) const
{
    const std::optional<TimePoint> confirmation = this->confirmedAt(topic);
    return !confirmation || this->clock.now() - *confirmation > this->options.maxConfirmationAge;
}

// Most entries rely on a few sentinels to notice that watches hear nothing. Whether a sentinel still hears from the
// store shows only in its confirmations: without them, each entry watches the store for itself.
bool StoreRefresh::updateWatchWaits(const std::optional<StoreVersions>& versions)
{
    const bool isNowSentinel = this->fleet.isSentinel();
    bool isWatchReplaced = false;
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        const bool isNowUnconfirmed = versions && this->isUnconfirmed(topic);
        const bool isShort = isNowSentinel || isNowUnconfirmed;
        const Milliseconds wait = isShort ? this->options.sentinelWait : this->options.watchWait;
        if (isNowUnconfirmed != std::exchange(this->wasUnconfirmed.at(i), isNowUnconfirmed)
            || isNowSentinel != this->isSentinel)
            logEvent(Event::StoreWatchWaitChanged,
                { { "topic", nameOf(topic) }, { "wait-ms", wait }, { "sentinel", isNowSentinel },
                    { "unconfirmed", isNowUnconfirmed }, { "answer-age-ms", this->answerAge(topic) },
                    { "entries", static_cast<uint64_t>(this->fleet.entryCount()) } });
        isWatchReplaced
            = this->sync.setWatchWait(topic, this->steady.at(i) ? this->options.steadyWait : wait) || isWatchReplaced;
    }
    this->isSentinel = isNowSentinel;
    return isWatchReplaced;
}

// A watch whose connection is dead delivers nothing, while other entries announce newer states.
bool StoreRefresh::readIfBehindPeers(const StoreVersions& versions)
{
    bool isReadDue = false;
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        const TimePoint now = this->clock.now();
        std::optional<TimePoint>& due = this->readDue.at(i);
        this->isBehind.at(i) = versions.of(topic) < this->announcedVersion(topic);
        if (!this->isBehind.at(i)) {
            this->behindSince.at(i).reset();
            due.reset();
            continue;
        }
        this->behindSince.at(i) = this->behindSince.at(i).value_or(now);
        if (!due) {
            due = now + this->options.maxBehindTime;
        } else if (now > *due && !this->sync.isChangeArriving(topic)) {
            due.reset();
            isReadDue = true;
            if (this->sync.onNewerRevision(topic, UINT64_MAX))
                logEvent(Event::StoreReadRepeated,
                    { { "topic", nameOf(topic) }, { "answer-age-ms", this->answerAge(topic) },
                        { "version", versions.of(topic) }, { "announced", this->announcedVersion(topic) },
                        { "behind-ms", this->behindTime(topic) } });
        }
    }
    return isReadDue;
}

} // namespace wasabicroft
