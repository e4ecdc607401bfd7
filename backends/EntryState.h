// Listeners and plain flows of EntryServer; only for EntryServer.cpp and EntrySessions.cpp.
#pragma once

#include "backends/EntryServer.h"

namespace wasabicroft {

// Metrics label of a service.
inline std::string serviceLabel(const std::string& service) { return "service=\"" + service + "\""; }

struct EntryServer::Listener {
    Listener(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor boundAcceptor)
        : acceptor(std::move(boundAcceptor))
        , datagramSocket(context)
    {
    }

    std::string key; // "service/listener"
    std::string name;
    std::string serviceName;
    ServiceId service;
    TrafficClass trafficClass = TrafficClass::Request;
    Endpoint configured;
    Endpoint bound;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::udp::socket datagramSocket;
    bool isClosed = false;
};

struct EntryServer::PlainFlow {
    PlainFlow(boost::asio::ip::tcp::socket connection, FlowId id, InitiatorOptions options, const Clock& clock)
        : socket(std::move(connection))
        , initiator(id, std::move(options), clock)
        , started(clock.now())
    {
    }

    boost::asio::ip::tcp::socket socket;
    FlowInitiator initiator;
    TimePoint started;
    std::string caller;
    std::string listener;
    std::string serviceName;
    std::vector<UpstreamId> candidates;
    std::vector<LinkKey> linkKeys; // Links on which frames of this flow were sent.
    std::vector<std::string> queuedForCaller; // Bytes for the caller that are not being written yet.
    std::vector<std::string> writingToCaller;
    bool isReading = false;
    bool callerFinished = false;
    bool upstreamFinished = false;
    bool finSent = false;
    bool isPlacementLogged = false;
    std::optional<UpstreamId> countedOwner; // Owner for which Placement::onFlowStarted was called.
    bool isClosed = false;
    std::optional<FlowEnded> end;
    std::optional<TimePoint> discardUntil; // Set once the refusal was sent: time limit for the caller to close.
    std::optional<TimePoint> timerDue; // Time of this flow's earliest entry in EntryServer::timers.
    std::vector<UpstreamId> contactedUpstreams; // Upstreams that an Open was sent to, in order.
};

} // namespace wasabicroft
