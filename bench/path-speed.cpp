// Compares two paths to the same kind of upstream (fakes/Upstream.h) in one run: download throughput, new flows per
// second and latency of small requests. Each round measures both paths one after the other, so that they see the same
// machine load. The printed values are medians over the rounds.
#include "wasabicroft/Settings.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

const char* const usage = R"(Compares two paths to upstreams that speak the protocol of fake-upstream.

Usage:
  path-speed --baseline=ADDRESS --candidate=ADDRESS [options]

Options:
  --baseline=ADDRESS       Front address of the baseline, for example a naive relay.
  --candidate=ADDRESS      Front address of the path under test.
  --direct=ADDRESS         Address of an upstream; with it, added latency is measured against it.
  --download-baseline=ADDRESS   Front address for downloads; --baseline by default.
  --download-candidate=ADDRESS  Front address for downloads; --candidate by default.
  --bytes=N                Size of a download in bytes [default: 200000000].
  --connections=N          Concurrent connections in the measurement of new flows [default: 16].
  --flow-ms=N              Duration of the measurement of new flows in a round [default: 1000].
  --requests=N             Number of sequential small requests in a round [default: 300].
  --rounds=N               Number of rounds [default: 5].
  --limit-ms=N             The program ends after this time, also if a path does not respond [default: 300000].
  --json                   Print JSON instead of a table.
  -h --help                Show this text.
  --version                Show the version.
)";

constexpr size_t readBytes = 256 * 1024;

struct Options {
    Endpoint front;
    Endpoint downloadFront;
    uint64_t bytes = 0;
    unsigned connections = 0;
    Milliseconds flowTime { 0 };
    unsigned requests = 0;
};

// Measurements of one path, with one value per round.
struct PathResults {
    std::vector<double> megabytesPerSecond;
    std::vector<double> flowsPerSecond;
    std::vector<double> latencyP50; // Microseconds.
    std::vector<double> latencyP99; // Microseconds.
    uint64_t failures = 0; // Requests without a complete response with status 200.
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
}

double secondsSince(SteadyClock::time_point begin)
{
    return std::chrono::duration<double>(SteadyClock::now() - begin).count();
}

Tcp::socket connectTo(asio::io_context& io, const Endpoint& endpoint)
{
    Tcp::socket socket(io);
    socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
    socket.set_option(Tcp::no_delay(true));
    return socket;
}

// Sends a registration that causes no work, on its own connection. Returns whether the response has status 200.
bool smallRequest(asio::io_context& io, const Endpoint& front, const std::string& id)
{
    try {
        Tcp::socket socket = connectTo(io, front);
        http::request<http::string_body> request(http::verb::post, "/register", 11);
        request.set(http::field::connection, "close");
        request.set("X-Request-Id", id);
        request.set("X-Work-Ms", "0");
        request.body() = "path-speed";
        request.prepare_payload();
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        return response.result() == http::status::ok;
    } catch (const boost::system::system_error&) {
        return false;
    }
}

// Returns megabytes per second from the first to the last byte of the body, or 0 on failure.
double measureDownloadSpeed(const Options& options)
{
    try {
        asio::io_context io;
        Tcp::socket socket = connectTo(io, options.downloadFront);
        http::request<http::empty_body> request(
            http::verb::get, "/download?bytes=" + std::to_string(options.bytes), 11);
        request.set(http::field::connection, "close");
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        http::read_header(socket, buffer, parser);
        const SteadyClock::time_point begin = SteadyClock::now();
        uint64_t received = buffer.size();
        std::vector<char> chunk(readBytes);
        while (received < options.bytes)
            received += socket.read_some(asio::buffer(chunk));
        return static_cast<double>(received) / 1e6 / secondsSince(begin);
    } catch (const boost::system::system_error&) {
        return 0;
    }
}

