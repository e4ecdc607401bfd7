// Result of a load run: requests sent, their outcomes, and a comparison with the ledgers of the upstreams.
#pragma once

#include "fakes/Pattern.h"
#include "fakes/Upstream.h"
#include "wasabicroft/PlotPage.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace wasabicroft::fakes {

enum class LoadKind : uint8_t { Feed, Registration, Download, Upload };

inline constexpr std::array<std::string_view, 4> loadKindNames = { "feed", "registration", "download", "upload" };
inline constexpr size_t loadKindCount = loadKindNames.size();

inline std::string_view nameOf(LoadKind kind) { return loadKindNames.at(static_cast<size_t>(kind)); }

// How a request ended, as seen by its client.
enum class Outcome : uint8_t {
    Answered, // complete answer with status 200
    NotRun, // refusal which guarantees that the request was not executed (503 with X-Not-Run)
    Failed, // other status, for example 504
    Broken, // the connection was reset or closed before the complete answer
    TimedOut,
    Unconnected, // the connection could not be established
};

inline constexpr std::array<std::string_view, 6> outcomeNames
    = { "answered", "not-run", "failed", "broken", "timed-out", "unconnected" };

// Waiting time of one request or feed line. Registrations: response time without the work time; feeds: delay of a line;
// downloads: time to the first byte; uploads: response time.
struct WaitSample {
    float atSeconds = 0; // since the start of the run
    float waitMilliseconds = 0;
};

// Results of one kind of load.
struct KindReport {
    uint64_t sent = 0;
    uint64_t notSent = 0; // arrivals dropped because LoadOptions::maxOpenRequests were open
    std::array<uint64_t, outcomeNames.size()> outcomes {};
    uint64_t misdelivered = 0; // answers from another service or to another request
    uint64_t corrupt = 0; // answers with wrong content
    uint64_t bytes = 0; // transferred by complete downloads and uploads
    std::vector<WaitSample> waitSamples;
    std::vector<uint64_t> answeredPerSecond;
    std::vector<uint64_t> refusedPerSecond;
    std::map<std::string, uint64_t> byUpstream; // number of answers or opened feeds by upstream

    uint64_t count(Outcome outcome) const { return this->outcomes.at(static_cast<size_t>(outcome)); }
    double quantile(double share) const; // of waitSamples, in milliseconds; 0 if there are none
    double imbalance() const; // maximum divided by mean of byUpstream; 0 if there are no answers
};

// Results of the checks of all feeds.
struct FeedReport {
    uint64_t opened = 0; // feeds answered with status 200
    uint64_t broken = 0; // feeds that ended early or had a missing, repeated or corrupt line or a changed upstream
    uint64_t endedEarly = 0;
    FeedCounts lines; // sums over all feeds
    uint64_t silences = 0; // periods without bytes above LoadOptions::silenceLimit, including those at the end
    double longestSilence = 0; // seconds without bytes within one feed, including the time to the end of the run
};

// Comparison of the outcomes that the clients saw with the ledgers of all upstreams.
struct LedgerReport {
    uint64_t ledgersRead = 0;
    uint64_t ledgersMissing = 0; // admin ports that gave no valid ledger
    uint64_t duplicates = 0; // requests whose execution was started more than once
    uint64_t losses = 0; // requests answered with 200 that no upstream finished
    uint64_t falseRefusals = 0; // requests refused as not run although their execution was started
    uint64_t truthfulRefusals = 0; // requests refused as not run that were not started
    uint64_t unknownExecuted = 0; // requests that ended in any other way and were started
    uint64_t unknownNotExecuted = 0; // requests that ended in any other way and were not started
    uint64_t foreign = 0; // requests that an upstream of another service received
    uint64_t malformed = 0;
    uint64_t shed = 0;
    uint64_t workAfterDrain = 0;
    Milliseconds lastWorkAfterDrain { 0 };
};

// A sample of the busy time of an upstream.
struct BusySample {
    double atSeconds = 0; // since the start of the run
    std::string service;
    std::string upstream;
    double busySeconds = 0; // slot time since the start of the upstream
};

// Imbalance of the slot time of a service's upstreams within a time window.
struct ImbalanceWindow {
    double begin = 0; // seconds since the start of the run
    double end = 0;
    std::string service;
    double largestOverMean = 0; // maximum divided by mean slot time per upstream
};

struct LoadReport {
    double seconds = 0;
    uint64_t seed = 0;
    std::array<KindReport, loadKindCount> kinds;
    FeedReport feeds;
    LedgerReport ledger;
    std::vector<BusySample> busySamples;
    std::vector<ImbalanceWindow> imbalance;
    std::vector<PlotMark> marks;

    KindReport& reportFor(LoadKind kind) { return this->kinds.at(static_cast<size_t>(kind)); }
    const KindReport& reportFor(LoadKind kind) const { return this->kinds.at(static_cast<size_t>(kind)); }

    // Returns one line per kind of violated guarantee; empty if there is none.
    std::vector<std::string> violations() const;
};

// Compares the outcomes, by request id, with the ledgers.
LedgerReport compareLedgers(const std::map<std::string, Outcome>& outcomes, const std::vector<Ledger>& ledgers);

// Computes windows of the given length from cumulative samples. Windows without work have the imbalance 0.
std::vector<ImbalanceWindow> imbalanceWindows(const std::vector<BusySample>&, double windowSeconds);

std::string reportTable(const LoadReport&); // plain text
std::string reportJson(const LoadReport&);
std::string reportPage(const LoadReport&, const std::string& title); // self-contained HTML with SVG plots

} // namespace wasabicroft::fakes
