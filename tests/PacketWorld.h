// Simulation of the packet path: entries, agents, upstreams and clients with a simulated clock and a network that
// loses, duplicates and delays messages. Packets are bytes in the platform's layout.
#pragma once

#include "fakes/PacketBytes.h"
#include "platform/PacketLayout.h"
#include "wasabicroft/AgentRouter.h"
#include "wasabicroft/EntryRouter.h"
#include "wasabicroft/Presence.h"

#include <cstring>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace wasabicroft::tests {

using fakes::makePacket;

inline constexpr uint8_t synFlag = fakes::packet_flags::syn;
inline constexpr uint8_t ackFlag = fakes::packet_flags::ack;
inline constexpr uint8_t finFlag = fakes::packet_flags::fin;
inline constexpr uint8_t rstFlag = fakes::packet_flags::reset;
inline constexpr uint8_t bouncedFlag = fakes::packet_flags::bounced;

struct PacketWorldOptions {
    size_t entries = 3;
    size_t upstreams = 5; // per service; there are two services
    double loss = 0;
    double duplication = 0;
    Milliseconds maxDelay { 5 };
    Milliseconds work { 10 };
    uint16_t slots = 2;
    uint64_t seed = 1;
    DirectoryOptions directory;
    std::optional<double> entryLinkBytesPerSecond; // outgoing link of each entry; empty: unlimited
    LinkBudgetOptions entryLinkBudget;
    std::function<void(HopMessage&)> tamper; // modifies hop messages before they are sent; may be empty
};

class PacketWorld {
public:
    explicit PacketWorld(PacketWorldOptions worldOptions)
        : options(std::move(worldOptions))
        , random(this->options.seed)
        , directory(this->options.directory, this->clock)
        , provisionalDirectory(this->options.directory, this->clock)
    {
        for (size_t service = 0; service < 2; ++service) {
            Route route;
            route.address = routeAddress(service);
            route.shares = { { serviceOf(service), 1 } };
            route.limits = RequestLimits { Milliseconds(150), Milliseconds(2000), 0 };
            this->table->routes[route.address] = route;
            for (size_t i = 0; i < this->options.upstreams; ++i)
                this->addUpstream(service);
        }
        this->table->version = 1;
        this->publish();
        for (size_t i = 0; i < this->options.entries; ++i) {
            this->entries.push_back(std::make_unique<Entry>());
            this->startEntry(i);
        }
    }

    static ServiceId serviceOf(size_t service) { return { service + 1 }; }
    static PacketAddress routeAddress(size_t service) { return { 0xc6120001U, static_cast<uint16_t>(443 + service) }; }

    // Outcome of a request as its client sees it.
    struct Request {
        FlowKey flow;
        size_t service = 0;
        bool answered = false;
        bool reset = false;
        std::optional<uint32_t> hostSequence; // sequence number of the first SYN+ACK
        std::vector<uint8_t> data; // sent again until it is answered
        TimePoint started;
        std::optional<Duration> latency; // from its start until it was answered
        bool keepsFlow = false;
    };

    // Opens a flow and sends a request on it.
    size_t open(size_t service, size_t entry)
    {
        Request request;
        request.flow = { { 0x64400000U + static_cast<uint32_t>(this->requests.size() / 60000), nextPort() },
            routeAddress(service) };
        request.service = service;
        request.started = this->clock.now();
        this->requests.push_back(request);
        this->requestByFlow[request.flow] = this->requests.size() - 1;
        this->entryByFlow[request.flow] = entry;
        this->sendSyn(this->requests.size() - 1, 0);
        return this->requests.size() - 1;
    }

    // Sends a further request on an open flow.
    void sendNextRequest(size_t index)
    {
        Request& request = this->requests.at(index);
        request.answered = false;
        request.reset = false;
        request.started = this->clock.now();
        this->clientSequence[request.flow] += 100;
        this->sendData(index, 0);
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = this->clock.now() + duration;
        while (!this->events.empty() && this->events.top().due <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.set(std::max(this->clock.now(), event.due));
            event.action();
        }
        this->clock.set(end);
    }

