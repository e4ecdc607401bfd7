#include "backends/Link.h"

#include "wasabicroft/Log.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // Bytes of a Ping and its Pong on the wire, including the packet headers of both directions.
    constexpr size_t heartbeatExchangeBytes = 320;
    // LinkPool::onTick handles all links within ten ticks (0.5 s) and, up to this number of links, within one. Handling
    // 5,900 links in every tick takes 6% of a core. An unresponsive link is still detected and reconnected within
    // 4.5 s: 1 s without traffic, 2 s for the Pong and three scans of 0.5 s.
    constexpr size_t minLinksPerTick = 256;
    constexpr size_t ticksPerScan = 10;

    constexpr size_t readBufferBytes = 256 * 1024;
    // Frames from this size on are written together, with one system call per event.
    constexpr size_t largePayloadBytes = 4 * 1024;

    // One buffer for all links of a thread, because reads never overlap. An idle link needs no memory for reads.
    std::vector<char>& readBuffer()
    {
        thread_local std::vector<char> buffer(readBufferBytes);
        return buffer;
    }

    // Decodes a complete size prefix: little-endian, the size of the body in bytes.
    size_t bodyBytes(std::string_view prefix)
    {
        size_t size = 0;
        for (size_t i = 0; i < framePrefixBytes; ++i)
            size |= static_cast<size_t>(static_cast<unsigned char>(prefix[i])) << (8 * i);
        return size;
    }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Socket helpers
//-----------------------------------------------------------------------------

asio::ip::tcp::endpoint toTcp(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

asio::ip::udp::endpoint toUdp(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

Endpoint fromTcp(const asio::ip::tcp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

Endpoint fromUdp(const asio::ip::udp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

void setConnectionOptions(asio::ip::tcp::socket& socket, Milliseconds userTimeout)
{
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using NotSentLowWater = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    constexpr int keepAliveSeconds = 10;
    // The kernel reports a socket as writable only below this many unsent bytes. Without the limit a slow reader lets
    // several megabytes accumulate in the kernel, and later writes wait behind them.
    constexpr int unsentBytes = 128 * 1024;
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(keepAliveSeconds), ignored);
    socket.set_option(KeepInterval(keepAliveSeconds), ignored);
    socket.set_option(UserTimeout(static_cast<int>(userTimeout.count())), ignored);
    socket.set_option(NotSentLowWater(unsentBytes), ignored);
}

void resetConnection(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

Result<asio::ip::tcp::acceptor> openListener(asio::io_context& context, const Endpoint& endpoint)
{
    asio::ip::tcp::acceptor acceptor(context);
    const asio::ip::tcp::endpoint address = toTcp(endpoint);
    error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return Error { ErrorKind::SystemCall,
            "cannot listen on " + toString(endpoint) + ": " + error.message()
                + "; choose an address of this instance and a free port" };
    }
    return acceptor;
}

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

std::string_view nameOf(LinkSharing sharing) { return linkSharingNames.at(static_cast<size_t>(sharing)); }

Link::Link(asio::ip::tcp::socket connection, LinkOptions initialOptions, const Clock& timeSource, Metrics& counters,
    LinkHandlers callbacks)
    : lastUsed(timeSource.now())
    , socket(std::move(connection))
    , options(initialOptions)
    , clock(timeSource)
    , metrics(counters)
    , handlers(std::move(callbacks))
    , openedAt(timeSource.now())
    , lastReceived(timeSource.now())
{
}

void Link::start()
{
    this->connected = true;
    this->lastReceived = this->clock.now();
    setConnectionOptions(this->socket, this->options.userTimeout);
    error_code ignored;
    this->socket.non_blocking(true, ignored);
    this->waitReadable();
    this->write();
}

void Link::connect(const Endpoint& endpoint, std::function<void()> onConnected)
{
    this->socket.async_connect(
        toTcp(endpoint), [self = this->shared_from_this(), onConnected = std::move(onConnected)](error_code error) {
            if (self->closed)
                return;
            if (error) {
                self->close("connect: " + error.message());
                return;
            }
            self->start();
            onConnected();
        });
}

bool Link::send(const Frame& frame)
{
    if (this->closed)
        return false;
    if (this->sendQueue.size() + this->writeBuffer.size() > this->options.maxQueueBytes) {
        this->metrics.add("wasabi_frames_dropped_total", "cause=\"queue-full\"");
        this->close("the peer does not read: the send queue is full");
        return false;
    }
    appendPrefixedFrame(frame, this->sendQueue);
    const TimePoint now = this->clock.now();
    if (!this->unansweredSince)
        this->unansweredSince = now;
    if (frame.kind != FrameKind::Ping && frame.kind != FrameKind::Pong)
        this->lastUsed = now;
    // Small frames are written at once, so that a reply does not wait for the log line of its event.
    if (frame.payload.size() < largePayloadBytes)
        this->write();
    else
        this->scheduleWrite();
    return !this->closed;
}

bool Link::hasRoom() const { return this->sendQueue.size() + this->writeBuffer.size() <= this->options.highWaterBytes; }

bool Link::isOpen() const { return !this->closed; }

void Link::close(const std::string& cause)
{
    if (this->closed)
        return;
    this->closed = true;
    error_code ignored;
    this->socket.close(ignored);
    // The handler is posted, so that send() never calls back into code that is changing its own state.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(), cause] {
        if (self->handlers.onClosed)
            self->handlers.onClosed(*self, cause);
        self->handlers = {};
    });
}

// Combines the large frames of one event into one system call.
void Link::scheduleWrite()
{
    if (!this->connected || std::exchange(this->writeScheduled, true))
        return;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->writeScheduled = false;
        self->write();
    });
}

