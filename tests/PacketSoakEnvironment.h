// Environment of the packet programs in the soak test, on one thread: the network between the programs, upstream hosts,
// and callers. Every packet and request is checked during the faults.
//
// Index
//   [SECTION] Statistics
//   [SECTION] SoakNetwork
//   [SECTION] SoakCallers
//   [SECTION] SoakEnvironment
#pragma once

#include "fakes/PacketPlatform.h"
#include "tests/PacketPrograms.h"
#include "tests/SeededRandom.h"

#include <array>
#include <boost/asio/steady_timer.hpp>

namespace wasabicroft::tests {

//-----------------------------------------------------------------------------
// [SECTION] Statistics
//-----------------------------------------------------------------------------

std::string ipText(uint32_t address);

struct SoakStatistics {
    uint64_t opened = 0; // Flows that were opened.
    uint64_t refused = 0; // Flows that were reset before they were open.
    uint64_t unopened = 0; // Flows whose SYNs had no reply.
    uint64_t lost = 0; // Open flows that were reset after their host lost them.
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t timedOut = 0;
    uint64_t delayedDatagrams = 0;
    uint64_t droppedDatagrams = 0;
    std::vector<std::string> violations; // The first 20.

    void addViolation(const std::string& text);
};

//-----------------------------------------------------------------------------
// [SECTION] SoakNetwork
//-----------------------------------------------------------------------------

// A fault on the path from one IP address to another. Address 0 stands for any address.
struct SoakPathFault {
    uint32_t from = 0;
    uint32_t to = 0;
    Milliseconds delay { 0 }; // Maximum of the random delay of each datagram, so that datagrams are reordered.
    double lossRate = 0; // Share of datagrams that are lost.
    double duplicateRate = 0; // Share of datagrams that arrive twice.
};

// Forwards datagrams between entries, agents and callers. A program listens on a private port; the network listens on
// the port that the other programs use, at the same IP address.
class SoakNetwork {
public:
    SoakNetwork(boost::asio::io_context&, SoakStatistics&, uint64_t seed);

    // Forwards datagrams sent to the public address to the process, with the sender's public address as source.
    void addNode(PacketAddress publicAddress, PacketAddress process);

    size_t addFault(const SoakPathFault&); // Returns its number.
    void removeFault(size_t number);

    // Calls deliver now, later, twice or never, according to the faults.
    void transmit(uint32_t from, uint32_t to, std::span<const uint8_t>, const std::function<void(Bytes)>& deliver);
    void onTick(TimePoint now);

private:
    struct Node {
        PacketAddress process;
        std::unique_ptr<DatagramSocket> socket;
    };

    struct DelayedDatagram {
        std::vector<uint8_t> bytes;
        std::function<void(Bytes)> deliver;
    };

    boost::asio::io_context& context;
    SoakStatistics& statistics;
    SeededRandom rng;
    std::map<PacketAddress, Node> nodes; // By the address of the process.
    std::map<size_t, SoakPathFault> faults;
    size_t lastFault = 0;
    std::multimap<TimePoint, DelayedDatagram> delayedDatagrams;
};

//-----------------------------------------------------------------------------
// [SECTION] SoakCallers
//-----------------------------------------------------------------------------

struct SoakCallerOptions {
    size_t callers = 24;
    Milliseconds requestTimeout { 4000 };
    Milliseconds maxPause { 1500 }; // Between two requests of a flow.
    unsigned maxRequestsPerFlow = 30;
    uint32_t maxAnswerBytes = 24000;
};

struct SoakCallerHooks {
    std::function<PacketAddress(const FlowKey&)> entryOf; // Entry that the router selects now.
    std::function<std::optional<size_t>(const FlowKey&)> holderOf; // Host that has the flow open.
    std::function<std::vector<PacketAddress>()> routes; // Routes that callers may use.
};

// Callers with one flow each: they open it, send a few requests with pauses, close it and start again. Retransmissions
// and timeouts are those of the platform.
class SoakCallers {
public:
    SoakCallers(boost::asio::io_context&, uint32_t address, SoakNetwork&, SoakStatistics&, SoakCallerOptions,
        SoakCallerHooks, uint64_t seed);

    void onTick(TimePoint now);
    // If true, every request that starts from now on must be answered.
    void setFaultFree(bool faultFree) { this->isFaultFree = faultFree; }
    void setStopped() { this->isStopped = true; } // Starts no more flows and requests.
    bool isIdle() const;

private:
    enum class State : uint8_t { Closed, Opening, Thinking, Waiting };

