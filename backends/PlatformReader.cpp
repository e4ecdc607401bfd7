#include "backends/PlatformReader.h"

#include "backends/HttpClient.h"

#include <atomic>
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

    constexpr Milliseconds peerTickInterval { 50 };
    constexpr size_t maxWaitingPeerFrames = 1024; // handed over by other threads; further ones are dropped

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

    std::optional<uint64_t> indexOf(const HttpResponse& response)
    {
        const beast::string_view text = response["X-Index"];
        uint64_t index = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), index);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return index;
    }

    CallResult resultOf(HttpResult&& answer)
    {
        if (!answer)
            return { CallResult::Kind::Failure, 0, std::nullopt, answer.error().message };
        HttpResponse& response = answer.value();
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

    ConfigReaderOptions readerOptions(const PlatformReaderOptions& options)
    {
        ConfigReaderOptions timing = options.timing;
        timing.self = options.self;
        timing.role = options.role;
        timing.seed ^= hashName(options.self);
        return timing;
    }

    PropagationOptions propagationOptions(const PlatformReaderOptions& options)
    {
        PropagationOptions propagation = options.peers->propagation;
        propagation.self = options.self;
        propagation.watchers = options.timing.watchers;
        propagation.seed ^= hashName(options.self);
        return propagation;
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
        , propagationTimer(this->context)
        , peerTicker(this->context)
    {
        if (!this->options.peers)
            return;
        this->propagation.emplace(propagationOptions(this->options), time);
        PeerLinksHandlers handlers;
        handlers.onFrame = [this](const PeerRoute& from, const Frame& frame) {
            this->propagation->onFrame(from, frame);
            this->proceed();
        };
        handlers.onUnreachable = [this](const PeerRoute& route) {
            this->propagation->onUnreachable(route);
            this->proceed();
        };
        this->links.emplace(this->context, this->options.peers->links, time, *this->options.metrics, handlers);
    }

    Result<bool> start()
    {
        if (this->thread.joinable())
            return true;
        if (this->links && this->options.peers->listen) {
            const Result<Endpoint> bound = this->links->listen(*this->options.peers->listen);
            if (!bound)
                return bound.error();
        }
        this->run([this] {
            this->proceed();
            this->scheduleTick();
        });
        this->thread = std::thread([this] { this->context.run(); });
        return true;
    }

    void stop()
    {
        if (!this->thread.joinable())
            return;
        this->run([this] {
            this->isStopping = true;
            for (asio::steady_timer& timer : this->timers)
                timer.cancel();
            for (std::shared_ptr<HttpClient>& connection : this->connections) {
                if (connection)
                    connection->close();
                connection.reset();
            }
            this->propagationTimer.cancel();
            this->peerTicker.cancel();
            if (this->links)
                this->links->closeAll();
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

    void onPeerFrame(uint64_t link, Frame frame, Reply reply)
    {
        this->runForPeer([this, link, frame = std::move(frame), reply = std::move(reply)]() mutable {
            this->propagation->onFrame(this->links->routeFor(link, std::move(reply)), frame);
        });
    }

    void onPeerVersion(uint64_t link, uint64_t version, Reply reply)
    {
        this->runForPeer([this, link, version, reply = std::move(reply)]() mutable {
            this->propagation->onHint(this->links->routeFor(link, std::move(reply)), version);
        });
    }

    PlatformReaderStatus status() const
    {
        const std::lock_guard lock(this->statusMutex);
        return this->published;
    }

private:
    void run(std::function<void()> work) { asio::post(this->context, std::move(work)); }

    void runForPeer(std::function<void()> work)
    {
        if (!this->propagation)
            return;
        if (++this->waitingPeerFrames > maxWaitingPeerFrames) {
            --this->waitingPeerFrames;
            this->options.metrics->add("wasabi_frames_dropped_total", "cause=\"control-thread-busy\"");
            return;
        }
        this->run([this, work = std::move(work)] {
            --this->waitingPeerFrames;
            if (this->isStopping)
                return;
            work();
            this->proceed();
        });
    }

    void scheduleTick()
    {
        if (!this->links || this->isStopping)
            return;
        this->peerTicker.expires_after(peerTickInterval);
        this->peerTicker.async_wait([this](beast::error_code error) {
            if (error)
                return;
            this->links->onTick();
            this->scheduleTick();
        });
    }

    // Passes what the platform showed through the propagation, which decides what takes effect.
    PlatformUpdate throughPropagation(PlatformUpdate update)
    {
        if (update.members)
            this->propagation->setMembers(update.members, this->reader.watches());
        if (update.snapshot)
            this->propagation->onPlatformSnapshot(update.snapshot);
        const std::optional<TimePoint> confirmation = this->reader.lastConfirmation();
        if (confirmation && confirmation != this->lastConfirmation
            && this->reader.version() == this->propagation->version()) {
            this->lastConfirmation = confirmation;
            this->propagation->onPlatformConfirmation();
        }
        const PropagationUpdate news = this->propagation->takeUpdate();
        update.snapshot = news.snapshot;
        if (news.snapshot)
            this->reader.offer(news.snapshot);
        if (news.members) {
            this->reader.offerMembers(news.members);
            this->run([this] { this->proceed(); });
        }
        this->reader.setConfigReads(this->propagation->readsPlatform());
        for (const PeerFrame& peerFrame : this->propagation->takeFrames())
            this->links->send(peerFrame);
        this->propagationTimer.expires_after(
            std::max<Duration>(Milliseconds(1), this->propagation->nextTimer() - this->clock.now()));
        this->propagationTimer.async_wait([this](beast::error_code error) {
            if (error)
                return;
            this->propagation->onTimer();
            this->proceed();
        });
        return update;
    }

    void proceed()
    {
        if (this->isStopping)
            return;
        PlatformUpdate update = this->reader.takeUpdate();
        if (this->propagation)
            update = this->throughPropagation(std::move(update));
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
            std::shared_ptr<HttpClient>& connection = this->connections.at(i);
            if (connection && this->isCalling.at(i))
                std::exchange(connection, nullptr)->close();
            if (!connection)
                connection = std::make_shared<HttpClient>(this->context);
            this->isCalling.at(i) = true;
            connection->start(this->options.platform, targetOf(*call), this->options.callTimeout + call->wait,
                [this, call = *call](HttpResult result) { this->report(call, resultOf(std::move(result))); });
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
        this->isCalling.at(static_cast<size_t>(call.stream)) = false;
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
            this->reader.lastContact(), {} };
        if (this->propagation) {
            this->published.propagation = this->propagation->status();
            this->published.version = this->published.propagation.version;
        }
    }

    PlatformReaderOptions options;
    const Clock& clock;
    std::function<void(PlatformUpdate)> deliver;
    ConfigReader reader;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::array<asio::steady_timer, platformStreamCount> timers;
    std::array<std::shared_ptr<HttpClient>, platformStreamCount> connections;
    std::array<bool, platformStreamCount> isCalling {};
    std::optional<Propagation> propagation;
    std::optional<PeerLinks> links;
    asio::steady_timer propagationTimer;
    asio::steady_timer peerTicker;
    std::optional<TimePoint> lastConfirmation;
    std::atomic<size_t> waitingPeerFrames = 0;
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

Result<bool> PlatformReader::start() { return this->loop->start(); }

void PlatformReader::stop() { this->loop->stop(); }

void PlatformReader::hint(ConfigVersion seen) { this->loop->hint(seen); }

void PlatformReader::offer(std::shared_ptr<const Snapshot> snapshot) { this->loop->offer(std::move(snapshot)); }

void PlatformReader::onPeerFrame(uint64_t link, Frame frame, Reply reply)
{
    this->loop->onPeerFrame(link, std::move(frame), std::move(reply));
}

void PlatformReader::onPeerVersion(uint64_t link, uint64_t version, Reply reply)
{
    this->loop->onPeerVersion(link, version, std::move(reply));
}

PlatformReaderStatus PlatformReader::status() const { return this->loop->status(); }

} // namespace wasabicroft
