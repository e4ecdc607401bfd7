// Runs an example deployment in one process on loopback: platform, fabric, two entries, and an agent with its upstream
// for every host of the example. It serves requests, a feed and a download, changes the configuration, drains an
// upstream and stops an entry, and prints each result with its reason. It also shows how to use the library's public
// functions.
//
// Index
//   [SECTION] Deployment
//   [SECTION] Callers
//   [SECTION] Scenario
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "backends/PlatformReader.h"
#include "fakes/Http.h"
#include "fakes/Pattern.h"
#include "fakes/Platform.h"
#include "fakes/Relay.h"
#include "fakes/Upstream.h"
#include "wasabicroft/ConfigSource.h"
#include "wasabicroft/Settings.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace wasabicroft;
using boost::asio::ip::tcp;
namespace asio = boost::asio;

constexpr Milliseconds callTimeout { 10000 };
constexpr Milliseconds startTimeout { 10000 };

const std::string usage = R"(Runs an example deployment in one process on loopback and prints what happens.

Usage:
  wasabi-demo [--example NAME] [--examples DIR] [--requests N] [--log FILE]
  wasabi-demo (-h | --help)
  wasabi-demo --version

Options:
  --example NAME   strazca or rigcheck [strazca].
  --examples DIR   Folder of the examples [examples].
  --requests N     Registrations or sign-offs to send, 1 to 1000 [8].
  --log FILE       Log file of all parts; a temporary file by default.
)";

//-----------------------------------------------------------------------------
// [SECTION] Deployment
//-----------------------------------------------------------------------------

// A server of the library with its traffic thread and the platform reader that supplies its configuration.
template <typename Server, typename Options> class Instance {
public:
    // Without peerEndpoint, frames of peers arrive on the server's own links.
    Instance(const Member& member, std::optional<Endpoint> peerEndpoint, const Endpoint& platform, Options options,
        const Clock& clock)
        : server(this->context, std::move(options), clock, this->metrics)
        , reader(readerOptions(member, std::move(peerEndpoint), platform, this->metrics), clock,
              [this](PlatformUpdate update) { this->postUpdate(std::move(update)); })
    {
        this->server.onControlFrame = [this](uint64_t link, Frame frame, const PlatformReader::Reply& reply) {
            this->reader.onPeerFrame(link, std::move(frame), this->onTrafficThread(reply));
        };
        this->server.onNewerVersion = [this](uint64_t link, uint64_t newer, const PlatformReader::Reply& reply) {
            this->reader.onPeerVersion(link, newer, this->onTrafficThread(reply));
        };
    }
    ~Instance()
    {
        this->reader.stop();
        if (!this->thread.joinable())
            return;
        asio::post(this->context, [this] { this->server.stop(); });
        this->work.reset();
        this->context.stop();
        this->thread.join();
    }
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    // startServer has to open the server's sockets.
    void start(const std::function<void(Server&)>& startServer)
    {
        startServer(this->server);
        if (const Result<bool> started = this->reader.start(); !started)
            printErrors({ started.error() });
        this->thread = std::thread([this] { this->context.run(); });
    }

    // Shuts the server down gracefully. Returns when the last flow has ended.
    void shutdown()
    {
        std::atomic<bool> drained = false;
        asio::post(this->context, [this, &drained] { this->server.shutdown([&drained] { drained = true; }); });
        while (!drained)
            std::this_thread::sleep_for(Milliseconds(5));
    }

    uint64_t versionInForce() const { return this->version; }

private:
    static PlatformReaderOptions readerOptions(
        const Member& member, std::optional<Endpoint> peerEndpoint, const Endpoint& platform, Metrics& metrics)
    {
        PlatformReaderOptions options;
        options.platform = platform;
        options.self = member.name;
        options.role = member.role;
        options.peers.emplace();
        options.peers->listen = std::move(peerEndpoint);
        options.metrics = &metrics;
        return options;
    }

    PlatformReader::Reply onTrafficThread(PlatformReader::Reply reply)
    {
        return [this, reply = std::move(reply)](
                   const Frame& frame) { asio::post(this->context, [reply, frame] { reply(frame); }); };
    }

    void postUpdate(PlatformUpdate update)
    {
        asio::post(this->context, [this, received = std::move(update)] {
            if (received.members)
                this->server.applyMembers(received.members);
            if (!received.snapshot)
                return;
            this->server.applySnapshot(received.snapshot);
            this->version = received.snapshot->manifest.version;
        });
    }

    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->context);
    Metrics metrics;
    Server server;
    PlatformReader reader;
    std::atomic<uint64_t> version = 0;
    std::thread thread;
};

