// Discrete-event simulation of configuration propagation in a whole fleet: one Propagation per process, a manual clock,
// messages with delays, and a platform with a limited rate of calls. A run uses a single thread and no I/O.
#pragma once

#include "wasabicroft/Propagation.h"

#include <queue>

namespace wasabicroft {

struct PropagationSimulationOptions {
    size_t members = 6400;
    size_t domains = 11;
    size_t regions = 3;
    size_t services = 780;
    double deadFraction = 0; // Failed members that are still in the instance list.
    bool partitionsDomain = false; // Domain 0 cannot reach the others.
    bool partitionedDomainHasPlatform = false; // Domain 0 can still reach the platform.
    bool allWatch = false; // Baseline: every process watches the platform.
    Milliseconds inDomainDelay { 1 }; // One-way network delays.
    Milliseconds inRegionDelay { 4 };
    Milliseconds betweenRegionsDelay { 30 };
    Milliseconds applyDelay { 30 }; // Encoding, validating and applying a configuration in a process.
    Milliseconds connectTimeout { 2000 };
    unsigned platformCallsPerSecond = 2000;
    PropagationMechanisms mechanisms;
    uint64_t seed = 1;
};

struct PropagationResults {
    size_t live = 0; // Members that can receive the change.
    size_t reached = 0; // Of these, members that have the change.
    Milliseconds lastDelay { 0 }; // From publication until the last of them had the change.
    uint64_t platformCalls = 0; // Caused by the change.
    uint64_t peakCalls = 0; // Platform calls in the busiest second.
    double meanChangeBytes = 0; // Mean bytes sent and received by a member because of the change.
    double maxChangeBytes = 0; // Bytes of the member that sent and received most.
    double idleBytesPerSecond = 0; // Mean bytes sent and received by a member without a change.

    double bytesPerSecond(double changesPerDay) const
    {
        return this->idleBytesPerSecond + this->meanChangeBytes * changesPerDay / 86400;
    }
};

class PropagationSimulation {
public:
    explicit PropagationSimulation(const PropagationSimulationOptions& simulationOptions)
        : options(simulationOptions)
        , random(simulationOptions.seed)
    {
        this->config = makeServices(this->options.services);
        this->publishNext();
        std::shared_ptr<std::vector<Member>> list = std::make_shared<std::vector<Member>>();
        for (size_t i = 0; i < this->options.members; ++i)
            list->push_back(this->makeMember(i));
        this->members = list;
        for (const Member& watcher : selectWatchers(*this->members, WatcherOptions()))
            this->watchers.insert(this->indexOf(watcher.control));
        for (size_t i = 0; i < this->options.members; ++i)
            this->addNode(i);
        this->markDeadMembers();
    }

    // Runs without a change for idleTime, publishes a change of one service, and runs for changeTime.
    PropagationResults run(Milliseconds idleTime, Milliseconds changeTime)
    {
        PropagationResults results;
        this->runUntil(this->clock.now() + idleTime);
        results.idleBytesPerSecond = this->totalBytes() * 1000.0 / static_cast<double>(idleTime.count())
            / static_cast<double>(this->nodes.size());
        for (Node& node : this->nodes)
            node.bytes = 0;
        const uint64_t callsBefore = this->platformCalls;
        this->callsBySecond.clear();
        this->config[0].slots = static_cast<uint16_t>(this->config[0].slots + 1);
        this->publishNext();
        const TimePoint published = this->clock.now();
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].isDead && this->canReceiveChange(i)
                && (this->options.allWatch || this->watchers.contains(i)))
                this->readFromPlatform(i);
        }
        this->runUntil(published + changeTime);
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            const Node& node = this->nodes[i];
            if (node.isDead || !this->canReceiveChange(i))
                continue;
            ++results.live;
            if (!node.changeReceived)
                continue;
            ++results.reached;
            results.lastDelay = std::max(
                results.lastDelay, std::chrono::duration_cast<Milliseconds>(*node.changeReceived - published));
        }
        const double idle = results.idleBytesPerSecond * static_cast<double>(changeTime.count()) / 1000;
        results.meanChangeBytes = std::max(0.0, this->totalBytes() / static_cast<double>(this->nodes.size()) - idle);
        for (const Node& node : this->nodes)
            results.maxChangeBytes = std::max(results.maxChangeBytes, node.bytes);
        results.platformCalls = this->platformCalls - callsBefore;
        for (const auto& [second, calls] : this->callsBySecond)
            results.peakCalls = std::max(results.peakCalls, calls);
        return results;
    }

    static std::vector<ServiceConfig> makeServices(size_t count)
    {
        std::vector<ServiceConfig> services(count);
        for (size_t i = 0; i < count; ++i) {
            const std::string number = std::to_string(i);
            const std::string network = "10." + std::to_string(i / 250) + '.' + std::to_string(i % 250) + '.';
            services[i].name = "service-" + number;
            services[i].listeners.push_back({ "main", { network + "250", 7000 }, TrafficClass::Request });
            for (int host = 1; host <= 8; ++host) {
                const std::string address = network + std::to_string(host);
                services[i].upstreams.push_back({ "host-" + number + '-' + std::to_string(host), "domain-1",
                    { address, 7200 }, { address, 7300 }, false });
            }
        }
        return services;
    }

