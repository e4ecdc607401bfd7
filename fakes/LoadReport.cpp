#include "fakes/LoadReport.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace wasabicroft::fakes {

namespace {

    // Seconds that the last sample may be short of the end of a window: the interval between two samples.
    constexpr double sampleTolerance = 0.5;

    // Sums the executions of one request id over all ledgers.
    ExecutionCounts totalExecutions(const std::vector<Ledger>& ledgers, const std::string& id)
    {
        ExecutionCounts total;
        for (const Ledger& ledger : ledgers) {
            const auto found = ledger.executions.find(id);
            if (found == ledger.executions.end())
                continue;
            total.started += found->second.started;
            total.finished += found->second.finished;
            total.cancelled += found->second.cancelled;
        }
        return total;
    }

    void compareRequest(LedgerReport& report, Outcome outcome, const ExecutionCounts& total)
    {
        if (total.started > 1)
            ++report.duplicates;
        if (outcome == Outcome::Answered) {
            if (total.finished == 0)
                ++report.losses;
        } else if (outcome == Outcome::NotRun) {
            ++(total.started > 0 ? report.falseRefusals : report.truthfulRefusals);
        } else {
            ++(total.started > 0 ? report.unknownExecuted : report.unknownNotExecuted);
        }
    }

    // Busy time of an upstream within a window: the sum of the increases between samples whose midpoint is in the
    // window. A sample below the previous one means that the upstream was restarted and counts from zero again.
    double busyWithin(const std::vector<const BusySample*>& samples, double begin, double end)
    {
        double busy = 0;
        for (size_t i = 1; i < samples.size(); ++i) {
            const double middle = (samples[i - 1]->atSeconds + samples[i]->atSeconds) / 2;
            if (middle < begin || middle >= end)
                continue;
            const double step = samples[i]->busySeconds - samples[i - 1]->busySeconds;
            busy += step >= 0 ? step : samples[i]->busySeconds;
        }
        return busy;
    }

    ImbalanceWindow makeImbalanceWindow(
        const std::map<std::string, std::vector<const BusySample*>>& upstreams, double begin, double end)
    {
        double largest = 0;
        double sum = 0;
        for (const auto& [name, samples] : upstreams) {
            const double busy = busyWithin(samples, begin, end);
            largest = std::max(largest, busy);
            sum += busy;
        }
        const double mean = sum / static_cast<double>(upstreams.size());
        return { begin, end, "", mean > 0 ? largest / mean : 0 };
    }

    boost::json::object kindJson(const KindReport& kind)
    {
        boost::json::object outcomes;
        for (size_t i = 0; i < outcomeNames.size(); ++i)
            outcomes[boost::json::string_view(outcomeNames.at(i).data(), outcomeNames.at(i).size())]
                = kind.outcomes.at(i);
        boost::json::object upstreams;
        for (const auto& [name, count] : kind.byUpstream)
            upstreams[name] = count;
        return { { "sent", kind.sent }, { "not_sent", kind.notSent }, { "outcomes", std::move(outcomes) },
            { "misdelivered", kind.misdelivered }, { "corrupt", kind.corrupt }, { "bytes", kind.bytes },
            { "wait_ms",
                boost::json::object { { "samples", kind.waitSamples.size() }, { "p50", kind.quantile(0.5) },
                    { "p99", kind.quantile(0.99) }, { "p999", kind.quantile(0.999) } } },
            { "imbalance", kind.imbalance() }, { "by_upstream", std::move(upstreams) },
            { "answered_per_second", boost::json::value_from(kind.answeredPerSecond) },
            { "refused_per_second", boost::json::value_from(kind.refusedPerSecond) } };
    }

    boost::json::object feedJson(const FeedReport& feeds)
    {
        return { { "opened", feeds.opened }, { "broken", feeds.broken }, { "ended_early", feeds.endedEarly },
            { "lines", feeds.lines.lines }, { "gaps", feeds.lines.gaps }, { "repeats", feeds.lines.repeats },
            { "corrupt", feeds.lines.corrupt }, { "misdelivered", feeds.lines.misdelivered },
            { "changed_upstream", feeds.lines.changedUpstream }, { "silences", feeds.silences },
            { "longest_silence_s", feeds.longestSilence } };
    }