void Link::write()
{
    if (!this->connected || this->closed || !this->writeBuffer.empty() || this->sendQueue.empty())
        return;
    std::swap(this->writeBuffer, this->sendQueue);
    asio::async_write(
        this->socket, asio::buffer(this->writeBuffer), [self = this->shared_from_this()](error_code error, size_t) {
            const bool wasFull = !self->hasRoom();
            self->writeBuffer.clear();
            if (self->closed)
                return;
            if (error) {
                self->close("write: " + error.message());
                return;
            }
            self->write();
            if (wasFull && self->hasRoom() && self->handlers.onWritable)
                self->handlers.onWritable(*self);
        });
}

void Link::waitReadable()
{
    this->socket.async_wait(asio::socket_base::wait_read, [self = this->shared_from_this()](error_code error) {
        if (self->closed)
            return;
        if (error)
            self->close("read: " + error.message());
        else
            self->onReadable();
    });
}

void Link::onReadable()
{
    error_code error;
    std::vector<char>& buffer = readBuffer();
    const size_t size = this->socket.read_some(asio::buffer(buffer), error);
    if (size > 0) {
        this->lastReceived = this->clock.now();
        this->parseFrames({ buffer.data(), size });
        if (this->handlers.onBatchEnd)
            this->handlers.onBatchEnd(*this);
    } else if (error != asio::error::would_block && error != asio::error::try_again) {
        this->close("read: " + error.message());
    }
    if (!this->closed)
        this->waitReadable();
}

void Link::parseFrames(std::string_view bytes)
{
    while (!this->closed && !bytes.empty()) {
        if (this->partialFrame.empty() && bytes.size() >= framePrefixBytes) {
            const size_t size = bodyBytes(bytes);
            if (!this->checkFrameSize(size))
                return;
            if (bytes.size() >= framePrefixBytes + size) {
                this->onFrameBody(bytes.substr(framePrefixBytes, size));
                bytes.remove_prefix(framePrefixBytes + size);
                continue;
            }
        }
        const bool hasPrefix = this->partialFrame.size() >= framePrefixBytes;
        const size_t bytesNeeded = framePrefixBytes + (hasPrefix ? bodyBytes(this->partialFrame) : 0);
        const size_t bytesTaken = std::min(bytesNeeded - this->partialFrame.size(), bytes.size());
        this->partialFrame.append(bytes.substr(0, bytesTaken));
        bytes.remove_prefix(bytesTaken);
        if (this->partialFrame.size() < framePrefixBytes)
            continue;
        const size_t size = bodyBytes(this->partialFrame);
        if (!this->checkFrameSize(size))
            return;
        if (this->partialFrame.size() < framePrefixBytes + size)
            continue;
        const std::string frame = std::exchange(this->partialFrame, {});
        this->onFrameBody(std::string_view(frame).substr(framePrefixBytes));
    }
}

// Closes the link if the size is over the limit, because the start of the next frame can't be found then.
bool Link::checkFrameSize(size_t frameBytes)
{
    if (frameBytes <= maxFrameBytes)
        return true;
    this->metrics.add("wasabi_invalid_frames_total", "source=\"link\",cause=\"size-prefix\"");
    logEvent(Event::InvalidFrame,
        { { "source", "link" }, { "cause", "size prefix over the limit" }, { "size-bytes", frameBytes } });
    this->close("size prefix over the limit");
    return false;
}

