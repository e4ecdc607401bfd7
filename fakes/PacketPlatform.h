// Test doubles of the packet platform on loopback: its store, an upstream host and a client. Written from the
// platform's specification. All run on the thread that runs the io_context.
#pragma once

#include "backends/DatagramSocket.h"
#include "fakes/Http.h"
#include "fakes/PacketBytes.h"

#include <map>
#include <set>

namespace wasabicroft::fakes {

// The key-value store. All changes share one revision counter, and watches are answered immediately. The key op/config
// holds the routes; the keys of upstreams start with servers/.
class PacketStore {
public:
    PacketStore(boost::asio::io_context&, const Endpoint&);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void setDown(bool); // true: answers every request with 503
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

// Header at the start of the payload of a request to PacketHost. Each packet of the answer starts with a PacketAnswer.
struct PacketRequest {
    uint32_t answerBytes = 0;
    uint64_t id = 0;

    static constexpr size_t size = 12; // bytes
    void write(std::vector<uint8_t>& bytes, size_t at) const;
    static PacketRequest read(Bytes payload);
};

// Header at the start of the payload of each packet of an answer.
struct PacketAnswer {
    uint64_t id = 0; // id of the request
    uint32_t offset = 0; // position of the packet in the answer, in bytes

    static constexpr size_t size = 12; // bytes
    static PacketAnswer read(Bytes payload);
};

// Functions that PacketHost calls on events; each may be empty.
struct PacketHostHooks {
    std::function<void(const FlowKey&)> onSyn; // for each new flow
    std::function<void(const FlowKey&, Bytes payload)> onRequest; // for each request that starts to run
    std::function<void(const FlowKey&)> onUnexpectedPacket; // for each packet that a client never sends
};

// Upstream host that answers each request with the number of bytes it asks for. When a request is repeated, the host
// retransmits what the client has not acknowledged.
class PacketHost {
public:
    PacketHost(boost::asio::io_context&, PacketAddress listen, PacketAddress outbound, PacketHostHooks = {});

    void crash(); // forgets all flows
    void setFrozen(bool isNowFrozen) { this->isFrozen = isNowFrozen; } // true: drops all packets
    void setWorkTime(Milliseconds time) { this->workTime = time; } // delay before an answer; requires calls of onTick()
    void onTick(TimePoint now); // sends the answers that are due
    bool hasOpenFlow(const FlowKey&) const; // whether the handshake of the flow is complete
    size_t openFlows() const { return this->flows.size(); }
    size_t requests() const { return this->requestCount; }

private:
    struct Flow {
        uint32_t sequence = 0; // sequence number of the next byte sent to the client
        uint32_t nextClientSequence = 0; // sequence number of the next byte expected from the client
        size_t unsentBytes = 0; // bytes of the answer not sent yet
        bool isOpen = false;
        PacketRequest request; // the latest request
        TimePoint answerDue; // when to start the answer; default value: no answer is pending
    };

    void onPacket(std::span<uint8_t>);
    void onData(const FlowKey&, Flow&, const Packet&, Bytes payload);
    void sendAnswer(const FlowKey&, Flow&, size_t packets);

    DatagramSocket socket;
    PacketAddress agent;
    PacketHostHooks hooks;
    Milliseconds workTime { 0 };
    bool isFrozen = false;
    uint32_t nextSequence = 0; // initial sequence number of the latest flow; hosts use separate ranges
    std::map<FlowKey, Flow> flows;
    size_t requestCount = 0;
};

// Client that has one flow at a time.
class PacketClient {
public:
    PacketClient(boost::asio::io_context&, PacketAddress listen);

    void setEntry(PacketAddress address) { this->entry = address; }
    void open(uint16_t port, PacketAddress route); // starts a new flow by sending its SYN
    void repeatSyn();
    void request(uint32_t answerBytes); // on the open flow; the answer will have this many bytes
    void repeatRequest();

    bool isOpen() const { return this->hostSequence > 0; }
    bool wasReset() const { return this->resetSeen; }
    size_t received() const { return this->receivedBytes; } // in-order bytes of the latest answer

private:
    void onPacket(std::span<uint8_t>);
    void send(uint8_t flags, uint32_t sequence, const std::vector<uint8_t>& payload = {});

    DatagramSocket socket;
    PacketAddress entry;
    FlowKey flow;
    uint32_t sequence = 0;
    uint32_t hostSequence = 0; // sequence number of the next byte expected from the host
    std::set<uint32_t> outOfOrderSequences; // sequence numbers of packets received after a gap
    std::vector<uint8_t> lastRequest;
    uint32_t synCopies = 0;
    size_t receivedBytes = 0;
    bool resetSeen = false;
};

} // namespace wasabicroft::fakes
