#include "backends/HttpServer.h"

#include "backends/Guard.h"
#include "backends/Link.h"

#include <boost/asio/steady_timer.hpp>
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
    constexpr std::chrono::seconds answerTimeout { 2 }; // For the traffic thread; below the timeout of wasabictl.
    constexpr size_t questionRingCapacity = maxConnections; // Each connection asks one question at a time.

} // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpServer& owner, asio::ip::tcp::socket socket)
        : server(owner)
        , stream(std::move(socket))
        , buffer(maxRequestBytes)
        , answerTimer(this->stream.get_executor())
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

    void awaitAnswer(uint64_t question)
    {
        this->answerTimer.expires_after(answerTimeout);
        this->answerTimer.async_wait([self = this->shared_from_this(), question](error_code error) {
            if (!error && self->server.asking.erase(question) > 0)
                self->answer({ static_cast<unsigned>(http::status::service_unavailable),
                    R"({"error":"the traffic thread did not answer in time"})" });
        });
    }

    void answer(const OperatorAnswer& answer)
    {
        this->answerTimer.cancel();
        this->response.result(answer.httpStatus);
        this->response.set(http::field::content_type, "application/json");
        this->response.body() = answer.json + '\n';
        this->send();
    }

private:
    void respond()
    {
        const std::string target(this->request.target());
        const bool isAllowed = this->request.method() == http::verb::get || this->request.method() == http::verb::head;
        this->response = { http::status::ok, this->request.version() };
        this->response.set(http::field::content_type, "text/plain");
        if (isAllowed && this->server.isQuestion(target)) {
            this->server.ask(this->shared_from_this(), target);
            return;
        }
        if (isAllowed) {
            this->fillResponse(target);
        } else {
            this->response.result(http::status::method_not_allowed);
            this->response.set(http::field::allow, "GET, HEAD");
            this->response.body() = "use GET\n";
        }
        this->send();
    }

    void send()
    {
        this->stream.expires_after(requestTimeout);
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
    asio::steady_timer answerTimer;
};

HttpServer::HttpServer(const Endpoint& address, const Metrics& counters)
    : endpoints { address }
    , metrics(counters)
    , updates(
          updateRingCapacity, this->context, [this](OperatorStatusPtr& update) { this->status = std::move(update); })
    , status(std::make_shared<OperatorStatus>(OperatorStatus { false, "starting", "{}" }))
    , answers(questionRingCapacity, this->context, [this](Answer& answer) { this->onAnswer(answer); })
{
}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::addEndpoint(const Endpoint& endpoint) { this->endpoints.push_back(endpoint); }

void HttpServer::setQuestionHandler(std::string path, asio::io_context& traffic, OperatorQuestionHandler handler)
{
    this->questionPath = std::move(path);
    this->questions = std::make_unique<Ring<Question>>(
        questionRingCapacity, traffic, [this, handler = std::move(handler)](Question& question) {
            OperatorAnswer answer { static_cast<unsigned>(http::status::internal_server_error),
                R"({"error":"the question could not be answered; see event 5004 in the log"})" };
            runGuarded("question of an operator", [&] { answer = handler(question.target); });
            this->answers.push({ question.number, std::move(answer) });
        });
}

bool HttpServer::isQuestion(std::string_view target) const
{
    return !this->questionPath.empty() && target.substr(0, target.find('?')) == this->questionPath;
}

void HttpServer::ask(const std::shared_ptr<Connection>& connection, const std::string& target)
{
    const uint64_t number = ++this->lastQuestion;
    if (!this->questions->push({ number, target })) {
        connection->answer({ static_cast<unsigned>(http::status::service_unavailable),
            R"({"error":"too many questions wait for the traffic thread"})" });
        return;
    }
    this->asking.emplace(number, connection);
    connection->awaitAnswer(number);
}

// The connection is gone from the table if the answer came too late.
void HttpServer::onAnswer(Answer& answer)
{
    const auto found = this->asking.find(answer.number);
    if (found == this->asking.end())
        return;
    const std::shared_ptr<Connection> connection = std::move(found->second);
    this->asking.erase(found);
    connection->answer(answer.answer);
}

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
