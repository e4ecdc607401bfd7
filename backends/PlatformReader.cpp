#include "backends/PlatformReader.h"

#include "backends/Guard.h"
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
    // Limit of frames posted by other threads; further frames are dropped.
    constexpr size_t maxQueuedPeerFrames = 1024;

    struct CallResult {
        enum class Kind : uint8_t { Value, NotModified, Failure };

        Kind kind = Kind::Failure;
        uint64_t index = 0;
        std::optional<std::string> bytes;
        std::string reason;
    };

    std::string requestTarget(const PlatformCall& call)
    {
        std::string target = call.stream == PlatformStream::Instances ? "/v1/instances" : "/v1/keys/" + call.key;
        if (call.knownIndex)
            target += "?index=" + std::to_string(*call.knownIndex) + "&wait-ms=" + std::to_string(call.wait.count());
        return target;
    }

    std::optional<uint64_t> parseIndex(const HttpResponse& response)
    {
        const beast::string_view text = response["X-Index"];
        uint64_t index = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), index);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return index;
    }

    CallResult toCallResult(HttpResult&& result)
    {
        if (!result)
            return { CallResult::Kind::Failure, 0, std::nullopt, result.error().message };
        HttpResponse& response = result.value();
        if (response.result() == http::status::not_modified)
            return { CallResult::Kind::NotModified, 0, std::nullopt, {} };
        const std::optional<uint64_t> index = parseIndex(response);
        if (response.result() == http::status::ok && index)
            return { CallResult::Kind::Value, *index, std::move(response.body()), {} };
        if (response.result() == http::status::not_found)
            return { CallResult::Kind::Value, index.value_or(0), std::nullopt, {} };
        return { CallResult::Kind::Failure, 0, std::nullopt,
            "the platform responded with HTTP status " + std::to_string(response.result_int())
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

// State of the control thread. Other threads only post work to it and read the status.
class PlatformReader::ControlThread {
public:
    ControlThread(
        PlatformReaderOptions threadOptions, const Clock& timeSource, std::function<void(PlatformUpdate)> deliverUpdate)
        : options(std::move(threadOptions))
        , clock(timeSource)
        , deliver(std::move(deliverUpdate))
        , reader(readerOptions(this->options), timeSource)
        , work(asio::make_work_guard(this->context))
        , timers { asio::steady_timer(this->context), asio::steady_timer(this->context) }
        , propagationTimer(this->context)
        , peerTimer(this->context)
    {
        if (!this->options.peers)
            return;
        this->propagation.emplace(propagationOptions(this->options), timeSource);
        PeerLinksHandlers handlers;
        handlers.onFrame = [this](const PeerRoute& from, const Frame& frame) {
            this->propagation->onFrame(from, frame);
            this->processUpdates();
        };
        handlers.onUnreachable = [this](const PeerRoute& route) {
            this->propagation->onUnreachable(route);
            this->processUpdates();
        };
        this->links.emplace(this->context, this->options.peers->links, timeSource, *this->options.metrics, handlers);
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
        this->post([this] {
            this->processUpdates();
            this->scheduleTick();
        });
        this->thread = std::thread([this] { runEventLoop(this->context); });
        return true;
    }

    void stop()
    {
        if (!this->thread.joinable())
            return;
        this->post([this] {
            this->isStopping = true;
            for (asio::steady_timer& timer : this->timers)
                timer.cancel();
            for (std::shared_ptr<HttpClient>& httpClient : this->httpClients) {
                if (httpClient)
                    httpClient->close();
                httpClient.reset();
            }
            this->propagationTimer.cancel();
            this->peerTimer.cancel();
            if (this->links)
                this->links->closeAll();
            this->work.reset();
        });
        this->thread.join();
    }

    void onNewerVersionSeen(ConfigVersion seen)
    {
        this->post([this, seen] {
            this->reader.onNewerVersionSeen(seen);
            this->processUpdates();
        });
    }

    void onPeerSnapshot(std::shared_ptr<const Snapshot> snapshot)
    {
        this->post([this, snapshot = std::move(snapshot)]() mutable {
            this->reader.onPeerSnapshot(std::move(snapshot));
            this->processUpdates();
        });
    }

    void onPeerFrame(uint64_t link, Frame frame, Reply reply)
    {
        this->postPeerWork([this, link, frame = std::move(frame), reply = std::move(reply)]() mutable {
            this->propagation->onFrame(this->links->registerExternalLink(link, std::move(reply)), frame);
        });
    }

    void onPeerVersion(uint64_t link, uint64_t version, Reply reply)
    {
        this->postPeerWork([this, link, version, reply = std::move(reply)]() mutable {
            this->propagation->onVersionSeen(this->links->registerExternalLink(link, std::move(reply)), version);
        });
    }

    PlatformReaderStatus status() const
    {
        const std::lock_guard lock(this->statusMutex);
        return this->publishedStatus;
    }

private:
    void post(std::function<void()> work) { asio::post(this->context, std::move(work)); }

    void postPeerWork(std::function<void()> work)
    {
        if (!this->propagation)
            return;
        if (++this->queuedPeerFrames > maxQueuedPeerFrames) {
            --this->queuedPeerFrames;
            this->options.metrics->add("wasabi_frames_dropped_total", "cause=\"control-thread-busy\"");
            return;
        }
        this->post([this, work = std::move(work)] {
            --this->queuedPeerFrames;
            if (this->isStopping)
                return;
            work();
            this->processUpdates();
        });
    }

    void scheduleTick()
    {
        if (!this->links || this->isStopping)
            return;
        this->peerTimer.expires_after(peerTickInterval);
        this->peerTimer.async_wait([this](beast::error_code error) {
            if (error)
                return;
            this->links->onTick();
            this->scheduleTick();
        });
    }

    // Passes an update of the platform to the propagation and returns the update that takes effect.
    PlatformUpdate applyPropagation(PlatformUpdate update)
    {
        if (update.members)
            this->propagation->setMembers(update.members, this->reader.isWatching());
        if (update.snapshot)
            this->propagation->onPlatformSnapshot(update.snapshot);
        const std::optional<TimePoint> confirmation = this->reader.lastConfirmation();
        if (confirmation && confirmation != this->lastConfirmation
            && this->reader.version() == this->propagation->version()) {
            this->lastConfirmation = confirmation;
            this->propagation->onPlatformConfirmation();
        }
        const PropagationUpdate propagated = this->propagation->takeUpdate();
        update.snapshot = propagated.snapshot;
        if (propagated.snapshot)
            this->reader.onPeerSnapshot(propagated.snapshot);
        if (propagated.members) {
            this->reader.onPeerMembers(propagated.members);
            this->post([this] { this->processUpdates(); });
        }
        this->reader.setConfigReadsEnabled(this->propagation->shouldReadPlatform());
        for (const PeerFrame& peerFrame : this->propagation->takeFrames())
            this->links->send(peerFrame);
        this->propagationTimer.expires_after(
            std::max<Duration>(Milliseconds(1), this->propagation->nextTimer() - this->clock.now()));
        this->propagationTimer.async_wait([this](beast::error_code error) {
            if (error)
                return;
            this->propagation->onTimer();
            this->processUpdates();
        });
        return update;
    }

    void processUpdates()
    {
        if (this->isStopping)
            return;
        PlatformUpdate update = this->reader.takeUpdate();
        if (this->propagation)
            update = this->applyPropagation(std::move(update));
        this->publishStatus();
        if (update.snapshot || update.members)
            this->deliver(std::move(update));
        for (size_t i = 0; i < platformStreamCount; ++i)
            this->startDueCall(static_cast<PlatformStream>(i));
    }

    void startDueCall(PlatformStream stream)
    {
        const size_t i = static_cast<size_t>(stream);
        const std::optional<PlatformCall> call = this->reader.nextCall(stream);
        if (call) {
            std::shared_ptr<HttpClient>& httpClient = this->httpClients.at(i);
            if (httpClient && this->isCalling.at(i))
                std::exchange(httpClient, nullptr)->close();
            if (!httpClient)
                httpClient = std::make_shared<HttpClient>(this->context);
            this->isCalling.at(i) = true;
            const Milliseconds timeout = this->options.callTimeout;
            httpClient->start(this->options.platform, requestTarget(*call), { timeout + call->wait, timeout },
                [this, call = *call](HttpResult result) { this->onCallResult(call, toCallResult(std::move(result))); });
        }
        const TimePoint due = this->reader.nextCallTime(stream);
        asio::steady_timer& timer = this->timers.at(i);
        if (due == TimePoint::max()) {
            timer.cancel();
            return;
        }
        timer.expires_after(std::max(Duration::zero(), due - this->clock.now()));
        timer.async_wait([this](beast::error_code error) {
            if (!error)
                this->processUpdates();
        });
    }

    void onCallResult(const PlatformCall& call, const CallResult& result)
    {
        this->isCalling.at(static_cast<size_t>(call.stream)) = false;
        if (result.kind == CallResult::Kind::Value)
            this->reader.onValue(call, result.index, result.bytes);
        else if (result.kind == CallResult::Kind::NotModified)
            this->reader.onNotModified(call);
        else
            this->reader.onFailure(call, result.reason);
        this->processUpdates();
    }

    void publishStatus()
    {
        const std::lock_guard lock(this->statusMutex);
        this->publishedStatus = { this->reader.version(), this->reader.isWatching(), this->reader.rejectedCount(),
            this->reader.lastContact(), {} };
        if (this->propagation) {
            this->publishedStatus.propagation = this->propagation->status();
            this->publishedStatus.version = this->publishedStatus.propagation.version;
        }
    }

    PlatformReaderOptions options;
    const Clock& clock;
    std::function<void(PlatformUpdate)> deliver;
    ConfigReader reader;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::array<asio::steady_timer, platformStreamCount> timers;
    std::array<std::shared_ptr<HttpClient>, platformStreamCount> httpClients;
    std::array<bool, platformStreamCount> isCalling {};
    std::optional<Propagation> propagation;
    std::optional<PeerLinks> links;
    asio::steady_timer propagationTimer;
    asio::steady_timer peerTimer;
    std::optional<TimePoint> lastConfirmation;
    std::atomic<size_t> queuedPeerFrames = 0;
    bool isStopping = false;
    std::thread thread;
    mutable std::mutex statusMutex;
    PlatformReaderStatus publishedStatus;
};

PlatformReader::PlatformReader(
    PlatformReaderOptions options, const Clock& clock, std::function<void(PlatformUpdate)> deliver)
    : controlThread(std::make_unique<ControlThread>(std::move(options), clock, std::move(deliver)))
{
}

PlatformReader::~PlatformReader() { this->stop(); }

Result<bool> PlatformReader::start() { return this->controlThread->start(); }

void PlatformReader::stop() { this->controlThread->stop(); }

void PlatformReader::onNewerVersionSeen(ConfigVersion seen) { this->controlThread->onNewerVersionSeen(seen); }

void PlatformReader::onPeerSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    this->controlThread->onPeerSnapshot(std::move(snapshot));
}

void PlatformReader::onPeerFrame(uint64_t link, Frame frame, Reply reply)
{
    this->controlThread->onPeerFrame(link, std::move(frame), std::move(reply));
}

void PlatformReader::onPeerVersion(uint64_t link, uint64_t version, Reply reply)
{
    this->controlThread->onPeerVersion(link, version, std::move(reply));
}

PlatformReaderStatus PlatformReader::status() const { return this->controlThread->status(); }

} // namespace wasabicroft