void Link::onFrameBody(std::string_view body)
{
    this->unansweredSince.reset();
    this->pingSentAt.reset();
    Result<Frame> decoded = decodeFrame(body);
    if (decoded) {
        this->handleFrame(std::move(decoded.value()));
        return;
    }
    this->metrics.add("wasabi_invalid_frames_total", "source=\"link\",cause=\"decode\"");
    logEvent(Event::InvalidFrame, { { "source", "link" }, { "cause", decoded.error().message } });
}

void Link::handleFrame(Frame frame)
{
    const bool isHeartbeat = frame.flow == FlowId();
    if (isHeartbeat && frame.kind == FrameKind::Ping) {
        frame.kind = FrameKind::Pong;
        this->send(frame);
        this->unansweredSince.reset(); // A Pong is not answered.
        return;
    }
    if (isHeartbeat && frame.kind == FrameKind::Pong)
        return;
    this->lastUsed = this->clock.now();
    if (this->handlers.onFrame)
        this->handlers.onFrame(*this, std::move(frame));
}

void Link::onTick(bool expectsTraffic, Milliseconds silenceLimit)
{
    if (this->closed)
        return;
    const TimePoint now = this->clock.now();
    if (!this->connected) {
        if (now - this->openedAt > this->options.connectTimeout)
            this->close("connect: no answer in time");
        return;
    }
    if (this->pingSentAt) {
        if (now - *this->pingSentAt > this->options.heartbeatTimeout)
            this->close("no answer to a heartbeat");
        return;
    }
    const TimePoint since = this->unansweredSince.value_or(this->lastReceived);
    const bool isOutstanding = this->unansweredSince || expectsTraffic;
    const Milliseconds limit = this->unansweredSince ? this->options.heartbeatInterval : silenceLimit;
    if (isOutstanding && now - since > limit) {
        this->pingSentAt = now;
        this->send(Frame());
    }
}

//-----------------------------------------------------------------------------
// [SECTION] LinkPool
//-----------------------------------------------------------------------------

LinkPool::LinkPool(asio::io_context& ioContext, LinkOptions initialOptions, const Clock& timeSource, Metrics& counters,
    LinkPoolHandlers callbacks)
    : context(ioContext)
    , options(initialOptions)
    , clock(timeSource)
    , metrics(counters)
    , handlers(std::move(callbacks))
{
}

LinkPool::~LinkPool() { this->closeAll(); }

void LinkPool::setAddress(UpstreamId upstream, const Endpoint& endpoint) { this->addresses[upstream] = endpoint; }

bool LinkPool::hasAddress(UpstreamId upstream) const { return this->addresses.contains(upstream); }

Milliseconds LinkPool::backoff(unsigned failedDials) const
{
    const Milliseconds delay
        = std::min(this->options.maxBackoff, this->options.minBackoff * (1 << std::min(failedDials, 10U)));
    // Half of the delay is random, so that entries do not reconnect to a restarted agent all at once.
    const uint64_t jitter = randomFlowId().low % static_cast<uint64_t>(delay.count() / 2 + 1);
    return delay / 2 + Milliseconds(jitter);
}

LinkKey LinkPool::linkKeyFor(UpstreamId upstream, TrafficClass trafficClass, FlowId flow) const
{
    if (this->options.sharing == LinkSharing::AllClasses)
        return { upstream, TrafficClass::Request, {} };
    return { upstream, trafficClass, this->options.sharing == LinkSharing::PerFlow ? flow : FlowId() };
}

void LinkPool::dial(const LinkKey& linkKey, LinkState& state)
{
    LinkHandlers linkHandlers;
    linkHandlers.onFrame = [this, linkKey](Link&, Frame frame) {
        const TrafficClass trafficClass
            = this->options.sharing == LinkSharing::AllClasses ? frame.trafficClass : linkKey.trafficClass;
        this->handlers.onFrame(linkKey.upstream, trafficClass, std::move(frame));
    };
    if (this->handlers.onBatchEnd)
        linkHandlers.onBatchEnd = [this](Link&) { this->handlers.onBatchEnd(); };
    linkHandlers.onWritable = [this, linkKey](Link&) { this->handlers.onWritable(linkKey); };
    linkHandlers.onClosed = [this, linkKey](Link& link, const std::string& cause) {
        const auto found = this->linkStates.find(linkKey);
        if (found != this->linkStates.end() && found->second.link.get() == &link)
            this->onLinkClosed(linkKey, cause);
    };
    state.link = std::make_shared<Link>(
        asio::ip::tcp::socket(this->context), this->options, this->clock, this->metrics, std::move(linkHandlers));
    state.link->connect(this->addresses.at(linkKey.upstream), [this, linkKey] {
        LinkState& connectedState = this->linkStates[linkKey];
        if (std::exchange(connectedState.failedDials, 0U) > 0)
            logEvent(
                Event::LinkRestored, { { "upstream", linkKey.upstream }, { "class", nameOf(linkKey.trafficClass) } });
        this->metrics.add("wasabi_links_established_total");
        if (std::exchange(connectedState.framesLost, false))
            this->handlers.onReconnected(linkKey);
    });
}

