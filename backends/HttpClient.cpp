#include "backends/HttpClient.h"

namespace wasabicroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    // The largest response is the instance list of 6,400 processes, with about 150 bytes per row.
    constexpr uint64_t maxResponseBytes = 4 * 1024 * 1024;

    // Read from the connection at a time: the most that Beast reads. Without it, Beast reads 512 bytes at a time, and
    // an event loop that handles many datagrams in each turn takes seconds for a large response.
    constexpr size_t readBytes = 64 * 1024;

} // namespace

HttpClient::HttpClient(asio::io_context& context)
    : stream(context)
{
    this->buffer.reserve(readBytes);
}

void HttpClient::start(
    const Endpoint& server, const std::string& target, HttpTimeouts callTimeouts, Callback onCompletion)
{
    const asio::ip::tcp::endpoint address(asio::ip::make_address(server.address), server.port);
    if (this->isConnected && (address != this->endpoint || this->hasUnrequestedBytes()))
        this->disconnect();
    this->callback = std::move(onCompletion);
    this->endpoint = address;
    this->timeouts = callTimeouts;
    this->request = { http::verb::get, target, 11 };
    this->request.set(http::field::host, toString(server));
    this->request.keep_alive(true);
    this->isReused = this->isConnected;
    if (this->isConnected)
        this->write();
    else
        this->connect();
}

// Bytes after the end of an answer are not the answer to the next request: a server may have sent an answer twice.
bool HttpClient::hasUnrequestedBytes()
{
    beast::error_code error;
    return this->buffer.size() > 0 || this->stream.socket().available(error) > 0 || error;
}

void HttpClient::close()
{
    this->callback = nullptr;
    this->stream.close();
}

void HttpClient::connect()
{
    this->buffer.clear();
    this->stream.expires_after(this->timeouts.header);
    this->stream.async_connect(this->endpoint, [self = this->shared_from_this()](beast::error_code error) {
        if (!self->callback)
            return;
        self->isConnected = !error;
        if (error)
            self->fail(error);
        else
            self->write();
    });
}

void HttpClient::write()
{
    this->parser.emplace();
    this->parser->body_limit(maxResponseBytes);
    this->stream.expires_after(this->timeouts.header);
    http::async_write(this->stream, this->request, [self = this->shared_from_this()](beast::error_code error, size_t) {
        if (!self->callback)
            return;
        if (error)
            self->fail(error);
        else
            self->readHeader();
    });
}

void HttpClient::readHeader()
{
    http::async_read_header(
        this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](beast::error_code error, size_t) {
            if (!self->callback)
                return;
            if (error) {
                self->fail(error);
                return;
            }
            if (self->onHeader) {
                const boost::optional<uint64_t> size = self->parser->content_length();
                self->onHeader(size ? std::optional(*size) : std::nullopt);
            }
            self->readBody();
        });
}

// A large body may take longer than any limit of the whole call on a narrow link: only a pause ends the transfer.
void HttpClient::readBody()
{
    if (this->parser->is_done()) {
        this->stream.expires_never();
        if (!this->parser->get().keep_alive())
            this->disconnect();
        this->finish(this->parser->release());
        return;
    }
    this->stream.expires_after(this->timeouts.pause);
    http::async_read_some(
        this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](beast::error_code error, size_t) {
            if (!self->callback)
                return;
            if (error)
                self->fail(error);
            else
                self->readBody();
        });
}

void HttpClient::disconnect()
{
    this->stream.close();
    this->isConnected = false;
}

void HttpClient::fail(beast::error_code error)
{
    this->disconnect();
    // A server may close an idle connection at any time, which is no error: repeat the call on a new connection.
    if (std::exchange(this->isReused, false) && error != beast::error::timeout)
        this->connect();
    else
        this->finish(
            Error { ErrorKind::Unreachable, error.message() + "; check the server and the network path to it" });
}

void HttpClient::finish(HttpResult result) { std::exchange(this->callback, nullptr)(std::move(result)); }

} // namespace wasabicroft
