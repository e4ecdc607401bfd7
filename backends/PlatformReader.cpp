#include "backends/PlatformReader.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <mutex>
#include <thread>

namespace wasabicroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    // The instance list of 6,400 processes is the largest answer, at about 150 bytes a row.
    constexpr uint64_t maxAnswerBytes = 4 * 1024 * 1024;

    struct CallResult {
        enum class Kind : uint8_t { Value, NotModified, Failure };

        Kind kind = Kind::Failure;
        uint64_t index = 0;
        std::optional<std::string> bytes;
        std::string reason;
    };

    std::string targetOf(const PlatformCall& call)
    {
        std::string target = call.stream == PlatformStream::Instances ? "/v1/instances" : "/v1/keys/" + call.key;
        if (call.knownIndex)
            target += "?index=" + std::to_string(*call.knownIndex) + "&wait-ms=" + std::to_string(call.wait.count());
        return target;
    }

    std::optional<uint64_t> indexOf(const http::response<http::string_body>& response)
    {
        const beast::string_view text = response["X-Index"];
        uint64_t index = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), index);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return index;
    }

    CallResult resultOf(http::response<http::string_body>&& response)
    {
        if (response.result() == http::status::not_modified)
            return { CallResult::Kind::NotModified, 0, std::nullopt, {} };
        const std::optional<uint64_t> index = indexOf(response);
        if (response.result() == http::status::ok && index)
            return { CallResult::Kind::Value, *index, std::move(response.body()), {} };
        if (response.result() == http::status::not_found)
            return { CallResult::Kind::Value, index.value_or(0), std::nullopt, {} };
        return { CallResult::Kind::Failure, 0, std::nullopt,
            "the platform answered with HTTP status " + std::to_string(response.result_int())
                + (index ? "" : " without an X-Index header") };
    }

    // One HTTP call on its own connection.
    class HttpCall : public std::enable_shared_from_this<HttpCall> {
    public:
        using Done = std::function<void(const CallResult&)>;

        HttpCall(asio::io_context& context, Done done)
            : stream(context)
            , done(std::move(done))
        {
        }

        void start(const Endpoint& platform, const PlatformCall& call, Milliseconds timeout)
        {
            this->request = { http::verb::get, targetOf(call), 11 };
            this->request.set(http::field::host, toString(platform));
            this->request.set(http::field::connection, "close");
            this->parser.body_limit(maxAnswerBytes);
            this->stream.expires_after(timeout + call.wait);
            const std::shared_ptr<HttpCall> self = this->shared_from_this();
            const asio::ip::tcp::endpoint peer(asio::ip::make_address(platform.address), platform.port);
            this->stream.async_connect(peer, [self](beast::error_code error) {
                if (error)
                    self->fail(error);
                else
                    self->write();
            });
        }

        // The outcome is not reported.
        void cancel()
        {
            this->done = nullptr;
            this->stream.close();
        }

    private:
        void write()
        {
            const std::shared_ptr<HttpCall> self = this->shared_from_this();
            http::async_write(this->stream, this->request, [self](beast::error_code error, size_t) {
                if (error)
                    self->fail(error);
                else
                    self->read();
            });
        }

        void read()
        {
            const std::shared_ptr<HttpCall> self = this->shared_from_this();
            http::async_read(this->stream, this->buffer, this->parser, [self](beast::error_code error, size_t) {
                if (error)
                    self->fail(error);
                else
                    self->finish(resultOf(self->parser.release()));
            });
        }

        void fail(beast::error_code error)
        {
            this->finish({ CallResult::Kind::Failure, 0, std::nullopt, error.message() });
        }

        void finish(const CallResult& result)
        {
            if (this->done)
                std::exchange(this->done, nullptr)(result);
        }

        beast::tcp_stream stream;
        Done done;
        http::request<http::empty_body> request;
        http::response_parser<http::string_body> parser;
        beast::flat_buffer buffer;
    };

    ConfigReaderOptions readerOptions(const PlatformReaderOptions& options)
    {
        ConfigReaderOptions timing = options.timing;
        timing.self = options.self;
        timing.role = options.role;
        timing.seed ^= hashName(options.self);
        return timing;
    }

} // namespace

// State of the control thread. Everything but status is used on that thread only.
class PlatformReader::Loop {
public:
    Loop(PlatformReaderOptions loopOptions, const Clock& time, std::function<void(PlatformUpdate)> deliverUpdate)
        : options(std::move(loopOptions))
        , clock(time)
        , deliver(std::move(deliverUpdate))
        , reader(readerOptions(this->options), time)
        , work(asio::make_work_guard(this->context))
        , timers { asio::steady_timer(this->context), asio::steady_timer(this->context) }
    {
    }

