// HTTP server for operators: /metrics, /health, /ready and /status, on a thread of its own.
#pragma once

#include "backends/OperatorStatus.h"
#include "backends/Ring.h"
#include "wasabicroft/Config.h"
#include "wasabicroft/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <thread>

namespace wasabicroft {

class HttpServer {
public:
    HttpServer(const Endpoint&, const Metrics&);
    ~HttpServer(); // Calls stop().

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void addEndpoint(const Endpoint&); // Adds an address to listen on; call before start().
    Result<Endpoint> start(); // Returns the bound address, the first one if there are several.
    void stop(); // Returns after the thread has ended.

    // Replaces the status that the endpoints report. May be called by the traffic thread only.
    void publish(OperatorStatusPtr);

private:
    class Connection;

    void accept(boost::asio::ip::tcp::acceptor&);

    std::vector<Endpoint> endpoints;
    const Metrics& metrics;
    size_t connections = 0; // Declared before the context, whose destructor destroys the connections.
    boost::asio::io_context context;
    std::list<boost::asio::ip::tcp::acceptor> acceptors;
    Ring<OperatorStatusPtr> updates;
    OperatorStatusPtr status; // Used by the operator thread only.
    std::thread thread;
};

} // namespace wasabicroft
