#include "fakes/Upstream.h"

#include "fakes/Http.h"
#include "fakes/OnThread.h"
#include "fakes/Pattern.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <deque>
#include <random>
#include <thread>

namespace wasabicroft::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr size_t chunkBytes = 64 * 1024;
    constexpr uint64_t maxUploadBytes = 1ULL << 30;
    constexpr uint64_t maxDownloadBytes = 4ULL << 30;
    constexpr size_t maxHealthHistory = 1000;
    constexpr Milliseconds maxRequestedWork { 60000 };
    constexpr const char* requestIdField = "X-Request-Id";
    constexpr const char* serviceField = "X-Service";
    constexpr const char* upstreamField = "X-Upstream";
    constexpr const char* deadlineField = "X-Deadline-Ms";
    constexpr const char* notRunField = "X-Not-Run";
    constexpr const char* workField = "X-Work-Ms";
    constexpr const char* workedField = "X-Worked-Us";
    constexpr const char* digestField = "X-Digest";

    // State shared by all connections of an upstream. Accessed only on its thread.
    struct SharedState {
        explicit SharedState(const UpstreamOptions& upstreamOptions)
            : options(upstreamOptions)
            , random(upstreamOptions.seed)
        {
        }

        const std::string& reportedService() const
        {
            return this->options.faults.answerAsService.empty() ? this->options.service
                                                                : this->options.faults.answerAsService;
        }

        bool drawOneIn(uint32_t count)
        {
            return count > 0 && std::uniform_int_distribution<uint32_t>(1, count)(this->random) == 1;
        }

        // Counts work that starts while the upstream is draining.
        void countWorkAfterDrain()
        {
            if (!this->draining)
                return;
            ++this->ledger.workAfterDrain;
            this->ledger.lastWorkAfterDrain
                = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - this->drainStartTime);
        }

        bool acquireSlot()
        {
            if (this->busySlots >= this->options.slots) {
                ++this->ledger.shed;
                return false;
            }
            this->advanceBusyTime();
            ++this->busySlots;
            this->countWorkAfterDrain();
            return true;
        }

        void releaseSlot()
        {
            this->advanceBusyTime();
            --this->busySlots;
        }

        // Accumulates slot time up to now, so that work in progress counts before it ends.
        void advanceBusyTime()
        {
            const SteadyClock::time_point now = SteadyClock::now();
            this->busyTime += this->busySlots * (now - this->busyTimeUpdated);
            this->busyTimeUpdated = now;
        }

        // Work time of a registration: the base time scaled by cold start and, if drawn, by the straggler factor.
        Duration workTime(Milliseconds base)
        {
            double factor = 1;
            const Duration age = SteadyClock::now() - this->startTime;
            if (age < this->options.coldStart) {
                const double left = 1 - std::chrono::duration<double>(age) / this->options.coldStart;
                factor += (this->options.coldStartFactor - 1) * left;
            }
            if (this->drawOneIn(this->options.stragglerOneIn)) {
                factor *= this->options.stragglerFactor;
                ++this->stragglers;
            }
            return std::chrono::duration_cast<Duration>(base * factor);
        }

        void setDraining(bool value)
        {
            if (value && !this->draining)
                this->drainStartTime = SteadyClock::now();
            this->draining = value;
            this->healthHistory.emplace_back(SteadyClock::now(), value);
            if (this->healthHistory.size() > maxHealthHistory)
                this->healthHistory.pop_front();
        }

        bool reportsDraining() const
        {
            if (this->options.health != HealthReport::Actual)
                return this->options.health == HealthReport::AlwaysDraining;
            const SteadyClock::time_point at = SteadyClock::now() - this->options.healthLag;
            bool reported = false;
            for (const auto& [time, value] : this->healthHistory)
                if (time <= at)
                    reported = value;
            return reported;
        }

        UpstreamOptions options;
        std::mt19937_64 random;
        Ledger ledger;
        SteadyClock::time_point startTime = SteadyClock::now();
        SteadyClock::time_point drainStartTime;
        std::deque<std::pair<SteadyClock::time_point, bool>> healthHistory; // drain states and when they were set
        bool draining = false;
        uint32_t busySlots = 0;
        uint32_t connections = 0;
        uint32_t feeds = 0;
        uint64_t requests = 0;
        uint64_t stragglers = 0;
        uint64_t bytesSent = 0;
        Duration busyTime { 0 }; // slot time accumulated up to busyTimeUpdated
        SteadyClock::time_point busyTimeUpdated = SteadyClock::now();
    };

    // Releases a slot that was acquired when it is destroyed.
    class SlotGuard {
    public:
        explicit SlotGuard(SharedState& sharedState)
            : shared(sharedState)
        {
        }
        ~SlotGuard() { this->shared.releaseSlot(); }
        SlotGuard(const SlotGuard&) = delete;
        SlotGuard& operator=(const SlotGuard&) = delete;

    private:
        SharedState& shared;
    };

    class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
    public:
        HttpConnection(SharedState& sharedState, Tcp::socket connected)
            : shared(sharedState)
            , socket(std::move(connected))
            , timer(this->socket.get_executor())
        {
            ++this->shared.connections;
        }

        ~HttpConnection()
        {
            --this->shared.connections;
            if (this->isFeed)
                --this->shared.feeds;
        }

        HttpConnection(const HttpConnection&) = delete;
        HttpConnection& operator=(const HttpConnection&) = delete;

        void read()
        {
            this->parser.emplace();
            this->parser->body_limit(maxUploadBytes);
            // Reads the header first, so that an upload acquires its slot before its body arrives.
            http::async_read_header(
                this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (!error)
                        self->dispatch();
                    else if (isMalformed(error))
                        self->rejectMalformed();
                });
        }

    private:
        using Body = http::string_body;

        // A connection that is closed between or within requests is not a malformed request.
        static bool isMalformed(ErrorCode error)
        {
            return error != http::error::end_of_stream && error != http::error::partial_message
                && error.category() == http::make_error_code(http::error::bad_method).category();
        }

        void rejectMalformed()
        {
            ++this->shared.ledger.malformed;
            this->closeAfterAnswer = true;
            this->answer(http::status::bad_request, "malformed request\n");
        }

        std::string field(const char* name) const
        {
            const auto found = this->parser->get().find(name);
            return found == this->parser->get().end() ? std::string() : std::string(found->value());
        }

        void dispatch()
        {
            const http::request<Body>& request = this->parser->get();
            const std::string_view target(request.target().data(), request.target().size());
            this->parsedRequest = parseTarget(std::string(request.method_string()), target);
            ++this->shared.requests;
            const std::string requestedService = this->field(serviceField);
            if (!requestedService.empty() && requestedService != this->shared.options.service) {
                ++this->shared.ledger.foreign;
                this->closeAfterAnswer = true;
                this->answer(http::status::misdirected_request, "request for service " + requestedService + "\n");
                return;
            }
            if (this->parsedRequest.method == "GET" && this->parsedRequest.path == "/feed")
                this->beginFeed();
            else if (this->parsedRequest.method == "GET" && this->parsedRequest.path == "/download")
                this->beginDownload();
            else if (this->parsedRequest.method == "POST"
                && (this->parsedRequest.path == "/register" || this->parsedRequest.path == "/upload"))
                this->beginRequestWithBody();
            else
                this->rejectMalformed();
        }

        bool acquireSlot()
        {
            if (!this->shared.acquireSlot()) {
                this->notRun = true;
                this->closeAfterAnswer = true;
                this->answer(http::status::service_unavailable, "no free slot; not run\n");
                return false;
            }
            this->slot = std::make_unique<SlotGuard>(this->shared);
            return true;
        }

        void beginRequestWithBody()
        {
            if (this->parsedRequest.path == "/register" && this->field(requestIdField).empty())
                return this->rejectMalformed();
            if (!this->acquireSlot())
                return;
            http::async_read(
                this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (error)
                        self->slot.reset();
                    else if (self->parsedRequest.path == "/upload")
                        self->answerUpload();
                    else
                        self->beginRegistration();
                });
        }

        void answerUpload()
        {
            const std::string& body = this->parser->get().body();
            const boost::json::object result { { "bytes", body.size() }, { "digest", digestOf(body) },
                { "pattern", matchesPattern(0, body) } };
            this->slot.reset();
            this->answer(http::status::ok, boost::json::serialize(result) + "\n");
        }

        Milliseconds requestedWorkTime() const
        {
            const std::string workHeader = this->field(workField);
            if (workHeader.empty())
                return this->shared.options.workTime;
            return std::min(Milliseconds(std::strtoull(workHeader.c_str(), nullptr, 10)), maxRequestedWork);
        }

        void beginRegistration()
        {
            this->requestId = this->field(requestIdField);
            const UpstreamFaults& faults = this->shared.options.faults;
            if (this->shared.drawOneIn(faults.loseOneIn)) {
                this->slot.reset();
                return this->answer(http::status::ok, "registered " + this->requestId + "\n");
            }
            ExecutionCounts& execution = this->shared.ledger.executions[this->requestId];
            execution.started += this->shared.drawOneIn(faults.duplicateOneIn) ? 2 : 1;
            Duration work = this->shared.workTime(this->requestedWorkTime());
            bool inTime = true;
            const std::string deadline = this->field(deadlineField);
            const Milliseconds limit(deadline.empty() ? 0 : std::strtoll(deadline.c_str(), nullptr, 10));
            if (!deadline.empty() && limit < work) {
                work = limit;
                inTime = false;
            }
            this->workedTime = std::chrono::duration_cast<std::chrono::microseconds>(work);
            this->cancelOnReset();
            this->timer.expires_after(work);
            this->timer.async_wait([self = this->shared_from_this(), inTime](ErrorCode error) {
                if (error || self->ended)
                    return;
                ErrorCode ignored;
                self->socket.cancel(ignored);
                self->endRegistration(inTime);
            });
        }

        // A reset by the client cancels the work. A half-close does not: the client still waits for the answer.
        void cancelOnReset()
        {
            this->ended = false;
            this->socket.async_wait(Tcp::socket::wait_error, [self = this->shared_from_this()](ErrorCode error) {
                if (error || self->ended)
                    return;
                self->ended = true;
                ++self->shared.ledger.executions[self->requestId].cancelled;
                self->slot.reset();
                self->timer.cancel();
                self->socket.close(error);
            });
        }

        void endRegistration(bool inTime)
        {
            this->ended = true;
            this->slot.reset();
            ExecutionCounts& execution = this->shared.ledger.executions[this->requestId];
            if (!inTime) {
                ++execution.cancelled;
                return this->answer(http::status::gateway_timeout, "deadline passed; aborted\n");
            }
            execution.finished = execution.started;
            if (this->shared.drawOneIn(this->shared.options.faults.falseRefusalOneIn)) {
                this->notRun = true;
                return this->answer(http::status::service_unavailable, "no free slot; not run\n");
            }
            this->answer(http::status::ok, "registered " + this->requestId + "\n");
        }

        http::response<Body>& prepare(http::status status)
        {
            this->response = {};
            this->response.version(11);
            this->response.result(status);
            this->response.set(serviceField, this->shared.reportedService());
            this->response.set(upstreamField, this->shared.options.name);
            if (!this->requestId.empty())
                this->response.set(requestIdField, this->requestId);
            if (this->workedTime.count() > 0)
                this->response.set(workedField, std::to_string(this->workedTime.count()));
            this->workedTime = {};
            if (this->notRun)
                this->response.set(notRunField, "1");
            this->response.keep_alive(!this->closeAfterAnswer && this->parser->get().keep_alive());
            return this->response;
        }

        void answer(http::status status, std::string body)
        {
            this->prepare(status).body() = std::move(body);
            this->response.prepare_payload();
            this->notRun = false;
            http::async_write(this->socket, this->response, [self = this->shared_from_this()](ErrorCode error, size_t) {
                self->requestId.clear();
                if (!error && self->response.keep_alive())
                    self->read();
                else if (!error)
                    self->closeGracefully();
            });
        }

        // Shuts down the sending side, then discards what the client still sends: closing a socket with unread bytes
        // resets the connection, which can discard an answer that is still in transit.
        void closeGracefully()
        {
            ErrorCode ignored;
            this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            this->chunk.resize(chunkBytes);
            this->discard();
        }

        void discard()
        {
            this->socket.async_read_some(
                asio::buffer(this->chunk), [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (!error)
                        self->discard();
                });
        }

        // Sends the header of an answer whose body is written separately, then calls the function.
        void sendHeader(std::function<void()> then)
        {
            this->serializer.emplace(this->response);
            http::async_write_header(this->socket, *this->serializer,
                [self = this->shared_from_this(), then = std::move(then)](ErrorCode error, size_t) {
                    if (error)
                        self->slot.reset();
                    else
                        then();
                });
        }

        void beginDownload()
        {
            if (!this->acquireSlot())
                return;
            const double requestedBytes = this->parsedRequest.queryNumber("bytes", 0);
            this->downloadBytes
                = static_cast<uint64_t>(std::clamp(requestedBytes, 0.0, static_cast<double>(maxDownloadBytes)));
            this->downloadOffset = 0;
            this->prepare(http::status::ok).set(digestField, patternDigest(this->downloadBytes));
            this->response.content_length(this->downloadBytes);
            this->sendHeader([this] { this->sendPattern(); });
        }

        void sendPattern()
        {
            const size_t count
                = static_cast<size_t>(std::min<uint64_t>(chunkBytes, this->downloadBytes - this->downloadOffset));
            if (count == 0) {
                this->slot.reset();
                if (this->response.keep_alive())
                    this->read();
                else
                    this->closeGracefully();
                return;
            }
            this->chunk.resize(count);
            fillPattern(this->downloadOffset, this->chunk);
            this->downloadOffset += count;
            this->shared.bytesSent += count;
            asio::async_write(
                this->socket, asio::buffer(this->chunk), [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (error)
                        self->slot.reset();
                    else
                        self->sendPattern();
                });
        }

        void beginFeed()
        {
            this->shared.countWorkAfterDrain();
            this->isFeed = true;
            ++this->shared.feeds;
            const double defaultInterval = static_cast<double>(this->shared.options.feedInterval.count());
            const double interval
                = std::clamp(this->parsedRequest.queryNumber("interval_ms", defaultInterval), 1.0, 60000.0);
            this->feedInterval = std::chrono::microseconds(static_cast<int64_t>(interval * 1000));
            this->maxFeedLines = static_cast<uint64_t>(std::max(0.0, this->parsedRequest.queryNumber("lines", 0)));
            this->closeAfterAnswer = true;
            this->prepare(http::status::ok).set(http::field::content_type, "text/plain");
            this->timer.expires_after(Duration(0));
            this->sendHeader([this] { this->waitFeedLine(); });
        }

        void waitFeedLine()
        {
            this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
                if (!error)
                    self->sendFeedLine();
            });
        }

        std::string nextFeedLine()
        {
            const UpstreamFaults& faults = this->shared.options.faults;
            if (this->shared.drawOneIn(faults.feedGapOneIn))
                ++this->nextFeedLineNumber;
            std::string line = formatFeedLine({ this->nextFeedLineNumber++, steadyMicroseconds(),
                this->shared.reportedService(), this->shared.options.name });
            if (this->shared.drawOneIn(faults.feedRepeatOneIn))
                line += line;
            if (this->shared.drawOneIn(faults.feedCorruptOneIn))
                line[0] = line[0] == '9' ? '8' : '9';
            return line;
        }

        void sendFeedLine()
        {
            if (this->maxFeedLines > 0 && this->nextFeedLineNumber >= this->maxFeedLines)
                return this->closeGracefully();
            this->line = this->nextFeedLine();
            asio::async_write(
                this->socket, asio::buffer(this->line), [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (error)
                        return;
                    self->timer.expires_at(self->timer.expiry() + self->feedInterval);
                    self->waitFeedLine();
                });
        }

        SharedState& shared;
        Tcp::socket socket;
        asio::steady_timer timer;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<Body>> parser;
        http::response<Body> response;
        std::optional<http::response_serializer<Body>> serializer;
        HttpRequest parsedRequest;
        std::unique_ptr<SlotGuard> slot;
        std::string requestId;
        std::chrono::microseconds workedTime { 0 };
        bool notRun = false;
        bool closeAfterAnswer = false;
        bool ended = false; // the registration was completed or cancelled
        bool isFeed = false;
        std::vector<char> chunk;
        uint64_t downloadBytes = 0;
        uint64_t downloadOffset = 0;
        std::string line;
        uint64_t nextFeedLineNumber = 0;
        uint64_t maxFeedLines = 0; // 0: no limit
        std::chrono::microseconds feedInterval { 0 };
    };

    class EchoConnection : public std::enable_shared_from_this<EchoConnection> {
    public:
        EchoConnection(SharedState& sharedState, Tcp::socket connected)
            : shared(sharedState)
            , socket(std::move(connected))
        {
            ++this->shared.connections;
        }
        ~EchoConnection() { --this->shared.connections; }
        EchoConnection(const EchoConnection&) = delete;
        EchoConnection& operator=(const EchoConnection&) = delete;

        void read()
        {
            this->input.resize(chunkBytes);
            this->socket.async_read_some(
                asio::buffer(this->input), [self = this->shared_from_this()](ErrorCode error, size_t count) {
                    if (error == asio::error::eof)
                        self->socket.shutdown(Tcp::socket::shutdown_send, error);
                    else if (!error)
                        self->write(count);
                });
        }

    private:
        void write(size_t count)
        {
            this->output.assign(this->input.data(), count);
            if (!this->bannerSent) {
                this->shared.countWorkAfterDrain();
                this->output.insert(0, this->shared.reportedService() + ' ' + this->shared.options.name + '\n');
            }
            this->bannerSent = true;
            asio::async_write(
                this->socket, asio::buffer(this->output), [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (!error)
                        self->read();
                });
        }

        SharedState& shared;
        Tcp::socket socket;
        std::vector<char> input;
        std::string output;
        bool bannerSent = false;
    };

    boost::json::object loadJson(SharedState& shared)
    {
        shared.advanceBusyTime();
        return { { "service", shared.options.service }, { "upstream", shared.options.name },
            { "busy", shared.busySlots }, { "slots", shared.options.slots }, { "connections", shared.connections },
            { "feeds", shared.feeds }, { "requests", shared.requests }, { "stragglers", shared.stragglers },
            { "bytes_sent", shared.bytesSent },
            { "busy_us", std::chrono::duration_cast<std::chrono::microseconds>(shared.busyTime).count() },
            { "draining", shared.draining } };
    }

    void applySettings(SharedState& shared, const HttpRequest& request)
    {
        UpstreamOptions& options = shared.options;
        const auto number = [&request](const char* name, int64_t current) {
            return static_cast<int64_t>(std::max(0.0, request.queryNumber(name, static_cast<double>(current))));
        };
        options.workTime = Milliseconds(number("work_ms", options.workTime.count()));
        options.slots = static_cast<uint32_t>(number("slots", options.slots));
        options.healthLag = Milliseconds(number("health_lag_ms", options.healthLag.count()));
        options.stragglerOneIn = static_cast<uint32_t>(number("straggler_one_in", options.stragglerOneIn));
        if (request.query.contains("cold_start_ms")) {
            options.coldStart = Milliseconds(number("cold_start_ms", 0));
            shared.startTime = SteadyClock::now();
        }
        const std::string health = request.queryText("health");
        if (health == "true")
            options.health = HealthReport::Actual;
        else if (health == "ready")
            options.health = HealthReport::AlwaysReady;
        else if (health == "draining")
            options.health = HealthReport::AlwaysDraining;
    }

    HttpReply answerAdmin(SharedState& shared, const HttpRequest& request)
    {
        if (request.path == "/health") {
            const bool draining = shared.reportsDraining();
            return { draining ? 503U : 200U, draining ? "{\"state\":\"draining\"}\n" : "{\"state\":\"ready\"}\n", {} };
        }
        if (request.path == "/load")
            return { 200, boost::json::serialize(loadJson(shared)) + "\n", {} };
        if (request.path == "/ledger")
            return { 200, ledgerToJson(shared.ledger) + "\n", {} };
        if (request.method != "POST")
            return { 404, "{\"error\":\"unknown path; see fakes/Upstream.h\"}\n", {} };
        if (request.path == "/drain" || request.path == "/undrain")
            shared.setDraining(request.path == "/drain");
        else if (request.path == "/set")
            applySettings(shared, request);
        else
            return { 404, "{\"error\":\"unknown path; see fakes/Upstream.h\"}\n", {} };
        return { 200, "{}\n", {} };
    }

} // namespace

