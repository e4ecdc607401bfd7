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

// Sets no-delay, keep-alive and TCP_USER_TIMEOUT, so that the kernel ends a connection whose peer is gone, and a bound
// of the unsent bytes that the kernel holds.
void setConnectionOptions(boost::asio::ip::tcp::socket&, Milliseconds userTimeout);

// Closes with a reset instead of an orderly end, so that the peer can't take the bytes so far for a complete answer.
void resetConnection(boost::asio::ip::tcp::socket&);

// Opens, binds and listens; the address may be reused at once after a restart.
Result<boost::asio::ip::tcp::acceptor> openListener(boost::asio::io_context&, const Endpoint&);

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

// Which frames share a TCP connection. A lost segment stalls every frame behind it on the same connection.
enum class LinkSharing : uint8_t {
    AllClasses, // one link for each agent
    PerClass, // one link for each agent and traffic class
    PerFlow, // one link for each flow
};

inline constexpr std::array<std::string_view, 3> linkSharingNames = { "all-classes", "per-class", "per-flow" };

std::string_view nameOf(LinkSharing);

struct LinkOptions {
    LinkSharing sharing = LinkSharing::PerClass; // of a LinkPool
    size_t highWaterBytes = 1024 * 1024; // queued; hasRoom() is false above, sources of the link pause
    size_t maxQueueBytes = 8 * 1024 * 1024; // queued; the link is closed above: its peer does not read
    Milliseconds connectTimeout { 2000 };
    Milliseconds heartbeatInterval { 1000 }; // Ping after this silence while an answer is outstanding
    Milliseconds heartbeatTimeout { 2000 }; // from the Ping to the close of the link
    Milliseconds idleTimeout { 60000 }; // without open flows and frames
    Milliseconds minBackoff { 50 }; // before the first new dial
    Milliseconds maxBackoff { 2000 };
    Milliseconds userTimeout { 10000 }; // TCP_USER_TIMEOUT
    size_t heartbeatBytesPerSecond = 4096; // heartbeats of all links with silent open flows, see LinkPool::onTick
};

class Link;

struct LinkHandlers {
    std::function<void(Link&, Frame)> onFrame;
    std::function<void(Link&)> onBatchEnd; // all frames of one read were passed to onFrame
    std::function<void(Link&)> onWritable; // the queue fell below the high-water mark
    std::function<void(Link&, const std::string& cause)> onClosed; // once
};

// One TCP connection with frames behind a 4-byte size prefix. Belongs to the traffic thread.
// Answers Ping frames without a flow itself, and swallows their Pong.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(boost::asio::ip::tcp::socket, LinkOptions, const Clock&, Metrics&, LinkHandlers);

    void start(); // the socket is connected
    void connect(const Endpoint&, std::function<void()> onConnected); // frames sent before that are queued

    bool send(const Frame&); // false if the link is closed or its queue was full, which closes it
    bool hasRoom() const;
    void close(const std::string& cause);
    bool isOpen() const;

    // Sends a Ping after a silence of silenceLimit with something outstanding, and closes the link if the Ping stays
    // unanswered. An answer is outstanding after a frame was sent, or while expectsTraffic is set.
    void onTick(bool expectsTraffic, Milliseconds silenceLimit);

    uint64_t id = 0; // chosen by the link's user
    TimePoint lastUsed; // a frame other than a heartbeat was sent or received

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
    std::string partialFrame; // begin of a frame whose end has not arrived, with its size prefix
    std::string sendQueue; // not yet handed to the kernel
    std::string writeBuffer; // being written
    bool writeScheduled = false;
    bool connected = false;
    bool closed = false;
    TimePoint openedAt;
    TimePoint lastReceived;
    std::optional<TimePoint> unansweredSince; // first frame sent after lastHeard
    std::optional<TimePoint> pingSentAt;
};

//-----------------------------------------------------------------------------
// [SECTION] LinkPool
//-----------------------------------------------------------------------------

// Names one link of a pool.
struct LinkKey {
    UpstreamId upstream;
    TrafficClass trafficClass = TrafficClass::Request; // Request for a link of all classes
    FlowId flow; // zero for a link that flows share

    auto operator<=>(const LinkKey&) const = default;
};

struct LinkPoolHandlers {
    std::function<void(UpstreamId, TrafficClass, Frame)> onFrame;
    std::function<void()> onBatchEnd; // all frames of one read were passed to onFrame; may be empty
    std::function<void(const LinkKey&)> onWritable;
    std::function<void(const LinkKey&)> onReconnected; // frames may have been lost before
    std::function<void(const LinkKey&)> onUnreachable; // a dial failed or a link was lost
};

// The links of an entry, shared as LinkOptions::sharing says. A link is dialled when a frame is sent, dialled again
// with back-off while flows are open on it, and closed when it is idle.
class LinkPool {
public:
    LinkPool(boost::asio::io_context&, LinkOptions, const Clock&, Metrics&, LinkPoolHandlers);
    ~LinkPool();

    void setAddress(UpstreamId, const Endpoint&); // a changed address takes effect with the next dial
    bool hasAddress(UpstreamId) const;

    bool send(UpstreamId, TrafficClass, const Frame&); // false if the frame was dropped
    LinkKey linkKeyFor(UpstreamId, TrafficClass, FlowId) const; // the link that takes these frames
    bool hasRoom(const LinkKey&) const;
    void retain(const LinkKey&); // a flow was bound
    void release(const LinkKey&);

    // Heartbeats, idle links and dials; called about every 10 ms. A link with open flows and no traffic gets a
    // heartbeat as well, because only the agent knows that the bytes of a feed do not arrive. The interval grows with
    // the number of such links so that all heartbeats stay below heartbeatBytesPerSecond. With many links, a call
    // visits only some of them, in turn; ten calls visit all.
    void onTick();
    void closeAll();

    size_t openLinks() const;

private:
    struct LinkState {
        std::shared_ptr<Link> link;
        size_t flows = 0; // open
        bool framesLost = false; // since the last established link
        unsigned failedDials = 0; // consecutive
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
    LinkKey lastTicked {}; // by onTick
    bool closing = false;
};

} // namespace wasabicroft
