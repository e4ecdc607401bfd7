#include "wasabicroft/Log.h"

#include <algorithm>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace wasabicroft {

namespace {

    namespace logging = boost::log;

    constexpr size_t logQueueLines = 16384;

    std::atomic<uint64_t> droppedLines = 0;
    std::atomic<uint64_t> violations = 0;
    std::atomic<bool> abortEnabled = false;
    std::atomic<bool> started = false;
    std::atomic<Severity> threshold = Severity::Info;
    // Collected lines that are not queued yet.
    std::mutex batchMutex;
    std::string batch;
    size_t batchLimit = 0;

    std::string processName;
    std::atomic<uint64_t> maxLinesPerSecond = 0; // see LogOptions
    std::atomic<uint64_t> linesInSecond = 0;
    std::atomic<int64_t> rateLimitSecond = 0; // Second of the steady clock that linesInSecond counts.

    // Counts a line and returns whether it is within the limit. Logs how many lines an earlier second suppressed.
    bool passesRateLimit()
    {
        const uint64_t limit = maxLinesPerSecond;
        if (limit == 0)
            return true;
        const int64_t second
            = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
                  .count();
        if (rateLimitSecond.exchange(second) != second) {
            const uint64_t before = linesInSecond.exchange(0);
            if (before > limit)
                logEvent(Event::LogLinesSuppressed, { { "lines", before - limit }, { "limit", limit } });
        }
        return ++linesInSecond <= limit;
    }

    // Overflow strategy of the queue: drops and counts lines.
    struct CountOverflow {
        template <typename Lock>
        static bool on_overflow(const logging::record_view&, Lock&) // NOLINT(readability-identifier-naming)
        {
            ++droppedLines;
            return false;
        }
        static void on_queue_space_available() { } // NOLINT(readability-identifier-naming)
        static void interrupt() { }
    };

    // Writes to a file descriptor. If the reader stalls, the remaining bytes are dropped, so that the writer thread can
    // always be stopped.
    class DroppingBuffer final : public std::streambuf {
    public:
        explicit DroppingBuffer(int fileDescriptor)
            : descriptor(fileDescriptor)
        {
        }

    protected:
        int_type overflow(int_type character) override
        {
            if (character != traits_type::eof())
                this->pending += static_cast<char>(character);
            return character;
        }

        std::streamsize xsputn(const char* text, std::streamsize length) override
        {
            this->pending.append(text, static_cast<size_t>(length));
            return length;
        }

        int sync() override
        {
            std::string_view rest = this->pending;
            while (!rest.empty()) {
                const std::string_view chunk = rest.substr(0, pipeChunkBytes);
                pollfd waiting { this->descriptor, POLLOUT, 0 };
                if (poll(&waiting, 1, stalledReaderTimeoutMs) <= 0)
                    break;
                const ssize_t written = write(this->descriptor, chunk.data(), chunk.size());
                if (written <= 0)
                    break;
                rest.remove_prefix(static_cast<size_t>(written));
            }
            droppedLines += static_cast<uint64_t>(std::count(rest.begin(), rest.end(), '\n'));
            this->pending.clear();
            return 0;
        }

    private:
        static constexpr size_t pipeChunkBytes = 4096; // PIPE_BUF: a writable pipe takes this much at once.
        static constexpr int stalledReaderTimeoutMs = 50;

        int descriptor;
        std::string pending;
    };

    std::ostream& standardOutput()
    {
        static DroppingBuffer buffer(STDOUT_FILENO);
        static std::ostream stream(&buffer);
        return stream;
    }

    using Sink = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend,
        logging::sinks::bounded_fifo_queue<logQueueLines, CountOverflow>>;

    boost::shared_ptr<Sink>& sink()
    {
        static boost::shared_ptr<Sink> instance;
        return instance;
    }

    std::string_view nameOf(Severity severity)
    {
        static constexpr std::array<std::string_view, 4> names = { "debug", "info", "warning", "error" };
        return names.at(static_cast<size_t>(severity));
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
            return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
        });
    }

    void appendQuoted(std::string& out, std::string_view value)
    {
        out += '"';
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += (c >= 0 && c < ' ') ? ' ' : c;
        }
        out += '"';
    }

    constexpr size_t utcSecondsLength = 19; // "2026-12-04T07:18:12"

    void appendUtcTime(std::string& out)
    {
        thread_local std::time_t formatted = -1;
        thread_local std::array<char, utcSecondsLength + 1> text {};
        const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        if (seconds != formatted) {
            std::tm parts {};
            gmtime_r(&seconds, &parts);
            std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
            formatted = seconds;
        }
        const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1000000;
        out.append(text.data(), utcSecondsLength);
        std::array<char, 8> fraction = { '.', '0', '0', '0', '0', '0', '0', 'Z' };
        int64_t rest = micros;
        for (size_t digit = 6; digit > 0; --digit, rest /= 10)
            fraction.at(digit) = static_cast<char>('0' + rest % 10);
        out.append(fraction.data(), fraction.size());
    }

    template <typename Number> std::string numberText(Number value) { return std::to_string(value); }

} // namespace

