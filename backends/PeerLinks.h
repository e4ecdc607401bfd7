// Links that carry Announce, Fetch and Value frames between the control threads of processes.
#pragma once

#include "backends/Link.h"
#include "wasabicroft/Propagation.h"

#include <deque>

namespace wasabicroft {

struct PeerLinksHandlers {
    std::function<void(const PeerRoute&, const Frame&)> onFrame;
    std::function<void(const PeerRoute&)> onUnreachable; // a dial failed or the link was lost
};

// Dials peers on demand and closes links that are idle. All methods belong to the thread that runs the io_context.
class PeerLinks {
public:
    using Reply = std::function<void(const Frame&)>;

    PeerLinks(boost::asio::io_context&, LinkOptions, const Clock&, Metrics&, PeerLinksHandlers);
    ~PeerLinks();

    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    Result<Endpoint> listen(const Endpoint&); // accepts links of peers; returns the address in use
    void send(const PeerFrame&);
    PeerRoute registerExternalLink(
        uint64_t link, Reply); // of a peer whose link belongs to another thread, by its number there
    void onTick(); // idle links and dials; called about every 50 ms
    void closeAll();

private:
    struct ExternalLink {
        uint64_t number = 0;
        Reply reply;
    };

    void accept();
    std::shared_ptr<Link> makeLink(boost::asio::ip::tcp::socket, const PeerRoute&);
    void dial(const Endpoint&);
    void onClosed(const PeerRoute&, const Link&, const std::string& cause);

    boost::asio::io_context& context;
    LinkOptions options;
    const Clock& clock;
    Metrics& metrics;
    PeerLinksHandlers handlers;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<PeerRoute, std::shared_ptr<Link>> links;
    std::deque<ExternalLink> externalLinks; // oldest first
    uint64_t lastLinkId = 0;
    bool isClosing = false;
};

} // namespace wasabicroft
