// Report of a run from the log lines of the packet programs: rates of decisions, age of the load information, starts
// and failures, and the log lines of single flows. No I/O.
#pragma once

#include "wasabicroft/PlotPage.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace wasabicroft {

// A parsed log line. Text before the time, which other tools may add, is ignored.
struct LogLine {
    std::chrono::sys_time<std::chrono::microseconds> time;
    int event = 0;
    std::string process;
    std::map<std::string, std::string, std::less<>> fields; // All fields but event, name and process.
    std::string text; // The line, starting with the time.

    std::string_view field(std::string_view key) const; // Empty if the line has no such field.
    std::optional<double> number(std::string_view key) const;
};

// Returns nothing if the text is not a log line.
std::optional<LogLine> parseLogLine(std::string_view text);

// Collects the log lines of all processes of a run, in any order.
class LogReport {
public:
    bool add(std::string_view text); // Returns whether the text is a log line.

    size_t lines() const { return this->logLines.size(); }
    uint64_t suppressed() const; // Lines that the rate limits of the processes suppressed.
    std::string summary() const; // Number of lines per event, and the times of starts, failures and recoveries.
    std::vector<std::string> linesOfFlow(std::string_view flow) const; // Log lines of a flow, ordered by time.
    PlotPage page(const std::string& title) const;

private:
    double secondsOf(const LogLine&) const; // Seconds since the first line.
    std::vector<PlotMark> marks() const;
    std::string summaryWith(const std::vector<PlotMark>&) const;

    std::vector<LogLine> logLines;
    std::optional<std::chrono::sys_time<std::chrono::microseconds>> begin;
};

} // namespace wasabicroft
