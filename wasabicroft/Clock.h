// Time sources. Classes without I/O take a Clock, so that tests and benchmarks can pass a ManualClock.
#pragma once

#include "wasabicroft/Types.h"

#include <ctime>

namespace wasabicroft {

class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

class SystemClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

// Includes the time during which the machine was suspended; the steady clock leaves it out.
class BootClock final : public Clock {
public:
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

// A clock that moves only by advance() and set().
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return this->time; }
    void advance(Duration step) { this->time += step; }
    void set(TimePoint to) { this->time = to; }

private:
    TimePoint time = TimePoint(std::chrono::hours(1)); // Not the epoch, so that "an hour ago" is representable.
};

} // namespace wasabicroft