void LinkPool::onLinkClosed(const LinkKey& linkKey, const std::string& cause)
{
    LinkState& state = this->linkStates[linkKey];
    state.link.reset();
    if (this->closing)
        return;
    state.framesLost = true;
    state.nextDial = this->clock.now() + this->backoff(state.failedDials);
    this->metrics.add("wasabi_links_lost_total");
    if (state.failedDials++ == 0) { // Logged once until the link is up again.
        logEvent(Event::LinkLost,
            { { "upstream", linkKey.upstream }, { "class", nameOf(linkKey.trafficClass) }, { "cause", cause },
                { "open-flows", static_cast<uint64_t>(state.flows) } });
    }
    this->handlers.onUnreachable(linkKey);
}

bool LinkPool::send(UpstreamId upstream, TrafficClass trafficClass, const Frame& frame)
{
    if (!this->hasAddress(upstream)) {
        this->metrics.add("wasabi_frames_dropped_total", "cause=\"unknown-upstream\"");
        return false;
    }
    const LinkKey linkKey = this->linkKeyFor(upstream, trafficClass, frame.flow);
    LinkState& state = this->linkStates[linkKey];
    if (!state.link && this->clock.now() >= state.nextDial)
        this->dial(linkKey, state);
    if (state.link && state.link->send(frame))
        return true;
    state.framesLost = true;
    this->metrics.add("wasabi_frames_dropped_total", "cause=\"no-link\"");
    return false;
}

bool LinkPool::hasRoom(const LinkKey& linkKey) const
{
    const auto found = this->linkStates.find(linkKey);
    return found == this->linkStates.end() || !found->second.link || found->second.link->hasRoom();
}

void LinkPool::retain(const LinkKey& linkKey)
{
    if (this->linkStates[linkKey].flows++ == 0)
        ++this->linksWithFlows;
}

void LinkPool::release(const LinkKey& linkKey)
{
    LinkState& state = this->linkStates[linkKey];
    if (state.flows > 0 && --state.flows == 0)
        --this->linksWithFlows;
}

Milliseconds LinkPool::heartbeatInterval() const
{
    const size_t bytes = this->linksWithFlows * heartbeatExchangeBytes;
    return std::max(this->options.heartbeatInterval,
        Milliseconds(bytes * 1000 / std::max<size_t>(1, this->options.heartbeatBytesPerSecond)));
}

void LinkPool::onTick()
{
    const TimePoint now = this->clock.now();
    const Milliseconds silenceLimit = this->heartbeatInterval();
    const size_t linksPerTick = std::max(minLinksPerTick, (this->linkStates.size() + ticksPerScan - 1) / ticksPerScan);
    const size_t linksToCheck = std::min(this->linkStates.size(), linksPerTick);
    auto position = this->linkStates.upper_bound(this->lastTicked);
    for (size_t i = 0; i < linksToCheck; ++i) {
        if (position == this->linkStates.end())
            position = this->linkStates.begin();
        const auto item = position++;
        auto& [linkKey, state] = *item;
        this->lastTicked = linkKey;
        if (!state.link) {
            if (state.flows > 0 && now >= state.nextDial)
                this->dial(linkKey, state);
            else if (state.flows == 0 && linkKey.flow != FlowId())
                this->linkStates.erase(item); // The link's only flow has ended.
            continue;
        }
        // No other flow can use a link of one flow, so it is closed as soon as its last frames had time for a round
        // trip.
        const Milliseconds idleTimeout
            = linkKey.flow == FlowId() ? this->options.idleTimeout : this->options.heartbeatInterval;
        state.link->onTick(state.flows > 0, silenceLimit);
        if (state.flows == 0 && now - state.link->lastUsed > idleTimeout) {
            const std::shared_ptr<Link> idle = std::exchange(state.link, nullptr);
            idle->close("idle");
        }
    }
}

void LinkPool::closeAll()
{
    this->closing = true;
    for (auto& [key, state] : this->linkStates) {
        if (state.link)
            std::exchange(state.link, nullptr)->close("stopping");
    }
}

size_t LinkPool::openLinks() const
{
    return static_cast<size_t>(std::count_if(
        this->linkStates.begin(), this->linkStates.end(), [](const auto& item) { return item.second.link; }));
}

} // namespace wasabicroft
