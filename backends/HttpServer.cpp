#include "backends/HttpServer.h"

#include "backends/Guard.h"
#include "backends/Link.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wasabicroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr size_t updateRingCapacity = 64;
    constexpr size_t maxConnections = 64;
    constexpr size_t maxRequestBytes = 16 * 1024;
    constexpr std::chrono::seconds requestTimeout { 10 };

} // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpServer& owner, asio::ip::tcp::socket socket)
        : server(owner)
        , stream(std::move(socket))
        , buffer(maxRequestBytes)
    {
        ++this->server.connections;
    }
    ~Connection() { --this->server.connections; }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void read()
    {
        this->request = {};
        this->stream.expires_after(requestTimeout);
        http::async_read(
            this->stream, this->buffer, this->request, [self = this->shared_from_this()](error_code error, size_t) {
                if (!error)
                    self->respond();
            });
    }

private:
    void respond()
    {
        const bool isAllowed = this->request.method() == http::verb::get || this->request.method() == http::verb::head;
        this->response = { http::status::ok, this->request.version() };
        this->response.set(http::field::content_type, "text/plain");
        if (isAllowed)
            this->fillResponse(std::string(this->request.target()));
        else {
            this->response.result(http::status::method_not_allowed);
            this->response.set(http::field::allow, "GET, HEAD");
            this->response.body() = "use GET\n";
        }
        this->response.keep_alive(this->request.keep_alive());
        this->response.prepare_payload();
        if (this->request.method() == http::verb::head)
            this->response.body().clear();
        http::async_write(this->stream, this->response, [self = this->shared_from_this()](error_code error, size_t) {
            if (!error && self->response.keep_alive())
                self->read();
        });
    }

    void fillResponse(const std::string& target)
    {
        const OperatorStatus& status = *this->server.status;
        std::string& body = this->response.body();
        if (target == "/health") {
            body = "ok\n";
        } else if (target == "/ready") {
            body = status.ready ? "ready\n" : "not ready: " + status.notReadyCause + '\n';
            if (!status.ready)
                this->response.result(http::status::service_unavailable);
        } else if (target == "/metrics") {
            this->response.set(http::field::content_type, "text/plain; version=0.0.4");
            body = this->server.metrics.prometheusText();
        } else if (target == "/status") {
            this->response.set(http::field::content_type, "application/json");
            body = status.json + '\n';
        } else {
            this->response.result(http::status::not_found);
            body = "not found; use /metrics, /health, /ready or /status\n";
        }
    }

    HttpServer& server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
};

HttpServer::HttpServer(const Endpoint& address, const Metrics& counters)
    : endpoints { address }
    , metrics(counters)
    , updates(
          updateRingCapacity, this->context, [this](OperatorStatusPtr& update) { this->status = std::move(update); })
    , status(std::make_shared<OperatorStatus>(OperatorStatus { false, "starting", "{}" }))
{
}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::addEndpoint(const Endpoint& endpoint) { this->endpoints.push_back(endpoint); }

Result<Endpoint> HttpServer::start()
{
    for (const Endpoint& endpoint : this->endpoints) {
        Result<asio::ip::tcp::acceptor> listener = openListener(this->context, endpoint);
        if (!listener)
            return listener.error();
        this->acceptors.push_back(std::move(listener.value()));
        this->accept(this->acceptors.back());
    }
    const Endpoint bound = fromTcp(this->acceptors.front().local_endpoint());
    this->thread = std::thread([this] { runEventLoop(this->context); });
    return bound;
}

void HttpServer::stop()
{
    if (!this->thread.joinable())
        return;
    this->context.stop();
    this->thread.join();
}

void HttpServer::publish(OperatorStatusPtr update) { this->updates.push(std::move(update)); }

void HttpServer::accept(asio::ip::tcp::acceptor& acceptor)
{
    acceptor.async_accept([this, &acceptor](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && this->connections < maxConnections)
            std::make_shared<Connection>(*this, std::move(socket))->read();
        this->accept(acceptor);
    });
}

} // namespace wasabicroft
