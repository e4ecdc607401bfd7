// Verifiable content: a byte pattern in which every position is recognisable, and numbered feed lines with a checksum.
#pragma once

#include "wasabicroft/Types.h"

#include <functional>
#include <span>
#include <string>

namespace wasabicroft::fakes {

// Writes the pattern bytes from offset on. Every eight bytes differ, so that shifted, repeated and swapped parts show.
void fillPattern(uint64_t offset, std::span<char> out);
bool matchesPattern(uint64_t offset, std::string_view bytes);

// Hexadecimal xxHash digest.
std::string digestOf(std::string_view bytes);
std::string patternDigest(uint64_t bytes);

// "number sent service upstream checksum\n"; sent is the steady clock in microseconds, which all processes of a machine
// share.
struct FeedLine {
    uint64_t number = 0;
    uint64_t sentMicroseconds = 0; // microseconds
    std::string service;
    std::string upstream;
};

std::string formatFeedLine(const FeedLine&);
std::optional<FeedLine> parseFeedLine(std::string_view line); // without the line end; empty if the checksum is wrong
uint64_t steadyMicroseconds();

struct FeedCounts {
    uint64_t lines = 0;
    uint64_t gaps = 0; // missing line numbers
    uint64_t repeats = 0; // line numbers seen before, also out of order
    uint64_t corrupt = 0; // wrong checksum or format
    uint64_t misdelivered = 0; // lines of another service
    uint64_t changedUpstream = 0; // lines of another upstream than the first

    bool isBroken() const { return this->gaps + this->repeats + this->corrupt + this->changedUpstream > 0; }
};

// Checks the bytes of one feed that starts at line 0.
class FeedChecker {
public:
    explicit FeedChecker(std::string service);

    // Called for every valid line with its delay.
    std::function<void(std::chrono::microseconds)> onDelay;

    void consume(std::string_view bytes);
    const FeedCounts& counts() const { return this->result; }

private:
    void check(std::string_view line);

    std::string service;
    std::string upstream;
    std::string partialLine; // begin of a line whose end has not arrived
    uint64_t nextLineNumber = 0;
    FeedCounts result;
};

} // namespace wasabicroft::fakes
