// TCP links that carry frames between the system's own processes, and the pool of links of an entry.
//
// Index
//   [SECTION] Socket helpers
//   [SECTION] Link
//   [SECTION] LinkPool
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Config.h"
#include "wasabicroft/Frame.h"
#include "wasabicroft/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Socket helpers
//-----------------------------------------------------------------------------

boost::asio::ip::tcp::endpoint toTcp(const Endpoint&);
boost::asio::ip::udp::endpoint toUdp(const Endpoint&);
Endpoint fromTcp(const boost::asio::ip::tcp::endpoint&);
Endpoint fromUdp(const boost::asio::ip::udp::endpoint&);

// Sets TCP_NODELAY, keep-alive and TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer is gone, and
// limits the unsent bytes that the kernel buffers.
void setConnectionOptions(boost::asio::ip::tcp::socket&, Milliseconds userTimeout);

// Closes with RST instead of FIN, so that the peer can't take the bytes received so far for a complete answer.
void resetConnection(boost::asio::ip::tcp::socket&);

// Opens, binds and listens with SO_REUSEADDR, so that a restarted process can bind its address at once.
Result<boost::asio::ip::tcp::acceptor> openListener(boost::asio::io_context&, const Endpoint&);

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

// Which frames share a TCP connection. A lost segment delays every frame behind it on the same connection.
enum class LinkSharing : uint8_t {
    AllClasses, // One link per agent.
    PerClass, // One link per agent and traffic class.
    PerFlow, // One link per flow.
};

inline constexpr std::array<std::string_view, 3> linkSharingNames = { "all-classes", "per-class", "per-flow" };

std::string_view nameOf(LinkSharing);

struct LinkOptions {
    LinkSharing sharing = LinkSharing::PerClass; // Used by LinkPool only.
    // Queued bytes above which hasRoom() is false and the sources of the link pause.
    size_t highWaterBytes = 1024 * 1024;
    // Queued bytes above which the link is closed, because its peer does not read.
    size_t maxQueueBytes = 8 * 1024 * 1024;
    Milliseconds connectTimeout { 2000 };
    // A Ping is sent if nothing arrives for this time while an answer is outstanding.
    Milliseconds heartbeatInterval { 1000 };
    Milliseconds heartbeatTimeout { 2000 }; // Time limit for the answer to a Ping; then the link is closed.
    Milliseconds idleTimeout { 60000 }; // A link without open flows and frames is closed after this time.
    Milliseconds minBackoff { 50 }; // Delay of the first reconnect; doubles with each further failure.
    Milliseconds maxBackoff { 2000 };
    Milliseconds userTimeout { 10000 }; // TCP_USER_TIMEOUT of the connection.
    // Limit for the heartbeats of all links whose open flows have no traffic; see LinkPool::onTick.
    size_t heartbeatBytesPerSecond = 4096;
};

class Link;

struct LinkHandlers {
    std::function<void(Link&, Frame)> onFrame;
    std::function<void(Link&)> onBatchEnd; // All frames of one read were passed to onFrame.
    std::function<void(Link&)> onWritable; // The queue fell below LinkOptions::highWaterBytes.
    std::function<void(Link&, const std::string& cause)> onClosed; // Called once.
};

// One TCP connection that carries frames, each behind a 4-byte size prefix. Not thread-safe: runs on the thread of the
// socket's io_context. Handles heartbeats itself: Ping frames without a flow are answered, Pong frames without a flow
// are dropped.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(boost::asio::ip::tcp::socket, LinkOptions, const Clock&, Metrics&, LinkHandlers);

    void start(); // Starts reading and writing; the socket must be connected.
    // Frames sent before the connection is up are queued.
    void connect(const Endpoint&, std::function<void()> onConnected);

    bool send(const Frame&); // Returns false if the link is closed or its queue is full; a full queue closes the link.
    bool hasRoom() const;
    void close(const std::string& cause);
    bool isOpen() const;

    // Sends a Ping if an answer is overdue, and closes the link if the Ping stays unanswered. An answer is due
    // heartbeatInterval after a frame was sent; while expectsTraffic is set, any frame is due silenceLimit after the
    // last one.
    void onTick(bool expectsTraffic, Milliseconds silenceLimit);

    uint64_t id = 0; // Assigned by the code that created the link.
    TimePoint lastUsed; // When a frame other than a heartbeat was last sent or received.