    void startTicks()
    {
        this->after(Milliseconds(10), [this] {
            for (const std::unique_ptr<Entry>& entry : this->entries) {
                if (entry->isUp)
                    entry->router->onTick();
            }
            for (const std::unique_ptr<Upstream>& upstream : this->upstreams) {
                if (upstream->agentIsUp)
                    upstream->router->onTick();
            }
            for (const std::unique_ptr<Entry>& entry : this->entries) {
                if (entry->isUp && entry->router->takeUnresolvedRemoval())
                    this->directory.requestCheckOfRemovals();
            }
            const bool isRemovalFinal = this->directory.takeReadRequest() && this->directory.onRead(this->clock.now());
            if (this->directory.onTick() || isRemovalFinal) {
                for (const std::unique_ptr<Entry>& entry : this->entries) {
                    if (entry->isUp)
                        entry->router->setUpstreams(this->directory);
                }
            }
            this->startTicks();
        });
    }

    // Faults
    void killEntry(size_t index) { this->entries.at(index)->isUp = false; }

    void startEntry(size_t index)
    {
        Entry& entry = *this->entries.at(index);
        EntryRouterOptions routerOptions;
        routerOptions.agentPort = agentPort;
        routerOptions.seed = this->random();
        routerOptions.link = this->options.entryLinkBudget;
        const PacketAddress self { entryNetwork + static_cast<uint32_t>(index), hopPort };
        entry.router = std::make_unique<EntryRouter>(routerOptions,
            EntryRouterHooks {
                [this, self](PacketAddress agent, const HopMessage& message) { this->sendHop(self, agent, message); },
                [this](const FlowKey& flow, uint32_t) { this->send([this, flow] { this->onReset(flow); }); } },
            this->clock);
        entry.router->setRoutes(this->table);
        entry.router->setUpstreams(this->directory);
        entry.isUp = true;
    }

    // Starts an entry while the store is away: it knows what agents announce.
    void startEntryWithoutStore(size_t index)
    {
        this->startEntry(index);
        FleetView fleet({}, this->clock);
        for (const std::unique_ptr<Upstream>& upstream : this->upstreams) {
            PresenceMessage message;
            message.agents.push_back({ upstream->agent, upstream->record.service, "", upstream->record.address,
                { routeAddress(upstream->service) }, upstream->router->upstreamFigures() });
            fleet.onMessage(upstream->agent.address, message);
        }
        this->provisionalDirectory.replace(fleet.provisionalUpstreams(), provisionalRevision);
        this->entries.at(index)->router->setRoutes(fleet.provisionalRoutes(), true);
        this->entries.at(index)->router->setUpstreams(this->provisionalDirectory);
    }

    void stopAgent(size_t index) { this->upstreams.at(index)->agentIsUp = false; }

    void restartAgent(size_t index)
    {
        Upstream& upstream = *this->upstreams.at(index);
        upstream.agentIsUp = true;
        this->startAgent(upstream);
    }

    void crashUpstream(size_t index)
    {
        Upstream& upstream = *this->upstreams.at(index);
        upstream.isUp = false;
        upstream.flows.clear();
        ++upstream.incarnation;
    }

    void startUpstream(size_t index) { this->upstreams.at(index)->isUp = true; }

    void setDraining(size_t index)
    {
        this->upstreams.at(index)->record.draining = true;
        this->publish();
    }

    void setListed(size_t index, bool isListed)
    {
        this->upstreams.at(index)->isListed = isListed;
        this->publish();
    }

    void publish()
    {
        std::vector<UpstreamRecord> records;
        ++this->revision;
        for (const std::unique_ptr<Upstream>& upstream : this->upstreams) {
            upstream->record.revision = this->revision;
            if (upstream->isListed)
                records.push_back(upstream->record);
        }
        this->directory.replace(records, this->revision);
        for (const std::unique_ptr<Entry>& entry : this->entries) {
            if (entry->isUp)
                entry->router->setUpstreams(this->directory);
        }
    }

    struct HostFlow {
        uint32_t sequence = 0;
        bool isOpen = false;
        uint32_t highest = 0; // end of the payload received so far
    };