double measureFlowRate(const Options& options, PathResults& results)
{
    std::atomic<uint64_t> done = 0;
    std::atomic<uint64_t> failed = 0;
    const SteadyClock::time_point begin = SteadyClock::now();
    std::vector<std::thread> threads;
    threads.reserve(options.connections);
    for (unsigned i = 0; i < options.connections; ++i) {
        threads.emplace_back([&, i] {
            asio::io_context io;
            for (uint64_t number = 0; SteadyClock::now() - begin < options.flowTime; ++number)
                ++(smallRequest(io, options.front, "flow-" + std::to_string(i) + '-' + std::to_string(number))
                        ? done
                        : failed);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    results.failures += failed;
    return static_cast<double>(done) / secondsSince(begin);
}

void measureLatency(const Options& options, PathResults& results)
{
    asio::io_context io;
    std::vector<double> latencies; // Microseconds.
    for (unsigned i = 0; i < options.requests; ++i) {
        const SteadyClock::time_point begin = SteadyClock::now();
        if (smallRequest(io, options.front, "small-" + std::to_string(i)))
            latencies.push_back(secondsSince(begin) * 1e6);
        else
            ++results.failures;
    }
    results.latencyP50.push_back(quantile(latencies, 0.5));
    results.latencyP99.push_back(quantile(latencies, 0.99));
}

void measureRound(const Options& options, PathResults& results)
{
    results.megabytesPerSecond.push_back(measureDownloadSpeed(options));
    results.failures += results.megabytesPerSecond.back() > 0 ? 0 : 1;
    results.flowsPerSecond.push_back(measureFlowRate(options, results));
    measureLatency(options, results);
}

struct Row {
    std::string name;
    double baseline = 0;
    double candidate = 0;

    double ratio() const { return this->baseline > 0 ? this->candidate / this->baseline : 0; }
};

// If no direct address was given, direct is empty, and total latencies are compared instead of added latencies.
std::vector<Row> compare(const PathResults& baseline, const PathResults& candidate, const PathResults& direct)
{
    const auto median = [](const std::vector<double>& values) { return quantile(values, 0.5); };
    const double direct50 = median(direct.latencyP50);
    const double direct99 = median(direct.latencyP99);
    const std::string added = direct.latencyP50.empty() ? "" : "added ";
    return {
        { "download MB/s", median(baseline.megabytesPerSecond), median(candidate.megabytesPerSecond) },
        { "new flows/s", median(baseline.flowsPerSecond), median(candidate.flowsPerSecond) },
        { added + "latency p50 us", median(baseline.latencyP50) - direct50, median(candidate.latencyP50) - direct50 },
        { added + "latency p99 us", median(baseline.latencyP99) - direct99, median(candidate.latencyP99) - direct99 },
        { "failures", static_cast<double>(baseline.failures), static_cast<double>(candidate.failures) },
    };
}

void print(const std::vector<Row>& rows, bool asJson)
{
    boost::json::object json;
    std::cout << std::fixed << std::setprecision(2);
    if (!asJson)
        std::cout << std::left << std::setw(24) << "median" << std::right << std::setw(14) << "baseline"
                  << std::setw(14) << "candidate" << std::setw(10) << "ratio" << '\n';
    for (const Row& row : rows) {
        json[row.name] = boost::json::object { { "baseline", row.baseline }, { "candidate", row.candidate },
            { "ratio", row.ratio() } };
        if (!asJson)
            std::cout << std::left << std::setw(24) << row.name << std::right << std::setw(14) << row.baseline
                      << std::setw(14) << row.candidate << std::setw(10) << row.ratio() << '\n';
    }
    if (asJson)
        std::cout << boost::json::serialize(json) << '\n';
}

Options readOptions(SettingsReader& settings, const std::string& path)
{
    Options options;
    options.front = settings.endpoint("--" + path, {});
    options.downloadFront = settings.endpoint("--download-" + path, options.front);
    options.bytes = settings.number("--bytes", 200000000, 1, 4000000000);
    options.connections = static_cast<unsigned>(settings.number("--connections", 16, 1, 256));
    options.flowTime = settings.duration("--flow-ms", Milliseconds(1000), Milliseconds(1), std::chrono::minutes(1));
    options.requests = static_cast<unsigned>(settings.number("--requests", 300, 1, 100000));
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "path-speed"), "PATH_SPEED");
    const Options baseline = readOptions(settings, "baseline");
    const Options candidate = readOptions(settings, "candidate");
    Options direct = baseline;
    direct.front = settings.endpoint("--direct", {});
    const uint64_t rounds = settings.number("--rounds", 5, 1, 1000);
    const Milliseconds limit
        = settings.duration("--limit-ms", std::chrono::minutes(5), std::chrono::seconds(1), std::chrono::minutes(10));
    if (!settings.errors().empty()) {
        printErrors(settings.errors());
        return exit_codes::usageError;
    }
    // Blocking reads have no timeout; the alarm ends the program if a path stops responding.
    alarm(static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(limit).count()));
    PathResults baselineResults;
    PathResults candidateResults;
    PathResults directResults;
    for (uint64_t round = 0; round < rounds; ++round) {
        measureRound(baseline, baselineResults);
        measureRound(candidate, candidateResults);
        if (direct.front.port != 0)
            measureLatency(direct, directResults);
    }
    print(compare(baselineResults, candidateResults, directResults), settings.boolean("--json", false));
    return baselineResults.failures + candidateResults.failures == 0 ? exit_codes::success : exit_codes::invalidInput;
}
