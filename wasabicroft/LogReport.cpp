#include "wasabicroft/LogReport.h"

#include "wasabicroft/Events.h"

#include <algorithm>
#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace wasabicroft {

namespace {

    using Time = std::chrono::sys_time<std::chrono::microseconds>;

    constexpr double maxMarkGap = 1; // Seconds; marks of one event with smaller gaps are merged.
    constexpr double highQuantile = 0.99;

    struct Curve {
        Event event;
        std::string_view name;
    };

    constexpr std::array<Curve, 4> flowCurves { { { Event::PacketFlowOffered, "offered" },
        { Event::PacketHolderKnown, "holder known" }, { Event::PacketHolderSought, "holder sought" },
        { Event::PacketOfferDecided, "decided by agents" } } };

    constexpr std::array<Curve, 6> failureCurves { { { Event::PacketFlowRefused, "refused" },
        { Event::PacketFlowLost, "lost" }, { Event::PacketFlowGone, "gone at upstreams" },
        { Event::PacketUpstreamReset, "reset by upstreams" }, { Event::PacketRequestExpired, "requests expired" },
        { Event::PacketInvalid, "invalid packets" } } };

    // Events that change the set of available processes or upstreams; drawn as marks.
    constexpr std::array<Event, 10> fleetEvents { Event::EntryStarted, Event::EntryStopping, Event::AgentStarted,
        Event::AgentStopping, Event::StoreUnreachable, Event::StoreReachable, Event::ProvisionalState,
        Event::PacketUpstreamDown, Event::PacketUpstreamUp, Event::LogLinesSuppressed };

    bool isFleetEvent(int event)
    {
        return std::find(fleetEvents.begin(), fleetEvents.end(), static_cast<Event>(event)) != fleetEvents.end();
    }

    // Parses a time such as "2026-12-04T11:08:55.512149Z".
    std::optional<Time> parseTime(std::string_view text)
    {
        constexpr size_t dateLength = 10;
        if (text.size() <= dateLength || text[dateLength] != 'T' || text.back() != 'Z')
            return std::nullopt;
        try {
            const boost::posix_time::ptime time
                = boost::posix_time::from_iso_extended_string(std::string(text.substr(0, text.size() - 1)));
            const boost::posix_time::ptime epoch(boost::gregorian::date(1970, 1, 1));
            return Time(std::chrono::microseconds((time - epoch).total_microseconds()));
        } catch (const std::exception&) {
            return std::nullopt; // Not a time.
        }
    }

    std::vector<std::string_view> splitWords(std::string_view text)
    {
        std::vector<std::string_view> words;
        size_t at = 0;
        while (at < text.size()) {
            if (text[at] == ' ') {
                ++at;
                continue;
            }
            bool isQuoted = false;
            size_t end = at;
            for (; end < text.size() && (isQuoted || text[end] != ' '); ++end)
                isQuoted = text[end] == '"' ? !isQuoted : isQuoted;
            words.push_back(text.substr(at, end - at));
            at = end;
        }
        return words;
    }

    std::string formatSeconds(double seconds)
    {
        std::ostringstream out;
        out << std::fixed << std::setprecision(2) << seconds;
        return out.str();
    }

    PlotLine plotLinePerSecond(std::string_view name, const std::map<int, double>& values, int last)
    {
        PlotLine line { std::string(name), {} };
        for (int second = 0; second <= last; ++second) {
            const auto found = values.find(second);
            line.points.push_back({ second + 0.5, found == values.end() ? 0 : found->second });
        }
        return line;
    }

} // namespace

//-----------------------------------------------------------------------------
// LogLine
//-----------------------------------------------------------------------------

