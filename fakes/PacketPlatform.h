// Stand-ins for the users' packet platform on loopback: its store, an upstream host and a client. Written from the
// platform's pages; each runs on the thread that runs the io_context.
#pragma once

#include "backends/DatagramSocket.h"
#include "fakes/Http.h"
#include "fakes/PacketBytes.h"

#include <map>
#include <set>

namespace wasabicroft::fakes {

// The store: items by key, in one revision order. Watches are answered at once. An item of the routes' topic has the
// key op/config, those of upstreams begin with servers/.
class PacketStore {
public:
    PacketStore(boost::asio::io_context&, const Endpoint&);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void setDown(bool); // answers 503
    uint64_t calls() const { return this->callCount; }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        bool removed = false;
    };

    HttpReply answer(const HttpRequest&);

    std::map<std::string, Item> items;
    uint64_t revision = 1;
    uint64_t callCount = 0;
    bool isDown = false;
    HttpService service;
};

// The start of the payload of a request to PacketHost; each packet of its answer starts with id and offset.
struct PacketRequest {
    uint32_t answerBytes = 0;
    uint64_t id = 0;

    static constexpr size_t size = 12; // bytes
    void write(std::vector<uint8_t>& bytes, size_t at) const;
    static PacketRequest read(Bytes payload);
};

// The start of the payload of each packet of an answer.
struct PacketAnswer {
    uint64_t id = 0; // of the request
    uint32_t offset = 0; // in the answer

    static constexpr size_t size = 12; // bytes
    static PacketAnswer read(Bytes payload);
};

struct PacketHostHooks {
    std::function<void(const FlowKey&)> onSyn; // a new flow was accepted
    std::function<void(const FlowKey&, Bytes payload)> onRequest; // a request runs
    std::function<void(const FlowKey&)> onUnexpectedPacket; // a packet that no client sends
};

// An upstream host: answers a request with the number of bytes that it asks for. A repeated request makes it send again
// what the client has not acknowledged.
class PacketHost {
public:
    PacketHost(boost::asio::io_context&, PacketAddress listen, PacketAddress outbound, PacketHostHooks = {});

    void crash(); // loses its flows
    void setFrozen(bool isNowFrozen) { this->isFrozen = isNowFrozen; } // drops what arrives
    void setWorkTime(Milliseconds time) { this->workTime = time; } // before an answer; needs onTick
    void onTick(TimePoint now); // answers what is due
    bool hasOpenFlow(const FlowKey&) const; // the flow is open here
    size_t openFlows() const { return this->flows.size(); }
    size_t requests() const { return this->requestCount; }

private:
    struct Flow {
        uint32_t sequence = 0; // of the next byte to the client
        uint32_t nextClientSequence = 0; // next byte of the client
        size_t unsentBytes = 0; // bytes of the answer that were not sent yet
        bool isOpen = false;
        PacketRequest request; // the last one
        TimePoint answerDue; // of its answer
    };

    void onPacket(std::span<uint8_t>);
    void onData(const FlowKey&, Flow&, const Packet&, Bytes payload);
    void sendAnswer(const FlowKey&, Flow&, size_t packets);

    DatagramSocket socket;
    PacketAddress agent;
    PacketHostHooks hooks;
    Milliseconds workTime { 0 };
    bool isFrozen = false;
    uint32_t nextSequence = 0; // differs between hosts
    std::map<FlowKey, Flow> flows;
    size_t requestCount = 0;
};

// A client of one flow.
class PacketClient {
public:
    PacketClient(boost::asio::io_context&, PacketAddress listen);

    void setEntry(PacketAddress address) { this->entry = address; }
    void open(uint16_t port, PacketAddress route); // a new flow; sends the SYN
    void repeatSyn();
    void request(uint32_t answerBytes); // on the open flow
    void repeatRequest();

    bool isOpen() const { return this->hostSequence > 0; }
    bool wasReset() const { return this->resetSeen; }
    size_t received() const { return this->receivedBytes; } // of the answer to the last request

private:
    void onPacket(std::span<uint8_t>);
    void send(uint8_t flags, uint32_t sequence, const std::vector<uint8_t>& payload = {});

    DatagramSocket socket;
    PacketAddress entry;
    FlowKey flow;
    uint32_t sequence = 0;
    uint32_t hostSequence = 0; // next byte of the host
    std::set<uint32_t> outOfOrderSequences; // packets beyond a gap
    std::vector<uint8_t> lastRequest;
    uint32_t synCopies = 0;
    size_t receivedBytes = 0;
    bool resetSeen = false;
};

} // namespace wasabicroft::fakes
