// Random numbers that depend on the seed only. The standard distributions are not used because their results differ
// between standard libraries.
#pragma once

#include "wasabicroft/Types.h"

#include <random>

namespace wasabicroft::tests {

struct SeededRandom {
    std::mt19937_64 engine;

    uint64_t below(uint64_t bound) { return this->engine() % bound; }

    Milliseconds between(Milliseconds low, Milliseconds high)
    {
        return low + Milliseconds(static_cast<int64_t>(this->below(static_cast<uint64_t>((high - low).count()))));
    }

    double fraction() // In [0, 1).
    {
        constexpr uint64_t steps = 1U << 20U;
        return static_cast<double>(this->below(steps)) / static_cast<double>(steps);
    }
};

} // namespace wasabicroft::tests