std::string_view LogLine::field(std::string_view key) const
{
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<double> LogLine::number(std::string_view key) const
{
    const std::string_view text = this->field(key);
    double value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && !text.empty() ? std::optional<double>(value) : std::nullopt;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    LogLine line;
    bool hasTime = false;
    for (const std::string_view word : splitWords(text)) {
        if (!hasTime) {
            if (const std::optional<Time> time = parseTime(word)) {
                line.time = *time;
                line.text = text.substr(static_cast<size_t>(word.data() - text.data()));
                hasTime = true;
            }
            continue;
        }
        const size_t separator = word.find('=');
        if (separator == std::string_view::npos)
            continue;
        const std::string_view key = word.substr(0, separator);
        const std::string_view value = word.substr(separator + 1);
        if (key == "event")
            std::from_chars(value.data(), value.data() + value.size(), line.event);
        else if (key == "process")
            line.process = value;
        else if (key != "name")
            line.fields.emplace(key, value);
    }
    return line.event > 0 ? std::optional<LogLine>(std::move(line)) : std::nullopt;
}

//-----------------------------------------------------------------------------
// LogReport
//-----------------------------------------------------------------------------

bool LogReport::add(std::string_view text)
{
    std::optional<LogLine> line = parseLogLine(text);
    if (!line)
        return false;
    this->begin = this->begin ? std::min(*this->begin, line->time) : line->time;
    this->logLines.push_back(std::move(*line));
    return true;
}

double LogReport::secondsOf(const LogLine& line) const
{
    return std::chrono::duration<double>(line.time - *this->begin).count();
}

uint64_t LogReport::suppressed() const
{
    double sum = 0;
    for (const LogLine& line : this->logLines) {
        if (line.event == static_cast<int>(Event::LogLinesSuppressed))
            sum += line.number("lines").value_or(0);
    }
    return static_cast<uint64_t>(sum);
}

std::vector<PlotMark> LogReport::marks() const
{
    std::map<int, std::vector<std::pair<double, std::string>>> byEvent;
    for (const LogLine& line : this->logLines) {
        if (isFleetEvent(line.event))
            byEvent[line.event].emplace_back(this->secondsOf(line), line.process);
    }
    std::vector<PlotMark> result;
    for (auto& [event, times] : byEvent) {
        const std::string prefix = std::string(infoOf(static_cast<Event>(event)).name) + ": ";
        std::sort(times.begin(), times.end());
        for (size_t first = 0; first < times.size();) {
            size_t end = first + 1;
            while (end < times.size() && times[end].first - times[end - 1].first < maxMarkGap)
                ++end;
            const std::string subject = end - first == 1 ? times[first].second : std::to_string(end - first) + " times";
            result.push_back({ times[first].first, prefix + subject });
            first = end;
        }
    }
    std::sort(result.begin(), result.end(),
        [](const PlotMark& one, const PlotMark& other) { return one.seconds < other.seconds; });
    return result;
}

std::string LogReport::summary() const { return this->summaryWith(this->marks()); }

std::string LogReport::summaryWith(const std::vector<PlotMark>& marks) const
{
    std::ostringstream out;
    out << this->logLines.size() << " lines; " << this->suppressed() << " suppressed by the log rate limit\n\n";
    std::map<int, uint64_t> counts;
    for (const LogLine& line : this->logLines)
        ++counts[line.event];
    for (const EventInfo& info : allEvents()) {
        const auto found = counts.find(static_cast<int>(info.event));
        if (found != counts.end())
            out << found->first << ' ' << info.name << ": " << found->second << '\n';
    }
    out << "\nfirst second, event\n";
    for (const PlotMark& mark : marks)
        out << formatSeconds(mark.seconds) << "  " << mark.text << '\n';
    return out.str();
}

std::vector<std::string> LogReport::linesOfFlow(std::string_view flow) const
{
    std::vector<const LogLine*> found;
    for (const LogLine& line : this->logLines) {
        if (line.field("flow") == flow)
            found.push_back(&line);
    }
    std::stable_sort(
        found.begin(), found.end(), [](const LogLine* one, const LogLine* other) { return one->time < other->time; });
    std::vector<std::string> result;
    result.reserve(found.size());
    for (const LogLine* line : found)
        result.push_back(formatSeconds(this->secondsOf(*line)) + "  " + line->text);
    return result;
}

PlotPage LogReport::page(const std::string& title) const
{
    std::map<int, std::map<int, double>> counts; // By event and second.
    std::map<int, std::vector<double>> loadAges; // Milliseconds, by second.
    std::map<int, double> waiting; // Maximum by second.
    double last = 0;
    for (const LogLine& line : this->logLines) {
        const double seconds = this->secondsOf(line);
        const int second = static_cast<int>(std::floor(seconds));
        last = std::max(last, seconds);
        ++counts[line.event][second];
        const std::optional<double> age = line.number("load-age-ms");
        if (age && *age >= 0)
            loadAges[second].push_back(*age);
        if (line.event == static_cast<int>(Event::PacketOfferDecided))
            waiting[second] = std::max(waiting[second], line.number("waiting").value_or(0));
    }
    std::map<int, double> p99Ages;
    for (auto& [second, ages] : loadAges) {
        std::sort(ages.begin(), ages.end());
        p99Ages[second] = ages[static_cast<size_t>(highQuantile * static_cast<double>(ages.size() - 1))];
    }
    const int lastSecond = static_cast<int>(std::floor(last));
    Plot flows { "Flows", "lines/s", {} };
    for (const Curve& curve : flowCurves)
        flows.lines.push_back(plotLinePerSecond(curve.name, counts[static_cast<int>(curve.event)], lastSecond));
    Plot failures { "Refusals and losses", "lines/s", {} };
    for (const Curve& curve : failureCurves)
        failures.lines.push_back(plotLinePerSecond(curve.name, counts[static_cast<int>(curve.event)], lastSecond));
    const Plot queues { "Waiting requests at one upstream, maximum", "requests",
        { plotLinePerSecond("waiting", waiting, lastSecond) } };
    const Plot ages { "Age of the load reports used for placement, p99", "ms",
        { plotLinePerSecond("age", p99Ages, lastSecond) } };
    const std::vector<PlotMark> fleetMarks = this->marks();
    return { title, this->summaryWith(fleetMarks), last, { flows, failures, queues, ages }, fleetMarks };
}

} // namespace wasabicroft