using EntryInstance = Instance<EntryServer, EntryOptions>;
using AgentInstance = Instance<AgentServer, AgentOptions>;

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Reads the example's base file and the overlays of all its sites.
ConfigSource readExample(const std::filesystem::path& folder)
{
    std::vector<SourceFile> overlays;
    if (std::filesystem::is_directory(folder)) {
        for (const std::filesystem::directory_entry& entry : std::filesystem::directory_iterator(folder)) {
            if (entry.path().extension() == ".yaml" && entry.path().filename() != "base.yaml")
                overlays.push_back({ entry.path().filename().string(), readFile(entry.path()) });
        }
    }
    return parseSource({ "base.yaml", readFile(folder / "base.yaml") }, overlays);
}

class Deployment {
public:
    explicit Deployment(std::vector<ServiceConfig> configured)
        : services(std::move(configured))
    {
        this->publish();
        for (const ServiceConfig& service : this->services)
            for (const UpstreamConfig& upstream : service.upstreams)
                this->addUpstream(service, upstream);
        this->addEntry("entry-1", "127.10.9.1");
        this->addEntry("entry-2", "127.10.9.2");
        for (const ServiceConfig& service : this->services)
            for (const ListenerConfig& listener : service.listeners)
                this->addFabric(listener);
    }

    // Publishes the services as the next version and returns this version.
    uint64_t publish()
    {
        this->platform.publish(wasabicroft::encodeConfig(1, ++this->published, this->services));
        return this->published;
    }

