// Stand-in for the network: relays TCP connections and datagrams between loopback addresses, with one-way delay,
// jitter, loss, cuts and lost connection state. Runs in a thread of its own.
//
// With one target it is a link. With several targets it is the fabric: every connection and every datagram goes to a
// target chosen at random, and replies go back to the caller.
//
// TCP is relayed as a stream, so a lost segment cannot be dropped: it is modelled as a stall of that direction of the
// stream for one retransmission timeout, drawn per segment of 1,460 bytes. Datagrams are dropped and may be reordered
// by jitter.
//
// Admin port: GET /state; POST /set?delay_ms=&jitter_ms=&loss=&retransmission_ms=; POST /cut; POST /swallow; POST /heal
#pragma once

#include "wasabicroft/Config.h"

#include <memory>
#include <vector>

namespace wasabicroft::fakes {

struct LinkConditions {
    std::chrono::microseconds delay { 0 }; // one way
    std::chrono::microseconds jitter { 0 }; // up to this much more, uniformly distributed
    double loss = 0; // share of datagrams and of TCP segments, 0 to 1
    Milliseconds retransmissionTimeout { 200 }; // stall of a TCP stream per lost segment
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
    uint64_t refused = 0; // connections whose target did not accept
    uint64_t bytes = 0; // relayed over TCP, both directions
    uint64_t stalls = 0; // lost TCP segments
    uint64_t datagrams = 0; // relayed
    uint64_t droppedDatagrams = 0;
};

// Safe to use from any thread. The destructor closes all connections.
class Relay {
public:
    explicit Relay(const RelayOptions&);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    Endpoint endpoint() const;
    Endpoint adminEndpoint() const; // port 0 without an admin port

    void setConditions(const LinkConditions&);
    void setTargets(std::vector<Endpoint>); // for new connections and for every following datagram

    // Stops relaying while connections stay open. Bytes are delivered after heal(); datagrams are dropped. The kernel
    // still completes the handshake of new connections, which then stay silent.
    void cut();

    // Loses the state of all present connections and datagram callers: they stay open and silent for good, also after
    // heal(), while new ones work.
    void blackholeExisting();

    // Ends a cut.
    void heal();

    RelayCounts counts() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace wasabicroft::fakes
