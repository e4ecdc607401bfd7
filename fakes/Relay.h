// Network emulator: relays TCP connections and UDP datagrams between loopback addresses and adds one-way delay, jitter,
// loss, partitions and loss of connection state. Runs on its own thread.
//
// With one target it emulates a link. With several targets it emulates the fabric: every connection and every datagram
// goes to a target chosen at random, and replies return to the client.
//
// TCP is relayed as a byte stream, so a lost segment can't be dropped. Instead, loss is drawn per segment of 1,460
// bytes and each lost segment stalls that direction of the stream for one retransmission timeout. Datagrams are
// dropped, and jitter may reorder them.
//
// Admin port: GET /state; POST /set?delay_ms=&jitter_ms=&loss=&retransmission_ms=; POST /cut; POST /swallow; POST /heal
#pragma once

#include "wasabicroft/Config.h"

#include <memory>
#include <vector>

namespace wasabicroft::fakes {

struct LinkConditions {
    std::chrono::microseconds delay { 0 }; // in each direction
    std::chrono::microseconds jitter { 0 }; // maximum additional delay, uniformly distributed
    double loss = 0; // fraction of datagrams and of TCP segments, 0 to 1
    Milliseconds retransmissionTimeout { 200 }; // stall of a TCP stream for each lost segment
};

struct RelayOptions {
    Endpoint listen { "127.0.0.1", 0 }; // TCP and UDP
    std::vector<Endpoint> targets; // at least one
    std::optional<Endpoint> admin; // HTTP; none by default
    LinkConditions conditions;
    uint64_t seed = 1;
};

struct RelayCounts {
    uint64_t connections = 0; // accepted TCP connections
    uint64_t openConnections = 0;
    uint64_t refused = 0; // connections whose target could not be reached
    uint64_t bytes = 0; // relayed over TCP in both directions
    uint64_t stalls = 0; // lost TCP segments
    uint64_t datagrams = 0; // relayed
    uint64_t droppedDatagrams = 0;
};

// Thread-safe. The destructor closes all connections.
class Relay {
public:
    explicit Relay(const RelayOptions&);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    Endpoint endpoint() const;
    Endpoint adminEndpoint() const; // port 0 if there is no admin port

    void setConditions(const LinkConditions&);
    void setTargets(std::vector<Endpoint>); // applies to new connections and to all later datagrams

    // Starts a network partition: relaying stops while connections stay open. Bytes are delivered after heal();
    // datagrams are dropped. The kernel still completes the handshake of new connections, but nothing is relayed on
    // them.
    void cut();

    // Emulates a device that loses its state: all existing connections and datagram clients stay open, but their
    // traffic is discarded from now on, even after heal(). New ones work.
    void blackholeExisting();

    // Ends the partition that cut() started.
    void heal();

    RelayCounts counts() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace wasabicroft::fakes