    struct Upstream {
        UpstreamRecord record;
        size_t service = 0;
        PacketAddress agent;
        std::unique_ptr<AgentRouter> router;
        bool agentIsUp = true;
        bool isUp = true;
        bool isListed = true;
        uint64_t incarnation = 0;
        std::map<FlowKey, HostFlow> flows;
        std::deque<std::function<void()>> queue;
        size_t runningWork = 0;
        size_t completed = 0;
        size_t opened = 0;
    };

    struct Entry {
        std::unique_ptr<EntryRouter> router;
        bool isUp = false;
    };

    PacketWorldOptions options;
    ManualClock clock;
    std::mt19937_64 random;
    UpstreamDirectory directory;
    UpstreamDirectory provisionalDirectory; // as agents announce it
    std::shared_ptr<RoutingTable> table = std::make_shared<RoutingTable>();
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<Request> requests;
    std::map<FlowKey, size_t> entryByFlow; // the entry that the platform's routers select for a flow
    std::vector<std::string> violations;
    uint64_t hopMessages = 0;

private:
    static constexpr uint32_t entryNetwork = 0x0a010000U;
    static constexpr uint32_t hostNetwork = 0x0a020000U;
    static constexpr uint16_t agentPort = 8000;
    static constexpr uint16_t hopPort = 7700;

