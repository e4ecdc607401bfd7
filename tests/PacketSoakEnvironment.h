// What surrounds the packet programs in the fault soak, on one thread: the network between them, upstream hosts,
// callers, and the ledger that checks every packet and request while faults go on.
//
// Index
//   [SECTION] Ledger
//   [SECTION] SoakNetwork
//   [SECTION] SoakCallers
//   [SECTION] SoakWorld
#pragma once

#include "fakes/PacketPlatform.h"
#include "tests/PacketPrograms.h"
#include "tests/SeededRandom.h"

#include <array>
#include <boost/asio/steady_timer.hpp>

namespace wasabicroft::tests {

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

std::string ipText(uint32_t address);

struct SoakStatistics {
    uint64_t opened = 0; // flows
    uint64_t refused = 0; // flows reset before they were open
    uint64_t unopened = 0; // flows whose SYNs had no answer
    uint64_t lost = 0; // open flows that were reset after their host lost them
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t timedOut = 0;
    uint64_t delayedDatagrams = 0;
    uint64_t droppedDatagrams = 0;
    std::vector<std::string> violations; // the first ones

    void addViolation(const std::string& text);
};

//-----------------------------------------------------------------------------
// [SECTION] SoakNetwork
//-----------------------------------------------------------------------------

// A fault of the datagrams from one IP address to another; 0 stands for any address.
struct SoakPathFault {
    uint32_t from = 0;
    uint32_t to = 0;
    Milliseconds delay { 0 }; // up to this much, drawn for each datagram, so that datagrams overtake each other
    double lossRate = 0; // share
    double duplicateRate = 0; // share of datagrams that arrive twice
};

// Carries datagrams between entries, agents and callers. Programs listen on a port of their own; the network listens on
// the port that the others know, at the same IP address.
class SoakNetwork {
public:
    SoakNetwork(boost::asio::io_context&, SoakStatistics&, uint64_t seed);

    // Datagrams of other programs to the public address go to the process, with the sender's public address as source.
    void addNode(PacketAddress publicAddress, PacketAddress process);

    size_t addFault(const SoakPathFault&); // returns its number
    void removeFault(size_t number);

    // Calls the hook now, later, twice or never.
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
    std::map<PacketAddress, Node> nodes; // by the address of the process
    std::map<size_t, SoakPathFault> faults;
    size_t lastFault = 0;
    std::multimap<TimePoint, DelayedDatagram> delayedDatagrams;
};

//-----------------------------------------------------------------------------
// [SECTION] SoakCallers
//-----------------------------------------------------------------------------

struct SoakCallerOptions {
    size_t callers = 24;
    Milliseconds requestTimeout { 4000 }; // of a request
    Milliseconds maxPause { 1500 }; // between two requests of a flow
    unsigned maxRequestsPerFlow = 30; // requests
    uint32_t maxAnswerBytes = 24000; // bytes
};

struct SoakCallerHooks {
    std::function<PacketAddress(const FlowKey&)> entryOf; // that the router selects now
    std::function<std::optional<size_t>(const FlowKey&)> holderOf; // host that holds the flow
    std::function<std::vector<PacketAddress>()> routes; // that callers may use
};

// Callers with one flow each: open, a few requests with pauses, close, again. They follow the platform's times.
class SoakCallers {
public:
    SoakCallers(boost::asio::io_context&, uint32_t address, SoakNetwork&, SoakStatistics&, SoakCallerOptions,
        SoakCallerHooks, uint64_t seed);

    void onTick(TimePoint now);
    void setFaultFree(bool faultFree)
    {
        this->isFaultFree = faultFree;
    } // every request that starts now must be answered
    void setStopped() { this->isStopped = true; } // no new flows and requests
    bool isIdle() const;

private:
    enum class State : uint8_t { Closed, Opening, Thinking, Waiting };

    struct Caller {
        State state = State::Closed;
        TimePoint nextAction; // next action
        TimePoint startTime; // the flow or the request
        bool beganFaultFree = false;
        FlowKey flow;
        uint32_t sequence = 0;
        uint32_t nextHostSequence = 0; // next byte of the host
        unsigned copies = 0;
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
    DatagramSocket socket; // to entries, and from agents
    DatagramSocket resetSocket; // of entries
    uint32_t address;
    std::vector<Caller> callers;
    std::map<uint16_t, size_t> callerByPort;
    uint16_t lastPort = 1024;
    uint64_t lastRequest = 0;
    bool isFaultFree = false;
    bool isStopped = false;
};

//-----------------------------------------------------------------------------
// [SECTION] SoakWorld
//-----------------------------------------------------------------------------

struct SoakSize {
    size_t entries = 3;
    size_t hosts = 5;
    SoakCallerOptions callers;
};

// Store, hosts, network and callers. Every call must come from the thread of the io_context.
class SoakEnvironment {
public:
    SoakEnvironment(boost::asio::io_context&, uint32_t firstAddress, const SoakSize&, uint64_t seed);

    // Programs behind the network; the others know them by the usual ports.
    static constexpr uint16_t agentPort = 18172; // packets port of agents, which reach callers at it
    static constexpr uint16_t entryHopPort = 17720;

    static PacketAddress route(size_t number) { return { 0xc6120001, static_cast<uint16_t>(443 + number) }; }

    uint32_t storeAddress() const { return this->firstAddress + 2; }
    uint32_t callerAddress() const { return this->firstAddress + 3; }
    uint32_t entryAddress(size_t entry) const { return this->firstAddress + 8 + static_cast<uint32_t>(entry); }
    uint32_t hostAddress(size_t host) const { return this->firstAddress + 128 + static_cast<uint32_t>(host); }
    std::string serviceOf(size_t host) const { return this->hosts[host].service; }

    void publishRoutes(
        const std::set<size_t>& numbers); // as a new version; route 1 belongs to service img, others to api
    void listUpstream(size_t host, bool isDraining = false); // in the store
    void unlistUpstream(size_t host);
    void crashHost(size_t host); // loses its flows and is a new incarnation
    void changeService(size_t host); // its address is used by a host of the other service from now on
    void moveCallers() { ++this->routerHashSalt; } // to other entries
    bool mayChangeService(size_t host) const; // another host of its service stays
    void setInRotation(size_t entry, bool inRotation) { this->isInRotation[entry] = inRotation; }
    uint64_t acceptedSyns(size_t host) const { return this->hosts[host].acceptedSyns; }
    void setFrozen(size_t host, bool isFrozen) { this->hosts[host].packetHost->setFrozen(isFrozen); }
    std::string describeHosts() const; // for the report

    SoakStatistics statistics;
    fakes::PacketStore store;
    SoakNetwork network;
    SoakCallers callers;

private:
    struct Host {
        std::unique_ptr<fakes::PacketHost> packetHost;
        std::string service;
        uint64_t incarnation = 1;
        uint64_t acceptedSyns = 0; // new flows that it accepted
    };

    void tick();
    PacketAddress entryOf(const FlowKey&) const;
    std::optional<size_t> holderOf(const FlowKey&) const;
    fakes::PacketHostHooks hostHooks(size_t host);
    std::string storeKeyOf(size_t host) const; // key in the store

    uint32_t firstAddress;
    std::vector<Host> hosts;
    std::vector<bool> isInRotation;
    size_t routerHashSalt = 0;
    std::map<uint64_t, size_t> hostOfRequest; // host, by request
    std::set<size_t> routes;
    std::map<PacketAddress, TimePoint> removedRoutes; // routes, with the time of the last configuration without them
    uint64_t version = 0;
    boost::asio::steady_timer timer;
};

} // namespace wasabicroft::tests
