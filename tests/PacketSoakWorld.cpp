#include "tests/PacketSoakWorld.h"

#include "platform/PacketLayout.h"

#include <algorithm>
#include <boost/json.hpp>

namespace wasabicroft::tests {

namespace flags = fakes::packet_flags;

namespace {

    constexpr Milliseconds tickInterval(2);
    constexpr std::array<Milliseconds, 2> synCopies { Milliseconds(200), Milliseconds(600) }; // after the first SYN
    constexpr Milliseconds openLimit(1400);
    constexpr Milliseconds firstRetransmission(200);
    constexpr Milliseconds longestRetransmission(1600);
    constexpr Milliseconds retryPause(300); // longest time before a new flow
    constexpr int32_t resetWindow = 76800; // a client ignores other resets of an open flow
    constexpr Milliseconds workTime(10); // of a request at a host
    constexpr size_t maxViolations = 20;
    constexpr size_t requestBytes = 64;
    constexpr uint8_t padding = 0x5a; // of a request behind its header

    constexpr Milliseconds longestFlowTime(60000);

    const std::string firstService = "api";
    const std::string secondService = "img";

    std::string serviceOfRoute(PacketAddress route)
    {
        return route == SoakWorld::route(1) ? secondService : firstService;
    }

} // namespace

std::string ipText(uint32_t address)
{
    const std::string text = toString(PacketAddress { address, 0 });
    return text.substr(0, text.find(':'));
}

void SoakLedger::violate(const std::string& text)
{
    if (this->violations.size() < maxViolations)
        this->violations.push_back(text);
}

//-----------------------------------------------------------------------------
// [SECTION] SoakNetwork
//-----------------------------------------------------------------------------

SoakNetwork::SoakNetwork(boost::asio::io_context& loop, SoakLedger& soakLedger, uint64_t seed)
    : context(loop)
    , ledger(soakLedger)
    , draw { std::mt19937_64(seed) }
{
}

void SoakNetwork::addNode(PacketAddress publicAddress, PacketAddress process)
{
    Node& node = this->nodes[process];
    node.process = process;
    node.socket = std::make_unique<DatagramSocket>(this->context);
    if (!node.socket->open(publicAddress))
        throw std::runtime_error("can't bind " + toString(publicAddress));
    node.socket->start([this, process](PacketAddress sender, std::span<uint8_t> bytes) {
        const auto from = this->nodes.find(sender);
        if (from == this->nodes.end())
            return; // of a process that was replaced
        DatagramSocket* const socket = from->second.socket.get();
        this->carry(sender.address, process.address, bytes, [socket, process](Bytes datagram) {
            socket->send(process, datagram);
            socket->flush();
        });
    });
}

size_t SoakNetwork::addFault(const SoakPathFault& fault)
{
    this->faults[++this->lastFault] = fault;
    return this->lastFault;
}

void SoakNetwork::removeFault(size_t number) { this->faults.erase(number); }

void SoakNetwork::carry(
    uint32_t from, uint32_t to, std::span<const uint8_t> bytes, const std::function<void(Bytes)>& arrive)
{
    Milliseconds delay { 0 };
    bool arrivesTwice = false;
    for (const auto& [number, fault] : this->faults) {
        if ((fault.from != 0 && fault.from != from) || (fault.to != 0 && fault.to != to))
            continue;
        if (this->draw.share() < fault.loss) {
            ++this->ledger.droppedDatagrams;
            return;
        }
        delay += Milliseconds(static_cast<int64_t>(this->draw.share() * static_cast<double>(fault.delay.count())));
        arrivesTwice = arrivesTwice || this->draw.share() < fault.copies;
    }
    if (delay.count() == 0) {
        arrive(bytes);
    } else {
        ++this->ledger.delayedDatagrams;
        this->delayed.emplace(std::chrono::steady_clock::now() + delay,
            Delayed { std::vector<uint8_t>(bytes.begin(), bytes.end()), arrive });
    }
    if (arrivesTwice)
        arrive(bytes);
}

void SoakNetwork::onTick(TimePoint now)
{
    while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
        const Delayed datagram = std::move(this->delayed.begin()->second);
        this->delayed.erase(this->delayed.begin());
        datagram.arrive(datagram.bytes);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] SoakCallers
//-----------------------------------------------------------------------------

SoakCallers::SoakCallers(boost::asio::io_context& context, uint32_t ownAddress, SoakNetwork& soakNetwork,
    SoakLedger& soakLedger, SoakCallerOptions callerOptions, SoakCallerHooks callerHooks, uint64_t seed)
    : network(soakNetwork)
    , ledger(soakLedger)
    , options(callerOptions)
    , hooks(std::move(callerHooks))
    , draw { std::mt19937_64(seed) }
    , socket(context)
    , resets(context)
    , address(ownAddress)
    , callers(callerOptions.callers)
{
    this->listen(this->socket, SoakWorld::agentPort);
    this->listen(this->resets, packet_ports::packets);
}

void SoakCallers::listen(DatagramSocket& datagrams, uint16_t port)
{
    if (!datagrams.open({ this->address, port }))
        throw std::runtime_error("can't bind " + toString(PacketAddress { this->address, port }));
    datagrams.start([this](PacketAddress sender, std::span<uint8_t> bytes) {
        this->network.carry(sender.address, this->address, bytes, [this](Bytes datagram) {
            std::vector<uint8_t> copy(datagram.begin(), datagram.end());
            this->onPacket(copy);
        });
    });
}

bool SoakCallers::isIdle() const
{
    return std::all_of(
        this->callers.begin(), this->callers.end(), [](const Caller& caller) { return caller.state == State::Closed; });
}

void SoakCallers::onTick(TimePoint now)
{
    for (Caller& caller : this->callers) {
        if (caller.due > now)
            continue;
        switch (caller.state) {
        case State::Closed:
            if (!this->isStopped)
                this->open(caller, now);
            break;
        case State::Opening:
            this->sendSyn(caller, now);
            break;
        case State::Thinking:
            if (caller.requestsLeft == 0 || this->isStopped)
                this->close(caller, now);
            else
                this->startRequest(caller, now);
            break;
        case State::Waiting:
            if (now - caller.began >= this->options.timeLimit) {
                ++this->ledger.timedOut;
                if (caller.beganCalm)
                    this->ledger.violate("request " + std::to_string(caller.request.id) + " of flow "
                        + toString(caller.flow) + " had no whole answer although no fault was active");
                this->close(caller, now);
                break;
            }
            this->send(caller, flags::ack, caller.sequence, caller.payload);
            caller.due = now + std::min(longestRetransmission, firstRetransmission * (1U << ++caller.copies));
            break;
        }
    }
}

void SoakCallers::open(Caller& caller, TimePoint now)
{
    const std::vector<PacketAddress> routes = this->hooks.routes();
    this->callerByPort.erase(caller.flow.client.port);
    do
        ++this->lastPort;
    while (this->lastPort < 1024 || this->callerByPort.contains(this->lastPort));
    caller = {};
    caller.state = State::Opening;
    caller.flow = { { this->address, this->lastPort }, routes[this->draw.below(routes.size())] };
    this->callerByPort[this->lastPort] = static_cast<size_t>(&caller - this->callers.data());
    caller.sequence = static_cast<uint32_t>(this->draw.random());
    caller.requestsLeft = 1 + static_cast<unsigned>(this->draw.below(this->options.longestFlow));
    caller.began = now;
    caller.beganCalm = this->isCalm;
    this->sendSyn(caller, now);
}

void SoakCallers::sendSyn(Caller& caller, TimePoint now)
{
    if (caller.copies > synCopies.size()) {
        ++this->ledger.unopened;
        if (caller.beganCalm)
            this->ledger.violate(
                "the SYN of flow " + toString(caller.flow) + " had no answer although no fault was active");
        caller.state = State::Closed;
        caller.due = now + this->draw.between(Milliseconds(0), retryPause);
        return;
    }
    const std::vector<uint8_t> bytes
        = fakes::makePacket(caller.flow.client, caller.flow.route, flags::syn, caller.sequence, caller.copies, 0);
    this->toEntry(caller, bytes);
    caller.due = caller.began + (caller.copies < synCopies.size() ? synCopies.at(caller.copies) : openLimit);
    ++caller.copies;
}

// Each packet goes to the entry that the router selects at that time.
void SoakCallers::toEntry(const Caller& caller, Bytes packet)
{
    const PacketAddress entry = this->hooks.entryOf(caller.flow);
    this->network.carry(this->address, entry.address, packet, [this, entry](Bytes datagram) {
        this->socket.send(entry, datagram);
        this->socket.flush();
    });
}

void SoakCallers::send(const Caller& caller, uint8_t packetFlags, uint32_t sequence, Bytes payload)
{
    std::vector<uint8_t> bytes = fakes::makePacket(caller.flow.client, caller.flow.route, packetFlags, sequence,
        caller.hostSequence, static_cast<uint16_t>(payload.size()));
    std::copy(payload.begin(), payload.end(), bytes.begin() + platform::packetHeaderBytes);
    this->toEntry(caller, bytes);
}

void SoakCallers::startRequest(Caller& caller, TimePoint now)
{
    ++this->ledger.requests;
    --caller.requestsLeft;
    caller.state = State::Waiting;
    caller.began = now;
    caller.beganCalm = this->isCalm;
    caller.request = { static_cast<uint32_t>(fakes::PacketAnswer::size + this->draw.below(this->options.largestAnswer)),
        ++this->lastRequest };
    caller.payload.assign(requestBytes, padding);
    caller.request.write(caller.payload, 0);
    caller.received = 0;
    caller.copies = 0;
    this->send(caller, flags::ack, caller.sequence, caller.payload);
    caller.due = now + firstRetransmission;
}

void SoakCallers::close(Caller& caller, TimePoint now)
{
    this->send(caller, flags::fin | flags::ack, caller.sequence);
    caller.state = State::Closed;
    caller.due = now + this->draw.between(Milliseconds(0), retryPause);
}

void SoakCallers::onPacket(std::span<uint8_t> bytes)
{
    const Result<Packet> decoded = platform::decodePacket(bytes);
    if (!decoded)
        return this->ledger.violate("a caller got a datagram that is no packet");
    const Packet& packet = decoded.value();
    const auto found = this->callerByPort.find(packet.destination.port);
    if (found == this->callerByPort.end())
        return;
    Caller& caller = this->callers[found->second];
    if (packet.fromUpstream() != caller.flow || caller.state == State::Closed)
        return;
    if (packet.resets)
        return this->onReset(caller, packet);
    if (packet.isSynAck()) {
        if (caller.state == State::Opening) {
            ++this->ledger.opened;
            caller.state = State::Thinking;
            caller.hostSequence = packet.sequence + 1;
            ++caller.sequence;
            caller.due = std::chrono::steady_clock::now();
        }
        // A repeated SYN+ACK of the same host means that it lacks the ACK; those of other hosts get the same ACK.
        this->send(caller, flags::ack, caller.sequence);
        return;
    }
    if (caller.state == State::Waiting && packet.payloadBytes > 0 && packet.sequence == caller.hostSequence)
        this->onAnswer(caller, packet, bytes.subspan(platform::packetHeaderBytes));
}

void SoakCallers::onReset(Caller& caller, const Packet& packet)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (caller.state == State::Opening) {
        ++this->ledger.refused;
        if (caller.beganCalm)
            this->ledger.violate("flow " + toString(caller.flow) + " was refused although no fault was active");
    } else {
        if (std::abs(static_cast<int32_t>(packet.sequence - caller.hostSequence)) > resetWindow)
            return;
        const std::optional<size_t> holder = this->hooks.holderOf(caller.flow);
        if (holder)
            this->ledger.violate(
                "flow " + toString(caller.flow) + " was reset although host " + std::to_string(*holder) + " holds it");
        ++this->ledger.lost;
    }
    caller.state = State::Closed;
    caller.due = now + this->draw.between(Milliseconds(0), retryPause);
}