    struct Event {
        TimePoint due;
        uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return this->due != other.due ? this->due > other.due : this->order > other.order;
        }
    };

    uint16_t nextPort() const { return static_cast<uint16_t>(1024 + this->requests.size() % 60000); }

    void after(Duration delay, std::function<void()> action)
    {
        this->events.push({ this->clock.now() + delay, ++this->eventCount, std::move(action) });
    }

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(this->random) < probability; }

    // Sends one datagram through the network, which may lose, duplicate, delay and reorder it.
    void send(const std::function<void()>& arrive)
    {
        const auto delay = [this] {
            return std::chrono::microseconds(
                100 + this->random() % (1000 * static_cast<uint64_t>(this->options.maxDelay.count())));
        };
        if (!this->chance(this->options.loss))
            this->after(delay(), arrive);
        if (this->chance(this->options.duplication))
            this->after(delay(), arrive);
    }

    void addUpstream(size_t service)
    {
        const uint32_t address = hostNetwork + static_cast<uint32_t>(this->upstreams.size());
        this->upstreams.push_back(std::make_unique<Upstream>());
        Upstream& upstream = *this->upstreams.back();
        upstream.service = service;
        upstream.record.name = "host-" + std::to_string(this->upstreams.size());
        upstream.record.born = 1;
        upstream.record.service = serviceOf(service);
        upstream.record.address = { address, 9000 };
        upstream.record.slots = this->options.slots;
        upstream.agent = { address, agentPort };
        this->startAgent(upstream);
    }

    void startAgent(Upstream& upstream)
    {
        AgentRouterOptions routerOptions;
        routerOptions.service = upstream.record.service;
        routerOptions.self = upstream.agent;
        Upstream* self = &upstream;
        AgentRouterHooks hooks;
        hooks.sendToUpstream = [this, self](Bytes packet) {
            const std::vector<uint8_t> bytes(packet.begin(), packet.end());
            this->after(std::chrono::microseconds(100), [this, self, bytes] { this->onHostPacket(*self, bytes); });
        };
        hooks.sendToClient = [this](PacketAddress, Bytes packet) {
            const std::vector<uint8_t> bytes(packet.begin(), packet.end());
            this->send([this, bytes] { this->onClientPacket(bytes); });
        };
        hooks.sendHop = [this, self](PacketAddress entry, const HopMessage& message) {
            this->sendHop(self->agent, entry, message);
        };
        hooks.onUpstreamAnswered = [](PacketAddress) {};
        upstream.router = std::make_unique<AgentRouter>(routerOptions, hooks, this->clock);
    }

    void sendHop(PacketAddress from, PacketAddress to, HopMessage message)
    {
        if (this->options.tamper)
            this->options.tamper(message);
        std::vector<uint8_t> bytes;
        encodeHop(message, bytes);
        ++this->hopMessages;
        const std::optional<Duration> queueing = this->queueAtLink(from, bytes.size() + datagramHeaderBytes);
        if (queueing)
            this->after(*queueing, [this, from, to, bytes] { this->deliverHop(from, to, bytes); });
    }

    // Time that a message waits at the link of its sender, which drops messages when its queue is full.
    std::optional<Duration> queueAtLink(PacketAddress from, size_t bytes)
    {
        constexpr Milliseconds maxQueueing { 1000 };
        if (!this->options.entryLinkBytesPerSecond || from.address >= hostNetwork)
            return Duration::zero();
        TimePoint& isFree = this->linkIsFree[from];
        isFree = std::max(isFree, this->clock.now());
        if (isFree - this->clock.now() > maxQueueing)
            return std::nullopt;
        isFree += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / *this->options.entryLinkBytesPerSecond));
        return isFree - this->clock.now();
    }

    void deliverHop(PacketAddress from, PacketAddress to, const std::vector<uint8_t>& bytes)
    {
        this->send([this, from, to, bytes] {
            const Result<HopMessage> decoded = decodeHop(bytes);
            if (!decoded) {
                this->violations.push_back("a hop message could not be decoded");
                return;
            }
            const bool hasPacket = !decoded.value().packet.empty();
            const Result<Packet> packet
                = hasPacket ? platform::decodePacket(decoded.value().packet) : Result<Packet>(Packet());
            if (to.address >= hostNetwork) {
                Upstream& upstream = *this->upstreams.at(to.address - hostNetwork);
                if (upstream.agentIsUp && decoded.value().kind == HopKind::Ask)
                    upstream.router->onAsk(from, decoded.value());
                else if (upstream.agentIsUp && decoded.value().kind == HopKind::Search)
                    upstream.router->onSearch(from, decoded.value(), packet.value());
                else if (upstream.agentIsUp)
                    upstream.router->onHop(from, decoded.value(), packet.value());
            } else {
                Entry& entry = *this->entries.at(to.address - entryNetwork);
                if (!entry.isUp)
                    return;
                entry.router->onHop(from, decoded.value(), hasPacket ? &packet.value() : nullptr);
                entry.router->flushAsks();
            }
        });
    }

    // The upstream, as specified by the platform.
    void onHostPacket(Upstream& host, const std::vector<uint8_t>& bytes)
    {
        if (!host.isUp)
            return;
        const Packet packet = platform::decodePacket(bytes).value();
        const FlowKey key = packet.flowKeyFromClient();
        if (key.route != routeAddress(host.service) && packet.isSyn())
            this->violations.push_back("a SYN reached an upstream of another service");
        if (packet.isSyn()) {
            HostFlow& flow = host.flows[key];
            if (flow.sequence == 0)
                flow.sequence = static_cast<uint32_t>(this->random() % 1000000) + 1;
            this->fromHost(
                host, makePacket(key.route, key.client, synFlag | ackFlag, flow.sequence, packet.sequence + 1, 0));
            return;
        }
        const auto found = host.flows.find(key);
        const bool holds = found != host.flows.end()
            && (found->second.isOpen || packet.acknowledgement == found->second.sequence + 1);
        if (!holds) {
            std::vector<uint8_t> bounced = bytes;
            bounced[0] |= bouncedFlag;
            this->fromHost(host, bounced);
            return;
        }
        HostFlow& flow = found->second;
        host.opened += flow.isOpen ? 0 : 1;
        flow.isOpen = true;
        if (packet.payloadBytes == 0 || packet.sequence + packet.payloadBytes <= flow.highest)
            return;
        flow.highest = packet.sequence + packet.payloadBytes;
        const uint64_t boot = host.incarnation;
        this->enqueue(host, [this, &host, key, boot] {
            if (host.incarnation != boot)
                return;
            ++host.completed;
            this->fromHost(host, makePacket(key.route, key.client, ackFlag, 1, 1, 500));
        });
    }

    void enqueue(Upstream& host, std::function<void()> work)
    {
        host.queue.push_back(std::move(work));
        this->startWork(host);
    }

    void startWork(Upstream& host)
    {
        while (host.runningWork < this->options.slots && !host.queue.empty()) {
            const std::function<void()> work = host.queue.front();
            host.queue.pop_front();
            ++host.runningWork;
            this->after(this->options.work, [this, &host, work] {
                --host.runningWork;
                work();
                this->startWork(host);
            });
        }
    }

    void fromHost(Upstream& host, const std::vector<uint8_t>& bytes)
    {
        this->after(std::chrono::microseconds(100), [&host, bytes] {
            if (!host.agentIsUp)
                return;
            std::vector<uint8_t> restored = bytes;
            const Packet packet = platform::decodePacket(restored).value();
            if (packet.bounced)
                platform::restoreBouncedPacket(restored);
            host.router->onUpstreamPacket(packet, restored);
            host.router->flushDenials();
        });
    }

    // The client.
    void sendToEntry(const FlowKey& flow, const std::vector<uint8_t>& bytes)
    {
        this->send([this, flow, bytes] {
            size_t choice = this->entryByFlow[flow];
            for (size_t i = 0; i < this->entries.size() && !this->entries[choice]->isUp; ++i)
                choice = (choice + 1) % this->entries.size();
            if (this->entries[choice]->isUp)
                this->entries[choice]->router->onClientPacket(platform::decodePacket(bytes).value(), bytes);
        });
    }

    void sendSyn(size_t index, uint32_t copy)
    {
        const Request& request = this->requests.at(index);
        if (request.hostSequence || request.reset || copy > 2)
            return;
        this->sendToEntry(request.flow, makePacket(request.flow.client, request.flow.route, synFlag, 1000, copy, 0));
        this->after(Milliseconds(copy == 0 ? 200 : 400), [this, index, copy] { this->sendSyn(index, copy + 1); });
    }

    void sendData(size_t index, unsigned attempt)
    {
        Request& request = this->requests.at(index);
        if (request.answered || request.reset || attempt > 6 || !request.hostSequence)
            return;
        this->sendToEntry(request.flow,
            makePacket(request.flow.client, request.flow.route, ackFlag, 1001 + this->clientSequence[request.flow],
                *request.hostSequence + 1, 100));
        this->after(Milliseconds(200), [this, index, attempt] { this->sendData(index, attempt + 1); });
    }

    void onClientPacket(const std::vector<uint8_t>& bytes)
    {
        const Packet packet = platform::decodePacket(bytes).value();
        const auto found = this->requestByFlow.find(packet.flowKeyFromUpstream());
        if (found == this->requestByFlow.end()) {
            this->violations.push_back("a client got a packet of a flow that it did not open");
            return;
        }
        Request& request = this->requests[found->second];
        if (packet.isSynAck() && !request.hostSequence && !request.reset) {
            request.hostSequence = packet.sequence;
            this->sendData(found->second, 0);
        } else if (packet.payloadBytes > 0) {
            if (!std::exchange(request.answered, true))
                request.latency = this->clock.now() - request.started;
        }
    }

    void onReset(const FlowKey& flow)
    {
        Request& request = this->requests[this->requestByFlow.at(flow)];
        for (const std::unique_ptr<Upstream>& upstream : this->upstreams) {
            const auto held = upstream->flows.find(flow);
            if (upstream->isUp && held != upstream->flows.end() && held->second.isOpen)
                this->violations.push_back("open flow " + toString(flow) + " was reset while " + upstream->record.name
                    + (upstream->isListed ? ", listed," : ", unlisted,") + " held it");
        }
        request.reset = true;
    }

    uint64_t revision = 1;
    uint64_t eventCount = 0;
    std::priority_queue<Event> events;
    std::map<FlowKey, size_t> requestByFlow;
    std::map<FlowKey, uint32_t> clientSequence;
    std::map<PacketAddress, TimePoint> linkIsFree; // when the outgoing link of each entry has sent all messages
};

} // namespace wasabicroft::tests
