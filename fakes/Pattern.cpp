#include "fakes/Pattern.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <sstream>
#include <vector>
#include <xxhash.h>

namespace wasabicroft::fakes {

namespace {

    constexpr size_t wordBytes = 8;
    constexpr size_t chunkBytes = 64 * 1024;
    constexpr size_t maxLineBytes = 4096;

    // Adjacent positions give unrelated words.
    uint64_t patternWord(uint64_t position) { return mixBits(position + splitMixIncrement); }

    std::string hexadecimal(uint64_t value)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
        return text.data();
    }

    std::string feedLineContent(const FeedLine& line)
    {
        return std::to_string(line.number) + ' ' + std::to_string(line.sentMicroseconds) + ' ' + line.service + ' '
            + line.upstream;
    }

} // namespace

void fillPattern(uint64_t offset, std::span<char> out)
{
    size_t done = 0;
    if (offset % wordBytes == 0) {
        for (; done + wordBytes <= out.size(); done += wordBytes) {
            const uint64_t word = patternWord((offset + done) / wordBytes);
            std::memcpy(out.data() + done, &word, wordBytes);
        }
    }
    while (done < out.size()) {
        const uint64_t position = offset + done;
        const uint64_t word = patternWord(position / wordBytes);
        const size_t skip = position % wordBytes;
        const size_t count = std::min(wordBytes - skip, out.size() - done);
        std::memcpy(out.data() + done, reinterpret_cast<const char*>(&word) + skip, count);
        done += count;
    }
}

bool matchesPattern(uint64_t offset, std::string_view bytes)
{
    size_t done = 0;
    while (done < bytes.size()) {
        const uint64_t position = offset + done;
        const uint64_t word = patternWord(position / wordBytes);
        const size_t skip = position % wordBytes;
        const size_t count = std::min(wordBytes - skip, bytes.size() - done);
        if (std::memcmp(bytes.data() + done, reinterpret_cast<const char*>(&word) + skip, count) != 0)
            return false;
        done += count;
    }
    return true;
}

std::string digestOf(std::string_view bytes) { return hexadecimal(XXH64(bytes.data(), bytes.size(), 0)); }

std::string patternDigest(uint64_t bytes)
{
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    std::vector<char> chunk(chunkBytes);
    for (uint64_t offset = 0; offset < bytes; offset += chunkBytes) {
        const size_t count = static_cast<size_t>(std::min<uint64_t>(chunkBytes, bytes - offset));
        fillPattern(offset, std::span<char>(chunk.data(), count));
        XXH64_update(state.get(), chunk.data(), count);
    }
    return hexadecimal(XXH64_digest(state.get()));
}

std::string formatFeedLine(const FeedLine& line)
{
    const std::string content = feedLineContent(line);
    return content + ' ' + digestOf(content) + '\n';
}

std::optional<FeedLine> parseFeedLine(std::string_view line)
{
    const size_t lastSpace = line.rfind(' ');
    if (lastSpace == std::string_view::npos || digestOf(line.substr(0, lastSpace)) != line.substr(lastSpace + 1))
        return std::nullopt;
    std::istringstream in { std::string(line.substr(0, lastSpace)) };
    FeedLine parsed;
    if (!(in >> parsed.number >> parsed.sentMicroseconds >> parsed.service >> parsed.upstream))
        return std::nullopt;
    return parsed;
}

uint64_t steadyMicroseconds()
{
    return static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count());
}

FeedChecker::FeedChecker(std::string expectedService)
    : service(std::move(expectedService))
{
}

void FeedChecker::consume(std::string_view bytes)
{
    this->partialLine.append(bytes);
    size_t start = 0;
    for (size_t end = this->partialLine.find('\n'); end != std::string::npos;
         end = this->partialLine.find('\n', start)) {
        this->check(std::string_view(this->partialLine).substr(start, end - start));
        start = end + 1;
    }
    this->partialLine.erase(0, start);
    if (this->partialLine.size() > maxLineBytes) {
        ++this->result.corrupt;
        this->partialLine.clear();
    }
}

void FeedChecker::check(std::string_view text)
{
    ++this->result.lines;
    const std::optional<FeedLine> line = parseFeedLine(text);
    if (!line) {
        ++this->result.corrupt;
        ++this->nextLineNumber;
        return;
    }
    if (line->service != this->service)
        ++this->result.misdelivered;
    if (this->upstream.empty())
        this->upstream = line->upstream;
    if (line->upstream != this->upstream)
        ++this->result.changedUpstream;
    if (line->number < this->nextLineNumber) {
        ++this->result.repeats;
        return;
    }
    this->result.gaps += line->number - this->nextLineNumber;
    this->nextLineNumber = line->number + 1;
    if (this->onDelay)
        this->onDelay(std::chrono::microseconds(steadyMicroseconds() - line->sentMicroseconds));
}

} // namespace wasabicroft::fakes
