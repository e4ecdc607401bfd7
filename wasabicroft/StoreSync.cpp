#include "wasabicroft/StoreSync.h"

#include "wasabicroft/Log.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

StoreSync::StoreSync(StoreSyncOptions syncOptions, const Clock& timeSource)
    : options(syncOptions)
    , clock(timeSource)
    , random(syncOptions.seed)
{
    for (TopicState& topic : this->topics) {
        topic.due = timeSource.now();
        topic.watchWait = syncOptions.watchWait;
    }
}

bool StoreSync::setWatchWait(StoreTopic which, Milliseconds wait)
{
    TopicState& topic = this->at(which);
    topic.watchWait = wait;
    if (!topic.inFlight || !topic.inFlight->isWatch || topic.inFlight->wait <= wait || this->isChangeArriving(which))
        return false;
    topic.inFlight.reset();
    topic.due = this->clock.now();
    return true;
}

std::optional<StoreRead> StoreSync::nextRead(StoreTopic which)
{
    TopicState& topic = this->at(which);
    if (topic.inFlight || this->clock.now() < topic.due)
        return std::nullopt;
    StoreRead read;
    read.number = ++this->readCount;
    read.topic = which;
    read.isWatch = topic.revision > 0;
    read.afterRevision = topic.revision;
    read.minRevision = read.isWatch ? topic.revision : this->newestRevision;
    read.pageAfter = topic.pageAfter;
    read.withEvacuations = this->options.readsEvacuations && which == StoreTopic::Routes;
    if (read.isWatch)
        read.wait = topic.isCheckDue ? std::min(this->options.checkWait, topic.watchWait) : topic.watchWait;
    read.timeout = this->options.readTimeout + read.wait;
    read.pauseTimeout = this->options.readTimeout;
    topic.inFlight = read;
    topic.answerStart.reset();
    topic.isChangeArriving = false;
    if (read.pageAfter.empty())
        topic.readStart = this->clock.now();
    return read;
}

TimePoint StoreSync::nextReadTime(StoreTopic which) const
{
    const TopicState& topic = this->at(which);
    return topic.inFlight ? TimePoint::max() : topic.due;
}

void StoreSync::onAnswerStarted(const StoreRead& read, std::optional<uint64_t> bytes)
{
    TopicState& topic = this->at(read.topic);
    if (!topic.inFlight || topic.inFlight->number != read.number)
        return;
    topic.answerStart = this->clock.now();
    topic.isChangeArriving = read.isWatch && bytes && *bytes <= this->options.maxSingleChangeBytes;
}

bool StoreSync::isChangeArriving(StoreTopic which) const
{
    const TopicState& topic = this->at(which);
    return topic.inFlight && topic.isChangeArriving;
}

bool StoreSync::finishRead(const StoreRead& read)
{
    TopicState& topic = this->at(read.topic);
    if (!topic.inFlight || topic.inFlight->number != read.number)
        return false;
    topic.inFlight.reset();
    return true;
}

// Returns whether the store was restored since its last answer. All topics are then read from the start, and reads in
// flight are dropped: what the store answered to them may be from before.
bool StoreSync::noteRevision(const StoreRead& read, uint64_t revision)
{
    const uint64_t previous = std::exchange(this->newestRevision, std::max(this->newestRevision, revision));
    if (previous == 0 || eraOf(revision) <= eraOf(previous))
        return false;
    logEvent(Event::StoreRestored,
        { { "topic", nameOf(read.topic) }, { "era", eraOf(revision) }, { "revision", revisionOf(revision) },
            { "former-era", eraOf(previous) }, { "former-revision", revisionOf(previous) } });
    for (TopicState& topic : this->topics) {
        topic.inFlight.reset();
        topic.revision = 0;
        topic.pageAfter.clear();
        topic.due = this->clock.now();
    }
    return true;
}

void StoreSync::recordAnswer(TopicState& topic)
{
    const bool failedSince = this->lastFailure && (!topic.lastAnswer || *this->lastFailure >= *topic.lastAnswer);
    this->recovered = this->recovered || topic.failures > 0 || failedSince;
    topic.failures = 0;
    topic.isCheckDue = false;
    topic.lastAnswer = this->clock.now();
}

