#include "fakes/Http.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <cstdlib>

namespace wasabicroft::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

    constexpr std::chrono::seconds serviceReadTimeout(30);
    constexpr uint64_t maxReplyBytes = 256ULL << 20;

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        for (char& c : lower)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return lower;
    }

    // One connection to the service. Answers one request at a time.
    class ServiceConnection : public std::enable_shared_from_this<ServiceConnection> {
    public:
        ServiceConnection(Tcp::socket socket, HttpHandler requestHandler)
            : stream(std::move(socket))
            , handler(std::move(requestHandler))
        {
        }

        void read()
        {
            this->request = {};
            this->stream.expires_after(serviceReadTimeout);
            http::async_read(
                this->stream, this->buffer, this->request, [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (!error)
                        self->answer();
                });
        }

    private:
        void answer()
        {
            const std::string_view target(this->request.target().data(), this->request.target().size());
            HttpRequest parsed = parseTarget(std::string(this->request.method_string()), target);
            parsed.body = this->request.body();
            const HttpReply reply = this->handler(parsed);
            this->response = {};
            this->response.result(reply.status);
            this->response.version(11);
            this->response.set(http::field::content_type, "application/json");
            for (const auto& [name, value] : reply.headers)
                this->response.set(name, value);
            this->response.keep_alive(this->request.keep_alive());
            this->response.body() = reply.body;
            this->response.prepare_payload();
            http::async_write(this->stream, this->response, [self = this->shared_from_this()](ErrorCode error, size_t) {
                if (!error && self->response.keep_alive())
                    self->read();
            });
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
        HttpHandler handler;
    };

    // State of one httpCall.
    struct Call {
        explicit Call(asio::io_context& io)
            : stream(io)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response_parser<http::string_body> parser;
        ErrorCode error = asio::error::would_block;
    };

    HttpReply toReply(http::response<http::string_body>&& response)
    {
        HttpReply reply;
        reply.status = response.result_int();
        for (const auto& field : response)
            reply.headers[lowerCase(std::string_view(field.name_string().data(), field.name_string().size()))]
                = std::string(field.value());
        reply.body = std::move(response.body());
        return reply;
    }

} // namespace

double HttpRequest::queryNumber(const std::string& name, double defaultValue) const
{
    const auto found = this->query.find(name);
    if (found == this->query.end())
        return defaultValue;
    char* end = nullptr;
    const double value = std::strtod(found->second.c_str(), &end);
    return end != found->second.c_str() && *end == 0 ? value : defaultValue;
}

std::string HttpRequest::queryText(const std::string& name, const std::string& defaultValue) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? defaultValue : found->second;
}

HttpRequest parseTarget(std::string method, std::string_view target)
{
    HttpRequest request;
    request.method = std::move(method);
    const size_t queryStart = std::min(target.find('?'), target.size());
    request.path = std::string(target.substr(0, queryStart));
    size_t start = queryStart + 1;
    while (start < target.size()) {
        const size_t end = std::min(target.find('&', start), target.size());
        const std::string_view pair = target.substr(start, end - start);
        const size_t equals = std::min(pair.find('='), pair.size());
        request.query[std::string(pair.substr(0, equals))]
            = std::string(pair.substr(std::min(equals + 1, pair.size())));
        start = end + 1;
    }
    return request;
}

Tcp::endpoint tcpEndpointOf(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

Endpoint endpointOf(const Tcp::endpoint& endpoint) { return { endpoint.address().to_string(), endpoint.port() }; }

struct HttpService::State : std::enable_shared_from_this<HttpService::State> {
    State(asio::io_context& io, const Endpoint& listen, HttpHandler requestHandler)
        : acceptor(io, tcpEndpointOf(listen))
        , handler(std::move(requestHandler))
    {
    }

    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](ErrorCode error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<ServiceConnection>(std::move(socket), self->handler)->read();
            self->accept();
        });
    }

    Tcp::acceptor acceptor;
    HttpHandler handler;
};

HttpService::HttpService(asio::io_context& io, const Endpoint& listen, HttpHandler handler)
    : state(std::make_shared<State>(io, listen, std::move(handler)))
{
    this->state->accept();
}

HttpService::~HttpService()
{
    ErrorCode ignored;
    this->state->acceptor.close(ignored);
}

Endpoint HttpService::endpoint() const { return endpointOf(this->state->acceptor.local_endpoint()); }

Result<HttpReply> httpCall(const Endpoint& endpoint, const std::string& method, const std::string& target,
    Milliseconds timeout, const std::map<std::string, std::string>& headers, const std::string& body)
{
    asio::io_context io;
    Call call(io);
    call.request.method_string(method);
    call.request.target(target);
    call.request.version(11);
    call.request.set(http::field::host, toString(endpoint));
    call.request.set(http::field::connection, "close");
    for (const auto& [name, value] : headers)
        call.request.set(name, value);
    call.request.body() = body;
    call.request.prepare_payload();
    call.parser.body_limit(maxReplyBytes);
    call.stream.expires_after(timeout);
    call.stream.async_connect(tcpEndpointOf(endpoint), [&](ErrorCode connectError) {
        call.error = connectError;
        if (connectError)
            return;
        http::async_write(call.stream, call.request, [&](ErrorCode writeError, size_t) {
            call.error = writeError;
            if (writeError)
                return;
            http::async_read(
                call.stream, call.buffer, call.parser, [&](ErrorCode readError, size_t) { call.error = readError; });
        });
    });
    io.run();
    if (call.error)
        return Error { ErrorKind::Unreachable,
            method + " " + target + " at " + toString(endpoint) + " failed (" + call.error.message()
                + "); check that the service is running and reachable" };
    return toReply(call.parser.release());
}

} // namespace wasabicroft::fakes
