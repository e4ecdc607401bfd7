#include "backends/PeerLinks.h"

#include <algorithm>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr size_t maxLinks = 1024;
    // Above this number the oldest external link is dropped. Its fetch has ended long before so many others begin.
    constexpr size_t maxExternalLinks = 256;
    // Set in the ids of external links; own links are numbered from 1.
    constexpr uint64_t externalLinkBit = uint64_t(1) << 63;
    constexpr Milliseconds idleTimeout { 5000 };
    const std::string idleCause = "idle";

    // Disables heartbeats in effect: a peer answers only Fetch frames, and the timeout of the fetch detects a missing
    // answer.
    LinkOptions peerLinkOptions(LinkOptions options)
    {
        options.idleTimeout = std::min(options.idleTimeout, idleTimeout);
        options.heartbeatInterval = 10 * options.idleTimeout;
        return options;
    }

} // namespace

PeerLinks::PeerLinks(asio::io_context& ioContext, LinkOptions linkOptions, const Clock& timeSource, Metrics& counters,
    PeerLinksHandlers callbacks)
    : context(ioContext)
    , options(peerLinkOptions(linkOptions))
    , clock(timeSource)
    , metrics(counters)
    , handlers(std::move(callbacks))
    , acceptor(ioContext)
{
}

PeerLinks::~PeerLinks() { this->closeAll(); }

Result<Endpoint> PeerLinks::listen(const Endpoint& endpoint)
{
    Result<asio::ip::tcp::acceptor> listener = openListener(this->context, endpoint);
    if (!listener)
        return listener.error();
    this->acceptor = std::move(listener.value());
    this->accept();
    return fromTcp(this->acceptor.local_endpoint());
}

void PeerLinks::accept()
{
    this->acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || this->isClosing)
            return;
        if (error || this->links.size() >= maxLinks) {
            this->metrics.add("wasabi_accept_failures_total", "listener=\"peer\"");
        } else {
            const PeerRoute route { {}, ++this->lastLinkId };
            const std::shared_ptr<Link> link = this->makeLink(std::move(socket), route);
            this->links[route] = link;
            link->start();
        }
        this->accept();
    });
}

std::shared_ptr<Link> PeerLinks::makeLink(asio::ip::tcp::socket socket, const PeerRoute& route)
{
    LinkHandlers linkHandlers;
    linkHandlers.onFrame = [this, route](Link&, const Frame& frame) {
        this->metrics.add("wasabi_peer_frames_total", "direction=\"received\"");
        this->handlers.onFrame(route, frame);
    };
    linkHandlers.onClosed = [this, route](Link& link, const std::string& cause) { this->onClosed(route, link, cause); };
    return std::make_shared<Link>(
        std::move(socket), this->options, this->clock, this->metrics, std::move(linkHandlers));
}

void PeerLinks::dial(const Endpoint& endpoint)
{
    const PeerRoute route { endpoint, 0 };
    const std::shared_ptr<Link> link = this->makeLink(asio::ip::tcp::socket(this->context), route);
    this->links[route] = link;
    this->metrics.add("wasabi_peer_dials_total");
    link->connect(endpoint, [] {});
}

void PeerLinks::send(const PeerFrame& peerFrame)
{
    const PeerRoute& route = peerFrame.route;
    this->metrics.add("wasabi_peer_frames_total", "direction=\"sent\"");
    const auto external = std::find_if(this->externalLinks.begin(), this->externalLinks.end(),
        [&](const ExternalLink& link) { return link.number == route.link; });
    if (route.link != 0 && external != this->externalLinks.end()) {
        external->reply(peerFrame.frame);
        return;
    }
    if (route.link == 0 && !this->links.contains(route) && this->links.size() < maxLinks)
        this->dial(route.endpoint);
    const auto found = this->links.find(route);
    if (found == this->links.end() || !found->second->send(peerFrame.frame))
        this->metrics.add("wasabi_frames_dropped_total", "cause=\"no-peer-link\"");
}

PeerRoute PeerLinks::registerExternalLink(uint64_t link, Reply reply)
{
    const uint64_t number = link | externalLinkBit;
    std::erase_if(this->externalLinks, [&](const ExternalLink& known) { return known.number == number; });
    if (this->externalLinks.size() >= maxExternalLinks)
        this->externalLinks.pop_front();
    this->externalLinks.push_back({ number, std::move(reply) });
    return { {}, number };
}

void PeerLinks::onClosed(const PeerRoute& route, const Link& link, const std::string& cause)
{
    const auto found = this->links.find(route);
    if (found == this->links.end() || found->second.get() != &link)
        return;
    this->links.erase(found);
    if (cause != idleCause && !this->isClosing)
        this->handlers.onUnreachable(route);
}

void PeerLinks::onTick()
{
    const TimePoint now = this->clock.now();
    for (const auto& [route, link] : this->links) {
        if (link->isOpen() && now - link->lastUsed > this->options.idleTimeout)
            link->close(idleCause);
        else
            link->onTick(false, this->options.heartbeatInterval);
    }
}

void PeerLinks::closeAll()
{
    this->isClosing = true;
    error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& [route, link] : this->links)
        link->close("stopping");
    this->links.clear();
    this->externalLinks.clear();
}

} // namespace wasabicroft