void SoakCallers::onAnswer(Caller& caller, const Packet& packet, Bytes payload)
{
    if (packet.payloadBytes >= fakes::PacketAnswer::size) {
        const fakes::PacketAnswer answer = fakes::PacketAnswer::read(payload);
        if (answer.id != caller.request.id || answer.offset != caller.received)
            this->ledger.violate("flow " + toString(caller.flow) + " got an answer to request "
                + std::to_string(answer.id) + " instead of " + std::to_string(caller.request.id));
    }
    caller.hostSequence += packet.payloadBytes;
    caller.received += packet.payloadBytes;
    const bool isWhole = caller.received >= caller.request.answerBytes;
    if (isWhole) {
        ++this->ledger.answered;
        caller.state = State::Thinking;
        caller.due = std::chrono::steady_clock::now() + this->draw.between(Milliseconds(0), this->options.longestPause);
    }
    const uint32_t sent = caller.sequence + static_cast<uint32_t>(caller.payload.size());
    caller.sequence = isWhole ? sent : caller.sequence;
    this->send(caller, flags::ack, sent);
}

//-----------------------------------------------------------------------------
// [SECTION] SoakWorld
//-----------------------------------------------------------------------------

SoakWorld::SoakWorld(boost::asio::io_context& context, uint32_t first, const SoakSize& size, uint64_t seed)
    : store(context, { ipText(first + 2), packet_ports::store })
    , network(context, this->ledger, seed)
    , callers(context, first + 3, this->network, this->ledger, size.callers,
          { [this](const FlowKey& flow) { return this->entryOf(flow); },
              [this](const FlowKey& flow) { return this->holderOf(flow); },
              [this] {
                  std::vector<PacketAddress> usable;
                  for (const size_t number : this->routes)
                      usable.push_back(route(number));
                  return usable;
              } },
          seed + 1)
    , firstAddress(first)
    , rotation(size.entries, true)
    , timer(context)
{
    this->hosts.resize(size.hosts);
    for (size_t i = 0; i < size.hosts; ++i) {
        Host& host = this->hosts[i];
        host.service = i % 2 == 0 ? firstService : secondService;
        host.machine = std::make_unique<fakes::PacketHost>(context,
            PacketAddress { this->hostAddress(i), packet_ports::upstream },
            PacketAddress { this->hostAddress(i), packet_ports::outbound }, this->hostHooks(i));
        host.machine->setWorkTime(workTime);
        this->network.addNode({ this->hostAddress(i), packet_ports::packets }, { this->hostAddress(i), agentPort });
        this->list(i);
    }
    for (size_t i = 0; i < size.entries; ++i)
        this->network.addNode({ this->entryAddress(i), packet_ports::hop }, { this->entryAddress(i), entryHopPort });
    this->publishRoutes({ 0, 1, 2 });
    this->tick();
}