private:
    static constexpr size_t headerBytes = 66; // Ethernet, IPv4 and TCP headers with timestamps.
    static constexpr size_t segmentBytes = 1448;
    static constexpr size_t dialBytes = 7 * headerBytes; // Opening and closing a connection, both directions together.
    static constexpr Milliseconds idleTimeout { 5000 }; // Same as in PeerLinks.

    struct Node {
        std::unique_ptr<Propagation> propagation;
        bool isDead = false;
        double bytes = 0; // Bytes sent and received.
        std::optional<TimePoint> changeReceived;
        TimePoint timer = TimePoint::max(); // Earliest queued timer event.
        TimePoint busyUntil;
    };

    struct Event {
        TimePoint at;
        uint64_t number = 0;
        std::function<void()> run;
        bool operator>(const Event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    Member makeMember(size_t index) const
    {
        Member member;
        member.name = "member-" + std::to_string(index);
        member.failureDomain = "domain-" + std::to_string(index % this->options.domains);
        member.control = { "10.200." + std::to_string(index / 250) + '.' + std::to_string(index % 250), 7200 };
        return member;
    }

    size_t indexOf(const Endpoint& control) const
    {
        const auto found = this->indexes.find(control);
        if (found != this->indexes.end())
            return found->second;
        for (size_t i = 0; i < this->options.members; ++i)
            this->indexes[this->members->at(i).control] = i;
        return this->indexes.at(control);
    }

    void publishNext()
    {
        const PublishedConfig bytes = encodeConfig(1, ++this->publishedVersion, this->config);
        this->newest = parseSnapshot(bytes.manifest, bytes.values).value();
        this->parsed[this->newest->digest] = this->newest;
    }

    void addNode(size_t index)
    {
        PropagationOptions propagation;
        propagation.self = this->members->at(index).name;
        propagation.seed = this->random();
        propagation.mechanisms = this->options.mechanisms;
        propagation.mechanisms.askAtStart = false; // At the beginning, all processes have a configuration.
        propagation.parse = [this](const Manifest& manifest, std::string_view bytes, const ValuesByService& fetched,
                                const Snapshot* active) -> Result<std::shared_ptr<const Snapshot>> {
            const auto found = this->parsed.find(digestOf(bytes));
            return found != this->parsed.end() ? found->second : parseChange(manifest, bytes, fetched, active);
        };
        Node node;
        node.propagation = std::make_unique<Propagation>(propagation, this->clock);
        node.propagation->onPlatformSnapshot(this->newest);
        node.propagation->setMembers(this->members, this->watchers.contains(index));
        node.propagation->takeFrames();
        node.propagation->takeUpdate();
        this->nodes.push_back(std::move(node));
        this->schedule(index);
    }

    void markDeadMembers()
    {
        const size_t count = static_cast<size_t>(this->options.deadFraction * static_cast<double>(this->nodes.size()));
        for (size_t killed = 0; killed < count;) {
            Node& node = this->nodes[this->random() % this->nodes.size()];
            killed += node.isDead ? 0 : 1;
            node.isDead = true;
        }
    }

    bool isPartitioned(size_t a, size_t b) const
    {
        return this->options.partitionsDomain && (a % this->options.domains == 0) != (b % this->options.domains == 0);
    }

    bool canReceiveChange(size_t index) const
    {
        return !this->options.partitionsDomain || this->options.partitionedDomainHasPlatform
            || index % this->options.domains != 0;
    }

    Milliseconds delay(size_t a, size_t b) const
    {
        const size_t domainA = a % this->options.domains;
        const size_t domainB = b % this->options.domains;
        if (domainA == domainB)
            return this->options.inDomainDelay;
        return domainA % this->options.regions == domainB % this->options.regions ? this->options.inRegionDelay
                                                                                  : this->options.betweenRegionsDelay;
    }

    double totalBytes() const
    {
        double total = 0;
        for (const Node& node : this->nodes)
            total += node.bytes;
        return total;
    }

    void scheduleAt(TimePoint time, std::function<void()> run)
    {
        this->queue.push({ time, ++this->eventCount, std::move(run) });
    }

    void runUntil(TimePoint end)
    {
        while (!this->queue.empty() && this->queue.top().at <= end) {
            const Event event = this->queue.top();
            this->queue.pop();
            this->clock.set(event.at);
            event.run();
        }
        this->clock.set(end);
    }

    // Sends the frames and records the update that a member's last event produced.
    void processResults(size_t index)
    {
        Node& node = this->nodes[index];
        const PropagationUpdate update = node.propagation->takeUpdate();
        if (update.snapshot) {
            node.busyUntil = this->clock.now() + this->options.applyDelay;
            if (versionOf(*update.snapshot) == versionOf(*this->newest))
                node.changeReceived = node.busyUntil;
        }
        for (PeerFrame& peerFrame : node.propagation->takeFrames())
            this->send(index, std::move(peerFrame));
        this->schedule(index);
    }

    void schedule(size_t index)
    {
        Node& node = this->nodes[index];
        const TimePoint due = std::max(node.propagation->nextTimer(), this->clock.now());
        if (due >= node.timer)
            return;
        node.timer = due;
        this->scheduleAt(due, [this, index, due] {
            Node& timerNode = this->nodes[index];
            if (timerNode.timer != due)
                return;
            timerNode.timer = TimePoint::max();
            if (timerNode.isDead)
                return;
            timerNode.propagation->onTimer();
            this->processResults(index);
        });
    }

    static double wireBytes(const Frame& frame)
    {
        const size_t size = encodeFrame(frame).size() + framePrefixBytes;
        const size_t segments = (size + segmentBytes - 1) / segmentBytes;
        return static_cast<double>(size + 2 * segments * headerBytes); // Each segment has an acknowledgement.
    }

    void send(size_t from, PeerFrame peerFrame)
    {
        const bool isReply = peerFrame.route.link != 0;
        const size_t to = isReply ? peerFrame.route.link - 1 : this->indexOf(peerFrame.route.endpoint);
        const bool isUnreachable = this->nodes[to].isDead || this->isPartitioned(from, to);
        const Milliseconds oneWay = this->delay(from, to);
        Node& sender = this->nodes[from];
        TimePoint departure = std::max(this->clock.now(), sender.busyUntil);
        if (isUnreachable) {
            sender.bytes += 3 * headerBytes; // Connection request and retransmissions.
            if (!isReply)
                this->scheduleAt(
                    this->clock.now() + this->options.connectTimeout, [this, from, route = peerFrame.route] {
                        this->nodes[from].propagation->onUnreachable(route);
                        this->processResults(from);
                    });
            return;
        }
        TimePoint& lastUse = this->lastLinkUse[{ std::min(from, to), std::max(from, to) }];
        if (departure - lastUse > idleTimeout) {
            sender.bytes += dialBytes;
            this->nodes[to].bytes += dialBytes;
            departure += 2 * oneWay;
        }
        lastUse = std::max(lastUse, departure);
        const double bytes = wireBytes(peerFrame.frame);
        sender.bytes += bytes;
        this->nodes[to].bytes += bytes;
        const PeerRoute route = isReply ? PeerRoute { this->members->at(from).control, 0 } : PeerRoute { {}, from + 1 };
        this->scheduleAt(departure + oneWay, [this, to, route, frame = std::move(peerFrame.frame)] {
            this->nodes[to].propagation->onFrame(route, frame);
            this->processResults(to);
        });
    }

    // Returns when the platform, which answers calls in order at a limited rate, answers a call made now.
    TimePoint platformAnswer()
    {
        ++this->platformCalls;
        const Duration spacing
            = std::chrono::nanoseconds(std::chrono::seconds(1)) / this->options.platformCallsPerSecond;
        this->platformFreeAt = std::max(this->platformFreeAt, this->clock.now()) + spacing;
        ++this->callsBySecond[std::chrono::duration_cast<std::chrono::seconds>(this->platformFreeAt.time_since_epoch())
                                  .count()];
        return this->platformFreeAt + 2 * this->options.inRegionDelay;
    }

    // The pending watch returns the manifest, the changed value is read, and a new watch is started.
    void readFromPlatform(size_t index)
    {
        this->scheduleAt(this->clock.now() + this->options.inRegionDelay, [this, index] {
            this->scheduleAt(this->platformAnswer(), [this, index] {
                this->platformAnswer(); // The next watch.
                this->nodes[index].propagation->onPlatformSnapshot(this->newest);
                this->processResults(index);
            });
        });
    }

    PropagationSimulationOptions options;
    std::mt19937_64 random;
    ManualClock clock;
    std::vector<ServiceConfig> config;
    uint64_t publishedVersion = 0;
    std::shared_ptr<const Snapshot> newest;
    // By digest. All members parse the same bytes, so they share the result; applyDelay accounts for the cost.
    std::map<uint64_t, std::shared_ptr<const Snapshot>> parsed;
    std::shared_ptr<const std::vector<Member>> members;
    mutable std::map<Endpoint, size_t> indexes;
    std::set<size_t> watchers;
    std::vector<Node> nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue;
    uint64_t eventCount = 0;
    std::map<std::pair<size_t, size_t>, TimePoint> lastLinkUse;
    TimePoint platformFreeAt;
    uint64_t platformCalls = 0;
    std::map<int64_t, uint64_t> callsBySecond;
};

} // namespace wasabicroft
