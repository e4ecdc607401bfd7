// Runs an entry, an agent and an upstream in this process with real sockets. Relays between callers and entry and
// between entry and agent add delay, jitter and loss. Measures the delay of feed lines from the upstream to the caller,
// first without other traffic, then during saturating downloads.
//
// Index
//   [SECTION] Options and results
//   [SECTION] Threads
//   [SECTION] Callers
//   [SECTION] Run
#pragma once

#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "fakes/Pattern.h"
#include "fakes/Relay.h"
#include "fakes/Upstream.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

struct LinkBenchOptions {
    LinkOptions links;
    fakes::LinkConditions callerPath { std::chrono::milliseconds(3), std::chrono::milliseconds(0), 0 };
    fakes::LinkConditions linkPath { std::chrono::milliseconds(4), std::chrono::milliseconds(2), 0.01 };
    unsigned feeds = 4;
    Milliseconds feedInterval { 100 };
    unsigned downloads = 8; // Concurrent downloads of the loaded phase.
    Milliseconds warmUp { 500 }; // Start of each phase; its feed lines are not counted.
    Milliseconds idleTime { 10000 };
    Milliseconds loadTime { 10000 };
    Milliseconds openTimeout { 300 };
    bool withRefusedAgent = false; // Adds a second upstream whose agent refuses links.
    uint64_t seed = 1;
};

struct LinkBenchResults {
    std::vector<double> idleDelays; // Milliseconds.
    std::vector<double> loadedDelays; // Milliseconds.
    uint64_t brokenFeeds = 0;
    uint64_t downloadedBytes = 0; // In the loaded phase.
    uint64_t links = 0; // Connections opened between entry and agent.
};

inline double quantileOf(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
}

//-----------------------------------------------------------------------------
// [SECTION] Threads
//-----------------------------------------------------------------------------

