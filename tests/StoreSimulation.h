// Simulation of entries that read the platform's store and report its state to each other, with a simulated clock. The
// store can hide a change from the watches in flight, it can be restored from an older copy of itself, and single
// entries can lose the store, the network or power.
#pragma once

#include "wasabicroft/StoreRefresh.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace wasabicroft::tests {

struct StoreSimulationOptions {
    size_t entries = 16;
    uint64_t seed = 1;
    Milliseconds step { 10 };
    Milliseconds answerTime { 10 }; // of the store
    Milliseconds transitTime { 10 }; // between entries
    StoreRefreshOptions refresh {};
    bool statesEra = true; // false: the store's answers don't show that it was restored
};

class StoreSimulation {
public:
    explicit StoreSimulation(StoreSimulationOptions simulationOptions)
        : options(simulationOptions)
        , random(simulationOptions.seed)
    {
        for (size_t i = 0; i < this->options.entries; ++i)
            this->entries.push_back(std::make_unique<Entry>(static_cast<uint32_t>(i + 1), *this));
    }

    Milliseconds randomTime(Milliseconds max)
    {
        return Milliseconds(std::uniform_int_distribution<int64_t>(0, max.count())(this->random));
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = this->clock.now() + duration; this->clock.now() < end;) {
            this->clock.advance(this->options.step);
            this->writeAgain();
            for (const std::unique_ptr<Entry>& entry : this->entries)
                this->runEntry(*entry);
        }
    }

    // Faults of single entries
    void turnAway(size_t index) { this->entries.at(index)->isTurnedAway = true; } // the store does not answer it
    void cutOff(size_t index) { this->entries.at(index)->isCutOff = true; } // reaches neither the store nor entries
    void powerOff(size_t index) { this->entries.at(index)->isDown = true; }
    bool isImpaired(size_t index) const
    {
        const Entry& entry = *this->entries.at(index);
        return entry.isTurnedAway || entry.isCutOff || entry.isDown;
    }

    // Number of running entries that another running entry lists, summed over all.
    size_t countListings() const
    {
        size_t listings = 0;
        for (const std::unique_ptr<Entry>& entry : this->entries)
            listings += entry->isDown ? 0 : entry->fleet.entryCount();
        return listings;
    }

    // Until endHiding, watches in flight become silent for good. The changes meanwhile are dropped from the history.
    void startHiding()
    {
        this->isHiding = true;
        this->silenceWatches();
    }
    void endHiding()
    {
        this->silenceWatches();
        this->isHiding = false;
        this->historyStart = this->state.revision;
    }
    // Connections become silent for good without a reset; the history remains.
    void silenceConnections() { this->silenceWatches(); }

    void change(StoreTopic topic)
    {
        this->state.changedAt.at(static_cast<size_t>(topic)) = ++this->state.revision;
        this->state.versions.at(static_cast<size_t>(topic)) = ++this->newestVersion;
        this->writeTimes.at(static_cast<size_t>(topic)).reset();
        this->copies.emplace_back(this->clock.now(), this->state);
    }

    // Changes of keys that belong to no topic.
    void changeOtherKeys(size_t max)
    {
        this->state.revision += std::uniform_int_distribution<uint64_t>(0, max)(this->random);
    }

    // Until restore, the store resets all connections.
    void startOutage() { this->isAway = true; }

    // The store is back from a copy of this age. What was written there since is written again within maxWriteTime, in
    // other revisions.
    void restore(Milliseconds age, Milliseconds maxWriteTime)
    {
        const TimePoint copied = this->clock.now() - age;
        const StoreState lost = this->state;
        while (this->copies.size() > 1 && this->copies.back().first > copied)
            this->copies.pop_back();
        this->state = this->copies.back().second;
        this->historyStart = 0;
        ++this->era;
        this->isAway = false;
        for (size_t i = 0; i < storeTopicCount; ++i) {
            this->lostVersions.at(i) = std::max(this->lostVersions.at(i), lost.versions.at(i));
            if (this->state.versions.at(i) < this->lostVersions.at(i))
                this->writeTimes.at(i) = this->clock.now() + this->randomTime(maxWriteTime);
        }
    }

    // Number of unimpaired entries that have not read the last change of a topic.
    size_t countBehind(StoreTopic topic) const
    {
        const size_t i = static_cast<size_t>(topic);
        size_t behind = 0;
        for (size_t index = 0; index < this->entries.size(); ++index)
            behind
                += !this->isImpaired(index) && this->entries[index]->readVersions.at(i) != this->state.versions.at(i);
        return behind;
    }

    uint64_t calls() const { return this->callCount; }
    uint64_t messages() const { return this->messageCount; }