LogField::LogField(std::string_view fieldKey, std::string_view text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, const std::string& text)
    : LogField(fieldKey, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldKey, const char* text)
    : LogField(fieldKey, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldKey, bool flag)
    : LogField(fieldKey, std::string_view(flag ? "true" : "false"))
{
}

LogField::LogField(std::string_view fieldKey, int64_t number)
    : LogField(fieldKey, numberText(number))
{
}

LogField::LogField(std::string_view fieldKey, uint64_t number)
    : LogField(fieldKey, numberText(number))
{
}

LogField::LogField(std::string_view fieldKey, int number)
    : LogField(fieldKey, numberText(number))
{
}

LogField::LogField(std::string_view fieldKey, unsigned number)
    : LogField(fieldKey, numberText(number))
{
}

LogField::LogField(std::string_view fieldKey, double number)
    : LogField(fieldKey, numberText(number))
{
}

LogField::LogField(std::string_view fieldKey, Milliseconds duration)
    : LogField(fieldKey, numberText(static_cast<int64_t>(duration.count())))
{
}

LogField::LogField(std::string_view fieldKey, FlowId id)
    : LogField(fieldKey, toString(id))
{
}

LogField::LogField(std::string_view fieldKey, ServiceId id)
    : LogField(fieldKey, toString(id))
{
}

LogField::LogField(std::string_view fieldKey, UpstreamId id)
    : LogField(fieldKey, toString(id))
{
}

void startLog(const LogOptions& options)
{
    processName = options.process;
    threshold = options.threshold;
    maxLinesPerSecond = options.maxLinesPerSecond;
    batchLimit = options.batchBytes;
    const boost::shared_ptr<logging::sinks::text_ostream_backend> backend
        = boost::make_shared<logging::sinks::text_ostream_backend>();
    if (options.file.empty())
        backend->add_stream(boost::shared_ptr<std::ostream>(
            options.toStandardOutput ? &standardOutput() : &std::clog, boost::null_deleter()));
    else
        backend->add_stream(boost::make_shared<std::ofstream>(options.file, std::ios::app));
    backend->auto_flush(true);
    sink() = boost::make_shared<Sink>(backend);
    logging::core::get()->add_sink(sink());
    started = true;
}

void stopLog()
{
    flushLog();
    if (!started.exchange(false))
        return;
    logging::core::get()->remove_sink(sink());
    sink()->stop();
    sink()->flush();
    sink().reset();
}

namespace {

    void appendEvent(std::string& line, Event event, std::initializer_list<LogField> fields)
    {
        const EventInfo& info = infoOf(event);
        line += nameOf(info.severity);
        line += " event=";
        line += std::to_string(static_cast<unsigned>(event));
        line += " name=";
        line += info.name;
        if (!processName.empty()) {
            line += " process=";
            line += processName;
        }
        for (const LogField& field : fields) {
            line += ' ';
            line += field.key;
            line += '=';
            if (needsQuotes(field.value))
                appendQuoted(line, field.value);
            else
                line += field.value;
        }
    }

    void queueText(const std::string& text)
    {
        thread_local logging::sources::logger source;
        BOOST_LOG(source) << text;
    }

} // namespace

std::string formatEvent(Event event, std::initializer_list<LogField> fields)
{
    std::string line;
    appendEvent(line, event, fields);
    return line;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo& info = infoOf(event);
    const Severity severity = info.severity;
    const bool isLimited = severity < Severity::Warning && info.scope == EventScope::Item;
    if (severity < threshold || (isLimited && !passesRateLimit()))
        return;
    std::string line;
    line.reserve(256);
    appendUtcTime(line);
    line += ' ';
    appendEvent(line, event, fields);
    if (!started) {
        if (severity >= Severity::Warning)
            std::clog << line + '\n';
        return;
    }
    if (batchLimit == 0) {
        queueText(line);
        return;
    }
    const std::lock_guard<std::mutex> lock(batchMutex);
    batch += batch.empty() ? "" : "\n";
    batch += line;
    if (batch.size() >= batchLimit)
        queueText(std::exchange(batch, {}));
}

void flushLog()
{
    const std::lock_guard<std::mutex> lock(batchMutex);
    if (!batch.empty())
        queueText(std::exchange(batch, {}));
}

uint64_t droppedLogLines() { return droppedLines; }

void reportViolation(std::string_view invariant, std::initializer_list<LogField> fields)
{
    ++violations;
    std::string detail;
    for (const LogField& field : fields)
        detail += std::string(field.key) + '=' + field.value + ' ';
    logEvent(Event::InvariantViolated, { { "invariant", invariant }, { "detail", detail } });
    if (abortEnabled)
        std::abort();
}

void abortOnViolation(bool enabled) { abortEnabled = enabled; }

uint64_t violationCount() { return violations; }

} // namespace wasabicroft
