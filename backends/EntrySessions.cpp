// Forwarding of session frames between callers and agents, without state of session flows.
#include "backends/EntryState.h"
#include "wasabicroft/Log.h"

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr size_t datagramsPerWakeup = 64; // Bounds the time that a flood of datagrams can delay plain flows.

    bool isFromInitiator(FrameKind kind)
    {
        switch (kind) {
        case FrameKind::Open:
        case FrameKind::Data:
        case FrameKind::Ack:
        case FrameKind::Cancel:
        case FrameKind::Query:
        case FrameKind::Ping:
            return true;
        default:
            return false;
        }
    }

} // namespace

void EntryServer::receiveDatagram(const std::shared_ptr<Listener>& listener)
{
    listener->datagramSocket.async_wait(asio::socket_base::wait_read, [this, listener](error_code error) {
        if (listener->isClosed || this->isStopped)
            return;
        for (size_t i = 0; i < datagramsPerWakeup && !error && !listener->isClosed; ++i) {
            asio::ip::udp::endpoint caller;
            const size_t size = listener->datagramSocket.receive_from(asio::buffer(this->readBuffer), caller, 0, error);
            if (!error)
                this->onDatagram(*listener, fromUdp(caller), { this->readBuffer.data(), size });
        }
        if (!listener->isClosed)
            this->receiveDatagram(listener);
    });
}

void EntryServer::onDatagram(Listener& listener, const Endpoint& caller, std::string_view bytes)
{
    Result<Frame> decoded = decodeFrame(bytes);
    const bool isUsable = decoded && isFromInitiator(decoded.value().kind);
    if (!isUsable) {
        // Not logged, because anyone may send datagrams and could fill the log.
        this->metrics.add("wasabi_invalid_frames_total",
            decoded ? "source=\"datagram\",cause=\"kind\"" : "source=\"datagram\",cause=\"decode\"");
        return;
    }
    Frame& frame = decoded.value();
    if (frame.service != listener.service) {
        this->metrics.add("wasabi_invalid_frames_total", "source=\"datagram\",cause=\"service\"");
        this->sendRefused(listener, caller, frame, Reason::WrongService);
        return;
    }
    this->forwardToOwner(listener, caller, frame);
}

void EntryServer::forwardToOwner(Listener& listener, const Endpoint& caller, Frame& frame)
{
    frame.replyAddress = toString(caller) + ' ' + listener.name;
    frame.trafficClass = listener.trafficClass;
    if (frame.token.owner == placedByEntry && frame.kind == FrameKind::Open && !this->assignOwner(caller, frame)) {
        this->sendRefused(listener, caller, frame, Reason::Overloaded);
        return;
    }
    const auto upstream = this->upstreams.find(frame.token.owner);
    if (upstream == this->upstreams.end() || !upstream->second.services.contains(frame.service)) {
        this->metrics.add("wasabi_invalid_frames_total", "source=\"datagram\",cause=\"owner\"");
        // Not refused: this entry may have an older configuration than the one that placed the flow.
        return;
    }
    // The caller's version is not trusted, because it would let any caller cause reads from the platform.
    frame.configVersion = this->store.version().version;
    this->metrics.add("wasabi_session_frames_total", "direction=\"to-owner\"");
    this->links.send(frame.token.owner, frame.trafficClass, frame);
}

bool EntryServer::assignOwner(const Endpoint& caller, Frame& frame)
{
    const std::vector<UpstreamId> candidates = this->placement.candidates(frame.service);
    if (candidates.empty())
        return false;
    frame.token.owner = candidates.front();
    logEvent(Event::SessionFlowPlaced,
        { { "flow", frame.flow }, { "service", frame.service }, { "request-id", frame.key },
            { "caller", toString(caller) }, { "candidates", this->upstreamName(candidates.front()) },
            { "choice", this->upstreamName(candidates.front()) }, { "reason", "first candidate of placement" } });
    return true;
}

void EntryServer::sendRefused(Listener& listener, const Endpoint& caller, const Frame& frame, Reason reason)
{
    if (frame.kind != FrameKind::Open)
        return; // Only an Open is refused, because nothing of it can have run.
    Frame reply;
    reply.kind = FrameKind::Refused;
    reply.flow = frame.flow;
    reply.service = frame.service;
    reply.token = frame.token;
    reply.reason = reason;
    reply.configVersion = this->store.version().version;
    this->sendDatagram(listener, caller, reply);
}

void EntryServer::forwardToCaller(UpstreamId from, Frame& frame)
{
    const size_t separator = std::min(frame.replyAddress.find(' '), frame.replyAddress.size());
    const Result<Endpoint> caller = parseEndpoint(std::string_view(frame.replyAddress).substr(0, separator));
    const std::string listenerName
        = separator < frame.replyAddress.size() ? frame.replyAddress.substr(separator + 1) : std::string();
    const auto upstream = this->upstreams.find(from);
    const bool isMember = upstream != this->upstreams.end() && upstream->second.services.contains(frame.service);
    // Replies are sent from the address that the caller sent to. The listener's name identifies it. The class is only a
    // fallback: several listeners may have the same class, and a configuration change may have changed it since.
    std::shared_ptr<Listener> listener;
    if (const auto found = this->listenersByService.find(frame.service); found != this->listenersByService.end()) {
        for (const std::shared_ptr<Listener>& candidate : found->second) {
            if (listener && listener->name == listenerName)
                break;
            if (!listener || candidate->name == listenerName || candidate->trafficClass == frame.trafficClass)
                listener = candidate;
        }
    }
    if (!caller || caller.value().port == 0 || !isMember || !listener) {
        this->metrics.add("wasabi_invalid_frames_total", "source=\"link\",cause=\"reply-address\"");
        return;
    }
    if (frame.kind == FrameKind::Opened || frame.kind == FrameKind::Pass || frame.kind == FrameKind::Refused) {
        logEvent(Event::SessionFlowReply,
            { { "flow", frame.flow }, { "service", listener->serviceName }, { "caller", frame.replyAddress },
                { "upstream", this->upstreamName(from) }, { "reply", nameOf(frame.kind) },
                { "reason", nameOf(frame.reason) }, { "reservation", frame.token.reservation } });
    }
    frame.replyAddress.clear();
    this->metrics.add("wasabi_session_frames_total", "direction=\"to-caller\"");
    this->sendDatagram(*listener, caller.value(), frame);
}

void EntryServer::sendDatagram(Listener& listener, const Endpoint& caller, const Frame& frame)
{
    const std::string bytes = encodeFrame(frame);
    error_code error;
    listener.datagramSocket.send_to(asio::buffer(bytes), toUdp(caller), 0, error);
    if (error)
        this->metrics.add("wasabi_frames_dropped_total", "cause=\"datagram-send\"");
}

} // namespace wasabicroft