// Runs one io_context on a thread, as the daemons do.
class IoThread {
public:
    IoThread()
        : guard(boost::asio::make_work_guard(this->context))
        , thread([this] { this->context.run(); })
    {
    }
    ~IoThread() { this->stop(); }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    template <typename Function> auto call(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        std::future<decltype(function())> result = task.get_future();
        boost::asio::post(this->context, [&task] { task(); });
        return result.get();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread;
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

// Sends a GET request and reads the response to its end. A repeating caller then sends the request again on a new
// connection.
class HttpGetCaller : public std::enable_shared_from_this<HttpGetCaller> {
public:
    HttpGetCaller(boost::asio::io_context& context, const Endpoint& front, std::string path, bool isRepeated)
        : endpoint(toTcp(front))
        , socket(context)
        , request("GET " + std::move(path) + " HTTP/1.1\r\nHost: core\r\nConnection: close\r\n\r\n")
        , repeats(isRepeated)
        , buffer(64 * 1024)
    {
    }

    std::function<void(std::string_view)> onBytes;

    void start()
    {
        this->socket.async_connect(this->endpoint, [self = this->shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            boost::asio::async_write(self->socket, boost::asio::buffer(self->request),
                [self](boost::system::error_code, size_t) { self->read(); });
        });
    }

    void stop()
    {
        this->repeats = false;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

private:
    void read()
    {
        this->socket.async_read_some(boost::asio::buffer(this->buffer),
            [self = this->shared_from_this()](boost::system::error_code error, size_t size) {
                if (size > 0)
                    self->onBytes({ self->buffer.data(), size });
                if (!error) {
                    self->read();
                    return;
                }
                boost::system::error_code ignored;
                self->socket.close(ignored);
                if (self->repeats)
                    self->start();
            });
    }

    boost::asio::ip::tcp::endpoint endpoint;
    boost::asio::ip::tcp::socket socket;
    std::string request;
    bool repeats;
    std::vector<char> buffer;
};

//-----------------------------------------------------------------------------
// [SECTION] Run
//-----------------------------------------------------------------------------

class LinkBench {
public:
    explicit LinkBench(const LinkBenchOptions& benchOptions)
        : options(benchOptions)
        , upstream(upstreamOptions(benchOptions))
    {
        AgentOptions agentOptions;
        agentOptions.name = "host-1";
        agentOptions.linkEndpoint = { "127.0.0.1", 0 };
        agentOptions.links = benchOptions.links;
        this->agent
            = std::make_unique<AgentServer>(this->agentThread.context, agentOptions, this->clock, this->agentMetrics);
        const Endpoint agentEndpoint = this->agentThread.call([this] { return this->agent->start().value(); });
        this->linkRelay = this->makeRelay(agentEndpoint, benchOptions.linkPath);
        EntryOptions entryOptions;
        entryOptions.links = benchOptions.links;
        entryOptions.flows.openTimeout = benchOptions.openTimeout;
        this->entry
            = std::make_unique<EntryServer>(this->entryThread.context, entryOptions, this->clock, this->entryMetrics);
        const std::shared_ptr<const Snapshot> snapshot = this->snapshotFor(this->linkRelay->endpoint());
        this->agentThread.call([&] { this->agent->applySnapshot(snapshot); });
        this->entryThread.call([&] {
            this->entry->applySnapshot(snapshot);
            this->entry->start();
        });
        this->feedRelay = this->makeRelay(this->listener("alerts"), benchOptions.callerPath);
        this->bulkRelay = this->makeRelay(this->listener("sheets"), benchOptions.callerPath);
    }

    ~LinkBench()
    {
        this->callerThread.call([this] {
            for (const std::shared_ptr<HttpGetCaller>& caller : this->callers)
                caller->stop();
        });
        this->callerThread.stop();
        this->entryThread.call([this] { this->entry->stop(); });
        this->agentThread.call([this] { this->agent->stop(); });
        this->entryThread.stop();
        this->agentThread.stop();
    }
    LinkBench(const LinkBench&) = delete;
    LinkBench& operator=(const LinkBench&) = delete;

    // Returns the address of the listener "alerts" or "sheets" at the entry itself, without the relay.
    Endpoint listener(const std::string& name)
    {
        return this->entryThread.call([&] { return this->entry->boundEndpoint("core", name).value(); });
    }

    fakes::Relay& agentRelay() { return *this->linkRelay; }
    const Metrics& metricsOfAgent() const { return this->agentMetrics; }
    const Metrics& metricsOfEntry() const { return this->entryMetrics; }

    LinkBenchResults run()
    {
        for (unsigned i = 0; i < this->options.feeds; ++i) {
            this->callerThread.call([this] { this->startFeed(); });
            // Staggers the feeds: lines of feeds that start together would share a TCP segment.
            std::this_thread::sleep_for(this->options.feedInterval / this->options.feeds);
        }
        this->measure(this->results.idleDelays, this->options.idleTime);
        this->callerThread.call([this] { this->startDownloads(); });
        this->measure(this->results.loadedDelays, this->options.loadTime);
        this->callerThread.call([this] {
            for (const std::unique_ptr<fakes::FeedChecker>& checker : this->checkers)
                this->results.brokenFeeds += checker->counts().isBroken() ? 1 : 0;
        });
        this->results.links = this->linkRelay->counts().connections;
        return this->results;
    }

private:
    static fakes::UpstreamOptions upstreamOptions(const LinkBenchOptions& options)
    {
        fakes::UpstreamOptions upstream;
        upstream.service = "core";
        upstream.slots = options.downloads * 2;
        upstream.feedInterval = options.feedInterval;
        return upstream;
    }

    std::unique_ptr<fakes::Relay> makeRelay(const Endpoint& target, const fakes::LinkConditions& conditions) const
    {
        fakes::RelayOptions relay;
        relay.targets = { target };
        relay.conditions = conditions;
        relay.seed = this->options.seed;
        return std::make_unique<fakes::Relay>(relay);
    }

    std::shared_ptr<const Snapshot> snapshotFor(const Endpoint& agentAddress) const
    {
        ServiceConfig service;
        service.name = "core";
        service.slots = static_cast<uint16_t>(this->options.downloads * 2);
        service.listeners = { { "alerts", { "127.0.0.1", 0 }, TrafficClass::Feed },
            { "sheets", { "127.0.0.1", 0 }, TrafficClass::Bulk } };
        service.upstreams = { { "host-1", "a", agentAddress, this->upstream.endpoint(), false } };
        if (this->options.withRefusedAgent)
            service.upstreams.push_back({ "host-2", "a", { "127.0.0.1", 1 }, this->upstream.endpoint(), false });
        const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
        snapshot->manifest.version = 1;
        snapshot->services = { service };
        return snapshot;
    }

    void startFeed()
    {
        this->checkers.push_back(std::make_unique<fakes::FeedChecker>("core"));
        fakes::FeedChecker* checker = this->checkers.back().get();
        checker->onDelay = [this](std::chrono::microseconds delay) {
            if (this->currentDelays)
                this->currentDelays->push_back(static_cast<double>(delay.count()) / 1000);
        };
        const std::shared_ptr<HttpGetCaller> caller
            = std::make_shared<HttpGetCaller>(this->callerThread.context, this->feedRelay->endpoint(), "/feed", false);
        const std::shared_ptr<std::string> header = std::make_shared<std::string>();
        caller->onBytes = [checker, header](std::string_view bytes) { consumeBody(*checker, *header, bytes); };
        caller->start();
        this->callers.push_back(caller);
    }

    // Passes the response body to the checker. Collects the bytes of the response header in header until it is
    // complete.
    static void consumeBody(fakes::FeedChecker& checker, std::string& header, std::string_view bytes)
    {
        constexpr std::string_view headerEnd = "\r\n\r\n";
        if (header.ends_with(headerEnd)) {
            checker.consume(bytes);
            return;
        }
        header += bytes;
        const size_t end = header.find(headerEnd);
        if (end == std::string::npos)
            return;
        const std::string body = header.substr(end + headerEnd.size());
        header.resize(end + headerEnd.size());
        checker.consume(body);
    }

    void startDownloads()
    {
        for (unsigned i = 0; i < this->options.downloads; ++i) {
            const std::shared_ptr<HttpGetCaller> caller = std::make_shared<HttpGetCaller>(
                this->callerThread.context, this->bulkRelay->endpoint(), "/download?bytes=8000000", true);
            caller->onBytes = [this](std::string_view bytes) { this->results.downloadedBytes += bytes.size(); };
            caller->start();
            this->callers.push_back(caller);
        }
    }

    void measure(std::vector<double>& delays, Milliseconds time)
    {
        std::this_thread::sleep_for(this->options.warmUp);
        this->callerThread.call([&] { this->currentDelays = &delays; });
        std::this_thread::sleep_for(time);
        this->callerThread.call([this] { this->currentDelays = nullptr; });
    }

    LinkBenchOptions options;
    SystemClock clock;
    Metrics entryMetrics;
    Metrics agentMetrics;
    fakes::Upstream upstream;
    IoThread agentThread;
    IoThread entryThread;
    std::unique_ptr<AgentServer> agent;
    std::unique_ptr<EntryServer> entry;
    std::unique_ptr<fakes::Relay> linkRelay; // Between entry and agent.
    std::unique_ptr<fakes::Relay> feedRelay; // Between feed callers and entry.
    std::unique_ptr<fakes::Relay> bulkRelay; // Between download callers and entry.
    std::vector<std::shared_ptr<HttpGetCaller>> callers;
    std::vector<std::unique_ptr<fakes::FeedChecker>> checkers;
    std::vector<double>* currentDelays = nullptr; // Used only on the callers' thread; null while not measuring.
    LinkBenchResults results;
    IoThread callerThread; // Declared last, so that it stops first.
};

} // namespace wasabicroft