    struct Caller {
        State state = State::Closed;
        TimePoint nextAction;
        TimePoint startTime; // Of the flow or the request.
        bool beganFaultFree = false;
        FlowKey flow;
        uint32_t sequence = 0;
        uint32_t nextHostSequence = 0; // Sequence number of the next byte from the host.
        unsigned copies = 0; // Sent SYNs, or retransmissions of the request.
        unsigned requestsLeft = 0;
        fakes::PacketRequest request;
        std::vector<uint8_t> payload;
        size_t received = 0;
    };

    void open(Caller&, TimePoint now);
    void sendSyn(Caller&, TimePoint now);
    void startRequest(Caller&, TimePoint now);
    void close(Caller&, TimePoint now);
    void sendToEntry(const Caller&, Bytes packet);
    void send(const Caller&, uint8_t flags, uint32_t sequence, Bytes payload = {});
    void listen(DatagramSocket&, uint16_t port);
    void onPacket(std::span<uint8_t>);
    void onReset(Caller&, const Packet&);
    void onAnswer(Caller&, const Packet&, Bytes payload);

    SoakNetwork& network;
    SoakStatistics& statistics;
    SoakCallerOptions options;
    SoakCallerHooks hooks;
    SeededRandom rng;
    DatagramSocket socket; // Sends to entries and receives from agents.
    DatagramSocket resetSocket; // Receives resets of entries.
    uint32_t address;
    std::vector<Caller> callers;
    std::map<uint16_t, size_t> callerByPort;
    uint16_t lastPort = 1024;
    uint64_t lastRequest = 0;
    bool isFaultFree = false;
    bool isStopped = false;
};

//-----------------------------------------------------------------------------
// [SECTION] SoakEnvironment
//-----------------------------------------------------------------------------

struct SoakSize {
    size_t entries = 3;
    size_t hosts = 5;
    SoakCallerOptions callers;
};

// Store, hosts, network and callers. All functions must be called on the thread of the io_context.
class SoakEnvironment {
public:
    SoakEnvironment(boost::asio::io_context&, uint32_t firstAddress, const SoakSize&, uint64_t seed);

    // Private ports of programs behind the network; other programs use the usual ports.
    static constexpr uint16_t agentPort = 18172; // Port for packets of agents; also the port of callers.
    static constexpr uint16_t entryHopPort = 17720;

    static PacketAddress route(size_t number) { return { 0xc6120001, static_cast<uint16_t>(443 + number) }; }

    uint32_t storeAddress() const { return this->firstAddress + 2; }
    uint32_t callerAddress() const { return this->firstAddress + 3; }
    uint32_t entryAddress(size_t entry) const { return this->firstAddress + 8 + static_cast<uint32_t>(entry); }
    uint32_t hostAddress(size_t host) const { return this->firstAddress + 128 + static_cast<uint32_t>(host); }
    std::string serviceOf(size_t host) const { return this->hosts[host].service; }

    // Publishes routes as a new version. Route 1 belongs to service img, others to api.
    void publishRoutes(const std::set<size_t>& numbers);
    void listUpstream(size_t host, bool isDraining = false); // Puts the host's upstream record into the store.
    void unlistUpstream(size_t host);
    void crashHost(size_t host); // The host loses its flows and becomes a new incarnation.
    void changeService(size_t host); // Its address belongs to a host of the other service from now on.
    void moveCallers() { ++this->routerHashSalt; } // Callers use other entries from now on.
    bool mayChangeService(size_t host) const; // Whether another host of its service remains.
    void setInRotation(size_t entry, bool inRotation) { this->isInRotation[entry] = inRotation; }
    uint64_t acceptedSyns(size_t host) const { return this->hosts[host].acceptedSyns; }
    void setFrozen(size_t host, bool isFrozen) { this->hosts[host].packetHost->setFrozen(isFrozen); }
    std::string describeHosts() const; // For the report.

    SoakStatistics statistics;
    fakes::PacketStore store;
    SoakNetwork network;
    SoakCallers callers;

private:
    struct Host {
        std::unique_ptr<fakes::PacketHost> packetHost;
        std::string service;
        uint64_t incarnation = 1;
        uint64_t acceptedSyns = 0; // New flows that the host accepted.
    };

    void tick();
    PacketAddress entryOf(const FlowKey&) const;
    std::optional<size_t> holderOf(const FlowKey&) const;
    fakes::PacketHostHooks hostHooks(size_t host);
    std::string storeKeyOf(size_t host) const; // Key of the host's upstream record in the store.

    uint32_t firstAddress;
    std::vector<Host> hosts;
    std::vector<bool> isInRotation;
    size_t routerHashSalt = 0;
    std::map<uint64_t, size_t> hostOfRequest; // By the request's id.
    std::set<size_t> routes;
    // Routes with the time of the last configuration that removed them.
    std::map<PacketAddress, TimePoint> removedRoutes;
    uint64_t version = 0;
    boost::asio::steady_timer timer;
};

} // namespace wasabicroft::tests