fakes::PacketHostHooks SoakWorld::hostHooks(size_t number)
{
    fakes::PacketHostHooks hooks;
    hooks.onSyn = [this, number](const FlowKey& flow) {
        ++this->hosts[number].syns;
        if (serviceOfRoute(flow.route) != this->hosts[number].service)
            this->ledger.violate("flow " + toString(flow) + " was opened at host " + std::to_string(number) + " of "
                + this->hosts[number].service);
    };
    hooks.onRequest = [this, number](const FlowKey& flow, Bytes payload) {
        const std::string name = "request " + std::to_string(fakes::PacketRequest::read(payload).id);
        if (!this->ranAt.emplace(fakes::PacketRequest::read(payload).id, number).second)
            this->ledger.violate(name + " ran twice");
        const Bytes rest = payload.subspan(fakes::PacketRequest::size);
        if (payload.size() != requestBytes
            || !std::all_of(rest.begin(), rest.end(), [](uint8_t byte) { return byte == padding; }))
            this->ledger.violate(name + " was changed on its way");
        if (serviceOfRoute(flow.route) != this->hosts[number].service)
            this->ledger.violate(name + " ran at another service");
    };
    hooks.onForged = [this, number](const FlowKey& flow) {
        this->ledger.violate(
            "host " + std::to_string(number) + " got a packet of flow " + toString(flow) + " that no caller sends");
    };
    return hooks;
}

