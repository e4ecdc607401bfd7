#include "wasabicroft/Published.h"

#include <algorithm>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Routing table
//-----------------------------------------------------------------------------

const Route* RoutingTable::find(PacketAddress address) const
{
    const auto found = this->routes.find(address);
    return found == this->routes.end() ? nullptr : &found->second;
}

//-----------------------------------------------------------------------------
// [SECTION] Upstream directory
//-----------------------------------------------------------------------------

UpstreamId UpstreamRecord::id() const { return upstreamIdOf(this->name + '@' + std::to_string(this->born)); }

UpstreamDirectory::UpstreamDirectory(DirectoryOptions directoryOptions, const Clock& timeSource)
    : UpstreamDirectory(directoryOptions, timeSource, timeSource)
{
}

UpstreamDirectory::UpstreamDirectory(
    DirectoryOptions directoryOptions, const Clock& timeSource, const Clock& pauseTimeSource)
    : options(directoryOptions)
    , clock(timeSource)
    , pauseClock(pauseTimeSource)
    , graceEnds(timeSource.now())
{
}

bool UpstreamDirectory::update(UpstreamRecord record)
{
    const uint64_t revision = record.revision;
    this->newest = std::max(this->newest, revision);
    this->changed = std::max(this->changed, revision);
    const bool isNew = this->hasList && !this->inGrace && !this->namesAt.contains(record.address);
    Row& row = this->rows[record.name];
    if (revision <= std::max(row.record.revision, row.removedAt))
        return false;
    const TimePoint now = this->clock.now();
    const TimePoint usableFrom = isNew ? now + this->options.spreadTime : row.usableFrom;
    if (isNew)
        this->becomingUsable.insert(usableFrom);
    this->forgetAddress(row.record);
    this->namesAt[record.address].insert(record.name);
    row = Row { std::move(record), true, 0, {}, false, usableFrom };
    return true;
}

bool UpstreamDirectory::remove(const std::string& name, uint64_t revision)
{
    this->newest = std::max(this->newest, revision);
    this->changed = std::max(this->changed, revision);
    const auto found = this->rows.find(name);
    if (found == this->rows.end() || !found->second.listed || revision <= found->second.record.revision)
        return false;
    this->unlist(found->second, revision);
    return true;
}

bool UpstreamDirectory::replace(std::vector<UpstreamRecord> records, uint64_t revision)
{
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
    this->newest = std::max(this->newest, revision);
    this->hasList = true;
    return changed;
}

// A process that was frozen, or whose machine was suspended, may have missed an outage of the store.
void UpstreamDirectory::notePause()
{
    const TimePoint now = this->pauseClock.now();
    if (this->lastTick && now - *this->lastTick > this->options.pauseLimit) {
        this->lastTick = now;
        this->noteReturn();
    }
}

void UpstreamDirectory::unlist(Row& row, uint64_t revision)
{
    this->notePause();
    row.listed = false;
    row.removedAt = revision;
    row.unlisted = this->clock.now();
    row.returning = !row.record.draining && this->clock.now() < this->graceEnds;
}

void UpstreamDirectory::noteReturn()
{
    this->graceEnds = this->clock.now() + this->options.returnGrace;
    this->inGrace = true;
}

bool UpstreamDirectory::isComplete() const { return this->isKnown() && !this->inGrace; }

bool UpstreamDirectory::isListed(const UpstreamRecord& record) const
{
    const auto found = this->rows.find(record.name);
    return found != this->rows.end() && found->second.listed && found->second.record.born == record.born;
}

bool UpstreamDirectory::onTick()
{
    const TimePoint now = this->clock.now();
    this->notePause();
    this->lastTick = this->pauseClock.now();
    const bool graceEnded = this->inGrace && now >= this->graceEnds;
    if (graceEnded) {
        this->inGrace = false;
        for (auto& [name, row] : this->rows)
            row.returning = false;
    }
    std::erase_if(this->rows, [&](const auto& item) {
        const bool isOver = !item.second.listed && now - item.second.unlisted > this->options.flowLifetime;
        if (isOver)
            this->forgetAddress(item.second.record);
        return isOver;
    });
    const auto due = this->becomingUsable.upper_bound(now);
    const bool becameUsable = due != this->becomingUsable.begin();
    this->becomingUsable.erase(this->becomingUsable.begin(), due);
    return graceEnded || becameUsable;
}

void UpstreamDirectory::forgetAddress(const UpstreamRecord& record)
{
    const auto names = this->namesAt.find(record.address);
    if (names != this->namesAt.end() && names->second.erase(record.name) > 0 && names->second.empty())
        this->namesAt.erase(names);
}

bool UpstreamDirectory::isSuperseded(const UpstreamRecord& record) const
{
    const UpstreamRecord* current = this->listedAt(record.address);
    return current && current->name != record.name;
}

const UpstreamRecord* UpstreamDirectory::listedAt(PacketAddress address) const
{
    const UpstreamRecord* newestRecord = nullptr;
    const auto names = this->namesAt.find(address);
    if (names == this->namesAt.end())
        return nullptr;
    for (const std::string& name : names->second) {
        const Row& row = this->rows.at(name);
        if (row.listed && (!newestRecord || row.record.born > newestRecord->born))
            newestRecord = &row.record;
    }
    return newestRecord;
}

std::vector<UpstreamRecord> UpstreamDirectory::usable(ServiceId service) const
{
    std::vector<UpstreamRecord> result;
    std::vector<UpstreamRecord> newcomers;
    for (const auto& [name, row] : this->rows) {
        const UpstreamRecord& record = row.record;
        if (record.service == service && !record.draining && (row.listed || row.returning)
            && !this->isSuperseded(record))
            (row.usableFrom <= this->clock.now() ? result : newcomers).push_back(record);
    }
    return result.empty() ? newcomers : result;
}

std::vector<UpstreamRecord> UpstreamDirectory::holders(ServiceId service) const
{
    std::vector<UpstreamRecord> result;
    for (const auto& [name, row] : this->rows) {
        if (row.record.service == service && !this->isSuperseded(row.record))
            result.push_back(row.record);
    }
    return result;
}

std::vector<UpstreamRecord> UpstreamDirectory::all() const
{
    std::vector<UpstreamRecord> result;
    for (const auto& [name, row] : this->rows) {
        if (row.listed)
            result.push_back(row.record);
    }
    return result;
}

} // namespace wasabicroft
