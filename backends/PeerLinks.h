// Links between the control threads of processes, for Announce, Fetch and Value frames.
#pragma once

#include "backends/Link.h"
#include "wasabicroft/Propagation.h"

#include <deque>

namespace wasabicroft {

struct PeerLinksHandlers {
    std::function<void(const PeerRoute&, const Frame&)> onFrame;
    std::function<void(const PeerRoute&)> onUnreachable; // A connection attempt failed or the link was lost.
};

// Connects to peers on demand and closes idle links. Not thread-safe: all methods run on the thread of the io_context.
class PeerLinks {
public:
    using Reply = std::function<void(const Frame&)>;

    PeerLinks(boost::asio::io_context&, LinkOptions, const Clock&, Metrics&, PeerLinksHandlers);
    ~PeerLinks();

    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    Result<Endpoint> listen(const Endpoint&); // Accepts links from peers; returns the bound address.
    void send(const PeerFrame&);
    // Registers a link that another thread owns, by its id there. Frames sent to the returned route go to the reply
    // function.
    PeerRoute registerExternalLink(uint64_t link, Reply);
    void onTick(); // Closes idle links and links that did not connect in time; called about every 50 ms.
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
    std::deque<ExternalLink> externalLinks; // Oldest first.
    uint64_t lastLinkId = 0;
    bool isClosing = false;
};

} // namespace wasabicroft