    boost::json::object ledgerJson(const LedgerReport& ledger)
    {
        return { { "ledgers_read", ledger.ledgersRead }, { "ledgers_missing", ledger.ledgersMissing },
            { "duplicates", ledger.duplicates }, { "losses", ledger.losses },
            { "false_refusals", ledger.falseRefusals }, { "truthful_refusals", ledger.truthfulRefusals },
            { "unknown_executed", ledger.unknownExecuted }, { "unknown_not_executed", ledger.unknownNotExecuted },
            { "foreign", ledger.foreign }, { "malformed", ledger.malformed }, { "shed", ledger.shed },
            { "work_after_drain", ledger.workAfterDrain },
            { "last_work_after_drain_ms", ledger.lastWorkAfterDrain.count() } };
    }

    void addViolation(std::vector<std::string>& lines, uint64_t count, const std::string& text)
    {
        if (count > 0)
            lines.push_back(std::to_string(count) + ' ' + text);
    }

} // namespace

double KindReport::quantile(double share) const
{
    if (this->waitSamples.empty())
        return 0;
    std::vector<float> values;
    values.reserve(this->waitSamples.size());
    for (const WaitSample& sample : this->waitSamples)
        values.push_back(sample.waitMilliseconds);
    // Nearest-rank method: the smallest value that at least this fraction of the samples does not exceed.
    const size_t rank = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size())));
    const size_t index = std::min(values.size(), std::max<size_t>(rank, 1)) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(index), values.end());
    return static_cast<double>(values[index]);
}

double KindReport::imbalance() const
{
    uint64_t largest = 0;
    uint64_t sum = 0;
    for (const auto& [name, count] : this->byUpstream) {
        largest = std::max(largest, count);
        sum += count;
    }
    if (sum == 0)
        return 0;
    return static_cast<double>(largest) * static_cast<double>(this->byUpstream.size()) / static_cast<double>(sum);
}

std::vector<std::string> LoadReport::violations() const
{
    std::vector<std::string> lines;
    addViolation(lines, this->feeds.broken, "broken feeds");
    addViolation(lines, this->feeds.silences, "silences of feeds over the limit");
    addViolation(lines, this->feeds.lines.misdelivered, "feed lines of another service");
    addViolation(lines, this->ledger.duplicates, "registrations executed more than once");
    addViolation(lines, this->ledger.losses, "registrations answered but not executed");
    addViolation(lines, this->ledger.falseRefusals, "registrations refused as not run but executed");
    addViolation(lines, this->ledger.foreign, "requests delivered to another service");
    addViolation(lines, this->ledger.malformed, "malformed requests at upstreams");
    for (size_t i = 0; i < loadKindCount; ++i) {
        const std::string name(loadKindNames.at(i));
        addViolation(lines, this->kinds.at(i).misdelivered, name + " answers of another service or request");
        addViolation(lines, this->kinds.at(i).corrupt, name + " answers with wrong content");
    }
    addViolation(lines, this->ledger.ledgersMissing, "ledgers could not be read; the comparison is incomplete");
    return lines;
}

LedgerReport compareLedgers(const std::map<std::string, Outcome>& outcomes, const std::vector<Ledger>& ledgers)
{
    LedgerReport report;
    report.ledgersRead = ledgers.size();
    for (const Ledger& ledger : ledgers) {
        report.foreign += ledger.foreign;
        report.malformed += ledger.malformed;
        report.shed += ledger.shed;
        report.workAfterDrain += ledger.workAfterDrain;
        report.lastWorkAfterDrain = std::max(report.lastWorkAfterDrain, ledger.lastWorkAfterDrain);
    }
    // Without ledgers it is unknown what was executed.
    if (!ledgers.empty())
        for (const auto& [id, outcome] : outcomes)
            compareRequest(report, outcome, totalExecutions(ledgers, id));
    return report;
}

