// Packets of client flows, the messages that carry them between entries and agents, and a bounded table of flows.
// No I/O.
//
// Index
//   [SECTION] Packets
//   [SECTION] Hop messages
//   [SECTION] Invalid packets
//   [SECTION] Flow table
#pragma once

#include "wasabicroft/Error.h"
#include "wasabicroft/Types.h"

#include <list>
#include <span>
#include <unordered_map>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Packets
//-----------------------------------------------------------------------------

using Bytes = std::span<const uint8_t>;

inline std::vector<uint8_t> copyOf(Bytes bytes) { return { bytes.begin(), bytes.end() }; }

// IPv4 address and port in host byte order.
struct PacketAddress {
    uint32_t address = 0;
    uint16_t port = 0;

    auto operator<=>(const PacketAddress&) const = default;
};

std::string toString(PacketAddress); // "127.0.0.1:80"
std::optional<PacketAddress> parsePacketAddress(std::string_view text); // "127.0.0.1:80"

// Both ends of a flow. The route is the public address that the client sent to.
struct FlowKey {
    PacketAddress client;
    PacketAddress route;

    auto operator<=>(const FlowKey&) const = default;
};

std::string toString(const FlowKey&); // "client>route"

struct FlowKeyHash {
    size_t operator()(const FlowKey&) const noexcept;
};

// A decoded packet header. The bytes of the packet are forwarded as received and never rebuilt from it.
struct Packet {
    PacketAddress source;
    PacketAddress destination;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    bool bounced = false; // returned by the upstream, which doesn't hold the flow or can't take it
    uint32_t sequence = 0;
    uint32_t acknowledgement = 0; // in a SYN: number of copies sent before this one
    uint16_t payloadBytes = 0;

    FlowKey flowKeyFromClient() const { return { this->source, this->destination }; }
    FlowKey flowKeyFromUpstream() const { return { this->destination, this->source }; }
    bool isSyn() const { return this->syn && !this->ack; }
    bool isSynAck() const { return this->syn && this->ack; }
};

//-----------------------------------------------------------------------------
// [SECTION] Hop messages
//-----------------------------------------------------------------------------

// Messages between entries and agents. Entry to agent: Offer, Forward, Find, Ask, Search, Directive. Agent to entry:
// the others.
enum class HopKind : uint8_t {
    Offer, // a SYN for the upstream
    Forward, // a packet of a flow that the upstream holds according to the flow table of the entry
    Find, // a packet of a flow whose upstream is unknown; sent to several agents
    Accepted, // the upstream answered the SYN; carries the upstream's sequence number
    Refused, // the upstream or the agent refused the SYN; carries the packet
    Holds, // the upstream holds the flow of a Find
    NotHeld, // the upstream does not hold the flow; carries the packet of a Forward that the upstream returned
    Gone, // the upstream held the flow and lost it; no other upstream holds it
    Load, // periodic load report; also the reply to an Ask without flows
    Ask, // asks which of the given flows the upstream holds; without flows, probes whether the agent replies
    Known, // the flows of an Ask that the upstream holds
    Unsure, // the flows of an Ask that the upstream may hold: half open, or the agent has not seen all flows
    Denied, // the flows of Asks and Finds that the upstream does not hold
    Search, // a Find for several agents, which the receiver passes on to them; they reply to the entry
    Delegate, // to an entry: a packet of a flow whose holder the sender can't find, because its list is older
    Located, // the answer to a Delegate: the agent that holds the flows
    Directive, // what limits the new flows of the receiver's upstream; programs of older versions refuse it as unknown
};

inline constexpr std::array<std::string_view, 17> hopKindNames
    = { "offer", "forward", "find", "accepted", "refused", "holds", "not-held", "gone", "load", "ask", "known",
          "unsure", "denied", "search", "delegate", "located", "directive" };

std::string_view nameOf(HopKind);

// Why an agent or its upstream refused a SYN; in NotHeld and Gone, whether the upstream is down.
enum class HopRefusal : uint8_t { None, OtherService, UpstreamBusy, UpstreamDown, UpstreamDraining, UpstreamRejecting };

inline constexpr std::array<std::string_view, 6> hopRefusalNames
    = { "none", "other-service", "upstream-busy", "upstream-down", "upstream-draining", "upstream-rejecting" };

std::string_view nameOf(HopRefusal);

// What an upstream publishes of itself that decides how much work it gets. It travels with the revision of the record,
// so that an agent tells newer figures from older ones.
struct UpstreamFigures {
    uint64_t revision = 0; // of the store, in which the record last changed
    uint16_t slots = 0; // requests that the upstream runs at a time; at least 1
    bool draining = false;

    bool operator==(const UpstreamFigures&) const = default;
};

// What limits the new flows of an upstream at present, as an entry knows it from the store. An agent keeps the newest
// evacuation state by its position, and refuses new flows by it that an entry which is behind offers.
struct UpstreamDirective {
    uint64_t evacuationPosition = 0; // position of the store at which evacuation orders last changed; 0: not known
    bool evacuated = false; // the upstream's failure domain is evacuated
    Milliseconds coldLeft { 0 }; // how much longer the upstream stays cold
    uint32_t coldFlowsPerSecond = 0; // new flows that it bears while it is cold; 0: no limit is stated

    bool operator==(const UpstreamDirective&) const = default;
};

// What an agent measures of its upstream.
struct UpstreamPerformance {
    Milliseconds expectedWait { 0 }; // until a request that arrives now would start
    std::chrono::microseconds serviceTime { 0 }; // mean time that the upstream needs for a request; stated in 0.1 ms

    bool operator==(const UpstreamPerformance&) const = default;
};