// As the routers select it: by a hash over the entries in rotation, over all if there is none.
PacketAddress SoakWorld::entryOf(const FlowKey& flow) const
{
    std::vector<size_t> usable;
    for (size_t entry = 0; entry < this->rotation.size(); ++entry) {
        if (this->rotation[entry])
            usable.push_back(entry);
    }
    const size_t hash = FlowKeyHash()(flow) + this->routerSalt;
    return { this->entryAddress(usable.empty() ? hash % this->rotation.size() : usable[hash % usable.size()]),
        packet_ports::packets };
}

// A flow may be reset, although its host holds it, once a configuration dropped its route.
std::optional<size_t> SoakWorld::holderOf(const FlowKey& flow) const
{
    const auto drop = this->dropped.find(flow.route);
    if (drop != this->dropped.end() && std::chrono::steady_clock::now() - drop->second < longestFlowTime)
        return std::nullopt;
    for (size_t host = 0; host < this->hosts.size(); ++host) {
        if (this->hosts[host].machine->holds(flow))
            return host;
    }
    return std::nullopt;
}

void SoakWorld::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->network.onTick(now);
    for (const Host& host : this->hosts)
        host.machine->onTick(now);
    this->callers.onTick(now);
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->tick();
    });
}

void SoakWorld::publishRoutes(const std::set<size_t>& numbers)
{
    this->version += 1 + this->version % 3; // versions increase in uneven steps
    boost::json::array published;
    for (const size_t number : this->routes) {
        if (!numbers.contains(number))
            this->dropped[route(number)] = std::chrono::steady_clock::now();
    }
    for (const size_t number : numbers) {
        published.push_back(boost::json::object { { "name", "r" + std::to_string(number) },
            { "host", ipText(route(number).address) }, { "prefix", '/' + std::to_string(route(number).port) + '/' },
            { "service", serviceOfRoute(route(number)) }, { "slo_ms", 200 }, { "timeout_ms", 4000 },
            { "priority", 1 } });
    }
    this->routes = numbers;
    this->store.put("op/config",
        boost::json::serialize(boost::json::object { { "version", this->version }, { "routes", std::move(published) },
            { "services", boost::json::array() },
            { "limits", boost::json::object { { "idle_timeout_ms", 15000 } } } }));
}

