// HTTP/1.1 client for reads from the platform and from peers: one call at a time on a keep-alive connection.
#pragma once

#include "wasabicroft/Config.h"
#include "wasabicroft/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace wasabicroft {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpResult = Result<HttpResponse>;

struct HttpTimeouts {
    Milliseconds header { 0 }; // Of the connection attempt, and of the time from the request to the response's header.
    Milliseconds pause { 0 }; // The longest time without further bytes of the body.
};

class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
    using Callback = std::function<void(HttpResult)>;

    explicit HttpClient(boost::asio::io_context&);

    void start(const Endpoint& server, const std::string& target, HttpTimeouts, Callback); // Sends a GET request.

    // Closes the connection. The callback of a call in flight is not called, and the client can't be used again.
    void close();

    bool isBusy() const { return this->callback != nullptr; }

    // Called when the header of a response has arrived, with the size of the body if it is stated. May be empty.
    std::function<void(std::optional<uint64_t> bodyBytes)> onHeader;

private:
    bool hasUnrequestedBytes();
    void connect();
    void write();
    void readHeader();
    void readBody();
    void disconnect();
    void fail(boost::beast::error_code);
    void finish(HttpResult);

    boost::beast::tcp_stream stream;
    Callback callback;
    boost::asio::ip::tcp::endpoint endpoint;
    HttpTimeouts timeouts;
    bool isConnected = false;
    bool isReused = false; // The call was sent on a connection that had been idle.
    boost::beast::http::request<boost::beast::http::empty_body> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    boost::beast::flat_buffer buffer;
};

} // namespace wasabicroft
