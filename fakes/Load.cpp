#include "fakes/Load.h"

#include "fakes/Http.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <random>
#include <set>
#include <thread>

namespace wasabicroft::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr size_t chunkBytes = 64 * 1024;
    constexpr size_t maxWaitSamples = 2'000'000; // per kind; further samples are dropped
    constexpr Milliseconds feedRetryDelay(500);
    constexpr Milliseconds feedOpenSpread(1000); // the feeds are opened evenly over this time
    constexpr Milliseconds feedConnectTimeout(10000);
    constexpr Milliseconds adminTimeout(1000);
    constexpr Milliseconds busySampleInterval(500);
    constexpr Milliseconds monitorPollInterval(20);

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    // State shared by all requests and feeds of a run. Accessed only on the thread of the run.
    struct Run {
        explicit Run(const LoadOptions& loadOptions)
            : options(loadOptions)
            , random(loadOptions.seed)
            , idPrefix("r" + std::to_string(loadOptions.seed) + '-' + std::to_string(steadyMicroseconds()) + '-')
        {
        }

        double elapsed() const { return secondsOf(SteadyClock::now() - this->startTime); }

        const Endpoint& drawAddress(LoadKind kind)
        {
            const std::vector<Endpoint>& addresses = this->options.targetFor(kind).addresses;
            return addresses.at(std::uniform_int_distribution<size_t>(0, addresses.size() - 1)(this->random));
        }

        void addWait(LoadKind kind, double milliseconds)
        {
            std::vector<WaitSample>& waits = this->report.reportFor(kind).waitSamples;
            if (waits.size() < maxWaitSamples)
                waits.push_back(
                    { static_cast<float>(this->elapsed()), static_cast<float>(std::max(0.0, milliseconds)) });
        }

        void countSecond(std::vector<uint64_t>& counts) const
        {
            const size_t second = static_cast<size_t>(this->elapsed());
            if (counts.size() <= second)
                counts.resize(second + 1);
            ++counts[second];
        }

        LoadOptions options;
        std::mt19937_64 random;
        std::string idPrefix;
        LoadReport report;
        std::map<std::string, Outcome> outcomes; // outcomes of registrations by request id
        SteadyClock::time_point startTime = SteadyClock::now();
        size_t openRequests = 0;
        uint64_t nextRequest = 0;
        bool durationOver = false; // the configured duration has passed
    };

    // One registration, download or upload on its own connection.
    class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
    public:
        RequestFlow(Run& owner, asio::io_context& io, LoadKind requestKind)
            : run(owner)
            , kind(requestKind)
            , stream(io)
        {
            ++this->run.openRequests;
        }
        ~RequestFlow() { --this->run.openRequests; }
        RequestFlow(const RequestFlow&) = delete;
        RequestFlow& operator=(const RequestFlow&) = delete;

        void start()
        {
            ++this->run.report.reportFor(this->kind).sent;
            this->requestId = this->run.idPrefix + std::to_string(this->run.nextRequest++);
            this->prepare();
            if (this->kind == LoadKind::Registration)
                this->run.outcomes[this->requestId] = Outcome::TimedOut;
            this->stream.expires_after(this->run.options.timeout + this->workTime);
            this->stream.async_connect(
                tcpEndpointOf(this->run.drawAddress(this->kind)), [self = this->shared_from_this()](ErrorCode error) {
                    if (error)
                        self->finish(error == beast::error::timeout ? Outcome::TimedOut : Outcome::Unconnected);
                    else
                        self->send();
                });
        }

    private:
        void prepare()
        {
            const LoadTarget& target = this->run.options.targetFor(this->kind);
            this->request.version(11);
            this->request.method(this->kind == LoadKind::Download ? http::verb::get : http::verb::post);
            this->request.set(http::field::host, target.service);
            this->request.set(http::field::connection, "close");
            this->request.set("X-Request-Id", this->requestId);
            this->request.set("X-Service", target.service);
            if (this->kind == LoadKind::Registration)
                this->prepareRegistration();
            else if (this->kind == LoadKind::Upload)
                this->prepareUpload(target.bytes);
            else
                this->request.target("/download?bytes=" + std::to_string(target.bytes));
            this->request.prepare_payload();
        }

        void prepareRegistration()
        {
            const LoadOptions& options = this->run.options;
            const bool straggler = options.stragglerOneIn > 0
                && std::uniform_int_distribution<uint32_t>(1, options.stragglerOneIn)(this->run.random) == 1;
            this->workTime = options.workTime * (straggler ? options.stragglerFactor : 1);
            this->request.target("/register");
            this->request.set("X-Work-Ms", std::to_string(this->workTime.count()));
            if (options.deadline.count() > 0)
                this->request.set("X-Deadline-Ms", std::to_string(options.deadline.count()));
            this->request.body() = "{\"id\":\"" + this->requestId + "\"}";
        }

        void prepareUpload(uint64_t bytes)
        {
            this->request.target("/upload");
            this->request.body().resize(bytes);
            fillPattern(0, this->request.body());
        }

        void send()
        {
            ErrorCode ignored;
            this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            http::async_write(this->stream, this->request, [self = this->shared_from_this()](ErrorCode error, size_t) {
                // Reads the answer even if sending failed, since a refusal may arrive before the whole request was
                // sent.
                if (error == beast::error::timeout)
                    self->finish(Outcome::TimedOut);
                else
                    self->readHeader();
            });
        }

        void readHeader()
        {
            this->parser.body_limit(boost::none);
            http::async_read_header(
                this->stream, this->buffer, this->parser, [self = this->shared_from_this()](ErrorCode error, size_t) {
                    if (error)
                        return self->finish(error == beast::error::timeout ? Outcome::TimedOut : Outcome::Broken);
                    self->firstByteTime = SteadyClock::now();
                    self->readBody();
                });
        }

        void readBody()
        {
            if (this->parser.is_done())
                return this->checkAnswer();
            this->chunk.resize(chunkBytes);
            this->parser.get().body().data = this->chunk.data();
            this->parser.get().body().size = this->chunk.size();
            http::async_read(this->stream, this->buffer, this->parser,
                [self = this->shared_from_this()](ErrorCode error, size_t) { self->onBodyChunk(error); });
        }

        void onBodyChunk(ErrorCode error)
        {
            const size_t count = this->chunk.size() - this->parser.get().body().size;
            const std::string_view bytes(this->chunk.data(), count);
            if (this->kind == LoadKind::Download)
                this->corrupt = this->corrupt || !matchesPattern(this->received, bytes);
            else if (this->body.size() + count <= chunkBytes)
                this->body.append(bytes);
            this->received += count;
            if (error && error != http::error::need_buffer)
                return this->finish(error == beast::error::timeout ? Outcome::TimedOut : Outcome::Broken);
            this->readBody();
        }

        std::string field(const char* name) const
        {
            const auto found = this->parser.get().find(name);
            return found == this->parser.get().end() ? std::string() : std::string(found->value());
        }

        // Checks a complete answer and records its outcome.
        void checkAnswer()
        {
            const unsigned status = this->parser.get().result_int();
            const std::string service = this->field("X-Service");
            const std::string id = this->field("X-Request-Id");
            KindReport& report = this->run.report.reportFor(this->kind);
            if ((!service.empty() && service != this->run.options.targetFor(this->kind).service)
                || (!id.empty() && id != this->requestId))
                ++report.misdelivered;
            if (status == 503 && !this->field("X-Not-Run").empty())
                return this->finish(Outcome::NotRun);
            if (status != 200)
                return this->finish(Outcome::Failed);
            this->checkContent(report);
            ++report.byUpstream[this->field("X-Upstream")];
            this->run.addWait(this->kind, this->waitedMilliseconds());
            this->run.countSecond(report.answeredPerSecond);
            this->finish(Outcome::Answered);
        }

        void checkContent(KindReport& report)
        {
            const uint64_t bytes = this->run.options.targetFor(this->kind).bytes;
            if (this->kind == LoadKind::Download)
                this->corrupt = this->corrupt || this->received != bytes;
            else if (this->kind == LoadKind::Upload)
                this->corrupt = this->body.find("\"pattern\":true") == std::string::npos
                    || this->body.find("\"bytes\":" + std::to_string(bytes) + ',') == std::string::npos;
            else
                this->corrupt = this->body != "registered " + this->requestId + "\n";
            report.corrupt += this->corrupt ? 1 : 0;
            report.bytes += this->kind == LoadKind::Registration ? 0 : bytes;
        }

        double waitedMilliseconds() const // see WaitSample
        {
            if (this->kind == LoadKind::Download)
                return secondsOf(this->firstByteTime - this->startTime) * 1000;
            const double total = secondsOf(SteadyClock::now() - this->startTime) * 1000;
            return total - std::strtod(this->field("X-Worked-Us").c_str(), nullptr) / 1000;
        }

        void finish(Outcome outcome)
        {
            KindReport& report = this->run.report.reportFor(this->kind);
            ++report.outcomes.at(static_cast<size_t>(outcome));
            if (outcome != Outcome::Answered)
                this->run.countSecond(report.refusedPerSecond);
            if (this->kind == LoadKind::Registration)
                this->run.outcomes[this->requestId] = outcome;
            ErrorCode ignored;
            this->stream.socket().close(ignored);
        }

        Run& run;
        LoadKind kind;
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response_parser<http::buffer_body> parser;
        std::string requestId;
        Milliseconds workTime { 0 };
        SteadyClock::time_point startTime = SteadyClock::now();
        SteadyClock::time_point firstByteTime;
        std::vector<char> chunk;
        std::string body; // body of the answer to a registration or an upload
        uint64_t received = 0;
        bool corrupt = false;
    };

    // Keeps one feed open: opens a new one after the current one breaks.
    class FeedFlow : public std::enable_shared_from_this<FeedFlow> {
    public:
        FeedFlow(Run& owner, asio::io_context& io)
            : run(owner)
            , stream(io)
            , timer(io)
        {
        }

        void openAfter(Duration delay)
        {
            this->timer.expires_after(delay);
            this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
                if (!error && !self->run.durationOver)
                    self->open();
            });
        }

        // Ends the feed at the end of the run. Lines that are missing from now on are not counted.
        void end()
        {
            this->timer.cancel();
            if (this->checker)
                this->addFeedCounts(false);
            this->stream.close();
        }

    private:
        void open()
        {
            ++this->run.report.reportFor(LoadKind::Feed).sent;
            this->parser.emplace();
            this->parser->body_limit(boost::none);
            this->buffer.clear();
            this->request = { http::verb::get, "/feed", 11 };
            this->request.set(http::field::host, this->run.options.targetFor(LoadKind::Feed).service);
            this->request.set("X-Service", this->run.options.targetFor(LoadKind::Feed).service);
            this->stream.expires_after(feedConnectTimeout);
            this->stream.async_connect(tcpEndpointOf(this->run.drawAddress(LoadKind::Feed)),
                [self = this->shared_from_this()](ErrorCode error) {
                    if (error)
                        return self->fail(Outcome::Unconnected);
                    self->send();
                });
        }

        void send()
        {
            http::async_write(
                this->stream, this->request, [self = this->shared_from_this()](ErrorCode writeError, size_t) {
                    if (writeError)
                        return self->fail(Outcome::Broken);
                    http::async_read_header(self->stream, self->buffer, *self->parser, [self](ErrorCode error, size_t) {
                        if (error)
                            return self->fail(error == beast::error::timeout ? Outcome::TimedOut : Outcome::Broken);
                        self->onOpened();
                    });
                });
        }

        void fail(Outcome outcome)
        {
            if (this->run.durationOver)
                return;
            KindReport& report = this->run.report.reportFor(LoadKind::Feed);
            ++report.outcomes.at(static_cast<size_t>(outcome));
            this->run.countSecond(report.refusedPerSecond);
            this->stream.close();
            this->openAfter(feedRetryDelay);
        }

        void onOpened()
        {
            if (this->run.durationOver)
                return;
            const http::response<http::buffer_body>& response = this->parser->get();
            if (response.result_int() != 200)
                return this->fail(response.find("X-Not-Run") != response.end() ? Outcome::NotRun : Outcome::Failed);
            KindReport& report = this->run.report.reportFor(LoadKind::Feed);
            ++report.outcomes.at(static_cast<size_t>(Outcome::Answered));
            ++this->run.report.feeds.opened;
            ++report.byUpstream[std::string(response["X-Upstream"])];
            this->checker.emplace(this->run.options.targetFor(LoadKind::Feed).service);
            this->checker->onDelay = [this](std::chrono::microseconds delay) {
                this->run.addWait(LoadKind::Feed, static_cast<double>(delay.count()) / 1000);
                this->run.countSecond(this->run.report.reportFor(LoadKind::Feed).answeredPerSecond);
            };
            this->lastReceiveTime = SteadyClock::now();
            // The body ends with the connection. It is read directly from the socket, after the bytes that were
            // received together with the header.
            const auto rest = this->buffer.data();
            this->checker->consume({ static_cast<const char*>(rest.data()), rest.size() });
            this->stream.expires_never();
            this->chunk.resize(chunkBytes);
            this->read();
        }

        void read()
        {
            this->stream.async_read_some(
                asio::buffer(this->chunk), [self = this->shared_from_this()](ErrorCode error, size_t count) {
                    if (self->run.durationOver)
                        return;
                    self->recordSilence();
                    if (error)
                        return self->onConnectionLost();
                    self->checker->consume({ self->chunk.data(), count });
                    self->read();
                });
        }

        void recordSilence()
        {
            const Duration silence = SteadyClock::now() - this->lastReceiveTime;
            FeedReport& feeds = this->run.report.feeds;
            feeds.longestSilence = std::max(feeds.longestSilence, secondsOf(silence));
            feeds.silences += silence > this->run.options.silenceLimit ? 1 : 0;
            this->lastReceiveTime = SteadyClock::now();
        }

        void onConnectionLost()
        {
            this->addFeedCounts(true);
            this->run.countSecond(this->run.report.reportFor(LoadKind::Feed).refusedPerSecond);
            this->stream.close();
            this->openAfter(feedRetryDelay);
        }

        void addFeedCounts(bool early)
        {
            this->recordSilence();
            FeedReport& feeds = this->run.report.feeds;
            const FeedCounts& counts = this->checker->counts();
            feeds.endedEarly += early ? 1 : 0;
            feeds.broken += early || counts.isBroken() ? 1 : 0;
            feeds.lines.lines += counts.lines;
            feeds.lines.gaps += counts.gaps;
            feeds.lines.repeats += counts.repeats;
            feeds.lines.corrupt += counts.corrupt;
            feeds.lines.misdelivered += counts.misdelivered;
            feeds.lines.changedUpstream += counts.changedUpstream;
            this->checker.reset();
        }

        Run& run;
        beast::tcp_stream stream;
        asio::steady_timer timer;
        beast::flat_buffer buffer;
        http::request<http::empty_body> request;
        std::optional<http::response_parser<http::buffer_body>> parser;
        std::optional<FeedChecker> checker; // set while a feed is open
        std::vector<char> chunk;
        SteadyClock::time_point lastReceiveTime;
    };

    // Open-loop Poisson arrivals of one kind of load: slow answers do not delay further arrivals.
    class Arrivals {
    public:
        Arrivals(Run& owner, asio::io_context& context, LoadKind arrivalKind)
            : run(owner)
            , io(context)
            , kind(arrivalKind)
            , timer(context)
            , nextArrival(owner.startTime)
        {
        }

        void scheduleNext()
        {
            const double at = secondsOf(this->nextArrival - this->run.startTime);
            const double rate = this->run.options.targetFor(this->kind).rate * this->run.options.swing.factorAt(at);
            if (rate <= 0)
                return;
            this->nextArrival += durationOf(std::exponential_distribution<double>(rate)(this->run.random));
            this->timer.expires_at(this->nextArrival);
            this->timer.async_wait([this](ErrorCode error) {
                if (!error && !this->run.durationOver)
                    this->arrive();
            });
        }

        void stop() { this->timer.cancel(); }

    private:
        void arrive()
        {
            if (this->run.openRequests >= this->run.options.maxOpenRequests)
                ++this->run.report.reportFor(this->kind).notSent;
            else
                std::make_shared<RequestFlow>(this->run, this->io, this->kind)->start();
            this->scheduleNext();
        }

        Run& run;
        asio::io_context& io;
        LoadKind kind;
        asio::steady_timer timer;
        SteadyClock::time_point nextArrival;
    };

    // Samples busy times and performs the actions on its own thread.
    class Monitor {
    public:
        Monitor(const LoadOptions& loadOptions, SteadyClock::time_point runStart)
            : options(loadOptions)
            , startTime(runStart)
            , thread([this] { this->run(); })
        {
        }

        ~Monitor() { this->stop(); }
        Monitor(const Monitor&) = delete;
        Monitor& operator=(const Monitor&) = delete;

        void stop()
        {
            this->stopping = true;
            if (this->thread.joinable())
                this->thread.join();
        }

        // Results; valid after stop().
        std::vector<BusySample> busySamples;
        std::vector<PlotMark> marks;

    private:
        double elapsed() const { return secondsOf(SteadyClock::now() - this->startTime); }

        void run()
        {
            std::vector<LoadAction> actions = this->options.actions;
            std::sort(actions.begin(), actions.end(),
                [](const LoadAction& left, const LoadAction& right) { return left.atSeconds < right.atSeconds; });
            size_t nextAction = 0;
            SteadyClock::time_point nextReading = this->startTime;
            while (!this->stopping) {
                for (; nextAction < actions.size() && actions[nextAction].atSeconds <= this->elapsed(); ++nextAction)
                    this->perform(actions[nextAction]);
                if (SteadyClock::now() >= nextReading) {
                    this->sampleBusyTimes();
                    nextReading += busySampleInterval;
                }
                std::this_thread::sleep_for(monitorPollInterval);
            }
            this->sampleBusyTimes();
        }

        void perform(const LoadAction& action)
        {
            const double at = this->elapsed();
            const Result<HttpReply> reply = httpCall(action.admin, "POST", action.path, adminTimeout);
            const bool done = reply && reply.value().status == 200;
            this->marks.push_back({ at, action.path + ' ' + toString(action.admin) + (done ? "" : " (failed)") });
        }

        void sampleBusyTimes()
        {
            for (const Endpoint& admin : this->options.upstreamAdmins) {
                const double at = this->elapsed();
                const Result<HttpReply> reply = httpCall(admin, "GET", "/load", adminTimeout);
                boost::system::error_code error;
                const boost::json::value load = boost::json::parse(reply ? reply.value().body : "", error);
                if (error || !load.is_object())
                    continue;
                const boost::json::object& fields = load.as_object();
                this->busySamples.push_back(
                    { at, std::string(fields.at("service").as_string()), std::string(fields.at("upstream").as_string()),
                        static_cast<double>(fields.at("busy_us").to_number<int64_t>()) / 1e6 });
            }
        }

        LoadOptions options;
        SteadyClock::time_point startTime;
        std::atomic<bool> stopping = false;
        std::thread thread;
    };

    void readLedgers(Run& run)
    {
        std::vector<Ledger> ledgers;
        uint64_t missing = 0;
        for (const Endpoint& admin : run.options.upstreamAdmins) {
            const Result<HttpReply> reply = httpCall(admin, "GET", "/ledger", std::chrono::seconds(10));
            const Result<Ledger> ledger = ledgerFromJson(reply ? reply.value().body : "");
            if (ledger)
                ledgers.push_back(ledger.value());
            else
                ++missing;
        }
        run.report.ledger = compareLedgers(run.outcomes, ledgers);
        run.report.ledger.ledgersMissing = missing;
    }

    // Opens the feeds, generates arrivals for the configured duration, then waits for open requests.
    void runTraffic(Run& run)
    {
        asio::io_context io(1);
        std::vector<std::shared_ptr<FeedFlow>> feeds;
        const LoadTarget& feedTarget = run.options.targetFor(LoadKind::Feed);
        const size_t feedCount = feedTarget.addresses.empty() ? 0 : static_cast<size_t>(feedTarget.rate);
        for (size_t i = 0; i < feedCount; ++i) {
            feeds.push_back(std::make_shared<FeedFlow>(run, io));
            feeds.back()->openAfter(feedOpenSpread * static_cast<int>(i) / static_cast<int>(feedCount));
        }
        std::vector<std::unique_ptr<Arrivals>> arrivals;
        for (const LoadKind kind : { LoadKind::Registration, LoadKind::Download, LoadKind::Upload }) {
            if (run.options.targetFor(kind).addresses.empty())
                continue;
            arrivals.push_back(std::make_unique<Arrivals>(run, io, kind));
            arrivals.back()->scheduleNext();
        }
        asio::steady_timer end(io, run.startTime + durationOf(run.options.seconds));
        end.async_wait([&](ErrorCode) {
            run.durationOver = true;
            for (const std::unique_ptr<Arrivals>& arrival : arrivals)
                arrival->stop();
            for (const std::shared_ptr<FeedFlow>& feed : feeds)
                feed->end();
        });
        io.run(); // returns when the last request has completed or timed out
    }

} // namespace

double Swing::factorAt(double at) const
{
    const double peakBegin = this->begin + this->rise;
    const double peakEnd = peakBegin + this->hold;
    if (at < this->begin || at >= peakEnd + this->rise)
        return 1;
    const double progress = at < peakBegin ? (at - this->begin) / this->rise
        : at < peakEnd                     ? 1
                                           : 1 - (at - peakEnd) / this->rise;
    return 1 + (this->factor - 1) * progress;
}

LoadReport runLoad(const LoadOptions& options)
{
    Run run(options);
    Monitor monitor(options, run.startTime);
    runTraffic(run);
    monitor.stop();
    run.report.seconds = options.seconds;
    run.report.seed = options.seed;
    run.report.busySamples = std::move(monitor.busySamples);
    run.report.marks = std::move(monitor.marks);
    // Samples taken after the last arrivals would add windows without load.
    std::erase_if(
        run.report.busySamples, [&](const BusySample& sample) { return sample.atSeconds > options.seconds + 0.5; });
    run.report.imbalance
        = imbalanceWindows(run.report.busySamples, std::min(options.imbalanceWindowSeconds, options.seconds));
    readLedgers(run);
    return std::move(run.report);
}

} // namespace wasabicroft::fakes
