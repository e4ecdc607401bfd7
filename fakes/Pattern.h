// Verifiable test data: a byte pattern whose content depends on the position, and numbered feed lines with a checksum.
#pragma once

#include "wasabicroft/Types.h"

#include <functional>
#include <span>
#include <string>

namespace wasabicroft::fakes {

// Write or check the pattern bytes that start at the offset. Each 8-byte word is different, which reveals shifted,
// repeated and swapped parts.
void fillPattern(uint64_t offset, std::span<char> out);
bool matchesPattern(uint64_t offset, std::string_view bytes);

// Hexadecimal xxHash digests of the given bytes and of the first bytes of the pattern.
std::string digestOf(std::string_view bytes);
std::string patternDigest(uint64_t bytes);

// A line of a feed: "number sent service upstream checksum\n". The time it was sent is from the steady clock, which all
// processes of a machine share.
struct FeedLine {
    uint64_t number = 0;
    uint64_t sentMicroseconds = 0; // steady clock
    std::string service;
    std::string upstream;
};

std::string formatFeedLine(const FeedLine&);

// Parses a line without its newline. The result is empty if the checksum or the format is wrong.
std::optional<FeedLine> parseFeedLine(std::string_view line);

uint64_t steadyMicroseconds();

struct FeedCounts {
    uint64_t lines = 0;
    uint64_t gaps = 0; // line numbers that are missing
    uint64_t repeats = 0; // line numbers that are not above all earlier ones
    uint64_t corrupt = 0; // lines with a wrong checksum or format
    uint64_t misdelivered = 0; // lines of another service
    uint64_t changedUpstream = 0; // lines from another upstream than that of the first line

    bool isBroken() const { return this->gaps + this->repeats + this->corrupt + this->changedUpstream > 0; }
};

// Checks the bytes of one feed, whose first line has the number 0.
class FeedChecker {
public:
    explicit FeedChecker(std::string service);

    // Called with the delay of every valid, in-order line.
    std::function<void(std::chrono::microseconds)> onDelay;

    void consume(std::string_view bytes);
    const FeedCounts& counts() const { return this->result; }

private:
    void check(std::string_view line);

    std::string service;
    std::string upstream;
    std::string partialLine; // start of a line whose end has not arrived yet
    uint64_t nextLineNumber = 0;
    FeedCounts result;
};

} // namespace wasabicroft::fakes