struct Upstream::State {
    explicit State(const UpstreamOptions& options)
        : shared(options)
        , acceptor(this->io, tcpEndpointOf(options.listen))
        , admin(this->io, options.admin,
              [this](const HttpRequest& request) { return answerAdmin(this->shared, request); })
    {
        this->accept();
        this->thread = std::thread([this] { this->io.run(); });
    }

    ~State()
    {
        this->io.stop();
        this->thread.join();
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void accept()
    {
        this->acceptor.async_accept([this](ErrorCode error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                this->serve(std::move(socket));
            this->accept();
        });
    }

    void serve(Tcp::socket socket)
    {
        ErrorCode ignored;
        if (this->shared.connections >= this->shared.options.maxConnections) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            return;
        }
        socket.set_option(Tcp::no_delay(true), ignored);
        if (this->shared.options.mode == UpstreamMode::Echo)
            std::make_shared<EchoConnection>(this->shared, std::move(socket))->read();
        else
            std::make_shared<HttpConnection>(this->shared, std::move(socket))->read();
    }

    // Runs a function on the thread of the io_context and returns its result.
    template <typename Function> auto onThread(Function function) { return runOnThread(this->io, std::move(function)); }

    // Declared before the io_context, and so destroyed after it: connections that pending handlers keep alive access
    // the shared state in their destructors.
    SharedState shared;
    asio::io_context io { 1 };
    Tcp::acceptor acceptor;
    HttpService admin;
    std::thread thread;
};

