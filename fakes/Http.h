// Minimal HTTP/1.1 server and client on Boost.Beast, for the admin ports of the test doubles, for tests and for tools.
#pragma once

#include "wasabicroft/Config.h"
#include "wasabicroft/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wasabicroft::fakes {

struct HttpRequest {
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::string body;

    // Return the value of a query parameter, or the default if it is absent (queryNumber: or not a number).
    double queryNumber(const std::string& name, double defaultValue) const;
    std::string queryText(const std::string& name, const std::string& defaultValue = "") const;
};

struct HttpReply {
    unsigned status = 200;
    std::string body;
    std::map<std::string, std::string> headers; // names are in lower case in replies of httpCall()
};

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

// Parses "/path?name=value&...". Doesn't decode percent-encoding, since the test doubles use only plain names and
// numbers.
HttpRequest parseTarget(std::string method, std::string_view target);

boost::asio::ip::tcp::endpoint tcpEndpointOf(const Endpoint&);
Endpoint endpointOf(const boost::asio::ip::tcp::endpoint&);

// HTTP server that calls the handler on the thread that runs the io_context. Port 0 selects a free port.
class HttpService {
public:
    HttpService(boost::asio::io_context&, const Endpoint& listen, HttpHandler);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    Endpoint endpoint() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

// Sends one request on a new connection and blocks until the complete reply or the timeout.
Result<HttpReply> httpCall(const Endpoint&, const std::string& method, const std::string& target, Milliseconds timeout,
    const std::map<std::string, std::string>& headers = {}, const std::string& body = "");

} // namespace wasabicroft::fakes
