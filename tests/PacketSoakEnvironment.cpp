#include "tests/PacketSoakEnvironment.h"

#include "platform/PacketLayout.h"

#include <algorithm>
#include <boost/json.hpp>

namespace wasabicroft::tests {

namespace flags = fakes::packet_flags;

namespace {

    constexpr Milliseconds tickInterval(2);
    // After the first SYN.
    constexpr std::array<Milliseconds, 2> synRetransmissions { Milliseconds(200), Milliseconds(600) };
    constexpr Milliseconds openTimeout(1400);
    constexpr Milliseconds firstRetransmissionDelay(200);
    constexpr Milliseconds maxRetransmissionDelay(1600);
    constexpr Milliseconds maxRetryPause(300); // Before a new flow.
    constexpr int32_t resetWindow = 76800; // A client ignores resets of an open flow outside this window.
    constexpr Milliseconds workTime(10); // Of a request at a host.
    constexpr size_t maxViolations = 20;
    constexpr size_t requestBytes = 64;
    constexpr uint8_t padding = 0x5a; // Bytes of a request after its header.

    constexpr Milliseconds maxFlowLifetime(60000);

    const std::string firstService = "api";
    const std::string secondService = "img";

    std::string serviceOfRoute(PacketAddress route)
    {
        return route == SoakEnvironment::route(1) ? secondService : firstService;
    }

} // namespace

std::string ipText(uint32_t address)
{
    const std::string text = toString(PacketAddress { address, 0 });
    return text.substr(0, text.find(':'));
}

void SoakStatistics::addViolation(const std::string& text)
{
    if (this->violations.size() < maxViolations)
        this->violations.push_back(text);
}

//-----------------------------------------------------------------------------
// [SECTION] SoakNetwork
//-----------------------------------------------------------------------------

SoakNetwork::SoakNetwork(boost::asio::io_context& loop, SoakStatistics& soakStatistics, uint64_t seed)
    : context(loop)
    , statistics(soakStatistics)
    , rng { std::mt19937_64(seed) }
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
            return; // From a process that was replaced.
        DatagramSocket* const socket = from->second.socket.get();
        this->transmit(sender.address, process.address, bytes, [socket, process](Bytes datagram) {
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

void SoakNetwork::transmit(
    uint32_t from, uint32_t to, std::span<const uint8_t> bytes, const std::function<void(Bytes)>& deliver)
{
    Milliseconds delay { 0 };
    bool isDuplicated = false;
    for (const auto& [number, fault] : this->faults) {
        if ((fault.from != 0 && fault.from != from) || (fault.to != 0 && fault.to != to))
            continue;
        if (this->rng.fraction() < fault.lossRate) {
            ++this->statistics.droppedDatagrams;
            return;
        }
        delay += Milliseconds(static_cast<int64_t>(this->rng.fraction() * static_cast<double>(fault.delay.count())));
        isDuplicated = isDuplicated || this->rng.fraction() < fault.duplicateRate;
    }
    if (delay.count() == 0) {
        deliver(bytes);
    } else {
        ++this->statistics.delayedDatagrams;
        this->delayedDatagrams.emplace(std::chrono::steady_clock::now() + delay,
            DelayedDatagram { std::vector<uint8_t>(bytes.begin(), bytes.end()), deliver });
    }
    if (isDuplicated)
        deliver(bytes);
}

void SoakNetwork::onTick(TimePoint now)
{
    while (!this->delayedDatagrams.empty() && this->delayedDatagrams.begin()->first <= now) {
        const DelayedDatagram datagram = std::move(this->delayedDatagrams.begin()->second);
        this->delayedDatagrams.erase(this->delayedDatagrams.begin());
        datagram.deliver(datagram.bytes);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] SoakCallers
//-----------------------------------------------------------------------------

SoakCallers::SoakCallers(boost::asio::io_context& context, uint32_t ownAddress, SoakNetwork& soakNetwork,
    SoakStatistics& soakStatistics, SoakCallerOptions callerOptions, SoakCallerHooks callerHooks, uint64_t seed)
    : network(soakNetwork)
    , statistics(soakStatistics)
    , options(callerOptions)
    , hooks(std::move(callerHooks))
    , rng { std::mt19937_64(seed) }
    , socket(context)
    , resetSocket(context)
    , address(ownAddress)
    , callers(callerOptions.callers)
{
    this->listen(this->socket, SoakEnvironment::agentPort);
    this->listen(this->resetSocket, packet_ports::packets);
}

void SoakCallers::listen(DatagramSocket& datagrams, uint16_t port)
{
    if (!datagrams.open({ this->address, port }))
        throw std::runtime_error("can't bind " + toString(PacketAddress { this->address, port }));
    datagrams.start([this](PacketAddress sender, std::span<uint8_t> bytes) {
        this->network.transmit(sender.address, this->address, bytes, [this](Bytes datagram) {
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
        if (caller.nextAction > now)
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
            if (now - caller.startTime >= this->options.requestTimeout) {
                ++this->statistics.timedOut;
                if (caller.beganFaultFree)
                    this->statistics.addViolation("request " + std::to_string(caller.request.id) + " of flow "
                        + toString(caller.flow) + " had no complete answer although no fault was active");
                this->close(caller, now);
                break;
            }
            this->send(caller, flags::ack, caller.sequence, caller.payload);
            caller.nextAction
                = now + std::min(maxRetransmissionDelay, firstRetransmissionDelay * (1U << ++caller.copies));
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
    caller.flow = { { this->address, this->lastPort }, routes[this->rng.below(routes.size())] };
    this->callerByPort[this->lastPort] = static_cast<size_t>(&caller - this->callers.data());
    caller.sequence = static_cast<uint32_t>(this->rng.engine());
    caller.requestsLeft = 1 + static_cast<unsigned>(this->rng.below(this->options.maxRequestsPerFlow));
    caller.startTime = now;
    caller.beganFaultFree = this->isFaultFree;
    this->sendSyn(caller, now);
}

void SoakCallers::sendSyn(Caller& caller, TimePoint now)
{
    if (caller.copies > synRetransmissions.size()) {
        ++this->statistics.unopened;
        if (caller.beganFaultFree)
            this->statistics.addViolation(
                "the SYN of flow " + toString(caller.flow) + " had no answer although no fault was active");
        caller.state = State::Closed;
        caller.nextAction = now + this->rng.between(Milliseconds(0), maxRetryPause);
        return;
    }
    const std::vector<uint8_t> bytes
        = fakes::makePacket(caller.flow.client, caller.flow.route, flags::syn, caller.sequence, caller.copies, 0);
    this->sendToEntry(caller, bytes);
    caller.nextAction = caller.startTime
        + (caller.copies < synRetransmissions.size() ? synRetransmissions.at(caller.copies) : openTimeout);
    ++caller.copies;
}

// Each packet goes to the entry that the router selects at this time.
void SoakCallers::sendToEntry(const Caller& caller, Bytes packet)
{
    const PacketAddress entry = this->hooks.entryOf(caller.flow);
    this->network.transmit(this->address, entry.address, packet, [this, entry](Bytes datagram) {
        this->socket.send(entry, datagram);
        this->socket.flush();
    });
}

void SoakCallers::send(const Caller& caller, uint8_t packetFlags, uint32_t sequence, Bytes payload)
{
    std::vector<uint8_t> bytes = fakes::makePacket(caller.flow.client, caller.flow.route, packetFlags, sequence,
        caller.nextHostSequence, static_cast<uint16_t>(payload.size()));
    std::copy(payload.begin(), payload.end(), bytes.begin() + platform::packetHeaderBytes);
    this->sendToEntry(caller, bytes);
}

void SoakCallers::startRequest(Caller& caller, TimePoint now)
{
    ++this->statistics.requests;
    --caller.requestsLeft;
    caller.state = State::Waiting;
    caller.startTime = now;
    caller.beganFaultFree = this->isFaultFree;
    caller.request = { static_cast<uint32_t>(fakes::PacketAnswer::size + this->rng.below(this->options.maxAnswerBytes)),
        ++this->lastRequest };
    caller.payload.assign(requestBytes, padding);
    caller.request.write(caller.payload, 0);
    caller.received = 0;
    caller.copies = 0;
    this->send(caller, flags::ack, caller.sequence, caller.payload);
    caller.nextAction = now + firstRetransmissionDelay;
}

void SoakCallers::close(Caller& caller, TimePoint now)
{
    this->send(caller, flags::fin | flags::ack, caller.sequence);
    caller.state = State::Closed;
    caller.nextAction = now + this->rng.between(Milliseconds(0), maxRetryPause);
}

void SoakCallers::onPacket(std::span<uint8_t> bytes)
{
    const Result<Packet> decoded = platform::decodePacket(bytes);
    if (!decoded)
        return this->statistics.addViolation("a caller received an invalid packet");
    const Packet& packet = decoded.value();
    const auto found = this->callerByPort.find(packet.destination.port);
    if (found == this->callerByPort.end())
        return;
    Caller& caller = this->callers[found->second];
    if (packet.flowKeyFromUpstream() != caller.flow || caller.state == State::Closed)
        return;
    if (packet.rst)
        return this->onReset(caller, packet);
    if (packet.isSynAck()) {
        if (caller.state == State::Opening) {
            ++this->statistics.opened;
            caller.state = State::Thinking;
            caller.nextHostSequence = packet.sequence + 1;
            ++caller.sequence;
            caller.nextAction = std::chrono::steady_clock::now();
        }
        // A repeated SYN+ACK of the same host means that it did not get the ACK. SYN+ACKs of other hosts get the same
        // ACK.
        this->send(caller, flags::ack, caller.sequence);
        return;
    }
    if (caller.state == State::Waiting && packet.payloadBytes > 0 && packet.sequence == caller.nextHostSequence)
        this->onAnswer(caller, packet, bytes.subspan(platform::packetHeaderBytes));
}

void SoakCallers::onReset(Caller& caller, const Packet& packet)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (caller.state == State::Opening) {
        ++this->statistics.refused;
        if (caller.beganFaultFree)
            this->statistics.addViolation(
                "flow " + toString(caller.flow) + " was refused although no fault was active");
    } else {
        if (std::abs(static_cast<int32_t>(packet.sequence - caller.nextHostSequence)) > resetWindow)
            return;
        const std::optional<size_t> holder = this->hooks.holderOf(caller.flow);
        if (holder)
            this->statistics.addViolation(
                "flow " + toString(caller.flow) + " was reset although host " + std::to_string(*holder) + " holds it");
        ++this->statistics.lost;
    }
    caller.state = State::Closed;
    caller.nextAction = now + this->rng.between(Milliseconds(0), maxRetryPause);
}

void SoakCallers::onAnswer(Caller& caller, const Packet& packet, Bytes payload)
{
    if (packet.payloadBytes >= fakes::PacketAnswer::size) {
        const fakes::PacketAnswer answer = fakes::PacketAnswer::read(payload);
        if (answer.id != caller.request.id || answer.offset != caller.received)
            this->statistics.addViolation("flow " + toString(caller.flow) + " got an answer to request "
                + std::to_string(answer.id) + " instead of " + std::to_string(caller.request.id));
    }
    caller.nextHostSequence += packet.payloadBytes;
    caller.received += packet.payloadBytes;
    const bool isWhole = caller.received >= caller.request.answerBytes;
    if (isWhole) {
        ++this->statistics.answered;
        caller.state = State::Thinking;
        caller.nextAction
            = std::chrono::steady_clock::now() + this->rng.between(Milliseconds(0), this->options.maxPause);
    }
    const uint32_t requestEnd = caller.sequence + static_cast<uint32_t>(caller.payload.size());
    caller.sequence = isWhole ? requestEnd : caller.sequence;
    this->send(caller, flags::ack, requestEnd);
}

//-----------------------------------------------------------------------------
// [SECTION] SoakEnvironment
//-----------------------------------------------------------------------------

SoakEnvironment::SoakEnvironment(boost::asio::io_context& context, uint32_t first, const SoakSize& size, uint64_t seed)
    : store(context, { ipText(first + 2), packet_ports::store })
    , network(context, this->statistics, seed)
    , callers(context, first + 3, this->network, this->statistics, size.callers,
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
    , isInRotation(size.entries, true)
    , timer(context)
{
    this->hosts.resize(size.hosts);
    for (size_t i = 0; i < size.hosts; ++i) {
        Host& host = this->hosts[i];
        host.service = i % 2 == 0 ? firstService : secondService;
        host.packetHost = std::make_unique<fakes::PacketHost>(context,
            PacketAddress { this->hostAddress(i), packet_ports::upstream },
            PacketAddress { this->hostAddress(i), packet_ports::outbound }, this->hostHooks(i));
        host.packetHost->setWorkTime(workTime);
        this->network.addNode({ this->hostAddress(i), packet_ports::packets }, { this->hostAddress(i), agentPort });
        this->listUpstream(i);
    }
    for (size_t i = 0; i < size.entries; ++i)
        this->network.addNode({ this->entryAddress(i), packet_ports::hop }, { this->entryAddress(i), entryHopPort });
    this->publishRoutes({ 0, 1, 2 });
    this->tick();
}

fakes::PacketHostHooks SoakEnvironment::hostHooks(size_t number)
{
    fakes::PacketHostHooks hooks;
    hooks.onSyn = [this, number](const FlowKey& flow) {
        ++this->hosts[number].acceptedSyns;
        if (serviceOfRoute(flow.route) != this->hosts[number].service)
            this->statistics.addViolation("flow " + toString(flow) + " was opened at host " + std::to_string(number)
                + " of " + this->hosts[number].service);
    };
    hooks.onRequest = [this, number](const FlowKey& flow, Bytes payload) {
        const std::string name = "request " + std::to_string(fakes::PacketRequest::read(payload).id);
        if (!this->hostOfRequest.emplace(fakes::PacketRequest::read(payload).id, number).second)
            this->statistics.addViolation(name + " ran twice");
        const Bytes paddingBytes = payload.subspan(fakes::PacketRequest::size);
        if (payload.size() != requestBytes
            || !std::all_of(paddingBytes.begin(), paddingBytes.end(), [](uint8_t byte) { return byte == padding; }))
            this->statistics.addViolation(name + " was modified in transit");
        if (serviceOfRoute(flow.route) != this->hosts[number].service)
            this->statistics.addViolation(name + " ran at another service");
    };
    hooks.onUnexpectedPacket = [this, number](const FlowKey& flow) {
        this->statistics.addViolation(
            "host " + std::to_string(number) + " got a packet of flow " + toString(flow) + " that no caller sends");
    };
    return hooks;
}

// Selects an entry as the routers do: by hash among the entries in rotation, or among all if none is in rotation.
PacketAddress SoakEnvironment::entryOf(const FlowKey& flow) const
{
    std::vector<size_t> usable;
    for (size_t entry = 0; entry < this->isInRotation.size(); ++entry) {
        if (this->isInRotation[entry])
            usable.push_back(entry);
    }
    const size_t hash = FlowKeyHash()(flow) + this->routerHashSalt;
    return { this->entryAddress(usable.empty() ? hash % this->isInRotation.size() : usable[hash % usable.size()]),
        packet_ports::packets };
}

// Returns no host after a configuration removed the flow's route: the flow may then be reset although it is open.
std::optional<size_t> SoakEnvironment::holderOf(const FlowKey& flow) const
{
    const auto removal = this->removedRoutes.find(flow.route);
    if (removal != this->removedRoutes.end() && std::chrono::steady_clock::now() - removal->second < maxFlowLifetime)
        return std::nullopt;
    for (size_t host = 0; host < this->hosts.size(); ++host) {
        if (this->hosts[host].packetHost->hasOpenFlow(flow))
            return host;
    }
    return std::nullopt;
}

void SoakEnvironment::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->network.onTick(now);
    for (const Host& host : this->hosts)
        host.packetHost->onTick(now);
    this->callers.onTick(now);
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->tick();
    });
}

void SoakEnvironment::publishRoutes(const std::set<size_t>& numbers)
{
    this->version += 1 + this->version % 3; // Versions increase in uneven steps.
    boost::json::array published;
    for (const size_t number : this->routes) {
        if (!numbers.contains(number))
            this->removedRoutes[route(number)] = std::chrono::steady_clock::now();
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

void SoakEnvironment::listUpstream(size_t number, bool isDraining)
{
    const Host& host = this->hosts[number];
    this->store.put(this->storeKeyOf(number),
        boost::json::serialize(boost::json::object { { "service", host.service },
            { "address", toString(PacketAddress { this->hostAddress(number), packet_ports::upstream }) },
            { "zone", "z" }, { "version", "v1" }, { "slots", 4 }, { "state", isDraining ? "draining" : "ready" },
            { "cold_left_ms", 0 }, { "seq_no", 1 }, { "born", host.incarnation } }));
}

void SoakEnvironment::unlistUpstream(size_t number) { this->store.remove(this->storeKeyOf(number)); }

// Every second incarnation reuses the name of the previous one.
std::string SoakEnvironment::storeKeyOf(size_t number) const
{
    return "servers/h-" + std::to_string(number) + '-' + std::to_string(this->hosts[number].incarnation / 2);
}

std::string SoakEnvironment::describeHosts() const
{
    std::string text;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
        const Host& host = this->hosts[i];
        text += "host " + std::to_string(i) + ": service " + host.service + ", incarnation "
            + std::to_string(host.incarnation) + ", " + std::to_string(host.acceptedSyns) + " SYNs, "
            + std::to_string(host.packetHost->requests()) + " requests, " + std::to_string(host.packetHost->openFlows())
            + " flows\n";
    }
    return text;
}

void SoakEnvironment::crashHost(size_t number)
{
    this->hosts[number].packetHost->crash();
    ++this->hosts[number].incarnation;
}

bool SoakEnvironment::mayChangeService(size_t number) const
{
    return std::count_if(this->hosts.begin(), this->hosts.end(), [&](const Host& host) {
        return host.service == this->hosts[number].service;
    }) > 1;
}

void SoakEnvironment::changeService(size_t number)
{
    Host& host = this->hosts[number];
    host.service = host.service == firstService ? secondService : firstService;
}

} // namespace wasabicroft::tests