    // Waits until every process uses the published version. Returns the time that this took, or nothing after a
    // timeout.
    std::optional<Milliseconds> awaitVersion() const
    {
        const TimePoint begin = this->clock.now();
        while (!this->hasVersionEverywhere()) {
            if (this->clock.now() - begin > startTimeout)
                return std::nullopt;
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return std::chrono::duration_cast<Milliseconds>(this->clock.now() - begin);
    }

    const ListenerConfig* listenerOf(TrafficClass trafficClass) const
    {
        for (const ServiceConfig& service : this->services)
            for (const ListenerConfig& listener : service.listeners)
                if (listener.trafficClass == trafficClass)
                    return &listener;
        return nullptr;
    }

    // Marks an upstream as leaving in the configuration, as an operator does before replacing it.
    void markLeaving(const std::string& upstreamName)
    {
        for (ServiceConfig& service : this->services)
            for (UpstreamConfig& upstream : service.upstreams)
                upstream.leaving = upstream.leaving || upstream.name == upstreamName;
    }

    void stopSecondEntry()
    {
        for (const std::unique_ptr<fakes::Relay>& relay : this->fabric)
            relay->setTargets({ { "127.10.9.1", relay->endpoint().port } });
        this->entries.back()->shutdown();
        this->entries.pop_back();
    }

    size_t processes() const { return this->entries.size() + this->agents.size(); }

private:
    bool hasVersionEverywhere() const
    {
        const auto isCurrent = [this](const auto& instance) { return instance->versionInForce() >= this->published; };
        return std::all_of(this->entries.begin(), this->entries.end(), isCurrent)
            && std::all_of(this->agents.begin(), this->agents.end(), isCurrent);
    }

    void addUpstream(const ServiceConfig& service, const UpstreamConfig& upstream)
    {
        fakes::UpstreamOptions host;
        host.service = service.name;
        host.name = upstream.name;
        host.listen = upstream.address;
        host.slots = service.slots;
        host.workTime = Milliseconds(5);
        this->upstreams.push_back(std::make_unique<fakes::Upstream>(host));
        AgentOptions options;
        options.name = upstream.name;
        options.linkEndpoint = upstream.agent;
        const Member member { upstream.name, MemberRole::Agent, upstream.failureDomain, upstream.agent, false };
        this->platform.setMember(member);
        this->agents.push_back(
            std::make_unique<AgentInstance>(member, std::nullopt, this->platform.endpoint(), options, this->clock));
        this->agents.back()->start([](AgentServer& server) {
            if (const Result<Endpoint> listening = server.start(); !listening)
                printErrors({ listening.error() });
        });
    }

    void addEntry(const std::string& name, const std::string& address)
    {
        EntryOptions options;
        options.name = name;
        options.failureDomain = this->services.front().upstreams.front().failureDomain;
        options.listenAddress = address;
        const Member member { name, MemberRole::Entry, options.failureDomain, { address, 7200 }, false };
        this->platform.setMember(member);
        this->entries.push_back(
            std::make_unique<EntryInstance>(member, member.control, this->platform.endpoint(), options, this->clock));
        this->entries.back()->start([](EntryServer& server) { server.start(); });
    }

    void addFabric(const ListenerConfig& listener)
    {
        fakes::RelayOptions options;
        options.listen = listener.endpoint;
        for (const std::string address : { "127.10.9.1", "127.10.9.2" })
            options.targets.push_back({ address, listener.endpoint.port });
        this->fabric.push_back(std::make_unique<fakes::Relay>(options));
    }

    std::vector<ServiceConfig> services;
    uint64_t published = 0; // Published version of the configuration.
    SystemClock clock;
    FakePlatform platform;
    std::vector<std::unique_ptr<fakes::Upstream>> upstreams;
    std::vector<std::unique_ptr<AgentInstance>> agents;
    std::vector<std::unique_ptr<EntryInstance>> entries;
    std::vector<std::unique_ptr<fakes::Relay>> fabric;
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

// A plain TCP client that keeps a feed open, on its own thread.
class FeedCaller {
public:
    FeedCaller(const Endpoint& endpoint, const std::string& service)
        : checker(service)
        , socket(this->context)
    {
        this->socket.connect(fakes::tcpEndpointOf(endpoint));
        asio::write(this->socket, asio::buffer(std::string("GET /feed?interval_ms=20 HTTP/1.1\r\nHost: feed\r\n\r\n")));
        this->thread = std::thread([this] { this->read(); });
    }
    ~FeedCaller() { this->stop(); }
    FeedCaller(const FeedCaller&) = delete;
    FeedCaller& operator=(const FeedCaller&) = delete;

    fakes::FeedCounts stop()
    {
        if (this->thread.joinable()) {
            boost::system::error_code ignored;
            this->socket.shutdown(tcp::socket::shutdown_both, ignored);
            this->thread.join();
        }
        return this->checker.counts();
    }

    uint64_t lineCount() const { return this->linesRead; }

private:
    void read()
    {
        asio::streambuf head;
        boost::system::error_code error;
        asio::read_until(this->socket, head, "\r\n\r\n", error);
        std::istream text(&head);
        std::string line;
        while (std::getline(text, line) && line != "\r") { }
        std::string bytes((std::istreambuf_iterator<char>(text)), std::istreambuf_iterator<char>());
        std::array<char, 4096> buffer {};
        while (!error) {
            this->checker.consume(bytes);
            this->linesRead = this->checker.counts().lines;
            const size_t size = this->socket.read_some(asio::buffer(buffer), error);
            bytes.assign(buffer.data(), size);
        }
    }

    fakes::FeedChecker checker;
    asio::io_context context;
    tcp::socket socket;
    std::atomic<uint64_t> linesRead = 0;
    std::thread thread;
};

// Returns the value of a key in a log line, or an empty text if it has none.
std::string logField(const std::string& line, const std::string& key)
{
    const size_t begin = line.find(' ' + key + '=');
    if (begin == std::string::npos)
        return "";
    const size_t value = begin + key.size() + 2;
    const bool isQuoted = line[value] == '"';
    const size_t end = line.find(isQuoted ? '"' : ' ', value + 1);
    return line.substr(value, end - value + (isQuoted ? 1 : 0));
}

// Describes the placement of the newest flow in the log: the number of replies and the reason.
std::string describeLastPlacement(const std::string& logFile)
{
    std::this_thread::sleep_for(Milliseconds(50)); // The log is written by another thread.
    std::ifstream file(logFile);
    std::string line;
    std::string placed;
    while (std::getline(file, line)) {
        if (line.find(" name=flow-placed ") != std::string::npos)
            placed = line;
    }
    return "asked " + logField(placed, "replies") + ", reason " + logField(placed, "reason");
}

//-----------------------------------------------------------------------------
// [SECTION] Scenario
//-----------------------------------------------------------------------------

struct DemoOptions {
    std::string example = "strazca";
    std::filesystem::path examples = "examples";
    uint64_t requests = 8;
    std::string logFile;
};

class Scenario {
public:
    Scenario(const DemoOptions& demoOptions, std::vector<ServiceConfig> services)
        : options(demoOptions)
        , deployment(std::move(services))
    {
    }

    // Runs all steps and returns the number of failed ones.
    int run()
    {
        std::cout << "started " << this->deployment.processes() << " agents and entries; log: " << this->options.logFile
                  << '\n';
        this->reportVersion();
        FeedCaller feed(this->deployment.listenerOf(TrafficClass::Feed)->endpoint, this->requestService());
        for (uint64_t i = 1; i <= this->options.requests; ++i)
            this->sendRequest(i);
        this->download();
        std::cout << "\nmark " << this->lastUpstream << " leaving in version 2 of the configuration\n";
        const std::string leaving = this->lastUpstream;
        this->deployment.markLeaving(leaving);
        this->deployment.publish();
        this->reportVersion();
        for (uint64_t i = 1; i <= this->options.requests; ++i) {
            this->sendRequest(this->options.requests + i);
            if (this->lastUpstream == leaving)
                this->fail("an upstream that is leaving got a new flow");
        }
        this->checkFeed(feed);
        std::cout << "\nstop entry-2 gracefully\n";
        this->deployment.stopSecondEntry();
        this->sendRequest(2 * this->options.requests + 1);
        std::cout << '\n' << (this->failures == 0 ? "all steps succeeded" : "some steps failed") << '\n';
        return this->failures;
    }

private:
    std::string requestService() const { return this->options.example == "strazca" ? "strazca-core" : "inspect-api"; }

    void fail(const std::string& what)
    {
        ++this->failures;
        std::cout << "  FAILED: " << what << '\n';
    }

    void reportVersion()
    {
        const std::optional<Milliseconds> taken = this->deployment.awaitVersion();
        if (taken)
            std::cout << "configuration in force everywhere after " << taken->count() << " ms\n";
        else
            this->fail("the configuration is not in force everywhere");
    }

    void sendRequest(uint64_t number)
    {
        const Endpoint& endpoint = this->deployment.listenerOf(TrafficClass::Request)->endpoint;
        const Result<fakes::HttpReply> reply = fakes::httpCall(
            endpoint, "POST", "/register", callTimeout, { { "X-Request-Id", "demo-" + std::to_string(number) } });
        if (!reply || reply.value().status != 200) {
            this->fail("request demo-" + std::to_string(number) + ": "
                + (reply ? "status " + std::to_string(reply.value().status) : reply.error().message));
            return;
        }
        this->lastUpstream = reply.value().headers.at("x-upstream");
        std::cout << "  request demo-" << number << " -> " << this->lastUpstream << " ("
                  << describeLastPlacement(this->options.logFile) << ")\n";
    }

    void download()
    {
        constexpr uint64_t size = 1000000; // Bytes.
        const Endpoint& endpoint = this->deployment.listenerOf(TrafficClass::Bulk)->endpoint;
        const Result<fakes::HttpReply> reply
            = fakes::httpCall(endpoint, "GET", "/download?bytes=" + std::to_string(size), callTimeout);
        if (!reply || reply.value().body.size() != size || !fakes::matchesPattern(0, reply.value().body)) {
            this->fail("download of " + std::to_string(size) + " bytes");
            return;
        }
        std::cout << "  download of " << size << " bytes <- " << reply.value().headers.at("x-upstream")
                  << ", every byte "
                  << "correct (" << describeLastPlacement(this->options.logFile) << ")\n";
    }

    void checkFeed(FeedCaller& feed)
    {
        const fakes::FeedCounts counts = feed.stop();
        if (counts.isBroken() || counts.lines == 0 || counts.misdelivered > 0)
            this->fail("the feed is broken");
        std::cout << "feed open throughout: " << counts.lines << " lines, " << counts.gaps << " gaps, "
                  << counts.repeats << " repeats, " << counts.corrupt << " corrupt\n";
    }

    DemoOptions options;
    Deployment deployment;
    std::string lastUpstream;
    int failures = 0;
};

} // namespace

int main(int argc, char** argv)
{
    SettingsReader reader(parseCommandLine(argc, argv, usage, "wasabi-demo"), "WASABI_DEMO");
    DemoOptions options;
    options.example = reader.text("--example", options.example);
    options.examples = reader.text("--examples", options.examples.string());
    options.requests = reader.number("--requests", options.requests, 1, 1000);
    options.logFile = reader.text("--log",
        (std::filesystem::temp_directory_path() / ("wasabi-demo-" + std::to_string(::getpid()) + ".log")).string());
    if (!reader.errors().empty()) {
        printErrors(reader.errors());
        return exit_codes::usageError;
    }
    const ConfigSource source = readExample(options.examples / options.example);
    if (!source.errors.empty()) {
        printErrors(source.errors);
        return exit_codes::invalidInput;
    }
    startLog({ Severity::Info, options.logFile, "" });
    int failures = 0;
    {
        Scenario scenario(options, source.services);
        failures = scenario.run();
    }
    stopLog();
    return failures == 0 ? exit_codes::success : exit_codes::invalidInput;
}
