#include "wasabicroft/StoreRefresh.h"

#include "wasabicroft/Log.h"

namespace wasabicroft {

StoreRefresh::StoreRefresh(
    StoreRefreshOptions refreshOptions, StoreSync& storeSync, const FleetView& fleetView, const Clock& timeSource)
    : options(refreshOptions)
    , sync(storeSync)
    , fleet(fleetView)
    , clock(timeSource)
    , startTime(timeSource.now())
{
}

Milliseconds StoreRefresh::answerAge(StoreTopic topic) const
{
    const TimePoint lastAnswer = this->sync.lastAnswer(topic).value_or(this->startTime);
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - lastAnswer);
}

bool StoreRefresh::onTick(const std::optional<StoreVersions>& versions)
{
    const bool isWatchReplaced = this->updateWatchWait();
    const bool isReadDue = versions && this->readIfBehindPeers(*versions);
    return isWatchReplaced || isReadDue;
}

bool StoreRefresh::updateWatchWait()
{
    const bool isNowSentinel = this->fleet.isSentinel();
    const Milliseconds wait = isNowSentinel ? this->options.sentinelWait : this->options.watchWait;
    if (isNowSentinel != std::exchange(this->isSentinel, isNowSentinel))
        logEvent(Event::StoreWatchWaitChanged,
            { { "wait-ms", wait }, { "routes-age-ms", this->answerAge(StoreTopic::Routes) },
                { "upstreams-age-ms", this->answerAge(StoreTopic::Upstreams) },
                { "entries", static_cast<uint64_t>(this->fleet.entryCount()) } });
    return this->sync.setWatchWait(wait);
}

// A watch whose connection is dead delivers nothing, while other entries announce newer states.
bool StoreRefresh::readIfBehindPeers(const StoreVersions& versions)
{
    bool isReadDue = false;
    const std::array<bool, storeTopicCount> isBehind = { this->fleet.newestRoutesVersion() > versions.routes,
        this->fleet.newestDirectoryRevision() > versions.directory };
    for (size_t i = 0; i < storeTopicCount; ++i) {
        const StoreTopic topic = static_cast<StoreTopic>(i);
        std::optional<TimePoint>& since = this->behindSince.at(i);
        if (!isBehind.at(i)) {
            since.reset();
        } else if (!since) {
            since = this->clock.now();
        } else if (this->clock.now() - *since > this->options.maxBehindTime) {
            since.reset();
            isReadDue = true;
            if (this->sync.onNewerRevision(topic, UINT64_MAX))
                logEvent(Event::StoreReadRepeated,
                    { { "topic", nameOf(topic) }, { "answer-age-ms", this->answerAge(topic) },
                        { "routes", versions.routes }, { "announced-routes", this->fleet.newestRoutesVersion() },
                        { "directory", versions.directory },
                        { "announced-directory", this->fleet.newestDirectoryRevision() } });
        }
    }
    return isReadDue;
}

} // namespace wasabicroft