private:
    struct Call {
        StoreRead read;
        TimePoint started;
        bool isSilent = false; // the answer is lost
    };

    // The topics as the store has them.
    struct StoreState {
        uint64_t revision = 2;
        std::array<uint64_t, storeTopicCount> changedAt { 1, 2 }; // revision of the last change of each topic
        std::array<uint64_t, storeTopicCount> versions { 1, 1 };
    };

    struct Message {
        TimePoint due;
        uint32_t sender = 0;
        std::vector<uint8_t> bytes;
    };

    struct Entry {
        Entry(uint32_t self, const StoreSimulation& simulation)
            : address(self)
            , sync(syncOptions(self), simulation.clock)
            , fleet(fleetOptions(self), simulation.clock)
            , refresh(simulation.options.refresh, this->sync, this->fleet, simulation.clock, simulation.clock)
        {
            constexpr uint32_t seedCount = 3;
            std::vector<uint32_t> seeds;
            for (uint32_t seed = 1; seed <= seedCount; ++seed)
                seeds.push_back(seed);
            this->fleet.setSeeds(seeds);
        }

        static StoreSyncOptions syncOptions(uint32_t self)
        {
            StoreSyncOptions options;
            options.seed = self;
            return options;
        }

        static FleetOptions fleetOptions(uint32_t self)
        {
            FleetOptions options;
            options.self = self;
            return options;
        }

        std::optional<StoreVersions> versions() const
        {
            if (this->readVersions[0] == 0 || this->readVersions[1] == 0)
                return std::nullopt;
            return StoreVersions { this->readVersions[0], this->sync.completeRevision(StoreTopic::Upstreams) };
        }

        uint32_t address = 0;
        StoreSync sync;
        FleetView fleet;
        StoreRefresh refresh;
        std::array<std::optional<Call>, storeTopicCount> calls;
        std::array<uint64_t, storeTopicCount> readVersions {}; // that are in force
        uint64_t lastChange = 0; // position of the newest change of the upstreams that was read
        std::deque<Message> inbox;
        bool reachesStore = false;
        bool isTurnedAway = false;
        bool isCutOff = false;
        bool isDown = false;
    };

    void silenceWatches()
    {
        for (const std::unique_ptr<Entry>& entry : this->entries) {
            for (std::optional<Call>& call : entry->calls) {
                if (call && call->read.isWatch)
                    call->isSilent = true;
            }
        }
    }

    void writeAgain()
    {
        for (size_t i = 0; i < storeTopicCount; ++i) {
            if (!this->writeTimes.at(i) || this->clock.now() < *this->writeTimes.at(i))
                continue;
            this->writeTimes.at(i).reset();
            this->state.changedAt.at(i) = ++this->state.revision;
            this->state.versions.at(i) = this->lostVersions.at(i);
            this->copies.emplace_back(this->clock.now(), this->state);
        }
    }

    uint64_t positionOf(uint64_t revision) const
    {
        return storePosition(this->options.statesEra ? this->era : 0, revision);
    }

    // The routes never go back to an older version.
    void apply(Entry& entry, StoreTopic topic)
    {
        uint64_t& version = entry.readVersions.at(static_cast<size_t>(topic));
        const uint64_t read = this->state.versions.at(static_cast<size_t>(topic));
        version = topic == StoreTopic::Routes ? std::max(version, read) : read;
        if (topic == StoreTopic::Upstreams)
            entry.lastChange = std::max(entry.lastChange, this->positionOf(this->state.changedAt.at(1)));
    }

    void runEntry(Entry& entry)
    {
        if (entry.isDown)
            return;
        this->deliverMessages(entry);
        for (size_t i = 0; i < storeTopicCount; ++i) {
            if (entry.calls.at(i))
                this->continueCall(entry, static_cast<StoreTopic>(i));
        }
        entry.refresh.onTick(entry.versions());
        for (size_t i = 0; i < storeTopicCount; ++i) {
            if (const std::optional<StoreRead> read = entry.sync.nextRead(static_cast<StoreTopic>(i))) {
                ++this->callCount;
                entry.calls.at(i) = Call { *read, this->clock.now(), this->isHiding && read->isWatch };
            }
        }
        this->sendPresence(entry);
    }

    void continueCall(Entry& entry, StoreTopic topic)
    {
        const size_t i = static_cast<size_t>(topic);
        const Call call = *entry.calls.at(i);
        const Duration age = this->clock.now() - call.started;
        const bool canAnswer = !this->isAway && !call.isSilent && !entry.isTurnedAway && !entry.isCutOff
            && age >= this->options.answerTime;
        const bool hasChange = this->state.changedAt.at(i) > revisionOf(call.read.afterRevision);
        const bool isHistoryLost = call.read.isWatch
            && (revisionOf(call.read.afterRevision) < this->historyStart
                || revisionOf(call.read.afterRevision) > this->state.revision);
        const uint64_t position = this->positionOf(this->state.revision);
        if (canAnswer && isHistoryLost) {
            entry.calls.at(i).reset();
            entry.sync.onHistoryLost(call.read, this->positionOf(0));
        } else if (canAnswer && (!call.read.isWatch || hasChange || age >= call.read.wait)) {
            entry.calls.at(i).reset();
            if (position < call.read.minRevision) {
                entry.sync.onFailure(call.read);
                entry.reachesStore = false;
                return;
            }
            const bool isUsed = call.read.isWatch ? entry.sync.onEvents(call.read, position)
                                                  : entry.sync.onPage(call.read, position, false, "");
            if (isUsed)
                this->apply(entry, topic);
            entry.reachesStore
                = entry.sync.isReachable(StoreTopic::Routes) && entry.sync.isReachable(StoreTopic::Upstreams);
        } else if (this->isAway || age >= call.read.timeout) {
            entry.calls.at(i).reset();
            entry.sync.onFailure(call.read);
            entry.reachesStore = false;
        }
    }

    void sendPresence(Entry& entry)
    {
        StoreCopy copy { entry.readVersions[0], entry.lastChange, entry.versions().has_value(), entry.reachesStore,
            {} };
        for (size_t i = 0; i < storeTopicCount; ++i)
            copy.confirmedAt.at(i) = entry.refresh.confirmedAt(static_cast<StoreTopic>(i));
        const auto [message, targets] = entry.fleet.takeMessage(copy);
        if (targets.empty())
            return;
        const std::vector<uint8_t> bytes = encodePresence(message);
        for (const uint32_t target : targets) {
            ++this->messageCount;
            Entry& receiver = *this->entries.at(target - 1);
            if (!entry.isCutOff && !receiver.isCutOff)
                receiver.inbox.push_back({ this->clock.now() + this->options.transitTime, entry.address, bytes });
        }
    }

    void deliverMessages(Entry& entry)
    {
        while (!entry.inbox.empty() && entry.inbox.front().due <= this->clock.now()) {
            entry.fleet.onMessage(entry.inbox.front().sender, decodePresence(entry.inbox.front().bytes).value());
            entry.inbox.pop_front();
        }
    }

    StoreSimulationOptions options;
    ManualClock clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Entry>> entries;
    StoreState state;
    std::vector<std::pair<TimePoint, StoreState>> copies { { this->clock.now(), StoreState() } };
    uint64_t newestVersion = 1;
    uint64_t era = 3;
    std::array<std::optional<TimePoint>, storeTopicCount> writeTimes; // when lost versions are written again
    std::array<uint64_t, storeTopicCount> lostVersions {};
    bool isAway = false;
    uint64_t historyStart = 0;
    bool isHiding = false;
    uint64_t callCount = 0;
    uint64_t messageCount = 0;
};

} // namespace wasabicroft::tests
