// State of an entry's listeners and plain flows; shared by EntryServer.cpp and EntrySessions.cpp only.
#pragma once

#include "backends/EntryServer.h"

namespace wasabicroft {

// Label of metrics of a service.
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
    std::vector<LinkKey> linkKeys; // links on which frames of this flow were sent
    std::vector<std::string> queuedForCaller; // for the caller, not yet being written
    std::vector<std::string> writingToCaller;
    bool isReading = false;
    bool callerFinished = false;
    bool upstreamFinished = false;
    bool finSent = false;
    bool isPlacementLogged = false; // the placement line was written
    std::optional<UpstreamId> countedOwner; // Placement::onFlowStarted was called for this owner
    bool isClosed = false;
    std::optional<FlowEnded> end;
    std::optional<TimePoint> discardUntil; // the refusal was sent; waiting for the caller to close
    std::optional<TimePoint> timerDue; // entry in the timer queue
    std::vector<UpstreamId> contactedUpstreams; // an Open was sent, in order
};

} // namespace wasabicroft