private:
    void waitReadable();
    void onReadable();
    void parseFrames(std::string_view bytes);
    bool checkFrameSize(size_t frameBytes);
    void onFrameBody(std::string_view body);
    void handleFrame(Frame);
    void scheduleWrite();
    void write();

    boost::asio::ip::tcp::socket socket;
    LinkOptions options;
    const Clock& clock;
    Metrics& metrics;
    LinkHandlers handlers;
    std::string partialFrame; // Start of an incomplete frame, including its size prefix.
    std::string sendQueue; // Encoded frames that wait for the write in progress.
    std::string writeBuffer; // Encoded frames of the write in progress.
    bool writeScheduled = false;
    bool connected = false;
    bool closed = false;
    TimePoint openedAt;
    TimePoint lastReceived;
    std::optional<TimePoint> unansweredSince; // When the first frame after the last received one was sent.
    std::optional<TimePoint> pingSentAt;
};

//-----------------------------------------------------------------------------
// [SECTION] LinkPool
//-----------------------------------------------------------------------------

// Key of a link in a LinkPool. Frames with the same key share a link.
struct LinkKey {
    UpstreamId upstream;
    TrafficClass trafficClass = TrafficClass::Request; // Request if the link carries all classes.
    FlowId flow; // Zero if flows share the link.

    auto operator<=>(const LinkKey&) const = default;
};

struct LinkPoolHandlers {
    std::function<void(UpstreamId, TrafficClass, Frame)> onFrame;
    std::function<void()> onBatchEnd; // All frames of one read were passed to onFrame; may be empty.
    std::function<void(const LinkKey&)> onWritable;
    std::function<void(const LinkKey&)> onReconnected; // The link is up again; frames may have been lost before.
    std::function<void(const LinkKey&)> onUnreachable; // A connection attempt failed or a link was lost.
};

// The links from an entry to its agents, shared as LinkOptions::sharing says. A link is opened when a frame is sent,
// reconnected with exponential back-off while flows are open on it, and closed when it is idle.
class LinkPool {
public:
    LinkPool(boost::asio::io_context&, LinkOptions, const Clock&, Metrics&, LinkPoolHandlers);
    ~LinkPool();

    void setAddress(UpstreamId, const Endpoint&); // A changed address is used from the next connection on.
    bool hasAddress(UpstreamId) const;

    bool send(UpstreamId, TrafficClass, const Frame&); // Returns false if the frame was dropped.
    LinkKey linkKeyFor(UpstreamId, TrafficClass, FlowId) const; // Key of the link that carries such frames.
    bool hasRoom(const LinkKey&) const;
    void retain(const LinkKey&); // Counts a flow as open on the link.
    void release(const LinkKey&);

    // Sends heartbeats, closes idle links and reconnects lost ones; called about every 50 ms. A link with open flows
    // and no traffic gets heartbeats as well, because otherwise only the agent would notice that the bytes of a feed do
    // not arrive. The interval grows with the number of such links, so that all heartbeats stay below
    // heartbeatBytesPerSecond. With many links, a call handles only some of them, in turn; ten calls handle all.
    void onTick();
    void closeAll();

    size_t openLinks() const;

private:
    struct LinkState {
        std::shared_ptr<Link> link;
        size_t flows = 0; // Open flows on the link.
        bool framesLost = false; // Frames were dropped since the link was last up.
        unsigned failedDials = 0; // Consecutive failed connection attempts and losses; 0 once the link is up.
        TimePoint nextDial;
    };

    void dial(const LinkKey&, LinkState&);
    void onLinkClosed(const LinkKey&, const std::string& cause);
    Milliseconds backoff(unsigned failedDials) const;
    Milliseconds heartbeatInterval() const;

    boost::asio::io_context& context;
    LinkOptions options;
    const Clock& clock;
    Metrics& metrics;
    LinkPoolHandlers handlers;
    std::map<UpstreamId, Endpoint> addresses;
    std::map<LinkKey, LinkState> linkStates;
    size_t linksWithFlows = 0;
    LinkKey lastTicked {}; // Key of the link that onTick handled last.
    bool closing = false;
};

} // namespace wasabicroft
