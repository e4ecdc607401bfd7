// Renders the report of a load run as an HTML page with plots.
#include "fakes/LoadReport.h"

#include "wasabicroft/PlotPage.h"

namespace wasabicroft::fakes {

namespace {

    // Plots the p99 waiting time of each second.
    PlotLine waitLine(const std::string& name, const KindReport& kind)
    {
        std::map<int, KindReport> seconds;
        for (const WaitSample& sample : kind.waitSamples)
            seconds[static_cast<int>(sample.atSeconds)].waitSamples.push_back(sample);
        PlotLine line { name, {} };
        for (const auto& [second, part] : seconds)
            line.points.push_back({ second + 0.5, part.quantile(0.99) });
        return line;
    }

    PlotLine countLine(const std::string& name, const std::vector<uint64_t>& counts)
    {
        PlotLine line { name, {} };
        for (size_t i = 0; i < counts.size(); ++i)
            line.points.push_back({ static_cast<double>(i) + 0.5, static_cast<double>(counts[i]) });
        return line;
    }

    std::vector<Plot> plotsOf(const LoadReport& report)
    {
        Plot goodput { "Goodput", "answers/s", {} };
        Plot refusals { "Refusals and failures", "requests/s", {} };
        Plot imbalance { "Imbalance of busy slot time across upstreams", "largest/mean", {} };
        std::vector<Plot> plots;
        for (size_t i = 0; i < loadKindCount; ++i) {
            const KindReport& kind = report.kinds.at(i);
            const std::string name(loadKindNames.at(i));
            if (kind.sent == 0)
                continue;
            plots.push_back({ "Waiting time of " + name + "s, p99 per second", "ms", { waitLine(name, kind) } });
            goodput.lines.push_back(countLine(name, kind.answeredPerSecond));
            refusals.lines.push_back(countLine(name, kind.refusedPerSecond));
        }
        std::map<std::string, PlotLine> services;
        for (const ImbalanceWindow& window : report.imbalance)
            services[window.service].points.push_back({ (window.begin + window.end) / 2, window.largestOverMean });
        for (auto& [service, line] : services) {
            line.name = service;
            imbalance.lines.push_back(line);
        }
        plots.push_back(goodput);
        plots.push_back(refusals);
        plots.push_back(imbalance);
        return plots;
    }

} // namespace

std::string reportPage(const LoadReport& report, const std::string& title)
{
    return toHtml({ title, reportTable(report), report.seconds, plotsOf(report), report.marks });
}

} // namespace wasabicroft::fakes
