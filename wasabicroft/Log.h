// Structured log with one line per event: "time severity event=NUMBER name=NAME key=value ...".
//
// Lines pass through a bounded queue to a writer thread. If the queue is full, lines are dropped and counted. With a
// batch size, lines are collected and queued together, which takes a fraction of the CPU time of queuing them one by
// one.
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
    LogField(std::string_view key, Milliseconds value); // Written in milliseconds.
    LogField(std::string_view key, FlowId value);
    LogField(std::string_view key, ServiceId value);
    LogField(std::string_view key, UpstreamId value);

    std::string_view key;
    std::string value;
};

struct LogOptions {
    Severity threshold = Severity::Info;
    std::string file; // Appended to; if empty, lines go to standard error.
    std::string process; // Name of the process in every line, such as "entry-1".
    bool toStandardOutput = false; // Write to standard output instead of standard error.
    size_t batchBytes = 0; // Lines are collected up to this size or until flushLog(); 0 queues each line.
    // Limit for lines below Warning about single items (EventScope); the number suppressed is logged. 0: no limit.
    uint64_t maxLinesPerSecond = 0;
};

// Starts the writer thread. While it is not running, lines at Warning and above go to standard error and others are
// discarded.
void startLog(const LogOptions&);

// Queues the collected lines. Does nothing without a batch size.
void flushLog();

// Writes the queued lines and stops the writer thread.
void stopLog();

void logEvent(Event, std::initializer_list<LogField> fields);

// Formats the part of a line after the time.
std::string formatEvent(Event, std::initializer_list<LogField> fields);

uint64_t droppedLogLines();

// Counts and logs a violated invariant. Aborts the process if abortOnViolation() enabled that, as tests do.
void reportViolation(std::string_view invariant, std::initializer_list<LogField> fields);
void abortOnViolation(bool enabled);
uint64_t violationCount();

} // namespace wasabicroft
