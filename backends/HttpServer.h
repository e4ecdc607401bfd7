// HTTP server for operators: /metrics, /health, /ready and /status, on a thread of its own. Questions about the state
// of the traffic thread are answered by that thread.
#pragma once

#include "backends/OperatorStatus.h"
#include "backends/Ring.h"
#include "wasabicroft/Config.h"
#include "wasabicroft/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <thread>

namespace wasabicroft {

class HttpServer {
public:
    HttpServer(const Endpoint&, const Metrics&);
    ~HttpServer(); // Calls stop().

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void addEndpoint(const Endpoint&); // Adds an address to listen on; call before start().

    // Answers requests for this path, with any query, by a handler that runs on the thread of the given context, which
    // has to be the one that calls publish(). Call before start().
    void setQuestionHandler(std::string path, boost::asio::io_context& traffic, OperatorQuestionHandler);

    Result<Endpoint> start(); // Returns the bound address, the first one if there are several.
    void stop(); // Returns after the thread has ended.

    // Replaces the status that the endpoints report. May be called by the traffic thread only.
    void publish(OperatorStatusPtr);

private:
    class Connection;

    struct Question {
        uint64_t number = 0;
        std::string target;
    };

    struct Answer {
        uint64_t number = 0; // Of the question.
        OperatorAnswer answer;
    };

    bool isQuestion(std::string_view target) const;
    void ask(const std::shared_ptr<Connection>&, const std::string& target);
    void onAnswer(Answer&);
    void accept(boost::asio::ip::tcp::acceptor&);

    std::vector<Endpoint> endpoints;
    const Metrics& metrics;
    size_t connections = 0; // Declared before the context, whose destructor destroys the connections.
    boost::asio::io_context context;
    std::list<boost::asio::ip::tcp::acceptor> acceptors;
    Ring<OperatorStatusPtr> updates;
    OperatorStatusPtr status; // Used by the operator thread only.
    std::string questionPath; // Empty: there is no handler.
    std::unique_ptr<Ring<Question>> questions; // To the traffic thread.
    Ring<Answer> answers; // From the traffic thread.
    uint64_t lastQuestion = 0; // Number of the question.
    std::map<uint64_t, std::shared_ptr<Connection>> asking; // By number of the question; operator thread only.
    std::thread thread;
};

} // namespace wasabicroft