    void start()
    {
        if (this->thread.joinable())
            return;
        this->run([this] { this->proceed(); });
        this->thread = std::thread([this] { this->context.run(); });
    }

    void stop()
    {
        if (!this->thread.joinable())
            return;
        this->run([this] {
            this->isStopping = true;
            for (asio::steady_timer& timer : this->timers)
                timer.cancel();
            for (std::shared_ptr<HttpCall>& call : this->calls) {
                if (call)
                    call->cancel();
                call.reset();
            }
            this->work.reset();
        });
        this->thread.join();
    }

    void hint(ConfigVersion seen)
    {
        this->run([this, seen] {
            this->reader.hint(seen);
            this->proceed();
        });
    }

    void offer(std::shared_ptr<const Snapshot> snapshot)
    {
        this->run([this, snapshot = std::move(snapshot)]() mutable {
            this->reader.offer(std::move(snapshot));
            this->proceed();
        });
    }

    PlatformReaderStatus status() const
    {
        const std::lock_guard lock(this->statusMutex);
        return this->published;
    }

private:
    void run(std::function<void()> work) { asio::post(this->context, std::move(work)); }

    void proceed()
    {
        if (this->isStopping)
            return;
        PlatformUpdate update = this->reader.takeUpdate();
        this->publishStatus();
        if (update.snapshot || update.members)
            this->deliver(std::move(update));
        for (size_t i = 0; i < platformStreamCount; ++i)
            this->proceed(static_cast<PlatformStream>(i));
    }

    void proceed(PlatformStream which)
    {
        const size_t i = static_cast<size_t>(which);
        const std::optional<PlatformCall> call = this->reader.nextCall(which);
        if (call) {
            if (this->calls.at(i))
                this->calls.at(i)->cancel();
            this->calls.at(i) = std::make_shared<HttpCall>(
                this->context, [this, call = *call](const CallResult& result) { this->report(call, result); });
            this->calls.at(i)->start(this->options.platform, *call, this->options.callTimeout);
        }
        const TimePoint due = this->reader.nextCallTime(which);
        asio::steady_timer& timer = this->timers.at(i);
        if (due == TimePoint::max()) {
            timer.cancel();
            return;
        }
        timer.expires_after(std::max(Duration::zero(), due - this->clock.now()));
        timer.async_wait([this](beast::error_code error) {
            if (!error)
                this->proceed();
        });
    }

    void report(const PlatformCall& call, const CallResult& result)
    {
        this->calls.at(static_cast<size_t>(call.stream)).reset();
        if (result.kind == CallResult::Kind::Value)
            this->reader.onValue(call, result.index, result.bytes);
        else if (result.kind == CallResult::Kind::NotModified)
            this->reader.onNotModified(call);
        else
            this->reader.onFailure(call, result.reason);
        this->proceed();
    }

    void publishStatus()
    {
        const std::lock_guard lock(this->statusMutex);
        this->published = { this->reader.version(), this->reader.watches(), this->reader.rejectedCount(),
            this->reader.lastContact() };
    }

    PlatformReaderOptions options;
    const Clock& clock;
    std::function<void(PlatformUpdate)> deliver;
    ConfigReader reader;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::array<asio::steady_timer, platformStreamCount> timers;
    std::array<std::shared_ptr<HttpCall>, platformStreamCount> calls;
    bool isStopping = false;
    std::thread thread;
    mutable std::mutex statusMutex;
    PlatformReaderStatus published;
};

PlatformReader::PlatformReader(
    PlatformReaderOptions options, const Clock& clock, std::function<void(PlatformUpdate)> deliver)
    : loop(std::make_unique<Loop>(std::move(options), clock, std::move(deliver)))
{
}

PlatformReader::~PlatformReader() { this->stop(); }

void PlatformReader::start() { this->loop->start(); }

void PlatformReader::stop() { this->loop->stop(); }

void PlatformReader::hint(ConfigVersion seen) { this->loop->hint(seen); }

void PlatformReader::offer(std::shared_ptr<const Snapshot> snapshot) { this->loop->offer(std::move(snapshot)); }

PlatformReaderStatus PlatformReader::status() const { return this->loop->status(); }

} // namespace wasabicroft