Upstream::Upstream(const UpstreamOptions& options)
    : state(std::make_unique<State>(options))
{
}

Upstream::~Upstream() = default;

Endpoint Upstream::endpoint() const { return endpointOf(this->state->acceptor.local_endpoint()); }

Endpoint Upstream::adminEndpoint() const { return this->state->admin.endpoint(); }

void Upstream::drain()
{
    this->state->onThread([this] { this->state->shared.setDraining(true); });
}

void Upstream::undrain()
{
    this->state->onThread([this] { this->state->shared.setDraining(false); });
}

Ledger Upstream::ledger() const
{
    return this->state->onThread([this] { return this->state->shared.ledger; });
}

std::string ledgerToJson(const Ledger& ledger)
{
    boost::json::object executions;
    for (const auto& [id, execution] : ledger.executions)
        executions[id] = { { "started", execution.started }, { "finished", execution.finished },
            { "cancelled", execution.cancelled } };
    return boost::json::serialize(
        boost::json::object { { "executions", std::move(executions) }, { "foreign", ledger.foreign },
            { "malformed", ledger.malformed }, { "shed", ledger.shed }, { "work_after_drain", ledger.workAfterDrain },
            { "last_work_after_drain_ms", ledger.lastWorkAfterDrain.count() } });
}

Result<Ledger> ledgerFromJson(std::string_view json)
{
    try {
        const boost::json::object parsed
            = boost::json::parse(boost::json::string_view(json.data(), json.size())).as_object();
        Ledger ledger;
        for (const auto& [id, value] : parsed.at("executions").as_object()) {
            const boost::json::object& execution = value.as_object();
            ledger.executions[std::string(id)] = { execution.at("started").to_number<uint32_t>(),
                execution.at("finished").to_number<uint32_t>(), execution.at("cancelled").to_number<uint32_t>() };
        }
        ledger.foreign = parsed.at("foreign").to_number<uint64_t>();
        ledger.malformed = parsed.at("malformed").to_number<uint64_t>();
        ledger.shed = parsed.at("shed").to_number<uint64_t>();
        ledger.workAfterDrain = parsed.at("work_after_drain").to_number<uint64_t>();
        ledger.lastWorkAfterDrain = Milliseconds(parsed.at("last_work_after_drain_ms").to_number<int64_t>());
        return ledger;
    } catch (const std::exception& error) {
        return Error { ErrorKind::InvalidConfig,
            std::string("the ledger is not valid JSON (") + error.what() + "); check the address of the admin port" };
    }
}

} // namespace wasabicroft::fakes