bool StoreSync::onPage(const StoreRead& read, uint64_t revision, bool hasMore, const std::string& lastKey)
{
    if (!this->finishRead(read))
        return false;
    TopicState& topic = this->at(read.topic);
    const bool isRestored = this->noteRevision(read, revision);
    this->recordAnswer(topic);
    topic.due = this->clock.now();
    if (isRestored && !read.pageAfter.empty())
        return false;
    // Pages are read at different revisions: the watch reports all changes since the first page.
    if (read.pageAfter.empty())
        topic.listRevision = revision;
    topic.pageAfter = hasMore ? lastKey : "";
    if (hasMore)
        return true;
    topic.revision = topic.listRevision;
    topic.completeRevision = std::max(topic.completeRevision, topic.revision);
    topic.confirmedAt = topic.readStart;
    topic.confirmingReadStart = topic.readStart;
    return true;
}

bool StoreSync::onEvents(const StoreRead& read, uint64_t revision)
{
    if (!this->finishRead(read))
        return false;
    TopicState& topic = this->at(read.topic);
    this->recordAnswer(topic);
    if (this->noteRevision(read, revision))
        return false;
    topic.revision = std::max(topic.revision, revision);
    topic.completeRevision = topic.revision;
    topic.confirmedAt = topic.answerStart.value_or(this->clock.now()); // a large answer may arrive for seconds
    topic.confirmingReadStart = topic.readStart;
    topic.due = this->clock.now() + this->options.watchSpacing;
    return true;
}

bool StoreSync::onHistoryLost(const StoreRead& read, uint64_t revision)
{
    if (!this->finishRead(read))
        return false;
    TopicState& topic = this->at(read.topic);
    this->noteRevision(read, revision);
    this->recordAnswer(topic);
    topic.revision = 0;
    topic.pageAfter.clear();
    topic.due = this->clock.now();
    return true;
}

bool StoreSync::onFailure(const StoreRead& read)
{
    if (!this->finishRead(read))
        return false;
    TopicState& topic = this->at(read.topic);
    topic.pageAfter.clear();
    topic.due = this->clock.now() + this->backOff(topic);
    ++topic.failures;
    topic.isCheckDue = true;
    this->lastFailure = this->clock.now();
    return true;
}

bool StoreSync::onNewerRevision(StoreTopic which, uint64_t revision)
{
    TopicState& topic = this->at(which);
    if (revision <= topic.revision || (topic.inFlight && !topic.inFlight->isWatch))
        return false;
    topic.inFlight.reset();
    topic.revision = 0;
    topic.due = this->clock.now();
    return true;
}

bool StoreSync::isReachable(StoreTopic which) const
{
    const TopicState& topic = this->at(which);
    return topic.failures == 0 && topic.lastAnswer;
}

bool StoreSync::takeRecovery() { return std::exchange(this->recovered, false); }

uint64_t StoreSync::listRevision(StoreTopic which) const { return this->at(which).listRevision; }

std::optional<TimePoint> StoreSync::lastAnswer(StoreTopic which) const { return this->at(which).lastAnswer; }

uint64_t StoreSync::completeRevision(StoreTopic which) const { return this->at(which).completeRevision; }

TimePoint StoreSync::lastReadStart(StoreTopic which) const { return this->at(which).confirmingReadStart; }

std::optional<TimePoint> StoreSync::confirmedAt(StoreTopic which, TimePoint readAfter) const
{
    const TopicState& topic = this->at(which);
    if (topic.revision == 0 || topic.confirmingReadStart < readAfter)
        return std::nullopt;
    return topic.confirmedAt;
}

Milliseconds StoreSync::backOff(const TopicState& topic)
{
    const Milliseconds limit = topic.lastAnswer ? this->options.maxBackOff : this->options.maxInitialBackOff;
    const Milliseconds base = std::min(limit, this->options.minBackOff * (1 << std::min(topic.failures, 8U)));
    std::uniform_real_distribution<double> spread(1 - this->options.jitter, 1 + this->options.jitter);
    return std::chrono::duration_cast<Milliseconds>(base * spread(this->random));
}

bool ItemLogLimiter::shouldLog(const std::string& key, TimePoint now)
{
    if (now - this->intervalStart >= interval) {
        this->loggedKeys.clear();
        this->intervalStart = now;
    }
    const bool isLogged = std::find(this->loggedKeys.begin(), this->loggedKeys.end(), key) != this->loggedKeys.end();
    if (isLogged || this->loggedKeys.size() >= maxKeys)
        return false;
    this->loggedKeys.push_back(key);
    return true;
}

} // namespace wasabicroft