void SoakWorld::list(size_t number, bool isDraining)
{
    const Host& host = this->hosts[number];
    this->store.put(this->itemOf(number),
        boost::json::serialize(boost::json::object { { "service", host.service },
            { "address", toString(PacketAddress { this->hostAddress(number), packet_ports::upstream }) },
            { "zone", "z" }, { "version", "v1" }, { "slots", 4 }, { "state", isDraining ? "draining" : "ready" },
            { "cold_left_ms", 0 }, { "born", host.incarnation } }));
}

void SoakWorld::unlist(size_t number) { this->store.remove(this->itemOf(number)); }

// Every second incarnation has the name of the one before.
std::string SoakWorld::itemOf(size_t number) const
{
    return "servers/h-" + std::to_string(number) + '-' + std::to_string(this->hosts[number].incarnation / 2);
}

std::string SoakWorld::hostStates() const
{
    std::string text;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
        const Host& host = this->hosts[i];
        text += "host " + std::to_string(i) + ": service " + host.service + ", incarnation "
            + std::to_string(host.incarnation) + ", " + std::to_string(host.syns) + " SYNs, "
            + std::to_string(host.machine->requests()) + " requests, " + std::to_string(host.machine->openFlows())
            + " flows\n";
    }
    return text;
}

void SoakWorld::crash(size_t number)
{
    this->hosts[number].machine->crash();
    ++this->hosts[number].incarnation;
}

bool SoakWorld::mayChangeService(size_t number) const
{
    return std::count_if(this->hosts.begin(), this->hosts.end(), [&](const Host& host) {
        return host.service == this->hosts[number].service;
    }) > 1;
}

void SoakWorld::changeService(size_t number)
{
    Host& host = this->hosts[number];
    host.service = host.service == firstService ? secondService : firstService;
}

} // namespace wasabicroft::tests
