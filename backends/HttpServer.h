// Operator endpoints over HTTP: /metrics, /health, /ready and /status, on a thread of their own.
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
    ~HttpServer(); // stops

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void addEndpoint(const Endpoint&); // before start
    Result<Endpoint> start(); // the address in use; the first one if there are several
    void stop(); // returns after the thread has ended

    // Replaces the status that the endpoints report. Called by the traffic thread only.
    void publish(OperatorStatusPtr);

private:
    class Connection;

    void accept(boost::asio::ip::tcp::acceptor&);

    std::vector<Endpoint> endpoints;
    const Metrics& metrics;
    size_t connections = 0; // outlives the context, whose destructor ends them
    boost::asio::io_context context;
    std::list<boost::asio::ip::tcp::acceptor> acceptors;
    Ring<OperatorStatusPtr> updates;
    OperatorStatusPtr status; // of the operator thread
    std::thread thread;
};

} // namespace wasabicroft