// What the operators' configuration states of the requests on a route.
struct RequestLimits {
    Milliseconds objective { 0 }; // latency objective; 0: none
    Milliseconds timeout { 0 }; // 0: none
    unsigned priority = 0; // 0 is highest

    bool operator==(const RequestLimits&) const = default;
};

struct HopMessage {
    HopKind kind = HopKind::Forward;
    HopRefusal refusal = HopRefusal::None;
    ServiceId service; // service of the route; in messages of agents, service of the upstream
    FlowKey flow; // flow of a message that carries no packet
    // Sequence number of the SYN+ACK, in Accepted and Holds; end of what the upstream sent on the flow, in Gone (0: not
    // stated).
    uint32_t upstreamSequence = 0;
    uint16_t runningRequests = 0; // from agents: requests at the upstream that it has not answered
    uint16_t waitingRequests = 0; // from agents: requests queued at the agent
    uint16_t slots = 0; // from agents: requests that the upstream runs at a time; 0: not known
    std::optional<UpstreamFigures> upstream; // from entries: of the receiver's upstream; empty: not known
    std::optional<RequestLimits> limits; // from entries: of the packet's route; empty: not known
    std::optional<Milliseconds> idleTimeout; // in Ask: of flows; empty: not known
    uint32_t heldFlows = 0; // from agents: number of flows that the upstream holds and neither end has closed
    std::optional<UpstreamPerformance> performance; // from agents; empty: not known
    UpstreamDirective directive; // in Directive
    Milliseconds loadInterval { 0 }; // in Offer: requested time between load reports; steps of 20 ms, at most 5.1 s
    PacketAddress replyTo; // in a Find that an agent passes on: the entry; no address: the sender
    PacketAddress holder; // in Located
    std::vector<uint32_t> targets; // of a Search: IP addresses of agents that use the same port as the receiver
    Bytes packet; // packet as received; empty if the message carries none
    std::vector<FlowKey> flowKeys; // flows of an Ask or of an answer to it, or of Located
};

inline constexpr size_t hopHeaderBytes = 48;
inline constexpr size_t flowKeyBytes = 12; // of a flow key in a message
inline constexpr size_t maxSearchTargets = 40; // keeps a message with the largest packet below the usual MTU
inline constexpr size_t maxFlowKeysPerMessage = 100; // keeps a message below the smallest usual MTU

inline constexpr size_t datagramHeaderBytes = 28; // IPv4 and UDP
inline constexpr Milliseconds loadSubscriptionDuration { 5000 }; // an entry gets load reports this long after an offer

size_t encodedBytes(const HopMessage&); // size of the message without IP and UDP headers
bool carriesFlowKeys(HopKind); // true if the message carries flow keys instead of a packet

// Appends the encoded message to out.
void encodeHop(const HopMessage&, std::vector<uint8_t>& out);
Result<HopMessage> decodeHop(Bytes); // the packet of the result points into the given bytes

//-----------------------------------------------------------------------------
// [SECTION] Invalid packets
//-----------------------------------------------------------------------------

// Limits log lines about invalid packets: one per sender in each interval, for the first maxSenders senders only.
class InvalidSenderLogLimiter {
public:
    bool shouldLog(PacketAddress sender, TimePoint now);

private:
    static constexpr Milliseconds interval { 500 };
    static constexpr size_t maxSenders = 16;

    std::vector<PacketAddress> loggedSenders; // in the current interval
    TimePoint intervalStart;
};

//-----------------------------------------------------------------------------
// [SECTION] Flow table
//-----------------------------------------------------------------------------

// Bounded table of flows. When it is full, the least recently used flow is evicted and counted.
template <typename State> class FlowTable {
public:
    explicit FlowTable(size_t maxFlows)
        : capacity(maxFlows)
    {
    }

    State* find(const FlowKey& key)
    {
        const auto found = this->index.find(key);
        return found == this->index.end() ? nullptr : &found->second->state;
    }

    // Returns the state of the flow, inserted if missing, and marks the flow as used now.
    State& findOrInsert(const FlowKey& key, TimePoint now)
    {
        const auto found = this->index.find(key);
        if (found != this->index.end()) {
            found->second->used = now;
            this->order.splice(this->order.end(), this->order, found->second);
            return found->second->state;
        }
        if (this->index.size() >= this->capacity) {
            ++this->evictionCount;
            this->drop(this->order.begin());
        }
        this->order.push_back({ key, now, {} });
        this->index.emplace(key, std::prev(this->order.end()));
        return this->order.back().state;
    }

    void erase(const FlowKey& key)
    {
        const auto found = this->index.find(key);
        if (found == this->index.end())
            return;
        this->drop(found->second);
    }

    void clear()
    {
        while (!this->order.empty())
            this->drop(this->order.begin());
    }

    // Removes flows that were last used before the given time.
    void expire(TimePoint before)
    {
        while (!this->order.empty() && this->order.front().used < before)
            this->drop(this->order.begin());
    }

    template <typename Function> void forEach(Function function)
    {
        for (Row& row : this->order)
            function(row.key, row.state);
    }

    size_t size() const { return this->index.size(); }
    uint64_t evictions() const { return this->evictionCount; }

    std::function<void(const FlowKey&, State&)> onDrop; // called before a flow is removed for any reason; may be empty

private:
    struct Row {
        FlowKey key;
        TimePoint used;
        State state;
    };

    void drop(typename std::list<Row>::iterator row)
    {
        if (this->onDrop)
            this->onDrop(row->key, row->state);
        this->index.erase(row->key);
        this->order.erase(row);
    }

    size_t capacity;
    std::list<Row> order; // least recently used first
    std::unordered_map<FlowKey, typename std::list<Row>::iterator, FlowKeyHash> index;
    uint64_t evictionCount = 0;
};

} // namespace wasabicroft