std::vector<ImbalanceWindow> imbalanceWindows(const std::vector<BusySample>& samples, double windowSeconds)
{
    std::map<std::string, std::map<std::string, std::vector<const BusySample*>>> services;
    double last = 0;
    for (const BusySample& sample : samples) {
        services[sample.service][sample.upstream].push_back(&sample);
        last = std::max(last, sample.atSeconds);
    }
    std::vector<ImbalanceWindow> windows;
    for (const auto& [service, upstreams] : services) {
        for (double begin = 0; begin + windowSeconds <= last + sampleTolerance; begin += windowSeconds) {
            windows.push_back(makeImbalanceWindow(upstreams, begin, begin + windowSeconds));
            windows.back().service = service;
        }
    }
    return windows;
}

std::string reportTable(const LoadReport& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "run of " << report.seconds << " s, seed " << report.seed << "\n\n";
    out << std::left << std::setw(14) << "kind" << std::right;
    for (const char* title : { "sent", "answered", "not-run", "failed", "broken", "timed-out", "unconn.", "p50 ms",
             "p99 ms", "p99.9 ms", "imbalance" })
        out << std::setw(11) << title;
    out << '\n';
    for (size_t i = 0; i < loadKindCount; ++i) {
        const KindReport& kind = report.kinds.at(i);
        if (kind.sent == 0)
            continue;
        out << std::left << std::setw(14) << loadKindNames.at(i) << std::right << std::setw(11) << kind.sent;
        for (const uint64_t count : kind.outcomes)
            out << std::setw(11) << count;
        out << std::setw(11) << kind.quantile(0.5) << std::setw(11) << kind.quantile(0.99) << std::setw(11)
            << kind.quantile(0.999) << std::setw(11) << kind.imbalance() << '\n';
    }
    const FeedReport& feeds = report.feeds;
    out << "\nfeeds: " << feeds.opened << " opened, " << feeds.broken << " broken (" << feeds.endedEarly
        << " ended early), " << feeds.lines.lines << " lines, " << feeds.lines.gaps << " missing, "
        << feeds.lines.repeats << " repeated, " << feeds.lines.corrupt << " corrupt, longest silence "
        << feeds.longestSilence << " s\n";
    const LedgerReport& ledger = report.ledger;
    out << "ledgers: " << ledger.ledgersRead << " read, " << ledger.ledgersMissing << " missing; " << ledger.duplicates
        << " duplicates, " << ledger.losses << " losses, refusals " << ledger.truthfulRefusals << " truthful and "
        << ledger.falseRefusals << " false, without an answer " << ledger.unknownExecuted << " executed and "
        << ledger.unknownNotExecuted << " not, shed by upstreams " << ledger.shed << ", work after drain "
        << ledger.workAfterDrain << " (last after " << ledger.lastWorkAfterDrain.count() << " ms)\n";
    for (const ImbalanceWindow& window : report.imbalance)
        out << "busy slot time, " << window.service << ", " << window.begin << " to " << window.end
            << " s: largest over mean " << window.largestOverMean << '\n';
    for (const std::string& line : report.violations())
        out << "VIOLATION: " << line << '\n';
    return out.str();
}

std::string reportJson(const LoadReport& report)
{
    boost::json::object kinds;
    for (size_t i = 0; i < loadKindCount; ++i)
        kinds[boost::json::string_view(loadKindNames.at(i).data(), loadKindNames.at(i).size())]
            = kindJson(report.kinds.at(i));
    boost::json::array windows;
    for (const ImbalanceWindow& window : report.imbalance)
        windows.push_back(boost::json::object { { "service", window.service }, { "begin_s", window.begin },
            { "end_s", window.end }, { "largest_over_mean", window.largestOverMean } });
    boost::json::array marks;
    for (const PlotMark& mark : report.marks)
        marks.push_back(boost::json::object { { "at_s", mark.seconds }, { "text", mark.text } });
    return boost::json::serialize(boost::json::object { { "seconds", report.seconds }, { "seed", report.seed },
               { "kinds", std::move(kinds) }, { "feeds", feedJson(report.feeds) },
               { "ledger", ledgerJson(report.ledger) }, { "imbalance", std::move(windows) },
               { "marks", std::move(marks) }, { "violations", boost::json::value_from(report.violations()) } })
        + "\n";
}

} // namespace wasabicroft::fakes
