// Structured log: one line per event, "time severity event=NUMBER name=NAME key=value ...".
//
// Lines go through a bounded queue to a writer thread. When the queue is full, lines are dropped and counted. With a
// batch size, lines are collected and queued together, which costs a fraction of the processor time of single lines.
#pragma once

#include "wasabicroft/Events.h"
#include "wasabicroft/Types.h"

#include <initializer_list>
#include <string>

namespace wasabicroft {

// A key=value field of a log line. Values with spaces, quotes or control characters are quoted.
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const std::string& value);
    LogField(std::string_view key, const char* value);
    LogField(std::string_view key, bool value);
    LogField(std::string_view key, int64_t value);
    LogField(std::string_view key, uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);
    LogField(std::string_view key, double value);
    LogField(std::string_view key, Milliseconds value); // written in milliseconds
    LogField(std::string_view key, FlowId value);
    LogField(std::string_view key, ServiceId value);
    LogField(std::string_view key, UpstreamId value);

    std::string_view key;
    std::string value;
};

struct LogOptions {
    Severity threshold = Severity::Info;
    std::string file; // empty: standard error
    std::string process; // written into every line, for example "entry-1"
    bool toStandardOutput = false; // instead of standard error
    size_t batchBytes = 0; // collects lines up to this size, or until flushLog; 0: queues each line
    uint64_t maxLinesPerSecond = 0; // further lines below Warning are counted and reported; 0: no limit
};

// Starts the writer thread. Without it, lines at Warning and above go to standard error.
void startLog(const LogOptions&);

// Queues the lines that were collected. A no-op without a batch size.
void flushLog();

// Writes what is queued and stops the writer thread.
void stopLog();

void logEvent(Event, std::initializer_list<LogField> fields);

// Formats the part of a line after the time; used by the writer and by tests.
std::string formatEvent(Event, std::initializer_list<LogField> fields);

uint64_t droppedLogLines();

// Counts and logs a violated invariant; aborts if abortOnViolation was set, as tests do.
void reportViolation(std::string_view invariant, std::initializer_list<LogField> fields);
void abortOnViolation(bool enabled);
uint64_t violationCount();

} // namespace wasabicroft
