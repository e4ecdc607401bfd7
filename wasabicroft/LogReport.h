// What the log lines of the packet programs tell about a run: rates of decisions, ages of beliefs, starts and losses,
// and the path of one flow. No I/O.
#pragma once

#include "wasabicroft/PlotPage.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace wasabicroft {

// One line of a log. The text before the time, which other tools may add, is ignored.
struct LogLine {
    std::chrono::sys_time<std::chrono::microseconds> time;
    int event = 0;
    std::string process;
    std::map<std::string, std::string, std::less<>> fields; // without event, name and process
    std::string text; // from the time on

    std::string_view field(std::string_view key) const; // empty if the line has none
    std::optional<double> number(std::string_view key) const;
};

// Empty if the text is no log line.
std::optional<LogLine> parseLogLine(std::string_view text);

// Collects the lines of all processes of a run, in any order.
class LogReport {
public:
    bool add(std::string_view text); // returns whether it was a log line

    size_t lines() const { return this->logLines.size(); }
    uint64_t suppressed() const; // lines that the processes left out themselves
    std::string summary() const; // counts of events, and the times of starts, losses and returns
    std::vector<std::string> pathOf(std::string_view flow) const; // lines of a flow, ordered by time
    PlotPage page(const std::string& title) const;

private:
    double secondsOf(const LogLine&) const; // since the first line
    std::vector<PlotMark> marks() const;
    std::string summaryWith(const std::vector<PlotMark>&) const;

    std::vector<LogLine> logLines;
    std::optional<std::chrono::sys_time<std::chrono::microseconds>> begin;
};

} // namespace wasabicroft
