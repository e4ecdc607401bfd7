#include "wasabicroft/Published.h"

#include "wasabicroft/Log.h"
#include "wasabicroft/StorePosition.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Routing table
//-----------------------------------------------------------------------------

const Route* RoutingTable::find(PacketAddress address) const
{
    const auto found = this->routes.find(address);
    return found == this->routes.end() ? nullptr : &found->second;
}

std::set<ServiceId> RoutingTable::services() const
{
    std::set<ServiceId> result = this->listedServices;
    for (const auto& [address, route] : this->routes) {
        for (const RouteShare& share : route.shares)
            result.insert(share.service);
    }
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Upstream directory
//-----------------------------------------------------------------------------

namespace {

    bool isOfNewerEra(const UpstreamRecord& record, const UpstreamRecord& known)
    {
        return eraOf(record.revision) > eraOf(known.revision);
    }

} // namespace

UpstreamId UpstreamRecord::id() const { return upstreamIdOf(this->name + '@' + std::to_string(this->born)); }

std::optional<UpstreamFigures> UpstreamRecord::figures() const
{
    return this->slots ? std::optional(UpstreamFigures { this->revision, *this->slots, this->draining }) : std::nullopt;
}

UpstreamDirectory::UpstreamDirectory(DirectoryOptions directoryOptions, const Clock& timeSource)
    : UpstreamDirectory(directoryOptions, timeSource, timeSource)
{
}

UpstreamDirectory::UpstreamDirectory(
    DirectoryOptions directoryOptions, const Clock& timeSource, const Clock& pauseTimeSource)
    : options(directoryOptions)
    , clock(timeSource)
    , pauseClock(pauseTimeSource)
    , graceEnd(timeSource.now())
{
}

void UpstreamDirectory::setServices(std::set<ServiceId> services) { this->namedServices = std::move(services); }

bool UpstreamDirectory::isNamed(ServiceId service) const
{
    return !this->namedServices || this->namedServices->contains(service);
}

// A restored store lacks records of upstreams that run, until they write again. It counts as a change: others read in
// full what they have from before.
void UpstreamDirectory::noteRevision(uint64_t revision)
{
    const bool isRestored = this->hasFullList && eraOf(revision) > eraOf(this->newestRevision);
    this->newestRevision = std::max(this->newestRevision, revision);
    if (!isRestored)
        return;
    this->lastChangeRevision = std::max(this->lastChangeRevision, storePosition(eraOf(revision), 0));
    this->startGrace();
}

// An older copy of the store may show a former incarnation, until the known one writes again.
bool UpstreamDirectory::isFormerIncarnation(const UpstreamRecord& record, const Row& known) const
{
    return isOfNewerEra(record, known.record) && record.born < known.record.born && this->clock.now() < this->graceEnd;
}

bool UpstreamDirectory::update(UpstreamRecord record)
{
    const uint64_t revision = record.revision;
    this->noteRevision(revision);
    this->lastChangeRevision = std::max(this->lastChangeRevision, revision);
    const bool isNew = this->hasFullList && !this->inGrace && !this->isAskedFor(record.service, record.address);
    Row& row = this->rows[record.name];
    if (revision <= std::max(row.record.revision, row.removedAt) || this->isFormerIncarnation(record, row))
        return false;
    // An upstream that drains never becomes ready again: an older copy of the store shows a state of before.
    const bool isKnownToDrain = row.record.draining && row.record.born == record.born;
    record.draining = record.draining || (isKnownToDrain && isOfNewerEra(record, row.record));
    const TimePoint now = this->clock.now();
    const TimePoint usableFrom = isNew ? now + this->options.propagationTime : row.usableFrom;
    if (isNew)
        this->pendingUsableTimes.insert(usableFrom);
    this->removeFromAddressIndex(row.record);
    this->namesByAddress[record.address].insert(record.name);
    row = Row { std::move(record), true, 0, {}, {}, false, usableFrom };
    return true;
}

bool UpstreamDirectory::remove(const std::string& name, uint64_t revision)
{
    this->noteRevision(revision);
    this->lastChangeRevision = std::max(this->lastChangeRevision, revision);
    const auto found = this->rows.find(name);
    if (found == this->rows.end() || !found->second.listed || revision <= found->second.record.revision)
        return false;
    this->unlist(found->second, revision);
    return true;
}

bool UpstreamDirectory::replace(std::vector<UpstreamRecord> records, uint64_t revision)
{
    this->noteRevision(revision);
    bool changed = false;
    std::set<std::string> present;
    for (UpstreamRecord& record : records) {
        present.insert(record.name);
        changed = this->update(std::move(record)) || changed;
    }
    for (auto& [name, row] : this->rows) {
        if (!row.listed || present.contains(name) || row.record.revision > revision)
            continue;
        this->unlist(row, revision);
        changed = true;
    }
    if (!std::exchange(this->hasFullList, true)) {
        this->startEnd = this->clock.now() + this->options.recoveryGrace;
        this->isAwaitingPeers = !this->inGrace;
    }
    return changed;
}

// A process that was paused, or whose machine was suspended, may have missed an outage of the store.
void UpstreamDirectory::checkForPause()
{
    const TimePoint now = this->pauseClock.now();
    if (this->lastTick && now - *this->lastTick > this->options.pauseThreshold) {
        this->lastTick = now;
        this->startGrace();
    }
}

void UpstreamDirectory::unlist(Row& row, uint64_t revision)
{
    this->checkForPause();
    row.listed = false;
    row.removedAt = revision;
    row.unlistedAt = this->clock.now();
    row.returnsUntil = this->returnTime();
    if (row.record.draining)
        row.returnsUntil = std::min(row.returnsUntil, row.unlistedAt + this->options.drainedReturnTime);
    row.keptForGrace = !row.record.draining && this->clock.now() < this->graceEnd;
}

void UpstreamDirectory::onStoreRecovered()
{
    if (!this->answersSteadily())
        this->startGrace();
}

void UpstreamDirectory::startGrace() { this->startGrace(this->clock.now() + this->options.recoveryGrace); }

void UpstreamDirectory::startGrace(TimePoint end)
{
    this->graceEnd = end;
    this->inGrace = true;
    this->isReadRequested = false;
    this->hasReadAfterGrace = false;
    this->lastAnswer.reset();
}

void UpstreamDirectory::requestCheckOfRemovals()
{
    if (this->removalCheckTime)
        return;
    for (const auto& [name, row] : this->rows) {
        if (this->mayReturn(row))
            this->removalCheckTime = std::max(this->removalCheckTime.value_or(TimePoint::min()), row.returnsUntil);
    }
}

bool UpstreamDirectory::takeReadRequest()
{
    const TimePoint now = this->clock.now();
    const bool isRemovalCheckDue = this->removalCheckTime && now >= *this->removalCheckTime;
    if (isRemovalCheckDue)
        this->removalCheckTime.reset();
    const bool isReadMissing = this->inGrace && now >= this->graceEnd && !this->hasReadAfterGrace;
    const bool isGraceReadDue = isReadMissing && !std::exchange(this->isReadRequested, true);
    return isRemovalCheckDue || isGraceReadDue;
}

bool UpstreamDirectory::onRead(TimePoint started)
{
    this->hasReadAfterGrace = started >= this->graceEnd;
    this->isReadRequested = this->isReadRequested && this->hasReadAfterGrace;
    if (this->removalCheckTime && started >= *this->removalCheckTime)
        this->removalCheckTime.reset();
    const auto isUnconfirmed = [this](const auto& item) { return this->mayReturn(item.second); };
    const auto before = std::count_if(this->rows.begin(), this->rows.end(), isUnconfirmed);
    this->lastReadStart = std::max(this->lastReadStart, started);
    const TimePoint now = this->clock.now();
    if (!this->answersSteadily())
        this->answersSince = now;
    this->lastAnswer = now;
    return before != std::count_if(this->rows.begin(), this->rows.end(), isUnconfirmed);
}

// If a record that is removed now expired in an outage of the store and its upstream runs, it has returned by this
// time.
TimePoint UpstreamDirectory::returnTime() const
{
    return (this->answersSteadily() ? this->answersSince : this->clock.now()) + this->options.recoveryGrace;
}

// No outage since the last answer was long enough for a record to expire.
bool UpstreamDirectory::answersSteadily() const
{
    return this->lastAnswer && this->clock.now() - *this->lastAnswer <= this->options.maxAnswerGap;
}

bool UpstreamDirectory::mayReturn(const Row& row) const
{
    return !row.listed && this->lastReadStart < row.returnsUntil;
}

bool UpstreamDirectory::isComplete() const { return this->isLoaded() && !this->inGrace && !this->isAwaitingPeers; }

// Later, this process knows of outages itself.
bool UpstreamDirectory::onPeerListState(ListState state)
{
    if (!this->hasFullList || this->inGrace || this->clock.now() >= this->startEnd || state == ListState::Starting)
        return false;
    const bool isChanged = this->isAwaitingPeers || state == ListState::Incomplete;
    // The store has answered since the first list: what an outage before it removed is back by startEnd.
    if (state == ListState::Incomplete)
        this->startGrace(this->startEnd);
    else
        this->isConfirmedByPeer = true;
    this->endWaitForPeers(nameOf(state));
    return isChanged;
}

void UpstreamDirectory::endWaitForPeers(std::string_view outcome)
{
    if (std::exchange(this->isAwaitingPeers, false))
        logEvent(Event::FirstListChecked, { { "outcome", outcome }, { "directory", this->newestRevision } });
}

ListState UpstreamDirectory::listState() const
{
    const TimePoint now = this->clock.now();
    if (this->inGrace)
        return ListState::Incomplete;
    if (!this->hasFullList || (now < this->startEnd && !this->isConfirmedByPeer))
        return ListState::Starting;
    const bool mayLackUpstream = std::any_of(this->rows.begin(), this->rows.end(), [&](const auto& item) {
        const Row& row = item.second;
        return !row.listed && !row.record.draining && now < row.returnsUntil;
    });
    return mayLackUpstream ? ListState::Incomplete : ListState::Complete;
}

Listing UpstreamDirectory::listingOf(const UpstreamRecord& record) const
{
    const auto found = this->rows.find(record.name);
    if (found == this->rows.end() || found->second.record.born != record.born || !this->isNamed(record.service))
        return Listing::Removed;
    if (found->second.listed)
        return Listing::Listed;
    return this->mayReturn(found->second) ? Listing::MayReturn : Listing::Removed;
}

bool UpstreamDirectory::needsSteadyAnswers() const
{
    return this->hasFullList
        && this->clock.now() < this->startEnd - this->options.recoveryGrace + this->options.startWatchTime;
}

bool UpstreamDirectory::onTick()
{
    const TimePoint now = this->clock.now();
    const bool wasComplete = this->isComplete();
    this->checkForPause();
    this->lastTick = this->pauseClock.now();
    const bool isWaitOver
        = this->isAwaitingPeers && now >= this->startEnd - this->options.recoveryGrace + this->options.peerStateTimeout;
    if (isWaitOver)
        this->endWaitForPeers("no-answer");
    const bool graceEnded = this->inGrace && this->hasReadAfterGrace;
    if (graceEnded) {
        this->inGrace = false;
        for (auto& [name, row] : this->rows)
            row.keptForGrace = false;
    }
    std::erase_if(this->rows, [&](const auto& item) {
        const bool isExpired
            = !item.second.listed && now - item.second.unlistedAt > this->options.removedUpstreamLifetime;
        if (isExpired)
            this->removeFromAddressIndex(item.second.record);
        return isExpired;
    });
    const auto due = this->pendingUsableTimes.upper_bound(now);
    const bool becameUsable = due != this->pendingUsableTimes.begin();
    this->pendingUsableTimes.erase(this->pendingUsableTimes.begin(), due);
    return becameUsable || isWaitOver || graceEnded || this->isComplete() != wasComplete;
}

void UpstreamDirectory::removeFromAddressIndex(const UpstreamRecord& record)
{
    const auto names = this->namesByAddress.find(record.address);
    if (names != this->namesByAddress.end() && names->second.erase(record.name) > 0 && names->second.empty())
        this->namesByAddress.erase(names);
}

// Whether entries that lack the next record of this service at this address ask there for its flows.
bool UpstreamDirectory::isAskedFor(ServiceId service, PacketAddress address) const
{
    const auto names = this->namesByAddress.find(address);
    return names != this->namesByAddress.end()
        && std::any_of(names->second.begin(), names->second.end(), [&](const std::string& name) {
               const UpstreamRecord& record = this->rows.at(name).record;
               return record.service == service && !this->isSuperseded(record);
           });
}

// A listed record of a named service with a later start has the address.
bool UpstreamDirectory::isSuperseded(const UpstreamRecord& record) const
{
    const UpstreamRecord* current = this->listedAt(record.address);
    return current && current->name != record.name;
}

const UpstreamRecord* UpstreamDirectory::listedAt(PacketAddress address) const
{
    const UpstreamRecord* newestRecord = nullptr;
    const auto names = this->namesByAddress.find(address);
    if (names == this->namesByAddress.end())
        return nullptr;
    for (const std::string& name : names->second) {
        const Row& row = this->rows.at(name);
        if (!row.listed || !this->isNamed(row.record.service))
            continue;
        if (!newestRecord || row.record.born > newestRecord->born)
            newestRecord = &row.record;
    }
    return newestRecord;
}

std::vector<UpstreamRecord> UpstreamDirectory::usable(ServiceId service) const
{
    std::vector<UpstreamRecord> result;
    std::vector<UpstreamRecord> notYetUsable;
    for (const auto& [name, row] : this->rows) {
        const UpstreamRecord& record = row.record;
        if (record.service == service && !record.draining && (row.listed || row.keptForGrace)
            && !this->isSuperseded(record))
            (row.usableFrom <= this->clock.now() ? result : notYetUsable).push_back(record);
    }
    return result.empty() ? notYetUsable : result;
}

// Another writer may claim the address of an upstream that runs. Asking the agent once more costs less than the flows
// that the upstream holds.
std::vector<UpstreamRecord> UpstreamDirectory::possibleHolders(ServiceId service) const
{
    std::vector<UpstreamRecord> result;
    std::vector<UpstreamRecord> superseded;
    for (const auto& [name, row] : this->rows) {
        if (row.record.service != service)
            continue;
        if (!this->isSuperseded(row.record))
            result.push_back(row.record);
        else if (row.listed || this->mayReturn(row))
            superseded.push_back(row.record);
    }
    result.insert(result.end(), superseded.begin(), superseded.end());
    return result;
}

std::set<ServiceId> UpstreamDirectory::services() const
{
    std::set<ServiceId> result;
    for (const auto& [name, row] : this->rows)
        result.insert(row.record.service);
    return result;
}

std::vector<UpstreamRecord> UpstreamDirectory::allListed() const
{
    std::vector<UpstreamRecord> result;
    for (const auto& [name, row] : this->rows) {
        if (row.listed)
            result.push_back(row.record);
    }
    return result;
}

} // namespace wasabicroft
