// Result of a load run: what was sent, what came back, how it compares with the ledgers of the upstreams.
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

// How a request ended, as its caller saw it.
enum class Outcome : uint8_t {
    Answered, // complete answer with status 200
    NotRun, // refusal that states that nothing ran (503 with X-Not-Run)
    Failed, // other status, for example 504
    Broken, // reset or end of the connection before the complete answer
    TimedOut,
    Unconnected, // the connection was not established
};

inline constexpr std::array<std::string_view, 6> outcomeNames
    = { "answered", "not-run", "failed", "broken", "timed-out", "unconnected" };

// A waiting time at a point of the run. Registrations: answer time without the work; feeds: delay of a line; downloads:
// time to the first byte; uploads: answer time.
struct WaitSample {
    float atSeconds = 0; // seconds since the begin
    float waitMilliseconds = 0; // milliseconds
};

struct KindReport {
    uint64_t sent = 0;
    uint64_t notSent = 0; // arrivals over the limit of open requests of the load tool
    std::array<uint64_t, outcomeNames.size()> outcomes {};
    uint64_t misdelivered = 0; // answers of another service or to another request
    uint64_t corrupt = 0; // answers whose content is wrong
    uint64_t bytes = 0; // of complete downloads and uploads
    std::vector<WaitSample> waitSamples;
    std::vector<uint64_t> answeredPerSecond;
    std::vector<uint64_t> refusedPerSecond;
    std::map<std::string, uint64_t> byUpstream; // answers, or feeds opened

    uint64_t count(Outcome outcome) const { return this->outcomes.at(static_cast<size_t>(outcome)); }
    double quantile(double share) const; // of waits, in milliseconds; 0 without samples
    double imbalance() const; // largest over mean of byUpstream; 0 without answers
};

struct FeedReport {
    uint64_t opened = 0; // answered with 200
    uint64_t broken = 0; // ended early, lost, repeated or damaged a line
    uint64_t endedEarly = 0;
    FeedCounts lines; // sum of all feeds
    uint64_t silences = 0; // over the limit of the run, also up to its end
    double longestSilence = 0; // seconds between two pieces of one feed, or to the end of the run
};

// Comparison of the callers' view with the sum of the upstreams' ledgers.
struct LedgerReport {
    uint64_t ledgersRead = 0;
    uint64_t ledgersMissing = 0; // admin ports that did not answer
    uint64_t duplicates = 0; // ids whose execution was started more than once
    uint64_t losses = 0; // ids answered with 200 and executed nowhere
    uint64_t falseRefusals = 0; // ids refused as not run whose execution was started
    uint64_t truthfulRefusals = 0;
    uint64_t unknownExecuted = 0; // ids without an answer that were executed
    uint64_t unknownNotExecuted = 0; // ids without an answer that were not executed
    uint64_t foreign = 0; // requests that an upstream of another service received
    uint64_t malformed = 0;
    uint64_t shed = 0;
    uint64_t workAfterDrain = 0;
    Milliseconds lastWorkAfterDrain { 0 };
};

// One reading of an upstream's busy time.
struct BusySample {
    double atSeconds = 0; // seconds since the begin
    std::string service;
    std::string upstream;
    double busySeconds = 0; // seconds of slot time since the start of the upstream
};

// Largest over mean of the busy slot time of a service's upstreams within a window.
struct ImbalanceWindow {
    double begin = 0; // seconds since the begin
    double end = 0;
    std::string service;
    double largestOverMean = 0;
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

    // One line per broken guarantee; empty on a good run.
    std::vector<std::string> violations() const;
};

// Compares the outcomes by request id with the ledgers.
LedgerReport compareLedgers(const std::map<std::string, Outcome>& outcomes, const std::vector<Ledger>& ledgers);

// Windows of the given length from cumulative readings. Windows without work have the value 0.
std::vector<ImbalanceWindow> imbalanceWindows(const std::vector<BusySample>&, double windowSeconds);

std::string reportTable(const LoadReport&); // for people
std::string reportJson(const LoadReport&);
std::string reportPage(const LoadReport&, const std::string& title); // self-contained HTML with SVG plots

} // namespace wasabicroft::fakes
